// Runs one case of the review: case_runner NAME FOLDER. Writes record.txt into
// FOLDER. Exit codes: 1 when the rule was broken, 0 when it held, 2 when the
// case could not run. With TROUBLE=0 the disruption is left out.

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>

#include "case_client.h"
#include "case_group.h"

namespace review {

namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

const char* const kPrimaryDatabase = "signing";
const char* const kSessionDatabase = "booking";

bool Trouble() {
  const char* value = getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

// The gateways, the store and one group, with a configuration of three routes.
struct Deployment {
  // With `one_zone`, all gateways are in the same zone.
  Deployment(size_t count, Group::Options options, bool one_zone = false) {
    char folder[] = "/tmp/review-XXXXXX";
    m_folder = mkdtemp(folder);
    store = std::make_unique<Store>(
        count,
        [this](const std::string&, const std::string& id) {
          const bool accepted = group->Promote(id);
          if (accepted && on_promotion)
            on_promotion(id);
          return accepted;
        },
        [this](std::string body, size_t gateway) {
          return group->WithAddresses(std::move(body), gateway);
        });
    const std::string service = options.service;
    const std::string connections = std::to_string(options.connections);
    group = std::make_unique<Group>(std::move(options), *store, count);
    const auto route = [&](const std::string& database,
                           const std::string& rest) {
      return "{\"Name\":\"r-" + database + "\",\"Host\":\"" + database +
             "\",\"PathPrefix\":\"/\",\"Service\":\"" + service +
             "\",\"MaxAttempts\":2,\"Priority\":1," + rest + "}";
    };
    store->Put(
        "config", "main",
        "{\"Version\":7,\"Routes\":[" +
            route(kPrimaryDatabase,
                  "\"Kind\":\"primary\",\"TimeoutMs\":800,"
                  "\"TargetLatencyMs\":100") +
            "," +
            route(kSessionDatabase,
                  "\"Kind\":\"read_your_writes\",\"TimeoutMs\":800,"
                  "\"TargetLatencyMs\":200,\"MaxStalenessMs\":2500") +
            "],\"Services\":[{\"Name\":\"" + service +
            "\",\"HealthPath\":\"/healthz\",\"MaxConns\":" + connections +
            ",\"Protocol\":\"h1\",\"Tls\":false,\"SyncReplicas\":1}],"
            "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,"
            "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000,\"TxIdleMs\":"
            "3000}}");
    group->StartHeartbeats();
    const char* const zones[] = {"z-a", "z-b", "z-c"};
    for (size_t index = 0; index < count; ++index) {
      gateways.push_back(
          std::make_unique<Gateway>("frontend-" + std::to_string(index + 1),
                                    zones[one_zone ? 0 : index % 3], m_folder));
      gateways.back()->Start(store->port(index));
    }
  }
  ~Deployment() {
    gateways.clear();
    // Threads of the stand-ins go on until the process ends.
    (void)store.release();
    (void)group.release();
    if (getenv("KEEP_LOGS"))
      fprintf(stderr, "logs of the gateways: %s\n", m_folder.c_str());
    else
      std::filesystem::remove_all(m_folder);
  }

  // Returns whether all gateways are ready and can write.
  bool AwaitService() {
    for (const auto& gateway : gateways) {
      bool served = false;
      for (int tries = 0; tries < 100 && !served; ++tries) {
        Sleep(Ms(100));
        Client client("w" + std::to_string(++m_clients), *gateway);
        client.recorded = false;
        served = gateway->Ready() && client.Open(kPrimaryDatabase) &&
                 client.Query("WRITE start 1").done;
      }
      if (!served)
        return false;
    }
    return true;
  }

  std::unique_ptr<Store> store;
  std::unique_ptr<Group> group;
  std::vector<std::unique_ptr<Gateway>> gateways;
  // Called with the instance of a promotion that was accepted; may be null.
  std::function<void(const std::string& id)> on_promotion;

 private:
  std::string m_folder;
  unsigned m_clients = 0;
};

int NotRun(const std::string& why) {
  Note("the case could not run: " + why);
  return kNotRun;
}

int Verdict(bool broken, const std::string& what) {
  Note(std::string(broken ? "BROKEN: " : "held: ") + what);
  return broken ? kBroken : kHeld;
}

// Sends the same statement again and again, until it is told to stop, and keeps
// the ids of those that were acknowledged.
class Sender {
 public:
  Sender(std::string name, const Gateway& gateway, std::string text)
      : m_text(std::move(text)),
        m_client(std::move(name), gateway),
        m_thread([this] { Run(); }) {}
  ~Sender() {
    m_stop = true;
    m_thread.join();
  }
  Sender(const Sender&) = delete;
  Sender& operator=(const Sender&) = delete;

  std::set<std::string> Acknowledged() {
    const std::lock_guard lock(m_mutex);
    return m_acknowledged;
  }

 private:
  void Run() {
    while (!m_stop) {
      Sleep(Ms(15));
      if (!m_client.is_open() && !m_client.Open(kPrimaryDatabase)) {
        Sleep(Ms(100));
        continue;
      }
      const Reply reply = m_client.Query(m_text);
      if (!reply.answered || !reply.done)
        continue;
      const std::lock_guard lock(m_mutex);
      m_acknowledged.insert(m_client.last_id());
    }
  }

  const std::string m_text;
  std::mutex m_mutex;
  std::set<std::string> m_acknowledged;
  std::atomic<bool> m_stop{false};
  Client m_client;
  std::thread m_thread;
};

// A statement whose last field holds a LF is one line and one request.
int RunLineFeed() {
  Deployment deployment(1, {});
  if (!deployment.AwaitService())
    return NotRun("no service");
  std::mutex mutex;
  std::vector<Run> runs;
  deployment.group->on_run = [&](const Run& run) {
    const std::lock_guard lock(mutex);
    runs.push_back(run);
    Note(run.instance + " runs " + run.id + " " + run.text);
  };
  Client client("c1", *deployment.gateways.front());
  if (!client.Open(kPrimaryDatabase))
    return NotRun("no session");
  const std::string id = client.NewId();
  const std::string inner = "5c0e7a21d94b36f8";
  const std::string text = std::string("WRITE note first line") +
                           (Trouble() ? "\n" : " ") + "QUERY " + inner +
                           " WRITE balance 0";
  Note("c1 sends " + id + " as one line of the protocol: " + text);
  client.Send("QUERY " + id + " " + text + "\r\n");
  const Reply reply = client.ReadReply(Ms(2'500));
  Note("c1 gets: " + std::string(!reply.answered ? "no answer"
                                 : reply.done    ? "COMPLETE " + reply.signature
                                                 : "ERROR " + reply.code));
  Sleep(Ms(1'000));
  const std::lock_guard lock(mutex);
  bool broken = false;
  for (const Run& run : runs) {
    if (run.id != id)
      Note("no client sent a request with the id " + run.id);
    else if (run.text != text)
      Note("the text of " + id + " was changed");
    broken = broken || run.id != id || run.text != text;
  }
  return Verdict(broken, "UNASKED: an instance ran what no client had sent");
}

// Many statements are sent on one connection without waiting for answers.
int RunFlood() {
  const char* count_text = getenv("FLOOD");
  const size_t kStatements =
      count_text ? strtoul(count_text, nullptr, 10) : 100'000;
  constexpr size_t kSlowStatements = 500;
  constexpr unsigned kRounds = 3;
  Group::Options options;
  options.work = Ms(15);
  Deployment deployment(3, options);
  if (!deployment.AwaitService())
    return NotRun("no service");
  std::vector<unsigned> ends(deployment.gateways.size());
  unsigned lost = 0;
  for (unsigned round = 0; round < kRounds; ++round) {
    for (size_t index = 0; index < deployment.gateways.size(); ++index) {
      Gateway& gateway = *deployment.gateways[index];
      const std::string suffix =
          std::to_string(round) + "g" + std::to_string(index);
      Client bystander("b" + suffix, gateway);
      Client flood("f" + suffix, gateway);
      flood.recorded = false;
      if (!bystander.Open(kPrimaryDatabase) || !flood.Open(kPrimaryDatabase))
        return NotRun("no session");
      if (Trouble()) {
        std::string lines = "QUERY " + flood.NewId() + " READ slow\r\n";
        for (size_t count = 0; count < kStatements; ++count)
          lines.append("QUERY " + flood.NewId() + " SET tenant t1\r\n");
        Note("f" + suffix + " sends to " + gateway.name() + ": one READ and " +
             std::to_string(kStatements) + " SET, " +
             std::to_string(lines.size()) + " bytes, without waiting");
        std::thread sender([&] { flood.Send(lines); });
        Sleep(Ms(5));
        lost += bystander.Query("WRITE item data").answered ? 0 : 1;
        size_t answers = 0;
        while (answers <= kStatements && flood.ReadReply(Ms(3'000)).answered)
          ++answers;
        flood.Shut();
        sender.join();
        flood.Close();
        Note("f" + suffix + " got " + std::to_string(answers) + " answers");
      } else {
        flood.Query("READ slow");
        for (size_t count = 0; count < kSlowStatements; ++count)
          flood.Query("SET tenant t1");
        Note("f" + suffix + " sent to " + gateway.name() + ": one READ and " +
             std::to_string(kSlowStatements) + " SET, one after the other");
        lost += bystander.Query("WRITE item data").answered ? 0 : 1;
      }
      Sleep(Ms(300));
      if (const auto end = gateway.Ended()) {
        ++ends[index];
        Note(gateway.name() + " has ended by itself: " + *end);
        gateway.Start(deployment.store->port(index));
      }
    }
    if (!deployment.AwaitService())
      return NotRun("no service after the round");
  }
  const auto machines =
      std::count_if(ends.begin(), ends.end(),
                    [](unsigned count) { return count >= kRounds; });
  Note("requests of other clients that got no answer: " + std::to_string(lost));
  return Verdict(machines >= 2,
                 "Fault: processes ended by themselves three times on " +
                     std::to_string(machines) + " of 3 machines");
}

// Compares the session values of each statement that an instance runs for one
// client with those that were acknowledged to this client.
class ValueCheck {
 public:
  ValueCheck(Group& group, const std::string& client) {
    group.on_run = [this, prefix = client](const Run& run) {
      if (run.id.starts_with(prefix))
        Check(run);
    };
  }

  void Acknowledged(const std::string& name, const std::string& value) {
    const std::lock_guard lock(m_mutex);
    m_values[name] = value;
  }

  int Verdict() {
    const std::lock_guard lock(m_mutex);
    return review::Verdict(m_differ > 0,
                           "PINNED: of " + std::to_string(m_runs) +
                               " statements of the client, " +
                               std::to_string(m_differ) +
                               " ran with other session values than those that "
                               "were acknowledged to it");
  }

 private:
  void Check(const Run& run) {
    const std::lock_guard lock(m_mutex);
    std::string text;
    for (const auto& [name, value] : run.values)
      text.append(" ").append(name).append("=").append(value);
    Note(run.instance + " runs " + run.id + " " + run.text +
         ", values of the connection:" + text);
    ++m_runs;
    m_differ += run.values != m_values ? 1 : 0;
  }

  std::mutex m_mutex;
  std::map<std::string, std::string> m_values;
  size_t m_runs = 0;
  size_t m_differ = 0;
};

// The primary loses the lead while a client's transaction is open; the client
// sets a session value in it.
int RunSessionValue() {
  Deployment deployment(1, {});
  Group& group = *deployment.group;
  if (!deployment.AwaitService())
    return NotRun("no service");
  ValueCheck check(group, "c1x");
  const Gateway& gateway = *deployment.gateways.front();
  const Sender writer("w", gateway, "WRITE item data");
  const Sender reader("r", gateway, "READ item");
  Client client("c1", gateway);
  const auto set = [&](const std::string& value) {
    const bool done = client.Query("SET tenant " + value).done;
    if (done)
      check.Acknowledged("tenant", value);
    return done;
  };
  Sleep(Ms(1'500));
  if (!client.Open(kSessionDatabase) || !set("t1") ||
      !client.Query("READ item").done)
    return NotRun("no session");
  const auto primary = group.Primary();
  if (!client.Query("BEGIN").done || !client.Query("READ item").done)
    return NotRun("no transaction");
  const auto cut_at = Clock::now();
  if (Trouble()) {
    group.CutFromPeers(*primary, true);
    const uint64_t term = group.term();
    while (group.term() == term && Clock::now() < cut_at + Ms(2'700))
      Sleep(Ms(5));
    if (group.term() == term)
      return NotRun("the primary was not replaced");
  } else {
    Sleep(Ms(1'500));
  }
  // The transaction has rested for less than TxIdleMs.
  if (!set("t2"))
    return NotRun("SET was refused");
  client.Query("READ item");
  client.Query("ROLLBACK");
  const auto read_until = [&](Clock::time_point end) {
    while (Clock::now() < end) {
      client.Query("READ item");
      Sleep(Ms(20));
    }
  };
  read_until(cut_at + Ms(4'900));
  if (Trouble())
    group.CutFromPeers(*primary, false);
  read_until(cut_at + Ms(7'000));
  return check.Verdict();
}

// A client rests in a transaction for longer than TxIdleMs at a gateway that
// relays its statements, after it has set a session value in it.
int RunRelayedRest() {
  constexpr size_t kGateways = 3;
  Group::Options options;
  // Fewer than two for each gateway, so that one gateway holds them.
  options.connections = 4;
  Deployment deployment(kGateways, options, true);
  if (!deployment.AwaitService())
    return NotRun("no service");
  Sleep(Ms(2'000));
  ValueCheck check(*deployment.group, "c-");
  for (const auto& gateway : deployment.gateways) {
    Client client("c-" + gateway->name(), *gateway);
    const auto set = [&](const std::string& value) {
      const bool done = client.Query("SET tenant " + value).done;
      if (done)
        check.Acknowledged("tenant", value);
      return done;
    };
    if (!client.Open(kSessionDatabase) || !set("t1") ||
        !client.Query("READ item").done || !client.Query("BEGIN").done ||
        !client.Query("READ item").done || !set("t2"))
      return NotRun("no transaction");
    Sleep(Trouble() ? Ms(3'500) : Ms(500));
    client.Query("READ item");
    client.Query("ROLLBACK");
    for (unsigned count = 0; count < 10; ++count)
      client.Query("READ item");
    client.Close();
    // Idle connections between gateways end after 5 s.
    Sleep(Ms(6'000));
  }
  return check.Verdict();
}

// What instances lack when they begin to lead, of the commits that were
// acknowledged to `first` and `second`.
class LossCheck {
 public:
  LossCheck(Group& group, Sender& first, Sender& second)
      : m_first(first), m_second(second) {
    group.on_promoted = [this](const std::string& id,
                               const std::set<std::string>& log) {
      Promoted(id, log);
    };
  }

  int Verdict() {
    const std::lock_guard lock(m_mutex);
    if (!m_promoted)
      Note("no instance was promoted");
    return review::Verdict(m_missing > 0,
                           "LOST: " + std::to_string(m_missing) +
                               " acknowledged commits are not in the log of "
                               "the instance that was promoted");
  }

 private:
  void Promoted(const std::string& id, const std::set<std::string>& log) {
    std::set<std::string> acknowledged = m_first.Acknowledged();
    acknowledged.merge(m_second.Acknowledged());
    const std::lock_guard lock(m_mutex);
    m_promoted = true;
    for (const std::string& commit : acknowledged) {
      if (log.contains(commit))
        continue;
      ++m_missing;
      Note(id + " leads and lacks the acknowledged commit " + commit);
    }
  }

  Sender& m_first;
  Sender& m_second;
  std::mutex m_mutex;
  bool m_promoted = false;
  size_t m_missing = 0;
};

// A replica that has started while the store was down has the only copy of
// acknowledged commits when the primary crashes.
int RunNewReplica() {
  constexpr size_t kDeaf = 1;
  constexpr size_t kReplaced = 2;
  // As a control, OUTAGE=0 leaves out the outage of the store alone.
  const char* value = getenv("OUTAGE");
  const bool outage = Trouble() && !(value && std::string(value) == "0");
  Deployment deployment(2, {});
  Group& group = *deployment.group;
  if (!deployment.AwaitService())
    return NotRun("no service");
  const Gateway& one = *deployment.gateways[0];
  const Gateway& two = *deployment.gateways[1];
  Sender first("w1", one, "WRITE item data");
  Sender second("w2", two, "WRITE item data");
  const Sender reader("r1", one, "READ item");
  const Sender other_reader("r2", two, "READ item");
  LossCheck check(group, first, second);
  Sleep(Ms(2'000));
  if (group.Primary() != 0)
    return NotRun("another primary");
  const auto start = Clock::now();
  const auto await = [&](Ms time) {
    std::this_thread::sleep_until(start + time);
  };
  if (Trouble())
    group.Crash(kReplaced);
  await(Ms(5'750));
  if (outage)
    deployment.store->SetSilent(true);
  await(Ms(5'870));
  if (Trouble())
    group.StartAnew(kReplaced);
  await(Ms(6'600));
  if (Trouble())
    group.SetDeaf(kDeaf, true);
  await(Ms(10'000));
  if (Trouble())
    group.Crash(0);
  await(Ms(10'250));
  if (outage)
    deployment.store->SetSilent(false);
  await(Ms(13'100));
  if (Trouble())
    group.SetDeaf(kDeaf, false);
  await(Ms(14'000));
  return check.Verdict();
}

// A replica restarts while the promotion of another one is carried out; a
// gateway that doesn't reach the store passes on what the old primary then
// acknowledges.
int RunUnheardClaim() {
  constexpr size_t kClaimant = 0;
  constexpr size_t kCutOff = 1;
  Group::Options options;
  options.promote_time = Ms(600);
  Deployment deployment(3, options);
  Group& group = *deployment.group;
  if (!deployment.AwaitService())
    return NotRun("no service");
  Sender first("w1", *deployment.gateways[kCutOff], "WRITE item data");
  Sender second("w2", *deployment.gateways[kClaimant], "WRITE item data");
  LossCheck check(group, first, second);
  std::atomic<bool> called = false;
  deployment.on_promotion = [&](const std::string& id) {
    if (Trouble() && !called.exchange(true))
      std::thread([&group, replica = id == group.IdOf(1) ? 2 : 1] {
        // The other replica is down for 100 ms.
        Sleep(Ms(50));
        group.Crash(replica);
        Sleep(Ms(100));
        group.StartAnew(replica);
      }).detach();
  };
  Sleep(Ms(2'000));
  if (group.Primary() != 0)
    return NotRun("another primary");
  const auto start = Clock::now();
  if (Trouble()) {
    deployment.store->CutOff(kCutOff, true);
    group.CutFromGateway(0, kClaimant, true);
  }
  std::this_thread::sleep_until(start + Ms(5'000));
  if (Trouble()) {
    group.CutFromGateway(0, kClaimant, false);
    deployment.store->CutOff(kCutOff, false);
  }
  Sleep(Ms(2'000));
  return check.Verdict();
}

// A replica whose entry has lapsed, but which still receives, has the only copy
// of acknowledged commits when the primary crashes.
int RunUnlistedReplica() {
  constexpr size_t kHeard = 1;
  constexpr size_t kDeaf = 2;
  // As a control, CUT=0 leaves out the cut alone.
  const char* value = getenv("CUT");
  const bool cut = Trouble() && !(value && std::string(value) == "0");
  Deployment deployment(2, {});
  Group& group = *deployment.group;
  if (!deployment.AwaitService())
    return NotRun("no service");
  const Gateway& one = *deployment.gateways[0];
  const Gateway& two = *deployment.gateways[1];
  Sender first("w1", one, "WRITE item data");
  Sender second("w2", two, "WRITE item data");
  const Sender reader("r1", one, "READ item");
  const Sender other_reader("r2", two, "READ item");
  LossCheck check(group, first, second);
  Sleep(Ms(2'000));
  if (group.Primary() != 0)
    return NotRun("another primary");
  // The cut begins shortly before a heartbeat, and lasts for 5 s.
  const auto beat = group.LastHeartbeat(kHeard);
  while (group.LastHeartbeat(kHeard) == beat)
    Sleep(Ms(2));
  std::this_thread::sleep_until(group.LastHeartbeat(kHeard) + Ms(1'150));
  const auto cut_at = Clock::now();
  if (cut)
    group.CutFromStore(kHeard, true);
  std::this_thread::sleep_until(cut_at + Ms(5'000));
  if (cut)
    group.CutFromStore(kHeard, false);
  // A replica receives nothing for a while, and the primary crashes meanwhile.
  std::this_thread::sleep_until(cut_at + Ms(5'250));
  if (Trouble())
    group.SetDeaf(kDeaf, true);
  std::this_thread::sleep_until(cut_at + Ms(5'400));
  if (Trouble())
    group.Crash(0);
  std::this_thread::sleep_until(cut_at + Ms(11'700));
  if (Trouble())
    group.SetDeaf(kDeaf, false);
  return check.Verdict();
}

int RunCase(const std::string& name) {
  if (name == "line-feed")
    return RunLineFeed();
  if (name == "flood")
    return RunFlood();
  if (name == "session-value")
    return RunSessionValue();
  if (name == "relayed-rest")
    return RunRelayedRest();
  if (name == "new-replica")
    return RunNewReplica();
  if (name == "unheard-claim")
    return RunUnheardClaim();
  if (name == "unlisted-replica")
    return RunUnlistedReplica();
  return NotRun("no such case");
}

}  // namespace

}  // namespace review

int main(int argument_count, char** arguments) {
  if (argument_count != 3)
    return review::kNotRun;
  signal(SIGPIPE, SIG_IGN);
  review::Record record(std::string(arguments[2]) + "/record.txt");
  review::g_record = &record;
  const int code = review::RunCase(arguments[1]);
  // Threads of the stand-ins still wait on their sockets.
  fflush(nullptr);
  _exit(code);
}
