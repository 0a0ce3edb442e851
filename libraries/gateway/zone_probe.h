#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <random>

#include "gateway/gateway_context.h"

namespace jackdawturn::gateway {

// Finds out whether this proxy's zone is cut off from the others by opening
// connections to proxies there, once something hints at it. Load pattern: a
// zone is cut off, and most of its proxies relay their statements and see no
// instance themselves. Thread safety: not thread-safe.
class ZoneProbe {
 public:
  // A cut zone is asked for this often whether it is connected again.
  static constexpr Duration kInterval = std::chrono::milliseconds(500);
  static constexpr Duration kTimeout = std::chrono::milliseconds(300);

  // `context` outlives this.
  ZoneProbe(GatewayContext& context, uint64_t seed);
  ~ZoneProbe();
  ZoneProbe(const ZoneProbe&) = delete;
  ZoneProbe& operator=(const ZoneProbe&) = delete;

  // To be called regularly; sends probes when they are due.
  void Tick();
  bool isolated() const { return m_isolated; }

 private:
  // Probes that were sent together.
  struct Round {
    size_t awaited = 0;
    bool reached = false;
  };

  void Send();
  void Ended(Round& round, bool reached);

  GatewayContext& m_context;
  std::mt19937_64 m_random;
  // Hooks that outlive this object find it gone.
  std::shared_ptr<ZoneProbe*> m_self;
  std::optional<TimePoint> m_last;
  bool m_isolated = false;
};

}  // namespace jackdawturn::gateway
