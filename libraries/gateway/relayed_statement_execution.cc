#include "gateway/relayed_statement_execution.h"

#include <algorithm>
#include <utility>

#include "gateway/local_statement_execution.h"

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using CommandKind = BackendCommand::Kind;

// Longer than it takes to detect that a holder accepts no connections.
constexpr Duration kAcquireTimeout = 250ms;
// A holder that has not answered within this time is probed.
constexpr Duration kProbeDelay = 200ms;
constexpr Duration kProbeTimeout = 150ms;
// A running holder answers a repeatable statement within this share of its
// timeout.
constexpr double kRepeatableTimeoutShare = 0.75;

}  // namespace

std::shared_ptr<RelayedStatementExecution> RelayedStatementExecution::Create(
    GatewayContext& context,
    Input input,
    OnDone on_done) {
  return std::shared_ptr<RelayedStatementExecution>(
      new RelayedStatementExecution(context, std::move(input),
                                    std::move(on_done)));
}

RelayedStatementExecution::RelayedStatementExecution(GatewayContext& context,
                                                     Input input,
                                                     OnDone on_done)
    : m_context(context),
      m_input(std::move(input)),
      m_on_done(std::move(on_done)),
      m_received(context.timers.now()),
      m_send_deadline(m_received +
                      Share(m_input.route.statement_timeout, kWaitShare)) {}

void RelayedStatementExecution::Start() {
  if (!m_input.connection)
    return StartAttempt();
  m_connection = std::move(m_input.connection);
  m_state = TransactionState::kOpen;
  m_first_statement = false;
  if (const auto destination =
          RelayDestination::Parse(m_connection->server.id.value()))
    m_holder = destination.value().peer;
  Send();
}

void RelayedStatementExecution::Abandon() {
  m_on_done = nullptr;
  if (m_local_execution)
    m_local_execution->Abandon();
}

void RelayedStatementExecution::Interrupt() {
  if (m_local_execution)
    return m_local_execution->Interrupt();
  if (!m_on_done)
    return;
  // A late answer is then ignored.
  ++m_batch;
  m_context.timers.Cancel(m_answer_timer);
  // There is a connection only while the statement is at the holder.
  if (!m_connection)
    return Finish(ErrorReply(ReplyCode::kBusy, kDraining));
  m_context.peer_pool.Discard(std::move(m_connection));
  Finish(ErrorReply(m_input.UnansweredCode(), "the proxy stops"));
}

bool RelayedStatementExecution::sent() const {
  return StatementExecution::sent() ||
         (m_local_execution && m_local_execution->sent());
}

void RelayedStatementExecution::StartAttempt() {
  if (!m_on_done)
    return;
  const TimePoint now = m_context.timers.now();
  if (now >= m_send_deadline)
    return Finish(ErrorReply(ReplyCode::kBusy, "no_holder_in_time"));
  const Peer* holder =
      m_context.peers.ChooseHolder(m_input.route.group, m_avoided, now);
  if (!holder)
    return RunLocally();
  m_holder = holder->name;
  const BackendServer target = MakeRelayServer(
      *holder, m_input.route.database, m_input.route.last_changed_version);
  m_context.peer_pool.AcquireFor(
      {.customer = m_input.customer,
       .priority = m_input.route.priority,
       .wait = std::min(kAcquireTimeout, m_send_deadline - now),
       .send_by =
           m_input.received + Share(m_input.route.target_latency, kSendShare)},
      target, [self = shared_from_this()](auto connection) {
        self->Acquired(std::move(connection));
      });
}

void RelayedStatementExecution::Acquired(
    Result<BackendPool::ConnectionPtr> connection) {
  if (connection) {
    m_connection = std::move(connection.value());
    if (!m_on_done)
      return ReleaseConnection();
    return Send();
  }
  const Error& error = connection.error();
  if (error.code == ErrorCode::kUnavailable ||
      error.code == ErrorCode::kTimeout)
    m_context.peers.Suspect(m_holder, m_context.timers.now());
  Log("no_relay",
      {{"reason", error.step}, {"error", std::string(ToString(error.code))}});
  m_avoided.insert(m_holder);
  StartAttempt();
}

void RelayedStatementExecution::RunLocally() {
  Log("relay_bypassed", {});
  m_local_execution = LocalStatementExecution::Create(
      m_context, std::move(m_input), std::exchange(m_on_done, nullptr));
  m_local_execution->Start();
}

std::vector<BackendCommand> RelayedStatementExecution::Commands() {
  auto commands = m_connection->state.Prepare(
      m_input.session, m_input.prepared ? &*m_input.prepared : nullptr);
  if (m_input.in_transaction() && m_first_statement) {
    const bool read_only = m_input.transaction == Transaction::kReadOnly;
    commands.push_back(
        {.kind = read_only ? CommandKind::kBeginRead : CommandKind::kBegin,
         .after = m_input.own_commit});
  }
  commands.push_back(StatementCommand(m_input));
  if (!m_input.in_transaction())
    commands.back().after = m_input.own_commit;
  return commands;
}

void RelayedStatementExecution::Send() {
  MarkSent();
  const uint64_t batch = ++m_batch;
  m_sent_at = m_context.timers.now();
  m_answer_timer =
      m_context.timers.After(std::min(kProbeDelay, AnswerTimeout()),
                             [self = shared_from_this(), batch] {
                               if (batch == self->m_batch)
                                 self->ProbeHolder();
                             });
  m_connection->session->Send(Commands(),
                              [self = shared_from_this(), batch](auto replies) {
                                if (batch == self->m_batch)
                                  self->Replied(std::move(replies));
                              });
}

void RelayedStatementExecution::ProbeHolder() {
  m_context.peer_pool.Probe(
      m_connection->server, kProbeTimeout,
      [self = shared_from_this(), batch = m_batch](const auto& answer) {
        if (batch == self->m_batch)
          self->Probed(answer);
      });
}

void RelayedStatementExecution::Probed(const Result<void>& answer) {
  // A holder that refuses the connection with kExhausted is running.
  if (!answer && answer.error().code != ErrorCode::kExhausted) {
    m_context.peers.Suspect(m_holder, m_context.timers.now());
    return Unanswered("the holder is silent");
  }
  // The holder is running, so its instances are slow; they would be as slow
  // for another holder.
  const TimePoint limit = m_sent_at + AnswerTimeout();
  const Duration left = std::max(limit - m_context.timers.now(), Duration(0));
  m_answer_timer = m_context.timers.After(
      left, [self = shared_from_this(), batch = m_batch] {
        if (batch == self->m_batch)
          self->Unanswered("no answer in time");
      });
}

Duration RelayedStatementExecution::AnswerTimeout() const {
  const Duration timeout = m_input.route.statement_timeout;
  return m_input.repeatable() ? Share(timeout, kRepeatableTimeoutShare)
                              : timeout;
}

void RelayedStatementExecution::Replied(
    Result<std::vector<BackendReply>> replies) {
  // The result of a probe in flight is then ignored.
  ++m_batch;
  m_context.timers.Cancel(m_answer_timer);
  if (!replies)
    return Unanswered(replies.error().message);
  m_context.peers.Answered(m_holder);
  m_state = replies.value().back().state;
  m_connection->state.Replied(replies.value());
  if (!m_on_done)
    return ReleaseConnection();
  const size_t last = replies.value().size() - 1;
  const bool began = !m_input.in_transaction() || !m_first_statement ||
                     replies.value()[last - 1].code == ReplyCode::kDone;
  // If BEGIN was refused, its reply explains why the statement did not run.
  StatementReplied(DecidingReply(replies.value(), began ? last : last - 1));
}

void RelayedStatementExecution::Unanswered(const std::string& reason) {
  // A late answer is then ignored.
  ++m_batch;
  m_context.timers.Cancel(m_answer_timer);
  m_context.peer_pool.Discard(std::move(m_connection));
  if (!m_on_done)
    return;
  Log("relay_lost", {{"reason", reason}});
  if (m_input.repeatable()) {
    m_avoided.insert(m_holder);
    return StartAttempt();
  }
  Finish(ErrorReply(m_input.UnansweredCode(), "the relay was lost"));
}

void RelayedStatementExecution::StatementReplied(const BackendReply& reply) {
  // The holder has an older configuration, cannot reach the instances or stops.
  const bool other_may_serve =
      reply.code == ReplyCode::kNoDatabase ||
      (reply.code == ReplyCode::kBusy &&
       (reply.message == kZoneIsolated || reply.message == kNoInstance ||
        reply.message == kNoLease || reply.message == kNoConfirmation ||
        reply.message == kDraining));
  if (reply.message == kZoneIsolated && m_context.peers.SameZone(m_holder))
    m_context.isolation.Suspect(m_context.timers.now());
  const bool isolated = m_context.isolation.isolated_since().has_value();
  if (other_may_serve && !isolated && m_first_statement &&
      !m_input.is_commit()) {
    Log("retry", {{"code", std::string(ToString(reply.code))},
                  {"message", reply.message}});
    ReleaseConnection();
    m_avoided.insert(m_holder);
    return StartAttempt();
  }
  const bool stays_open = m_input.in_transaction() && !m_input.is_commit() &&
                          reply.code == ReplyCode::kDone;
  if (!stays_open)
    ReleaseConnection();
  Finish(ReplyOf(reply));
}

void RelayedStatementExecution::ReleaseConnection() {
  m_context.peer_pool.RollBackAndRelease(std::move(m_connection), m_state);
}

void RelayedStatementExecution::Finish(ClientReply reply) {
  if (const OnDone on_done = std::exchange(m_on_done, nullptr))
    on_done({std::move(reply), std::move(m_connection)});
}

void RelayedStatementExecution::Log(const std::string& step,
                                    GatewayLog::Fields fields) {
  fields["database"] = m_input.route.database;
  fields["waited_us"] =
      std::to_string((m_context.timers.now() - m_received).count());
  if (m_context.config)
    fields["config_version"] = std::to_string(m_context.config->version);
  m_context.log.LogRequestEvent(m_input.statement.id, m_input.route.group, step,
                                m_holder.value(), std::move(fields));
}

}  // namespace jackdawturn::gateway
