#pragma once

#include <functional>
#include <optional>
#include <random>
#include <variant>
#include <vector>

#include <boost/container/flat_map.hpp>

#include "charts/charts.h"
#include "core/core.h"
#include "routing/retry_budget.h"
#include "routing/routing_events.h"
#include "routing/routing_options.h"

namespace jackdawturn::routing {

// The states of charts/connection.json, in the order of its list.
enum class ConnectionState : uint8_t {
  kOpening,
  kIdle,
  kBusy,
  kHeld,
  kProbing,
  kSuspect,
  kProbeOverdue,
  kClosed,
};

// The events of charts/connection.json.
enum class ConnectionEvent : uint8_t {
  kOpened,
  kOpenFailed,
  kStatementSent,
  kAnswered,
  kAnsweredInTransaction,
  kTransactionEnded,
  kStateUnknown,
  kProbeSent,
  kOverdue,
  kProbeAnswered,
  kSilent,
  kGivenUp,
  kRetired,
  kLost,
  kInstanceRemoved,
};

std::string_view ToString(ConnectionState state);

// Compiles the chart of a connection for the pool.
// Errors: those of TransitionTable::Create, and kInvalidArgument when an event
// that ends a connection leads to a state other than "closed". Thread-safe.
Result<TransitionTable> CompileConnectionChart(const StateChart& chart);

// Returns the built-in chart. Aborts the program when the chart does not match
// the code. Thread-safe.
const TransitionTable& ConnectionChart();

// The effects that the owner of the pool must carry out.
struct PoolOpen {
  PoolConnectionId connection;
};
struct PoolClose {
  PoolConnectionId connection;
  // True when a statement was in progress; it counts as lost.
  bool was_running = false;
  // True when the connection was closed because it was unresponsive.
  bool silent = false;
};
// Requests a report on this connection as a probe.
struct PoolProbe {
  PoolConnectionId connection;
};
using PoolEffect = std::variant<PoolOpen, PoolClose, PoolProbe>;

// The connections of this proxy to one instance.
//
// A connection whose answer is overdue is probed, together with a second
// connection as witness. When only the witness answers, the connection is
// unresponsive: it is closed and replaced immediately. When the connection
// answers the probe, its statement is slow, and the connection is probed again
// later. When neither answers, the instance is stalled, and its connections are
// kept.
//
// Thread safety: not thread-safe.
class ConnectionPool {
 public:
  // `next_id` returns a new id for each connection.
  ConnectionPool(PoolOptions options,
                 std::function<PoolConnectionId()> next_id);

  // Sets the number of connections that may be open. Connections in excess of
  // it are closed as they become idle.
  void SetShare(size_t share, std::vector<PoolEffect>& effects);

  // Opens connections for `wanted` statements, and PoolOptions::min_idle
  // further ones.
  void Prepare(size_t wanted, TimePoint now, std::vector<PoolEffect>& effects);

  // Takes an idle connection; one that is being probed is not idle.
  std::optional<PoolConnectionId> Take(TimePoint now);
  // Marks a held connection busy again. Returns false when it is not held.
  bool TakeHeld(PoolConnectionId connection, TimePoint now);
  bool has_idle() const;

  // Records the answer to a statement. With `hold`, the connection stays
  // reserved for its transaction, and is not probed, until Release.
  void Answered(PoolConnectionId connection,
                bool hold,
                TimePoint now,
                std::vector<PoolEffect>& effects);
  // Records the end of the transaction on a held connection.
  void Release(PoolConnectionId connection,
               bool clean,
               TimePoint now,
               std::vector<PoolEffect>& effects);

  void Opened(PoolConnectionId connection,
              OpenOutcome outcome,
              TimePoint now,
              std::mt19937_64& random);
  // Records that the connection broke. Returns whether a statement was in
  // progress on it.
  bool Lost(PoolConnectionId connection);
  // Records that the instance answered, on another transport, a query that was
  // sent at `asked_at`.
  void InstanceAnswered(TimePoint asked_at, TimePoint now);
  // Records the answer to a probe.
  void ProbeAnswered(PoolConnectionId connection,
                     TimePoint now,
                     std::vector<PoolEffect>& effects);

  // Probes overdue and long-idle connections and closes unresponsive ones.
  // `answer_time` is the usual answer time of the instance.
  void Tick(Duration answer_time,
            TimePoint now,
            std::vector<PoolEffect>& effects);

  // Returns when Tick must be called next; empty when it need not be.
  std::optional<TimePoint> NextTick() const { return m_next_tick; }

  // Closes all connections.
  void CloseAll(std::vector<PoolEffect>& effects);

  // True while neither the suspected connections nor their witnesses answer
  // probes. False without connections, because none is left on which an answer
  // could end the stall.
  bool stalled() const { return m_stalled && !m_connections.empty(); }
  // Returns the number of connections without those that are being opened.
  size_t open_count() const;
  // Returns the number of connections including those that are being opened.
  size_t size() const { return m_connections.size(); }
  size_t share() const { return m_share; }
  // Prefetches the connections into the CPU caches.
  void Prefetch() const {
    if (!m_connections.empty())
      __builtin_prefetch(&*m_connections.begin());
  }
  ConnectionState StateOf(PoolConnectionId connection) const;

 private:
  struct Connection {
    ConnectionState state = ConnectionState::kOpening;
    // True while a transaction holds it, with or without a running statement.
    bool held_by_transaction = false;
    // Start of the current state, or of the running statement.
    TimePoint since;
    // When the first unanswered probe was sent, and when the instance then
    // first answered on another connection or transport.
    std::optional<TimePoint> probed_at;
    std::optional<TimePoint> instance_answered_at;
    // When Tick checks the connection next.
    TimePoint next_check;
  };
  // Capacity for the whole share is reserved and new ids are the highest, so an
  // insertion moves no other connection.
  using Connections = boost::container::flat_map<PoolConnectionId, Connection>;

  // Returns whether the chart has a transition for `event`.
  bool HasTransition(const Connection& connection, ConnectionEvent event) const;
  // Makes the transition for `event`. Precondition: HasTransition(connection,
  // event).
  void Fire(Connection& connection, ConnectionEvent event);
  void Open(TimePoint now, std::vector<PoolEffect>& effects);
  Connections::iterator Close(const Connections::iterator& connection,
                              ConnectionEvent event,
                              std::vector<PoolEffect>& effects);
  void Suspect(PoolConnectionId id,
               Connection& connection,
               TimePoint now,
               std::vector<PoolEffect>& effects);
  void ProbeSecondConnection(TimePoint now, std::vector<PoolEffect>& effects);
  void NoteInstanceResponsive(PoolConnectionId answering_connection,
                              TimePoint now);
  void MarkBusy(Connection& connection, TimePoint now);
  // Clears the probe state of a connection that became idle or held. Schedules
  // the next probe of an idle one; a held one is not probed.
  void RestartIdleTimer(Connection& connection, TimePoint now);
  void Probe(PoolConnectionId id,
             Connection& connection,
             TimePoint now,
             std::vector<PoolEffect>& effects);
  // Returns false when the connection is unresponsive and must be closed.
  bool CheckSuspect(PoolConnectionId id,
                    Connection& connection,
                    TimePoint now,
                    std::vector<PoolEffect>& effects);
  void ReplaceOneIfAllOverdue(TimePoint now, std::vector<PoolEffect>& effects);
  void CloseSurplus(std::vector<PoolEffect>& effects);
  Duration SuspectAfter() const;
  void UpdateNextTick();

  const TransitionTable* m_transition_table;
  PoolOptions m_options;
  std::function<PoolConnectionId()> m_next_id;
  size_t m_share = 0;
  Connections m_connections;
  Duration m_answer_time{0};
  uint32_t m_refused_opens = 0;
  TimePoint m_no_open_before;
  // When to retry after a refused or failed open.
  std::optional<TimePoint> m_open_retry;
  std::optional<TimePoint> m_next_tick;
  bool m_stalled = false;
};

}  // namespace jackdawturn::routing
