#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "programs/process_fleet.h"

#include "programs/command_support.h"

namespace jackdawturn {

// Runs a command of an operator against a proxy of the fleet.
static CommandOutput Operate(const Fleet& fleet,
                             size_t proxy,
                             Folder& folder,
                             std::vector<std::string> arguments) {
  const std::vector<std::string> options = {
      "--address",  fleet.places[proxy].operators,
      "--key-file", folder.Write("key", std::string(kOperatorKey) + "\n"),
      "--timeout",  "60000"};
  arguments.insert(arguments.end(), options.begin(), options.end());
  return Run(arguments);
}

static boost::json::value Status(const Fleet& fleet,
                                 size_t proxy,
                                 Folder& folder) {
  const CommandOutput output =
      Operate(fleet, proxy, folder, {"status", "--output", "json"});
  cr_assert_eq(output.exit_code, 0, "%s", output.err.c_str());
  return boost::json::parse(output.out);
}

static std::string PrimaryOf(const boost::json::value& status) {
  return std::string(status.at_pointer("/groups/0/primary").as_string());
}

// Waits until a steady primary other than `old` is seen.
static std::string NextPrimary(const Fleet& fleet,
                               Folder& folder,
                               const std::string& old) {
  constexpr int kTries = 600;
  for (int tries = 0; tries < kTries; ++tries) {
    const auto status = Status(fleet, 0, folder);
    const auto& phase = status.at_pointer("/groups/0/phase").as_string();
    if (phase == "steady" && PrimaryOf(status) != old)
      return PrimaryOf(status);
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return old;
}

// Waits until both proxies know each other.
static void WaitForMembers(const Fleet& fleet, Folder& folder) {
  constexpr int kTries = 600;
  for (size_t proxy : {0, 1}) {
    size_t members = 0;
    for (int tries = 0; members == 0 && tries < kTries; ++tries) {
      members =
          Status(fleet, proxy, folder).at_pointer("/members").as_array().size();
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    cr_assert_eq(members, 1);
  }
}

// Writes one after another until it is told to stop.
class Writer {
 public:
  explicit Writer(const ChildProcess& proxy) : m_proxy(proxy) {
    m_thread = std::thread([this] {
      while (!m_stop) {
        const CallerAnswer answer =
            Ask(m_proxy, ::jackdawturn::Write(++m_sent));
        if (answer.outcome == CallerOutcome::kDone)
          ++m_done;
        m_token = answer.token;
      }
    });
  }
  ~Writer() { Stop(); }
  Writer(const Writer&) = delete;
  Writer& operator=(const Writer&) = delete;

  void Stop() {
    m_stop = true;
    if (m_thread.joinable())
      m_thread.join();
  }

  // Call these after Stop().
  uint64_t sent() const { return m_sent; }
  uint64_t done() const { return m_done; }
  const std::string& token() const { return m_token; }

 private:
  const ChildProcess& m_proxy;
  std::atomic<bool> m_stop = false;
  uint64_t m_sent = 1'000;
  uint64_t m_done = 0;
  std::string m_token;
  std::thread m_thread;
};

static const char* const kPlannedChanges[] = {"operator", "leaving"};

// Guards against a planned change that refuses or loses a write: new writes
// are held while the primary changes and go to the new one.
TABLE_TEST(operator_processes,
           planned_change_refuses_no_write,
           kPlannedChanges) {
  const std::string reason = kPlannedChanges[*row_index];
  const Fleet fleet = StartFleet();
  Folder folder;
  cr_assert_eq(AskUntilServed(*fleet.proxies[0], Write(1)).outcome,
               CallerOutcome::kDone);
  AskUntilServed(*fleet.proxies[1], Read(""));
  WaitForMembers(fleet, folder);
  Writer writer(*fleet.proxies[0]);
  if (reason == "leaving") {
    Control(*fleet.platform, "/vm",
            R"({"name":"i1","zone":"zone-a","state":"leaving"})");
  } else {
    const CommandOutput output =
        Operate(fleet, 1, folder, {"failover", "g1", "--expect-term", "1"});
    cr_assert_eq(output.exit_code, 0, "%s%s", output.out.c_str(),
                 output.err.c_str());
  }
  const std::string primary = NextPrimary(fleet, folder, "i1");
  writer.Stop();
  cr_assert_neq(primary, "i1", "%s", reason.c_str());
  const uint64_t writes = writer.sent() - 1'000;
  cr_assert_eq(writer.done(), writes, "%s: %zu of %zu", reason.c_str(),
               static_cast<size_t>(writer.done()), static_cast<size_t>(writes));
  const CallerAnswer seen =
      AskUntilServed(*fleet.proxies[1], Read(writer.token()));
  cr_assert(seen.value == std::to_string((writes + 1) * 5), "%s",
            reason.c_str());
}

// Guards against commands that agree with canned answers only: each is run
// against the proxies of a fleet.
Test(operator_processes, commands_change_a_real_fleet) {
  const Fleet fleet = StartFleet();
  Folder folder;
  for (const auto& proxy : fleet.proxies)
    AskUntilServed(*proxy, Write(1));
  WaitForMembers(fleet, folder);
  cr_assert(Holds(Operate(fleet, 0, folder, {"targets", "get"}).out, "counts"));

  const std::string document = folder.Write("targets.json", kGoodTargets);
  const std::vector<std::string> set = {"targets",  "set",    document,
                                        "--expect", "1",      "--change",
                                        "change-1", "--wait", "60000"};
  cr_assert_eq(Operate(fleet, 0, folder, set).exit_code, 0);
  // The same change again changes nothing; another one lost the race.
  cr_assert_eq(Operate(fleet, 1, folder, set).exit_code, 0);
  const CommandOutput late =
      Operate(fleet, 1, folder, {"targets", "set", document, "--expect", "1"});
  cr_assert_eq(late.exit_code, 3, "%s%s", late.out.c_str(), late.err.c_str());
  for (size_t proxy : {0, 1})
    cr_assert_eq(
        Status(fleet, proxy, folder).at_pointer("/targets_version").as_int64(),
        2);

  const CommandOutput timeline =
      Operate(fleet, 0, folder, {"timeline", "--kind", "targets"});
  cr_assert_eq(timeline.exit_code, 0);
  cr_assert(Holds(timeline.out, "in_force"), "%s", timeline.out.c_str());

  cr_assert_eq(Operate(fleet, 0, folder, {"drain"}).exit_code, 0);
  cr_assert_eq(fleet.proxies[0]->Wait(), 0);
}

}  // namespace jackdawturn
