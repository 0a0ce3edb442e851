#include <string>
#include <vector>

#include "gateway/fake_group.h"

#include "support/table_test.h"

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using Kind = ClientStatement::Kind;

// Latency from the entry proxy to the holder.
constexpr Duration kHopLatency = 1ms;

// An entry proxy, which clients connect to, and the holder: the proxy that
// holds the group's connections.
struct RelayRig {
  // One connection from the entry proxy to the holder.
  class Session : public BackendSession {
   public:
    Session(RelayRig& rig, const std::string& database)
        : m_rig(rig),
          m_session(ClientSession::Create(
              rig.holder.context,
              database,
              ClientSession::Origin::kPeer,
              [this,
               alive = std::weak_ptr<bool>(m_alive)](const ClientReply& reply) {
                if (!alive.expired())
                  HandleReply(reply);
              })) {}
    ~Session() override { Close(); }

    void Send(std::vector<BackendCommand> commands,
              OnReplies on_replies) override {
      m_on_replies = std::move(on_replies);
      m_expected = commands.size();
      m_rig.commands.insert(m_rig.commands.end(), commands.begin(),
                            commands.end());
      m_rig.holder.timers.After(
          kHopLatency, [this, alive = std::weak_ptr<bool>(m_alive), commands] {
            if (alive.expired() || m_rig.unresponsive)
              return;
            for (const BackendCommand& command : commands)
              m_session->Handle(ToStatement(command));
            if (m_rig.crashes_on_statement)
              ResetConnection();
          });
    }
    bool is_open() const override { return m_open; }
    void Close() override {
      m_open = false;
      m_on_replies = nullptr;
      if (m_session)
        m_session->Disconnect();
      m_session.reset();
    }

   private:
    static ClientStatement ToStatement(const BackendCommand& command) {
      using Command = BackendCommand::Kind;
      ClientStatement statement;
      statement.id = command.id;
      statement.text = command.text;
      statement.name = command.name;
      statement.argument = command.argument;
      statement.writes = command.writes;
      statement.after = command.after;
      switch (command.kind) {
        case Command::kBegin:
          statement.kind = Kind::kBegin;
          break;
        case Command::kBeginRead:
          statement.kind = Kind::kBeginRead;
          break;
        case Command::kRollback:
          statement.kind = Kind::kRollback;
          break;
        case Command::kSetValue:
          statement.kind = Kind::kSetValue;
          break;
        case Command::kPrepare:
          statement.kind = Kind::kPrepare;
          break;
        case Command::kDiscard:
          statement.kind = Kind::kDiscard;
          break;
        case Command::kExecute:
          statement.kind = Kind::kExecute;
          break;
        default:
          statement.kind = command.text == "COMMIT"           ? Kind::kCommit
                           : command.text.starts_with("READ") ? Kind::kRead
                                                              : Kind::kWrite;
      }
      return statement;
    }

    void HandleReply(const ClientReply& reply) {
      BackendReply answer;
      answer.code = reply.code;
      answer.rows = reply.rows;
      answer.signature = reply.signature;
      answer.message = reply.message;
      answer.position = reply.position;
      answer.state = reply.state;
      m_replies.push_back(answer);
      if (m_replies.size() < m_expected || !m_on_replies)
        return;
      const auto on_replies = std::exchange(m_on_replies, nullptr);
      on_replies(std::exchange(m_replies, {}));
    }

    void ResetConnection() {
      m_open = false;
      if (const auto on_replies = std::exchange(m_on_replies, nullptr)) {
        const Error error{ErrorCode::kTimeout, "fake", "", "reset"};
        on_replies(error);
      }
    }

    RelayRig& m_rig;
    const std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    bool m_open = true;
    std::shared_ptr<ClientSession> m_session;
    OnReplies m_on_replies;
    size_t m_expected = 0;
    std::vector<BackendReply> m_replies;
  };

  RelayRig() {
    auto config = std::make_shared<GatewayConfig>(*holder.context.config);
    // Few enough that one of the zone's two proxies holds all of them.
    config->groups[GroupName("loans")].connections = 3;
    holder.context.config = config;
    entry.config = config;
    Peer self;
    self.name = VmName("entry");
    self.zone = ZoneName("z");
    self.weight = 1e-9;
    Peer other = self;
    other.name = VmName("holder");
    other.weight = 1e9;
    peers.Replace({self, other});
    for (const char* id : {"p", "a", "b"})
      directory.Update(holder.group.At(id).server);
  }

  // Pending actions own connections to the rig's instances.
  ~RelayRig() { holder.timers.Clear(); }

  OpenBackendSession PeerOpener() {
    return [this](const BackendServer& server, Duration timeout, auto on_open) {
      const auto destination = RelayDestination::Parse(server.id.value());
      // Probes do not specify a database.
      const std::string database =
          destination ? destination.value().database : "own";
      holder.timers.After(
          unresponsive ? timeout : kHopLatency, [this, database, on_open] {
            if (refuses_connections || unresponsive) {
              const Error error{refuses_connections ? ErrorCode::kUnavailable
                                                    : ErrorCode::kTimeout,
                                "fake", "", ""};
              return on_open(error);
            }
            on_open(std::unique_ptr<BackendSession>(
                std::make_unique<Session>(*this, database)));
          });
    };
  }

  std::shared_ptr<ClientSession> Open(const std::string& database) {
    return ClientSession::Create(
        entry, database, ClientSession::Origin::kClient,
        [this](const ClientReply& reply) { replies.push_back(reply); });
  }

  // Returns whether the entry proxy opened connections to instances itself.
  bool bypassed() const { return pool.connections() > 0; }

  GatewayRig holder;
  ServerDirectory directory;
  PeerDirectory peers{VmName("entry"), ZoneName("z")};
  BackendPool pool{holder.timers, holder.group.Opener(), {}};
  BackendPool peer_pool{holder.timers, PeerOpener(), {.open_timeout = 150ms}};
  GatewayContext entry{.timers = holder.timers,
                       .pool = pool,
                       .peer_pool = peer_pool,
                       .peers = peers,
                       .directory = directory,
                       .log = holder.log,
                       .zone = ZoneName("z")};
  std::vector<ClientReply> replies;
  // What the entry proxy sent to the holder.
  std::vector<BackendCommand> commands;
  // The holder refuses new connections.
  bool refuses_connections = false;
  // The holder does not respond.
  bool unresponsive = false;
  // The holder crashes after it has received a statement.
  bool crashes_on_statement = false;
};

}  // namespace

// A statement that bypasses the holder would open connections beyond the
// instances' limit.
struct RelayedCase {
  Kind kind;
  const char* text;
  bool in_transaction;
};

static const RelayedCase kRelayed[] = {
    {Kind::kRead, "READ 1", false},
    {Kind::kWrite, "WRITE 1 x", false},
    {Kind::kRead, "READ 1", true},
    {Kind::kWrite, "WRITE 1 x", true},
};

TABLE_TEST(gateway_relay, statements_run_once_through_the_holder, kRelayed) {
  const RelayedCase& row = kRelayed[*row_index];
  RelayRig rig;
  const auto session = rig.Open("own");
  if (row.in_transaction)
    session->Handle(StatementOf(Kind::kBegin, "BEGIN"));
  session->Handle(StatementOf(row.kind, row.text));
  if (row.in_transaction)
    session->Handle(StatementOf(Kind::kCommit, "COMMIT"));
  rig.holder.timers.Advance(50ms);
  cr_expect(!rig.bypassed());
  for (const ClientReply& reply : rig.replies)
    cr_expect_eq(reply.code, ReplyCode::kDone);
  cr_expect_eq(rig.replies.back().state, TransactionState::kNone);
  size_t runs = 0;
  for (const char* id : {"p", "a", "b"}) {
    cr_expect_eq(rig.holder.group.At(id).open_transactions, 0U);
    for (const auto& [request, in_transaction] : rig.holder.group.At(id).ran)
      runs += request == "id-" + std::string(row.text) ? 1 : 0;
  }
  cr_expect_eq(runs, 1U);
}

// Replies when the holder is lost with a statement in flight: a write may have
// run, a transaction without a COMMIT was rolled back, and a read is retried
// elsewhere.
struct LostCase {
  const char* pattern;
  Kind kind;
  const char* text;
  bool in_transaction;
  ReplyCode code;
};

static const LostCase kLost[] = {
    {"read", Kind::kRead, "READ 1", false, ReplyCode::kDone},
    {"write", Kind::kWrite, "WRITE 1 x", false, ReplyCode::kUnknown},
    {"read in a transaction", Kind::kRead, "READ 1", true, ReplyCode::kAborted},
    {"write in a transaction", Kind::kWrite, "WRITE 1 x", true,
     ReplyCode::kAborted},
};

TABLE_TEST(gateway_relay, crashed_holder_gives_correct_reply_code, kLost) {
  const LostCase& row = kLost[*row_index];
  RelayRig rig;
  rig.crashes_on_statement = true;
  const auto session = rig.Open("own");
  if (row.in_transaction)
    session->Handle(StatementOf(Kind::kBegin, "BEGIN"));
  session->Handle(StatementOf(row.kind, row.text));
  rig.holder.timers.Advance(1s);
  cr_assert_eq(rig.replies.back().code, row.code, "%s", row.pattern);
}

TABLE_TEST(gateway_relay, unresponsive_holder_gives_correct_reply_code, kLost) {
  const LostCase& row = kLost[*row_index];
  RelayRig rig;
  // Opens a connection before the holder becomes unresponsive.
  rig.Open("own")->Handle(StatementOf(Kind::kRead, "READ 9"));
  rig.holder.timers.Advance(50ms);
  rig.unresponsive = true;
  const auto session = rig.Open("own");
  if (row.in_transaction)
    session->Handle(StatementOf(Kind::kBegin, "BEGIN"));
  session->Handle(StatementOf(row.kind, row.text));
  rig.holder.timers.Advance(2s);
  cr_assert_eq(rig.replies.back().code, row.code, "%s", row.pattern);
}

// A holder that is about to stop refuses new work, which then runs elsewhere.
TABLE_TEST(gateway_relay,
           work_refused_by_a_draining_holder_is_served,
           kRelayed) {
  const RelayedCase& row = kRelayed[*row_index];
  RelayRig rig;
  rig.holder.context.drain.emplace(rig.holder.timers.now() - 7s, 10s, 2s);
  const auto session = rig.Open("own");
  if (row.in_transaction)
    session->Handle(StatementOf(Kind::kBegin, "BEGIN"));
  session->Handle(StatementOf(row.kind, row.text));
  if (row.in_transaction)
    session->Handle(StatementOf(Kind::kCommit, "COMMIT"));
  rig.holder.timers.Advance(300ms);
  cr_expect(rig.bypassed());
  for (const ClientReply& reply : rig.replies)
    cr_expect_eq(reply.code, ReplyCode::kDone);
}

// The entry proxy is told to stop while the holder works on a statement.
TABLE_TEST(gateway_relay, stopping_entry_proxy_answers_truthfully, kLost) {
  const LostCase& row = kLost[*row_index];
  RelayRig rig;
  const auto session = rig.Open("own");
  if (row.in_transaction)
    session->Handle(StatementOf(Kind::kBegin, "BEGIN"));
  session->Handle(StatementOf(row.kind, row.text));
  const size_t before = rig.replies.size();
  // The connection to the holder is open, and the statement was sent.
  rig.holder.timers.Advance(kHopLatency + 500us);
  session->AnswerAll();
  cr_assert_eq(rig.replies.size(), before + 1, "%s", row.pattern);
  const bool is_read = row.kind == Kind::kRead && !row.in_transaction;
  cr_expect_eq(rig.replies.back().code,
               is_read ? ReplyCode::kAborted : row.code, "%s", row.pattern);
  rig.holder.timers.Advance(2s);
  cr_expect_eq(rig.replies.size(), before + 1);
}

// A COMMIT after a write may have taken effect when its answer is lost.
Test(gateway_relay, lost_commit_is_unknown) {
  RelayRig rig;
  const auto session = rig.Open("own");
  session->Handle(StatementOf(Kind::kBegin, "BEGIN"));
  session->Handle(StatementOf(Kind::kWrite, "WRITE 1 x"));
  rig.holder.timers.Advance(50ms);
  rig.crashes_on_statement = true;
  session->Handle(StatementOf(Kind::kCommit, "COMMIT"));
  rig.holder.timers.Advance(2s);
  cr_assert_eq(rig.replies.back().code, ReplyCode::kUnknown);
}

// If no holder is reachable, the entry proxy serves the statement itself,
// within the statement's timeout.
static const bool kRefusesConnections[] = {true, false};

TABLE_TEST(gateway_relay,
           proxy_without_a_reachable_holder_runs_statements_locally,
           kRefusesConnections) {
  RelayRig rig;
  rig.refuses_connections = kRefusesConnections[*row_index];
  rig.unresponsive = !rig.refuses_connections;
  const auto session = rig.Open("own");
  session->Handle(StatementOf(Kind::kWrite, "WRITE 1 x"));
  rig.holder.timers.Advance(800ms);
  cr_assert_eq(rig.replies.back().code, ReplyCode::kDone);
  cr_expect(rig.bypassed());
  // The next statement is not sent to the suspected holder.
  const size_t commands = rig.commands.size();
  session->Handle(StatementOf(Kind::kWrite, "WRITE 2 x"));
  rig.holder.timers.Advance(20ms);
  cr_expect_eq(rig.replies.size(), 2U);
  cr_expect_eq(rig.commands.size(), commands);
}

// No transaction may remain open at an instance after its client disconnects.
Test(gateway_relay, disconnect_rolls_the_transaction_back_at_the_instance) {
  RelayRig rig;
  const auto session = rig.Open("own");
  session->Handle(StatementOf(Kind::kBegin, "BEGIN"));
  session->Handle(StatementOf(Kind::kWrite, "WRITE 1 x"));
  rig.holder.timers.Advance(50ms);
  cr_assert_eq(rig.holder.group.At("p").open_transactions, 1U);
  session->Disconnect();
  rig.holder.timers.Advance(50ms);
  cr_assert_eq(rig.holder.group.At("p").open_transactions, 0U);
}

// The position of a session's last commit is sent with its reads, and only with
// its own: sessions share the connection to the holder.
Test(gateway_relay, own_commit_is_sent_with_each_read) {
  RelayRig rig;
  const auto writer = rig.Open("own");
  writer->Handle(StatementOf(Kind::kWrite, "WRITE 1 x"));
  rig.holder.timers.Advance(50ms);
  writer->Handle(StatementOf(Kind::kRead, "READ 1"));
  rig.holder.timers.Advance(50ms);
  cr_expect_eq(rig.commands.back().after, (CommitPosition{1, 11}));
  const auto reader = rig.Open("own");
  reader->Handle(StatementOf(Kind::kRead, "READ 2"));
  rig.holder.timers.Advance(50ms);
  cr_expect(!rig.commands.back().after);
  writer->Handle(StatementOf(Kind::kBeginRead, "BEGIN READ"));
  writer->Handle(StatementOf(Kind::kRead, "READ 3"));
  rig.holder.timers.Advance(50ms);
  const auto& begin = rig.commands[rig.commands.size() - 2];
  cr_expect_eq(begin.after, (CommitPosition{1, 11}));
  cr_expect_eq(rig.replies.back().code, ReplyCode::kDone);
}

// A write that follows a refused BEGIN in the same batch must not run outside
// of a transaction.
Test(gateway_relay, statement_after_a_refused_begin_does_not_run) {
  RelayRig rig;
  // The holder's configuration has no route for the database.
  auto older = std::make_shared<GatewayConfig>(*rig.entry.config);
  older->routes.erase("own");
  rig.holder.context.config = older;
  const auto session = rig.Open("own");
  session->Handle(StatementOf(Kind::kBegin, "BEGIN"));
  session->Handle(StatementOf(Kind::kWrite, "WRITE 1 x"));
  rig.holder.timers.Advance(800ms);
  for (const auto& [request, in_transaction] : rig.holder.group.At("p").ran)
    cr_expect(in_transaction, "%s", request.c_str());
  // The entry proxy has a route for the database and serves it itself.
  cr_expect_eq(rig.replies.back().code, ReplyCode::kDone);
  cr_expect(rig.bypassed());
}

// A holder whose instances are slow must not be bypassed: another proxy would
// open connections to the same instances, each of which takes one of their
// slots.
Test(gateway_relay, slow_instances_do_not_make_the_holder_suspect) {
  RelayRig rig;
  for (const char* id : {"p", "a", "b"})
    rig.holder.group.At(id).silent = true;
  const auto session = rig.Open("own");
  session->Handle(StatementOf(Kind::kRead, "READ 1"));
  rig.holder.timers.Advance(400ms);
  cr_expect(!rig.bypassed());
  rig.holder.timers.Advance(600ms);
  cr_assert_eq(rig.replies.size(), 1U);
  cr_expect(!rig.bypassed());
}

// A write whose holder does not respond is answered soon after the probe fails,
// not at its timeout.
Test(gateway_relay, unresponsive_holder_is_detected_before_timeout) {
  RelayRig rig;
  const auto session = rig.Open("own");
  session->Handle(StatementOf(Kind::kWrite, "WRITE 1 x"));
  rig.holder.timers.Advance(50ms);
  rig.unresponsive = true;
  session->Handle(StatementOf(Kind::kWrite, "WRITE 2 x"));
  rig.holder.timers.Advance(400ms);
  cr_assert_eq(rig.replies.size(), 2U);
  cr_expect_eq(rig.replies.back().code, ReplyCode::kUnknown);
}

// Guards against a crash when a statement is answered while a probe of the
// holder is in flight: the result of the probe was then applied to a finished
// request.
Test(gateway_relay, answer_arrives_while_the_holder_is_probed) {
  for (Duration answer_time = 190ms; answer_time < 205ms;
       answer_time += 250us) {
    RelayRig rig;
    rig.holder.group.answer_time = answer_time;
    const auto session = rig.Open("own");
    session->Handle(StatementOf(Kind::kWrite, "WRITE 1 x"));
    rig.holder.timers.Advance(2s);
    cr_assert_eq(rig.replies.size(), 1U);
    cr_expect_eq(rig.replies.back().code, ReplyCode::kDone);
  }
}

}  // namespace jackdawturn::gateway
