#pragma once

#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include "core/core.h"
#include "failover/failover.h"
#include "http/http.h"
#include "standin_servers/standin_servers.h"
#include "support/child_process.h"
#include "support/source_paths.h"
#include "targets/targets.h"

namespace jackdawturn {

// An event loop with a thread of its own.
class LoopThread {
 public:
  LoopThread() : m_work(m_context.get_executor()) {}
  ~LoopThread() { Stop(); }

  boost::asio::io_context& context() { return m_context; }
  void Start() {
    m_thread = std::thread([this] { m_context.run(); });
  }
  void Stop() {
    m_context.stop();
    if (m_thread.joinable())
      m_thread.join();
  }

 private:
  boost::asio::io_context m_context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      m_work;
  std::thread m_thread;
};

struct ProxyRigOptions {
  // Proxies of the example deployment, from the first one.
  size_t proxies = 1;
  // Raises the limits of callers and instances, which would otherwise bound
  // the number of requests; without it the settings are those of the example.
  bool raised_limits = false;
  Duration statement_time{0};
};

inline std::string ReadWholeFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return std::move(text).str();
}

// The stand-ins of the example deployment ferreira in this process, with a
// thread for each zone, and proxies as child processes whose settings differ
// from the example in the addresses.
class ProxyRig {
 public:
  explicit ProxyRig(ProxyRigOptions options) : m_options(options) {
    char folder[] = "/tmp/jackdawturn_bench_XXXXXX";
    VERIFY(mkdtemp(folder) != nullptr);
    m_folder = folder;
    for (const char* name : {"a1", "b1", "c1"})
      m_settings.push_back(Example("entry-" + std::string(name) + ".json"));
    StartStandins();
    for (size_t index = 0; index < m_settings.size(); ++index)
      Rewrite(index);
  }

  ~ProxyRig() {
    m_proxies.clear();
    for (const auto& loop : m_loops)
      loop->Stop();
    for (const std::string& file : m_files)
      std::remove(file.c_str());
    rmdir(m_folder.c_str());
  }
  ProxyRig(const ProxyRig&) = delete;
  ProxyRig& operator=(const ProxyRig&) = delete;

  // Starts the proxies; returns the time from the start of the last one until
  // it was ready.
  Duration StartProxies() {
    Duration time{0};
    for (size_t index = 0; index < m_options.proxies; ++index)
      time = StartProxy(index);
    return time;
  }

  const ChildProcess& proxy(size_t index) const { return *m_proxies[index]; }
  // The instances of all groups.
  std::vector<Endpoint> instances() const {
    std::vector<Endpoint> endpoints;
    for (const auto& [name, endpoint] : m_addresses)
      endpoints.push_back(endpoint);
    return endpoints;
  }
  const std::vector<GroupName>& groups() const { return m_groups; }

 private:
  using Object = boost::json::object;

  static Object Example(const std::string& file) {
    return boost::json::parse(
               ReadWholeFile(SourcePath("examples/ferreira/" + file)))
        .as_object();
  }

  static Object Address(const Endpoint& endpoint) {
    return {{"ip", endpoint.address}, {"port", endpoint.port}};
  }

  void StartStandins() {
    constexpr size_t kZones = 3;
    constexpr size_t kRaisedLimit = 64;
    for (size_t zone = 0; zone <= kZones; ++zone)
      m_loops.push_back(std::make_unique<LoopThread>());
    PlatformServerOptions platform;
    platform.listen = {"127.0.0.1", 0};
    m_platform =
        PlatformServer::Create(m_loops[kZones]->context(), platform).value();
    for (auto& group_value : m_settings.front()["groups"].as_array()) {
      Object& group = group_value.as_object();
      GroupRecord record;
      record.group = GroupName(std::string(group["name"].as_string()));
      record.term = Term{1};
      record.history = {{Term{1}, LogPosition{1}}};
      std::map<InstanceName, Endpoint> addresses;
      std::vector<InstanceServer*> servers;
      size_t zone = 0;
      for (auto& instance_value : group["instances"].as_array()) {
        Object& instance = instance_value.as_object();
        InstanceServerOptions server;
        server.name = InstanceName(std::string(instance["name"].as_string()));
        server.listen = {"127.0.0.1", 0};
        server.statement_time = m_options.statement_time;
        if (m_options.raised_limits)
          server.slots = server.connection_limit = kRaisedLimit;
        if (record.instances.empty())
          record.primary = server.name;
        record.instances.push_back(server.name);
        server.initial_primary = record.primary;
        m_instances.push_back(
            InstanceServer::Create(m_loops[zone++]->context(), server).value());
        servers.push_back(m_instances.back().get());
        addresses[server.name] = servers.back()->endpoint();
      }
      for (InstanceServer* server : servers)
        server->SetPeers(addresses);
      m_groups.push_back(record.group);
      m_addresses.insert(addresses.begin(), addresses.end());
      VERIFY(m_platform->store()
                 .Update(failover::GroupRecordKey(record.group),
                         ObjectVersion(), failover::GroupRecordToJson(record))
                 .has_value());
    }
    targets::StoredTargets stored;
    stored.classes =
        targets::ParseTargets(
            ReadWholeFile(SourcePath("examples/ferreira/targets.json")))
            .classes;
    stored.changes = {targets::ChangeId("initial")};
    VERIFY(m_platform->store()
               .Update("targets", ObjectVersion(),
                       targets::SerializeStoredTargets(stored))
               .has_value());
    for (const auto& loop : m_loops)
      loop->Start();
    for (size_t index = 0; index < m_settings.size(); ++index) {
      m_relays.push_back(FreeEndpoint());
      m_operators.push_back(FreeEndpoint());
      m_callers.push_back(FreeEndpoint());
    }
  }

  void Rewrite(size_t index) {
    Object& settings = m_settings[index];
    settings["listen"] = Object{{"callers", Address(m_callers[index])},
                                {"operators", Address(m_operators[index])},
                                {"relay", Address(m_relays[index])},
                                {"gossip", Address(m_relays[index])}};
    settings["platform"] = Address(m_platform->endpoint());
    size_t peer = 0;
    for (auto& value : settings["peers"].as_array()) {
      if (peer == index)
        ++peer;
      value.as_object()["relay"] = Address(m_relays[peer]);
      value.as_object()["gossip"] = Address(m_relays[peer++]);
    }
    constexpr size_t kRaisedLimit = 64;
    for (auto& group : settings["groups"].as_array()) {
      for (auto& value : group.as_object()["instances"].as_array()) {
        Object& instance = value.as_object();
        instance["address"] = Address(m_addresses.at(
            InstanceName(std::string(instance["name"].as_string()))));
        if (m_options.raised_limits)
          instance["slots"] = instance["connection_limit"] = kRaisedLimit;
      }
    }
    constexpr size_t kNoLimit = 1'000'000;
    if (m_options.raised_limits) {
      Object& limits = settings["limits"].as_object();
      limits["requests_per_second_per_address"] = kNoLimit;
      limits["request_burst_per_address"] = kNoLimit;
    }
    m_files.push_back(m_folder + "/" + std::to_string(index) + ".json");
    std::ofstream(m_files.back()) << boost::json::serialize(settings);
  }

  Duration StartProxy(size_t index) {
    constexpr Duration kPause = std::chrono::milliseconds(2);
    constexpr Duration kTimeout = std::chrono::seconds(30);
    const TimePoint start = MonotonicClock::now();
    m_proxies.push_back(
        ChildProcess::Create(BinaryPath(),
                             {"serve", "--settings", m_files[index]})
            .value());
    while (MonotonicClock::now() < start + kTimeout) {
      const auto answer =
          SendAndWait(m_operators[index], "GET", "/readyz", "", "", kTimeout);
      if (answer && answer.value().status == kHttpOk)
        break;
      std::this_thread::sleep_for(kPause);
    }
    return MonotonicClock::now() - start;
  }

  ProxyRigOptions m_options;
  std::string m_folder;
  std::vector<Object> m_settings;
  std::vector<std::string> m_files;
  std::vector<std::unique_ptr<LoopThread>> m_loops;
  std::unique_ptr<PlatformServer> m_platform;
  std::vector<std::unique_ptr<InstanceServer>> m_instances;
  std::map<InstanceName, Endpoint> m_addresses;
  std::vector<GroupName> m_groups;
  std::vector<Endpoint> m_relays;
  std::vector<Endpoint> m_operators;
  std::vector<Endpoint> m_callers;
  std::vector<std::unique_ptr<ChildProcess>> m_proxies;
};

}  // namespace jackdawturn
