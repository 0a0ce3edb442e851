#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gateway/gateway.h"

#include "gateway/virtual_timers.h"

namespace jackdawturn::gateway {

// A group of three instances with asynchronous replication, the platform's
// store and promotions, and several proxies, on a virtual clock. Links between
// any two of them can be cut and proxies suspended. A promotion takes effect
// after a delay and does not depose the old primary, which continues to lead
// until it is told to step down or has reached its successor for a second.

// One way to violate what the decisions rely on. The checker must notice each.
enum class WorldMutant {
  kNone,
  kNoLeases,         // Proxies assume that a promotion deposes the primary.
  kPausesIgnored,    // A paused replica continues to receive.
  kStepDownIgnored,  // A primary answers that it has stepped down but leads.
  kClocksStop,       // A proxy's clock does not count its suspension.
  kHastyClocks,      // All but one proxy's clocks run four times as fast.
  kUnconditionalUpdates,  // The store ignores the condition of an update.
};

// What was observed to be wrong.
struct Violations {
  // A read ran without a commit that was acknowledged before the read began.
  uint64_t stale_reads = 0;
  // An acknowledged commit is not in the log of a promoted instance.
  uint64_t lost_commits = 0;
  // A promotion was requested with a lower token than an earlier one.
  uint64_t overtaken_promotions = 0;

  uint64_t total() const {
    return stale_reads + lost_commits + overtaken_promotions;
  }
};

class ReplicatedWorld {
 public:
  static constexpr size_t kInstances = 3;
  static constexpr size_t kProxies = 3;

  ReplicatedWorld(uint64_t seed, WorldMutant mutant);
  ~ReplicatedWorld();
  ReplicatedWorld(const ReplicatedWorld&) = delete;
  ReplicatedWorld& operator=(const ReplicatedWorld&) = delete;

  void Run(Duration time) { m_timers.Advance(time); }

  // Endpoints of links: "i0" to "i2", "p0" to "p2", "store".
  void Cut(const std::string& one, const std::string& other) {
    m_cuts.insert(std::minmax(one, other));
  }
  // Cuts all links of an endpoint but those to `except`.
  void Isolate(const std::string& name, const std::set<std::string>& except);
  void Heal() { m_cuts.clear(); }
  void Suspend(size_t proxy, Duration time);
  void Crash(size_t instance);
  void Restart(size_t instance);
  // The instance reports that it leaves.
  void Leave(size_t instance);
  // Answers of the store and of promotions are lost with this probability.
  void LoseAnswers(double share) { m_lost_share = share; }
  void StoreDown(bool down) { m_store_down = down; }

  size_t NewestPrimary() const;
  // Returns the proxy that has claimed the change of the primary, or nullopt.
  std::optional<size_t> Claimant() const;
  // Returns whether a replica restarted between the request for a promotion
  // and its effect. It is not paused then and may acknowledge commits of the
  // old primary, which nothing can prevent.
  bool replica_restarted_in_promotion() const {
    return m_replica_restarted_in_promotion;
  }
  const Violations& violations() const { return m_violations; }
  uint64_t reads_done() const { return m_reads_done; }
  uint64_t writes_done() const { return m_writes_done; }
  uint64_t promotions() const { return m_promotions; }
  TimePoint now() const { return m_timers.now(); }

 private:
  static inline const GroupName kGroup{"loans"};
  static constexpr Duration kMaxStaleness = std::chrono::milliseconds(1'000);

  struct Instance;
  struct Proxy;
  class Session;
  class ProxyTimers;
  class ProxyStore;

  bool Connected(const std::string& one, const std::string& other) const {
    return !m_cuts.contains(std::minmax(one, other));
  }
  Duration Latency() {
    return std::chrono::microseconds(500 + m_random() % 1'500);
  }
  bool Chance(double share) {
    return static_cast<double>(m_random() % 1'000) < share * 1'000;
  }
  void Replicate();
  void SettleCommits(Instance& primary);
  void PublishRoles();
  void PutRecord(RecordCollection collection,
                 const std::string& name,
                 const std::string& body);
  void Promote(const InstanceName& id);
  void RequestPromotion(size_t proxy,
                        const InstanceName& id,
                        uint64_t token,
                        Duration timeout,
                        std::function<void(Result<void>)> on_result);
  BackendReply Answer(Instance& instance,
                      bool& in_transaction,
                      const BackendCommand& command);
  void CheckRead(const Instance& instance, const RequestId& id);
  void Open(
      Proxy& proxy,
      const BackendServer& server,
      Duration timeout,
      std::function<void(Result<std::unique_ptr<BackendSession>>)> on_open);
  static Result<ReplicationStatus> ReadStatus(const BackendReply& reply);
  static Result<GatewayConfig> DecodeConfig(const StoredRecord& record);
  static Result<BackendServer> DecodeServer(const StoredRecord& record);
  void Traffic(size_t proxy);

  VirtualTimers m_timers;
  std::mt19937_64 m_random;
  const WorldMutant m_mutant;
  std::set<std::pair<std::string, std::string>> m_cuts;
  std::vector<std::unique_ptr<Instance>> m_instances;
  std::vector<std::unique_ptr<Proxy>> m_proxies;
  std::map<std::pair<RecordCollection, std::string>, StoredRecord> m_records;
  uint64_t m_revision = 0;
  uint64_t m_commits = 0;
  uint64_t m_requests = 0;
  // When commits that some log lacks were acknowledged to their clients, by
  // number.
  std::map<uint64_t, TimePoint> m_acknowledged;
  // When the statements in progress were sent, and the age that each allows.
  std::map<std::string, std::pair<TimePoint, Duration>> m_reads;
  double m_lost_share = 0;
  bool m_store_down = false;
  uint64_t m_newest_token = 0;
  size_t m_pending_promotions = 0;
  bool m_replica_restarted_in_promotion = false;
  Violations m_violations;
  uint64_t m_reads_done = 0;
  uint64_t m_writes_done = 0;
  uint64_t m_promotions = 0;
};

struct ReplicatedWorld::Instance {
  std::string name;
  BackendServer server;
  ReplicationRole role = ReplicationRole::kReplica;
  uint64_t term = 1;
  // The numbers of its commits, ascending.
  std::vector<uint64_t> log;
  uint64_t log_term = 1;
  uint64_t paused_term = 0;
  bool running = true;
  // Since when it, as an outdated primary, has reached its successor.
  std::optional<TimePoint> reaches_successor_since;
  // Writes that wait for a replica: the commit, and what sends the reply.
  std::vector<std::pair<uint64_t, std::function<void()>>> waiting;

  CommitPosition position() const { return {log_term, log.size()}; }
  bool Has(uint64_t commit) const {
    return std::binary_search(log.begin(), log.end(), commit);
  }
};

// The timers of one proxy, which do not run while it is suspended.
class ReplicatedWorld::ProxyTimers : public Timers {
 public:
  ProxyTimers(VirtualTimers& timers, WorldMutant mutant, size_t proxy)
      : m_timers(timers),
        m_stops(mutant == WorldMutant::kClocksStop),
        m_haste(mutant == WorldMutant::kHastyClocks && proxy > 0 ? 4 : 1),
        m_start(timers.now()) {}

  TimePoint now() const override {
    const Duration passed = m_timers.now() - m_start;
    return m_start + (m_stops ? passed - m_suspended : passed) * m_haste;
  }
  TimerId After(Duration delay, std::function<void()> action) override {
    delay /= m_haste;
    const TimerId id = m_next++;
    Schedule(id, std::max(delay, Duration(0)), std::move(action));
    return id;
  }
  void Cancel(TimerId timer) override {
    const auto found = m_ids.extract(timer);
    if (!found.empty())
      m_timers.Cancel(found.mapped());
  }

  // Runs the action now, or when the proxy is resumed.
  void RunWhenAwake(const std::function<void()>& action) {
    if (m_timers.now() >= m_resumes_at)
      return action();
    m_timers.After(m_resumes_at - m_timers.now(),
                   [this, action] { RunWhenAwake(action); });
  }
  void Suspend(Duration time) {
    m_resumes_at = m_timers.now() + time;
    m_suspended += time;
  }
  bool suspended_within(Duration time) const {
    return m_timers.now() < m_resumes_at + time;
  }

 private:
  void Schedule(TimerId id, Duration delay, std::function<void()> action) {
    m_ids[id] = m_timers.After(delay, [this, id,
                                       action = std::move(action)]() mutable {
      if (m_timers.now() < m_resumes_at)
        return Schedule(id, m_resumes_at - m_timers.now(), std::move(action));
      m_ids.erase(id);
      action();
    });
  }

  VirtualTimers& m_timers;
  const bool m_stops;
  const int m_haste;
  const TimePoint m_start;
  TimePoint m_resumes_at;
  Duration m_suspended{0};
  TimerId m_next = 1;
  std::map<TimerId, TimerId> m_ids;
};

// One proxy's view of the store.
class ReplicatedWorld::ProxyStore : public MetadataStore {
 public:
  ProxyStore(ReplicatedWorld& world, std::string proxy, ProxyTimers& timers)
      : m_world(world), m_proxy(std::move(proxy)), m_timers(timers) {}

  void List(RecordCollection collection,
            Duration timeout,
            std::function<void(Result<RecordList>)> on_list) override {
    Call<RecordList>(timeout, std::move(on_list), [this, collection] {
      RecordList list;
      for (const auto& [key, record] : m_world.m_records) {
        if (key.first == collection)
          list.records.push_back(record);
      }
      list.revision = m_world.m_revision;
      return Result<RecordList>(list);
    });
  }

  void Watch(RecordCollection collection,
             uint64_t revision,
             Duration wait,
             std::function<void(Result<RecordChanges>)> on_changes) override {
    Poll(collection, revision, m_world.m_timers.now() + wait,
         std::move(on_changes));
  }

  void Read(RecordCollection collection,
            const std::string& name,
            Duration timeout,
            OnRecord on_record) override {
    Call<StoredRecord>(
        timeout, std::move(on_record),
        [this, collection, name]() -> Result<StoredRecord> {
          const auto found = m_world.m_records.find({collection, name});
          if (found == m_world.m_records.end())
            return Error{ErrorCode::kNotFound, "world", "", ""};
          return found->second;
        });
  }

  void Update(RecordCollection collection,
              const std::string& name,
              uint64_t expected,
              const std::string& body,
              Duration timeout,
              OnRecord on_record) override {
    Call<StoredRecord>(
        timeout, std::move(on_record),
        [this, collection, name, expected, body]() -> Result<StoredRecord> {
          const auto found = m_world.m_records.find({collection, name});
          const uint64_t current =
              found == m_world.m_records.end() ? 0 : found->second.revision;
          if (current != expected &&
              m_world.m_mutant != WorldMutant::kUnconditionalUpdates)
            return Error{ErrorCode::kConflict, "world", "", ""};
          m_world.PutRecord(collection, name, body);
          return m_world.m_records.at({collection, name});
        });
  }

 private:
  bool reachable() const {
    return !m_world.m_store_down && m_world.Connected(m_proxy, "store");
  }

  template <typename T>
  void Call(Duration timeout,
            std::function<void(Result<T>)> on_result,
            std::function<Result<T>()> run) {
    const auto reply = [this](Duration delay, auto hook, Result<T> result) {
      m_world.m_timers.After(
          delay, [this, hook = std::move(hook), result = std::move(result)] {
            m_timers.RunWhenAwake([hook, result] { hook(result); });
          });
    };
    if (!reachable())
      return reply(timeout, std::move(on_result),
                   Error{ErrorCode::kTimeout, "world", "", ""});
    const bool lost = m_world.Chance(m_world.m_lost_share);
    m_world.m_timers.After(
        m_world.Latency(), [this, lost, timeout, reply, run = std::move(run),
                            on_result = std::move(on_result)]() mutable {
          Result<T> result = run();
          if (lost)
            return reply(timeout, std::move(on_result),
                         Error{ErrorCode::kTimeout, "world", "", ""});
          reply(m_world.Latency(), std::move(on_result), std::move(result));
        });
  }

  void Poll(RecordCollection collection,
            uint64_t revision,
            TimePoint end,
            std::function<void(Result<RecordChanges>)> on_changes) {
    constexpr Duration kPollInterval = std::chrono::milliseconds(20);
    RecordChanges changes;
    changes.revision = m_world.m_revision;
    for (const auto& [key, record] : m_world.m_records) {
      if (key.first == collection && record.revision > revision)
        changes.changes.push_back({record, false});
    }
    const bool over = m_world.m_timers.now() >= end;
    if (reachable() ? over || !changes.changes.empty() : over) {
      const auto result = reachable()
                              ? Result<RecordChanges>(changes)
                              : Error{ErrorCode::kTimeout, "world", "", ""};
      return m_timers.RunWhenAwake(
          [on_changes, result] { on_changes(result); });
    }
    m_world.m_timers.After(kPollInterval, [this, collection, revision, end,
                                           on_changes = std::move(on_changes)] {
      Poll(collection, revision, end, on_changes);
    });
  }

  ReplicatedWorld& m_world;
  const std::string m_proxy;
  ProxyTimers& m_timers;
};

struct ReplicatedWorld::Proxy {
  Proxy(ReplicatedWorld& world, size_t index, uint64_t seed);

  const std::string name;
  ProxyTimers timers;
  ProxyStore store;
  MetricRegistry metrics;
  GatewayLog log{nullptr, metrics, VmName(name)};
  GatewayHost host;
  std::vector<std::shared_ptr<ClientSession>> sessions;
};

// A connection of a proxy to an instance.
class ReplicatedWorld::Session : public BackendSession {
 public:
  Session(ReplicatedWorld& world, Proxy& proxy, Instance& instance)
      : m_world(world), m_proxy(proxy), m_instance(instance) {}
  ~Session() override { Close(); }

  void Send(std::vector<BackendCommand> commands,
            OnReplies on_replies) override {
    m_on_replies = std::move(on_replies);
    m_world.m_timers.After(
        m_world.Latency(),
        [this, alive = std::weak_ptr<bool>(m_alive), commands] {
          if (!alive.expired() &&
              m_world.Connected(m_proxy.name, m_instance.name))
            Run(commands);
        });
  }
  bool is_open() const override { return m_open && m_instance.running; }
  void Close() override {
    m_open = false;
    m_on_replies = nullptr;
    m_alive.reset();
  }

 private:
  void Run(const std::vector<BackendCommand>& commands) {
    if (!m_instance.running)
      return Reply(Error{ErrorCode::kTimeout, "world", "", "reset"});
    std::vector<BackendReply> replies;
    std::optional<uint64_t> commit;
    for (const BackendCommand& command : commands) {
      replies.push_back(m_world.Answer(m_instance, m_in_transaction, command));
      if (command.text.starts_with("WRITE") &&
          replies.back().code == ReplyCode::kDone)
        commit = m_instance.log.back();
    }
    if (!commit)
      return Reply(std::move(replies));
    m_instance.waiting.emplace_back(
        *commit, [this, alive = std::weak_ptr<bool>(m_alive), replies] {
          if (!alive.expired())
            Reply(replies);
        });
  }

  void Reply(Result<std::vector<BackendReply>> replies) {
    m_world.m_timers.After(
        m_world.Latency(), [this, alive = std::weak_ptr<bool>(m_alive),
                            replies = std::move(replies)] {
          if (alive.expired() ||
              !m_world.Connected(m_proxy.name, m_instance.name))
            return;
          m_proxy.timers.RunWhenAwake([this, alive, replies] {
            if (alive.expired())
              return;
            if (const auto hook = std::exchange(m_on_replies, nullptr))
              hook(replies);
          });
        });
  }

  ReplicatedWorld& m_world;
  Proxy& m_proxy;
  Instance& m_instance;
  OnReplies m_on_replies;
  bool m_open = true;
  bool m_in_transaction = false;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

inline ReplicatedWorld::Proxy::Proxy(ReplicatedWorld& world,
                                     size_t index,
                                     uint64_t seed)
    : name("p" + std::to_string(index)),
      timers(world.m_timers, world.m_mutant, index),
      store(world, name, timers),
      host({.name = VmName(name),
            .zone = ZoneName("z"),
            .seed = seed * kProxies + index + 1,
            .relay_address = name,
            .promotion_deposes_primary =
                world.m_mutant == WorldMutant::kNoLeases},
           {.timers = timers,
            .store = store,
            .open =
                [&world, this](const BackendServer& server,
                               Duration timeout,
                               auto on_open) {
                  world.Open(*this, server, timeout, std::move(on_open));
                },
            .promote =
                [&world, index](const GroupName&,
                                const InstanceName& id,
                                uint64_t token,
                                Duration timeout,
                                auto on_result) {
                  world.RequestPromotion(index, id, token, timeout,
                                         std::move(on_result));
                },
            .read_status = ReadStatus,
            .decode_config = DecodeConfig,
            .decode_server = DecodeServer},
           log) {}

inline Result<ReplicationStatus> ReplicatedWorld::ReadStatus(
    const BackendReply& reply) {
  ReplicationStatus status;
  status.role = reply.rows[0] == "primary" ? ReplicationRole::kPrimary
                                           : ReplicationRole::kReplica;
  status.term = std::stoull(reply.rows[1]);
  status.received = *reply.position;
  status.paused_term = std::stoull(reply.rows[2]);
  return status;
}

inline Result<GatewayConfig> ReplicatedWorld::DecodeConfig(
    const StoredRecord&) {
  GatewayConfig config;
  config.version = 1;
  config.groups[kGroup] = {.connections = 0, .sync_replicas = 1};
  const Route strict = {.database = "strict",
                        .group = kGroup,
                        .freshness = ReadFreshness::kPrimary,
                        .statement_timeout = std::chrono::milliseconds(800),
                        .target_latency = std::chrono::milliseconds(100)};
  Route aged = strict;
  aged.database = "aged";
  aged.freshness = ReadFreshness::kBoundedStaleness;
  aged.max_staleness = kMaxStaleness;
  config.routes = {{strict.database, strict}, {aged.database, aged}};
  return config;
}

// The body of a record: its role, its incarnation, and whether it is leaving.
inline Result<BackendServer> ReplicatedWorld::DecodeServer(
    const StoredRecord& record) {
  BackendServer server;
  server.id = InstanceName(record.name);
  server.group = kGroup;
  server.address = record.name;
  server.zone = ZoneName("z");
  server.revision = record.revision;
  if (record.body.starts_with("primary"))
    server.role = ReplicationRole::kPrimary;
  server.incarnation = std::stoull(record.body.substr(record.body.find(' ')));
  server.draining = record.body.ends_with("leaving");
  return server;
}

inline ReplicatedWorld::ReplicatedWorld(uint64_t seed, WorldMutant mutant)
    : m_random(seed), m_mutant(mutant) {
  PutRecord(RecordCollection::kConfiguration, "main", "1");
  for (size_t index = 0; index < kInstances; ++index) {
    auto instance = std::make_unique<Instance>();
    instance->name = "i" + std::to_string(index);
    if (index == 0)
      instance->role = ReplicationRole::kPrimary;
    m_instances.push_back(std::move(instance));
  }
  PublishRoles();
  for (size_t index = 0; index < kProxies; ++index) {
    m_proxies.push_back(std::make_unique<Proxy>(*this, index, seed));
    m_proxies.back()->host.Start();
    Traffic(index);
  }
  Replicate();
}

inline ReplicatedWorld::~ReplicatedWorld() {
  for (const auto& proxy : m_proxies) {
    for (const auto& session : proxy->sessions)
      session->Disconnect();
  }
  for (const auto& instance : m_instances)
    instance->waiting.clear();
  m_timers.Clear();
}

inline void ReplicatedWorld::PutRecord(RecordCollection collection,
                                       const std::string& name,
                                       const std::string& body) {
  StoredRecord& record = m_records[{collection, name}];
  if (record.body != body || record.revision == 0)
    record = {name, ++m_revision, body};
}

inline void ReplicatedWorld::PublishRoles() {
  for (const auto& instance : m_instances) {
    if (!instance->running || m_store_down ||
        !Connected(instance->name, "store"))
      continue;
    std::string body =
        instance->role == ReplicationRole::kPrimary ? "primary" : "replica";
    body += " " + std::to_string(instance->server.incarnation);
    if (instance->server.draining)
      body += " leaving";
    PutRecord(RecordCollection::kServers, instance->name, body);
  }
}

inline size_t ReplicatedWorld::NewestPrimary() const {
  size_t newest = kInstances;
  for (size_t index = 0; index < kInstances; ++index) {
    const Instance& instance = *m_instances[index];
    if (instance.role == ReplicationRole::kPrimary &&
        (newest == kInstances || instance.term > m_instances[newest]->term))
      newest = index;
  }
  return newest;
}

inline std::optional<size_t> ReplicatedWorld::Claimant() const {
  const auto claim =
      m_records.find({RecordCollection::kPrimaryChanges, kGroup.value()});
  if (claim == m_records.end() ||
      claim->second.body.find("\"ended\":true") != std::string::npos)
    return std::nullopt;
  for (size_t index = 0; index < kProxies; ++index) {
    const std::string holder = "\"holder\":\"" + m_proxies[index]->name + "\"";
    if (claim->second.body.find(holder) != std::string::npos)
      return index;
  }
  return std::nullopt;
}

// Replicas take over the log of the newest primary that they reach.
inline void ReplicatedWorld::Replicate() {
  constexpr Duration kInterval = std::chrono::milliseconds(3);
  constexpr Duration kSuccessorTime = std::chrono::seconds(1);
  for (const auto& replica : m_instances) {
    const Instance* leader = nullptr;
    for (const auto& other : m_instances) {
      if (other != replica && other->running &&
          other->role == ReplicationRole::kPrimary &&
          other->term >= replica->term &&
          Connected(replica->name, other->name) &&
          (!leader || other->term > leader->term))
        leader = other.get();
    }
    if (!replica->running)
      continue;
    if (replica->role == ReplicationRole::kPrimary) {
      if (!leader || leader->term == replica->term) {
        replica->reaches_successor_since.reset();
        continue;
      }
      if (!replica->reaches_successor_since)
        replica->reaches_successor_since = m_timers.now();
      if (*replica->reaches_successor_since + kSuccessorTime > m_timers.now())
        continue;
      replica->role = ReplicationRole::kReplica;
      replica->waiting.clear();
    }
    const bool paused =
        replica->paused_term > 0 && m_mutant != WorldMutant::kPausesIgnored;
    // The replicas receive a commit at different times.
    if (!leader || paused || Chance(0.5))
      continue;
    replica->term = leader->term;
    replica->log_term = leader->log_term;
    if (replica->log.size() != leader->log.size() ||
        (!leader->log.empty() && replica->log.back() != leader->log.back()))
      replica->log = leader->log;
  }
  for (const auto& instance : m_instances)
    SettleCommits(*instance);
  PublishRoles();
  // A commit that every log has can be neither missed nor lost.
  std::erase_if(m_acknowledged, [this](const auto& entry) {
    return std::all_of(
        m_instances.begin(), m_instances.end(),
        [&](const auto& instance) { return instance->Has(entry.first); });
  });
  m_timers.After(kInterval, [this] { Replicate(); });
}

inline void ReplicatedWorld::SettleCommits(Instance& primary) {
  if (primary.role != ReplicationRole::kPrimary || !primary.running) {
    primary.waiting.clear();
    return;
  }
  const auto received = [&](uint64_t commit) {
    return std::any_of(
        m_instances.begin(), m_instances.end(), [&](const auto& other) {
          return other.get() != &primary && other->running &&
                 other->term == primary.term &&
                 Connected(other->name, primary.name) && other->Has(commit);
        });
  };
  std::erase_if(primary.waiting, [&](const auto& entry) {
    if (!received(entry.first))
      return false;
    entry.second();
    return true;
  });
}

inline void ReplicatedWorld::Isolate(const std::string& name,
                                     const std::set<std::string>& except) {
  std::vector<std::string> others = {"store"};
  for (const auto& instance : m_instances)
    others.push_back(instance->name);
  for (const auto& proxy : m_proxies)
    others.push_back(proxy->name);
  for (const std::string& other : others) {
    if (other != name && !except.contains(other))
      Cut(name, other);
  }
}

inline void ReplicatedWorld::Suspend(size_t proxy, Duration time) {
  m_proxies[proxy]->timers.Suspend(time);
}

inline void ReplicatedWorld::Crash(size_t instance) {
  m_instances[instance]->running = false;
  m_instances[instance]->waiting.clear();
}

inline void ReplicatedWorld::Restart(size_t instance) {
  Instance& restarted = *m_instances[instance];
  restarted.running = true;
  ++restarted.server.incarnation;
  if (restarted.role == ReplicationRole::kReplica && m_pending_promotions > 0)
    m_replica_restarted_in_promotion = true;
  restarted.paused_term = 0;
  const size_t newest = NewestPrimary();
  // A primary leads again unless another instance was promoted.
  if (newest != instance && newest != kInstances)
    restarted.role = ReplicationRole::kReplica;
}

inline void ReplicatedWorld::Leave(size_t instance) {
  m_instances[instance]->server.draining = true;
}

inline void ReplicatedWorld::Open(
    Proxy& proxy,
    const BackendServer& server,
    Duration timeout,
    std::function<void(Result<std::unique_ptr<BackendSession>>)> on_open) {
  const auto found = std::find_if(
      m_instances.begin(), m_instances.end(),
      [&](const auto& entry) { return entry->name == server.id.value(); });
  Instance* instance = found == m_instances.end() ? nullptr : found->get();
  const bool reachable = instance && Connected(proxy.name, instance->name);
  m_timers.After(
      reachable ? 2 * Latency() : timeout,
      [this, &proxy, instance, reachable, on_open = std::move(on_open)] {
        proxy.timers.RunWhenAwake([this, &proxy, instance, reachable, on_open] {
          if (!reachable)
            return on_open(Error{ErrorCode::kTimeout, "world", "", ""});
          if (!instance->running)
            return on_open(Error{ErrorCode::kUnavailable, "world", "", ""});
          on_open(std::unique_ptr<BackendSession>(
              std::make_unique<Session>(*this, proxy, *instance)));
        });
      });
}

inline void ReplicatedWorld::RequestPromotion(
    size_t proxy,
    const InstanceName& id,
    uint64_t token,
    Duration timeout,
    std::function<void(Result<void>)> on_result) {
  constexpr Duration kThawTime = std::chrono::milliseconds(300);
  ProxyTimers& timers = m_proxies[proxy]->timers;
  if (token < m_newest_token && !timers.suspended_within(kThawTime))
    ++m_violations.overtaken_promotions;
  m_newest_token = std::max(m_newest_token, token);
  ++m_promotions;
  const Duration effect_delay =
      std::chrono::milliseconds(200 + m_random() % 200);
  ++m_pending_promotions;
  m_timers.After(effect_delay, [this, id] {
    --m_pending_promotions;
    Promote(id);
  });
  const bool lost = Chance(m_lost_share);
  m_timers.After(
      lost ? timeout : 2 * Latency(),
      [&timers, lost, on_result = std::move(on_result)] {
        timers.RunWhenAwake([lost, on_result] {
          if (lost)
            return on_result(Error{ErrorCode::kTimeout, "world", "", ""});
          on_result(Success());
        });
      });
}

inline void ReplicatedWorld::Promote(const InstanceName& id) {
  const auto chosen = std::find_if(
      m_instances.begin(), m_instances.end(),
      [&](const auto& entry) { return entry->name == id.value(); });
  VERIFY(chosen != m_instances.end());
  const size_t newest = NewestPrimary();
  if (!(*chosen)->running ||
      (newest != kInstances && m_instances[newest] == *chosen))
    return;
  uint64_t term = 0;
  for (const auto& instance : m_instances)
    term = std::max(term, instance->term);
  ++term;
  for (const auto& [commit, time] : m_acknowledged) {
    if (!(*chosen)->Has(commit))
      ++m_violations.lost_commits;
  }
  for (const auto& instance : m_instances) {
    if (instance->role == ReplicationRole::kReplica) {
      instance->paused_term = 0;
      instance->term = term;
    }
  }
  (*chosen)->role = ReplicationRole::kPrimary;
}

inline void ReplicatedWorld::CheckRead(const Instance& instance,
                                       const RequestId& id) {
  const auto found = m_reads.find(id.value());
  if (found == m_reads.end())
    return;
  const TimePoint covered = found->second.first - found->second.second;
  const bool stale = std::any_of(
      m_acknowledged.begin(), m_acknowledged.end(), [&](const auto& entry) {
        return entry.second < covered && !instance.Has(entry.first);
      });
  if (stale)
    ++m_violations.stale_reads;
}

inline BackendReply ReplicatedWorld::Answer(Instance& instance,
                                            bool& in_transaction,
                                            const BackendCommand& command) {
  using Kind = BackendCommand::Kind;
  BackendReply reply;
  reply.code = ReplyCode::kDone;
  const bool outdated = command.term > instance.term;
  if (command.kind == Kind::kPause && outdated)
    instance.paused_term = command.term;
  if (command.kind == Kind::kResume)
    instance.paused_term = 0;
  if (command.kind == Kind::kStepDown && outdated &&
      m_mutant != WorldMutant::kStepDownIgnored) {
    instance.role = ReplicationRole::kReplica;
    instance.waiting.clear();
  }
  const bool leads = instance.role == ReplicationRole::kPrimary;
  const bool read = command.text.starts_with("READ");
  const bool write = command.text.starts_with("WRITE");
  if (command.after && instance.position() < *command.after) {
    reply.code = ReplyCode::kLagging;
  } else if (!leads && (write || command.kind == Kind::kBegin)) {
    reply.code = ReplyCode::kReadOnly;
  } else if (!in_transaction && read && !leads && !command.after) {
    reply.code = ReplyCode::kReadOnly;
  } else if (write) {
    instance.log.push_back(++m_commits);
    instance.log_term = instance.term;
    reply.signature = std::to_string(m_commits);
  } else if (read) {
    CheckRead(instance, command.id);
  }
  if (command.kind == Kind::kBegin || command.kind == Kind::kBeginRead)
    in_transaction = reply.code == ReplyCode::kDone;
  if (command.kind == Kind::kRollback)
    in_transaction = false;
  reply.state =
      in_transaction ? TransactionState::kOpen : TransactionState::kNone;
  reply.position = instance.position();
  const bool replica_row =
      !leads || (command.kind == Kind::kStepDown &&
                 m_mutant == WorldMutant::kStepDownIgnored);
  reply.rows = {replica_row ? "replica" : "primary",
                std::to_string(instance.term),
                std::to_string(instance.paused_term)};
  return reply;
}

// Each proxy's clients read and write all the time, each in a session of its
// own.
inline void ReplicatedWorld::Traffic(size_t proxy) {
  Proxy& entry = *m_proxies[proxy];
  const Duration pause = std::chrono::milliseconds(4 + m_random() % 20);
  m_timers.After(pause, [this, proxy] { Traffic(proxy); });
  if (!entry.host.ready())
    return;
  ClientStatement statement;
  statement.id = RequestId(std::to_string(++m_requests));
  const bool write = Chance(0.2);
  const bool aged = !write && Chance(0.3);
  statement.kind =
      write ? ClientStatement::Kind::kWrite : ClientStatement::Kind::kRead;
  statement.text = write ? "WRITE 1 x" : "READ 1";
  const auto session = entry.host.OpenSession(
      aged ? "aged" : "strict", [this, write](const ClientReply& reply) {
        if (reply.code != ReplyCode::kDone)
          return;
        ++(write ? m_writes_done : m_reads_done);
        if (write)
          m_acknowledged.emplace(std::stoull(reply.signature), m_timers.now());
      });
  if (!write)
    m_reads[statement.id.value()] = {m_timers.now(),
                                     aged ? kMaxStaleness : Duration(0)};
  entry.sessions.push_back(session);
  // The request reaches a suspended proxy when it is resumed.
  entry.timers.RunWhenAwake(
      [session, statement] { session->Handle(statement); });
}

}  // namespace jackdawturn::gateway
