// The cost of admission at a proxy: a request of one of 10,000 customers joins
// the queue for an instance, and a connection that is returned is lent to the
// next one, while statements wait. What a waiting request costs in memory is
// the slope between two lengths of the queue. The requests belong to 19,000
// databases, of which the pool keeps nothing.

#include <malloc.h>

#include <chrono>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "gateway/gateway.h"
#include "support/reports.h"

namespace jackdawturn::gateway {
namespace {

constexpr size_t kDecisions = 4'000;
constexpr size_t kRounds = 5;
constexpr size_t kCustomers = 10'000;
constexpr size_t kConnections = 18;
constexpr double kMedianBound = 2.0;

double UsedBytes() {
  return static_cast<double>(mallinfo2().uordblks);
}

// A clock that stands still, and timers that never run.
class StandingTimers : public Timers {
 public:
  TimePoint now() const override {
    return TimePoint(std::chrono::seconds(1'000));
  }
  TimerId After(Duration, std::function<void()>) override { return ++m_last; }
  void Cancel(TimerId) override {}

 private:
  TimerId m_last = 0;
};

// A connection that answers nothing.
class SilentSession : public BackendSession {
 public:
  void Send(std::vector<BackendCommand>, OnReplies) override {}
  bool is_open() const override { return true; }
  void Close() override {}
};

class AdmissionBench {
 public:
  // Lends all connections and queues `waiting` further requests.
  explicit AdmissionBench(size_t waiting)
      : m_pool(m_timers,
               [](const auto&, auto, auto on_open) {
                 on_open(std::unique_ptr<BackendSession>(
                     std::make_unique<SilentSession>()));
               },
               {.max_connections = [](const auto&) { return kConnections; }}) {
    m_server.id = InstanceName("a");
    for (size_t count = 0; count < kCustomers; ++count)
      m_customers.emplace_back("customer-" + std::to_string(count));
    const double before = UsedBytes();
    for (size_t count = 0; count < kConnections + waiting; ++count)
      Request();
    m_bytes = UsedBytes() - before;
  }

  // Returns the median time of a request and of the return of a connection, in
  // microseconds.
  std::pair<double, double> Run() {
    std::vector<double> requests;
    std::vector<double> returns;
    for (size_t count = 0; count < kDecisions; ++count) {
      requests.push_back(Measure([this] { Request(); }));
      auto connection = std::move(m_lent.front());
      m_lent.erase(m_lent.begin());
      returns.push_back(
          Measure([&] { m_pool.Release(std::move(connection)); }));
    }
    return {Median(std::move(requests)), Median(std::move(returns))};
  }

  double bytes() const { return m_bytes; }

 private:
  static double Measure(const std::function<void()>& action) {
    const auto begin = std::chrono::steady_clock::now();
    action();
    const auto end = std::chrono::steady_clock::now();
    return std::chrono::duration<double, std::micro>(end - begin).count();
  }

  void Request() {
    m_pool.AcquireFor({.customer = m_customers[m_random() % kCustomers],
                       .priority = m_random() % 3,
                       .wait = std::chrono::seconds(1)},
                      m_server, [this](auto connection) {
                        if (connection)
                          m_lent.push_back(std::move(connection.value()));
                      });
  }

  StandingTimers m_timers;
  BackendPool m_pool;
  BackendServer m_server;
  std::vector<CustomerName> m_customers;
  std::vector<BackendPool::ConnectionPtr> m_lent;
  std::mt19937_64 m_random{SeedFromEnvironment()};
  double m_bytes = 0;
};

int Run() {
  BenchmarkReport report;
  double bytes[2] = {};
  constexpr size_t kWaiting[] = {16, 256};
  for (size_t size = 0; size < std::size(kWaiting); ++size) {
    AdmissionBench bench(kWaiting[size]);
    std::vector<double> requests;
    std::vector<double> returns;
    for (size_t round = 0; round < kRounds; ++round) {
      const auto [request, returned] = bench.Run();
      requests.push_back(request);
      returns.push_back(returned);
    }
    bytes[size] = bench.bytes();
    const std::string name =
        "admission_waiting_" + std::to_string(kWaiting[size]);
    report.Add(name + "_request_median", Median(requests), BoundKind::kAtMost,
               kMedianBound, "us");
    report.Add(name + "_return_median", Median(returns), BoundKind::kAtMost,
               kMedianBound, "us");
  }
  report.AddUnbounded(
      "admission_waiting_request_bytes",
      (bytes[1] - bytes[0]) / static_cast<double>(kWaiting[1] - kWaiting[0]),
      "bytes");
  return report.exit_code();
}

}  // namespace
}  // namespace jackdawturn::gateway

int main() {
  return jackdawturn::gateway::Run();
}
