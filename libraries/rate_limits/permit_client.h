#pragma once

#include <deque>
#include <functional>
#include <unordered_map>

#include "core/core.h"
#include "rate_limits/recent_count.h"

namespace jackdawturn::rate_limits {

// What a proxy asks the grantor of its zone.
struct PermitQuestion {
  CustomerName customer;
  // The number of operations that wait.
  size_t needed = 0;
  // `needed`, and those that are expected soon.
  size_t wanted = 0;
  // When the first of those that wait must be decided.
  TimePoint deadline;
};

struct PermitAnswer {
  size_t granted = 0;
  // For operations that were not granted: when their clients should retry.
  Duration retry_after{0};
};

// Whether an operation may start.
struct PermitDecision {
  bool admitted = false;
  Duration retry_after{0};
};

// Obtains permits for the operations of the clients of one proxy. One question
// a customer is in flight; operations that arrive meanwhile share the next one.
// Load pattern: a customer whose operations arrive at many proxies, few at each
// one, or most of them at one. Deterministic. Thread safety: not thread-safe.
class PermitClient {
 public:
  // A permit that is not used within this time of the question is dropped. It
  // is short against the time in which operations are counted, so that permits
  // of a time with little demand do not add to those of the time after.
  static constexpr Duration kPermitTime = std::chrono::milliseconds(100);

  using OnDecision = std::function<void(PermitDecision)>;
  // Sends a question. Answered() is to be called once for it, at the latest at
  // the deadline.
  using AskGrantor = std::function<void(const PermitQuestion&)>;

  PermitClient(AskGrantor ask, Duration permit_time = kPermitTime)
      : m_ask(std::move(ask)), m_permit_time(permit_time) {}

  // Calls `on_decision` once: at once if a permit is at hand, otherwise after
  // the answer to a question.
  void Admit(const CustomerName& customer,
             TimePoint deadline,
             TimePoint now,
             OnDecision on_decision);

  // Takes the answer to the question in flight.
  // Precondition: a question about the customer is in flight.
  void Answered(const CustomerName& customer,
                const PermitAnswer& answer,
                TimePoint now);

  // Drops customers without recent operations.
  void Sweep(TimePoint now);

  // Returns the number of permits that were dropped because they were too old.
  uint64_t expired() const { return m_expired; }
  size_t size() const { return m_customers.size(); }

 private:
  struct Waiting {
    TimePoint deadline;
    OnDecision on_decision;
  };

  struct Entry {
    size_t permits = 0;
    TimePoint permits_until;
    std::deque<Waiting> waiting;
    // The number of those that the question in flight is about.
    size_t asked_for = 0;
    TimePoint asked_at;
    bool asking = false;
    RecentCount demand;
    TimePoint last_used;
  };

  void Ask(const CustomerName& customer, Entry& entry, TimePoint now);
  void DropExpired(Entry& entry, TimePoint now);

  const AskGrantor m_ask;
  const Duration m_permit_time;
  std::unordered_map<CustomerName, Entry> m_customers;
  uint64_t m_expired = 0;
};

}  // namespace jackdawturn::rate_limits
