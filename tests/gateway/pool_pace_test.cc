#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "gateway/fake_group.h"
#include "gateway/slotted_server.h"

#include "support/table_test.h"

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr size_t kConnections = 18;
constexpr Duration kResponseTimeout = 150ms;

// Requests of several proxies to one instance, run as
// LocalStatementExecution runs them.
class PacedLoad {
 public:
  struct Done {
    std::string text;
    Duration latency{0};
  };

  PacedLoad(SlottedServer::Options options, size_t proxies, bool paces)
      : server(timers, std::move(options)) {
    server.started = timers.now();
    BackendPool::Options pool_options;
    pool_options.max_connections = [](const auto&) { return kConnections; };
    pool_options.paces_servers = paces;
    for (size_t index = 0; index < proxies; ++index)
      m_pools.push_back(
          std::make_unique<BackendPool>(timers, server.Opener(), pool_options));
  }
  ~PacedLoad() { timers.Clear(); }

  // Lets all pools open their connections and then promotes the instance, for
  // which requests have queued.
  void Promote() {
    for (const auto& pool : m_pools)
      OpenAll(*pool);
    server.longest_queue = 0;
    server.ran = 0;
    server.started = timers.now();
    m_promoted = true;
  }

  void Request(const std::string& text,
               uint64_t priority = 0,
               Duration wait = 10s) {
    BackendPool& pool = *m_pools[m_next++ % m_pools.size()];
    pool.AcquireFor(
        {.priority = priority, .wait = wait, .as_primary = m_promoted},
        server.server,
        [this, &pool, text, from = timers.now()](auto connection) {
          if (!connection)
            return void(++unserved);
          Send(pool, std::move(connection.value()), text, from);
        });
  }

  // As Request, for requests that come within a short time, as the retries of
  // those that found no instance do.
  void Burst(size_t count, const std::string& text, uint64_t priority = 0) {
    for (size_t index = 0; index < count; ++index) {
      Request(text, priority);
      timers.Advance(100us);
    }
  }

  Duration Longest(const std::string& text) const {
    Duration longest{0};
    for (const Done& item : done) {
      if (item.text == text)
        longest = std::max(longest, item.latency);
    }
    return longest;
  }

  VirtualTimers timers;
  SlottedServer server;
  std::vector<Done> done;
  size_t unserved = 0;

 private:
  void OpenAll(BackendPool& pool) {
    std::vector<BackendPool::ConnectionPtr> lent;
    for (size_t count = 0; count < kConnections; ++count) {
      pool.AcquireFor({.wait = 1s}, server.server, [&lent](auto connection) {
        lent.push_back(std::move(connection.value()));
      });
      timers.Advance(50ms);
    }
    for (auto& connection : lent)
      pool.Release(std::move(connection));
  }

  void Send(BackendPool& pool,
            BackendPool::ConnectionPtr lent,
            const std::string& text,
            TimePoint from) {
    const auto connection =
        std::make_shared<BackendPool::ConnectionPtr>(std::move(lent));
    const TimePoint sent_at = timers.now();
    pool.Sent(**connection);
    const auto timer =
        timers.After(kResponseTimeout, [this, &pool, connection, sent_at] {
          pool.Unanswered(**connection, sent_at);
          ++unserved;
        });
    (*connection)
        ->session->Send(
            {{.kind = BackendCommand::Kind::kForward, .text = text}},
            [this, &pool, connection, text, from, sent_at,
             timer](const auto& replies) {
              const bool late = timers.now() - sent_at >= kResponseTimeout;
              timers.Cancel(timer);
              const bool ran = replies.value().back().code == ReplyCode::kDone;
              if (!late) {
                pool.Answered(
                    **connection,
                    {.database = text,
                     .sent_at = sent_at,
                     .outcome = ran ? AnsweredBatch::Outcome::kRan
                                    : AnsweredBatch::Outcome::kNoRoom});
                if (ran)
                  done.push_back({text, timers.now() - from});
                else
                  ++unserved;
              }
              pool.Release(std::move(*connection));
              pool.ServeWaiting(server.server.id);
            });
  }

  std::vector<std::unique_ptr<BackendPool>> m_pools;
  size_t m_next = 0;
  bool m_promoted = false;
};

}  // namespace

// The requests that waited while an instance was down are sent to it as it
// answers, by three proxies. Without the pace, all connections allowed are
// opened and used at once, so that statements queue at the instance behind
// each other and time out.
struct RecoveryCase {
  const char* pattern;
  size_t slots;
  std::function<Duration(const std::string&, Duration)> work;
};

static Duration SteadyWork(const std::string&, Duration) {
  return 10ms;
}
static Duration SlowAtFirst(const std::string&, Duration since_start) {
  return since_start < 500ms ? 60ms : 10ms;
}

static const RecoveryCase kRecoveries[] = {
    {"a queue that built up while the instance was down", 2, SteadyWork},
    {"an instance that answers slowly at first", 4, SlowAtFirst},
};

TABLE_TEST(gateway_pool_pace, queue_of_a_recovered_instance, kRecoveries) {
  const RecoveryCase& row = kRecoveries[*row_index];
  size_t timed_out[2] = {};
  size_t longest_queue[2] = {};
  for (const bool paces : {false, true}) {
    PacedLoad load({.slots = row.slots, .work = row.work}, 3, paces);
    load.Promote();
    load.Burst(300, "read");
    load.timers.Advance(5s);
    cr_assert_eq(load.done.size() + load.unserved, 300U);
    timed_out[paces] = load.unserved;
    longest_queue[paces] = load.server.longest_queue;
  }
  cr_expect_leq(timed_out[true], 15U, "%s: %zu", row.pattern, timed_out[true]);
  cr_expect_gt(timed_out[false], 3 * timed_out[true], "%s: %zu", row.pattern,
               timed_out[false]);
  cr_expect_lt(longest_queue[true], longest_queue[false] / 2, "%s: %zu of %zu",
               row.pattern, longest_queue[true], longest_queue[false]);
}

// The pace must not leave an instance idle that answers well: what is served
// after a recovery while the demand is higher than the capacity, against an
// instance that receives all at once and has room for it.
struct CapacityCase {
  const char* pattern;
  std::function<Duration(const std::string&, Duration)> work;
  size_t lost_every;
};

static Duration OneSlowKind(const std::string& text, Duration) {
  return text == "report" ? 60ms : 5ms;
}

static const CapacityCase kCapacities[] = {
    {"one kind of statement", SteadyWork, 0},
    {"one slow kind of statement", OneSlowKind, 0},
    {"single answers are lost", SteadyWork, 20},
};

TABLE_TEST(gateway_pool_pace, capacity_is_used, kCapacities) {
  const CapacityCase& row = kCapacities[*row_index];
  size_t ran[2] = {};
  for (const bool paces : {false, true}) {
    PacedLoad load({.work = row.work, .lost_every = row.lost_every}, 3, paces);
    load.Promote();
    for (int count = 0; count < 1'500; ++count)
      load.Burst(1, count % 10 == 0 ? "report" : "read");
    load.timers.Advance(2s);
    ran[paces] = load.server.ran;
  }
  cr_expect_geq(ran[true], ran[false] * 9 / 10, "%s: %zu of %zu", row.pattern,
                ran[true], ran[false]);
}

// What queues at an instance knows no priorities, so a burst of unimportant
// reads at a recovered instance must not be sent ahead of the writes that
// follow.
Test(gateway_pool_pace, important_writes_pass_a_burst_of_reads) {
  Duration longest[2] = {};
  for (const bool paces : {false, true}) {
    PacedLoad load({.queue_capacity = 200}, 3, paces);
    load.Promote();
    load.Burst(300, "read", 2);
    for (int count = 0; count < 60; ++count) {
      load.timers.Advance(10ms);
      load.Request("write", 0);
    }
    load.timers.Advance(5s);
    longest[paces] = load.Longest("write");
  }
  cr_expect_lt(longest[true], longest[false] * 2 / 3, "%lld of %lld us",
               static_cast<long long>(longest[true].count()),
               static_cast<long long>(longest[false].count()));
}

// On days without failures nothing is held back: a burst at an instance that
// was never down is served exactly as without the pace.
Test(gateway_pool_pace, healthy_instance_is_not_held_back) {
  std::vector<PacedLoad::Done> done[2];
  for (const bool paces : {false, true}) {
    PacedLoad load({}, 3, paces);
    load.Burst(300, "read");
    load.timers.Advance(2s);
    done[paces] = load.done;
  }
  cr_assert_eq(done[true].size(), done[false].size());
  for (size_t index = 0; index < done[true].size(); ++index)
    cr_assert_eq(done[true][index].latency, done[false][index].latency);
}

// Commands of the proxy itself show whether an instance runs and who leads, so
// they never wait for the pace.
Test(gateway_pool_pace, commands_are_not_held_back) {
  VirtualTimers timers;
  SlottedServer server(timers, {});
  BackendPool pool(timers, server.Opener(), {});
  pool.Started(server.server);
  size_t statements = 0;
  size_t commands = 0;
  std::vector<BackendPool::ConnectionPtr> lent;
  const auto keep = [&lent](size_t& count) {
    return [&lent, &count](auto connection) {
      if (!connection)
        return;
      ++count;
      lent.push_back(std::move(connection.value()));
    };
  };
  for (int count = 0; count < 3; ++count) {
    pool.AcquireFor({.wait = 1s}, server.server, keep(statements));
    timers.Advance(50ms);
    pool.Acquire(server.server, 0, 1s, keep(commands));
    timers.Advance(50ms);
  }
  cr_expect_eq(statements, 1U);
  cr_expect_eq(commands, 3U);
  cr_expect(pool.HeldBack(server.server.id));
  // Each connection that is returned is lent to the next waiter.
  while (!lent.empty()) {
    BackendPool::ConnectionPtr connection = std::move(lent.back());
    lent.pop_back();
    pool.Release(std::move(connection));
  }
  timers.Clear();
}

// A transaction holds locks, so its later statements never wait for the pace,
// while single statements do.
Test(gateway_pool_pace, later_statements_of_a_transaction_are_not_held_back) {
  GatewayRig rig;
  const auto write = [](const char* text) {
    return StatementOf(ClientStatement::Kind::kWrite, text);
  };
  const auto transaction = rig.Open("strict");
  transaction->Handle(StatementOf(ClientStatement::Kind::kBegin, "BEGIN"));
  transaction->Handle(write("WRITE 1 x"));
  rig.timers.Advance(20ms);
  rig.pool.Started(rig.group.At("p").server);
  BackendPool::ConnectionPtr in_the_way;
  rig.pool.AcquireFor(
      {.wait = 100ms, .as_primary = true}, rig.group.At("p").server,
      [&](auto connection) { in_the_way = std::move(connection.value()); });
  rig.timers.Advance(20ms);
  cr_assert(in_the_way);
  rig.replies.clear();
  const auto single = rig.Open("strict");
  single->Handle(write("WRITE 2 x"));
  rig.timers.Advance(100ms);
  cr_assert(rig.replies.empty());
  transaction->Handle(write("WRITE 3 x"));
  rig.timers.Advance(20ms);
  cr_assert_eq(rig.replies.size(), 1U);
  cr_assert_eq(rig.replies.back().code, ReplyCode::kDone);
  rig.pool.Release(std::move(in_the_way));
  rig.timers.Advance(20ms);
  cr_assert_eq(rig.replies.size(), 2U);
  cr_assert_eq(rig.replies.back().code, ReplyCode::kDone);
  transaction->Disconnect();
  rig.timers.Advance(20ms);
}

// Each way in which an instance comes into use that may not bear the load yet.
struct BeginCase {
  const char* pattern;
  std::function<void(BackendPool&, SlottedServer&, VirtualTimers&)> happens;
  std::optional<PaceReason> reason;
};

static void UseOnce(BackendPool& pool,
                    const BackendServer& server,
                    VirtualTimers& timers,
                    bool as_primary = false) {
  pool.AcquireFor({.wait = 100ms, .as_primary = as_primary}, server,
                  [&pool](auto connection) {
                    if (connection)
                      pool.Release(std::move(connection.value()));
                  });
  timers.Advance(200ms);
}

static const BeginCase kBegins[] = {
    {"it is used for the first time",
     [](BackendPool& pool, SlottedServer& server, VirtualTimers& timers) {
       UseOnce(pool, server.server, timers);
     },
     std::nullopt},
    {"it has restarted with empty memory",
     [](BackendPool& pool, SlottedServer& server, VirtualTimers& timers) {
       UseOnce(pool, server.server, timers);
       server.server.incarnation = 7;
       UseOnce(pool, server.server, timers);
     },
     PaceReason::kStarted},
    {"it can be reached again",
     [](BackendPool& pool, SlottedServer& server, VirtualTimers& timers) {
       server.reachable = false;
       UseOnce(pool, server.server, timers);
       server.reachable = true;
       UseOnce(pool, server.server, timers);
     },
     PaceReason::kRecovered},
    {"it was promoted",
     [](BackendPool& pool, SlottedServer& server, VirtualTimers& timers) {
       UseOnce(pool, server.server, timers, false);
       UseOnce(pool, server.server, timers, true);
     },
     PaceReason::kPromoted},
    {"it leads all the time",
     [](BackendPool& pool, SlottedServer& server, VirtualTimers& timers) {
       UseOnce(pool, server.server, timers, true);
       UseOnce(pool, server.server, timers, true);
     },
     std::nullopt},
};

TABLE_TEST(gateway_pool_pace, pace_begins, kBegins) {
  const BeginCase& row = kBegins[*row_index];
  VirtualTimers timers;
  SlottedServer server(timers, {});
  std::optional<PaceReason> reason;
  BackendPool::Options options;
  options.on_pace_change = [&reason](const auto&, const auto& why) {
    reason = why;
  };
  BackendPool pool(timers, server.Opener(), options);
  row.happens(pool, server, timers);
  cr_expect(reason == row.reason, "%s", row.pattern);
  timers.Clear();
}

}  // namespace jackdawturn::gateway
