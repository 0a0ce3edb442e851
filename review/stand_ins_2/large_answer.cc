// Whether an answer of several large rows reaches its client while the gateway
// drains after SIGTERM. The exit code is 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run.

#include <signal.h>

#include <atomic>
#include <cstdio>
#include <cstdlib>

#include "gateway.h"

namespace review {
namespace {

constexpr int kInstances = 3;
constexpr const char* kGroup = "ledger";
constexpr const char* kDatabase = "lepu270";
constexpr int64_t kTimeoutMs = 1'500;
// A message is at most 1 MiB, and an answer has any number of rows.
constexpr size_t kRowBytes = 1'000'000;
constexpr int kRows = 5;

// An instance that reads the items `small` and `large`.
class Instances {
 public:
  explicit Instances(Record& record) : m_record(record) {
    for (int index = 0; index < kInstances; ++index)
      m_servers.push_back(std::make_unique<Server>(
          [this, index](Stream& stream) { Serve(stream, index); }));
  }

  void Register(Store& store) const {
    for (int index = 0; index < kInstances; ++index)
      store.Put(
          "servers", Id(index),
          {{"Service", kGroup},
           {"Addr",
            "127.0.0.1:" +
                std::to_string(m_servers[static_cast<size_t>(index)]->port())},
           {"Zone", "zone-a"},
           {"Version", "1"},
           {"Capacity", 100},
           {"State", "ready"},
           {"WarmupLeftMs", 0},
           {"SeqNo", 1},
           {"DbRole", index == 0 ? "primary" : "replica"},
           {"born", 1'000 + index}});
  }

  // Whether an instance has written its whole answer of large rows.
  bool answered() const { return m_answered; }
  bool ran() const { return m_ran; }

 private:
  static std::string Id(int index) { return "i-" + std::to_string(index); }

  void Serve(Stream& stream, int index) {
    const auto startup = stream.ReadUntil("\r\n", 60'000);
    if (!startup || !startup->starts_with(std::string("STARTUP ") + kGroup))
      return;
    stream.Write("READY I 1.7\r\n");
    bool in_transaction = false;
    while (const auto line = stream.ReadUntil("\r\n", 60'000)) {
      if (!line->starts_with("QUERY "))
        return;
      const std::string id = line->substr(6, line->find(' ', 6) - 6);
      std::string text = line->substr(line->find(' ', 6) + 1);
      if (text.starts_with("AFTER "))
        text = text.substr(text.find(' ', 6) + 1);
      if (text.starts_with("BEGIN") && index > 0 && text == "BEGIN") {
        stream.Write("ERROR READONLY " + Id(index) + "\r\nREADY I 1.7\r\n");
        continue;
      }
      if (text.starts_with("BEGIN"))
        in_transaction = true;
      if (text == "COMMIT" || text == "ROLLBACK")
        in_transaction = false;
      const std::string ready =
          std::string("READY ") + (in_transaction ? "T" : "I") + " 1.7\r\n";
      if (text == "READ large") {
        ReadLarge(stream, id, index, ready);
      } else if (text == "STATUS") {
        stream.Write("DATAROW " +
                     std::string(index == 0 ? "primary" : "replica") +
                     " 1 1.7 0 0 0 1\r\nCOMPLETE -\r\n" + ready);
      } else if (text.starts_with("READ ")) {
        m_record.Note(Id(index) + " runs " + id + " " + text);
        stream.Write("DATAROW x\r\nCOMPLETE s." + id + "\r\n" + ready);
      } else {
        stream.Write("COMPLETE -\r\n" + ready);
      }
    }
  }

  void ReadLarge(Stream& stream,
                 const std::string& id,
                 int index,
                 const std::string& ready) {
    m_ran = true;
    m_record.Note(Id(index) + " runs " + id + " READ large");
    std::string answer;
    for (int row = 0; row < kRows; ++row)
      answer.append("DATAROW " + std::string(kRowBytes, 'x') + "\r\n");
    answer.append("COMPLETE s." + id + "\r\n" + ready);
    if (!stream.Write(answer))
      return;
    m_answered = true;
    m_record.Note(Id(index) + " has written its whole answer to " + id + ", " +
                  std::to_string(answer.size()) + " bytes");
  }

  Record& m_record;
  std::vector<std::unique_ptr<Server>> m_servers;
  std::atomic<bool> m_answered = false;
  std::atomic<bool> m_ran = false;
};

// Sends a statement and reads its answer. Returns whether it is complete.
bool Ask(Stream& client,
         Record& record,
         const std::string& id,
         const std::string& text) {
  record.Note("client sends " + id + " " + text);
  client.Write("QUERY " + id + " " + text + "\r\n");
  size_t bytes = 0;
  while (const auto line = client.ReadUntil("\r\n", 10'000)) {
    bytes += line->size();
    if (!line->starts_with("DATAROW"))
      record.Note("client gets " + *line);
    if (line->starts_with("READY"))
      return true;
  }
  record.Note("the connection ends without a complete answer to " + id +
              "; whole lines until then: " + std::to_string(bytes) + " bytes");
  return false;
}

int Run(const std::string& folder, const std::string& path, bool trouble) {
  Record& record = *new Record(path);
  // Their threads run until the program ends.
  Store& store = *new Store;
  Instances& instances = *new Instances(record);
  instances.Register(store);
  store.Put("config", "main",
            {{"Version", 1},
             {"Routes",
              boost::json::array{boost::json::object{{"Name", kDatabase},
                                                     {"Host", kDatabase},
                                                     {"Service", kGroup},
                                                     {"Kind", "primary"},
                                                     {"MaxStalenessMs", 0},
                                                     {"TimeoutMs", kTimeoutMs},
                                                     {"TargetLatencyMs", 300},
                                                     {"Priority", 1}}}},
             {"Services",
              boost::json::array{boost::json::object{
                  {"Name", kGroup}, {"MaxConns", 16}, {"SyncReplicas", 1}}}},
             {"Limits", boost::json::object{{"TxIdleMs", 5'000}}}});
  Gateway gateway(folder, "frontend-1", store.port());
  if (!gateway.AwaitReady(20'000))
    return 2;
  const auto client = Stream::Connect(gateway.client_port());
  if (!client ||
      !client->Write(std::string("STARTUP ") + kDatabase + " u1\r\n"))
    return 2;
  const auto ready = client->ReadUntil("\r\n", 5'000);
  if (!ready || !ready->starts_with("READY"))
    return 2;
  if (!Ask(*client, record, "r1", "READ small"))
    return 2;
  if (trouble) {
    gateway.Signal(SIGTERM);
    record.Note("SIGTERM");
    SleepMs(300);
  }
  const int64_t sent_at = NowMs();
  const bool complete = Ask(*client, record, "r2", "READ large");
  const int64_t took = NowMs() - sent_at;
  if (!instances.ran())
    return 2;
  record.Note("took " + std::to_string(took) + " ms of the route's " +
              std::to_string(kTimeoutMs));
  // The rule counts planned work only, and not when the instance broke off or
  // the time limit was reached.
  const bool broken =
      trouble && !complete && instances.answered() && took < kTimeoutMs;
  record.Note(broken ? "LOST is broken" : "LOST is not broken");
  return broken ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc < 3)
    return 2;
  const char* trouble = std::getenv("TROUBLE");
  const int result =
      review::Run(argv[1], argv[2], !trouble || std::string(trouble) != "0");
  std::fflush(nullptr);
  std::_Exit(result);
}
