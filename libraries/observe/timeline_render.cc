#include "observe/timeline_render.h"

#include <utility>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "observe/escape.h"
#include "observe/timeline.h"

namespace jackdawturn {

namespace json = boost::json;

namespace {

void AddText(EventLine& line, std::string_view key, std::string_view text) {
  if (!text.empty())
    line.Add(key, std::string_view(PlainText(text)));
}

void AddTime(json::object& object,
             std::string_view key,
             const std::optional<ClockTime>& time) {
  if (time)
    object[key] = time->time_since_epoch().count();
}

json::object ToJson(const FailoverSummary& summary) {
  json::object object;
  object["group"] = Utf8Text(summary.group.value());
  object["term"] = summary.term.value;
  object["promoted"] = Utf8Text(summary.promoted.value());
  object["replaced"] = Utf8Text(summary.replaced.value());
  object["changed_by"] = Utf8Text(summary.changed_by.value());
  object["reason"] = Utf8Text(summary.reason);
  AddTime(object, "claimed_us", summary.claimed);
  AddTime(object, "promotion_us", summary.promotion);
  AddTime(object, "published_us", summary.published);
  AddTime(object, "last_old_answer_us", summary.last_old_answer);
  AddTime(object, "first_new_answer_us", summary.first_new_answer);
  if (const std::optional<Duration> gap = summary.gap())
    object["gap_us"] = gap->count();
  return object;
}

}  // namespace

std::string RenderText(const std::vector<TimelineEvent>& events) {
  std::string text;
  for (const TimelineEvent& event : events) {
    EventLine line(ToString(event.kind));
    line.Add("time", std::string_view(FormatTime(event.stamp.physical)));
    line.Add("logical", event.stamp.logical);
    AddText(line, "vm", event.vm.value());
    AddText(line, "group", event.group.value());
    AddText(line, "request", event.request.value());
    AddText(line, "step", event.step);
    AddText(line, "peer", event.peer);
    for (const auto& [key, value] : event.fields) {
      // A key with a blank or an equals sign would look like two fields.
      std::string plain = PlainText(key);
      for (char& c : plain) {
        if (c == ' ' || c == '=' || c == '"')
          c = '_';
      }
      line.Add(plain, std::string_view(PlainText(value)));
    }
    text += line.text();
    text += '\n';
  }
  return text;
}

std::string RenderJson(const std::vector<TimelineEvent>& events) {
  json::value document = json::parse(WriteEvents(events));
  json::array& failovers = document.as_object()["failovers"].emplace_array();
  for (const FailoverSummary& summary : SummarizeFailovers(events))
    failovers.push_back(ToJson(summary));
  return json::serialize(document);
}

}  // namespace jackdawturn
