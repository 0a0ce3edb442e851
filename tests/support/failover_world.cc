#include "support/failover_world.h"

#include <algorithm>
#include <utility>

namespace jackdawturn::failover {

namespace {

constexpr const char* kPlatform = "platform";
constexpr Duration kWithinZone = std::chrono::microseconds(200);
constexpr Duration kPlatformService = std::chrono::microseconds(1'000);
constexpr Duration kWatchDelay = std::chrono::milliseconds(10);

}  // namespace

FailoverWorld::FailoverWorld(WorldOptions options)
    : m_options(std::move(options)),
      m_network(m_scheduler,
                m_options.seed,
                [this](const auto& from, const auto& to, auto& random) {
                  return Latency(from, to, random);
                }) {
  // A virtual clock that starts at 0 hides sums with an unset time.
  m_scheduler.RunUntil(TimePoint(std::chrono::hours(1)));
  AddNode(kPlatform, m_options.zones);
  for (size_t index = 0; index < m_options.proxies; ++index) {
    auto proxy = std::make_unique<Proxy>();
    proxy->name = "p" + std::to_string(index);
    AddNode(proxy->name, index % m_options.zones);
    m_network.SetProcessingTime(proxy->name, m_options.processing_time);
    m_proxies.push_back(std::move(proxy));
  }
  for (size_t group = 0; group < m_options.groups; ++group)
    CreateGroup(group);
  for (const auto& proxy : m_proxies)
    StartProxy(*proxy);
  if (m_options.write_interval > Duration(0))
    Sync();
}

Duration FailoverWorld::Latency(const std::string& from,
                                const std::string& to,
                                std::mt19937_64& random) const {
  const size_t from_zone = m_zones.at(from);
  const size_t to_zone = m_zones.at(to);
  Duration base = from_zone == to_zone ? kWithinZone : m_options.zone_latency;
  if (to == kPlatform || from == kPlatform)
    base += m_platform_delay;
  // Up to a quarter more.
  return base + Duration(static_cast<Duration::rep>(
                    random() % static_cast<uint64_t>(base.count() / 4)));
}

void FailoverWorld::AddNode(const std::string& name, size_t zone) {
  m_zones[name] = zone;
  m_nodes.push_back(name);
}

// The order of candidates follows from the name, so it differs between seeds.
GroupName FailoverWorld::NameOf(size_t group) const {
  return GroupName("g" + std::to_string(group) + '-' +
                   std::to_string(m_options.seed));
}

std::string FailoverWorld::InstanceOf(size_t group, size_t index) const {
  return "g" + std::to_string(group) + "i" + std::to_string(index);
}

void FailoverWorld::CreateGroup(size_t group) {
  GroupRecord record;
  record.group = NameOf(group);
  record.term = Term{1};
  record.attempt = AttemptId("created");
  for (size_t index = 0; index < kInstances; ++index) {
    const std::string name = InstanceOf(group, index);
    AddNode(name, index % m_options.zones);
    m_network.SetProcessingTime(name, m_options.processing_time);
    AddNode(name + ".host", index % m_options.zones);
    Instance& instance =
        m_instances.emplace(name, InstanceName(name)).first->second;
    instance.group = group;
    instance.host = name + ".host";
    record.instances.emplace_back(name);
  }
  record.primary = record.instances[0];
  Instance& primary = m_instances.at(InstanceOf(group, 0));
  VERIFY(primary.database.Fence(Term{1}).has_value());
  VERIFY(primary.database.Promote(Term{1}).has_value());
  m_promoted[{group, Term{1}}].insert(InstanceOf(group, 0));
  for (size_t index = 1; index < kInstances; ++index) {
    DatabaseInstance& replica =
        m_instances.at(InstanceOf(group, index)).database;
    VERIFY(replica.Follow(Term{1}, record.primary).has_value());
    replica.ReplicateFrom(primary.database, LogPosition{1});
  }
  record.history.push_back(TermStart{Term{1}, LogPosition{1}});
  VERIFY(m_platform
             .Update(GroupRecordKey(record.group), ObjectVersion(),
                     GroupRecordToJson(record))
             .has_value());
}

std::vector<FailoverPeer> FailoverWorld::Peers() const {
  std::vector<FailoverPeer> peers;
  for (const auto& proxy : m_proxies)
    peers.push_back(
        FailoverPeer{VmName(proxy->name),
                     ZoneName("z" + std::to_string(m_zones.at(proxy->name)))});
  return peers;
}

void FailoverWorld::StartProxy(Proxy& proxy) {
  ++proxy.lives;
  proxy.holders.clear();
  proxy.holders.resize(m_options.groups);
  for (size_t group = 0; group < m_options.groups; ++group) {
    FailoverSettings settings;
    settings.group = NameOf(group);
    settings.self = VmName(proxy.name);
    settings.zone = ZoneName("z" + std::to_string(m_zones.at(proxy.name)));
    for (size_t index = 0; index < kInstances; ++index)
      settings.instances.emplace_back(InstanceOf(group, index));
    settings.seed = Hash64(proxy.name + settings.group.value(),
                           m_options.seed * 1'000 + proxy.lives);
    settings.times = m_options.times;
    settings.suspicion = m_options.suspicion;
    proxy.holders[group].machine =
        std::make_unique<FailoverMachine>(std::move(settings), now());
    Deliver(proxy, group, failover_event::PeersChanged{Peers()});
    if (m_options.write_interval > Duration(0))
      NextWrite(proxy, group);
  }
}

void FailoverWorld::Deliver(Proxy& proxy,
                            size_t group,
                            const FailoverEvent& event) {
  const auto effects = proxy.holders[group].machine->Handle(event, now());
  for (const FailoverEffect& effect : effects)
    std::visit([&](const auto& typed) { Execute(proxy, group, typed); },
               effect);
  PlanTimer(proxy, group);
}

void FailoverWorld::PlanTimer(Proxy& proxy, size_t group) {
  Holder& holder = proxy.holders[group];
  const TimePoint due = holder.machine->next_wakeup();
  // An earlier timer plans the next one when it fires.
  if (holder.timer && *holder.timer <= due)
    return;
  holder.timer = due;
  m_network.After(proxy.name, due - now(), [this, &proxy, group, due] {
    Holder& fired = proxy.holders[group];
    if (fired.timer != due)
      return;
    fired.timer.reset();
    if (now() >= fired.machine->next_wakeup())
      Deliver(proxy, group, failover_event::TimerFired{});
    else
      PlanTimer(proxy, group);
  });
}

void FailoverWorld::Call(const std::string& from,
                         const std::string& to,
                         bool fresh,
                         Duration timeout,
                         Work work,
                         Reply reply) {
  struct State {
    bool connected = false;
    bool ended = false;
    Reply reply;
    Work work;
  };
  auto state = std::make_shared<State>();
  state->reply = std::move(reply);
  state->work = std::move(work);
  state->connected = !fresh;
  m_network.After(from, timeout, [state] {
    if (!std::exchange(state->ended, true))
      state->reply(state->connected ? CallOutcome::kNoAnswer
                                    : CallOutcome::kConnectTimeout,
                   nullptr);
  });
  const std::string host = to + ".host";
  const auto process = [this, state, from, to] {
    auto report = std::make_shared<Result<InstanceReport>>(
        state->work(m_instances.at(to).database));
    m_network.Send(to, from, [state, report] {
      // An answer after the timeout is passed on, as the port allows it.
      state->ended = true;
      state->reply(CallOutcome::kAnswered, report.get());
    });
  };
  m_network.Send(from, host, [this, state, from, to, host, fresh, process] {
    if (!m_instances.at(to).process_up) {
      m_network.Send(host, from, [state] {
        if (!std::exchange(state->ended, true))
          state->reply(CallOutcome::kRefused, nullptr);
      });
      return;
    }
    if (!fresh) {
      m_network.After(to, Duration(0), process);
      return;
    }
    m_network.Send(host, from, [this, state, from, to, process] {
      state->connected = true;
      m_network.Send(from, to, [this, to, process] {
        m_network.After(to, m_options.open_time, process);
      });
    });
  });
}

void FailoverWorld::CallInstance(Proxy& proxy,
                                 size_t group,
                                 FailoverCallId call,
                                 const std::string& to,
                                 Duration timeout,
                                 Work work) {
  const size_t life = proxy.lives;
  Call(proxy.name, to, false, timeout, std::move(work),
       [this, &proxy, group, call, life](CallOutcome,
                                         const Result<InstanceReport>* report) {
         if (life != proxy.lives)
           return;
         failover_event::InstanceAnswered event{call, {}, ErrorCode::kTimeout};
         if (report != nullptr && report->has_value())
           event.report = report->value();
         else if (report != nullptr)
           event.error = report->error().code;
         Deliver(proxy, group, event);
       });
}

TimePoint FailoverWorld::PlatformTime(bool write) {
  TimePoint& free =
      write ? m_platform_free_for_writes : m_platform_free_for_reads;
  const double rate =
      write ? m_options.platform_writes : m_options.platform_reads;
  free = std::max(free, now());
  const TimePoint served = free + kPlatformService;
  free += Duration(static_cast<Duration::rep>(1'000'000 / rate));
  return served;
}

void FailoverWorld::CallPlatform(
    Proxy& proxy,
    size_t group,
    FailoverCallId call,
    std::optional<std::pair<ObjectVersion, GroupRecord>> update) {
  const size_t life = proxy.lives;
  const auto answer = [this, &proxy, group, call, life](
                          failover_event::PlatformOutcome outcome,
                          std::optional<VersionedRecord> current) {
    m_network.Send(kPlatform, proxy.name, [=, this, &proxy] {
      if (life == proxy.lives)
        Deliver(proxy, group,
                failover_event::PlatformAnswered{call, outcome, current});
    });
  };
  m_network.Send(proxy.name, kPlatform, [=, this] {
    (update ? m_platform_writes : m_platform_reads).push_back(now());
    m_scheduler.At(PlatformTime(update.has_value()), [=, this] {
      const std::string key = GroupRecordKey(NameOf(group));
      using failover_event::PlatformOutcome;
      if (!update) {
        const auto read = m_platform.Read(key);
        if (!read.has_value())
          return;
        const auto record = GroupRecordFromJson(read.value().value);
        VERIFY(record.has_value());
        answer(PlatformOutcome::kDone,
               VersionedRecord{read.value().version, record.value()});
        return;
      }
      ObjectVersion expected = update->first;
      if (m_options.mutant == WorldMutant::kUnconditionalUpdate) {
        const auto read = m_platform.Read(key);
        if (read.has_value())
          expected = read.value().version;
      }
      const auto stored =
          m_platform.Update(key, expected, GroupRecordToJson(update->second));
      if (stored.has_value()) {
        const VersionedRecord current{stored.value().version, update->second};
        answer(PlatformOutcome::kDone, current);
        Spread(current, group);
      } else if (stored.error().code == ErrorCode::kConflict) {
        answer(PlatformOutcome::kConflict, std::nullopt);
      }
    });
  });
}

// One proxy in each zone watches the platform, and its news can be late.
void FailoverWorld::Spread(const VersionedRecord& record, size_t group) {
  for (size_t index = 0; index < std::min(m_options.zones, m_options.proxies);
       ++index) {
    Proxy& proxy = *m_proxies[index];
    const Duration delay =
        kWatchDelay + Duration(static_cast<Duration::rep>(random()() % 20'000));
    const size_t life = proxy.lives;
    m_scheduler.After(delay, [this, &proxy, record, group, life] {
      if (!m_platform.Read("watch").has_value())
        return;
      m_network.Send(
          kPlatform, proxy.name, [this, &proxy, record, group, life] {
            if (life == proxy.lives)
              Deliver(proxy, group, failover_event::RecordSeen{record});
          });
    });
  }
}

FailoverWorld::Proxy& FailoverWorld::ProxyOf(const std::string& name) {
  for (const auto& proxy : m_proxies) {
    if (proxy->name == name)
      return *proxy;
  }
  VERIFY(false);
  return *m_proxies[0];
}

FailoverMachine* FailoverWorld::machine(const std::string& proxy,
                                        size_t group) {
  return ProxyOf(proxy).holders[group].machine.get();
}

GroupRecord FailoverWorld::Record(size_t group) {
  const bool available = m_platform.Read(GroupRecordKey(NameOf(0))).has_value();
  if (!available)
    m_platform.SetAvailable(true);
  const auto read = m_platform.Read(GroupRecordKey(NameOf(group)));
  if (!available)
    m_platform.SetAvailable(false);
  return GroupRecordFromJson(read.value().value).value();
}

std::string FailoverWorld::Primary(size_t group) {
  return Record(group).primary.value();
}

}  // namespace jackdawturn::failover
