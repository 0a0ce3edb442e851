#include <string>
#include <vector>

#include "gateway/fake_group.h"
#include "gateway/recorded_log.h"

#include "support/table_test.h"

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

const GroupName kGroup("loans");

// A store whose lists and watches follow one record list, and which counts the
// lists.
class RestoredStore : public FakeStore {
 public:
  explicit RestoredStore(VirtualTimers& timers)
      : FakeStore(timers), m_timers(timers) {}

  void List(RecordCollection collection,
            Duration,
            std::function<void(Result<RecordList>)> on_list) override {
    m_timers.After(1ms, [this, collection, shown = shown_era, on_list] {
      ++lists[collection];
      era().Accept(shown);
      RecordList list;
      list.revision = CombineRevision(shown.value_or(0), revision);
      if (collection == RecordCollection::kServers)
        list.records = servers;
      for (StoredRecord& record : list.records)
        record.revision = CombineRevision(shown.value_or(0), record.revision);
      on_list(list);
    });
  }

  // Watches wait; that of the servers is answered by the test.
  void Watch(RecordCollection collection,
             uint64_t,
             Duration,
             std::function<void(Result<RecordChanges>)> on_changes) override {
    if (collection == RecordCollection::kServers)
      on_server_changes = std::move(on_changes);
  }

  std::map<RecordCollection, size_t> lists;
  std::vector<StoredRecord> servers;
  uint64_t revision = 20;
  std::function<void(Result<RecordChanges>)> on_server_changes;

 private:
  VirtualTimers& m_timers;
};

// One proxy whose store comes back. The body of an instance's entry is its time
// of birth, and "leaving" if it leaves.
struct HostRig {
  explicit HostRig(EventLog* event_log = nullptr)
      : log(event_log, metrics, VmName("vm")),
        host{{.name = VmName("vm"), .zone = ZoneName("z"), .seed = 1},
             {timers, store, group.Opener(), group.Promoter(), FakeStatus,
              [](const StoredRecord&) {
                GatewayConfig config;
                config.version = 1;
                return Result<GatewayConfig>(config);
              },
              DecodeServer},
             log} {
    store.shown_era = 0;
    store.servers = {{"i", 15, "200 leaving"}, {"j", 16, "200"}};
    host.Start();
    timers.Advance(100ms);
  }
  ~HostRig() { timers.Clear(); }

  static Result<BackendServer> DecodeServer(const StoredRecord& record) {
    BackendServer server;
    server.id = InstanceName(record.name);
    server.group = kGroup;
    server.revision = record.revision;
    server.incarnation = std::stoull(record.body);
    server.draining = record.body.ends_with("leaving");
    return server;
  }

  void Restore() {
    store.shown_era = 1;
    store.revision = 12;
    store.era().Accept(1);
    timers.Advance(600ms);
  }

  const BackendServer* Find(const char* id) const {
    return host.context().directory.Find(InstanceName(id));
  }

  VirtualTimers timers;
  FakeGroup group{timers};
  RestoredStore store{timers};
  MetricRegistry metrics;
  GatewayLog log;
  GatewayHost host;
};

}  // namespace

// After the return, a proxy must list each collection once, and say so.
Test(gateway_store_restored, all_collections_are_listed_once) {
  RecordedLog recorded;
  HostRig rig(recorded.log());
  const auto before = rig.store.lists;
  cr_assert_eq(before.size(), 4U);
  rig.Restore();
  for (const auto& [collection, lists] : rig.store.lists)
    cr_expect_eq(lists, before.at(collection) + 1, "%s",
                 std::string(ToString(collection)).c_str());
  const std::string lines = recorded.Lines("store_restored");
  cr_expect_eq(CountLines(lines), 1);
  cr_expect(Contains(lines, "old_era=0"));
  cr_expect(Contains(lines, "new_era=1"));
}

// Entries of the copy must not bring back what an instance was before: an
// earlier start, or that it does not leave yet.
struct EntryCase {
  const char* name;
  std::vector<StoredRecord> copy;
  uint64_t incarnation;
  bool draining;
  bool forgotten;
};

static const EntryCase kEntries[] = {
    {"an earlier start", {{"i", 7, "100"}, {"j", 8, "200"}}, 200, true, true},
    {"not leaving yet", {{"i", 7, "200"}, {"j", 8, "200"}}, 200, true, false},
    {"a later start", {{"i", 7, "300"}, {"j", 8, "200"}}, 300, false, false},
};

TABLE_TEST(gateway_store_restored,
           entries_of_the_copy_take_nothing_back,
           kEntries) {
  const EntryCase& row = kEntries[*row_index];
  HostRig rig;
  cr_assert_not_null(rig.Find("i"));
  rig.store.servers = row.copy;
  rig.Restore();
  const BackendServer* found = rig.Find("i");
  // An instance that leaves is forgotten once it is not listed.
  cr_assert_eq(found == nullptr, row.forgotten, "%s", row.name);
  if (!found)
    return;
  cr_expect_eq(found->incarnation, row.incarnation, "%s", row.name);
  cr_expect_eq(found->draining, row.draining, "%s", row.name);
}

// An entry that the copy lacks may be of an instance that runs: it is kept for
// its grace period.
Test(gateway_store_restored, entries_that_the_copy_lacks_are_kept) {
  HostRig rig;
  rig.store.servers = {};
  rig.Restore();
  cr_expect_not_null(rig.Find("j"));
}

// A watch that goes on over the return must not hide changes: the numbers up to
// its revision were given out again.
Test(gateway_store_restored, watch_over_the_return_hides_no_change) {
  HostRig rig;
  const auto old_watch = rig.store.on_server_changes;
  rig.store.servers = {{"i", 7, "200"}, {"j", 8, "200"}, {"k", 18, "300"}};
  rig.store.shown_era = 1;
  rig.store.revision = 22;
  rig.store.era().Accept(1);
  // It began at number 20, so it does not tell of "k".
  RecordChanges changes;
  changes.revision = CombineRevision(1, 22);
  old_watch(changes);
  rig.timers.Advance(600ms);
  cr_expect_not_null(rig.Find("k"));
}

}  // namespace jackdawturn::gateway
