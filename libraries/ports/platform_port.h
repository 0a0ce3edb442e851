#pragma once

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "core/core.h"
#include "ports/platform_messages.h"

namespace jackdawturn {

struct CallPlatform {
  uint64_t call = 0;
  PlatformRequest request;
  // Includes the wait of a watch.
  Duration timeout{0};
};

// Each call is answered exactly once. Error kTimeout: an update may have taken
// effect.
struct PlatformAnswered {
  uint64_t call = 0;
  Result<PlatformResponse> result;
};

// The port to the platform. Thread safety: Send and the hook run on one thread,
// which the adapter's creator chooses.
class PlatformPort {
 public:
  using OnEvent = std::function<void(PlatformAnswered)>;

  virtual ~PlatformPort() = default;
  virtual void Send(CallPlatform call) = 0;
};

// The adapter for the platform's HTTP API. All events come on the thread of
// `context`.
std::unique_ptr<PlatformPort> CreateHttpPlatformPort(
    boost::asio::io_context& context,
    const Endpoint& endpoint,
    PlatformPort::OnEvent on_event);

}  // namespace jackdawturn
