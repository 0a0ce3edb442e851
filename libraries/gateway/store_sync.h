#pragma once

#include <functional>
#include <memory>
#include <random>
#include <vector>

#include "gateway/metadata_store.h"
#include "gateway/store_retries.h"
#include "gateway/timers.h"

namespace jackdawturn::gateway {

// How long a watch waits for changes, and how soon the next one begins.
struct WatchTiming {
  // A watch without changes ends after this time. If the store drops its
  // history during a watch, the watch receives no changes until it ends.
  Duration wait = std::chrono::milliseconds(2'500);
  // Delay of the next watch after a change, so that changes in quick succession
  // are received together.
  Duration coalesce_delay{0};
  // Number of consecutive quick changes after which the next watch still begins
  // immediately.
  unsigned immediate_watches = 0;
};

// Follows one collection of records: lists it, then watches it, and lists it
// again when the store no longer has the history since the last watch, or has
// come back from an older copy. Thread
// safety: not thread-safe.
class StoreSync {
 public:
  struct Hooks {
    std::function<void(const RecordList&)> on_list;
    std::function<void(const RecordChange&)> on_change;
    // Called with the error when the store becomes unreachable, and with null
    // when it becomes reachable.
    std::function<void(const Error* lost)> on_reachability_change;
    // Called at each answer, with how long ago the store has given it; may be
    // null.
    std::function<void(Duration age)> on_answer;
  };
  using OnRefreshed = std::function<void(Result<void>)>;

  // `store`, `timers` and `retries` outlive this; the collections of one store
  // share `retries`.
  StoreSync(MetadataStore& store,
            Timers& timers,
            StoreRetries& retries,
            RecordCollection collection,
            uint64_t seed,
            Hooks hooks,
            WatchTiming timing = {});
  ~StoreSync();
  StoreSync(const StoreSync&) = delete;
  StoreSync& operator=(const StoreSync&) = delete;

  void Start();

  // Asks the store at once for all changes up to now, beside the watch in
  // progress, which may be silent. `on_refreshed` runs when the hooks have
  // received them. Errors: as MetadataStore::List. Precondition: started.
  void Refresh(OnRefreshed on_refreshed);

  // A new era of the store has begun: the collection is listed again, beside
  // the watch in progress, at a random time within kRestoredListSpread.
  void StoreRestored();

  bool store_reachable() const { return m_store_reachable; }

 private:
  // Spreads the lists of all proxies after a new era of the store has begun.
  static constexpr Duration kRestoredListSpread =
      std::chrono::milliseconds(500);

  void List();
  void Listed(Result<RecordList> list);
  void Watch();
  void Watched(Result<RecordChanges> changes);
  // Takes over the changes after a revision up to the present one.
  void Apply(const RecordChanges& changes);
  void Refreshed(Result<RecordChanges> changes);
  void RefreshByList();
  void RefreshIfOutdated();
  void EndRefresh(const Result<void>& result);
  void Failed(const Error& error, bool needs_list);
  // Retries the call, or waits until `m_retries` allows it.
  void Retry(bool needs_list);
  void RetryAfter(Duration delay, bool needs_list);
  // Returns the delay of the next watch after one that received changes.
  Duration CoalesceDelay();
  void NoteStoreReachable(Duration age);

  MetadataStore& m_store;
  Timers& m_timers;
  StoreRetries& m_retries;
  const RecordCollection m_collection;
  Hooks m_hooks;
  const WatchTiming m_timing;
  std::mt19937_64 m_random;
  // Null once this object is destroyed; callbacks may run after that.
  std::shared_ptr<StoreSync*> m_self;
  uint64_t m_revision = 0;
  // The revision from which the last watch began.
  uint64_t m_watched_from = 0;
  TimePoint m_called_at;
  // Those that wait for the refresh in progress, or for the first list.
  std::vector<OnRefreshed> m_on_refreshed;
  bool m_refreshing = false;
  // Consecutive watches that received a change soon after they began.
  unsigned m_quick_changes = 0;
  unsigned m_failures = 0;
  bool m_store_reachable = false;
};

}  // namespace jackdawturn::gateway
