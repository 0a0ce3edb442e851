#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "core/core.h"
#include "fleet/share_division.h"

namespace jackdawturn::fleet {

// A group whose connections are divided among proxies.
struct HeldGroup {
  GroupName group;
  // Availability zones whose proxies hold connections to the group.
  std::vector<ZoneName> zones;
  struct Instance {
    InstanceName name;
    // Connections of the whole fleet.
    size_t connection_limit = 0;
  };
  std::vector<Instance> instances;
};

// The proxies in FleetView. Must be fed after every change and at least once a
// second, because FleetView::likely_partitioned depends on the time.
struct OwnershipView {
  struct Peer {
    VmName vm;
    ZoneName zone;
    bool leaving = false;
  };
  // Present members of this zone, excluding this proxy.
  std::vector<Peer> zone;
  // Present contacts of other zones.
  std::vector<Peer> contacts;
  // Members of this zone that were removed by suspicion, see FleetView.
  std::vector<VmName> dead_members;
  // This proxy is leaving.
  bool leaving = false;
  // False while this proxy has not joined, was paused, or is probably
  // partitioned: it keeps its connections and opens no further ones.
  bool may_open_connections = true;
};

// All groups of the deployment; replaces the earlier list.
struct GroupsListed {
  std::vector<HeldGroup> groups;
};

// Events of the connection pool. Every connection requested by OpenConnections
// results in exactly one of the first three.
struct ConnectionOpened {
  InstanceName instance;
};
struct OpenRefused {  // The instance's connection limit is reached.
  InstanceName instance;
};
struct OpenFailed {  // Another reason, for example a timeout.
  InstanceName instance;
};
struct ConnectionClosed {
  InstanceName instance;
};

// The bytes of a peer's SendShareMessage.
struct ShareMessageReceived {
  VmName from;
  std::string bytes;
};

// The answer to a relayed request named another proxy as the group's holder, in
// a zone of which this proxy has only contacts. The adapter stores the holder's
// address. An empty `holder`, sent after a failed relay, discards the learned
// holder.
struct HolderLearned {
  GroupName group;
  VmName holder;
};

using OwnershipEvent = std::variant<OwnershipView,
                                    GroupsListed,
                                    ConnectionOpened,
                                    OpenRefused,
                                    OpenFailed,
                                    ConnectionClosed,
                                    ShareMessageReceived,
                                    HolderLearned>;

struct OpenConnections {
  InstanceName instance;
  size_t count = 0;
};

// Closes connections as they become idle, never one in use. Each is reported by
// ConnectionClosed. Replaces an earlier request for the instance; a count of 0
// cancels it.
struct CloseIdleConnections {
  InstanceName instance;
  size_t count = 0;
};

// Sends a message of at most 1,000 bytes to the GroupOwnership of a peer.
struct SendShareMessage {
  VmName to;
  std::string bytes;
};

using OwnershipEffect =
    std::variant<OpenConnections, CloseIdleConnections, SendShareMessage>;

struct OwnershipOptions {
  VmName self;
  ZoneName zone;
  // Proxies per zone that hold a group's connections.
  size_t holders_per_zone = 3;
  // Interval between queries to proxies whose shares must shrink first.
  Duration query_interval = std::chrono::milliseconds(250);
  // After this time without an answer, the share is opened and the backend
  // server refuses connections above its limit.
  Duration query_limit = std::chrono::milliseconds(5'000);
  // Backoff after the first refusal of a connection that a removed proxy held.
  // The refusal shows that the proxy is still running and only partitioned.
  Duration trial_backoff = std::chrono::milliseconds(10'000);
  // Concurrent opens of removed proxies' connections after the first one
  // succeeded.
  size_t trial_window = 2;
  // Time for which the other proxies of the zone wait for the result of the
  // proxy that makes the first takeover trial.
  Duration trial_wait = std::chrono::milliseconds(300);
  // Initial and maximum backoff after a refused open; doubled each time.
  Duration first_backoff = std::chrono::milliseconds(1'000);
  Duration longest_backoff = std::chrono::milliseconds(60'000);
  // Backoff after an open that failed for another reason.
  Duration failure_backoff = std::chrono::milliseconds(200);
};

// The proxy that a request for a group is sent to.
struct NextHop {
  VmName vm;
  // False when `vm` is only a contact in a zone that holds the group; it may
  // answer with the holder's name.
  bool holder = true;
};

// Decides which proxies of a zone hold the connections of a group, and how many
// each. The shares are a function of the view. A holder whose share grew opens
// the difference immediately if no other share shrank; otherwise it first
// queries the holders whose share shrank until they have closed theirs, so that
// the sum stays within the limit. If views differ, the backend server refuses
// the connection and the proxy backs off.
// Thread safety: not thread-safe; owned by the decision thread.
class GroupOwnership {
 public:
  GroupOwnership(OwnershipOptions options, std::mt19937_64 random);

  std::vector<OwnershipEffect> Handle(const OwnershipEvent& event,
                                      TimePoint now);
  std::vector<OwnershipEffect> OnTime(TimePoint now);
  // Returns TimePoint::max() when no timer is set.
  TimePoint NextWakeup() const;

  // Returns the holders of the group in this zone, in rendezvous order. Empty
  // when the zone does not hold the group, or the group is unknown.
  std::vector<VmName> Holders(const GroupName& group) const;
  bool Holds(const GroupName& group) const;
  // Returns the next hop for a request; this proxy itself when it holds the
  // group. `spread` chooses among the holders, for example a hash of the
  // session.
  // Errors: kNotFound (unknown group), kUnavailable (no proxy is known).
  Result<NextHop> SelectNextHop(const GroupName& group, uint64_t spread) const;
  // Returns the connection share of this proxy.
  size_t Share(const InstanceName& instance) const;
  // Connections that are open or being opened.
  size_t open_or_opening(const InstanceName& instance) const;
  size_t total_open_or_opening() const;
  size_t StateBytes() const;

 private:
  struct InstanceState {
    size_t zone_part = 0;
    size_t share = 0;
    size_t open = 0;
    size_t opening = 0;
    size_t closing = 0;
    // No opens before this time, because of a refusal or failure.
    TimePoint blocked_until;
    Duration backoff{};
    // The part of the share that no removed proxy may still hold.
    size_t uncontested_share = 0;
    // Opens in progress beyond `uncontested_share`.
    size_t opening_contested = 0;
  };
  struct GroupState {
    HeldGroup group;
    // In rendezvous order; only holders.
    std::vector<VmName> holders;
    std::vector<InstanceState> instances;
    // Peers that must confirm that they hold no more than their reduced shares
    // before this proxy opens more; the shares are in the order of the
    // instances.
    std::map<VmName, std::vector<size_t>> awaiting;
    TimePoint next_query;
    // Set when the first query is sent.
    std::optional<TimePoint> query_deadline;
    // A peer is waiting for connections that this proxy holds beyond its share.
    bool asked_to_shrink = false;
  };
  using Effects = std::vector<OwnershipEffect>;

  void OnView(const OwnershipView& view, TimePoint now, Effects& effects);
  void OnGroups(const GroupsListed& listed, TimePoint now, Effects& effects);
  void OnMessage(const ShareMessageReceived& message,
                 TimePoint now,
                 Effects& effects);
  void OnHolderLearned(const HolderLearned& learned);
  // True when no connection is open or the last open was refused: one open must
  // complete before further ones start.
  static bool OpensOneFirst(const InstanceState& instance) {
    return instance.open == 0 || instance.backoff > Duration();
  }
  // Accounts for a completed open, whatever its result. Returns whether it was
  // a takeover trial.
  bool EndOpening(InstanceState& instance);
  void OnOpened(const InstanceName& instance, TimePoint now, Effects& effects);
  void OnRefused(const InstanceName& instance, TimePoint now, Effects& effects);
  void OnFailed(const InstanceName& instance, TimePoint now, Effects& effects);
  void OnClosed(const InstanceName& instance, TimePoint now, Effects& effects);

  // Returns the proxies of this zone that can hold connections.
  std::vector<VmName> Candidates(bool with_self) const;
  bool IsAffected(const GroupState& state,
                  const std::vector<VmName>& joined,
                  const std::vector<VmName>& removed) const;
  // Recomputes holders and shares and records which peers must be queried
  // first. `first` is true for the first view that this proxy received.
  void UpdateGroup(GroupState& state, bool first);
  void Advance(GroupState& state, TimePoint now, Effects& effects);
  void AdvanceInstance(GroupState& state,
                       size_t index,
                       TimePoint now,
                       Effects& effects);
  void AdvancePending(TimePoint now, Effects& effects);
  // Lets one proxy of the zone test first whether the removed ones have
  // released their connections; the others wait for `trial_wait`.
  void ElectTakeoverProber(const std::set<VmName>& newly_dead, TimePoint now);
  void BroadcastTrialResult(bool opened, Effects& effects);
  void OnTrialResult(bool opened, TimePoint now, Effects& effects);
  void SendQueries(GroupState& state, TimePoint now, Effects& effects);
  std::string MakeReport(const GroupName& group) const;
  GroupState* GroupOf(const InstanceName& instance);
  InstanceState* FindInstance(const InstanceName& instance);
  const InstanceState* FindInstance(const InstanceName& instance) const;
  bool IsPresentPeer(const VmName& vm) const;
  Duration Jittered(Duration wait);
  Duration NextBackoff(Duration first, Duration backoff) const;

  OwnershipOptions m_options;
  std::mt19937_64 m_random;
  OwnershipView m_view;
  bool m_has_view = false;
  // Groups that this zone holds.
  std::map<GroupName, GroupState> m_groups;
  // Zones that hold the other groups.
  std::map<GroupName, std::vector<ZoneName>> m_foreign;
  std::map<InstanceName, std::pair<GroupName, size_t>> m_instances;
  std::map<GroupName, VmName> m_learned_holders;
  // Proxies that were removed without announcing that they leave. They may only
  // be partitioned from their peers and still hold their shares, so these are
  // taken over slowly: one proxy first opens one connection, then a few at a
  // time.
  std::set<VmName> m_contesting_members;
  // Groups with connections that have yet to be opened or closed.
  std::set<GroupName> m_pending;
  size_t m_trials = 0;
  size_t m_trial_window = 1;
  TimePoint m_trial_blocked_until;
  Duration m_trial_backoff{};
};

}  // namespace jackdawturn::fleet
