#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>

#include "port_fakes/port_fakes.h"
#include "ports/ports.h"
#include "standin_servers/standin_servers.h"

#include "support/virtual_network.h"

// Benches that run the same cases against the adapter of a port on loopback and
// against its fake in memory.
namespace jackdawturn {

inline const Endpoint kAnyPort{"127.0.0.1", 0};

// Lets time pass: real time of an event loop or virtual time of a scheduler.
class BenchClock {
 public:
  virtual ~BenchClock() = default;
  // Runs the next thing that happens; false when nothing will.
  virtual bool Step() = 0;
  // Returns false when nothing happens any more and `done` is still false. A
  // hang on the real clock is ended by the test runner.
  bool Until(const std::function<bool()>& done) {
    while (!done()) {
      if (!Step())
        return false;
    }
    return true;
  }
};

class LoopClock : public BenchClock {
 public:
  bool Step() override { return context.run_one() != 0; }
  boost::asio::io_context context;
};

class VirtualClock : public BenchClock {
 public:
  bool Step() override { return scheduler.RunNext(); }
  FakeAfter after() {
    return [this](Duration delay, std::function<void()> task) {
      scheduler.After(delay, std::move(task));
    };
  }
  VirtualScheduler scheduler;
};

// One instance, the primary of term 1, and a port to it.
struct BackendBench {
  virtual ~BackendBench() = default;
  virtual BenchClock& clock() = 0;
  virtual const DatabaseInstance& database() = 0;
  virtual void SetSilent(bool silent) = 0;
  virtual void SilenceOpenConnections() = 0;
  virtual void Crash() = 0;

  std::unique_ptr<BackendPort> port;
  // Everything that the port reported, in order.
  std::deque<BackendEvent> events;
};

struct BackendBenchOptions {
  Duration statement_time{0};
  size_t connection_limit = 2;
};

inline const InstanceName kInstance("a1");
// An instance of the settings whose server is not running.
inline const InstanceName kDownInstance("a2");

struct HttpBackendBench : BackendBench {
  explicit HttpBackendBench(const BackendBenchOptions& options) {
    InstanceServerOptions server_options;
    server_options.name = kInstance;
    server_options.listen = kAnyPort;
    server_options.connection_limit = options.connection_limit;
    server_options.open_time = Duration(0);
    server_options.statement_time = options.statement_time;
    server_options.initial_primary = kInstance;
    server = InstanceServer::Create(loop.context, server_options).value();
    // The port of a server that has ended refuses connections.
    Endpoint down;
    {
      server_options.name = kDownInstance;
      server_options.initial_primary = InstanceName();
      down = InstanceServer::Create(loop.context, server_options)
                 .value()
                 ->endpoint();
    }
    port = CreateHttpBackendPort(
        loop.context, {{kInstance, server->endpoint()}, {kDownInstance, down}},
        [this](BackendEvent event) { events.push_back(std::move(event)); });
  }
  // The port uses the clock, which is destroyed before the base.
  ~HttpBackendBench() override { port.reset(); }
  BenchClock& clock() override { return loop; }
  const DatabaseInstance& database() override { return server->instance(); }
  void SetSilent(bool silent) override { server->Apply({.silent = silent}); }
  void SilenceOpenConnections() override {
    server->Apply({.silence_open_connections = true});
  }
  void Crash() override { server->Crash(); }

  LoopClock loop;
  std::unique_ptr<InstanceServer> server;
};

struct FakeBackendBench : BackendBench {
  explicit FakeBackendBench(const BackendBenchOptions& options)
      : backend(virtual_clock.after(), std::chrono::milliseconds(2)) {
    FakeInstanceOptions instance;
    instance.instance = {kInstance, options.connection_limit};
    instance.open_time = Duration(0);
    instance.statement_time = options.statement_time;
    instance.initial_primary = kInstance;
    backend.AddInstance(instance);
    instance.instance.name = kDownInstance;
    instance.initial_primary = InstanceName();
    backend.AddInstance(instance);
    backend.Crash(kDownInstance);
    port = backend.CreatePort(
        [this](BackendEvent event) { events.push_back(std::move(event)); });
  }
  // The port uses the clock, which is destroyed before the base.
  ~FakeBackendBench() override { port.reset(); }
  BenchClock& clock() override { return virtual_clock; }
  const DatabaseInstance& database() override {
    return backend.database(kInstance);
  }
  void SetSilent(bool silent) override { backend.SetSilent(kInstance, silent); }
  void SilenceOpenConnections() override {
    backend.SilenceOpenConnections(kInstance);
  }
  void Crash() override { backend.Crash(kInstance); }

  VirtualClock virtual_clock;
  FakeBackend backend;
};

// The platform and a port to it.
struct PlatformBench {
  virtual ~PlatformBench() = default;
  virtual BenchClock& clock() = 0;
  virtual PlatformStore& store() = 0;
  virtual void SetAvailable(bool available) = 0;
  // Replaces the port by a new one.
  virtual void Reconnect() = 0;

  std::unique_ptr<PlatformPort> port;
  std::deque<PlatformAnswered> events;
};

struct HttpPlatformBench : PlatformBench {
  HttpPlatformBench()
      : server(PlatformServer::Create(loop.context, {kAnyPort, Duration(0)})
                   .value()) {
    Reconnect();
  }
  // The port uses the clock, which is destroyed before the base.
  ~HttpPlatformBench() override { port.reset(); }
  void Reconnect() override {
    port = CreateHttpPlatformPort(
        loop.context, server->endpoint(),
        [this](PlatformAnswered event) { events.push_back(std::move(event)); });
  }
  BenchClock& clock() override { return loop; }
  PlatformStore& store() override { return server->store(); }
  void SetAvailable(bool available) override {
    server->SetAvailable(available);
  }

  LoopClock loop;
  std::unique_ptr<PlatformServer> server;
};

struct FakePlatformBench : PlatformBench {
  FakePlatformBench()
      : platform(virtual_clock.after(), std::chrono::milliseconds(2)) {
    Reconnect();
  }
  // The port uses the clock, which is destroyed before the base.
  ~FakePlatformBench() override { port.reset(); }
  void Reconnect() override {
    port = platform.CreatePort(
        [this](PlatformAnswered event) { events.push_back(std::move(event)); });
  }
  BenchClock& clock() override { return virtual_clock; }
  PlatformStore& store() override { return platform.store(); }
  void SetAvailable(bool available) override {
    platform.SetAvailable(available);
  }

  VirtualClock virtual_clock;
  FakePlatform platform;
};

}  // namespace jackdawturn
