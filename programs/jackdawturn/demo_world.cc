#include "demo_world.h"

#include <unistd.h>

#include <algorithm>
#include <future>
#include <random>
#include <string_view>
#include <thread>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include "failover/failover.h"

namespace jackdawturn {

extern const std::string_view kFerreiraSettings;
extern const std::string_view kFerreiraTargets;
extern const std::string_view kSzamlaloSettings;
extern const std::string_view kSzamlaloTargets;

namespace {

constexpr const char* kLoopback = "127.0.0.1";
// From the table of deployments in docs/design.md, section 1.1.
constexpr Duration kFerreiraOpenTime = std::chrono::milliseconds(10);
constexpr Duration kSzamlaloOpenTime = std::chrono::milliseconds(30);

Endpoint AnyPort() {
  return {kLoopback, 0};
}

}  // namespace

Result<std::unique_ptr<DemoWorld>> DemoWorld::Create(
    const DemoOptions& options) {
  const bool ferreira = options.deployment == "ferreira";
  if (!ferreira && options.deployment != "szamlalo")
    return Failure(ErrorCode::kInvalidArgument, "demo.start", "",
                   "unknown deployment " + options.deployment);
  const SettingsCheck check =
      CheckSettings(ferreira ? kFerreiraSettings : kSzamlaloSettings);
  targets::ParsedTargets parsed =
      targets::ParseTargets(ferreira ? kFerreiraTargets : kSzamlaloTargets);
  VERIFY(check.valid() && parsed.valid());
  std::unique_ptr<DemoWorld> world(new DemoWorld());
  world->m_classes = std::move(parsed.classes);
  if (options.answer_time) {
    for (auto& [name, target] : world->m_classes)
      target.answer_time = *options.answer_time;
  }
  TRY(world->StartStandins(options, check.settings));
  TRY(world->StoreObjects());
  world->m_thread = std::thread([context = &world->m_context] {
    const auto work = boost::asio::make_work_guard(*context);
    context->run();
  });
  TRY(world->StartProxies(options, check.settings));
  return world;
}

DemoWorld::~DemoWorld() {
  m_proxies.clear();
  m_context.stop();
  if (m_thread.joinable())
    m_thread.join();
}

Result<void> DemoWorld::StartStandins(const DemoOptions& options,
                                      const Settings& settings) {
  PlatformServerOptions platform;
  platform.listen = AnyPort();
  TRY(m_platform, PlatformServer::Create(m_context, platform));
  for (const GroupSettings& group_settings : settings.groups) {
    Group& group = m_instances[group_settings.name];
    group.name = group_settings.name;
    m_groups.push_back(group.name);
    for (const InstanceSettings& instance : group_settings.instances) {
      InstanceServerOptions server;
      server.name = instance.name;
      server.listen = AnyPort();
      server.connection_limit = instance.connection_limit;
      server.slots = instance.slots;
      server.open_time = options.deployment == "ferreira" ? kFerreiraOpenTime
                                                          : kSzamlaloOpenTime;
      server.replication_lag = options.replication_lag;
      server.initial_primary = group_settings.instances.front().name;
      TRY(auto created, InstanceServer::Create(m_context, server));
      group.instances.push_back(std::move(created));
    }
    std::map<InstanceName, Endpoint> addresses;
    for (const auto& instance : group.instances)
      addresses[instance->instance().name()] = instance->endpoint();
    for (const auto& instance : group.instances)
      instance->SetPeers(addresses);
  }
  return Success();
}

Result<void> DemoWorld::StoreObjects() {
  for (const auto& [name, group] : m_instances) {
    GroupRecord record;
    record.group = name;
    record.term = Term{1};
    record.primary = group.instances.front()->instance().name();
    record.history = {{Term{1}, LogPosition{1}}};
    for (const auto& instance : group.instances)
      record.instances.push_back(instance->instance().name());
    TRY(m_platform->store().Update(failover::GroupRecordKey(name),
                                   ObjectVersion(),
                                   failover::GroupRecordToJson(record)));
  }
  targets::StoredTargets stored;
  stored.classes = m_classes;
  stored.changes = {targets::ChangeId("initial")};
  TRY(m_platform->store().Update("targets", ObjectVersion(),
                                 targets::SerializeStoredTargets(stored)));
  return Success();
}

Result<void> DemoWorld::StartProxies(const DemoOptions& options,
                                     const Settings& settings) {
  std::random_device device;
  std::vector<fleet::NodeInfo> peers;
  for (size_t index = 0; index < options.proxies; ++index) {
    TRY(auto process, OptionsFrom(settings, device()));
    process.callers = process.operators = AnyPort();
    process.gossip = process.relay = AnyPort();
    process.platform = m_platform->endpoint();
    if (options.log_events)
      process.log_descriptor = STDERR_FILENO;
    process.caller_limits.requests_per_second = 0;
    for (const auto& [name, group] : m_instances) {
      for (const auto& instance : group.instances)
        process.instances[instance->instance().name()] = instance->endpoint();
    }
    process.proxy.vm = VmName("entry-" + std::to_string(index + 1));
    process.proxy.zone = settings.zones[index % settings.zones.size()];
    process.proxy.routing.zone = process.proxy.zone;
    process.proxy.peers = peers;
    TRY(auto proxy, ProxyProcess::Create(process));
    peers.push_back({process.proxy.vm, process.proxy.zone,
                     fleet::PeerAddress(proxy->gossip().ToString())});
    m_proxies.push_back(std::move(proxy));
  }
  return Success();
}

Result<void> DemoWorld::WaitUntilReady(Duration timeout) {
  constexpr Duration kPause = std::chrono::milliseconds(5);
  const TimePoint end = MonotonicClock::now() + timeout;
  const auto ready = [](const auto& proxy) { return proxy->ready(); };
  while (!std::all_of(m_proxies.begin(), m_proxies.end(), ready)) {
    if (MonotonicClock::now() > end)
      return Failure(ErrorCode::kTimeout, "demo.start", "",
                     "not every proxy became ready");
    std::this_thread::sleep_for(kPause);
  }
  return Success();
}

std::vector<Endpoint> DemoWorld::callers() const {
  std::vector<Endpoint> endpoints;
  for (const auto& proxy : m_proxies)
    endpoints.push_back(proxy->callers());
  return endpoints;
}

void DemoWorld::OnStandins(const std::function<void()>& task) {
  std::promise<void> done;
  boost::asio::post(m_context, [&] {
    task();
    done.set_value();
  });
  done.get_future().wait();
}

InstanceServer* DemoWorld::Primary(const GroupName& group) {
  for (const auto& instance : m_instances.at(group).instances) {
    if (instance->instance().Report().primary)
      return instance.get();
  }
  return nullptr;
}

void DemoWorld::CrashPrimary(const GroupName& group) {
  OnStandins([&] {
    if (InstanceServer* primary = Primary(group))
      primary->Crash();
  });
}

void DemoWorld::SilencePrimary(const GroupName& group) {
  OnStandins([&] {
    InstanceFaults faults;
    faults.silence_open_connections = true;
    if (InstanceServer* primary = Primary(group))
      primary->Apply(faults);
  });
}

void DemoWorld::SetPlatformAvailable(bool available) {
  OnStandins([&] { m_platform->SetAvailable(available); });
}

void DemoWorld::KillProxy(size_t index) {
  m_proxies[index]->Stop();
  m_old_timelines.push_back(m_proxies[index]->timeline());
  const ReadCounts counts = m_proxies[index]->reads();
  m_old_reads.replica += counts.replica;
  m_old_reads.primary += counts.primary;
  // Closes its sockets, as the end of a process does.
  m_proxies[index].reset();
}

void DemoWorld::DrainProxy(size_t index) {
  std::promise<void> ended;
  m_proxies[index]->OnExit([&ended](int) { ended.set_value(); });
  m_proxies[index]->Drain();
  ended.get_future().wait();
  m_proxies[index]->OnExit(nullptr);
  KillProxy(index);
}

std::map<std::string, std::string> DemoWorld::DataOf(const GroupName& group) {
  std::map<std::string, std::string> data;
  OnStandins([&] {
    const DatabaseInstance* newest = nullptr;
    const auto order = [](const DatabaseInstance& instance) {
      const InstanceReport report = instance.Report();
      return std::pair(report.log_term, report.position);
    };
    for (const auto& server : m_instances.at(group).instances) {
      const DatabaseInstance& instance = server->instance();
      if (newest == nullptr || order(*newest) < order(instance))
        newest = &instance;
    }
    data = newest->data();
  });
  return data;
}

void DemoWorld::CountReads(uint64_t& replica_reads, uint64_t& reads) const {
  const auto add = [&](const ReadCounts& counts) {
    replica_reads += counts.replica;
    reads += counts.replica + counts.primary;
  };
  add(m_old_reads);
  for (const auto& proxy : m_proxies) {
    if (proxy)
      add(proxy->reads());
  }
}

std::vector<TimelineEvent> DemoWorld::Timeline() const {
  auto timelines = m_old_timelines;
  for (const auto& proxy : m_proxies) {
    if (proxy)
      timelines.push_back(proxy->timeline());
  }
  return MergeTimelines(std::move(timelines));
}

}  // namespace jackdawturn
