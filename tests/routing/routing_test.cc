#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/core.h"
#include "routing/routing.h"

#include "support/table_test.h"

namespace jackdawturn::routing {

static TimePoint At(int64_t milliseconds) {
  return TimePoint(std::chrono::milliseconds(10'000 + milliseconds));
}

static Duration Ms(int64_t milliseconds) {
  return std::chrono::milliseconds(milliseconds);
}

static InstanceReport MakeReport(uint64_t accepted,
                                 uint64_t log_term,
                                 uint64_t position,
                                 bool primary = false) {
  return {Term{accepted}, Term{log_term}, LogPosition{position}, primary};
}

struct FreshnessCase {
  const char* failure;
  InstanceReport primary;
  int64_t primary_asked;
  InstanceReport replica;
  int64_t replica_asked;
  // Expected bound (CoveredUntil) of the replica in ms; -1 for no bound.
  int64_t covered;
};

static const FreshnessCase kFreshnessCases[] = {
    {"no bound although the replica has caught up", MakeReport(2, 2, 9, true),
     10, MakeReport(2, 2, 9), 20, 10},
    {"bound for a replica that lags", MakeReport(2, 2, 9, true), 10,
     MakeReport(2, 2, 8), 20, -1},
    {"bound from a replica that was fenced", MakeReport(2, 2, 9, true), 10,
     MakeReport(3, 2, 9), 20, -1},
    {"bound from a log of an older term", MakeReport(2, 2, 9, true), 10,
     MakeReport(2, 1, 9), 20, -1},
    {"bound from a report older than the position", MakeReport(2, 2, 9, true),
     20, MakeReport(2, 2, 9), 10, -1},
    {"position taken from an instance that is not primary",
     MakeReport(2, 2, 9, false), 10, MakeReport(2, 2, 9), 20, -1},
    {"position taken from a replaced primary", MakeReport(3, 2, 9, true), 10,
     MakeReport(2, 2, 9), 20, -1},
};

// Guards against an age bound that is lower than the reports prove.
TABLE_TEST(replica_freshness, bound_needs_evidence, kFreshnessCases) {
  const FreshnessCase& row = kFreshnessCases[*row_index];
  for (const bool primary_first : {true, false}) {
    ReplicaFreshness freshness{FreshnessOptions()};
    freshness.SetTerm(Term{2}, InstanceName("p"), 3);
    const auto report_primary = [&] {
      freshness.Report(InstanceName("p"), row.primary, At(row.primary_asked));
    };
    if (primary_first)
      report_primary();
    freshness.Report(InstanceName("r"), row.replica, At(row.replica_asked));
    if (!primary_first)
      report_primary();
    const auto covered = freshness.CoveredUntil(InstanceName("r"));
    if (row.covered < 0)
      cr_assert_not(covered.has_value(), "%s", row.failure);
    else
      cr_assert(covered == At(row.covered), "%s", row.failure);
  }
}

// Guards against applying the bound of a newer report to a read that was
// answered from an older position.
Test(replica_freshness, bound_belongs_to_the_position_of_the_answer) {
  ReplicaFreshness freshness{FreshnessOptions()};
  const InstanceName replica("r");
  freshness.SetTerm(Term{1}, InstanceName("p"), 3);
  freshness.Report(InstanceName("p"), MakeReport(1, 1, 5, true), At(0));
  freshness.Report(InstanceName("p"), MakeReport(1, 1, 8, true), At(50));
  freshness.Report(replica, MakeReport(1, 1, 8), At(60));
  cr_assert(freshness.CoveredUntil(replica) == At(50));
  cr_assert(freshness.CoveredUntil(
                replica, TermPosition{Term{1}, LogPosition{6}}) == At(0));
  cr_assert_not(
      freshness.CoveredUntil(replica, TermPosition{Term{1}, LogPosition{4}}));
}

// Guards against a bound from the previous primary that is kept in a new term.
Test(replica_freshness, bounds_end_with_the_term) {
  ReplicaFreshness freshness{FreshnessOptions()};
  freshness.SetTerm(Term{1}, InstanceName("p"), 3);
  freshness.Report(InstanceName("p"), MakeReport(1, 1, 5, true), At(0));
  freshness.Report(InstanceName("r"), MakeReport(1, 1, 5), At(1));
  freshness.SetTerm(Term{1}, InstanceName(), 3);
  cr_assert(freshness.CoveredUntil(InstanceName("r")).has_value());
  freshness.SetTerm(Term{2}, InstanceName("q"), 3);
  cr_assert_not(freshness.CoveredUntil(InstanceName("r")).has_value());
}

struct ChoiceCase {
  const char* failure;
  // Modifies the defaults: a fresh replica (index 0) and a primary (index 1).
  void (*change)(Candidate& replica,
                 Candidate& primary,
                 SelectionConstraints& constraints);
  ChoiceKind kind;
  size_t index;
};

static const ChoiceCase kChoiceCases[] = {
    {"fresh replica not used", [](auto&, auto&, auto&) {}, ChoiceKind::kUse, 0},
    {"replica used for a read that accepts no stale data",
     [](auto&, auto&, SelectionConstraints& d) { d.allowed_age.reset(); },
     ChoiceKind::kUse, 1},
    {"replica used without a bound",
     [](Candidate& r, auto&, auto&) {
       r.covered_until.reset();
       r.lag = Ms(400);
     },
     ChoiceKind::kUse, 1},
    {"replica used whose answer would be too old",
     [](Candidate& r, auto&, auto&) {
       r.covered_until = At(-299);
       r.lag = Ms(400);
     },
     ChoiceKind::kUse, 1},
    {"no wait for a replica that has almost caught up",
     [](Candidate& r, auto&, auto&) {
       r.holds_position = false;
       r.expected_at = At(30);
     },
     ChoiceKind::kWait, 0},
    {"wait that leaves no time for the primary",
     [](Candidate& r, auto&, auto&) {
       r.holds_position = false;
       r.expected_at = At(90);
     },
     ChoiceKind::kUse, 1},
    {"leaving replica used",
     [](Candidate& r, auto&, auto&) { r.excluded = true; }, ChoiceKind::kUse,
     1},
    {"stalled replica used",
     [](Candidate& r, auto&, auto&) { r.stalled = true; }, ChoiceKind::kUse, 1},
    {"replica that is down used",
     [](Candidate& r, auto&, auto&) { r.health = InstanceHealth::kDown; },
     ChoiceKind::kUse, 1},
    {"full replica used",
     [](Candidate& r, auto&, auto&) { r.has_place = false; }, ChoiceKind::kUse,
     1},
    {"replica used that cannot answer in time",
     [](Candidate& r, auto&, auto&) { r.answer_time = Ms(150); },
     ChoiceKind::kUse, 1},
    {"leaving primary used",
     [](Candidate& r, Candidate& p, auto&) { r.excluded = p.excluded = true; },
     ChoiceKind::kRefuse, 0},
    {"primary used that cannot answer in time",
     [](Candidate& r, Candidate& p, auto&) {
       r.excluded = true;
       p.answer_time = Ms(150);
     },
     ChoiceKind::kRefuse, 0},
    {"hedge sent to the primary",
     [](Candidate& r, auto&, SelectionConstraints& d) {
       r.excluded = true;
       d.may_use_primary = false;
     },
     ChoiceKind::kRefuse, 0},
};

// Guards against choosing the wrong instance for a read.
TABLE_TEST(instance_choice, by_targets_and_evidence, kChoiceCases) {
  const ChoiceCase& row = kChoiceCases[*row_index];
  Candidate replica;
  replica.exempt_from_zone_penalty = true;
  replica.holds_position = true;
  replica.covered_until = At(-10);
  replica.answer_time = Ms(2);
  Candidate primary = replica;
  primary.primary = true;
  SelectionConstraints constraints;
  constraints.allowed_age = Ms(300);
  constraints.deadline = At(100);
  row.change(replica, primary, constraints);
  const Choice choice =
      ChooseInstance(constraints, {replica, primary}, At(0), ChoiceOptions());
  cr_assert(choice.kind == row.kind, "%s", row.failure);
  if (row.kind != ChoiceKind::kRefuse)
    cr_assert_eq(choice.index, row.index, "%s", row.failure);
}

static QueuedRequest Queued(uint64_t key, uint64_t class_hash, int64_t due) {
  QueuedRequest request;
  request.key = key;
  request.class_hash = class_hash;
  request.caller_hash = key;
  request.due = request.deadline = At(due);
  return request;
}

// Guards against admitting a request that cannot meet its deadline or that
// makes others miss theirs.
Test(admission_queue, refuses_at_once_what_cannot_be_in_time) {
  AdmissionQueue queue{AdmissionOptions()};
  queue.SetPace(Ms(0), Ms(10), Ms(10));
  for (uint64_t key = 0; key < 5; ++key)
    cr_assert(queue.Offer(Queued(key, 1, 50), At(0)).empty());
  const auto refusals = queue.Offer(Queued(9, 1, 50), At(0));
  cr_assert_eq(refusals.size(), 1U);
  cr_assert_eq(refusals[0].key, 9U);
  // An earlier due time would push the last request past its deadline.
  cr_assert_eq(queue.Offer(Queued(10, 1, 40), At(0)).size(), 1U);
  cr_assert_eq(queue.size(), 5U);
}

// Guards against a class that starves because another class fills the queue.
Test(admission_queue, no_class_starves) {
  AdmissionQueue queue{AdmissionOptions()};
  queue.SetPace(Ms(0), Ms(10), Ms(10));
  for (uint64_t key = 0; key < 10; ++key)
    cr_assert(queue.Offer(Queued(key, 1, 100), At(0)).empty());
  const auto refusals = queue.Offer(Queued(20, 2, 30), At(0));
  cr_assert_eq(refusals.size(), 1U);
  cr_assert_eq(refusals[0].key, 9U);
  std::vector<QueueRefusal> refused;
  cr_assert_eq(queue.Take(At(0), refused)->key, 20U);
}

// Guards against one class or caller that fills the whole queue.
Test(admission_queue, class_and_caller_take_their_share_only) {
  AdmissionOptions options;
  options.queue_capacity = 8;
  AdmissionQueue by_class{options};
  size_t admitted = 0;
  for (uint64_t key = 0; key < 8; ++key)
    admitted += by_class.Offer(Queued(key, 1, 900), At(0)).empty() ? 1 : 0;
  cr_assert_eq(admitted, 4U);
  AdmissionQueue by_caller{options};
  admitted = 0;
  for (uint64_t key = 0; key < 8; ++key) {
    QueuedRequest request = Queued(key, key, 900);
    request.caller_hash = 1;
    admitted += by_caller.Offer(request, At(0)).empty() ? 1 : 0;
  }
  cr_assert_eq(admitted, 2U);
}

// Guards against a limit that does not fall while statements queue at the
// server, and against one that never rises again.
Test(concurrency_limiter, falls_when_answers_queue_and_rises_again) {
  ConcurrencyLimiter limit{ConcurrencyLimitOptions()};
  TimePoint now = At(0);
  const auto run = [&](int count, Duration answer_time) {
    for (int index = 0; index < count; ++index) {
      limit.CanSend(now);
      limit.Sent(now);
      limit.CanSend(now);
      now += answer_time;
      limit.Answered(now - answer_time, now);
    }
  };
  run(60, Ms(1));
  const double before = limit.limit();
  cr_assert_gt(before, 1.5);
  run(40, Ms(8));
  cr_assert_lt(limit.limit(), before / 2);
  run(100, Ms(1));
  cr_assert_gt(limit.limit(), 1.5);
}

// Guards against retries that multiply the load of a failing instance.
Test(retry_budget, is_a_share_of_the_successes) {
  RetryBudget budget{{0.1, 3}};
  int taken = 0;
  while (budget.TryTake())
    ++taken;
  cr_assert_eq(taken, 3);
  for (int index = 0; index < 21; ++index)
    budget.Succeeded();
  cr_assert(budget.TryTake());
  cr_assert(budget.TryTake());
  cr_assert_not(budget.TryTake());
}

// Guards against equal back-off delays, after which all requests would be
// retried at the same time.
Test(retry_budget, back_off_grows_with_jitter_up_to_its_limit) {
  std::mt19937_64 random(1);
  const BackOffOptions options{Ms(10), Ms(100)};
  for (uint32_t attempt = 1; attempt < 80; ++attempt) {
    const Duration whole =
        std::min(Ms(100), Ms(10) * (int64_t{1} << std::min(attempt - 1, 10U)));
    const Duration delay = BackOffDelay(options, attempt, random);
    cr_assert(delay >= whole / 2 && delay <= whole);
  }
  cr_assert(BackOffDelay(options, 9, random) !=
            BackOffDelay(options, 9, random));
}

}  // namespace jackdawturn::routing
