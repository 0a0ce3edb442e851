#pragma once

#include <deque>
#include <list>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "http/http.h"
#include "soak/group_model.h"

namespace jackdawturn::soak {

// The address at which a gateway reaches instances, on loopback.
std::string InstanceAddress(size_t gateway);

// Serves the instances of a GroupModel over the line protocol, each on a port
// of its own. Thread safety: all methods run on the thread of the io_context.
class GroupStandin {
 public:
  // Both references must outlive this. Errors: kUnavailable (no free port).
  static Result<std::unique_ptr<GroupStandin>> Create(
      boost::asio::io_context& context,
      GroupModel& model,
      uint64_t seed,
      size_t connection_limit,
      size_t gateways);
  ~GroupStandin();

  // Where a gateway reaches the instance; each has an address of its own.
  Endpoint endpoint(size_t instance, size_t gateway) const;
  // A cut holds up what the gateway and the instance send to each other.
  void Cut(size_t instance, size_t gateway) {
    m_cuts.emplace(instance, gateway);
  }
  void Heal(size_t instance, size_t gateway) {
    m_cuts.erase({instance, gateway});
  }
  // An instance that has ended, or is to end, resets its connections.
  void ResetConnections(size_t instance);
  // What is open now is never answered again; new connections work.
  void SilenceConnections(size_t instance);
  // Runs what waits for an instance that is not silent any more, and answers
  // the commits that a replica has received. Call it often.
  void Continue();

  uint64_t statements() const { return m_statements; }

 private:
  class Connection;

  GroupStandin(boost::asio::io_context& context,
               GroupModel& model,
               uint64_t seed,
               size_t connection_limit,
               size_t gateways)
      : m_context(context),
        m_model(model),
        m_random(seed),
        m_connection_limit(connection_limit),
        m_gateways(gateways) {}
  Result<void> Listen();
  Result<void> Listen(size_t instance, size_t gateway);
  void Accept(size_t instance, size_t gateway);

  boost::asio::io_context& m_context;
  GroupModel& m_model;
  std::mt19937_64 m_random;
  const size_t m_connection_limit;
  const size_t m_gateways;
  // Instances and gateways that do not reach each other.
  std::set<std::pair<size_t, size_t>> m_cuts;
  // Of each instance, in the order of the gateways.
  std::vector<boost::asio::ip::tcp::acceptor> m_acceptors;
  std::list<std::shared_ptr<Connection>> m_connections;
  uint64_t m_statements = 0;
};

}  // namespace jackdawturn::soak
