#pragma once

#include "core/core.h"

namespace jackdawturn::rate_limits {

// A rate limit, or a zone's share of one: within any time `t` at most
// `per_second` * t + `capacity` operations.
struct BucketLimit {
  double per_second = 0;
  double capacity = 0;

  friend bool operator==(const BucketLimit&, const BucketLimit&) = default;
};

// Returns the share of each of `zones` zones of a limit. A share has room for
// one operation, unless nothing is allowed at all; otherwise a zone could never
// start one. Precondition: `zones` > 0. Thread-safe.
BucketLimit ShareOfZone(double per_second, double burst, size_t zones);

// Returns the part `fraction` of a limit, with room for one operation as in
// ShareOfZone(). Thread-safe.
BucketLimit PartOf(const BucketLimit& limit, double fraction);

// A token bucket. Deterministic. The time never goes back. Thread safety: not
// thread-safe.
class TokenBucket {
 public:
  // Starts with `level` tokens, at most the capacity.
  TokenBucket(const BucketLimit& limit, double level, TimePoint now);

  // Puts another limit in force. Tokens beyond its capacity are lost; tokens
  // are never added at once.
  void SetLimit(const BucketLimit& limit, TimePoint now);
  // Lowers the level to at most `level`.
  void LowerTo(double level, TimePoint now);
  // Takes tokens, at most those that are there.
  void Take(double tokens, TimePoint now);

  const BucketLimit& limit() const { return m_limit; }
  // Returns the number of tokens.
  double Level(TimePoint now) const;
  // Returns how long it takes until there are `tokens`, from 0 on, at most
  // `longest`.
  Duration TimeUntil(double tokens, Duration longest, TimePoint now) const;

 private:
  BucketLimit m_limit;
  double m_level = 0;
  TimePoint m_updated;
};

}  // namespace jackdawturn::rate_limits
