#include "failover/group_record.h"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>

namespace jackdawturn::failover {

namespace {

namespace json = boost::json;

constexpr const char* kStep = "failover.record";

auto Fault(const std::string& pointer, const std::string& message) {
  return Failure(ErrorCode::kInvalidArgument, kStep, "",
                 pointer + ": " + message);
}

Result<std::string> ReadText(const json::object& object, const char* member) {
  const json::value* value = object.if_contains(member);
  if (value == nullptr || !value->is_string())
    return Fault(std::string("/") + member, "must be a string");
  return std::string(value->get_string());
}

Result<uint64_t> ReadNumber(const json::object& object,
                            const char* member,
                            const std::string& parent = "") {
  const json::value* value = object.if_contains(member);
  json::error_code error;
  const auto number = value == nullptr ? 0 : value->to_number<uint64_t>(error);
  if (value == nullptr || error || !(value->is_int64() || value->is_uint64()))
    return Fault(parent + '/' + member, "must be a whole number from 0");
  return number;
}

Result<const json::array*> ReadArray(const json::object& object,
                                     const char* member) {
  const json::value* value = object.if_contains(member);
  if (value == nullptr || !value->is_array())
    return Fault(std::string("/") + member, "must be an array");
  return &value->get_array();
}

Result<std::vector<InstanceName>> ReadInstances(const json::object& object) {
  TRY(const json::array* array, ReadArray(object, "instances"));
  std::vector<InstanceName> instances;
  for (const json::value& item : *array) {
    const std::string pointer =
        "/instances/" + std::to_string(instances.size());
    if (!item.is_string() || item.get_string().empty())
      return Fault(pointer, "must be a string that is not empty");
    InstanceName name{std::string(item.get_string())};
    if (std::find(instances.begin(), instances.end(), name) != instances.end())
      return Fault(pointer, "duplicate instance");
    instances.push_back(std::move(name));
  }
  if (instances.empty())
    return Fault("/instances", "must not be empty");
  return instances;
}

Result<std::vector<TermStart>> ReadHistory(const json::object& object) {
  TRY(const json::array* array, ReadArray(object, "history"));
  std::vector<TermStart> history;
  for (const json::value& item : *array) {
    const std::string pointer = "/history/" + std::to_string(history.size());
    if (!item.is_object())
      return Fault(pointer, "must be an object");
    TRY(const uint64_t term, ReadNumber(item.get_object(), "term", pointer));
    TRY(const uint64_t start, ReadNumber(item.get_object(), "start", pointer));
    if (!history.empty() && (term <= history.back().term.value ||
                             start <= history.back().start.value))
      return Fault(pointer, "terms and starts must increase");
    history.push_back(TermStart{Term{term}, LogPosition{start}});
  }
  return history;
}

Result<GroupPhase> ReadPhase(const json::object& object) {
  TRY(const std::string text, ReadText(object, "state"));
  if (text == "steady")
    return GroupPhase::kSteady;
  if (text == "changing")
    return GroupPhase::kChanging;
  return Fault("/state", "must be steady or changing");
}

}  // namespace

std::string GroupRecordKey(const GroupName& group) {
  return "groups/" + group.value();
}

std::string GroupRecordToJson(const GroupRecord& record) {
  json::array instances;
  for (const InstanceName& instance : record.instances)
    instances.emplace_back(instance.value());
  json::array history;
  for (const TermStart& entry : record.history)
    history.push_back(
        json::object{{"term", entry.term.value}, {"start", entry.start.value}});
  return json::serialize(json::object{
      {"group", record.group.value()},
      {"term", record.term.value},
      {"state", record.phase == GroupPhase::kSteady ? "steady" : "changing"},
      {"primary", record.primary.value()},
      {"instances", std::move(instances)},
      {"history", std::move(history)},
      {"attempt", record.attempt.value()},
      {"changed_by", record.changed_by.value()},
      {"reason", record.reason}});
}

Result<GroupRecord> GroupRecordFromJson(std::string_view text) {
  json::error_code error;
  const json::value document =
      json::parse(json::string_view(text.data(), text.size()), error);
  if (error)
    return Fault("", "not JSON: " + error.message());
  if (!document.is_object())
    return Fault("", "must be an object");
  const json::object& object = document.get_object();
  GroupRecord record;
  TRY(const std::string group, ReadText(object, "group"));
  TRY(const uint64_t term, ReadNumber(object, "term"));
  TRY(record.phase, ReadPhase(object));
  TRY(const std::string primary, ReadText(object, "primary"));
  TRY(record.instances, ReadInstances(object));
  TRY(record.history, ReadHistory(object));
  TRY(const std::string attempt, ReadText(object, "attempt"));
  TRY(const std::string changed_by, ReadText(object, "changed_by"));
  TRY(record.reason, ReadText(object, "reason"));
  record.group = GroupName(group);
  record.term = Term{term};
  record.primary = InstanceName(primary);
  record.attempt = AttemptId(attempt);
  record.changed_by = VmName(changed_by);
  const bool member =
      std::find(record.instances.begin(), record.instances.end(),
                record.primary) != record.instances.end();
  if (record.phase == GroupPhase::kSteady && !member)
    return Fault("/primary", "must be one of the instances");
  return record;
}

bool LogMatchesTermHistory(const GroupRecord& record, TermPosition end) {
  // The first entry of a later term is at its start position, so an entry of an
  // older term at that position is not part of the later term's log.
  return std::none_of(record.history.begin(), record.history.end(),
                      [end](const TermStart& entry) {
                        return entry.term > end.term &&
                               entry.start <= end.position;
                      });
}

}  // namespace jackdawturn::failover
