#include "gateway/gateway_log.h"

#include <utility>

namespace jackdawturn::gateway {

namespace {

// The clock receives no time stamps of other processes.
constexpr std::chrono::microseconds kNoSkew{0};

}  // namespace

GatewayLog::GatewayLog(EventLog* log, MetricRegistry& metrics, VmName vm)
    : m_log(log), m_metrics(metrics), m_vm(std::move(vm)), m_clock(kNoSkew) {}

void GatewayLog::LogRequestEvent(const RequestId& request,
                                 const GroupName& group,
                                 std::string step,
                                 std::string peer,
                                 Fields fields) {
  Write({.kind = EventKind::kRequest,
         .group = group,
         .request = request,
         .step = std::move(step),
         .peer = std::move(peer),
         .fields = std::move(fields)});
}

void GatewayLog::LogStateChange(EventKind kind,
                                const GroupName& group,
                                std::string step,
                                std::string peer,
                                Fields fields) {
  Write({.kind = kind,
         .group = group,
         .step = std::move(step),
         .peer = std::move(peer),
         .fields = std::move(fields)});
}

void GatewayLog::LogPaceChange(const GroupName& group,
                               const InstanceName& instance,
                               std::optional<PaceReason> reason) {
  MetricGauge& held_back = m_metrics.FindGauge(
      "jackdawturn_instances_held_back",
      "Instances that receive only as many statements as they are seen to "
      "bear.");
  held_back.Set(held_back.value() + (reason ? 1 : -1));
  LogStateChange(
      EventKind::kMembership, group, reason ? "held_back" : "not_held_back",
      instance.value(),
      reason ? Fields{{"reason", std::string(ToString(*reason))}} : Fields{});
}

void GatewayLog::RecordStatement(ReplyCode code, Duration latency) {
  StatementSeries& series = m_statements[code];
  if (!series.count) {
    const MetricLabels labels = {{"code", std::string(ToString(code))}};
    series.count = &m_metrics.FindCounter(
        "jackdawturn_statements_total",
        "Statements of clients by their outcome.", labels);
    series.latency = &m_metrics.FindLatency(
        "jackdawturn_statement_seconds",
        "From a statement's arrival to its answer.", labels);
  }
  series.count->Add();
  series.latency->Record(latency);
}

void GatewayLog::CountRefused(const std::string& reason) {
  m_metrics
      .FindCounter("jackdawturn_statements_refused_total",
                   "Statements that were refused as not run.",
                   {{"reason", reason}})
      .Add();
}

void GatewayLog::CountUnanswered(const std::string& reason) {
  m_metrics
      .FindCounter("jackdawturn_statements_unanswered_total",
                   "Statements whose session ended before their answer.",
                   {{"reason", reason}})
      .Add();
}

void GatewayLog::CountUnauthorized() {
  m_metrics
      .FindCounter("jackdawturn_clients_unauthorized_total",
                   "Clients that presented no valid API key.", {})
      .Add();
}

void GatewayLog::CountRefusedConfiguration() {
  m_metrics
      .FindCounter("jackdawturn_configurations_refused_total",
                   "Configurations that are not valid and were left out.", {})
      .Add();
}

void GatewayLog::CountStoreRestored() {
  m_metrics
      .FindCounter("jackdawturn_store_restored_total",
                   "Returns of the metadata store from an older copy.", {})
      .Add();
}

void GatewayLog::CountMissingCommit(bool proven) {
  m_metrics
      .FindCounter("jackdawturn_commits_missing_total",
                   "Reports of an acknowledged commit that a later primary "
                   "lacks or may lack.",
                   {{"proven", proven ? "yes" : "no"}})
      .Add();
}

LimitSeries GatewayLog::FindLimitSeries() {
  const auto operations = [this](const char* result) -> MetricCounter& {
    return m_metrics.FindCounter("jackdawturn_limited_operations_total",
                                 "Operations of customers with a rate limit.",
                                 {{"result", result}});
  };
  const auto permits = [this](const char* event) -> MetricCounter& {
    return m_metrics.FindCounter("jackdawturn_permits_total",
                                 "Permits for operations under a rate limit.",
                                 {{"event", event}});
  };
  return {.admitted = operations("admitted"),
          .refused = operations("refused"),
          .asked = permits("asked"),
          .granted = permits("granted"),
          .expired = permits("expired"),
          .borrowed = permits("borrowed"),
          .lent = permits("lent"),
          .unreachable = m_metrics.FindCounter(
              "jackdawturn_limit_questions_unanswered_total",
              "Questions about rate limits that a proxy did not answer.", {})};
}

void GatewayLog::Write(TimelineEvent event) {
  m_metrics
      .FindCounter(
          "jackdawturn_events_total", "Logged decisions.",
          {{"kind", std::string(ToString(event.kind))}, {"step", event.step}})
      .Add();
  if (!m_log)
    return;
  event.vm = m_vm;
  event.stamp = m_clock.Send(std::chrono::time_point_cast<ClockTime::duration>(
      std::chrono::system_clock::now()));
  m_log->Write(std::move(event));
}

}  // namespace jackdawturn::gateway
