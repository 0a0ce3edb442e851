#include <chrono>
#include <string>
#include <utility>

#include "gateway/client_session.h"

// For which customer a session runs statements, and whether it may.

namespace jackdawturn::gateway {

namespace {

constexpr const char* kInvalidKey = "the API key is not valid";
constexpr const char* kOverRateLimit = "over_rate_limit";

}  // namespace

bool ClientSession::UpdateCustomer() {
  if (m_origin == Origin::kPeer || !m_context.config ||
      !m_context.config->requires_api_keys)
    return true;
  const CustomerName* holder = m_context.config->FindKeyHolder(m_key);
  const Route* route = m_transaction ? &m_transaction->route : FindRoute();
  if (!holder && !(route && route->is_public))
    return false;
  const CustomerName customer = holder ? *holder : CustomerName();
  // The connection of a transaction belongs to the customer that began it.
  if (m_transaction && customer != m_customer)
    return false;
  m_customer = customer;
  return true;
}

void ClientSession::RefuseUnauthorized(const ClientStatement& statement) {
  RollBack();
  m_unauthorized = true;
  m_context.log.CountUnauthorized();
  m_context.log.LogRequestEvent(statement.id, GroupName(), "unauthorized", "",
                                {{"database", m_database}});
  Fail(ReplyCode::kUnauthorized, kInvalidKey);
}

void ClientSession::Admit(const ClientStatement& statement,
                          const Route& route,
                          std::function<void()> then) {
  // The entry proxy has admitted what it relays.
  if (m_origin == Origin::kPeer || !m_context.admit_operation ||
      m_customer.empty())
    return then();
  m_admitting = true;
  m_running = statement.id;
  m_context.admit_operation(
      m_customer, m_started + route.target_latency,
      [weak = weak_from_this(), admission = ++m_admission,
       then = std::move(then)](OperationDecision decision) {
        const auto self = weak.lock();
        if (!self || admission != self->m_admission ||
            !std::exchange(self->m_admitting, false))
          return;
        if (decision.admitted)
          return then();
        self->RefuseOverLimit(decision.retry_after);
      });
}

void ClientSession::RefuseOverLimit(Duration retry_after) {
  const auto milliseconds =
      std::chrono::ceil<std::chrono::milliseconds>(retry_after).count();
  m_context.log.LogRequestEvent(
      m_running, GroupName(), "over_rate_limit", "",
      {{"customer", m_customer.value()},
       {"database", m_database},
       {"retry_after_ms", std::to_string(milliseconds)}});
  Fail(ReplyCode::kBusy, std::string(kOverRateLimit) +
                             " retry_after_ms=" + std::to_string(milliseconds));
}

}  // namespace jackdawturn::gateway
