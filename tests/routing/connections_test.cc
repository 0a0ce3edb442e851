#include <cstring>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "charts/charts.h"
#include "core/core.h"
#include "routing/routing.h"

#include "support/table_test.h"

namespace jackdawturn::routing {

// A pool with a connection share of three; connections 1 to 3 are open and
// idle.
struct PoolFixture {
  PoolFixture()
      : pool(PoolOptions(), [this] { return PoolConnectionId{++last}; }) {
    pool.SetShare(3, effects);
    pool.Prepare(2, now, effects);
    for (uint64_t id = 1; id <= 3; ++id)
      pool.Opened(PoolConnectionId{id}, OpenOutcome::kOpened, now, random);
    effects.clear();
  }

  // Ticks every millisecond for `time` and answers the probes on the
  // connections in `answers`.
  void Run(Duration time, std::vector<uint64_t> answers) {
    const TimePoint end = now + time;
    while (now < end) {
      now += Duration(1'000);
      const size_t before = effects.size();
      pool.Tick(Duration(2'000), now, effects);
      std::vector<PoolEffect> more;
      for (size_t index = before; index < effects.size(); ++index) {
        const auto* probe = std::get_if<PoolProbe>(&effects[index]);
        for (const uint64_t id : answers) {
          if (probe != nullptr && probe->connection.value == id)
            pool.ProbeAnswered(probe->connection, now, more);
        }
      }
    }
  }

  bool Closed(PoolConnectionId id, bool silent) const {
    for (const PoolEffect& effect : effects) {
      const auto* close = std::get_if<PoolClose>(&effect);
      if (close != nullptr && close->connection == id &&
          close->silent == silent)
        return true;
    }
    return false;
  }

  size_t Opens() const {
    size_t count = 0;
    for (const PoolEffect& effect : effects)
      count += std::holds_alternative<PoolOpen>(effect) ? 1 : 0;
    return count;
  }

  uint64_t last = 0;
  TimePoint now = TimePoint(Duration(1'000'000));
  std::mt19937_64 random{1};
  std::vector<PoolEffect> effects;
  ConnectionPool pool;
};

struct SuspectCase {
  const char* failure;
  // Ids of the connections that answer probes; 0 means the suspected one.
  std::vector<uint64_t> answers;
  bool closed;
  bool stalled;
};

static const SuspectCase kSuspectCases[] = {
    {"unresponsive connection kept", {1, 2, 3}, true, false},
    {"connection of a slow statement closed", {0, 1, 2, 3}, false, false},
    {"connections of a stalled instance closed", {}, false, false},
};

// Guards against treating an unresponsive connection as one with a slow
// statement, and vice versa.
TABLE_TEST(connection_pool, probe_and_witness, kSuspectCases) {
  const SuspectCase& row = kSuspectCases[*row_index];
  PoolFixture fixture;
  const PoolConnectionId taken = *fixture.pool.Take(fixture.now);
  std::vector<uint64_t> answers;
  for (const uint64_t id : row.answers) {
    if (id == 0)
      answers.push_back(taken.value);
    else if (id != taken.value)
      answers.push_back(id);
  }
  fixture.Run(Duration(200'000), answers);
  cr_assert_eq(fixture.Closed(taken, true), row.closed, "%s", row.failure);
  if (row.closed)
    cr_assert_eq(fixture.Opens(), 1U,
                 "unresponsive connection not replaced immediately");
}

// Guards against an instance that is never chosen again because its last
// connection was lost while the instance was stalled. This happens, for
// example, when the process is paused and its connection share meanwhile moves
// to another proxy.
Test(connection_pool, instance_without_connections_is_not_stalled) {
  PoolFixture fixture;
  while (fixture.pool.Take(fixture.now)) {
  }
  fixture.Run(Duration(120'000), {});
  cr_assert(fixture.pool.stalled());
  fixture.pool.SetShare(0, fixture.effects);
  for (uint64_t id = 1; id <= fixture.last; ++id)
    fixture.pool.Lost(PoolConnectionId{id});
  cr_assert_eq(fixture.pool.size(), 0U);
  cr_assert_not(fixture.pool.stalled());
}

// Guards against never opening a new connection to an instance whose
// connections are all unresponsive.
Test(connection_pool, gives_up_one_connection_for_a_witness) {
  PoolFixture fixture;
  while (fixture.pool.Take(fixture.now)) {
  }
  fixture.Run(Duration(120'000), {});
  cr_assert(fixture.pool.stalled());
  cr_assert_eq(fixture.Opens(), 1U);
  fixture.pool.Opened(PoolConnectionId{4}, OpenOutcome::kOpened, fixture.now,
                      fixture.random);
  cr_assert_not(fixture.pool.stalled());
  fixture.Run(Duration(100'000), {4, 5, 6});
  cr_assert_eq(fixture.Opens(), 3U, "unresponsive connections not replaced");
  cr_assert_eq(fixture.pool.size(), 3U);
}

// Guards against retrying refused opens without a back-off.
Test(connection_pool, refused_open_backs_off) {
  PoolFixture fixture;
  fixture.pool.SetShare(4, fixture.effects);
  fixture.pool.Prepare(3, fixture.now, fixture.effects);
  cr_assert_eq(fixture.Opens(), 1U);
  fixture.pool.Opened(PoolConnectionId{4}, OpenOutcome::kRefused, fixture.now,
                      fixture.random);
  fixture.pool.Prepare(3, fixture.now, fixture.effects);
  cr_assert_eq(fixture.Opens(), 1U);
  cr_assert(fixture.pool.NextTick().has_value());
  fixture.now += PoolOptions().refused_back_off.first;
  fixture.pool.Prepare(3, fixture.now, fixture.effects);
  cr_assert_eq(fixture.Opens(), 2U);
}

// Guards against a reduced share that interrupts statements or is exceeded
// after they end.
Test(connection_pool, smaller_share_closes_idle_connections_first) {
  PoolFixture fixture;
  const PoolConnectionId busy = *fixture.pool.Take(fixture.now);
  fixture.pool.SetShare(0, fixture.effects);
  cr_assert_eq(fixture.pool.size(), 1U);
  cr_assert(fixture.pool.StateOf(busy) == ConnectionState::kBusy);
  fixture.pool.Answered(busy, false, fixture.now, fixture.effects);
  cr_assert_eq(fixture.pool.size(), 0U);
}

struct ChartCase {
  const char* fault;
  const char* text;
  const char* replacement;
  // Part of the error message; empty for a valid chart.
  const char* message;
};

static const ChartCase kChartCases[] = {
    {"none", "", "", ""},
    {"missing transition", R"({"from": "suspect", "event": "silent", )",
     R"({"from": "suspect", "event": "given_up_twice", )",
     "the chart lacks the transition of \"suspect\" for \"silent\""},
    {"transition that the pool never takes",
     R"({"from": "held", "event": "transaction_ended", )",
     R"({"from": "held", "event": "overdue", "to": "suspect"},
        {"from": "held", "event": "transaction_ended", )",
     "the code lacks the transition of \"held\" for \"overdue\""},
    {"unknown state", R"({"name": "closed", )",
     R"({"name": "opening_again", "description": "-"}, {"name": "closed", )",
     "state"},
    {"lost connection that is not closed",
     R"({"from": "busy", "event": "lost", "to": "closed"})",
     R"({"from": "busy", "event": "lost", "to": "busy"})",
     "the event \"lost\" must lead to \"closed\""},
};

// Guards against accepting a chart that lacks a transition that the pool makes,
// or that has one that the pool never makes.
TABLE_TEST(connection_pool, chart_and_code_agree, kChartCases) {
  const ChartCase& row = kChartCases[*row_index];
  std::string text = BuiltInChartTexts().at("connection");
  const size_t place = text.find(row.text);
  cr_assert_neq(place, std::string::npos, "%s", row.fault);
  text.replace(place, std::strlen(row.text), row.replacement);
  const auto chart = StateChart::Create(text);
  const std::string message =
      !chart.has_value() ? chart.error().message
      : CompileConnectionChart(chart.value()).has_value()
          ? ""
          : CompileConnectionChart(chart.value()).error().message;
  if (std::strlen(row.message) == 0)
    cr_assert(message.empty(), "%s", message.c_str());
  else
    cr_assert_neq(message.find(row.message), std::string::npos, "%s: %s",
                  row.fault, message.c_str());
}

// Guards against a transaction that loses its connection between two
// statements, and against the use of that connection by another caller.
Test(connection_pool, held_connection_is_used_by_its_transaction_only) {
  PoolFixture fixture;
  const PoolConnectionId held = *fixture.pool.Take(fixture.now);
  cr_assert_not(fixture.pool.TakeHeld(held, fixture.now));
  fixture.pool.Answered(held, true, fixture.now, fixture.effects);
  cr_assert(fixture.pool.StateOf(held) == ConnectionState::kHeld);
  while (const auto other = fixture.pool.Take(fixture.now))
    cr_assert_neq(other->value, held.value);
  fixture.pool.SetShare(0, fixture.effects);
  cr_assert(fixture.pool.TakeHeld(held, fixture.now));
  fixture.pool.Answered(held, false, fixture.now, fixture.effects);
  cr_assert(fixture.pool.StateOf(held) == ConnectionState::kHeld);
  fixture.pool.Release(held, true, fixture.now, fixture.effects);
  cr_assert(fixture.pool.StateOf(held) == ConnectionState::kClosed);
}

// A machine with a group of one primary and one replica, both connected.
struct MachineFixture {
  MachineFixture() : machine(RoutingOptions(), 1) {
    changed.group = GroupName("g");
    changed.term = Term{1};
    changed.primary = InstanceName("p");
    changed.instances = {{InstanceName("p"), ZoneName("a"), false, 4},
                         {InstanceName("r"), ZoneName("b"), false, 4}};
    Connect(machine.Handle(changed, now));
  }

  void Connect(const RoutingEffects& effects) {
    for (const RoutingEffect& effect : effects) {
      if (const auto* open = std::get_if<OpenConnection>(&effect))
        Connect(machine.Handle(
            ConnectionOpened{GroupName("g"), open->connection}, now));
    }
  }

  RoutingEffects Request(const char* id,
                         Operation operation,
                         bool repeatable,
                         PoolConnectionId held_connection = {}) {
    RoutedRequest request;
    request.id = RequestId(id);
    request.group = GroupName("g");
    request.target = std::make_shared<NamedClassTarget>(NamedClassTarget{
        ClassName("c"), std::nullopt, Duration(100'000), repeatable});
    request.operation = operation;
    request.deadline = now + Duration(100'000);
    request.held_connection = held_connection;
    return machine.Handle(RequestArrived{request}, now);
  }

  RoutingEffects Answer(const SendStatement& sent, StatementOutcome outcome) {
    return machine.Handle(
        StatementAnswered{GroupName("g"), sent.request, sent.connection,
                          outcome,
                          InstanceReport{Term{1}, Term{1}, LogPosition{1},
                                         sent.instance == InstanceName("p")}},
        now);
  }

  template <typename T>
  static const T* FindEffect(const RoutingEffects& effects) {
    for (const RoutingEffect& effect : effects) {
      if (const auto* found = std::get_if<T>(&effect))
        return found;
    }
    return nullptr;
  }

  TimePoint now = TimePoint(Duration(1'000'000));
  GroupChanged changed;
  RoutingMachine machine;
};

struct LossCase {
  const char* failure;
  Operation operation;
  bool repeatable;
  StatementOutcome outcome;
  bool sent_again;
  bool unknown_outcome;
};

static const LossCase kLossCases[] = {
    {"lost write retried", Operation::kWrite, false, StatementOutcome::kLost,
     false, true},
    {"lost repeatable write not retried", Operation::kWrite, true,
     StatementOutcome::kLost, true, false},
    {"write that did not run not retried", Operation::kWrite, false,
     StatementOutcome::kNotRun, true, false},
    {"lost read not retried", Operation::kRead, false, StatementOutcome::kLost,
     true, false},
};

// Guards against unsafe retries and against missing safe ones.
TABLE_TEST(routing_machine, retries_only_what_is_safe, kLossCases) {
  const LossCase& row = kLossCases[*row_index];
  MachineFixture fixture;
  const RoutingEffects first =
      fixture.Request("a", row.operation, row.repeatable);
  const auto* sent = MachineFixture::FindEffect<SendStatement>(first);
  cr_assert(sent != nullptr);
  fixture.Connect(first);
  RoutingEffects effects = fixture.Answer(*sent, row.outcome);
  cr_assert_eq(
      MachineFixture::FindEffect<ResolveUnknownOutcome>(effects) != nullptr,
      row.unknown_outcome, "%s", row.failure);
  fixture.Connect(effects);
  fixture.now += Duration(20'000);
  effects = fixture.machine.Handle(TimePassed(), fixture.now);
  cr_assert_eq(MachineFixture::FindEffect<SendStatement>(effects) != nullptr,
               row.sent_again, "%s", row.failure);
}

// Guards against answering a fresh read before a replica has confirmed the term
// of the primary in reply to a query sent no earlier than the read arrived.
Test(routing_machine, fresh_read_waits_for_a_later_report) {
  MachineFixture fixture;
  const InstanceReport replica{Term{1}, Term{1}, LogPosition{1}, false};
  const auto report = [&](TimePoint asked_at) {
    return fixture.machine.Handle(
        ReportArrived{GroupName("g"), InstanceName("r"), asked_at, {}, replica},
        fixture.now);
  };
  report(fixture.now);
  fixture.now += Duration(1'000);
  const RoutingEffects first = fixture.Request("a", Operation::kRead, true);
  const auto* sent = MachineFixture::FindEffect<SendStatement>(first);
  cr_assert(sent != nullptr && sent->instance == InstanceName("p"));
  cr_assert(MachineFixture::FindEffect<AskReport>(first) != nullptr);
  const auto answer = fixture.Answer(*sent, StatementOutcome::kDone);
  cr_assert(MachineFixture::FindEffect<GiveAnswer>(answer) == nullptr);
  cr_assert(MachineFixture::FindEffect<GiveAnswer>(
                report(fixture.now - Duration(1))) == nullptr);
  cr_assert(MachineFixture::FindEffect<GiveAnswer>(report(fixture.now)) !=
            nullptr);
}

// Guards against an answer that ends the statement of another request.
Test(routing_machine, answer_must_match_request_and_connection) {
  MachineFixture fixture;
  const RoutingEffects first = fixture.Request("a", Operation::kWrite, false);
  SendStatement sent = *MachineFixture::FindEffect<SendStatement>(first);
  const PoolConnectionId connection = sent.connection;
  sent.request = RequestId("other");
  cr_assert(MachineFixture::FindEffect<GiveAnswer>(
                fixture.Answer(sent, StatementOutcome::kDone)) == nullptr);
  sent.request = RequestId("a");
  sent.connection = PoolConnectionId{connection.value + 1};
  cr_assert(MachineFixture::FindEffect<GiveAnswer>(
                fixture.Answer(sent, StatementOutcome::kDone)) == nullptr);
  sent.connection = connection;
  cr_assert(MachineFixture::FindEffect<GiveAnswer>(
                fixture.Answer(sent, StatementOutcome::kDone)) != nullptr);
  cr_assert_eq(fixture.machine.in_progress(), 0U);
}

// Guards against the use of a transaction's connection by another request, and
// by the transaction itself after the release.
Test(routing_machine, transaction_keeps_its_connection) {
  MachineFixture fixture;
  const RoutingEffects begin = fixture.Request("a", Operation::kBegin, false);
  const SendStatement begun = *MachineFixture::FindEffect<SendStatement>(begin);
  fixture.Connect(begin);
  fixture.Connect(fixture.Answer(begun, StatementOutcome::kDone));
  const RoutingEffects other = fixture.Request("b", Operation::kWrite, false);
  const auto* sent = MachineFixture::FindEffect<SendStatement>(other);
  cr_assert(sent != nullptr && sent->connection != begun.connection);
  const RoutingEffects step = fixture.Request("c", Operation::kTransactionStep,
                                              false, begun.connection);
  cr_assert(MachineFixture::FindEffect<SendStatement>(step)->connection ==
            begun.connection);
  fixture.Answer(*MachineFixture::FindEffect<SendStatement>(step),
                 StatementOutcome::kDone);
  fixture.machine.Handle(
      ConnectionReleased{GroupName("g"), begun.connection, true}, fixture.now);
  const RoutingEffects late = fixture.Request("d", Operation::kTransactionStep,
                                              false, begun.connection);
  const auto* refused = MachineFixture::FindEffect<RefuseRequest>(late);
  cr_assert(refused != nullptr &&
            refused->reason == RefusalReason::kConnectionLost);
}

// Guards against a transaction that stays open after its caller disconnected
// while its begin was in progress.
Test(routing_machine, abandoned_begin_closes_its_connection) {
  MachineFixture fixture;
  const RoutingEffects begin = fixture.Request("a", Operation::kBegin, false);
  const SendStatement sent = *MachineFixture::FindEffect<SendStatement>(begin);
  const RoutingEffects after_disconnect = fixture.machine.Handle(
      CallerDisconnected{GroupName("g"), RequestId("a")}, fixture.now);
  const auto* closed =
      MachineFixture::FindEffect<CloseConnection>(after_disconnect);
  cr_assert(closed != nullptr && closed->connection == sent.connection);
}

// Guards against writes that are sent to a leaving primary.
Test(routing_machine, writes_wait_while_the_primary_leaves) {
  MachineFixture fixture;
  fixture.changed.instances[0].leaving = true;
  fixture.Connect(fixture.machine.Handle(fixture.changed, fixture.now));
  const RoutingEffects write = fixture.Request("a", Operation::kWrite, false);
  cr_assert(MachineFixture::FindEffect<SendStatement>(write) == nullptr);
  cr_assert(MachineFixture::FindEffect<RefuseRequest>(write) == nullptr);
  fixture.changed.term = Term{2};
  fixture.changed.primary = InstanceName("r");
  const RoutingEffects changed =
      fixture.machine.Handle(fixture.changed, fixture.now);
  const auto* sent = MachineFixture::FindEffect<SendStatement>(changed);
  cr_assert(sent != nullptr && sent->instance == InstanceName("r"));
}

}  // namespace jackdawturn::routing
