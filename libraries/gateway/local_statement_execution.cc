#include "gateway/local_statement_execution.h"

#include <algorithm>
#include <utility>

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using CommandKind = BackendCommand::Kind;
using StatementKind = ClientStatement::Kind;

}  // namespace

std::shared_ptr<LocalStatementExecution> LocalStatementExecution::Create(
    GatewayContext& context,
    Input input,
    OnDone on_done) {
  return std::shared_ptr<LocalStatementExecution>(new LocalStatementExecution(
      context, std::move(input), std::move(on_done)));
}

LocalStatementExecution::LocalStatementExecution(GatewayContext& context,
                                                 Input input,
                                                 OnDone on_done)
    : m_context(context),
      m_input(std::move(input)),
      m_on_done(std::move(on_done)),
      m_received(context.timers.now()),
      m_deadline(m_received + m_input.route.statement_timeout),
      m_send_deadline(m_received + WaitLimit()) {}

Duration LocalStatementExecution::WaitLimit() const {
  const Route& route = m_input.route;
  const Duration longest = Share(route.statement_timeout, kWaitShare);
  if (!m_input.from_peer)
    return longest;
  // The relaying proxy then has time to retry elsewhere.
  return std::min(longest, Share(route.target_latency, kSendShare));
}

bool LocalStatementExecution::needs_primary() const {
  return m_input.writes() || m_input.transaction == Transaction::kReadWrite ||
         m_input.route.freshness == ReadFreshness::kPrimary;
}

bool LocalStatementExecution::target_is_primary() const {
  const BackendServer* primary =
      m_context.directory.Primary(m_input.route.group);
  return primary && primary->id == m_target;
}

void LocalStatementExecution::Start() {
  if (!m_input.connection)
    return StartAttempt();
  m_connection = std::move(m_input.connection);
  m_instance_state = TransactionState::kOpen;
  m_target = m_connection->server.id;
  if (unconfirmable()) {
    ReleaseConnection();
    return Finish(ErrorReply(ReplyCode::kAborted, kNoConfirmation));
  }
  SendStatement();
}

void LocalStatementExecution::Abandon() {
  m_on_done = nullptr;
}

void LocalStatementExecution::Interrupt() {
  if (!m_on_done)
    return;
  // A late reply is then ignored.
  ++m_batch;
  if (m_connection)
    m_context.pool.Discard(std::move(m_connection));
  if (m_may_have_run)
    return FinishUnanswered("the proxy stops");
  Refuse(kDraining);
}

void LocalStatementExecution::StartAttempt() {
  if (!m_on_done)
    return;
  if (m_context.timers.now() >= m_send_deadline)
    return Refuse(kNoInstance);
  if (unconfirmable())
    return Refuse(kNoConfirmation);
  ++m_attempts;
  const BackendServer* server = ChooseServer();
  if (!server) {
    // The partition of the zone is not expected to end in time; a proxy of
    // another zone may serve the statement.
    if (m_context.isolation.isolated_since())
      return Refuse(kZoneIsolated);
    if (needs_primary() && primary_unknown())
      return Refuse(kNoInstance);
    m_avoided.clear();
    return ScheduleAttempt(kRetryDelay);
  }
  m_target = server->id;
  if (m_context.isolation.isolated_since() && server->zone != m_context.zone)
    return Refuse(kZoneIsolated);
  m_context.pool.AcquireFor(
      {.customer = m_input.customer,
       .priority = m_input.route.priority,
       .wait = m_send_deadline - m_context.timers.now(),
       .send_by =
           m_input.received + Share(m_input.route.target_latency, kSendShare),
       .as_primary = target_is_primary()},
      *server,
      [self =
           shared_from_this()](Result<BackendPool::ConnectionPtr> connection) {
        self->Acquired(std::move(connection));
      });
}

const BackendServer* LocalStatementExecution::ChooseServer() {
  const GroupName& group = m_input.route.group;
  m_required.reset();
  if (!needs_primary())
    return ChooseForRead();
  const BackendServer* primary = m_context.directory.Primary(group);
  if (!primary || m_context.pool.Unreachable(primary->id))
    return nullptr;
  // While writes to a primary whose replicas are unreachable are not answered,
  // one write at a time probes for recovery. The others are not sent, so they
  // can still be refused as not run.
  if ((m_input.writes() || m_input.is_commit()) &&
      m_context.failure_detector.WritesBlocked(primary->id,
                                               m_context.timers.now()))
    return nullptr;
  return primary;
}

void LocalStatementExecution::ScheduleAttempt(Duration delay) {
  m_context.timers.After(delay,
                         [self = shared_from_this()] { self->StartAttempt(); });
}

void LocalStatementExecution::Acquired(
    Result<BackendPool::ConnectionPtr> connection) {
  if (connection) {
    if (needs_primary())
      m_context.no_primary_since.erase(m_input.route.group);
    m_connection = std::move(connection.value());
    m_instance_state = TransactionState::kNone;
    if (!m_on_done)
      return ReleaseConnection();
    return SendFirst();
  }
  if (!m_on_done)
    return;
  const Error& error = connection.error();
  Log("no_connection",
      {{"reason", error.step}, {"error", std::string(ToString(error.code))}});
  if (error.step == BackendPool::kRefusedStep) {
    ReportPrimaryFull();
    return Refuse(error.message);
  }
  if (error.code == ErrorCode::kExhausted && error.step == "pool.wait") {
    ReportPrimaryFull();
    return Refuse("no_connection_in_time");
  }
  m_avoided.insert(m_target);
  ScheduleAttempt(needs_primary() ? kRetryDelay : Duration(0));
}

void LocalStatementExecution::SendFirst() {
  const bool is_primary = target_is_primary();
  // The instance may have been promoted or demoted while the statement waited
  // for a connection.
  if (!is_primary && !m_required) {
    ReleaseConnection();
    return ScheduleAttempt(Duration(0));
  }
  if (is_primary && !lease_suffices()) {
    if (m_lease_requested) {
      m_lease_requested = false;
      ReleaseConnection();
      return ScheduleAttempt(kRetryDelay);
    }
    m_lease_requested = true;
    return m_context.renew_lease(
        m_input.route.group, [self = shared_from_this()] {
          if (!self->m_on_done)
            return self->ReleaseConnection();
          if (self->m_context.timers.now() < self->m_send_deadline)
            return self->SendFirst();
          self->ReleaseConnection();
          self->Refuse(kNoLease);
        });
  }
  m_lease_requested = false;
  m_implicit_transaction =
      !m_input.in_transaction() && !m_input.writes() && is_primary;
  if (m_input.in_transaction() || m_implicit_transaction)
    return BeginTransaction();
  SendStatement();
}

void LocalStatementExecution::BeginTransaction() {
  const bool read_only =
      m_input.transaction == Transaction::kReadOnly && m_required;
  auto commands = m_connection->state.Prepare(m_input.session, nullptr);
  BackendCommand begin;
  // A plain transaction fails on an instance that is no longer primary.
  begin.kind = read_only && !target_is_primary() ? CommandKind::kBeginRead
                                                 : CommandKind::kBegin;
  if (begin.kind == CommandKind::kBeginRead)
    begin.after = m_required;
  else if (m_context.needs_leases())
    begin.after = m_input.own_commit;
  commands.push_back(std::move(begin));
  Send(StatementStep::kBegin, std::move(commands),
       [this](const std::vector<BackendReply>& replies) {
         const BackendReply& begun = DecidingReply(replies, replies.size() - 1);
         if (begun.code == ReplyCode::kDone) {
           m_required.reset();
           return SendStatement();
         }
         ReleaseConnection();
         if (!RetryIfNotRun(begun))
           Finish(ErrorReply(begun.code, begun.message));
       });
}

void LocalStatementExecution::SendStatement() {
  auto commands = m_connection->state.Prepare(
      m_input.session, m_input.prepared ? &*m_input.prepared : nullptr);
  commands.push_back(StatementCommand(m_input));
  if (!m_input.in_transaction() && !m_implicit_transaction && !m_input.writes())
    commands.back().after = m_required;
  const size_t index = commands.size() - 1;
  m_may_have_run = true;
  MarkSent();
  if (m_implicit_transaction)
    commands.push_back({.kind = CommandKind::kRollback});
  const StatementStep step = m_input.is_commit() ? StatementStep::kCommit
                             : m_input.writes()  ? StatementStep::kWrite
                                                 : StatementStep::kRead;
  Send(step, std::move(commands),
       [this, index](const std::vector<BackendReply>& replies) {
         StatementReplied(DecidingReply(replies, index));
       });
}

void LocalStatementExecution::Send(
    StatementStep step,
    std::vector<BackendCommand> commands,
    std::function<void(std::vector<BackendReply>)> on_replies) {
  const uint64_t batch = ++m_batch;
  m_step = step;
  m_sent_at = m_context.timers.now();
  TimePoint times_out_at = m_deadline;
  if (!m_input.changes_data())
    times_out_at = std::min(times_out_at, m_sent_at + ResponseTimeout());
  m_response_timer =
      m_context.timers.After(std::max(times_out_at - m_sent_at, Duration(0)),
                             [self = shared_from_this(), batch] {
                               if (batch == self->m_batch)
                                 self->ResponseTimedOut();
                             });
  m_context.failure_detector.Sent(m_target, m_input.changes_data(), m_sent_at);
  m_context.pool.Sent(*m_connection);
  m_connection->session->Send(
      std::move(commands),
      [self = shared_from_this(), batch, on_replies = std::move(on_replies)](
          Result<std::vector<BackendReply>> replies) {
        if (batch == self->m_batch)
          self->Replied(std::move(replies), on_replies);
        else
          self->HandleLateReplies(batch, replies);
      });
}

void LocalStatementExecution::Replied(
    Result<std::vector<BackendReply>> replies,
    const std::function<void(std::vector<BackendReply>)>& handler) {
  m_context.timers.Cancel(m_response_timer);
  if (!replies)
    return ConnectionLost(replies.error().message);
  m_context.failure_detector.Answered(m_target, m_input.changes_data(),
                                      m_context.timers.now());
  m_context.zone_reachability.Reached(m_target, m_context.timers.now());
  m_instance_state = replies.value().back().state;
  m_connection->state.Replied(replies.value());
  RecordAnswer(replies.value());
  const InstanceName answered_by = m_target;
  if (m_on_done)
    handler(std::move(replies.value()));
  else
    ReleaseConnection();
  m_context.pool.ServeWaiting(answered_by);
}

void LocalStatementExecution::RecordAnswer(
    const std::vector<BackendReply>& replies) {
  using Outcome = AnsweredBatch::Outcome;
  AnsweredBatch batch;
  batch.database = m_input.route.database;
  batch.step = m_step;
  batch.sent_at = m_sent_at;
  for (const BackendReply& reply : replies) {
    if (reply.code == ReplyCode::kBusy)
      batch.outcome = Outcome::kNoRoom;
    else if (reply.code != ReplyCode::kDone && batch.outcome == Outcome::kRan)
      batch.outcome = Outcome::kRefused;
  }
  if (batch.outcome == Outcome::kRan)
    m_context.retries.Succeeded();
  m_context.pool.Answered(*m_connection, batch);
}

void LocalStatementExecution::StatementReplied(const BackendReply& reply) {
  if (reply.code == ReplyCode::kDone) {
    RenewLeaseByCommit(reply);
    RecordPosition(reply);
  }
  if (reply.code == ReplyCode::kNoStatement)
    m_connection->state.Invalidate();
  ClientReply answer = ReplyOf(reply);
  const bool done = reply.code == ReplyCode::kDone;
  if (m_input.in_transaction() && done && !m_input.is_commit())
    return Finish(std::move(answer));
  // Only the first statement of a transaction can be retried elsewhere.
  const bool movable =
      !m_input.in_transaction() || (m_attempts > 0 && !m_input.is_commit());
  ReleaseConnection();
  if (!done && movable && RetryIfNotRun(reply))
    return;
  if (done && m_input.changes_data())
    return FinishCommit(std::move(answer));
  Finish(std::move(answer));
}

void LocalStatementExecution::ReleaseConnection() {
  if (m_connection)
    m_context.pool.RollBackAndRelease(std::move(m_connection),
                                      m_instance_state);
}

void LocalStatementExecution::Finish(ClientReply reply) {
  if (std::exchange(m_finished, true))
    return;
  m_context.timers.Cancel(m_response_timer);
  const OnDone on_done = std::exchange(m_on_done, nullptr);
  if (!on_done)
    return ReleaseConnection();
  on_done({std::move(reply), std::move(m_connection)});
}

void LocalStatementExecution::Log(const std::string& step,
                                  GatewayLog::Fields fields) {
  if (m_context.config)
    fields["config_version"] = std::to_string(m_context.config->version);
  if (m_required)
    fields["required"] = ToString(*m_required);
  fields["database"] = m_input.route.database;
  m_context.log.LogRequestEvent(m_input.statement.id, m_input.route.group, step,
                                m_target.value(), std::move(fields));
}

}  // namespace jackdawturn::gateway
