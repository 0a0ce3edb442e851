#include <string>
#include <vector>

#include "core/core.h"

#include "support/table_test.h"

namespace jackdawturn {

// Guards against a producer that overwrites or waits when its ring is full.
Test(core, full_ring_refuses_and_counts) {
  BoundedRing<int> ring(2);
  cr_assert(ring.TryPush(1));
  cr_assert(ring.TryPush(2));
  cr_assert_not(ring.TryPush(3));
  cr_assert_eq(ring.refused(), 1U);
  const std::vector<int> items = ring.PopAll(Duration(0));
  cr_assert_eq(items.size(), 2U);
  cr_assert_eq(items[0], 1);
  cr_assert_eq(items[1], 2);
}

// Guards against a closed ring that still accepts work nobody will take.
Test(core, closed_ring_refuses) {
  BoundedRing<int> ring(2);
  ring.Close();
  cr_assert_not(ring.TryPush(1));
  cr_assert(ring.PopAll(Duration(0)).empty());
}

// Guards against a membership change that reorders the remaining nodes.
Test(core, rendezvous_order_is_stable_when_a_node_leaves) {
  const std::vector<std::string> nodes = {"a", "b", "c", "d", "e"};
  const std::vector<std::string> order = RendezvousOrder("group-1", nodes);
  std::vector<std::string> fewer(order.begin() + 1, order.end());
  cr_assert(RendezvousOrder("group-1", fewer) == fewer);
}

struct EventCase {
  const char* value;
  const char* expected;
};

static const EventCase kEventCases[] = {
    {"plain", "event=x key=plain"},
    {"two words", "event=x key=\"two words\""},
    {"a\"b", "event=x key=\"a\\\"b\""},
    {"line\nbreak", "event=x key=\"line break\""},
    {"", "event=x key=\"\""},
};

// Guards against values that break the key=value form of a log line.
TABLE_TEST(core, event_line_quotes, kEventCases) {
  const EventCase& row = kEventCases[*row_index];
  EventLine line("x");
  line.Add("key", row.value);
  cr_assert_str_eq(line.text().c_str(), row.expected);
}

}  // namespace jackdawturn
