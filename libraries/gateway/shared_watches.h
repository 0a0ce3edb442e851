#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>

#include "gateway/gateway_log.h"
#include "gateway/metadata_store.h"
#include "gateway/peer_directory.h"
#include "gateway/record_cache.h"
#include "gateway/timers.h"

namespace jackdawturn::gateway {

// Watches a collection at another proxy instead of the store. Errors: as
// MetadataStore::Watch.
using WatchAtPeer =
    std::function<void(const Peer& peer,
                       RecordCollection collection,
                       uint64_t revision,
                       Duration wait,
                       std::function<void(Result<RecordChanges>)> on_changes)>;

// A metadata store whose watches are shared within an availability zone: one
// proxy watches the store, and the others watch the collections at that proxy,
// so that calls to the store do not grow with the fleet. All other calls go to
// the store.
//
// Each answer carries the age of what it shows. A proxy returns to the store
// when its upstream does not answer or is itself out of touch with the store,
// so that a change reaches it within about 2 * kMaxAge even then. Load pattern:
// hundreds of proxies with nothing to learn for most of the time. Thread
// safety: not thread-safe.
class SharedWatches : public MetadataStore {
 public:
  // How long a watch at the store or another proxy waits, if watches are
  // shared.
  static constexpr Duration kWait = std::chrono::seconds(1);
  // An upstream whose data is older than this is not followed.
  static constexpr Duration kMaxAge = std::chrono::milliseconds(2'500);

  // `store`, `peers`, `timers` and `log` outlive this. Null `watch_at_peer`:
  // watches are not shared.
  SharedWatches(MetadataStore& store,
                PeerDirectory& peers,
                Timers& timers,
                GatewayLog& log,
                WatchAtPeer watch_at_peer);
  ~SharedWatches() override;
  SharedWatches(const SharedWatches&) = delete;
  SharedWatches& operator=(const SharedWatches&) = delete;

  StoreEra& era() override { return m_store.era(); }
  void List(RecordCollection collection,
            Duration timeout,
            std::function<void(Result<RecordList>)> on_list) override;
  // A watch that does not wait goes to the store, because its caller needs to
  // know the present state.
  void Watch(RecordCollection collection,
             uint64_t revision,
             Duration wait,
             std::function<void(Result<RecordChanges>)> on_changes) override;
  void Read(RecordCollection collection,
            const std::string& name,
            Duration timeout,
            OnRecord on_record) override;
  void Update(RecordCollection collection,
              const std::string& name,
              uint64_t expected,
              const std::string& body,
              Duration timeout,
              OnRecord on_record) override;

  // Answers the watch of another proxy. Errors: kNotFound (the changes since
  // `revision` are not known), kUnavailable (nothing has been received yet).
  void Serve(RecordCollection collection,
             uint64_t revision,
             Duration wait,
             std::function<void(Result<RecordChanges>)> on_changes);

 private:
  using OnChanges = std::function<void(Result<RecordChanges>)>;

  struct Waiter {
    uint64_t number = 0;
    uint64_t revision = 0;
    OnChanges on_changes;
    Timers::TimerId timer = 0;
  };

  struct Collection {
    RecordCache cache;
    // Everything that the store had acknowledged before this time is in the
    // cache.
    TimePoint current_at;
    // The proxy that is watched; empty while the store is.
    VmName upstream;
    std::list<Waiter> waiters;
  };

  void WatchStore(RecordCollection collection,
                  uint64_t revision,
                  Duration wait,
                  OnChanges on_changes);
  void WatchPeer(const Peer& peer,
                 RecordCollection collection,
                 uint64_t revision,
                 Duration wait,
                 OnChanges on_changes);
  // Returns whether the answer of an upstream shows the present state.
  bool Usable(const Result<RecordChanges>& changes);
  void SetUpstream(RecordCollection collection, const VmName& upstream);
  // Takes over the answer to a watch sent at `sent_at` that waited for `wait`.
  void Received(RecordCollection collection,
                const RecordChanges& changes,
                TimePoint sent_at,
                Duration wait);
  void AnswerWaiters(RecordCollection collection);
  void EndWait(RecordCollection collection, uint64_t number);
  Duration AgeOf(const Collection& collection) const;

  MetadataStore& m_store;
  PeerDirectory& m_peers;
  Timers& m_timers;
  GatewayLog& m_log;
  const WatchAtPeer m_watch_at_peer;
  std::map<RecordCollection, Collection> m_collections;
  uint64_t m_next_waiter = 1;
  // Null once this object is destroyed; callbacks may run after that.
  std::shared_ptr<SharedWatches*> m_self;
};

}  // namespace jackdawturn::gateway
