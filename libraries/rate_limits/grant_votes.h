#pragma once

#include <unordered_map>

#include "core/core.h"

namespace jackdawturn::rate_limits {

// A voter's answer to a proxy that wants to grant a customer's operations.
struct GrantVote {
  bool given = false;
  // If given: for how long no other proxy has had this vote, as far as the
  // voter knows.
  Duration free_for{0};
};

// The votes that one proxy gives: for each customer to one grantor at a time,
// for kVoteTime after its last question. A grantor needs the votes of most
// voters, so that two proxies whose views of the zone differ never both grant
// the whole share. Failures: a partition within a zone, a wrong suspicion, a
// voter that restarts. Deterministic. Thread safety: not thread-safe.
class GrantVotes {
 public:
  static constexpr Duration kVoteTime = std::chrono::milliseconds(1'000);
  // The longest value of free_for. Votes that ended earlier are dropped.
  static constexpr Duration kMemory = std::chrono::seconds(60);

  // `started`: when this process started. It may have forgotten votes that it
  // gave before.
  explicit GrantVotes(TimePoint started) : m_started(started) {}

  // Gives the vote for the customer to the candidate if nobody else has it.
  GrantVote Ask(const CustomerName& customer,
                const VmName& candidate,
                TimePoint now);

  // Drops the votes that ended longer than kMemory ago. To be called now and
  // then.
  void Sweep(TimePoint now);

  // Returns the number of customers with a vote in memory.
  size_t size() const { return m_votes.size(); }

 private:
  struct Vote {
    VmName holder;
    TimePoint until;
    // When the vote for the holder before ended.
    TimePoint earlier_until;
  };

  const TimePoint m_started;
  std::unordered_map<CustomerName, Vote> m_votes;
};

}  // namespace jackdawturn::rate_limits
