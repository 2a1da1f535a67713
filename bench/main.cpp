/// \file
/// Runs benchmark cases and prints their rows as JSON lines.
#include "bench/bench.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <popt.h>

namespace hyssopledge::bench {

namespace {

std::vector<bench_case> &registry() {
  static std::vector<bench_case> Cases;
  return Cases;
}

nlohmann::json toJson(const row &Row) {
  nlohmann::json Json = {
      {"name", Row.Name}, {"unit", Row.Unit}, {"value", Row.Value}};
  if (!Row.BaselineName.empty()) {
    Json["baseline"] = Row.Baseline;
    Json["baseline_name"] = Row.BaselineName;
    Json["ratio"] = Row.Baseline != 0 ? nlohmann::json(Row.Value / Row.Baseline)
                                      : nlohmann::json(nullptr);
  }
  if (!Row.Target.empty())
    Json["target"] = Row.Target;
  Json["better"] = Row.HigherIsBetter ? "higher" : "lower";
  return Json;
}

} // namespace

registration::registration(std::string Name, bench_function Function) {
  registry().push_back({std::move(Name), std::move(Function)});
}

const std::vector<bench_case> &cases() { return registry(); }

} // namespace hyssopledge::bench

int main(int Argc, const char **Argv) {
  using namespace hyssopledge::bench;
  const char *Output = nullptr;
  const char *OnlyCase = nullptr;
  const char *BinaryDir = nullptr;
  int Quick = 0;
  int List = 0;
  long Seed = 1;
  const poptOption Table[] = {
      {"output", 'o', POPT_ARG_STRING, &Output, 0,
       "overwrite this file with the rows as JSON lines", "FILE"},
      {"case", 'c', POPT_ARG_STRING, &OnlyCase, 0,
       "run only the case of this name", "NAME"},
      {"bin", 'b', POPT_ARG_STRING, &BinaryDir, 0,
       "build folder with the programs", "DIR"},
      {"seed", 's', POPT_ARG_LONG, &Seed, 0, "seed of the run", "N"},
      {"quick", 'q', POPT_ARG_NONE, &Quick, 0, "fewer repetitions", nullptr},
      {"list", 'l', POPT_ARG_NONE, &List, 0, "list the cases", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext Context = poptGetContext("hyssop_bench", Argc, Argv, Table, 0);
  const int Parsed = poptGetNextOpt(Context);
  poptFreeContext(Context);
  if (Parsed < -1) {
    std::cerr << "hyssop_bench: " << poptStrerror(Parsed) << "\n";
    return 2;
  }
  options Options;
  Options.Seed = static_cast<std::uint64_t>(Seed);
  Options.Quick = Quick != 0;
  Options.BinaryDir = BinaryDir != nullptr ? BinaryDir : "build";
  std::ofstream File;
  if (Output != nullptr)
    File.open(Output, std::ios::trunc);
  bool CaseFound = false;
  for (const bench_case &Case : cases()) {
    if (List != 0) {
      std::cout << Case.Name << "\n";
      continue;
    }
    if (OnlyCase != nullptr && Case.Name != OnlyCase)
      continue;
    CaseFound = true;
    for (const row &Row : Case.Function(Options)) {
      const std::string Line = toJson(Row).dump();
      std::cout << Line << std::endl;
      if (File.is_open())
        File << Line << std::endl;
    }
  }
  if (!CaseFound && List == 0) {
    std::cerr << "hyssop_bench: no case of this name; --list prints all\n";
    return 2;
  }
  return 0;
}
