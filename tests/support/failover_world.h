#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/core.h"
#include "failover/failover.h"
#include "standins/standins.h"
#include "support/virtual_network.h"

namespace jackdawturn::failover {

// Faults that the world itself adds, which a checker must catch.
enum class WorldMutant {
  kNone,
  kAcknowledgeUnconfirmed,  // Writers do not wait for a replica.
  kConfirmAnyTerm,          // Writers ignore the terms of a replica's report.
  kFenceOne,                // All but one fence are answered without asking.
  kChooseLowest,            // Reports of fenced instances rank in reverse.
  kUnconditionalUpdate,     // The platform ignores the expected version.
  kPromoteTwo,              // A second instance is promoted in the same term.
};

struct WorldOptions {
  uint64_t seed = 1;
  // One-way latencies and the time to open a connection.
  Duration zone_latency = std::chrono::microseconds(1'500);
  Duration open_time = std::chrono::milliseconds(10);
  // For each message or timer that a proxy or an instance handles.
  Duration processing_time{0};
  size_t zones = 3;
  size_t proxies = 3;
  size_t groups = 1;
  // Between writes of one writer; each proxy has one for each group. 0 means
  // that there are none.
  Duration write_interval = std::chrono::milliseconds(20);
  Duration write_deadline = std::chrono::milliseconds(2'000);
  // Between repeated offers of a primary's log to its replicas.
  Duration sync_interval = std::chrono::milliseconds(40);
  // Writes and reads that the platform serves each second.
  double platform_writes = 300;
  double platform_reads = 2'000;
  FailoverTimes times;
  FailureDetectorSettings suspicion;
  WorldMutant mutant = WorldMutant::kNone;
};

// An acknowledged write, as its caller sees it.
struct Acknowledgement {
  RequestId request;
  size_t group = 0;
  std::string proxy;
  TermPosition at;
  TimePoint time;
  // From the first try to the answer.
  Duration answer_time{0};
};

// Groups of three instances, proxies with a FailoverMachine for each group,
// simple writers that acknowledge by the confirmation rule, and the platform,
// on a virtual clock and network. Thread safety: not thread-safe.
class FailoverWorld {
 public:
  static constexpr size_t kInstances = 3;
  using TimelineHook =
      std::function<void(const std::string& proxy,
                         size_t group,
                         const failover_effect::TimelineEntry&)>;

  explicit FailoverWorld(WorldOptions options);

  void Run(Duration time) { m_scheduler.RunUntil(now() + time); }
  TimePoint now() const { return m_scheduler.now(); }
  VirtualScheduler& scheduler() { return m_scheduler; }
  VirtualNetwork& network() { return m_network; }
  PlatformStore& platform() { return m_platform; }
  std::mt19937_64& random() { return m_network.random(); }

  // Faults. Instances are named by InstanceOf, proxies "p0", "p1" and so on.
  void EndProcess(const std::string& instance);    // Its host refuses.
  void StartProcess(const std::string& instance);  // With its log as it was.
  void EndHost(const std::string& instance);       // Nothing answers.
  void StartHost(const std::string& instance);
  void PauseProcess(const std::string& instance, Duration time);
  void StallHost(const std::string& instance, Duration time);
  void CrashProxy(const std::string& proxy);
  void RestartProxy(const std::string& proxy);
  void PauseProxy(const std::string& proxy, Duration time);
  // Cuts the nodes of one zone (or one node) from those for which `others` is
  // true, in one direction or both.
  void CutZone(size_t zone, bool outgoing, bool incoming, bool cut);
  void CutBetween(size_t zone, size_t other_zone, bool cut);
  void CutNode(const std::string& node, bool cut);
  void SetPlatformDelay(Duration delay) { m_platform_delay = delay; }
  void SetPlatformAvailable(bool available);
  void SetReplicationDelay(const std::string& instance, Duration delay);
  void RequestChange(const std::string& proxy, size_t group, AttemptId change);
  void SetTimelineHook(TimelineHook hook) { m_timeline_hook = std::move(hook); }

  GroupName NameOf(size_t group) const;
  std::string InstanceOf(size_t group, size_t index) const;
  // Name of the instance that the platform's record shows; empty while a change
  // is under way.
  std::string Primary(size_t group);
  GroupRecord Record(size_t group);
  size_t ZoneOf(const std::string& node) const { return m_zones.at(node); }
  size_t proxies() const { return m_options.proxies; }
  bool ProcessIsUp(const std::string& instance) const;

  // What a checker may see.
  const std::vector<Acknowledgement>& acknowledgements() const {
    return m_acknowledgements;
  }
  const DatabaseInstance& database(const std::string& instance) const {
    return m_instances.at(instance).database;
  }
  // Instances that answered that they were promoted, by group and term.
  const std::map<std::pair<size_t, Term>, std::set<std::string>>& promoted()
      const {
    return m_promoted;
  }
  // Writes that ended without an acknowledgement at their deadline.
  uint64_t refused_writes() const { return m_refused; }
  // Answers to RequestChange.
  const std::vector<failover_effect::ChangeEnded>& changes_ended() const {
    return m_changes_ended;
  }
  // Times at which the platform was called for the groups' records.
  const std::vector<TimePoint>& platform_reads() const {
    return m_platform_reads;
  }
  const std::vector<TimePoint>& platform_writes() const {
    return m_platform_writes;
  }
  FailoverMachine* machine(const std::string& proxy, size_t group);

 private:
  struct Waiter {
    Term term;
    LogPosition position;
    std::function<void(const InstanceReport&)> reply;
  };
  struct Instance {
    explicit Instance(InstanceName name)
        : database(InstanceOptions{std::move(name), 1'000}) {}
    DatabaseInstance database;
    size_t group = 0;
    std::string host;
    bool process_up = true;
    Duration replication_delay{0};
    std::vector<Waiter> waiters;
  };
  struct Writer {
    RequestId request;
    uint64_t number = 0;
    TimePoint started;
    // Answers to an older try are not counted.
    uint64_t attempt = 0;
    bool acknowledged = false;
  };
  struct Holder {
    std::unique_ptr<FailoverMachine> machine;
    VersionedRecord steady;
    bool held = false;
    std::optional<TimePoint> timer;
    Writer writer;
  };
  struct Proxy {
    std::string name;
    size_t lives = 0;
    std::vector<Holder> holders;
  };
  using Reply =
      std::function<void(CallOutcome, const Result<InstanceReport>* report)>;
  using Work = std::function<Result<InstanceReport>(DatabaseInstance&)>;

  Duration Latency(const std::string& from,
                   const std::string& to,
                   std::mt19937_64& random) const;
  void AddNode(const std::string& name, size_t zone);
  void CreateGroup(size_t group);
  void StartProxy(Proxy& proxy);
  std::vector<FailoverPeer> Peers() const;

  void Deliver(Proxy& proxy, size_t group, const FailoverEvent& event);
  // Delivers the event over the network.
  void SendEvent(const Proxy& from,
                 const VmName& to,
                 size_t group,
                 FailoverEvent event);
  void PlanTimer(Proxy& proxy, size_t group);
  void Call(const std::string& from,
            const std::string& to,
            bool fresh,
            Duration timeout,
            Work work,
            Reply reply);
  void CallInstance(Proxy& proxy,
                    size_t group,
                    FailoverCallId call,
                    const std::string& to,
                    Duration timeout,
                    Work work);
  void CallPlatform(
      Proxy& proxy,
      size_t group,
      FailoverCallId call,
      std::optional<std::pair<ObjectVersion, GroupRecord>> update);
  TimePoint PlatformTime(bool write);
  void Spread(const VersionedRecord& record, size_t group);

  void Execute(Proxy& proxy, size_t group, const failover_effect::SendProbe&);
  void Execute(Proxy& proxy, size_t group, const failover_effect::AskWitness&);
  void Execute(Proxy&, size_t group, const failover_effect::AnswerWitness&);
  void Execute(Proxy& proxy, size_t group, const failover_effect::ReadRecord&);
  void Execute(Proxy&, size_t group, const failover_effect::UpdateRecord&);
  void Execute(Proxy&, size_t group, const failover_effect::FenceInstance&);
  void Execute(Proxy&, size_t group, const failover_effect::PromoteInstance&);
  void Execute(Proxy&, size_t group, const failover_effect::FollowInstance&);
  void Execute(Proxy&, size_t group, const failover_effect::RecordAccepted&);
  void Execute(Proxy&, size_t group, const failover_effect::AnnounceRecord&);
  void Execute(Proxy&, size_t group, const failover_effect::AnnounceProgress&);
  void Execute(Proxy& proxy, size_t group, const failover_effect::HoldWrites&);
  void Execute(Proxy&, size_t group, const failover_effect::ReleaseWrites&);
  void Execute(Proxy& proxy, size_t group, const failover_effect::ChangeEnded&);
  void Execute(Proxy&, size_t group, const failover_effect::ReadableChanged&);
  void Execute(Proxy& proxy,
               size_t group,
               const failover_effect::TimelineEntry&);

  void Replicate(Instance& primary);
  void CheckWaiters(Instance& instance);
  void Sync();
  void NextWrite(Proxy& proxy, size_t group);
  void TryWrite(Proxy& proxy, size_t group, uint64_t attempt);
  void Confirm(Proxy& proxy,
               size_t group,
               uint64_t attempt,
               const InstanceName& writer,
               TermPosition at);
  void Acknowledge(Proxy& proxy,
                   size_t group,
                   uint64_t attempt,
                   TermPosition at);
  Proxy& ProxyOf(const std::string& name);

  WorldOptions m_options;
  std::unordered_map<std::string, size_t> m_zones;
  VirtualScheduler m_scheduler;
  VirtualNetwork m_network;
  PlatformStore m_platform;
  Duration m_platform_delay{0};
  TimePoint m_platform_free_for_writes;
  TimePoint m_platform_free_for_reads;
  std::map<std::string, Instance> m_instances;
  std::vector<std::unique_ptr<Proxy>> m_proxies;
  std::vector<std::string> m_nodes;
  TimelineHook m_timeline_hook;

  std::vector<Acknowledgement> m_acknowledgements;
  std::map<std::pair<size_t, Term>, std::set<std::string>> m_promoted;
  uint64_t m_refused = 0;
  std::vector<failover_effect::ChangeEnded> m_changes_ended;
  std::vector<TimePoint> m_platform_reads;
  std::vector<TimePoint> m_platform_writes;
};

}  // namespace jackdawturn::failover
