#pragma once

#include <cstdint>
#include <vector>

#include "core/core.h"

namespace jackdawturn::fleet {

// The UDP address of a proxy as IP number and port, for example
// "10.1.0.7:7400".
using PeerAddress = Identifier<struct PeerAddressTag>;

// The identity of a proxy and the address at which it receives datagrams.
struct NodeInfo {
  VmName vm;
  ZoneName zone;
  PeerAddress address;

  friend bool operator==(const NodeInfo&, const NodeInfo&) = default;
};

// The state that gossip reports for a proxy. At the same incarnation the higher
// value wins.
enum class MemberState : uint8_t {
  kAlive = 0,
  kSuspect = 1,  // Did not answer its probes; removed unless refuted in time.
  kDead = 2,     // Removed by suspicion.
  kLeft = 3,     // Announced its own shutdown.
};

// A statement about a proxy, as carried by gossip.
struct Member {
  NodeInfo node;
  // Incremented only by the proxy itself, to refute an older statement about
  // it.
  uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;
  // True when the proxy drains: it still answers but accepts no new work.
  bool leaving = false;

  friend bool operator==(const Member&, const Member&) = default;
};

// Returns whether messages can be sent to the member.
inline bool IsPresent(const Member& member) {
  return member.state == MemberState::kAlive ||
         member.state == MemberState::kSuspect;
}

// Returns whether `statement` replaces `known`, which is about the same VM.
inline bool Supersedes(const Member& statement, const Member& known) {
  if (statement.incarnation != known.incarnation)
    return statement.incarnation > known.incarnation;
  return statement.state > known.state;
}

}  // namespace jackdawturn::fleet
