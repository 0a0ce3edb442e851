#include "observe/proxy_metrics.h"

#include <utility>

namespace jackdawturn {

namespace {

constexpr std::array<const char*, 4> kOutcomes = {"done", "not_run", "unknown",
                                                  "invalid"};
constexpr std::array<const char*, 2> kRoles = {"primary", "replica"};
constexpr std::array<const char*, 2> kDirections = {"sent", "received"};

// Reads of all classes, by role. The share of replicas is derived from them.
MetricCounter& AllReads(MetricRegistry& registry, size_t role) {
  return registry.FindCounter("jackdawturn_served_reads_total",
                              "Reads served, by the role of the instance.",
                              {{"role", kRoles[role]}});
}

}  // namespace

ClassMetrics::ClassMetrics(MetricRegistry& registry,
                           const ClassName& class_name)
    : m_latency(&registry.FindLatency(
          "jackdawturn_request_seconds",
          "Time from the arrival of a request to its answer.",
          {{"class", class_name.value()}})) {
  for (size_t index = 0; index < kOutcomes.size(); ++index)
    m_requests[index] = &registry.FindCounter(
        "jackdawturn_requests_total", "Requests by class and outcome.",
        {{"class", class_name.value()}, {"outcome", kOutcomes[index]}});
  for (size_t index = 0; index < kRoles.size(); ++index) {
    m_reads[index] = &registry.FindCounter(
        "jackdawturn_reads_total",
        "Reads by class and by the role of the instance that served them.",
        {{"class", class_name.value()}, {"role", kRoles[index]}});
    m_all_reads[index] = &AllReads(registry, index);
  }
}

void ClassMetrics::CountRequest(CountedOutcome outcome, Duration latency) {
  m_requests[static_cast<size_t>(outcome)]->Add();
  m_latency->Record(latency);
}

void ClassMetrics::CountRead(ReadRole role) {
  m_reads[static_cast<size_t>(role)]->Add();
  m_all_reads[static_cast<size_t>(role)]->Add();
}

ProxyMetrics::ProxyMetrics(MetricRegistry& registry)
    : m_registry(registry),
      m_caller_connections(
          &registry.FindGauge("jackdawturn_caller_connections",
                              "Open connections of callers.")) {
  for (size_t index = 0; index < kDirections.size(); ++index) {
    const MetricLabels labels = {{"direction", kDirections[index]}};
    m_control_bytes[index] = &registry.FindCounter(
        "jackdawturn_control_bytes_total",
        "Bytes of control messages between proxies.", labels);
    m_control_messages[index] =
        &registry.FindCounter("jackdawturn_control_messages_total",
                              "Control messages between proxies.", labels);
  }
  constexpr std::array<const char*, 4> kRelayCounts = {"sent", "answered",
                                                       "lost", "not_sent"};
  for (size_t index = 0; index < kRelayCounts.size(); ++index)
    m_relays[index] =
        &registry.FindCounter("jackdawturn_relayed_requests_total",
                              "Requests that proxies relay to each other.",
                              {{"event", kRelayCounts[index]}});
  const MetricCounter* primary = &AllReads(registry, 0);
  const MetricCounter* replica = &AllReads(registry, 1);
  registry.AddGaugeFunction(
      "jackdawturn_replica_read_share",
      "Share of all served reads that a replica served, from 0 to 1.", {},
      [primary, replica] {
        const auto from_replicas = static_cast<double>(replica->value());
        // 0 / 0 is NaN, which stands for "no reads yet".
        return from_replicas /
               (from_replicas + static_cast<double>(primary->value()));
      });
}

ClassMetrics& ProxyMetrics::ForClass(const ClassName& class_name) {
  std::lock_guard lock(m_mutex);
  const bool full = m_classes.size() >= kMaxClasses;
  const ClassName counted =
      full && !m_classes.contains(class_name) ? ClassName("other") : class_name;
  std::unique_ptr<ClassMetrics>& metrics = m_classes[counted];
  if (!metrics)
    metrics = std::make_unique<ClassMetrics>(m_registry, counted);
  return *metrics;
}

void ProxyMetrics::SetQueueDepth(const InstanceName& instance, size_t depth) {
  m_registry
      .FindGauge("jackdawturn_queue_depth",
                 "Requests that wait for a slot of the instance.",
                 {{"backend_instance", instance.value()}})
      .Set(static_cast<double>(depth));
}

void ProxyMetrics::SetConnections(const InstanceName& instance, size_t open) {
  m_registry
      .FindGauge("jackdawturn_connections", "Open connections to the instance.",
                 {{"backend_instance", instance.value()}})
      .Set(static_cast<double>(open));
}

void ProxyMetrics::SetCallerConnections(size_t open) {
  m_caller_connections->Set(static_cast<double>(open));
}

void ProxyMetrics::AddRing(const std::string& ring,
                           std::function<size_t()> depth,
                           std::function<uint64_t()> refused) {
  m_registry.AddGaugeFunction(
      "jackdawturn_ring_depth", "Items in the ring that leads to a thread.",
      {{"ring", ring}},
      [depth = std::move(depth)] { return static_cast<double>(depth()); });
  m_registry.AddGaugeFunction("jackdawturn_ring_refused",
                              "Items refused because the ring was full.",
                              {{"ring", ring}}, [refused = std::move(refused)] {
                                return static_cast<double>(refused());
                              });
}

void ProxyMetrics::CountControlMessage(ControlDirection direction,
                                       size_t bytes) {
  m_control_messages[static_cast<size_t>(direction)]->Add();
  m_control_bytes[static_cast<size_t>(direction)]->Add(bytes);
}

void ProxyMetrics::CountRelay(RelayCount count) {
  m_relays[static_cast<size_t>(count)]->Add();
}

void ProxyMetrics::CountPlatformCall(const std::string& operation) {
  m_registry
      .FindCounter("jackdawturn_platform_calls_total",
                   "Calls to the platform's object API.",
                   {{"operation", operation}})
      .Add();
}

void ProxyMetrics::AddTimeline(std::function<uint64_t()> overwritten) {
  m_registry.AddGaugeFunction("jackdawturn_timeline_overwritten",
                              "Events of the time line that were overwritten.",
                              {}, [overwritten = std::move(overwritten)] {
                                return static_cast<double>(overwritten());
                              });
}

void ProxyMetrics::AddLog(
    const std::function<EventLogQueue::Dropped()>& dropped) {
  const std::string name = "jackdawturn_log_dropped";
  const std::string help = "Events that were dropped from the log.";
  m_registry.AddGaugeFunction(
      name, help, {{"importance", "routine"}},
      [dropped] { return static_cast<double>(dropped().routine); });
  m_registry.AddGaugeFunction(
      name, help, {{"importance", "failure"}},
      [dropped] { return static_cast<double>(dropped().failures); });
}

}  // namespace jackdawturn
