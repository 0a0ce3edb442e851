#include "support/proxy_world.h"
#include "support/table_test.h"

namespace jackdawturn {

static const char* const kInstances[] = {"i1", "i2", "i3"};

// Guards against pool results that do not reach the GroupOwnership: the
// connection share of a killed proxy would stay unused.
TABLE_TEST(shares, killed_proxy_is_replaced_within_two_seconds, kInstances) {
  ProxyWorld world(3, 1);
  const InstanceName instance(kInstances[*row_index]);
  cr_assert_eq(world.OpenAt(instance), ProxyWorld::kLimit);
  world.Kill(*world.nodes[0]);
  world.Run(std::chrono::milliseconds(5));
  cr_assert_lt(world.OpenAt(instance), ProxyWorld::kLimit);
  const Duration time = world.RunUntil(std::chrono::seconds(10), [&] {
    return world.OpenAt(instance) == ProxyWorld::kLimit;
  });
  cr_assert(time <= std::chrono::seconds(2), "%lld us",
            static_cast<long long>(time.count()));
}

// Guards against refused opens that are retried immediately, and against a
// connection share that stays unused after the refusals end.
Test(shares, refused_opens_back_off) {
  constexpr size_t kForeign = 8;
  constexpr size_t kMaxRefused = 16;
  ProxyWorld world(1, 1);
  const InstanceName instance("i2");
  DatabaseInstance& database = world.backend.database(instance);
  world.backend.Crash(instance);
  world.Run(std::chrono::seconds(1));
  world.backend.Restart(instance);
  std::vector<ConnectionId> foreign;
  while (foreign.size() < kForeign)
    foreign.push_back(database.Open().value());
  world.Run(std::chrono::seconds(30));
  cr_assert_eq(world.OpenAt(instance), ProxyWorld::kLimit);
  cr_assert_gt(world.refused, 0U);
  cr_assert_leq(world.refused, kMaxRefused, "%zu refused", world.refused);
  for (const ConnectionId connection : foreign)
    database.Close(connection);
  world.Run(std::chrono::seconds(70));
  cr_assert_eq(world.OpenAt(instance), ProxyWorld::kLimit);
}

// Guards against peers that repeatedly try to take the connection share of a
// proxy that is partitioned from them but not from the instances.
Test(shares, proxy_without_peers_keeps_its_share) {
  constexpr size_t kMaxRefused = 12;
  ProxyWorld world(3, 1);
  const ProxyWorld::Node& partitioned = *world.nodes[0];
  std::map<InstanceName, size_t> before;
  for (const char* name : kInstances)
    before[InstanceName(name)] = world.OpenOf(partitioned, InstanceName(name));
  world.CutFromPeers(partitioned);
  world.Run(std::chrono::seconds(60));
  for (const auto& [name, count] : before) {
    cr_assert_eq(world.OpenOf(partitioned, name), count, "%s",
                 name.value().c_str());
    cr_assert_eq(world.OpenAt(name), ProxyWorld::kLimit);
  }
  cr_assert_leq(world.refused, kMaxRefused, "%zu refused", world.refused);
}

}  // namespace jackdawturn
