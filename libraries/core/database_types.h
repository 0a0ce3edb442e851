#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/identifiers.h"
#include "core/time.h"

namespace jackdawturn {

// A log position together with the term in which it was written.
struct TermPosition {
  Term term;
  LogPosition position;

  friend auto operator<=>(const TermPosition&, const TermPosition&) = default;
};

// What an instance says of itself (requirement B1 of docs/design.md).
struct InstanceReport {
  // The highest term that the instance was told of; it never decreases.
  Term accepted_term;
  // The term and position of the last entry of its log.
  Term log_term;
  LogPosition position;
  // True for the primary of accepted_term.
  bool primary = false;
};

// The outcome that the request ledger holds for a request id.
enum class LedgerOutcome { kDone, kRefused };

// An entry of the request ledger, which is a table of the group's database.
struct LedgerEntry {
  RequestId request;
  ClassName class_name;
  // Hash of the request's body; the same id with another digest is an error.
  uint64_t digest = 0;
  LedgerOutcome outcome = LedgerOutcome::kDone;
  // Where the entry stands in the log.
  TermPosition at;
};

// The answer to a write, commit or refusal at an instance.
struct LedgerResult {
  LedgerEntry entry;
  // True when the entry was there before, in which case nothing was changed.
  bool existing = false;
  // The result of the statement; empty for an existing entry.
  std::string value;
};

// A term and the position of its first entry.
struct TermStart {
  Term term;
  LogPosition start;

  friend auto operator<=>(const TermStart&, const TermStart&) = default;
};

// A write, commit or refusal as it is sent to an instance.
struct WriteCommand {
  Term term;
  RequestId request;
  ClassName class_name;
  uint64_t digest = 0;
  // Ignored by Refuse and Commit.
  std::string statement;
};

struct ReadResult {
  std::string value;
  InstanceReport report;
};

// An entry of an instance's log: a set of changes that took effect together.
struct LogEntry {
  Term term;
  // New values by key.
  std::vector<std::pair<std::string, std::string>> changes;
  // The ledger entry written in the same transaction, if any.
  std::optional<LedgerEntry> ledger;
  // The low-water mark of the ledger that the entry sets, if any, and how many
  // of the oldest ledger entries it removes.
  std::optional<WallTime> low_water;
  uint64_t purged = 0;
};

// The answer to a purge of the request ledger.
struct PurgeResult {
  // Entries that this call removed.
  uint64_t removed = 0;
  // The mark after the call: request ids with an earlier time are refused.
  WallTime low_water;
  // The time in the request id of the ledger entry that was written last; empty
  // for an empty ledger.
  std::optional<WallTime> newest;
};

// The shape of a replica's log: where each of its terms starts, and its length.
struct LogSummary {
  InstanceName replica;
  Term accepted_term;
  std::vector<TermStart> starts;
  LogPosition position;
};

// Log entries of a primary for one replica.
struct LogBatch {
  InstanceName primary;
  Term term;
  // The replica keeps its entries up to this position and appends `entries`.
  LogPosition keep;
  std::vector<LogEntry> entries;
};

enum class GroupPhase {
  kSteady,    // `primary` serves the writes of `term`.
  kChanging,  // The holder of `attempt` is choosing the primary of `term`.
};

// The record of a group in the platform's store, object "groups/NAME".
struct GroupRecord {
  GroupName group;
  Term term;
  GroupPhase phase = GroupPhase::kSteady;
  // Primary of the term; empty while a change is in progress.
  InstanceName primary;
  std::vector<InstanceName> instances;
  // Starts of the known terms, oldest first.
  std::vector<TermStart> history;
  // The last change, the proxy that made it and why.
  AttemptId attempt;
  VmName changed_by;
  std::string reason;
};

}  // namespace jackdawturn
