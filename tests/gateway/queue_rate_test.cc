#include <vector>

#include "gateway/gateway.h"

#include "support/table_test.h"

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

const TimePoint kStart{std::chrono::hours(1)};

}  // namespace

// How a queue was served, and the estimate for 10 further requests 10 ms after
// the last departure. A wrong estimate refuses requests that could be served.
struct QueueRateCase {
  const char* pattern;
  size_t departures;
  Duration between;
  // The queue is empty for this long after each departure.
  Duration empty;
  Duration age;
  std::optional<Duration> time_for_ten;
};

static const QueueRateCase kQueueRates[] = {
    {"no request has left the queue", 0, 0ms, 0ms, 0ms, std::nullopt},
    {"too few have left it", 15, 10ms, 0ms, 0ms, std::nullopt},
    {"a steady queue", 41, 10ms, 0ms, 10ms, 102'500us},
    {"the queue was empty in between, for want of requests", 21, 10ms, 30ms,
     10ms, 105ms},
    {"nothing has left the queue for a while: slower", 41, 10ms, 0ms, 410ms,
     202'500us},
    {"the last departure is too long ago", 41, 10ms, 0ms, 1'500ms,
     std::nullopt},
};

TABLE_TEST(gateway_queue_rate, estimate, kQueueRates) {
  const QueueRateCase& row = kQueueRates[*row_index];
  QueueRate rate;
  TimePoint now = kStart;
  for (size_t count = 0; count < row.departures; ++count) {
    rate.BecameOccupied(now);
    now += row.between;
    rate.Departed(now);
    if (row.empty == Duration(0))
      continue;
    rate.BecameEmpty(now);
    now += row.empty;
  }
  rate.BecameOccupied(now);
  const auto time = rate.TimeFor(10, now + row.age);
  cr_assert_eq(time.has_value(), row.time_for_ten.has_value(), "%s",
               row.pattern);
  if (time)
    cr_assert_eq(time->count(), row.time_for_ten->count(), "%s: %lld",
                 row.pattern, static_cast<long long>(time->count()));
}

}  // namespace jackdawturn::gateway
