#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "gateway/client_session.h"
#include "gateway/gateway_context.h"
#include "gateway/group_members.h"
#include "gateway/metadata_store.h"
#include "gateway/peer_registration.h"
#include "gateway/primary_change.h"
#include "gateway/store_sync.h"

namespace jackdawturn::gateway {

// The decisions of one proxy whose clients and instances speak a statement
// protocol: keeps up with the store, serves sessions and changes primaries.
// Thread safety: not thread-safe.
class GatewayHost {
 public:
  struct Options {
    VmName name;
    ZoneName zone;
    uint64_t seed = 0;
    // Where this proxy serves other proxies.
    std::string relay_address;
    // Of this proxy's processor time, compared with other proxies.
    double weight = 1;
    // How long a watch of a collection may hear nothing.
    Duration configuration_wait = std::chrono::milliseconds(1'500);
    Duration servers_wait = std::chrono::milliseconds(2'500);
  };

  struct Ports {
    Timers& timers;
    MetadataStore& store;
    OpenBackendSession open;
    PromoteInstance promote;
    ReadStatusRow read_status;
    // Errors: kInvalidArgument, with the place of the fault.
    std::function<Result<GatewayConfig>(const StoredRecord&)> decode_config;
    std::function<Result<BackendServer>(const StoredRecord&)> decode_server;
  };

  // The ports and `log` outlive this.
  GatewayHost(Options options, Ports ports, GatewayLog& log);

  void Start();

  // The configuration and the instances are known, instances of other zones can
  // be reached, and no drain has begun.
  bool ready() const;
  // Reports not ready from now on, and tells the other proxies.
  void Drain();

  // Runs `action` once the first configuration is known, at once if it is.
  void WhenConfigured(std::function<void()> action);

  // Returns nothing when the database has no route.
  // Precondition: the first configuration is known.
  std::shared_ptr<ClientSession> OpenSession(const std::string& database,
                                             ClientSession::OnReply on_reply);

  // As OpenSession, for statements that another proxy relays. Errors:
  // kNotFound (the target names another proxy or an unknown database),
  // kExhausted (the configuration here is older than the target's).
  // Precondition: the first configuration is known.
  Result<std::shared_ptr<ClientSession>> OpenRelayedSession(
      const RelayDestination& destination,
      ClientSession::OnReply on_reply);

  const GatewayContext& context() const { return m_context; }

 private:
  // The watch over one group's primary.
  struct GroupState {
    std::shared_ptr<PrimaryChange> change;
    TimePoint next_change;
    // When the present reason for a change was first seen.
    std::optional<TimePoint> reason_since;
    // The instance that leads, and since when this proxy knows.
    InstanceName primary;
    TimePoint primary_since;
    // A primary that is well is not replaced before.
    TimePoint next_lag_switchover;
  };

  struct ChangeReason {
    PrimaryChange::Kind kind = PrimaryChange::Kind::kFailure;
    std::string text;
    // How long the reason must last.
    Duration min_duration{0};
  };

  void ConfigurationListed(const RecordList& list);
  void ConfigurationChanged(const StoredRecord& record);
  void ServersListed(const RecordList& list);
  void ServerChanged(const RecordChange& change);
  // The registry no longer lists the instance since `revision`.
  void ServerUnlisted(const InstanceName& id, uint64_t revision);
  // Returns nothing, with a log line, for an entry that is not understood.
  std::optional<BackendServer> DecodeServer(const StoredRecord& record);
  void UpdateServer(const BackendServer& server);
  // Drops what is known of an instance that has left.
  void ForgetServer(const GroupName& group, const InstanceName& id);
  void PeersListed(const RecordList& list);
  void PeerChanged(const RecordChange& change);
  std::optional<Peer> DecodePeerRecord(const StoredRecord& record);
  BackendPool::Options PoolOptions();
  static BackendPool::Options PeerPoolOptions();
  // Returns how much later than a holder this proxy acts for the group.
  Duration NonHolderDelay(const GroupName& group);
  void StoreReachabilityChanged(const char* collection, const Error* lost);
  void Tick();
  void CheckIsolation();
  // Asks one proxy of each other zone whether it can be reached.
  void ProbeOtherZones();
  void OpenFailed(const BackendServer& server, const Error& error);
  void CheckGroup(const GroupName& group);
  void NotePrimary(const GroupName& group, GroupState& state);
  // Keeps the record of the group's members up to date when this proxy knows
  // that its replicas have every acknowledged commit.
  void RecordMembers(const GroupName& group);
  std::optional<ChangeReason> FindReason(const GroupName& group) const;
  // Returns whether another primary would let replicas serve reads again.
  bool LagSwitchoverNeeded(const GroupName& group,
                           const BackendServer& primary) const;
  void StartChange(const GroupName& group, const ChangeReason& reason);
  void ChangeEnded(const GroupName& group, PrimaryChange::Outcome outcome);

  const Options m_options;
  Ports m_ports;
  PeerDirectory m_peers;
  BackendPool m_pool;
  BackendPool m_peer_pool;
  ServerDirectory m_directory;
  GatewayLog& m_log;
  GatewayContext m_context;
  StoreRetries m_store_retries;
  StoreSync m_configuration_sync;
  StoreSync m_servers_sync;
  StoreSync m_peers_sync;
  PeerRegistration m_registration;
  MemberRecords m_member_records;
  std::map<GroupName, GroupState> m_groups;
  // What waits for the first configuration.
  std::vector<std::function<void()>> m_awaiting_configuration;
  std::mt19937_64 m_random;
  uint64_t m_attempts = 0;
  uint64_t m_ticks = 0;
  bool m_servers_known = false;
  // What the log last said of the zone.
  bool m_isolation_logged = false;
  bool m_draining = false;
};

}  // namespace jackdawturn::gateway
