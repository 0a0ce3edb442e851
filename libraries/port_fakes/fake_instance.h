#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "core/core.h"
#include "ports/backend_messages.h"
#include "standins/standins.h"

namespace jackdawturn {

// Runs `task` after `delay` on the clock of the test bench. Tasks of the same
// time must run in the order in which they were added.
using FakeAfter =
    std::function<void(Duration delay, std::function<void()> task)>;

struct FakeInstanceOptions {
  InstanceOptions instance;
  // Statements that run at a time; further ones wait in order of arrival.
  size_t slots = 2;
  // Of a message between a proxy and the instance, one way.
  Duration latency = std::chrono::microseconds(500);
  // Time to open a counted connection, and to run a statement.
  Duration open_time = std::chrono::milliseconds(10);
  Duration statement_time = std::chrono::microseconds(500);
  // The instance starts in term 1, as primary or following this instance.
  InstanceName initial_primary;
};

// A DatabaseInstance with slots and waits, as FakeBackend drives it. Thread
// safety: not thread-safe.
class FakeInstance {
 public:
  using Respond = std::function<void(Result<BackendResponse>)>;

  // `on_log_change` runs after every change of the log.
  FakeInstance(FakeInstanceOptions options,
               FakeAfter after,
               std::function<void()> on_log_change);

  const FakeInstanceOptions& options() const { return m_options; }
  DatabaseInstance& database() { return m_database; }
  bool up() const { return m_up; }
  bool silent() const { return m_silent; }

  void SetSilent(bool silent) { m_silent = silent; }
  // Calls on connections that are open now get no answer.
  void SilenceOpenConnections() { m_silenced_up_to = m_newest; }
  // Nothing is answered until Restart; the log stays.
  void Crash();
  void Restart() { m_up = true; }

  // Opens a counted connection. `respond` is not called while the instance is
  // silent.
  void Open(const std::function<void(Result<ConnectionId>)>& respond);
  // Runs a call other than open; `connection` is set for a call that came on a
  // counted connection. `respond` is not called when the instance or the
  // connection is silent.
  void Handle(std::optional<ConnectionId> connection,
              const BackendRequest& request,
              const Respond& respond);
  // Answers the calls that wait for the present position.
  void LogChanged();

 private:
  struct Waiting {
    ConnectionId connection;
    BackendRequest request;
    Respond respond;
  };
  struct PositionWaiter {
    LogPosition position;
    std::function<void()> answer;
  };

  bool Answers(std::optional<ConnectionId> connection) const;
  void RunNextStatement();
  Result<BackendResponse> Run(ConnectionId connection,
                              const BackendRequest& request);
  void After(Duration delay, std::function<void()> task);

  const FakeInstanceOptions m_options;
  FakeAfter m_after;
  std::function<void()> m_on_log_change;
  DatabaseInstance m_database;
  bool m_up = true;
  bool m_silent = false;
  ConnectionId m_newest;
  ConnectionId m_silenced_up_to;
  std::deque<Waiting> m_waiting;
  size_t m_running = 0;
  std::map<uint64_t, PositionWaiter> m_position_waiters;
  uint64_t m_last_waiter = 0;
  // Replaced by a crash, so that tasks from before it do nothing.
  std::shared_ptr<bool> m_life = std::make_shared<bool>(true);
};

}  // namespace jackdawturn
