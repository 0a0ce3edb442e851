#include <algorithm>
#include <cmath>
#include <functional>
#include <iomanip>
#include <sstream>

#include "bench_report.h"

namespace jackdawturn {

namespace {

// Sizes in pixels.
constexpr double kWidth = 900;
constexpr double kPanelHeight = 220;
constexpr double kLeft = 70;
constexpr double kTop = 40;
constexpr double kPanelDistance = 60;
constexpr double kPlotWidth = kWidth - kLeft - 20;
constexpr double kHeight = kTop + 2 * kPanelHeight + kPanelDistance + 40;

struct Line {
  std::string name;
  std::string colour;
  std::vector<double> values;
};

// Returns the smallest number of the form 1, 2 or 5 times a power of ten that
// is not below `value`.
double RoundedUp(double value) {
  constexpr double kTen = 10;
  if (value <= 0)
    return 1;
  const double power = std::pow(kTen, std::floor(std::log10(value)));
  for (const double factor : {1.0, 2.0, 5.0}) {
    if (factor * power >= value)
      return factor * power;
  }
  return kTen * power;
}

void DrawPanel(std::ostream& out,
               double top,
               const std::string& title,
               double seconds,
               const std::vector<Line>& lines) {
  double largest = 0;
  for (const Line& line : lines) {
    for (const double value : line.values)
      largest = std::max(largest, value);
  }
  const double scale = RoundedUp(largest);
  const double bottom = top + kPanelHeight;
  constexpr int kMarks = 4;
  out << "<text x=\"" << kLeft << "\" y=\"" << top - 8 << "\">" << title;
  for (const Line& line : lines)
    out << " <tspan fill=\"" << line.colour << "\">" << line.name << "</tspan>";
  out << "</text>\n";
  for (int mark = 0; mark <= kMarks; ++mark) {
    const double share = static_cast<double>(mark) / kMarks;
    const double y = bottom - share * kPanelHeight;
    const double x = kLeft + share * kPlotWidth;
    out << "<line x1=\"" << kLeft << "\" x2=\"" << kLeft + kPlotWidth
        << "\" y1=\"" << y << "\" y2=\"" << y << "\" stroke=\"#ddd\"/>"
        << "<text x=\"" << kLeft - 6 << "\" y=\"" << y + 4
        << "\" text-anchor=\"end\">" << share * scale << "</text>"
        << "<text x=\"" << x << "\" y=\"" << bottom + 16
        << "\" text-anchor=\"middle\">" << share * seconds << " s</text>\n";
  }
  for (const Line& line : lines) {
    out << "<polyline fill=\"none\" stroke=\"" << line.colour << "\" points=\"";
    const auto count = static_cast<double>(line.values.size());
    for (size_t index = 0; index < line.values.size(); ++index)
      out << kLeft + (static_cast<double>(index) + 0.5) / count * kPlotWidth
          << ',' << bottom - line.values[index] / scale * kPanelHeight << ' ';
    out << "\"/>\n";
  }
}

}  // namespace

std::string RenderBenchSvg(const BenchResult& result) {
  const auto& intervals = result.statistics.intervals();
  const double width =
      std::chrono::duration<double>(result.statistics.interval()).count();
  const auto values =
      [&](const std::function<double(const IntervalStatistics&)>& value_of) {
        std::vector<double> list;
        list.reserve(intervals.size());
        for (const auto& interval : intervals)
          list.push_back(value_of(*interval));
        return list;
      };
  const auto quantile = [&](size_t index) {
    return values([index](const IntervalStatistics& interval) {
      return ToMilliseconds(interval.latency.Summarize().quantiles[index]);
    });
  };
  constexpr size_t kMedian = 0;
  constexpr size_t kP99 = 3;
  static_assert(LatencyQuantiles::kProbabilities[kMedian] == 0.5 &&
                LatencyQuantiles::kProbabilities[kP99] == 0.99);
  const double seconds = width * static_cast<double>(intervals.size());
  std::ostringstream out;
  out << std::setprecision(4)
      << R"(<svg xmlns="http://www.w3.org/2000/svg" width=")" << kWidth
      << "\" height=\"" << kHeight
      << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
      << R"(<rect width="100%" height="100%" fill="#fff"/>)" << '\n'
      << "<text x=\"" << kLeft << "\" y=\"16\">" << EscapeMarkup(result.title)
      << "</text>\n";
  DrawPanel(out, kTop, "requests ended per second", seconds,
            {{"all classes", "#1f5fa8",
              values([width](const IntervalStatistics& interval) {
                return static_cast<double>(interval.ended) / width;
              })}});
  DrawPanel(out, kTop + kPanelHeight + kPanelDistance,
            "latency in milliseconds:", seconds,
            {{"maximum", "#c0392b", values([](const IntervalStatistics& item) {
                return ToMilliseconds(item.max);
              })},
             {"p99", "#d68910", quantile(kP99)},
             {"median", "#1e8449", quantile(kMedian)}});
  out << "</svg>\n";
  return std::move(out).str();
}

std::string RenderBenchHtml(const BenchResult& result) {
  std::stringstream text;
  WriteBenchText(text, result);
  std::string page =
      "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
      "<title>jackdawturn bench</title></head><body>\n" +
      RenderBenchSvg(result) + "<pre>";
  for (std::string line; std::getline(text, line);)
    page += EscapeMarkup(line) + '\n';
  return page + "</pre>\n</body></html>\n";
}

}  // namespace jackdawturn
