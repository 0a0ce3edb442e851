#pragma once

#include <map>
#include <memory>

#include "core/core.h"
#include "port_fakes/fake_instance.h"
#include "ports/backend_port.h"

namespace jackdawturn {

struct FakeBackendWorld;

// Backend servers in memory: every port of CreatePort keeps the contract of
// BackendPort (tests/ports). Deterministic; all work runs in tasks of `after`.
// Thread safety: not thread-safe; the ports and the tasks run on one thread.
class FakeBackend {
 public:
  // `replication_lag`: how much later a replica has an entry than its primary.
  FakeBackend(FakeAfter after, Duration replication_lag);

  // Precondition: no instance has that name yet.
  void AddInstance(FakeInstanceOptions options);
  // Precondition: the instance was added.
  DatabaseInstance& database(const InstanceName& name);

  // The port of one proxy; it can be destroyed at any time, which closes its
  // connections.
  std::unique_ptr<BackendPort> CreatePort(BackendPort::OnEvent on_event);

  // Faults. Precondition of each: the instance was added.
  // A silent instance answers nothing, as a VM that is cut off.
  void SetSilent(const InstanceName& name, bool silent);
  // Calls on open connections get no answer; new connections work.
  void SilenceOpenConnections(const InstanceName& name);
  // Breaks all connections and refuses new ones until Restart.
  void Crash(const InstanceName& name);
  void Restart(const InstanceName& name);

 private:
  std::shared_ptr<FakeBackendWorld> m_world;
};

}  // namespace jackdawturn
