#include <string>

#include "platform/object_decoder.h"
#include "platform/platform.h"

#include "support/mutations.h"
#include "support/table_test.h"

namespace jackdawturn::gateway::platform {

namespace {

using Kind = ClientStatement::Kind;

}  // namespace

struct LineCase {
  const char* line;
  Kind kind;
  const char* name;
  const char* argument;
};

// The last field of a line extends to its end, blanks included.
static const LineCase kLines[] = {
    {"QUERY 1 BEGIN", Kind::kBegin, "", ""},
    {"QUERY 1 BEGIN READ", Kind::kBeginRead, "", ""},
    {"QUERY 1 BEGIN WRITE", Kind::kMalformed, "", ""},
    {"QUERY 1 COMMIT", Kind::kCommit, "", ""},
    {"QUERY 1 READ 1a4", Kind::kRead, "", ""},
    {"QUERY 1 WRITE 1a4 x y", Kind::kWrite, "", ""},
    {"QUERY 1 SET v a b", Kind::kSetValue, "v", "a b"},
    {"QUERY 1 PARSE s1 WRITE q2c", Kind::kPrepare, "s1", "q2c"},
    {"QUERY 1 PARSE s1 DROP q2c", Kind::kMalformed, "s1", "q2c"},
    {"QUERY 1 EXECUTE s1 1a4 x y", Kind::kExecute, "s1", "1a4 x y"},
    {"QUERY 1 CLOSE s1", Kind::kClosePrepared, "s1", ""},
    // What only the proxy may say is no statement of a client.
    {"QUERY 1 STATUS", Kind::kMalformed, "", ""},
    {"QUERY 1 PAUSE 9", Kind::kMalformed, "", ""},
    {"QUERY 1 AFTER 1.2 READ 1", Kind::kMalformed, "", ""},
    {"QUERY 1 ", Kind::kMalformed, "", ""},
};

TABLE_TEST(platform_lines, statements_of_clients, kLines) {
  const LineCase& row = kLines[*row_index];
  const auto message = DecodeClientLine(row.line);
  cr_assert(message.has_value());
  const auto* statement = std::get_if<ClientStatement>(&message.value());
  cr_assert_not_null(statement);
  cr_expect_eq(statement->kind, row.kind);
  cr_expect_str_eq(statement->name.c_str(), row.name);
  cr_expect_str_eq(statement->argument.c_str(), row.argument);
  cr_expect_eq("QUERY 1 " + statement->text, std::string(row.line));
}

// Who connects: a client says its key, a proxy the customer it relays for, and
// an instance is told the customer.
Test(platform_lines, startups) {
  const auto client = DecodeClientLine("STARTUP db key-1");
  cr_assert(client.has_value());
  cr_expect_str_eq(std::get<ClientStartup>(client.value()).api_key.c_str(),
                   "key-1");
  const auto peer = DecodeRelayedLine("STARTUP db ann vm/17/db");
  cr_assert(peer.has_value());
  const auto& startup = std::get<ClientStartup>(peer.value());
  cr_expect_str_eq(startup.customer.value().c_str(), "ann");
  cr_expect_str_eq(startup.relay_destination.c_str(), "vm/17/db");
  const auto own = DecodeRelayedLine("STARTUP db jackdawturn vm/17/db");
  cr_expect(std::get<ClientStartup>(own.value()).customer.empty());
  BackendServer server;
  server.id = InstanceName("i-1");
  server.group = GroupName("s");
  const std::string unnamed = EncodeBackendStartup(server);
  cr_expect_str_eq(unnamed.c_str(), "STARTUP s jackdawturn i-1\r\n");
  server.customer = CustomerName("ann");
  const std::string named = EncodeBackendStartup(server);
  cr_expect_str_eq(named.c_str(), "STARTUP s ann i-1\r\n");
}

static const char* const kBadLines[] = {"", " ", "STARTUP", "QUERY", "HELLO x"};

TABLE_TEST(platform_lines, other_lines_are_refused, kBadLines) {
  cr_assert(!DecodeClientLine(kBadLines[*row_index]).has_value());
}

struct CommandCase {
  BackendCommand command;
  const char* line;
};

static const CommandCase kCommands[] = {
    {{.kind = BackendCommand::Kind::kForward,
      .id = RequestId("5c"),
      .text = "READ 1a4",
      .after = CommitPosition{3, 1207}},
     "QUERY 5c AFTER 3.1207 READ 1a4\r\n"},
    {{.kind = BackendCommand::Kind::kExecute,
      .id = RequestId("5c"),
      .name = "wq2c",
      .argument = "1a4 x"},
     "QUERY 5c EXECUTE wq2c 1a4 x\r\n"},
    {{.kind = BackendCommand::Kind::kPrepare,
      .name = "wq2c",
      .argument = "q2c",
      .writes = true},
     "QUERY - PARSE wq2c WRITE q2c\r\n"},
    {{.kind = BackendCommand::Kind::kBeginRead, .after = CommitPosition{1, 2}},
     "QUERY - AFTER 1.2 BEGIN READ\r\n"},
    {{.kind = BackendCommand::Kind::kPause, .term = 4}, "QUERY - PAUSE 4\r\n"},
};

TABLE_TEST(platform_lines, commands_to_instances, kCommands) {
  const CommandCase& row = kCommands[*row_index];
  const std::string line = EncodeCommand(row.command);
  cr_assert_str_eq(line.c_str(), row.line);
}

Test(platform_lines, status_row) {
  BackendReply reply;
  reply.rows = {"DATAROW replica 3 3.1209 5 12 2 17"};
  const auto status = DecodeStatusRow(reply);
  cr_assert(status.has_value());
  cr_expect_eq(status.value().role, ReplicationRole::kReplica);
  cr_expect_eq(status.value().term, 3U);
  cr_expect_eq(status.value().received, (CommitPosition{3, 1209}));
  cr_expect_eq(status.value().paused_term, 5U);
}

// Whatever clients, instances and other proxies send, no decoder ends the
// process.
Test(platform_lines, decoders_survive_damaged_input) {
  const std::string valid[] = {
      "STARTUP db vm vm/17/db",
      "QUERY 5c AFTER 3.1207 READ 1a4",
      "QUERY 5c EXECUTE wq2c 1a4 x",
      "QUERY - PARSE s1 WRITE q2c",
      "DATAROW replica 3 3.1209 5 12 2 17",
      "READY T 18446744073709551615.18446744073709551615",
      "ERROR LAGGING 3.1",
      R"({"zone":"z","relay_address":"a:1","leaving":false,"weight":0.5,)"
      R"("incarnation":7,"records_address":"a:2"})",
      R"({"primary":"p","term":3,"born":{"a":17,"b":18}})",
  };
  Mutator mutator(1);
  size_t decoded = 0;
  for (int run = 0; run < 20'000; ++run) {
    const std::string& line = valid[mutator.Number(std::size(valid))];
    const std::string text = run % 50 == 0   ? mutator.HostileJson()
                             : run % 51 == 0 ? mutator.Random(200)
                                             : mutator.Mutate(line);
    BackendReply reply;
    reply.rows = {text};
    decoded += DecodeClientLine(text) ? 1 : 0;
    decoded += DecodeRelayedLine(text) ? 1 : 0;
    decoded += DecodeBackendLine(text) ? 1 : 0;
    decoded += DecodeStatusRow(reply) ? 1 : 0;
    decoded += RelayDestination::Parse(text) ? 1 : 0;
    decoded += DecodePeer("vm", text) ? 1 : 0;
    decoded += DecodeMembers(text) ? 1 : 0;
  }
  cr_expect_gt(decoded, 0U);
}

// An entry of another writer names no instance to use.
static const char* const kBadServers[] = {
    "",
    "7",
    "{}",
    R"({"Service":1,"Addr":"1.2.3.4:5"})",
    R"({"Service":"s","Addr":"1.2.3.4:5","Zone":"z","State":"new","DbRole":"replica"})",
    R"({"Service":"s","Addr":"1.2.3.4:5","Zone":"z","State":"ready","DbRole":"king"})",
    R"({"Service":"s","Addr":"1.2.3.4:65536","Zone":"z","State":"ready","DbRole":"replica"})",
    R"({"Service":"s","Addr":"1.2.3.4:0","Zone":"z","State":"ready","DbRole":"replica"})",
    R"({"Service":"s","Addr":"1.2.3.4:-1","Zone":"z","State":"ready","DbRole":"replica"})",
    R"({"Service":"s","Addr":"1.2.3.4:5","Zone":"z","State":"ready","DbRole":"replica","born":1e300})",
};

TABLE_TEST(platform_records, entries_that_are_not_understood, kBadServers) {
  cr_assert(!DecodeServer({"i-1", 1, kBadServers[*row_index]}).has_value());
}

// A settings file with the members that a gateway reads, and others.
static constexpr const char* kSettings =
    R"({"NodeName":"f-1","Zone":"z-a","Ip":"10.1.0.8","Future":{},)"
    R"("ListenAddrs":{"Frontend":"10.1.0.8:8784","Ready":"10.1.0.8:8785"},)"
    R"("InternalPorts":[7440,7455],"Bounds":{"GraceS":6.5,"ConfigMs":3000,)"
    R"("DrainMs":7000},)"
    R"("Limits":{"CpuQuota":0.25},)"
    R"("platform":{"Addr":"10.200.1.7:8783"},)"
    R"("CloudApi":{"Addr":"10.200.0.160:8783"}})";

Test(platform_settings, members) {
  const auto settings = ParseNodeSettings(kSettings);
  cr_assert(settings.has_value());
  cr_expect_str_eq(settings.value().name.value().c_str(), "f-1");
  cr_expect_eq(settings.value().clients.port, 8784);
  cr_expect_eq(settings.value().metrics.port, 7440);
  cr_expect_eq(settings.value().grace, std::chrono::milliseconds(6'500));
  cr_expect_eq(settings.value().configuration_limit, std::chrono::seconds(3));
  cr_expect_eq(settings.value().departure_limit, std::chrono::seconds(7));
}

// A file that misses a member must not start a proxy with a guess.
static const char* const kMembers[] = {
    "NodeName", "Zone",     "Ip",       "Frontend", "Ready",    "InternalPorts",
    "GraceS",   "CpuQuota", "platform", "CloudApi", "ConfigMs", "DrainMs"};

TABLE_TEST(platform_settings, missing_member, kMembers) {
  std::string text = kSettings;
  const std::string member = kMembers[*row_index];
  text.replace(text.find(member), member.size(), "Other");
  cr_assert(!ParseNodeSettings(text).has_value());
}

Test(platform_records, server) {
  const auto server = DecodeServer(
      {"i-1", 7,
       R"({"Service":"s","Addr":"1.2.3.4:5","Zone":"z","State":"draining",)"
       R"("DbRole":"primary","born":99,"SeqNo":4})"});
  cr_assert(server.has_value());
  cr_expect(server.value().draining);
  cr_expect_eq(server.value().role, ReplicationRole::kPrimary);
  cr_expect_eq(server.value().incarnation, 99U);
  cr_expect_eq(server.value().revision, 7U);
}

Test(platform_records, configuration) {
  const auto config = DecodeGatewayConfig(
      {"main", 3,
       R"({"Version":7,"Routes":[{"Name":"r","Host":"db","Kind":)"
       R"("read_your_writes","TimeoutMs":800,"TargetLatencyMs":200,)"
       R"("Priority":2,"Service":"s","MaxStalenessMs":2500}],)"
       R"("Services":[{"Name":"s","MaxConns":16,"SyncReplicas":1}],)"
       R"("Limits":{"TxIdleMs":3000}})"});
  cr_assert(config.has_value());
  const Route* route = config.value().FindRoute("db");
  cr_assert_not_null(route);
  cr_expect_eq(route->freshness, ReadFreshness::kReadYourWrites);
  cr_expect_eq(route->max_staleness, std::chrono::milliseconds(2'500));
  cr_expect_eq(config.value().groups.at(GroupName("s")).connections, 16U);
}

// Customers as the operator writes them, between a good configuration's other
// members.
static Result<GatewayConfig> DecodeWithCustomers(const std::string& customers) {
  return DecodeGatewayConfig(
      {"main", 3,
       R"({"Version":7,"Routes":[],"Services":[],"Limits":{},"Tenants":)" +
           customers + "}"});
}

struct BadCustomersCase {
  const char* customers;
  const char* pointer;
};

static const BadCustomersCase kBadCustomers[] = {
    {"7", "/Tenants:"},
    {"[7]", "/Tenants/0:"},
    {R"([{"ApiKeys":["secret"]}])", "/Tenants/0/Name:"},
    {R"([{"Name":""}])", "/Tenants/0/Name:"},
    {R"([{"Name":"two words"}])", "/Tenants/0/Name:"},
    {R"([{"Name":"jackdawturn"}])", "/Tenants/0/Name:"},
    {R"([{"Name":"a"},{"Name":"a"}])", "/Tenants/1/Name:"},
    {R"([{"Name":"a","ApiKeys":"secret"}])", "/Tenants/0/ApiKeys:"},
    {R"([{"Name":"a","ApiKeys":["k",7]}])", "/Tenants/0/ApiKeys/1:"},
    {R"([{"Name":"a","ApiKeys":[""]}])", "/Tenants/0/ApiKeys/0:"},
    {R"([{"Name":"a","ApiKeys":["secret"]},{"Name":"b","ApiKeys":["secret"]}])",
     "/Tenants/1/ApiKeys/0:"},
    {R"([{"Name":"a","RatePerS":-1}])", "/Tenants/0/RatePerS:"},
    {R"([{"Name":"a","RatePerS":1e300}])", "/Tenants/0/RatePerS:"},
    {R"([{"Name":"a","RatePerS":"5"}])", "/Tenants/0/RatePerS:"},
    {R"([{"Name":"a","RatePerS":5,"Burst":-0.5}])", "/Tenants/0/Burst:"},
};

// A configuration that is wrong must be refused with the place of the fault,
// and no message may show a key.
TABLE_TEST(platform_records, wrong_customers, kBadCustomers) {
  const BadCustomersCase& row = kBadCustomers[*row_index];
  const auto config = DecodeWithCustomers(row.customers);
  cr_assert(!config.has_value(), "%s", row.customers);
  cr_expect(config.error().message.starts_with(row.pointer), "%s: %s",
            row.customers, config.error().message.c_str());
  cr_expect(config.error().message.find("secret") == std::string::npos);
}

Test(platform_records, customers) {
  const auto config = DecodeWithCustomers(
      R"([{"Name":"a","ApiKeys":["k1","k2"],"RatePerS":12.5,"Burst":3},)"
      R"({"Name":"b","ApiKeys":[],"Priority":1},{"Name":"c"}])");
  cr_assert(config.has_value());
  cr_expect(config.value().requires_api_keys);
  cr_expect_eq(config.value().customers.size(), 3U);
  const auto& limit = config.value().customers.at(CustomerName("a")).limit;
  cr_assert(limit.has_value());
  cr_expect(*limit == (RateLimit{12.5, 3}));
  cr_expect(!config.value().customers.at(CustomerName("b")).limit);
  const CustomerName* holder = config.value().FindKeyHolder(DigestApiKey("k2"));
  cr_assert_not_null(holder);
  cr_expect_str_eq(holder->value().c_str(), "a");
  cr_expect_null(config.value().FindKeyHolder(DigestApiKey("")));
}

// Only a configuration that lists customers asks for keys.
Test(platform_records, no_customers) {
  const auto config = DecodeWithCustomers("null");
  cr_assert(config.has_value());
  cr_expect(!config.value().requires_api_keys);
  cr_expect(DecodeWithCustomers("[]").value().requires_api_keys);
}

// One odd entry of another writer must not hide the others of a page, nor end
// the process (reported by operators of other systems).
struct OddEntryCase {
  const char* pattern;
  std::string item;
  // The records and unreadable entries of a page with it between two good ones.
  size_t records;
  size_t unreadable;
};

static std::string WithSpec(const std::string& spec) {
  return R"({"meta":{"Name":"odd","Revision":8},"spec":)" + spec + "}";
}

static const std::vector<OddEntryCase>& OddEntries() {
  static const std::vector<OddEntryCase> kEntries = {
      {"nested deeply",
       WithSpec(std::string(300'000, '[') + std::string(300'000, ']')), 3, 0},
      {"nested objects", WithSpec([] {
         std::string text;
         for (int depth = 0; depth < 50'000; ++depth)
           text += R"({"a":)";
         return text + "1" + std::string(50'000, '}');
       }()),
       3, 0},
      {"number out of range", WithSpec(R"({"born":1e99999})"), 3, 0},
      {"long number", WithSpec(std::string(50'000, '9')), 3, 0},
      {"invalid bytes", WithSpec("{\"Service\":\"\xff\xfe\"}"), 3, 0},
      {"no value", R"({"meta":{"Name":"odd"}})", 3, 0},
      {"brackets in a string", WithSpec(R"({"a":"]}\\\"[{"})"), 3, 0},
      {"no name", R"({"spec":{}})", 2, 1},
      {"name of another type", R"({"meta":{"Name":7},"spec":{}})", 2, 1},
      {"no object", "17", 2, 1},
      {"revision out of range", R"({"meta":{"Name":"a","Revision":1e999}})", 2,
       1},
  };
  return kEntries;
}

static constexpr size_t kOddEntryCount = 11;
static const bool kOddEntryRows[kOddEntryCount] = {};

TABLE_TEST(platform_records, odd_entry_hides_no_other, kOddEntryRows) {
  cr_assert_eq(OddEntries().size(), kOddEntryCount);
  const OddEntryCase& row = OddEntries()[*row_index];
  const std::string good =
      R"({"meta":{"Name":"i-1","Revision":7},"spec":{"Service":"s",)"
      R"("Addr":"1.2.3.4:5","Zone":"z","State":"ready","DbRole":"replica"}})";
  const std::string items = good + " , " + row.item + "," + good;
  const auto page =
      DecodePage(R"({"items":[)" + items + R"(],"HasMore":true,"AsOf":9})");
  cr_assert(page.has_value(), "%s", row.pattern);
  cr_expect_eq(page.value().list.records.size(), row.records, "%s",
               row.pattern);
  cr_expect_eq(page.value().list.unreadable, row.unreadable, "%s", row.pattern);
  cr_expect_eq(page.value().list.revision, 9U);
  cr_expect(page.value().has_more);
  cr_expect_str_eq(page.value().last_name.c_str(), "i-1");
  size_t servers = 0;
  for (const StoredRecord& record : page.value().list.records)
    servers += DecodeServer(record) ? 1 : 0;
  cr_expect_eq(servers, 2U, "%s", row.pattern);

  const std::string event = R"({"Object":)" + good + "}";
  const auto changes =
      DecodeChanges(R"({"AsOf":9,"events":[)" + event + R"(,{"Object":)" +
                    row.item + R"(,"Removed":false},)" + event + "]}");
  cr_assert(changes.has_value(), "%s", row.pattern);
  cr_expect_eq(changes.value().changes.size(), row.records, "%s", row.pattern);
  cr_expect_eq(changes.value().unreadable, row.unreadable);
}

static const char* const kBadPages[] = {
    "",
    "[]",
    "{",
    R"({"items":[)",
    R"({"items":[1})",
    R"({"items":[]})",
    R"({"items":[],"AsOf":"x"})",
    R"({"items":7,"AsOf":1})",
    R"({"items":[{"meta":{"Name":"a}],"AsOf":1})"};

TABLE_TEST(platform_records, damaged_page_is_an_error, kBadPages) {
  cr_assert(!DecodePage(kBadPages[*row_index]).has_value());
}

// Whatever another writer or a fault puts into an answer, no decoder ends the
// process.
Test(platform_records, decoders_survive_damaged_input) {
  const std::string valid =
      R"({"items":[{"meta":{"Name":"i-1","Revision":7},"spec":{"Service":"s",)"
      R"("Addr":"1.2.3.4:5","Zone":"z","State":"ready","DbRole":"replica",)"
      R"("born":17}}],"events":[{"Object":{"meta":{"Name":"i-1"},"spec":{}},)"
      R"("Removed":true}],"HasMore":false,"AsOf":9})";
  Mutator mutator(1);
  size_t decoded = 0;
  for (int run = 0; run < 3'000; ++run) {
    const std::string text =
        run % 50 == 0 ? mutator.HostileJson() : mutator.Mutate(valid);
    decoded += DecodeChanges(text) ? 1 : 0;
    decoded += DecodeObject(text) ? 1 : 0;
    decoded += DecodeGatewayConfig({"main", 1, text}) ? 1 : 0;
    const auto page = DecodePage(text);
    if (!page)
      continue;
    for (const StoredRecord& record : page.value().list.records)
      decoded += DecodeServer(record) ? 1 : 0;
  }
  // Some damage leaves a page readable.
  cr_expect_gt(decoded, 0U);
}

}  // namespace jackdawturn::gateway::platform
