#include "targets/stored_targets.h"

#include <utility>

#include <boost/json.hpp>

#include "targets/class_reader.h"

namespace jackdawturn::targets {

namespace {

constexpr const char* kStep = "targets.stored";

const boost::json::value* FindClasses(const boost::json::object& object,
                                      const char* key) {
  const boost::json::value* document = object.if_contains(key);
  if (document == nullptr || !document->is_object())
    return nullptr;
  return document->get_object().if_contains("classes");
}

}  // namespace

Result<StoredTargets> ParseStoredTargets(std::string_view value) {
  boost::system::error_code error;
  const boost::json::value document = boost::json::parse(value, error);
  const boost::json::object* object = document.if_object();
  if (error || object == nullptr)
    return Failure(ErrorCode::kInvalidArgument, kStep, "",
                   "the stored value is not a JSON object");
  StoredTargets stored;
  std::vector<DocumentFault> faults;
  const boost::json::value* current = FindClasses(*object, "current");
  if (current == nullptr)
    return Failure(ErrorCode::kInvalidArgument, kStep, "",
                   "/current/classes is missing");
  stored.classes = ReadClasses(*current, "/current/classes", true, faults);
  if (const auto* previous = FindClasses(*object, "previous"))
    stored.previous = ReadClasses(*previous, "/previous/classes", true, faults);
  if (!faults.empty())
    return Failure(ErrorCode::kInvalidArgument, kStep, "",
                   faults.front().pointer + ": " + faults.front().message);
  const boost::json::value* changes = object->if_contains("changes");
  if (changes != nullptr && changes->is_array()) {
    for (const boost::json::value& change : changes->get_array()) {
      if (change.is_string())
        stored.changes.emplace_back(std::string(change.get_string()));
    }
  }
  return stored;
}

std::string SerializeStoredTargets(const StoredTargets& stored) {
  boost::json::object object;
  object["current"] = ToJson(stored.classes);
  object["previous"] = ToJson(stored.previous);
  boost::json::array changes;
  for (const ChangeId& change : stored.changes)
    changes.emplace_back(change.value());
  object["changes"] = std::move(changes);
  return boost::json::serialize(object);
}

Result<Targets> ReadTargets(ObjectVersion version, std::string_view value) {
  TRY(StoredTargets stored, ParseStoredTargets(value));
  Targets targets;
  targets.version = version;
  if (!stored.changes.empty())
    targets.change = stored.changes.front();
  targets.classes = std::move(stored.classes);
  return targets;
}

}  // namespace jackdawturn::targets
