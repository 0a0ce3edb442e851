#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "gateway/gateway_context.h"
#include "gateway/instance_status.h"
#include "gateway/replica_confirmation.h"

namespace jackdawturn::gateway {

// Decides whether an acknowledged commit survives the change of the group's
// primary that is in progress.
//
// The claimant of a change pauses the replicas that it knows. A replica that
// restarts afterwards, or that the claimant does not know, still lets the old
// primary acknowledge commits, and the promoted replica may lack them. So while
// a promotion may be carried out, such an acknowledgement is passed on only
// when the new primary is known to have the commit. While this proxy cannot
// rely on hearing of claims, the replicas must show that no claimant can have
// chosen one that lacks the commit. Load pattern: writes during a change, after
// a claimant whose promotion was not answered, or during an outage of the
// store. Thread safety: not thread-safe.
class CommitConfirmation {
 public:
  using OnDecision = std::function<void(bool survives)>;

  // `context` outlives this.
  CommitConfirmation(GatewayContext& context, ReadStatusRow read_status);
  ~CommitConfirmation();
  CommitConfirmation(const CommitConfirmation&) = delete;
  CommitConfirmation& operator=(const CommitConfirmation&) = delete;

  // Decides on a commit whose acknowledgement has just been received; at once
  // if no change can be in progress. False: the commit may be lost, or
  // nothing was known of it by `deadline`. Precondition: a primary of the group
  // has acknowledged `position`.
  void Confirm(const GroupName& group,
               CommitPosition position,
               TimePoint deadline,
               OnDecision on_decision);

  // Returns whether a commit that is sent now may be confirmed. False while the
  // store does not answer and the replicas' last answers cannot show that any
  // commit survives; the replicas are then asked again.
  bool MayConfirm(const GroupName& group);

 private:
  struct Commit {
    GroupName group;
    CommitPosition position;
    TimePoint deadline;
    OnDecision on_decision;
    // The attempt of the change that was in progress last.
    std::string attempt;
    bool decided = false;
  };
  using CommitPtr = std::shared_ptr<Commit>;

  void Check(const CommitPtr& commit);
  void CheckLater(const CommitPtr& commit);
  // Asks the instance that is to be promoted for its position.
  void AskCandidate(const CommitPtr& commit, const InstanceName& candidate);
  // Asks the replicas whether a claim that is not known may lose the commit.
  void AskReplicas(const CommitPtr& commit);
  // Returns whether the answers decide on the commit.
  bool ReplicasAnswered(const CommitPtr& commit,
                        const ReplicaAnswers& answers,
                        bool complete);
  // Notes and logs what the replicas have answered about the commits of now.
  void NoteAnswers(const GroupName& group, const ReplicaAnswers& answers);
  // Logs what the replicas have answered when that has changed.
  void LogAnswers(const Commit& commit,
                  const ReplicaAnswers& answers,
                  bool survives);
  bool Survives(const Commit& commit) const;
  void Decide(const CommitPtr& commit, bool survives);

  GatewayContext& m_context;
  InstanceStatus m_status;
  ReplicaConfirmation m_replicas;
  // Groups whose replicas cannot show at present that a commit survives, and
  // whether they are being asked again.
  std::map<GroupName, bool> m_unconfirmable;
  // What was last logged of the replicas' answers.
  std::map<GroupName, std::string> m_logged_answers;
  // Null once this object is destroyed; callbacks may run after that.
  std::shared_ptr<CommitConfirmation*> m_self;
};

}  // namespace jackdawturn::gateway
