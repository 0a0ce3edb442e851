#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "http/http.h"
#include "ports/platform_messages.h"
#include "standins/standins.h"

namespace jackdawturn {

struct PlatformServerOptions {
  Endpoint listen;
  // Time until a call takes effect and is answered.
  Duration answer_time = std::chrono::milliseconds(2);
};

// A PlatformStore behind HTTP. POST /fault sets faults: {"available": false},
// {"lose_answers": N}, {"answer_time_us": N}; POST /vm changes the VM list:
// {"name", "zone", "state": "live", "leaving" or "gone"}. During an outage
// calls get no answer. Thread safety: all methods run on the thread of the
// io_context.
class PlatformServer {
 public:
  // Errors: kInvalidArgument, kUnavailable (the address is in use).
  static Result<std::unique_ptr<PlatformServer>> Create(
      boost::asio::io_context& context,
      PlatformServerOptions options);

  Endpoint endpoint() const { return m_server->endpoint(); }
  PlatformStore& store() { return m_store; }
  // During an outage calls get no answer.
  void SetAvailable(bool available) { m_available = available; }

 private:
  struct Watch {
    WatchObjects request;
    HttpServer::Respond respond;
    uint64_t number = 0;
  };

  PlatformServer(boost::asio::io_context& context,
                 PlatformServerOptions options)
      : m_context(context), m_options(std::move(options)) {}

  void Handle(const HttpRequest& http, const HttpServer::Respond& respond);
  Result<void> HandleControl(const HttpRequest& http);
  Result<void> SetFaults(const JsonFields& fields);
  Result<void> SetVm(const JsonFields& fields);
  void Run(const PlatformRequest& request, const HttpServer::Respond& respond);
  void StartWatch(const WatchObjects& request,
                  const HttpServer::Respond& respond);
  bool AnswerWatch(const Watch& watch, bool even_if_empty);
  void AnswerWatches();
  void After(Duration delay, std::function<void()> task);

  boost::asio::io_context& m_context;
  PlatformServerOptions m_options;
  PlatformStore m_store;
  bool m_available = true;
  std::list<Watch> m_watches;
  uint64_t m_last_watch = 0;
  std::unique_ptr<HttpServer> m_server;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace jackdawturn
