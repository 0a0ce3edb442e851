#pragma once

#include <string_view>

#include <boost/json.hpp>

#include "core/core.h"
#include "ports/backend_messages.h"

namespace jackdawturn {

// The JSON form of the records inside the calls to an instance and their
// answers. Errors of all functions that return a Result: kInvalidArgument with
// the name of the member. All functions are thread-safe.

inline constexpr const char* kBackendDecodeStep = "backend.decode";

boost::json::object ToJson(const WriteCommand& command);
boost::json::object ToJson(const LedgerEntry& entry);
boost::json::object ToJson(const InstanceReport& report);
boost::json::object ToJson(const LogSummary& summary);
boost::json::object ToJson(const LedgerPage& page);
boost::json::object ToJson(const LogBatch& batch);
boost::json::object ToJson(const PurgeResult& result);

Result<WriteCommand> CommandFrom(const JsonFields& fields);
Result<LedgerEntry> EntryFrom(const JsonFields& fields);
Result<InstanceReport> ReportFrom(const JsonFields& fields);
Result<LogSummary> SummaryFrom(const JsonFields& fields);
Result<LedgerPage> PageFrom(const JsonFields& fields);
Result<LogBatch> BatchFrom(const JsonFields& fields);
Result<PurgeResult> PurgeResultFrom(const JsonFields& fields);
// A time in milliseconds, of at most 48 bits as in a request id.
Result<WallTime> WallTimeFrom(const JsonFields& fields,
                              std::string_view member);

}  // namespace jackdawturn
