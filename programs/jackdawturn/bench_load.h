#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bench_statistics.h"
#include "ports/ports.h"
#include "world_checks.h"

namespace jackdawturn {

// A class and its share of the requests of its kind.
struct WeightedClass {
  ClassName name;
  uint64_t weight = 1;
};

struct BenchLoadOptions {
  std::vector<Endpoint> proxies;
  std::vector<GroupName> groups;
  std::vector<WeightedClass> read_classes;
  std::vector<WeightedClass> write_classes;
  // Share of requests that write, in percent.
  uint64_t write_percent = 30;
  // Requests per second of the open loop; 0 means a closed loop.
  double rate = 0;
  // Sessions, each with at most one request in progress.
  size_t callers = 24;
  Duration deadline = std::chrono::milliseconds(2'000);
  // Time of the load; sets the width of the intervals of the statistics.
  Duration duration = std::chrono::seconds(3);
  uint64_t seed = 1;
  // First part of the keys; must differ between runs against one database.
  std::string key_prefix = "bench";
};

// Sends reads and writes to proxies and keeps its own count. In the open loop a
// request is due at a fixed time whether or not earlier ones were answered, and
// its latency is counted from then; it waits for a free session if there is
// none, because a session takes its token from answer to answer. In the closed
// loop each session sends its next request when the last one has ended. Runs a
// thread of its own. Thread safety: all methods from one thread.
class BenchLoad {
 public:
  // Precondition: proxies, groups and callers are not empty, and there is a
  // class for each kind of request that the share of writes asks for.
  explicit BenchLoad(BenchLoadOptions options);
  ~BenchLoad();
  BenchLoad(const BenchLoad&) = delete;
  BenchLoad& operator=(const BenchLoad&) = delete;

  void Start();
  // Waits until at least `requests` have ended, whatever their outcome, for at
  // most `limit`.
  void WaitForEnded(uint64_t requests, Duration limit);
  // Ends the load; waits until requests in progress have a final outcome, for
  // at most `limit` and the time of one request.
  BenchStatistics Finish(Duration limit);

 private:
  // Polls on the thread of the load until `done` holds or `limit` has passed.
  void Poll(const std::function<bool()>& done, Duration limit);

  struct Session {
    std::string key;
    std::string token;
    size_t next_proxy = 0;
    // Acknowledged writes by group.
    std::map<GroupName, uint64_t> written;
    std::unique_ptr<boost::asio::steady_timer> timer;
  };
  // A request in progress.
  struct Work {
    Session* session = nullptr;
    CallerRequest request;
    TimePoint due;
    // Acknowledged writes of the session in the group when it was sent.
    uint64_t written = 0;
    bool asked = false;
  };

  void SendDue();
  void Begin(Session& session, TimePoint due);
  CallerRequest MakeRequest(Session& session);
  void Send(Work work);
  void OnResponse(Work work, const Result<HttpResponse>& response);
  void OnFinal(const Work& work, const CallerAnswer& answer);
  void AskLater(Work work);
  void End(const Work& work);

  BenchLoadOptions m_options;
  boost::asio::io_context m_context;
  std::vector<std::unique_ptr<HttpClient>> m_clients;
  std::vector<std::unique_ptr<Session>> m_sessions;
  // Sessions without a request, of the open loop.
  std::vector<Session*> m_idle;
  // Requests of the open loop that wait for a session.
  std::deque<TimePoint> m_waiting;
  std::unique_ptr<boost::asio::steady_timer> m_ticker;
  std::mt19937_64 m_random;
  BenchStatistics m_statistics;
  TimePoint m_start;
  uint64_t m_due_count = 0;
  size_t m_in_progress = 0;
  uint64_t m_ended = 0;
  bool m_finishing = false;
  TimePoint m_give_up = TimePoint::max();
  std::thread m_thread;
};

}  // namespace jackdawturn
