#include "observe/timeline_event.h"

#include <array>
#include <limits>
#include <utility>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "observe/escape.h"

namespace jackdawturn {

namespace json = boost::json;

namespace {

constexpr std::array<std::pair<EventKind, std::string_view>, 11> kKindNames = {{
    {EventKind::kRequest, "request"},
    {EventKind::kAnswer, "answer"},
    {EventKind::kRouting, "routing"},
    {EventKind::kConnection, "connection"},
    {EventKind::kSuspicion, "suspicion"},
    {EventKind::kFailover, "failover"},
    {EventKind::kMembership, "membership"},
    {EventKind::kShare, "share"},
    {EventKind::kTargets, "targets"},
    {EventKind::kPlatform, "platform"},
    {EventKind::kProcess, "process"},
}};

void AddText(json::object& object,
             std::string_view key,
             std::string_view text) {
  if (!text.empty())
    object[key] = Utf8Text(text);
}

json::object ToJson(const TimelineEvent& event) {
  json::object object;
  object["physical_us"] = event.stamp.physical.time_since_epoch().count();
  object["logical"] = event.stamp.logical;
  object["vm"] = Utf8Text(event.vm.value());
  object["kind"] = ToString(event.kind);
  AddText(object, "group", event.group.value());
  AddText(object, "request", event.request.value());
  AddText(object, "step", event.step);
  AddText(object, "peer", event.peer);
  if (!event.fields.empty()) {
    json::object& fields = object["fields"].emplace_object();
    for (const auto& [key, value] : event.fields)
      fields[Utf8Text(key)] = Utf8Text(value);
  }
  return object;
}

auto Fault(const std::string& pointer, const std::string& expected) {
  return Failure(ErrorCode::kInvalidArgument, "timeline.read", "",
                 "expected " + expected + " at \"" + pointer + '"');
}

Result<std::string> ReadText(const json::object& object,
                             std::string_view key,
                             const std::string& pointer) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr)
    return std::string();
  if (const json::string* text = value->if_string())
    return std::string(text->data(), text->size());
  return Fault(pointer + '/' + std::string(key), "a string");
}

Result<int64_t> ReadNumber(const json::object& object,
                           std::string_view key,
                           int64_t maximum,
                           const std::string& pointer) {
  const json::value* value = object.if_contains(key);
  const int64_t* number = value == nullptr ? nullptr : value->if_int64();
  if (number == nullptr || *number < 0 || *number > maximum)
    return Fault(pointer + '/' + std::string(key),
                 "an integer from 0 to " + std::to_string(maximum));
  return *number;
}

Result<void> ReadFields(const json::object& object,
                        const std::string& pointer,
                        std::map<std::string, std::string>& fields) {
  const json::value* value = object.if_contains("fields");
  if (value == nullptr)
    return Success();
  const json::object* members = value->if_object();
  if (members == nullptr)
    return Fault(pointer + "/fields", "an object");
  for (const auto& member : *members) {
    const json::string* text = member.value().if_string();
    if (text == nullptr)
      return Fault(pointer + "/fields", "values that are strings");
    fields.emplace(member.key(), *text);
  }
  return Success();
}

Result<TimelineEvent> ReadEvent(const json::value& value,
                                const std::string& pointer) {
  // Up to the year 9999, so that every stamp can be printed.
  constexpr int64_t kMaxPhysical = 253'402'300'799'999'999;
  const json::object* object = value.if_object();
  if (object == nullptr)
    return Fault(pointer, "an object");
  TimelineEvent event;
  TRY(const int64_t physical,
      ReadNumber(*object, "physical_us", kMaxPhysical, pointer));
  TRY(const int64_t logical,
      ReadNumber(*object, "logical", std::numeric_limits<uint32_t>::max(),
                 pointer));
  event.stamp.physical = ClockTime(std::chrono::microseconds(physical));
  event.stamp.logical = static_cast<uint32_t>(logical);
  TRY(std::string vm, ReadText(*object, "vm", pointer));
  TRY(const std::string kind, ReadText(*object, "kind", pointer));
  TRY(std::string group, ReadText(*object, "group", pointer));
  TRY(std::string request, ReadText(*object, "request", pointer));
  TRY(event.step, ReadText(*object, "step", pointer));
  TRY(event.peer, ReadText(*object, "peer", pointer));
  TRY(ReadFields(*object, pointer, event.fields));
  const std::optional<EventKind> parsed = ParseEventKind(kind);
  if (!parsed)
    return Fault(pointer + "/kind", "the name of an event kind");
  event.kind = *parsed;
  event.vm = VmName(std::move(vm));
  event.group = GroupName(std::move(group));
  event.request = RequestId(std::move(request));
  return event;
}

}  // namespace

std::string_view ToString(EventKind kind) {
  for (const auto& [known, name] : kKindNames) {
    if (known == kind)
      return name;
  }
  return "unknown";
}

std::optional<EventKind> ParseEventKind(std::string_view name) {
  for (const auto& [kind, known] : kKindNames) {
    if (known == name)
      return kind;
  }
  return std::nullopt;
}

std::string_view TimelineEvent::field(std::string_view key) const {
  const auto found = fields.find(std::string(key));
  return found == fields.end() ? std::string_view() : found->second;
}

std::string WriteEvents(const std::vector<TimelineEvent>& events) {
  json::object document;
  json::array& items = document["events"].emplace_array();
  for (const TimelineEvent& event : events)
    items.push_back(ToJson(event));
  return json::serialize(document);
}

Result<std::vector<TimelineEvent>> ReadEvents(std::string_view text) {
  boost::system::error_code error;
  const json::value document = json::parse({text.data(), text.size()}, error);
  if (error)
    return Fault("", "JSON; " + error.message());
  const json::object* object = document.if_object();
  const json::value* value =
      object == nullptr ? nullptr : object->if_contains("events");
  const json::array* items = value == nullptr ? nullptr : value->if_array();
  if (items == nullptr)
    return Fault("/events", "a list");
  std::vector<TimelineEvent> events;
  events.reserve(items->size());
  for (size_t index = 0; index < items->size(); ++index) {
    TRY(TimelineEvent event,
        ReadEvent((*items)[index], "/events/" + std::to_string(index)));
    events.push_back(std::move(event));
  }
  return events;
}

}  // namespace jackdawturn
