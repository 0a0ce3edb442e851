#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "gateway/gateway.h"

#include "gateway/virtual_timers.h"

namespace jackdawturn::gateway {

// A simulated group of instances behind the ports of the gateway, with the
// platform's promotions, on a virtual clock.
class FakeGroup {
 public:
  static constexpr Duration kAnswerTime = std::chrono::milliseconds(1);

  struct Instance {
    BackendServer server;
    ReplicationRole role = ReplicationRole::kReplica;
    uint64_t term = 1;
    CommitPosition received;
    uint64_t paused_term = 0;
    // Answers no commands, and opening a connection to it times out.
    bool silent = false;
    // Refuses new connections because its limit is reached.
    bool full = false;
    // Answers this many status commands with "busy".
    unsigned busy_answers = 0;
    // Answers every second begin of a transaction with "busy".
    bool overloaded = false;
    // Answers every begin of a transaction with "busy".
    bool refuses_begins = false;
    size_t begun = 0;
    // Has received all commits, but has not applied those that reads require.
    bool behind = false;
    // Closes the connection instead of answering a statement of this kind.
    std::optional<BackendCommand::Kind> breaks_on;
    // The client statements that were executed, each as its request id and
    // whether a transaction was open on the connection.
    std::vector<std::pair<std::string, bool>> ran;
    size_t open_transactions = 0;
  };

  explicit FakeGroup(VirtualTimers& timers) : m_timers(timers) {}

  Instance& Add(const std::string& id, ReplicationRole role, uint64_t number) {
    Instance& instance = m_instances[InstanceName(id)];
    instance.server.id = InstanceName(id);
    instance.server.group = GroupName("loans");
    instance.server.role = role;
    instance.server.revision = 1;
    instance.role = role;
    instance.received = {1, number};
    return instance;
  }

  Instance& At(const std::string& id) {
    return m_instances.at(InstanceName(id));
  }

  OpenBackendSession Opener();
  PromoteInstance Promoter();

  // All promotion requests, each with its fencing token.
  std::vector<std::pair<InstanceName, uint64_t>> promotions;
  // Whether the old primary stops leading when another one is promoted.
  bool promotion_deposes = true;
  // Time from a command to its answer.
  Duration answer_time = kAnswerTime;
  // Number of connections opened to instances.
  size_t opened = 0;
  // For whom each of them was opened.
  std::vector<CustomerName> opened_for;
  // For whom the connection was opened on which a client's request ran last.
  std::map<std::string, CustomerName> ran_for;
  // Runs before a promotion request takes effect; null: nothing runs.
  std::function<void()> before_promotion;

 private:
  class Session;

  BackendReply Answer(Instance& instance,
                      bool& in_transaction,
                      const BackendCommand& command);

  VirtualTimers& m_timers;
  std::map<InstanceName, Instance> m_instances;
};

// A connection to an instance of a FakeGroup.
class FakeGroup::Session : public BackendSession {
 public:
  Session(FakeGroup& group, Instance& instance, CustomerName customer)
      : m_group(group),
        m_instance(instance),
        m_customer(std::move(customer)),
        m_alive(std::make_shared<bool>(true)) {}
  ~Session() override { Close(); }

  void Send(std::vector<BackendCommand> commands,
            OnReplies on_replies) override {
    m_group.m_timers.After(
        m_group.answer_time,
        [this, alive = m_alive, commands = std::move(commands),
         on_replies = std::move(on_replies)] {
          if (*alive)
            Run(commands, on_replies);
        });
  }
  bool is_open() const override { return *m_alive; }
  void Close() override {
    *m_alive = false;
    EndTransaction();
  }

 private:
  void Run(const std::vector<BackendCommand>& commands,
           const OnReplies& on_replies) {
    if (m_instance.silent)
      return;
    std::vector<BackendReply> replies;
    for (const BackendCommand& command : commands) {
      if (m_instance.breaks_on == command.kind) {
        Close();
        const Error error{ErrorCode::kTimeout, "fake", "", "reset"};
        return on_replies(error);
      }
      const bool before = m_in_transaction;
      replies.push_back(m_group.Answer(m_instance, m_in_transaction, command));
      if (!command.id.empty() && replies.back().code == ReplyCode::kDone)
        m_group.ran_for[command.id.value()] = m_customer;
      if (!before && m_in_transaction)
        ++m_instance.open_transactions;
      if (before && !m_in_transaction)
        --m_instance.open_transactions;
    }
    const auto alive = m_alive;
    on_replies(std::move(replies));
  }

  void EndTransaction() {
    if (std::exchange(m_in_transaction, false))
      --m_instance.open_transactions;
  }

  FakeGroup& m_group;
  Instance& m_instance;
  const CustomerName m_customer;
  std::shared_ptr<bool> m_alive;
  bool m_in_transaction = false;
};

inline BackendReply FakeGroup::Answer(Instance& instance,
                                      bool& in_transaction,
                                      const BackendCommand& command) {
  using Kind = BackendCommand::Kind;
  BackendReply reply;
  reply.code = ReplyCode::kDone;
  if (command.kind == Kind::kStepDown && instance.term < command.term)
    instance.role = ReplicationRole::kReplica;
  const bool is_primary = instance.role == ReplicationRole::kPrimary;
  if (command.kind == Kind::kStatus && instance.busy_answers > 0) {
    --instance.busy_answers;
    reply.code = ReplyCode::kBusy;
    return reply;
  }
  if (command.kind == Kind::kBegin &&
      (instance.overloaded || instance.refuses_begins) &&
      (++instance.begun % 2 == 0 || instance.refuses_begins)) {
    reply.code = ReplyCode::kBusy;
    return reply;
  }
  if (command.after && (instance.received < *command.after ||
                        (instance.behind && !is_primary))) {
    reply.code = ReplyCode::kLagging;
  } else if (command.kind == Kind::kBegin) {
    reply.code = is_primary ? ReplyCode::kDone : ReplyCode::kReadOnly;
    in_transaction = is_primary;
  } else if (command.kind == Kind::kBeginRead) {
    in_transaction = true;
  } else if (command.kind == Kind::kRollback) {
    in_transaction = false;
  } else if (command.kind == Kind::kPause) {
    instance.paused_term = command.term;
  } else if (command.kind == Kind::kResume) {
    instance.paused_term = 0;
  } else if (command.kind == Kind::kForward || command.kind == Kind::kExecute) {
    const bool write = command.text.starts_with("WRITE");
    if (write && !is_primary) {
      reply.code = ReplyCode::kReadOnly;
    } else {
      instance.ran.emplace_back(command.id.value(), in_transaction);
      if (write)
        ++instance.received.number;
      if (command.text == "COMMIT")
        in_transaction = false;
      reply.signature = instance.server.id.value();
    }
  }
  reply.state =
      in_transaction ? TransactionState::kOpen : TransactionState::kNone;
  reply.position = instance.received;
  // Decoded by FakeStatus.
  reply.rows = {is_primary ? "primary" : "replica",
                std::to_string(instance.term),
                std::to_string(instance.received.term),
                std::to_string(instance.received.number),
                std::to_string(instance.paused_term)};
  return reply;
}

inline Result<ReplicationStatus> FakeStatus(const BackendReply& reply) {
  ReplicationStatus status;
  status.role = reply.rows[0] == "primary" ? ReplicationRole::kPrimary
                                           : ReplicationRole::kReplica;
  status.term = std::stoull(reply.rows[1]);
  status.received = {std::stoull(reply.rows[2]), std::stoull(reply.rows[3])};
  status.paused_term = std::stoull(reply.rows[4]);
  return status;
}

inline OpenBackendSession FakeGroup::Opener() {
  return [this](const BackendServer& server, Duration timeout, auto on_open) {
    Instance& instance = m_instances.at(server.id);
    m_timers.After(instance.silent ? timeout : kAnswerTime,
                   [this, &instance, customer = server.customer,
                    on_open = std::move(on_open)] {
                     if (instance.silent) {
                       const Error error{ErrorCode::kTimeout, "fake", "", ""};
                       return on_open(error);
                     }
                     if (instance.full) {
                       const Error error{ErrorCode::kExhausted, "fake", "", ""};
                       return on_open(error);
                     }
                     ++opened;
                     opened_for.push_back(customer);
                     on_open(std::unique_ptr<BackendSession>(
                         std::make_unique<Session>(*this, instance, customer)));
                   });
  };
}

inline PromoteInstance FakeGroup::Promoter() {
  return [this](const GroupName&, const InstanceName& id, uint64_t token,
                Duration, std::function<void(Result<void>)> on_result) {
    promotions.emplace_back(id, token);
    if (before_promotion)
      before_promotion();
    Instance& chosen = m_instances.at(id);
    // The platform changes nothing when the instance is already primary.
    if (chosen.role != ReplicationRole::kPrimary) {
      const uint64_t term = chosen.term + 1;
      for (auto& [name, instance] : m_instances) {
        if (instance.role == ReplicationRole::kPrimary && !promotion_deposes)
          continue;
        instance.role = ReplicationRole::kReplica;
        instance.paused_term = 0;
        instance.term = term;
      }
      chosen.role = ReplicationRole::kPrimary;
    }
    m_timers.After(kAnswerTime, [on_result = std::move(on_result)] {
      on_result(Success());
    });
  };
}

// An in-memory store that ignores List and Watch.
class FakeStore : public MetadataStore {
 public:
  explicit FakeStore(VirtualTimers& timers) : m_timers(timers) {}

  void List(RecordCollection,
            Duration,
            std::function<void(Result<RecordList>)>) override {}
  void Watch(RecordCollection,
             uint64_t,
             Duration,
             std::function<void(Result<RecordChanges>)>) override {}

  void Read(RecordCollection collection,
            const std::string& name,
            Duration,
            OnRecord on_record) override {
    const auto found = m_records.find({collection, name});
    Answer(
        std::move(on_record),
        found == m_records.end()
            ? Result<StoredRecord>(Error{ErrorCode::kNotFound, "fake", "", ""})
            : Result<StoredRecord>(Shown(found->second)));
  }

  void Update(RecordCollection collection,
              const std::string& name,
              uint64_t expected,
              const std::string& body,
              Duration,
              OnRecord on_record) override {
    if (before_update)
      before_update();
    const auto found = m_records.find({collection, name});
    const uint64_t current_revision =
        found == m_records.end() ? 0 : found->second.revision;
    if (era().Outdates(expected) ||
        current_revision != RevisionNumber(expected))
      return Answer(std::move(on_record),
                    Error{ErrorCode::kConflict, "fake", "", ""});
    StoredRecord& record = m_records[{collection, name}];
    record = {name, ++m_revision, body};
    if (lose_next_answer) {
      lose_next_answer = false;
      return Answer(std::move(on_record),
                    Error{ErrorCode::kTimeout, "fake", "", ""});
    }
    Answer(std::move(on_record), Shown(record));
  }

  // Stores a record, or removes it, as after the return from an older copy.
  void Put(RecordCollection collection,
           const std::string& name,
           const std::string& body) {
    m_records[{collection, name}] = {name, ++m_revision, body};
  }
  void Remove(RecordCollection collection, const std::string& name) {
    m_records.erase({collection, name});
  }

  // Returns the record, or nothing.
  std::optional<StoredRecord> Find(RecordCollection collection,
                                   const std::string& name) const {
    const auto found = m_records.find({collection, name});
    if (found == m_records.end())
      return std::nullopt;
    return found->second;
  }

  // The next update takes effect, but its answer is lost: the caller gets
  // kTimeout.
  bool lose_next_answer = false;
  // Runs before an update takes effect; null: nothing runs.
  std::function<void()> before_update;
  // The era that answers show; nullopt: none.
  std::optional<uint64_t> shown_era;

 private:
  StoredRecord Shown(StoredRecord record) const {
    record.revision = CombineRevision(shown_era.value_or(0), record.revision);
    return record;
  }

  void Answer(OnRecord on_record, Result<StoredRecord> result) {
    m_timers.After(FakeGroup::kAnswerTime, [this, shown = shown_era,
                                            on_record = std::move(on_record),
                                            result = std::move(result)] {
      if (!era().Accept(shown))
        return on_record(Error{ErrorCode::kTimeout, "fake", "", "late"});
      on_record(result);
    });
  }

  VirtualTimers& m_timers;
  std::map<std::pair<RecordCollection, std::string>, StoredRecord> m_records;
  uint64_t m_revision = 0;
};

// One proxy in front of a FakeGroup with a primary "p" and replicas "a", "b".
struct GatewayRig {
  // `event_log` may be null: events are then only counted.
  explicit GatewayRig(EventLog* event_log = nullptr)
      : log(event_log, metrics, VmName("vm")) {
    group.Add("p", ReplicationRole::kPrimary, 10);
    group.Add("a", ReplicationRole::kReplica, 10);
    group.Add("b", ReplicationRole::kReplica, 9);
    auto config = std::make_shared<GatewayConfig>();
    config->version = 1;
    for (const auto& [name, freshness] :
         {std::pair("strict", ReadFreshness::kPrimary),
          std::pair("aged", ReadFreshness::kBoundedStaleness),
          std::pair("own", ReadFreshness::kReadYourWrites)}) {
      config->routes[name] = {
          .database = name,
          .group = GroupName("loans"),
          .freshness = freshness,
          .max_staleness = std::chrono::seconds(2),
          .statement_timeout = std::chrono::milliseconds(800),
          .target_latency = std::chrono::milliseconds(100)};
    }
    context.config = config;
    for (const char* id : {"p", "a", "b"})
      directory.Update(group.At(id).server);
    // The store has answered for a while.
    for (Duration ago = std::chrono::minutes(1); ago > Duration(0);
         ago -= std::chrono::seconds(1))
      context.store_contact.Answered(timers.now() - ago);
    KeepInTouch();
  }

  // Notes answers of the store, and that all claims are known.
  void KeepInTouch() {
    constexpr Duration kInterval = std::chrono::milliseconds(100);
    const TimePoint now = timers.now();
    if (in_touch)
      context.store_contact.Answered(now);
    if (context.claims.Check(now, context.store_contact))
      context.claims.Received(context.claims.losses());
    timers.After(kInterval, [this] { KeepInTouch(); });
  }

  // Pending timers hold connections to the group's instances, which are
  // destroyed before the timers.
  ~GatewayRig() { timers.Clear(); }

  std::shared_ptr<ClientSession> Open(const std::string& database) {
    return ClientSession::Create(
        context, database, ClientSession::Origin::kClient,
        [this](const ClientReply& reply) { replies.push_back(reply); });
  }

  // Makes reads of the primary need a lease, as where a promotion does not
  // depose the old primary.
  void UseLeases() {
    group.promotion_deposes = false;
    context.renew_lease = [this](const GroupName& name,
                                 std::function<void()> then) {
      renewal.Renew(name, std::move(then));
    };
    UseSyncReplicas();
  }

  // Makes a commit need a replica.
  void UseSyncReplicas() {
    auto config = std::make_shared<GatewayConfig>(*context.config);
    config->groups[GroupName("loans")].sync_replicas = 1;
    context.config = config;
  }

  // Records the primary's current position in the position history.
  void ObservePrimary() {
    context.positions[GroupName("loans")].Observe(timers.now(),
                                                  group.At("p").received);
  }

  VirtualTimers timers;
  FakeGroup group{timers};
  FakeStore store{timers};
  MetricRegistry metrics;
  GatewayLog log;
  ServerDirectory directory;
  BackendPool pool{timers, group.Opener(), {}};
  BackendPool peer_pool{timers, group.Opener(), {}};
  PeerDirectory peers{VmName("vm"), ZoneName("z")};
  GatewayContext context{.timers = timers,
                         .pool = pool,
                         .peer_pool = peer_pool,
                         .peers = peers,
                         .directory = directory,
                         .log = log,
                         .zone = ZoneName("z")};
  LeaseRenewal renewal{context, FakeStatus};
  std::vector<ClientReply> replies;
  // Whether the store answers this proxy.
  bool in_touch = true;
};

inline ClientStatement StatementOf(ClientStatement::Kind kind,
                                   const std::string& text) {
  ClientStatement statement;
  statement.id = RequestId("id-" + text);
  statement.kind = kind;
  statement.text = text;
  return statement;
}

}  // namespace jackdawturn::gateway
