#pragma once

#include <functional>
#include <memory>
#include <random>

#include "gateway/metadata_store.h"
#include "gateway/store_retries.h"
#include "gateway/timers.h"

namespace jackdawturn::gateway {

// How often the store is asked.
struct WatchTiming {
  // A watch without changes ends after this time. While the store drops its
  // history, a watch hears nothing of changes until it ends.
  Duration wait = std::chrono::milliseconds(2'500);
  // After a change, the next watch begins this much later, so that changes
  // in quick succession are answered together.
  Duration coalesce_delay{0};
  // As many changes in quick succession are answered one by one all the same.
  unsigned immediate_watches = 0;
};

// Keeps up with one collection of records: lists it, then watches it, and lists
// it again when the store has forgotten the history in between. Thread safety:
// not thread-safe.
class StoreSync {
 public:
  struct Hooks {
    std::function<void(const RecordList&)> on_list;
    std::function<void(const RecordChange&)> on_change;
    // The store was lost, with the error, or regained, with null.
    std::function<void(const Error* lost)> on_reachability_change;
  };

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
  bool store_reachable() const { return m_store_reachable; }

 private:
  void List();
  void Listed(Result<RecordList> list);
  void Watch();
  void Watched(Result<RecordChanges> changes);
  void Failed(const Error& error, bool list_again);
  // Calls the store again, or waits for the turn of this collection.
  void TryAgain(bool list_again);
  void TryAgainAfter(Duration delay, bool list_again);
  // Returns how long the next watch waits after one that has told of changes.
  Duration CoalesceDelay();
  void NoteStoreReachable();

  MetadataStore& m_store;
  Timers& m_timers;
  StoreRetries& m_retries;
  const RecordCollection m_collection;
  Hooks m_hooks;
  const WatchTiming m_timing;
  std::mt19937_64 m_random;
  // Hooks that outlive this object find it gone.
  std::shared_ptr<StoreSync*> m_self;
  uint64_t m_revision = 0;
  TimePoint m_called_at;
  // Watches in a row that told of a change soon after they began.
  unsigned m_quick_answers = 0;
  unsigned m_failures = 0;
  bool m_store_reachable = false;
};

}  // namespace jackdawturn::gateway
