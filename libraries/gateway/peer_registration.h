#pragma once

#include <memory>
#include <random>

#include "gateway/gateway_log.h"
#include "gateway/metadata_store.h"
#include "gateway/peer_directory.h"
#include "gateway/timers.h"

namespace jackdawturn::gateway {

// Keeps this proxy's own record in the store. Thread safety: not thread-safe.
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

  // The store's content is known; `own` is this proxy's record or null. Writes
  // it again unless it is as it should be.
  void ReconcileOwnRecord(const StoredRecord* own);
  // Tells the other proxies that this one takes no new work.
  void Leave();

 private:
  void Write();
  void Written(Result<StoredRecord> record);
  void ReadAgain();
  void Retry();

  MetadataStore& m_store;
  Timers& m_timers;
  GatewayLog& m_log;
  Peer m_peer;
  std::mt19937_64 m_random;
  // Hooks that outlive this object find it gone.
  std::shared_ptr<PeerRegistration*> m_self;
  uint64_t m_revision = 0;
  bool m_known = false;
  bool m_writing = false;
};

}  // namespace jackdawturn::gateway
