#include <unistd.h>
#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "settings_support.h"
#include "targets/targets.h"

#include "support/table_test.h"

namespace jackdawturn {

namespace json = boost::json;

static void AssertText(const SocketAddress& address, const char* expected) {
  std::ostringstream text;
  text << address;
  const std::string shown = text.str();
  cr_assert_str_eq(shown.c_str(), expected);
}

static const char* const kExamples[] = {
    "examples/ferreira/entry-a1.json", "examples/ferreira/entry-b1.json",
    "examples/ferreira/entry-c1.json", "examples/szamlalo/entry-a1.json",
    "examples/szamlalo/entry-b1.json", "examples/szamlalo/entry-c1.json",
};

// Guards against examples that the binary refuses.
TABLE_TEST(settings, examples_are_valid, kExamples) {
  const SettingsCheck check = CheckSettings(ReadText(kExamples[*row_index]));
  cr_assert(check.valid(), "%s", Shown(check.errors).c_str());
  cr_assert_eq(check.settings.zones.size(), 3U);
  cr_assert_eq(check.settings.groups.size(), 3U);
  for (const GroupSettings& group : check.settings.groups)
    cr_assert_eq(group.instances.size(), 3U);
}

// Guards against a decoder that loses, mixes up or rescales values.
Test(settings, values_reach_their_members) {
  const auto loaded =
      LoadSettings(SourcePath("examples/szamlalo/entry-b1.json"));
  cr_assert(loaded.has_value());
  const Settings& settings = loaded.value();
  cr_assert(settings.vm == VmName("entry-b1"));
  cr_assert_str_eq(settings.region.c_str(), "hu-central");
  cr_assert(settings.zone == ZoneName("hu-central-b"));
  AssertText(settings.listen.callers, "10.40.2.11:8080");
  AssertText(settings.listen.operators, "10.40.2.11:8081");
  AssertText(settings.listen.relay, "10.40.2.11:7400");
  AssertText(settings.listen.gossip, "10.40.2.11:7400");
  AssertText(settings.platform, "10.40.0.5:8500");
  cr_assert_eq(settings.peers.size(), 2U);
  cr_assert(settings.peers[1].vm == VmName("entry-c1"));
  cr_assert(settings.peers[1].zone == ZoneName("hu-central-c"));
  AssertText(settings.peers[1].relay, "10.40.3.11:7400");
  AssertText(settings.peers[1].gossip, "10.40.3.11:7400");
  AssertText(SocketAddress{"fd00::1", 80}, "[fd00::1]:80");
  const InstanceSettings& instance = settings.groups[1].instances[2];
  cr_assert(instance.name == InstanceName("shelves-c"));
  cr_assert(instance.zone == ZoneName("hu-central-c"));
  AssertText(instance.address, "10.40.3.102:9000");
  cr_assert_eq(instance.connection_limit, 30U);
  cr_assert_eq(instance.slots, 2U);
  cr_assert_eq(settings.keys.fleet.size(), 2U);
  cr_assert_str_eq(settings.keys.fleet[0].id.c_str(), "fleet-2026-1");
  cr_assert_str_eq(settings.keys.tokens[0].secret.value().c_str(),
                   "example-only-szamlalo-token-1-replace-before-use");
  cr_assert_eq(settings.limits.body_bytes, 262'144U);
  cr_assert(settings.retention.ledger == std::chrono::days(40));
  cr_assert(settings.timeouts.open_connection ==
            std::chrono::milliseconds(600));
}

struct BadSettings {
  // The value at `pointer` of the example is replaced by this JSON text; an
  // empty text removes it.
  const char* pointer;
  const char* replacement;
  // What the only error says; parts of `expected` suffice.
  const char* error_pointer;
  const char* error_value;
  const char* expected;
};

static const BadSettings kBadSettings[] = {
    // Values that the schema refuses.
    {"/vm", "", "/vm", "", "the name of this VM"},
    {"/vm", "7", "/vm", "7", "a string of 1 to 64 characters"},
    {"/vm", R"("")", "/vm", R"("")", "a string of 1 to 64 characters"},
    {"/listen", "", "/listen", "", "an object"},
    {"/listen/callers/port", "70000", "/listen/callers/port", "70000",
     "an integer from 1 to 65535"},
    {"/listen/callers/port", "80.5", "/listen/callers/port", "8.05E1",
     "an integer from 1 to 65535"},
    {"/listen/callers/port", R"("80")", "/listen/callers/port", R"("80")",
     "an integer from 1 to 65535"},
    {"/platform", R"("10.0.0.1:80")", "/platform", R"("10.0.0.1:80")",
     "an IP number and a port"},
    {"/groups/1/instances", "[]", "/groups/1/instances", "(list of 0 items)",
     "a list of 2 to 9 items"},
    {"/groups/1/instances/2/slots", "0", "/groups/1/instances/2/slots", "0",
     "an integer from 1 to 10000"},
    {"/limits/body_bytes", "18446744073709551615", "/limits/body_bytes",
     "1.8446744073709552E19", "an integer from 1024 to 16777216"},
    {"/limits/body_bytes", "-1", "/limits/body_bytes", "-1",
     "an integer from 1024 to 16777216"},
    {"/retention/ledger_days", "31", "/retention/ledger_days", "31",
     "an integer from 32 to 400"},
    {"/timeouts/request_ms", "null", "/timeouts/request_ms", "null",
     "an integer"},
    {"/keys/fleet", "[]", "/keys/fleet", "(list of 0 items)", "1 to 8 items"},
    // Secrets are never shown, wherever the fault is.
    {"/keys/fleet/0/secret", R"("short")", "/keys/fleet/0/secret", "(secret)",
     "a string of 32 to 512 characters"},
    {"/keys/fleet", R"("short")", "/keys/fleet", "(secret)", "a list"},
    {"/keys", R"("short")", "/keys", "(secret)", "an object"},
    {"/keys/tokens/0/id", "5", "/keys/tokens/0/id", "(secret)", "a string"},
    // Unknown keys.
    {"/limits/body_byte", "2048", "/limits/body_byte", "(not shown)",
     "the nearest is \"body_bytes\""},
    {"/timeouts/drian_ms", "2048", "/timeouts/drian_ms", "(not shown)",
     "the nearest is \"drain_ms\""},
    {"/kyes", R"({"fleet": []})", "/kyes", "(not shown)",
     "the nearest is \"keys\""},
    {"/groups/0/instances/0/slot", "2", "/groups/0/instances/0/slot",
     "(not shown)", "the nearest is \"slots\""},
    {"/a~1b~0c", "2", "/a~1b~0c", "(not shown)", "a known key"},
    // Rules that the schema cannot express.
    {"/zone", R"("uy-sur-d")", "/zone", R"("uy-sur-d")", "listed at /zones"},
    {"/zones/2", R"("uy-sur-a")", "/zones/2", R"("uy-sur-a")",
     "the same is at /zones/0"},
    {"/peers/0/zone", R"("uy-sur-d")", "/peers/0/zone", R"("uy-sur-d")",
     "listed at /zones"},
    {"/peers/0/vm", R"("entry-a1")", "/peers/0/vm", R"("entry-a1")",
     "the same is at /vm"},
    {"/peers/1/vm", R"("entry-b1")", "/peers/1/vm", R"("entry-b1")",
     "the same is at /peers/0/vm"},
    {"/peers/1/gossip/ip", R"("10.20.2.11")", "/peers/1/gossip", "(object)",
     "the same is at /peers/0/gossip"},
    {"/platform/ip", R"("platform.example")", "/platform/ip",
     R"("platform.example")", "an IP number"},
    {"/platform/ip", R"("10.0.0.256")", "/platform/ip", R"("10.0.0.256")",
     "an IP number"},
    {"/listen/operators/port", "8080", "/listen/operators", "(object)",
     "the same is at /listen/callers"},
    {"/listen/operators", R"({"ip": "0.0.0.0", "port": 7400})", "/listen/relay",
     "(object)", "the same is at /listen/operators"},
    {"/listen/gossip/ip", R"("0.0.0.0")", "/listen/gossip/ip", R"("0.0.0.0")",
     "the IP number of one VM"},
    {"/groups/2/name", R"("loans")", "/groups/2/name", R"("loans")",
     "the same is at /groups/1/name"},
    {"/groups/2/instances/0/name", R"("loans-c")", "/groups/2/instances/0/name",
     R"("loans-c")", "the same is at /groups/1/instances/2/name"},
    {"/groups/2/instances/0/address", R"({"ip": "10.20.1.101", "port": 9000})",
     "/groups/2/instances/0/address", "(object)",
     "the same is at /groups/0/instances/0/address"},
    {"/groups/2/instances/0/zone", R"("uy-sur-x")",
     "/groups/2/instances/0/zone", R"("uy-sur-x")", "listed at /zones"},
    {"/keys/fleet/1/id", R"("fleet-2026-1")", "/keys/fleet/1/id", "(secret)",
     "the same is at /keys/fleet/0/id"},
    {"/keys/tokens/0/secret",
     R"("example-only-ferreira-fleet-1-replace-before-use")",
     "/keys/tokens/0/secret", "(secret)",
     "the same is at /keys/fleet/0/secret"},
    {"/timeouts/request_max_ms", "1999", "/timeouts/request_max_ms", "1999",
     "at least 2000, the value of /timeouts/request_ms"},
    {"/timeouts/transaction_idle_ms", "10001", "/timeouts/transaction_total_ms",
     "10000", "at least 10001, the value of /timeouts/transaction_idle_ms"},
    {"/timeouts/drain_ms", "29999", "/timeouts/drain_ms", "29999",
     "at least 30000, the value of /timeouts/request_max_ms"},
};

static json::value BadDocument(const BadSettings& row) {
  json::value document = ExampleDocument();
  if (*row.replacement != '\0')
    SetAt(document, row.pointer, json::parse(row.replacement));
  else
    RemoveAt(document, row.pointer);
  return document;
}

// Guards against faults that are accepted, and against errors that name the
// wrong place, show a secret or come with errors that follow from them.
TABLE_TEST(settings, bad_settings, kBadSettings) {
  const BadSettings& row = kBadSettings[*row_index];
  const SettingsCheck check = CheckSettings(json::serialize(BadDocument(row)));
  const std::string shown = Shown(check.errors);
  cr_assert_eq(check.errors.size(), 1U, "%s %s:\n%s", row.pointer,
               row.replacement, shown.c_str());
  const SettingsError& error = check.errors[0];
  cr_assert_str_eq(error.pointer.c_str(), row.error_pointer, "%s",
                   shown.c_str());
  cr_assert_str_eq(error.value.c_str(), row.error_value, "%s", shown.c_str());
  cr_assert(error.expected.find(row.expected) != std::string::npos,
            "%s, wanted %s", shown.c_str(), row.expected);
}

// Guards against a check that stops at the first fault, or that drops the
// rules when the schema has found something.
Test(settings, all_faults_are_reported_at_once) {
  json::value document = ExampleDocument();
  const std::pair<const char*, json::value> changes[] = {
      {"/vm", 7},
      {"/limits/body_bites", 1},
      {"/listen/callers/port", 0},
      {"/platform/ip", "platform"},
      {"/groups/0/instances/1/zone", "uy-sur-x"},
      {"/timeouts/drain_ms", 1},
  };
  std::vector<std::string> expected;
  for (const auto& [pointer, value] : changes) {
    SetAt(document, pointer, value);
    expected.emplace_back(pointer);
  }
  std::vector<std::string> pointers;
  for (const SettingsError& error :
       CheckSettings(json::serialize(document)).errors)
    pointers.push_back(error.pointer);
  std::sort(expected.begin(), expected.end());
  std::sort(pointers.begin(), pointers.end());
  cr_assert(pointers == expected);
}

struct BadText {
  const char* text;
  const char* pointer;
  const char* expected;
  // True if that is the only error.
  bool alone;
};

static const BadText kBadTexts[] = {
    {"", "", "near line 1, column 1", true},
    {"{\n  \"vm\": x}", "", "near line 2", true},
    {"{} {}", "", "near line 1", true},
    {"[]", "", "an object", true},
    {"\"secret\"", "", "an object", true},
    {"\"\xff\"", "", "JSON", true},
    {R"({"a": [1, {"vm": 1, "vm": 2}]})", "/a/1/vm", "once", false},
    {R"({"vm": "a", "\u0076m": "b"})", "/vm", "once", false},
};

// Guards against texts that are not JSON, or that have a key twice, of which
// the parser would silently keep the last.
TABLE_TEST(settings, bad_texts, kBadTexts) {
  const BadText& row = kBadTexts[*row_index];
  const SettingsCheck check = CheckSettings(row.text);
  cr_assert_not(check.valid());
  const std::string shown = Shown(check.errors);
  cr_assert(!row.alone || check.errors.size() == 1, "%s", shown.c_str());
  cr_assert_str_eq(check.errors[0].pointer.c_str(), row.pointer, "%s",
                   shown.c_str());
  cr_assert(check.errors[0].expected.find(row.expected) != std::string::npos,
            "%s", shown.c_str());
  cr_assert(shown.find("secret\"") == std::string::npos);
}

// Guards against nesting that exhausts the stack.
Test(settings, deep_nesting_is_refused) {
  std::string text(100'000, '[');
  cr_assert_not(CheckSettings(text).valid());
  text.append(100'000, ']');
  cr_assert_not(CheckSettings(text).valid());
}

// Guards against long values that fill the log, and cuts within a character.
Test(settings, long_values_are_shortened) {
  json::value document = ExampleDocument();
  std::string name;
  while (name.size() < 10'000)
    name += "\u00e9\u4e2d";
  SetAt(document, "/vm", json::string(name));
  const SettingsCheck check = CheckSettings(json::serialize(document));
  cr_assert_eq(check.errors.size(), 1U);
  cr_assert_leq(check.errors[0].value.size(), 64U);
  // The parser refuses text that is not UTF-8.
  boost::system::error_code error;
  json::parse('"' + check.errors[0].value.substr(1) + '"', error);
  cr_assert_not(error.failed());
}

// Guards against a missing or broken file that looks like valid settings.
Test(settings, load_reports_the_file) {
  const auto missing = LoadSettings("/nonexistent/settings.json");
  cr_assert(missing.error().code == ErrorCode::kNotFound);
  cr_assert_str_eq(missing.error().peer.c_str(), "/nonexistent/settings.json");

  char path[] = "/tmp/jackdawturn-settings-XXXXXX";
  const int file = mkstemp(path);
  cr_assert_geq(file, 0);
  cr_assert_eq(write(file, "{}", 2), 2);
  close(file);
  const auto broken = LoadSettings(path);
  std::remove(path);
  cr_assert(broken.error().code == ErrorCode::kInvalidArgument);
  cr_assert(broken.error().message.find("pointer=\"/vm\"") !=
            std::string::npos);
}

static const char* const kTargets[] = {"examples/ferreira/targets.json",
                                       "examples/szamlalo/targets.json"};

// Guards against example targets that lack one of the three statements of a
// target, or that state something else.
TABLE_TEST(settings, example_targets_have_the_three_statements, kTargets) {
  const json::value document = json::parse(ReadText(kTargets[*row_index]));
  size_t without_age = 0;
  const json::object& classes = document.at("classes").as_object();
  cr_assert(targets::ParseTargets(document).valid());
  for (const auto& member : classes) {
    const json::object& target = member.value().as_object();
    cr_assert_eq(target.size(), 3U);
    const json::value& age = target.at("allowed_age_ms");
    cr_assert(age == json::value("none") || age.as_int64() > 0);
    without_age += age.is_string() ? 1 : 0;
    cr_assert_gt(target.at("answer_time_ms").as_int64(), 0);
    cr_assert(target.at("repeatable").is_bool());
  }
  cr_assert_gt(without_age, 0U);
  cr_assert_lt(without_age, classes.size());
}

}  // namespace jackdawturn
