#include "proxy/routing_host.h"

namespace jackdawturn::proxy {

namespace {

using routing::StatementOutcome;

constexpr Duration kOpenTimeout = std::chrono::milliseconds(500);
constexpr Duration kReportTimeout = std::chrono::milliseconds(250);
// Timeout of a statement at the port; the routing gives up on it long before.
constexpr Duration kStatementTimeout = std::chrono::seconds(40);

BackendConnectionId ToPort(routing::PoolConnectionId connection) {
  return BackendConnectionId{connection.value};
}

Error LostError(const InstanceName& instance) {
  return {ErrorCode::kTimeout, "routing.send", instance.value(),
          "no answer; the statement may have run"};
}

std::optional<InstanceReport> ReportOf(const BackendResponse& response) {
  if (const auto* read = std::get_if<ReadResult>(&response))
    return read->report;
  if (const auto* report = std::get_if<InstanceReport>(&response))
    return *report;
  return std::nullopt;
}

// A holder opens its whole connection share in advance, so the share alone
// limits the pool.
routing::RoutingOptions RoutingOptionsOf(const ProxyOptions& options) {
  constexpr size_t kNoLimit = 1'000'000;
  routing::RoutingOptions routing = options.routing;
  routing.pool.min_idle = kNoLimit;
  return routing;
}

// A write has its own RequestMachine, which decides on retries, so every error
// answered by an instance is final for the routing.
StatementOutcome OutcomeOf(const Error& error, bool is_write) {
  switch (error.code) {
    case ErrorCode::kTimeout:
    case ErrorCode::kInternal:
      return StatementOutcome::kLost;
    case ErrorCode::kWrongTerm:
    case ErrorCode::kUnavailable:
    case ErrorCode::kNotFound:
      return is_write ? StatementOutcome::kFailed : StatementOutcome::kNotRun;
    default:
      return StatementOutcome::kFailed;
  }
}

}  // namespace

RoutingHost::RoutingHost(ProxyContext& context,
                         const ProxyOptions& options,
                         Hooks hooks)
    : m_context(context),
      m_hooks(std::move(hooks)),
      m_machine(RoutingOptionsOf(options), options.seed) {}

void RoutingHost::Route(const routing::RoutingEvent& event) {
  for (const routing::RoutingEffect& effect :
       m_machine.Handle(event, m_context.now()))
    std::visit([this](const auto& item) { On(item); }, effect);
}

void RoutingHost::Run(RoutedStatement statement) {
  statement.request.id = RequestId("step-" + std::to_string(++m_last_id));
  const routing::RoutedRequest request = statement.request;
  m_statements[request.id] = std::move(statement);
  Route(routing::RequestArrived{request});
}

void RoutingHost::OnTime() {
  Route(routing::TimePassed{});
}

std::optional<RoutedStatement> RoutingHost::TakeStatement(const RequestId& id) {
  const auto found = m_statements.find(id);
  if (found == m_statements.end())
    return std::nullopt;
  std::optional<RoutedStatement> statement(std::move(found->second));
  m_statements.erase(found);
  return statement;
}

void RoutingHost::On(const routing::SendStatement& effect) {
  const auto found = m_statements.find(effect.request);
  if (found == m_statements.end())
    return;
  const RoutedStatement& statement = found->second;
  const bool is_write =
      statement.request.operation != routing::Operation::kRead;
  if (statement.on_connection) {
    statement.on_connection(effect);
    return;
  }
  if (statement.only_term && effect.term &&
      *statement.only_term != *effect.term) {
    const Error error{ErrorCode::kWrongTerm, "routing.send",
                      effect.instance.value(), "the term has changed"};
    StatementEnded(effect, is_write, m_context.now(), error);
    return;
  }
  m_connections[effect.connection].busy = true;
  const TimePoint sent = m_context.now();
  m_context.Call(
      effect.instance, ToPort(effect.connection),
      statement.make_call(effect.term), kStatementTimeout,
      [this, effect, is_write, sent](const Result<BackendResponse>& result) {
        StatementEnded(effect, is_write, sent, result);
      });
}

void RoutingHost::StatementEnded(const routing::SendStatement& send,
                                 bool is_write,
                                 TimePoint sent,
                                 const Result<BackendResponse>& result) {
  const auto connection = m_connections.find(send.connection);
  if (connection != m_connections.end())
    connection->second.busy = false;
  routing::StatementAnswered answered{send.group, send.request,
                                      send.connection};
  if (result) {
    answered.report = ReportOf(result.value());
    answered.outcome = StatementOutcome::kDone;
    if (answered.report)
      m_hooks.on_contact(send.group, send.instance, *answered.report,
                         m_context.now() - sent);
  } else {
    answered.outcome = OutcomeOf(result.error(), is_write);
  }
  if (answered.outcome != StatementOutcome::kLost)
    m_answers.insert_or_assign({send.request, send.connection}, result);
  Route(answered);
  // The routing removes a connection whose statement was lost. At the instance
  // the connection would stay open and count toward the limit, possibly with an
  // open transaction.
  if (answered.outcome == StatementOutcome::kLost)
    On(routing::CloseConnection{send.group, send.instance, send.connection});
  // An answer whose statement has ended is no longer needed.
  if (m_statements.count(send.request) == 0)
    m_answers.erase({send.request, send.connection});
}

void RoutingHost::EndBegin(const routing::SendStatement& send) {
  routing::StatementAnswered answered{send.group, send.request,
                                      send.connection};
  answered.outcome = StatementOutcome::kDone;
  Route(answered);
  m_statements.erase(send.request);
}

void RoutingHost::On(const routing::GiveAnswer& effect) {
  const auto answer = m_answers.find({effect.request, effect.connection});
  auto statement = TakeStatement(effect.request);
  if (!statement)
    return;
  const Result<BackendResponse> result =
      answer == m_answers.end()
          ? Result<BackendResponse>(LostError(effect.instance))
          : answer->second;
  if (answer != m_answers.end())
    m_answers.erase(answer);
  if (statement->done)
    statement->done(result, std::nullopt);
}

void RoutingHost::On(const routing::DropAnswer& effect) {
  m_answers.erase({effect.request, effect.connection});
}

void RoutingHost::On(const routing::RefuseRequest& effect) {
  auto statement = TakeStatement(effect.request);
  if (!statement || !statement->done)
    return;
  const Error error{ErrorCode::kUnavailable, "routing.refuse", "",
                    std::string(routing::ToString(effect.reason))};
  statement->done(error, effect);
}

void RoutingHost::On(const routing::ResolveUnknownOutcome& effect) {
  auto statement = TakeStatement(effect.request);
  if (statement && statement->done)
    statement->done(LostError(effect.instance), std::nullopt);
}

void RoutingHost::On(const routing::AskReport& effect) {
  std::optional<BackendConnectionId> on;
  if (effect.connection.value != 0) {
    const auto found = m_connections.find(effect.connection);
    // HTTP/1.1 answers in order, so a connection that runs a statement cannot
    // carry a probe; the probe counts as unanswered.
    if (found == m_connections.end() || found->second.busy)
      return;
    on = ToPort(effect.connection);
  }
  const Duration timeout = effect.timeout.count() > 0
                               ? effect.timeout + kReportTimeout
                               : kReportTimeout;
  m_context.Call(
      effect.instance, on, ReportCall{effect.wait_position, effect.timeout},
      timeout, [this, effect](const Result<BackendResponse>& result) {
        if (!result) {
          m_hooks.on_contact(effect.group, effect.instance, result.error(),
                             Duration(0));
          return;
        }
        const auto& report = std::get<InstanceReport>(result.value());
        m_hooks.on_contact(effect.group, effect.instance, report,
                           effect.wait_position
                               ? Duration(0)
                               : m_context.now() - effect.asked_at);
        Route(routing::ReportArrived{effect.group, effect.instance,
                                     effect.asked_at, effect.connection,
                                     report});
      });
}

void RoutingHost::On(const routing::OpenConnection& effect) {
  m_connections[effect.connection] = {effect.group, effect.instance};
  m_context.Emit(BackendCommand(
      OpenBackend{ToPort(effect.connection), effect.instance, kOpenTimeout}));
}

void RoutingHost::On(const routing::CloseConnection& effect) {
  const auto found = m_connections.find(effect.connection);
  if (found == m_connections.end())
    return;
  const bool was_open = found->second.open;
  m_connections.erase(found);
  m_context.Emit(BackendCommand(CloseBackend{ToPort(effect.connection)}));
  m_hooks.on_closed(effect.instance, was_open);
  m_hooks.on_lost(effect.instance, effect.connection);
}

void RoutingHost::On(const BackendOpened& event) {
  const routing::PoolConnectionId id{event.connection.value};
  const auto found = m_connections.find(id);
  if (found == m_connections.end())
    return;
  const GroupName group = found->second.group;
  routing::OpenOutcome outcome = routing::OpenOutcome::kOpened;
  if (event.result) {
    found->second.open = true;
  } else {
    outcome = event.result.error().code == ErrorCode::kExhausted
                  ? routing::OpenOutcome::kRefused
                  : routing::OpenOutcome::kFailed;
    m_connections.erase(found);
    if (outcome == routing::OpenOutcome::kFailed)
      m_hooks.on_contact(group, event.instance, event.result.error(),
                         Duration(0));
  }
  m_hooks.on_opened(event.instance, outcome);
  Route(routing::ConnectionOpened{group, id, outcome});
}

void RoutingHost::On(const BackendLost& event) {
  const routing::PoolConnectionId id{event.connection.value};
  const auto found = m_connections.find(id);
  if (found == m_connections.end())
    return;
  const GroupName group = found->second.group;
  const bool was_open = found->second.open;
  m_connections.erase(found);
  m_hooks.on_closed(event.instance, was_open);
  m_hooks.on_lost(event.instance, id);
  Route(routing::ConnectionLost{group, id});
}

}  // namespace jackdawturn::proxy
