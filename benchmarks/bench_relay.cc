// The cost of a relayed request. Latency: reads at the holder of a group and
// through another proxy, in turn on two open connections, as a ratio. Rate:
// requests over one relay connection between two relays with a thread each.

#include <algorithm>
#include <chrono>
#include <functional>
#include <future>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "support/relay_world.h"
#include "support/reports.h"

namespace jackdawturn {
namespace {

constexpr size_t kReads = 4'000;
constexpr size_t kRequests = 200'000;
constexpr size_t kWindow = 256;
constexpr double kMedian = 0.5;
constexpr double kHighQuantile = 0.99;

double MicrosecondsSince(TimePoint start) {
  return std::chrono::duration<double, std::micro>(MonotonicClock::now() -
                                                   start)
      .count();
}

// Reads over one open connection to a proxy.
class Reader {
 public:
  explicit Reader(const Endpoint& proxy)
      : m_connection(HttpConnection::Create(m_context, proxy)) {
    m_connection->Connect(RelayWorld::kTimeout, [](const Result<void>& result) {
      VERIFY(result.has_value());
    });
    m_context.run();
  }

  // Returns the time of one read in microseconds.
  double Read() {
    CallerRequest read = RelayWorld::Request(CallerOperation::kRead);
    read.statement = "get k";
    const std::string body = EncodeRequest(read);
    const TimePoint start = MonotonicClock::now();
    m_connection->Send("POST", TargetOf(read.operation), body, "",
                       RelayWorld::kTimeout,
                       [](const Result<HttpResponse>& response) {
                         VERIFY(response && response.value().status == kHttpOk);
                       });
    m_context.restart();
    m_context.run();
    return MicrosecondsSince(start);
  }

 private:
  boost::asio::io_context m_context;
  std::shared_ptr<HttpConnection> m_connection;
};

void MeasureLatency(BenchmarkReport& report) {
  RelayWorld world;
  Reader direct(world.holder().callers());
  Reader relayed(world.other().callers());
  std::vector<double> direct_times;
  std::vector<double> relayed_times;
  for (size_t count = 0; count < kReads; ++count) {
    direct_times.push_back(direct.Read());
    relayed_times.push_back(relayed.Read());
  }
  const double direct_median = Quantile(direct_times, kMedian);
  const double relayed_median = Quantile(relayed_times, kMedian);
  report.AddUnbounded("relay_direct_median", direct_median, "us");
  report.AddUnbounded("relay_hop_median", relayed_median, "us");
  report.AddUnbounded("relay_hop_ratio_median", relayed_median / direct_median,
                      "ratio");
  report.AddUnbounded("relay_hop_ratio_p99",
                      Quantile(relayed_times, kHighQuantile) /
                          Quantile(direct_times, kHighQuantile),
                      "ratio");
}

// A relay with a thread of its own.
class RelayEnd {
 public:
  RelayEnd(const char* vm, RelayPort::OnEvent on_event) {
    RelayPortOptions options;
    options.listen = {"127.0.0.1", 0};
    options.self = VmName(vm);
    options.keys = {"fleet-key-for-tests-0123456789abcd"};
    m_port =
        CreateTcpRelayPort(m_context, options, std::move(on_event)).value();
    m_thread = std::thread([this] {
      const auto work = boost::asio::make_work_guard(m_context);
      m_context.run();
    });
  }
  ~RelayEnd() {
    m_context.stop();
    m_thread.join();
  }
  RelayEnd(const RelayEnd&) = delete;
  RelayEnd& operator=(const RelayEnd&) = delete;

  RelayPort& port() { return *m_port; }
  void Run(std::function<void()> task) {
    boost::asio::post(m_context, std::move(task));
  }

 private:
  boost::asio::io_context m_context;
  std::unique_ptr<RelayPort> m_port;
  std::thread m_thread;
};

void MeasureRate(BenchmarkReport& report) {
  RelayPort* receiver = nullptr;
  RelayEnd second("second", [&receiver](const RelayEvent& event) {
    const auto& arrived = std::get<RelayArrived>(event);
    AnswerRelay answer{arrived.arrival, {}, {}};
    answer.reply.verdict = RelayVerdict::kAnswered;
    answer.reply.answer.outcome = CallerOutcome::kDone;
    answer.reply.answer.value = "5";
    receiver->Send(std::move(answer));
  });
  receiver = &second.port();
  RelayPort* sender = nullptr;
  uint64_t sent = 0;
  uint64_t ended = 0;
  std::promise<void> finished;
  SendRelay send;
  send.to = second.port().endpoint().ToString();
  send.request = RelayWorld::Request(CallerOperation::kRead);
  send.request.statement = "get k";
  send.timeout = RelayWorld::kTimeout;
  const auto send_next = [&] {
    send.call = RelayCall{++sent};
    sender->Send(send);
  };
  RelayEnd first("first", [&](const RelayEvent& event) {
    VERIFY(std::get<RelayEnded>(event).result.has_value());
    if (sent < kRequests)
      send_next();
    if (++ended == kRequests)
      finished.set_value();
  });
  sender = &first.port();
  const TimePoint start = MonotonicClock::now();
  first.Run([&] {
    for (size_t count = 0; count < kWindow; ++count)
      send_next();
  });
  finished.get_future().wait();
  constexpr double kMicrosecondsPerSecond = 1e6;
  report.AddUnbounded("relay_requests_per_connection",
                      static_cast<double>(kRequests) * kMicrosecondsPerSecond /
                          MicrosecondsSince(start),
                      "1/s");
}

}  // namespace
}  // namespace jackdawturn

int main() {
  jackdawturn::BenchmarkReport report;
  jackdawturn::MeasureLatency(report);
  jackdawturn::MeasureRate(report);
  return report.exit_code();
}
