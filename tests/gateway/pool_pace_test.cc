#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "gateway/pool_load.h"

#include "support/table_test.h"

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

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
    PoolLoad load({.slots = row.slots, .work = row.work}, 3, paces);
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
    PoolLoad load({.work = row.work, .lost_every = row.lost_every}, 3, paces);
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
    PoolLoad load({.queue_capacity = 200}, 3, paces);
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
  std::vector<PoolLoad::Done> done[2];
  for (const bool paces : {false, true}) {
    PoolLoad load({}, 3, paces);
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
