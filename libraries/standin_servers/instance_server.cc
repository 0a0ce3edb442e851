#include "standin_servers/instance_server.h"

#include <algorithm>
#include <utility>

#include "port_fakes/port_fakes.h"

namespace jackdawturn {

namespace {

constexpr Duration kReplicationWait = std::chrono::milliseconds(200);
constexpr Duration kReplicationTimeout = std::chrono::milliseconds(1'000);
constexpr Duration kReplicationRetry = std::chrono::milliseconds(5);
// Entries of one replication message.
constexpr uint64_t kMaxBatch = 500;

}  // namespace

Result<std::unique_ptr<InstanceServer>> InstanceServer::Create(
    boost::asio::io_context& context,
    InstanceServerOptions options) {
  std::unique_ptr<InstanceServer> server(
      new InstanceServer(context, std::move(options)));
  auto* self = server.get();
  TRY(server->m_server,
      HttpServer::Create(
          context, self->m_options.listen, {},
          [self](const HttpRequest& request, HttpServer::Respond respond) {
            self->Handle(request, std::move(respond));
          },
          [self](uint64_t connection) {
            const auto open = self->m_open.find(connection);
            if (open == self->m_open.end())
              return;
            self->m_instance.Close(open->second);
            self->m_open.erase(open);
          }));
  const Term first{1};
  if (self->m_options.initial_primary == self->m_options.name) {
    TRY(self->m_instance.Fence(first));
    TRY(self->m_instance.Promote(first));
  } else if (!self->m_options.initial_primary.empty()) {
    TRY(self->m_instance.Follow(first, self->m_options.initial_primary));
  }
  self->Replicate();
  return server;
}

InstanceServer::InstanceServer(boost::asio::io_context& context,
                               InstanceServerOptions options)
    : m_context(context),
      m_options(std::move(options)),
      m_instance({m_options.name, m_options.connection_limit}) {}

void InstanceServer::SetPeers(std::map<InstanceName, Endpoint> peers) {
  m_options.peers = std::move(peers);
  m_primary_name = InstanceName();
}

void InstanceServer::Apply(const InstanceFaults& faults) {
  m_faults = faults;
  if (faults.silence_open_connections)
    m_silenced_up_to = m_newest_connection;
  if (faults.replication_lag.count() >= 0)
    m_options.replication_lag = faults.replication_lag;
}

void InstanceServer::Crash() {
  m_crashed = true;
  m_instance.Restart();
  m_open.clear();
  m_waiting.clear();
  m_position_waiters.clear();
  m_server->StopAccepting();
  m_server->CloseAll();
}

void InstanceServer::After(Duration delay, std::function<void()> task) {
  auto timer = std::make_shared<boost::asio::steady_timer>(m_context, delay);
  timer->async_wait([timer, alive = std::weak_ptr<bool>(m_alive),
                     task = std::move(task)](boost::system::error_code error) {
    if (!error && !alive.expired())
      task();
  });
}

void InstanceServer::Handle(const HttpRequest& http,
                            HttpServer::Respond respond) {
  m_newest_connection = std::max(m_newest_connection, http.connection);
  if (http.target == "/fault")
    return HandleFault(http, respond);
  if (m_crashed || m_faults.silent || http.connection <= m_silenced_up_to)
    return;
  auto request = DecodeRequest(http.target, http.body);
  if (!request)
    return respond(EncodeError(request.error()));
  if (UsesConnection(request.value()))
    return WithConnection(http.connection, std::move(request).value(),
                          std::move(respond));
  if (const auto* report = std::get_if<ReportCall>(&request.value()))
    return AnswerReport(*report, respond);
  if (const auto* replicate = std::get_if<ReplicateCall>(&request.value()))
    return AnswerReplicate(*replicate, respond);
  respond(EncodeResponse(Run(http.connection, request.value())));
}

void InstanceServer::HandleFault(const HttpRequest& http,
                                 const HttpServer::Respond& respond) {
  constexpr const char* kStep = "instance.fault";
  const auto value = ParseJson(http.body, kStep);
  if (!value)
    return respond(EncodeError(value.error()));
  const auto fields = JsonFields::Create(value.value(), kStep);
  if (!fields)
    return respond(EncodeError(fields.error()));
  InstanceFaults faults;
  const auto silent = fields.value().BooleanOr("silent", false);
  const auto silence =
      fields.value().BooleanOr("silence_open_connections", false);
  const auto lag = fields.value().NumberOr("replication_lag_us", 0);
  faults.silent = silent && silent.value();
  faults.silence_open_connections = silence && silence.value();
  if (lag && fields.value().Has("replication_lag_us"))
    faults.replication_lag = Duration(lag.value());
  Apply(faults);
  respond({kHttpOk, "{}"});
}

void InstanceServer::WithConnection(uint64_t connection,
                                    BackendRequest request,
                                    HttpServer::Respond respond) {
  if (std::holds_alternative<OpenCall>(request))
    return OpenConnection(connection, respond);
  if (m_open.count(connection) == 0)
    return respond(
        EncodeError({ErrorCode::kNotFound, "instance.call",
                     m_options.name.value(), "connection is not open"}));
  m_waiting.push_back({connection, std::move(request), std::move(respond)});
  RunNextStatement();
}

void InstanceServer::OpenConnection(uint64_t connection,
                                    const HttpServer::Respond& respond) {
  if (m_open.count(connection) == 0) {
    const auto opened = m_instance.Open();
    if (!opened)
      return respond(EncodeError(opened.error()));
    m_open[connection] = opened.value();
  }
  After(m_options.open_time, [this, respond] {
    if (!m_faults.silent && !m_crashed)
      respond(EncodeResponse(BackendResponse(StatementResult{})));
  });
}

void InstanceServer::RunNextStatement() {
  if (m_running >= m_options.slots || m_waiting.empty())
    return;
  ++m_running;
  Waiting waiting = std::move(m_waiting.front());
  m_waiting.pop_front();
  const auto finish = [this, waiting = std::move(waiting)] {
    --m_running;
    if (!m_crashed) {
      auto response = Run(waiting.connection, waiting.request);
      if (!m_faults.silent && waiting.connection > m_silenced_up_to)
        waiting.respond(EncodeResponse(response));
      LogChanged();
    }
    RunNextStatement();
  };
  if (m_options.statement_time.count() == 0)
    finish();
  else
    After(m_options.statement_time, finish);
}

Result<BackendResponse> InstanceServer::Run(uint64_t connection,
                                            const BackendRequest& request) {
  const auto open = m_open.find(connection);
  const ConnectionId id = open == m_open.end() ? ConnectionId() : open->second;
  auto response = RunCall(m_instance, id, request);
  if (std::holds_alternative<PromoteCall>(request))
    LogChanged();
  return response;
}

void InstanceServer::AnswerReport(const ReportCall& call,
                                  const HttpServer::Respond& respond) {
  const auto answer = [this, respond] {
    if (!m_faults.silent && !m_crashed)
      respond(EncodeResponse(BackendResponse(m_instance.Report())));
  };
  if (call.wait_position && *call.wait_position > m_instance.Report().position)
    WaitForPosition(*call.wait_position, call.wait, answer);
  else
    answer();
}

void InstanceServer::AnswerReplicate(const ReplicateCall& call,
                                     const HttpServer::Respond& respond) {
  const LogPosition up_to{call.summary.position.value + kMaxBatch};
  const auto answer = [this, summary = call.summary, up_to, respond] {
    if (m_faults.silent || m_crashed)
      return;
    auto batch = m_instance.BatchFor(summary, up_to);
    respond(EncodeResponse(batch ? Result<BackendResponse>(BackendResponse(
                                       std::move(batch).value()))
                                 : Result<BackendResponse>(batch.error())));
  };
  const auto batch = m_instance.BatchFor(call.summary, up_to);
  const bool nothing_new = batch && batch.value().entries.empty() &&
                           batch.value().keep == call.summary.position;
  if (nothing_new)
    WaitForPosition(call.summary.position.Next(), call.wait, answer);
  else
    answer();
}

void InstanceServer::WaitForPosition(LogPosition position,
                                     Duration wait,
                                     std::function<void()> answer) {
  const uint64_t number = ++m_last_waiter;
  m_position_waiters[number] = {position, number, std::move(answer)};
  After(wait, [this, number] {
    const auto found = m_position_waiters.find(number);
    if (found == m_position_waiters.end())
      return;
    const auto late = std::move(found->second.answer);
    m_position_waiters.erase(found);
    late();
  });
}

void InstanceServer::LogChanged() {
  const LogPosition position = m_instance.Report().position;
  std::vector<std::function<void()>> reached;
  for (auto item = m_position_waiters.begin();
       item != m_position_waiters.end();) {
    if (item->second.position <= position) {
      reached.push_back(std::move(item->second.answer));
      item = m_position_waiters.erase(item);
    } else {
      ++item;
    }
  }
  for (const auto& answer : reached)
    answer();
}

void InstanceServer::Replicate() {
  if (m_crashed)
    return;
  const InstanceName primary = m_instance.following();
  const auto peer = m_options.peers.find(primary);
  if (primary.empty() || peer == m_options.peers.end() || m_faults.silent) {
    m_primary_name = InstanceName();
    return After(kReplicationRetry, [this] { Replicate(); });
  }
  if (m_primary_name != primary) {
    m_primary_name = primary;
    m_primary = std::make_unique<HttpClient>(m_context, peer->second, 1);
  }
  const BackendRequest request =
      ReplicateCall{m_instance.Summary(), kReplicationWait};
  m_primary->Send(
      "POST", TargetOf(request), EncodeRequest(request), kReplicationTimeout,
      [this, request,
       alive = std::weak_ptr<bool>(m_alive)](Result<HttpResponse> response) {
        if (alive.expired())
          return;
        if (!response)
          return After(kReplicationRetry, [this] { Replicate(); });
        auto decoded = DecodeResponse(request, response.value(), "");
        auto* batch =
            decoded ? std::get_if<LogBatch>(&decoded.value()) : nullptr;
        if (batch == nullptr)
          return After(kReplicationRetry, [this] { Replicate(); });
        ApplyLater(std::move(*batch));
      });
}

void InstanceServer::ApplyLater(LogBatch batch) {
  After(m_options.replication_lag, [this, batch = std::move(batch)] {
    if (m_crashed)
      return;
    if (!m_faults.silent && m_instance.ApplyBatch(batch))
      LogChanged();
    Replicate();
  });
}

}  // namespace jackdawturn
