#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "core/core.h"
#include "ports/ports.h"

// Criterion comes after the Boost headers.
#include "programs/command_support.h"

namespace jackdawturn {

static const std::vector<std::string> kOperatorCommands[] = {
    {"status"},
    {"targets", "get"},
    {"targets", "set", "TARGETS"},
    {"targets", "rollback"},
    {"failover", "g1"},
    {"drain"},
    {"timeline"},
};

static std::vector<std::string> WithOptions(std::vector<std::string> arguments,
                                            Folder& folder,
                                            const std::string& address) {
  for (std::string& argument : arguments) {
    if (argument == "TARGETS")
      argument = folder.Write("targets.json", kGoodTargets);
  }
  arguments.insert(arguments.end(),
                   {"--address", address, "--key-file",
                    folder.Write("key", "the key\n"), "--timeout", "200"});
  return arguments;
}

static bool IsChange(const std::vector<std::string>& arguments) {
  return arguments.back() == "TARGETS" || arguments.back() == "rollback" ||
         arguments.back() == "g1";
}

// Guards against commands that report success, hang or crash when no proxy
// listens, and against a claim of an unknown outcome when nothing was sent.
TABLE_TEST(commands, nothing_listens, kOperatorCommands) {
  // A socket that is bound and does not listen keeps the port from others.
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket bound(
      context, {boost::asio::ip::make_address("127.0.0.1"), 0});
  const std::string address =
      "127.0.0.1:" + std::to_string(bound.local_endpoint().port());
  Folder folder;
  const CommandOutput output =
      Run(WithOptions(kOperatorCommands[*row_index], folder, address));
  cr_assert_eq(output.exit_code, 1, "%s", output.err.c_str());
  cr_assert(Holds(output.err, address), "%s", output.err.c_str());
  cr_assert_not(Holds(output.err, "--change"), "%s", output.err.c_str());
  cr_assert_not(Holds(output.err, "the key"), "%s", output.err.c_str());
}

// Guards against commands that hang on a proxy that accepts connections and
// never answers. A change may then have taken effect, so the id that makes a
// repeat safe must be printed.
TABLE_TEST(commands, silent_proxy, kOperatorCommands) {
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor(
      context, {boost::asio::ip::make_address("127.0.0.1"), 0});
  const std::string address =
      "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  const auto& command = kOperatorCommands[*row_index];
  Folder folder;
  const CommandOutput output = Run(WithOptions(command, folder, address));
  cr_assert_eq(output.exit_code, 1, "%s", output.err.c_str());
  cr_assert_eq(Holds(output.err, "--change "), IsChange(command), "%s",
               output.err.c_str());
}

// A proxy's operator interface that gives one answer and keeps the request.
class FixedAnswer {
 public:
  explicit FixedAnswer(HttpResponse response)
      : m_response(std::move(response)) {
    auto server = HttpServer::Create(
        m_context, {"127.0.0.1", 0}, {},
        [this](const HttpRequest& request, const HttpServer::Respond& respond) {
          m_request = request;
          respond(m_response);
        },
        {});
    cr_assert(server.has_value());
    m_server = std::move(server).value();
    m_thread = std::thread([this] { m_context.run(); });
  }
  ~FixedAnswer() { Stop(); }
  FixedAnswer(const FixedAnswer&) = delete;
  FixedAnswer& operator=(const FixedAnswer&) = delete;

  std::string address() const { return m_server->endpoint().ToString(); }
  // Stops the server and returns the last request.
  const HttpRequest& Stop() {
    m_context.stop();
    if (m_thread.joinable())
      m_thread.join();
    return m_request;
  }

 private:
  boost::asio::io_context m_context;
  HttpResponse m_response;
  HttpRequest m_request;
  std::unique_ptr<HttpServer> m_server;
  std::thread m_thread;
};

struct AnswerRow {
  std::vector<std::string> command;
  unsigned status;
  const char* answer;
  int exit_code;
  std::vector<std::string> out;
  std::vector<std::string> err;
  const char* target;
  // Part of the body that the command sends.
  const char* sent;
};

static const char* const kStatusAnswer =
    R"({"vm":"a1","zone":"z1","targets_version":4,"members":[{"vm":"b1",)"
    R"("zone":"z2","suspect":true,"leaving":false}],"groups":[{"name":"g1",)"
    R"("state":"steady","phase":"steady","term":7,"primary":"i2",)"
    R"("last_change":{"attempt":"x","by":"b1","reason":"primary is silent"},)"
    R"("instances":[{"name":"i1","lag_entries":41,"suspicion":0.25,)"
    R"("readable":true},{"name":"i2","lag_entries":0,"suspicion":0.5,)"
    R"("readable":true,"report":{"accepted_term":7,"log_term":7,)"
    R"("position":99,"primary":true}}]}]})";

static const AnswerRow kAnswerRows[] = {
    {{"status"},
     200,
     kStatusAnswer,
     0,
     {"g1     i2       7     steady  steady  41   0.5        b1: primary is "
      "silent\n",
      "g1     i2        99        0    0.5        true\n",
      "b1      z2    true     false\n"},
     {},
     "/v1/status",
     ""},
    {{"status", "--output", "json"},
     200,
     kStatusAnswer,
     0,
     {R"("lag_entries":41)"},
     {},
     "/v1/status",
     ""},
    {{"status"}, 200, "no JSON", 1, {}, {"operator.answer"}, "/v1/status", ""},
    {{"status"},
     401,
     R"({"code":"unauthorized","step":"s","peer":"","message":"wrong key"})",
     1,
     {},
     {"wrong key"},
     "/v1/status",
     ""},
    {{"targets", "get"},
     200,
     R"({"version":4,"change":"c9","document":{"classes":{"counts":)"
     R"({"allowed_age_ms":"none","answer_time_ms":300,"repeatable":false}}}})",
     0,
     {R"("counts": {"allowed_age_ms":"none")"},
     {"version=4", "change=c9"},
     "/v1/targets",
     ""},
    {{"targets", "set", "TARGETS", "--expect", "3", "--change", "c1"},
     200,
     R"({"outcome":"accepted","version":4,"faults":[],"difference":""})",
     0,
     {"accepted version=4 change=c1"},
     {},
     "/v1/targets",
     R"({"change":"c1","expected_version":3,"document":{"classes":{"counts")"},
    {{"targets", "set", "TARGETS", "--change", "c1"},
     409,
     R"({"outcome":"conflict","version":5,"faults":[],)"
     R"("difference":"~ counts answer_time_ms 300 -> 400\n"})",
     3,
     {"~ counts answer_time_ms 300 -> 400"},
     {"version 5"},
     "/v1/targets",
     R"("change":"c1")"},
    {{"targets", "set", "TARGETS", "--change", "c1"},
     400,
     R"({"outcome":"invalid","version":0,"faults":[{"pointer":"/classes/x",)"
     R"("message":"too many"}],"difference":""})",
     2,
     {},
     {"/classes/x: too many"},
     "/v1/targets",
     ""},
    {{"targets", "set", "TARGETS", "--change", "c1"},
     504,
     R"({"outcome":"unknown","version":0,"faults":[],"difference":""})",
     1,
     {},
     {"jackdawturn targets set", "--change c1"},
     "/v1/targets",
     ""},
    {{"targets", "set", "TARGETS", "--change", "c1"},
     503,
     R"({"code":"exhausted","step":"s","peer":"","message":"overloaded"})",
     1,
     {},
     {"overloaded"},
     "/v1/targets",
     ""},
    {{"targets", "set", "TARGETS", "--change", "c1"},
     503,
     R"({"outcome":"unavailable","version":0,"faults":[],"difference":""})",
     1,
     {},
     {"not changed: unavailable"},
     "/v1/targets",
     ""},
    {{"failover", "g1", "--change", "c3"},
     429,
     R"({"error":"rate limit"})",
     1,
     {},
     {"too many requests"},
     "/v1/failover",
     ""},
    {{"targets", "set", "TARGETS", "--wait", "900", "--change", "c1"},
     200,
     R"({"outcome":"accepted","version":4,"in_force_everywhere":false,)"
     R"("proxies":8,"behind":["b1"],"silent_zones":["z3"]})",
     1,
     {"accepted version=4", "behind b1\n", "no answer from zone z3\n"},
     {},
     "/v1/targets",
     R"("wait_ms":900)"},
    {{"targets", "set", "TARGETS", "--wait", "900", "--change", "c1"},
     200,
     R"({"outcome":"accepted","version":4,"in_force_everywhere":true,)"
     R"("proxies":8,"behind":[],"silent_zones":[]})",
     0,
     {"accepted version=4"},
     {},
     "/v1/targets",
     R"("wait_ms":900)"},
    {{"targets", "rollback", "--expect", "4", "--change", "c2"},
     200,
     R"({"outcome":"accepted","version":5,"faults":[],"difference":""})",
     0,
     {"accepted version=5 change=c2"},
     {},
     "/v1/targets/rollback",
     R"({"change":"c2","expected_version":4})"},
    {{"failover", "g1", "--expect-term", "7", "--change", "c3"},
     200,
     R"({"outcome":"changed"})",
     0,
     {"changed group=g1 change=c3"},
     {},
     "/v1/failover",
     R"({"group":"g1","change":"c3","expected_term":7})"},
    {{"failover", "g1", "--change", "c3"},
     409,
     R"({"code":"conflict","step":"failover.planned_change","peer":"",)"
     R"("message":"the group is in term 8"})",
     3,
     {},
     {"refused", "the group is in term 8"},
     "/v1/failover",
     R"({"group":"g1","change":"c3"})"},
    {{"failover", "g9", "--change", "c3"},
     404,
     R"({"code":"not_found","step":"s","peer":"","message":"unknown group"})",
     3,
     {},
     {"unknown group"},
     "/v1/failover",
     ""},
    {{"failover", "g1", "--change", "c3"},
     409,
     R"({"code":"timeout","step":"s","peer":"","message":"no answer"})",
     1,
     {},
     {"--change c3"},
     "/v1/failover",
     ""},
    {{"drain"},
     200,
     R"({"outcome":"draining"})",
     0,
     {"draining"},
     {},
     "/v1/drain",
     ""},
    {{"timeline"}, 200, R"({"events":[]})", 0, {}, {}, "/v1/timeline", ""},
    {{"timeline"},
     200,
     R"({"events":[{}]})",
     1,
     {},
     {"no time line from"},
     "/v1/timeline",
     ""},
};

// Guards against a wrong path, body or key, and against an answer that gets
// another exit code or loses what the operator needs to know.
TABLE_TEST(commands, answers, kAnswerRows) {
  const AnswerRow& row = kAnswerRows[*row_index];
  FixedAnswer proxy({row.status, row.answer});
  Folder folder;
  std::vector<std::string> arguments =
      WithOptions(row.command, folder, proxy.address());
  // The answer comes at once; the time only bounds a hanging command.
  arguments.back() = "60000";
  ExpectRun(arguments, row.exit_code, row.out, row.err);
  const HttpRequest& request = proxy.Stop();
  cr_assert_str_eq(request.target.c_str(), row.target);
  cr_assert_str_eq(request.authorization.c_str(), "Bearer the key");
  cr_assert(Holds(request.body, row.sent), "%s", request.body.c_str());
}

}  // namespace jackdawturn
