#include "gateway/zone_probe.h"

#include <algorithm>
#include <utility>

namespace jackdawturn::gateway {

namespace {

// Two proxies of other zones fail together seldom enough.
constexpr size_t kProbes = 2;

}  // namespace

ZoneProbe::ZoneProbe(GatewayContext& context, uint64_t seed)
    : m_context(context),
      m_random(seed),
      m_self(std::make_shared<ZoneProbe*>(this)) {}

ZoneProbe::~ZoneProbe() {
  *m_self = nullptr;
}

void ZoneProbe::Tick() {
  const TimePoint now = m_context.timers.now();
  const bool hinted =
      m_context.isolation_hint && *m_context.isolation_hint + kInterval > now;
  if (!hinted && !m_isolated)
    return;
  if (m_last && *m_last + kInterval > now)
    return;
  m_last = now;
  Send();
}

void ZoneProbe::Send() {
  std::vector<const Peer*> remote = m_context.peers.OutsideZone();
  std::shuffle(remote.begin(), remote.end(), m_random);
  remote.resize(std::min(remote.size(), kProbes));
  // One proxy alone may just have ended.
  if (remote.size() < kProbes) {
    m_isolated = false;
    return;
  }
  auto round = std::make_shared<Round>();
  round->awaited = remote.size();
  for (const Peer* peer : remote) {
    BackendServer server;
    server.id = InstanceName(peer->name.value());
    server.group = GroupName("probe");
    server.address = peer->relay_address;
    m_context.peer_pool.Probe(
        server, kTimeout, [self = m_self, round](const Result<void>& answer) {
          // Whoever refuses has been reached.
          const bool reached = answer ||
                               answer.error().code == ErrorCode::kNotFound ||
                               answer.error().code == ErrorCode::kExhausted;
          if (*self)
            (*self)->Ended(*round, reached);
        });
  }
}

void ZoneProbe::Ended(Round& round, bool reached) {
  round.reached = round.reached || reached;
  if (--round.awaited == 0)
    m_isolated = !round.reached;
}

}  // namespace jackdawturn::gateway
