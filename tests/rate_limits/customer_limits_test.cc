#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include <boost/json.hpp>

#include "support/limits_world.h"
#include "support/table_test.h"

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

const CustomerName kCustomer("museum");
constexpr RateLimit kLimit{.per_second = 60, .burst = 60};
constexpr Duration kOperationTime = 500ms;

// Regular demand of one customer, spread over the proxies of some zones.
class Demand {
 public:
  explicit Demand(LimitsWorld& world) : m_world(world) {}

  // Starts `per_second` operations a second at the proxies from `first` on, and
  // returns the share that was admitted.
  double Run(double per_second, size_t first, size_t proxies, Duration time) {
    const auto interval = std::chrono::ceil<Duration>(
        std::chrono::duration<double>(1 / per_second));
    const size_t before = m_admitted;
    size_t started = 0;
    for (Duration at{0}; at < time; at += interval) {
      const size_t proxy = first + started++ % proxies;
      m_world.Admit(proxy, kCustomer, kOperationTime,
                    [this](const OperationDecision& decision) {
                      m_admitted += decision.admitted ? 1 : 0;
                      if (!decision.admitted)
                        m_retries.push_back(decision.retry_after);
                    });
      m_world.Advance(interval);
    }
    m_world.Advance(kOperationTime);
    return static_cast<double>(m_admitted - before) /
           static_cast<double>(started);
  }
  const std::vector<Duration>& retries() const { return m_retries; }

 private:
  LimitsWorld& m_world;
  size_t m_admitted = 0;
  std::vector<Duration> m_retries;
};

// Returns the proxy of the first zone that grants the customer's permits.
size_t GrantorOf(LimitsWorld& world, size_t proxies) {
  for (size_t index = 0; index < proxies; ++index) {
    if (!world.proxy(index).peers->ChooseGrantor(kCustomer, world.now()))
      return index;
  }
  return 0;
}

}  // namespace

// Guards against a delay or a message for customers that have no limit.
Test(customer_limits, customer_without_a_limit_is_admitted_at_once) {
  LimitsWorld world({});
  bool admitted = false;
  const uint64_t messages = world.messages();
  world.Admit(0, kCustomer, Duration(0),
              [&admitted](const OperationDecision& decision) {
                admitted = decision.admitted;
              });
  cr_expect(admitted);
  cr_expect_eq(world.messages(), messages);
}

// Load: uneven zones, a hot customer. Guards against operations that are
// refused although other zones do not use their shares, and against a zone that
// goes beyond the whole limit.
struct LoadCase {
  double per_second;
  // The proxies of a zone are numbered one after the other, 5 a zone.
  size_t first;
  size_t proxies;
  double least;
  double most;
};

static const LoadCase kLoads[] = {
    {30, 0, 15, 1, 1},
    {54, 0, 15, 0.98, 1},
    {50, 0, 5, 0.98, 1},
    {50, 10, 5, 0.98, 1},
    {50, 3, 1, 0.98, 1},
    {50, 0, 10, 0.98, 1},
    // Over 10 s, the rate and the burst allow 660 of 6,000 operations.
    {600, 0, 15, 0.1, 0.12},
    {600, 0, 5, 0.1, 0.12},
};

TABLE_TEST(customer_limits, zones_share_the_limit, kLoads) {
  const LoadCase& row = kLoads[*row_index];
  LimitsWorld world({});
  world.SetLimitEverywhere(kCustomer, kLimit);
  const double admitted =
      Demand(world).Run(row.per_second, row.first, row.proxies, 10s);
  cr_expect(admitted >= row.least && admitted <= row.most, "%f", admitted);
}

// Load: clients that move from one zone to another. Guards against a share that
// stays where nobody needs it.
Test(customer_limits, moved_demand_has_its_share_at_once) {
  LimitsWorld world({});
  world.SetLimitEverywhere(kCustomer, kLimit);
  Demand demand(world);
  demand.Run(50, 0, 5, 10s);
  const double admitted = demand.Run(50, 10, 5, 1s);
  cr_expect(admitted >= 0.95, "%f", admitted);
}

// Load: moderate demand in all zones while the grantor of one fails. Guards
// against operations that wait for a grantor that is gone, and against a zone
// that grants nothing until it returns.
struct LossCase {
  enum class Kind { kKilled, kRemoved, kFrozen, kCutOff };
  Kind kind;
  double least;
};

static const LossCase kLosses[] = {
    {LossCase::Kind::kKilled, 0.95},
    {LossCase::Kind::kRemoved, 0.95},
    {LossCase::Kind::kFrozen, 0.95},
    {LossCase::Kind::kCutOff, 0.95},
};

TABLE_TEST(customer_limits, lost_grantor_is_replaced, kLosses) {
  const LossCase& row = kLosses[*row_index];
  LimitsWorld world({});
  world.SetLimitEverywhere(kCustomer, kLimit);
  Demand demand(world);
  demand.Run(30, 0, 15, 2s);
  const size_t grantor = GrantorOf(world, 5);
  switch (row.kind) {
    case LossCase::Kind::kKilled:
    case LossCase::Kind::kRemoved:
      world.Kill(grantor, row.kind == LossCase::Kind::kRemoved);
      break;
    case LossCase::Kind::kFrozen:
      world.proxy(grantor).frozen_until = world.now() + 1h;
      break;
    case LossCase::Kind::kCutOff:
      for (size_t other = 0; other < world.size(); ++other)
        world.SetLink(grantor, other, true);
      break;
  }
  // One operation in 15 arrives at the lost proxy itself.
  const double admitted = demand.Run(30, grantor + 1, 14 - grantor, 5s);
  cr_expect(admitted >= row.least, "%f", admitted);
}

// Load: a partition. Guards against a zone that refuses what its share allows
// because it cannot borrow, and against operations that wait for other zones.
Test(customer_limits, partitioned_zone_has_its_share) {
  LimitsWorld world({});
  world.SetLimitEverywhere(kCustomer, kLimit);
  for (size_t one = 0; one < 5; ++one) {
    for (size_t other = 5; other < 15; ++other)
      world.SetLink(one, other, true);
  }
  Demand demand(world);
  const double below = demand.Run(18, 0, 5, 10s);
  cr_expect(below >= 0.98, "%f", below);
  const double beyond = demand.Run(200, 0, 5, 10s);
  cr_expect(beyond >= 0.09 && beyond <= 0.12, "%f", beyond);
}

// Load: a hot customer. Guards against clients that are told to return at once
// or much later than there is room for them.
Test(customer_limits, refused_clients_get_a_time_to_return) {
  LimitsWorld world({});
  world.SetLimitEverywhere(kCustomer, kLimit);
  Demand demand(world);
  demand.Run(300, 0, 15, 5s);
  cr_assert_not(demand.retries().empty());
  for (const Duration retry : demand.retries())
    cr_expect(retry > Duration(0) &&
              retry <= rate_limits::Grantor::kLongestRetry);
}

// Load: regular demand. Guards against messages that grow beyond a question and
// its answer for an operation, with the votes of a grantor for two seconds.
Test(customer_limits, few_messages) {
  LimitsWorld world({});
  world.SetLimitEverywhere(kCustomer, kLimit);
  const uint64_t before = world.messages();
  Demand(world).Run(30, 0, 15, 10s);
  constexpr uint64_t kOperations = 300;
  constexpr uint64_t kVoteMessages = 3 * 4 * 20;
  cr_expect_leq(world.messages() - before, 2 * kOperations + kVoteMessages);
}

// Guards against a proxy that ends, or grants anything, because of a message
// that is not valid.
struct MessageCase {
  const char* text;
  bool question;
  bool answer;
};

static const MessageCase kMessages[] = {
    {"", false, false},
    {"[]", false, false},
    {"{}", false, true},
    {R"({"customer":"c","wait_ms":50,"need":1})", true, true},
    {R"({"customer":"c","wait_ms":50,"need":-1})", false, true},
    {R"({"customer":"c","need":9999999999999})", false, true},
    {R"({"customer":"c","need":1,"hops":101})", false, true},
    {R"({"customer":"c","wait_ms":1e300})", false, true},
    {R"({"customer":7,"need":1})", false, true},
    {R"({"customer":"c","vote":5})", false, true},
    {R"({"granted":"many"})", false, false},
    {R"({"granted":99999999})", false, false},
    {R"({"free_ms":99999999999})", false, false},
};

TABLE_TEST(customer_limits, messages_are_checked, kMessages) {
  const MessageCase& row = kMessages[*row_index];
  cr_expect_eq(DecodeLimitQuestion(row.text).has_value(), row.question);
  cr_expect_eq(DecodeLimitAnswer(row.text).has_value(), row.answer);
}

// Guards against members that are lost on the way.
Test(customer_limits, messages_keep_their_content) {
  const LimitQuestion question{.kind = LimitQuestion::Kind::kLoan,
                               .customer = kCustomer,
                               .needed = 2,
                               .wanted = 5,
                               .time_limit = 70ms,
                               .hops = 1};
  const auto read = DecodeLimitQuestion(EncodeLimitQuestion(question));
  cr_assert(read.has_value());
  cr_expect_eq(read.value().kind, question.kind);
  cr_expect_eq(read.value().customer, question.customer);
  cr_expect_eq(read.value().needed, question.needed);
  cr_expect_eq(read.value().wanted, question.wanted);
  cr_expect_eq(read.value().time_limit, question.time_limit);
  cr_expect_eq(read.value().hops, question.hops);
  const auto vote = DecodeLimitAnswer(
      EncodeLimitAnswer({.vote_given = true, .free_for = 1'500ms}));
  cr_assert(vote.has_value());
  cr_expect(vote.value().vote_given);
  cr_expect_eq(vote.value().free_for, 1'500ms);
}

}  // namespace jackdawturn::gateway
