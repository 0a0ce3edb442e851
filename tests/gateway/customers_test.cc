#include <string>
#include <vector>

#include "gateway/fake_group.h"

#include "support/table_test.h"

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using Kind = ClientStatement::Kind;

// A gateway whose configuration lists customers with one key each.
struct CustomerRig : GatewayRig {
  CustomerRig() {
    SetKeys({{"key-a", "ann"}, {"key-b", "ben"}});
    auto config = std::make_shared<GatewayConfig>(*context.config);
    config->routes["open"] = config->routes.at("strict");
    config->routes["open"].is_public = true;
    context.config = config;
  }

  void SetKeys(const std::map<std::string, std::string>& keys) {
    auto config = std::make_shared<GatewayConfig>(*context.config);
    ++config->version;
    config->requires_api_keys = true;
    config->key_holders.clear();
    for (const auto& [key, holder] : keys) {
      config->customers[CustomerName(holder)] = {};
      config->key_holders[DigestApiKey(key)] = CustomerName(holder);
    }
    context.config = config;
  }

  std::shared_ptr<ClientSession> OpenWith(
      const std::string& key,
      const std::string& database = "strict") {
    return ClientSession::Create(
        context, database, ClientSession::Origin::kClient,
        [this](const ClientReply& reply) { replies.push_back(reply); },
        {.key = DigestApiKey(key)});
  }

  // Runs the statement and returns the code of its answer.
  ReplyCode Run(const std::shared_ptr<ClientSession>& session,
                Kind kind,
                const std::string& text) {
    const size_t answered = replies.size();
    session->Handle(StatementOf(kind, text));
    timers.Advance(100ms);
    cr_assert_eq(replies.size(), answered + 1);
    return replies.back().code;
  }

  std::string RanFor(const std::string& text) const {
    const auto found = group.ran_for.find("id-" + text);
    return found == group.ran_for.end() ? "nobody" : found->second.value();
  }
};

// A pool with at most two connections to the instance "p", and the customers
// that got one, in their order.
struct PoolRig {
  PoolRig() { group.Add("p", ReplicationRole::kPrimary, 1); }
  ~PoolRig() { timers.Clear(); }

  void Acquire(const std::string& customer, uint64_t priority = 0) {
    pool.AcquireFor(
        {.customer = CustomerName(customer), .priority = priority, .wait = 1s},
        group.At("p").server, [this, customer](auto connection) {
          if (!connection)
            return;
          served += customer;
          cr_expect_eq(connection.value()->server.customer,
                       CustomerName(customer));
          lent.push_back(std::move(connection.value()));
        });
    timers.Advance(5ms);
  }
  void ReleaseFirst() {
    auto connection = std::move(lent.front());
    lent.erase(lent.begin());
    pool.Release(std::move(connection));
    timers.Advance(5ms);
  }

  VirtualTimers timers;
  FakeGroup group{timers};
  BackendPool pool{timers, group.Opener(), {.max_connections = [](const auto&) {
                     return 2;
                   }}};
  std::vector<BackendPool::ConnectionPtr> lent;
  std::string served;
};

}  // namespace

// Any client was served, whatever key it presented.
struct KeyCase {
  const char* key;
  const char* database;
  ReplyCode code;
  const char* ran_for;
};

static const KeyCase kKeys[] = {
    {"key-a", "strict", ReplyCode::kDone, "ann"},
    {"key-b", "aged", ReplyCode::kDone, "ben"},
    {"", "strict", ReplyCode::kUnauthorized, "nobody"},
    {"key-c", "strict", ReplyCode::kUnauthorized, "nobody"},
    {"ann", "strict", ReplyCode::kUnauthorized, "nobody"},
    {"key-c", "open", ReplyCode::kDone, ""},
    {"key-b", "open", ReplyCode::kDone, "ben"},
};

TABLE_TEST(gateway_customers, key_decides, kKeys) {
  const KeyCase& row = kKeys[*row_index];
  CustomerRig rig;
  const auto session = rig.OpenWith(row.key, row.database);
  cr_expect_eq(rig.Run(session, Kind::kRead, "READ 1"), row.code);
  cr_expect_eq(rig.RanFor("READ 1"), row.ran_for);
  cr_expect_eq(session->unauthorized(), row.code == ReplyCode::kUnauthorized);
}

// A key that is withdrawn or moves must not be usable in sessions that are open
// already, neither for single statements nor within a transaction.
struct ChangeCase {
  const char* pattern;
  bool in_transaction;
  std::map<std::string, std::string> keys;
  ReplyCode code;
  const char* ran_for;
};

static const std::vector<ChangeCase>& Changes() {
  static const std::vector<ChangeCase> kChanges = {
      {"unchanged", false, {{"key-a", "ann"}}, ReplyCode::kDone, "ann"},
      {"withdrawn",
       false,
       {{"key-b", "ben"}},
       ReplyCode::kUnauthorized,
       "nobody"},
      {"all withdrawn", false, {}, ReplyCode::kUnauthorized, "nobody"},
      {"moved", false, {{"key-a", "ben"}}, ReplyCode::kDone, "ben"},
      {"unchanged in a transaction",
       true,
       {{"key-a", "ann"}},
       ReplyCode::kDone,
       "ann"},
      {"withdrawn in a transaction",
       true,
       {},
       ReplyCode::kUnauthorized,
       "nobody"},
      {"moved in a transaction",
       true,
       {{"key-a", "ben"}},
       ReplyCode::kUnauthorized,
       "nobody"},
  };
  return kChanges;
}

static const bool kChangeRows[7] = {};

TABLE_TEST(gateway_customers, key_changes_during_a_session, kChangeRows) {
  const ChangeCase& row = Changes()[*row_index];
  CustomerRig rig;
  const auto session = rig.OpenWith("key-a");
  if (row.in_transaction)
    rig.Run(session, Kind::kBegin, "BEGIN");
  cr_assert_eq(rig.Run(session, Kind::kRead, "READ 1"), ReplyCode::kDone);
  rig.SetKeys(row.keys);
  cr_expect_eq(rig.Run(session, Kind::kWrite, "WRITE 2 x"), row.code, "%s",
               row.pattern);
  cr_expect_eq(rig.RanFor("WRITE 2 x"), row.ran_for, "%s", row.pattern);
  if (row.code == ReplyCode::kUnauthorized)
    cr_expect_eq(rig.group.At("p").open_transactions, 0U, "%s", row.pattern);
}

// Deployments without customers ignore what clients say of themselves.
Test(gateway_customers, no_customers_no_keys) {
  GatewayRig rig;
  const auto session = ClientSession::Create(
      rig.context, "strict", ClientSession::Origin::kClient,
      [&rig](const ClientReply& reply) { rig.replies.push_back(reply); },
      {.key = DigestApiKey("anything")});
  session->Handle(StatementOf(Kind::kRead, "READ 1"));
  rig.timers.Advance(100ms);
  cr_assert_eq(rig.replies.size(), 1U);
  cr_expect_eq(rig.replies.back().code, ReplyCode::kDone);
  cr_expect_eq(rig.group.opened_for.front(), CustomerName());
}

// Which customers are served in which order when two connections are all that
// there is. `R` returns the connection that was lent first.
struct OrderCase {
  const char* pattern;
  const char* steps;
  const char* served;
  size_t opened;
};

static const OrderCase kOrders[] = {
    {"the same customer again", "aRaRa", "aaa", 1},
    {"another customer gets a connection of its own", "aRb", "ab", 2},
    {"customers that return find theirs", "aRbRaRb", "abab", 2},
    {"a third customer takes the least recently used one", "aRbRcRb", "abcb",
     3},
    {"all in use: the third waits, then one is opened for it", "abcR", "abc",
     3},
    {"a returned connection serves its customer first", "abcaR", "aba", 2},
};

TABLE_TEST(gateway_customers, connections_by_customer, kOrders) {
  const OrderCase& row = kOrders[*row_index];
  PoolRig rig;
  for (const char* step = row.steps; *step; ++step) {
    if (*step == 'R')
      rig.ReleaseFirst();
    else
      rig.Acquire(std::string(1, *step));
  }
  cr_expect_str_eq(rig.served.c_str(), row.served, "%s", row.pattern);
  cr_expect_eq(rig.group.opened, row.opened, "%s", row.pattern);
}

// One customer that keeps all connections busy must not keep the others out.
Test(gateway_customers, busy_customer_yields_a_connection) {
  PoolRig rig;
  rig.Acquire("a");
  rig.Acquire("a");
  rig.Acquire("b");
  for (int request = 0; request < 12; ++request) {
    rig.Acquire("a");
    rig.ReleaseFirst();
  }
  cr_expect(rig.served.find('b') != std::string::npos, "b was never served: %s",
            rig.served.c_str());
  // The first requests of the busy customer did not wait for the other one.
  cr_expect_eq(rig.served.substr(0, 4), std::string("aaaa"));
}

// An operation over the rate limit must not reach an instance, and its answer
// says that it has not run and when to return.
static const Kind kOperations[] = {Kind::kRead, Kind::kWrite, Kind::kBegin};

TABLE_TEST(gateway_customers, operation_over_the_limit, kOperations) {
  CustomerRig rig;
  rig.context.admit_operation = [](const CustomerName&, TimePoint,
                                   const auto& on_decision) {
    on_decision({.admitted = false, .retry_after = 120ms});
  };
  const auto session = rig.OpenWith("key-a");
  cr_expect_eq(rig.Run(session, kOperations[*row_index], "TEXT"),
               ReplyCode::kBusy);
  cr_expect(rig.replies.back().message.find("retry_after_ms=120") !=
            std::string::npos);
  cr_expect_eq(rig.replies.back().state, TransactionState::kNone);
  cr_expect_eq(rig.RanFor("TEXT"), "nobody");
  cr_expect_eq(rig.group.opened, 0U);
}

// A statement that waits to be admitted when the process stops or the client
// leaves must be answered once, and must not run afterwards.
enum class Ending { kNone, kAnswerAll, kDisconnect };

struct WaitingCase {
  Ending ending;
  std::vector<ReplyCode> codes;
  const char* ran_for;
};

static const std::vector<WaitingCase>& WaitingCases() {
  static const std::vector<WaitingCase> kCases = {
      {Ending::kNone, {ReplyCode::kDone}, "ann"},
      {Ending::kAnswerAll, {ReplyCode::kBusy}, "nobody"},
      {Ending::kDisconnect, {}, "nobody"},
  };
  return kCases;
}

static const bool kWaitingRows[3] = {};

TABLE_TEST(gateway_customers, end_while_waiting_for_admission, kWaitingRows) {
  const WaitingCase& row = WaitingCases()[*row_index];
  CustomerRig rig;
  rig.context.admit_operation = [&rig](const CustomerName&, TimePoint,
                                       auto on_decision) {
    rig.timers.After(50ms, [on_decision] { on_decision({}); });
  };
  const auto session = rig.OpenWith("key-a");
  session->Handle(StatementOf(Kind::kWrite, "WRITE 1 x"));
  rig.timers.Advance(10ms);
  if (row.ending == Ending::kAnswerAll)
    session->AnswerAll();
  if (row.ending == Ending::kDisconnect)
    session->Disconnect();
  rig.timers.Advance(200ms);
  std::vector<ReplyCode> codes;
  for (const ClientReply& reply : rig.replies)
    codes.push_back(reply.code);
  cr_expect(codes == row.codes);
  cr_expect_eq(rig.RanFor("WRITE 1 x"), row.ran_for);
}

}  // namespace jackdawturn::gateway
