#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "fleet/fleet_harness.h"

namespace jackdawturn::fleet {

// IP and UDP headers, which each datagram adds on the network, in bytes.
inline constexpr uint64_t kHeaderBytes = 28;

// Traffic of one node, sent and received, in datagrams and in bytes with their
// headers.
struct NodeTraffic {
  uint64_t datagrams = 0;
  uint64_t bytes = 0;
};

// The decision modules of many proxies in one process, with datagrams in
// memory and no sockets, and a platform that keeps objects and answers watches.
// Thread safety: not thread-safe.
class FleetRig {
 public:
  // True when no datagram passes from one node to another.
  using LinkCut = std::function<bool(size_t from, size_t to)>;

  FleetRig(size_t nodes, size_t zones, double loss, uint64_t seed)
      : m_zones(zones),
        m_loss(loss),
        m_seed(seed),
        m_random(seed),
        m_nodes(nodes) {
    for (size_t index = 0; index < nodes; ++index) {
      m_addresses.push_back(NodeOf(index, zones).address);
      m_index_of[m_addresses.back().value()] = index;
    }
    // Starts are spread over a second.
    for (size_t index = 0; index < nodes; ++index)
      Start(index, Duration(m_random() % 1'000'000));
  }

  TimePoint now() const { return m_now; }
  uint64_t bytes() const { return m_bytes; }
  uint64_t datagrams() const { return m_datagrams; }
  uint64_t watch_calls() const { return m_watch_calls; }
  uint64_t removals() const { return m_removals; }
  size_t size() const { return m_nodes.size(); }
  size_t zones() const { return m_zones; }
  FleetNode& node(size_t index) { return *m_nodes[index].node; }
  bool IsUp(size_t index) const { return m_nodes[index].up; }
  void Kill(size_t index) { m_nodes[index].up = false; }
  // Starts a node again with empty tables, at once or after `delay`.
  void Restart(size_t index, Duration delay = Duration()) {
    Start(index, delay);
  }
  // Cuts a zone from the other zones and from the platform.
  void CutZone(std::optional<size_t> zone) { m_cut_zone = zone; }
  void SetLinkCut(LinkCut cut) { m_link_cut = std::move(cut); }
  // Traffic of each node since the last call.
  std::vector<NodeTraffic> TakeTraffic() {
    std::vector<NodeTraffic> traffic(m_nodes.size());
    for (size_t index = 0; index < m_nodes.size(); ++index)
      traffic[index] = std::exchange(m_nodes[index].traffic, {});
    return traffic;
  }

  void RunUntil(TimePoint end, const std::function<bool()>& done = {}) {
    while (!m_queue.empty() && m_queue.front().time <= end) {
      std::pop_heap(m_queue.begin(), m_queue.end());
      const Task task = std::move(m_queue.back());
      m_queue.pop_back();
      m_now = task.time;
      RunTask(task);
      if (done && done())
        return;
    }
    m_now = end;
  }

  // Puts an object into the platform before any node reads it.
  void Preload(const SpreadObject& object) { Store(object); }
  // Stores a new version through a proxy; the watchers learn of it as well.
  void Change(size_t origin, const SpreadObject& object) {
    m_object = object;
    m_in_force = 0;
    Store(object);
    m_nodes[origin].node->Apply(SpreadEvent(LocalObjectUpdate{object}), m_now);
    Wake(origin);
    for (const size_t index : m_watchers) {
      State& state = m_nodes[index];
      for (auto& [prefix, watch] : state.watches) {
        if (watch.waiting && object.key.starts_with(prefix) && !IsCut(index)) {
          watch.waiting = false;
          PushWatch(index, prefix, watch, kPlatformTime);
        }
      }
    }
  }
  void Change(size_t origin, uint64_t version, size_t value_size) {
    Change(origin,
           {"targets", ObjectVersion{version}, std::string(value_size, 'v')});
  }
  // Nodes that accepted the version that was stored last.
  size_t in_force() const { return m_in_force; }
  size_t CountInForce(uint64_t version, const std::string& key = "targets") {
    return static_cast<size_t>(
        std::count_if(m_nodes.begin(), m_nodes.end(), [&](const State& state) {
          return state.up &&
                 state.node->spread().table().VersionOf(key).value >= version;
        }));
  }
  size_t CountReady() const {
    return static_cast<size_t>(
        std::count_if(m_nodes.begin(), m_nodes.end(), [](const State& state) {
          return state.up && state.node->spread().ready();
        }));
  }
  // Proxies that still count `index` among the present ones.
  size_t Believers(size_t index) {
    const VmName vm = VmOf(index);
    size_t count = 0;
    for (State& state : m_nodes) {
      if (!state.up)
        continue;
      const auto member = state.node->membership().Find(vm);
      count += member && IsPresent(*member) ? 1 : 0;
    }
    return count;
  }
  size_t Watchers() const {
    return static_cast<size_t>(
        std::count_if(m_nodes.begin(), m_nodes.end(), [](const State& state) {
          return state.up && state.node->spread().is_watcher();
        }));
  }

 private:
  static constexpr Duration kZoneLatency = Duration(200);
  static constexpr Duration kCrossZoneLatency = Duration(1'500);
  static constexpr Duration kPlatformTime = Duration(2'000);

  enum class TaskKind { kWake, kDeliver, kWatch };
  struct Task {
    TimePoint time;
    uint64_t order = 0;
    TaskKind kind = TaskKind::kWake;
    size_t node = 0;
    // Sender of a datagram, or the number of a watch.
    size_t from = 0;
    // The datagram, or the prefix of a watch.
    std::string bytes;
    bool operator<(const Task& other) const {
      return std::tie(other.time, other.order) < std::tie(time, order);
    }
  };
  struct Watch {
    bool waiting = false;
    uint64_t after = 0;
    // Counts the watches of a node, so that an answered one does not also end
    // at its time limit.
    size_t number = 0;
  };
  struct State {
    std::unique_ptr<FleetNode> node;
    bool up = false;
    uint64_t life = 0;
    size_t last_watch = 0;
    std::map<std::string, Watch> watches;
    TimePoint wake_at = TimePoint::max();
    NodeTraffic traffic;
  };

  void Start(size_t index, Duration delay) {
    State& state = m_nodes[index];
    MembershipOptions membership;
    membership.self = NodeOf(index, m_zones);
    membership.incarnation = ++state.life;
    // A few seeds of the own zone and of others, as settings would list them.
    for (size_t seed_node = 0;
         seed_node < std::min<size_t>(m_nodes.size(), 3 * m_zones); ++seed_node)
      membership.seeds.push_back(NodeOf(seed_node, m_zones));
    membership.stamp = [this] {
      return ClockStamp{static_cast<uint64_t>(m_now.time_since_epoch().count()),
                        0};
    };
    OwnershipOptions ownership;
    ownership.self = membership.self.vm;
    ownership.zone = membership.self.zone;
    SpreadOptions spread;
    spread.self = membership.self.vm;
    spread.zone = membership.self.zone;
    constexpr uint64_t kSeedsOfNode = 1'000;
    state.node = std::make_unique<FleetNode>(
        membership, ownership, spread,
        DatagramCodec::Create({"a fleet key for benchmarks"}).value(),
        m_seed + index * kSeedsOfNode + 3 * state.life, HooksOf(index));
    state.up = true;
    state.watches.clear();
    std::erase(m_watchers, index);
    state.wake_at = m_now + delay;
    Push({state.wake_at, 0, TaskKind::kWake, index, 0, {}});
  }

  FleetNode::Hooks HooksOf(size_t index) {
    FleetNode::Hooks hooks;
    hooks.send = [this, index](const PeerAddress& to, std::string bytes) {
      SendBytes(index, to, std::move(bytes));
    };
    hooks.open = [](const InstanceName&) {};
    hooks.close = [](const InstanceName&, size_t) {};
    hooks.watch = [this, index](const StartWatch& watch) {
      ++m_watch_calls;
      State& state = m_nodes[index];
      if (std::find(m_watchers.begin(), m_watchers.end(), index) ==
          m_watchers.end())
        m_watchers.push_back(index);
      Watch& entry = state.watches[watch.prefix];
      entry.after = watch.after_revision;
      entry.number = ++state.last_watch;
      // A watch that has something to tell returns at once.
      entry.waiting = watch.timeout > Duration() &&
                      Changes(watch.prefix, entry.after).empty();
      PushWatch(index, watch.prefix, entry,
                entry.waiting ? watch.timeout : kPlatformTime);
    };
    hooks.in_force = [this](const SpreadObject& object) {
      m_in_force +=
          object.key == m_object.key && object.version == m_object.version ? 1
                                                                           : 0;
    };
    hooks.caught_up = [] {};
    hooks.survey = [](const SurveyResult&) {};
    hooks.member_changed = [this](const Member& member) {
      m_removals += member.state == MemberState::kDead ? 1 : 0;
    };
    return hooks;
  }

  bool IsCut(size_t index) const {
    return m_cut_zone && index % m_zones == *m_cut_zone;
  }

  void SendBytes(size_t from, const PeerAddress& to, std::string bytes) {
    m_bytes += bytes.size() + kHeaderBytes;
    ++m_datagrams;
    Count(from, bytes.size());
    const auto found = m_index_of.find(to.value());
    if (found == m_index_of.end() || IsCut(from) != IsCut(found->second) ||
        (m_link_cut && m_link_cut(from, found->second)) ||
        std::uniform_real_distribution<double>(0, 1)(m_random) < m_loss)
      return;
    const bool same = from % m_zones == found->second % m_zones;
    Push({m_now + (same ? kZoneLatency : kCrossZoneLatency), 0,
          TaskKind::kDeliver, found->second, from, std::move(bytes)});
  }

  void Count(size_t node, size_t bytes) {
    ++m_nodes[node].traffic.datagrams;
    m_nodes[node].traffic.bytes += bytes + kHeaderBytes;
  }

  void Push(Task task) {
    task.order = ++m_last_order;
    m_queue.push_back(std::move(task));
    std::push_heap(m_queue.begin(), m_queue.end());
  }

  void PushWatch(size_t index,
                 const std::string& prefix,
                 const Watch& watch,
                 Duration delay) {
    Push({m_now + delay, 0, TaskKind::kWatch, index, watch.number, prefix});
  }

  void RunTask(const Task& task) {
    State& state = m_nodes[task.node];
    if (!state.up)
      return;
    if (task.kind == TaskKind::kDeliver) {
      Count(task.node, task.bytes.size());
      // A node that has not started yet reads nothing.
      if (state.node->NextWakeup() == TimePoint() && state.wake_at > m_now)
        return;
      state.node->Deliver(DatagramReceived{m_addresses[task.from], task.bytes},
                          m_now);
    } else if (task.kind == TaskKind::kWatch) {
      EndWatch(task);
    } else {
      // An earlier wake-up was asked for after this one.
      if (task.time != state.wake_at)
        return;
      state.wake_at = TimePoint::max();
      state.node->OnTime(m_now);
    }
    Wake(task.node);
  }

  void Store(const SpreadObject& object) {
    m_store[object.key] = object;
    m_log.push_back(object.key);
  }
  // Objects under a prefix that changed after a revision.
  std::vector<SpreadObject> Changes(const std::string& prefix,
                                    uint64_t after) const {
    std::vector<SpreadObject> changes;
    for (size_t revision = after; revision < m_log.size(); ++revision) {
      if (m_log[revision].starts_with(prefix))
        changes.push_back(m_store.at(m_log[revision]));
    }
    return changes;
  }

  void EndWatch(const Task& task) {
    State& state = m_nodes[task.node];
    const auto found = state.watches.find(task.bytes);
    if (found == state.watches.end() || found->second.number != task.from)
      return;
    const Watch watch = found->second;
    state.watches.erase(found);
    if (IsCut(task.node)) {
      state.node->Apply(SpreadEvent(WatchFailed{task.bytes}), m_now);
      return;
    }
    state.node->Apply(
        SpreadEvent(WatchAnswered{task.bytes, Changes(task.bytes, watch.after),
                                  m_log.size()}),
        m_now);
  }

  void Wake(size_t index) {
    State& state = m_nodes[index];
    const TimePoint next = state.node->NextWakeup();
    if (next >= state.wake_at || next == TimePoint::max())
      return;
    state.wake_at = std::max(next, m_now);
    Push({state.wake_at, 0, TaskKind::kWake, index, 0, {}});
  }

  size_t m_zones;
  double m_loss;
  uint64_t m_seed;
  std::mt19937_64 m_random;
  TimePoint m_now;
  std::vector<State> m_nodes;
  std::vector<PeerAddress> m_addresses;
  std::unordered_map<std::string, size_t> m_index_of;
  // A heap of tasks, the next one first. A task is moved out of it, because
  // copying its datagram took a large part of a run.
  std::vector<Task> m_queue;
  uint64_t m_last_order = 0;
  std::optional<size_t> m_cut_zone;
  LinkCut m_link_cut;
  std::vector<size_t> m_watchers;
  std::map<std::string, SpreadObject> m_store;
  // Keys in the order of their changes; the place of a change is its revision.
  std::vector<std::string> m_log;
  SpreadObject m_object;
  size_t m_in_force = 0;
  uint64_t m_bytes = 0;
  uint64_t m_datagrams = 0;
  uint64_t m_watch_calls = 0;
  uint64_t m_removals = 0;
};

}  // namespace jackdawturn::fleet
