#include "instances.h"

namespace review {

namespace {

constexpr int kInstances = 3;
constexpr const char* kGroup = "ledger";
// A message is at most 1 MiB, and an answer has any number of rows.
constexpr size_t kRowBytes = 1'000'000;
constexpr int kRows = 5;

std::string Id(int index) {
  return "i-" + std::to_string(index);
}

}  // namespace

void PutConfiguration(Store& store, int64_t timeout_ms) {
  store.Put("config", "main",
            {{"Version", 1},
             {"Routes",
              boost::json::array{boost::json::object{{"Name", kDatabase},
                                                     {"Host", kDatabase},
                                                     {"Service", kGroup},
                                                     {"Kind", "primary"},
                                                     {"MaxStalenessMs", 0},
                                                     {"TimeoutMs", timeout_ms},
                                                     {"TargetLatencyMs", 300},
                                                     {"Priority", 1}}}},
             {"Services",
              boost::json::array{boost::json::object{
                  {"Name", kGroup}, {"MaxConns", 16}, {"SyncReplicas", 1}}}},
             {"Limits", boost::json::object{{"TxIdleMs", 5'000}}}});
}

Instances::Instances(Record& record) : m_record(record) {
  for (int index = 0; index < kInstances; ++index)
    m_servers.push_back(std::make_unique<Server>(
        [this, index](Stream& stream) { Serve(stream, index); }));
}

void Instances::Register(Store& store) const {
  for (int index = 0; index < kInstances; ++index)
    store.Put("servers", Id(index),
              {{"Service", kGroup},
               {"Addr", "127.0.0.1:" +
                            std::to_string(
                                m_servers[static_cast<size_t>(index)]->port())},
               {"Zone", "zone-a"},
               {"Version", "1"},
               {"Capacity", 100},
               {"State", "ready"},
               {"WarmupLeftMs", 0},
               {"SeqNo", 1},
               {"DbRole", index == 0 ? "primary" : "replica"},
               {"born", 1'000 + index}});
}

void Instances::Serve(Stream& stream, int index) {
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

void Instances::ReadLarge(Stream& stream,
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

}  // namespace review
