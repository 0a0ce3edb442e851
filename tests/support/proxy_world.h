#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "failover/failover.h"
#include "port_fakes/port_fakes.h"
#include "proxy/proxy.h"
#include "targets/targets.h"

#include "support/virtual_network.h"

namespace jackdawturn {

// Several ProxyMachines of one zone on a virtual clock, over the fakes of the
// platform and of three instances of one group. Thread safety: not thread-safe.
class ProxyWorld {
 public:
  struct Node {
    std::unique_ptr<proxy::ProxyMachine> machine;
    std::unique_ptr<BackendPort> backend;
    std::unique_ptr<PlatformPort> platform;
    VmName vm;
    // Also the name of the node in the network.
    std::string address;
    bool ready = false;
    bool accepting = true;
    std::optional<int> exit_code;
    std::map<proxy::CallerRequestNumber,
             std::function<void(const CallerAnswer&)>>
        calls;
    std::map<RelayArrival, std::pair<std::string, RelayCall>> arrivals;
    std::set<RelayCall> relayed;
    RelayArrival last_arrival;
    proxy::CallerRequestNumber last_call;
    std::map<BackendConnectionId, InstanceName> open;
    uint64_t wake = 0;
  };

  ProxyWorld(size_t proxies, uint64_t seed)
      : m_seed(seed),
        network(scheduler,
                seed,
                [](const std::string&, const std::string&, std::mt19937_64&) {
                  return std::chrono::microseconds(200);
                }) {
    GroupRecord record;
    record.group = kGroup;
    record.term = Term{1};
    record.primary = InstanceName("i1");
    record.history = {{Term{1}, LogPosition{1}}};
    m_group.name = kGroup;
    for (const char* name : {"i1", "i2", "i3"}) {
      FakeInstanceOptions instance;
      instance.instance.name = InstanceName(name);
      instance.initial_primary = InstanceName("i1");
      backend.AddInstance(instance);
      record.instances.emplace_back(name);
      m_group.instances.push_back({InstanceName(name), kZone});
    }
    targets::StoredTargets stored;
    stored.classes[ClassName("counts")] = {std::nullopt,
                                           std::chrono::seconds(1), false};
    stored.changes = {targets::ChangeId("initial")};
    VERIFY(platform.store().Update("targets", ObjectVersion(),
                                   targets::SerializeStoredTargets(stored)));
    VERIFY(platform.store().Update(failover::GroupRecordKey(kGroup),
                                   ObjectVersion(),
                                   failover::GroupRecordToJson(record)));
    for (size_t index = 0; index < proxies; ++index)
      Start();
    Run(std::chrono::seconds(8));
  }

  // Starts a further proxy.
  Node& Start() {
    const size_t number = ++m_started;
    auto node = std::make_shared<Node>();
    node->vm = VmName("entry-" + std::to_string(number));
    node->address = "10.0.0." + std::to_string(number) + ":7400";
    proxy::ProxyOptions options;
    options.vm = node->vm;
    options.zone = options.routing.zone = kZone;
    options.gossip_address = fleet::PeerAddress(node->address);
    options.groups = {m_group};
    for (const auto& peer : nodes) {
      if (peer->machine != nullptr)
        options.peers.push_back(
            {peer->vm, kZone, fleet::PeerAddress(peer->address)});
    }
    options.fleet_keys = {"fleet-key-for-tests-0123456789abcd"};
    options.token_keys.secrets = {{0, "token-key-for-tests-0123456789abcd"}};
    options.seed = m_seed * 1'000 + number;
    options.wall_clock = ClockTime(std::chrono::seconds(1'800'000'000)) +
                         scheduler.now().time_since_epoch();
    auto machine = proxy::ProxyMachine::Create(options);
    VERIFY(machine.has_value());
    node->machine = std::move(machine).value();
    node->backend = backend.CreatePort([this, node = node.get()](auto event) {
      std::visit([&](const auto& item) { Note(*node, item); }, event);
      std::visit([&](auto& item) { Feed(*node, std::move(item)); }, event);
    });
    node->platform = platform.CreatePort([this, node = node.get()](auto event) {
      Feed(*node, std::move(event));
    });
    nodes.push_back(node);
    Execute(*node, node->machine->Start(scheduler.now()));
    return *node;
  }

  void Feed(Node& node, const proxy::Event& event) {
    if (node.machine != nullptr)
      Execute(node, node.machine->Handle(event, scheduler.now()));
  }

  // The process dies; the kernel of the instance closes its connections.
  void Kill(Node& node) {
    network.Crash(node.address);
    node.machine.reset();
    node.backend.reset();
    node.platform.reset();
    node.open.clear();
  }

  // Cuts a proxy off from the others, but not from instances and platform.
  void CutFromPeers(const Node& node) {
    for (const auto& peer : nodes) {
      network.Cut(node.address, peer->address);
      network.Cut(peer->address, node.address);
    }
  }

  void Run(Duration time) { scheduler.RunUntil(scheduler.now() + time); }
  // Returns the time until `done`, or `limit`.
  Duration RunUntil(Duration limit, const std::function<bool()>& done) {
    const TimePoint begin = scheduler.now();
    while (!done() && scheduler.now() < begin + limit)
      Run(std::chrono::milliseconds(1));
    return scheduler.now() - begin;
  }

  void Ask(Node& node,
           const CallerRequest& request,
           std::function<void(const CallerAnswer&)> done) {
    node.last_call = node.last_call.Next();
    node.calls[node.last_call] = std::move(done);
    Feed(node, proxy::CallerRequestReceived{node.last_call, request});
  }

  size_t OpenAt(const InstanceName& name) {
    return backend.database(name).open_connections();
  }
  size_t OpenOf(const Node& node, const InstanceName& name) const {
    return static_cast<size_t>(
        std::count_if(node.open.begin(), node.open.end(),
                      [&](const auto& item) { return item.second == name; }));
  }

  static inline const GroupName kGroup{"g1"};
  static inline const ZoneName kZone{"zone-a"};
  static constexpr size_t kLimit = 16;

 private:
  const uint64_t m_seed;

 public:
  VirtualScheduler scheduler;
  VirtualNetwork network;
  FakeAfter after = [this](Duration delay, std::function<void()> task) {
    scheduler.After(delay, std::move(task));
  };
  FakeBackend backend{after, std::chrono::milliseconds(2)};
  FakePlatform platform{after, std::chrono::milliseconds(2)};
  std::vector<std::shared_ptr<Node>> nodes;
  size_t opens = 0;
  size_t refused = 0;

 private:
  void Note(Node& node, const BackendOpened& opened) {
    ++opens;
    if (opened.result)
      node.open[opened.connection] = opened.instance;
    else if (opened.result.error().code == ErrorCode::kExhausted)
      ++refused;
  }
  void Note(Node& node, const BackendLost& lost) {
    node.open.erase(lost.connection);
  }
  void Note(Node&, const BackendAnswered&) {}

  void Execute(Node& node, std::vector<proxy::Effect> effects) {
    for (proxy::Effect& effect : effects)
      std::visit([&](auto& item) { Do(node, std::move(item)); }, effect);
    if (node.machine == nullptr)
      return;
    const auto wakeup = node.machine->NextWakeup();
    if (!wakeup)
      return;
    const Duration delay =
        std::max<Duration>(*wakeup - scheduler.now(), Duration(0));
    network.After(node.address, delay, [this, &node, wake = ++node.wake] {
      if (node.wake == wake)
        Feed(node, proxy::TimePassed{});
    });
  }
  void Do(Node& node, const proxy::AnswerCaller& answer) {
    const auto found = node.calls.find(answer.call);
    if (found == node.calls.end())
      return;
    const auto done = std::move(found->second);
    node.calls.erase(found);
    scheduler.After(Duration(0),
                    [done, given = answer.answer] { done(given); });
  }
  void Do(Node& node, BackendCommand command) {
    if (const auto* close = std::get_if<CloseBackend>(&command))
      node.open.erase(close->connection);
    node.backend->Send(std::move(command));
  }
  void Do(Node& node, CallPlatform call) {
    node.platform->Send(std::move(call));
  }
  void Do(Node& node, const proxy::SendDatagram& datagram) {
    network.Send(node.address, datagram.to.value(),
                 [this, to = datagram.to.value(), from = node.address,
                  bytes = datagram.bytes] {
                   if (Node* peer = At(to))
                     Feed(*peer, proxy::DatagramArrived{
                                     fleet::PeerAddress(from), bytes});
                 });
  }
  void Do(Node& node, RelayCommand command) {
    if (auto* send = std::get_if<SendRelay>(&command))
      return SendRequest(node, *send);
    const auto& answer = std::get<AnswerRelay>(command);
    const auto found = node.arrivals.find(answer.arrival);
    if (found == node.arrivals.end())
      return;
    const auto [to, call] = found->second;
    node.arrivals.erase(found);
    network.Send(node.address, to, [this, to = to, call = call, answer] {
      EndRelay(to, RelayEnded{call, answer.reply, answer.stamp});
    });
  }
  void SendRequest(Node& node, const SendRelay& send) {
    node.relayed.insert(send.call);
    const std::string from = node.address;
    const Node* receiver = At(send.to);
    const auto fail = [&](Duration delay, ErrorCode code) {
      scheduler.After(delay, [this, from, call = send.call, code] {
        EndRelay(from, RelayEnded{call, Error{code, "relay", "", ""}, {}});
      });
    };
    if (receiver == nullptr || receiver->machine == nullptr)
      return fail(Duration(0), ErrorCode::kUnavailable);
    fail(send.timeout, ErrorCode::kTimeout);
    network.Send(from, send.to, [this, from, vm = node.vm, send] {
      Node* peer = At(send.to);
      if (peer == nullptr || peer->machine == nullptr)
        return;
      peer->last_arrival = peer->last_arrival.Next();
      peer->arrivals[peer->last_arrival] = {from, send.call};
      Feed(*peer,
           RelayArrived{peer->last_arrival, vm, send.request, send.stamp});
    });
  }
  void EndRelay(const std::string& address, const RelayEnded& ended) {
    Node* node = At(address);
    if (node != nullptr && node->relayed.erase(ended.call) != 0)
      Feed(*node, ended);
  }
  void Do(Node& node, proxy::SetReady set) { node.ready = set.ready; }
  void Do(Node& node, proxy::StopAccepting) { node.accepting = false; }
  void Do(Node& node, proxy::ExitProcess exit) { node.exit_code = exit.code; }
  template <typename Other>
  void Do(Node&, const Other&) {}

  Node* At(const std::string& address) {
    for (const auto& node : nodes) {
      if (node->address == address)
        return node.get();
    }
    return nullptr;
  }

  proxy::ServedGroup m_group;
  size_t m_started = 0;
};

}  // namespace jackdawturn
