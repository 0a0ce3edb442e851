#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "ports/ports.h"
#include "targets/targets.h"

namespace jackdawturn {

struct DemoLoadOptions {
  std::vector<Endpoint> proxies;
  std::vector<GroupName> groups;
  targets::ClassTargets classes;
  size_t callers = 24;
  // Pause of a caller between two requests.
  Duration pause = std::chrono::milliseconds(4);
  uint64_t seed = 1;
};

struct ClassCounts {
  uint64_t done = 0;
  uint64_t not_run = 0;
  uint64_t unknown = 0;
  // Requests whose outcome was asked for and became final.
  uint64_t resolved = 0;
  uint64_t invalid = 0;
};

// What the callers counted by themselves.
struct DemoTally {
  std::map<ClassName, ClassCounts> classes;
  // Writes that ran according to their answers, by group and caller's key.
  std::map<GroupName, std::map<std::string, uint64_t>> writes;
  // Transactions by the outcome of their commit. One that ended before its
  // commit counts as not run.
  ClassCounts transactions;
  // Transactions that their callers rolled back.
  uint64_t rolled_back = 0;
  // Refused requests by reason, or by the step at which the proxy was not
  // reached.
  std::map<std::string, uint64_t> refusals;
  // Answers `unknown` by reason, to requests and to questions for outcomes.
  std::map<std::string, uint64_t> open_outcomes;
  // Reads that did not show an acknowledged write of their own session.
  uint64_t stale_reads = 0;
  uint64_t unresolved = 0;
};

// Callers that read, write and run transactions through the proxies, each
// request or transaction on another proxy, and keep their own count. Runs a
// thread of its own. Thread safety: all methods from one thread.
class DemoLoad {
 public:
  explicit DemoLoad(DemoLoadOptions options);
  ~DemoLoad();
  DemoLoad(const DemoLoad&) = delete;
  DemoLoad& operator=(const DemoLoad&) = delete;

  void Start();
  // Ends the load: callers finish their requests and find out the outcome of
  // those without a final answer, for at most `limit`.
  DemoTally Finish(Duration limit);

 private:
  // A caller with its session.
  struct Caller {
    std::string key;
    std::string token;
    std::mt19937_64 random;
    size_t next_proxy = 0;
    // Acknowledged writes by group.
    std::map<GroupName, uint64_t> written;
    std::unique_ptr<boost::asio::steady_timer> timer;
    bool idle = false;
  };

  // A transaction from its begin to its commit or rollback.
  struct OpenTransaction {
    // All its steps go to the proxy that holds it.
    HttpClient* proxy = nullptr;
    CallerRequest step;
    // Adds of its statements, and how many are left to run.
    uint64_t amount = 0;
    uint64_t statements_left = 0;
    bool roll_back = false;
  };
  using SharedTransaction = std::shared_ptr<OpenTransaction>;

  // Deadline of a request, and how long its caller waits for the answer.
  static constexpr Duration kDeadline = std::chrono::milliseconds(2'000);
  static constexpr Duration kClientTimeout = std::chrono::milliseconds(3'000);
  static WallTime Now();

  void Next(Caller& caller);
  void Pause(Caller& caller, Duration delay);
  CallerRequest MakeRequest(Caller& caller);
  // `amount` is what the request adds to the caller's key.
  void Send(Caller& caller,
            const CallerRequest& request,
            uint64_t amount,
            bool first);
  void Answered(Caller& caller,
                CallerRequest request,
                uint64_t amount,
                bool first,
                const Result<HttpResponse>& response);
  void Resolve(Caller& caller, CallerRequest request, uint64_t amount);
  ClassCounts& CountsOf(const CallerRequest& request);
  void BeginTransaction(Caller& caller);
  void SendStep(Caller& caller, const SharedTransaction& transaction);
  void StepAnswered(Caller& caller,
                    const SharedTransaction& transaction,
                    const Result<HttpResponse>& response);
  void ContinueTransaction(Caller& caller,
                           const SharedTransaction& transaction,
                           const CallerAnswer& answer);
  void CheckRead(Caller& caller,
                 const CallerRequest& request,
                 const CallerAnswer& answer);
  HttpClient& NextProxy(Caller& caller);

  DemoLoadOptions m_options;
  std::vector<ClassName> m_read_classes;
  std::vector<ClassName> m_write_classes;
  boost::asio::io_context m_context;
  std::vector<std::unique_ptr<HttpClient>> m_clients;
  std::vector<std::unique_ptr<Caller>> m_callers;
  DemoTally m_tally;
  bool m_finishing = false;
  TimePoint m_give_up = TimePoint::max();
  std::thread m_thread;
};

}  // namespace jackdawturn
