#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "observe/observe.h"
#include "runtime/runtime.h"
#include "settings/settings.h"
#include "standin_servers/standin_servers.h"
#include "targets/targets.h"

namespace jackdawturn {

struct DemoOptions {
  // "ferreira" or "szamlalo".
  std::string deployment = "ferreira";
  size_t proxies = 6;
  Duration replication_lag = std::chrono::milliseconds(5);
  // Replaces the answer time of every class of the deployment.
  std::optional<Duration> answer_time;
  bool log_events = false;
};

// The stand-ins of a deployment and a fleet of proxies in one process on
// loopback. Thread safety: all methods from one thread.
class DemoWorld {
 public:
  // Starts everything. Errors: kInvalidArgument (unknown deployment),
  // kUnavailable (no free port).
  static Result<std::unique_ptr<DemoWorld>> Create(const DemoOptions& options);
  ~DemoWorld();
  DemoWorld(const DemoWorld&) = delete;
  DemoWorld& operator=(const DemoWorld&) = delete;

  // Waits until every proxy is ready. Errors: kTimeout.
  Result<void> WaitUntilReady(Duration timeout);

  std::vector<Endpoint> callers() const;
  const std::vector<GroupName>& groups() const { return m_groups; }
  const targets::ClassTargets& classes() const { return m_classes; }

  // Crashes the primary of the group, for good.
  void CrashPrimary(const GroupName& group);
  // The connections that are open to the primary go silent.
  void SilencePrimary(const GroupName& group);
  void SetPlatformAvailable(bool available);
  // Ends a proxy at once, without a drain.
  void KillProxy(size_t index);
  // Starts a graceful shutdown of a proxy and waits for its end.
  void DrainProxy(size_t index);

  // The data of the group's most advanced instance of the newest term.
  std::map<std::string, std::string> DataOf(const GroupName& group);
  // Adds up the reads that replicas and all instances served.
  void CountReads(uint64_t& replica_reads, uint64_t& reads) const;
  // The time lines of all proxies, merged.
  std::vector<TimelineEvent> Timeline() const;

 private:
  struct Group {
    GroupName name;
    std::vector<std::unique_ptr<InstanceServer>> instances;
  };

  DemoWorld() = default;
  Result<void> StartStandins(const DemoOptions& options,
                             const Settings& settings);
  Result<void> StoreObjects();
  Result<void> StartProxies(const DemoOptions& options,
                            const Settings& settings);
  InstanceServer* Primary(const GroupName& group);
  // Runs `task` on the thread of the stand-ins and waits for it.
  void OnStandins(const std::function<void()>& task);

  boost::asio::io_context m_context;
  std::thread m_thread;
  std::unique_ptr<PlatformServer> m_platform;
  std::map<GroupName, Group> m_instances;
  std::vector<GroupName> m_groups;
  targets::ClassTargets m_classes;
  // Empty where a proxy was killed.
  std::vector<std::unique_ptr<ProxyProcess>> m_proxies;
  // Reads and time lines of proxies that were killed.
  ReadCounts m_old_reads;
  std::vector<std::vector<TimelineEvent>> m_old_timelines;
};

}  // namespace jackdawturn
