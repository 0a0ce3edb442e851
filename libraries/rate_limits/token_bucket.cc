#include "rate_limits/token_bucket.h"

#include <algorithm>
#include <chrono>

namespace jackdawturn::rate_limits {

namespace {

using Seconds = std::chrono::duration<double>;

BucketLimit WithRoomForOne(BucketLimit limit) {
  if (limit.per_second > 0 || limit.capacity > 0)
    limit.capacity = std::max(limit.capacity, 1.0);
  return limit;
}

}  // namespace

BucketLimit ShareOfZone(double per_second, double burst, size_t zones) {
  VERIFY(zones > 0);
  const auto count = static_cast<double>(zones);
  return WithRoomForOne({per_second / count, burst / count});
}

BucketLimit PartOf(const BucketLimit& limit, double fraction) {
  return WithRoomForOne(
      {limit.per_second * fraction, limit.capacity * fraction});
}

TokenBucket::TokenBucket(const BucketLimit& limit, double level, TimePoint now)
    : m_limit(limit),
      m_level(std::clamp(level, 0.0, limit.capacity)),
      m_updated(now) {}

void TokenBucket::SetLimit(const BucketLimit& limit, TimePoint now) {
  m_level = std::min(Level(now), limit.capacity);
  m_updated = now;
  m_limit = limit;
}

void TokenBucket::LowerTo(double level, TimePoint now) {
  m_level = std::clamp(level, 0.0, Level(now));
  m_updated = now;
}

void TokenBucket::Take(double tokens, TimePoint now) {
  m_level = std::max(Level(now) - tokens, 0.0);
  m_updated = now;
}

double TokenBucket::Level(TimePoint now) const {
  const Seconds elapsed = std::max(now - m_updated, Duration(0));
  return std::min(m_level + m_limit.per_second * elapsed.count(),
                  m_limit.capacity);
}

Duration TokenBucket::TimeUntil(double tokens,
                                Duration longest,
                                TimePoint now) const {
  const double missing = tokens - Level(now);
  if (missing <= 0)
    return Duration(0);
  const double longest_seconds = Seconds(longest).count();
  if (missing >= m_limit.per_second * longest_seconds)
    return longest;
  return std::chrono::ceil<Duration>(Seconds(missing / m_limit.per_second));
}

}  // namespace jackdawturn::rate_limits
