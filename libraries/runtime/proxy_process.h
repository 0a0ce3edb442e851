#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http/http.h"
#include "proxy/proxy.h"
#include "settings/settings.h"

namespace jackdawturn {

struct ProxyProcessOptions {
  proxy::ProxyOptions proxy;
  Endpoint callers;
  Endpoint operators;
  Endpoint gossip;
  // Other proxies expect the relay at the IP number and port of the gossip,
  // over TCP. With the port 0 it gets the port of the gossip.
  Endpoint relay;
  // Largest frame between relays, and the time after which a silent connection
  // of theirs is closed.
  size_t relay_frame_bytes = 2UL * 1'048'576;
  Duration relay_silence = std::chrono::milliseconds(500);
  Endpoint platform;
  std::map<InstanceName, Endpoint> instances;
  std::vector<std::string> operator_keys;
  HttpServerLimits caller_limits;
  HttpServerLimits operator_limits;
  RingSettings rings;
  size_t timeline_events = 16'384;
  // Where the events of the time line are written; nothing is when empty. The
  // descriptor stays open as long as the process runs.
  std::optional<int> log_descriptor;
};

// Converts checked settings. `seed` must differ between proxies and between the
// lives of one proxy. Errors: kInvalidArgument. Thread-safe.
Result<ProxyProcessOptions> OptionsFrom(const Settings& settings,
                                        uint64_t seed);

// Reads that were answered, by the role of the instance that served them.
struct ReadCounts {
  uint64_t replica = 0;
  uint64_t primary = 0;
};

// A proxy with a thread for each duty: callers, backend servers, platform,
// peers, relay, operators, decisions and events, joined by bounded rings. When
// the ring to the decisions is more than half full, callers are refused as
// overloaded, which leaves room for the answers to work in progress. A command
// that finds the ring from the decisions full fails at once, as a call that
// was not sent. Thread safety: all methods from one thread.
class ProxyProcess {
 public:
  // Starts all threads. Errors: kInvalidArgument, kUnavailable (an address is
  // in use).
  static Result<std::unique_ptr<ProxyProcess>> Create(
      ProxyProcessOptions options);
  virtual ~ProxyProcess() = default;

  virtual Endpoint callers() const = 0;
  virtual Endpoint operators() const = 0;
  virtual Endpoint gossip() const = 0;
  virtual Endpoint relay() const = 0;
  virtual bool ready() const = 0;
  virtual ReadCounts reads() const = 0;
  // The events that the ring of the time line holds.
  virtual std::vector<TimelineEvent> timeline() const = 0;
  // Sets what runs, on another thread, when a graceful shutdown has ended,
  // whoever started it. An empty hook removes it. Thread-safe.
  virtual void OnExit(std::function<void(int code)> hook) = 0;
  // Starts a graceful shutdown. Thread-safe.
  virtual void Drain() = 0;
  // Ends all threads; requests in progress are cut.
  virtual void Stop() = 0;
};

}  // namespace jackdawturn
