#pragma once

#include <memory>
#include <random>

#include "gateway/gateway_log.h"
#include "gateway/metadata_store.h"
#include "gateway/peer_directory.h"
#include "gateway/timers.h"

namespace jackdawturn::gateway {

// Keeps this proxy's own record in the store up to date. Thread safety: not
// thread-safe.
class PeerRegistration {
 public:
  // `store`, `timers` and `log` outlive this.
  PeerRegistration(MetadataStore& store,
                   Timers& timers,
                   GatewayLog& log,
                   Peer self,
                   uint64_t seed);
  ~PeerRegistration();
  PeerRegistration(const PeerRegistration&) = delete;
  PeerRegistration& operator=(const PeerRegistration&) = delete;

  // Called when the store's records were listed; `own` is this proxy's record,
  // or null when it is missing. Writes the record unless it is current.
  void ReconcileOwnRecord(const StoredRecord* own);
  // Announces to the other proxies that this one accepts no new work.
  void Leave();

 private:
  void Write();
  void OnWritten(Result<StoredRecord> record);
  void RereadRecord();
  void ScheduleRetry();

  MetadataStore& m_store;
  Timers& m_timers;
  GatewayLog& m_log;
  Peer m_peer;
  std::mt19937_64 m_random;
  // Shared with callbacks that may outlive this object; null once it is
  // destroyed.
  std::shared_ptr<PeerRegistration*> m_self;
  uint64_t m_revision = 0;
  bool m_store_listed = false;
  bool m_writing = false;
};

}  // namespace jackdawturn::gateway
