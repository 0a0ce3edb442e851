#pragma once

#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "core/core.h"
#include "failover/failover.h"
#include "ports/ports.h"
#include "support/child_process.h"
#include "support/source_paths.h"
#include "targets/targets.h"

// Criterion comes after the Boost headers.
#include "support/table_test.h"

// A platform, the instances of one group and proxies, each a process.

namespace jackdawturn {

inline constexpr Duration kTimeout = std::chrono::seconds(30);
inline const char* const kOperatorKey = "operator-key-for-tests-0123456789";
inline const char* const kInstances[] = {"i1", "i2", "i3"};

inline std::unique_ptr<ChildProcess> Start(
    const std::vector<std::string>& arguments) {
  auto child = ChildProcess::Create(BinaryPath(), arguments);
  cr_assert(child.has_value());
  return std::move(child).value();
}

inline std::string FreeAddress() {
  return FreeEndpoint().ToString();
}

// What a proxy is called and where it listens.
struct ProxyPlace {
  std::string vm;
  std::string callers = FreeAddress();
  std::string operators = FreeAddress();
  // The relay has the address of the gossip, over TCP.
  std::string gossip = FreeAddress();
};

// A settings file of one proxy, removed at the end of the test.
class SettingsFile {
 public:
  SettingsFile(const ProxyPlace& place,
               const std::vector<ProxyPlace>& fleet,
               const std::string& platform,
               const std::map<std::string, std::string>& instances) {
    boost::json::array list;
    for (const auto& [name, address] : instances)
      list.push_back(boost::json::object{{"name", name},
                                         {"zone", "zone-a"},
                                         {"address", Address(address)},
                                         {"connection_limit", 16},
                                         {"slots", 2}});
    boost::json::array peers;
    for (const ProxyPlace& peer : fleet) {
      if (peer.vm != place.vm)
        peers.push_back(boost::json::object{{"vm", peer.vm},
                                            {"zone", "zone-a"},
                                            {"relay", Address(peer.gossip)},
                                            {"gossip", Address(peer.gossip)}});
    }
    const auto key = [](const char* secret) {
      return boost::json::array{
          boost::json::object{{"id", "k1"}, {"secret", secret}}};
    };
    const boost::json::object settings{
        {"vm", place.vm},
        {"region", "test"},
        {"zone", "zone-a"},
        {"zones", boost::json::array{"zone-a"}},
        {"listen", boost::json::object{{"callers", Address(place.callers)},
                                       {"operators", Address(place.operators)},
                                       {"relay", Address(place.gossip)},
                                       {"gossip", Address(place.gossip)}}},
        {"peers", std::move(peers)},
        {"platform", Address(platform)},
        {"groups", boost::json::array{boost::json::object{
                       {"name", "g1"}, {"instances", std::move(list)}}}},
        {"keys", boost::json::object{
                     {"operators", key(kOperatorKey)},
                     {"fleet", key("fleet-key-for-tests-0123456789abcd")},
                     {"tokens", key("token-key-for-tests-0123456789abcd")}}}};
    char path[] = "/tmp/jackdawturn-settings-XXXXXX";
    const int file = mkstemp(path);
    cr_assert_geq(file, 0);
    close(file);
    m_path = path;
    std::ofstream(m_path) << boost::json::serialize(settings);
  }
  ~SettingsFile() { std::remove(m_path.c_str()); }
  SettingsFile(const SettingsFile&) = delete;
  SettingsFile& operator=(const SettingsFile&) = delete;

  const std::string& path() const { return m_path; }

 private:
  static boost::json::object Address(const std::string& text) {
    const Endpoint endpoint = ParseEndpoint(text).value();
    return {{"ip", endpoint.address}, {"port", endpoint.port}};
  }

  std::string m_path;
};

inline CallerAnswer Ask(const ChildProcess& proxy,
                        const CallerRequest& request) {
  const auto response =
      SendAndWait(proxy.endpoint(), "POST", TargetOf(request.operation),
                  EncodeRequest(request), "", kTimeout);
  cr_assert(response.has_value());
  const auto answer = DecodeAnswer(response.value());
  cr_assert(answer.has_value());
  return answer.value();
}

// Asks again while the proxy refuses, for example before it is ready.
inline CallerAnswer AskUntilServed(const ChildProcess& proxy,
                                   const CallerRequest& request) {
  constexpr int kTries = 6'000;
  CallerAnswer answer = Ask(proxy, request);
  for (int tries = 0;
       answer.outcome == CallerOutcome::kNotRun && tries < kTries; ++tries) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
    answer = Ask(proxy, request);
  }
  return answer;
}

// Writes, and finds out the outcome when the answer leaves it open.
inline CallerAnswer WriteToTheEnd(const ChildProcess& proxy,
                                  CallerRequest write) {
  constexpr int kTries = 6'000;
  CallerAnswer answer = Ask(proxy, write);
  write.operation = CallerOperation::kOutcome;
  for (int tries = 0;
       answer.outcome == CallerOutcome::kUnknown && tries < kTries; ++tries) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
    answer = Ask(proxy, write);
  }
  return answer;
}

inline void Store(const ChildProcess& platform,
                  const std::string& key,
                  const std::string& value) {
  const PlatformRequest update = UpdateObject{key, ObjectVersion(), value};
  const auto response =
      SendAndWait(platform.endpoint(), "POST", TargetOf(update),
                  EncodeRequest(update), "", kTimeout);
  cr_assert(response.has_value());
  cr_assert_eq(response.value().status, kHttpOk);
}

struct Fleet {
  std::unique_ptr<ChildProcess> platform;
  std::vector<std::unique_ptr<ChildProcess>> instances;
  std::vector<ProxyPlace> places;
  std::vector<std::unique_ptr<SettingsFile>> files;
  std::vector<std::unique_ptr<ChildProcess>> proxies;
};

inline Fleet StartFleet() {
  Fleet fleet;
  fleet.platform = Start({"standin", "platform"});
  std::map<std::string, std::string> addresses;
  for (const char* name : kInstances)
    addresses[name] = FreeAddress();
  for (const char* name : kInstances) {
    std::vector<std::string> arguments = {"standin",  "instance",     "--name",
                                          name,       "--primary",    "i1",
                                          "--listen", addresses[name]};
    for (const auto& [peer, address] : addresses) {
      arguments.emplace_back("--peer");
      arguments.push_back(peer + "=" + address);
    }
    fleet.instances.push_back(Start(arguments));
  }
  GroupRecord record;
  record.group = GroupName("g1");
  record.term = Term{1};
  record.primary = InstanceName("i1");
  for (const char* name : kInstances)
    record.instances.emplace_back(name);
  record.history = {{Term{1}, LogPosition{1}}};
  Store(*fleet.platform, failover::GroupRecordKey(record.group),
        failover::GroupRecordToJson(record));
  targets::StoredTargets stored;
  stored.classes[ClassName("counts")] = {std::nullopt, kTimeout, false};
  stored.classes[ClassName("views")] = {std::chrono::seconds(5), kTimeout,
                                        true};
  stored.changes = {targets::ChangeId("initial")};
  Store(*fleet.platform, "targets", targets::SerializeStoredTargets(stored));
  fleet.places = {{"entry-1"}, {"entry-2"}};
  for (const ProxyPlace& place : fleet.places) {
    fleet.files.push_back(std::make_unique<SettingsFile>(
        place, fleet.places, fleet.platform->endpoint().ToString(), addresses));
    fleet.proxies.push_back(
        Start({"serve", "--settings", fleet.files.back()->path()}));
  }
  return fleet;
}

// Sends a JSON object to a stand-in, for example to cause a fault.
inline void Control(const ChildProcess& standin,
                    const std::string& target,
                    const std::string& body) {
  const auto response =
      SendAndWait(standin.endpoint(), "POST", target, body, "", kTimeout);
  cr_assert(response.has_value());
  cr_assert_eq(response.value().status, kHttpOk);
}

inline CallerRequest Write(uint64_t number) {
  CallerRequest write;
  write.operation = CallerOperation::kWrite;
  write.group = GroupName("g1");
  write.class_name = ClassName("counts");
  write.request = MakeRequestId(WallTime(std::chrono::hours(490'000)), number);
  write.statement = "add k 5";
  write.deadline = kTimeout;
  return write;
}

inline CallerRequest Read(const std::string& token) {
  CallerRequest read;
  read.operation = CallerOperation::kRead;
  read.group = GroupName("g1");
  read.class_name = ClassName("views");
  read.statement = "get k";
  read.token = token;
  read.deadline = kTimeout;
  return read;
}

}  // namespace jackdawturn
