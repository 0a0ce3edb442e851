#include <cmath>

#include "rate_limits/rate_limits.h"

#include "support/table_test.h"

namespace jackdawturn::rate_limits {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

const TimePoint kStart{std::chrono::hours(1)};

bool Near(double one, double other) {
  return std::abs(one - other) < 1e-6;
}

}  // namespace

// Guards against a zone that can never start an operation because its share of
// a small burst is below one, and against a limit of zero that lets some pass.
struct ShareCase {
  double per_second;
  double burst;
  size_t zones;
  BucketLimit share;
};

static const ShareCase kShares[] = {
    {30, 60, 3, {10, 20}}, {30, 60, 1, {30, 60}}, {3, 1, 3, {1, 1}},
    {3, 0, 3, {1, 1}},     {0, 6, 3, {0, 2}},     {0, 0, 3, {0, 0}},
};

TABLE_TEST(token_bucket, share_of_a_zone, kShares) {
  const ShareCase& row = kShares[*row_index];
  cr_expect_eq(ShareOfZone(row.per_second, row.burst, row.zones), row.share);
}

// Guards against a level that is wrong after a time, a level beyond the
// capacity, and tokens that are lost between two looks at the bucket.
struct LevelCase {
  double start;
  double taken;
  Duration time;
  double level;
};

static const LevelCase kLevels[] = {
    {20, 0, 1s, 20},  {20, 5, 0s, 15},  {20, 20, 500ms, 5},
    {0, 0, 100ms, 1}, {20, 50, 1s, 10}, {20, 20, 1h, 20},
    {50, 1, 0s, 19},  {-5, 0, 1s, 10},  {0, 0, -1s, 0},
};

TABLE_TEST(token_bucket, fills_up_to_its_capacity, kLevels) {
  const LevelCase& row = kLevels[*row_index];
  TokenBucket bucket({.per_second = 10, .capacity = 20}, row.start, kStart);
  bucket.Take(row.taken, kStart);
  cr_expect(Near(bucket.Level(kStart + row.time), row.level));
}

// Load: a limit that is changed under demand. Guards against tokens of the old
// limit that remain beyond the new capacity, and against a rate that applies to
// the time before it was in force.
struct ChangeCase {
  BucketLimit limit;
  Duration time;
  double level;
};

static const ChangeCase kChanges[] = {
    // 10 tokens were left 1 s before the change, so 20 at the change.
    {{10, 20}, 0s, 20}, {{1, 5}, 0s, 5},    {{1, 5}, 10s, 5},  {{0, 0}, 10s, 0},
    {{10, 40}, 0s, 20}, {{10, 40}, 1s, 30}, {{5, 40}, 1s, 25},
};

TABLE_TEST(token_bucket, change_of_the_limit, kChanges) {
  const ChangeCase& row = kChanges[*row_index];
  TokenBucket bucket({.per_second = 10, .capacity = 20}, 10, kStart);
  bucket.SetLimit(row.limit, kStart + 1s);
  cr_expect(Near(bucket.Level(kStart + 1s + row.time), row.level));
}

// Guards against a client that is told to retry before anything can have
// changed, and against a time that overflows where nothing is ever allowed.
struct TimeCase {
  BucketLimit limit;
  double tokens;
  Duration time;
};

static const TimeCase kTimes[] = {
    {{10, 20}, 1, 100ms}, {{10, 20}, 5, 500ms}, {{10, 20}, 0, 0ms},
    {{10, 20}, 100, 5s},  {{0, 20}, 1, 5s},     {{1e-9, 1}, 1, 5s},
};

TABLE_TEST(token_bucket, time_until_there_are_tokens, kTimes) {
  const TimeCase& row = kTimes[*row_index];
  const TokenBucket bucket(row.limit, 0, kStart);
  cr_expect_eq(bucket.TimeUntil(row.tokens, 5s, kStart), row.time);
}

}  // namespace jackdawturn::rate_limits
