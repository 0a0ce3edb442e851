#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "http/http.h"
#include "ports/backend_codec.h"
#include "standins/standins.h"

namespace jackdawturn {

struct InstanceServerOptions {
  InstanceName name;
  Endpoint listen;
  // Addresses of the other instances of the group, for replication.
  std::map<InstanceName, Endpoint> peers;
  size_t connection_limit = 16;
  // Statements that run at a time; further ones wait in order of arrival.
  size_t slots = 2;
  // Time to open a counted connection, and to run a statement.
  Duration open_time = std::chrono::milliseconds(10);
  Duration statement_time = std::chrono::microseconds(500);
  // Entries reach a replica this much later than the primary's log.
  Duration replication_lag = std::chrono::milliseconds(2);
  // The instance starts in term 1, as primary or following this instance.
  InstanceName initial_primary;
};

// Faults, set by POST /fault with a JSON object of these members.
struct InstanceFaults {
  // Requests get no answer on connections that are open now; new ones work.
  bool silence_open_connections = false;
  // No request gets an answer, as for a VM that is cut off.
  bool silent = false;
  // Replaces the replication lag; negative means no change.
  Duration replication_lag{-1};
};

// A DatabaseInstance behind HTTP, with slots, latency and replication. Thread
// safety: all methods run on the thread of the io_context.
class InstanceServer {
 public:
  // Errors: kInvalidArgument, kUnavailable (the address is in use).
  static Result<std::unique_ptr<InstanceServer>> Create(
      boost::asio::io_context& context,
      InstanceServerOptions options);

  Endpoint endpoint() const { return m_server->endpoint(); }
  const DatabaseInstance& instance() const { return m_instance; }
  void Apply(const InstanceFaults& faults);
  // Changes where the others listen, when ports were chosen at start.
  void SetPeers(std::map<InstanceName, Endpoint> peers);
  // Stops at once, as a crash does; nothing is answered any more.
  void Crash();

 private:
  // A request that waits for a statement slot.
  struct Waiting {
    uint64_t connection = 0;
    BackendRequest request;
    HttpServer::Respond respond;
  };
  // A report or replication request that waits for a position.
  struct PositionWaiter {
    LogPosition position;
    uint64_t number = 0;
    std::function<void()> answer;
  };

  InstanceServer(boost::asio::io_context& context,
                 InstanceServerOptions options);

  void Handle(const HttpRequest& http, HttpServer::Respond respond);
  void HandleFault(const HttpRequest& http, const HttpServer::Respond& respond);
  void WithConnection(uint64_t connection,
                      BackendRequest request,
                      HttpServer::Respond respond);
  void OpenConnection(uint64_t connection, const HttpServer::Respond& respond);
  void RunNextStatement();
  Result<BackendResponse> Run(uint64_t connection,
                              const BackendRequest& request);
  void AnswerReport(const ReportCall& call, const HttpServer::Respond& respond);
  void AnswerReplicate(const ReplicateCall& call,
                       const HttpServer::Respond& respond);
  void WaitForPosition(LogPosition position,
                       Duration wait,
                       std::function<void()> answer);
  void LogChanged();
  void After(Duration delay, std::function<void()> task);

  void Replicate();
  void ApplyLater(LogBatch batch);

  boost::asio::io_context& m_context;
  InstanceServerOptions m_options;
  DatabaseInstance m_instance;
  std::unique_ptr<HttpServer> m_server;
  InstanceFaults m_faults;
  // HTTP connections up to this number get no answer.
  uint64_t m_silenced_up_to = 0;
  uint64_t m_newest_connection = 0;
  std::map<uint64_t, ConnectionId> m_open;
  std::deque<Waiting> m_waiting;
  size_t m_running = 0;
  std::map<uint64_t, PositionWaiter> m_position_waiters;
  uint64_t m_last_waiter = 0;
  std::unique_ptr<HttpClient> m_primary;
  InstanceName m_primary_name;
  bool m_crashed = false;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace jackdawturn
