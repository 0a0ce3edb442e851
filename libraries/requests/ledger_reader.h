#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "core/core.h"
#include "sessions/sessions.h"

namespace jackdawturn::requests {

// A page of the ledger in log order, with the report of the instance at the
// time of reading.
struct LedgerPage {
  InstanceReport report;
  std::vector<LedgerEntry> entries;
};

// Reads at most `limit` entries after position `after` from an instance.
using FetchLedgerPage =
    std::function<Result<LedgerPage>(const InstanceName& instance,
                                     LogPosition after,
                                     size_t limit)>;

// Returns the highest position that two instances of the newest term among
// `reports` have reached, which is therefore confirmed. Entries after it may
// still be lost and must not be counted. Errors: kUnavailable when fewer than
// two instances report the same log term as their accepted term. Thread-safe.
Result<TermPosition> HighestConfirmedPosition(
    const std::vector<InstanceReport>& reports);

struct LedgerReaderOptions {
  // Read in this order; the next one is used when one fails.
  std::vector<InstanceName> instances;
  TermHistory history;
  // Rereads the history when the log of an instance has a later term than
  // `bound`, because the primary can change while the ledger is read. May be
  // empty.
  std::function<Result<TermHistory>()> read_history;
  // Last position to read, from HighestConfirmedPosition.
  TermPosition bound;
  // Maximum number of entries per call.
  size_t page_size = 1'000;
  FetchLedgerPage fetch;
};

// Reads the ledger in log order up to a confirmed position. When an instance
// fails, or its log is not known to contain the bound, reading continues at the
// same position on the next one: up to the bound all logs are equal. Memory:
// one page. Thread safety: not thread-safe.
class LedgerReader {
 public:
  explicit LedgerReader(LedgerReaderOptions options);

  // Returns the next entry, or nothing at the end. Errors: kUnavailable when
  // no instance is left.
  Result<std::optional<LedgerEntry>> Next();

  // Restarts at the beginning of the ledger and uses every instance again.
  void Rewind();

  // Number of instances that failed since the last Rewind.
  size_t failed_instances() const { return m_instance; }

 private:
  Result<void> FetchPage();
  bool HasBound(const InstanceReport& report);

  LedgerReaderOptions m_options;
  size_t m_instance = 0;
  LogPosition m_after;
  std::vector<LedgerEntry> m_page;
  size_t m_index = 0;
  bool m_finished = false;
};

// Returns the entries of a ledger ordered by request id, in fixed memory. The
// ledger is in log order, which can differ from id order by any distance (an
// outcome can be queried days later). Each pass over the ledger therefore keeps
// the `capacity` smallest ids after the last one that was returned; N entries
// take N / capacity + 1 passes. Thread safety: not thread-safe.
class SortedLedgerReader {
 public:
  // Precondition: capacity > 0, in entries (about 150 bytes each). `reader`
  // must outlive this object.
  SortedLedgerReader(LedgerReader& reader, size_t capacity);

  // Returns the next entry in ascending order of request ids, or nothing at
  // the end. Errors: those of LedgerReader::Next.
  Result<std::optional<LedgerEntry>> Next();

 private:
  Result<void> RunPass();

  LedgerReader& m_reader;
  size_t m_capacity;
  std::vector<LedgerEntry> m_sorted;
  size_t m_index = 0;
  std::optional<RequestId> m_last;
  bool m_finished = false;
};

}  // namespace jackdawturn::requests
