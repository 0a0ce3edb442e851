#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "core/core.h"
#include "fleet/fleet.h"
#include "standins/standins.h"
#include "support/virtual_network.h"
#include "targets/targets.h"

namespace jackdawturn::fleet {

using namespace targets;

// Channels of the fleet's datagrams in the tests and benchmarks.
inline constexpr uint8_t kShareChannel = 1;
inline constexpr uint8_t kSpreadChannel = 2;

// Numbered names of VMs, zones and addresses for the tests and benchmarks.
inline VmName VmOf(size_t index) {
  std::string digits = std::to_string(index);
  constexpr size_t kDigits = 4;
  digits.insert(0, kDigits - std::min(kDigits, digits.size()), '0');
  return VmName("vm-" + digits);
}

inline NodeInfo NodeOf(size_t index, size_t zones) {
  const size_t zone = index % zones;
  return NodeInfo{VmOf(index), ZoneName("zone-" + std::to_string(zone)),
                  PeerAddress("10." + std::to_string(zone) + "." +
                              std::to_string(index / 250) + "." +
                              std::to_string(index % 250 + 1) + ":7400")};
}

// One proxy: its membership, group ownership and version spread, connected as
// in the program but without sockets. The owner delivers its datagrams.
// Thread safety: not thread-safe.
class FleetNode {
 public:
  struct Hooks {
    std::function<void(const PeerAddress& to, std::string bytes)> send;
    std::function<void(const InstanceName& instance)> open;
    std::function<void(const InstanceName& instance, size_t count)> close;
    std::function<void(const StartWatch& watch)> watch;
    std::function<void(const SpreadObject& object)> in_force;
    std::function<void()> caught_up;
    std::function<void(const SurveyResult& result)> survey;
    std::function<void(const Member& member)> member_changed;
  };

  FleetNode(MembershipOptions membership,
            OwnershipOptions ownership,
            SpreadOptions spread,
            DatagramCodec codec,
            uint64_t seed,
            Hooks hooks)
      : m_hooks(std::move(hooks)),
        m_membership(std::move(membership),
                     std::move(codec),
                     std::mt19937_64(seed)),
        m_ownership(std::move(ownership), std::mt19937_64(seed + 1)),
        m_spread(std::move(spread), std::mt19937_64(seed + 2)) {}

  MembershipMachine& membership() { return m_membership; }
  GroupOwnership& ownership() { return m_ownership; }
  VersionSpread& spread() { return m_spread; }

  void Deliver(DatagramReceived datagram, TimePoint now) {
    Apply(m_membership.Handle(datagram, now), now);
  }
  void Apply(const MembershipEvent& event, TimePoint now) {
    Apply(m_membership.Handle(event, now), now);
  }
  void Apply(const OwnershipEvent& event, TimePoint now) {
    Apply(m_ownership.Handle(event, now), now);
  }
  void Apply(const SpreadEvent& event, TimePoint now) {
    Apply(m_spread.Handle(event, now), now);
  }

  void OnTime(TimePoint now) {
    if (now >= m_membership.NextWakeup())
      Apply(m_membership.OnTime(now), now);
    if (now >= m_next_view)
      FeedView(now);
    if (now >= m_ownership.NextWakeup())
      Apply(m_ownership.OnTime(now), now);
    if (now >= m_spread.NextWakeup())
      Apply(m_spread.OnTime(now), now);
  }

  TimePoint NextWakeup() const {
    return std::min({m_membership.NextWakeup(), m_ownership.NextWakeup(),
                     m_spread.NextWakeup(), m_next_view});
  }

 private:
  void FeedView(TimePoint now) {
    m_next_view = now + std::chrono::seconds(1);
    const bool changed = std::exchange(m_view_changed, false);
    const FleetView view = m_membership.view(now);
    const bool may_open_connections = view.joined && !view.likely_partitioned;
    if (!changed && may_open_connections == m_may_open_connections)
      return;
    m_may_open_connections = may_open_connections;
    OwnershipView ownership;
    SpreadPeers peers;
    for (const Member& member : view.zone) {
      ownership.zone.push_back(
          {member.node.vm, member.node.zone, member.leaving});
      if (!member.leaving)
        peers.zone.push_back(member.node.vm);
    }
    for (const Member& member : view.contacts) {
      ownership.contacts.push_back(
          {member.node.vm, member.node.zone, member.leaving});
      if (!member.leaving)
        peers.contacts[member.node.zone].push_back(member.node.vm);
    }
    ownership.dead_members = view.dead_members;
    ownership.leaving = view.leaving;
    ownership.may_open_connections = may_open_connections;
    peers.joined = view.joined;
    // Before it has joined, a proxy has no view of the peers with which it
    // divides the connections.
    if (view.joined)
      Apply(m_ownership.Handle(ownership, now), now);
    Apply(m_spread.Handle(peers, now), now);
  }

  void Apply(const std::vector<MembershipEffect>& effects, TimePoint now) {
    for (const MembershipEffect& effect : effects) {
      if (const auto* send = std::get_if<SendDatagram>(&effect)) {
        m_hooks.send(send->to, send->bytes);
      } else if (const auto* changed = std::get_if<MemberChanged>(&effect)) {
        m_view_changed = true;
        if (m_hooks.member_changed)
          m_hooks.member_changed(changed->member);
      } else if (const auto* payload = std::get_if<PayloadReceived>(&effect)) {
        OnPayload(*payload, now);
      } else if (std::holds_alternative<Joined>(effect) ||
                 std::holds_alternative<PauseNoticed>(effect)) {
        // The other state machines must not act on the old view after a pause.
        m_view_changed = true;
        FeedView(now);
      }
    }
    // Combines changes that arrive together into one view.
    if (m_view_changed)
      m_next_view = std::min(m_next_view, now + std::chrono::milliseconds(20));
  }

  void OnPayload(const PayloadReceived& payload, TimePoint now) {
    if (payload.channel == kShareChannel)
      Apply(m_ownership.Handle(
                ShareMessageReceived{payload.from.vm, payload.bytes}, now),
            now);
    else if (payload.channel == kSpreadChannel)
      Apply(m_spread.Handle(
                SpreadMessageReceived{payload.from.vm, payload.bytes}, now),
            now);
  }

  void Apply(const std::vector<OwnershipEffect>& effects, TimePoint now) {
    for (const OwnershipEffect& effect : effects) {
      if (const auto* open = std::get_if<OpenConnections>(&effect)) {
        for (size_t index = 0; index < open->count; ++index)
          m_hooks.open(open->instance);
      } else if (const auto* close =
                     std::get_if<CloseIdleConnections>(&effect)) {
        m_hooks.close(close->instance, close->count);
      } else if (const auto* send = std::get_if<SendShareMessage>(&effect)) {
        Apply(m_membership.Handle(
                  SendPayload{send->to, kShareChannel, send->bytes}, now),
              now);
      }
    }
  }

  void Apply(const std::vector<SpreadEffect>& effects, TimePoint now) {
    for (const SpreadEffect& effect : effects) {
      if (const auto* send = std::get_if<SendSpreadMessage>(&effect))
        Apply(m_membership.Handle(
                  SendPayload{send->to, kSpreadChannel, send->bytes}, now),
              now);
      else if (const auto* watch = std::get_if<StartWatch>(&effect))
        m_hooks.watch(*watch);
      else if (const auto* force = std::get_if<VersionInForce>(&effect))
        m_hooks.in_force(force->object);
      else if (std::holds_alternative<CaughtUp>(effect))
        m_hooks.caught_up();
      else if (const auto* survey = std::get_if<SurveyResult>(&effect))
        m_hooks.survey(*survey);
    }
  }

  Hooks m_hooks;
  MembershipMachine m_membership;
  GroupOwnership m_ownership;
  VersionSpread m_spread;
  bool m_view_changed = true;
  bool m_may_open_connections = false;
  TimePoint m_next_view;
};

}  // namespace jackdawturn::fleet
