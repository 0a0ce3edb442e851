#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "failover/failover.h"
#include "proxy/proxy.h"
#include "targets/targets.h"

#include "support/table_test.h"

namespace jackdawturn::proxy {

static const GroupName kGroup("g1");
static const ClockTime kWallClock(std::chrono::days(20'000));

// A ready proxy. The platform answers from `objects`; connections are opened
// and reports answered immediately; all other calls to instances are queued in
// `calls`.
struct ProxyDriver {
  std::unique_ptr<ProxyMachine> machine;
  TimePoint now;
  std::map<std::string, std::string> objects;
  std::vector<CallBackend> calls;
  std::vector<CallPlatform> watches;
  std::set<uint64_t> closed;
  std::map<uint64_t, CallerAnswer> answers;
  bool ready = false;
  std::optional<int> exit_code;
  uint64_t last_call = 0;

  ProxyDriver() {
    ProxyOptions options;
    options.vm = VmName("entry-1");
    options.wall_clock = kWallClock;
    options.zone = ZoneName("zone-a");
    options.routing.zone = options.zone;
    options.gossip_address = fleet::PeerAddress("127.0.0.1:7400");
    options.groups = {{kGroup,
                       {{InstanceName("i1"), options.zone},
                        {InstanceName("i2"), options.zone}}}};
    options.fleet_keys = {"fleet-key-for-tests-0123456789abcd"};
    options.token_keys.secrets = {{0, "token-key-for-tests-0123456789abcd"}};
    options.secure_random_bytes = [next = uint8_t{0}]() mutable {
      std::array<uint8_t, 16> bytes{};
      bytes[0] = ++next;
      return bytes;
    };
    GroupRecord record;
    record.group = kGroup;
    record.term = Term{1};
    record.primary = InstanceName("i1");
    record.instances = {InstanceName("i1"), InstanceName("i2")};
    record.history = {{Term{1}, LogPosition{1}}};
    objects[failover::GroupRecordKey(kGroup)] =
        failover::GroupRecordToJson(record);
    targets::StoredTargets stored;
    stored.classes[ClassName("counts")] = {std::nullopt,
                                           std::chrono::seconds(1), false};
    stored.changes = {targets::ChangeId("initial")};
    objects["targets"] = targets::SerializeStoredTargets(stored);
    auto created = ProxyMachine::Create(options);
    cr_assert(created.has_value());
    machine = std::move(created).value();
    Take(machine->Start(now));
    Wait(std::chrono::seconds(3));
    cr_assert(ready);
  }

  void Feed(const Event& event) { Take(machine->Handle(event, now)); }
  void Wait(Duration time) {
    constexpr Duration kStep = std::chrono::milliseconds(10);
    for (const TimePoint end = now + time; now < end;) {
      now += kStep;
      Feed(TimePassed{});
    }
  }
  void Take(const std::vector<Effect>& effects) {
    for (const Effect& effect : effects) {
      if (const auto* answer = std::get_if<AnswerCaller>(&effect))
        answers[answer->call.value] = answer->answer;
      else if (const auto* set = std::get_if<SetReady>(&effect))
        ready = set->ready;
      else if (const auto* exit = std::get_if<ExitProcess>(&effect))
        exit_code = exit->code;
      else if (const auto* call = std::get_if<CallPlatform>(&effect))
        AnswerPlatform(*call);
      else if (const auto* command = std::get_if<BackendCommand>(&effect))
        Take(*command);
    }
  }
  void AnswerPlatform(const CallPlatform& call) {
    if (const auto* read = std::get_if<ReadObject>(&call.request)) {
      const auto found = objects.find(read->key);
      VersionedObject object;
      object.key = read->key;
      if (found != objects.end()) {
        object.version = ObjectVersion{1};
        object.value = found->second;
      }
      Feed(PlatformAnswered{call.call, PlatformResponse(object)});
    } else if (const auto* watch = std::get_if<WatchObjects>(&call.request);
               watch != nullptr && watch->after == 0) {
      ObjectChanges changes;
      changes.revision = 1;
      for (const auto& [key, value] : objects) {
        if (key.starts_with(watch->prefix))
          changes.objects.push_back({key, ObjectVersion{1}, value});
      }
      Feed(PlatformAnswered{call.call, PlatformResponse(changes)});
    } else if (std::holds_alternative<WatchObjects>(call.request)) {
      watches.push_back(call);
    } else if (std::holds_alternative<ListVms>(call.request)) {
      Feed(PlatformAnswered{call.call, PlatformResponse(VmList())});
    }
  }
  void Take(const BackendCommand& command) {
    if (const auto* open = std::get_if<OpenBackend>(&command)) {
      Feed(BackendOpened{open->connection, open->instance, Success()});
    } else if (const auto* close = std::get_if<CloseBackend>(&command)) {
      closed.insert(close->connection.value);
    } else {
      const auto& call = std::get<CallBackend>(command);
      if (!std::holds_alternative<ReportCall>(call.request)) {
        calls.push_back(call);
        return;
      }
      const InstanceReport report{Term{1}, Term{1}, LogPosition{1},
                                  call.instance == InstanceName("i1")};
      Feed(BackendAnswered{call.call, call.instance, BackendResponse(report)});
    }
  }

  // Answers the watches with version 2 of an object.
  void Publish(const std::string& key, const std::string& value) {
    objects[key] = value;
    ObjectChanges changes;
    changes.revision = 2;
    changes.objects = {{key, ObjectVersion{2}, value}};
    for (const CallPlatform& watch : std::exchange(watches, {})) {
      if (key.starts_with(std::get<WatchObjects>(watch.request).prefix))
        Feed(PlatformAnswered{watch.call, PlatformResponse(changes)});
    }
  }

  uint64_t Ask(CallerOperation operation, const std::string& transaction = "") {
    CallerRequest request;
    request.operation = operation;
    request.group = kGroup;
    request.class_name = ClassName("counts");
    request.transaction = TransactionId(transaction);
    request.statement = "add k 1";
    request.request = MakeRequestId(WallTime(std::chrono::hours(1)), 1);
    request.transaction_digest = 7;
    Feed(CallerRequestReceived{CallerRequestNumber{++last_call}, request});
    return last_call;
  }
  // Sends a write, commit or outcome query whose id is ahead of the wall clock.
  uint64_t AskAhead(CallerOperation operation,
                    Duration ahead,
                    bool retry,
                    const std::string& transaction = "") {
    CallerRequest request;
    request.operation = operation;
    request.group = kGroup;
    request.class_name = ClassName("counts");
    request.transaction = TransactionId(transaction);
    request.statement = "add k 1";
    request.retry = retry;
    request.digest = 7;
    request.request =
        MakeRequestId(std::chrono::floor<std::chrono::milliseconds>(
                          kWallClock + now.time_since_epoch() + ahead),
                      1);
    Feed(CallerRequestReceived{CallerRequestNumber{++last_call}, request});
    return last_call;
  }
  // Answers the last call, which must be a RefuseCall.
  void AnswerRefusal(LedgerOutcome outcome) {
    const auto* refuse = std::get_if<RefuseCall>(&calls.back().request);
    cr_assert(refuse != nullptr);
    const WriteCommand& command = refuse->command;
    Answer(calls.back(),
           BackendResponse(LedgerResult{
               {command.request, command.class_name, command.digest, outcome,
                TermPosition{Term{1}, LogPosition{1}}},
               true,
               ""}));
  }
  void Answer(const CallBackend& call, Result<BackendResponse> result) {
    Feed(BackendAnswered{call.call, call.instance, std::move(result)});
  }
  void AnswerLast() {
    Answer(calls.back(), BackendResponse(StatementResult{"v"}));
  }
  // Opens a transaction and returns its id.
  std::string Begin() {
    const uint64_t call = Ask(CallerOperation::kBegin);
    AnswerLast();
    cr_assert(answers.count(call) != 0);
    cr_assert(answers[call].outcome == CallerOutcome::kDone);
    return answers[call].transaction.value();
  }
  // Returns the last purge, which must be for `instance`.
  const CallBackend& LastPurge(const char* instance) const {
    const auto found =
        std::find_if(calls.rbegin(), calls.rend(), [](const auto& call) {
          return std::holds_alternative<PurgeCall>(call.request);
        });
    cr_assert(found != calls.rend());
    cr_assert_str_eq(found->instance.value().c_str(), instance);
    cr_assert_not(found->connection);
    return *found;
  }
  void PublishSecondTerm() {
    GroupRecord record;
    record.group = kGroup;
    record.term = Term{2};
    record.primary = InstanceName("i2");
    record.instances = {InstanceName("i1"), InstanceName("i2")};
    record.history = {{Term{1}, LogPosition{1}}, {Term{2}, LogPosition{2}}};
    Publish(failover::GroupRecordKey(kGroup),
            failover::GroupRecordToJson(record));
  }
  bool LastClosed() const {
    return closed.count(calls.back().connection->value) != 0;
  }
  bool Ended(const std::string& transaction) {
    const uint64_t call = Ask(CallerOperation::kStatement, transaction);
    return answers.count(call) != 0 &&
           answers[call].reason == "transaction_ended";
  }
  static Error Failed(ErrorCode code) { return {code, "step", "i1", "failed"}; }
};

struct EventCase {
  const char* guards_against;
  void (*run)(ProxyDriver& driver);
};

static constexpr Duration kDay = std::chrono::hours(24);
static constexpr Duration kMoreThanADay = kDay + std::chrono::seconds(1);

static const EventCase kEventCases[] = {
    {"a write whose entry would outlive the retention",
     [](ProxyDriver& driver) {
       const size_t calls = driver.calls.size();
       const uint64_t call =
           driver.AskAhead(CallerOperation::kWrite, kMoreThanADay, false);
       cr_assert(driver.answers.at(call).outcome == CallerOutcome::kInvalid);
       cr_assert_str_eq(driver.answers[call].reason.c_str(), "id_from_future");
       cr_assert_eq(driver.calls.size(), calls);
       driver.AskAhead(CallerOperation::kWrite, kDay, false);
       cr_assert(
           std::holds_alternative<WriteCall>(driver.calls.back().request));
     }},
    {"a retried write that is refused although its first submission ran",
     [](ProxyDriver& driver) {
       const uint64_t ran =
           driver.AskAhead(CallerOperation::kWrite, kMoreThanADay, true);
       driver.AnswerRefusal(LedgerOutcome::kDone);
       cr_assert(driver.answers.at(ran).outcome == CallerOutcome::kDone);
       const uint64_t unanswered =
           driver.AskAhead(CallerOperation::kWrite, kMoreThanADay, true);
       driver.Wait(std::chrono::seconds(3));
       cr_assert(driver.answers.at(unanswered).outcome ==
                 CallerOutcome::kUnknown);
     }},
    {"a retried write that did not run, and runs although its id is ahead",
     [](ProxyDriver& driver) {
       const uint64_t call =
           driver.AskAhead(CallerOperation::kWrite, kMoreThanADay, true);
       driver.AnswerRefusal(LedgerOutcome::kRefused);
       cr_assert(driver.answers.at(call).outcome == CallerOutcome::kInvalid);
       cr_assert_str_eq(driver.answers[call].reason.c_str(), "id_from_future");
     }},
    {"a commit whose entry would outlive the retention",
     [](ProxyDriver& driver) {
       const std::string id = driver.Begin();
       const uint64_t call =
           driver.AskAhead(CallerOperation::kCommit, kMoreThanADay, false, id);
       driver.AnswerRefusal(LedgerOutcome::kRefused);
       cr_assert_str_eq(driver.answers.at(call).reason.c_str(),
                        "id_from_future");
       cr_assert_not(driver.Ended(id));
     }},
    {"an outcome query that is refused because its id is ahead",
     [](ProxyDriver& driver) {
       const uint64_t call =
           driver.AskAhead(CallerOperation::kOutcome, kMoreThanADay, false);
       driver.AnswerRefusal(LedgerOutcome::kRefused);
       cr_assert(driver.answers.at(call).outcome == CallerOutcome::kNotRun);
     }},
    {"a late answer that reaches another request",
     [](ProxyDriver& driver) {
       const std::string id = driver.Begin();
       const uint64_t call = driver.Ask(CallerOperation::kStatement, id);
       const CallBackend late = driver.calls.back();
       driver.Wait(std::chrono::seconds(3));
       cr_assert(driver.answers[call].outcome == CallerOutcome::kNotRun);
       const size_t answered = driver.answers.size();
       driver.Answer(late, BackendResponse(StatementResult{"late"}));
       cr_assert_eq(driver.answers.size(), answered);
       cr_assert(driver.closed.count(late.connection->value) != 0);
     }},
    {"a transaction that continues after its connection was lost",
     [](ProxyDriver& driver) {
       const std::string id = driver.Begin();
       driver.Feed(BackendLost{*driver.calls.back().connection,
                               driver.calls.back().instance});
       cr_assert(driver.Ended(id));
       const uint64_t commit = driver.Ask(CallerOperation::kCommit, id);
       cr_assert(driver.answers[commit].outcome == CallerOutcome::kUnknown);
       cr_assert(driver.answers[commit].digest == 7);
     }},
    {"a connection that is reused after a begin without an answer",
     [](ProxyDriver& driver) {
       driver.Ask(CallerOperation::kBegin);
       driver.Answer(driver.calls.back(),
                     ProxyDriver::Failed(ErrorCode::kTimeout));
       cr_assert(driver.LastClosed());
     }},
    {"a full ring that leaves a transaction open or a request unanswered",
     [](ProxyDriver& driver) {
       const std::string id = driver.Begin();
       const uint64_t call = driver.Ask(CallerOperation::kStatement, id);
       driver.Answer(driver.calls.back(),
                     ProxyDriver::Failed(ErrorCode::kUnavailable));
       cr_assert(driver.answers[call].outcome == CallerOutcome::kNotRun);
       cr_assert(driver.LastClosed());
       cr_assert(driver.Ended(id));
     }},
    {"`not_run` for a write in flight without an answer, because its refusal "
     "met a full queue",
     [](ProxyDriver& driver) {
       const uint64_t call = driver.Ask(CallerOperation::kWrite);
       cr_assert(
           std::holds_alternative<WriteCall>(driver.calls.back().request));
       constexpr int kMoreThanFit = 200;
       for (int number = 0; number < kMoreThanFit; ++number)
         driver.Ask(CallerOperation::kWrite);
       cr_assert_neq(driver.answers.count(driver.last_call), 0);
       cr_assert(driver.answers[driver.last_call].reason == "overloaded");
       driver.Wait(std::chrono::seconds(3));
       cr_assert_neq(driver.answers.count(call), 0);
       cr_assert(driver.answers[call].outcome == CallerOutcome::kUnknown);
     }},
    {"a disconnected caller whose transaction stays open",
     [](ProxyDriver& driver) {
       const std::string id = driver.Begin();
       const uint64_t call = driver.Ask(CallerOperation::kStatement, id);
       driver.Feed(CallerDisconnected{CallerRequestNumber{call}});
       cr_assert(driver.LastClosed());
       cr_assert(driver.Ended(id));
     }},
    {"a refused commit that ends a transaction with a statement in flight",
     [](ProxyDriver& driver) {
       const std::string id = driver.Begin();
       const uint64_t call = driver.Ask(CallerOperation::kStatement, id);
       CallerRequest commit;
       commit.operation = CallerOperation::kCommit;
       commit.transaction = TransactionId(id);
       commit.request = MakeRequestId(WallTime(std::chrono::hours(1)), 1);
       driver.Feed(CallerRequestReceived{CallerRequestNumber{1'000}, commit});
       cr_assert(driver.answers[1'000].outcome == CallerOutcome::kUnknown);
       driver.AnswerLast();
       cr_assert(driver.answers[call].outcome == CallerOutcome::kDone);
       cr_assert_not(driver.Ended(id));
     }},
    {"an idle transaction that stays open",
     [](ProxyDriver& driver) {
       const std::string id = driver.Begin();
       driver.Wait(std::chrono::seconds(11));
       cr_assert(
           std::holds_alternative<RollbackCall>(driver.calls.back().request));
       driver.AnswerLast();
       cr_assert(driver.Ended(id));
     }},
    {"a transaction that exceeds its total limit",
     [](ProxyDriver& driver) {
       const std::string id = driver.Begin();
       for (int round = 0; round < 7; ++round) {
         driver.Ask(CallerOperation::kStatement, id);
         driver.AnswerLast();
         driver.Wait(std::chrono::seconds(9));
       }
       cr_assert(
           std::holds_alternative<RollbackCall>(driver.calls.back().request));
       driver.AnswerLast();
       cr_assert(driver.Ended(id));
     }},
    {"a transaction that ends because its class was removed",
     [](ProxyDriver& driver) {
       const std::string id = driver.Begin();
       targets::StoredTargets stored;
       stored.classes[ClassName("other")] = {std::nullopt,
                                             std::chrono::seconds(1), false};
       stored.changes = {targets::ChangeId("removed")};
       driver.Publish("targets", targets::SerializeStoredTargets(stored));
       const uint64_t begin = driver.Ask(CallerOperation::kBegin);
       cr_assert_str_eq(driver.answers[begin].reason.c_str(), "unknown_class");
       const uint64_t call = driver.Ask(CallerOperation::kStatement, id);
       driver.AnswerLast();
       cr_assert(driver.answers[call].outcome == CallerOutcome::kDone);
     }},
    {"a transaction that continues after a primary change",
     [](ProxyDriver& driver) {
       const std::string id = driver.Begin();
       driver.PublishSecondTerm();
       cr_assert(driver.LastClosed());
       const uint64_t commit = driver.Ask(CallerOperation::kCommit, id);
       cr_assert(driver.answers[commit].outcome == CallerOutcome::kUnknown);
     }},
    {"a ledger that is not purged, or is purged by the primary of an old term",
     [](ProxyDriver& driver) {
       driver.now += std::chrono::hours(1);
       driver.Feed(TimePassed{});
       const auto last = [&driver](const char* instance) {
         return std::get<PurgeCall>(driver.LastPurge(instance).request);
       };
       cr_assert(last("i1").low_water == WallTime());
       // The newest entry is one day older than the wall clock.
       const auto newest =
           std::chrono::floor<std::chrono::milliseconds>(kWallClock) -
           std::chrono::days(1);
       driver.Answer(driver.LastPurge("i1"),
                     BackendResponse(PurgeResult{0, WallTime(), newest}));
       cr_assert(last("i1").term == Term{1} && last("i1").limit == 1'000);
       cr_assert(last("i1").low_water == newest - std::chrono::days(40));
       driver.Answer(driver.LastPurge("i1"),
                     BackendResponse(PurgeResult{1'000, WallTime(), newest}));
       driver.PublishSecondTerm();
       driver.Wait(std::chrono::seconds(2));
       cr_assert(last("i2").term == Term{2});
     }},
    {"a transaction id that is derived from the seed",
     [](ProxyDriver& driver) {
       cr_assert(driver.Begin() == "entry-1.01000000000000000000000000000000");
     }},
    {"a drain that aborts a transaction, accepts one, or does not end",
     [](ProxyDriver& driver) {
       const std::string id = driver.Begin();
       OperatorRequestReceived drain;
       drain.action = OperatorAction::kDrain;
       driver.Feed(drain);
       const uint64_t refused = driver.Ask(CallerOperation::kBegin);
       cr_assert_str_eq(driver.answers[refused].reason.c_str(), "draining");
       cr_assert_not(driver.Ended(id));
       driver.AnswerLast();
       cr_assert_not(driver.exit_code.has_value());
       // The idle limit ends the transaction without a caller request.
       driver.Wait(std::chrono::seconds(11));
       driver.AnswerLast();
       driver.Wait(std::chrono::seconds(5));
       cr_assert_eq(driver.exit_code, 0);
     }},
};

TABLE_TEST(proxy, transaction_events, kEventCases) {
  const EventCase& row = kEventCases[*row_index];
  ProxyDriver driver;
  row.run(driver);
}

}  // namespace jackdawturn::proxy
