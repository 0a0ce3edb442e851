#include "http/http_server.h"

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <utility>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace jackdawturn {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;

// Counts requests of one IP address, as a token bucket.
struct RateBucket {
  double tokens = 0;
  TimePoint updated;
};

class Session;

// State that the sessions of a server share. All use is on one thread.
struct ServerState {
  HttpServerLimits limits;
  HttpServer::Handler handler;
  HttpServer::OnClose on_close;
  uint64_t last_connection = 0;
  bool close_after_answers = false;
  std::unordered_map<uint64_t, std::weak_ptr<Session>> sessions;
  std::unordered_map<std::string, RateBucket> buckets;

  bool TakeToken(const std::string& address, TimePoint now) {
    if (limits.requests_per_second <= 0)
      return true;
    constexpr size_t kMaxBuckets = 100'000;
    if (buckets.size() > kMaxBuckets)
      buckets.clear();
    const auto [found, added] = buckets.try_emplace(address);
    RateBucket& bucket = found->second;
    const double rate = limits.requests_per_second;
    const double burst = std::max(1.0, rate);
    const double seconds =
        std::chrono::duration<double>(now - bucket.updated).count();
    bucket.tokens =
        added ? burst : std::min(burst, bucket.tokens + seconds * rate);
    bucket.updated = now;
    if (bucket.tokens < 1)
      return false;
    bucket.tokens -= 1;
    return true;
  }
};

class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Tcp::socket socket, std::shared_ptr<ServerState> state, uint64_t id)
      : m_stream(std::move(socket)), m_state(std::move(state)), m_id(id) {
    beast::error_code error;
    m_stream.socket().set_option(Tcp::no_delay(true), error);
    const auto remote = m_stream.socket().remote_endpoint(error);
    if (!error)
      m_remote = remote.address().to_string();
  }

  void Read() {
    m_parser.emplace();
    m_parser->body_limit(m_state->limits.body_bytes);
    m_parser->header_limit(m_state->limits.header_bytes);
    m_stream.expires_after(m_state->limits.idle_timeout);
    http::async_read(
        m_stream, m_buffer, *m_parser,
        [self = shared_from_this()](beast::error_code error, size_t) {
          self->OnRead(error);
        });
  }

  void Close() {
    if (m_closed)
      return;
    m_closed = true;
    beast::error_code ignored;
    m_stream.socket().shutdown(Tcp::socket::shutdown_both, ignored);
    m_stream.socket().close(ignored);
    m_state->sessions.erase(m_id);
    if (m_state->on_close)
      m_state->on_close(m_id);
  }

 private:
  void OnRead(beast::error_code error) {
    if (error == http::error::body_limit || error == http::error::header_limit)
      return Refuse(kHttpPayloadTooLarge, "request is too large");
    if (error &&
        error.category() ==
            http::make_error_code(http::error::end_of_stream).category() &&
        error != http::error::end_of_stream &&
        error != http::error::partial_message)
      return Refuse(kHttpBadRequest, "malformed HTTP request");
    if (error || m_closed)
      return Close();
    // A handler may take longer than the idle timeout, which guards the read.
    m_stream.expires_never();
    if (!m_state->TakeToken(m_remote, MonotonicClock::now()))
      return Write({kHttpTooManyRequests, "{\"error\":\"rate limit\"}"}, true);

    auto message = m_parser->release();
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.authorization = std::string(message[http::field::authorization]);
    request.body = std::move(message.body());
    request.connection = m_id;
    request.remote_address = m_remote;
    const bool keep_alive = message.keep_alive();
    m_answering = true;
    WatchForClose();
    m_state->handler(std::move(request), [self = shared_from_this(),
                                          keep_alive](HttpResponse response) {
      asio::dispatch(self->m_stream.get_executor(),
                     [self, keep_alive, response = std::move(response)] {
                       self->Write(response, keep_alive);
                     });
    });
  }

  // Notices that the other end closes the connection while its request is
  // being answered, when nothing is read.
  void WatchForClose() {
    m_stream.socket().async_wait(
        Tcp::socket::wait_read,
        [self = shared_from_this()](beast::error_code error) {
          if (error || !self->m_answering || self->m_closed)
            return;
          beast::error_code failed;
          if (self->m_stream.socket().available(failed) == 0 || failed)
            self->Close();
        });
  }

  void Refuse(unsigned status, const std::string& message) {
    Write({status, "{\"error\":\"" + message + "\"}"}, false);
  }

  void Write(const HttpResponse& response, bool keep_alive) {
    if (m_closed)
      return;
    m_answering = false;
    keep_alive = keep_alive && !m_state->close_after_answers;
    m_response = {};
    m_response.version(11);
    m_response.result(response.status);
    m_response.set(http::field::content_type, response.content_type);
    for (const auto& [name, value] : response.headers)
      m_response.set(name, value);
    m_response.keep_alive(keep_alive);
    m_response.body() = response.body;
    m_response.prepare_payload();
    m_stream.expires_after(m_state->limits.idle_timeout);
    http::async_write(m_stream, m_response,
                      [self = shared_from_this(), keep_alive](
                          beast::error_code error, size_t) {
                        if (error || !keep_alive)
                          self->Close();
                        else if (!self->m_closed)
                          self->Read();
                      });
  }

  beast::tcp_stream m_stream;
  std::shared_ptr<ServerState> m_state;
  const uint64_t m_id;
  std::string m_remote;
  beast::flat_buffer m_buffer;
  std::optional<http::request_parser<http::string_body>> m_parser;
  http::response<http::string_body> m_response;
  bool m_closed = false;
  // A handler has the request, and the answer is not written yet.
  bool m_answering = false;
};

class BeastServer : public HttpServer {
 public:
  BeastServer(asio::io_context& context, std::shared_ptr<ServerState> state)
      : m_acceptor(context), m_state(std::move(state)) {}

  ~BeastServer() override {
    m_state->on_close = nullptr;
    BeastServer::StopAccepting();
    BeastServer::CloseAll();
  }

  Result<void> Listen(const Endpoint& endpoint) {
    TRY(const auto address, ToTcpEndpoint(endpoint));
    beast::error_code error;
    m_acceptor.open(address.protocol(), error);
    if (!error)
      m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
      m_acceptor.bind(address, error);
    if (!error)
      m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
      return Failure(ErrorCode::kUnavailable, "http.listen",
                     endpoint.ToString(), error.message());
    m_endpoint = endpoint;
    m_endpoint.port = m_acceptor.local_endpoint().port();
    Accept();
    return Success();
  }

  Endpoint endpoint() const override { return m_endpoint; }

  void StopAccepting() override {
    beast::error_code ignored;
    m_acceptor.close(ignored);
  }

  void CloseAfterAnswers() override { m_state->close_after_answers = true; }

  void CloseAll() override {
    const auto sessions = m_state->sessions;
    for (const auto& [id, weak] : sessions) {
      if (const auto session = weak.lock())
        session->Close();
    }
  }

  size_t connections() const override { return m_state->sessions.size(); }

 private:
  void Accept() {
    m_acceptor.async_accept(
        [this, state = m_state](beast::error_code error, Tcp::socket socket) {
          if (error == asio::error::operation_aborted)
            return;
          if (!error && state->sessions.size() < state->limits.connections) {
            const uint64_t id = ++state->last_connection;
            const auto session =
                std::make_shared<Session>(std::move(socket), state, id);
            state->sessions[id] = session;
            session->Read();
          }
          Accept();
        });
  }

  Tcp::acceptor m_acceptor;
  std::shared_ptr<ServerState> m_state;
  Endpoint m_endpoint;
};

}  // namespace

Result<std::unique_ptr<HttpServer>> HttpServer::Create(
    asio::io_context& context,
    const Endpoint& endpoint,
    HttpServerLimits limits,
    Handler handler,
    OnClose on_close) {
  VERIFY(handler != nullptr);
  auto state = std::make_shared<ServerState>();
  state->limits = limits;
  state->handler = std::move(handler);
  state->on_close = std::move(on_close);
  auto server = std::make_unique<BeastServer>(context, std::move(state));
  TRY(server->Listen(endpoint));
  return std::unique_ptr<HttpServer>(std::move(server));
}

}  // namespace jackdawturn
