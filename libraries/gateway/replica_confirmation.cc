#include "gateway/replica_confirmation.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace jackdawturn::gateway {

namespace {

constexpr const char* kStep = "replica.confirmation";

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

bool MayShowSurvival(const ReplicaAnswers& answers,
                     std::optional<TimePoint> heard_until) {
  const auto receives = [](const Result<InstanceAnswer>& answer) {
    return answer && answer.value().status.role == ReplicationRole::kReplica &&
           !IsPaused(answer.value().status);
  };
  const bool one_is_kept =
      std::any_of(answers.begin(), answers.end(), [&](const auto& answer) {
        return receives(answer) && heard_until &&
               answer.value().connected_at <= *heard_until;
      });
  const bool all_are_known =
      std::all_of(answers.begin(), answers.end(), [&](const auto& answer) {
        return answer ? receives(answer) : DoesNotRun(answer.error());
      });
  return one_is_kept || (all_are_known &&
                         std::any_of(answers.begin(), answers.end(), receives));
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
  if (round.awaited > 0) {
    round.next.push_back(std::move(on_answers));
    return;
  }
  round.waiting.push_back(std::move(on_answers));
  StartRound(group);
}

void ReplicaConfirmation::StartRound(const GroupName& group) {
  const BackendServer* primary = m_context.directory.Primary(group);
  std::vector<InstanceName> replicas;
  for (const BackendServer* server : m_context.directory.All(group)) {
    if (!primary || server->id != primary->id)
      replicas.push_back(server->id);
  }
  Round& round = m_rounds[group];
  // One more, so that the round does not end before all were asked.
  round.awaited = replicas.size() + 1;
  round.replicas = replicas.size();
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
  Round& round = m_rounds[group];
  round.answers.push_back(answer);
  if (round.answers.size() < round.replicas) {
    ReplicaAnswers so_far = round.answers;
    so_far.resize(round.replicas,
                  Error{ErrorCode::kTimeout, kStep, group.value(),
                        "the replica has not answered yet"});
    OfferAnswers(so_far, group, &Round::waiting);
    OfferAnswers(so_far, group, &Round::next);
  }
  EndRequest(group);
}

void ReplicaConfirmation::OfferAnswers(const ReplicaAnswers& so_far,
                                       const GroupName& group,
                                       std::vector<OnAnswers> Round::*list) {
  // A callback may add to the list.
  std::vector<OnAnswers> offered = std::exchange(m_rounds[group].*list, {});
  std::erase_if(offered, [&](const OnAnswers& on_answers) {
    return on_answers(so_far, false);
  });
  std::vector<OnAnswers>& kept = m_rounds[group].*list;
  kept.insert(kept.begin(), std::make_move_iterator(offered.begin()),
              std::make_move_iterator(offered.end()));
}

void ReplicaConfirmation::EndRequest(const GroupName& group) {
  if (--m_rounds[group].awaited > 0)
    return;
  Round ended = std::exchange(m_rounds[group], {});
  if (!ended.next.empty()) {
    m_rounds[group].waiting = std::move(ended.next);
    StartRound(group);
  }
  for (const OnAnswers& on_answers : ended.waiting)
    on_answers(ended.answers, true);
}

}  // namespace jackdawturn::gateway
