#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "http/http_types.h"

namespace jackdawturn {

// Limits of a server against hostile or broken clients.
struct HttpServerLimits {
  size_t body_bytes = 1'000'000;
  uint32_t header_bytes = 8'192;
  size_t connections = 10'000;
  // A connection that sends no request for this long is closed.
  std::chrono::seconds idle_timeout{120};
  // Requests a second from one IP address; 0 means no limit. Bursts of one
  // second's worth, at least one request, are allowed.
  double requests_per_second = 0;
};

// An HTTP/1.1 server on one address. Requests of one connection are answered
// in order, one at a time. Thread safety: all methods and hooks run on the
// thread of the io_context, but for the Respond function, which can be called
// once from any thread.
class HttpServer {
 public:
  using Respond = std::function<void(HttpResponse)>;
  using Handler = std::function<void(HttpRequest, Respond)>;
  using OnClose = std::function<void(uint64_t connection)>;

  // Starts to listen; port 0 takes a free port. `on_close` may be empty.
  // Errors: kInvalidArgument, kUnavailable (the address is in use).
  static Result<std::unique_ptr<HttpServer>> Create(
      boost::asio::io_context& context,
      const Endpoint& endpoint,
      HttpServerLimits limits,
      Handler handler,
      OnClose on_close);

  virtual ~HttpServer() = default;

  // The address with the port that is in use. Thread-safe.
  virtual Endpoint endpoint() const = 0;
  // Stops accepting connections; open ones go on.
  virtual void StopAccepting() = 0;
  // Answers with "Connection: close" from now on and closes each connection
  // after its answer, so that clients open their next one elsewhere.
  virtual void CloseAfterAnswers() = 0;
  // Closes all connections at once.
  virtual void CloseAll() = 0;
  virtual size_t connections() const = 0;
};

}  // namespace jackdawturn
