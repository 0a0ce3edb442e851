#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

#include "record_feed/record_feed.h"

namespace jackdawturn::gateway {

namespace {

namespace json = boost::json;

constexpr const char* kStep = "record_feed.decode";
constexpr std::string_view kRevisionField = "?revision=";
constexpr std::string_view kWaitField = "&wait_us=";
// A watch that waits for longer would keep its connection for nothing.
constexpr Duration kMaxWait = std::chrono::seconds(30);

constexpr RecordCollection kServedCollections[] = {
    RecordCollection::kConfiguration, RecordCollection::kServers,
    RecordCollection::kPeers, RecordCollection::kPrimaryChanges};

Error Invalid(const std::string& what) {
  return Error{ErrorCode::kInvalidArgument, kStep, "", what};
}

Result<RecordChange> DecodeChange(const json::value& value) {
  TRY(const JsonFields fields, JsonFields::Create(value, kStep));
  RecordChange change;
  TRY(change.record.name, fields.String("name"));
  TRY(change.record.revision, fields.Number("revision"));
  TRY(change.record.body, fields.String("body"));
  TRY(change.removed, fields.Boolean("removed"));
  return change;
}

// Takes `prefix` and the number after it from the beginning of `text`.
std::optional<uint64_t> TakeNumber(std::string_view& text,
                                   std::string_view prefix) {
  if (!text.starts_with(prefix))
    return std::nullopt;
  text.remove_prefix(prefix.size());
  uint64_t number = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (parsed.ec != std::errc())
    return std::nullopt;
  text.remove_prefix(static_cast<size_t>(parsed.ptr - text.data()));
  return number;
}

}  // namespace

std::string EncodeRecordChanges(const RecordChanges& changes) {
  json::array list;
  for (const RecordChange& change : changes.changes)
    list.push_back(json::object{{"name", change.record.name},
                                {"revision", change.record.revision},
                                {"body", change.record.body},
                                {"removed", change.removed}});
  return json::serialize(json::object{{"revision", changes.revision},
                                      {"age_us", changes.age.count()},
                                      {"changes", std::move(list)}});
}

Result<RecordChanges> DecodeRecordChanges(const std::string& text) {
  TRY(const json::value value, ParseJson(text, kStep));
  TRY(const JsonFields fields, JsonFields::Create(value, kStep));
  RecordChanges changes;
  TRY(changes.revision, fields.Number("revision"));
  TRY(const uint64_t age, fields.Number("age_us"));
  if (age > static_cast<uint64_t>(Duration::max().count()))
    return Invalid("/age_us: out of range");
  changes.age = Duration(static_cast<Duration::rep>(age));
  TRY(const json::array* list, fields.Array("changes"));
  for (const json::value& entry : *list) {
    TRY(RecordChange change, DecodeChange(entry));
    changes.changes.push_back(std::move(change));
  }
  return changes;
}

std::string EncodeFeedTarget(const RecordFeedRequest& request) {
  std::string target(kRecordFeedPath);
  target.append(ToString(request.collection))
      .append(kRevisionField)
      .append(std::to_string(request.revision))
      .append(kWaitField)
      .append(std::to_string(request.wait.count()));
  return target;
}

Result<RecordFeedRequest> DecodeFeedTarget(const std::string& target) {
  if (!target.starts_with(kRecordFeedPath))
    return Failure(ErrorCode::kNotFound, kStep, "", "not the path of a feed");
  std::string_view rest = target;
  rest.remove_prefix(kRecordFeedPath.size());
  const std::string_view name = rest.substr(0, rest.find('?'));
  const auto* collection = std::find_if(
      std::begin(kServedCollections), std::end(kServedCollections),
      [name](RecordCollection served) { return ToString(served) == name; });
  if (collection == std::end(kServedCollections))
    return Failure(ErrorCode::kNotFound, kStep, "", "no such collection");
  rest.remove_prefix(name.size());
  const auto revision = TakeNumber(rest, kRevisionField);
  const auto wait = revision ? TakeNumber(rest, kWaitField) : std::nullopt;
  if (!wait || !rest.empty() || *wait > static_cast<uint64_t>(kMaxWait.count()))
    return Invalid("expected a revision and a wait");
  return RecordFeedRequest{*collection, *revision,
                           Duration(static_cast<Duration::rep>(*wait))};
}

}  // namespace jackdawturn::gateway
