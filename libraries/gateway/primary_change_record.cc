#include "gateway/primary_change_record.h"

#include <algorithm>

#include <boost/json.hpp>

#include "core/json_fields.h"
#include "gateway/store_era.h"

namespace jackdawturn::gateway {

std::string EncodePrimaryChange(const PrimaryChangeRecord& record) {
  boost::json::object body{{"holder", record.claimant.value()},
                           {"attempt", record.attempt},
                           {"ended", record.ended},
                           {"unresolved", record.unresolved},
                           {"unanswered", record.unanswered},
                           {"term", record.term}};
  if (!record.candidate.empty())
    body["candidate"] = record.candidate.value();
  body["promoted"] = record.promoted.value();
  if (!record.promoted.empty()) {
    body["promoted_term"] = record.promoted_term;
    body["received_term"] = record.received.term;
    body["received_number"] = record.received.number;
  }
  return boost::json::serialize(body);
}

Result<PrimaryChangeRecord> DecodePrimaryChange(const std::string& body) {
  constexpr const char* kStep = "change.claim";
  TRY(const boost::json::value value, ParseJson(body, kStep));
  TRY(const JsonFields fields, JsonFields::Create(value, kStep));
  PrimaryChangeRecord record;
  TRY(const std::string claimant, fields.String("holder"));
  record.claimant = VmName(claimant);
  TRY(record.attempt, fields.String("attempt"));
  TRY(record.ended, fields.Boolean("ended"));
  TRY(record.unresolved, fields.BooleanOr("unresolved", false));
  TRY(record.unanswered, fields.BooleanOr("unanswered", record.unresolved));
  TRY(record.term, fields.NumberOr("term", 0));
  TRY(const std::string candidate, fields.StringOr("candidate", ""));
  record.candidate = InstanceName(candidate);
  TRY(const std::string promoted, fields.StringOr("promoted", ""));
  record.promoted = InstanceName(promoted);
  record.names_promoted = fields.Has("promoted");
  TRY(record.promoted_term, fields.NumberOr("promoted_term", 0));
  TRY(record.received.term, fields.NumberOr("received_term", 0));
  TRY(record.received.number, fields.NumberOr("received_number", 0));
  return record;
}

void KnownPrimaryChanges::Observe(const GroupName& group,
                                  uint64_t revision,
                                  const PrimaryChangeRecord& record,
                                  TimePoint now) {
  Known& known = m_known[group];
  if (known.revision > 0 &&
      RevisionEra(revision) != RevisionEra(known.revision))
    return ObserveOtherEra(known, revision, record, now);
  if (revision > known.revision)
    TakeOver(known, revision, record, now);
}

void KnownPrimaryChanges::ObserveOtherEra(Known& known,
                                          uint64_t revision,
                                          const PrimaryChangeRecord& record,
                                          TimePoint now) {
  const bool later = revision > known.revision;
  if (record.attempt == known.record.attempt) {
    // The copy may be older than what is known of the attempt.
    if (record.ended && !known.record.ended)
      TakeOver(known, std::max(revision, known.revision), record, now);
    known.revision = std::max(revision, known.revision);
    return;
  }
  if (later) {
    const Known earlier = known;
    TakeOver(known, revision, record, now);
    return KeepLostClaim(
        known,
        {.attempt = earlier.record.attempt,
         .claimed_until =
             earlier.record.ended ? now : earlier.first_seen + kClaimTime,
         .unresolved_until = earlier.unresolved_until.value_or(now)});
  }
  // The claimant may not know yet that the store has lost its claim.
  if (!record.ended)
    return KeepLostClaim(known, {.attempt = record.attempt,
                                 .claimed_until = now + kClaimTime,
                                 .unresolved_until = now + kUnresolvedTime});
  if (known.lost && known.lost->attempt == record.attempt) {
    known.lost->claimed_until = now;
    if (!record.unresolved)
      known.lost.reset();
  }
}

void KnownPrimaryChanges::KeepLostClaim(Known& known, const LostClaim& claim) {
  if (!known.lost) {
    known.lost = claim;
    return;
  }
  // A claim that is announced again is not in force for longer.
  if (known.lost->attempt == claim.attempt)
    return;
  known.lost = {claim.attempt,
                std::max(known.lost->claimed_until, claim.claimed_until),
                std::max(known.lost->unresolved_until, claim.unresolved_until)};
}

void KnownPrimaryChanges::TakeOver(Known& known,
                                   uint64_t revision,
                                   const PrimaryChangeRecord& record,
                                   TimePoint now) {
  // Its claimant has written down what came of it.
  if (record.ended && known.lost && known.lost->attempt == record.attempt)
    known.lost.reset();
  const bool ends_known_claim =
      !known.record.ended && known.record.attempt == record.attempt;
  known.revision = revision;
  known.record = record;
  known.first_seen = now;
  if (known.unresolved_until && now >= *known.unresolved_until)
    known.unresolved_until.reset();
  if (!record.ended) {
    known.earlier_unresolved_until = known.unresolved_until;
    if (record.unresolved && !known.earlier_unresolved_until)
      known.earlier_unresolved_until = now + kUnresolvedTime;
    known.unresolved_until = now + kUnresolvedTime;
    return;
  }
  // A claim that has requested nothing must not prolong the time.
  if (!record.unresolved)
    known.unresolved_until.reset();
  else if (ends_known_claim && !record.unanswered)
    known.unresolved_until = known.earlier_unresolved_until;
  else
    known.unresolved_until = now + kUnresolvedTime;
  known.earlier_unresolved_until = known.unresolved_until;
}

const KnownPrimaryChanges::Known* KnownPrimaryChanges::Find(
    const GroupName& group) const {
  const auto found = m_known.find(group);
  return found == m_known.end() ? nullptr : &found->second;
}

bool KnownPrimaryChanges::Claimed(const GroupName& group, TimePoint now) const {
  const Known* known = Find(group);
  if (!known)
    return false;
  return (!known->record.ended && now < known->first_seen + kClaimTime) ||
         (known->lost && now < known->lost->claimed_until);
}

bool KnownPrimaryChanges::Abandoned(const GroupName& group,
                                    TimePoint now) const {
  return Pending(group, now) && !Claimed(group, now);
}

bool KnownPrimaryChanges::EarlierPending(const GroupName& group,
                                         TimePoint now) const {
  const Known* known = Find(group);
  if (!known)
    return false;
  return (known->earlier_unresolved_until &&
          now < *known->earlier_unresolved_until) ||
         (known->lost && now < known->lost->unresolved_until);
}

const PrimaryChangeRecord* KnownPrimaryChanges::Pending(const GroupName& group,
                                                        TimePoint now) const {
  const Known* known = Find(group);
  if (!known)
    return nullptr;
  const bool lost_pending = known->lost && now < known->lost->unresolved_until;
  if (!lost_pending &&
      (!known->unresolved_until || now >= *known->unresolved_until))
    return nullptr;
  return &known->record;
}

const PrimaryChangeRecord* KnownPrimaryChanges::Last(
    const GroupName& group) const {
  const Known* known = Find(group);
  return known ? &known->record : nullptr;
}

}  // namespace jackdawturn::gateway
