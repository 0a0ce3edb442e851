#include "requests/ledger_compare.h"

#include <array>
#include <utility>

#include <boost/json.hpp>

#include "requests/request_types.h"
#include "requests/tally.h"

namespace jackdawturn::requests {

namespace {

constexpr const char* kStep = "tally.compare";
constexpr size_t kMaxLineLength = 256;
constexpr std::string_view kPartnerHeader = "request_id,outcome";

struct Row {
  RequestId request;
  std::string outcome;
};

Result<bool> IsInPeriod(const RequestId& request, const ComparePeriod& period) {
  TRY(const WallTime time, RequestTime(request));
  return time >= period.from && time < period.until;
}

// Reads the rows of the partner's file that lie in the period.
class PartnerRows {
 public:
  PartnerRows(std::istream& in, const ComparePeriod& period)
      : m_in(in), m_period(period) {}

  Result<std::optional<Row>> Next() {
    // A bounded buffer keeps a file without line breaks from filling memory.
    std::array<char, kMaxLineLength> buffer{};
    while (m_in.getline(buffer.data(), buffer.size()) || m_in.gcount() > 0) {
      ++m_line;
      if (!m_in && !m_in.eof())
        return Fail("row is too long");
      std::string line(buffer.data());
      if (!line.empty() && line.back() == '\r')
        line.pop_back();
      if (line.empty() || (m_line == 1 && line == kPartnerHeader))
        continue;
      TRY(Row row, Parse(line));
      if (m_last && row.request <= *m_last)
        return Fail("request ids are not in ascending order");
      m_last = row.request;
      TRY(const bool in_period, IsInPeriod(row.request, m_period));
      if (in_period)
        return std::optional(std::move(row));
    }
    return std::optional<Row>();
  }

 private:
  Result<Row> Parse(const std::string& line) const {
    const size_t comma = line.find(',');
    if (comma == std::string::npos)
      return Fail("row is not \"request_id,outcome\"");
    Row row{CanonicalRequestId(RequestId(line.substr(0, comma))),
            line.substr(comma + 1)};
    if (!RequestTime(row.request).has_value())
      return Fail("request id is not a UUID version 7");
    if (row.outcome != "done" && row.outcome != "not_run" &&
        row.outcome != "unknown")
      return Fail("outcome is not done, not_run or unknown");
    return row;
  }

  Error Fail(const std::string& message) const {
    return Error{ErrorCode::kInvalidArgument, kStep, "partner file",
                 "line " + std::to_string(m_line) + ": " + message};
  }

  std::istream& m_in;
  const ComparePeriod& m_period;
  uint64_t m_line = 0;
  std::optional<RequestId> m_last;
};

// Reads the ledger's entries that lie in the period.
class LedgerRows {
 public:
  LedgerRows(const NextLedgerEntry& next, const ComparePeriod& period)
      : m_next(next), m_period(period) {}

  Result<std::optional<Row>> Next() {
    while (true) {
      TRY(auto entry, m_next());
      if (!entry)
        return std::optional<Row>();
      Row row{CanonicalRequestId(entry->request),
              entry->outcome == LedgerOutcome::kDone ? "done" : "not_run"};
      if (m_last && row.request <= *m_last)
        return Failure(ErrorCode::kInternal, kStep, "",
                       "the ledger is not in ascending order of request ids");
      m_last = row.request;
      TRY(const bool in_period, IsInPeriod(row.request, m_period));
      if (in_period)
        return std::optional(std::move(row));
    }
  }

 private:
  const NextLedgerEntry& m_next;
  const ComparePeriod& m_period;
  std::optional<RequestId> m_last;
};

class Comparison {
 public:
  explicit Comparison(const std::function<void(const Difference&)>& hook)
      : m_on_difference(hook) {}

  // Compares the rows of one request id; null stands for a side without a row.
  void Add(const Row* ledger, const Row* partner) {
    m_summary.ledger_rows += ledger != nullptr ? 1 : 0;
    m_summary.partner_rows += partner != nullptr ? 1 : 0;
    if (partner == nullptr)
      AddDifference(DifferenceKind::kMissing, m_summary.missing, ledger,
                    partner);
    else if (partner->outcome == "unknown")
      AddDifference(DifferenceKind::kUnresolved, m_summary.unresolved, ledger,
                    partner);
    else if (ledger == nullptr && partner->outcome == "done")
      AddDifference(DifferenceKind::kExtra, m_summary.extra, ledger, partner);
    else if (ledger != nullptr && ledger->outcome != partner->outcome)
      AddDifference(DifferenceKind::kDifferent, m_summary.different, ledger,
                    partner);
    else
      ++m_summary.equal;
  }

  const CompareSummary& summary() const { return m_summary; }

 private:
  void AddDifference(DifferenceKind kind,
                     uint64_t& count,
                     const Row* ledger,
                     const Row* partner) {
    ++count;
    if (m_on_difference)
      m_on_difference(Difference{
          kind, ledger != nullptr ? ledger->request : partner->request,
          ledger != nullptr ? ledger->outcome : "",
          partner != nullptr ? partner->outcome : ""});
  }

  const std::function<void(const Difference&)>& m_on_difference;
  CompareSummary m_summary;
};

}  // namespace

std::string_view ToString(DifferenceKind kind) {
  switch (kind) {
    case DifferenceKind::kMissing:
      return "missing";
    case DifferenceKind::kExtra:
      return "extra";
    case DifferenceKind::kDifferent:
      return "different";
    case DifferenceKind::kUnresolved:
      return "unresolved";
  }
  return "missing";
}

Result<CompareSummary> CompareLedger(
    const NextLedgerEntry& next,
    std::istream& partner,
    const ComparePeriod& period,
    const std::function<void(const Difference&)>& on_difference) {
  LedgerRows ledger_rows(next, period);
  PartnerRows partner_rows(partner, period);
  Comparison comparison(on_difference);
  TRY(auto left, ledger_rows.Next());
  TRY(auto right, partner_rows.Next());
  while (left || right) {
    const bool take_left = left && (!right || left->request <= right->request);
    const bool take_right = right && (!left || right->request <= left->request);
    comparison.Add(take_left ? &*left : nullptr,
                   take_right ? &*right : nullptr);
    if (take_left) {
      TRY(left, ledger_rows.Next());
    }
    if (take_right) {
      TRY(right, partner_rows.Next());
    }
  }
  return comparison.summary();
}

void WriteCsvRow(std::ostream& out, const Difference& difference) {
  out << ToString(difference.kind) << ','
      << CsvField(difference.request.value()) << ',' << difference.ledger << ','
      << difference.partner << '\n';
}

void WriteJson(std::ostream& out, const Difference& difference) {
  out << boost::json::serialize(
             boost::json::object{{"kind", ToString(difference.kind)},
                                 {"request_id", difference.request.value()},
                                 {"ledger", difference.ledger},
                                 {"partner", difference.partner}})
      << '\n';
}

void WriteJson(std::ostream& out, const CompareSummary& summary) {
  out << boost::json::serialize(
             boost::json::object{{"ledger_rows", summary.ledger_rows},
                                 {"partner_rows", summary.partner_rows},
                                 {"equal", summary.equal},
                                 {"missing", summary.missing},
                                 {"extra", summary.extra},
                                 {"different", summary.different},
                                 {"unresolved", summary.unresolved},
                                 {"agrees", summary.agrees()}})
      << '\n';
}

}  // namespace jackdawturn::requests
