#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "core/core.h"
#include "port_fakes/fake_instance.h"
#include "ports/backend_port.h"

namespace jackdawturn {

class FakeBackendPort;

// The instances and the ports to them, shared by the parts of FakeBackend.
struct FakeBackendWorld : std::enable_shared_from_this<FakeBackendWorld> {
  FakeAfter after;
  Duration replication_lag{0};
  std::map<InstanceName, std::unique_ptr<FakeInstance>> instances;
  std::vector<FakeBackendPort*> ports;

  FakeInstance* Find(const InstanceName& name);
  // Precondition: the instance exists.
  FakeInstance& Get(const InstanceName& name);
  // Runs `task` later unless the world ended.
  void After(Duration delay, std::function<void()> task);
  // Copies the present logs of all primaries to their replicas after the lag.
  void Replicate();
};

// The port of one proxy. Thread safety: as BackendPort.
class FakeBackendPort : public BackendPort {
 public:
  FakeBackendPort(std::shared_ptr<FakeBackendWorld> world, OnEvent on_event);
  ~FakeBackendPort() override;

  void Send(BackendCommand command) override;
  // The instance crashed: what is in progress may have run, what waits did not.
  void Lose(const InstanceName& instance);

 private:
  struct Waiting {
    uint64_t number = 0;
    CallBackend call;
  };
  struct Connection {
    InstanceName instance;
    // Empty while it is being opened.
    std::optional<ConnectionId> server = {};
    bool busy = true;
    std::deque<Waiting> waiting = {};
  };

  void After(Duration delay, std::function<void()> task);
  Duration Latency(const InstanceName& instance);
  void Open(const OpenBackend& open);
  void FinishOpen(BackendConnectionId id,
                  const InstanceName& instance,
                  const Result<ConnectionId>& opened);
  void CloseAtServer(const Connection& connection);
  void RefuseWaiting(const Connection& connection);
  void Close(BackendConnectionId id);
  void Break(BackendConnectionId id);
  void Call(CallBackend call);
  void SendNext(BackendConnectionId id);
  void Depart(uint64_t number,
              CallBackend call,
              std::optional<ConnectionId> server_connection);
  void TimeOut(uint64_t number);
  void Finish(uint64_t number, Result<BackendResponse> result);

  std::shared_ptr<FakeBackendWorld> m_world;
  OnEvent m_on_event;
  std::map<BackendConnectionId, Connection> m_connections;
  // Calls that were sent and are not answered yet, by number.
  std::map<uint64_t, CallBackend> m_flights;
  uint64_t m_last_flight = 0;
  std::shared_ptr<bool> m_life = std::make_shared<bool>(true);
};

}  // namespace jackdawturn
