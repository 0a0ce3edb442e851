#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "gateway/gateway.h"
#include "soak/caller.h"
#include "soak/checker.h"
#include "soak/gateway_process.h"
#include "soak/schedule.h"

namespace jackdawturn::soak {

struct GatewayFleetOptions {
  size_t gateways = 1;
  uint64_t seed = 0;
  std::string binary;
  std::string folder;
  // Where each gateway finds the platform.
  std::vector<Endpoint> platform;
  std::vector<Database> databases;
};

struct GatewayFleetHooks {
  // A read or commit through a gateway was done that began at `began`.
  std::function<void(size_t gateway,
                     const Database& database,
                     bool writes,
                     TimePoint began)>
      on_served;
  std::function<void(const std::string& text)> log;
};

// Gateway processes, their faults and their callers. All processes have ended
// when it is destroyed. Thread safety: all methods run on the thread of the
// io_context.
class GatewayFleet {
 public:
  // The references must outlive the run of the io_context.
  GatewayFleet(boost::asio::io_context& context,
               gateway::Timers& timers,
               Checker& checker,
               Tally& tally,
               GatewayFleetOptions options,
               GatewayFleetHooks hooks);

  // Starts the gateways and the callers. Errors: kUnavailable, kInternal.
  Result<void> Start();
  // Causes a fault of a gateway.
  void Begin(const Fault& fault);
  // Starts gateways again whose fault is over, and ends those that do not end
  // in time; call it often. Errors: kInternal.
  Result<void> CheckProcesses();
  // Ends all gateways with SIGTERM; none starts again.
  void Terminate();
  // Whether all have ended and their callers have heard of it.
  bool HasEnded() const;

  uint64_t killed_after_grace() const { return m_killed_after_grace; }

 private:
  struct Gateway {
    GatewayPlace place;
    std::unique_ptr<GatewayProcess> process;
    std::vector<std::shared_ptr<Caller>> callers;
    // Since when it drains.
    std::optional<TimePoint> terminated_at;
    // Its end is expected.
    bool killed = false;
    // When it starts again, and when it was found to have ended.
    TimePoint restart_at;
    std::optional<TimePoint> ended_at;
  };

  void AddCallers(size_t index);
  void HandleCut(size_t index, const std::string& request, TimePoint sent);
  Result<void> CheckProcess(Gateway& gateway);
  void TerminateGateway(Gateway& gateway);

  boost::asio::io_context& m_context;
  gateway::Timers& m_timers;
  Checker& m_checker;
  Tally& m_tally;
  const GatewayFleetOptions m_options;
  const GatewayFleetHooks m_hooks;
  std::vector<Gateway> m_gateways;
  bool m_ending = false;
  uint64_t m_killed_after_grace = 0;
};

}  // namespace jackdawturn::soak
