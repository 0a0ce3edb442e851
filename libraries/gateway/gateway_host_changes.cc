#include <algorithm>
#include <utility>

#include "gateway/gateway_host.h"
#include "gateway/random_delay.h"

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr uint64_t kTicksBetweenRecords = 10;
// Proxies that see the same reason start one after the other within this time.
constexpr Duration kStartSpread = 150ms;
constexpr Duration kRetryAfterOther = 1s;
constexpr Duration kRetryAfterFailure = 300ms;
// A promotion that the registry does not show yet looks like a missing primary.
constexpr Duration kMissingPrimaryTime = 500ms;
// A new primary is not replaced sooner, so that proxies that see different
// parts of the network do not replace each other's choice.
constexpr Duration kShortestLead = 3s;
// Between two changes that only make room for reads, so that a group whose
// instances are all slow is not changed over and over.
constexpr Duration kLagSwitchoverInterval = 10s;
constexpr Duration kLagSwitchoverRetry = 1s;
// An instance that was lost may return with its log during the change, where it
// would neither be paused nor asked for its position.
constexpr Duration kReturnTime = 30s;
// Proxies that do not hold a group's connections leave it to the holders to
// change its primary, unless these do nothing for this long; they then start
// one after the other.
constexpr Duration kObserverPatience = 1'200ms;
constexpr Duration kObserverSpread = 2s;

}  // namespace

std::optional<GatewayHost::ChangeReason> GatewayHost::FindReason(
    const GroupName& group) const {
  if (m_directory.All(group).empty())
    return std::nullopt;
  const BackendServer* primary = m_directory.Primary(group);
  if (!primary)
    return ChangeReason{PrimaryChange::Kind::kFailure, "no_primary",
                        kMissingPrimaryTime};
  if (primary->draining)
    return ChangeReason{PrimaryChange::Kind::kPlanned, "draining", {}};
  if (const auto suspicion =
          m_context.failure_detector.Check(primary->id, m_ports.timers.now()))
    return ChangeReason{
        PrimaryChange::Kind::kFailure, std::string(ToString(*suspicion)), {}};
  if (LagSwitchoverNeeded(group, *primary))
    return ChangeReason{
        PrimaryChange::Kind::kLagSwitchover, "replicas_behind", {}};
  return std::nullopt;
}

bool GatewayHost::LagSwitchoverNeeded(const GroupName& group,
                                      const BackendServer& primary) const {
  const TimePoint now = m_ports.timers.now();
  const auto state = m_groups.find(group);
  if (state != m_groups.end() && now < state->second.next_lag_switchover)
    return false;
  const auto last_loss = m_context.last_member_loss.find(group);
  if (last_loss != m_context.last_member_loss.end() &&
      now < last_loss->second + kReturnTime)
    return false;
  std::vector<InstanceName> replicas;
  for (const BackendServer* server : m_directory.NonDraining(group)) {
    if (server->id != primary.id)
      replicas.push_back(server->id);
  }
  return m_context.lag_monitor.LagSwitchoverNeeded(group, replicas, now);
}

void GatewayHost::NotePrimary(const GroupName& group, GroupState& state) {
  const BackendServer* primary = m_directory.Primary(group);
  if (!primary || primary->id == state.primary)
    return;
  // What was seen of it in another role says nothing of it as a primary.
  m_context.failure_detector.Forget(primary->id);
  m_context.lag_monitor.Forget(primary->id);
  if (!state.primary.empty()) {
    state.primary_since = m_ports.timers.now();
    state.next_lag_switchover = state.primary_since + kLagSwitchoverInterval;
  }
  state.primary = primary->id;
}

void GatewayHost::RecordMembers(const GroupName& group) {
  if (!m_servers_sync.store_reachable())
    return;
  const auto last_loss = m_context.last_member_loss.find(group);
  // A position of an earlier primary says nothing of the present one's term.
  const TimePoint since = std::max(last_loss == m_context.last_member_loss.end()
                                       ? m_context.started
                                       : last_loss->second,
                                   m_groups[group].primary_since);
  const auto required = m_context.positions[group].PositionCovering(since);
  if (!required)
    return;
  const BackendServer* primary = m_directory.Primary(group);
  GroupMembers members;
  members.primary = primary->id;
  members.term = required->term;
  bool covered = false;
  for (const BackendServer* server : m_directory.All(group)) {
    members.incarnations[server->id] = server->incarnation;
    const auto progress = m_context.progress.find(server->id);
    covered =
        covered ||
        (server->id != primary->id && progress != m_context.progress.end() &&
         progress->second.applied.value_or(CommitPosition{}) >= *required);
  }
  if (covered)
    m_member_records.StoreIfChanged(group, members);
}

void GatewayHost::CheckGroup(const GroupName& group) {
  GroupState& state = m_groups[group];
  const TimePoint now = m_ports.timers.now();
  NotePrimary(group, state);
  const auto reason = FindReason(group);
  if (!reason) {
    state.reason_since.reset();
    if (m_ticks % kTicksBetweenRecords == 0)
      RecordMembers(group);
    return;
  }
  if (!state.reason_since) {
    state.reason_since = now;
    state.next_change = std::max(
        {state.next_change, state.primary_since + kShortestLead,
         now + reason->min_duration + RandomDelay(m_random, {}, kStartSpread) +
             NonHolderDelay(group)});
  }
  if (state.change || now < state.next_change)
    return;
  StartChange(group, *reason);
}

void GatewayHost::StartChange(const GroupName& group,
                              const ChangeReason& reason) {
  const BackendServer* primary = m_directory.Primary(group);
  PrimaryChange::Options options;
  options.group = group;
  options.kind = reason.kind;
  options.reason = reason.text;
  if (primary)
    options.old_primary = primary->id;
  options.claimant = m_options.name;
  options.attempt = m_options.name.value() + "-" +
                    std::to_string(m_options.seed) + "-" +
                    std::to_string(++m_attempts);
  GroupState& state = m_groups[group];
  state.next_lag_switchover = m_ports.timers.now() + kLagSwitchoverRetry;
  state.change = PrimaryChange::Create(
      m_context,
      {m_ports.store, m_ports.promote, m_ports.open, m_ports.read_status},
      std::move(options), [this, group](PrimaryChange::Outcome outcome) {
        ChangeEnded(group, outcome);
      });
  state.change->Start();
}

void GatewayHost::ChangeEnded(const GroupName& group,
                              PrimaryChange::Outcome outcome) {
  GroupState& state = m_groups[group];
  const bool other = outcome == PrimaryChange::Outcome::kClaimedByOther;
  state.next_change = m_ports.timers.now() +
                      (other ? kRetryAfterOther : kRetryAfterFailure) +
                      RandomDelay(m_random, {}, kStartSpread);
  state.reason_since.reset();
  if (outcome == PrimaryChange::Outcome::kNotNeeded) {
    if (const BackendServer* primary = m_directory.Primary(group))
      m_context.failure_detector.Forget(primary->id);
  }
  // The change may still be on the stack.
  m_ports.timers.After(Duration(0),
                       [this, group] { m_groups[group].change.reset(); });
}

Duration GatewayHost::NonHolderDelay(const GroupName& group) {
  const size_t connections = m_context.ConnectionsOf(group);
  if (m_peers.Holds(group, connections))
    return Duration(0);
  return kObserverPatience + RandomDelay(m_random, {}, kObserverSpread);
}

}  // namespace jackdawturn::gateway
