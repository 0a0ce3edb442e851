#pragma once

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <boost/json.hpp>

#include "network.h"

namespace review {

// The platform's store, as PROTOCOL.md describes it: objects by kind and name,
// lists, watches and conditional updates. Thread-safe.
class Store {
 public:
  Store();
  int port() const { return m_server->port(); }
  // Writes an object, as the operator and the instances do.
  void Put(const std::string& kind,
           const std::string& name,
           boost::json::object spec);

 private:
  struct Object {
    uint64_t revision = 0;
    boost::json::value spec;
  };
  struct Event {
    uint64_t revision;
    std::string kind;
    std::string text;
  };
  struct Answer {
    int status = 200;
    std::string body = "{}";
  };

  void Serve(Stream& stream);
  Answer Handle(const std::string& method,
                const std::string& target,
                const std::string& body);
  Answer Watch(const std::string& kind, uint64_t revision, int64_t wait_ms);
  Answer Write(const std::string& kind,
               std::string name,
               bool creates,
               const std::string& body);
  void Stored(const std::string& kind, const std::string& name);
  static std::string TextOf(const std::string& name, const Object& object);

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, std::map<std::string, Object>> m_objects;
  std::vector<Event> m_events;
  uint64_t m_revision = 1;
  std::unique_ptr<Server> m_server;
};

}  // namespace review
