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
  const bool missing = !record && record.error().code == ErrorCode::kNotFound;
  if (!record && !missing)
    return End(Outcome::kFailed, record.error().message);
  m_claim_era = m_ports.store.era().current();
  const TimePoint now = m_context.timers.now();
  const auto claim = record ? DecodePrimaryChange(record.value().body)
                            : Result<PrimaryChangeRecord>(record.error());
  if (claim) {
    m_replaced_attempt = claim.value().attempt;
    // The age of a claim counts from when this proxy first saw it.
    m_context.changes.Observe(m_options.group, record.value().revision,
                              claim.value(), now);
  } else if (!missing) {
    Log("bad_claim", {{"error", claim.error().message}});
  }
  // The store may have lost a claim that this proxy knows of.
  if (claim || missing) {
    if (m_context.changes.Claimed(m_options.group, now))
      return End(Outcome::kClaimedByOther,
                 m_context.changes.Last(m_options.group)->claimant.value());
    m_replaces_unresolved = m_context.changes.Pending(m_options.group, now);
    if (m_options.reason == kAbandonedChange && !m_replaces_unresolved)
      return End(Outcome::kNotNeeded, "the earlier change has ended");
  }
  // The store may have lost a claim that no proxy knows of, under which a
  // promotion was requested.
  const auto restored = m_context.store_restored_at;
  if (restored && now < *restored + KnownPrimaryChanges::kUnresolvedTime)
    m_replaces_unresolved = true;
  WriteClaim(record ? record.value().revision : 0);
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

void PrimaryChange::ConfirmClaim() {
  constexpr Duration kConfirmTimeout = 300ms;
  if (!m_ports.store.era().has_eras())
    return Promote();
  m_ports.store.Read(RecordCollection::kPrimaryChanges, m_options.group.value(),
                     kConfirmTimeout,
                     [self = shared_from_this()](const auto& record) {
                       self->ClaimConfirmed(record);
                     });
}

void PrimaryChange::ClaimConfirmed(const Result<StoredRecord>& record) {
  if (record) {
    const auto claim = DecodePrimaryChange(record.value().body);
    if (!claim || claim.value().attempt != m_options.attempt)
      return EndUnclaimed("the record holds another attempt");
    // A copy that has the claim keeps it in force; the token is then of the
    // present era.
    m_token = record.value().revision;
    return Promote();
  }
  if (record.error().code == ErrorCode::kNotFound || claim_outdated())
    return EndUnclaimed("the store has lost the claim");
  // Where the platform does not check tokens, only the store shows that no
  // later claim is in force.
  if (m_context.needs_leases())
    return EndUnclaimed("the claim could not be read again: " +
                        record.error().message);
  Promote();
}

void PrimaryChange::EndUnclaimed(const std::string& why) {
  Log("not_resumed", {});
  Release();
  End(Outcome::kFailed, why);
}

void PrimaryChange::ReadMembers() {
  m_ports.store.Read(RecordCollection::kGroupMembers, m_options.group.value(),
                     kStoreTimeout,
                     [self = shared_from_this()](const auto& record) {
                       self->MembersRead(record);
                     });
}

void PrimaryChange::MembersRead(const Result<StoredRecord>& record) {
  auto recorded = record ? DecodeMembers(record.value().body)
                         : Result<GroupMembers>(record.error());
  if (recorded && recorded.value().era < RevisionEra(record.value().revision))
    recorded = Failure(ErrorCode::kNotFound, "members.read", "",
                       "the record is of an earlier era of the store");
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
  if (claim_outdated())
    return WriteEndAfterRestore(ended);
  WriteEnd(m_token, ended);
}

void PrimaryChange::WriteEnd(uint64_t expected,
                             const PrimaryChangeRecord& ended) {
  m_ports.store.Update(RecordCollection::kPrimaryChanges,
                       m_options.group.value(), expected,
                       EncodePrimaryChange(ended), kStoreTimeout,
                       [self = shared_from_this(), ended](const auto& record) {
                         self->EndWritten(record, ended);
                       });
}

void PrimaryChange::EndWritten(const Result<StoredRecord>& record,
                               const PrimaryChangeRecord& ended) {
  constexpr unsigned kMaxReleaseCalls = 10;
  if (record) {
    m_context.changes.Observe(m_options.group, record.value().revision, ended,
                              m_context.timers.now());
    return AnnounceEnd({m_options.group, record.value().revision, ended});
  }
  Log("release_failed", {{"error", record.error().message}});
  // A conflict within an era: an earlier call was carried out, or there is a
  // new claim.
  if ((record.error().code == ErrorCode::kConflict && !claim_outdated()) ||
      ++m_release_calls >= kMaxReleaseCalls)
    return;
  m_context.timers.After(kReleaseRetryDelay,
                         [self = shared_from_this()] { self->Release(); });
}

void PrimaryChange::WriteEndAfterRestore(const PrimaryChangeRecord& ended) {
  m_ports.store.Read(
      RecordCollection::kPrimaryChanges, m_options.group.value(), kStoreTimeout,
      [self = shared_from_this(), ended](const Result<StoredRecord>& record) {
        if (!record && record.error().code == ErrorCode::kNotFound)
          return self->WriteEnd(0, ended);
        if (!record)
          return self->EndWritten(record, ended);
        // What this attempt replaced may be overwritten again, a later claim
        // may not.
        const auto found = DecodePrimaryChange(record.value().body);
        if (found && (found.value().attempt == self->m_options.attempt ||
                      found.value().attempt == self->m_replaced_attempt))
          return self->WriteEnd(record.value().revision, ended);
        self->m_context.changes.Observe(self->m_options.group, self->m_token,
                                        ended, self->m_context.timers.now());
      });
}

}  // namespace jackdawturn::gateway
