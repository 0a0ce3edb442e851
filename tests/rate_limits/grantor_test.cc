#include <optional>
#include <string>

#include "rate_limits/rate_limits.h"

#include "support/table_test.h"

namespace jackdawturn::rate_limits {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

const TimePoint kStart{std::chrono::hours(1)};
const CustomerName kCustomer("museum");
constexpr BucketLimit kShare{.per_second = 20, .capacity = 40};
// What may be granted at once without votes.
constexpr size_t kPart = 5;
constexpr size_t kMany = 1'000;

// A grantor that has run for long.
Grantor MakeGrantor() {
  return Grantor(kStart - 1h);
}

void Confirm(Grantor& grantor, Duration free_for, TimePoint time) {
  grantor.Confirm(kCustomer, kShare, time, free_for, time);
}

}  // namespace

// Load: a customer far beyond its limit, and a grantor that was lost, has
// restarted or is wrongly suspected. Guards against a new grantor that grants
// the burst which the one before has used, and against one without votes that
// grants more than its part.
struct BeginCase {
  Duration uptime;
  // How long nobody else has been the grantor; nullopt: not confirmed.
  std::optional<Duration> free_for;
  size_t granted;
};

static const BeginCase kBegins[] = {
    {1h, std::nullopt, kPart},
    {0s, std::nullopt, 0},
    {1s, std::nullopt, 2},
    {1h, 60s, 40},
    {1h, 1s, 20},
    {1h, 0s, 0},
    {0s, 60s, 40},
};

TABLE_TEST(grantor, first_operations_of_a_customer, kBegins) {
  const BeginCase& row = kBegins[*row_index];
  Grantor grantor(kStart - row.uptime);
  if (row.free_for)
    Confirm(grantor, *row.free_for, kStart);
  cr_expect_eq(grantor.Grant(kCustomer, kShare, kMany, true, kStart),
               row.granted);
}

// Guards against a grantor that goes on with the whole share when its votes
// have ended, and against one that loses its tokens with each renewal.
struct RenewalCase {
  // When votes are won again after the first time.
  Duration again;
  Duration free_for;
  Duration asked;
  size_t granted;
};

static const RenewalCase kRenewals[] = {
    // Renewed in time: what others did does not matter.
    {900ms, 900ms, 1s, 20},
    // Lapsed, and nobody else had them meanwhile.
    {1'500ms, 60s, 2s, 40},
    // Lapsed, and somebody else had them until then.
    {1'500ms, 0s, 1'750ms, 5},
    // Not renewed.
    {1h, 0s, 2s, kPart},
};

TABLE_TEST(grantor, renewal_of_votes, kRenewals) {
  const RenewalCase& row = kRenewals[*row_index];
  Grantor grantor = MakeGrantor();
  Confirm(grantor, 60s, kStart);
  cr_assert_eq(grantor.Grant(kCustomer, kShare, kMany, true, kStart), 40U);
  if (row.again < row.asked)
    Confirm(grantor, row.free_for, kStart + row.again);
  cr_expect_eq(
      grantor.Grant(kCustomer, kShare, kMany, true, kStart + row.asked),
      row.granted);
}

// Load: 10,000 customers with little demand each. Guards against questions to
// voters where the part that needs no votes suffices, against operations that
// wait for votes that end in time, and against a storm of questions while votes
// are not obtained.
struct VoteCase {
  bool confirmed;
  size_t used;
  Duration time;
  bool begin;
};

static const VoteCase kVotes[] = {
    {false, 0, 0s, false}, {false, kPart, 0s, true}, {false, kPart, 1s, false},
    {true, 0, 0s, false},  {true, 0, 400ms, false},  {true, 0, 600ms, true},
};

TABLE_TEST(grantor, votes_are_asked_for_when_needed, kVotes) {
  const VoteCase& row = kVotes[*row_index];
  Grantor grantor = MakeGrantor();
  if (row.confirmed)
    Confirm(grantor, 60s, kStart);
  grantor.Grant(kCustomer, kShare, row.used, true, kStart);
  const TimePoint time = kStart + row.time;
  cr_expect_eq(grantor.BeginVotes(kCustomer, kShare, 1, true, time), row.begin);
  cr_expect_not(grantor.BeginVotes(kCustomer, kShare, 1, true, time + 1ms));
}

// Load: uneven zones, clients that shift between zones. Guards against tokens
// that are lent and granted as well, and against a lender that refuses its own
// clients right after.
struct LoanCase {
  size_t own_use;
  size_t wanted;
  size_t lent;
  size_t left;
};

static const LoanCase kLoans[] = {
    {0, 10, 10, 30}, {0, kMany, 40, 0}, {10, kMany, 20, 10},
    {20, 5, 0, 20},  {40, 5, 0, 0},
};

TABLE_TEST(grantor, loans, kLoans) {
  const LoanCase& row = kLoans[*row_index];
  Grantor grantor = MakeGrantor();
  Confirm(grantor, 60s, kStart);
  grantor.Grant(kCustomer, kShare, row.own_use, true, kStart);
  cr_expect_eq(grantor.Lend(kCustomer, kShare, row.wanted, true, kStart),
               row.lent);
  cr_expect_eq(grantor.Grant(kCustomer, kShare, kMany, true, kStart), row.left);
}

// Load: a lowered limit. Guards against a burst of the old limit.
Test(grantor, lowered_limit_cuts_the_bucket) {
  Grantor grantor = MakeGrantor();
  Confirm(grantor, 60s, kStart);
  cr_assert_eq(grantor.Grant(kCustomer, kShare, 1, true, kStart), 1U);
  const BucketLimit lower{.per_second = 2, .capacity = 4};
  cr_expect_eq(grantor.Grant(kCustomer, lower, kMany, true, kStart + 100ms),
               4U);
}

// Load: a customer at many times its limit. Guards against refused clients that
// all return when the first token is there.
Test(grantor, retry_time_grows_with_those_refused) {
  Grantor grantor = MakeGrantor();
  Confirm(grantor, 0s, kStart);
  cr_expect_eq(grantor.RetryAfter(kCustomer, kShare, kStart), 50ms);
  grantor.CountRefused(kCustomer, 9, kStart);
  cr_expect_eq(grantor.RetryAfter(kCustomer, kShare, kStart), 500ms);
  grantor.CountRefused(kCustomer, kMany, kStart);
  cr_expect_eq(grantor.RetryAfter(kCustomer, kShare, kStart),
               Grantor::kLongestRetry);
}

// Guards against memory that grows with every customer that was ever seen.
Test(grantor, full_buckets_are_dropped) {
  Grantor grantor = MakeGrantor();
  for (size_t index = 0; index < kMany; ++index)
    grantor.Grant(CustomerName(std::to_string(index)), kShare, 5, true, kStart);
  grantor.Sweep(kStart + 100ms);
  cr_expect_eq(grantor.size(), kMany);
  grantor.Sweep(kStart + 10s);
  cr_expect_eq(grantor.size(), 0U);
}

}  // namespace jackdawturn::rate_limits
