#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gateway/gateway_log.h"
#include "gateway/primary_change_record.h"

namespace jackdawturn::gateway {

// An acknowledged commit that a later primary lacks, or may lack.
struct MissingCommit {
  CommitPosition acknowledged;
  // What shows it: the position that the new primary had received before its
  // promotion, or one of its own term.
  CommitPosition evidence;
  bool by_record = false;
  // Not set: the new primary may have received the commit after `evidence` was
  // read.
  bool proven = false;
};

// Finds commits that this proxy passed on as acknowledged and that the log of a
// later primary lacks.
//
// Proven is a loss when the new primary's log is shown to have had a lower
// position in its place:
//  - The new primary acknowledged a commit of its own, with a number that is
//    not above the acknowledged one. Numbers grow by one with each commit and
//    go on in a new term, so the old commit is not before it.
//  - The new primary reported a position of its own term with a lower number.
//  - The record of the change gives a lower received position, and the change
//    was no switchover: its claimant read the position after it had paused all
//    replicas. This assumes that the replica did not restart afterwards.
// Only possible is a loss when the record of a switchover gives a lower
// position, because the successor receives commits until it is promoted, or
// when the claim of the change or the new term is not known.
//
// No report does not prove that nothing is lost: this proxy knows only what it
// passed on itself since its start, and of each term only the highest position.
// A new primary whose first position seen here has a higher number may have
// reused the number of a lost commit. Deterministic. Thread safety: not
// thread-safe.
class AcknowledgedPositions {
 public:
  // Older terms of a group are forgotten.
  static constexpr size_t kMaxTerms = 8;

  // Each method takes over what this proxy has learned, and returns the losses
  // that were not returned before; a possible one is returned again when it is
  // proven.

  // The primary acknowledged its commit `position`, and this was passed on.
  std::vector<MissingCommit> PassedOn(const GroupName& group,
                                      CommitPosition position);
  // An instance, confirmed as primary, reported `position`.
  std::vector<MissingCommit> SeenAtPrimary(const GroupName& group,
                                           CommitPosition position);
  // Returns the newest commit of the term that was passed on, or nullopt.
  std::optional<CommitPosition> NewestPassedOn(const GroupName& group,
                                               uint64_t term) const;

  // The record of the group's last change, claimed or ended.
  std::vector<MissingCommit> ChangeRecorded(const GroupName& group,
                                            const PrimaryChangeRecord& record);

 private:
  enum class Reported { kNo, kPossible, kProven };

  struct Term {
    // The highest number that was passed on.
    std::optional<uint64_t> acknowledged;
    // Commits of earlier terms with this number or a higher one are not in the
    // log of this term's primary.
    std::optional<uint64_t> lacks_from;
    // The position that shows this.
    CommitPosition evidence;
    Reported reported = Reported::kNo;
  };

  struct Promotion {
    // Commits of terms before this one were acknowledged by earlier primaries.
    uint64_t term = 0;
    CommitPosition received;
    bool exact = false;
  };

  struct Group {
    std::map<uint64_t, Term> terms;
    // The last claim to a change that is no switchover.
    std::string failover_attempt;
    std::optional<Promotion> promotion;
  };

  // The log of the primary of `position.term` lacks older commits from the
  // number `lacks_from` on.
  static void Bound(Group& group, CommitPosition position, uint64_t lacks_from);
  static std::optional<MissingCommit> FindMissing(const Group& group,
                                                  uint64_t term,
                                                  uint64_t acknowledged);
  static std::vector<MissingCommit> Check(Group& group);

  std::map<GroupName, Group> m_groups;
};

// Logs and counts the commits that `primary` lacks.
void LogMissingCommits(GatewayLog& log,
                       const GroupName& group,
                       const InstanceName& primary,
                       const std::vector<MissingCommit>& missing);

}  // namespace jackdawturn::gateway
