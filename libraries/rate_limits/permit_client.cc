#include "rate_limits/permit_client.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace jackdawturn::rate_limits {

namespace {

// The state of a customer without operations is kept for this long.
constexpr Duration kIdleTime = std::chrono::seconds(2);
// Permits are asked for in advance for 1/kAdvanceDivisor of the recent demand:
// arrivals vary, and permits that expire are lost for the customer.
constexpr size_t kAdvanceDivisor = 4;

}  // namespace

void PermitClient::Admit(const CustomerName& customer,
                         TimePoint deadline,
                         TimePoint now,
                         OnDecision on_decision) {
  Entry& entry = m_customers[customer];
  entry.demand.Add(1, now);
  entry.last_used = now;
  DropExpired(entry, now);
  if (entry.permits > 0) {
    --entry.permits;
    return on_decision({.admitted = true});
  }
  entry.waiting.push_back({deadline, std::move(on_decision)});
  if (!entry.asking)
    Ask(customer, entry, now);
}

void PermitClient::Ask(const CustomerName& customer,
                       Entry& entry,
                       TimePoint now) {
  entry.asking = true;
  entry.asked_for = entry.waiting.size();
  entry.asked_at = now;
  PermitQuestion question{
      .customer = customer,
      .needed = entry.asked_for,
      .wanted =
          std::max(entry.asked_for, entry.demand.Count(now) / kAdvanceDivisor),
      .deadline = entry.waiting.front().deadline};
  for (const Waiting& waiting : entry.waiting)
    question.deadline = std::min(question.deadline, waiting.deadline);
  // The answer may come before this returns.
  m_ask(question);
}

void PermitClient::Answered(const CustomerName& customer,
                            const PermitAnswer& answer,
                            TimePoint now) {
  const auto found = m_customers.find(customer);
  VERIFY(found != m_customers.end() && found->second.asking);
  Entry& entry = found->second;
  entry.asking = false;
  entry.permits = answer.granted;
  entry.permits_until = entry.asked_at + m_permit_time;
  DropExpired(entry, now);
  const size_t served = std::min(entry.permits, entry.waiting.size());
  entry.permits -= served;
  // Those that arrived after the question may be served by the next one.
  const size_t decided =
      std::max(served, std::min(entry.asked_for, entry.waiting.size()));
  std::vector<Waiting> taken(
      std::make_move_iterator(entry.waiting.begin()),
      std::make_move_iterator(entry.waiting.begin() +
                              static_cast<ptrdiff_t>(decided)));
  entry.waiting.erase(entry.waiting.begin(),
                      entry.waiting.begin() + static_cast<ptrdiff_t>(decided));
  if (!entry.waiting.empty())
    Ask(customer, entry, now);
  // The hooks may call Admit(), so `entry` is not used from here on.
  for (size_t index = 0; index < taken.size(); ++index) {
    const bool admitted = index < served;
    taken[index].on_decision(
        {.admitted = admitted,
         .retry_after = admitted ? Duration(0) : answer.retry_after});
  }
}

void PermitClient::DropExpired(Entry& entry, TimePoint now) {
  if (now < entry.permits_until)
    return;
  m_expired += std::exchange(entry.permits, 0);
}

void PermitClient::Sweep(TimePoint now) {
  for (auto& [customer, entry] : m_customers)
    DropExpired(entry, now);
  std::erase_if(m_customers, [now](const auto& customer) {
    const Entry& entry = customer.second;
    return !entry.asking && entry.permits == 0 &&
           now - entry.last_used > kIdleTime;
  });
}

}  // namespace jackdawturn::rate_limits
