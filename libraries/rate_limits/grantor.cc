#include "rate_limits/grantor.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "rate_limits/grant_votes.h"

namespace jackdawturn::rate_limits {

namespace {

using Seconds = std::chrono::duration<double>;

// Levels are sums of many fractions; this much is rounding.
constexpr double kRounding = 1e-6;

size_t WholeTokens(double level) {
  return static_cast<size_t>(std::floor(level + kRounding));
}

double FilledIn(const BucketLimit& limit, Duration time) {
  return limit.per_second * Seconds(time).count();
}

}  // namespace

Grantor::Entry& Grantor::EntryOf(const CustomerName& customer,
                                 const BucketLimit& share,
                                 TimePoint now) {
  const auto found = m_customers.find(customer);
  const BucketLimit part = PartOf(share, kUnconfirmedPart);
  if (found == m_customers.end()) {
    const Duration uptime = now - m_started;
    return m_customers
        .emplace(customer,
                 Entry{.whole = TokenBucket(share, share.capacity, now),
                       .part = TokenBucket(part, FilledIn(part, uptime), now)})
        .first->second;
  }
  Entry& entry = found->second;
  if (entry.whole.limit() != share) {
    entry.whole.SetLimit(share, now);
    entry.part.SetLimit(part, now);
  }
  return entry;
}

size_t Grantor::Available(const Entry& entry, bool is_voter, TimePoint now) {
  const size_t whole = WholeTokens(entry.whole.Level(now));
  if (now < entry.confirmed_until)
    return whole;
  if (!is_voter)
    return 0;
  return std::min(whole, WholeTokens(entry.part.Level(now)));
}

void Grantor::Take(Entry& entry, size_t count, TimePoint now) {
  entry.whole.Take(static_cast<double>(count), now);
  entry.part.Take(static_cast<double>(count), now);
}

size_t Grantor::Grant(const CustomerName& customer,
                      const BucketLimit& share,
                      size_t wanted,
                      bool is_voter,
                      TimePoint now) {
  Entry& entry = EntryOf(customer, share, now);
  const size_t count = std::min(wanted, Available(entry, is_voter, now));
  Take(entry, count, now);
  entry.granted.Add(count, now);
  return count;
}

size_t Grantor::Lend(const CustomerName& customer,
                     const BucketLimit& share,
                     size_t wanted,
                     bool is_voter,
                     TimePoint now) {
  Entry& entry = EntryOf(customer, share, now);
  const size_t available = Available(entry, is_voter, now);
  const size_t reserve = entry.granted.Count(now);
  const size_t count =
      std::min(wanted, available - std::min(available, reserve));
  Take(entry, count, now);
  return count;
}

void Grantor::CountRefused(const CustomerName& customer,
                           size_t count,
                           TimePoint now) {
  const auto found = m_customers.find(customer);
  if (found != m_customers.end())
    found->second.refused.Add(count, now);
}

Duration Grantor::RetryAfter(const CustomerName& customer,
                             const BucketLimit& share,
                             TimePoint now) {
  Entry& entry = EntryOf(customer, share, now);
  const auto earlier = static_cast<double>(entry.refused.Count(now));
  return std::max(entry.whole.TimeUntil(1 + earlier, kLongestRetry, now),
                  kShortestRetry);
}

bool Grantor::Confirmed(const CustomerName& customer, TimePoint now) const {
  const auto found = m_customers.find(customer);
  return found != m_customers.end() && now < found->second.confirmed_until;
}

bool Grantor::BeginVotes(const CustomerName& customer,
                         const BucketLimit& share,
                         size_t wanted,
                         bool is_voter,
                         TimePoint now) {
  Entry& entry = EntryOf(customer, share, now);
  const Duration left = entry.confirmed_until - now;
  const bool needed = left > Duration(0)
                          ? left < kRenewalTime
                          : Available(entry, is_voter, now) < wanted;
  if (!needed || now < entry.next_vote)
    return false;
  entry.next_vote = now + kVoteRetry;
  return true;
}

void Grantor::Confirm(const CustomerName& customer,
                      const BucketLimit& share,
                      TimePoint asked_at,
                      Duration free_for,
                      TimePoint now) {
  Entry& entry = EntryOf(customer, share, now);
  // While the votes lasted, nobody else had them.
  const bool lapsed = entry.confirmed_until <= asked_at;
  if (entry.whole_is_estimate || lapsed)
    entry.whole.LowerTo(FilledIn(share, free_for), now);
  entry.whole_is_estimate = false;
  entry.confirmed_until =
      std::max(entry.confirmed_until, asked_at + GrantVotes::kVoteTime);
}

void Grantor::Sweep(TimePoint now) {
  std::erase_if(m_customers, [now](const auto& customer) {
    const Entry& entry = customer.second;
    return now >= entry.confirmed_until && now >= entry.next_vote &&
           entry.whole.Level(now) >= entry.whole.limit().capacity &&
           entry.part.Level(now) >= entry.part.limit().capacity;
  });
}

}  // namespace jackdawturn::rate_limits
