#include "http/http_client.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "http/socket_options.h"

namespace jackdawturn {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;

class BeastConnection : public HttpConnection,
                        public std::enable_shared_from_this<BeastConnection> {
 public:
  BeastConnection(asio::io_context& context, Endpoint endpoint)
      : m_stream(context),
        m_endpoint(std::move(endpoint)),
        m_host(m_endpoint.ToString()) {}

  void Connect(Duration timeout, OnConnected on_connected) override {
    const auto address = ToTcpEndpoint(m_endpoint);
    if (!address)
      return on_connected(address.error());
    m_stream.expires_after(timeout);
    m_stream.async_connect(
        address.value(),
        [self = shared_from_this(),
         on_connected = std::move(on_connected)](beast::error_code error) {
          if (error) {
            self->Close();
            return on_connected(
                Error{error == beast::error::timeout ? ErrorCode::kTimeout
                                                     : ErrorCode::kUnavailable,
                      "http.connect", self->m_host, error.message()});
          }
          SetSocketOptions(self->m_stream.socket());
          self->m_open = true;
          on_connected(Success());
        });
  }

  void Send(const std::string& method,
            const std::string& target,
            const std::string& body,
            const std::string& authorization,
            Duration timeout,
            OnResponse on_response,
            const HttpHeaders& headers) override {
    VERIFY(!m_on_response);
    m_on_response = std::move(on_response);
    if (!m_open)
      return Finish(Error{ErrorCode::kUnavailable, "http.send", m_host,
                          "connection is closed"});
    m_request = {};
    m_request.version(11);
    m_request.method_string(method);
    m_request.target(target);
    m_request.set(http::field::host, m_host);
    if (!authorization.empty())
      m_request.set(http::field::authorization, authorization);
    for (const auto& [name, value] : headers)
      m_request.set(name, value);
    if (!body.empty())
      m_request.set(http::field::content_type, "application/json");
    m_request.body() = body;
    m_request.prepare_payload();
    m_stream.expires_after(timeout);
    http::async_write(
        m_stream, m_request,
        [self = shared_from_this()](beast::error_code error, size_t) {
          if (error)
            return self->Fail(error, "http.send");
          self->Read();
        });
  }

  bool is_open() const override { return m_open; }

  void Close() override {
    m_open = false;
    beast::error_code ignored;
    m_stream.socket().shutdown(Tcp::socket::shutdown_both, ignored);
    m_stream.socket().close(ignored);
  }

 private:
  void Read() {
    constexpr uint64_t kMaxResponseBytes = 16'000'000;
    m_parser.emplace();
    m_parser->body_limit(kMaxResponseBytes);
    http::async_read(
        m_stream, m_buffer, *m_parser,
        [self = shared_from_this()](beast::error_code error, size_t) {
          if (error)
            return self->Fail(error, "http.receive");
          self->m_stream.expires_never();
          auto message = self->m_parser->release();
          HttpResponse response;
          response.status = message.result_int();
          response.content_type =
              std::string(message[http::field::content_type]);
          response.body = std::move(message.body());
          for (const auto& field : message)
            response.headers.emplace_back(field.name_string(), field.value());
          if (!message.keep_alive())
            self->Close();
          self->Finish(std::move(response));
        });
  }

  void Fail(beast::error_code error, const char* step) {
    Close();
    Finish(Error{ErrorCode::kTimeout, step, m_host, error.message()});
  }

  void Finish(Result<HttpResponse> result) {
    if (auto on_response = std::exchange(m_on_response, nullptr))
      on_response(std::move(result));
  }

  beast::tcp_stream m_stream;
  const Endpoint m_endpoint;
  const std::string m_host;
  beast::flat_buffer m_buffer;
  http::request<http::string_body> m_request;
  std::optional<http::response_parser<http::string_body>> m_parser;
  OnResponse m_on_response;
  bool m_open = false;
};

}  // namespace

std::shared_ptr<HttpConnection> HttpConnection::Create(
    asio::io_context& context,
    Endpoint endpoint) {
  return std::make_shared<BeastConnection>(context, std::move(endpoint));
}

struct HttpClient::State : public std::enable_shared_from_this<State> {
  struct Pending {
    std::string method;
    std::string target;
    std::string body;
    TimePoint deadline;
    HttpConnection::OnResponse on_response;
    HttpHeaders headers = {};
    // Ends the request when no connection was free by then.
    std::shared_ptr<asio::steady_timer> timer = {};
  };

  State(asio::io_context& io, Endpoint address, size_t limit, std::string key)
      : context(io),
        endpoint(std::move(address)),
        max_connections(limit),
        authorization(std::move(key)) {}

  void Pump() {
    while (!pending.empty()) {
      while (!idle.empty() && !idle.back()->is_open())
        idle.pop_back();
      if (idle.empty()) {
        if (in_use < max_connections)
          OpenFor(TakePending());
        return;
      }
      const auto connection = idle.back();
      idle.pop_back();
      ++in_use;
      Run(connection, TakePending());
    }
  }

  Pending TakePending() {
    Pending request = std::move(pending.front());
    pending.pop_front();
    request.timer.reset();
    return request;
  }

  // Precondition: a request was added last and waits for a connection.
  void StartTimer() {
    Pending& request = pending.back();
    request.timer =
        std::make_shared<asio::steady_timer>(context, Left(request));
    request.timer->async_wait(
        [weak = weak_from_this(),
         timer = request.timer.get()](boost::system::error_code error) {
          const auto self = weak.lock();
          if (self && !error)
            self->RefuseLate(timer);
        });
  }

  void RefuseLate(const asio::steady_timer* timer) {
    const auto late = std::find_if(
        pending.begin(), pending.end(),
        [timer](const Pending& item) { return item.timer.get() == timer; });
    if (late == pending.end())
      return;
    const auto on_response = std::move(late->on_response);
    pending.erase(late);
    on_response(Error{ErrorCode::kUnavailable, "http.wait", endpoint.ToString(),
                      "no connection was free before the timeout"});
  }

  void OpenFor(Pending request) {
    ++in_use;
    auto connection = HttpConnection::Create(context, endpoint);
    const Duration left = Left(request);
    connection->Connect(
        left, [self = shared_from_this(), connection,
               request = std::move(request)](Result<void> connected) mutable {
          if (!connected) {
            --self->in_use;
            request.on_response(connected.error());
            return self->Pump();
          }
          self->Run(connection, std::move(request));
        });
  }

  // The hook holds the connection weakly: a request that is in progress when
  // the event loop ends would otherwise keep both alive.
  void Run(const std::shared_ptr<HttpConnection>& connection, Pending request) {
    const std::weak_ptr<HttpConnection> weak = connection;
    connection->Send(
        request.method, request.target, request.body, authorization,
        Left(request),
        [self = shared_from_this(), weak,
         on_response =
             std::move(request.on_response)](Result<HttpResponse> response) {
          --self->in_use;
          const auto used = weak.lock();
          if (used && used->is_open())
            self->idle.push_back(used);
          on_response(std::move(response));
          self->Pump();
        },
        request.headers);
  }

  static Duration Left(const Pending& request) {
    return std::max(request.deadline - MonotonicClock::now(), Duration(1));
  }

  asio::io_context& context;
  const Endpoint endpoint;
  const size_t max_connections;
  const std::string authorization;
  std::vector<std::shared_ptr<HttpConnection>> idle;
  std::deque<Pending> pending;
  size_t in_use = 0;
};

HttpClient::HttpClient(asio::io_context& context,
                       Endpoint endpoint,
                       size_t max_connections,
                       std::string authorization)
    : m_state(std::make_shared<State>(context,
                                      std::move(endpoint),
                                      max_connections,
                                      std::move(authorization))) {}

HttpClient::~HttpClient() {
  m_state->pending.clear();
  for (const auto& connection : m_state->idle)
    connection->Close();
}

void HttpClient::Send(const std::string& method,
                      const std::string& target,
                      const std::string& body,
                      Duration timeout,
                      HttpConnection::OnResponse on_response,
                      HttpHeaders headers) {
  m_state->pending.push_back({method, target, body,
                              MonotonicClock::now() + timeout,
                              std::move(on_response), std::move(headers)});
  // With nobody waiting before it, Pump sends the request at once if it can.
  m_state->Pump();
  if (!m_state->pending.empty() && !m_state->pending.back().timer)
    m_state->StartTimer();
}

const Endpoint& HttpClient::endpoint() const {
  return m_state->endpoint;
}

Result<HttpResponse> SendAndWait(const Endpoint& endpoint,
                                 const std::string& method,
                                 const std::string& target,
                                 const std::string& body,
                                 const std::string& authorization,
                                 Duration timeout) {
  asio::io_context context;
  HttpClient client(context, endpoint, 1, authorization);
  std::optional<Result<HttpResponse>> result;
  client.Send(method, target, body, timeout,
              [&](Result<HttpResponse> response) {
                result.emplace(std::move(response));
                context.stop();
              });
  context.run();
  if (!result)
    return Failure(ErrorCode::kTimeout, "http.send", endpoint.ToString(),
                   "no answer");
  return std::move(*result);
}

}  // namespace jackdawturn
