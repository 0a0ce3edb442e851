#include "requests/tally.h"

#include <cstdio>

#include <boost/json.hpp>

namespace jackdawturn::requests {

namespace {

std::string PeriodName(WallTime time, TallyPeriod period) {
  const auto day = std::chrono::floor<std::chrono::days>(time);
  const std::chrono::year_month_day date(day);
  char text[32];
  const int year = static_cast<int>(date.year());
  const auto month = static_cast<unsigned>(date.month());
  switch (period) {
    case TallyPeriod::kMonth:
      std::snprintf(text, sizeof(text), "%04d-%02u", year, month);
      break;
    case TallyPeriod::kDay:
      std::snprintf(text, sizeof(text), "%04d-%02u-%02u", year, month,
                    static_cast<unsigned>(date.day()));
      break;
    case TallyPeriod::kHour: {
      const auto hour = std::chrono::floor<std::chrono::hours>(time - day);
      std::snprintf(text, sizeof(text), "%04d-%02u-%02uT%02d", year, month,
                    static_cast<unsigned>(date.day()),
                    static_cast<int>(hour.count()));
      break;
    }
  }
  return text;
}

}  // namespace

std::string CsvField(const std::string& field) {
  if (field.find_first_of("\",\r\n") == std::string::npos)
    return field;
  std::string quoted = "\"";
  for (const char c : field) {
    if (c == '"')
      quoted += '"';
    quoted += c;
  }
  return quoted + '"';
}

Result<void> Tally::Add(const LedgerEntry& entry) {
  TRY(const WallTime time, RequestTime(entry.request));
  TallyCounts& counts =
      m_counts[{PeriodName(time, m_period), entry.class_name}];
  if (entry.outcome == LedgerOutcome::kDone)
    ++counts.done;
  else
    ++counts.refused;
  return Success();
}

void Tally::WriteCsv(std::ostream& out) const {
  out << "period,class,done,refused\n";
  for (const auto& [key, counts] : m_counts)
    out << key.first << ',' << CsvField(key.second.value()) << ','
        << counts.done << ',' << counts.refused << '\n';
}

void Tally::WriteJson(std::ostream& out) const {
  boost::json::array rows;
  for (const auto& [key, counts] : m_counts)
    rows.push_back(boost::json::object{{"period", key.first},
                                       {"class", key.second.value()},
                                       {"done", counts.done},
                                       {"refused", counts.refused}});
  out << boost::json::serialize(rows) << '\n';
}

}  // namespace jackdawturn::requests
