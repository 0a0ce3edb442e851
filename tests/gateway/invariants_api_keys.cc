// Keys that come, go and move between customers while sessions with
// transactions go on: each run changes the configuration at seeded times. A run
// that violates an invariant is printed with its seed; SEED= with RUNS=1
// repeats it.

#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "gateway/fake_group.h"

#include "support/reports.h"

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using Kind = ClientStatement::Kind;

enum class Mutant {
  kNone,
  // Changes of the configuration do not reach the proxy.
  kStaleConfiguration,
  // A connection is opened for whoever needed one first.
  kSharedConnections,
};

struct Violations {
  uint64_t of_other_customer = 0;
  uint64_t of_invalid_key = 0;
};

// One proxy with clients that present a few keys, and a configuration that
// gives each key to a random customer or to none.
class KeyWorld {
 public:
  KeyWorld(uint64_t seed, Mutant mutant)
      : m_random(seed),
        m_mutant(mutant),
        m_pool(m_rig.timers,
               Opener(),
               {.max_connections = [](const auto&) { return kConnections; }}),
        m_context{.timers = m_rig.timers,
                  .pool = m_pool,
                  .peer_pool = m_rig.peer_pool,
                  .peers = m_rig.peers,
                  .directory = m_rig.directory,
                  .log = m_rig.log,
                  .zone = ZoneName("z")} {
    m_context.config = m_rig.context.config;
    ChangeKeys();
    m_context.config = m_config;
  }
  ~KeyWorld() {
    m_clients.clear();
    m_rig.timers.Clear();
  }

  Violations Run() {
    for (int step = 0; step < kSteps; ++step) {
      if (Draw(8) == 0)
        ChangeKeys();
      else if (m_clients.size() < kClients || Draw(12) == 0)
        Connect();
      else
        SendStatement(m_clients[Draw(m_clients.size())]);
      m_rig.timers.Advance(std::chrono::milliseconds(Draw(6)));
    }
    m_rig.timers.Advance(2s);
    return Check();
  }

 private:
  static constexpr int kSteps = 120;
  static constexpr size_t kClients = 6;
  static constexpr size_t kKeys = 4;
  static constexpr size_t kCustomers = 3;
  static constexpr size_t kConnections = 2;

  struct Client {
    std::string key;
    std::shared_ptr<ClientSession> session;
    bool in_transaction = false;
  };

  uint64_t Draw(uint64_t count) { return m_random() % count; }

  OpenBackendSession Opener() {
    return [this, open = m_rig.group.Opener()](BackendServer server,
                                               Duration timeout, auto on_open) {
      if (m_mutant == Mutant::kSharedConnections)
        server.customer =
            m_first_opened.emplace(server.id, server.customer).first->second;
      open(server, timeout, std::move(on_open));
    };
  }

  void ChangeKeys() {
    auto config = std::make_shared<GatewayConfig>(*m_context.config);
    ++config->version;
    config->requires_api_keys = true;
    config->key_holders.clear();
    for (size_t key = 0; key < kKeys; ++key) {
      const uint64_t holder = Draw(kCustomers + 1);
      if (holder < kCustomers)
        config->key_holders[DigestApiKey("key" + std::to_string(key))] =
            CustomerName("customer" + std::to_string(holder));
    }
    m_config = config;
    if (m_mutant != Mutant::kStaleConfiguration)
      m_context.config = config;
  }

  void Connect() {
    Client client;
    client.key = "key" + std::to_string(Draw(kKeys + 1));
    client.session = ClientSession::Create(
        m_context, Draw(2) == 0 ? "strict" : "aged",
        ClientSession::Origin::kClient, [](const ClientReply&) {},
        {.key = DigestApiKey(client.key)});
    if (m_clients.size() < kClients) {
      m_clients.push_back(std::move(client));
      return;
    }
    Client& left = m_clients[Draw(kClients)];
    left.session->Disconnect();
    left = std::move(client);
  }

  // Notes the customer that the key belongs to at the start of the statement.
  void SendStatement(Client& client) {
    if (!client.session->answered())
      return;
    ClientStatement statement;
    statement.id = RequestId(std::to_string(++m_statements));
    switch (Draw(6)) {
      case 0:
        statement.kind = Kind::kBegin;
        statement.text = "BEGIN";
        break;
      case 1:
        statement.kind = Kind::kCommit;
        statement.text = "COMMIT";
        break;
      case 2:
        statement.kind = Kind::kWrite;
        statement.text = "WRITE 1 x";
        break;
      default:
        statement.kind = Kind::kRead;
        statement.text = "READ 1";
    }
    const CustomerName* holder =
        m_config->FindKeyHolder(DigestApiKey(client.key));
    m_expected[statement.id.value()] = holder ? *holder : CustomerName();
    client.session->Handle(statement);
  }

  Violations Check() const {
    Violations violations;
    for (const auto& [id, customer] : m_rig.group.ran_for) {
      const CustomerName& expected = m_expected.at(id);
      if (expected.empty())
        ++violations.of_invalid_key;
      else if (customer != expected)
        ++violations.of_other_customer;
    }
    return violations;
  }

  std::mt19937_64 m_random;
  const Mutant m_mutant;
  GatewayRig m_rig;
  // The customer for whom the first connection to an instance was opened.
  std::map<InstanceName, CustomerName> m_first_opened;
  BackendPool m_pool;
  GatewayContext m_context;
  // The operator's newest configuration.
  std::shared_ptr<const GatewayConfig> m_config;
  std::vector<Client> m_clients;
  std::map<std::string, CustomerName> m_expected;
  uint64_t m_statements = 0;
};

using Member = uint64_t Violations::*;

uint64_t RunsFromEnvironment(uint64_t runs) {
  const char* text = std::getenv("RUNS");
  return text ? std::strtoull(text, nullptr, 10) : runs;
}

PromiseResult RunPromise(const std::string& name,
                         Member violations,
                         const std::vector<Mutant>& mutants,
                         uint64_t runs) {
  PromiseResult result{.name = name, .cases = runs};
  const uint64_t seed = SeedFromEnvironment();
  for (uint64_t run = 0; run < runs; ++run) {
    if (KeyWorld(seed + run, Mutant::kNone).Run().*violations == 0)
      continue;
    ++result.broken;
    std::printf("%s violated: SEED=%lu RUNS=1\n", name.c_str(),
                static_cast<unsigned long>(seed + run));
  }
  for (const Mutant mutant : mutants) {
    ++result.mutants;
    for (uint64_t run = 0; run < runs; ++run) {
      if (KeyWorld(seed + run, mutant).Run().*violations > 0) {
        ++result.mutants_caught;
        break;
      }
    }
  }
  return result;
}

}  // namespace
}  // namespace jackdawturn::gateway

int main() {
  using jackdawturn::gateway::Mutant;
  using jackdawturn::gateway::RunPromise;
  using jackdawturn::gateway::Violations;
  const uint64_t runs = jackdawturn::gateway::RunsFromEnvironment(2'000);
  return jackdawturn::PrintPromises(
      {RunPromise("statement_runs_for_the_holder_of_its_key",
                  &Violations::of_other_customer,
                  {Mutant::kSharedConnections, Mutant::kStaleConfiguration},
                  runs),
       RunPromise("withdrawn_key_runs_nothing", &Violations::of_invalid_key,
                  {Mutant::kStaleConfiguration}, runs)});
}
