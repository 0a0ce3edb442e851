#include <sstream>

#include "observe/escape.h"
#include "observe/timeline.h"
#include "observe/timeline_render.h"

namespace jackdawturn {

namespace {

// The policy keeps the browser from loading or running anything, should a text
// ever get past the escape.
constexpr std::string_view kHead = R"(<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta http-equiv="Content-Security-Policy" content="default-src 'none'; style-src 'unsafe-inline'">
<title>jackdawturn time line</title>
<style>
body { font-family: sans-serif; margin: 1.5em; color: #222; }
table { border-collapse: collapse; margin: 1em 0; font-size: 13px; }
th, td { border-bottom: 1px solid #ddd; padding: 2px 8px; text-align: left; }
td.gap { color: #c0392b; font-weight: bold; }
</style>
</head>
<body>
<h1>Time line</h1>
)";

class HtmlWriter {
 public:
  std::string Write(const std::vector<TimelineEvent>& events) {
    m_out << kHead;
    WriteFailovers(SummarizeFailovers(events));
    m_out << "<h2>Processes</h2>\n" << RenderSvg(events);
    WriteEvents(events);
    m_out << "</body>\n</html>\n";
    return m_out.str();
  }

 private:
  void WriteCell(std::string_view text) {
    m_out << "<td>" << EscapeMarkup(text) << "</td>";
  }

  void WriteSince(const std::optional<ClockTime>& from,
                  const std::optional<ClockTime>& to) {
    WriteCell(from && to ? FormatMilliseconds(*to - *from) : "");
  }

  void WriteFailovers(const std::vector<FailoverSummary>& failovers) {
    m_out << "<h2>Changes of primary</h2>\n";
    if (failovers.empty()) {
      m_out << "<p>none</p>\n";
      return;
    }
    m_out << "<table>\n<tr><th>group</th><th>term</th><th>old primary</th>"
             "<th>new primary</th><th>changed by</th><th>reason</th>"
             "<th>promotion</th><th>claim to promotion</th>"
             "<th>promotion to publication</th><th>gap</th></tr>\n";
    for (const FailoverSummary& summary : failovers) {
      m_out << "<tr>";
      WriteCell(summary.group.value());
      WriteCell(std::to_string(summary.term.value));
      WriteCell(summary.replaced.value());
      WriteCell(summary.promoted.value());
      WriteCell(summary.changed_by.value());
      WriteCell(summary.reason);
      WriteCell(FormatTime(summary.promotion));
      WriteSince(summary.claimed, summary.promotion);
      WriteSince(summary.promotion, summary.published);
      const std::optional<Duration> gap = summary.gap();
      m_out << "<td class=\"gap\">"
            << (gap ? FormatMilliseconds(*gap) : "unknown") << "</td></tr>\n";
    }
    m_out << "</table>\n";
  }

  void WriteEvents(const std::vector<TimelineEvent>& events) {
    m_out << "<h2>Events</h2>\n<table>\n<tr><th>time</th><th>vm</th>"
             "<th>kind</th><th>step</th><th>group</th><th>request</th>"
             "<th>peer</th><th>fields</th></tr>\n";
    for (const TimelineEvent& event : events) {
      m_out << "<tr>";
      WriteCell(FormatTime(event.stamp.physical));
      WriteCell(event.vm.value());
      WriteCell(ToString(event.kind));
      WriteCell(event.step);
      WriteCell(event.group.value());
      WriteCell(event.request.value());
      WriteCell(event.peer);
      std::string fields;
      for (const auto& [key, value] : event.fields) {
        fields += fields.empty() ? "" : " ";
        fields += key;
        fields += '=';
        fields += value;
      }
      WriteCell(fields);
      m_out << "</tr>\n";
    }
    m_out << "</table>\n";
  }

  std::ostringstream m_out;
};

}  // namespace

std::string RenderHtml(const std::vector<TimelineEvent>& events) {
  return HtmlWriter().Write(events);
}

}  // namespace jackdawturn
