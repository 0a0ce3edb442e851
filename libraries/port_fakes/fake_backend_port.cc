#include "port_fakes/fake_backend_port.h"

#include <algorithm>
#include <utility>

namespace jackdawturn {

namespace {

Error Make(ErrorCode code,
           std::string_view step,
           const InstanceName& instance,
           const char* message) {
  return {code, std::string(step), instance.value(), message};
}
Error Closed(const InstanceName& instance) {
  return Make(ErrorCode::kUnavailable, "backend.call", instance,
              "connection is closed");
}
Error Lost(const InstanceName& instance) {
  return Make(ErrorCode::kTimeout, "backend.call", instance,
              "no answer before the connection closed");
}

}  // namespace

FakeBackendPort::FakeBackendPort(std::shared_ptr<FakeBackendWorld> world,
                                 OnEvent on_event)
    : m_world(std::move(world)), m_on_event(std::move(on_event)) {
  m_world->ports.push_back(this);
}

FakeBackendPort::~FakeBackendPort() {
  std::erase(m_world->ports, this);
  for (const auto& [id, connection] : m_connections)
    CloseAtServer(connection);
}

void FakeBackendPort::Send(BackendCommand command) {
  if (auto* open = std::get_if<OpenBackend>(&command))
    Open(*open);
  else if (auto* close = std::get_if<CloseBackend>(&command))
    Close(close->connection);
  else
    Call(std::get<CallBackend>(std::move(command)));
}

// The instance crashed: what is in progress may have run, what waits did not.
void FakeBackendPort::Lose(const InstanceName& instance) {
  std::vector<uint64_t> in_progress;
  for (const auto& [number, call] : m_flights) {
    if (call.instance == instance)
      in_progress.push_back(number);
  }
  for (const uint64_t number : in_progress)
    Finish(number, Lost(instance));
  std::vector<BackendConnectionId> lost;
  for (const auto& [id, connection] : m_connections) {
    if (connection.instance == instance)
      lost.push_back(id);
  }
  for (const BackendConnectionId id : lost) {
    FinishOpen(id, instance, Lost(instance));
    Break(id);
  }
}

// Runs `task` later unless the port was destroyed.
void FakeBackendPort::After(Duration delay, std::function<void()> task) {
  m_world->After(delay,
                 [life = std::weak_ptr<bool>(m_life), task = std::move(task)] {
                   if (!life.expired())
                     task();
                 });
}
Duration FakeBackendPort::Latency(const InstanceName& instance) {
  return m_world->Get(instance).options().latency;
}

void FakeBackendPort::Open(const OpenBackend& open) {
  if (m_world->Find(open.instance) == nullptr)
    return m_on_event(
        BackendOpened{open.connection, open.instance,
                      Make(ErrorCode::kUnavailable, "backend.open",
                           open.instance, "no address is known")});
  m_connections[open.connection] = {open.instance};
  After(open.timeout, [this, open] {
    FinishOpen(open.connection, open.instance,
               Make(ErrorCode::kTimeout, "backend.open", open.instance,
                    "no answer in time"));
  });
  const Duration latency = Latency(open.instance);
  After(latency, [this, open, latency] {
    FakeInstance& server = m_world->Get(open.instance);
    if (!server.up()) {
      return After(latency, [this, open] {
        FinishOpen(open.connection, open.instance,
                   Make(ErrorCode::kUnavailable, kConnectStep, open.instance,
                        "connection refused"));
      });
    }
    server.Open([this, life = std::weak_ptr<bool>(m_life), open, latency,
                 server = &server](const Result<ConnectionId>& opened) {
      if (life.expired()) {
        if (opened)
          server->database().Close(opened.value());
        return;
      }
      After(latency, [this, open, opened] {
        FinishOpen(open.connection, open.instance, opened);
      });
    });
  });
}

void FakeBackendPort::FinishOpen(BackendConnectionId id,
                                 const InstanceName& instance,
                                 const Result<ConnectionId>& opened) {
  const auto found = m_connections.find(id);
  if (found == m_connections.end() || found->second.server) {
    // It was closed or timed out while it was being opened.
    if (opened && found == m_connections.end())
      m_world->Get(instance).database().Close(opened.value());
    return;
  }
  if (!opened) {
    const Connection failed = std::move(found->second);
    m_connections.erase(found);
    RefuseWaiting(failed);
    return m_on_event(BackendOpened{id, instance, opened.error()});
  }
  found->second.server = opened.value();
  found->second.busy = false;
  m_on_event(BackendOpened{id, instance, Success()});
  SendNext(id);
}

void FakeBackendPort::CloseAtServer(const Connection& connection) {
  if (!connection.server)
    return;
  m_world->After(
      Latency(connection.instance),
      [world = m_world.get(), instance = connection.instance,
       id = *connection.server] { world->Get(instance).database().Close(id); });
}
void FakeBackendPort::RefuseWaiting(const Connection& connection) {
  for (const Waiting& waiting : connection.waiting)
    m_on_event(BackendAnswered{waiting.call.call, waiting.call.instance,
                               Closed(waiting.call.instance)});
}

void FakeBackendPort::Close(BackendConnectionId id) {
  const auto found = m_connections.find(id);
  if (found == m_connections.end())
    return;
  const Connection closed = std::move(found->second);
  m_connections.erase(found);
  CloseAtServer(closed);
  std::vector<uint64_t> in_progress;
  for (const auto& [number, call] : m_flights) {
    if (call.connection == id)
      in_progress.push_back(number);
  }
  RefuseWaiting(closed);
  for (const uint64_t number : in_progress)
    Finish(number, Lost(closed.instance));
}

// Ends a connection that is open for the port's owner.
void FakeBackendPort::Break(BackendConnectionId id) {
  const auto found = m_connections.find(id);
  if (found == m_connections.end() || !found->second.server)
    return;  // An open that failed is reported as such.
  const InstanceName instance = found->second.instance;
  Close(id);
  m_on_event(BackendLost{id, instance});
}

void FakeBackendPort::Call(CallBackend call) {
  const auto refuse = [&](const Error& error) {
    m_on_event(BackendAnswered{call.call, call.instance, error});
  };
  if (m_world->Find(call.instance) == nullptr)
    return refuse(Make(ErrorCode::kUnavailable, "backend.call", call.instance,
                       "no address is known"));
  const uint64_t number = ++m_last_flight;
  const Duration timeout = call.timeout;
  if (!call.connection) {
    Depart(number, std::move(call), std::nullopt);
  } else {
    const auto found = m_connections.find(*call.connection);
    if (found == m_connections.end())
      return refuse(Closed(call.instance));
    const BackendConnectionId id = *call.connection;
    found->second.waiting.push_back({number, std::move(call)});
    SendNext(id);
  }
  After(timeout, [this, number] { TimeOut(number); });
}

void FakeBackendPort::SendNext(BackendConnectionId id) {
  const auto found = m_connections.find(id);
  if (found == m_connections.end() || found->second.busy ||
      found->second.waiting.empty())
    return;
  found->second.busy = true;
  Waiting next = std::move(found->second.waiting.front());
  found->second.waiting.pop_front();
  Depart(next.number, std::move(next.call), found->second.server);
}

void FakeBackendPort::Depart(uint64_t number,
                             CallBackend call,
                             std::optional<ConnectionId> server_connection) {
  const InstanceName name = call.instance;
  const BackendRequest request = call.request;
  m_flights[number] = std::move(call);
  const Duration latency = Latency(name);
  After(latency, [this, number, name, request, server_connection, latency] {
    FakeInstance& server = m_world->Get(name);
    if (!server.up()) {
      return After(latency, [this, number, name] {
        Finish(number, Make(ErrorCode::kUnavailable, kConnectStep, name,
                            "connection refused"));
      });
    }
    server.Handle(server_connection, request,
                  [this, life = std::weak_ptr<bool>(m_life), number,
                   latency](const Result<BackendResponse>& result) {
                    if (!life.expired())
                      After(latency,
                            [this, number, result] { Finish(number, result); });
                  });
  });
}

void FakeBackendPort::TimeOut(uint64_t number) {
  const auto flight = m_flights.find(number);
  if (flight != m_flights.end()) {
    const auto connection = flight->second.connection;
    Finish(number, Make(ErrorCode::kTimeout, "backend.call",
                        flight->second.instance, "no answer in time"));
    // The state of the connection is unknown.
    if (connection)
      Break(*connection);
    return;
  }
  for (auto& [id, connection] : m_connections) {
    const auto late = std::find_if(
        connection.waiting.begin(), connection.waiting.end(),
        [number](const Waiting& item) { return item.number == number; });
    if (late == connection.waiting.end())
      continue;
    const CallBackend call = std::move(late->call);
    connection.waiting.erase(late);
    return m_on_event(
        BackendAnswered{call.call, call.instance,
                        Make(ErrorCode::kUnavailable, "backend.call",
                             call.instance, "not sent before its timeout")});
  }
}

void FakeBackendPort::Finish(uint64_t number, Result<BackendResponse> result) {
  const auto found = m_flights.find(number);
  if (found == m_flights.end())
    return;  // It timed out or its connection was closed.
  const CallBackend call = std::move(found->second);
  m_flights.erase(found);
  const auto connection = call.connection ? m_connections.find(*call.connection)
                                          : m_connections.end();
  const bool answered = result || result.error().code != ErrorCode::kTimeout;
  if (connection != m_connections.end())
    connection->second.busy = !answered;
  m_on_event(BackendAnswered{call.call, call.instance, std::move(result)});
  if (call.connection)
    SendNext(*call.connection);
}

}  // namespace jackdawturn
