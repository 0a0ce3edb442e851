#pragma once

#include <cstdint>
#include <vector>

#include "core/core.h"

namespace jackdawturn::fleet {

// The UDP address of a proxy as IP number and port, for example
// "10.1.0.7:7400".
using PeerAddress = Identifier<struct PeerAddressTag>;

// Who a proxy is and where it receives datagrams.
struct NodeInfo {
  VmName vm;
  ZoneName zone;
  PeerAddress address;

  friend bool operator==(const NodeInfo&, const NodeInfo&) = default;
};

// What is believed of a proxy. At the same incarnation the higher value wins.
enum class MemberState : uint8_t {
  kAlive = 0,
  kSuspect = 1,  // Missed its probes; removed unless it refutes this in time.
  kDead = 2,     // Removed by suspicion.
  kLeft = 3,     // Announced by itself that it is gone.
};

// A statement about a proxy, as it travels in gossip.
struct Member {
  NodeInfo node;
  // Raised only by the proxy itself, to refute an older statement about it.
  uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;
  // True when the proxy drains: it still answers but takes no new work.
  bool leaving = false;

  friend bool operator==(const Member&, const Member&) = default;
};

// Returns true for members that can be sent something.
inline bool IsPresent(const Member& member) {
  return member.state == MemberState::kAlive ||
         member.state == MemberState::kSuspect;
}

// Returns true when `statement` replaces `known`, which is about the same VM.
inline bool Supersedes(const Member& statement, const Member& known) {
  if (statement.incarnation != known.incarnation)
    return statement.incarnation > known.incarnation;
  return statement.state > known.state;
}

}  // namespace jackdawturn::fleet
