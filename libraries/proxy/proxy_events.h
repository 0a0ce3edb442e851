#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "fleet/fleet.h"
#include "observe/observe.h"
#include "ports/ports.h"

namespace jackdawturn::proxy {

// Number of a caller's or operator's request within this process.
using CallerRequestNumber = Counter<struct CallerRequestNumberTag>;
using OperatorRequestNumber = Counter<struct OperatorRequestNumberTag>;

// --- Events -----------------------------------------------------------------

struct CallerRequestReceived {
  CallerRequestNumber call;
  CallerRequest request;
};
// The caller closed its connection before it had the answer.
struct CallerDisconnected {
  CallerRequestNumber call;
};
struct DatagramArrived {
  fleet::PeerAddress from;
  std::string bytes;
};
// Actions that an operator can request; see docs/interfaces.md.
enum class OperatorAction {
  kStatus,
  kGetTargets,
  kSetTargets,
  kRollbackTargets,
  kFailover,
  kDrain,
};
struct OperatorRequestReceived {
  OperatorRequestNumber call;
  OperatorAction action = OperatorAction::kStatus;
  // kFailover.
  GroupName group;
  Term expected_term;
  // Id of a change, by which a repeated request is recognised.
  std::string change;
  // kSetTargets, kRollbackTargets: the version that the change is based on.
  std::optional<ObjectVersion> expected_version;
  // If set, the answer is sent when all reachable proxies use the version, or
  // after this time.
  std::optional<Duration> wait;
  // kSetTargets: the new document.
  std::string document;
};
struct TimePassed {};

using Event = std::variant<CallerRequestReceived,
                           CallerDisconnected,
                           BackendOpened,
                           BackendLost,
                           BackendAnswered,
                           PlatformAnswered,
                           DatagramArrived,
                           RelayArrived,
                           RelayEnded,
                           OperatorRequestReceived,
                           TimePassed>;

// --- Effects ----------------------------------------------------------------

struct AnswerCaller {
  CallerRequestNumber call;
  CallerAnswer answer;
  // For the metrics.
  ClassName class_name;
  Duration latency{0};
  // Role of the instance that served a read.
  std::optional<ReadRole> read_role;
};
struct AnswerOperator {
  OperatorRequestNumber call;
  HttpResponse response;
};
struct SendDatagram {
  fleet::PeerAddress to;
  std::string bytes;
};
// A read of a relayed request was served; the proxy that relayed it counts the
// request itself.
struct CountRead {
  ClassName class_name;
  ReadRole role = ReadRole::kPrimary;
};
struct AppendTimelineEvent {
  TimelineEvent event;
};
// Sets the result of /readyz.
struct SetReady {
  bool ready = false;
};
// From now on each answer to a caller closes its connection, so that those with
// keep-alive connections move to other proxies.
struct CloseAfterAnswers {};
// Closes the listening socket for callers; open connections stay open.
struct StopAccepting {};
struct ExitProcess {
  int code = 0;
};

using Effect = std::variant<AnswerCaller,
                            AnswerOperator,
                            BackendCommand,
                            CallPlatform,
                            SendDatagram,
                            RelayCommand,
                            CountRead,
                            AppendTimelineEvent,
                            SetReady,
                            CloseAfterAnswers,
                            StopAccepting,
                            ExitProcess>;

}  // namespace jackdawturn::proxy
