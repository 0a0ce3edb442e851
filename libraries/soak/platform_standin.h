#pragma once

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include "gateway/gateway.h"
#include "soak/group_model.h"
#include "soak/http_standin.h"

namespace jackdawturn::soak {

// The platform's store of objects, and its promotions. Thread safety: all
// methods run on the thread of the io_context.
class PlatformStandin {
 public:
  struct Faults {
    // Calls are refused, or not answered.
    bool down = false;
    bool silent = false;
    // One of so many calls is carried out and not answered; 0: none.
    uint64_t lost_one_of = 0;
    bool promotions_late = false;
    // Gateways whose calls are not answered.
    std::set<size_t> cut;
  };

  // All references must outlive this. `on_promoted` hears of each change of a
  // primary. Errors: kUnavailable (no free port).
  static Result<std::unique_ptr<PlatformStandin>> Create(
      boost::asio::io_context& context,
      gateway::Timers& timers,
      std::vector<GroupModel*> groups,
      uint64_t seed,
      size_t gateways,
      std::function<void()> on_promoted);

  // Each gateway has a port of its own.
  Endpoint endpoint(size_t gateway) const {
    return m_servers[gateway]->endpoint();
  }
  // Stores what the operator or an instance says.
  void Put(const std::string& kind,
           const std::string& name,
           boost::json::object spec);
  void Remove(const std::string& kind, const std::string& name);
  bool Has(const std::string& kind, const std::string& name) const;
  // Watches from before have to list again.
  void DropHistory();
  // The store is as it was `age` ago, or when the first copy was made, and its
  // answers show the next era.
  void Restore(Duration age);

  Faults faults;
  void ResetConnections();
  // What is open now is never answered again; new connections work.
  void SilenceConnections();
  uint64_t calls() const { return m_calls; }
  uint64_t promotion_calls() const { return m_promotion_calls; }

 private:
  struct Object {
    uint64_t revision = 0;
    boost::json::value spec;
    boost::json::value status;
  };
  using Objects = std::map<std::string, std::map<std::string, Object>>;
  struct Copy {
    TimePoint made_at;
    Objects objects;
    uint64_t revision = 0;
  };
  struct Event {
    uint64_t revision = 0;
    std::string kind;
    std::string text;
  };
  struct Watch {
    std::string kind;
    uint64_t revision = 0;
    HttpStandin::Respond respond;
    uint64_t number = 0;
  };

  PlatformStandin(gateway::Timers& timers,
                  std::vector<GroupModel*> groups,
                  uint64_t seed,
                  std::function<void()> on_promoted)
      : m_timers(timers),
        m_groups(std::move(groups)),
        m_random(seed),
        m_on_promoted(std::move(on_promoted)) {}
  void Handle(size_t gateway,
              const HttpStandin::Request& request,
              const HttpStandin::Respond& respond);
  void List(const std::string& kind,
            const HttpStandin::Request& request,
            const HttpStandin::Respond& respond);
  bool AnswerWatch(const Watch& watch, bool even_if_empty);
  void Write(const std::string& kind,
             std::string name,
             bool status,
             const HttpStandin::Request& request,
             const HttpStandin::Respond& respond);
  void Stored(const std::string& kind, const std::string& name, bool removed);
  static std::string TextOf(const std::string& name, const Object& object);
  void Promotion(const HttpStandin::Request& request,
                 const HttpStandin::Respond& respond);
  // Returns the status of a promotion that is to be carried out now.
  unsigned StartPromotion(GroupModel& group, size_t instance, uint64_t token);
  void MakeCopies();
  void ShowEra();

  gateway::Timers& m_timers;
  const std::vector<GroupModel*> m_groups;
  std::mt19937_64 m_random;
  const std::function<void()> m_on_promoted;
  Objects m_objects;
  // Oldest first.
  std::deque<Copy> m_copies;
  uint64_t m_era = 0;
  std::deque<Event> m_events;
  // What happened up to this revision is not known any more.
  uint64_t m_forgotten = 0;
  uint64_t m_revision = 1;
  std::list<Watch> m_watches;
  uint64_t m_last_watch = 0;
  std::map<GroupName, uint64_t> m_tokens;
  uint64_t m_calls = 0;
  uint64_t m_promotion_calls = 0;
  std::vector<std::unique_ptr<HttpStandin>> m_servers;
};

}  // namespace jackdawturn::soak
