#include "gateway/store_sync.h"

#include <algorithm>
#include <utility>

#include "gateway/random_delay.h"

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr Duration kListTimeout = 1'500ms;
constexpr Duration kMinRetryDelay = 50ms;
constexpr Duration kMaxRetryDelay = 800ms;
constexpr unsigned kRetryDoublings = 4;
// A change within this time after the start of its watch probably has the same
// cause as the previous one.
constexpr Duration kQuickChangeTime = 500ms;

}  // namespace

StoreSync::StoreSync(MetadataStore& store,
                     Timers& timers,
                     StoreRetries& retries,
                     RecordCollection collection,
                     uint64_t seed,
                     Hooks hooks,
                     WatchTiming timing)
    : m_store(store),
      m_timers(timers),
      m_retries(retries),
      m_collection(collection),
      m_hooks(std::move(hooks)),
      m_timing(timing),
      m_random(seed),
      m_self(std::make_shared<StoreSync*>(this)) {}

StoreSync::~StoreSync() {
  *m_self = nullptr;
}

void StoreSync::Start() {
  List();
}

void StoreSync::Refresh(OnRefreshed on_refreshed) {
  m_on_refreshed.push_back(std::move(on_refreshed));
  if (m_refreshing || m_revision == 0)
    return;
  m_refreshing = true;
  m_store.Watch(m_collection, m_revision, Duration(0),
                [self = m_self](Result<RecordChanges> changes) {
                  if (*self)
                    (*self)->Refreshed(std::move(changes));
                });
}

void StoreSync::Refreshed(Result<RecordChanges> changes) {
  if (!changes && changes.error().code == ErrorCode::kNotFound)
    return RefreshByList();
  if (!changes)
    return EndRefresh(changes.error());
  NoteStoreReachable(Duration(0));
  Apply(changes.value());
  EndRefresh(Success());
}

void StoreSync::RefreshByList() {
  m_store.List(m_collection, kListTimeout,
               [self = m_self](const Result<RecordList>& list) {
                 if (!*self)
                   return;
                 if (!list)
                   return (*self)->EndRefresh(list.error());
                 (*self)->NoteStoreReachable(Duration(0));
                 (*self)->m_revision =
                     std::max((*self)->m_revision, list.value().revision);
                 (*self)->m_hooks.on_list(list.value());
                 (*self)->EndRefresh(Success());
               });
}

void StoreSync::StoreRestored() {
  // Without a list, the first one is still to come.
  if (m_revision == 0)
    return;
  m_timers.After(RandomDelay(m_random, {}, kRestoredListSpread),
                 [self = m_self] {
                   if (*self)
                     (*self)->RefreshIfOutdated();
                 });
}

void StoreSync::RefreshIfOutdated() {
  if (!m_store.era().Outdates(m_revision))
    return;
  Refresh([self = m_self](const Result<void>& result) {
    if (*self && !result)
      (*self)->StoreRestored();
  });
}

void StoreSync::EndRefresh(const Result<void>& result) {
  m_refreshing = false;
  for (const OnRefreshed& on_refreshed : std::exchange(m_on_refreshed, {}))
    on_refreshed(result);
}

void StoreSync::Apply(const RecordChanges& changes) {
  // A refresh that ended during the watch has received them all.
  if (changes.revision < m_revision)
    return;
  for (const RecordChange& change : changes.changes)
    m_hooks.on_change(change);
  m_revision = changes.revision;
}

void StoreSync::List() {
  m_called_at = m_timers.now();
  m_store.List(m_collection, kListTimeout,
               [self = m_self](Result<RecordList> list) {
                 if (*self)
                   (*self)->Listed(std::move(list));
               });
}

void StoreSync::Listed(Result<RecordList> list) {
  if (!list)
    return Failed(list.error(), true);
  NoteStoreReachable(Duration(0));
  m_revision = list.value().revision;
  m_hooks.on_list(list.value());
  Watch();
  if (!m_refreshing)
    EndRefresh(Success());
}

void StoreSync::Watch() {
  m_called_at = m_timers.now();
  m_watched_from = m_revision;
  m_store.Watch(m_collection, m_revision, m_timing.wait,
                [self = m_self](Result<RecordChanges> changes) {
                  if (*self)
                    (*self)->Watched(std::move(changes));
                });
}

void StoreSync::Watched(Result<RecordChanges> changes) {
  const bool history_lost =
      !changes && changes.error().code == ErrorCode::kNotFound;
  if (history_lost && m_store.era().Outdates(m_watched_from)) {
    // A list that ended during the watch is of the present era.
    if (!m_store.era().Outdates(m_revision))
      return Watch();
    return RetryAfter(RandomDelay(m_random, {}, kRestoredListSpread), true);
  }
  if (!changes)
    return Failed(changes.error(), history_lost);
  NoteStoreReachable(changes.value().age);
  Apply(changes.value());
  const Duration coalesce_delay =
      changes.value().changes.empty() ? Duration(0) : CoalesceDelay();
  if (coalesce_delay == Duration(0))
    return Watch();
  m_timers.After(coalesce_delay, [self = m_self] {
    if (*self)
      (*self)->Watch();
  });
}

Duration StoreSync::CoalesceDelay() {
  const bool quick = m_timers.now() < m_called_at + kQuickChangeTime;
  m_quick_changes = quick ? m_quick_changes + 1 : 1;
  return m_quick_changes > m_timing.immediate_watches ? m_timing.coalesce_delay
                                                      : Duration(0);
}

void StoreSync::Failed(const Error& error, bool needs_list) {
  // A single failure is no outage: a watch may be interrupted while the store
  // is healthy, and the store may drop its history. Two consecutive failures
  // are taken for one.
  if (++m_failures == 2 && m_store_reachable) {
    m_store_reachable = false;
    m_hooks.on_reachability_change(&error);
  }
  if (!m_refreshing)
    EndRefresh(error);
  // A timeout of at least the outage interval has already spread the calls, so
  // `m_retries` is not needed. The call is retried as a list: the store answers
  // a list immediately, so that its loss is detected sooner than that of a
  // watch; a proxy must receive the configuration soon after a partition ends.
  const Duration waited = m_timers.now() - m_called_at;
  if (error.code == ErrorCode::kTimeout &&
      waited >= StoreRetries::kOutageInterval) {
    m_timers.After(RandomDelay(m_random, kMinRetryDelay / 4, kMinRetryDelay),
                   [self = m_self] {
                     if (*self)
                       (*self)->List();
                   });
    return;
  }
  m_retries.Failed();
  const Duration max_delay =
      std::min(kMinRetryDelay * (1 << std::min(m_failures, kRetryDoublings)),
               kMaxRetryDelay);
  RetryAfter(RandomDelay(m_random, max_delay / 4, max_delay), needs_list);
}

void StoreSync::RetryAfter(Duration delay, bool needs_list) {
  m_timers.After(delay, [self = m_self, needs_list] {
    if (*self)
      (*self)->Retry(needs_list);
  });
}

void StoreSync::Retry(bool needs_list) {
  const Duration wait = m_retries.Request(m_timers.now());
  if (wait > Duration(0))
    return RetryAfter(wait, needs_list);
  if (m_revision == 0 || m_store.era().Outdates(m_revision))
    return List();
  // A refresh has listed the present era already.
  if (needs_list && !m_store.era().Outdates(m_watched_from))
    return List();
  Watch();
}

void StoreSync::NoteStoreReachable(Duration age) {
  m_failures = 0;
  if (m_hooks.on_answer)
    m_hooks.on_answer(age);
  m_retries.Answered();
  if (m_store_reachable)
    return;
  m_store_reachable = true;
  m_hooks.on_reachability_change(nullptr);
}

}  // namespace jackdawturn::gateway
