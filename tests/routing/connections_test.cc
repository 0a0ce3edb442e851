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

// A pool with a share of three and its connections 1 to 3 open and idle.
struct PoolBench {
  PoolBench()
      : pool(PoolOptions(), [this] { return PoolConnectionId{++last}; }) {
    pool.SetShare(3, effects);
    pool.Prepare(2, now, effects);
    for (uint64_t id = 1; id <= 3; ++id)
      pool.Opened(PoolConnectionId{id}, OpenOutcome::kOpened, now, random);
    effects.clear();
  }

  // Ticks every millisecond up to `time` and answers probes on connections that
  // `answers` names.
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
  // Connections that answer probes; 0 stands for the suspected one.
  std::vector<uint64_t> answers;
  bool closed;
  bool stalled;
};

static const SuspectCase kSuspectCases[] = {
    {"silent connection kept", {1, 2, 3}, true, false},
    {"slow statement cut", {0, 1, 2, 3}, false, false},
    {"connections of a stalled instance closed", {}, false, false},
};

// Guards against a silent connection that is taken for a slow one, and the
// other way round.
TABLE_TEST(connection_pool, probe_and_witness, kSuspectCases) {
  const SuspectCase& row = kSuspectCases[*row_index];
  PoolBench bench;
  const PoolConnectionId taken = *bench.pool.Take(bench.now);
  std::vector<uint64_t> answers;
  for (const uint64_t id : row.answers) {
    if (id == 0)
      answers.push_back(taken.value);
    else if (id != taken.value)
      answers.push_back(id);
  }
  bench.Run(Duration(200'000), answers);
  cr_assert_eq(bench.Closed(taken, true), row.closed, "%s", row.failure);
  if (row.closed)
    cr_assert_eq(bench.Opens(), 1U, "silent connection not replaced at once");
}

// Guards against an instance that is never chosen again because its last
// connection went while it was stalled, for example when the process was paused
// and its share moved to another proxy meanwhile.
Test(connection_pool, instance_without_connections_is_not_stalled) {
  PoolBench bench;
  while (bench.pool.Take(bench.now)) {
  }
  bench.Run(Duration(120'000), {});
  cr_assert(bench.pool.stalled());
  bench.pool.SetShare(0, bench.effects);
  for (uint64_t id = 1; id <= bench.last; ++id)
    bench.pool.Lost(PoolConnectionId{id});
  cr_assert_eq(bench.pool.size(), 0U);
  cr_assert_not(bench.pool.stalled());
}

// Guards against an instance whose connections are all silent and that is never
// tried with a new one.
Test(connection_pool, gives_up_one_connection_for_a_witness) {
  PoolBench bench;
  while (bench.pool.Take(bench.now)) {
  }
  bench.Run(Duration(120'000), {});
  cr_assert(bench.pool.stalled());
  cr_assert_eq(bench.Opens(), 1U);
  bench.pool.Opened(PoolConnectionId{4}, OpenOutcome::kOpened, bench.now,
                    bench.random);
  cr_assert_not(bench.pool.stalled());
  bench.Run(Duration(100'000), {4, 5, 6});
  cr_assert_eq(bench.Opens(), 3U, "silent connections not replaced");
  cr_assert_eq(bench.pool.size(), 3U);
}

// Guards against refused opens that are repeated without a pause.
Test(connection_pool, refused_open_backs_off) {
  PoolBench bench;
  bench.pool.SetShare(4, bench.effects);
  bench.pool.Prepare(3, bench.now, bench.effects);
  cr_assert_eq(bench.Opens(), 1U);
  bench.pool.Opened(PoolConnectionId{4}, OpenOutcome::kRefused, bench.now,
                    bench.random);
  bench.pool.Prepare(3, bench.now, bench.effects);
  cr_assert_eq(bench.Opens(), 1U);
  cr_assert(bench.pool.NextTick().has_value());
  bench.now += PoolOptions().refused_back_off.first;
  bench.pool.Prepare(3, bench.now, bench.effects);
  cr_assert_eq(bench.Opens(), 2U);
}

// Guards against a smaller share that cuts statements, or is not kept.
Test(connection_pool, smaller_share_closes_idle_connections_first) {
  PoolBench bench;
  const PoolConnectionId busy = *bench.pool.Take(bench.now);
  bench.pool.SetShare(0, bench.effects);
  cr_assert_eq(bench.pool.size(), 1U);
  cr_assert(bench.pool.StateOf(busy) == ConnectionState::kBusy);
  bench.pool.Answered(busy, false, bench.now, bench.effects);
  cr_assert_eq(bench.pool.size(), 0U);
}

struct ChartCase {
  const char* fault;
  const char* text;
  const char* replacement;
  // Part of the message; empty for a chart that is accepted.
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
    {"lost connection that stays",
     R"({"from": "busy", "event": "lost", "to": "closed"})",
     R"({"from": "busy", "event": "lost", "to": "busy"})",
     "the event \"lost\" must lead to \"closed\""},
};

// Guards against a program that starts with a chart that lacks a transition
// which the pool takes, or that has one which it does not know.
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
// statements, or whose connection is handed to another caller.
Test(connection_pool, held_connection_is_used_by_its_transaction_only) {
  PoolBench bench;
  const PoolConnectionId held = *bench.pool.Take(bench.now);
  cr_assert_not(bench.pool.TakeHeld(held, bench.now));
  bench.pool.Answered(held, true, bench.now, bench.effects);
  cr_assert(bench.pool.StateOf(held) == ConnectionState::kHeld);
  while (const auto other = bench.pool.Take(bench.now))
    cr_assert_neq(other->value, held.value);
  bench.pool.SetShare(0, bench.effects);
  cr_assert(bench.pool.TakeHeld(held, bench.now));
  bench.pool.Answered(held, false, bench.now, bench.effects);
  cr_assert(bench.pool.StateOf(held) == ConnectionState::kHeld);
  bench.pool.Release(held, true, bench.now, bench.effects);
  cr_assert(bench.pool.StateOf(held) == ConnectionState::kClosed);
}

// A machine with a group of one primary and one replica, both connected.
struct MachineBench {
  MachineBench() : machine(RoutingOptions(), 1) {
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
    {"lost write sent again", Operation::kWrite, false, StatementOutcome::kLost,
     false, true},
    {"repeatable write given up", Operation::kWrite, true,
     StatementOutcome::kLost, true, false},
    {"write that did not run given up", Operation::kWrite, false,
     StatementOutcome::kNotRun, true, false},
    {"lost read given up", Operation::kRead, false, StatementOutcome::kLost,
     true, false},
};

// Guards against an unsafe retry, and against a safe one that is not made.
TABLE_TEST(routing_machine, retries_only_what_is_safe, kLossCases) {
  const LossCase& row = kLossCases[*row_index];
  MachineBench bench;
  const RoutingEffects first =
      bench.Request("a", row.operation, row.repeatable);
  const auto* sent = MachineBench::FindEffect<SendStatement>(first);
  cr_assert(sent != nullptr);
  bench.Connect(first);
  RoutingEffects effects = bench.Answer(*sent, row.outcome);
  cr_assert_eq(
      MachineBench::FindEffect<ResolveUnknownOutcome>(effects) != nullptr,
      row.unknown_outcome, "%s", row.failure);
  bench.Connect(effects);
  bench.now += Duration(20'000);
  effects = bench.machine.Handle(TimePassed(), bench.now);
  cr_assert_eq(MachineBench::FindEffect<SendStatement>(effects) != nullptr,
               row.sent_again, "%s", row.failure);
}

// Guards against a fresh read that is answered without the word of a replica.
Test(routing_machine, fresh_read_waits_for_a_later_report) {
  MachineBench bench;
  const InstanceReport replica{Term{1}, Term{1}, LogPosition{1}, false};
  const auto report = [&](TimePoint asked_at) {
    return bench.machine.Handle(
        ReportArrived{GroupName("g"), InstanceName("r"), asked_at, {}, replica},
        bench.now);
  };
  report(bench.now);
  bench.now += Duration(1'000);
  const RoutingEffects first = bench.Request("a", Operation::kRead, true);
  const auto* sent = MachineBench::FindEffect<SendStatement>(first);
  cr_assert(sent != nullptr && sent->instance == InstanceName("p"));
  cr_assert(MachineBench::FindEffect<AskReport>(first) != nullptr);
  const auto answer = bench.Answer(*sent, StatementOutcome::kDone);
  cr_assert(MachineBench::FindEffect<GiveAnswer>(answer) == nullptr);
  cr_assert(MachineBench::FindEffect<GiveAnswer>(
                report(bench.now - Duration(1))) == nullptr);
  cr_assert(MachineBench::FindEffect<GiveAnswer>(report(bench.now)) != nullptr);
}

// Guards against an answer that ends the statement of another request.
Test(routing_machine, answer_must_match_request_and_connection) {
  MachineBench bench;
  const RoutingEffects first = bench.Request("a", Operation::kWrite, false);
  SendStatement sent = *MachineBench::FindEffect<SendStatement>(first);
  const PoolConnectionId connection = sent.connection;
  sent.request = RequestId("other");
  cr_assert(MachineBench::FindEffect<GiveAnswer>(
                bench.Answer(sent, StatementOutcome::kDone)) == nullptr);
  sent.request = RequestId("a");
  sent.connection = PoolConnectionId{connection.value + 1};
  cr_assert(MachineBench::FindEffect<GiveAnswer>(
                bench.Answer(sent, StatementOutcome::kDone)) == nullptr);
  sent.connection = connection;
  cr_assert(MachineBench::FindEffect<GiveAnswer>(
                bench.Answer(sent, StatementOutcome::kDone)) != nullptr);
  cr_assert_eq(bench.machine.in_progress(), 0U);
}

// Guards against a transaction whose connection is given to another request,
// and against its use after its release.
Test(routing_machine, transaction_keeps_its_connection) {
  MachineBench bench;
  const RoutingEffects begin = bench.Request("a", Operation::kBegin, false);
  const SendStatement begun = *MachineBench::FindEffect<SendStatement>(begin);
  bench.Connect(begin);
  bench.Connect(bench.Answer(begun, StatementOutcome::kDone));
  const RoutingEffects other = bench.Request("b", Operation::kWrite, false);
  const auto* sent = MachineBench::FindEffect<SendStatement>(other);
  cr_assert(sent != nullptr && sent->connection != begun.connection);
  const RoutingEffects step =
      bench.Request("c", Operation::kTransactionStep, false, begun.connection);
  cr_assert(MachineBench::FindEffect<SendStatement>(step)->connection ==
            begun.connection);
  bench.Answer(*MachineBench::FindEffect<SendStatement>(step),
               StatementOutcome::kDone);
  bench.machine.Handle(
      ConnectionReleased{GroupName("g"), begun.connection, true}, bench.now);
  const RoutingEffects late =
      bench.Request("d", Operation::kTransactionStep, false, begun.connection);
  const auto* refused = MachineBench::FindEffect<RefuseRequest>(late);
  cr_assert(refused != nullptr &&
            refused->reason == RefusalReason::kConnectionLost);
}

// Guards against a begun transaction that nobody awaits and that stays open.
Test(routing_machine, abandoned_begin_closes_its_connection) {
  MachineBench bench;
  const RoutingEffects begin = bench.Request("a", Operation::kBegin, false);
  const SendStatement sent = *MachineBench::FindEffect<SendStatement>(begin);
  const RoutingEffects gone = bench.machine.Handle(
      CallerDisconnected{GroupName("g"), RequestId("a")}, bench.now);
  const auto* closed = MachineBench::FindEffect<CloseConnection>(gone);
  cr_assert(closed != nullptr && closed->connection == sent.connection);
}

// Guards against writes that are sent to a primary which is leaving.
Test(routing_machine, writes_wait_while_the_primary_leaves) {
  MachineBench bench;
  bench.changed.instances[0].leaving = true;
  bench.Connect(bench.machine.Handle(bench.changed, bench.now));
  const RoutingEffects write = bench.Request("a", Operation::kWrite, false);
  cr_assert(MachineBench::FindEffect<SendStatement>(write) == nullptr);
  cr_assert(MachineBench::FindEffect<RefuseRequest>(write) == nullptr);
  bench.changed.term = Term{2};
  bench.changed.primary = InstanceName("r");
  const RoutingEffects changed = bench.machine.Handle(bench.changed, bench.now);
  const auto* sent = MachineBench::FindEffect<SendStatement>(changed);
  cr_assert(sent != nullptr && sent->instance == InstanceName("r"));
}

}  // namespace jackdawturn::routing
