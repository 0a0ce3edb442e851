#pragma once

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "requests/transaction_machine.h"
#include "requests/transaction_types.h"

namespace jackdawturn::requests {

// The open transactions of a proxy. For a transaction that is not open, a
// statement is answered with kNotFound and a commit with `not_run` (or
// `unknown` when the caller states that it submitted the commit before).
//
// Thread safety: not thread-safe; owned by the decision thread.
class TransactionTable {
 public:
  explicit TransactionTable(TransactionOptions options);

  std::vector<TransactionEffect> Handle(const TransactionEvent& event,
                                        TimePoint now);

  // Returns when TimePassed is due; nullopt while the table is empty.
  std::optional<TimePoint> NextWakeup() const;

  bool Holds(const TransactionId& transaction) const {
    return m_machines.count(transaction) != 0;
  }
  size_t size() const { return m_machines.size(); }

  // True after BeginDrain once no transaction is open.
  bool drained() const { return m_draining && m_machines.empty(); }

  // Number of answers that matched no call, since creation.
  uint64_t dropped_answers() const { return m_dropped_answers; }

 private:
  void Begin(const BeginTransaction& event, TimePoint now);
  // Passes `event` to one machine, records its wakeup and removes it when it
  // has ended.
  void Drive(const TransactionId& id,
             const TransactionEvent& event,
             TimePoint now);
  void AppendEffects(const TransactionId& id,
                     std::vector<TransactionEffect> effects);
  void Schedule(const TransactionId& id);
  void OnUnknownTransaction(const TransactionEvent& event);

  TransactionOptions m_options;
  std::map<TransactionId, TransactionMachine> m_machines;
  std::map<std::pair<InstanceName, ConnectionId>, TransactionId> m_connections;
  std::map<TransactionId, TimePoint> m_wakeups;
  std::set<std::pair<TimePoint, TransactionId>> m_wakeup_order;
  bool m_draining = false;
  uint64_t m_dropped_answers = 0;
  std::vector<TransactionEffect> m_effects;
};

}  // namespace jackdawturn::requests
