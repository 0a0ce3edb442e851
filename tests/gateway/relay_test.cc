#include <string>
#include <vector>

#include "gateway/fake_group.h"

#include "support/table_test.h"

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using Kind = ClientStatement::Kind;

// From the entry proxy to the holder.
constexpr Duration kHop = 1ms;

// An entry proxy and the proxy that holds the group's connections.
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
                  Answered(reply);
              })) {}
    ~Session() override { Close(); }

    void Send(std::vector<BackendCommand> commands,
              OnReplies on_replies) override {
      m_on_replies = std::move(on_replies);
      m_expected = commands.size();
      m_rig.commands.insert(m_rig.commands.end(), commands.begin(),
                            commands.end());
      m_rig.holder.timers.After(
          kHop, [this, alive = std::weak_ptr<bool>(m_alive), commands] {
            if (alive.expired() || m_rig.silent)
              return;
            for (const BackendCommand& command : commands)
              m_session->Handle(ToStatement(command));
            if (m_rig.dies_on_statement)
              Break();
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

    void Answered(const ClientReply& reply) {
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

    void Break() {
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
    // So few that one of the zone's two proxies holds them all.
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

  // Actions that are due later hold connections to the rig's instances.
  ~RelayRig() { holder.timers.Clear(); }

  OpenBackendSession PeerOpener() {
    return [this](const BackendServer& server, Duration timeout, auto on_open) {
      const auto destination = RelayDestination::Parse(server.id.value());
      // Probes name no database.
      const std::string database =
          destination ? destination.value().database : "own";
      holder.timers.After(silent ? timeout : kHop, [this, database, on_open] {
        if (refuses || silent) {
          const Error error{
              refuses ? ErrorCode::kUnavailable : ErrorCode::kTimeout, "fake",
              "", ""};
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

  // Whether the entry proxy opened connections to instances by itself.
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
  // The holder refuses connections.
  bool refuses = false;
  // The holder answers nothing.
  bool silent = false;
  // The holder ends after it has received a statement.
  bool dies_on_statement = false;
};

}  // namespace

// A statement that takes the wrong way uses up connections that the instances
// do not have.
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

// What a client is told when the holder is lost with its statement: a write may
// have run, a transaction without a commit has not, and a read runs elsewhere.
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

TABLE_TEST(gateway_relay, holder_that_dies_is_told_truthfully, kLost) {
  const LostCase& row = kLost[*row_index];
  RelayRig rig;
  rig.dies_on_statement = true;
  const auto session = rig.Open("own");
  if (row.in_transaction)
    session->Handle(StatementOf(Kind::kBegin, "BEGIN"));
  session->Handle(StatementOf(row.kind, row.text));
  rig.holder.timers.Advance(1s);
  cr_assert_eq(rig.replies.back().code, row.code, "%s", row.pattern);
}

TABLE_TEST(gateway_relay, holder_that_is_silent_is_told_truthfully, kLost) {
  const LostCase& row = kLost[*row_index];
  RelayRig rig;
  // A connection that was open before the holder fell silent.
  rig.Open("own")->Handle(StatementOf(Kind::kRead, "READ 9"));
  rig.holder.timers.Advance(50ms);
  rig.silent = true;
  const auto session = rig.Open("own");
  if (row.in_transaction)
    session->Handle(StatementOf(Kind::kBegin, "BEGIN"));
  session->Handle(StatementOf(row.kind, row.text));
  rig.holder.timers.Advance(2s);
  cr_assert_eq(rig.replies.back().code, row.code, "%s", row.pattern);
}

// The commit of a transaction that wrote may have taken effect.
Test(gateway_relay, lost_commit_is_unknown) {
  RelayRig rig;
  const auto session = rig.Open("own");
  session->Handle(StatementOf(Kind::kBegin, "BEGIN"));
  session->Handle(StatementOf(Kind::kWrite, "WRITE 1 x"));
  rig.holder.timers.Advance(50ms);
  rig.dies_on_statement = true;
  session->Handle(StatementOf(Kind::kCommit, "COMMIT"));
  rig.holder.timers.Advance(2s);
  cr_assert_eq(rig.replies.back().code, ReplyCode::kUnknown);
}

// Without a holder in reach the proxy serves by itself, within the time limit
// of the statement.
static const bool kRefuses[] = {true, false};

TABLE_TEST(gateway_relay, proxy_without_a_holder_serves_by_itself, kRefuses) {
  RelayRig rig;
  rig.refuses = kRefuses[*row_index];
  rig.silent = !rig.refuses;
  const auto session = rig.Open("own");
  session->Handle(StatementOf(Kind::kWrite, "WRITE 1 x"));
  rig.holder.timers.Advance(800ms);
  cr_assert_eq(rig.replies.back().code, ReplyCode::kDone);
  cr_expect(rig.bypassed());
  // The next one does not ask the holder again.
  const size_t commands = rig.commands.size();
  session->Handle(StatementOf(Kind::kWrite, "WRITE 2 x"));
  rig.holder.timers.Advance(20ms);
  cr_expect_eq(rig.replies.size(), 2U);
  cr_expect_eq(rig.commands.size(), commands);
}

// A client that leaves must leave no transaction open at an instance.
Test(gateway_relay, client_that_leaves_ends_its_transaction_at_the_instance) {
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

// A session's own commit goes with its next read, and only with its own: the
// connection to the holder is shared between sessions.
Test(gateway_relay, own_commits_travel_with_each_read) {
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

// A write that follows a refused BEGIN in one batch must not run by itself.
Test(gateway_relay, statement_after_a_refused_begin_does_not_run) {
  RelayRig rig;
  // The holder's configuration has lost the database.
  auto older = std::make_shared<GatewayConfig>(*rig.entry.config);
  older->routes.erase("own");
  rig.holder.context.config = older;
  const auto session = rig.Open("own");
  session->Handle(StatementOf(Kind::kBegin, "BEGIN"));
  session->Handle(StatementOf(Kind::kWrite, "WRITE 1 x"));
  rig.holder.timers.Advance(800ms);
  for (const auto& [request, in_transaction] : rig.holder.group.At("p").ran)
    cr_expect(in_transaction, "%s", request.c_str());
  // The entry proxy knows the database and serves it by itself.
  cr_expect_eq(rig.replies.back().code, ReplyCode::kDone);
  cr_expect(rig.bypassed());
}

// A holder whose instances are slow is not passed over: another proxy would
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

// A write whose holder is gone gets its final answer soon, not at its deadline.
Test(gateway_relay, silent_holder_is_noticed_early) {
  RelayRig rig;
  const auto session = rig.Open("own");
  session->Handle(StatementOf(Kind::kWrite, "WRITE 1 x"));
  rig.holder.timers.Advance(50ms);
  rig.silent = true;
  session->Handle(StatementOf(Kind::kWrite, "WRITE 2 x"));
  rig.holder.timers.Advance(400ms);
  cr_assert_eq(rig.replies.size(), 2U);
  cr_expect_eq(rig.replies.back().code, ReplyCode::kUnknown);
}

// An answer that comes while the holder is asked whether it lives ended the
// process: the answer of the probe then met a request that was over.
Test(gateway_relay, answer_comes_while_the_holder_is_probed) {
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
