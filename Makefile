BUILD ?= build
JOBS  ?= $(shell nproc)

.PHONY: all deps build test demo bench style package clean

all: build

deps:
	scripts/install_dependencies.sh

build: deps
	cmake -S . -B $(BUILD) -G Ninja
	cmake --build $(BUILD) -j $(JOBS)

test: build
	scripts/run_tests.sh $(BUILD)

demo: build
	scripts/demo.sh $(BUILD)

bench: build
	$(BUILD)/bench/hyssop_bench --output $(BUILD)/bench.jsonl

style: build
	scripts/check_style.sh $(BUILD)

package: build
	cd $(BUILD) && cpack

clean:
	cmake --build $(BUILD) --target clean
