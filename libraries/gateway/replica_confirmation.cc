#include "gateway/replica_confirmation.h"

#include <algorithm>
#include <utility>

namespace jackdawturn::gateway {

namespace {

// Returns whether the replica replicates the term of the commit.
bool FollowsTermOf(const CommitPosition& commit,
                   const ReplicationStatus& status) {
  return status.role == ReplicationRole::kReplica && status.term == commit.term;
}

// Returns whether the replica has the commit.
bool Has(const CommitPosition& commit, const ReplicationStatus& status) {
  return FollowsTermOf(commit, status) && status.received.term == commit.term &&
         status.received >= commit;
}

bool IsPaused(const ReplicationStatus& status) {
  return status.paused_term > 0;
}

bool DoesNotRun(const Error& error) {
  return error.code == ErrorCode::kUnavailable ||
         error.code == ErrorCode::kNotFound;
}

}  // namespace

bool SurvivesUnknownClaim(const ReplicaAnswers& answers,
                          CommitPosition commit,
                          std::optional<TimePoint> heard_until) {
  const bool kept =
      std::any_of(answers.begin(), answers.end(),
                  [&](const Result<InstanceAnswer>& answer) {
                    return answer && Has(commit, answer.value().status) &&
                           !IsPaused(answer.value().status) && heard_until &&
                           answer.value().connected_at <= *heard_until;
                  });
  if (kept)
    return true;
  const bool received =
      std::any_of(answers.begin(), answers.end(),
                  [&](const Result<InstanceAnswer>& answer) {
                    return answer && Has(commit, answer.value().status);
                  });
  return received &&
         std::all_of(
             answers.begin(), answers.end(),
             [&](const Result<InstanceAnswer>& answer) {
               if (!answer)
                 return DoesNotRun(answer.error());
               const ReplicationStatus& status = answer.value().status;
               return Has(commit, status) ||
                      (FollowsTermOf(commit, status) && !IsPaused(status));
             });
}

std::string DescribeAnswers(const ReplicaAnswers& answers,
                            CommitPosition commit,
                            std::optional<TimePoint> heard_until) {
  std::string text;
  for (const Result<InstanceAnswer>& answer : answers) {
    text += text.empty() ? "" : " ";
    if (!answer) {
      text += std::string(ToString(answer.error().code));
      continue;
    }
    const ReplicationStatus& status = answer.value().status;
    if (Has(commit, status))
      text += "has_it";
    else
      text += FollowsTermOf(commit, status) ? "lacks_it" : "other_term";
    if (IsPaused(status))
      text += "/paused";
    if (!heard_until || answer.value().connected_at > *heard_until)
      text += "/connected_later";
  }
  return text;
}

ReplicaConfirmation::ReplicaConfirmation(GatewayContext& context,
                                         ReadStatusRow read_status)
    : m_context(context),
      m_status(context, std::move(read_status)),
      m_self(std::make_shared<ReplicaConfirmation*>(this)) {}

ReplicaConfirmation::~ReplicaConfirmation() {
  *m_self = nullptr;
}

void ReplicaConfirmation::AskReplicas(const GroupName& group,
                                      OnAnswers on_answers) {
  Round& round = m_rounds[group];
  round.waiting.push_back(std::move(on_answers));
  if (round.awaited > 0)
    return;
  const BackendServer* primary = m_context.directory.Primary(group);
  std::vector<InstanceName> replicas;
  for (const BackendServer* server : m_context.directory.All(group)) {
    if (!primary || server->id != primary->id)
      replicas.push_back(server->id);
  }
  // One more, so that the round does not end before all were asked.
  round.awaited = replicas.size() + 1;
  for (const InstanceName& replica : replicas) {
    m_status.Request(replica, [self = m_self, group](const auto& answer) {
      if (*self)
        (*self)->Answered(group, answer);
    });
  }
  m_context.timers.After(Duration(0), [self = m_self, group] {
    if (*self)
      (*self)->EndRequest(group);
  });
}

void ReplicaConfirmation::Answered(const GroupName& group,
                                   const Result<InstanceAnswer>& answer) {
  m_rounds[group].answers.push_back(answer);
  EndRequest(group);
}

void ReplicaConfirmation::EndRequest(const GroupName& group) {
  if (--m_rounds[group].awaited > 0)
    return;
  const Round ended = std::exchange(m_rounds[group], {});
  for (const OnAnswers& on_answers : ended.waiting)
    on_answers(ended.answers);
}

}  // namespace jackdawturn::gateway
