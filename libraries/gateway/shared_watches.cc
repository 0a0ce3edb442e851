#include "gateway/shared_watches.h"

#include <algorithm>
#include <utility>

namespace jackdawturn::gateway {

SharedWatches::SharedWatches(MetadataStore& store,
                             PeerDirectory& peers,
                             Timers& timers,
                             GatewayLog& log,
                             WatchAtPeer watch_at_peer)
    : m_store(store),
      m_peers(peers),
      m_timers(timers),
      m_log(log),
      m_watch_at_peer(std::move(watch_at_peer)),
      m_self(std::make_shared<SharedWatches*>(this)) {}

SharedWatches::~SharedWatches() {
  *m_self = nullptr;
}

void SharedWatches::List(RecordCollection collection,
                         Duration timeout,
                         std::function<void(Result<RecordList>)> on_list) {
  m_store.List(collection, timeout,
               [self = m_self, collection, sent_at = m_timers.now(),
                on_list = std::move(on_list)](Result<RecordList> list) {
                 if (*self && list) {
                   Collection& known = (*self)->m_collections[collection];
                   known.cache.Replace(list.value());
                   known.current_at = std::max(known.current_at, sent_at);
                   (*self)->AnswerWaiters(collection);
                 }
                 on_list(std::move(list));
               });
}

void SharedWatches::Watch(RecordCollection collection,
                          uint64_t revision,
                          Duration wait,
                          OnChanges on_changes) {
  if (wait == Duration(0))
    return WatchStore(collection, revision, wait, std::move(on_changes));
  if (!m_watch_at_peer || !m_peers.SharesWatches()) {
    SetUpstream(collection, VmName());
    return WatchStore(collection, revision, wait, std::move(on_changes));
  }
  wait = std::min(wait, kWait);
  const Peer* peer = m_peers.ChooseUpstream(m_timers.now());
  SetUpstream(collection, peer ? peer->name : VmName());
  if (peer)
    WatchPeer(*peer, collection, revision, wait, std::move(on_changes));
  else
    WatchStore(collection, revision, wait, std::move(on_changes));
}

void SharedWatches::SetUpstream(RecordCollection collection,
                                const VmName& upstream) {
  Collection& known = m_collections[collection];
  if (known.upstream == upstream)
    return;
  known.upstream = upstream;
  m_log.LogStateChange(EventKind::kPlatform, GroupName(), "upstream",
                       upstream.empty() ? "store" : upstream.value(),
                       {{"collection", std::string(ToString(collection))}});
}

void SharedWatches::WatchStore(RecordCollection collection,
                               uint64_t revision,
                               Duration wait,
                               OnChanges on_changes) {
  const auto outdated = [] {
    return Failure(ErrorCode::kNotFound, "watch.store", "",
                   "the store has come back from an older copy");
  };
  if (m_store.era().Outdates(revision))
    return on_changes(outdated());
  m_store.Watch(
      collection, revision, wait,
      [self = m_self, collection, revision, wait, outdated,
       sent_at = m_timers.now(),
       on_changes = std::move(on_changes)](Result<RecordChanges> changes) {
        // The revisions from the copy's on were given out again, so changes
        // after `revision` may be missing.
        if (changes &&
            RevisionEra(changes.value().revision) != RevisionEra(revision))
          return on_changes(outdated());
        if (*self && changes)
          (*self)->Received(collection, changes.value(), sent_at, wait);
        on_changes(std::move(changes));
      });
}

void SharedWatches::WatchPeer(const Peer& peer,
                              RecordCollection collection,
                              uint64_t revision,
                              Duration wait,
                              OnChanges on_changes) {
  m_watch_at_peer(
      peer, collection, revision, wait,
      [self = m_self, name = peer.name, collection, revision, wait,
       sent_at = m_timers.now(),
       on_changes = std::move(on_changes)](Result<RecordChanges> changes) {
        if (!*self)
          return;
        SharedWatches& shared = **self;
        if (shared.Usable(changes)) {
          shared.m_peers.Answered(name);
          shared.Received(collection, changes.value(), sent_at, wait);
          return on_changes(std::move(changes));
        }
        // An upstream that answers is well, also if it is out of touch with
        // the store, in an earlier era or does not know all changes.
        if (!changes && changes.error().code != ErrorCode::kNotFound)
          shared.m_peers.Suspect(name, shared.m_timers.now());
        // The store answers immediately if there are changes.
        shared.SetUpstream(collection, VmName());
        shared.WatchStore(collection, revision, wait, on_changes);
      });
}

bool SharedWatches::Usable(const Result<RecordChanges>& changes) {
  // Unlike the store, an upstream knows which records of the earlier era the
  // present one lacks, so its changes are complete across eras.
  return changes && changes.value().age <= kMaxAge &&
         m_store.era().AcceptFromPeer(RevisionEra(changes.value().revision));
}

void SharedWatches::Received(RecordCollection collection,
                             const RecordChanges& changes,
                             TimePoint sent_at,
                             Duration wait) {
  Collection& known = m_collections[collection];
  known.cache.Apply(changes);
  // A watch without changes was answered at its end, one with changes at any
  // time after it was sent.
  const TimePoint answered = changes.changes.empty() ? sent_at + wait : sent_at;
  known.current_at = std::max(known.current_at, answered - changes.age);
  AnswerWaiters(collection);
}

Duration SharedWatches::AgeOf(const Collection& collection) const {
  return std::max(m_timers.now() - collection.current_at, Duration(0));
}

void SharedWatches::Serve(RecordCollection collection,
                          uint64_t revision,
                          Duration wait,
                          OnChanges on_changes) {
  Collection& known = m_collections[collection];
  if (known.cache.revision() == 0)
    return on_changes(Failure(ErrorCode::kUnavailable, "watch.serve", "",
                              "nothing has been received yet"));
  auto changes = known.cache.ChangesSince(revision);
  if (!changes)
    return on_changes(Failure(ErrorCode::kNotFound, "watch.serve", "",
                              "the changes since then are not known"));
  changes->age = AgeOf(known);
  // The other proxy asks the store then, and should not wait here before.
  if (!changes->changes.empty() || changes->age > kMaxAge)
    return on_changes(std::move(*changes));
  const uint64_t number = m_next_waiter++;
  const auto timer = m_timers.After(wait, [self = m_self, collection, number] {
    if (*self)
      (*self)->EndWait(collection, number);
  });
  known.waiters.push_back({number, revision, std::move(on_changes), timer});
}

void SharedWatches::AnswerWaiters(RecordCollection collection) {
  Collection& known = m_collections[collection];
  std::list<Waiter> due;
  for (auto waiter = known.waiters.begin(); waiter != known.waiters.end();) {
    const auto next = std::next(waiter);
    const auto changes = known.cache.ChangesSince(waiter->revision);
    if (!changes || !changes->changes.empty())
      due.splice(due.end(), known.waiters, waiter);
    waiter = next;
  }
  for (const Waiter& waiter : due) {
    m_timers.Cancel(waiter.timer);
    Serve(collection, waiter.revision, kWait, waiter.on_changes);
  }
}

void SharedWatches::EndWait(RecordCollection collection, uint64_t number) {
  Collection& known = m_collections[collection];
  const auto waiter =
      std::find_if(known.waiters.begin(), known.waiters.end(),
                   [&](const Waiter& item) { return item.number == number; });
  if (waiter == known.waiters.end())
    return;
  const OnChanges on_changes = std::move(waiter->on_changes);
  known.waiters.erase(waiter);
  RecordChanges changes;
  changes.revision = known.cache.revision();
  changes.age = AgeOf(known);
  on_changes(std::move(changes));
}

void SharedWatches::Read(RecordCollection collection,
                         const std::string& name,
                         Duration timeout,
                         OnRecord on_record) {
  m_store.Read(collection, name, timeout, std::move(on_record));
}

void SharedWatches::Update(RecordCollection collection,
                           const std::string& name,
                           uint64_t expected,
                           const std::string& body,
                           Duration timeout,
                           OnRecord on_record) {
  m_store.Update(collection, name, expected, body, timeout,
                 std::move(on_record));
}

}  // namespace jackdawturn::gateway
