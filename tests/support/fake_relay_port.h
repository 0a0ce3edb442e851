#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/core.h"
#include "ports/ports.h"

namespace jackdawturn {

// The network between FakeRelayPorts. Frames move only in Step, so a test
// decides what is lost, and when. It has no clock: a test ends calls by
// TimeOut. Thread safety: not thread-safe.
class FakeRelayNetwork {
 public:
  class Port : public RelayPort {
   public:
    Port(FakeRelayNetwork& network, Endpoint endpoint, VmName vm, OnEvent hook)
        : m_network(network),
          m_endpoint(std::move(endpoint)),
          m_vm(std::move(vm)),
          m_on_event(std::move(hook)) {}

    Endpoint endpoint() const override { return m_endpoint; }
    void Send(RelayCommand command) override {
      if (auto* send = std::get_if<SendRelay>(&command))
        return m_network.Queue(*this, std::move(*send));
      auto& answer = std::get<AnswerRelay>(command);
      const auto found = m_arrivals.find(answer.arrival);
      if (found == m_arrivals.end())
        return;
      m_network.m_replies.push_back(
          {found->second.first, found->second.second, std::move(answer)});
      m_arrivals.erase(found);
    }
    void Flush(Duration, std::function<void()> done) override { done(); }

   private:
    friend class FakeRelayNetwork;
    FakeRelayNetwork& m_network;
    const Endpoint m_endpoint;
    const VmName m_vm;
    OnEvent m_on_event;
    // Sender and its call.
    std::map<RelayArrival, std::pair<std::string, RelayCall>> m_arrivals;
    RelayArrival m_last_arrival;
  };

  // `queue_limit` requests without an answer on one connection.
  explicit FakeRelayNetwork(size_t queue_limit) : m_queue_limit(queue_limit) {}

  std::unique_ptr<RelayPort> Open(const Endpoint& endpoint,
                                  const VmName& vm,
                                  RelayPort::OnEvent on_event) {
    auto port =
        std::make_unique<Port>(*this, endpoint, vm, std::move(on_event));
    m_ports[endpoint.ToString()] = port.get();
    return port;
  }

  // The process at the address is gone: what was written to it is lost, and
  // what was not is known not to have been sent.
  void Kill(const std::string& address) {
    m_ports.erase(address);
    std::erase_if(m_replies, [&](const Reply& reply) {
      return m_calls.count({reply.to, reply.call}) == 0 ||
             m_calls.at({reply.to, reply.call}).to == address;
    });
    EndAll([&](const Call& call) { return call.to == address; });
  }

  // The deadlines of all calls pass.
  void TimeOut() {
    EndAll([](const Call&) { return true; });
  }

  // Delivers all requests and replies that are under way.
  void Step() {
    for (auto& [from, send] : TakeRequests()) {
      const auto port = m_ports.find(send.to);
      const auto sender = m_ports.find(from);
      if (port == m_ports.end() || sender == m_ports.end())
        continue;
      Port& receiver = *port->second;
      const RelayArrival arrival = receiver.m_last_arrival =
          receiver.m_last_arrival.Next();
      receiver.m_arrivals[arrival] = {from, send.call};
      receiver.m_on_event(RelayArrived{arrival, sender->second->m_vm,
                                       std::move(send.request), send.stamp});
    }
    for (Reply& reply : std::exchange(m_replies, {})) {
      // The reply to a call that has ended reaches nobody.
      if (m_calls.erase({reply.to, reply.call}) == 0)
        continue;
      const auto port = m_ports.find(reply.to);
      if (port != m_ports.end())
        port->second->m_on_event(RelayEnded{
            reply.call, std::move(reply.answer.reply), reply.answer.stamp});
    }
  }

 private:
  struct Call {
    std::string to;
    bool written = false;
    SendRelay send;
  };
  struct Reply {
    std::string to;
    RelayCall call;
    AnswerRelay answer;
  };

  void Queue(Port& from, SendRelay send) {
    const std::string address = from.m_endpoint.ToString();
    size_t open = 0;
    for (const auto& [key, call] : m_calls)
      open += key.first == address && call.to == send.to ? 1 : 0;
    const auto refuse = [&](ErrorCode code) {
      from.m_on_event(
          RelayEnded{send.call, Error{code, "relay.send", send.to, ""}, {}});
    };
    if (open >= m_queue_limit)
      return refuse(ErrorCode::kExhausted);
    if (m_ports.count(send.to) == 0)
      return refuse(ErrorCode::kUnavailable);
    const std::string to = send.to;
    const RelayCall call = send.call;
    m_calls[{address, call}] = {to, false, std::move(send)};
  }

  std::vector<std::pair<std::string, SendRelay>> TakeRequests() {
    std::vector<std::pair<std::string, SendRelay>> taken;
    for (auto& [key, call] : m_calls) {
      if (!std::exchange(call.written, true))
        taken.emplace_back(key.first, call.send);
    }
    return taken;
  }

  void EndAll(const std::function<bool(const Call&)>& ends) {
    std::map<std::pair<std::string, RelayCall>, Call> ended;
    for (const auto& item : m_calls) {
      if (ends(item.second))
        ended.insert(item);
    }
    for (const auto& [key, call] : ended) {
      m_calls.erase(key);
      const auto port = m_ports.find(key.first);
      if (port == m_ports.end())
        continue;
      const ErrorCode code =
          call.written ? ErrorCode::kTimeout : ErrorCode::kUnavailable;
      port->second->m_on_event(
          RelayEnded{key.second, Error{code, "relay.send", call.to, ""}, {}});
    }
  }

  const size_t m_queue_limit;
  std::map<std::string, Port*> m_ports;
  // By sender and call.
  std::map<std::pair<std::string, RelayCall>, Call> m_calls;
  std::vector<Reply> m_replies;
};

}  // namespace jackdawturn
