#include "port_fakes/fake_backend.h"

#include <utility>

#include "port_fakes/fake_backend_port.h"

namespace jackdawturn {

FakeInstance* FakeBackendWorld::Find(const InstanceName& name) {
  const auto found = instances.find(name);
  return found == instances.end() ? nullptr : found->second.get();
}
FakeInstance& FakeBackendWorld::Get(const InstanceName& name) {
  FakeInstance* instance = Find(name);
  VERIFY(instance != nullptr);
  return *instance;
}
void FakeBackendWorld::After(Duration delay, std::function<void()> task) {
  after(delay, [world = weak_from_this(), task = std::move(task)] {
    if (const auto alive = world.lock())
      task();
  });
}

void FakeBackendWorld::Replicate() {
  for (const auto& [name, replica] : instances) {
    FakeInstance* primary = Find(replica->database().following());
    if (primary == nullptr)
      continue;
    const LogPosition up_to = primary->database().Report().position;
    After(replication_lag, [replica = replica.get(), primary, up_to] {
      const bool reachable = replica->up() && !replica->silent() &&
                             primary->up() && !primary->silent();
      if (reachable &&
          replica->database().ReplicateFrom(primary->database(), up_to))
        replica->LogChanged();
    });
  }
}

FakeBackend::FakeBackend(FakeAfter after, Duration replication_lag)
    : m_world(std::make_shared<FakeBackendWorld>()) {
  m_world->after = std::move(after);
  m_world->replication_lag = replication_lag;
}

void FakeBackend::AddInstance(FakeInstanceOptions options) {
  const InstanceName name = options.instance.name;
  VERIFY(m_world->Find(name) == nullptr);
  FakeBackendWorld* world = m_world.get();
  m_world->instances[name] = std::make_unique<FakeInstance>(
      std::move(options), m_world->after, [world] { world->Replicate(); });
  m_world->Replicate();
}

DatabaseInstance& FakeBackend::database(const InstanceName& name) {
  return m_world->Get(name).database();
}

std::unique_ptr<BackendPort> FakeBackend::CreatePort(
    BackendPort::OnEvent on_event) {
  return std::make_unique<FakeBackendPort>(m_world, std::move(on_event));
}

void FakeBackend::SetSilent(const InstanceName& name, bool silent) {
  m_world->Get(name).SetSilent(silent);
  m_world->Replicate();
}

void FakeBackend::SilenceOpenConnections(const InstanceName& name) {
  m_world->Get(name).SilenceOpenConnections();
}

void FakeBackend::Crash(const InstanceName& name) {
  m_world->Get(name).Crash();
  const auto ports = m_world->ports;
  for (FakeBackendPort* port : ports)
    port->Lose(name);
}

void FakeBackend::Restart(const InstanceName& name) {
  m_world->Get(name).Restart();
  m_world->Replicate();
}

}  // namespace jackdawturn
