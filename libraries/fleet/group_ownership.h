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

// The proxies as FleetView has them. Feed it after every change and at least
// once a second, because FleetView::likely_partitioned depends on the time.
struct OwnershipView {
  struct Peer {
    VmName vm;
    ZoneName zone;
    bool leaving = false;
  };
  // Present members of this zone, without this proxy.
  std::vector<Peer> zone;
  // Present contacts of other zones.
  std::vector<Peer> contacts;
  // Members of this zone that were removed by suspicion, see FleetView.
  std::vector<VmName> dead_members;
  // This proxy is leaving.
  bool leaving = false;
  // False while this proxy has not joined, was paused, or is probably cut off:
  // it keeps its connections and takes no further ones.
  bool may_open_connections = true;
};

// All groups of the deployment; replaces the earlier list.
struct GroupsListed {
  std::vector<HeldGroup> groups;
};

// Reports of the connection pool. Every connection asked for by
// OpenConnections ends in exactly one of the first three.
struct ConnectionOpened {
  InstanceName instance;
};
struct OpenRefused {  // By the limit of the instance.
  InstanceName instance;
};
struct OpenFailed {  // For another reason, for example no answer.
  InstanceName instance;
};
struct ConnectionClosed {
  InstanceName instance;
};

// Bytes of SendShareMessage that arrived from a peer.
struct ShareMessageReceived {
  VmName from;
  std::string bytes;
};

// A relayed request was answered with another proxy as holder of the group in
// a zone of which this proxy knows contacts only. The adapter keeps the
// holder's address. An empty holder, after a relay that failed, forgets what
// was learned.
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

// Closes connections as they become idle, never one in use. Reported by
// ConnectionClosed. Replaces an earlier demand for the instance; 0 withdraws.
struct CloseIdleConnections {
  InstanceName instance;
  size_t count = 0;
};

// Carries a message to the GroupOwnership of a peer, at most 1,000 bytes.
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
  // Interval at which proxies that must shrink first are asked again.
  Duration query_interval = std::chrono::milliseconds(250);
  // After this time without an answer the share is taken and the server's
  // refusal decides.
  Duration query_limit = std::chrono::milliseconds(5'000);
  // Wait after the first refusal of a connection that a vanished proxy held.
  // The refusal shows that it is still there and only cut off.
  Duration trial_backoff = std::chrono::milliseconds(10'000);
  // Connections of vanished proxies that are opened at a time after the first.
  size_t trial_window = 2;
  // Wait of the other proxies of the zone for the result of the one that tries
  // to take over first.
  Duration trial_wait = std::chrono::milliseconds(300);
  // First and longest wait after a refused open; doubled each time.
  Duration first_backoff = std::chrono::milliseconds(1'000);
  Duration longest_backoff = std::chrono::milliseconds(60'000);
  // Wait after an open that failed for another reason.
  Duration failure_backoff = std::chrono::milliseconds(200);
};

// Where a request for a group goes.
struct NextHop {
  VmName vm;
  // False when `vm` is a contact in a zone that holds the group: it may answer
  // with the name of the holder.
  bool holder = true;
};

// Which proxies of a zone hold the connections of a group, and how many. The
// shares are a function of the view. A holder whose share grew opens it at
// once if others only grew too; otherwise it first asks those whose share
// shrank whether they have closed, so that the sum stays within the limit.
// Views can differ; then the server refuses and the proxy backs off.
// Thread safety: not thread-safe; owned by the decision thread.
class GroupOwnership {
 public:
  GroupOwnership(OwnershipOptions options, std::mt19937_64 random);

  std::vector<OwnershipEffect> Handle(const OwnershipEvent& event,
                                      TimePoint now);
  std::vector<OwnershipEffect> OnTime(TimePoint now);
  // Returns TimePoint::max() when nothing is due.
  TimePoint NextWakeup() const;

  // Holders of the group in this zone, in rendezvous order. Empty when the zone
  // does not hold the group, or the group is unknown.
  std::vector<VmName> Holders(const GroupName& group) const;
  bool Holds(const GroupName& group) const;
  // The next hop for a request; this proxy itself when it holds the group.
  // `spread` chooses among the holders, for example a hash of the session.
  // Errors: kNotFound (unknown group), kUnavailable (no proxy is known).
  Result<NextHop> SelectNextHop(const GroupName& group, uint64_t spread) const;
  // The share of this proxy, in connections.
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
    // Until then an earlier refusal or failure forbids opening.
    TimePoint blocked_until;
    Duration backoff{};
    // The part of the share that no vanished proxy may still hold.
    size_t uncontested_share = 0;
    // Opening beyond the proven share.
    size_t opening_contested = 0;
  };
  struct GroupState {
    HeldGroup group;
    // In rendezvous order; only holders.
    std::vector<VmName> holders;
    std::vector<InstanceState> instances;
    // Peers that must confirm that they hold no more than their smaller shares,
    // in the order of the instances, before this proxy takes more.
    std::map<VmName, std::vector<size_t>> awaiting;
    TimePoint next_query;
    // Set by the first query.
    std::optional<TimePoint> query_deadline;
    // A peer waits for connections that this proxy holds beyond its share.
    bool asked_to_shrink = false;
  };
  using Effects = std::vector<OwnershipEffect>;

  void OnView(const OwnershipView& view, TimePoint now, Effects& effects);
  void OnGroups(const GroupsListed& listed, TimePoint now, Effects& effects);
  void OnMessage(const ShareMessageReceived& message,
                 TimePoint now,
                 Effects& effects);
  void OnHolderLearned(const HolderLearned& learned);
  // True where none is open or the last open was refused: the result of one
  // open is awaited before further ones.
  static bool OpensOneFirst(const InstanceState& instance) {
    return instance.open == 0 || instance.backoff > Duration();
  }
  // Ends an open, whatever its result; returns whether it was a trial.
  bool EndOpening(InstanceState& instance);
  void OnOpened(const InstanceName& instance, TimePoint now, Effects& effects);
  void OnRefused(const InstanceName& instance, TimePoint now, Effects& effects);
  void OnFailed(const InstanceName& instance, TimePoint now, Effects& effects);
  void OnClosed(const InstanceName& instance, TimePoint now, Effects& effects);

  // Proxies of this zone that can hold connections.
  std::vector<VmName> Candidates(bool with_self) const;
  bool IsAffected(const GroupState& state,
                  const std::vector<VmName>& joined,
                  const std::vector<VmName>& removed) const;
  // Computes holders and shares again and notes whom to ask first. `first` when
  // this proxy has not seen an earlier view.
  void UpdateGroup(GroupState& state, bool first);
  void Advance(GroupState& state, TimePoint now, Effects& effects);
  void AdvanceInstance(GroupState& state,
                       size_t index,
                       TimePoint now,
                       Effects& effects);
  void AdvancePending(TimePoint now, Effects& effects);
  // Lets one proxy of the zone try first whether the vanished ones are gone.
  void ElectTakeoverProber(const std::set<VmName>& newly_dead, TimePoint now);
  void TellTrial(bool opened, Effects& effects);
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
  std::map<GroupName, VmName> m_learned;
  // Proxies that vanished without announcing it. They may only be cut off from
  // their peers and still hold their shares, so theirs are taken over slowly:
  // one proxy tries one connection first, then a few at a time.
  std::set<VmName> m_contesting_members;
  // Groups with connections that are still to be opened or closed.
  std::set<GroupName> m_pending;
  size_t m_trials = 0;
  size_t m_trial_window = 1;
  TimePoint m_trial_blocked_until;
  Duration m_trial_backoff{};
};

}  // namespace jackdawturn::fleet
