/// \file
/// Formats the result rows of hyssop_bench as a Markdown table, or as a gnuplot
/// script for one family of rows.
#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <popt.h>
#include <sstream>
#include <string>
#include <vector>

namespace {

using nlohmann::json;

struct report_row {
  std::string Name;
  std::string Unit;
  std::string Value;
  std::string Baseline;
  std::string Ratio;
  std::string Target;
};

std::string formatNumber(const json &Value) {
  if (!Value.is_number())
    return "";
  std::ostringstream Text;
  Text << std::setprecision(4) << Value.get<double>();
  return Text.str();
}

report_row toRow(const json &Json) {
  report_row Row;
  Row.Name = Json.value("name", "");
  Row.Unit = Json.value("unit", "");
  Row.Value = formatNumber(Json.value("value", json()));
  const std::string BaselineName = Json.value("baseline_name", "");
  if (!BaselineName.empty())
    Row.Baseline = formatNumber(Json["baseline"]) + " (" + BaselineName + ")";
  Row.Ratio = formatNumber(Json.value("ratio", json()));
  Row.Target = Json.value("target", "");
  return Row;
}

std::optional<std::vector<json>> readRows(const std::string &Path) {
  std::ifstream File(Path);
  if (!File) {
    std::cerr << "bench_report: can't read " << Path << "\n";
    return std::nullopt;
  }
  std::vector<json> Rows;
  std::string Line;
  for (unsigned LineNumber = 1; std::getline(File, Line); ++LineNumber) {
    json Row = json::parse(Line, nullptr, false);
    if (!Row.is_object()) {
      std::cerr << "bench_report: " << Path << ":" << LineNumber
                << ": not a JSON object\n";
      return std::nullopt;
    }
    Rows.push_back(std::move(Row));
  }
  return Rows;
}

void printTable(const std::vector<json> &Rows) {
  std::cout << "| row | unit | value | baseline | ratio | target |\n"
            << "|---|---|---|---|---|---|\n";
  for (const json &Json : Rows) {
    const report_row Row = toRow(Json);
    std::cout << "| " << Row.Name << " | " << Row.Unit << " | " << Row.Value
              << " | " << Row.Baseline << " | " << Row.Ratio << " | "
              << Row.Target << " |\n";
  }
}

// Plots the rows named PREFIX@N, with N on the x axis.
void printPlot(const std::vector<json> &Rows, const std::string &Prefix) {
  std::cout << "set terminal pngcairo size 800,480\n"
            << "set output '" << Prefix << ".png'\n"
            << "set xlabel 'daemons'\nset ylabel '" << Prefix << "'\n"
            << "set key left top\n$rows << EOD\n";
  for (const json &Json : Rows) {
    const std::string Name = Json.value("name", "");
    if (!Name.starts_with(Prefix + "@"))
      continue;
    std::cout << Name.substr(Prefix.size() + 1) << " "
              << formatNumber(Json.value("value", json())) << " "
              << formatNumber(Json.value("baseline", json(0))) << "\n";
  }
  std::cout << "EOD\nplot $rows using 1:2 with linespoints title 'hyssopledge'";
  const bool HasBaseline =
      std::any_of(Rows.begin(), Rows.end(), [&Prefix](const json &Json) {
        return Json.value("name", "").starts_with(Prefix + "@") &&
               Json.contains("baseline");
      });
  if (HasBaseline)
    std::cout << ", $rows using 1:3 with linespoints title 'baseline'";
  std::cout << "\n";
}

} // namespace

int main(int Argc, const char **Argv) {
  const char *Plot = nullptr;
  const poptOption Table[] = {{"plot", 'p', POPT_ARG_STRING, &Plot, 0,
                               "print a gnuplot script for the rows PREFIX@N",
                               "PREFIX"},
                              POPT_AUTOHELP POPT_TABLEEND};
  poptContext PoptContext =
      poptGetContext("bench_report", Argc, Argv, Table, 0);
  poptSetOtherOptionHelp(PoptContext, "FILE.jsonl");
  const int Parsed = poptGetNextOpt(PoptContext);
  const char *File = poptGetArg(PoptContext);
  const std::string Path = File != nullptr ? File : "build/bench.jsonl";
  poptFreeContext(PoptContext);
  if (Parsed < -1) {
    std::cerr << "bench_report: " << poptStrerror(Parsed) << "\n";
    return 2;
  }
  const auto Rows = readRows(Path);
  if (!Rows)
    return 1;
  if (Plot != nullptr)
    printPlot(*Rows, Plot);
  else
    printTable(*Rows);
  return 0;
}
