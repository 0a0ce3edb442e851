#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>

#include "core/core.h"
#include "gateway/backend_pool.h"
#include "gateway/gateway_types.h"
#include "observe/observe.h"

namespace jackdawturn::gateway {

// The counters of the rate limits of all customers together. There is none for
// a single customer, because there may be many thousands.
struct LimitSeries {
  // Operations of customers with a limit.
  MetricCounter& admitted;
  MetricCounter& refused;
  // Permits that this proxy asked for, received and did not use in time.
  MetricCounter& asked;
  MetricCounter& granted;
  MetricCounter& expired;
  // Permits that this proxy, as grantor of its zone, exchanged with others.
  MetricCounter& borrowed;
  MetricCounter& lent;
  // Questions to other proxies that were not answered.
  MetricCounter& unreachable;
};

// Logs the decisions of a gateway and counts them. The log and the registry
// must outlive this object. Thread safety: not thread-safe.
class GatewayLog {
 public:
  using Fields = std::map<std::string, std::string>;

  // `log` may be null: events are then only counted.
  GatewayLog(EventLog* log, MetricRegistry& metrics, VmName vm);

  // Logs a decision about a request: a retry, refusal, failure or the like.
  void LogRequestEvent(const RequestId& request,
                       const GroupName& group,
                       std::string step,
                       std::string peer,
                       Fields fields);
  // Logs a change of the proxy's view of the system.
  void LogStateChange(EventKind kind,
                      const GroupName& group,
                      std::string step,
                      std::string peer,
                      Fields fields);

  // Counts a statement that needs an instance, also if it was refused, and
  // records its latency.
  // Precondition: `latency` is not negative.
  void RecordStatement(ReplyCode code, Duration latency);
  // Logs that the pace of an instance begins to be limited, with the reason, or
  // is no longer limited, and counts the instances of which it is.
  void LogPaceChange(const GroupName& group,
                     const InstanceName& instance,
                     std::optional<PaceReason> reason);

  // Counts a statement that was refused as not run, by the reason.
  void CountRefused(const std::string& reason);
  // Counts a statement whose session ended before its answer, by the reason of
  // the end.
  void CountUnanswered(const std::string& reason);
  // Counts a client that presented no valid API key.
  void CountUnauthorized();
  // Counts a configuration that is not valid and was left out.
  void CountRefusedConfiguration();
  // Counts a return of the store from an older copy.
  void CountStoreRestored();
  // Counts an acknowledged commit that a later primary lacks or, if that is not
  // `proven`, may lack.
  void CountMissingCommit(bool proven);
  // Returns the counters of rate limits, which are valid as long as the
  // registry.
  LimitSeries FindLimitSeries();

 private:
  // The metric series of one outcome, cached to avoid a look-up for each
  // statement.
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
