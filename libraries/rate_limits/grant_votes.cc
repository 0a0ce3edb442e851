#include "rate_limits/grant_votes.h"

#include <algorithm>

namespace jackdawturn::rate_limits {

GrantVote GrantVotes::Ask(const CustomerName& customer,
                          const VmName& candidate,
                          TimePoint now) {
  if (now - m_started < kVoteTime)
    return {};
  const auto [entry, is_new] = m_votes.try_emplace(customer);
  Vote& vote = entry->second;
  if (is_new) {
    vote = {.holder = candidate, .until = now, .earlier_until = m_started};
  } else if (vote.holder != candidate) {
    if (now < vote.until)
      return {};
    vote.holder = candidate;
    vote.earlier_until = vote.until;
  }
  vote.until = now + kVoteTime;
  const Duration free_for = now - std::max(vote.earlier_until, m_started);
  return {.given = true, .free_for = std::min(free_for, kMemory)};
}

void GrantVotes::Sweep(TimePoint now) {
  std::erase_if(m_votes, [now](const auto& entry) {
    return now - entry.second.until > kMemory;
  });
}

}  // namespace jackdawturn::rate_limits
