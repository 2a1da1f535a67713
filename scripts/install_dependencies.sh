#!/usr/bin/env bash
# Installs the Debian packages for building, testing, formatting and linting. Does nothing if all are installed.
set -euo pipefail
PACKAGES=(
  g++ cmake make ninja-build pkg-config ccache git
  clang-format clang-tidy
  libboost-dev libgrpc++-dev libprotobuf-dev protobuf-compiler protobuf-compiler-grpc libssl-dev
  prometheus-cpp-dev libpopt-dev liblog4cxx-dev liburcu-dev libopentracing-dev
  zlib1g-dev nlohmann-json3-dev libvalijson-dev doctest-dev librapidcheck-dev gnuplot-nox
)
missing=()
for package in "${PACKAGES[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
SUDO=""
[ "$(id -u)" -eq 0 ] || SUDO="sudo"
export DEBIAN_FRONTEND=noninteractive
$SUDO apt-get update -q
$SUDO apt-get install -y -q --no-install-recommends "${missing[@]}"
