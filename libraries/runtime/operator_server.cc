#include "runtime/operator_server.h"

#include <algorithm>
#include <utility>

#include <openssl/crypto.h>

namespace jackdawturn {

namespace {

constexpr const char* kStep = "operator.decode";
constexpr const char* kPlainText = "text/plain; version=0.0.4";

Result<proxy::OperatorRequestReceived> ParseEdit(
    const JsonFields& fields,
    proxy::OperatorRequestReceived received) {
  TRY(received.change, fields.String("change"));
  if (fields.Has("expected_version")) {
    TRY(const auto version, fields.Number("expected_version"));
    received.expected_version = ObjectVersion{version};
  }
  if (fields.Has("wait_ms")) {
    TRY(const auto wait, fields.Number("wait_ms"));
    constexpr uint64_t kMaxWaitMs = 60'000;
    received.wait = std::chrono::milliseconds(std::min(wait, kMaxWaitMs));
  }
  if (received.action == proxy::OperatorAction::kSetTargets) {
    TRY(const auto document, fields.Object("document"));
    received.document = boost::json::serialize(document.object());
  }
  return received;
}

Result<proxy::OperatorRequestReceived> ParseFailover(
    const JsonFields& fields,
    proxy::OperatorRequestReceived received) {
  TRY(auto group, fields.String("group"));
  TRY(received.change, fields.String("change"));
  TRY(received.expected_term.value, fields.NumberOr("expected_term", 0));
  received.group = GroupName(std::move(group));
  return received;
}

Result<proxy::OperatorRequestReceived> Parse(const HttpRequest& request) {
  using Action = proxy::OperatorAction;
  proxy::OperatorRequestReceived received;
  if (request.method == "GET" && request.target == "/v1/status")
    return received;
  if (request.method == "GET" && request.target == "/v1/targets") {
    received.action = Action::kGetTargets;
    return received;
  }
  if (request.method != "POST")
    return Failure(ErrorCode::kNotFound, kStep, "", "no such call");
  if (request.target == "/v1/drain") {
    received.action = Action::kDrain;
    return received;
  }
  TRY(const auto value, ParseJson(request.body, kStep));
  TRY(const auto fields, JsonFields::Create(value, kStep));
  if (request.target == "/v1/targets") {
    received.action = Action::kSetTargets;
    return ParseEdit(fields, std::move(received));
  }
  if (request.target == "/v1/targets/rollback") {
    received.action = Action::kRollbackTargets;
    return ParseEdit(fields, std::move(received));
  }
  if (request.target == "/v1/failover") {
    received.action = Action::kFailover;
    return ParseFailover(fields, std::move(received));
  }
  return Failure(ErrorCode::kNotFound, kStep, "", "no such call");
}

}  // namespace

bool EqualInConstantTime(const std::string& left, const std::string& right) {
  return left.size() == right.size() &&
         CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

Result<std::unique_ptr<OperatorServer>> OperatorServer::Create(
    boost::asio::io_context& context,
    OperatorServerOptions options) {
  if (options.keys.empty())
    return Failure(ErrorCode::kInvalidArgument, "operator.listen", "",
                   "no key for operators");
  std::unique_ptr<OperatorServer> server(
      new OperatorServer(std::move(options)));
  auto* self = server.get();
  TRY(self->m_server,
      HttpServer::Create(
          context, self->m_options.listen, self->m_options.limits,
          [self](const HttpRequest& request,
                 const HttpServer::Respond& respond) {
            self->Handle(request, respond);
          },
          [self](uint64_t connection) {
            std::erase_if(self->m_waiting, [connection](const auto& item) {
              return item.second.connection == connection;
            });
          }));
  return server;
}

bool OperatorServer::Authorized(const HttpRequest& request) const {
  bool authorized = false;
  for (const std::string& key : m_options.keys)
    authorized |= EqualInConstantTime(request.authorization, "Bearer " + key);
  return authorized;
}

void OperatorServer::Handle(const HttpRequest& request,
                            const HttpServer::Respond& respond) {
  if (request.target == "/healthz")
    return respond({kHttpOk, "ok\n", "text/plain"});
  if (request.target == "/readyz") {
    if (m_options.ready())
      return respond({kHttpOk, "ready\n", "text/plain"});
    return respond({kHttpUnavailable, "not ready\n", "text/plain"});
  }
  if (!Authorized(request))
    return respond(EncodeError(
        {ErrorCode::kUnauthorized, "operator.authorize", "", "wrong key"}));
  if (request.target == "/metrics")
    return respond({kHttpOk, m_options.metrics(), kPlainText});
  if (request.target == "/v1/timeline")
    return respond({kHttpOk, m_options.timeline()});
  Ask(request, respond);
}

void OperatorServer::Ask(const HttpRequest& request,
                         const HttpServer::Respond& respond) {
  auto received = Parse(request);
  if (!received)
    return respond(EncodeError(received.error()));
  received.value().call = m_last_call = m_last_call.Next();
  m_waiting[m_last_call] = {request.connection, respond};
  if (m_options.ask(std::move(received).value()))
    return;
  m_waiting.erase(m_last_call);
  respond(EncodeError(
      {ErrorCode::kExhausted, "operator.ask", "", "the proxy is overloaded"}));
}

void OperatorServer::Answer(const proxy::AnswerOperator& answer) {
  const auto found = m_waiting.find(answer.call);
  if (found == m_waiting.end())
    return;
  const HttpServer::Respond respond = std::move(found->second.respond);
  m_waiting.erase(found);
  respond(answer.response);
}

}  // namespace jackdawturn
