#pragma once

#include <chrono>
#include <map>
#include <string>

#include "core/core.h"
#include "gateway/gateway_types.h"
#include "observe/observe.h"

namespace jackdawturn::gateway {

// Writes the decisions of a gateway to its log and counts them. The log and the
// registry outlive this. Thread safety: not thread-safe.
class GatewayLog {
 public:
  using Fields = std::map<std::string, std::string>;

  // `log` may be null: events are then only counted.
  GatewayLog(EventLog* log, MetricRegistry& metrics, VmName vm);

  // A decision about a request that was not simply served.
  void LogRequestEvent(const RequestId& request,
                       const GroupName& group,
                       std::string step,
                       std::string peer,
                       Fields fields);
  // A change of what the process believes.
  void LogStateChange(EventKind kind,
                      const GroupName& group,
                      std::string step,
                      std::string peer,
                      Fields fields);

  // Counts a statement that an instance was asked for, and its latency.
  // Precondition: `latency` is not negative.
  void RecordStatement(ReplyCode code, Duration latency);

 private:
  // The series of one outcome, which every statement would look up otherwise.
  struct StatementSeries {
    MetricCounter* count = nullptr;
    LatencyQuantiles* latency = nullptr;
  };

  void Write(TimelineEvent event);

  EventLog* const m_log;
  MetricRegistry& m_metrics;
  const VmName m_vm;
  HybridLogicalClock m_clock;
  std::map<ReplyCode, StatementSeries> m_statements;
};

}  // namespace jackdawturn::gateway
