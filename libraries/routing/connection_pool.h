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
// that ends a connection has another target than "closed". Thread-safe.
Result<TransitionTable> CompileConnectionChart(const StateChart& chart);

// The built-in chart. Ends the program when it does not agree with the code.
// Thread-safe.
const TransitionTable& ConnectionChart();

// What the pool wants done.
struct PoolOpen {
  PoolConnectionId connection;
};
struct PoolClose {
  PoolConnectionId connection;
  // True when a statement was in progress, which counts as lost.
  bool was_running = false;
  // True when it was closed because it was silent.
  bool silent = false;
};
// Ask for a report on this connection.
struct PoolProbe {
  PoolConnectionId connection;
};
using PoolEffect = std::variant<PoolOpen, PoolClose, PoolProbe>;

// The connections of this proxy to one instance.
//
// A connection whose answer is overdue is probed, together with a second
// connection as witness. When the witness answers and the connection does not,
// it is silent: it is closed and replaced at once. When it answers, the
// statement is slow, and it is probed again later. When neither answers, the
// instance is stalled, and its connections are kept.
//
// Thread safety: not thread-safe.
class ConnectionPool {
 public:
  // `next_id` returns numbers that no other connection has.
  ConnectionPool(PoolOptions options,
                 std::function<PoolConnectionId()> next_id);

  // The connections that may be open; more are closed as they become idle.
  void SetShare(size_t share, std::vector<PoolEffect>& effects);

  // Opens connections for `wanted` statements and the spare ones.
  void Prepare(size_t wanted, TimePoint now, std::vector<PoolEffect>& effects);

  // Takes an idle connection that is not under suspicion.
  std::optional<PoolConnectionId> Take(TimePoint now);
  // Marks a held connection busy again. False when it is not held.
  bool TakeHeld(PoolConnectionId connection, TimePoint now);
  bool has_idle() const;

  // The statement was answered. With `hold` the connection stays with its
  // transaction, without a probe, until Release.
  void Answered(PoolConnectionId connection,
                bool hold,
                TimePoint now,
                std::vector<PoolEffect>& effects);
  // The transaction on a held connection ended.
  void Release(PoolConnectionId connection,
               bool clean,
               TimePoint now,
               std::vector<PoolEffect>& effects);

  void Opened(PoolConnectionId connection,
              OpenOutcome outcome,
              TimePoint now,
              std::mt19937_64& random);
  // The connection broke. Returns true when a statement was in progress on it.
  bool Lost(PoolConnectionId connection);
  // The instance answered, on another transport, a query sent at `asked_at`.
  void InstanceAnswered(TimePoint asked_at, TimePoint now);
  // A probe was answered.
  void ProbeAnswered(PoolConnectionId connection,
                     TimePoint now,
                     std::vector<PoolEffect>& effects);

  // Probes overdue and long unused connections and closes silent ones.
  // `answer_time` is the usual answer time of the instance.
  void Tick(Duration answer_time,
            TimePoint now,
            std::vector<PoolEffect>& effects);

  // When Tick is needed next; empty when it is not.
  std::optional<TimePoint> NextTick() const { return m_next_tick; }

  // Closes all connections.
  void CloseAll(std::vector<PoolEffect>& effects);

  // True while suspected connections and their witnesses are unanswered. False
  // without connections: nothing would show any more that the instance answers.
  bool stalled() const { return m_stalled && !m_connections.empty(); }
  // Open connections, without those that are being opened.
  size_t open_count() const;
  // All connections, including those that are being opened.
  size_t size() const { return m_connections.size(); }
  size_t share() const { return m_share; }
  // Begins to load the connections into the processor's caches.
  void Prefetch() const {
    if (!m_connections.empty())
      __builtin_prefetch(&*m_connections.begin());
  }
  ConnectionState StateOf(PoolConnectionId connection) const;

 private:
  struct Connection {
    ConnectionState state = ConnectionState::kOpening;
    // Held by a transaction, with or without a running statement.
    bool held_by_transaction = false;
    // Start of the present state, or of the statement that runs.
    TimePoint since;
    // When the first unanswered probe was sent, and when the instance showed
    // after that on another connection that it answers.
    std::optional<TimePoint> probed_at;
    std::optional<TimePoint> instance_answered_at;
    // When the connection is looked at next.
    TimePoint next_check;
  };
  // Room for the whole share is reserved and new numbers are the highest, so
  // that an insertion moves no other connection.
  using Connections = boost::container::flat_map<PoolConnectionId, Connection>;

  // True when the chart has a transition for `event`.
  bool Can(const Connection& connection, ConnectionEvent event) const;
  // Takes the transition of `event`, which the chart must have.
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
  void Run(Connection& connection, TimePoint now);
  // Ends the wait of a connection that is idle or held now.
  void RestartIdleTimer(Connection& connection, TimePoint now);
  void Probe(PoolConnectionId id,
             Connection& connection,
             TimePoint now,
             std::vector<PoolEffect>& effects);
  // Returns false when the connection must be closed as silent.
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
  // When a refused open is to be tried again.
  std::optional<TimePoint> m_open_retry;
  std::optional<TimePoint> m_next_tick;
  bool m_stalled = false;
};

}  // namespace jackdawturn::routing
