#pragma once

#include <deque>

#include "case_world.h"

namespace review {

// The platform's store and the promotions, over HTTP/1.1. It answers after
// 4 ms. Thread-safe.
class Store {
 public:
  // Carries out a promotion whose token was checked; returns false when the
  // instance does not run.
  using Promote =
      std::function<bool(const std::string& service, const std::string& id)>;

  // Replaces the marks in an answer to a gateway by what it sees there.
  using Rewrite = std::function<std::string(std::string body, size_t gateway)>;

  // Each gateway has a port of its own.
  Store(size_t gateways, Promote promote, Rewrite rewrite);
  uint16_t port(size_t gateway) const { return m_listeners[gateway]->port(); }
  // The store answers nothing to the gateway while it is cut off.
  void CutOff(size_t gateway, bool cut);
  // Stores an object unless it is the same already.
  void Put(const std::string& kind,
           const std::string& name,
           const std::string& spec);
  void Remove(const std::string& kind, const std::string& name);
  // While the store is silent it answers nothing, and nothing is done.
  void SetSilent(bool silent);
  bool silent() const { return m_silent; }

 private:
  struct Object {
    uint64_t revision = 0;
    std::string spec;
  };
  struct Event {
    uint64_t revision = 0;
    std::string kind;
    std::string text;
  };
  struct Request {
    std::string method;
    std::string kind;
    std::string name;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    std::string body;
  };
  struct Answer {
    int status = 200;
    std::string body = "{}";
  };

  void Serve(const std::shared_ptr<Socket>& socket, size_t gateway);
  bool Answers(size_t gateway, bool promotion);
  Answer Handle(const Request& request);
  Answer List(const std::string& kind);
  Answer Watch(const std::string& kind, uint64_t revision, Ms wait);
  Answer Write(const Request& request);
  Answer PromoteCall(const Request& request);
  static std::string TextOf(const std::string& name, const Object& object);
  void Stored(const std::string& kind, const std::string& name, bool removed);

  const Promote m_promote;
  const Rewrite m_rewrite;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, std::map<std::string, Object>> m_objects;
  std::deque<Event> m_events;
  std::map<std::string, uint64_t> m_tokens;
  uint64_t m_revision = 1;
  std::atomic<bool> m_silent{false};
  // Counts the outages; calls of an earlier time are never answered.
  std::atomic<unsigned> m_outages{0};
  // Gateways that are cut off.
  std::set<size_t> m_cut;
  std::vector<std::unique_ptr<Listener>> m_listeners;
};

}  // namespace review
