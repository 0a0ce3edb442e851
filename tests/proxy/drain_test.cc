#include "support/proxy_world.h"
#include "support/table_test.h"

namespace jackdawturn {

static const InstanceName kPrimary("i1");

static CallerRequest RequestOf(CallerOperation operation) {
  CallerRequest request;
  request.operation = operation;
  request.group = ProxyWorld::kGroup;
  request.class_name = ClassName("counts");
  request.statement = "get a";
  return request;
}

static CallerAnswer AnswerOf(ProxyWorld& world,
                             ProxyWorld::Node& node,
                             const CallerRequest& request) {
  std::optional<CallerAnswer> answer;
  world.Ask(node, request, [&](const CallerAnswer& given) { answer = given; });
  world.RunUntil(std::chrono::seconds(10), [&] { return answer.has_value(); });
  cr_assert(answer.has_value());
  return *answer;
}

static void Drain(ProxyWorld& world, ProxyWorld::Node& node) {
  proxy::OperatorRequestReceived drain;
  drain.action = proxy::OperatorAction::kDrain;
  world.Feed(node, drain);
}

// Guards against a drain that refuses or aborts work that another proxy could
// serve, that gives up connections before its own work has ended, or after
// which the connections stay unused or are opened beyond the limit of the
// instance.
Test(drain, passes_new_work_on_and_hands_over) {
  ProxyWorld world(3, 1);
  ProxyWorld::Node& node = *world.nodes[0];
  const CallerAnswer begun =
      AnswerOf(world, node, RequestOf(CallerOperation::kBegin));
  cr_assert(begun.outcome == CallerOutcome::kDone);
  const size_t refused = world.refused;
  const size_t share = world.OpenOf(node, kPrimary);
  Drain(world, node);
  world.Run(std::chrono::milliseconds(1'500));
  cr_assert_not(node.ready);
  const CallerAnswer passed =
      AnswerOf(world, node, RequestOf(CallerOperation::kBegin));
  cr_assert(passed.outcome == CallerOutcome::kDone, "%s",
            passed.reason.c_str());
  cr_assert(proxy::HolderOf(passed.transaction) != node.vm);
  // Longer than a peer waits for an unanswered share message.
  for (int second = 0; second < 7; ++second) {
    world.Run(std::chrono::seconds(1));
    cr_assert(
        AnswerOf(world, node, RequestOf(CallerOperation::kRead)).outcome ==
        CallerOutcome::kDone);
    CallerRequest step = RequestOf(CallerOperation::kStatement);
    step.transaction = begun.transaction;
    cr_assert(AnswerOf(world, node, step).outcome == CallerOutcome::kDone);
    cr_assert_eq(world.OpenOf(node, kPrimary), share);
  }
  CallerRequest end = RequestOf(CallerOperation::kRollback);
  end.transaction = begun.transaction;
  cr_assert(AnswerOf(world, node, end).outcome == CallerOutcome::kDone);
  world.Run(std::chrono::seconds(1));
  cr_assert_eq(node.exit_code, 0);
  cr_assert_eq(world.OpenOf(node, kPrimary), 0U);
  world.Run(std::chrono::seconds(1));
  cr_assert_eq(world.OpenAt(kPrimary), ProxyWorld::kLimit);
  cr_assert_eq(world.refused, refused);
}

// Guards against a drain that waits for unused connections, and against one
// that ends before they are closed.
Test(drain, idle_proxy_ends_soon) {
  ProxyWorld world(1, 1);
  ProxyWorld::Node& node = *world.nodes[0];
  Drain(world, node);
  world.RunUntil(std::chrono::seconds(4),
                 [&] { return node.exit_code.has_value(); });
  cr_assert_eq(node.exit_code, 0);
  cr_assert_eq(world.OpenAt(kPrimary), 0U);
}

}  // namespace jackdawturn
