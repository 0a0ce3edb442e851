#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "gateway/gateway_types.h"

namespace jackdawturn::gateway {

// The record of a group in RecordCollection::kPrimaryChanges: the last claim to
// a change of its primary, and what came of the change.
struct PrimaryChangeRecord {
  VmName claimant;
  // Identifies the attempt.
  std::string attempt;
  // The claimant will request no further promotion.
  bool ended = false;
  // A promotion that was requested under this claim or an earlier one may still
  // be carried out.
  bool unresolved = false;
  // Of these, one that was requested under this claim.
  bool unanswered = false;
  // The newest term of the group's instances before the change.
  uint64_t term = 0;
  // In a switchover, the replica that is to be promoted.
  InstanceName candidate;
  // Once the change has ended: the instance that was promoted, its new term or
  // 0 if that is unknown, and the last position that it is known to have
  // received before.
  InstanceName promoted;
  uint64_t promoted_term = 0;
  // False if an older version has written the record, which does not say
  // whether an instance was promoted.
  bool names_promoted = true;
  CommitPosition received;
};

// Encodes the body of a record. Thread-safe.
std::string EncodePrimaryChange(const PrimaryChangeRecord& record);
// Decodes the body of a record; members that older versions do not write may be
// missing. Errors: kInvalidArgument. Thread-safe.
Result<PrimaryChangeRecord> DecodePrimaryChange(const std::string& body);

// What this proxy knows of the changes of each group's primary. All times are
// of this proxy's clock. Thread safety: not thread-safe.
class KnownPrimaryChanges {
 public:
  // A claim that has not ended expires after this time.
  static constexpr Duration kClaimTime = std::chrono::seconds(4);
  // After this time, no promotion that was requested is still to be carried
  // out.
  static constexpr Duration kUnresolvedTime = std::chrono::seconds(15);

  // Takes over a record that was read at `now`, unless a newer one is known. A
  // claim of an earlier era stays in force until it ends or expires, also if
  // the store has lost it.
  void Observe(const GroupName& group,
               uint64_t revision,
               const PrimaryChangeRecord& record,
               TimePoint now);

  // Returns whether another proxy may be performing a change.
  bool Claimed(const GroupName& group, TimePoint now) const;

  // Returns whether a promotion of the group may be carried out although no
  // proxy is performing the change any more.
  bool Abandoned(const GroupName& group, TimePoint now) const;

  // Returns whether a promotion that was requested under an earlier claim than
  // the last one may still be carried out.
  bool EarlierPending(const GroupName& group, TimePoint now) const;

  // Returns the record of the change that may promote an instance, or null if
  // none may. The pointer is valid until the next Observe().
  const PrimaryChangeRecord* Pending(const GroupName& group,
                                     TimePoint now) const;

  // Returns the last record of the group, or null.
  const PrimaryChangeRecord* Last(const GroupName& group) const;

 private:
  // A claim that a record of another attempt has replaced only because the
  // store has come back from an older copy.
  struct LostClaim {
    std::string attempt;
    TimePoint claimed_until;
    // Until when a promotion may be carried out that was requested under it.
    TimePoint unresolved_until;
  };

  struct Known {
    uint64_t revision = 0;
    PrimaryChangeRecord record;
    TimePoint first_seen;
    // Until when a promotion may be carried out; empty when none may be.
    std::optional<TimePoint> unresolved_until;
    // As unresolved_until, for promotions of earlier claims.
    std::optional<TimePoint> earlier_unresolved_until;
    std::optional<LostClaim> lost;
  };

  static void TakeOver(Known& known,
                       uint64_t revision,
                       const PrimaryChangeRecord& record,
                       TimePoint now);
  static void ObserveOtherEra(Known& known,
                              uint64_t revision,
                              const PrimaryChangeRecord& record,
                              TimePoint now);
  static void KeepLostClaim(Known& known, const LostClaim& claim);
  const Known* Find(const GroupName& group) const;

  std::map<GroupName, Known> m_known;
};

}  // namespace jackdawturn::gateway
