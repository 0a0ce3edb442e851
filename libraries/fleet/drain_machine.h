#pragma once

#include <string>
#include <variant>
#include <vector>

#include "core/core.h"

namespace jackdawturn::fleet {

// SIGTERM or the command `drain` was received. Idempotent.
struct DrainRequested {
  std::string reason;
};

// Requests and transactions in progress on this proxy; must be fed after every
// change while draining.
struct WorkChanged {
  size_t requests = 0;
  size_t transactions = 0;
};

// Connections to backend servers that this proxy still holds.
struct ConnectionCountChanged {
  size_t connections = 0;
};

using DrainEvent =
    std::variant<DrainRequested, WorkChanged, ConnectionCountChanged>;

// /readyz answers 503 from now on, so the load balancer stops routing to this
// proxy. Requests that still arrive are served.
struct StopBeingReady {};
// New transactions are relayed to other holders, or refused as not_run when no
// other holder is known.
struct RefuseTransactions {};
// Feeds AnnounceLeaving to the membership, which starts the handover of shares.
struct PublishLeaving {};
// Closes the listening sockets; requests in progress continue.
struct StopAccepting {};
// `work_limit` expired: remaining transactions are rolled back and their
// callers notified; requests in progress are answered with their actual
// outcome.
struct EndRemainingWork {};
// Closes each connection as soon as it is idle.
struct CloseAllConnections {};
// Feeds AnnounceLeft to the membership.
struct PublishLeft {};
struct ExitProcess {
  int code = 0;
};

using DrainEffect = std::variant<StopBeingReady,
                                 RefuseTransactions,
                                 PublishLeaving,
                                 StopAccepting,
                                 EndRemainingWork,
                                 CloseAllConnections,
                                 PublishLeft,
                                 ExitProcess>;

enum class DrainState {
  kServing,
  kNotReady,   // Still accepts what the load balancer sends.
  kFinishing,  // Accepts nothing and waits for work in progress.
  kReleasing,  // Hands over the connection shares.
  kLeaving,    // Waits until the announcement has spread.
  kExited,
};

// Returns the state's name, for example "not_ready".
std::string_view ToString(DrainState state);

struct DrainOptions {
  // Time allowed for the load balancer to detect that this proxy is not ready.
  Duration readiness_time = std::chrono::milliseconds(2'000);
  // Timeout for work in progress. It must not be below the transaction timeout,
  // so that only work that exceeds its own timeout is terminated.
  Duration work_limit = std::chrono::milliseconds(30'000);
  // Timeout for the connections to close.
  Duration release_limit = std::chrono::milliseconds(2'000);
  // Time allowed for sending the final announcement.
  Duration leave_time = std::chrono::milliseconds(200);
};

// Runs the graceful shutdown of a proxy.
// Thread safety: not thread-safe; owned by the decision thread.
class DrainMachine {
 public:
  explicit DrainMachine(DrainOptions options) : m_options(options) {}

  std::vector<DrainEffect> Handle(const DrainEvent& event, TimePoint now);
  std::vector<DrainEffect> OnTime(TimePoint now);
  // Returns TimePoint::max() when no timer is set.
  TimePoint NextWakeup() const;

  DrainState state() const { return m_state; }
  const std::string& reason() const { return m_reason; }

 private:
  using Effects = std::vector<DrainEffect>;

  void Advance(TimePoint now, Effects& effects);
  void Enter(DrainState state, Duration limit, TimePoint now);

  DrainOptions m_options;
  DrainState m_state = DrainState::kServing;
  std::string m_reason;
  size_t m_work = 0;
  size_t m_connections = 0;
  bool m_work_ended = false;
  TimePoint m_deadline = TimePoint::max();
};

}  // namespace jackdawturn::fleet
