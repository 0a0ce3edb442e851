#include "gateway/relayed_statement_execution.h"

#include <algorithm>
#include <utility>

#include "gateway/local_statement_execution.h"

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using CommandKind = BackendCommand::Kind;

// Longer than it takes to see that a holder accepts no connection.
constexpr Duration kAcquireWait = 250ms;
// A holder that has not answered by then is asked whether it lives.
constexpr Duration kSilence = 200ms;
constexpr Duration kProbeTimeout = 150ms;
// A living holder answers a read within this share of its time limit.
constexpr double kReadShare = 0.75;

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
      m_give_up(m_received +
                Share(m_input.route.statement_timeout, kWaitShare)) {}

void RelayedStatementExecution::Start() {
  if (!m_input.connection)
    return StartAttempt();
  m_connection = std::move(m_input.connection);
  m_state = TransactionState::kOpen;
  m_first = false;
  if (const auto destination =
          RelayDestination::Parse(m_connection->server.id.value()))
    m_holder = destination.value().peer;
  Send();
}

void RelayedStatementExecution::Abandon() {
  m_on_done = nullptr;
  if (m_direct)
    m_direct->Abandon();
}

void RelayedStatementExecution::StartAttempt() {
  if (!m_on_done)
    return;
  const TimePoint now = m_context.timers.now();
  if (now >= m_give_up)
    return Finish(ErrorReply(ReplyCode::kBusy, "no_holder_in_time"));
  const Peer* holder =
      m_context.peers.ChooseHolder(m_input.route.group, m_avoided, now);
  if (!holder)
    return RunDirectly();
  m_holder = holder->name;
  const BackendServer target = MakeRelayServer(
      *holder, m_input.route.database, m_input.route.last_changed_version);
  m_context.peer_pool.Acquire(target, m_input.route.priority,
                              std::min(kAcquireWait, m_give_up - now),
                              [self = shared_from_this()](auto connection) {
                                self->Acquired(std::move(connection));
                              });
}

void RelayedStatementExecution::Acquired(
    Result<BackendPool::ConnectionPtr> connection) {
  if (connection) {
    m_connection = std::move(connection.value());
    if (!m_on_done)
      return GiveBack();
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

void RelayedStatementExecution::RunDirectly() {
  Log("relay_bypassed", {});
  m_direct = LocalStatementExecution::Create(m_context, std::move(m_input),
                                             std::exchange(m_on_done, nullptr));
  m_direct->Start();
}

std::vector<BackendCommand> RelayedStatementExecution::Commands() {
  auto commands = PrepareConnection(
      m_input.session, m_input.prepared ? &*m_input.prepared : nullptr,
      m_connection->state);
  if (m_input.in_transaction() && m_first) {
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
  const uint64_t batch = ++m_batch;
  m_sent = m_context.timers.now();
  m_silence_timer = m_context.timers.After(std::min(kSilence, AnswerLimit()),
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
  // A holder that refuses a new connection lives as well.
  if (!answer && answer.error().code != ErrorCode::kExhausted) {
    m_context.peers.Suspect(m_holder, m_context.timers.now());
    return Unanswered("the holder is silent");
  }
  // The instances are slow, and another holder would find the same.
  const TimePoint limit = m_sent + AnswerLimit();
  const Duration left = std::max(limit - m_context.timers.now(), Duration(0));
  m_silence_timer = m_context.timers.After(
      left, [self = shared_from_this(), batch = m_batch] {
        if (batch == self->m_batch)
          self->Unanswered("no answer in time");
      });
}

Duration RelayedStatementExecution::AnswerLimit() const {
  const Duration timeout = m_input.route.statement_timeout;
  return m_input.repeatable() ? Share(timeout, kReadShare) : timeout;
}

void RelayedStatementExecution::Replied(
    Result<std::vector<BackendReply>> replies) {
  // A probe that is still on its way has nothing to say any more.
  ++m_batch;
  m_context.timers.Cancel(m_silence_timer);
  if (!replies)
    return Unanswered(replies.error().message);
  m_context.peers.Answered(m_holder);
  m_state = replies.value().back().state;
  if (!m_on_done)
    return GiveBack();
  const size_t count = replies.value().size();
  const bool began = !m_input.in_transaction() || !m_first ||
                     replies.value()[count - 2].code == ReplyCode::kDone;
  // A statement after a refused BEGIN is refused for that reason.
  StatementReplied(replies.value()[began ? count - 1 : count - 2]);
}

void RelayedStatementExecution::Unanswered(const std::string& reason) {
  // An answer that still comes is ignored.
  ++m_batch;
  m_context.timers.Cancel(m_silence_timer);
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
  // The holder knows an older configuration, or cannot reach the instances.
  const bool other_may_serve =
      reply.code == ReplyCode::kNoDatabase ||
      (reply.code == ReplyCode::kBusy &&
       (reply.message == kZoneIsolated || reply.message == kNoInstance));
  if (reply.message == kZoneIsolated && m_context.peers.SameZone(m_holder))
    m_context.isolation.Suspect(m_context.timers.now());
  const bool cut_off = m_context.isolation.isolated_since().has_value();
  if (other_may_serve && !cut_off && m_first && !m_input.is_commit()) {
    Log("retry", {{"code", std::string(ToString(reply.code))},
                  {"message", reply.message}});
    GiveBack();
    m_avoided.insert(m_holder);
    return StartAttempt();
  }
  const bool stays_open = m_input.in_transaction() && !m_input.is_commit() &&
                          reply.code == ReplyCode::kDone;
  if (!stays_open)
    GiveBack();
  Finish(ReplyOf(reply));
}

void RelayedStatementExecution::GiveBack() {
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
