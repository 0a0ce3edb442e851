#include "gateway/peer_registration.h"

#include <utility>

#include "gateway/random_delay.h"

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr Duration kStoreTimeout = 800ms;
// Retries are randomized, so that proxies that start at the same time do not
// retry at the same time.
constexpr Duration kMinRetryDelay = 100ms;
constexpr Duration kMaxRetryDelay = 600ms;

}  // namespace

PeerRegistration::PeerRegistration(MetadataStore& store,
                                   Timers& timers,
                                   GatewayLog& log,
                                   Peer self,
                                   uint64_t seed)
    : m_store(store),
      m_timers(timers),
      m_log(log),
      m_peer(std::move(self)),
      m_random(seed),
      m_self(std::make_shared<PeerRegistration*>(this)) {}

PeerRegistration::~PeerRegistration() {
  *m_self = nullptr;
}

void PeerRegistration::ReconcileOwnRecord(const StoredRecord* own) {
  m_store_listed = true;
  if (m_writing)
    return;
  m_revision = own ? own->revision : 0;
  if (own) {
    const auto peer = DecodePeer(own->name, own->body);
    if (peer && peer.value().incarnation == m_peer.incarnation &&
        peer.value().leaving == m_peer.leaving)
      return;
  }
  Write();
}

void PeerRegistration::Leave() {
  m_peer.leaving = true;
  if (m_store_listed && !m_writing)
    Write();
}

void PeerRegistration::Write() {
  m_writing = true;
  const bool leaving = m_peer.leaving;
  m_store.Update(
      RecordCollection::kPeers, m_peer.name.value(), m_revision,
      EncodePeer(m_peer), kStoreTimeout,
      [self = m_self, leaving](Result<StoredRecord> record) {
        if (!*self)
          return;
        (*self)->OnWritten(std::move(record));
        // Leave was called while the write was in progress.
        if (!(*self)->m_writing && leaving != (*self)->m_peer.leaving)
          (*self)->Write();
      });
}

void PeerRegistration::OnWritten(Result<StoredRecord> record) {
  if (record) {
    m_writing = false;
    m_revision = record.value().revision;
    m_log.LogStateChange(EventKind::kMembership, GroupName(), "registered",
                         m_peer.name.value(),
                         {{"revision", std::to_string(m_revision)},
                          {"leaving", m_peer.leaving ? "yes" : "no"}});
    return;
  }
  m_log.LogStateChange(EventKind::kMembership, GroupName(), "register_failed",
                       m_peer.name.value(),
                       {{"error", record.error().message}});
  ScheduleRetry();
}

void PeerRegistration::ScheduleRetry() {
  const Duration delay = RandomDelay(m_random, kMinRetryDelay, kMaxRetryDelay);
  m_timers.After(delay, [self = m_self] {
    if (*self)
      (*self)->RereadRecord();
  });
}

void PeerRegistration::RereadRecord() {
  m_store.Read(
      RecordCollection::kPeers, m_peer.name.value(), kStoreTimeout,
      [self = m_self](Result<StoredRecord> record) {
        if (!*self)
          return;
        const bool missing =
            !record && record.error().code == ErrorCode::kNotFound;
        if (!record && !missing)
          return (*self)->ScheduleRetry();
        (*self)->m_writing = false;
        (*self)->ReconcileOwnRecord(record ? &record.value() : nullptr);
      });
}

}  // namespace jackdawturn::gateway
