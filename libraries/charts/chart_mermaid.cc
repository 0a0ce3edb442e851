#include <sstream>

#include "charts/charts.h"

namespace jackdawturn {

namespace {

std::string EscapeTableCell(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    if (c == '|')
      escaped += '\\';
    escaped += c;
  }
  return escaped;
}

}  // namespace

std::string ChartToMermaid(const StateChart& chart) {
  std::ostringstream out;
  out << "stateDiagram-v2\n    [*] --> " << chart.initial() << '\n';
  for (const ChartTransition& transition : chart.transitions())
    out << "    " << transition.from << " --> " << transition.to << " : "
        << transition.event << '\n';
  return out.str();
}

std::string ChartsToMarkdown() {
  std::ostringstream out;
  out << "# State charts\n\nThis page is made from the files in `charts/`, "
         "which the program interprets. A test compares the two; to write the "
         "page again, run `JACKDAWTURN_WRITE_CHARTS=1 build/test_charts`.\n";
  for (const auto& [file, text] : BuiltInChartTexts()) {
    const StateChart& chart = BuiltInChart(file);
    out << "\n## " << chart.name() << "\n\nFile: `charts/" << file
        << ".json`.\n\n```mermaid\n"
        << ChartToMermaid(chart) << "```\n\n| state | meaning |\n|---|---|\n";
    for (const ChartState& state : chart.states())
      out << "| " << state.name << " | " << EscapeTableCell(state.description)
          << " |\n";
  }
  return out.str();
}

}  // namespace jackdawturn
