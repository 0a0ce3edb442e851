#pragma once

#include <cstdint>
#include <functional>
#include <istream>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>

#include "core/core.h"

namespace jackdawturn::requests {

enum class DifferenceKind {
  kMissing,     // In the ledger, not in the partner's file.
  kExtra,       // `done` in the partner's file, not in the ledger.
  kDifferent,   // In both with different outcomes.
  kUnresolved,  // `unknown` in the partner's file: its outcome was not queried.
};

// Returns "missing", "extra", "different" or "unresolved".
std::string_view ToString(DifferenceKind kind);

struct Difference {
  DifferenceKind kind = DifferenceKind::kMissing;
  RequestId request;
  // "done", "not_run" or "unknown"; empty where the side has no row.
  std::string ledger;
  std::string partner;
};

struct CompareSummary {
  uint64_t ledger_rows = 0;
  uint64_t partner_rows = 0;
  uint64_t equal = 0;
  uint64_t missing = 0;
  uint64_t extra = 0;
  uint64_t different = 0;
  uint64_t unresolved = 0;

  // True when both sides have the same outcome for every request.
  bool agrees() const { return missing + extra + different + unresolved == 0; }
};

// Limits a comparison to ids with a time in [from, until).
struct ComparePeriod {
  WallTime from = WallTime::min();
  WallTime until = WallTime::max();
};

// The next ledger entry, or nothing at the end.
using NextLedgerEntry = std::function<Result<std::optional<LedgerEntry>>()>;

// Compares the ledger with a partner's CSV file in constant memory, reading
// each once. Both must be in strictly ascending order of request ids, compared
// as lower-case text (for UUID version 7 this is the order of their times); for
// the ledger, SortedLedgerReader returns that order; a CSV file is sorted with
// `LC_ALL=C sort`. Rows are "request_id,outcome" with outcome done,
// not_run or unknown; a first line "request_id,outcome" is skipped. A partner's
// `not_run` without a ledger entry is not a difference, because a request that
// was never sent has no entry. Each difference is passed to `on_difference`.
// Errors: kInvalidArgument with the line number for a malformed row or a row
// out of order, kInternal when the ledger is out of order, and the errors of
// `next`. Thread-safe.
Result<CompareSummary> CompareLedger(
    const NextLedgerEntry& next,
    std::istream& partner,
    const ComparePeriod& period,
    const std::function<void(const Difference&)>& on_difference);

// Writes "kind,request_id,ledger,partner" rows; the header line is
// kDifferenceCsvHeader.
inline constexpr std::string_view kDifferenceCsvHeader =
    "kind,request_id,ledger,partner";
void WriteCsvRow(std::ostream& out, const Difference& difference);
// Writes one JSON object on a line.
void WriteJson(std::ostream& out, const Difference& difference);
void WriteJson(std::ostream& out, const CompareSummary& summary);

}  // namespace jackdawturn::requests
