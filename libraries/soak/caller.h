#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "gateway/gateway.h"
#include "http/http.h"
#include "soak/checker.h"

namespace jackdawturn::gateway::platform {
class LineStream;
}

namespace jackdawturn::soak {

// What the callers have counted themselves.
struct Tally {
  uint64_t connections = 0;
  uint64_t requests = 0;
  uint64_t done = 0;
  // Answers that are errors, by their code.
  std::map<std::string, uint64_t> errors;
  // Requests whose connection ended, or was closed for lack of an answer.
  uint64_t unanswered = 0;
  uint64_t reads_checked = 0;
  uint64_t commits_acknowledged = 0;
};

// A database name that callers use.
struct Database {
  std::string name;
  GroupName group;
  // The age up to which a read may miss commits.
  Duration max_staleness{0};
};

struct CallerOptions {
  // Unique among the callers.
  std::string name;
  Endpoint gateway;
  std::vector<Database> databases;
  uint64_t seed = 0;
};

struct CallerHooks {
  // Whether the balancer would send a new connection to the gateway.
  std::function<bool()> can_connect;
  // A read or commit was done that began at `began`.
  std::function<void(const Database& database, bool writes, TimePoint began)>
      on_served;
  // A connection ended while a request that was sent at `sent` waited.
  std::function<void(const std::string& request, TimePoint sent)> on_cut;
};

// A client that sends one operation after the other on connections that it
// keeps for a while. Thread safety: all methods run on the thread of the
// io_context.
class Caller : public std::enable_shared_from_this<Caller> {
 public:
  // The references must outlive the run of the io_context.
  static std::shared_ptr<Caller> Create(boost::asio::io_context& context,
                                        gateway::Timers& timers,
                                        Checker& checker,
                                        Tally& tally,
                                        CallerOptions options,
                                        CallerHooks hooks);

  void Start() { Connect(); }
  // Closes the connection; nothing is sent any more.
  void Stop();

 private:
  enum class Kind { kStartup, kBegin, kRead, kWrite, kCommit, kRollback };
  struct Statement {
    Kind kind = Kind::kRead;
    std::string item;
  };

  Caller(boost::asio::io_context& context,
         gateway::Timers& timers,
         Checker& checker,
         Tally& tally,
         CallerOptions options,
         CallerHooks hooks);
  void After(Duration delay, void (Caller::*action)());
  void Connect();
  void Disconnected();
  void BeginOperation();
  void PlanTransaction();
  void SendNext();
  void HandleLine(std::string_view line);
  void Answered(const std::string& state);
  void Succeeded();
  void Failed();
  // Counts the request that gets no answer any more.
  void LoseRequest();
  void Close();
  bool strict() const { return m_database.max_staleness == Duration(0); }

  boost::asio::io_context& m_context;
  gateway::Timers& m_timers;
  Checker& m_checker;
  Tally& m_tally;
  const CallerOptions m_options;
  const CallerHooks m_hooks;
  std::mt19937_64 m_random;
  // Connections take the databases in turn.
  uint64_t m_next_database = 0;
  std::shared_ptr<gateway::platform::LineStream> m_stream;
  // Distinguishes what belongs to earlier connections.
  uint64_t m_connection = 0;
  Database m_database;
  std::deque<Statement> m_plan;
  // The request that waits for an answer.
  std::optional<Statement> m_outstanding;
  TimePoint m_sent_at;
  TimePoint m_began;
  uint64_t m_read = 0;
  std::string m_row;
  std::string m_code;
  std::string m_signature;
  // The write or transaction in progress; empty for one that only reads.
  std::string m_attempt;
  uint64_t m_last_attempt = 0;
  uint64_t m_last_request = 0;
  size_t m_operations_left = 0;
  bool m_stopped = false;
};

}  // namespace jackdawturn::soak
