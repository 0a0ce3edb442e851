#include "routing/replica_freshness.h"

#include <algorithm>

namespace jackdawturn::routing {

namespace {

// A replica that is later than forecast is expected after its lag divided by
// this.
constexpr int kLateLagDivisor = 4;
constexpr Duration kMinForecast{2'000};
// The lag estimate follows an increase immediately. With each report it falls
// by the difference to the new sample divided by this.
constexpr int kLagDecayDivisor = 10;

}  // namespace

ReplicaFreshness::ReplicaFreshness(FreshnessOptions options)
    : m_options(options), m_observations(options.observations) {}

void ReplicaFreshness::SetTerm(Term term,
                               const InstanceName& primary,
                               size_t instance_count) {
  m_instance_count = instance_count;
  if (term != m_term) {
    m_term = term;
    m_primary = primary;
    m_observations.clear();
    m_replicas.clear();
    m_term_confirmed_at.reset();
  } else if (!primary.empty()) {
    m_primary = primary;
  }
}

void ReplicaFreshness::Report(const InstanceName& instance,
                              const InstanceReport& report,
                              TimePoint asked_at) {
  if (instance == m_primary)
    ReportPrimary(report, asked_at);
  else
    ReportReplica(m_replicas[instance], report, asked_at);
}

void ReplicaFreshness::Remove(const InstanceName& instance) {
  m_replicas.erase(instance);
}

void ReplicaFreshness::ReportPrimary(const InstanceReport& report,
                                     TimePoint asked_at) {
  if (!report.primary || report.accepted_term != m_term ||
      report.log_term != m_term)
    return;
  if (!m_observations.empty() && asked_at < m_observations.back().asked_at)
    return;
  Observation observation{asked_at, report.position, asked_at};
  // An older observation with the same or a higher position gives no better
  // bound than the new one.
  while (!m_observations.empty() &&
         m_observations.back().position >= report.position) {
    observation.first_seen =
        std::min(observation.first_seen, m_observations.back().first_seen);
    m_observations.pop_back();
  }
  ThinObservations();
  m_observations.push_back(observation);
  for (auto& [name, replica] : m_replicas)
    UpdateBound(replica);
}

void ReplicaFreshness::ThinObservations() {
  if (!m_observations.full())
    return;
  // Drops every second observation instead of the oldest ones, so that a
  // replica that lags far keeps a bound.
  size_t kept = 0;
  for (size_t index = 0; index < m_observations.size(); index += 2)
    m_observations[kept++] = m_observations[index];
  m_observations.resize(kept);
}

void ReplicaFreshness::ReportReplica(Replica& replica,
                                     const InstanceReport& report,
                                     TimePoint asked_at) {
  if (report.accepted_term == m_term) {
    replica.unfenced_at =
        std::max(replica.unfenced_at.value_or(asked_at), asked_at);
    m_term_confirmed_at =
        std::max(m_term_confirmed_at.value_or(asked_at), asked_at);
  }
  if (report.log_term == m_term) {
    UpdateLag(replica, asked_at, report.position);
    replica.position =
        std::max(replica.position.value_or(report.position), report.position);
  }
  UpdateBound(replica);
}

void ReplicaFreshness::UpdateBound(Replica& replica) {
  if (!replica.position || !replica.unfenced_at)
    return;
  const auto covered =
      FindCoveredUntil(*replica.position, *replica.unfenced_at);
  if (!covered || (replica.covered_until && *covered <= *replica.covered_until))
    return;
  replica.covered_until = covered;
  replica.covered_position = *replica.position;
}

void ReplicaFreshness::UpdateLag(Replica& replica,
                                 TimePoint asked_at,
                                 LogPosition position) {
  const auto ahead =
      std::upper_bound(m_observations.begin(), m_observations.end(), position,
                       [](LogPosition value, const Observation& o) {
                         return value < o.position;
                       });
  Duration sample{0};
  if (ahead != m_observations.end())
    sample = std::max(sample, asked_at - ahead->first_seen);
  if (sample >= replica.lag)
    replica.lag = sample;
  else
    replica.lag -= (replica.lag - sample) / kLagDecayDivisor;
}

std::optional<TimePoint> ReplicaFreshness::FindCoveredUntil(
    LogPosition position,
    TimePoint until) const {
  // Times and positions both increase, so the last match is the best bound.
  const auto end = std::partition_point(
      m_observations.begin(), m_observations.end(), [&](const Observation& o) {
        return o.position <= position && o.asked_at <= until;
      });
  if (end == m_observations.begin())
    return std::nullopt;
  return std::prev(end)->asked_at;
}

std::optional<TimePoint> ReplicaFreshness::CoveredUntil(
    const InstanceName& replica,
    const TermPosition& held) const {
  const auto found = m_replicas.find(replica);
  if (held.term != m_term || found == m_replicas.end() ||
      !found->second.unfenced_at)
    return std::nullopt;
  auto covered = FindCoveredUntil(held.position, *found->second.unfenced_at);
  const Replica& known = found->second;
  if (known.covered_until && held.position >= known.covered_position &&
      (!covered || *covered < *known.covered_until))
    covered = known.covered_until;
  return covered;
}

std::optional<TimePoint> ReplicaFreshness::CoveredUntil(
    const InstanceName& instance) const {
  if (instance == m_primary)
    return m_instance_count == 1 ? TimePoint::max() : m_term_confirmed_at;
  const auto found = m_replicas.find(instance);
  if (found == m_replicas.end())
    return std::nullopt;
  return found->second.covered_until;
}

std::optional<TermPosition> ReplicaFreshness::LastReportedPosition(
    const InstanceName& instance) const {
  if (instance == m_primary && !m_observations.empty())
    return TermPosition{m_term, m_observations.back().position};
  const auto found = m_replicas.find(instance);
  if (found == m_replicas.end() || !found->second.position)
    return std::nullopt;
  return TermPosition{m_term, *found->second.position};
}

Duration ReplicaFreshness::Lag(const InstanceName& replica) const {
  const auto found = m_replicas.find(replica);
  return found == m_replicas.end() ? Duration(0) : found->second.lag;
}

TimePoint ReplicaFreshness::ExpectedAt(const InstanceName& replica,
                                       LogPosition position,
                                       TimePoint now) const {
  const auto found = m_replicas.find(replica);
  if (found == m_replicas.end() || !found->second.position)
    return TimePoint::max();
  const Replica& known = found->second;
  if (*known.position >= position)
    return now;
  const auto reached =
      std::lower_bound(m_observations.begin(), m_observations.end(), position,
                       [](const Observation& o, LogPosition value) {
                         return o.position < value;
                       });
  const TimePoint written =
      reached == m_observations.end() ? now : reached->first_seen;
  const TimePoint soonest =
      now + std::max(known.lag / kLateLagDivisor, kMinForecast);
  return std::max(written + known.lag, soonest);
}

}  // namespace jackdawturn::routing
