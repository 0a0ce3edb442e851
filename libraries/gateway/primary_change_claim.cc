#include <utility>

#include <boost/json.hpp>

#include "gateway/group_members.h"
#include "gateway/primary_change.h"

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr Duration kStoreTimeout = 800ms;

// The record of a group in RecordCollection::kPrimaryChanges.
struct Claim {
  std::string claimant;
  std::string attempt;
  bool ended = false;
};

std::string EncodeClaim(const Claim& claim) {
  return boost::json::serialize(boost::json::object{{"holder", claim.claimant},
                                                    {"attempt", claim.attempt},
                                                    {"ended", claim.ended}});
}

Result<Claim> DecodeClaim(const std::string& body) {
  constexpr const char* kStep = "change.claim";
  TRY(const boost::json::value value, ParseJson(body, kStep));
  TRY(const JsonFields fields, JsonFields::Create(value, kStep));
  Claim claim;
  TRY(claim.claimant, fields.String("holder"));
  TRY(claim.attempt, fields.String("attempt"));
  TRY(claim.ended, fields.Boolean("ended"));
  return claim;
}

}  // namespace

void PrimaryChange::ReadClaim() {
  m_ports.store.Read(RecordCollection::kPrimaryChanges, m_options.group.value(),
                     kStoreTimeout, [self = shared_from_this()](auto record) {
                       self->ClaimRead(std::move(record));
                     });
}

void PrimaryChange::ClaimRead(Result<StoredRecord> record) {
  if (!record) {
    if (record.error().code == ErrorCode::kNotFound)
      return WriteClaim(0);
    return End(Outcome::kFailed, record.error().message);
  }
  const auto claim = DecodeClaim(record.value().body);
  if (!claim)
    Log("bad_claim", {{"error", claim.error().message}});
  // The age of a claim is measured on this proxy's clock, from the time at
  // which this proxy first read it.
  auto& seen = m_context.claims[m_options.group];
  if (seen.revision != record.value().revision)
    seen = {record.value().revision, m_context.timers.now()};
  const bool active = claim && !claim.value().ended;
  if (active && m_context.timers.now() < seen.first_seen + kClaimTime)
    return End(Outcome::kClaimedByOther, claim.value().claimant);
  WriteClaim(record.value().revision);
}

void PrimaryChange::WriteClaim(uint64_t expected) {
  m_claimed_at = m_context.timers.now();
  m_ports.store.Update(
      RecordCollection::kPrimaryChanges, m_options.group.value(), expected,
      EncodeClaim({m_options.claimant.value(), m_options.attempt, false}),
      kStoreTimeout, [self = shared_from_this()](auto record) {
        self->ClaimWritten(std::move(record));
      });
}

void PrimaryChange::ClaimWritten(Result<StoredRecord> record) {
  if (record)
    return Claimed(record.value().revision);
  if (record.error().code == ErrorCode::kTimeout)
    return ReadBackClaim();
  if (record.error().code == ErrorCode::kConflict)
    return End(Outcome::kClaimedByOther,
               "the claim was lost: another proxy wrote the record");
  End(Outcome::kFailed, record.error().message);
}

void PrimaryChange::ReadBackClaim() {
  m_ports.store.Read(
      RecordCollection::kPrimaryChanges, m_options.group.value(), kStoreTimeout,
      [self = shared_from_this()](auto record) {
        if (!record)
          return self->End(Outcome::kFailed, record.error().message);
        const auto claim = DecodeClaim(record.value().body);
        if (!claim || claim.value().attempt != self->m_options.attempt)
          return self->End(
              Outcome::kClaimedByOther,
              "the claim was lost: the record holds another attempt");
        self->Claimed(record.value().revision);
      });
}

void PrimaryChange::ReadMembers() {
  m_ports.store.Read(RecordCollection::kGroupMembers, m_options.group.value(),
                     kStoreTimeout,
                     [self = shared_from_this()](const auto& record) {
                       self->MembersRead(record);
                     });
}

void PrimaryChange::MembersRead(const Result<StoredRecord>& record) {
  const auto recorded = record ? DecodeMembers(record.value().body)
                               : Result<GroupMembers>(record.error());
  if (!recorded)
    return ResumeAndEnd(Outcome::kNotPossible,
                        "no readable record of the group's members: " +
                            recorded.error().message);
  // An instance may have left while the record was being read.
  const bool complete =
      !m_context.last_member_loss.contains(m_options.group) &&
      RetainsAllCommits(recorded.value(),
                        m_context.directory.All(m_options.group),
                        Find(m_candidate)->status->term);
  Log("members", {{"revision", std::to_string(record.value().revision)},
                  {"complete", complete ? "yes" : "no"}});
  if (!complete)
    return ResumeAndEnd(Outcome::kNotPossible, kMissingCommits);
  PreparePromotion();
}

void PrimaryChange::Release() {
  m_ports.store.Update(
      RecordCollection::kPrimaryChanges, m_options.group.value(), m_token,
      EncodeClaim({m_options.claimant.value(), m_options.attempt, true}),
      kStoreTimeout, [self = shared_from_this()](auto record) {
        if (!record)
          self->Log("release_failed", {{"error", record.error().message}});
      });
}

}  // namespace jackdawturn::gateway
