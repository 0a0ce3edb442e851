#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/change_announcement.h"
#include "gateway/gateway_context.h"
#include "gateway/metadata_store.h"

namespace jackdawturn::gateway {

// A replica that may be promoted, with its last reported status.
struct PromotionCandidate {
  InstanceName id;
  bool draining = false;
  bool same_zone = false;
  ReplicationStatus status;
};

// Returns the replica with the highest received position; its log has every
// acknowledged commit if all replicas have stopped receiving. Prefers
// non-draining instances, then those of this proxy's zone, among equal
// positions. Returns nothing for an empty list. Thread-safe.
std::optional<InstanceName> ChooseNewPrimary(
    const std::vector<PromotionCandidate>& replicas);

// Performs one primary change of a group. Before an instance is promoted, the
// replicas stop receiving, so that the old primary cannot acknowledge a commit
// that the new one lacks. In a switchover the new primary continues to receive,
// so that the old one serves until it is replaced.
// Thread safety: not thread-safe.
class PrimaryChange : public std::enable_shared_from_this<PrimaryChange> {
 public:
  // No promotion is requested later than this after the claim was sent, so that
  // none overtakes that of the next claimant.
  static constexpr Duration kPromotionTimeLimit = std::chrono::seconds(3);
  // Reason logged when a change ends because no replica is certain to have
  // every acknowledged commit.
  static constexpr const char* kMissingCommits =
      "commits of an instance that has left may be missing";
  // As kMissingCommits, because a member may not have been paused.
  static constexpr const char* kMembersChanged =
      "instances of the group joined or restarted during the change";

  // Reason logged when the store has not answered for long enough that every
  // running instance can have registered.
  static constexpr const char* kInstancesUnknown =
      "instances may not have registered yet";

  // The reason of a change that replaces the claim of one that did not end.
  static constexpr const char* kAbandonedChange = "abandoned_change";

  enum class Kind {
    kPlanned,
    kFailure,
    kLagSwitchover,  // As kPlanned, but fails when the old primary does not
                     // respond.
  };

  struct Ports {
    MetadataStore& store;
    PromoteInstance promote;
    OpenBackendSession open;
    ReadStatusRow read_status;
    // Receives all changes of the instances that the store has at present. Null
    // if they are always known.
    std::function<void(std::function<void(Result<void>)> on_refreshed)>
        refresh_instances;
    // Null: other proxies hear of the change from the store alone.
    AnnounceToPeer announce;
  };

  struct Options {
    GroupName group;
    Kind kind = Kind::kFailure;
    std::string reason;
    // The instance to replace; empty when none is known.
    InstanceName old_primary;
    VmName claimant;
    // Identifies this attempt in the stored claim.
    std::string attempt;
  };

  enum class Outcome {
    kPromoted,
    kNotNeeded,       // The old primary is reachable, or another instance is
                      // primary already.
    kClaimedByOther,  // Another proxy has claimed the change.
    kNotPossible,     // No replica can be promoted, or commits could be lost.
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
    // The instance accepted the connection, or refused it at its connection
    // limit, so it is running and reachable.
    bool reachable = false;
    bool paused = false;
    // The number of the last command, and the callback for its end.
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
  // Sends a command to a member and stores the status of its reply. Resends the
  // command to a busy member until the command times out.
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
  // Acquires a pooled connection for a member at its connection limit.
  void BorrowConnection(Member& member);
  void ReturnConnections();
  // Requests a member's status; the last reply, or failure, triggers Probed().
  void Probe(Member& member);
  bool ReplicasAnswered() const;
  // Sends a command to each of `members`; `then` runs when each has answered or
  // failed.
  void CommandAll(const std::vector<Member*>& members,
                  BackendCommand::Kind kind,
                  std::function<void()> then);
  std::vector<Member*> RespondingMembers();
  // Returns the member that is primary in the newest term, or null.
  const Member* CurrentPrimary() const;
  // Returns whether an instance other than the old primary is primary, and
  // marks it as promoted in the directory.
  bool DetectNewPrimary();
  // Returns whether the old primary is reachable and has not reported that it
  // is a replica.
  bool OldPrimaryReachable() const;
  void Probed();
  // Checks the statuses again after the claim, because another change may have
  // completed between the first probe and the claim.
  void ReprobedAfterClaim();
  void ReadClaim();
  void ClaimRead(Result<StoredRecord> record);
  void WriteClaim(uint64_t expected);
  PrimaryChangeRecord ClaimRecord() const;
  void ClaimWritten(Result<StoredRecord> record);
  void ReadBackClaim();
  // Reads the claim again before the promotion, because a store with eras may
  // have lost it.
  void ConfirmClaim();
  void ClaimConfirmed(const Result<StoredRecord>& record);
  // Returns whether the store has come back from an older copy since the claim.
  bool claim_outdated() const { return m_ports.store.era().Outdates(m_token); }
  // Ends a change whose claim may be lost. The replicas stay paused, because
  // another claimant may have paused them.
  void EndUnclaimed(const std::string& why);
  void Claimed(const StoredRecord& claim);
  void LogStatuses(const std::string& step) const;
  // Returns whether the old primary serves until it is replaced.
  bool old_primary_serves() const { return m_kind != Kind::kFailure; }
  // Tells the other proxies of the claim, while the replicas are paused.
  void AnnounceClaim(const ChangeAnnouncement& announcement);
  void AnnounceEnd(const ChangeAnnouncement& announcement) const;
  std::vector<Peer> PeersToTell() const;
  // Learns from the store which instances are registered after the claim,
  // while the replicas are paused.
  void RefreshInstances();
  // Returns whether every running instance can have registered, so that those
  // that this proxy knows are all.
  bool InstancesKnown() const;
  void PauseReplicas();
  void Paused();
  // Continues when the replicas are paused, the instances refreshed and the
  // other proxies told.
  void ContinueWhenReady();
  void AwaitCandidate();
  bool MembersUnchanged() const;
  // Returns whether the candidate has every commit that may have been
  // acknowledged on account of an instance that has left.
  bool CoversLostMembers();
  // Returns whether the candidate has every commit of the term to be replaced
  // that this proxy, and each other one that was told of the claim, has passed
  // on as acknowledged.
  bool CoversAcknowledged();
  void PromoteIfComplete();
  // Reads the record of the group's members, which shows whether an instance
  // left before this proxy started.
  void ReadMembers();
  void MembersRead(const Result<StoredRecord>& record);
  // Deposes the primaries that respond, and waits for the leases on one that
  // does not.
  void PreparePromotion();
  std::vector<Member*> PrimariesToDepose();
  void Deposed(const std::vector<Member*>& primaries);
  void AwaitLeaseEnd();
  // Deposes the old primary if it is reachable again before the change ends.
  void DeposeIfItReturns();
  // Checks that no replica has restarted since it was paused.
  void VerifyPaused();
  void Promote();
  void PromoteAnswered(Result<void> result);
  // Chooses the replica that takes over in a switchover. Returns whether there
  // is one.
  bool ChooseSuccessor();
  // Returns the newest term that an instance has reported.
  uint64_t NewestTerm() const;
  void AwaitPromotion();
  // Waits until an older promotion, which the platform may have accepted just
  // before this one, has taken effect, and checks again which instance leads.
  void AwaitSettlement();
  // Ends the claim and records what came of the change.
  void Release();
  void WriteEnd(uint64_t expected, const PrimaryChangeRecord& ended);
  void EndWritten(const Result<StoredRecord>& record,
                  const PrimaryChangeRecord& ended);
  // Writes the end of a claim that the store holds in a later era, or has lost.
  void WriteEndAfterRestore(const PrimaryChangeRecord& ended);
  void ResumeAndEnd(Outcome outcome, const std::string& why);
  void End(Outcome outcome, const std::string& why);
  void Log(const std::string& step, GatewayLog::Fields fields) const;
  std::vector<PromotionCandidate> Replicas() const;
  Member* Find(const InstanceName& id);
  bool is_old_primary(const Member& member) const {
    return member.server.id == m_options.old_primary;
  }
  // Returns the newest position that the candidate of a switchover must reach:
  // that of the paused replicas and of the old primary.
  CommitPosition NewestReceived() const;

  GatewayContext& m_context;
  Ports m_ports;
  const Options m_options;
  OnEnd m_on_end;
  Kind m_kind;
  std::map<InstanceName, Member> m_members;
  size_t m_awaited = 0;
  bool m_replicas_paused = false;
  std::optional<Result<void>> m_refreshed;
  std::optional<AnnouncementRound::Outcome> m_announced;
  uint64_t m_token = 0;
  // The era of the store in which the claim that this one replaces was read.
  uint64_t m_claim_era = 0;
  // The attempt that the claim replaces.
  std::string m_replaced_attempt;
  uint64_t m_pause_term = 0;
  InstanceName m_candidate;
  unsigned m_promote_calls = 0;
  unsigned m_release_calls = 0;
  // A promotion was requested and not answered, so it may still be carried out.
  bool m_promotion_unanswered = false;
  // A promotion that was requested under an earlier claim may still be carried
  // out, until the platform has answered one with this claim's token.
  bool m_replaces_unresolved = false;
  // The new primary, its term if that is known, and the last position that it
  // is known to have received before it was promoted.
  InstanceName m_promoted;
  uint64_t m_promoted_term = 0;
  CommitPosition m_promoted_received;
  // The newest term and, in a switchover, the candidate of the claim.
  uint64_t m_claimed_term = 0;
  InstanceName m_claimed_candidate;
  // When the claim was sent; other proxies cannot have read it earlier.
  TimePoint m_claimed_at;
  // When all replicas had stopped receiving.
  TimePoint m_paused_at;
  // The old primary has reported that it is a replica.
  bool m_deposed = false;
  TimePoint m_wait_until;
  // When an older promotion that was accepted before this one has taken effect.
  TimePoint m_settled_at;
};

}  // namespace jackdawturn::gateway
