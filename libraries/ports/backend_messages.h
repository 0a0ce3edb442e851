#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/core.h"

namespace jackdawturn {

// The calls that an instance of a group understands; docs/design.md, section 5,
// and docs/interfaces.md describe them.

// Opens a counted connection; it is closed with the transport connection that
// carried the call. Further calls that use a connection are sent on the same
// transport connection.
struct OpenCall {};
// Asks for the report; with `wait_position` the instance answers when it has
// reached that position, or after `wait`.
struct ReportCall {
  std::optional<LogPosition> wait_position;
  Duration wait{0};
};
// With `term` the read runs only on the primary of that term.
struct ReadCall {
  std::optional<Term> term;
  std::string statement;
};
struct WriteCall {
  WriteCommand command;
};
struct RefuseCall {
  WriteCommand command;
};
struct BeginCall {
  TransactionId transaction;
  Term term;
};
struct StatementCall {
  TransactionId transaction;
  std::string statement;
};
struct CommitCall {
  TransactionId transaction;
  WriteCommand command;
};
struct RollbackCall {
  TransactionId transaction;
};
struct FenceCall {
  Term term;
};
struct PromoteCall {
  Term term;
};
struct FollowCall {
  Term term;
  InstanceName primary;
};
// Asks for a page of the request ledger, in log order.
struct LedgerCall {
  LogPosition after;
  uint64_t limit = 0;
};
// Removes entries of ids older than `low_water` from the ledger, at most
// `limit`, on the primary of `term`.
struct PurgeCall {
  Term term;
  WallTime low_water;
  uint64_t limit = 0;
};
// Sent by a replica to its primary.
struct ReplicateCall {
  LogSummary summary;
  Duration wait{0};
};

using BackendRequest = std::variant<OpenCall,
                                    ReportCall,
                                    ReadCall,
                                    WriteCall,
                                    RefuseCall,
                                    BeginCall,
                                    StatementCall,
                                    CommitCall,
                                    RollbackCall,
                                    FenceCall,
                                    PromoteCall,
                                    FollowCall,
                                    LedgerCall,
                                    PurgeCall,
                                    ReplicateCall>;

struct StatementResult {
  std::string value;
};
struct LedgerPage {
  std::vector<LedgerEntry> entries;
  // The instance's report at the time of the page.
  InstanceReport report;
};

// Report, fence, promote and follow answer with a report; read with a
// ReadResult; write, refuse and commit with a LedgerResult; purge with a
// PurgeResult; open, begin, statement and rollback with a StatementResult.
using BackendResponse = std::variant<InstanceReport,
                                     ReadResult,
                                     LedgerResult,
                                     StatementResult,
                                     LedgerPage,
                                     PurgeResult,
                                     LogBatch>;

// True when the call runs on one of the instance's counted connections; the
// others take neither a connection nor a slot (requirement B8).
bool UsesConnection(const BackendRequest& request);

}  // namespace jackdawturn
