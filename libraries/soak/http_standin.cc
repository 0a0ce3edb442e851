#include "soak/http_standin.h"

#include <charconv>
#include <optional>
#include <set>
#include <utility>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace jackdawturn::soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

struct HttpStandin::State {
  Handler handler;
  std::set<std::shared_ptr<Session>> sessions;
  std::map<std::string, std::string> headers;
};

namespace {

HttpStandin::Request Parse(const http::request<http::string_body>& message) {
  HttpStandin::Request request;
  request.method = std::string(message.method_string());
  request.body = message.body();
  const std::string token(message["X-Fencing-Token"]);
  std::from_chars(token.data(), token.data() + token.size(),
                  request.fencing_token);
  const std::string target(message.target());
  const size_t question = target.find('?');
  request.path = target.substr(0, question);
  std::string rest =
      question == std::string::npos ? "" : target.substr(question + 1);
  while (!rest.empty()) {
    const std::string field = rest.substr(0, rest.find('&'));
    const size_t equals = std::min(field.find('='), field.size());
    request.query[field.substr(0, equals)] =
        field.substr(std::min(equals + 1, field.size()));
    rest.erase(0, field.size() + 1);
  }
  return request;
}

}  // namespace

class HttpStandin::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Tcp::socket socket, std::weak_ptr<State> state)
      : m_stream(std::move(socket)), m_state(std::move(state)) {}

  void Read() {
    m_message = {};
    http::async_read(
        m_stream, m_buffer, m_message,
        [self = shared_from_this()](boost::beast::error_code error, size_t) {
          self->Handle(error);
        });
  }
  void Close() {
    boost::beast::error_code ignored;
    m_stream.socket().close(ignored);
    if (const auto state = m_state.lock())
      state->sessions.erase(shared_from_this());
  }
  void Silence() { m_silenced = true; }

 private:
  void Handle(boost::beast::error_code error) {
    const auto state = m_state.lock();
    if (error || !state)
      return Close();
    state->handler(
        Parse(m_message),
        [weak = weak_from_this()](unsigned status, const std::string& body) {
          if (const auto self = weak.lock())
            self->Respond(status, body);
        });
  }

  void Respond(unsigned status, const std::string& body) {
    if (m_silenced || !m_stream.socket().is_open())
      return;
    m_response = {};
    m_response.version(11);
    m_response.result(status);
    m_response.set(http::field::content_type, "application/json");
    if (const auto state = m_state.lock()) {
      for (const auto& [name, value] : state->headers)
        m_response.set(name, value);
    }
    m_response.keep_alive(true);
    m_response.body() = body;
    m_response.prepare_payload();
    http::async_write(
        m_stream, m_response,
        [self = shared_from_this()](boost::beast::error_code error, size_t) {
          if (error)
            return self->Close();
          self->Read();
        });
  }

  boost::beast::tcp_stream m_stream;
  std::weak_ptr<State> m_state;
  boost::beast::flat_buffer m_buffer;
  http::request<http::string_body> m_message;
  http::response<http::string_body> m_response;
  bool m_silenced = false;
};

Result<std::unique_ptr<HttpStandin>> HttpStandin::Create(
    asio::io_context& context,
    Handler handler) {
  std::unique_ptr<HttpStandin> standin(new HttpStandin(context));
  standin->m_state = std::make_shared<State>();
  standin->m_state->handler = std::move(handler);
  boost::system::error_code error;
  standin->m_acceptor.open(Tcp::v4(), error);
  if (!error)
    standin->m_acceptor.bind({asio::ip::address_v4::loopback(), 0}, error);
  if (!error)
    standin->m_acceptor.listen(asio::socket_base::max_listen_connections,
                               error);
  if (error)
    return Failure(ErrorCode::kUnavailable, "soak.store", "", error.message());
  standin->Accept();
  return standin;
}

HttpStandin::~HttpStandin() {
  ResetConnections();
}

void HttpStandin::Accept() {
  m_acceptor.async_accept(
      [this](boost::system::error_code error, Tcp::socket socket) {
        if (error == asio::error::operation_aborted)
          return;
        if (!error) {
          socket.set_option(Tcp::no_delay(true), error);
          const auto session =
              std::make_shared<Session>(std::move(socket), m_state);
          m_state->sessions.insert(session);
          session->Read();
        }
        Accept();
      });
}

Endpoint HttpStandin::endpoint() const {
  return {"127.0.0.1", m_acceptor.local_endpoint().port()};
}

void HttpStandin::SetHeader(const std::string& name, const std::string& value) {
  m_state->headers[name] = value;
}

void HttpStandin::ResetConnections() {
  const auto sessions = m_state->sessions;
  for (const auto& session : sessions)
    session->Close();
}

void HttpStandin::SilenceConnections() {
  for (const auto& session : m_state->sessions)
    session->Silence();
}

}  // namespace jackdawturn::soak
