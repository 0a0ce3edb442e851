#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet/fleet_harness.h"

namespace jackdawturn::fleet {

// Options of a FleetSimulation; the mutants of the fault tables modify them.
struct SimulationOptions {
  size_t nodes = 8;
  size_t zones = 3;
  size_t groups = 3;
  size_t instances_per_group = 3;
  size_t connection_limit = 16;
  // The connection limit that the backend servers enforce.
  size_t enforced_limit = 16;
  Duration open_time = std::chrono::milliseconds(10);
  Duration zone_latency = Duration(100);
  Duration cross_zone_latency = std::chrono::microseconds(1'500);
  double loss = 0;
  // Applied to the options of every node.
  std::function<void(MembershipOptions&)> change_membership;
  std::function<void(OwnershipOptions&)> change_ownership;
  std::function<void(SpreadOptions&)> change_spread;
};

// A fleet of proxies with backend servers and the platform on a virtual clock
// and network. It delivers messages and injects faults; it contains no protocol
// logic.
class FleetSimulation {
 public:
  FleetSimulation(SimulationOptions options, uint64_t seed)
      : m_options(std::move(options)),
        m_seed(seed),
        m_network(m_scheduler,
                  seed,
                  [this](const std::string& from,
                         const std::string& to,
                         std::mt19937_64& random) {
                    return Latency(from, to, random);
                  }),
        m_nodes(m_options.nodes) {
    m_network.SetLoss(m_options.loss);
    for (size_t group = 0; group < m_options.groups; ++group)
      AddGroup(group);
    for (size_t index = 0; index < m_options.nodes; ++index)
      m_index_of[NodeOf(index, m_options.zones).address] = index;
  }

  TimePoint now() const { return m_scheduler.now(); }
  void RunFor(Duration time) { m_scheduler.RunUntil(now() + time); }
  std::mt19937_64& random() { return m_network.random(); }
  VirtualNetwork& network() { return m_network; }
  PlatformStore& platform() { return m_platform; }
  const SimulationOptions& options() const { return m_options; }
  FleetNode& node(size_t index) { return *m_nodes[index].node; }
  const std::map<InstanceName, DatabaseInstance>& instances() const {
    return m_instances;
  }
  bool IsUp(size_t index) const { return m_nodes[index].node != nullptr; }
  bool IsPaused(size_t index) const { return m_nodes[index].paused; }
  size_t size() const { return m_nodes.size(); }
  uint64_t opens() const { return m_opens; }
  uint64_t refused_opens() const { return m_refused_opens; }
  void ResetOpens() { m_opens = m_refused_opens = 0; }
  // Returns when the node was last killed; TimePoint() when it is up.
  TimePoint down_since(size_t index) const { return m_nodes[index].down_since; }
  TimePoint up_since(size_t index) const { return m_nodes[index].up_since; }
  // Returns the newest version of `key` in force on the node since its last
  // start.
  uint64_t in_force(size_t index, const std::string& key) const {
    const auto found = m_nodes[index].in_force.find(key);
    return found == m_nodes[index].in_force.end() ? 0 : found->second;
  }
  std::function<void(size_t index, const Member& member)> on_member_changed;
  std::function<void(size_t index, const SpreadObject& object)> on_in_force;

  void StartAll() {
    for (size_t index = 0; index < m_nodes.size(); ++index)
      Start(index);
  }

  void Start(size_t index) {
    NodeState& state = m_nodes[index];
    VERIFY(state.node == nullptr);
    m_network.Restart(Name(index));
    ++state.life;
    state.up_since = now();
    state.down_since = TimePoint();
    state.paused = false;
    MembershipOptions membership;
    membership.self = NodeOf(index, m_options.zones);
    membership.incarnation =
        static_cast<uint64_t>(now().time_since_epoch().count() / 1'000) + 1;
    for (size_t other = 0; other < m_nodes.size(); ++other)
      membership.seeds.push_back(NodeOf(other, m_options.zones));
    membership.stamp = [this] {
      return ClockStamp{static_cast<uint64_t>(now().time_since_epoch().count()),
                        0};
    };
    if (m_options.change_membership)
      m_options.change_membership(membership);
    OwnershipOptions ownership;
    ownership.self = membership.self.vm;
    ownership.zone = membership.self.zone;
    if (m_options.change_ownership)
      m_options.change_ownership(ownership);
    SpreadOptions spread;
    spread.self = membership.self.vm;
    spread.zone = membership.self.zone;
    if (m_options.change_spread)
      m_options.change_spread(spread);
    state.node = std::make_unique<FleetNode>(
        membership, ownership, spread,
        DatagramCodec::Create({"a fleet key for tests"}).value(),
        m_seed * 1'000'003 + index * 101 + state.life, MakeHooks(index));
    GroupsListed listed;
    listed.groups = m_groups;
    state.node->Apply(OwnershipEvent(listed), now());
    Wake(index);
  }

  void Kill(size_t index) {
    NodeState& state = m_nodes[index];
    if (state.node == nullptr)
      return;
    m_network.Crash(Name(index));
    state.node.reset();
    state.down_since = now();
    state.in_force.clear();
    // The backend servers detect that the connections of a dead process are
    // closed.
    for (auto& [instance, connections] : state.connections) {
      for (const ConnectionId connection : connections)
        m_instances.at(instance).Close(connection);
    }
    state.connections.clear();
    std::erase_if(m_watches, [index](const PendingWatch& watch) {
      return watch.node == index;
    });
  }

  void Pause(size_t index) {
    if (!IsUp(index))
      return;
    m_nodes[index].paused = true;
    m_network.Pause(Name(index));
  }
  void Resume(size_t index) {
    m_nodes[index].paused = false;
    if (IsUp(index))
      m_network.Resume(Name(index));
  }

  // Drops all datagrams from one node to another, in one direction.
  void Cut(size_t from, size_t to) { m_network.Cut(Name(from), Name(to)); }
  void Heal(size_t from, size_t to) { m_network.Heal(Name(from), Name(to)); }
  void CutPlatform(size_t index) {
    m_platform_cuts.insert(index);
    FailWatches(
        [index](const PendingWatch& watch) { return watch.node == index; });
  }
  void HealPlatform(size_t index) { m_platform_cuts.erase(index); }
  void HealAll() {
    for (size_t from = 0; from < m_nodes.size(); ++from) {
      for (size_t to = 0; to < m_nodes.size(); ++to)
        Heal(from, to);
      HealPlatform(from);
    }
  }
  void SetPlatformAvailable(bool available) {
    m_platform.SetAvailable(available);
    if (!available)
      FailWatches([](const PendingWatch&) { return true; });
  }
  bool ReachesPlatform(size_t index) const {
    return m_platform_cuts.count(index) == 0;
  }

  // Delivers `event` to the node immediately, as its adapter would.
  template <typename Event>
  void Feed(size_t index, const Event& event) {
    if (!IsUp(index))
      return;
    m_nodes[index].node->Apply(event, now());
    Wake(index);
  }

  // Writes a value to the store, as an operator's proxy does, and feeds the
  // result to the node. Returns the version, or 0 if the platform did not
  // answer.
  uint64_t Store(size_t index, const std::string& key, std::string value) {
    const ObjectVersion held = m_platform.Read(key)
                                   ? m_platform.Read(key).value().version
                                   : ObjectVersion();
    const auto stored = m_platform.Update(key, held, value);
    NotifyWatches();
    if (!stored)
      return 0;
    Feed(index, SpreadEvent(LocalObjectUpdate{SpreadObject{
                    key, stored.value().version, std::move(value)}}));
    return stored.value().version.value;
  }
  // Answers the pending watches; must be called after a change of the store.
  void NotifyWatches() {
    std::vector<PendingWatch> waiting = std::exchange(m_watches, {});
    for (PendingWatch& watch : waiting)
      TryAnswer(std::move(watch), false);
  }

  // Closes every connection of a node, as at the end of a drain.
  void CloseAll(size_t index) {
    std::vector<InstanceName> names;
    for (const auto& [instance, connections] : m_nodes[index].connections)
      names.insert(names.end(), connections.size(), instance);
    for (const InstanceName& instance : names)
      Close(index, instance);
  }

  // Returns the number of connections of a node that are open at an instance.
  size_t Connections(size_t index, const InstanceName& instance) const {
    const auto found = m_nodes[index].connections.find(instance);
    return found == m_nodes[index].connections.end() ? 0 : found->second.size();
  }

 private:
  struct NodeState {
    std::unique_ptr<FleetNode> node;
    uint64_t life = 0;
    bool paused = false;
    TimePoint up_since;
    TimePoint down_since;
    TimePoint wake_at = TimePoint::max();
    std::map<InstanceName, std::vector<ConnectionId>> connections;
    std::map<std::string, uint64_t> in_force;
  };
  struct PendingWatch {
    size_t node = 0;
    uint64_t life = 0;
    StartWatch watch;
    TimePoint ends;
  };

  std::string Name(size_t index) const { return VmOf(index).value(); }

  Duration Latency(const std::string& from,
                   const std::string& to,
                   std::mt19937_64& random) const {
    const auto zone = [this](const std::string& name) {
      return std::stoul(name.substr(3)) % m_options.zones;
    };
    const Duration base = zone(from) == zone(to) ? m_options.zone_latency
                                                 : m_options.cross_zone_latency;
    return base + Duration(std::uniform_int_distribution<Duration::rep>(
                      0, base.count() / 4)(random));
  }

  void AddGroup(size_t number) {
    HeldGroup group;
    group.group = GroupName("group-" + std::to_string(number));
    for (size_t zone = 0; zone < m_options.zones; ++zone)
      group.zones.push_back(NodeOf(zone, m_options.zones).zone);
    for (size_t index = 0; index < m_options.instances_per_group; ++index) {
      const InstanceName name(group.group.value() + "-instance-" +
                              std::to_string(index));
      group.instances.push_back({name, m_options.connection_limit});
      m_instances.emplace(name, DatabaseInstance(InstanceOptions{
                                    name, m_options.enforced_limit}));
    }
    m_groups.push_back(std::move(group));
  }

  FleetNode::Hooks MakeHooks(size_t index) {
    FleetNode::Hooks hooks;
    hooks.send = [this, index](const PeerAddress& to, std::string bytes) {
      const auto receiver = m_index_of.find(to);
      if (receiver == m_index_of.end())
        return;
      const size_t target = receiver->second;
      const PeerAddress from = NodeOf(index, m_options.zones).address;
      m_network.Send(
          Name(index), Name(target),
          [this, target, from, bytes = std::move(bytes)] {
            m_nodes[target].node->Deliver(DatagramReceived{from, bytes}, now());
            Wake(target);
          });
    };
    hooks.open = [this, index](const InstanceName& instance) {
      m_network.After(Name(index), m_options.open_time,
                      [this, index, instance] { Open(index, instance); });
    };
    hooks.close = [this, index](const InstanceName& instance, size_t count) {
      m_network.After(Name(index), Duration(1'000),
                      [this, index, instance, count] {
                        for (size_t closed = 0; closed < count; ++closed)
                          Close(index, instance);
                      });
    };
    hooks.watch = [this, index](const StartWatch& watch) {
      PendingWatch pending{index, m_nodes[index].life, watch,
                           now() + watch.timeout};
      TryAnswer(std::move(pending), true);
    };
    hooks.in_force = [this, index](const SpreadObject& object) {
      m_nodes[index].in_force[object.key] = object.version.value;
      if (on_in_force)
        on_in_force(index, object);
    };
    hooks.caught_up = [] {};
    hooks.survey = [this, index](const SurveyResult& result) {
      if (on_survey)
        on_survey(index, result);
    };
    hooks.member_changed = [this, index](const Member& member) {
      if (on_member_changed)
        on_member_changed(index, member);
    };
    return hooks;
  }

  void Open(size_t index, const InstanceName& instance) {
    ++m_opens;
    const auto opened = m_instances.at(instance).Open();
    if (opened) {
      m_nodes[index].connections[instance].push_back(opened.value());
      Feed(index, OwnershipEvent(ConnectionOpened{instance}));
    } else {
      ++m_refused_opens;
      Feed(index, OwnershipEvent(OpenRefused{instance}));
    }
  }

  void Close(size_t index, const InstanceName& instance) {
    auto& connections = m_nodes[index].connections[instance];
    if (connections.empty())
      return;
    m_instances.at(instance).Close(connections.back());
    connections.pop_back();
    Feed(index, OwnershipEvent(ConnectionClosed{instance}));
  }

  void Wake(size_t index) {
    NodeState& state = m_nodes[index];
    if (state.node == nullptr)
      return;
    const TimePoint next = state.node->NextWakeup();
    if (next >= state.wake_at && state.wake_at > now())
      return;
    if (next == TimePoint::max())
      return;
    state.wake_at = std::max(next, now());
    const uint64_t life = state.life;
    const TimePoint at = state.wake_at;
    m_network.After(Name(index), state.wake_at - now(),
                    [this, index, life, at] {
                      NodeState& woken = m_nodes[index];
                      if (woken.life != life || woken.wake_at != at)
                        return;
                      woken.wake_at = TimePoint::max();
                      woken.node->OnTime(now());
                      Wake(index);
                    });
  }

  // Answers the watch if there is a change or its timeout has expired;
  // otherwise it stays pending. `called` is true when the proxy has just
  // started the watch, which counts as one call.
  void TryAnswer(PendingWatch watch, bool called) {
    constexpr Duration kPlatformLatency = std::chrono::milliseconds(2);
    constexpr Duration kUnansweredTime = std::chrono::milliseconds(500);
    const size_t index = watch.node;
    if (!ReachesPlatform(index)) {
      AnswerLater(watch, kUnansweredTime,
                  SpreadEvent(WatchFailed{watch.watch.prefix}));
      return;
    }
    const uint64_t revision = m_platform.revision();
    const uint64_t counted = m_platform.reads();
    const auto changes =
        m_platform.ChangesAfter(watch.watch.prefix, watch.watch.after_revision);
    m_watch_calls += called ? m_platform.reads() - counted : 0;
    if (!changes) {
      AnswerLater(watch, kUnansweredTime,
                  SpreadEvent(WatchFailed{watch.watch.prefix}));
      return;
    }
    if (changes.value().empty() && now() < watch.ends) {
      if (called) {
        const StartWatch start = watch.watch;
        const uint64_t life = watch.life;
        m_scheduler.At(watch.ends, [this, index, life, start] {
          ExpireWatch(index, life, start);
        });
      }
      m_watches.push_back(std::move(watch));
      return;
    }
    WatchAnswered answer{watch.watch.prefix, {}, revision};
    for (const VersionedObject& object : changes.value())
      answer.changes.push_back({object.key, object.version, object.value});
    AnswerLater(watch, kPlatformLatency, SpreadEvent(answer));
  }

  void ExpireWatch(size_t index, uint64_t life, const StartWatch& start) {
    for (size_t item = 0; item < m_watches.size(); ++item) {
      const PendingWatch& watch = m_watches[item];
      if (watch.node != index || watch.life != life ||
          watch.watch.prefix != start.prefix || watch.ends > now())
        continue;
      PendingWatch expired = watch;
      m_watches.erase(m_watches.begin() + static_cast<std::ptrdiff_t>(item));
      TryAnswer(std::move(expired), false);
      return;
    }
  }

  void AnswerLater(const PendingWatch& watch,
                   Duration delay,
                   SpreadEvent event) {
    const size_t index = watch.node;
    if (m_nodes[index].life != watch.life || !IsUp(index))
      return;
    m_network.After(
        Name(index), delay,
        [this, index, event = std::move(event)] { Feed(index, event); });
  }

  void FailWatches(const std::function<bool(const PendingWatch&)>& matches) {
    std::vector<PendingWatch> waiting = std::exchange(m_watches, {});
    for (PendingWatch& watch : waiting) {
      if (matches(watch))
        AnswerLater(watch, Duration(1'000),
                    SpreadEvent(WatchFailed{watch.watch.prefix}));
      else
        m_watches.push_back(std::move(watch));
    }
  }

 public:
  std::function<void(size_t index, const SurveyResult& result)> on_survey;
  uint64_t watch_calls() const { return m_watch_calls; }

 private:
  SimulationOptions m_options;
  uint64_t m_seed;
  VirtualScheduler m_scheduler;
  VirtualNetwork m_network;
  PlatformStore m_platform;
  std::set<size_t> m_platform_cuts;
  std::vector<PendingWatch> m_watches;
  std::map<InstanceName, DatabaseInstance> m_instances;
  std::vector<HeldGroup> m_groups;
  std::map<PeerAddress, size_t> m_index_of;
  std::vector<NodeState> m_nodes;
  uint64_t m_opens = 0;
  uint64_t m_refused_opens = 0;
  uint64_t m_watch_calls = 0;
};

}  // namespace jackdawturn::fleet
