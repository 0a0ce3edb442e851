#include <algorithm>
#include <vector>

#include "rate_limits/rate_limits.h"

#include "support/table_test.h"

namespace jackdawturn::rate_limits {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

const TimePoint kStart{std::chrono::hours(1)};
const CustomerName kCustomer("museum");

// A client whose questions and decisions are recorded.
struct Fixture {
  std::vector<PermitQuestion> questions;
  std::vector<PermitDecision> decisions;
  PermitClient client{[this](const PermitQuestion& question) {
    questions.push_back(question);
  }};

  void Admit(size_t count, TimePoint time) {
    for (size_t index = 0; index < count; ++index)
      client.Admit(kCustomer, time + 1s, time,
                   [this](const PermitDecision& decision) {
                     decisions.push_back(decision);
                   });
  }
  void Answer(size_t granted, TimePoint time) {
    client.Answered(kCustomer, {.granted = granted, .retry_after = 300ms},
                    time);
  }
  size_t admitted() const {
    return static_cast<size_t>(
        std::count_if(decisions.begin(), decisions.end(),
                      [](const auto& decision) { return decision.admitted; }));
  }
};

}  // namespace

// Load: a burst at one proxy. Guards against a question for each operation, and
// against operations that are refused because they arrived after the question.
struct BatchCase {
  // Operations before and after the first question was sent.
  size_t later;
  size_t granted_first;
  size_t granted_next;
  size_t admitted;
  size_t decided;
};

static const BatchCase kBatches[] = {
    {0, 1, 0, 1, 1},  {0, 0, 0, 0, 1},  {9, 1, 9, 10, 10},
    {9, 0, 9, 9, 10}, {9, 1, 4, 5, 10}, {9, 0, 0, 0, 10},
};

TABLE_TEST(permit_client, operations_share_questions, kBatches) {
  const BatchCase& row = kBatches[*row_index];
  Fixture fixture;
  fixture.Admit(1, kStart);
  fixture.Admit(row.later, kStart + 1ms);
  cr_assert_eq(fixture.questions.size(), 1U);
  fixture.Answer(row.granted_first, kStart + 2ms);
  cr_assert_eq(fixture.questions.size(), row.later > 0 ? 2U : 1U);
  if (row.later > 0) {
    cr_expect_eq(fixture.questions.back().needed, row.later);
    fixture.Answer(row.granted_next, kStart + 4ms);
  }
  cr_expect_eq(fixture.admitted(), row.admitted);
  cr_expect_eq(fixture.decisions.size(), row.decided);
}

// Load: demand that ends and returns. Guards against permits of a time with
// little demand that add to those of the time after, and against a question
// although a permit is at hand.
struct ExpiryCase {
  // How long after the question.
  Duration time;
  bool at_hand;
};

static const ExpiryCase kExpiries[] = {{10ms, true},
                                       {249ms, true},
                                       {250ms, false},
                                       {1h, false}};

TABLE_TEST(permit_client, permits_expire, kExpiries) {
  const ExpiryCase& row = kExpiries[*row_index];
  Fixture fixture;
  fixture.Admit(1, kStart);
  fixture.Answer(2, kStart + 5ms);
  cr_assert_eq(fixture.admitted(), 1U);
  fixture.Admit(1, kStart + row.time);
  cr_expect_eq(fixture.admitted(), row.at_hand ? 2U : 1U);
  cr_expect_eq(fixture.questions.size(), row.at_hand ? 1U : 2U);
  cr_expect_eq(fixture.client.expired(), row.at_hand ? 0U : 1U);
}

// Load: a hot customer at one proxy. Guards against a question for each
// operation, and against permits that are asked for and never used.
struct AdvanceCase {
  size_t recent;
  size_t wanted;
};

static const AdvanceCase kAdvances[] = {{0, 1}, {2, 1}, {20, 5}, {200, 50}};

TABLE_TEST(permit_client, asks_in_advance_for_recent_demand, kAdvances) {
  const AdvanceCase& row = kAdvances[*row_index];
  Fixture fixture;
  fixture.Admit(row.recent, kStart);
  while (!fixture.questions.empty() && fixture.decisions.size() < row.recent)
    fixture.Answer(fixture.questions.back().needed, kStart + 1ms);
  fixture.Admit(1, kStart + 2ms);
  cr_expect_eq(fixture.questions.back().needed, 1U);
  cr_expect_eq(fixture.questions.back().wanted, row.wanted);
}

// Guards against a client that is refused without a time to return, and against
// memory that grows with every customer that was ever seen.
Test(permit_client, refusal_and_memory) {
  Fixture fixture;
  fixture.Admit(1, kStart);
  fixture.client.Sweep(kStart + 10s);
  cr_assert_eq(fixture.client.size(), 1U);
  fixture.Answer(0, kStart + 10s);
  cr_assert_eq(fixture.decisions.size(), 1U);
  cr_expect_eq(fixture.decisions.front().retry_after, 300ms);
  fixture.client.Sweep(kStart + 13s);
  cr_expect_eq(fixture.client.size(), 0U);
}

}  // namespace jackdawturn::rate_limits
