#include "requests/ledger_reader.h"

#include <algorithm>
#include <utility>

namespace jackdawturn::requests {

Result<TermPosition> HighestConfirmedPosition(
    const std::vector<InstanceReport>& reports) {
  Term newest;
  for (const InstanceReport& report : reports)
    newest = std::max(newest, report.accepted_term);
  std::vector<LogPosition> positions;
  for (const InstanceReport& report : reports) {
    if (report.accepted_term == newest && report.log_term == newest)
      positions.push_back(report.position);
  }
  if (positions.size() < 2)
    return Failure(ErrorCode::kUnavailable, "requests.confirmed_bound", "",
                   "fewer than two instances have the log of the newest term");
  std::sort(positions.rbegin(), positions.rend());
  return TermPosition{newest, positions[1]};
}

LedgerReader::LedgerReader(LedgerReaderOptions options)
    : m_options(std::move(options)) {
  VERIFY(m_options.page_size > 0);
}

Result<std::optional<LedgerEntry>> LedgerReader::Next() {
  while (!m_finished && m_index == m_page.size()) {
    TRY(FetchPage());
  }
  if (m_finished)
    return std::optional<LedgerEntry>();
  const LedgerEntry& entry = m_page[m_index];
  if (entry.at.position > m_options.bound.position) {
    m_finished = true;
    return std::optional<LedgerEntry>();
  }
  ++m_index;
  m_after = entry.at.position;
  return std::optional(entry);
}

void LedgerReader::Rewind() {
  m_instance = 0;
  m_after = LogPosition();
  m_page.clear();
  m_index = 0;
  m_finished = false;
}

bool LedgerReader::HasBound(const InstanceReport& report) {
  const TermPosition log{report.log_term, report.position};
  if (m_options.history.Contains(m_options.bound, log))
    return true;
  if (log.term <= m_options.bound.term || !m_options.read_history)
    return false;
  auto history = m_options.read_history();
  if (!history)
    return false;
  m_options.history = std::move(history).value();
  return m_options.history.Contains(m_options.bound, log);
}

Result<void> LedgerReader::FetchPage() {
  while (m_instance < m_options.instances.size()) {
    auto page = m_options.fetch(m_options.instances[m_instance], m_after,
                                m_options.page_size);
    if (!page || !HasBound(page.value().report)) {
      ++m_instance;
      continue;
    }
    m_page = std::move(page.value().entries);
    m_index = 0;
    m_finished = m_page.empty();
    return Success();
  }
  return Failure(ErrorCode::kUnavailable, "requests.read_ledger", "",
                 "no instance has the ledger up to position " +
                     std::to_string(m_options.bound.position.value));
}

SortedLedgerReader::SortedLedgerReader(LedgerReader& reader, size_t capacity)
    : m_reader(reader), m_capacity(capacity) {
  VERIFY(capacity > 0);
}

Result<std::optional<LedgerEntry>> SortedLedgerReader::Next() {
  if (m_index == m_sorted.size() && !m_finished) {
    TRY(RunPass());
  }
  if (m_index == m_sorted.size())
    return std::optional<LedgerEntry>();
  return std::optional(m_sorted[m_index++]);
}

Result<void> SortedLedgerReader::RunPass() {
  const auto by_id = [](const LedgerEntry& left, const LedgerEntry& right) {
    return left.request < right.request;
  };
  if (!m_sorted.empty())
    m_last = m_sorted.back().request;
  m_sorted.clear();
  m_index = 0;
  m_reader.Rewind();
  while (true) {
    TRY(auto entry, m_reader.Next());
    if (!entry)
      break;
    if (m_last && entry->request <= *m_last)
      continue;
    // A heap with the greatest id on top keeps the smallest ids.
    if (m_sorted.size() == m_capacity) {
      if (!by_id(*entry, m_sorted.front()))
        continue;
      std::pop_heap(m_sorted.begin(), m_sorted.end(), by_id);
      m_sorted.pop_back();
    }
    m_sorted.push_back(std::move(*entry));
    std::push_heap(m_sorted.begin(), m_sorted.end(), by_id);
  }
  std::sort_heap(m_sorted.begin(), m_sorted.end(), by_id);
  m_finished = m_sorted.size() < m_capacity;
  return Success();
}

}  // namespace jackdawturn::requests
