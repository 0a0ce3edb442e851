#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <vector>

#include "gateway/gateway.h"

// Checks what the proxies of a fleet did with the limits of customers. Sees
// only which operations arrived, started and were refused, and the limits.

namespace jackdawturn::gateway {

// Operations are counted in windows of this length.
inline constexpr Duration kWindow = std::chrono::seconds(5);
// How far a count may exceed the limit: by this factor, and by these
// operations.
inline constexpr double kOverrun = 1.1;
inline constexpr double kSlack = 20;
// Without faults, the share of operations that may be refused beyond what one
// bucket for the whole fleet would refuse.
inline constexpr double kNeedlesslyRefused = 0.01;

// A limit, and when it may be used.
struct LimitPeriod {
  RateLimit limit;
  TimePoint from;
  // When all proxies had a later limit.
  TimePoint until = TimePoint::max();
};

struct CustomerRecord {
  CustomerName name;
  std::vector<LimitPeriod> limits;
  std::vector<TimePoint> started;
  std::vector<TimePoint> arrived;
  size_t refused = 0;
  // The demand as a multiple of the limit.
  double load = 1;
  std::array<double, 3> zone_weights{1, 1, 1};
};

// Returns the largest count that the limits allow in a window.
inline double Allowed(const CustomerRecord& customer, TimePoint from) {
  double allowed = 0;
  for (const LimitPeriod& period : customer.limits) {
    // A lower limit binds when it has been in force for one window.
    const bool applies =
        period.from <= from + kWindow &&
        (period.until == TimePoint::max() || from <= period.until + kWindow);
    const double seconds = std::chrono::duration<double>(kWindow).count();
    if (applies)
      allowed = std::max(
          allowed, period.limit.per_second * seconds + period.limit.burst);
  }
  return allowed * kOverrun + kSlack;
}

inline bool KeepsLimit(const CustomerRecord& customer) {
  const auto& started = customer.started;
  size_t end = 0;
  for (size_t begin = 0; begin < started.size(); ++begin) {
    while (end < started.size() && started[end] <= started[begin] + kWindow)
      ++end;
    const auto count = static_cast<double>(end - begin);
    if (count > Allowed(customer, started[begin])) {
      if (std::getenv("VERBOSE"))
        std::cerr << customer.name << ": " << count << " operations, allowed "
                  << Allowed(customer, started[begin]) << " from "
                  << started[begin].time_since_epoch().count() / 1000
                  << " ms\n";
      return false;
    }
  }
  return true;
}

// Returns how many of the operations one bucket for the whole fleet refuses.
inline size_t RefusedByOneBucket(const CustomerRecord& customer) {
  const RateLimit& limit = customer.limits.front().limit;
  rate_limits::TokenBucket bucket({limit.per_second, limit.burst}, limit.burst,
                                  customer.limits.front().from);
  size_t refused = 0;
  for (const TimePoint time : customer.arrived) {
    if (bucket.Level(time) >= 1)
      bucket.Take(1, time);
    else
      ++refused;
  }
  return refused;
}

// Returns whether few operations are refused that the limit allows.
inline bool RefusesLittle(const CustomerRecord& customer) {
  const auto arrived = static_cast<double>(customer.arrived.size());
  const size_t unavoidable = RefusedByOneBucket(customer);
  const double needless =
      static_cast<double>(customer.refused) - static_cast<double>(unavoidable);
  const bool little = needless <= arrived * kNeedlesslyRefused;
  if (!little && std::getenv("VERBOSE"))
    std::cerr << customer.name << ": refused " << customer.refused << " of "
              << arrived << ", one bucket " << unavoidable << ", limit "
              << customer.limits.front().limit.per_second << "/s + "
              << customer.limits.front().limit.burst << '\n';
  return little;
}

}  // namespace jackdawturn::gateway
