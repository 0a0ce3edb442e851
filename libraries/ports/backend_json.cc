#include "ports/backend_json.h"

#include <utility>

namespace jackdawturn {

namespace json = boost::json;

namespace {

constexpr const char* kStep = kBackendDecodeStep;

json::object ToJson(const LogEntry& entry) {
  json::object object{{"term", entry.term.value}};
  json::array changes;
  for (const auto& [key, value] : entry.changes)
    changes.push_back(json::array{key, value});
  object["changes"] = std::move(changes);
  if (entry.ledger)
    object["ledger"] = ToJson(*entry.ledger);
  if (entry.low_water) {
    object["low_water_ms"] = entry.low_water->time_since_epoch().count();
    object["purged"] = entry.purged;
  }
  return object;
}

Result<LogEntry> LogEntryFrom(const json::value& value) {
  TRY(const auto fields, JsonFields::Create(value, kStep));
  LogEntry entry;
  TRY(entry.term.value, fields.Number("term"));
  TRY(const auto* changes, fields.Array("changes"));
  for (const json::value& change : *changes) {
    const json::array* pair = change.if_array();
    if (pair == nullptr || pair->size() != 2 || !(*pair)[0].is_string() ||
        !(*pair)[1].is_string())
      return Failure(ErrorCode::kInvalidArgument, kStep, "",
                     "/changes: expected pairs of strings");
    entry.changes.emplace_back(std::string((*pair)[0].get_string()),
                               std::string((*pair)[1].get_string()));
  }
  if (fields.Has("ledger")) {
    TRY(const auto ledger, fields.Object("ledger"));
    TRY(entry.ledger, EntryFrom(ledger));
  }
  if (fields.Has("low_water_ms")) {
    TRY(entry.low_water, WallTimeFrom(fields, "low_water_ms"));
    TRY(entry.purged, fields.Number("purged"));
  }
  return entry;
}

Result<TermStart> TermStartFrom(const json::value& value) {
  const json::array* pair = value.if_array();
  if (pair != nullptr && pair->size() == 2) {
    boost::system::error_code no_term;
    boost::system::error_code no_start;
    const auto term = (*pair)[0].to_number<uint64_t>(no_term);
    const auto start = (*pair)[1].to_number<uint64_t>(no_start);
    const bool whole = !(*pair)[0].is_double() && !(*pair)[1].is_double();
    if (whole && !no_term && !no_start)
      return TermStart{Term{term}, LogPosition{start}};
  }
  return Failure(ErrorCode::kInvalidArgument, kStep, "",
                 "/starts: expected pairs of numbers");
}

}  // namespace

Result<WallTime> WallTimeFrom(const JsonFields& fields,
                              std::string_view member) {
  TRY(const auto time, fields.Number(member));
  constexpr uint64_t kLatest = (uint64_t{1} << 48) - 1;
  if (time > kLatest)
    return Failure(ErrorCode::kInvalidArgument, kStep, "",
                   "/" + std::string(member) + ": expected a time of 48 bits");
  return WallTime(std::chrono::milliseconds(time));
}

json::object ToJson(const PurgeResult& result) {
  json::object object{
      {"removed", result.removed},
      {"low_water_ms", result.low_water.time_since_epoch().count()}};
  if (result.newest)
    object["newest_ms"] = result.newest->time_since_epoch().count();
  return object;
}

Result<PurgeResult> PurgeResultFrom(const JsonFields& fields) {
  PurgeResult result;
  TRY(result.removed, fields.Number("removed"));
  TRY(result.low_water, WallTimeFrom(fields, "low_water_ms"));
  if (fields.Has("newest_ms")) {
    TRY(result.newest, WallTimeFrom(fields, "newest_ms"));
  }
  return result;
}

json::object ToJson(const WriteCommand& command) {
  return {{"term", command.term.value},
          {"request", command.request.value()},
          {"class", command.class_name.value()},
          {"digest", command.digest},
          {"statement", command.statement}};
}

Result<WriteCommand> CommandFrom(const JsonFields& fields) {
  WriteCommand command;
  TRY(command.term.value, fields.Number("term"));
  TRY(auto request, fields.String("request"));
  TRY(auto class_name, fields.String("class"));
  TRY(command.digest, fields.Number("digest"));
  TRY(command.statement, fields.StringOr("statement", ""));
  command.request = RequestId(std::move(request));
  command.class_name = ClassName(std::move(class_name));
  return command;
}

json::object ToJson(const LedgerEntry& entry) {
  return {
      {"request", entry.request.value()},
      {"class", entry.class_name.value()},
      {"digest", entry.digest},
      {"outcome", entry.outcome == LedgerOutcome::kDone ? "done" : "refused"},
      {"term", entry.at.term.value},
      {"position", entry.at.position.value}};
}

Result<LedgerEntry> EntryFrom(const JsonFields& fields) {
  LedgerEntry entry;
  TRY(auto request, fields.String("request"));
  TRY(auto class_name, fields.String("class"));
  TRY(entry.digest, fields.Number("digest"));
  TRY(const auto outcome, fields.String("outcome"));
  TRY(entry.at.term.value, fields.Number("term"));
  TRY(entry.at.position.value, fields.Number("position"));
  if (outcome != "done" && outcome != "refused")
    return Failure(ErrorCode::kInvalidArgument, kStep, "",
                   "/outcome: expected \"done\" or \"refused\"");
  entry.request = RequestId(std::move(request));
  entry.class_name = ClassName(std::move(class_name));
  entry.outcome =
      outcome == "done" ? LedgerOutcome::kDone : LedgerOutcome::kRefused;
  return entry;
}

Result<InstanceReport> ReportFrom(const JsonFields& fields) {
  InstanceReport report;
  TRY(report.accepted_term.value, fields.Number("accepted_term"));
  TRY(report.log_term.value, fields.Number("log_term"));
  TRY(report.position.value, fields.Number("position"));
  TRY(report.primary, fields.Boolean("primary"));
  return report;
}

json::object ToJson(const LogSummary& summary) {
  json::array starts;
  for (const TermStart& start : summary.starts)
    starts.push_back(json::array{start.term.value, start.start.value});
  return {{"replica", summary.replica.value()},
          {"accepted_term", summary.accepted_term.value},
          {"starts", std::move(starts)},
          {"position", summary.position.value}};
}

Result<LogSummary> SummaryFrom(const JsonFields& fields) {
  LogSummary summary;
  TRY(auto replica, fields.String("replica"));
  summary.replica = InstanceName(std::move(replica));
  TRY(summary.accepted_term.value, fields.Number("accepted_term"));
  TRY(summary.position.value, fields.Number("position"));
  TRY(const auto* starts, fields.Array("starts"));
  for (const json::value& value : *starts) {
    TRY(const auto start, TermStartFrom(value));
    summary.starts.push_back(start);
  }
  return summary;
}

json::object ToJson(const LedgerPage& page) {
  json::array entries;
  for (const LedgerEntry& entry : page.entries)
    entries.push_back(ToJson(entry));
  return {{"entries", std::move(entries)}, {"report", ToJson(page.report)}};
}

Result<LedgerPage> PageFrom(const JsonFields& fields) {
  LedgerPage page;
  TRY(const auto report, fields.Object("report"));
  TRY(page.report, ReportFrom(report));
  TRY(const auto* entries, fields.Array("entries"));
  for (const json::value& value : *entries) {
    TRY(const auto entry_fields, JsonFields::Create(value, kStep));
    TRY(auto entry, EntryFrom(entry_fields));
    page.entries.push_back(std::move(entry));
  }
  return page;
}

json::object ToJson(const LogBatch& batch) {
  json::array entries;
  for (const LogEntry& entry : batch.entries)
    entries.push_back(ToJson(entry));
  return {{"primary", batch.primary.value()},
          {"term", batch.term.value},
          {"keep", batch.keep.value},
          {"entries", std::move(entries)}};
}

Result<LogBatch> BatchFrom(const JsonFields& fields) {
  LogBatch batch;
  TRY(auto primary, fields.String("primary"));
  batch.primary = InstanceName(std::move(primary));
  TRY(batch.term.value, fields.Number("term"));
  TRY(batch.keep.value, fields.Number("keep"));
  TRY(const auto* entries, fields.Array("entries"));
  for (const json::value& value : *entries) {
    TRY(auto entry, LogEntryFrom(value));
    batch.entries.push_back(std::move(entry));
  }
  return batch;
}

json::object ToJson(const InstanceReport& report) {
  return {{"accepted_term", report.accepted_term.value},
          {"log_term", report.log_term.value},
          {"position", report.position.value},
          {"primary", report.primary}};
}

}  // namespace jackdawturn
