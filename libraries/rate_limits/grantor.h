#pragma once

#include <unordered_map>

#include "core/core.h"
#include "rate_limits/recent_count.h"
#include "rate_limits/token_bucket.h"

namespace jackdawturn::rate_limits {

// Grants operations of customers from the shares of this proxy's zone. With the
// votes of most voters (GrantVotes) it grants the whole share; without, the
// part kUnconfirmedPart, because another proxy may be granting the rest.
// Load pattern: a customer far beyond its limit, proxies that replace each
// other as grantor. Deterministic. Thread safety: not thread-safe.
class Grantor {
 public:
  static constexpr double kUnconfirmedPart = 0.125;
  // Votes are renewed when less than this remains of them.
  static constexpr Duration kRenewalTime = std::chrono::milliseconds(500);
  // After votes were not obtained, they are asked for again after this time.
  static constexpr Duration kVoteRetry = std::chrono::milliseconds(100);
  // Before, nothing can have changed: votes and loans are asked for again.
  static constexpr Duration kShortestRetry = std::chrono::milliseconds(50);
  // The longest time after which a refused client is told to retry.
  static constexpr Duration kLongestRetry = std::chrono::seconds(5);

  // `started`: when this process started. Its buckets begin empty then, because
  // an earlier run of the process may have emptied them.
  explicit Grantor(TimePoint started) : m_started(started) {}

  // Returns how many of `wanted` operations may start, and takes their tokens.
  // `is_voter`: whether this proxy is a voter; without votes, only voters
  // grant, so that there are few of them.
  size_t Grant(const CustomerName& customer,
               const BucketLimit& share,
               size_t wanted,
               bool is_voter,
               TimePoint now);
  // Returns how many of `wanted` operations another zone may start from this
  // zone's share, and takes their tokens. What this zone has recently needed
  // within RecentCount::kSpan is kept.
  size_t Lend(const CustomerName& customer,
              const BucketLimit& share,
              size_t wanted,
              bool is_voter,
              TimePoint now);
  // Counts operations that were refused, for RetryAfter().
  void CountRefused(const CustomerName& customer, size_t count, TimePoint now);
  // Returns when a refused client should retry: when the share has filled up
  // enough for those that were refused before it.
  Duration RetryAfter(const CustomerName& customer,
                      const BucketLimit& share,
                      TimePoint now);

  // Returns whether this proxy has the votes of most voters.
  bool Confirmed(const CustomerName& customer, TimePoint now) const;
  // Returns whether to ask for votes, because they end soon or because `wanted`
  // is more than may be granted without them. If so, they count as asked for.
  bool BeginVotes(const CustomerName& customer,
                  const BucketLimit& share,
                  size_t wanted,
                  bool is_voter,
                  TimePoint now);
  // Called when most voters have given their votes to this proxy. `asked_at` is
  // when they were asked; `free_for` is the shortest of GrantVote::free_for.
  void Confirm(const CustomerName& customer,
               const BucketLimit& share,
               TimePoint asked_at,
               Duration free_for,
               TimePoint now);

  // Drops customers whose buckets are full, as those of new ones are.
  void Sweep(TimePoint now);

  // Returns the number of customers that this proxy has granted operations to.
  size_t size() const { return m_customers.size(); }

 private:
  struct Entry {
    TokenBucket whole;
    // What may be granted without votes.
    TokenBucket part;
    // How much of `whole` another grantor may have used is not known.
    bool whole_is_estimate = true;
    TimePoint confirmed_until;
    TimePoint next_vote;
    RecentCount granted;
    RecentCount refused;
  };

  Entry& EntryOf(const CustomerName& customer,
                 const BucketLimit& share,
                 TimePoint now);
  static size_t Available(const Entry& entry, bool is_voter, TimePoint now);
  static void Take(Entry& entry, size_t count, TimePoint now);

  const TimePoint m_started;
  std::unordered_map<CustomerName, Entry> m_customers;
};

}  // namespace jackdawturn::rate_limits
