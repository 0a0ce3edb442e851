#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/gateway_context.h"
#include "gateway/instance_status.h"

namespace jackdawturn::gateway {

// What the replicas of a group have answered, each to one request. kTimeout
// stands for those that have not answered.
using ReplicaAnswers = std::vector<Result<InstanceAnswer>>;

// Returns whether a commit that a primary has acknowledged is in the log of any
// instance that is promoted later, although this proxy knows of no claim that
// was made after `heard_until`. A claimant pauses all replicas that it knows
// and promotes the one that has received most. So the commit survives if
//  - a replica has it, is not paused, and has not restarted since
//    `heard_until`: it has not been paused by a claim that is not known; or
//  - some replica has it, and each other one has it as well, is not paused or
//    does not run: none was chosen for a promotion before it had the commit.
// Thread-safe.
bool SurvivesUnknownClaim(const ReplicaAnswers& answers,
                          CommitPosition commit,
                          std::optional<TimePoint> heard_until);

// Returns whether such answers can show that a commit survives, once the
// replicas that receive have it. If not, waiting helps only when a replica's
// state changes or the store answers again. Thread-safe.
bool MayShowSurvival(const ReplicaAnswers& answers,
                     std::optional<TimePoint> heard_until);

// Describes for the log what each replica has answered about the commit, in the
// terms of SurvivesUnknownClaim(). Thread-safe.
std::string DescribeAnswers(const ReplicaAnswers& answers,
                            CommitPosition commit,
                            std::optional<TimePoint> heard_until);

// Asks the replicas of a group about the commits that this proxy is to pass on
// while it cannot rely on hearing of claims. Commits that are acknowledged
// during a round share the next one. Load pattern: writes during an outage of
// the store, also while a replica is down. Thread safety: not thread-safe.
class ReplicaConfirmation {
 public:
  // `complete`: the round has ended. Returns whether the answers suffice.
  using OnAnswers =
      std::function<bool(const ReplicaAnswers& answers, bool complete)>;

  // `context` outlives this.
  ReplicaConfirmation(GatewayContext& context, ReadStatusRow read_status);
  ~ReplicaConfirmation();
  ReplicaConfirmation(const ReplicaConfirmation&) = delete;
  ReplicaConfirmation& operator=(const ReplicaConfirmation&) = delete;

  // Passes the answers of all replicas of the group, each time that one more
  // has answered, until they suffice or the round has ended. A replica that
  // does not answer so delays no commit that another one proves.
  void AskReplicas(const GroupName& group, OnAnswers on_answers);

 private:
  struct Round {
    size_t replicas = 0;
    size_t awaited = 0;
    ReplicaAnswers answers;
    std::vector<OnAnswers> waiting;
    // Asked for since the round began. A replica that was not paused when it
    // answered may have been paused before their commits were acknowledged, so
    // they need a round of their own unless one answer suffices.
    std::vector<OnAnswers> next;
  };

  void StartRound(const GroupName& group);
  void Answered(const GroupName& group, const Result<InstanceAnswer>& answer);
  void OfferAnswers(const ReplicaAnswers& so_far,
                    const GroupName& group,
                    std::vector<OnAnswers> Round::*list);
  void EndRequest(const GroupName& group);

  GatewayContext& m_context;
  InstanceStatus m_status;
  std::map<GroupName, Round> m_rounds;
  // Null once this object is destroyed; callbacks may run after that.
  std::shared_ptr<ReplicaConfirmation*> m_self;
};

}  // namespace jackdawturn::gateway
