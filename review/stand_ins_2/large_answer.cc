// Whether an answer of several large rows reaches its client while the gateway
// drains after SIGTERM. The exit code is 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run.

#include <signal.h>

#include <cstdio>
#include <cstdlib>

#include "gateway.h"
#include "instances.h"

namespace review {
namespace {

constexpr int64_t kTimeoutMs = 1'500;
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
  PutConfiguration(store, kTimeoutMs);
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
