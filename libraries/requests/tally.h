#pragma once

#include <cstdint>
#include <map>
#include <ostream>
#include <string>
#include <utility>

#include "core/core.h"

namespace jackdawturn::requests {

enum class TallyPeriod { kHour, kDay, kMonth };

struct TallyCounts {
  uint64_t done = 0;
  uint64_t refused = 0;
};

// Counts ledger entries by class and period (UTC). The period is derived from
// the time in the request id, which the caller's own records contain too.
// Memory grows with classes and periods, not with entries. Thread safety: not
// thread-safe.
class Tally {
 public:
  explicit Tally(TallyPeriod period) : m_period(period) {}

  // Adds one entry; the order does not matter. Each id must be added once, as
  // it occurs once in a ledger. Errors: kInvalidArgument when the id is not a
  // UUID version 7.
  Result<void> Add(const LedgerEntry& entry);

  // Returns the counts by (period, class); a period is "2026-12", "2026-12-04"
  // or "2026-12-04T05".
  const std::map<std::pair<std::string, ClassName>, TallyCounts>& counts()
      const {
    return m_counts;
  }

  // Writes "period,class,done,refused" and a row for each count.
  void WriteCsv(std::ostream& out) const;
  // Writes an array of objects with the same fields.
  void WriteJson(std::ostream& out) const;

 private:
  TallyPeriod m_period;
  std::map<std::pair<std::string, ClassName>, TallyCounts> m_counts;
};

// Quotes a CSV field if necessary (RFC 4180).
std::string CsvField(const std::string& field);

}  // namespace jackdawturn::requests
