#include <algorithm>
#include <string>

#include "ports/port_benches.h"

#include "support/table_test.h"

namespace jackdawturn {

namespace {

// Never reached unless a case says so, whatever the speed of the machine.
constexpr Duration kLong = std::chrono::seconds(60);
constexpr Duration kShort = std::chrono::milliseconds(20);
constexpr Term kTerm{1};

BackendConnectionId Id(uint64_t number) {
  return BackendConnectionId{number};
}

// `id` names the request.
WriteCommand Command(const std::string& id, const std::string& statement) {
  return {kTerm, MakeRequestId(WallTime(std::chrono::hours(1)), Hash64(id)),
          ClassName("c"), 7, statement};
}

void Open(BackendBench& bench, uint64_t connection, Duration timeout = kLong) {
  bench.port->Send(OpenBackend{Id(connection), kInstance, timeout});
}

void Call(BackendBench& bench,
          uint64_t call,
          std::optional<uint64_t> connection,
          BackendRequest request,
          Duration timeout = kLong,
          const InstanceName& instance = kInstance,
          bool fresh = false) {
  CallBackend command{call, instance, {}, std::move(request), timeout, fresh};
  if (connection)
    command.connection = Id(*connection);
  bench.port->Send(std::move(command));
}

template <typename T>
const T* Find(const BackendBench& bench,
              const std::function<bool(const T&)>& is) {
  for (const BackendEvent& event : bench.events) {
    const T* item = std::get_if<T>(&event);
    if (item != nullptr && is(*item))
      return item;
  }
  return nullptr;
}

const BackendOpened* Opened(const BackendBench& bench, uint64_t connection) {
  return Find<BackendOpened>(bench, [connection](const BackendOpened& event) {
    return event.connection == Id(connection);
  });
}

const BackendLost* Lost(const BackendBench& bench, uint64_t connection) {
  return Find<BackendLost>(bench, [connection](const BackendLost& event) {
    return event.connection == Id(connection);
  });
}

const BackendAnswered* Answered(const BackendBench& bench, uint64_t call) {
  return Find<BackendAnswered>(bench, [call](const BackendAnswered& event) {
    return event.call == call;
  });
}

// Waits for the answer and returns it. Errors must name step and peer.
const Result<BackendResponse>& Await(BackendBench& bench, uint64_t call) {
  cr_assert(
      bench.clock().Until([&] { return Answered(bench, call) != nullptr; }));
  const BackendAnswered* answer = Answered(bench, call);
  cr_assert(answer->result || !answer->result.error().step.empty());
  cr_assert(answer->result ||
            answer->result.error().peer == answer->instance.value());
  return answer->result;
}

const Result<void>& AwaitOpen(BackendBench& bench, uint64_t connection) {
  cr_assert(bench.clock().Until(
      [&] { return Opened(bench, connection) != nullptr; }));
  const BackendOpened* opened = Opened(bench, connection);
  cr_assert(opened->result || !opened->result.error().step.empty());
  cr_assert(opened->result ||
            opened->result.error().peer == opened->instance.value());
  return opened->result;
}

ErrorCode CodeOf(BackendBench& bench, uint64_t call) {
  const auto& result = Await(bench, call);
  cr_assert_not(result.has_value());
  return result.error().code;
}

std::string ValueOf(BackendBench& bench, uint64_t call) {
  const auto& result = Await(bench, call);
  cr_assert(result.has_value());
  if (const auto* read = std::get_if<ReadResult>(&result.value()))
    return read->value;
  if (const auto* write = std::get_if<LedgerResult>(&result.value()))
    return write->value;
  return std::get<StatementResult>(result.value()).value;
}

bool Has(BackendBench& bench, const std::string& key) {
  return bench.database().data().count(key) != 0;
}

size_t IndexOf(const BackendBench& bench, const void* event) {
  size_t index = 0;
  for (const BackendEvent& item : bench.events) {
    if (std::visit([](const auto& value) -> const void* { return &value; },
                   item) == event)
      return index;
    ++index;
  }
  return index;
}

// The cases: what every implementation of BackendPort must do.

void CallsRunInOrder(BackendBench& bench) {
  // Sent before the connection is open; each needs the one before it.
  Open(bench, 1);
  const TransactionId transaction("t");
  Call(bench, 1, 1, BeginCall{transaction, kTerm});
  Call(bench, 2, 1, StatementCall{transaction, "add n 1"});
  Call(bench, 3, 1, StatementCall{transaction, "add n 1"});
  Call(bench, 4, 1, CommitCall{transaction, Command("r", "")});
  cr_assert(Await(bench, 4).has_value());
  cr_assert(ValueOf(bench, 2) == "1");
  cr_assert(ValueOf(bench, 3) == "2");
  for (uint64_t call = 1; call <= 4; ++call)
    cr_assert_eq(IndexOf(bench, Answered(bench, call)), call);
  cr_assert(std::holds_alternative<BackendOpened>(bench.events.front()));
}

void ErrorsOfTheInstanceArrive(BackendBench& bench) {
  Open(bench, 1);
  Call(bench, 1, 1, ReadCall{Term{9}, "get k"});
  cr_assert(CodeOf(bench, 1) == ErrorCode::kWrongTerm);
  Call(bench, 2, 1, ReadCall{kTerm, "nonsense"});
  cr_assert(CodeOf(bench, 2) == ErrorCode::kInvalidArgument);
  // The connection stays usable.
  Call(bench, 3, 1, WriteCall{Command("r", "put k v")});
  cr_assert(Await(bench, 3).has_value());
  cr_assert(Lost(bench, 1) == nullptr);
}

void ClosedConnectionNeverRuns(BackendBench& bench) {
  Call(bench, 1, 9, WriteCall{Command("never-opened", "put a 1")});
  cr_assert(CodeOf(bench, 1) == ErrorCode::kUnavailable);
  Open(bench, 1);
  cr_assert(AwaitOpen(bench, 1).has_value());
  bench.port->Send(CloseBackend{Id(1)});
  Call(bench, 2, 1, WriteCall{Command("closed", "put b 1")});
  cr_assert(CodeOf(bench, 2) == ErrorCode::kUnavailable);
  bench.port->Send(CloseBackend{Id(1)});  // Closing again changes nothing.
  cr_assert(bench.clock().Until(
      [&] { return bench.database().open_connections() == 0; }));
  cr_assert_not(Has(bench, "a") || Has(bench, "b"));
  cr_assert(Lost(bench, 1) == nullptr);
}

void CloseAnswersEveryCall(BackendBench& bench) {
  Open(bench, 1);
  cr_assert(AwaitOpen(bench, 1).has_value());
  Call(bench, 1, 1, WriteCall{Command("sent", "put a 1")});
  Call(bench, 2, 1, WriteCall{Command("waits", "put b 1")});
  bench.port->Send(CloseBackend{Id(1)});
  cr_assert(CodeOf(bench, 1) == ErrorCode::kTimeout);
  cr_assert(CodeOf(bench, 2) == ErrorCode::kUnavailable);
  cr_assert(bench.clock().Until(
      [&] { return bench.database().open_connections() == 0; }));
  cr_assert_not(Has(bench, "b"));
}

void CloseWhileOpening(BackendBench& bench) {
  Open(bench, 1);
  Call(bench, 1, 1, WriteCall{Command("r", "put a 1")});
  bench.port->Send(CloseBackend{Id(1)});
  cr_assert(CodeOf(bench, 1) == ErrorCode::kUnavailable);
  // The place of the connection is free again.
  Open(bench, 2);
  cr_assert(AwaitOpen(bench, 2).has_value());
  cr_assert(bench.clock().Until(
      [&] { return bench.database().open_connections() == 1; }));
  cr_assert(Opened(bench, 1) == nullptr);
  cr_assert_not(Has(bench, "a"));
}

void TimedOutCallMayHaveRun(BackendBench& bench) {
  Open(bench, 1);
  cr_assert(AwaitOpen(bench, 1).has_value());
  Call(bench, 1, 1, WriteCall{Command("r", "put a 1")}, kShort);
  Call(bench, 2, 1, WriteCall{Command("s", "put b 1")});
  cr_assert(CodeOf(bench, 1) == ErrorCode::kTimeout);
  cr_assert(bench.clock().Until([&] { return Has(bench, "a"); }));
  cr_assert(CodeOf(bench, 2) == ErrorCode::kUnavailable);
  cr_assert(bench.clock().Until([&] { return Lost(bench, 1) != nullptr; }));
  cr_assert_lt(IndexOf(bench, Answered(bench, 1)),
               IndexOf(bench, Lost(bench, 1)));
  cr_assert(bench.clock().Until(
      [&] { return bench.database().open_connections() == 0; }));
  cr_assert_not(Has(bench, "b"));
}

void WaitingCallKeepsItsTimeout(BackendBench& bench) {
  Open(bench, 1);
  cr_assert(AwaitOpen(bench, 1).has_value());
  bench.SilenceOpenConnections();
  Call(bench, 1, 1, ReadCall{kTerm, "get k"}, 10 * kShort);
  Call(bench, 2, 1, WriteCall{Command("r", "put a 1")}, kShort);
  cr_assert(CodeOf(bench, 2) == ErrorCode::kUnavailable);
  cr_assert(Answered(bench, 1) == nullptr);
  cr_assert(CodeOf(bench, 1) == ErrorCode::kTimeout);
  cr_assert_not(Has(bench, "a"));
}

void OpenBeyondTheLimit(BackendBench& bench) {
  Open(bench, 1);
  Open(bench, 2);
  cr_assert(AwaitOpen(bench, 1).has_value());
  cr_assert(AwaitOpen(bench, 2).has_value());
  Open(bench, 3);
  Call(bench, 1, 3, WriteCall{Command("r", "put a 1")});
  cr_assert(AwaitOpen(bench, 3).error().code == ErrorCode::kExhausted);
  cr_assert(CodeOf(bench, 1) == ErrorCode::kUnavailable);
  bench.port->Send(CloseBackend{Id(1)});
  cr_assert(bench.clock().Until(
      [&] { return bench.database().open_connections() == 1; }));
  Open(bench, 4);
  cr_assert(AwaitOpen(bench, 4).has_value());
  cr_assert_not(Has(bench, "a"));
}

void CloseRollsBack(BackendBench& bench) {
  Open(bench, 1);
  const TransactionId transaction("t");
  Call(bench, 1, 1, BeginCall{transaction, kTerm});
  Call(bench, 2, 1, StatementCall{transaction, "put a 1"});
  cr_assert(Await(bench, 2).has_value());
  bench.port->Send(CloseBackend{Id(1)});
  cr_assert(bench.clock().Until(
      [&] { return bench.database().open_connections() == 0; }));
  Open(bench, 2);
  Call(bench, 3, 2, CommitCall{transaction, Command("r", "")});
  cr_assert_not(Await(bench, 3).has_value());
  cr_assert_not(Has(bench, "a"));
}

void CrashLosesConnections(BackendBench& bench) {
  Open(bench, 1);
  cr_assert(AwaitOpen(bench, 1).has_value());
  Call(bench, 1, 1, ReadCall{kTerm, "get k"});
  cr_assert(Await(bench, 1).has_value());
  bench.Crash();
  Call(bench, 2, 1, WriteCall{Command("r", "put a 1")});
  cr_assert_not(Await(bench, 2).has_value());
  cr_assert(bench.clock().Until([&] { return Lost(bench, 1) != nullptr; }));
  Open(bench, 2);
  cr_assert(AwaitOpen(bench, 2).error().code == ErrorCode::kUnavailable);
  cr_assert(AwaitOpen(bench, 2).error().step == kConnectStep);
  cr_assert_not(Has(bench, "a"));
}

void DownInstanceRefuses(BackendBench& bench) {
  for (const bool fresh : {false, true}) {
    Call(bench, fresh ? 1 : 2, {}, ReportCall{}, kLong, kDownInstance, fresh);
    const auto& result = Await(bench, fresh ? 1 : 2);
    cr_assert(result.error().code == ErrorCode::kUnavailable);
    cr_assert(result.error().step == kConnectStep);
  }
}

void UnknownInstanceIsUnavailable(BackendBench& bench) {
  const InstanceName nobody("nobody");
  bench.port->Send(OpenBackend{Id(1), nobody, kLong});
  cr_assert(AwaitOpen(bench, 1).error().code == ErrorCode::kUnavailable);
  Call(bench, 1, {}, ReportCall{}, kLong, nobody);
  Call(bench, 2, {}, ReportCall{}, kLong, nobody, true);
  // Not kConnectStep, which is evidence against an instance.
  for (const uint64_t call : {1, 2}) {
    cr_assert(CodeOf(bench, call) == ErrorCode::kUnavailable);
    cr_assert(Await(bench, call).error().step != kConnectStep);
  }
}

void SilentInstanceTimesOut(BackendBench& bench) {
  bench.SetSilent(true);
  Open(bench, 1, kShort);
  Call(bench, 1, {}, ReportCall{}, kShort);
  Call(bench, 2, {}, ReportCall{}, kShort, kInstance, true);
  cr_assert(AwaitOpen(bench, 1).error().code == ErrorCode::kTimeout);
  cr_assert(CodeOf(bench, 1) == ErrorCode::kTimeout);
  cr_assert(CodeOf(bench, 2) == ErrorCode::kTimeout);
  bench.SetSilent(false);
  Call(bench, 3, {}, ReportCall{});
  cr_assert(Await(bench, 3).has_value());
}

void SilentConnectionAloneIsLost(BackendBench& bench) {
  Open(bench, 1);
  cr_assert(AwaitOpen(bench, 1).has_value());
  bench.SilenceOpenConnections();
  Open(bench, 2);
  Call(bench, 1, 1, ReadCall{kTerm, "get k"}, kShort);
  Call(bench, 2, 2, ReadCall{kTerm, "get k"});
  cr_assert(Await(bench, 2).has_value());
  cr_assert(CodeOf(bench, 1) == ErrorCode::kTimeout);
  cr_assert(bench.clock().Until([&] { return Lost(bench, 1) != nullptr; }));
  cr_assert(Lost(bench, 2) == nullptr);
}

void ReportWaitsForItsPosition(BackendBench& bench) {
  Open(bench, 1);
  cr_assert(AwaitOpen(bench, 1).has_value());
  const LogPosition next = bench.database().Report().position.Next();
  Call(bench, 1, {}, ReportCall{next, kLong});
  Call(bench, 2, {}, ReportCall{next, kShort});
  const auto& late = Await(bench, 2);
  cr_assert(std::get<InstanceReport>(late.value()).position < next);
  cr_assert(Answered(bench, 1) == nullptr);
  Call(bench, 3, 1, WriteCall{Command("r", "put a 1")});
  const auto& reached = Await(bench, 1);
  cr_assert(std::get<InstanceReport>(reached.value()).position == next);
}

void RepeatedWriteRunsOnce(BackendBench& bench) {
  Open(bench, 1);
  for (uint64_t call = 1; call <= 3; ++call)
    Call(bench, call, 1, WriteCall{Command("r", "add n 1")});
  cr_assert(Await(bench, 3).has_value());
  cr_assert(std::get<LedgerResult>(Await(bench, 3).value()).existing);
  cr_assert(bench.database().data().at("n") == "1");
}

void PurgeRemovesOldEntries(BackendBench& bench) {
  Open(bench, 1);
  Call(bench, 1, 1, WriteCall{Command("r", "add n 1")});
  cr_assert(Await(bench, 1).has_value());
  // The time of the ids of Command() is an hour.
  const WallTime time(std::chrono::hours(1));
  const WallTime later = time + std::chrono::milliseconds(1);
  Call(bench, 2, {}, PurgeCall{kTerm, time, 10});
  const PurgeResult kept = std::get<PurgeResult>(Await(bench, 2).value());
  cr_assert(kept.removed == 0 && kept.low_water == time && kept.newest == time);
  Call(bench, 3, {}, PurgeCall{kTerm.Next(), later, 10});
  cr_assert(CodeOf(bench, 3) == ErrorCode::kWrongTerm);
  Call(bench, 4, {}, PurgeCall{kTerm, later, 10});
  const PurgeResult purged = std::get<PurgeResult>(Await(bench, 4).value());
  cr_assert(purged.removed == 1 && purged.low_water == later && !purged.newest);
  Call(bench, 5, 1, WriteCall{Command("r", "add n 1")});
  cr_assert(CodeOf(bench, 5) == ErrorCode::kExhausted);
}

void ManyUncountedCalls(BackendBench& bench) {
  // More than an adapter may have in progress; all wait, and the last one has
  // the shortest timeout.
  constexpr uint64_t kCalls = 200;
  const LogPosition never{1'000'000};
  for (uint64_t call = 1; call < kCalls; ++call)
    Call(bench, call, {}, ReportCall{never, 20 * kShort}, 10 * kShort);
  Call(bench, kCalls, {}, ReportCall{never, 20 * kShort}, kShort);
  cr_assert_not(Await(bench, kCalls).has_value());
  cr_assert_eq(bench.events.size(), 1);
  cr_assert(bench.clock().Until([&] { return bench.events.size() == kCalls; }));
  for (uint64_t call = 1; call < kCalls; ++call)
    cr_assert_not(Await(bench, call).has_value());
}

void DestroyedPortIsSilent(BackendBench& bench) {
  Open(bench, 1);
  cr_assert(AwaitOpen(bench, 1).has_value());
  Open(bench, 2);
  Call(bench, 1, 1, ReadCall{kTerm, "get k"});
  Call(bench, 2, {}, ReportCall{});
  const size_t before = bench.events.size();
  bench.port.reset();
  cr_assert(bench.clock().Until(
      [&] { return bench.database().open_connections() == 0; }));
  cr_assert_eq(bench.events.size(), before);
}

}  // namespace

struct BackendCase {
  const char* name;
  void (*run)(BackendBench& bench);
  BackendBenchOptions options = {};
};

static const BackendCase kBackendCases[] = {
    {"calls of a connection run in order", CallsRunInOrder},
    {"errors of the instance arrive", ErrorsOfTheInstanceArrive},
    {"a call on a closed connection never runs", ClosedConnectionNeverRuns},
    {"closing answers every call", CloseAnswersEveryCall, {10 * kShort}},
    {"closing a connection that is being opened", CloseWhileOpening},
    {"a call that timed out may have run",
     TimedOutCallMayHaveRun,
     {10 * kShort}},
    {"a waiting call keeps its timeout", WaitingCallKeepsItsTimeout},
    {"open beyond the limit", OpenBeyondTheLimit},
    {"closing rolls back", CloseRollsBack},
    {"a crash loses the connections", CrashLosesConnections},
    {"an instance that is down refuses", DownInstanceRefuses},
    {"an unknown instance is unavailable", UnknownInstanceIsUnavailable},
    {"a silent instance times out", SilentInstanceTimesOut},
    {"a silent connection alone is lost", SilentConnectionAloneIsLost},
    {"a report waits for its position", ReportWaitsForItsPosition},
    {"a repeated write runs once", RepeatedWriteRunsOnce},
    {"a purge removes old entries", PurgeRemovesOldEntries},
    {"many uncounted calls", ManyUncountedCalls},
    {"a destroyed port is silent", DestroyedPortIsSilent},
};

static void RunCase(const BackendCase& row, BackendBench& bench) {
  row.run(bench);
  std::map<uint64_t, int> answers;
  std::map<uint64_t, int> opened;
  std::map<uint64_t, int> lost;
  for (const BackendEvent& event : bench.events) {
    if (const auto* answer = std::get_if<BackendAnswered>(&event))
      cr_assert_eq(++answers[answer->call], 1, "%s", row.name);
    else if (const auto* open = std::get_if<BackendOpened>(&event))
      cr_assert_eq(++opened[open->connection.value], 1, "%s", row.name);
    else
      cr_assert_eq(++lost[std::get<BackendLost>(event).connection.value], 1,
                   "%s", row.name);
  }
}

// Guards against an adapter and a fake that differ, so that decisions tested
// against the fake fail in production. Each event comes at most once.
TABLE_TEST(backend_port, http_adapter_keeps_the_contract, kBackendCases) {
  const BackendCase& row = kBackendCases[*row_index];
  HttpBackendBench bench(row.options);
  RunCase(row, bench);
}

TABLE_TEST(backend_port, fake_keeps_the_contract, kBackendCases) {
  const BackendCase& row = kBackendCases[*row_index];
  FakeBackendBench bench(row.options);
  RunCase(row, bench);
}

}  // namespace jackdawturn
