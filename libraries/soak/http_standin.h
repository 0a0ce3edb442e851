#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "http/http.h"

namespace jackdawturn::soak {

// An HTTP server that can also fall silent, and that hands on the headers of a
// promotion. Thread safety: all methods run on the thread of the io_context.
class HttpStandin {
 public:
  struct Request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::string body;
    uint64_t fencing_token = 0;
  };
  using Respond = std::function<void(unsigned status, const std::string& body)>;
  // A request that is never answered leaves its connection silent.
  using Handler = std::function<void(const Request&, Respond)>;

  // Errors: kUnavailable (no free port).
  static Result<std::unique_ptr<HttpStandin>> Create(
      boost::asio::io_context& context,
      Handler handler);
  ~HttpStandin();

  Endpoint endpoint() const;
  // All later answers carry the header.
  void SetHeader(const std::string& name, const std::string& value);
  void ResetConnections();
  // What is open now is never answered again; new connections work.
  void SilenceConnections();

 private:
  class Session;
  struct State;

  explicit HttpStandin(boost::asio::io_context& context)
      : m_acceptor(context) {}
  void Accept();

  boost::asio::ip::tcp::acceptor m_acceptor;
  std::shared_ptr<State> m_state;
};

}  // namespace jackdawturn::soak
