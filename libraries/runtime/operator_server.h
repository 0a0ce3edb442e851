#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "http/http.h"
#include "observe/observe.h"
#include "proxy/proxy.h"

namespace jackdawturn {

// What the operators' HTTP interface needs of the process.
struct OperatorServerOptions {
  Endpoint listen;
  HttpServerLimits limits;
  // Accepted keys of "Authorization: Bearer KEY"; more than one for rotation.
  std::vector<std::string> keys;
  // Passes a question to the decisions; false when their ring is full.
  std::function<bool(proxy::OperatorRequestReceived)> ask;
  std::function<std::string()> metrics;
  std::function<std::string()> timeline;
  std::function<bool()> ready;
};

// The operators' HTTP interface: status, targets, failover, drain, time line
// and metrics with a key; /healthz and /readyz without. Thread safety: all
// methods run on the thread of the io_context.
class OperatorServer {
 public:
  // Errors: kInvalidArgument (no key), kUnavailable (the address is in use).
  static Result<std::unique_ptr<OperatorServer>> Create(
      boost::asio::io_context& context,
      OperatorServerOptions options);

  Endpoint endpoint() const { return m_server->endpoint(); }
  void Answer(const proxy::AnswerOperator& answer);

 private:
  struct Waiting {
    uint64_t connection = 0;
    HttpServer::Respond respond;
  };

  explicit OperatorServer(OperatorServerOptions options)
      : m_options(std::move(options)) {}

  void Handle(const HttpRequest& request, const HttpServer::Respond& respond);
  bool Authorized(const HttpRequest& request) const;
  void Ask(const HttpRequest& request, const HttpServer::Respond& respond);

  OperatorServerOptions m_options;
  proxy::OperatorRequestNumber m_last_call;
  std::map<proxy::OperatorRequestNumber, Waiting> m_waiting;
  std::unique_ptr<HttpServer> m_server;
};

// True when both texts are equal; the time depends on the lengths only.
// Thread-safe.
bool EqualInConstantTime(const std::string& left, const std::string& right);

}  // namespace jackdawturn
