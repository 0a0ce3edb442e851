#pragma once

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <tuple>
#include <vector>

#include "gateway/backend_session.h"
#include "gateway/queue_rate.h"
#include "gateway/server_pace.h"
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
  // A statement is in progress or about to be sent, and counts for the pace of
  // the instance.
  bool in_progress = false;
};

// A request of a customer for a connection to an instance.
struct StatementRequest {
  // An empty name stands for clients without a customer.
  CustomerName customer;
  // Requests with a lower priority are served first.
  uint64_t priority = 0;
  // How long the request may wait.
  Duration wait{0};
  // If it is sent later, it misses its latency target; it then waits behind
  // those of its priority that can still meet theirs.
  TimePoint send_by = TimePoint::max();
  // The instance is asked as the primary of its group.
  bool as_primary = false;
};

// Why an instance receives only as many statements as it is seen to bear.
enum class PaceReason { kStarted, kRecovered, kPromoted, kSilent };

// Returns the name used in logs. Thread-safe.
std::string_view ToString(PaceReason reason);

// This proxy's connections to all instances, and the requests that are queued
// for one. A connection serves the requests of the customer for whom it was
// opened. When the limit is reached, the least recently used connection of
// another customer makes room. The requests for an instance that has just
// started, recovered or been promoted wait until ServerPace allows them. Load
// patterns: many customers with little traffic each, one customer that keeps
// all connections busy; the queue for an instance that was down. Thread safety:
// not thread-safe.
class BackendPool {
 public:
  using ConnectionPtr = std::unique_ptr<PooledConnection>;
  using OnAcquired = std::function<void(Result<ConnectionPtr>)>;

  static constexpr const char* kRefusedStep = "pool.refused";

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
    // For the times at which refused clients retry.
    uint64_t seed = 0;
    // Whether ServerPace limits the statements at instances that start or
    // recover, and requests that would not be served in time are refused.
    bool limits_load = true;
    // Called when the pace of an instance begins to be limited, with the
    // reason, and when it is no longer limited, with nothing. May be null.
    std::function<void(const BackendServer&, std::optional<PaceReason>)>
        on_pace_change;
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
  // As Acquire, for a statement of a customer, on a connection that was opened
  // for it. The request also waits until the pace of the instance allows it.
  // Error kExhausted at the step kRefusedStep: it would not be served within
  // its wait, and is refused at once; the message tells the client when to
  // retry.
  void AcquireFor(const StatementRequest& request,
                  const BackendServer& server,
                  OnAcquired on_acquired);

  // Records that a batch of a customer's statement is sent on the connection.
  // Precondition: the connection is lent.
  void Sent(PooledConnection& connection);
  // Records the answer to it. After the next batch was sent on the connection
  // or it was returned, ServeWaiting() must be called.
  void Answered(PooledConnection& connection, const AnsweredBatch& batch);
  // Records that no answer has come to it in time.
  void Unanswered(PooledConnection& connection, TimePoint sent_at);
  // Serves the requests that the pace of the instance allows by now.
  void ServeWaiting(const InstanceName& id);
  // Called when an instance was added or has restarted.
  void Started(const BackendServer& server);

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
  // Returns whether the pace of the instance allows no further statement now.
  bool HeldBack(const InstanceName& id) const;
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
    TimePoint send_by = TimePoint::max();
    OnAcquired on_acquired;
    Timers::TimerId timer = 0;

    // Returns for whom a connection is opened.
    const CustomerName& owner() const {
      static const CustomerName proxy_itself;
      return customer ? *customer : proxy_itself;
    }
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
    // Their number by customer, to find out quickly that none accepts a
    // connection.
    std::map<CustomerName, size_t> waiting_for;
    size_t in_use = 0;
    size_t opening = 0;
    // Connections that are in use, and that are being opened, by customer.
    std::map<CustomerName, size_t> in_use_for;
    std::map<CustomerName, size_t> opening_for;
    std::optional<TimePoint> full_until;
    std::optional<TimePoint> unreachable_until;
    // Why it was unreachable.
    ErrorCode unreachable_code = ErrorCode::kUnavailable;
    // Whether it was last asked as primary.
    std::optional<bool> as_primary;
    ServerPace pace;
    // Connections with PooledConnection::in_progress.
    size_t in_progress = 0;
    // Requests may wait beside idle connections, because of the pace.
    bool may_hold_back = false;
    QueueRate queue_rate;
    bool retry_scheduled = false;

    size_t total() const { return idle.size() + in_use + opening; }
  };

  InstanceConnections& FindOrAddInstance(const BackendServer& server);
  void AcquireOrWait(InstanceConnections& instance,
                     Waiter waiter,
                     Duration wait);
  void Enqueue(InstanceConnections& instance, Waiter waiter, Duration wait);
  void TimeOutWaiter(const InstanceName& id, uint64_t number);
  // Returns whether the pace of the instance allows the waiter's statement.
  // Commands of the proxy itself are always allowed.
  static bool PaceAllows(const InstanceConnections& instance,
                         const Waiter& waiter);
  void BeginPace(InstanceConnections& instance, PaceReason reason);
  void EndPace(InstanceConnections& instance);
  static void EndProgress(InstanceConnections& instance,
                          PooledConnection& connection);
  // Serves waiters by idle connections, if the pace held them back, and opens
  // connections for the others.
  void Serve(InstanceConnections& instance);
  // Lends an idle connection to the first waiter that may be served by one.
  // Returns whether there was one.
  bool LendIdle(InstanceConnections& instance);
  // Returns whether an idle connection would serve the waiter.
  static bool AcceptsIdle(const InstanceConnections& instance,
                          const Waiter& waiter);
  void OpenMore(InstanceConnections& instance);
  void Open(InstanceConnections& instance, const CustomerName& customer);
  // The priority, whether the latency target is missed, and the customer's
  // connections in use. Lower is served first.
  using Rank = std::tuple<uint64_t, bool, size_t>;
  Rank RankOf(const InstanceConnections& instance, const Waiter& waiter) const;
  // Returns the waiter that is served first of those for which `eligible`
  // holds, or the end: by priority, then those that can still meet their
  // latency target, then those of the customer with the fewest connections in
  // use, then by age.
  std::list<Waiter>::iterator FirstOf(
      InstanceConnections& instance,
      const std::function<bool(const Waiter&)>& eligible) const;
  // Returns the first waiter that may be served and for which no connection is
  // being opened, or null.
  const Waiter* NextWithoutConnection(InstanceConnections& instance) const;
  // Returns the error for a request that would not be served within `wait`, or
  // nothing.
  std::optional<Error> RefusalFor(const InstanceConnections& instance,
                                  const Waiter& waiter,
                                  Duration wait);
  // Returns whether a waiter accepts a connection of the customer.
  static bool AnyAccepts(const InstanceConnections& instance,
                         const CustomerName& customer);
  // Removes a waiter from the queue.
  void Erase(InstanceConnections& instance, std::list<Waiter>::iterator waiter);
  bool HasRoom(const InstanceConnections& instance) const;
  // Returns whether one more connection may be opened, after closing an idle
  // one if the limit is reached.
  bool MakeRoom(InstanceConnections& instance) const;
  // Returns whether the connection should be closed instead of serving another
  // request of its customer, because another customer has waited for too long.
  bool MustYield(InstanceConnections& instance,
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
            bool for_statement,
            const OnAcquired& on_acquired);
  // As Lend, to a waiter that is queued.
  void LendTo(InstanceConnections& instance,
              std::list<Waiter>::iterator waiter,
              ConnectionPtr connection);
  // Counts a connection that was lent as returned.
  static void Returned(InstanceConnections& instance,
                       PooledConnection& connection);
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
  std::mt19937_64 m_random;
};

}  // namespace jackdawturn::gateway
