#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "failover/failover.h"
#include "ports/ports.h"
#include "proxy/relay_host.h"
#include "runtime/runtime.h"
#include "standin_servers/standin_servers.h"
#include "targets/targets.h"

namespace jackdawturn {

// Two proxies of one zone on loopback, of which one holds the only group, with
// stand-ins for the platform and three instances. Thread safety: not
// thread-safe.
class RelayWorld {
 public:
  static constexpr Duration kTimeout = std::chrono::seconds(20);

  // Both proxies write their log to the descriptor.
  explicit RelayWorld(const RingSettings& rings = {},
                      std::optional<int> log_descriptor = std::nullopt)
      : m_rings(rings), m_log_descriptor(log_descriptor) {
    const auto started = Start();
    VERIFY(started.has_value());
    VERIFY(Settle());
  }
  ~RelayWorld() {
    m_proxies.clear();
    m_context.stop();
    m_thread.join();
  }
  RelayWorld(const RelayWorld&) = delete;
  RelayWorld& operator=(const RelayWorld&) = delete;

  ProxyProcess& holder() { return *m_proxies[m_holder]; }
  ProxyProcess& other() { return *m_proxies[1 - m_holder]; }
  VmName holder_name() const { return VmOf(m_holder); }

  static CallerRequest Request(CallerOperation operation) {
    CallerRequest request;
    request.operation = operation;
    request.group = GroupName("g1");
    request.class_name =
        ClassName(operation == CallerOperation::kRead ? "views" : "counts");
    request.deadline = kTimeout;
    return request;
  }

  // Returns a write with an id of its own for each number.
  static CallerRequest Write(uint64_t number,
                             const std::string& statement = "add k 1") {
    CallerRequest write = Request(CallerOperation::kWrite);
    write.request = MakeRequestId(WallTime(std::chrono::hours(490'000)),
                                  Hash64("write", number));
    write.statement = statement;
    return write;
  }

  static Result<CallerAnswer> Ask(const ProxyProcess& proxy,
                                  const CallerRequest& request) {
    TRY(const auto response,
        SendAndWait(proxy.callers(), "POST", TargetOf(request.operation),
                    EncodeRequest(request), "", kTimeout));
    return DecodeAnswer(response);
  }

 private:
  static VmName VmOf(size_t index) {
    return VmName("entry-" + std::to_string(index + 1));
  }

  Result<void> Start() {
    const Endpoint any{"127.0.0.1", 0};
    PlatformServerOptions platform;
    platform.listen = any;
    TRY(m_platform, PlatformServer::Create(m_context, platform));
    std::map<InstanceName, Endpoint> addresses;
    GroupRecord record;
    proxy::ServedGroup group{GroupName("g1"), {}};
    for (const char* name : {"i1", "i2", "i3"}) {
      InstanceServerOptions server;
      server.name = InstanceName(name);
      server.listen = any;
      server.initial_primary = InstanceName("i1");
      server.open_time = std::chrono::milliseconds(1);
      server.statement_time = std::chrono::microseconds(100);
      TRY(auto instance, InstanceServer::Create(m_context, server));
      addresses[server.name] = instance->endpoint();
      record.instances.push_back(server.name);
      group.instances.push_back({server.name, ZoneName("zone-a")});
      m_instances.push_back(std::move(instance));
    }
    for (const auto& instance : m_instances)
      instance->SetPeers(addresses);
    record.group = group.name;
    record.term = Term{1};
    record.primary = InstanceName("i1");
    record.history = {{Term{1}, LogPosition{1}}};
    TRY(m_platform->store().Update(failover::GroupRecordKey(group.name),
                                   ObjectVersion(),
                                   failover::GroupRecordToJson(record)));
    targets::StoredTargets stored;
    stored.classes[ClassName("counts")] = {std::nullopt, kTimeout, false};
    stored.classes[ClassName("views")] = {std::chrono::seconds(5), kTimeout,
                                          true};
    stored.changes = {targets::ChangeId("initial")};
    TRY(m_platform->store().Update("targets", ObjectVersion(),
                                   targets::SerializeStoredTargets(stored)));
    m_thread = std::thread([this] {
      const auto work = boost::asio::make_work_guard(m_context);
      m_context.run();
    });
    std::vector<fleet::NodeInfo> peers;
    for (size_t index = 0; index < 2; ++index) {
      ProxyProcessOptions options;
      options.callers = options.operators = options.gossip = options.relay =
          any;
      options.platform = m_platform->endpoint();
      options.instances = addresses;
      options.operator_keys = {"operator-key-for-tests-0123456789"};
      options.caller_limits.requests_per_second = 0;
      options.log_descriptor = m_log_descriptor;
      options.rings = m_rings;
      options.proxy.vm = VmOf(index);
      options.proxy.zone = options.proxy.routing.zone = ZoneName("zone-a");
      options.proxy.groups = {group};
      options.proxy.peers = peers;
      options.proxy.fleet_keys = {"fleet-key-for-tests-0123456789abcd"};
      options.proxy.token_keys.secrets = {
          {0, "token-key-for-tests-0123456789abcd"}};
      options.proxy.seed = index + 1;
      options.proxy.holders_per_zone = 1;
      TRY(auto process, ProxyProcess::Create(std::move(options)));
      peers.push_back({VmOf(index), ZoneName("zone-a"),
                       fleet::PeerAddress(process->gossip().ToString())});
      m_proxies.push_back(std::move(process));
    }
    m_holder =
        fleet::HoldersOf(group.name, {VmOf(0), VmOf(1)}, 1).front() == VmOf(0)
            ? 0
            : 1;
    return Success();
  }

  // Waits until a transaction that is begun at the other proxy is held by the
  // holder, so that both know their places.
  bool Settle() {
    constexpr int kTries = 6'000;
    for (int tries = 0; tries < kTries; ++tries) {
      const auto begun = Ask(other(), Request(CallerOperation::kBegin));
      if (begun && begun.value().outcome == CallerOutcome::kDone) {
        CallerRequest rollback = Request(CallerOperation::kRollback);
        rollback.transaction = begun.value().transaction;
        (void)Ask(other(), rollback);
        if (proxy::HolderOf(rollback.transaction) == holder_name())
          return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
  }

  const RingSettings m_rings;
  const std::optional<int> m_log_descriptor;
  boost::asio::io_context m_context;
  std::unique_ptr<PlatformServer> m_platform;
  std::vector<std::unique_ptr<InstanceServer>> m_instances;
  std::thread m_thread;
  std::vector<std::unique_ptr<ProxyProcess>> m_proxies;
  size_t m_holder = 0;
};

}  // namespace jackdawturn
