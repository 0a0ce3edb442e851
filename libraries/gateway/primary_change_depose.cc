#include <algorithm>
#include <utility>

#include "gateway/primary_change.h"

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using CommandKind = BackendCommand::Kind;

constexpr Duration kReturnProbeTimeout = 100ms;
constexpr Duration kReturnProbeInterval = 30ms;

}  // namespace

std::vector<PrimaryChange::Member*> PrimaryChange::PrimariesToDepose() {
  // Where a promotion deposes the old primary, it serves until then.
  const bool all = m_context.needs_leases();
  std::vector<Member*> primaries;
  for (auto& [id, member] : m_members) {
    if (member.status && member.status->role == ReplicationRole::kPrimary &&
        (all || !old_primary_serves()))
      primaries.push_back(&member);
  }
  return primaries;
}

void PrimaryChange::PreparePromotion() {
  const auto primaries = PrimariesToDepose();
  for (const Member* primary : primaries)
    Log("depose", {{"instance", primary->server.id.value()},
                   {"term", std::to_string(m_pause_term)}});
  CommandAll(
      primaries, CommandKind::kStepDown,
      [self = shared_from_this(), primaries] { self->Deposed(primaries); });
}

void PrimaryChange::Deposed(const std::vector<Member*>& primaries) {
  LogStatuses("deposed");
  bool unanswered = false;
  for (const Member* primary : primaries) {
    const auto& status = primary->status;
    if (status && status->role == ReplicationRole::kReplica) {
      m_context.directory.MarkDemoted(primary->server.id);
      m_deposed = m_deposed || is_old_primary(*primary);
    } else {
      unanswered = true;
    }
  }
  // While a replica receives, proxies may renew the lease of the old primary.
  if (old_primary_serves() &&
      (unanswered || (m_context.needs_leases() && !m_deposed)))
    return ResumeAndEnd(Outcome::kFailed, "the old primary was not deposed");
  if (m_deposed || !m_context.needs_leases())
    return ConfirmClaim();
  AwaitLeaseEnd();
}

void PrimaryChange::AwaitLeaseEnd() {
  DeposeIfItReturns();
  const TimePoint end = m_paused_at + PrimaryLease::kPromotionDelay;
  m_context.timers.After(std::max(end - m_context.timers.now(), Duration(0)),
                         [self = shared_from_this()] { self->VerifyPaused(); });
}

void PrimaryChange::DeposeIfItReturns() {
  const auto old_primary = m_members.find(m_options.old_primary);
  if (old_primary == m_members.end() || !m_on_end)
    return;
  Member& member = old_primary->second;
  m_ports.open(
      member.server, kReturnProbeTimeout,
      [self = shared_from_this(), &member](auto opened) {
        if (!self->m_on_end)
          return;
        if (opened) {
          member.session = std::move(opened.value());
          return self->Command(member, CommandKind::kStepDown, [](bool) {});
        }
        self->m_context.timers.After(kReturnProbeInterval,
                                     [self] { self->DeposeIfItReturns(); });
      });
}

void PrimaryChange::VerifyPaused() {
  std::vector<Member*> paused;
  for (auto& [id, member] : m_members) {
    if (member.paused)
      paused.push_back(&member);
  }
  CommandAll(paused, CommandKind::kStatus, [self = shared_from_this(), paused] {
    for (const Member* member : paused) {
      if (!member->status || member->status->paused_term != self->m_pause_term)
        return self->ResumeAndEnd(Outcome::kFailed,
                                  "a replica did not stay paused");
    }
    if (!self->MembersUnchanged())
      return self->ResumeAndEnd(Outcome::kFailed, kMembersChanged);
    self->ConfirmClaim();
  });
}

}  // namespace jackdawturn::gateway
