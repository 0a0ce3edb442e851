#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "operator_commands.h"
#include "ports/ports.h"
#include "requests/requests.h"

namespace jackdawturn {

namespace {

constexpr const char* kStep = "tally";
// Entries between two lines of progress.
constexpr uint64_t kProgressEntries = 100'000;

struct TallyLine {
  OperatorLine line;
  std::vector<std::string> instances;
  std::string period = "month";
  std::string partner;
  std::string from;
  std::string until;
  size_t sort_capacity = 200'000;
};

// The instances of the group, in the order of reading.
struct TallyGroup {
  std::map<InstanceName, Endpoint> endpoints;
  std::vector<InstanceName> order;
  TermPosition bound;
};

// Parses "YYYY-MM-DD" as the begin of that day in UTC.
Result<WallTime> ParseDay(const std::string& text) {
  std::istringstream in(text);
  int year = 0;
  unsigned month = 0;
  unsigned day = 0;
  char first = 0;
  char second = 0;
  in >> year >> first >> month >> second >> day;
  const std::chrono::year_month_day date(std::chrono::year{year},
                                         std::chrono::month{month},
                                         std::chrono::day{day});
  if (in.fail() || in.peek() != std::istringstream::traits_type::eof() ||
      first != '-' || second != '-' || !date.ok())
    return Failure(ErrorCode::kInvalidArgument, "command_line", "",
                   "expected a day as YYYY-MM-DD: " + text);
  return WallTime(std::chrono::sys_days(date));
}

Result<requests::ComparePeriod> PeriodOf(const TallyLine& tally) {
  requests::ComparePeriod period;
  if (!tally.from.empty()) {
    TRY(period.from, ParseDay(tally.from));
  }
  if (!tally.until.empty()) {
    TRY(period.until, ParseDay(tally.until));
  }
  return period;
}

Result<BackendResponse> Call(const Endpoint& endpoint,
                             const InstanceName& instance,
                             const BackendRequest& request,
                             Duration timeout) {
  TRY(const auto response, SendAndWait(endpoint, "POST", TargetOf(request),
                                       EncodeRequest(request), "", timeout));
  return DecodeResponse(request, response, instance.value());
}

Result<std::map<InstanceName, Endpoint>> ParseInstances(
    const std::vector<std::string>& items) {
  std::map<InstanceName, Endpoint> endpoints;
  for (const std::string& item : items) {
    const size_t equals = item.find('=');
    if (equals == std::string::npos || equals == 0)
      return Failure(ErrorCode::kInvalidArgument, "command_line", "",
                     "expected NAME=IP:PORT: " + item);
    TRY(auto endpoint, ParseEndpoint(item.substr(equals + 1)));
    const InstanceName name(item.substr(0, equals));
    if (!endpoints.emplace(name, std::move(endpoint)).second)
      return Failure(ErrorCode::kInvalidArgument, "command_line", "",
                     "instance named twice: " + name.value());
  }
  return endpoints;
}

// Asks every instance for its report. Replicas are read before the primary, so
// that the primary is left to its writes.
Result<TallyGroup> Survey(const TallyLine& tally) {
  TallyGroup group;
  TRY(group.endpoints, ParseInstances(tally.instances));
  std::set<Endpoint> addresses;
  for (const auto& [name, endpoint] : group.endpoints) {
    // One instance under two names would confirm its own entries.
    if (!addresses.insert(endpoint).second)
      return Failure(ErrorCode::kInvalidArgument, "command_line", "",
                     "address given twice: " + endpoint.ToString());
  }
  std::vector<InstanceReport> reports;
  std::vector<InstanceName> primaries;
  for (const auto& [name, endpoint] : group.endpoints) {
    const auto response =
        Call(endpoint, name, ReportCall{}, tally.line.timeout());
    if (!response) {
      std::cerr << "no report from " << name << ": " << response.error()
                << '\n';
      continue;
    }
    const auto& report = std::get<InstanceReport>(response.value());
    reports.push_back(report);
    (report.primary ? primaries : group.order).push_back(name);
  }
  group.order.insert(group.order.end(), primaries.begin(), primaries.end());
  TRY(group.bound, requests::HighestConfirmedPosition(reports));
  return group;
}

// Reads pages of the ledger. An instance that failed is not asked again, so
// that a silent one costs the timeout once and not in every pass.
requests::FetchLedgerPage PagesOf(const TallyGroup& group, Duration timeout) {
  auto failed = std::make_shared<std::set<InstanceName>>();
  return
      [&group, timeout, failed](const InstanceName& instance, LogPosition after,
                                size_t limit) -> Result<requests::LedgerPage> {
        if (failed->count(instance) != 0)
          return Failure(ErrorCode::kUnavailable, kStep, instance.value(),
                         "failed before");
        auto response = Call(group.endpoints.at(instance), instance,
                             LedgerCall{after, limit}, timeout);
        if (!response) {
          failed->insert(instance);
          std::cerr << "no ledger from " << instance << ": " << response.error()
                    << '\n';
          return response.error();
        }
        auto& page = std::get<LedgerPage>(response.value());
        return requests::LedgerPage{page.report, std::move(page.entries)};
      };
}

class Progress {
 public:
  void Add() {
    if (++m_entries % kProgressEntries == 0)
      std::cerr << "entries read: " << m_entries << '\n';
  }
  uint64_t entries() const { return m_entries; }

 private:
  uint64_t m_entries = 0;
};

requests::TallyPeriod TallyPeriodOf(const std::string& name) {
  if (name == "hour")
    return requests::TallyPeriod::kHour;
  if (name == "day")
    return requests::TallyPeriod::kDay;
  return requests::TallyPeriod::kMonth;
}

Result<int> Count(const TallyLine& tally, requests::LedgerReader& reader) {
  TRY(const auto period, PeriodOf(tally));
  requests::Tally counts(TallyPeriodOf(tally.period));
  Progress progress;
  while (true) {
    TRY(const auto entry, reader.Next());
    if (!entry)
      break;
    progress.Add();
    TRY(const WallTime time, RequestTime(entry->request));
    if (time < period.from || time >= period.until)
      continue;
    TRY(counts.Add(*entry));
  }
  std::cerr << "entries read: " << progress.entries() << '\n';
  if (tally.line.json())
    counts.WriteJson(std::cout);
  else
    counts.WriteCsv(std::cout);
  return kExitDone;
}

Result<int> Compare(const TallyLine& tally, requests::LedgerReader& reader) {
  TRY(const auto period, PeriodOf(tally));
  std::ifstream partner(tally.partner);
  if (!partner.is_open())
    return Failure(ErrorCode::kInvalidArgument, "command_line", "",
                   "not a readable file: " + tally.partner);
  const bool as_json = tally.line.json();
  requests::SortedLedgerReader ledger(reader, tally.sort_capacity);
  Progress progress;
  if (!as_json)
    std::cout << requests::kDifferenceCsvHeader << '\n';
  TRY(const auto summary,
      requests::CompareLedger(
          [&]() -> Result<std::optional<LedgerEntry>> {
            progress.Add();
            return ledger.Next();
          },
          partner, period,
          [as_json](const requests::Difference& difference) {
            if (as_json)
              requests::WriteJson(std::cout, difference);
            else
              requests::WriteCsvRow(std::cout, difference);
          }));
  requests::WriteJson(as_json ? std::cout : std::cerr, summary);
  return summary.agrees() ? kExitDone : kExitRefused;
}

Result<int> RunTally(const TallyLine& tally) {
  TRY(PeriodOf(tally));
  TRY(const TallyGroup group, Survey(tally));
  std::cerr << "counting up to term " << group.bound.term << " position "
            << group.bound.position << '\n';
  requests::LedgerReaderOptions options;
  options.instances = group.order;
  options.bound = group.bound;
  options.fetch = PagesOf(group, tally.line.timeout());
  requests::LedgerReader reader(std::move(options));
  if (tally.partner.empty())
    return Count(tally, reader);
  return Compare(tally, reader);
}

}  // namespace

void AddTallyCommand(CLI::App& app, RunCommand& run) {
  auto tally = std::make_shared<TallyLine>();
  auto* command = app.add_subcommand(
      "tally",
      "Count the request ledger of a group by class and period, or compare it "
      "with a partner's file. Exits with 3 when the comparison finds a "
      "difference.");
  command
      ->add_option("--instance", tally->instances,
                   "NAME=IP:PORT of an instance of the group; give all of them")
      ->required();
  command->add_option("--period", tally->period, "Length of a period, in UTC")
      ->check(CLI::IsMember({"hour", "day", "month"}))
      ->capture_default_str();
  command->add_option("--from", tally->from,
                      "Only request ids from this day on, YYYY-MM-DD in UTC");
  command->add_option("--until", tally->until,
                      "Only request ids before this day, YYYY-MM-DD in UTC");
  command->add_option("--compare", tally->partner,
                      "Partner's CSV file (request_id,outcome), sorted by id; "
                      "prints the differences instead of the counts");
  command
      ->add_option("--sort-capacity", tally->sort_capacity,
                   "Ledger entries held in memory by a comparison, about 150 "
                   "bytes each; fewer take more passes over the ledger")
      ->check(CLI::Range(size_t{1}, size_t{100'000'000}))
      ->capture_default_str();
  AddTimeoutOption(*command, tally->line);
  AddOutputOption(*command, tally->line, {"csv", "json"});
  command->callback(
      [&run, tally] { run = [tally] { return RunTally(*tally); }; });
}

}  // namespace jackdawturn
