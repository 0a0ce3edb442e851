#include <string>
#include <vector>

#include "failover/failover.h"

#include "support/table_test.h"

namespace jackdawturn::failover {

using std::chrono::milliseconds;

static const InstanceName kInstance("i1");
static const TimePoint kStart(std::chrono::hours(1));

// Returns a detector that has observed an answer with the round trip every 30
// ms.
static FailureDetector DetectorWithRoundTrip(milliseconds round_trip) {
  FailureDetector detector{FailureDetectorSettings()};
  for (int index = 60; index > 0; --index) {
    const TimePoint time = kStart - index * milliseconds(30);
    detector.ProbeSent(kInstance, time);
    detector.RecordOutcome(kInstance, CallOutcome::kAnswered, false, round_trip,
                           time + round_trip);
  }
  return detector;
}

struct SuspicionLevelCase {
  const char* name;
  milliseconds round_trip;
  // Outcomes of fresh contacts, the first at 20 ms, then every 20 ms.
  std::vector<CallOutcome> outcomes;
  milliseconds silence;
  bool dead;
};

static const CallOutcome kUnanswered = CallOutcome::kNoAnswer;
static const CallOutcome kHandshakeFailed = CallOutcome::kConnectTimeout;
static const CallOutcome kConnectionRefused = CallOutcome::kRefused;
static const CallOutcome kReplied = CallOutcome::kAnswered;

static const SuspicionLevelCase kSuspicionLevelCases[] = {
    {"silence alone", milliseconds(3), {}, milliseconds(200), false},
    {"long silence", milliseconds(3), {}, milliseconds(360), true},
    {"process refused twice",
     milliseconds(3),
     {kConnectionRefused, kConnectionRefused},
     milliseconds(60),
     true},
    {"process refused once",
     milliseconds(3),
     {kConnectionRefused},
     milliseconds(60),
     false},
    {"host gone",
     milliseconds(3),
     {kHandshakeFailed, kHandshakeFailed, kHandshakeFailed},
     milliseconds(160),
     true},
    {"host gone, too early",
     milliseconds(3),
     {kHandshakeFailed, kHandshakeFailed, kHandshakeFailed},
     milliseconds(140),
     false},
    {"two lost handshakes",
     milliseconds(3),
     {kHandshakeFailed, kHandshakeFailed},
     milliseconds(160),
     false},
    {"paused process, lost handshakes",
     milliseconds(3),
     {kHandshakeFailed, kUnanswered, kHandshakeFailed, kHandshakeFailed},
     milliseconds(300),
     false},
    {"answered in between",
     milliseconds(3),
     {kConnectionRefused, kConnectionRefused, kReplied},
     milliseconds(360),
     false},
    {"slow network, host gone",
     milliseconds(60),
     {kHandshakeFailed, kHandshakeFailed, kHandshakeFailed},
     milliseconds(300),
     false},
    {"slow network, silence",
     milliseconds(60),
     {kUnanswered},
     milliseconds(400),
     false},
};

// Guards against a slow or paused primary that is declared dead, and against a
// dead one that is treated as slow.
TABLE_TEST(failure_detector,
           suspicion_level_follows_from_the_kind_of_failure,
           kSuspicionLevelCases) {
  const SuspicionLevelCase& row = kSuspicionLevelCases[*row_index];
  FailureDetector detector = DetectorWithRoundTrip(row.round_trip);
  detector.ProbeSent(kInstance, kStart);
  TimePoint time = kStart;
  for (const CallOutcome outcome : row.outcomes) {
    time += milliseconds(20);
    detector.RecordOutcome(kInstance, outcome, true, Duration(0), time);
  }
  const bool dead =
      detector.SuspicionLevel(kInstance, kStart + row.silence) >= 1;
  cr_assert_eq(dead, row.dead, "%s", row.name);
}

// Guards against a proxy that suspects an instance because of its own pause.
Test(failure_detector, own_pause_forgets_silence) {
  FailureDetector detector = DetectorWithRoundTrip(milliseconds(3));
  detector.ProbeSent(kInstance, kStart);
  const TimePoint late = kStart + milliseconds(800);
  cr_assert_not(detector.NoticePause(late - milliseconds(10), late));
  cr_assert_geq(detector.SuspicionLevel(kInstance, late), 1.0);
  cr_assert(detector.NoticePause(kStart + milliseconds(20), late));
  cr_assert_eq(detector.SuspicionLevel(kInstance, late), 0.0);
  cr_assert(detector.RecentlyPaused(late + milliseconds(200)));
  cr_assert_not(detector.RecentlyPaused(late + milliseconds(300)));
}

// Guards against a proxy on a slow machine that always counts itself as paused,
// and against one that treats two consecutive pauses as a slow machine.
Test(failure_detector, always_late_timers_are_no_pause) {
  FailureDetector detector = DetectorWithRoundTrip(milliseconds(3));
  constexpr int kTimers = 15;
  const TimePoint late = kStart + milliseconds(80);
  for (int timer = 0; timer < kTimers; ++timer)
    cr_expect(detector.NoticePause(kStart, late));
  cr_expect_not(detector.NoticePause(kStart, late));
  cr_expect(detector.NoticePause(kStart, kStart + milliseconds(800)));
  cr_expect(detector.NoticePause(kStart, kStart + milliseconds(800)));
}

struct WitnessCase {
  const char* name;
  int answered_ago;  // In milliseconds; negative for never.
  bool failing;
  int age;  // Of the witness's answer, in milliseconds.
  WitnessVerdict verdict;
};

static const WitnessCase kWitnessCases[] = {
    {"reaches it", 5, false, 0, WitnessVerdict::kDisagrees},
    {"reached it before the silence", 150, false, 0, WitnessVerdict::kUnknown},
    {"fails as well", 150, true, 0, WitnessVerdict::kAgrees},
    {"never reached it", -1, true, 0, WitnessVerdict::kAgrees},
    {"old answer", 150, true, 200, WitnessVerdict::kUnknown},
};

// Guards against a failover while the primary is reachable from another zone.
TABLE_TEST(failure_detector, witnesses_are_heard, kWitnessCases) {
  const WitnessCase& row = kWitnessCases[*row_index];
  FailureDetector detector = DetectorWithRoundTrip(milliseconds(3));
  detector.ProbeSent(kInstance, kStart);
  WitnessView view;
  view.failing = row.failing;
  if (row.answered_ago >= 0)
    view.answered_ago = milliseconds(row.answered_ago);
  const TimePoint answered_at = kStart + milliseconds(100);
  detector.WitnessAnswered(VmName("p2"), kInstance, view, answered_at);
  cr_assert_eq(detector.CombinedWitnessVerdict(
                   kInstance, answered_at + milliseconds(row.age)),
               row.verdict, "%s", row.name);
}

}  // namespace jackdawturn::failover
