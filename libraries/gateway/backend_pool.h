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

// A connection to an instance, lent to one request or transaction at a time.
struct PooledConnection {
  // The pool that the connection is returned to.
  BackendPool* pool = nullptr;
  // The instance, and the customer for whom the connection was opened.
  BackendServer server;
  std::unique_ptr<BackendSession> session;
  AppliedSessionState state;
  TimePoint opened_at;
  TimePoint idle_since;
};

// This proxy's connections to all instances, and the requests that are queued
// for one. A connection serves the requests of the customer for whom it was
// opened. When the limit is reached, the least recently used connection of
// another customer makes room. Load pattern: many customers with little traffic
// each, one customer that keeps all connections busy. Thread safety: not
// thread-safe.
class BackendPool {
 public:
  using ConnectionPtr = std::unique_ptr<PooledConnection>;
  using OnAcquired = std::function<void(Result<ConnectionPtr>)>;

  struct Options {
    Duration open_timeout = std::chrono::milliseconds(400);
    // Delay before an instance that refused a connection or did not respond is
    // retried.
    Duration unreachable_retry_delay = std::chrono::milliseconds(150);
    // Delay before an instance that had no free slot is retried.
    Duration full_retry_delay = std::chrono::milliseconds(40);
    Duration idle_time = std::chrono::milliseconds(300);
    // As idle_time, for the connections of a customer to an instance of which
    // keep_one_idle holds: opening one again would take one of the instance's
    // slots.
    Duration customer_idle_time = std::chrono::seconds(20);
    // The connection is closed when a rollback is not answered in this time.
    Duration rollback_timeout = std::chrono::milliseconds(500);
    // Limit of concurrent opens per instance: a connection that is being opened
    // already occupies one of the instance's slots.
    size_t concurrent_opens = 2;
    // Returns the limit of connections to the instance, 0 for no limit. Null:
    // no limit for any instance.
    std::function<size_t(const BackendServer&)> max_connections;
    // Called when a connection could not be opened; errors: as Acquire. May
    // be null.
    std::function<void(const BackendServer&, const Error&)> on_open_failed;
    // Returns whether one idle connection to the instance is kept beyond
    // idle_time; null: always.
    std::function<bool(const BackendServer&)> keep_one_idle;
  };

  BackendPool(Timers& timers, OpenBackendSession open, Options options);
  ~BackendPool();
  BackendPool(const BackendPool&) = delete;
  BackendPool& operator=(const BackendPool&) = delete;

  // Passes a connection of any customer to `on_acquired`, for commands of the
  // proxy itself. Waits up to `wait` for one; requests with a lower `priority`
  // are served first. Errors: kExhausted (none became free in time),
  // kUnavailable and kTimeout (the instance is unreachable), kNotFound (another
  // instance is at its address).
  void Acquire(const BackendServer& server,
               uint64_t priority,
               Duration wait,
               OnAcquired on_acquired);
  // As Acquire, for statements of a customer, on a connection that was opened
  // for it. An empty name stands for clients without a customer.
  void AcquireFor(const CustomerName& customer,
                  const BackendServer& server,
                  uint64_t priority,
                  Duration wait,
                  OnAcquired on_acquired);

  // Opens a connection to find out whether the instance responds, and adds it
  // to the pool if the pool has the instance already. Errors: as Acquire.
  void Probe(const BackendServer& server,
             Duration timeout,
             std::function<void(Result<void>)> on_end);

  // Returns the connection to the pool. Precondition: it has no transaction and
  // no batch in progress.
  void Release(ConnectionPtr connection);
  // Returns the connection to the pool after rolling back its transaction, if
  // any. Precondition: no batch is in progress.
  void RollBackAndRelease(ConnectionPtr connection, TransactionState state);
  // As RollBackAndRelease, on the pool that the connection belongs to.
  static void RollBackToPool(ConnectionPtr connection, TransactionState state);
  // Closes a connection whose state is unknown.
  void Discard(ConnectionPtr connection);

  // Closes the idle connections to an instance that was removed and fails the
  // requests that wait for one.
  void Forget(const InstanceName& id);
  // Closes connections that were idle for longer than idle_time, and drops the
  // state of instances without connections.
  void CloseIdle();

  size_t Outstanding(const InstanceName& id) const;
  // Returns whether a connection of the customer is idle. True for the empty
  // name, whose connections need not be told apart.
  bool HasIdle(const InstanceName& id, const CustomerName& customer) const;
  // Returns whether the instance was unreachable within the last
  // unreachable_retry_delay.
  bool Unreachable(const InstanceName& id) const;
  size_t connections() const;

 private:
  struct Waiter {
    uint64_t number = 0;
    // Nothing: a connection of any customer will do.
    std::optional<CustomerName> customer;
    uint64_t priority = 0;
    TimePoint since;
    OnAcquired on_acquired;
    Timers::TimerId timer = 0;

    bool Accepts(const CustomerName& opened_for) const {
      return !customer || *customer == opened_for;
    }
  };

  struct InstanceConnections {
    BackendServer server;
    // Ordered by last use, the most recent one last.
    std::vector<ConnectionPtr> idle;
    // Ordered by priority, then by age.
    std::list<Waiter> waiters;
    size_t in_use = 0;
    size_t opening = 0;
    // Connections that are in use, and that are being opened, by customer.
    std::map<CustomerName, size_t> in_use_for;
    std::map<CustomerName, size_t> opening_for;
    std::optional<TimePoint> full_until;
    std::optional<TimePoint> unreachable_until;
    // Why it was unreachable.
    ErrorCode unreachable_code = ErrorCode::kUnavailable;
    bool retry_scheduled = false;

    size_t total() const { return idle.size() + in_use + opening; }
  };

  InstanceConnections& FindOrAddInstance(const BackendServer& server);
  void AcquireOrWait(const BackendServer& server,
                     std::optional<CustomerName> customer,
                     uint64_t priority,
                     Duration wait,
                     OnAcquired on_acquired);
  void Enqueue(InstanceConnections& instance,
               std::optional<CustomerName> customer,
               uint64_t priority,
               Duration wait,
               OnAcquired on_acquired);
  void TimeOutWaiter(const InstanceName& id, uint64_t number);
  void OpenMore(InstanceConnections& instance);
  void Open(InstanceConnections& instance, const CustomerName& customer);
  // Returns the next waiter for which no connection is being opened, or null.
  // Among waiters of equal priority, that of the customer with the fewest
  // connections in use comes first.
  const Waiter* NextWithoutConnection(
      const InstanceConnections& instance) const;
  bool HasRoom(const InstanceConnections& instance) const;
  // Returns whether one more connection may be opened, after closing an idle
  // one if the limit is reached.
  bool MakeRoom(InstanceConnections& instance) const;
  // Returns whether the connection should be closed instead of serving another
  // request of its customer, because another customer has waited for too long.
  bool MustYield(const InstanceConnections& instance,
                 const CustomerName& customer) const;
  void OnOpened(const InstanceName& id,
                const CustomerName& customer,
                Result<std::unique_ptr<BackendSession>> session);
  void AddOpened(InstanceConnections& instance,
                 const CustomerName& customer,
                 std::unique_ptr<BackendSession> session);
  void RetryWhenNotFull(InstanceConnections& instance);
  // Gives the connection to a waiter, or keeps it as an idle one.
  void Offer(InstanceConnections& instance, ConnectionPtr connection);
  void Lend(InstanceConnections& instance,
            ConnectionPtr connection,
            const OnAcquired& on_acquired);
  // Counts a connection that was lent as returned.
  static void Returned(InstanceConnections& instance,
                       const PooledConnection& connection);
  void FailWaiters(InstanceConnections& instance, const Error& error);
  // Returns the open idle connection of the customer that was opened first, or
  // null. An old connection shows that the instance has not restarted since, so
  // it must not be the one that idles until it is closed.
  ConnectionPtr TakeIdle(InstanceConnections& instance,
                         const std::optional<CustomerName>& customer);
  Duration IdleTime(const PooledConnection& connection, bool kept) const;

  Timers& m_timers;
  const OpenBackendSession m_open;
  const Options m_options;
  std::map<InstanceName, InstanceConnections> m_instances;
  // Shared with callbacks that may outlive the pool; null once it is destroyed.
  std::shared_ptr<BackendPool*> m_self;
  uint64_t m_next_waiter = 1;
};

}  // namespace jackdawturn::gateway
