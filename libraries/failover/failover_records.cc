#include <algorithm>

#include "failover/failover_machine.h"

namespace jackdawturn::failover {

namespace {

// Number of candidates that receive a new record directly from the proxy that
// wrote it, not by gossip.
constexpr size_t kDirectAnnouncements = 8;
// Other proxies send FollowInstance only after the proxy that made the change
// has had time to do so.
constexpr Duration kRepairDelay = std::chrono::milliseconds(60);
constexpr Duration kFirstProbeDelay = std::chrono::milliseconds(40);
// Candidates above this rank wait much longer, so that a fleet of any size
// makes only a few platform calls while the platform or a claimer is slow.
constexpr size_t kStaggeredRanks = 6;
constexpr Duration kMaxStagger = std::chrono::milliseconds(400);
constexpr Duration kHighRankStagger = std::chrono::milliseconds(2'000);

}  // namespace

const std::vector<InstanceName>& FailoverMachine::Instances() const {
  return m_newest ? m_newest->record.instances : m_settings.instances;
}

size_t FailoverMachine::Quorum() const {
  return std::max<size_t>(1, Instances().size() - 1);
}

InstanceName FailoverMachine::Primary() const {
  return m_steady ? m_steady->record.primary : InstanceName();
}

Term FailoverMachine::NextTerm() const {
  Term highest = m_newest ? m_newest->record.term : Term();
  for (const auto& [name, instance] : m_instances) {
    if (instance.report)
      highest = std::max(highest, instance.report->accepted_term);
  }
  return highest.Next();
}

std::vector<std::string> FailoverMachine::Order() const {
  std::vector<std::string> names;
  names.reserve(m_peers.size());
  for (const FailoverPeer& peer : m_peers)
    names.push_back(peer.vm.value());
  const Term term = m_newest ? m_newest->record.term.Next() : Term{1};
  return RendezvousOrder(
      m_settings.group.value() + '/' + std::to_string(term.value),
      std::move(names));
}

void FailoverMachine::UpdateCandidateRank() {
  const Term term = m_newest ? m_newest->record.term.Next() : Term{1};
  const std::string key =
      m_settings.group.value() + '/' + std::to_string(term.value);
  const std::string& self = m_settings.self.value();
  const uint64_t weight = RendezvousWeight(key, self);
  bool member = false;
  size_t rank = 0;
  for (const FailoverPeer& peer : m_peers) {
    const std::string& other = peer.vm.value();
    if (other == self) {
      member = true;
      continue;
    }
    const uint64_t other_weight = RendezvousWeight(key, other);
    if (other_weight > weight || (other_weight == weight && other < self))
      ++rank;
  }
  m_candidate_rank = member ? rank : m_peers.size();
}

Duration FailoverMachine::CandidateDelay() const {
  const size_t quick = std::min(m_candidate_rank, kStaggeredRanks);
  const Duration stagger =
      std::max(m_settings.times.candidate_stagger,
               std::min(m_platform_rtt.UpperBound(), kMaxStagger));
  return stagger * static_cast<int64_t>(quick) +
         kHighRankStagger * static_cast<int64_t>(m_candidate_rank - quick);
}

void FailoverMachine::Accept(const VersionedRecord& seen) {
  if (m_newest && seen.version <= m_newest->version)
    return;
  if (seen.record.group != m_settings.group || seen.record.instances.empty() ||
      (m_newest && seen.record.term < m_newest->record.term)) {
    AddTimelineEvent("record_refused",
                     "term " + std::to_string(seen.record.term.value) +
                         " of version " + std::to_string(seen.version.value));
    return;
  }
  m_newest = seen;
  m_newest_at = m_now;
  m_higher_term_since.reset();
  UpdateCandidateRank();
  m_eligible_since.reset();
  if (seen.version > ObjectVersion())
    m_effects.emplace_back(failover_effect::RecordAccepted{seen});
  if (seen.record.phase == GroupPhase::kSteady)
    AcceptSteady(seen);
  const bool own = !m_change.attempt.empty() &&
                   seen.record.attempt == m_change.attempt &&
                   seen.record.term == m_change.term;
  if (own)
    HandleOwnRecord(seen);
  else
    HandleOtherRecord(seen);
}

void FailoverMachine::AcceptSteady(const VersionedRecord& seen) {
  if (m_steady)
    m_back_off_until = std::max(m_back_off_until,
                                m_now + m_settings.times.back_off_after_change);
  m_steady = seen;
  if (m_held_term && *m_held_term < seen.record.term)
    Release(false);
  for (const InstanceName& name : seen.record.instances) {
    Instance& instance = m_instances[name];
    instance.next_probe = m_now + kFirstProbeDelay;
    instance.next_follow = m_now + kRepairDelay + CandidateDelay();
    UpdateLogState(name, instance);
  }
  m_next_leaving =
      m_now + m_settings.times.back_off_after_change + CandidateDelay();
}

void FailoverMachine::HandleOwnRecord(const VersionedRecord& seen) {
  const bool steady = seen.record.phase == GroupPhase::kSteady;
  if (steady && state() == "publishing") {
    Published();
  } else if (!steady && (state() == "claiming" || state() == "suspecting" ||
                         state() == "backing_off")) {
    Claimed(seen);
  }
}

void FailoverMachine::HandleOtherRecord(const VersionedRecord& seen) {
  const std::string by = "term " + std::to_string(seen.record.term.value) +
                         " of " + seen.record.changed_by.value();
  if (state() == "claiming") {
    DropCalls(CallKind::kClaim);
    DropCalls(CallKind::kRead);
    EndPlanned(Error{ErrorCode::kConflict, "failover.claim", "", by});
    Fire("claim_lost", by);
  } else if (state() == "suspecting") {
    if (seen.record.phase == GroupPhase::kSteady)
      Fire("newer_record", by);
  } else if (state() != "steady" && state() != "backing_off") {
    Superseded(by);
  }
}

std::vector<VmName> FailoverMachine::NextCandidates() const {
  std::vector<VmName> next;
  for (const std::string& name : Order()) {
    if (next.size() >= kDirectAnnouncements)
      break;
    if (name != m_settings.self.value())
      next.emplace_back(name);
  }
  return next;
}

void FailoverMachine::Announce() {
  m_effects.emplace_back(
      failover_effect::AnnounceRecord{*m_newest, NextCandidates()});
}

void FailoverMachine::ReadRecord() {
  if (HasCall(CallKind::kRead))
    return;
  const Duration timeout = ReadTimeout();
  const FailoverCallId call =
      StartCall(CallKind::kRead, InstanceName(), timeout);
  m_effects.emplace_back(failover_effect::ReadRecord{call, timeout});
  m_next_read = m_now + 4 * timeout;
}

void FailoverMachine::OnReadAnswer(
    const failover_event::PlatformAnswered& event) {
  const bool answered =
      event.outcome == failover_event::PlatformOutcome::kDone && event.current;
  if (answered && event.current->version == ObjectVersion() && !m_newest) {
    // No proxy has created the record yet; the first change does.
    VersionedRecord absent;
    absent.record.group = m_settings.group;
    absent.record.phase = GroupPhase::kChanging;
    absent.record.instances = m_settings.instances;
    Accept(absent);
  } else if (answered) {
    Accept(*event.current);
  }
  if (!answered) {
    m_next_read = m_now + Jitter(m_settings.times.back_off_maximum);
    if (state() == "suspecting")
      m_back_off_until = m_now + BackOffDelay();
  }
  if (state() == "claiming" && !HasCall(CallKind::kClaim)) {
    // The claim may still take effect; its attempt id identifies it then.
    BackOff("platform_silent",
            answered ? "claim has no effect" : "claim cannot be read back");
  } else if (state() == "preparing" && m_change.planned) {
    if (answered)
      m_change.record_read = true;
    else
      RefusePlanned("the platform does not answer");
  }
}

}  // namespace jackdawturn::failover
