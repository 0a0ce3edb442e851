#include <limits>

#include "observe/observe.h"

#include "support/table_test.h"

namespace jackdawturn {

using std::chrono::microseconds;

static constexpr microseconds kMaxSkew(500);

struct ReceiveCase {
  // Physical parts in microseconds.
  int64_t last_physical;
  int64_t remote_physical;
  uint32_t remote_logical;
  int64_t now;
  int64_t expected_physical;
  uint32_t expected_logical;
  uint64_t expected_rejected;
};

// The clock has sent one message at last_physical, so its logical part is 0.
static const ReceiveCase kReceiveCases[] = {
    // The wall clock is ahead of both stamps.
    {100, 150, 9, 200, 200, 0, 0},
    // The remote stamp is ahead.
    {100, 300, 9, 200, 300, 10, 0},
    // The own last stamp is ahead.
    {300, 200, 9, 200, 300, 1, 0},
    // Both stamps are equal in their physical part.
    {300, 300, 9, 200, 300, 10, 0},
    // The largest skew that is allowed, and the first that is not.
    {100, 700, 3, 200, 700, 4, 0},
    {100, 701, 3, 200, 200, 0, 1},
    // The logical part is full.
    {100, 300, std::numeric_limits<uint32_t>::max(), 200, 301, 0, 0},
};

// Guards against a receipt whose stamp is not above the cause of it, and
// against one wrong clock that moves all others.
TABLE_TEST(hybrid_clock, receive, kReceiveCases) {
  const ReceiveCase& row = kReceiveCases[*row_index];
  HybridLogicalClock clock(kMaxSkew);
  clock.Send(ClockTime(microseconds(row.last_physical)));
  const HybridStamp remote{ClockTime(microseconds(row.remote_physical)),
                           row.remote_logical};
  const HybridStamp stamp =
      clock.Receive(remote, ClockTime(microseconds(row.now)));
  cr_assert_eq(stamp.physical.time_since_epoch().count(),
               row.expected_physical);
  cr_assert_eq(stamp.logical, row.expected_logical);
  cr_assert_eq(clock.rejected(), row.expected_rejected);
}

// Guards against stamps that repeat or step back with the wall clock.
Test(hybrid_clock, stamps_grow_when_the_wall_clock_steps_back) {
  HybridLogicalClock clock(kMaxSkew);
  HybridStamp last = clock.Send(ClockTime(microseconds(1'000)));
  for (const int64_t now : {1'000, 10, 999, 1'000, 1'001, 5}) {
    const HybridStamp next = clock.Send(ClockTime(microseconds(now)));
    cr_assert(last < next);
    last = next;
  }
}

// Guards against a ring that loses events silently or keeps the oldest.
Test(event_ring, overwrites_the_oldest_and_counts) {
  EventRing ring(3);
  for (int index = 0; index < 5; ++index) {
    TimelineEvent event;
    event.step = std::to_string(index);
    ring.Add(event);
  }
  const EventRing::Snapshot snapshot = ring.TakeSnapshot();
  cr_assert_eq(snapshot.overwritten, 2U);
  cr_assert_eq(ring.overwritten(), 2U);
  cr_assert_eq(snapshot.events.size(), 3U);
  cr_assert_str_eq(snapshot.events.front().step.c_str(), "2");
  cr_assert_str_eq(snapshot.events.back().step.c_str(), "4");
}

}  // namespace jackdawturn
