#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "core/core.h"
#include "observe/event_log_queue.h"
#include "observe/metrics.h"

namespace jackdawturn {

// How a request ended, as it is counted.
enum class CountedOutcome { kDone, kNotRun, kUnknown, kInvalid };

enum class ReadRole { kPrimary, kReplica };

// What became of requests between proxies: sent to another one, answered for
// another one, lost after they were sent, or known not to have been sent.
enum class RelayCount { kSent, kAnswered, kLost, kNotSent };

enum class ControlDirection { kSent, kReceived };

// The metrics of one class of work. Thread-safe.
class ClassMetrics {
 public:
  ClassMetrics(MetricRegistry& registry, const ClassName& class_name);

  // Counts a request that ended. `latency` runs from its arrival to its answer.
  void CountRequest(CountedOutcome outcome, Duration latency);

  // Counts a read by the role of the instance that served it.
  void CountRead(ReadRole role);

 private:
  std::array<MetricCounter*, 4> m_requests{};
  std::array<MetricCounter*, 2> m_reads{};
  LatencyQuantiles* m_latency;
  // Over all classes.
  std::array<MetricCounter*, 2> m_all_reads{};
};

// The metrics of a proxy, as docs/operators/metrics.md lists them. Thread
// safety: every method can be called from any thread.
class ProxyMetrics {
 public:
  // Further classes share the class "other". Each class has several series, so
  // the bound is below MetricRegistry::kMaxSeries, and outcomes stay distinct.
  static constexpr size_t kMaxClasses = 200;

  // `registry` must outlive this object, and all functions given to it must
  // stay callable as long as it is rendered.
  explicit ProxyMetrics(MetricRegistry& registry);

  // Returns the metrics of a class. The reference stays valid as long as this
  // object; keep it where the class is looked up, and the hot path takes one
  // uncontended lock for the latency only.
  ClassMetrics& ForClass(const ClassName& class_name);

  // Requests that wait for a slot of the instance.
  void SetQueueDepth(const InstanceName& instance, size_t depth);

  // Open connections to the instance.
  void SetConnections(const InstanceName& instance, size_t open);

  // Open connections of callers.
  void SetCallerConnections(size_t open);

  // Registers a ring; `depth` and `refused` are called when rendering.
  void AddRing(const std::string& ring,
               std::function<size_t()> depth,
               std::function<uint64_t()> refused);

  // Counts a control message between proxies, for example of gossip or relay.
  void CountControlMessage(ControlDirection direction, size_t bytes);

  // Counts a relayed request.
  void CountRelay(RelayCount count);

  // Counts a call to the platform, for example "read", "update" or "watch".
  void CountPlatformCall(const std::string& operation);

  // Events of the time line that were overwritten; called when rendering.
  void AddTimeline(std::function<uint64_t()> overwritten);

  // Events that were dropped from the log; called when rendering.
  void AddLog(const std::function<EventLogQueue::Dropped()>& dropped);

 private:
  MetricRegistry& m_registry;
  std::array<MetricCounter*, 2> m_control_bytes{};
  std::array<MetricCounter*, 2> m_control_messages{};
  std::array<MetricCounter*, 4> m_relays{};
  MetricGauge* m_caller_connections;
  std::mutex m_mutex;
  std::map<ClassName, std::unique_ptr<ClassMetrics>> m_classes;
};

}  // namespace jackdawturn
