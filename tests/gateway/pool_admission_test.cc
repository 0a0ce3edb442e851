#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "gateway/pool_load.h"

#include "support/table_test.h"

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr Duration kWait = 150ms;

}  // namespace

// Twice as many requests as an instance serves. Those that cannot be served
// must not be held until their wait ends, and as many as before are served.
Test(gateway_pool_admission, lasting_overload_is_refused_at_once) {
  size_t served[2] = {};
  Duration waited[2] = {};
  std::set<std::string> reasons;
  for (const bool limits : {false, true}) {
    PoolLoad load({}, 3, limits);
    load.OpenAll();
    for (int count = 0; count < 3'000; ++count) {
      load.Request("read", 0, kWait);
      load.timers.Advance(1'250us);
    }
    load.timers.Advance(1s);
    cr_assert_eq(load.done.size() + load.unserved, 3'000U);
    served[limits] = load.done.size();
    waited[limits] = load.waited_in_vain;
    reasons.insert(load.refused.begin(), load.refused.end());
  }
  cr_expect_geq(served[true], served[false] * 95 / 100, "%zu of %zu",
                served[true], served[false]);
  cr_expect_lt(waited[true], waited[false] / 4);
  // Clients are told different times, so that they do not return together.
  cr_expect_gt(reasons.size(), 20U);
  for (const std::string& reason : reasons)
    cr_expect(reason.starts_with("overloaded retry_after_ms="));
}

// A short burst that the instance serves in time must not be refused, whether
// it was idle before or busy.
struct BurstCase {
  const char* pattern;
  // The time between two requests before the burst; 0: there are none.
  Duration between;
};

static const BurstCase kBursts[] = {
    {"an idle instance", 0ms},
    {"an instance with little load", 20ms},
    {"a busy instance", 3ms},
};

TABLE_TEST(gateway_pool_admission, burst_is_served, kBursts) {
  const BurstCase& row = kBursts[*row_index];
  PoolLoad load({}, 1, true);
  load.OpenAll();
  for (Duration time{0}; row.between > 0ms && time < 1s; time += row.between) {
    load.Request("read", 0, kWait);
    load.timers.Advance(row.between);
  }
  load.Burst(50, "read");
  load.timers.Advance(1s);
  cr_assert_eq(load.unserved, 0U, "%s: %zu", row.pattern, load.unserved);
}

// The order in which requests that wait for the only connection are served.
struct WaitingRequest {
  const char* name;
  uint64_t priority = 0;
  // From the time at which the connection is returned.
  Duration send_by = 100ms;
};

struct OrderCase {
  const char* pattern;
  std::vector<WaitingRequest> requests;
  std::vector<std::string> served;
};

static const OrderCase kOrders[] = {
    {"by age", {{"a"}, {"b"}, {"c"}}, {"a", "b", "c"}},
    {"important requests behind a burst of others",
     {{"low", 2}, {"low", 2}, {"high", 0}},
     {"high", "low", "low"}},
    {"those that have missed their target go behind the others",
     {{"late", 0, -1ms}, {"a"}, {"b"}},
     {"a", "b", "late"}},
    {"but not behind less important ones",
     {{"low", 1}, {"late", 0, -1ms}},
     {"late", "low"}},
    {"all have missed it: by age",
     {{"a", 0, -1ms}, {"b", 0, -2ms}},
     {"a", "b"}},
};

TABLE_TEST(gateway_pool_admission, order, kOrders) {
  const OrderCase& row = kOrders[*row_index];
  VirtualTimers timers;
  SlottedServer server(timers, {});
  BackendPool::Options options;
  options.max_connections = [](const auto&) { return 1; };
  BackendPool pool(timers, server.Opener(), options);
  BackendPool::ConnectionPtr lent;
  const auto lend = [&lent](auto connection) {
    lent = std::move(connection.value());
  };
  pool.AcquireFor({.wait = 1s}, server.server, lend);
  timers.Advance(100ms);
  std::vector<std::string> served;
  for (const WaitingRequest& request : row.requests)
    pool.AcquireFor({.priority = request.priority,
                     .wait = 1s,
                     .send_by = timers.now() + request.send_by},
                    server.server, [&, request](auto connection) {
                      served.emplace_back(request.name);
                      lent = std::move(connection.value());
                    });
  for (size_t count = 0; count < row.requests.size(); ++count)
    pool.Release(std::move(lent));
  cr_assert(served == row.served, "%s", row.pattern);
  pool.Release(std::move(lent));
  timers.Clear();
}

// One customer sends twice what the instance serves; another one sends little
// and must not wait behind it.
Test(gateway_pool_admission, hot_customer_does_not_delay_others) {
  PoolLoad load({}, 1, true);
  for (int count = 0; count < 1'600; ++count) {
    load.Request("hot", {.customer = CustomerName("hot"), .wait = kWait});
    if (count % 40 == 0)
      load.Request("quiet", {.customer = CustomerName("quiet"), .wait = kWait});
    load.timers.Advance(1'250us);
  }
  load.timers.Advance(1s);
  const auto served = std::count_if(
      load.done.begin(), load.done.end(),
      [](const PoolLoad::Done& item) { return item.text == "quiet"; });
  cr_expect_geq(served, 36);
}

}  // namespace jackdawturn::gateway
