#pragma once

#include <memory>

#include "core/core.h"
#include "port_fakes/fake_instance.h"
#include "ports/platform_port.h"
#include "standins/standins.h"

namespace jackdawturn {

// The platform in memory: every port of CreatePort keeps the contract of
// PlatformPort (tests/ports). Deterministic; all work runs in tasks of `after`.
// Thread safety: not thread-safe; the ports and the tasks run on one thread.
class FakePlatform {
 public:
  // `answer_time`: until a call takes effect, and the same until its answer.
  FakePlatform(FakeAfter after, Duration answer_time);

  // For faults, the VM list and checkers. Use Update of a port to wake watches.
  PlatformStore& store();
  // During an outage calls get no answer.
  void SetAvailable(bool available);

  // The port of one proxy; it can be destroyed at any time.
  std::unique_ptr<PlatformPort> CreatePort(PlatformPort::OnEvent on_event);

 private:
  struct World;
  class Port;

  std::shared_ptr<World> m_world;
};

}  // namespace jackdawturn
