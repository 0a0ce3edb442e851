#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <variant>

#include <boost/asio/io_context.hpp>

#include "core/core.h"
#include "http/http.h"
#include "ports/backend_messages.h"

namespace jackdawturn {

// A counted connection of this proxy; the decisions choose the number.
using BackendConnectionId = Counter<struct BackendConnectionIdTag>;

// What the decisions ask of the backend servers.

struct OpenBackend {
  BackendConnectionId connection;
  InstanceName instance;
  Duration timeout{0};
};
struct CloseBackend {
  BackendConnectionId connection;
};
// Calls on one connection run in order, one at a time.
struct CallBackend {
  uint64_t call = 0;
  InstanceName instance;
  // Set exactly when UsesConnection(request), or for a report that tests the
  // connection.
  std::optional<BackendConnectionId> connection;
  BackendRequest request;
  Duration timeout{0};
  // Only without a connection: opens a new transport connection for this call
  // and closes it afterwards.
  bool fresh = false;
};
using BackendCommand = std::variant<OpenBackend, CloseBackend, CallBackend>;

// What happens at the backend servers.

// Errors: kExhausted (connection limit), kUnavailable, kTimeout.
struct BackendOpened {
  BackendConnectionId connection;
  InstanceName instance;
  Result<void> result;
};
// An open connection broke. A call in progress on it is answered first.
struct BackendLost {
  BackendConnectionId connection;
  InstanceName instance;
};
// Each call is answered exactly once. Error kTimeout: the work may have been
// done; any error but kTimeout and kInternal: it was not done. The step
// kConnectStep says that no transport connection could be opened.
struct BackendAnswered {
  uint64_t call = 0;
  InstanceName instance;
  Result<BackendResponse> result;
};
inline constexpr std::string_view kConnectStep = "http.connect";
using BackendEvent = std::variant<BackendOpened, BackendLost, BackendAnswered>;

// The port to the backend servers. Thread safety: Send and the hook run on one
// thread, which the adapter's creator chooses.
class BackendPort {
 public:
  using OnEvent = std::function<void(BackendEvent)>;

  virtual ~BackendPort() = default;
  virtual void Send(BackendCommand command) = 0;
};

// The adapter for instances that speak HTTP and JSON. `addresses` maps every
// instance to where it listens. All events come on the thread of `context`.
std::unique_ptr<BackendPort> CreateHttpBackendPort(
    boost::asio::io_context& context,
    std::map<InstanceName, Endpoint> addresses,
    BackendPort::OnEvent on_event);

}  // namespace jackdawturn
