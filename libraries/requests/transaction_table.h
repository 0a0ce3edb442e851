#pragma once

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "requests/transaction_machine.h"
#include "requests/transaction_types.h"

namespace jackdawturn::requests {

// The open transactions of a proxy. Events for a transaction that is not open
// are answered truthfully: a statement with kNotFound, a commit with `not_run`
// (or `unknown`, when the caller says that it submitted the commit before).
//
// Thread safety: not thread-safe; owned by the decision thread.
class TransactionTable {
 public:
  explicit TransactionTable(TransactionOptions options);

  std::vector<TransactionEffect> Handle(const TransactionEvent& event,
                                        TimePoint now);

  // When TimePassed is wanted; nothing while the table is empty.
  std::optional<TimePoint> NextWakeup() const;

  bool Holds(const TransactionId& transaction) const {
    return m_machines.count(transaction) != 0;
  }
  size_t size() const { return m_machines.size(); }

  // True after BeginDrain when no transaction is open any more.
  bool drained() const { return m_draining && m_machines.empty(); }

  // Answers that matched no call, since creation.
  uint64_t dropped_answers() const { return m_dropped_answers; }

 private:
  void Begin(const BeginTransaction& event, TimePoint now);
  // Runs `event` on one machine, keeps its wakeup and removes it at its end.
  void Drive(const TransactionId& id,
             const TransactionEvent& event,
             TimePoint now);
  void Take(const TransactionId& id, std::vector<TransactionEffect> effects);
  void Schedule(const TransactionId& id);
  void OnUnknown(const TransactionEvent& event);

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
