#include <optional>
#include <string>
#include <vector>

#include "gateway/fake_group.h"

#include "support/table_test.h"

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

// A store whose lists and watches are answered by the test.
class ScriptedStore : public FakeStore {
 public:
  using FakeStore::FakeStore;

  void List(RecordCollection collection,
            Duration,
            std::function<void(Result<RecordList>)> on_list) override {
    ++lists;
    if (collection == RecordCollection::kConfiguration)
      on_configuration = std::move(on_list);
    else if (collection == RecordCollection::kServers)
      on_servers = std::move(on_list);
    else
      on_peers = std::move(on_list);
  }
  void Watch(RecordCollection collection,
             uint64_t revision,
             Duration wait,
             std::function<void(Result<RecordChanges>)> on_changes) override {
    // One that does not wait is answered at once.
    if (wait == Duration(0))
      return on_changes(RecordChanges{.revision = revision});
    waits[collection] = wait;
    if (collection != RecordCollection::kServers)
      return;
    watched_from = revision;
    on_server_changes = std::move(on_changes);
  }

  // How long the last watch of each collection waits for changes.
  std::map<RecordCollection, Duration> waits;
  size_t lists = 0;
  uint64_t watched_from = 0;
  std::function<void(Result<RecordList>)> on_configuration;
  std::function<void(Result<RecordList>)> on_servers;
  std::function<void(Result<RecordList>)> on_peers;
  std::function<void(Result<RecordChanges>)> on_server_changes;
};

struct HostRig {
  explicit HostRig(Duration configuration_wait = 1'500ms)
      : host{{.name = VmName("vm"),
              .zone = ZoneName("z"),
              .seed = 1,
              .configuration_wait = configuration_wait},
             {timers, store, group.Opener(), group.Promoter(), FakeStatus,
              Decode, DecodeServer},
             log} {
    host.Start();
  }

  static Result<GatewayConfig> Decode(const StoredRecord& record) {
    if (record.body == "bad") {
      const Error error{ErrorCode::kInvalidArgument, "fake", "", "bad"};
      return error;
    }
    GatewayConfig config;
    config.version = std::stoull(record.body);
    config.routes["db"] = {.database = "db",
                           .group = GroupName("loans"),
                           .freshness = ReadFreshness::kBoundedStaleness,
                           .max_staleness = 2s,
                           .statement_timeout = 800ms,
                           .target_latency = 200ms};
    config.groups[GroupName("loans")] = {.connections = 16};
    return config;
  }

  static Result<BackendServer> DecodeServer(const StoredRecord& record) {
    BackendServer server;
    server.id = InstanceName(record.name);
    server.group = GroupName("loans");
    server.revision = record.revision;
    server.draining = record.body == "leaving";
    if (record.body == "primary")
      server.role = ReplicationRole::kPrimary;
    server.incarnation = record.body == "restarted" ? 2 : 1;
    return server;
  }

  // Sends reads at a steady rate, each in a session of its own. Returns how
  // many were served.
  size_t Read(Duration time) {
    size_t served = 0;
    for (Duration passed = 0ms; passed < time; passed += 20ms) {
      const auto session =
          host.OpenSession("db", "",
                           [&served](const ClientReply& reply) {
                             served += reply.code == ReplyCode::kDone ? 1 : 0;
                           })
              .value();
      sessions.push_back(session);
      session->Handle(StatementOf(ClientStatement::Kind::kRead, "READ 1"));
      timers.Advance(20ms);
    }
    timers.Advance(1s);
    for (const auto& session : sessions)
      session->Disconnect();
    sessions.clear();
    return served;
  }

  void Configure(const std::string& body) {
    store.on_configuration(RecordList{{{"main", 5, body}}, 5});
  }

  VirtualTimers timers;
  FakeGroup group{timers};
  ScriptedStore store{timers};
  MetricRegistry metrics;
  GatewayLog log{nullptr, metrics, VmName("vm")};
  std::vector<std::shared_ptr<ClientSession>> sessions;
  GatewayHost host;
};

}  // namespace

// A proxy that has just started must not refuse a database that is in the
// configuration (seen as CONFIG in users' day runs).
Test(gateway_host, startups_wait_for_the_first_configuration) {
  HostRig rig;
  bool ran = false;
  rig.host.WhenConfigured([&] { ran = true; });
  cr_assert(!ran);
  cr_assert(!rig.host.ready());
  rig.Configure("7");
  cr_assert(ran);
  rig.store.on_servers(RecordList{{}, 5});
  cr_assert(rig.host.ready());
}

// A configuration older than the one in force is never put in force, and an
// invalid one changes nothing.
Test(gateway_host, versions_never_revert) {
  HostRig rig;
  for (const auto& [body, in_force] :
       std::vector<std::pair<std::string, uint64_t>>{
           {"7", 7}, {"6", 7}, {"bad", 7}, {"9", 9}}) {
    rig.Configure(body);
    cr_expect_eq(rig.host.context().config->version, in_force);
  }
}

// When the store has dropped its history, the collection is listed again.
Test(gateway_host, collection_is_listed_again_after_lost_history) {
  HostRig rig;
  rig.store.on_servers(RecordList{{{"a", 3, ""}}, 5});
  cr_assert_eq(rig.store.watched_from, 5U);
  const size_t lists = rig.store.lists;
  const Error gone{ErrorCode::kNotFound, "fake", "", "410"};
  rig.store.on_server_changes(gone);
  rig.timers.Advance(1s);
  cr_assert_eq(rig.store.lists, lists + 1);
}

// An instance that left, or restarted with an empty log, while the store
// dropped its history may have had the only copy of a commit. The list that
// replaces the history must report the loss as a watch does.
struct MissedLossCase {
  const char* before;
  // Not set when the instance is no longer listed.
  std::optional<const char*> after;
  bool loss_recorded;
};

static const MissedLossCase kMissedLosses[] = {
    {"leaving", std::nullopt, true},
    {"", "restarted", true},
    {"", "", false},
    // It may return within ServerDirectory::kUnlistedGracePeriod.
    {"", std::nullopt, false},
};

TABLE_TEST(gateway_host, list_reports_missed_losses, kMissedLosses) {
  const MissedLossCase& row = kMissedLosses[*row_index];
  HostRig rig;
  rig.store.on_servers(RecordList{{{"a", 3, row.before}, {"b", 4, ""}}, 5});
  const Error gone{ErrorCode::kNotFound, "fake", "", "410"};
  rig.store.on_server_changes(gone);
  rig.timers.Advance(1s);
  RecordList list{{{"b", 4, ""}}, 9};
  if (row.after)
    list.records.push_back({"a", 8, *row.after});
  rig.store.on_servers(list);
  cr_expect_eq(rig.host.context().last_member_loss.contains(GroupName("loans")),
               row.loss_recorded);
}

// The members of a group are recorded once this proxy has observed that its
// replicas have every acknowledged commit, and again after a primary change.
Test(gateway_host, members_are_recorded_when_replicas_have_all_commits) {
  HostRig rig;
  rig.Configure("1");
  for (const char* id : {"p", "a"})
    rig.group.Add(id, ReplicationRole::kReplica, 10);
  rig.group.At("p").role = ReplicationRole::kPrimary;
  rig.store.on_servers(RecordList{{{"p", 1, "primary"}, {"a", 2, ""}}, 5});
  rig.timers.Advance(4s);
  const auto stored = [&]() -> std::optional<GroupMembers> {
    const auto record =
        rig.store.Find(RecordCollection::kGroupMembers, "loans");
    if (!record)
      return std::nullopt;
    return DecodeMembers(record->body).value();
  };
  cr_expect(!stored(), "recorded before any position was observed");
  rig.group.At("a").behind = true;
  rig.Read(3s);
  cr_expect(!stored(), "recorded while the replica lags");
  rig.group.At("a").behind = false;
  rig.Read(5s);
  cr_assert(stored().has_value());
  cr_expect(*stored() ==
            (GroupMembers{{{InstanceName("p"), 1}, {InstanceName("a"), 1}},
                          InstanceName("p"),
                          1}));
  rig.timers.Clear();
}

// When both replicas lag far and the primary is overloaded with reads, the
// primary is replaced, so that the old one serves reads as a replica. Without
// this, a group lost 8% of its requests for 40 s in a user's day run although
// its primary was healthy. No switchover starts while a lost instance may
// return, because a commit that it acknowledges during the change could be
// lost.
static const bool kInstanceLost[] = {false, true};

TABLE_TEST(gateway_host,
           primary_of_lagging_replicas_is_replaced,
           kInstanceLost) {
  const bool lost = kInstanceLost[*row_index];
  HostRig rig;
  rig.Configure("1");
  for (const char* id : {"p", "a", "b"})
    rig.group.Add(id, ReplicationRole::kReplica, 10);
  rig.group.Add("c", ReplicationRole::kReplica, 10);
  rig.group.At("p").role = ReplicationRole::kPrimary;
  rig.store.on_servers(RecordList{
      {{"p", 1, "primary"}, {"a", 2, ""}, {"b", 3, ""}, {"c", 4, "leaving"}},
      5});
  if (lost)
    rig.store.on_server_changes(RecordChanges{{{{"c", 6, ""}, true}}, 6});
  rig.timers.Advance(1s);
  cr_assert(rig.host.OpenSession("db", "", [](const ClientReply&) {}));
  cr_expect_gt(rig.Read(1s), 0U);
  cr_expect(rig.group.promotions.empty());

  rig.group.At("a").behind = true;
  rig.group.At("b").behind = true;
  rig.group.At("p").overloaded = true;
  rig.group.before_promotion = [&] { rig.group.At("p").overloaded = false; };
  rig.Read(4s);
  cr_assert_eq(rig.group.promotions.size(), lost ? 0U : 1U);
  if (lost)
    return rig.timers.Clear();
  const size_t reads = 50;
  cr_expect_eq(rig.Read(reads * 20ms), reads);
  cr_expect_eq(rig.group.promotions.size(), 1U);
  rig.timers.Clear();
}

// Proxies that lose the store at the same time must not all retry at the same
// time.
Test(gateway_host, retries_after_an_outage_are_spread_and_bounded) {
  HostRig rig;
  const Error down{ErrorCode::kUnavailable, "fake", "", "503"};
  size_t calls = 0;
  for (Duration time = 0ms; time < 10s; time += 10ms) {
    if (const auto answer = std::exchange(rig.store.on_servers, nullptr)) {
      ++calls;
      answer(down);
    }
    rig.timers.Advance(10ms);
  }
  cr_expect_gt(calls, 10U);
  cr_expect_lt(calls, 50U);
}

// If the store drops its history during a watch, the watch does not receive a
// new configuration before it ends. With waits of 10 s, new databases were
// refused after the 3 s within which a configuration must be in force (nine of
// 80 day runs in the fault searches of both sites).
Test(gateway_host, watches_end_before_a_configuration_must_be_in_force) {
  HostRig rig;
  rig.Configure("1");
  rig.store.on_servers(RecordList{{}, 5});
  for (const auto collection :
       {RecordCollection::kConfiguration, RecordCollection::kServers}) {
    cr_assert(rig.store.waits.contains(collection));
    cr_expect_lt(rig.store.waits[collection].count(), Duration(3s).count());
  }
}

// Where a configuration may take long to be in force, its watch must still end
// often enough to show that the store answers. Otherwise a proxy would take a
// quiet store for gone, and would promote no instance.
Test(gateway_host, quiet_store_is_not_taken_for_gone) {
  HostRig rig(10s);
  rig.Configure("1");
  cr_expect_lt(rig.store.waits[RecordCollection::kConfiguration].count(),
               Duration(StoreContact::kMaxPause).count());
}

}  // namespace jackdawturn::gateway
