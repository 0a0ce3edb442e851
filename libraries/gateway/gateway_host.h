#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "gateway/client_session.h"
#include "gateway/commit_confirmation.h"
#include "gateway/customer_limits.h"
#include "gateway/gateway_context.h"
#include "gateway/group_members.h"
#include "gateway/lease_renewal.h"
#include "gateway/metadata_store.h"
#include "gateway/peer_registration.h"
#include "gateway/primary_change.h"
#include "gateway/shared_watches.h"
#include "gateway/store_sync.h"

namespace jackdawturn::gateway {

// The decision logic of one proxy whose clients and instances use a statement
// protocol: follows the store, serves sessions and performs primary changes.
// Thread safety: not thread-safe.
class GatewayHost {
 public:
  struct Options {
    VmName name;
    ZoneName zone;
    uint64_t seed = 0;
    // The address at which this proxy accepts statements relayed by other
    // proxies.
    std::string relay_address;
    // The address at which other proxies may watch the collections of the
    // store.
    std::string records_address;
    // See HolderWeight().
    double weight = 1;
    // How long one watch of each collection waits for changes.
    Duration configuration_wait = std::chrono::milliseconds(1'500);
    Duration servers_wait = std::chrono::milliseconds(2'500);
    // Whether an instance stops leading when another one is promoted. If not,
    // reads of a primary need a lease.
    bool promotion_deposes_primary = true;
  };

  struct Ports {
    Timers& timers;
    MetadataStore& store;
    OpenBackendSession open;
    PromoteInstance promote;
    ReadStatusRow read_status;
    // Errors: kInvalidArgument, with the invalid field.
    std::function<Result<GatewayConfig>(const StoredRecord&)> decode_config;
    std::function<Result<BackendServer>(const StoredRecord&)> decode_server;
    // Null: watches are not shared with other proxies.
    WatchAtPeer watch_at_peer;
    // Null: changes of a primary are not announced to other proxies.
    AnnounceToPeer announce;
    // Null: customers are not limited.
    AskLimitsOfPeer ask_limits;
  };

  // The ports and `log` outlive this.
  GatewayHost(Options options, Ports ports, GatewayLog& log);

  void Start();

  // Returns whether the configuration and the instances have been received, the
  // zone is not partitioned from the others, and no drain has begun.
  bool ready() const;
  // Reports not ready from now on, and marks this proxy as leaving in its peer
  // record. Sessions then keep to the schedule.
  void Drain(const DrainSchedule& schedule);

  // Runs `action` when the first configuration is in force: immediately if it
  // already is.
  void WhenConfigured(std::function<void()> action);

  // Opens a session for a client that presented `api_key`. Errors: kNotFound
  // (the database has no route), kUnauthorized (no customer holds the key, and
  // the route is not public).
  // Precondition: the first configuration is in force.
  Result<std::shared_ptr<ClientSession>> OpenSession(
      const std::string& database,
      std::string_view api_key,
      ClientSession::OnReply on_reply);

  // As OpenSession, for statements of `customer` that another proxy relays.
  // Errors: kNotFound (`destination` names another proxy or an unknown
  // database), kExhausted (this proxy's configuration is older than that of
  // `destination`).
  // Precondition: the first configuration is in force.
  Result<std::shared_ptr<ClientSession>> OpenRelayedSession(
      const RelayDestination& destination,
      const CustomerName& customer,
      ClientSession::OnReply on_reply);

  const GatewayContext& context() const { return m_context; }

  // Another proxy tells of a change of a primary.
  AnnouncementAnswer ChangeAnnounced(const ChangeAnnouncement& announcement);

  // Answers the question of another proxy about a customer's rate limit. Calls
  // `respond` once.
  void AnswerLimitQuestion(const LimitQuestion& question,
                           std::function<void(LimitAnswer)> respond);

  // Serves the watches of other proxies.
  SharedWatches& watches() { return m_watches; }

 private:
  // The state of one group's primary and of its changes.
  struct GroupState {
    std::shared_ptr<PrimaryChange> change;
    TimePoint next_change;
    // When the current reason for a change was first observed.
    std::optional<TimePoint> reason_since;
    // The primary, and when this proxy first observed it as such; not set for
    // the first primary after the start.
    InstanceName primary;
    TimePoint primary_since;
    // No lag switchover starts before this time.
    TimePoint next_lag_switchover;
  };

  struct ChangeReason {
    PrimaryChange::Kind kind = PrimaryChange::Kind::kFailure;
    std::string text;
    // How long the reason must persist before a change starts.
    Duration min_duration{0};
  };

  void ConfigurationListed(const RecordList& list);
  void ConfigurationChanged(const StoredRecord& record);
  void ServersListed(const RecordList& list);
  void ServerChanged(const RecordChange& change);
  // Removes an instance that the store no longer lists as of `revision`, unless
  // the directory keeps it for its grace period.
  void ServerUnlisted(const InstanceName& id, uint64_t revision);
  // Returns nothing, and logs the error, for an invalid record.
  std::optional<BackendServer> DecodeServer(const StoredRecord& record);
  void UpdateServer(BackendServer server);
  // Returns whether the entry is of an earlier start of its instance than the
  // known one, because the store has come back from an older copy.
  bool PrecedesKnownStart(const BackendServer& server) const;
  // Finds out whether an instance that the store has not listed for its grace
  // period still runs, and forgets it if not.
  void CheckUnlisted(const BackendServer& server);
  // Drops all state of an instance that has left.
  void ForgetServer(const GroupName& group, const InstanceName& id);
  void ChangesListed(const RecordList& list);
  void ChangeRecorded(const StoredRecord& record);
  void ObserveChange(const ChangeAnnouncement& change);
  // Receives all claims again after this proxy may have missed one.
  void CheckClaims();
  void PeersListed(const RecordList& list);
  void PeerChanged(const RecordChange& change);
  std::optional<Peer> DecodePeerRecord(const StoredRecord& record);
  // Keeps customers to the limits of the configuration in force.
  void LimitCustomers();
  // Logs how many customers' limits the configuration in force has changed.
  void LogLimitChanges(const GatewayConfig& earlier);
  BackendPool::Options PoolOptions();
  static BackendPool::Options PeerPoolOptions();
  // Returns the additional delay before this proxy starts a primary change of
  // the group; zero if it holds connections of the group.
  Duration NonHolderDelay(const GroupName& group);
  void StoreReachabilityChanged(const char* collection, const Error* lost);
  void StoreAnswered(Duration age);
  // The answers of the store show an era for the first time, or a later one.
  void StoreEraBegan(std::optional<uint64_t> previous, uint64_t era);
  void Tick();
  void CheckIsolation();
  // Probes one proxy of each other zone.
  void ProbeOtherZones();
  void OpenFailed(const BackendServer& server, const Error& error);
  void CheckGroup(const GroupName& group);
  void UpdatePrimary(const GroupName& group, GroupState& state);
  // Updates the record of the group's members if this proxy has observed that
  // its replicas have every acknowledged commit.
  void RecordMembers(const GroupName& group);
  std::optional<ChangeReason> FindReason(const GroupName& group) const;
  // Returns whether a switchover would let replicas serve reads again.
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
  LeaseRenewal m_lease_renewal;
  CommitConfirmation m_commit_confirmation;
  // Null without the port for it.
  std::shared_ptr<CustomerLimits> m_customer_limits;
  SharedWatches m_watches;
  StoreRetries m_store_retries;
  StoreSync m_configuration_sync;
  StoreSync m_servers_sync;
  StoreSync m_peers_sync;
  StoreSync m_changes_sync;
  PeerRegistration m_registration;
  MemberRecords m_member_records;
  std::map<GroupName, GroupState> m_groups;
  // Actions to run when the first configuration is in force.
  std::vector<std::function<void()>> m_awaiting_configuration;
  std::mt19937_64 m_random;
  uint64_t m_attempts = 0;
  uint64_t m_ticks = 0;
  bool m_servers_listed = false;
  bool m_claims_refreshing = false;
  // Claims that the store may have lost are not asked for before this time, so
  // that the proxies do not ask at once.
  TimePoint m_next_claims_refresh;
  // Whether this proxy hears of claims, as last logged.
  bool m_claims_known = false;
  // The isolation of this proxy's zone as last logged.
  bool m_isolation_logged = false;
};

}  // namespace jackdawturn::gateway
