#include "gateway/commit_confirmation.h"

#include <algorithm>
#include <utility>

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr Duration kCheckInterval = 10ms;

}  // namespace

CommitConfirmation::CommitConfirmation(GatewayContext& context,
                                       ReadStatusRow read_status)
    : m_context(context),
      m_status(context, read_status),
      m_replicas(context, std::move(read_status)),
      m_self(std::make_shared<CommitConfirmation*>(this)) {}

CommitConfirmation::~CommitConfirmation() {
  *m_self = nullptr;
}

void CommitConfirmation::Confirm(const GroupName& group,
                                 CommitPosition position,
                                 TimePoint deadline,
                                 OnDecision on_decision) {
  // Without a replica that must receive it, a commit is never certain to
  // survive.
  if (!m_context.CommitsReachReplicas(group) ||
      (m_context.HearsOfClaims() &&
       !m_context.ChangePending(group, position.term)))
    return on_decision(true);
  const auto commit = std::make_shared<Commit>();
  commit->group = group;
  commit->position = position;
  commit->deadline = deadline;
  commit->on_decision = std::move(on_decision);
  Check(commit);
}

bool CommitConfirmation::MayConfirm(const GroupName& group) {
  const auto found = m_unconfirmable.find(group);
  if (found == m_unconfirmable.end())
    return true;
  if (m_context.HearsOfClaims()) {
    m_unconfirmable.erase(found);
    return true;
  }
  if (!std::exchange(found->second, true))
    m_replicas.AskReplicas(
        group,
        [self = m_self, group](const ReplicaAnswers& answers, bool complete) {
          if (*self && complete)
            (*self)->NoteAnswers(group, answers);
          return false;
        });
  return false;
}

void CommitConfirmation::NoteAnswers(const GroupName& group,
                                     const ReplicaAnswers& answers) {
  const bool may_show =
      MayShowSurvival(answers, m_context.claims.heard_until());
  const bool changed = may_show ? m_unconfirmable.erase(group) > 0
                                : !m_unconfirmable.contains(group);
  if (!may_show)
    m_unconfirmable[group] = false;
  if (changed)
    m_context.log.LogStateChange(
        EventKind::kFailover, group,
        may_show ? "commits_confirmable" : "commits_unconfirmable", "", {});
}

void CommitConfirmation::Check(const CommitPtr& commit) {
  const TimePoint now = m_context.timers.now();
  const bool pending =
      m_context.ChangePending(commit->group, commit->position.term);
  if (!pending && !commit->attempt.empty())
    return Decide(commit, Survives(*commit));
  if (now >= commit->deadline)
    return Decide(commit, false);
  if (!pending)
    return AskReplicas(commit);
  const PrimaryChangeRecord& change =
      *m_context.changes.Pending(commit->group, now);
  commit->attempt = change.attempt;
  // While an earlier promotion may be carried out, the candidate may lose what
  // it has received.
  if (!change.ended && !change.candidate.empty() &&
      !m_context.changes.EarlierPending(commit->group, now))
    return AskCandidate(commit, change.candidate);
  CheckLater(commit);
}

void CommitConfirmation::CheckLater(const CommitPtr& commit) {
  const Duration left =
      std::max(commit->deadline - m_context.timers.now(), Duration(0));
  m_context.timers.After(std::min(kCheckInterval, left),
                         [self = m_self, commit] {
                           if (*self)
                             (*self)->Check(commit);
                         });
}

void CommitConfirmation::AskCandidate(const CommitPtr& commit,
                                      const InstanceName& candidate) {
  m_status.Request(candidate, [self = m_self, commit](const auto& answer) {
    if (!*self)
      return;
    // No other replica is promoted under this claim.
    if (answer && answer.value().status.role == ReplicationRole::kReplica &&
        answer.value().status.received.term == commit->position.term &&
        answer.value().status.received >= commit->position)
      return (*self)->Decide(commit, true);
    (*self)->CheckLater(commit);
  });
}

void CommitConfirmation::AskReplicas(const CommitPtr& commit) {
  m_replicas.AskReplicas(
      commit->group,
      [self = m_self, commit](const ReplicaAnswers& answers, bool complete) {
        return !*self || (*self)->ReplicasAnswered(commit, answers, complete);
      });
}

bool CommitConfirmation::ReplicasAnswered(const CommitPtr& commit,
                                          const ReplicaAnswers& answers,
                                          bool complete) {
  const bool survives = SurvivesUnknownClaim(answers, commit->position,
                                             m_context.claims.heard_until());
  if (complete || survives) {
    LogAnswers(*commit, answers, survives);
    NoteAnswers(commit->group, answers);
  }
  // A claim may have become known meanwhile.
  if (survives &&
      !m_context.ChangePending(commit->group, commit->position.term)) {
    Decide(commit, true);
    return true;
  }
  if (complete)
    CheckLater(commit);
  return false;
}

void CommitConfirmation::LogAnswers(const Commit& commit,
                                    const ReplicaAnswers& answers,
                                    bool survives) {
  const std::string text =
      DescribeAnswers(answers, commit.position, m_context.claims.heard_until());
  if (std::exchange(m_logged_answers[commit.group], text) == text)
    return;
  m_context.log.LogStateChange(EventKind::kFailover, commit.group,
                               "replicas_asked", "",
                               {{"position", ToString(commit.position)},
                                {"answers", text},
                                {"survives", survives ? "yes" : "no"}});
}

bool CommitConfirmation::Survives(const Commit& commit) const {
  const PrimaryChangeRecord* last = m_context.changes.Last(commit.group);
  if (!last || last->attempt != commit.attempt || !last->ended ||
      !last->names_promoted)
    return false;
  if (last->promoted.empty())
    return true;
  // The new primary itself has acknowledged the commit.
  if (last->promoted_term > 0 && commit.position.term >= last->promoted_term)
    return true;
  // With any other term, a promotion in between may have rolled back what the
  // new primary had received.
  return last->promoted_term == commit.position.term + 1 &&
         last->received.term == commit.position.term &&
         last->received >= commit.position;
}

void CommitConfirmation::Decide(const CommitPtr& commit, bool survives) {
  if (!std::exchange(commit->decided, true))
    commit->on_decision(survives);
}

}  // namespace jackdawturn::gateway
