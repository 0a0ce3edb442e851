#include <string>

#include "rate_limits/rate_limits.h"

#include "support/table_test.h"

namespace jackdawturn::rate_limits {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

const TimePoint kStart{std::chrono::hours(1)};
const CustomerName kCustomer("museum");
const VmName kFirst("a1");
const VmName kSecond("a2");

}  // namespace

// Load: a grantor that is lost or wrongly suspected. Guards against a vote for
// two proxies at a time, and against a voter that does not tell the second one
// how lately the first one had it.
struct CandidateCase {
  VmName candidate;
  // How long after the vote for the first proxy.
  Duration time;
  bool given;
  Duration free_for;
};

static const CandidateCase kCandidates[] = {
    {kFirst, 500ms, true, 60s},   {kFirst, 2s, true, 60s},
    {kSecond, 0ms, false, 0s},    {kSecond, 999ms, false, 0s},
    {kSecond, 1'000ms, true, 0s}, {kSecond, 3s, true, 2s},
};

TABLE_TEST(grant_votes, one_candidate_at_a_time, kCandidates) {
  const CandidateCase& row = kCandidates[*row_index];
  GrantVotes votes(kStart - 1h);
  cr_assert(votes.Ask(kCustomer, kFirst, kStart).given);
  const GrantVote vote = votes.Ask(kCustomer, row.candidate, kStart + row.time);
  cr_expect_eq(vote.given, row.given);
  cr_expect_eq(vote.free_for, row.free_for);
}

// Load: a restart. Guards against a voter that gives a vote again which it has
// forgotten, and against one that says its vote was free before it started.
struct RestartCase {
  Duration uptime;
  bool given;
  Duration free_for;
};

static const RestartCase kRestarts[] = {
    {0ms, false, 0s}, {999ms, false, 0s}, {1s, true, 1s},
    {5s, true, 5s},   {90s, true, 60s},
};

TABLE_TEST(grant_votes, voter_that_has_restarted, kRestarts) {
  const RestartCase& row = kRestarts[*row_index];
  GrantVotes votes(kStart - row.uptime);
  const GrantVote vote = votes.Ask(kCustomer, kFirst, kStart);
  cr_expect_eq(vote.given, row.given);
  cr_expect_eq(vote.free_for, row.free_for);
}

// Guards against a candidate that loses its vote with a question of another
// one, and against a customer's vote that binds that of another customer.
Test(grant_votes, refused_candidate_changes_nothing) {
  GrantVotes votes(kStart - 1h);
  cr_assert(votes.Ask(kCustomer, kFirst, kStart).given);
  cr_assert_not(votes.Ask(kCustomer, kSecond, kStart + 500ms).given);
  cr_expect(votes.Ask(kCustomer, kFirst, kStart + 900ms).given);
  cr_expect(votes.Ask(CustomerName("other"), kSecond, kStart).given);
}

// Guards against memory that grows with every customer that was ever seen.
Test(grant_votes, old_votes_are_dropped) {
  GrantVotes votes(kStart - 1h);
  for (size_t index = 0; index < 100; ++index)
    votes.Ask(CustomerName(std::to_string(index)), kFirst, kStart);
  votes.Sweep(kStart + 30s);
  cr_expect_eq(votes.size(), 100U);
  votes.Sweep(kStart + 62s);
  cr_expect_eq(votes.size(), 0U);
}

}  // namespace jackdawturn::rate_limits
