#include <string>
#include <vector>

#include "gateway/gateway.h"

#include "support/table_test.h"

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using Outcome = AnsweredBatch::Outcome;

const TimePoint kStart{std::chrono::hours(1)};

}  // namespace

// One answer that the pace hears of.
struct PaceAnswer {
  const char* database = "loans";
  Duration answer_time = 10ms;
  Outcome outcome = Outcome::kRan;
};

// Answers that arrive one after the other while the demand is higher than the
// limit, and the limit after them.
struct PaceCase {
  const char* pattern;
  std::vector<PaceAnswer> answers;
  size_t limit;
};

static std::vector<PaceAnswer> Repeat(size_t times,
                                      const std::vector<PaceAnswer>& answers) {
  std::vector<PaceAnswer> repeated;
  for (size_t index = 0; index < times; ++index)
    repeated.insert(repeated.end(), answers.begin(), answers.end());
  return repeated;
}

static std::vector<PaceAnswer> Then(std::vector<PaceAnswer> first,
                                    const std::vector<PaceAnswer>& second) {
  first.insert(first.end(), second.begin(), second.end());
  return first;
}

static const PaceCase kPaces[] = {
    {"an instance that has just started: one statement at a time",
     Repeat(4, {{}}), 1},
    {"then the limit grows by half for each round of answers", Repeat(10, {{}}),
     4},
    {"an instance that is fast as ever: the limit grows on", Repeat(36, {{}}),
     17},
    {"one slow kind of statement is not a slow instance",
     Repeat(18, {{}, {.database = "reports", .answer_time = 200ms}}), 17},
    {"one slow answer is not a queue",
     Then(Repeat(8, {{}}), {{.answer_time = 40ms}}), 3},
    {"answer times that rise show a queue at the instance",
     Then(Repeat(16, {{}}), Repeat(2, {{.answer_time = 40ms}})), 3},
    {"an instance that answers slowly at first and then fast",
     Then(Repeat(8, {{.answer_time = 80ms}}), Repeat(8, {{}})), 7},
    {"an instance without room",
     Then(Repeat(10, {{}}), {{.outcome = Outcome::kNoRoom}}), 2},
    {"a refusal for another reason is an answer as well",
     Repeat(10, {{.answer_time = 100us, .outcome = Outcome::kRefused}}), 4},
};

TABLE_TEST(gateway_server_pace, limit_after_answers, kPaces) {
  const PaceCase& row = kPaces[*row_index];
  ServerPace pace;
  pace.Begin(kStart);
  TimePoint now = kStart;
  for (const PaceAnswer& answer : row.answers) {
    now += answer.answer_time;
    pace.Answered({.database = answer.database,
                   .step = StatementStep::kRead,
                   .sent_at = now - answer.answer_time,
                   .outcome = answer.outcome},
                  pace.limit(), now);
  }
  cr_assert(pace.binds(), "%s", row.pattern);
  cr_assert_eq(pace.limit(), row.limit, "%s: %zu", row.pattern, pace.limit());
}

// The limit must not grow beyond what the demand has tried, and it ends when
// the demand stays below it.
Test(gateway_server_pace, ends_when_the_demand_stays_below_the_limit) {
  ServerPace pace;
  cr_assert(pace.Allows(1'000));
  pace.Begin(kStart);
  cr_assert(!pace.Allows(1));
  const AnsweredBatch batch{.database = "loans", .sent_at = kStart};
  for (int count = 0; count < 6; ++count)
    pace.Answered(batch, 1, kStart + 1ms);
  cr_assert_eq(pace.limit(), 2U);
  for (int count = 0; count < 15; ++count)
    pace.Answered(batch, 1, kStart + 1ms);
  cr_assert_eq(pace.limit(), 2U);
  cr_assert(pace.binds());
  pace.Answered(batch, 1, kStart + 1ms);
  cr_assert(!pace.binds());
  cr_assert(pace.Allows(1'000));
}

// Statements that were sent before a halving, or before the instance fell
// silent, are answered later and all at once. They must neither halve the limit
// again nor raise it.
Test(gateway_server_pace, answers_to_earlier_statements_do_not_count) {
  ServerPace pace;
  pace.Begin(kStart);
  const AnsweredBatch early{.database = "loans", .sent_at = kStart - 1ms};
  for (int count = 0; count < 100; ++count)
    pace.Answered(early, 18, kStart + 1ms);
  cr_assert_eq(pace.limit(), 1U);
  cr_assert(pace.binds());
  for (int count = 0; count < 18; ++count)
    pace.Answered({.database = "loans", .sent_at = kStart}, pace.limit(),
                  kStart + 2ms);
  cr_assert_eq(pace.limit(), 8U);
  const AnsweredBatch no_room{.database = "loans",
                              .sent_at = kStart + 1ms,
                              .outcome = Outcome::kNoRoom};
  pace.Answered(no_room, 8, kStart + 3ms);
  pace.Answered(no_room, 7, kStart + 3ms);
  cr_assert_eq(pace.limit(), 4U);
}

// An instance of which single answers are lost still answers others; only one
// from which nothing has come since the statement was sent is silent.
struct SilenceCase {
  const char* pattern;
  std::vector<Duration> answers_at;
  bool silent;
};

static const SilenceCase kSilences[] = {
    {"no answer ever", {}, true},
    {"the last answer came before the statement was sent", {50ms}, true},
    {"others were answered since", {50ms, 150ms}, false},
};

TABLE_TEST(gateway_server_pace, silence, kSilences) {
  const SilenceCase& row = kSilences[*row_index];
  ServerPace pace;
  for (const Duration at : row.answers_at)
    pace.Answered({.database = "loans", .sent_at = kStart}, 1, kStart + at);
  cr_assert_eq(pace.SilentSince(kStart + 100ms), row.silent, "%s", row.pattern);
}

}  // namespace jackdawturn::gateway
