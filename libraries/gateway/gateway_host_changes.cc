#include <algorithm>
#include <utility>

#include "gateway/gateway_host.h"
#include "gateway/random_delay.h"

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr uint64_t kTicksBetweenRecords = 10;
// Proxies that observe the same reason start at random times within this
// interval.
constexpr Duration kStartSpread = 150ms;
constexpr Duration kRetryAfterOtherClaim = 1s;
constexpr Duration kRetryAfterFailure = 300ms;
// A promotion that the store does not list yet looks like a missing primary.
constexpr Duration kMissingPrimaryMinDuration = 500ms;
// Minimum time between two primary changes of a group, so that proxies with
// different views of the network do not replace each other's choice.
constexpr Duration kMinPrimaryTime = 3s;
// Minimum time from any primary change to a lag switchover, so that a group
// whose instances are all slow does not change its primary repeatedly.
constexpr Duration kLagSwitchoverInterval = 10s;
constexpr Duration kLagSwitchoverRetry = 1s;
// A lost instance may return with its log during a change, which would neither
// pause it nor read its position; no lag switchover starts within this time
// after a loss.
constexpr Duration kMemberReturnTime = 30s;
// Proxies that do not hold a group's connections leave primary changes to the
// holders. They start one only if no holder has done so within this time, at
// random times within the spread.
constexpr Duration kNonHolderWait = 1'200ms;
constexpr Duration kNonHolderSpread = 2s;

}  // namespace

std::optional<GatewayHost::ChangeReason> GatewayHost::FindReason(
    const GroupName& group) const {
  if (m_directory.All(group).empty())
    return std::nullopt;
  const BackendServer* primary = m_directory.Primary(group);
  if (!primary)
    return ChangeReason{PrimaryChange::Kind::kFailure, "no_primary",
                        kMissingPrimaryMinDuration};
  if (primary->draining)
    return ChangeReason{PrimaryChange::Kind::kPlanned, "draining", {}};
  if (const auto suspicion =
          m_context.failure_detector.Check(primary->id, m_ports.timers.now()))
    return ChangeReason{
        PrimaryChange::Kind::kFailure, std::string(ToString(*suspicion)), {}};
  // A switchover uses a newer token, so that the platform refuses what was
  // requested under the abandoned claim.
  if (m_context.changes.Abandoned(group, m_ports.timers.now()))
    return ChangeReason{
        PrimaryChange::Kind::kPlanned, PrimaryChange::kAbandonedChange, {}};
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
      now < last_loss->second + kMemberReturnTime)
    return false;
  std::vector<InstanceName> replicas;
  for (const BackendServer* server : m_directory.NonDraining(group)) {
    if (server->id != primary.id)
      replicas.push_back(server->id);
  }
  return m_context.lag_monitor.LagSwitchoverNeeded(group, replicas, now);
}

void GatewayHost::UpdatePrimary(const GroupName& group, GroupState& state) {
  const BackendServer* primary = m_directory.Primary(group);
  if (!primary || primary->id == state.primary)
    return;
  // Observations from before the promotion do not apply to its new role.
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
  // A position observed under an earlier primary does not have the term of the
  // current one.
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
  members.era = m_ports.store.era().current();
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
  UpdatePrimary(group, state);
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
        {state.next_change, state.primary_since + kMinPrimaryTime,
         now + reason->min_duration + RandomDelay(m_random, {}, kStartSpread) +
             NonHolderDelay(group)});
  }
  if (state.change || now < state.next_change ||
      m_context.changes.Claimed(group, now))
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
      {m_ports.store, m_ports.promote, m_ports.open, m_ports.read_status,
       [this](std::function<void(Result<void>)> on_refreshed) {
         m_servers_sync.Refresh(std::move(on_refreshed));
       },
       m_ports.announce},
      std::move(options), [this, group](PrimaryChange::Outcome outcome) {
        ChangeEnded(group, outcome);
      });
  state.change->Start();
}

void GatewayHost::ChangeEnded(const GroupName& group,
                              PrimaryChange::Outcome outcome) {
  GroupState& state = m_groups[group];
  const bool claimed_by_other =
      outcome == PrimaryChange::Outcome::kClaimedByOther;
  state.next_change =
      m_ports.timers.now() +
      (claimed_by_other ? kRetryAfterOtherClaim : kRetryAfterFailure) +
      RandomDelay(m_random, {}, kStartSpread);
  state.reason_since.reset();
  if (outcome == PrimaryChange::Outcome::kNotNeeded) {
    if (const BackendServer* primary = m_directory.Primary(group))
      m_context.failure_detector.Forget(primary->id);
  }
  // Deferred, because this is called from a method of the change.
  m_ports.timers.After(Duration(0),
                       [this, group] { m_groups[group].change.reset(); });
}

Duration GatewayHost::NonHolderDelay(const GroupName& group) {
  const size_t connections = m_context.ConnectionsOf(group);
  if (m_peers.Holds(group, connections))
    return Duration(0);
  return kNonHolderWait + RandomDelay(m_random, {}, kNonHolderSpread);
}

}  // namespace jackdawturn::gateway
