#include "routing/connection_pool.h"

#include <algorithm>
#include <utility>

namespace jackdawturn::routing {

namespace {

// A connection becomes suspect when its statement is unanswered for this many
// usual answer times.
constexpr int kSuspectAfterFactor = 4;
// An unresponsive connection must be detected and replaced within 500 ms.
constexpr Duration kMaxSuspectAfter{250'000};
// Opening a connection times out after this many times PoolOptions::open_time.
constexpr int kOpenTimeoutFactor = 8;
// Interval at which unanswered probes are repeated while no witness answers.
constexpr Duration kStalledProbeInterval{100'000};

// Returns whether a statement is in progress; closing the connection loses it.
bool Running(ConnectionState state) {
  return state == ConnectionState::kBusy || state == ConnectionState::kSuspect;
}

bool Overdue(ConnectionState state) {
  return state == ConnectionState::kSuspect ||
         state == ConnectionState::kProbeOverdue;
}

}  // namespace

ConnectionPool::ConnectionPool(PoolOptions options,
                               std::function<PoolConnectionId()> next_id)
    : m_transition_table(&ConnectionChart()),
      m_options(options),
      m_next_id(std::move(next_id)) {}

bool ConnectionPool::HasTransition(const Connection& connection,
                                   ConnectionEvent event) const {
  return m_transition_table->NextState(static_cast<size_t>(connection.state),
                                       static_cast<size_t>(event)) !=
         TransitionTable::kNoTransition;
}

void ConnectionPool::Fire(Connection& connection, ConnectionEvent event) {
  const uint8_t next_state = m_transition_table->NextState(
      static_cast<size_t>(connection.state), static_cast<size_t>(event));
  VERIFY(next_state != TransitionTable::kNoTransition);
  connection.state = static_cast<ConnectionState>(next_state);
}

void ConnectionPool::SetShare(size_t share, std::vector<PoolEffect>& effects) {
  m_share = share;
  m_connections.reserve(std::max(share, m_connections.size()) + 1);
  CloseSurplus(effects);
}

void ConnectionPool::CloseSurplus(std::vector<PoolEffect>& effects) {
  // Connections that are still being opened are closed first, as they serve no
  // request yet.
  for (auto it = m_connections.begin();
       it != m_connections.end() && m_connections.size() > m_share;) {
    if (it->second.state == ConnectionState::kOpening)
      it = Close(it, ConnectionEvent::kRetired, effects);
    else
      ++it;
  }
  for (auto it = m_connections.begin();
       it != m_connections.end() && m_connections.size() > m_share;) {
    if (HasTransition(it->second, ConnectionEvent::kRetired))
      it = Close(it, ConnectionEvent::kRetired, effects);
    else
      ++it;
  }
  UpdateNextTick();
}

ConnectionPool::Connections::iterator ConnectionPool::Close(
    const Connections::iterator& connection,
    ConnectionEvent event,
    std::vector<PoolEffect>& effects) {
  effects.push_back(PoolClose{connection->first,
                              Running(connection->second.state),
                              event == ConnectionEvent::kSilent});
  Fire(connection->second, event);
  return m_connections.erase(connection);
}

void ConnectionPool::CloseAll(std::vector<PoolEffect>& effects) {
  for (auto it = m_connections.begin(); it != m_connections.end();)
    it = Close(it, ConnectionEvent::kInstanceRemoved, effects);
  UpdateNextTick();
}

void ConnectionPool::Open(TimePoint now, std::vector<PoolEffect>& effects) {
  const PoolConnectionId id = m_next_id();
  Connection connection;
  connection.since = now;
  connection.next_check = now + m_options.open_time * kOpenTimeoutFactor;
  m_connections.emplace(id, connection);
  effects.push_back(PoolOpen{id});
}

void ConnectionPool::Prepare(size_t wanted,
                             TimePoint now,
                             std::vector<PoolEffect>& effects) {
  if (now < m_no_open_before)
    return;
  if (m_open_retry) {
    m_open_retry.reset();
    UpdateNextTick();
  }
  if (m_connections.size() >= m_share)
    return;
  const auto ready = static_cast<size_t>(std::count_if(
      m_connections.begin(), m_connections.end(), [](const auto& entry) {
        const ConnectionState state = entry.second.state;
        return state == ConnectionState::kIdle ||
               state == ConnectionState::kOpening ||
               state == ConnectionState::kProbing;
      }));
  for (size_t count = ready;
       count < wanted + m_options.min_idle && m_connections.size() < m_share;
       ++count)
    Open(now, effects);
  UpdateNextTick();
}

bool ConnectionPool::has_idle() const {
  return std::any_of(m_connections.begin(), m_connections.end(),
                     [](const auto& entry) {
                       return entry.second.state == ConnectionState::kIdle;
                     });
}

std::optional<PoolConnectionId> ConnectionPool::Take(TimePoint now) {
  // The most recently used connection is the least likely to be unresponsive.
  auto best = m_connections.end();
  for (auto it = m_connections.begin(); it != m_connections.end(); ++it) {
    if (it->second.state == ConnectionState::kIdle &&
        (best == m_connections.end() || it->second.since > best->second.since))
      best = it;
  }
  if (best == m_connections.end())
    return std::nullopt;
  MarkBusy(best->second, now);
  return best->first;
}

bool ConnectionPool::TakeHeld(PoolConnectionId connection, TimePoint now) {
  const auto found = m_connections.find(connection);
  if (found == m_connections.end() ||
      found->second.state != ConnectionState::kHeld)
    return false;
  MarkBusy(found->second, now);
  return true;
}

void ConnectionPool::MarkBusy(Connection& connection, TimePoint now) {
  Fire(connection, ConnectionEvent::kStatementSent);
  connection.since = now;
  connection.next_check = now + SuspectAfter();
  UpdateNextTick();
}

void ConnectionPool::RestartIdleTimer(Connection& connection, TimePoint now) {
  connection.since = now;
  connection.probed_at.reset();
  connection.instance_answered_at.reset();
  // A connection that a transaction holds between two statements is not probed;
  // the timeouts of the transaction end it.
  connection.next_check = connection.held_by_transaction
                              ? TimePoint::max()
                              : now + m_options.idle_probe_interval;
}

void ConnectionPool::Answered(PoolConnectionId connection,
                              bool hold,
                              TimePoint now,
                              std::vector<PoolEffect>& effects) {
  const auto found = m_connections.find(connection);
  if (found == m_connections.end())
    return;
  const bool held = hold || found->second.held_by_transaction;
  const ConnectionEvent event = held ? ConnectionEvent::kAnsweredInTransaction
                                     : ConnectionEvent::kAnswered;
  if (!HasTransition(found->second, event))
    return;
  Fire(found->second, event);
  found->second.held_by_transaction = held;
  RestartIdleTimer(found->second, now);
  NoteInstanceResponsive(connection, now);
  CloseSurplus(effects);
}

void ConnectionPool::Release(PoolConnectionId connection,
                             bool clean,
                             TimePoint now,
                             std::vector<PoolEffect>& effects) {
  const auto found = m_connections.find(connection);
  if (found == m_connections.end() || !found->second.held_by_transaction)
    return;
  if (clean &&
      HasTransition(found->second, ConnectionEvent::kTransactionEnded)) {
    Fire(found->second, ConnectionEvent::kTransactionEnded);
    found->second.held_by_transaction = false;
    RestartIdleTimer(found->second, now);
  } else {
    Close(found, ConnectionEvent::kStateUnknown, effects);
  }
  CloseSurplus(effects);
}

void ConnectionPool::Opened(PoolConnectionId connection,
                            OpenOutcome outcome,
                            TimePoint now,
                            std::mt19937_64& random) {
  const auto found = m_connections.find(connection);
  if (found == m_connections.end() ||
      !HasTransition(found->second, ConnectionEvent::kOpened))
    return;
  if (outcome == OpenOutcome::kOpened) {
    m_refused_opens = 0;
    Fire(found->second, ConnectionEvent::kOpened);
    RestartIdleTimer(found->second, now);
    NoteInstanceResponsive(connection, now);
  } else {
    Fire(found->second, ConnectionEvent::kOpenFailed);
    m_connections.erase(found);
    m_no_open_before = now + BackOffDelay(m_options.refused_back_off,
                                          ++m_refused_opens, random);
    m_open_retry = m_no_open_before;
  }
  UpdateNextTick();
}

bool ConnectionPool::Lost(PoolConnectionId connection) {
  const auto found = m_connections.find(connection);
  if (found == m_connections.end())
    return false;
  const bool running = Running(found->second.state);
  Fire(found->second, ConnectionEvent::kLost);
  m_connections.erase(found);
  UpdateNextTick();
  return running;
}

void ConnectionPool::ProbeAnswered(PoolConnectionId connection,
                                   TimePoint now,
                                   std::vector<PoolEffect>& effects) {
  const auto found = m_connections.find(connection);
  // A connection that is still being opened is not probed, so an answer on it
  // is ignored.
  if (found == m_connections.end() ||
      !HasTransition(found->second, ConnectionEvent::kProbeAnswered))
    return;
  Connection& probed = found->second;
  Fire(probed, ConnectionEvent::kProbeAnswered);
  if (Running(probed.state)) {
    // The statement is slow, so the connection is probed again later.
    probed.probed_at.reset();
    probed.instance_answered_at.reset();
    probed.next_check = now + SuspectAfter();
  } else if (!probed.held_by_transaction) {
    RestartIdleTimer(probed, now);
  }
  NoteInstanceResponsive(connection, now);
  CloseSurplus(effects);
}

void ConnectionPool::NoteInstanceResponsive(
    PoolConnectionId answering_connection,
    TimePoint now) {
  m_stalled = false;
  for (auto& [id, connection] : m_connections) {
    if (id == answering_connection || !connection.probed_at ||
        connection.instance_answered_at)
      continue;
    connection.instance_answered_at = now;
    connection.next_check = now + m_options.probe_grace;
  }
  UpdateNextTick();
}

void ConnectionPool::InstanceAnswered(TimePoint asked_at, TimePoint now) {
  m_stalled = false;
  for (auto& [id, connection] : m_connections) {
    if (!connection.probed_at || connection.instance_answered_at ||
        asked_at < *connection.probed_at)
      continue;
    connection.instance_answered_at = now;
    connection.next_check = now + m_options.probe_grace;
  }
  UpdateNextTick();
}

Duration ConnectionPool::SuspectAfter() const {
  return std::clamp(m_answer_time * kSuspectAfterFactor,
                    m_options.suspect_after, kMaxSuspectAfter);
}

void ConnectionPool::Suspect(PoolConnectionId id,
                             Connection& connection,
                             TimePoint now,
                             std::vector<PoolEffect>& effects) {
  Fire(connection, ConnectionEvent::kOverdue);
  connection.probed_at = now;
  connection.instance_answered_at.reset();
  connection.next_check = now + m_options.probe_grace;
  effects.push_back(PoolProbe{id});
}

void ConnectionPool::Probe(PoolConnectionId id,
                           Connection& connection,
                           TimePoint now,
                           std::vector<PoolEffect>& effects) {
  Fire(connection, ConnectionEvent::kProbeSent);
  connection.probed_at = now;
  connection.next_check = now + m_options.probe_grace;
  effects.push_back(PoolProbe{id});
}

void ConnectionPool::ProbeSecondConnection(TimePoint now,
                                           std::vector<PoolEffect>& effects) {
  for (auto& [id, connection] : m_connections) {
    if (connection.state != ConnectionState::kIdle)
      continue;
    Probe(id, connection, now, effects);
    return;
  }
  for (const auto& [id, connection] : m_connections) {
    if (connection.state == ConnectionState::kOpening ||
        connection.state == ConnectionState::kProbing)
      return;
  }
  if (m_connections.size() < m_share && now >= m_no_open_before) {
    Open(now, effects);
    return;
  }
  for (const auto& [id, connection] : m_connections) {
    if (connection.state == ConnectionState::kBusy ||
        connection.state == ConnectionState::kHeld) {
      effects.push_back(PoolProbe{id});
      return;
    }
  }
}

bool ConnectionPool::CheckSuspect(PoolConnectionId id,
                                  Connection& connection,
                                  TimePoint now,
                                  std::vector<PoolEffect>& effects) {
  if (connection.instance_answered_at &&
      now >= std::max(*connection.instance_answered_at, *connection.probed_at) +
                 m_options.probe_grace)
    return false;
  if (connection.instance_answered_at) {
    connection.next_check =
        *connection.instance_answered_at + m_options.probe_grace;
    return true;
  }
  // Neither the connection nor a witness has answered yet.
  effects.push_back(PoolProbe{id});
  ProbeSecondConnection(now, effects);
  connection.next_check = now + kStalledProbeInterval;
  return true;
}

void ConnectionPool::Tick(Duration answer_time,
                          TimePoint now,
                          std::vector<PoolEffect>& effects) {
  m_answer_time = answer_time;
  if (!m_next_tick || now < *m_next_tick)
    return;
  std::vector<PoolConnectionId> due;
  for (const auto& [id, connection] : m_connections) {
    if (connection.next_check <= now)
      due.push_back(id);
  }
  size_t silent = 0;
  for (const PoolConnectionId id : due) {
    const auto found = m_connections.find(id);
    if (found == m_connections.end())
      continue;
    Connection& connection = found->second;
    switch (connection.state) {
      case ConnectionState::kOpening:
        Close(found, ConnectionEvent::kOpenFailed, effects);
        m_no_open_before = now + m_options.refused_back_off.first;
        m_open_retry = m_no_open_before;
        break;
      case ConnectionState::kIdle:
        Probe(id, connection, now, effects);
        break;
      case ConnectionState::kBusy:
      case ConnectionState::kProbing:
        Suspect(id, connection, now, effects);
        ProbeSecondConnection(now, effects);
        break;
      case ConnectionState::kSuspect:
      case ConnectionState::kProbeOverdue:
        if (!CheckSuspect(id, connection, now, effects)) {
          Close(found, ConnectionEvent::kSilent, effects);
          ++silent;
        }
        break;
      case ConnectionState::kHeld:
      case ConnectionState::kClosed:
        break;
    }
  }
  ReplaceOneIfAllOverdue(now, effects);
  for (; silent > 0 && m_connections.size() < m_share; --silent)
    Open(now, effects);
  UpdateNextTick();
}

void ConnectionPool::ReplaceOneIfAllOverdue(TimePoint now,
                                            std::vector<PoolEffect>& effects) {
  // When all connections are overdue and none is left as witness, either the
  // instance is stalled or all connections are unresponsive. A new connection
  // shows which. If the share is used up, one connection is closed for it,
  // preferably one without a statement.
  auto given_up = m_connections.end();
  bool all_overdue = !m_connections.empty();
  for (auto it = m_connections.begin(); it != m_connections.end(); ++it) {
    const Connection& connection = it->second;
    if (!Overdue(connection.state) || connection.instance_answered_at ||
        now < *connection.probed_at + m_options.probe_grace) {
      all_overdue = false;
      break;
    }
    if (given_up == m_connections.end() ||
        (Running(given_up->second.state) && !Running(connection.state)))
      given_up = it;
  }
  if (!all_overdue)
    return;
  m_stalled = true;
  if (now < m_no_open_before)
    return;
  if (m_connections.size() >= m_share)
    Close(given_up, ConnectionEvent::kGivenUp, effects);
  if (m_connections.size() < m_share)
    Open(now, effects);
}

void ConnectionPool::UpdateNextTick() {
  m_next_tick = m_open_retry;
  for (const auto& [id, connection] : m_connections) {
    if (connection.next_check != TimePoint::max() &&
        (!m_next_tick || connection.next_check < *m_next_tick))
      m_next_tick = connection.next_check;
  }
}

size_t ConnectionPool::open_count() const {
  return static_cast<size_t>(std::count_if(
      m_connections.begin(), m_connections.end(), [](const auto& entry) {
        return entry.second.state != ConnectionState::kOpening;
      }));
}

ConnectionState ConnectionPool::StateOf(PoolConnectionId connection) const {
  const auto found = m_connections.find(connection);
  return found == m_connections.end() ? ConnectionState::kClosed
                                      : found->second.state;
}

}  // namespace jackdawturn::routing
