#include <utility>

#include "gateway/group_members.h"
#include "gateway/primary_change.h"

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr Duration kStoreTimeout = 800ms;
constexpr Duration kReleaseRetryDelay = 200ms;

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
  const auto claim = DecodePrimaryChange(record.value().body);
  if (claim) {
    // The age of a claim counts from when this proxy first saw it.
    m_context.changes.Observe(m_options.group, record.value().revision,
                              claim.value(), m_context.timers.now());
    if (m_context.changes.Claimed(m_options.group, m_context.timers.now()))
      return End(Outcome::kClaimedByOther, claim.value().claimant.value());
    m_replaces_unresolved =
        m_context.changes.Pending(m_options.group, m_context.timers.now());
    if (m_options.reason == kAbandonedChange && !m_replaces_unresolved)
      return End(Outcome::kNotNeeded, "the earlier change has ended");
  } else {
    Log("bad_claim", {{"error", claim.error().message}});
  }
  WriteClaim(record.value().revision);
}

void PrimaryChange::WriteClaim(uint64_t expected) {
  m_claimed_at = m_context.timers.now();
  m_claimed_term = NewestTerm();
  m_claimed_candidate = m_candidate;
  m_ports.store.Update(RecordCollection::kPrimaryChanges,
                       m_options.group.value(), expected,
                       EncodePrimaryChange(ClaimRecord()), kStoreTimeout,
                       [self = shared_from_this()](auto record) {
                         self->ClaimWritten(std::move(record));
                       });
}

PrimaryChangeRecord PrimaryChange::ClaimRecord() const {
  return {.claimant = m_options.claimant,
          .attempt = m_options.attempt,
          .unresolved = m_replaces_unresolved,
          .term = m_claimed_term,
          .candidate = m_claimed_candidate};
}

void PrimaryChange::ClaimWritten(Result<StoredRecord> record) {
  if (record)
    return Claimed(record.value());
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
        const auto claim = DecodePrimaryChange(record.value().body);
        if (!claim || claim.value().attempt != self->m_options.attempt)
          return self->End(
              Outcome::kClaimedByOther,
              "the claim was lost: the record holds another attempt");
        self->Claimed(record.value());
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

void PrimaryChange::AnnounceClaim(const ChangeAnnouncement& announcement) {
  if (!m_ports.announce) {
    m_announced.emplace();
    return;
  }
  AnnouncementRound::Start(
      m_context.timers, m_ports.announce, announcement, PeersToTell(),
      [self = shared_from_this()](const AnnouncementRound::Outcome& outcome) {
        std::string unheard;
        for (const VmName& name : outcome.unheard)
          unheard.append(unheard.empty() ? "" : " ").append(name.value());
        self->Log(
            "announced",
            {{"unheard", unheard},
             {"acknowledged",
              outcome.acknowledged ? ToString(*outcome.acknowledged) : ""}});
        self->m_announced = outcome;
        self->ContinueWhenReady();
      });
}

void PrimaryChange::AnnounceEnd(const ChangeAnnouncement& announcement) const {
  if (m_ports.announce)
    AnnouncementRound::Start(m_context.timers, m_ports.announce, announcement,
                             PeersToTell(), [](const auto&) {});
}

std::vector<Peer> PrimaryChange::PeersToTell() const {
  return m_context.peers.PossibleHolders(
      m_options.group, m_context.ConnectionsOf(m_options.group));
}

void PrimaryChange::Release() {
  // The record must say what came of the change, because commits wait for it.
  constexpr unsigned kMaxReleaseCalls = 10;
  const bool promoted = !m_promoted.empty();
  const PrimaryChangeRecord ended{
      .claimant = m_options.claimant,
      .attempt = m_options.attempt,
      .ended = true,
      .unresolved =
          !promoted && (m_replaces_unresolved || m_promotion_unanswered),
      .unanswered = !promoted && m_promotion_unanswered,
      .term = NewestTerm(),
      .promoted = m_promoted,
      .promoted_term = m_promoted_term,
      .received = m_promoted_received};
  m_ports.store.Update(
      RecordCollection::kPrimaryChanges, m_options.group.value(), m_token,
      EncodePrimaryChange(ended), kStoreTimeout,
      [self = shared_from_this(), ended](auto record) {
        if (record) {
          self->m_context.changes.Observe(self->m_options.group,
                                          record.value().revision, ended,
                                          self->m_context.timers.now());
          return self->AnnounceEnd(
              {self->m_options.group, record.value().revision, ended});
        }
        self->Log("release_failed", {{"error", record.error().message}});
        // A conflict: an earlier call was carried out, or there is a new claim.
        if (record.error().code == ErrorCode::kConflict ||
            ++self->m_release_calls >= kMaxReleaseCalls)
          return;
        self->m_context.timers.After(kReleaseRetryDelay,
                                     [self] { self->Release(); });
      });
}

}  // namespace jackdawturn::gateway
