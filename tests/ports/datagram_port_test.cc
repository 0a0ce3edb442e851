#include <string>
#include <utility>
#include <vector>

#include "ports/port_benches.h"

#include "support/table_test.h"
#include "support/virtual_datagrams.h"

namespace jackdawturn {

namespace {

struct DatagramBench {
  virtual ~DatagramBench() = default;
  virtual BenchClock& clock() = 0;
  virtual Result<std::unique_ptr<DatagramPort>> Create(
      const Endpoint& listen,
      DatagramPort::OnDatagram on_datagram) = 0;
  // An address that the next port can listen at.
  virtual Endpoint NextAddress() = 0;
};

struct UdpBench : DatagramBench {
  BenchClock& clock() override { return loop; }
  Result<std::unique_ptr<DatagramPort>> Create(
      const Endpoint& listen,
      DatagramPort::OnDatagram on_datagram) override {
    return DatagramPort::Create(loop.context, listen, std::move(on_datagram));
  }
  Endpoint NextAddress() override { return kAnyPort; }
  LoopClock loop;
};

struct VirtualBench : DatagramBench {
  VirtualBench()
      : network(virtual_clock.scheduler,
                1,
                [](const auto&, const auto&, auto&) { return Duration(500); }),
        datagrams(network) {}
  BenchClock& clock() override { return virtual_clock; }
  Result<std::unique_ptr<DatagramPort>> Create(
      const Endpoint& listen,
      DatagramPort::OnDatagram on_datagram) override {
    return datagrams.Create(listen, std::move(on_datagram));
  }
  Endpoint NextAddress() override { return {"127.0.0.1", ++last_port}; }
  VirtualClock virtual_clock;
  VirtualNetwork network;
  VirtualDatagrams datagrams;
  uint16_t last_port = 1'000;
};

struct Node {
  explicit Node(DatagramBench& bench)
      : port(bench
                 .Create(bench.NextAddress(),
                         [this](const std::string& from, std::string bytes) {
                           received.emplace_back(from, std::move(bytes));
                           if (on_receive)
                             on_receive();
                         })
                 .value()) {}
  std::string address() const { return port->endpoint().ToString(); }

  std::vector<std::pair<std::string, std::string>> received;
  std::function<void()> on_receive;
  std::unique_ptr<DatagramPort> port;
};

void BytesArriveUnchanged(DatagramBench& bench) {
  Node a(bench);
  Node b(bench);
  std::string bytes;
  for (int index = 0; index < 1'400; ++index)
    bytes.push_back(static_cast<char>(index));
  a.port->Send(b.address(), bytes);
  a.port->Send(b.address(), "");
  cr_assert(bench.clock().Until([&] { return b.received.size() == 2; }));
  cr_assert(b.received[0].second == bytes);
  cr_assert(b.received[1].second.empty());
  // The answer to `from` reaches the sender.
  cr_assert(b.received[0].first == a.address());
  b.port->Send(b.received[0].first, "answer");
  cr_assert(bench.clock().Until([&] { return a.received.size() == 1; }));
}

void BadAddressesAreIgnored(DatagramBench& bench) {
  Node a(bench);
  for (const char* to : {"", ":", "nonsense", "host:80", "127.0.0.1:99999",
                         "127.0.0.1:", "[::1", "127.0.0.1:1"})
    a.port->Send(to, "lost");
  a.port->Send(a.address(), "kept");
  cr_assert(bench.clock().Until([&] { return a.received.size() == 1; }));
  cr_assert(a.received[0].second == "kept");
}

void AddressInUseIsAnError(DatagramBench& bench) {
  Node a(bench);
  const auto second = bench.Create(a.port->endpoint(), nullptr);
  cr_assert(second.error().code == ErrorCode::kUnavailable);
  cr_assert(second.error().peer == a.address());
  cr_assert_not(second.error().step.empty());
}

void DestroyedPortIsSilent(DatagramBench& bench) {
  // The port that is destroyed has datagrams waiting when its hook runs.
  Node a(bench);
  Node b(bench);
  Node c(bench);
  for (int index = 0; index < 3; ++index) {
    a.port->Send(b.address(), "b");
    a.port->Send(c.address(), "c");
  }
  const auto destroy_other = [&](Node& other) { other.port.reset(); };
  b.on_receive = [&] { destroy_other(c); };
  c.on_receive = [&] { destroy_other(b); };
  cr_assert(bench.clock().Until(
      [&] { return b.received.size() == 3 || c.received.size() == 3; }));
  cr_assert_eq(b.received.size() + c.received.size(), 3);
  a.port->Send(a.address(), "end");
  cr_assert(bench.clock().Until([&] { return a.received.size() == 1; }));
  cr_assert_eq(b.received.size() + c.received.size(), 3);
}

void PortMayEndInItsHook(DatagramBench& bench) {
  Node a(bench);
  Node b(bench);
  b.on_receive = [&] { b.port.reset(); };
  a.port->Send(b.address(), "1");
  a.port->Send(b.address(), "2");
  a.port->Send(a.address(), "end");
  cr_assert(bench.clock().Until(
      [&] { return !b.received.empty() && !a.received.empty(); }));
  cr_assert_eq(b.received.size(), 1);
}

}  // namespace

struct DatagramCase {
  void (*run)(DatagramBench& bench);
};

static const DatagramCase kDatagramCases[] = {
    {BytesArriveUnchanged},  {BadAddressesAreIgnored}, {AddressInUseIsAnError},
    {DestroyedPortIsSilent}, {PortMayEndInItsHook},
};

// Guards against a virtual network that is kinder than the real one.
TABLE_TEST(datagram_port, udp_keeps_the_contract, kDatagramCases) {
  UdpBench bench;
  kDatagramCases[*row_index].run(bench);
}

TABLE_TEST(datagram_port, virtual_network_keeps_the_contract, kDatagramCases) {
  VirtualBench bench;
  kDatagramCases[*row_index].run(bench);
}

}  // namespace jackdawturn
