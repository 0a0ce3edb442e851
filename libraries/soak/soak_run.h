#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "core/core.h"
#include "soak/caller.h"
#include "soak/checker.h"
#include "soak/schedule.h"

namespace jackdawturn::soak {

// The groups of instances that a soak has.
inline constexpr size_t kGroups = 2;

struct SoakOptions {
  uint64_t seed = 1;
  // How long faults are caused.
  std::chrono::seconds time{20};
  size_t gateways = 3;
  // The binary of the gateways, and a folder for their settings and logs.
  std::string binary;
  std::string folder;
  // Hears of the schedule and of what happens, line by line.
  std::function<void(const std::string& line)> on_event;
};

struct SoakReport {
  std::optional<Violation> violation;
  Tally tally;
  std::map<std::string, uint64_t> faults;
  uint64_t commits = 0;
  uint64_t rolled_back = 0;
  uint64_t promotions = 0;
  uint64_t promotion_calls = 0;
  uint64_t store_calls = 0;
  uint64_t statements_at_instances = 0;
  // Gateways that did not end within the time after SIGTERM.
  uint64_t killed_after_grace = 0;
};

// Starts gateways, causes the faults of the seed and checks the rules until one
// is broken or the time is over. Every gateway has ended when it returns.
// Errors: kUnavailable, kInternal (something could not be started). Thread
// safety: call it on the main thread, which the gateways must not outlive.
Result<SoakReport> RunSoak(const SoakOptions& options);

}  // namespace jackdawturn::soak
