#include <algorithm>
#include <string>
#include <utility>

#include "gateway/backend_pool.h"

// The order in which requests are served, and which are refused at once.

namespace jackdawturn::gateway {

namespace {

// A request may wait this long behind younger ones whose customer has a
// connection already; longer than opening a connection takes.
constexpr Duration kMaxOvertaking = std::chrono::milliseconds(40);

}  // namespace

BackendPool::Rank BackendPool::RankOf(const InstanceConnections& instance,
                                      const Waiter& waiter) const {
  const auto found = instance.in_use_for.find(waiter.owner());
  return {waiter.priority, waiter.send_by < m_timers.now(),
          found == instance.in_use_for.end() ? 0 : found->second};
}

std::list<BackendPool::Waiter>::iterator BackendPool::FirstOf(
    InstanceConnections& instance,
    const std::function<bool(const Waiter&)>& eligible) const {
  auto first = instance.waiters.end();
  Rank first_rank;
  for (auto waiter = instance.waiters.begin(); waiter != instance.waiters.end();
       ++waiter) {
    if (first != instance.waiters.end() && waiter->priority > first->priority)
      break;
    if (!eligible(*waiter))
      continue;
    const Rank rank = RankOf(instance, *waiter);
    if (first != instance.waiters.end() && rank >= first_rank)
      continue;
    first = waiter;
    first_rank = rank;
    // No later one can be before it.
    if (rank == Rank(waiter->priority, false, 0))
      break;
  }
  return first;
}

const BackendPool::Waiter* BackendPool::NextWithoutConnection(
    InstanceConnections& instance) const {
  if (instance.opening >= instance.waiters.size())
    return nullptr;
  // Connections that are being opened and for which no waiter was found yet.
  auto opening_for = instance.opening_for;
  const auto next = FirstOf(instance, [&](const Waiter& waiter) {
    const auto opening = opening_for.find(waiter.owner());
    if (opening == opening_for.end() || opening->second == 0)
      return PaceAllows(instance, waiter);
    --opening->second;
    return false;
  });
  return next == instance.waiters.end() ? nullptr : &*next;
}

bool BackendPool::MustYield(InstanceConnections& instance,
                            const CustomerName& customer) const {
  const Waiter* other = NextWithoutConnection(instance);
  if (instance.opening >= m_options.concurrent_opens || !other ||
      other->Accepts(customer) ||
      other->since + kMaxOvertaking > m_timers.now())
    return false;
  const auto own = std::find_if(
      instance.waiters.begin(), instance.waiters.end(),
      [&](const Waiter& waiter) {
        return waiter.Accepts(customer) && PaceAllows(instance, waiter);
      });
  return own == instance.waiters.end() || other->priority <= own->priority;
}

std::optional<Error> BackendPool::RefusalFor(
    const InstanceConnections& instance,
    const Waiter& waiter,
    Duration wait) {
  // While the limit still grows, the past rate is too low an estimate.
  if (!m_options.limits_load || !waiter.customer || instance.pace.growing())
    return std::nullopt;
  const TimePoint now = m_timers.now();
  const auto all = instance.queue_rate.TimeFor(instance.waiters.size(), now);
  if (!all || *all <= wait)
    return std::nullopt;
  const Rank rank = RankOf(instance, waiter);
  const auto ahead = std::count_if(
      instance.waiters.begin(), instance.waiters.end(),
      [&](const Waiter& other) { return RankOf(instance, other) <= rank; });
  const auto expected =
      instance.queue_rate.TimeFor(static_cast<size_t>(ahead), now);
  if (!expected || *expected <= wait)
    return std::nullopt;
  // All clients that are refused now would otherwise return at once when the
  // queue has emptied.
  std::uniform_int_distribution<int64_t> spread((*expected - wait).count(),
                                                expected->count());
  const auto retry_after =
      std::chrono::ceil<std::chrono::milliseconds>(Duration(spread(m_random)));
  return Error{
      ErrorCode::kExhausted, kRefusedStep, instance.server.id.value(),
      "overloaded retry_after_ms=" + std::to_string(retry_after.count())};
}

bool BackendPool::AnyAccepts(const InstanceConnections& instance,
                             const CustomerName& customer) {
  // Commands of the proxy itself accept any connection, and count under the
  // empty name.
  return instance.waiting_for.contains(customer) ||
         instance.waiting_for.contains(CustomerName());
}

void BackendPool::Erase(InstanceConnections& instance,
                        std::list<Waiter>::iterator waiter) {
  const auto count = instance.waiting_for.find(waiter->owner());
  if (--count->second == 0)
    instance.waiting_for.erase(count);
  instance.waiters.erase(waiter);
  if (instance.waiters.empty())
    instance.queue_rate.BecameEmpty(m_timers.now());
}

}  // namespace jackdawturn::gateway
