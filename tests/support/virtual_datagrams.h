#pragma once

#include <memory>
#include <string>
#include <utility>

#include "http/http.h"
#include "ports/datagram_port.h"

#include "support/virtual_network.h"

namespace jackdawturn {

// The datagram ports of a virtual network, whose nodes are named by their
// address as "IP:PORT". The network outlives the ports. Thread safety: not
// thread-safe.
class VirtualDatagrams {
 public:
  explicit VirtualDatagrams(VirtualNetwork& network) : m_network(network) {}

  // Errors: kUnavailable (the address is in use).
  Result<std::unique_ptr<DatagramPort>> Create(
      const Endpoint& listen,
      DatagramPort::OnDatagram on_datagram) {
    const std::string address = listen.ToString();
    if (!m_ports[address].expired())
      return Failure(ErrorCode::kUnavailable, "udp.listen", address,
                     "the address is in use");
    auto hook =
        std::make_shared<DatagramPort::OnDatagram>(std::move(on_datagram));
    m_ports[address] = hook;
    return std::unique_ptr<DatagramPort>(
        std::make_unique<Port>(*this, listen, std::move(hook)));
  }

 private:
  using Hook = std::shared_ptr<DatagramPort::OnDatagram>;

  class Port : public DatagramPort {
   public:
    Port(VirtualDatagrams& datagrams, Endpoint listen, Hook hook)
        : m_datagrams(datagrams),
          m_endpoint(std::move(listen)),
          m_hook(std::move(hook)) {}
    Endpoint endpoint() const override { return m_endpoint; }
    void Send(const std::string& to, const std::string& bytes) override {
      if (ParseEndpoint(to))
        m_datagrams.Send(m_endpoint.ToString(), to, bytes);
    }

   private:
    VirtualDatagrams& m_datagrams;
    const Endpoint m_endpoint;
    const Hook m_hook;
  };

  void Send(const std::string& from,
            const std::string& to,
            const std::string& bytes) {
    m_network.Send(from, to, [this, from, to, bytes] {
      if (const Hook hook = m_ports[to].lock())
        (*hook)(from, bytes);
    });
  }

  VirtualNetwork& m_network;
  std::map<std::string, std::weak_ptr<DatagramPort::OnDatagram>> m_ports;
};

}  // namespace jackdawturn
