// Runs the requests library under combinations of faults, with a virtual clock
// and network. The checker compares the requests and answers of callers with
// the final databases.
//
// SEED=N sets the first seed of the tables. ROW=N with SEED=S runs only row N
// with seed S and prints the violations.

#include <cstdlib>
#include <iostream>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "support/reports.h"
#include "support/retention_world.h"

#include "fault_callers.h"

namespace jackdawturn::requests {

namespace {

enum Promise {
  kAtMostOnce,
  kNotRunNeverRan,
  kDoneSurvives,
  kReadYourWrites,
  kFreshRead,
  kIsolation,
  kOwnAnswer,
  kUnknownResolves,
  kNoUnknownWithoutFaults,
  kPromises,
};

constexpr const char* kPromiseNames[kPromises] = {
    "at_most_once",         "not_run_never_ran", "done_survives",
    "read_your_writes",     "fresh_read",        "transaction_isolation",
    "answer_to_its_caller", "unknown_resolves",  "no_unknown_without_faults",
};

struct Counts {
  uint64_t cases[kPromises] = {};
  uint64_t broken[kPromises] = {};

  void Check(Promise promise, bool holds) {
    ++cases[promise];
    broken[promise] += holds ? 0 : 1;
  }
};

class Checker {
 public:
  Checker(const CallerHistory& history,
          const std::map<std::string, std::string>& data,
          bool faults,
          Counts& counts)
      : m_history(history), m_data(data), m_faults(faults), m_counts(counts) {}

  void Run() {
    std::map<RequestId, size_t> runs;
    for (const Body& body : m_history.bodies) {
      CheckBody(body);
      runs[body.query.request] += Ran(body) ? 1 : 0;
    }
    for (const auto& [id, count] : runs)
      m_counts.Check(kAtMostOnce, count <= 1);
    for (const KnownRead& read : m_history.reads) {
      const Promise promise = read.kind == ReadKind::kOwnWrite ? kReadYourWrites
                              : read.kind == ReadKind::kLinearizable
                                  ? kFreshRead
                                  : kIsolation;
      m_counts.Check(promise, read.value == read.expected);
    }
    for (const auto& [expected, value] : m_history.values)
      m_counts.Check(kOwnAnswer, value == expected);
  }

 private:
  bool Ran(const Body& body) const { return m_data.count(body.keys[0]) != 0; }

  void CheckBody(const Body& body) {
    for (const std::string& key : body.keys) {
      const auto found = m_data.find(key);
      m_counts.Check(kAtMostOnce,
                     found == m_data.end() || found->second == body.amount);
      if (body.transaction)
        m_counts.Check(kIsolation, (found != m_data.end()) == Ran(body));
    }
    if (body.submissions == 0) {
      // A transaction that was never committed.
      m_counts.Check(kIsolation, !Ran(body));
      return;
    }
    bool done = false;
    bool refused = false;
    size_t not_run = 0;
    for (const Answer& answer : body.answers) {
      done = done || answer.outcome == Outcome::kDone;
      refused = refused || (answer.outcome == Outcome::kNotRun &&
                            answer.scope == NotRunScope::kRequest);
      not_run += answer.outcome == Outcome::kNotRun ? 1 : 0;
      m_counts.Check(kOwnAnswer, answer.query.request == body.query.request &&
                                     answer.query.digest == body.query.digest);
      if (!m_faults)
        m_counts.Check(kNoUnknownWithoutFaults,
                       answer.outcome == Outcome::kDone);
    }
    if (!m_faults)
      m_counts.Check(kNoUnknownWithoutFaults, !body.answers.empty());
    if (done)
      m_counts.Check(kDoneSurvives, Ran(body));
    if (refused || (!done && not_run >= body.submissions))
      m_counts.Check(kNotRunNeverRan, !Ran(body));
    m_counts.Check(kUnknownResolves, body.Resolved());
  }

  const CallerHistory& m_history;
  const std::map<std::string, std::string>& m_data;
  bool m_faults;
  Counts& m_counts;
};

const SessionTokenCodec& Codec() {
  static const SessionTokenCodec codec =
      SessionTokenCodec::Create(TokenKeys{1, {{1, "0123456789abcdef"}}})
          .value();
  return codec;
}

void RunCase(uint64_t seed,
             const std::set<Fault>& faults,
             Mutant mutant,
             Counts& counts) {
  FaultServers servers(seed, faults);
  std::vector<std::unique_ptr<FaultProxy>> proxies;
  for (size_t index = 0; index < kProxies; ++index)
    proxies.push_back(
        std::make_unique<FaultProxy>(servers, Codec(), index, mutant));
  servers.on_record = [&](size_t proxy) { proxies[proxy]->RefreshRecord(); };
  servers.on_kill = [&](size_t proxy) { proxies[proxy]->Kill(); };
  servers.on_crash = [&](size_t instance) {
    for (auto& proxy : proxies)
      proxy->OnInstanceCrash(instance);
  };
  servers.connections_of = [&](size_t proxy, size_t instance) {
    return proxies[proxy]->Connections(instance);
  };
  FaultCallers callers(servers, proxies);
  callers.Start();
  servers.StartFaults();
  const auto run_for = [&servers](int64_t milliseconds) {
    servers.scheduler().RunUntil(servers.now() + Milliseconds(milliseconds));
  };
  run_for(1'500);
  servers.Heal();
  run_for(3'000);
  callers.Resolve(servers.now() + Milliseconds(5'000));
  while (servers.scheduler().RunNext()) {
  }
  const InstanceName primary = servers.view().record.primary;
  const auto& data = servers.instance(IndexOf(primary)).data();
  Checker(callers.history(), data, !faults.empty(), counts).Run();
}

// Returns one row without faults, one for each single fault and one for each
// pair of faults.
std::vector<std::set<Fault>> Rows() {
  std::vector<std::set<Fault>> rows = {{}};
  for (size_t one = 0; one < kFaultCount; ++one)
    for (size_t other = one; other < kFaultCount; ++other)
      rows.push_back({static_cast<Fault>(one), static_cast<Fault>(other)});
  return rows;
}

constexpr uint64_t kRunsForEachRow = 180;

struct MutantCase {
  Mutant mutant;
  Promise promise;
};

constexpr MutantCase kMutants[] = {
    {Mutant::kRetryUnderNewId, kAtMostOnce},
    {Mutant::kUnknownIsNotRun, kNotRunNeverRan},
    {Mutant::kRefusalNotSent, kNotRunNeverRan},
    {Mutant::kNoConfirmation, kDoneSurvives},
    {Mutant::kPositionIgnored, kReadYourWrites},
    {Mutant::kTokenNotUpdated, kReadYourWrites},
    {Mutant::kLinearizableReadUnchecked, kFreshRead},
    {Mutant::kDirtyConnection, kIsolation},
    {Mutant::kAnswersCrossed, kOwnAnswer},
    {Mutant::kNoRefusal, kUnknownResolves},
    {Mutant::kNoReports, kNoUnknownWithoutFaults},
};

// Returns whether the checker detects the mutant within the runs of one table.
bool IsCaught(const MutantCase& item,
              const std::vector<std::set<Fault>>& rows,
              uint64_t seed) {
  for (uint64_t run = 0; run < kRunsForEachRow; ++run) {
    for (size_t row = 0; row < rows.size(); ++row) {
      Counts counts;
      RunCase(seed + run * rows.size() + row, rows[row], item.mutant, counts);
      if (counts.broken[item.promise] != 0)
        return true;
    }
  }
  return false;
}

// --- Retention of the ledger ------------------------------------------------

RetentionWorldOptions RetentionRow(uint64_t seed, RetentionMutant mutant) {
  RetentionWorldOptions options;
  options.seed = seed;
  options.mutant = mutant;
  options.retention.ledger = std::chrono::days(4);
  options.retention.limit = 7;
  // One proxy's clock can be ahead by any amount, the callers' clocks by a day.
  options.proxies_ahead[seed % 2] = std::chrono::hours(seed * 37 % 9'000);
  options.callers_ahead = std::chrono::hours(seed % 25);
  options.both_purge = seed % 2 == 1 || seed % 3 == 0;
  options.change_primary = seed % 5 < 3;
  return options;
}

enum RetentionPromise { kPurgedNeverRuns, kNoEarlyPurge, kLedgerBounded };

void AddRetention(uint64_t seed,
                  RetentionMutant mutant,
                  std::vector<PromiseResult>& results) {
  const RetentionWorldOptions options = RetentionRow(seed, mutant);
  RetentionWorld world(options);
  world.Run();
  const uint64_t bound = options.writes_per_hour * ((4 + 1) * 24 + 10);
  results[kPurgedNeverRuns].cases += world.late_copies;
  results[kPurgedNeverRuns].broken += world.ran_twice;
  results[kNoEarlyPurge].cases += 24 * options.days;
  results[kNoEarlyPurge].broken += world.hours_with_early_removal;
  ++results[kLedgerBounded].cases;
  results[kLedgerBounded].broken += world.largest_ledger > bound ? 1 : 0;
}

constexpr std::pair<RetentionMutant, RetentionPromise> kRetentionMutants[] = {
    {RetentionMutant::kRetryUnderNewId, kPurgedNeverRuns},
    {RetentionMutant::kWallClockOnly, kNoEarlyPurge},
    {RetentionMutant::kOneCallPerRound, kLedgerBounded},
};

constexpr uint64_t kRetentionRuns = 60;

std::vector<PromiseResult> RetentionResults(uint64_t seed,
                                            RetentionMutant mutant,
                                            uint64_t runs) {
  std::vector<PromiseResult> results = {{"purged_id_never_runs", 0, 0},
                                        {"no_early_purge", 0, 0},
                                        {"ledger_bounded", 0, 0}};
  for (uint64_t run = 0; run < runs; ++run)
    AddRetention(seed + run, mutant, results);
  return results;
}

std::vector<PromiseResult> RunRetention(uint64_t seed) {
  auto results = RetentionResults(seed, RetentionMutant::kNone, kRetentionRuns);
  for (const auto& [mutant, promise] : kRetentionMutants) {
    ++results[promise].mutants;
    if (RetentionResults(seed, mutant, 2)[promise].broken != 0)
      ++results[promise].mutants_caught;
  }
  return results;
}

int RunTables(uint64_t seed) {
  const auto rows = Rows();
  Counts all;
  for (uint64_t run = 0; run < kRunsForEachRow; ++run) {
    for (size_t row = 0; row < rows.size(); ++row) {
      Counts counts;
      const uint64_t case_seed = seed + run * rows.size() + row;
      RunCase(case_seed, rows[row], Mutant::kNone, counts);
      for (size_t promise = 0; promise < kPromises; ++promise) {
        all.cases[promise] += counts.cases[promise];
        all.broken[promise] += counts.broken[promise];
        if (counts.broken[promise] != 0)
          std::cout << "broken=" << kPromiseNames[promise] << " row=" << row
                    << " seed=" << case_seed << '\n';
      }
    }
  }
  std::vector<PromiseResult> results;
  for (size_t promise = 0; promise < kPromises; ++promise)
    results.push_back(PromiseResult{kPromiseNames[promise], all.cases[promise],
                                    all.broken[promise]});
  for (const MutantCase& item : kMutants) {
    ++results[item.promise].mutants;
    if (IsCaught(item, rows, seed))
      ++results[item.promise].mutants_caught;
    else
      std::cout << "missed_mutant=" << static_cast<int>(item.mutant) << '\n';
  }
  for (PromiseResult& result : RunRetention(seed))
    results.push_back(std::move(result));
  std::cout << "runs=" << kRunsForEachRow * rows.size() << " seed=" << seed
            << '\n';
  return PrintPromises(results);
}

int RunOne(uint64_t seed, size_t row) {
  const auto rows = Rows();
  Counts counts;
  RunCase(seed, rows.at(row), Mutant::kNone, counts);
  int exit_code = 0;
  for (size_t promise = 0; promise < kPromises; ++promise) {
    std::cout << kPromiseNames[promise] << " cases=" << counts.cases[promise]
              << " broken=" << counts.broken[promise] << '\n';
    exit_code |= counts.broken[promise] != 0 ? 1 : 0;
  }
  return exit_code;
}

}  // namespace

}  // namespace jackdawturn::requests

int main() {
  const uint64_t seed = jackdawturn::SeedFromEnvironment();
  const char* row = std::getenv("ROW");
  if (row != nullptr)
    return jackdawturn::requests::RunOne(seed, std::strtoull(row, nullptr, 10));
  return jackdawturn::requests::RunTables(seed);
}
