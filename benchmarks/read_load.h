#pragma once

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/core.h"
#include "http/http.h"
#include "ports/ports.h"
#include "proxy_rig.h"

namespace jackdawturn {

struct ReadLoadOptions {
  // Connections are spread over these in turn.
  std::vector<Endpoint> endpoints;
  std::string target;
  // Sent by the connections in turn.
  std::vector<std::string> bodies;
  // What every right answer contains.
  std::string expected;
  // Opens a counted connection of an instance first.
  bool open = false;
  size_t connections = 64;
  size_t threads = 2;
  // Requests per second of all connections; 0 means as many as possible.
  double rate = 0;
};

struct ReadLoadResult {
  uint64_t answers = 0;
  uint64_t wrong = 0;
  Duration elapsed{0};
  // In microseconds.
  std::vector<double> latencies;

  double per_second() const {
    return static_cast<double>(answers) /
           std::chrono::duration<double>(elapsed).count();
  }
};

// Sends one request again and again over kept connections. With a rate each
// connection has requests due at fixed times; a late answer delays the next
// request, whose latency then counts from when it was due.
class ReadLoad {
 public:
  explicit ReadLoad(ReadLoadOptions options) : m_options(std::move(options)) {
    for (size_t index = 0; index < m_options.threads; ++index)
      m_loops.push_back(std::make_unique<LoopThread>());
    for (size_t index = 0; index < m_options.connections; ++index) {
      auto line = std::make_unique<Line>();
      line->loop = m_loops[index % m_loops.size()].get();
      line->timer =
          std::make_unique<boost::asio::steady_timer>(line->loop->context());
      line->connection = HttpConnection::Create(
          line->loop->context(),
          m_options.endpoints[index % m_options.endpoints.size()]);
      // The endpoints repeat for each body, so that all pairs occur.
      line->body = m_options.bodies[index / m_options.endpoints.size() %
                                    m_options.bodies.size()];
      m_lines.push_back(std::move(line));
    }
  }

  ReadLoadResult Run(Duration duration) {
    m_start = MonotonicClock::now();
    m_end = m_start + duration;
    for (size_t index = 0; index < m_lines.size(); ++index) {
      Line& line = *m_lines[index];
      if (m_options.rate > 0)
        line.offset = Interval() * static_cast<int64_t>(index) /
                      static_cast<int64_t>(m_lines.size());
      boost::asio::post(line.loop->context(), [this, &line] { Connect(line); });
    }
    for (const auto& loop : m_loops)
      loop->Start();
    constexpr Duration kLastAnswers = std::chrono::milliseconds(200);
    std::this_thread::sleep_for(duration + kLastAnswers);
    ReadLoadResult result;
    result.elapsed = duration;
    for (const auto& loop : m_loops)
      loop->Stop();
    for (const auto& line : m_lines) {
      result.answers += line->answers;
      result.wrong += line->wrong;
      result.latencies.insert(result.latencies.end(), line->latencies.begin(),
                              line->latencies.end());
    }
    std::sort(result.latencies.begin(), result.latencies.end());
    return result;
  }

 private:
  struct Line {
    LoopThread* loop = nullptr;
    std::unique_ptr<boost::asio::steady_timer> timer;
    std::shared_ptr<HttpConnection> connection;
    std::string body;
    // Spreads the requests of the connections over the interval.
    Duration offset{0};
    TimePoint due;
    uint64_t answers = 0;
    uint64_t wrong = 0;
    std::vector<double> latencies;
  };

  static constexpr Duration kTimeout = std::chrono::seconds(5);

  Duration Interval() const {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
        static_cast<double>(m_lines.size()) / m_options.rate));
  }

  void Connect(Line& line) {
    line.connection->Connect(kTimeout, [this, &line](Result<void> connected) {
      if (!connected) {
        ++line.wrong;
        return;
      }
      if (!m_options.open)
        return Start(line);
      const BackendRequest open = OpenCall{};
      line.connection->Send(
          "POST", TargetOf(open), EncodeRequest(open), "", kTimeout,
          [this, &line](const Result<HttpResponse>&) { Start(line); });
    });
  }

  // The first request is due after the connection is open; otherwise the time
  // of opening, 10 ms at an instance, would count as latency of the requests
  // that were due meanwhile.
  void Start(Line& line) {
    line.due = MonotonicClock::now() + line.offset;
    Schedule(line);
  }

  // A request that is overdue is sent at once.
  void Schedule(Line& line) {
    const TimePoint now = MonotonicClock::now();
    if (now >= m_end)
      return;
    if (m_options.rate <= 0)
      return Send(line, now);
    if (line.due <= now)
      return Send(line, line.due);
    line.timer->expires_after(line.due - now);
    line.timer->async_wait([this, &line](boost::system::error_code) {
      // The timer's own delay is not that of the server.
      Send(line, MonotonicClock::now());
    });
  }

  void Send(Line& line, TimePoint begin) {
    line.connection->Send(
        "POST", m_options.target, line.body, "", kTimeout,
        [this, &line, begin](const Result<HttpResponse>& response) {
          const TimePoint now = MonotonicClock::now();
          const bool right =
              response && response.value().body.find(m_options.expected) !=
                              std::string::npos;
          if (now <= m_end && right) {
            ++line.answers;
            line.latencies.push_back(
                static_cast<double>((now - begin).count()));
          }
          if (!right)
            ++line.wrong;
          if (!line.connection->is_open())
            return;
          if (m_options.rate > 0)
            line.due += Interval();
          Schedule(line);
        });
  }

  ReadLoadOptions m_options;
  TimePoint m_start;
  TimePoint m_end;
  std::vector<std::unique_ptr<LoopThread>> m_loops;
  std::vector<std::unique_ptr<Line>> m_lines;
};

}  // namespace jackdawturn
