#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "http/http_types.h"

namespace jackdawturn {

// One HTTP/1.1 connection with at most one request in progress. Thread safety:
// all methods and hooks run on the thread of the io_context.
class HttpConnection {
 public:
  using OnResponse = std::function<void(Result<HttpResponse>)>;
  using OnConnected = std::function<void(Result<void>)>;

  static std::shared_ptr<HttpConnection> Create(
      boost::asio::io_context& context,
      Endpoint endpoint);
  virtual ~HttpConnection() = default;

  // Errors: kUnavailable (refused), kTimeout, kInvalidArgument.
  virtual void Connect(Duration timeout, OnConnected on_connected) = 0;

  // Precondition: connected, and no request is in progress. Errors: kTimeout
  // when the answer is missing, in which case the work may have been done;
  // the connection is closed by any error.
  virtual void Send(const std::string& method,
                    const std::string& target,
                    const std::string& body,
                    const std::string& authorization,
                    Duration timeout,
                    OnResponse on_response,
                    const HttpHeaders& headers = {}) = 0;

  virtual bool is_open() const = 0;
  // Closes the socket; a request in progress gets kTimeout.
  virtual void Close() = 0;
};

// Requests to one address over as many connections as are needed at a time.
// Idle connections are kept. Thread safety: as HttpConnection.
class HttpClient {
 public:
  // `max_connections`: further requests wait for a free connection.
  HttpClient(boost::asio::io_context& context,
             Endpoint endpoint,
             size_t max_connections,
             std::string authorization = "");
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // The timeout includes the wait for a connection and connecting. Errors: as
  // HttpConnection; kUnavailable with the step "http.wait" when no connection
  // was free in time, in which case nothing was sent.
  void Send(const std::string& method,
            const std::string& target,
            const std::string& body,
            Duration timeout,
            HttpConnection::OnResponse on_response,
            HttpHeaders headers = {});

  const Endpoint& endpoint() const;

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

// Sends one request on an own connection and waits for the answer, for
// commands. Errors: as HttpConnection. Thread-safe.
Result<HttpResponse> SendAndWait(const Endpoint& endpoint,
                                 const std::string& method,
                                 const std::string& target,
                                 const std::string& body,
                                 const std::string& authorization,
                                 Duration timeout);

}  // namespace jackdawturn
