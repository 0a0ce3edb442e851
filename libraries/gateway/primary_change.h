#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/gateway_context.h"
#include "gateway/metadata_store.h"

namespace jackdawturn::gateway {

// An instance's answer during a change of primary.
struct PromotionCandidate {
  InstanceName id;
  bool draining = false;
  bool same_zone = false;
  ReplicationStatus status;
};

// Chooses the replica that has received most; its log has every acknowledged
// commit if all replicas have stopped receiving. An instance that leaves is
// only chosen when no other has as much. Returns nothing for an empty list.
// Thread-safe.
std::optional<InstanceName> ChooseNewPrimary(
    const std::vector<PromotionCandidate>& replicas);

// Changes the primary of one group once. Before an instance is promoted, the
// replicas stop receiving, so that the old primary can have no commit
// acknowledged that the new one lacks. In a planned change the new primary goes
// on receiving, so that the old one serves until it is replaced.
// Thread safety: not thread-safe.
class PrimaryChange : public std::enable_shared_from_this<PrimaryChange> {
 public:
  // A claim without an end gives way after this time.
  static constexpr Duration kClaimTime = std::chrono::seconds(4);
  // Why a change without a complete log is given up.
  static constexpr const char* kMissingCommits =
      "commits of an instance that has left may be missing";

  enum class Kind {
    kPlanned,
    kFailure,
    kLagSwitchover,  // As kPlanned, given up when the old primary does not
                     // answer.
  };

  struct Ports {
    MetadataStore& store;
    PromoteInstance promote;
    OpenBackendSession open;
    ReadStatusRow read_status;
  };

  struct Options {
    GroupName group;
    Kind kind = Kind::kFailure;
    std::string reason;
    // The instance to replace; empty when none is known.
    InstanceName old_primary;
    VmName claimant;
    // Names this attempt in the store.
    std::string attempt;
  };

  // How a change ended.
  enum class Outcome {
    kPromoted,
    kNotNeeded,       // The old primary leads and answers.
    kClaimedByOther,  // Another proxy is at work.
    kNotPossible,  // A replica that may have acknowledged commits is missing.
    kFailed,
  };
  using OnEnd = std::function<void(Outcome outcome)>;

  static std::shared_ptr<PrimaryChange> Create(GatewayContext& context,
                                               Ports ports,
                                               Options options,
                                               OnEnd on_end);
  void Start();

 private:
  struct Member {
    BackendServer server;
    std::unique_ptr<BackendSession> session;
    // Used instead of `session` when the instance accepts no new connection.
    BackendPool::ConnectionPtr pooled;
    std::optional<ReplicationStatus> status;
    // It accepted or refused the connection, so it runs and can be reached.
    bool reachable = false;
    bool paused = false;
    // The number of the last command, and what runs once when it has ended.
    uint64_t command = 0;
    std::function<void(bool answered)> then;
    Timers::TimerId command_timer = 0;
  };

  PrimaryChange(GatewayContext& context,
                Ports ports,
                Options options,
                OnEnd on_end);

  void ProbeMembers();
  void MemberOpened(const InstanceName& id,
                    Result<std::unique_ptr<BackendSession>> opened);
  // Sends a command to a member and stores the status that it answers with. A
  // busy member is asked again until the command's time has passed.
  void Command(Member& member,
               BackendCommand::Kind kind,
               std::function<void(bool answered)> then);
  // Returns the member's open connection, or null.
  static BackendSession* SessionOf(Member& member);
  void SendCommand(Member& member, BackendCommand::Kind kind);
  void CommandReplied(Member& member,
                      BackendCommand::Kind kind,
                      const Result<std::vector<BackendReply>>& replies);
  void CommandEnded(Member& member);
  // Takes a connection of the pool for a member that accepts no new one.
  void BorrowConnection(Member& member);
  void ReturnConnections();
  // Asks a member for its status; the last answer leads to Probed.
  void Probe(Member& member);
  bool ReplicasAnswered() const;
  // Sends a command to all members that are connected; `then` runs when each
  // has answered or failed.
  void CommandAll(const std::vector<Member*>& members,
                  BackendCommand::Kind kind,
                  std::function<void()> then);
  std::vector<Member*> RespondingMembers();
  // Returns the member that leads in the newest term, or null.
  const Member* Leader() const;
  // Ends the change when another instance leads by now.
  bool DetectNewLeader();
  // The old primary can be reached, whether or not it told its status.
  bool OldPrimaryReachable() const;
  void Probed();
  // What was learned before the claim may date from before another change.
  void ProbedAgain();
  void ReadClaim();
  void ClaimRead(Result<StoredRecord> record);
  void WriteClaim(uint64_t expected);
  void ClaimWritten(Result<StoredRecord> record);
  void ReadBackClaim();
  void Claimed(uint64_t revision);
  void LogStatuses(const std::string& step) const;
  // The old primary serves until it is replaced.
  bool old_primary_serves() const { return m_kind != Kind::kFailure; }
  void PauseReplicas();
  void Paused();
  void AwaitCandidate();
  bool MembersUnchanged() const;
  // The new primary has every commit that may have been acknowledged with the
  // help of an instance that has left since.
  bool CoversLostMembers();
  void PromoteIfComplete();
  // A proxy that has not seen who left before it started asks the store.
  void ReadMembers();
  void MembersRead(const Result<StoredRecord>& record);
  void Promote();
  void PromoteAnswered(Result<void> result);
  void AwaitLead();
  void Release();
  void ResumeAndEnd(Outcome outcome, const std::string& why);
  void End(Outcome outcome, const std::string& why);
  void Log(const std::string& step, GatewayLog::Fields fields) const;
  std::vector<PromotionCandidate> Replicas() const;
  Member* Find(const InstanceName& id);
  bool is_old_primary(const Member& member) const {
    return member.server.id == m_options.old_primary;
  }
  CommitPosition NewestReceived() const;

  GatewayContext& m_context;
  Ports m_ports;
  const Options m_options;
  OnEnd m_on_end;
  Kind m_kind;
  std::map<InstanceName, Member> m_members;
  size_t m_awaited = 0;
  uint64_t m_token = 0;
  uint64_t m_pause_term = 0;
  InstanceName m_candidate;
  unsigned m_promote_calls = 0;
  TimePoint m_claimed_at;
  TimePoint m_wait_until;
};

}  // namespace jackdawturn::gateway
