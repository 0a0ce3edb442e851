#include <memory>
#include <string>
#include <vector>

#include "gateway/fake_group.h"

#include "support/table_test.h"

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr auto kServers = RecordCollection::kServers;

// A store with one collection, whose watches wait.
class WatchedStore : public FakeStore {
 public:
  explicit WatchedStore(VirtualTimers& timers)
      : FakeStore(timers), m_timers(timers) {}

  void List(RecordCollection,
            Duration,
            std::function<void(Result<RecordList>)> on_list) override {
    ++calls;
    ++lists;
    era().Accept(shown_era);
    RecordList list{m_records, Shown(m_revision)};
    for (StoredRecord& record : list.records)
      record.revision = Shown(record.revision);
    on_list(std::move(list));
  }

  void Watch(RecordCollection,
             uint64_t revision,
             Duration wait,
             std::function<void(Result<RecordChanges>)> on_changes) override {
    ++calls;
    Poll(RevisionNumber(revision), m_timers.now() + wait,
         std::move(on_changes));
  }

  void Put(const std::string& name) {
    m_records.push_back({name, ++m_revision, "{}"});
  }

  // The store comes back without its last records, and the next era begins.
  void Restore(size_t lost_records) {
    m_records.resize(m_records.size() - lost_records);
    m_revision -= lost_records;
    shown_era = shown_era.value_or(0) + 1;
  }

  size_t calls = 0;
  size_t lists = 0;
  bool silent = false;

 private:
  uint64_t Shown(uint64_t number) const {
    return CombineRevision(shown_era.value_or(0), number);
  }

  void Poll(uint64_t revision,
            TimePoint end,
            const std::function<void(Result<RecordChanges>)>& on_changes) {
    RecordChanges changes;
    changes.revision = Shown(m_revision);
    for (const StoredRecord& record : m_records) {
      if (record.revision > revision)
        changes.changes.push_back(
            {{record.name, Shown(record.revision), record.body}, false});
    }
    const bool due = !changes.changes.empty() || m_timers.now() >= end;
    if (due && !silent) {
      era().Accept(shown_era);
      return on_changes(changes);
    }
    constexpr Duration kSlack = 1'200ms;
    if (silent && m_timers.now() >= end + kSlack)
      return on_changes(Error{ErrorCode::kTimeout, "fake", "", ""});
    m_timers.After(5ms, [this, revision, end, on_changes] {
      Poll(revision, end, on_changes);
    });
  }

  VirtualTimers& m_timers;
  std::vector<StoredRecord> m_records;
  uint64_t m_revision = 10;
};

// The proxies of one zone, each of which follows the collection of servers.
class ZoneRig {
 public:
  struct Proxy {
    Proxy(ZoneRig& rig, const std::string& name)
        : store(rig.timers),
          peers(VmName(name), ZoneName("a")),
          watches(store,
                  peers,
                  rig.timers,
                  rig.log,
                  [&rig](const Peer& peer,
                         RecordCollection collection,
                         uint64_t revision,
                         Duration wait,
                         auto on_changes) {
                    rig.WatchAt(peer, collection, revision, wait,
                                std::move(on_changes));
                  }),
          sync(watches,
               rig.timers,
               retries,
               kServers,
               1,
               {[this](const RecordList& list) {
                  seen = std::max(seen, list.revision);
                },
                [this](const RecordChange& change) {
                  seen = std::max(seen, change.record.revision);
                },
                [](const Error*) {}}) {}

    WatchedStore store;
    PeerDirectory peers;
    StoreRetries retries;
    SharedWatches watches;
    StoreSync sync;
    uint64_t seen = 0;
    // Answers nobody.
    bool silent = false;
  };

  explicit ZoneRig(size_t count) {
    std::vector<Peer> peers;
    for (size_t index = 0; index < count; ++index) {
      Peer peer;
      peer.name = VmName("a" + std::to_string(index));
      peer.zone = ZoneName("a");
      peer.records_address = peer.name.value();
      peers.push_back(peer);
    }
    for (const Peer& peer : peers) {
      proxies[peer.name] = std::make_unique<Proxy>(*this, peer.name.value());
      proxies[peer.name]->peers.Replace(peers);
    }
    for (const auto& [name, proxy] : proxies)
      proxy->sync.Start();
    timers.Advance(2s);
  }
  ~ZoneRig() { timers.Clear(); }

  void Put(const std::string& name) {
    for (const auto& [vm, proxy] : proxies)
      proxy->store.Put(name);
  }

  size_t Calls() const {
    size_t calls = 0;
    for (const auto& [name, proxy] : proxies)
      calls += proxy->store.calls;
    return calls;
  }

  // Returns the proxy that the others follow.
  Proxy& Upstream() {
    for (const auto& [name, proxy] : proxies) {
      if (!proxy->peers.ChooseUpstream(timers.now()))
        return *proxy;
    }
    VERIFY(false);
    return *proxies.begin()->second;
  }

  bool AllHaveSeen(uint64_t revision, const Proxy* except = nullptr) const {
    return std::all_of(proxies.begin(), proxies.end(), [&](const auto& entry) {
      return entry.second.get() == except || entry.second->seen >= revision;
    });
  }

  void WatchAt(const Peer& peer,
               RecordCollection collection,
               uint64_t revision,
               Duration wait,
               std::function<void(Result<RecordChanges>)> on_changes) {
    constexpr Duration kSlack = 400ms;
    Proxy& upstream = *proxies.at(peer.name);
    if (upstream.silent) {
      timers.After(wait + kSlack, [on_changes = std::move(on_changes)] {
        on_changes(Error{ErrorCode::kTimeout, "fake", "", ""});
      });
      return;
    }
    // What is sent while the proxy becomes silent is lost.
    const auto answered = std::make_shared<bool>(false);
    timers.After(wait + kSlack, [answered, on_changes] {
      if (!std::exchange(*answered, true))
        on_changes(Error{ErrorCode::kTimeout, "fake", "", ""});
    });
    upstream.watches.Serve(
        collection, revision, wait,
        [&upstream, answered, on_changes](Result<RecordChanges> changes) {
          if (!upstream.silent && !std::exchange(*answered, true))
            on_changes(std::move(changes));
        });
  }

  VirtualTimers timers;
  MetricRegistry metrics;
  GatewayLog log{nullptr, metrics, VmName("vm")};
  std::map<VmName, std::unique_ptr<Proxy>> proxies;
};

}  // namespace

// The calls to the store must not grow with the proxies of a zone (a day of
// 295 proxies spent a sixth of its worth on them).
Test(gateway_shared_watches, calls_do_not_grow_with_the_fleet) {
  std::map<size_t, size_t> calls;
  for (const size_t count : {8, 64}) {
    ZoneRig rig(count);
    const size_t before = rig.Calls();
    rig.timers.Advance(20s);
    calls[count] = rig.Calls() - before;
    rig.Put("x");
    rig.timers.Advance(50ms);
    cr_expect(rig.AllHaveSeen(11), "%zu proxies", count);
  }
  cr_expect_eq(calls[8], calls[64]);
  cr_expect_leq(calls[64], 21U);
}

// In a small zone, each proxy watches the store itself.
Test(gateway_shared_watches, small_zone_shares_nothing) {
  ZoneRig rig(3);
  for (const auto& [name, proxy] : rig.proxies)
    cr_expect_gt(proxy->store.calls, 1U);
}

// A proxy that is followed may fail in any way; the others must learn of a
// change soon all the same.
struct UpstreamCase {
  const char* pattern;
  bool answers_nobody;
  bool loses_the_store;
  bool leaves;
};

static const UpstreamCase kUpstreams[] = {
    {"crashes or is suspended", true, false, false},
    {"is cut off from the store", false, true, false},
    {"leaves", false, false, true},
};

TABLE_TEST(gateway_shared_watches, upstream_that_fails, kUpstreams) {
  const UpstreamCase& row = kUpstreams[*row_index];
  for (Duration phase = 0ms; phase < 1'100ms; phase += 100ms) {
    ZoneRig rig(8);
    rig.timers.Advance(phase);
    ZoneRig::Proxy& upstream = rig.Upstream();
    upstream.silent = row.answers_nobody;
    upstream.store.silent = row.loses_the_store;
    if (row.leaves) {
      const VmName name = std::find_if(rig.proxies.begin(), rig.proxies.end(),
                                       [&](const auto& entry) {
                                         return entry.second.get() == &upstream;
                                       })
                              ->first;
      for (const auto& [vm, proxy] : rig.proxies) {
        Peer leaving = *proxy->peers.Find(name);
        leaving.leaving = true;
        proxy->peers.Update(leaving);
      }
      upstream.silent = true;
    }
    rig.Put("x");
    rig.timers.Advance(2 * SharedWatches::kMaxAge);
    cr_expect(rig.AllHaveSeen(11, &upstream), "%s", row.pattern);
  }
}

// When the store comes back from an older copy, its number of calls must not
// grow with the proxies either, and no proxy may miss what is written then,
// although it gets the revision of a record that was lost.
Test(gateway_shared_watches, upstream_carries_the_era) {
  std::map<size_t, size_t> lists;
  for (const size_t count : {8, 64}) {
    ZoneRig rig(count);
    for (const auto& [name, proxy] : rig.proxies)
      proxy->store.shown_era = 0;
    for (const char* name : {"x", "y", "z"})
      rig.Put(name);
    rig.timers.Advance(2s);
    cr_assert(rig.AllHaveSeen(13));
    for (const auto& [name, proxy] : rig.proxies) {
      lists[count] -= proxy->store.lists;
      proxy->store.Restore(2);
    }
    rig.Put("new");
    rig.timers.Advance(2 * SharedWatches::kMaxAge);
    cr_expect(rig.AllHaveSeen(CombineRevision(1, 12)), "%zu proxies", count);
    for (const auto& [name, proxy] : rig.proxies)
      lists[count] += proxy->store.lists;
  }
  cr_expect_eq(lists[8], 1U);
  cr_expect_eq(lists[64], 1U);
}

// An upstream that is still in the earlier era must not be followed by a proxy
// that has seen the present one.
Test(gateway_shared_watches, upstream_of_an_earlier_era_is_not_followed) {
  ZoneRig rig(8);
  for (const auto& [name, proxy] : rig.proxies)
    proxy->store.shown_era = 0;
  rig.Put("x");
  rig.timers.Advance(2s);
  ZoneRig::Proxy& upstream = rig.Upstream();
  for (const auto& [name, proxy] : rig.proxies) {
    if (proxy.get() == &upstream)
      continue;
    proxy->store.Restore(1);
    proxy->store.Put("new");
    proxy->store.era().Accept(1);
  }
  rig.timers.Advance(3s);
  cr_expect(rig.AllHaveSeen(CombineRevision(1, 11), &upstream));
}

// The cache must deliver each change once it is asked for with an older
// revision, and admit when it cannot know.
struct CacheCase {
  uint64_t since;
  // The names of the changed records, "-" before a removed one; null if the
  // changes are not known.
  const char* changes;
};

// After a list at revision 10 with "a" and "b", a watch up to 14 in which "a"
// was removed and "c" added, and a list at 20 with "c" and a changed "b".
static const CacheCase kCaches[] = {
    {9, nullptr}, {10, "-a b c "}, {14, "b "}, {20, ""}, {25, ""},
};

TABLE_TEST(gateway_shared_watches, changes_since_a_revision, kCaches) {
  const CacheCase& row = kCaches[*row_index];
  RecordCache cache;
  cr_expect(!cache.ChangesSince(0).has_value());
  cache.Replace({{{"a", 3, ""}, {"b", 5, ""}}, 10});
  cache.Apply({{{{"a", 3, ""}, true}, {{"c", 12, ""}, false}}, 14});
  cache.Replace({{{"b", 17, ""}, {"c", 12, ""}}, 20});
  const auto changes = cache.ChangesSince(row.since);
  cr_assert_eq(changes.has_value(), row.changes != nullptr);
  if (!changes)
    return;
  std::string names;
  for (const RecordChange& change : changes->changes)
    names += (change.removed ? "-" : "") + change.record.name + " ";
  cr_expect_str_eq(names.c_str(), row.changes);
}

// Removals are dropped at some time; a proxy that may have missed one lists.
Test(gateway_shared_watches, dropped_removals_are_admitted) {
  RecordCache cache;
  cache.Replace({{}, 10});
  for (uint64_t revision = 11; revision < 11 + 2 * RecordCache::kMaxRemovals;
       ++revision)
    cache.Apply(
        {{{{"x" + std::to_string(revision), revision, ""}, true}}, revision});
  cr_expect(!cache.ChangesSince(10).has_value());
  const auto changes = cache.ChangesSince(cache.revision() - 5);
  cr_assert(changes.has_value());
  cr_expect_eq(changes->changes.size(), 5U);
}

}  // namespace jackdawturn::gateway
