#include <algorithm>
#include <map>
#include <set>
#include <sstream>

#include "observe/escape.h"
#include "observe/timeline.h"
#include "observe/timeline_render.h"

namespace jackdawturn {

namespace {

// Sizes in pixels.
constexpr int kLabelWidth = 170;
constexpr int kPlotWidth = 1000;
constexpr int kMargin = 20;
constexpr int kAxisHeight = 30;
constexpr int kBarHeight = 56;
constexpr int kLaneHeight = 30;
constexpr int kDotRadius = 4;

std::string_view Colour(EventKind kind) {
  switch (kind) {
    case EventKind::kRequest:
      return "#8aa0b8";
    case EventKind::kAnswer:
      return "#2f7d4f";
    case EventKind::kRouting:
      return "#b0b7c3";
    case EventKind::kConnection:
      return "#7b6aa8";
    case EventKind::kSuspicion:
      return "#d08a1d";
    case EventKind::kFailover:
      return "#c0392b";
    case EventKind::kMembership:
      return "#1f78a4";
    case EventKind::kShare:
      return "#5fa8a0";
    case EventKind::kTargets:
      return "#a4477a";
    case EventKind::kPlatform:
      return "#6b5b3e";
    case EventKind::kProcess:
      return "#333333";
  }
  return "#333333";
}

class SvgWriter {
 public:
  explicit SvgWriter(const std::vector<TimelineEvent>& events)
      : m_events(events), m_failovers(SummarizeFailovers(events)) {
    for (const TimelineEvent& event : events) {
      const ClockTime time = event.stamp.physical;
      m_first = m_lanes.empty() ? time : std::min(m_first, time);
      m_last = m_lanes.empty() ? time : std::max(m_last, time);
      m_lanes.emplace(event.vm, 0);
    }
    for (const FailoverSummary& summary : m_failovers)
      m_bars.emplace(summary.group, 0);
    int top = kAxisHeight;
    for (auto& [group, y] : m_bars) {
      y = top;
      top += kBarHeight;
    }
    for (auto& [vm, y] : m_lanes) {
      y = top;
      top += kLaneHeight;
    }
    m_height = top + kMargin;
  }

  std::string Write() {
    const int width = kLabelWidth + kPlotWidth + kMargin;
    m_out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width
          << "\" height=\"" << m_height << "\" viewBox=\"0 0 " << width << ' '
          << m_height
          << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
             "<rect width=\"100%\" height=\"100%\" fill=\"#ffffff\"/>\n";
    WriteAxis();
    for (const auto& [group, y] : m_bars)
      WriteBar(group, y);
    for (const auto& [vm, y] : m_lanes)
      WriteLane(vm, y);
    for (const TimelineEvent& event : m_events)
      WriteDot(event);
    m_out << "</svg>\n";
    return m_out.str();
  }

 private:
  double X(ClockTime time) const {
    const double all = std::max(1.0, ToMilliseconds(m_last - m_first));
    return kLabelWidth + kPlotWidth * ToMilliseconds(time - m_first) / all;
  }

  void WriteText(double x, int y, std::string_view text) {
    m_out << "<text x=\"" << x << "\" y=\"" << y << "\">" << EscapeMarkup(text)
          << "</text>\n";
  }

  void WriteLine(double x1, int y1, double x2, int y2, const char* colour) {
    m_out << "<line x1=\"" << x1 << "\" y1=\"" << y1 << "\" x2=\"" << x2
          << "\" y2=\"" << y2 << "\" stroke=\"" << colour << "\"/>\n";
  }

  void WriteSpan(ClockTime from,
                 ClockTime to,
                 int y,
                 const char* colour,
                 const std::string& title) {
    constexpr double kNarrowest = 1;
    const double width = std::max(kNarrowest, X(to) - X(from));
    m_out << "<rect x=\"" << X(from) << "\" y=\"" << y << "\" width=\"" << width
          << "\" height=\"18\" fill=\"" << colour << "\"><title>"
          << EscapeMarkup(title) << "</title></rect>\n";
  }

  void WriteAxis() {
    constexpr int kTicks = 5;
    if (m_lanes.empty()) {
      WriteText(kMargin, kMargin, "no events");
      return;
    }
    WriteText(kMargin, kMargin, FormatTime(m_first));
    for (int tick = 1; tick <= kTicks; ++tick) {
      const ClockTime time = m_first + (m_last - m_first) * tick / kTicks;
      WriteLine(X(time), kAxisHeight, X(time), m_height - kMargin, "#e6e6e6");
      WriteText(X(time) - 70, kMargin,
                "+" + FormatMilliseconds(time - m_first));
    }
  }

  // The terms of a group, one after the other, with the gaps between them.
  void WriteBar(const GroupName& group, int y) {
    constexpr int kTextDrop = 34;
    // Leaves room for the text of a gap at the end of the plot.
    constexpr int kLastTextX = kLabelWidth + kPlotWidth - 300;
    WriteText(kMargin, y + 14, group.value());
    ClockTime start = m_first;
    std::string holder;
    for (const FailoverSummary& summary : m_failovers) {
      if (summary.group != group)
        continue;
      const ClockTime stopped =
          std::max(start, summary.last_old_answer.value_or(
                              summary.claimed.value_or(summary.promotion)));
      const ClockTime resumed =
          std::max(stopped, summary.first_new_answer.value_or(
                                summary.published.value_or(summary.promotion)));
      if (holder.empty())
        holder = "primary " + (summary.replaced.empty()
                                   ? std::string("(not in these events)")
                                   : summary.replaced.value());
      WriteSpan(start, stopped, y, "#b7d7c2", holder);
      WriteSpan(stopped, resumed, y, "#c0392b", GapText(summary));
      WriteText(std::min<double>(X(stopped), kLastTextX), y + kTextDrop,
                GapText(summary) + ", term " +
                    std::to_string(summary.term.value) + ": " +
                    summary.promoted.value());
      WriteLine(X(summary.promotion), y, X(summary.promotion),
                m_height - kMargin, "#c0392b");
      start = resumed;
      holder = "term " + std::to_string(summary.term.value) + ", primary " +
               summary.promoted.value();
    }
    WriteSpan(start, m_last, y, "#b7d7c2", holder);
  }

  static std::string GapText(const FailoverSummary& summary) {
    const std::optional<Duration> gap = summary.gap();
    return gap ? "gap " + FormatMilliseconds(*gap) : "gap unknown";
  }

  void WriteLane(const VmName& vm, int y) {
    const int middle = y + kLaneHeight / 2;
    WriteText(kMargin, middle + 4, vm.value());
    WriteLine(kLabelWidth, middle, kLabelWidth + kPlotWidth, middle, "#c8c8c8");
  }

  void WriteDot(const TimelineEvent& event) {
    const int middle = m_lanes.at(event.vm) + kLaneHeight / 2;
    std::string title = RenderText({event});
    title.pop_back();
    m_out << "<circle cx=\"" << X(event.stamp.physical) << "\" cy=\"" << middle
          << "\" r=\"" << kDotRadius << "\" fill=\"" << Colour(event.kind)
          << "\"><title>" << EscapeMarkup(title) << "</title></circle>\n";
  }

  const std::vector<TimelineEvent>& m_events;
  const std::vector<FailoverSummary> m_failovers;
  ClockTime m_first;
  ClockTime m_last;
  // The top of the bar of each group and of the lane of each process.
  std::map<GroupName, int> m_bars;
  std::map<VmName, int> m_lanes;
  int m_height = 0;
  std::ostringstream m_out;
};

}  // namespace

std::string RenderSvg(const std::vector<TimelineEvent>& events) {
  return SvgWriter(events).Write();
}

}  // namespace jackdawturn
