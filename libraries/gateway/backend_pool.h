#pragma once

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "gateway/backend_session.h"
#include "gateway/session_state.h"
#include "gateway/timers.h"

namespace jackdawturn::gateway {

class BackendPool;

// A connection to an instance while one request or transaction has it.
struct PooledConnection {
  // The pool that it goes back to.
  BackendPool* pool = nullptr;
  BackendServer server;
  std::unique_ptr<BackendSession> session;
  AppliedSessionState state;
  TimePoint idle_since;
};

// The connections of this proxy to all instances, and the requests that wait
// for one. Thread safety: not thread-safe.
class BackendPool {
 public:
  using ConnectionPtr = std::unique_ptr<PooledConnection>;
  using OnAcquired = std::function<void(Result<ConnectionPtr>)>;

  struct Options {
    Duration open_timeout = std::chrono::milliseconds(400);
    // An instance that refused or was silent is not tried again for this time.
    Duration unreachable_retry_delay = std::chrono::milliseconds(150);
    // An instance without a free connection is asked again after this time.
    Duration full_retry_delay = std::chrono::milliseconds(40);
    Duration idle_time = std::chrono::milliseconds(300);
    // A rollback without an answer by then ends with the connection.
    Duration rollback_timeout = std::chrono::milliseconds(500);
    // An opening connection takes one of the instance's slots.
    size_t concurrent_opens = 2;
    // How many connections to the instance there may be; 0: no limit. Null
    // stands for no limit.
    std::function<size_t(const BackendServer&)> max_connections;
    // A connection could not be opened. Errors: as Acquire. May be null.
    std::function<void(const BackendServer&, const Error&)> on_open_failed;
    // Whether one idle connection is kept beyond idle_time; null: always.
    std::function<bool(const BackendServer&)> keep_one_idle;
  };

  BackendPool(Timers& timers, OpenBackendSession open, Options options);
  ~BackendPool();
  BackendPool(const BackendPool&) = delete;
  BackendPool& operator=(const BackendPool&) = delete;

  // Gives a connection to the instance, waiting up to `wait` for one; more
  // important requests (lower `priority`) come first. Errors: kExhausted (none
  // in time), kUnavailable and kTimeout (the instance cannot be reached),
  // kNotFound (another instance is at its address).
  void Acquire(const BackendServer& server,
               uint64_t priority,
               Duration wait,
               OnAcquired on_acquired);

  // Opens a connection, which shows whether the instance answers; it is idle
  // then. Errors: as Acquire.
  void Probe(const BackendServer& server,
             Duration timeout,
             std::function<void(Result<void>)> on_end);

  // Takes the connection back. Precondition: it has no transaction and no batch
  // in progress.
  void Release(ConnectionPtr connection);
  // Takes the connection back; ends its transaction first, if it has one.
  // Precondition: no batch is in progress.
  void RollBackAndRelease(ConnectionPtr connection, TransactionState state);
  // As RollBackAndRelease, for the pool that the connection came from.
  static void RollBackToPool(ConnectionPtr connection, TransactionState state);
  // Closes a connection whose state is not known.
  void Discard(ConnectionPtr connection);

  // Closes the connections of an instance that has left and fails its waiters.
  void Forget(const InstanceName& id);
  // Closes what was idle for too long, and drops what is known of instances
  // without connections.
  void CloseIdle();

  size_t Outstanding(const InstanceName& id) const;
  // The instance failed to open a connection or fell silent lately.
  bool Unreachable(const InstanceName& id) const;
  size_t connections() const;

 private:
  struct Waiter {
    uint64_t number = 0;
    uint64_t priority = 0;
    OnAcquired on_acquired;
    Timers::TimerId timer = 0;
  };

  struct InstanceConnections {
    BackendServer server;
    // The most recently used last.
    std::vector<ConnectionPtr> idle;
    std::list<Waiter> waiters;
    size_t in_use = 0;
    size_t opening = 0;
    std::optional<TimePoint> full_until;
    std::optional<TimePoint> unreachable_until;
    bool retry_planned = false;
  };

  InstanceConnections& FindInstance(const BackendServer& server);
  void Enqueue(InstanceConnections& instance,
               uint64_t priority,
               Duration wait,
               OnAcquired on_acquired);
  void EndWait(const InstanceName& id, uint64_t number);
  void OpenMore(InstanceConnections& instance);
  bool MayOpen(const InstanceConnections& instance) const;
  void Opened(const InstanceName& id,
              Result<std::unique_ptr<BackendSession>> session);
  void AddOpened(InstanceConnections& instance,
                 std::unique_ptr<BackendSession> session);
  void RetryWhenNotFull(InstanceConnections& instance);
  void Offer(InstanceConnections& instance, ConnectionPtr connection);
  void FailWaiters(InstanceConnections& instance, const Error& error);
  // Returns an open idle connection, or nothing.
  ConnectionPtr TakeIdle(InstanceConnections& instance);

  Timers& m_timers;
  const OpenBackendSession m_open;
  const Options m_options;
  std::map<InstanceName, InstanceConnections> m_instances;
  // Hooks that outlive the pool find it gone.
  std::shared_ptr<BackendPool*> m_self;
  uint64_t m_next_waiter = 1;
};

}  // namespace jackdawturn::gateway
