#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/core.h"
#include "requests/requests.h"
#include "standins/standins.h"
#include "support/virtual_network.h"

namespace jackdawturn::requests {

enum class Fault {
  kPrimaryCrashes,
  kZonePartitioned,
  kReplicaLagging,
  kProxyKilled,
  kPlatformDown,
  kPausedProxy,
  kUnresponsiveConnection,
  kLateDuplicate,
  kLostAnswer,
  kIdReused,
};
inline constexpr size_t kFaultCount = 10;

inline constexpr size_t kInstances = 3;
inline constexpr size_t kProxies = 3;

inline Duration Milliseconds(int64_t count) {
  return std::chrono::milliseconds(count);
}

inline std::string InstanceNode(size_t index) {
  return "i" + std::to_string(index);
}
inline std::string ProxyNode(size_t index) {
  return "p" + std::to_string(index);
}
inline size_t IndexOf(const InstanceName& name) {
  return static_cast<size_t>(name.value()[1] - '0');
}

// One group of three instances with its record on the platform, replication, a
// minimal failover implementation and fault injection. Instance k and proxy k
// are in one zone.
class FaultServers {
 public:
  FaultServers(uint64_t seed, std::set<Fault> faults)
      : m_network(m_scheduler,
                  seed,
                  [](const std::string&,
                     const std::string&,
                     std::mt19937_64& random) {
                    return Duration(500 + random() % 1'500);
                  }),
        m_faults(std::move(faults)) {
    GroupRecord& record = m_view.record;
    record.group = GroupName("g");
    record.term = Term{1};
    record.primary = InstanceName("i0");
    for (size_t index = 0; index < kInstances; ++index) {
      record.instances.push_back(InstanceName(InstanceNode(index)));
      m_instances.emplace_back(InstanceOptions{record.instances.back(), 30});
      VERIFY(m_instances[index].Fence(Term{1}).has_value());
    }
    VERIFY(m_instances[0].Promote(Term{1}).has_value());
    VERIFY(m_instances[0].PurgeLedger(Term{1}, LowWater(), 0).has_value());
    record.history = {{Term{1}, LogPosition{1}}};
    FollowAll();
  }

  // Returns the low-water mark: the ledger refuses older request ids.
  static WallTime LowWater() { return WallTime(std::chrono::hours(1'000)); }

  bool Has(Fault fault) const { return m_faults.count(fault) != 0; }
  bool Chance(int percent) {
    return static_cast<int>(random()() % 100) < percent;
  }
  uint64_t Below(uint64_t bound) { return random()() % bound; }
  std::mt19937_64& random() { return m_network.random(); }
  VirtualNetwork& network() { return m_network; }
  VirtualScheduler& scheduler() { return m_scheduler; }
  TimePoint now() const { return m_scheduler.now(); }
  DatabaseInstance& instance(size_t index) { return m_instances[index]; }
  const GroupView& view() const { return m_view; }

  // Hooks that run when a proxy can read a new record, when a proxy is killed
  // and when an instance crashes.
  std::function<void(size_t proxy)> on_record;
  std::function<void(size_t proxy)> on_kill;
  std::function<void(size_t instance)> on_crash;

  // Reads the record on behalf of a proxy, unless the platform is down.
  void ReadRecord(size_t proxy, std::function<void(const GroupView&)> deliver) {
    if (!m_platform_up)
      return;
    m_network.Send(ProxyNode(proxy), "m", [this, proxy, deliver] {
      m_network.Send("m", ProxyNode(proxy),
                     [view = m_view, deliver] { deliver(view); });
    });
  }

  // Schedules replication to the other instances, each after its lag.
  void AfterAppend(size_t instance) {
    for (size_t replica = 0; replica < kInstances; ++replica) {
      if (replica == instance || m_replicating[replica])
        continue;
      m_replicating[replica] = true;
      const Duration lag = m_lagging.count(replica) != 0
                               ? Milliseconds(200 + Below(500))
                               : Duration(500 + Below(2'000));
      m_scheduler.After(lag, [this, replica] { Replicate(replica); });
    }
  }

  // Replies with a report once `replica` has reached `position`, or immediately
  // when it has accepted a newer term and cannot reach it in the current one.
  void WhenReached(size_t replica,
                   LogPosition position,
                   std::function<void(InstanceReport)> reply) {
    const InstanceReport report = m_instances[replica].Report();
    if (report.position >= position ||
        report.accepted_term > m_view.record.term)
      reply(report);
    else
      m_waiting[replica].push_back({position, std::move(reply)});
  }

  void StartFaults() {
    if (Has(Fault::kReplicaLagging)) {
      m_lagging = {1 + Below(2)};
      if (Chance(30))
        m_lagging = {1, 2};
    }
    for (const Fault fault : m_faults)
      m_scheduler.After(Milliseconds(20 + Below(250)),
                        [this, fault] { Begin(fault); });
  }

  // Ends all faults and restores a reachable primary.
  void Heal() {
    for (const auto& [from, to] : std::exchange(m_partitioned_links, {}))
      m_network.Heal(from, to);
    m_lagging.clear();
    m_unresponsive.clear();
    m_platform_up = true;
    for (size_t index = 0; index < kInstances; ++index)
      m_network.Restart(InstanceNode(index));
    for (size_t index = 0; index < kProxies; ++index) {
      m_network.Restart(ProxyNode(index));
      m_network.Resume(ProxyNode(index));
      on_record(index);
    }
    m_faults.clear();
    if (m_view.record.phase == GroupPhase::kChanging ||
        !m_instances[IndexOf(m_view.record.primary)].Report().primary)
      Failover();
    else
      FollowAll();
  }

  // Returns whether the connection loses all messages in both directions.
  bool IsUnresponsive(size_t proxy,
                      size_t instance,
                      uint64_t connection) const {
    return m_unresponsive.count({proxy, instance, connection}) != 0;
  }
  std::function<std::vector<uint64_t>(size_t proxy, size_t instance)>
      connections_of;

 private:
  struct Waiter {
    LogPosition position;
    std::function<void(InstanceReport)> reply;
  };

  void Replicate(size_t replica) {
    m_replicating[replica] = false;
    if (!m_network.IsUp(InstanceNode(replica)))
      return;
    for (size_t source = 0; source < kInstances; ++source) {
      const std::pair link(InstanceNode(source), InstanceNode(replica));
      if (source != replica && m_network.IsUp(link.first) &&
          m_partitioned_links.count(link) == 0)
        m_instances[replica].ReplicateFrom(m_instances[source],
                                           LogPosition{~uint64_t{0}});
    }
    const InstanceReport report = m_instances[replica].Report();
    auto waiting = std::exchange(m_waiting[replica], {});
    for (Waiter& waiter : waiting) {
      if (report.position >= waiter.position)
        waiter.reply(report);
      else
        m_waiting[replica].push_back(std::move(waiter));
    }
  }

  bool Reachable(size_t index) const {
    const std::string node = InstanceNode(index);
    return m_network.IsUp(node) &&
           m_partitioned_links.count({"m", node}) == 0 &&
           m_partitioned_links.count({node, "m"}) == 0;
  }

  // Sends Follow to all reachable replicas. Called again after a restart or the
  // end of a fault, for the instances that were unreachable.
  void FollowAll() {
    const GroupRecord& record = m_view.record;
    if (record.phase != GroupPhase::kSteady)
      return;
    for (size_t index = 0; index < kInstances; ++index) {
      if (InstanceName(InstanceNode(index)) != record.primary &&
          Reachable(index))
        (void)m_instances[index].Follow(record.term, record.primary);
    }
    AfterAppend(IndexOf(record.primary));
  }

  void Failover() {
    if (!m_platform_up) {
      m_scheduler.After(Milliseconds(50), [this] { Failover(); });
      return;
    }
    GroupRecord& record = m_view.record;
    record.term = record.term.Next();
    record.phase = GroupPhase::kChanging;
    record.primary = InstanceName();
    PublishRecord();
    const Term term = record.term;
    m_fenced.clear();
    // Some failovers stop after the promotion, as when the proxy that runs them
    // crashes.
    const bool interrupted = Chance(10);
    for (size_t index = 0; index < kInstances; ++index)
      m_scheduler.After(Milliseconds(1 + Below(20)),
                        [this, index, term] { Fence(index, term); });
    m_scheduler.After(Milliseconds(21 + Below(10)), [this, term, interrupted] {
      Promote(term, interrupted);
    });
  }

  void Fence(size_t index, Term term) {
    if (!Reachable(index))
      return;
    const auto report = m_instances[index].Fence(term);
    if (report.has_value() && term == m_view.record.term)
      m_fenced.push_back({report.value(), index});
    for (Waiter& waiter : std::exchange(m_waiting[index], {}))
      waiter.reply(m_instances[index].Report());
  }

  void Promote(Term term, bool interrupted) {
    if (term != m_view.record.term)
      return;
    const auto better = [](const auto& left, const auto& right) {
      return std::pair(left.first.log_term, left.first.position) <
             std::pair(right.first.log_term, right.first.position);
    };
    const auto chosen =
        std::max_element(m_fenced.begin(), m_fenced.end(), better);
    if (m_fenced.size() < kInstances - 1 || !Reachable(chosen->second)) {
      m_scheduler.After(Milliseconds(50), [this] { Failover(); });
      return;
    }
    const auto promoted = m_instances[chosen->second].Promote(term);
    if (interrupted || !promoted.has_value()) {
      m_scheduler.After(Milliseconds(20), [this] { Failover(); });
      return;
    }
    GroupRecord& record = m_view.record;
    record.phase = GroupPhase::kSteady;
    record.primary = InstanceName(InstanceNode(chosen->second));
    record.history.push_back({term, promoted.value().position});
    PublishRecord();
    FollowAll();
  }

  void PublishRecord() {
    for (size_t proxy = 0; proxy < kProxies; ++proxy) {
      m_scheduler.After(Milliseconds(Below(40)), [this, proxy] {
        if (m_platform_up)
          on_record(proxy);
      });
    }
  }

  void PartitionLinks(const std::string& one,
                      const std::string& other,
                      int ways) {
    for (const auto& link : {std::pair(one, other), std::pair(other, one)}) {
      if ((ways & (link.first == one ? 1 : 2)) != 0) {
        m_partitioned_links.insert(link);
        m_network.Cut(link.first, link.second);
      }
    }
  }

  void Begin(Fault fault) {
    const size_t proxy = Below(kProxies);
    const InstanceName primary = m_view.record.primary;
    const size_t zone = primary.empty() ? Below(kInstances) : IndexOf(primary);
    switch (fault) {
      case Fault::kPrimaryCrashes:
        m_network.Crash(InstanceNode(zone));
        m_instances[zone].Restart();
        m_waiting[zone].clear();
        on_crash(zone);
        m_scheduler.After(Milliseconds(30 + Below(100)),
                          [this] { Failover(); });
        m_scheduler.After(Milliseconds(200 + Below(300)), [this, zone] {
          m_network.Restart(InstanceNode(zone));
          FollowAll();
        });
        break;
      case Fault::kZonePartitioned: {
        // A bit mask of the blocked directions: one or both.
        const int ways = 1 + static_cast<int>(Below(3));
        for (size_t other = 0; other < kInstances; ++other) {
          if (other == zone)
            continue;
          for (const std::string& mine : {InstanceNode(zone), ProxyNode(zone)})
            for (const std::string& theirs :
                 {InstanceNode(other), ProxyNode(other)})
              PartitionLinks(mine, theirs, ways);
        }
        PartitionLinks(InstanceNode(zone), "m", ways);
        PartitionLinks(ProxyNode(zone), "m", ways);
        m_scheduler.After(Milliseconds(30 + Below(100)),
                          [this] { Failover(); });
        break;
      }
      case Fault::kProxyKilled:
        m_network.Crash(ProxyNode(proxy));
        on_kill(proxy);
        m_scheduler.After(Milliseconds(50 + Below(100)), [this, proxy] {
          m_network.Restart(ProxyNode(proxy));
          on_record(proxy);
        });
        break;
      case Fault::kPlatformDown:
        // Proxies keep their last record; a primary change may be in progress.
        if (Chance(50))
          Failover();
        m_scheduler.After(Milliseconds(30 + Below(30)),
                          [this] { m_platform_up = false; });
        break;
      case Fault::kPausedProxy:
        m_network.Pause(ProxyNode(proxy));
        if (Chance(70))
          Failover();
        m_scheduler.After(Milliseconds(100 + Below(400)), [this, proxy] {
          m_network.Resume(ProxyNode(proxy));
        });
        break;
      case Fault::kUnresponsiveConnection:
        for (const uint64_t connection : connections_of(proxy, zone))
          m_unresponsive.insert({proxy, zone, connection});
        break;
      case Fault::kReplicaLagging:
      case Fault::kLateDuplicate:
      case Fault::kLostAnswer:
      case Fault::kIdReused:
        break;
    }
  }

  VirtualScheduler m_scheduler;
  VirtualNetwork m_network;
  std::set<Fault> m_faults;
  std::vector<DatabaseInstance> m_instances;
  GroupView m_view;
  bool m_platform_up = true;
  std::set<size_t> m_lagging;
  std::set<std::pair<std::string, std::string>> m_partitioned_links;
  std::set<std::tuple<size_t, size_t, uint64_t>> m_unresponsive;
  bool m_replicating[kInstances] = {};
  std::deque<Waiter> m_waiting[kInstances];
  std::vector<std::pair<InstanceReport, size_t>> m_fenced;
};

}  // namespace jackdawturn::requests
