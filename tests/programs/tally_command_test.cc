#include <signal.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "core/core.h"
#include "ports/ports.h"
#include "support/child_process.h"
#include "support/command_run.h"
#include "support/source_paths.h"

// Criterion comes after the Boost headers.
#include "support/table_test.h"

namespace jackdawturn {

// Far above what any call or command needs; reached only by one that hangs.
static constexpr Duration kCallTimeout = std::chrono::seconds(60);
static constexpr std::chrono::milliseconds kEndOfCommand{240'000};
static const char* const kInstances[] = {"i1", "i2", "i3"};
static constexpr size_t kPrimary = 0;

// Three stand-ins of one group. Replicas copy from the primary, so only its
// address must be known to them.
class Group {
 public:
  Group() {
    for (const char* name : kInstances) {
      std::vector<std::string> arguments = {"standin", "instance",  "--name",
                                            name,      "--primary", "i1"};
      if (!m_instances.empty())
        arguments.insert(
            arguments.end(),
            {"--peer", "i1=" + m_instances[0]->endpoint().ToString()});
      auto child = ChildProcess::Create(BinaryPath(), arguments);
      cr_assert(child.has_value());
      m_instances.push_back(std::move(child).value());
    }
    m_port = CreateHttpBackendPort(
        m_context, {{InstanceName("i1"), m_instances[0]->endpoint()}},
        [this](BackendEvent event) { m_event = std::move(event); });
    m_port->Send(OpenBackend{kConnection, InstanceName("i1"), kCallTimeout});
    cr_assert(std::get<BackendOpened>(Wait()).result.has_value());
  }

  // Runs a write or refusal at the primary.
  void Run(const BackendRequest& request) {
    m_port->Send(CallBackend{1, InstanceName("i1"), kConnection, request,
                             kCallTimeout, false});
    const BackendEvent event = Wait();
    const auto& result = std::get<BackendAnswered>(event).result;
    cr_assert(result.has_value());
    m_position = std::get<LedgerResult>(result.value()).entry.at.position;
  }

  // Waits until all instances have all entries.
  void WaitForReplicas() const {
    for (const auto& instance : m_instances) {
      const BackendRequest report =
          ReportCall{m_position, std::chrono::milliseconds(100)};
      LogPosition reached;
      while (reached < m_position) {
        const auto response =
            SendAndWait(instance->endpoint(), "POST", TargetOf(report),
                        EncodeRequest(report), "", kCallTimeout);
        cr_assert(response.has_value());
        const auto decoded = DecodeResponse(report, response.value(), "");
        cr_assert(decoded.has_value());
        reached = std::get<InstanceReport>(decoded.value()).position;
      }
    }
  }

  void Signal(size_t index, int signal) {
    m_instances[index]->Signal(signal);
    if (signal == SIGKILL)
      m_instances[index]->Wait();
  }

  CommandOutput Tally(std::vector<std::string> options) const {
    std::vector<std::string> arguments = {"tally"};
    for (size_t index = 0; index < m_instances.size(); ++index) {
      arguments.emplace_back("--instance");
      arguments.push_back(std::string(kInstances[index]) + "=" +
                          m_instances[index]->endpoint().ToString());
    }
    arguments.insert(arguments.end(), options.begin(), options.end());
    auto output = RunToEnd(BinaryPath(), arguments, kEndOfCommand);
    cr_assert(output.has_value(), "%s", output.error().message.c_str());
    return std::move(output).value();
  }

 private:
  static constexpr BackendConnectionId kConnection{1};

  BackendEvent Wait() {
    m_event.reset();
    while (!m_event) {
      m_context.restart();
      m_context.run_one();
    }
    return *m_event;
  }

  std::vector<std::unique_ptr<ChildProcess>> m_instances;
  boost::asio::io_context m_context;
  std::unique_ptr<BackendPort> m_port;
  std::optional<BackendEvent> m_event;
  LogPosition m_position;
};

static RequestId IdAt(int year, unsigned month, unsigned day, uint64_t random) {
  const std::chrono::year_month_day date(std::chrono::year{year},
                                         std::chrono::month{month},
                                         std::chrono::day{day});
  return MakeRequestId(WallTime(std::chrono::sys_days(date)), random);
}

static WriteCommand CommandFor(const RequestId& request,
                               const char* class_name) {
  return {Term{1}, request, ClassName(class_name), 7, "add k 1"};
}

// Two writes in October; three writes and a refusal in November, which enter
// the ledger in descending order of their ids.
static std::vector<RequestId> FillLedger(Group& group) {
  const std::vector<RequestId> ids = {
      IdAt(2026, 10, 5, 1), IdAt(2026, 10, 6, 2), IdAt(2026, 11, 1, 3),
      IdAt(2026, 11, 2, 4), IdAt(2026, 11, 3, 5), IdAt(2026, 11, 4, 6)};
  for (size_t index = ids.size(); index-- > 0;) {
    const char* class_name = index == 3 ? "shelf, view" : "counts";
    const WriteCommand command = CommandFor(ids[index], class_name);
    if (index == 5)
      group.Run(RefuseCall{command});
    else
      group.Run(WriteCall{command});
  }
  group.WaitForReplicas();
  return ids;
}

static const char* const kMonths =
    "period,class,done,refused\n"
    "2026-10,counts,2,0\n"
    "2026-11,counts,2,1\n"
    "2026-11,\"shelf, view\",1,0\n";

struct CountRow {
  // The instances that get the signal; 0 sends none.
  int signal;
  std::vector<size_t> instances;
  std::vector<std::string> options;
  int exit_code;
  const char* out;
  const char* err;
};

static const CountRow kCountRows[] = {
    {0, {}, {}, 0, kMonths, "entries read: 6"},
    {SIGKILL, {2}, {}, 0, kMonths, "no report from i3"},
    {SIGKILL, {kPrimary}, {}, 0, kMonths, "no report from i1"},
    // A stopped instance accepts connections and never answers.
    {SIGSTOP, {1}, {"--timeout", "10000"}, 0, kMonths, "no report from i2"},
    {SIGKILL, {kPrimary, 1}, {}, 1, "", "fewer than two instances"},
    {SIGKILL,
     {2},
     {"--period", "day", "--from", "2026-11-02", "--until", "2026-11-04"},
     0,
     "period,class,done,refused\n"
     "2026-11-02,\"shelf, view\",1,0\n"
     "2026-11-03,counts,1,0\n",
     ""},
    {0,
     {},
     {"--period", "hour", "--until", "2026-10-06", "--output", "json"},
     0,
     R"([{"period":"2026-10-05T00","class":"counts","done":1,"refused":0}])"
     "\n",
     ""},
};

// Guards against a tally that needs every instance, counts entries that only
// one instance holds, or loses or repeats entries when one is down.
TABLE_TEST(tally_command, counts, kCountRows) {
  const CountRow& row = kCountRows[*row_index];
  Group group;
  FillLedger(group);
  for (const size_t index : row.instances)
    group.Signal(index, row.signal);
  const CommandOutput output = group.Tally(row.options);
  cr_assert_eq(output.exit_code, row.exit_code, "%s", output.err.c_str());
  cr_assert_str_eq(output.out.c_str(), row.out);
  cr_assert(output.err.find(row.err) != std::string::npos, "%s",
            output.err.c_str());
}

// An id that is not in the ledger.
static constexpr int kAbsentId = -1;

struct PartnerLine {
  int id;
  const char* outcome;
};

struct CompareRow {
  std::vector<PartnerLine> partner;
  std::vector<std::string> options;
  int exit_code;
  // Kind, id, ledger and partner of each difference.
  struct Expected {
    const char* kind;
    int id;
    const char* ledger;
    const char* partner;
  };
  std::vector<Expected> differences;
};

static const CompareRow kCompareRows[] = {
    {{{0, "done"},
      {1, "done"},
      {2, "done"},
      {3, "done"},
      {4, "done"},
      {5, "not_run"}},
     {},
     0,
     {}},
    // A request that was never sent has no entry.
    {{{0, "done"},
      {1, "done"},
      {2, "done"},
      {3, "done"},
      {4, "done"},
      {5, "not_run"},
      {kAbsentId, "not_run"}},
     {},
     0,
     {}},
    {{{0, "done"},
      {2, "done"},
      {3, "not_run"},
      {4, "done"},
      {5, "not_run"},
      {kAbsentId, "done"}},
     {},
     3,
     {{"missing", 1, "done", ""},
      {"different", 3, "done", "not_run"},
      {"extra", kAbsentId, "", "done"}}},
    // Only November is compared.
    {{{2, "done"}, {3, "done"}, {4, "unknown"}, {5, "not_run"}},
     {"--from", "2026-11-01"},
     3,
     {{"unresolved", 4, "done", "unknown"}}},
    // The rows are out of order; what was found before that row is printed.
    {{{1, "done"}, {0, "done"}}, {}, 2, {{"missing", 0, "done", ""}}},
};

// Guards against a comparison that overlooks or invents a difference while an
// instance is down and the ledger needs several passes to be put in order.
TABLE_TEST(tally_command, compare, kCompareRows) {
  const CompareRow& row = kCompareRows[*row_index];
  Group group;
  const std::vector<RequestId> ids = FillLedger(group);
  const RequestId absent = IdAt(2026, 11, 20, 9);
  const auto id_of = [&](int id) {
    return id == kAbsentId ? absent.value()
                           : ids[static_cast<size_t>(id)].value();
  };
  group.Signal(2, SIGKILL);

  char path[] = "/tmp/jackdawturn_partner_XXXXXX";
  const int file = mkstemp(path);
  cr_assert_geq(file, 0);
  close(file);
  std::string text = "request_id,outcome\n";
  for (const PartnerLine& line : row.partner)
    text += id_of(line.id) + "," + line.outcome + "\n";
  std::ofstream(path) << text;

  std::vector<std::string> options = {"--compare", path, "--sort-capacity",
                                      "2"};
  options.insert(options.end(), row.options.begin(), row.options.end());
  const CommandOutput output = group.Tally(options);
  std::remove(path);

  std::string expected = "kind,request_id,ledger,partner\n";
  for (const CompareRow::Expected& difference : row.differences)
    expected += std::string(difference.kind) + "," + id_of(difference.id) +
                "," + difference.ledger + "," + difference.partner + "\n";
  cr_assert_eq(output.exit_code, row.exit_code, "%s", output.err.c_str());
  cr_assert_str_eq(output.out.c_str(), expected.c_str());
}

}  // namespace jackdawturn
