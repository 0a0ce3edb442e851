#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "gateway/slotted_server.h"

namespace jackdawturn::gateway {

// Requests of several proxies to one instance, run as
// LocalStatementExecution runs them.
class PoolLoad {
 public:
  static constexpr size_t kConnections = 18;
  // Statements without an answer for this long count as unserved.
  static constexpr Duration kResponseTimeout = std::chrono::milliseconds(150);

  struct Done {
    std::string text;
    Duration latency{0};
  };

  PoolLoad(SlottedServer::Options options, size_t proxies, bool paces)
      : server(timers, std::move(options)) {
    server.started = timers.now();
    BackendPool::Options pool_options;
    pool_options.max_connections = [](const auto&) { return kConnections; };
    pool_options.limits_load = paces;
    for (size_t index = 0; index < proxies; ++index)
      m_pools.push_back(
          std::make_unique<BackendPool>(timers, server.Opener(), pool_options));
  }
  ~PoolLoad() { timers.Clear(); }

  // Lets all pools open their connections.
  void OpenAll() {
    for (const auto& pool : m_pools)
      OpenAll(*pool);
    server.longest_queue = 0;
    server.ran = 0;
  }

  // Also promotes the instance, for which requests have queued.
  void Promote() {
    OpenAll();
    server.started = timers.now();
    m_promoted = true;
  }

  void Request(const std::string& text,
               uint64_t priority = 0,
               Duration wait = std::chrono::seconds(10)) {
    Request(text, StatementRequest{.priority = priority, .wait = wait});
  }
  void Request(const std::string& text, StatementRequest request) {
    BackendPool& pool = *m_pools[m_next++ % m_pools.size()];
    request.as_primary = m_promoted;
    pool.AcquireFor(request, server.server,
                    [this, &pool, text, from = timers.now()](auto connection) {
                      if (!connection)
                        return Unserved(connection.error(),
                                        timers.now() - from);
                      Send(pool, std::move(connection.value()), text, from);
                    });
  }

  // As Request, for requests that come within a short time, as the retries of
  // those that found no instance do.
  void Burst(size_t count, const std::string& text, uint64_t priority = 0) {
    for (size_t index = 0; index < count; ++index) {
      Request(text, priority);
      timers.Advance(std::chrono::microseconds(100));
    }
  }

  Duration Longest(const std::string& text) const {
    Duration longest{0};
    for (const Done& item : done) {
      if (item.text == text)
        longest = std::max(longest, item.latency);
    }
    return longest;
  }

  VirtualTimers timers;
  SlottedServer server;
  std::vector<Done> done;
  size_t unserved = 0;
  // Of these, those that were refused at once, with the reason, and how long
  // the others waited in vain.
  std::vector<std::string> refused;
  Duration waited_in_vain{0};

 private:
  void Unserved(const Error& error, Duration waited) {
    ++unserved;
    waited_in_vain += waited;
    if (error.step == BackendPool::kRefusedStep)
      refused.push_back(error.message);
  }

  void OpenAll(BackendPool& pool) {
    std::vector<BackendPool::ConnectionPtr> lent;
    for (size_t count = 0; count < kConnections; ++count) {
      pool.AcquireFor({.wait = std::chrono::seconds(1)}, server.server,
                      [&lent](auto connection) {
                        lent.push_back(std::move(connection.value()));
                      });
      timers.Advance(std::chrono::milliseconds(50));
    }
    for (auto& connection : lent)
      pool.Release(std::move(connection));
  }

  void Send(BackendPool& pool,
            BackendPool::ConnectionPtr lent,
            const std::string& text,
            TimePoint from) {
    const auto connection =
        std::make_shared<BackendPool::ConnectionPtr>(std::move(lent));
    const TimePoint sent_at = timers.now();
    pool.Sent(**connection);
    const auto timer =
        timers.After(kResponseTimeout, [this, &pool, connection, sent_at] {
          pool.Unanswered(**connection, sent_at);
          ++unserved;
        });
    (*connection)
        ->session->Send(
            {{.kind = BackendCommand::Kind::kForward, .text = text}},
            [this, &pool, connection, text, from, sent_at,
             timer](const auto& replies) {
              const bool late = timers.now() - sent_at >= kResponseTimeout;
              timers.Cancel(timer);
              const bool ran = replies.value().back().code == ReplyCode::kDone;
              if (!late) {
                pool.Answered(
                    **connection,
                    {.database = text,
                     .sent_at = sent_at,
                     .outcome = ran ? AnsweredBatch::Outcome::kRan
                                    : AnsweredBatch::Outcome::kNoRoom});
                if (ran)
                  done.push_back({text, timers.now() - from});
                else
                  ++unserved;
              }
              pool.Release(std::move(*connection));
              pool.ServeWaiting(server.server.id);
            });
  }

  std::vector<std::unique_ptr<BackendPool>> m_pools;
  size_t m_next = 0;
  bool m_promoted = false;
};

}  // namespace jackdawturn::gateway
