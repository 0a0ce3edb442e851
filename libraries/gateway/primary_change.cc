#include "gateway/primary_change.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using CommandKind = BackendCommand::Kind;

constexpr Duration kPromoteTimeout = 1'500ms;
constexpr unsigned kMaxPromoteCalls = 4;
// Interval at which the candidate's status is polled.
constexpr Duration kPollInterval = 30ms;
constexpr Duration kCatchUpTimeout = 800ms;
constexpr Duration kPromotedStatusTimeout = 3s;
// Longer than a promotion takes from its acceptance to its effect.
constexpr Duration kPromotionTime = 1s;
// Time after the claim until which replicas are resumed; later, the next
// claimant may have paused them.
constexpr Duration kResumeTimeLimit = 3s;

}  // namespace

std::optional<InstanceName> ChooseNewPrimary(
    const std::vector<PromotionCandidate>& replicas) {
  const auto rank = [](const PromotionCandidate& member) {
    return std::make_tuple(member.status.received, !member.draining,
                           member.same_zone);
  };
  const auto best = std::max_element(
      replicas.begin(), replicas.end(),
      [&](const PromotionCandidate& left, const PromotionCandidate& right) {
        return rank(left) < rank(right);
      });
  if (best == replicas.end())
    return std::nullopt;
  return best->id;
}

std::shared_ptr<PrimaryChange> PrimaryChange::Create(GatewayContext& context,
                                                     Ports ports,
                                                     Options options,
                                                     OnEnd on_end) {
  return std::shared_ptr<PrimaryChange>(new PrimaryChange(
      context, std::move(ports), std::move(options), std::move(on_end)));
}

PrimaryChange::PrimaryChange(GatewayContext& context,
                             Ports ports,
                             Options options,
                             OnEnd on_end)
    : m_context(context),
      m_ports(std::move(ports)),
      m_options(std::move(options)),
      m_on_end(std::move(on_end)),
      m_kind(m_options.kind) {}

void PrimaryChange::Start() {
  Log("suspect", {{"reason", m_options.reason}});
  ProbeMembers();
}

const PrimaryChange::Member* PrimaryChange::CurrentPrimary() const {
  const Member* newest = nullptr;
  const auto rank = [](const Member& member) {
    return std::make_tuple(member.status->term,
                           member.status->role == ReplicationRole::kPrimary);
  };
  for (const auto& [id, member] : m_members) {
    if (member.status && (!newest || rank(member) > rank(*newest)))
      newest = &member;
  }
  // A primary whose term is older than that of a replica was replaced.
  if (!newest || newest->status->role != ReplicationRole::kPrimary)
    return nullptr;
  return newest;
}

bool PrimaryChange::DetectNewPrimary() {
  const Member* primary = CurrentPrimary();
  if (!primary || is_old_primary(*primary))
    return false;
  m_context.directory.MarkPromoted(m_options.group, primary->server.id);
  return true;
}

bool PrimaryChange::OldPrimaryReachable() const {
  const auto old_primary = m_members.find(m_options.old_primary);
  if (old_primary == m_members.end() || !old_primary->second.reachable)
    return false;
  const auto& status = old_primary->second.status;
  return !status || status->role == ReplicationRole::kPrimary;
}

bool PrimaryChange::ReplicasAnswered() const {
  return std::all_of(
      m_members.begin(), m_members.end(), [&](const auto& entry) {
        return is_old_primary(entry.second) || entry.second.status;
      });
}

void PrimaryChange::Probed() {
  const bool stalled = m_options.reason == ToString(SuspicionReason::kStalled);
  if (DetectNewPrimary())
    return End(Outcome::kNotNeeded, "another instance is primary");
  const Member* primary = CurrentPrimary();
  // A primary at its connection limit, or whose reply was lost, is not
  // replaced.
  if (m_kind == Kind::kFailure && !stalled &&
      (primary || OldPrimaryReachable()))
    return End(Outcome::kNotNeeded, "the primary is reachable");
  if (!primary && m_kind == Kind::kLagSwitchover)
    return End(Outcome::kFailed,
               "the primary did not answer the status request");
  // A primary that does not respond cannot send the new primary the commits
  // that it lacks.
  if (!primary)
    m_kind = Kind::kFailure;
  if (!ReplicasAnswered())
    return End(Outcome::kNotPossible, "a replica does not answer");
  if (!InstancesKnown())
    return End(Outcome::kNotPossible, kInstancesUnknown);
  if (Replicas().empty())
    return End(Outcome::kNotPossible, "the group has no replica");
  if (old_primary_serves() && !ChooseSuccessor())
    return End(Outcome::kNotPossible, "every replica is leaving");
  ReadClaim();
}

void PrimaryChange::Claimed(const StoredRecord& claim) {
  const uint64_t revision = claim.revision;
  m_token = revision;
  if (const auto record = DecodePrimaryChange(claim.body))
    m_context.changes.Observe(m_options.group, revision, record.value(),
                              m_context.timers.now());
  Log("claim",
      {{"token", std::to_string(revision)}, {"reason", m_options.reason}});
  if (RevisionEra(revision) > m_claim_era) {
    // The claim may have replaced another record than the one that was read.
    m_replaces_unresolved = true;
    Release();
    return End(Outcome::kFailed, "the store was restored during the claim");
  }
  RefreshInstances();
  AnnounceClaim({m_options.group, revision, ClaimRecord()});
  CommandAll(RespondingMembers(), CommandKind::kStatus,
             [this] { ReprobedAfterClaim(); });
}

void PrimaryChange::ReprobedAfterClaim() {
  LogStatuses("status");
  if (DetectNewPrimary()) {
    Release();
    return End(Outcome::kNotNeeded,
               "another instance was promoted by an earlier change");
  }
  if (!ReplicasAnswered()) {
    Release();
    return End(Outcome::kNotPossible,
               "a replica did not answer the status request after the claim");
  }
  PauseReplicas();
}

void PrimaryChange::LogStatuses(const std::string& step) const {
  for (const auto& [id, member] : m_members) {
    if (!member.status)
      continue;
    Log(step,
        {{"instance", id.value()},
         {"role", member.status->role == ReplicationRole::kPrimary ? "primary"
                                                                   : "replica"},
         {"term", std::to_string(member.status->term)},
         {"received", ToString(member.status->received)},
         {"paused_term", std::to_string(member.status->paused_term)}});
  }
}

void PrimaryChange::PauseReplicas() {
  if (!MembersUnchanged()) {
    Release();
    return End(Outcome::kFailed, kMembersChanged);
  }
  for (const auto& [id, member] : m_members) {
    if (member.status)
      m_pause_term = std::max(
          {m_pause_term, member.status->term, member.status->paused_term});
  }
  ++m_pause_term;
  std::vector<Member*> paused;
  for (auto& [id, member] : m_members) {
    if (!is_old_primary(member) && id != m_candidate)
      paused.push_back(&member);
  }
  for (Member* member : paused)
    member->paused = true;
  CommandAll(paused, CommandKind::kPause, [this] { Paused(); });
}

void PrimaryChange::Paused() {
  m_paused_at = m_context.timers.now();
  LogStatuses("paused");
  m_replicas_paused = true;
  ContinueWhenReady();
}

void PrimaryChange::ContinueWhenReady() {
  if (!m_replicas_paused || !m_refreshed || !m_announced)
    return;
  if (!*m_refreshed)
    return ResumeAndEnd(
        Outcome::kFailed,
        "the instances could not be listed: " + m_refreshed->error().message);
  for (const auto& [id, member] : m_members) {
    if (member.paused &&
        (!member.status || member.status->paused_term < m_pause_term)) {
      return ResumeAndEnd(Outcome::kFailed, "a replica could not be paused");
    }
  }
  if (!MembersUnchanged())
    return ResumeAndEnd(Outcome::kFailed, kMembersChanged);
  if (old_primary_serves()) {
    m_wait_until = m_context.timers.now() + kCatchUpTimeout;
    return AwaitCandidate();
  }
  m_candidate = *ChooseNewPrimary(Replicas());
  PromoteIfComplete();
}

bool PrimaryChange::CoversLostMembers() {
  const auto last_loss = m_context.last_member_loss.find(m_options.group);
  const TimePoint since = last_loss == m_context.last_member_loss.end()
                              ? m_context.started
                              : last_loss->second;
  const auto required =
      m_context.positions[m_options.group].PositionCovering(since);
  return required && Find(m_candidate)->status->received >= *required;
}

bool PrimaryChange::CoversAcknowledged() {
  const auto& candidate = Find(m_candidate)->status;
  const auto acknowledged = std::max(
      m_announced->acknowledged,
      m_context.acknowledged.NewestPassedOn(m_options.group, candidate->term));
  if (!acknowledged || candidate->received >= *acknowledged)
    return true;
  Log("candidate_lacks_commits", {{"instance", m_candidate.value()},
                                  {"received", ToString(candidate->received)},
                                  {"acknowledged", ToString(*acknowledged)}});
  return false;
}

void PrimaryChange::PromoteIfComplete() {
  // An instance that has returned is not paused, so the old primary could still
  // have commits acknowledged by it.
  if (!MembersUnchanged())
    return ResumeAndEnd(Outcome::kFailed, kMembersChanged);
  if (!CoversAcknowledged())
    return ResumeAndEnd(Outcome::kNotPossible, kMissingCommits);
  if (CoversLostMembers())
    return PreparePromotion();
  if (m_context.last_member_loss.contains(m_options.group))
    return ResumeAndEnd(Outcome::kNotPossible, kMissingCommits);
  ReadMembers();
}

void PrimaryChange::AwaitCandidate() {
  Member& candidate = *Find(m_candidate);
  Command(candidate, CommandKind::kStatus, [this](bool answered) {
    if (answered && Find(m_candidate)->status->received >= NewestReceived())
      return PromoteIfComplete();
    if (!answered || m_context.timers.now() >= m_wait_until) {
      return ResumeAndEnd(
          Outcome::kFailed,
          "the candidate has not caught up with the paused replicas");
    }
    m_context.timers.After(
        kPollInterval, [self = shared_from_this()] { self->AwaitCandidate(); });
  });
}

void PrimaryChange::Promote() {
  if (m_context.timers.now() >= m_claimed_at + kPromotionTimeLimit) {
    constexpr const char* kOvertaken = "the claim may have been overtaken";
    // An earlier call may still take effect; the replicas stay paused then.
    if (m_promotion_unanswered)
      return End(Outcome::kFailed, kOvertaken);
    return ResumeAndEnd(Outcome::kFailed, kOvertaken);
  }
  ++m_promote_calls;
  m_promoted_received = Find(m_candidate)->status->received;
  Log("promote",
      {{"instance", m_candidate.value()},
       {"token", std::to_string(m_token)},
       {"received",
        std::to_string(Find(m_candidate)->status->received.number)}});
  m_ports.promote(m_options.group, m_candidate, m_token, kPromoteTimeout,
                  [self = shared_from_this()](auto result) {
                    self->PromoteAnswered(std::move(result));
                  });
}

void PrimaryChange::PromoteAnswered(Result<void> result) {
  if (result) {
    m_promoted = m_candidate;
    if (m_replaces_unresolved)
      m_settled_at = m_context.timers.now() + kPromotionTime;
    m_wait_until = m_context.timers.now() + kPromotedStatusTimeout;
    return AwaitPromotion();
  }
  Log("promote_failed", {{"error", result.error().message}});
  if (result.error().code == ErrorCode::kTimeout)
    m_promotion_unanswered = true;
  if (result.error().code == ErrorCode::kConflict) {
    // Another proxy has used a newer token, or the instance is not running. An
    // earlier call with unknown outcome may still take effect; the replicas are
    // not resumed in that case.
    if (!m_promotion_unanswered)
      return ResumeAndEnd(Outcome::kFailed, result.error().message);
    return End(Outcome::kFailed, result.error().message);
  }
  if (m_promote_calls < kMaxPromoteCalls)
    return ConfirmClaim();
  if (!m_promotion_unanswered)
    return ResumeAndEnd(Outcome::kFailed, "the promotion was refused");
  End(Outcome::kFailed,
      "promotion calls failed or were not answered; outcome unknown");
}

void PrimaryChange::AwaitPromotion() {
  Member& candidate = *Find(m_candidate);
  Command(candidate, CommandKind::kStatus, [this](bool answered) {
    const auto& status = Find(m_candidate)->status;
    if (answered && status->role == ReplicationRole::kPrimary) {
      m_context.directory.MarkPromoted(m_options.group, m_candidate);
      m_context.failure_detector.Forget(m_candidate);
      m_promoted_term = status->term;
      if (m_context.timers.now() < m_settled_at)
        return AwaitSettlement();
      // Replicas that the promotion has not resumed would continue to lag.
      return ResumeAndEnd(Outcome::kPromoted, "");
    }
    if (m_context.timers.now() >= m_wait_until) {
      // An older promotion may have taken effect after this one.
      if (m_replaces_unresolved)
        m_promoted = InstanceName();
      Release();
      return End(Outcome::kFailed,
                 "the promoted instance does not report itself primary");
    }
    m_context.timers.After(
        kPollInterval, [self = shared_from_this()] { self->AwaitPromotion(); });
  });
}

void PrimaryChange::AwaitSettlement() {
  m_context.timers.After(
      m_settled_at - m_context.timers.now(),
      [self = shared_from_this()] { self->AwaitPromotion(); });
}

void PrimaryChange::ResumeAndEnd(Outcome outcome, const std::string& why) {
  if (m_context.timers.now() >= m_claimed_at + kResumeTimeLimit ||
      claim_outdated()) {
    Log("not_resumed", {});
    Release();
    return End(outcome, why);
  }
  std::vector<Member*> paused;
  for (auto& [id, member] : m_members) {
    if (member.paused)
      paused.push_back(&member);
  }
  CommandAll(paused, CommandKind::kResume,
             [self = shared_from_this(), outcome, why] {
               self->Release();
               self->End(outcome, why);
             });
}

void PrimaryChange::End(Outcome outcome, const std::string& why) {
  Log(outcome == Outcome::kPromoted ? "promoted" : "ended", {{"why", why}});
  ReturnConnections();
  if (const OnEnd on_end = std::exchange(m_on_end, nullptr))
    on_end(outcome);
}

std::vector<PromotionCandidate> PrimaryChange::Replicas() const {
  std::vector<PromotionCandidate> replicas;
  for (const auto& [id, member] : m_members) {
    if (is_old_primary(member) || !member.status)
      continue;
    replicas.push_back({id, member.server.draining,
                        member.server.zone == m_context.zone, *member.status});
  }
  return replicas;
}

PrimaryChange::Member* PrimaryChange::Find(const InstanceName& id) {
  const auto found = m_members.find(id);
  VERIFY(found != m_members.end());
  return &found->second;
}

void PrimaryChange::Log(const std::string& step,
                        GatewayLog::Fields fields) const {
  fields["attempt"] = m_options.attempt;
  m_context.log.LogStateChange(EventKind::kFailover, m_options.group, step,
                               m_options.old_primary.value(),
                               std::move(fields));
}

}  // namespace jackdawturn::gateway
