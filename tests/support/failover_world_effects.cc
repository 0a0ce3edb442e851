#include <algorithm>
#include <utility>

#include "support/failover_world.h"

namespace jackdawturn::failover {

namespace {
constexpr Duration kGossipDelay = std::chrono::milliseconds(20);
constexpr uint64_t kReverse = 1'000'000'000;
}  // namespace

void FailoverWorld::Execute(Proxy& proxy,
                            size_t group,
                            const failover_effect::SendProbe& effect) {
  const size_t life = proxy.lives;
  Call(
      proxy.name, effect.instance.value(), effect.fresh, effect.timeout,
      [](DatabaseInstance& database) {
        return Result<InstanceReport>(database.Report());
      },
      [this, &proxy, group, call = effect.call, life](
          CallOutcome outcome, const Result<InstanceReport>* report) {
        if (life != proxy.lives)
          return;
        failover_event::ProbeEnded event{call, outcome, {}};
        if (report != nullptr)
          event.report = report->value();
        Deliver(proxy, group, event);
      });
}

void FailoverWorld::SendEvent(const Proxy& from,
                              const VmName& to,
                              size_t group,
                              FailoverEvent event) {
  m_network.Send(from.name, to.value(),
                 [this, to, group, event = std::move(event)] {
                   Deliver(ProxyOf(to.value()), group, event);
                 });
}

void FailoverWorld::Execute(Proxy& proxy,
                            size_t group,
                            const failover_effect::AskWitness& effect) {
  SendEvent(proxy, effect.to, group,
            failover_event::WitnessAsked{VmName(proxy.name), effect.call,
                                         effect.instance});
}

void FailoverWorld::Execute(Proxy& proxy,
                            size_t group,
                            const failover_effect::AnswerWitness& effect) {
  SendEvent(proxy, effect.to, group,
            failover_event::WitnessAnswered{VmName(proxy.name), effect.call,
                                            effect.view});
}

void FailoverWorld::Execute(Proxy& proxy,
                            size_t group,
                            const failover_effect::ReadRecord& effect) {
  CallPlatform(proxy, group, effect.call, std::nullopt);
}

void FailoverWorld::Execute(Proxy& proxy,
                            size_t group,
                            const failover_effect::UpdateRecord& effect) {
  CallPlatform(proxy, group, effect.call,
               std::pair(effect.expected, effect.record));
}

void FailoverWorld::Execute(Proxy& proxy,
                            size_t group,
                            const failover_effect::FenceInstance& effect) {
  const std::string& name = effect.instance.value();
  if (m_options.mutant == WorldMutant::kFenceOne &&
      name != InstanceOf(group, effect.term.value % kInstances)) {
    m_scheduler.After(Duration(1), [this, &proxy, group, effect] {
      InstanceReport report;
      report.accepted_term = effect.term;
      Deliver(proxy, group,
              failover_event::InstanceAnswered{effect.call, report, {}});
    });
    return;
  }
  CallInstance(proxy, group, effect.call, name, effect.timeout,
               [this, term = effect.term](
                   DatabaseInstance& database) -> Result<InstanceReport> {
                 TRY(InstanceReport report, database.Fence(term));
                 if (m_options.mutant == WorldMutant::kChooseLowest) {
                   report.position.value = kReverse - report.position.value;
                   report.log_term.value = kReverse - report.log_term.value;
                 }
                 return report;
               });
}

void FailoverWorld::Execute(Proxy& proxy,
                            size_t group,
                            const failover_effect::PromoteInstance& effect) {
  const Term term = effect.term;
  const auto promote =
      [this, group,
       term](DatabaseInstance& database) -> Result<InstanceReport> {
    TRY(const InstanceReport report, database.Promote(term));
    m_promoted[{group, term}].insert(database.name().value());
    Replicate(m_instances.at(database.name().value()));
    return report;
  };
  if (m_options.mutant == WorldMutant::kPromoteTwo) {
    for (size_t index = 0; index < kInstances; ++index) {
      if (InstanceOf(group, index) != effect.instance.value())
        Call(proxy.name, InstanceOf(group, index), false, effect.timeout,
             promote, [](CallOutcome, const Result<InstanceReport>*) {});
    }
  }
  CallInstance(proxy, group, effect.call, effect.instance.value(),
               effect.timeout, promote);
}

void FailoverWorld::Execute(Proxy& proxy,
                            size_t group,
                            const failover_effect::FollowInstance& effect) {
  CallInstance(proxy, group, effect.call, effect.instance.value(),
               effect.timeout, [this, effect](DatabaseInstance& database) {
                 auto report = database.Follow(effect.term, effect.primary);
                 Replicate(m_instances.at(effect.primary.value()));
                 return report;
               });
}

void FailoverWorld::Execute(Proxy& proxy,
                            size_t group,
                            const failover_effect::RecordAccepted& effect) {
  if (effect.accepted.record.phase == GroupPhase::kSteady)
    proxy.holders[group].steady = effect.accepted;
}

void FailoverWorld::Execute(Proxy& proxy,
                            size_t group,
                            const failover_effect::AnnounceRecord& effect) {
  const std::set<VmName> first(effect.first.begin(), effect.first.end());
  for (const auto& peer : m_proxies) {
    if (peer->name == proxy.name)
      continue;
    const Duration delay =
        first.count(VmName(peer->name)) != 0 ? Duration(0) : kGossipDelay;
    m_network.After(
        proxy.name, delay,
        [this, &proxy, &peer = *peer, group, record = effect.record] {
          m_network.Send(proxy.name, peer.name, [this, &peer, group, record] {
            Deliver(peer, group, failover_event::RecordSeen{record});
          });
        });
  }
}

void FailoverWorld::Execute(Proxy& proxy,
                            size_t group,
                            const failover_effect::AnnounceProgress& effect) {
  for (const VmName& peer : effect.to)
    SendEvent(proxy, peer, group,
              failover_event::PeerProgressAnnounced{VmName(proxy.name),
                                                    effect.term, effect.limit});
}

void FailoverWorld::Execute(Proxy& proxy,
                            size_t group,
                            const failover_effect::HoldWrites& effect) {
  proxy.holders[group].held = true;
  if (!effect.announce)
    return;
  for (const auto& peer : m_proxies) {
    if (peer->name != proxy.name)
      SendEvent(proxy, VmName(peer->name), group,
                failover_event::PeerHoldsWrites{VmName(proxy.name), effect.term,
                                                effect.limit});
  }
}

void FailoverWorld::Execute(Proxy& proxy,
                            size_t group,
                            const failover_effect::ReleaseWrites& effect) {
  Holder& holder = proxy.holders[group];
  holder.held = false;
  if (m_options.write_interval > Duration(0))
    TryWrite(proxy, group, holder.writer.attempt);
  if (!effect.announce)
    return;
  for (const auto& peer : m_proxies) {
    if (peer->name != proxy.name)
      SendEvent(
          proxy, VmName(peer->name), group,
          failover_event::PeerReleasesWrites{VmName(proxy.name), effect.term});
  }
}

void FailoverWorld::Execute(Proxy&,
                            size_t,
                            const failover_effect::ChangeEnded& effect) {
  m_changes_ended.push_back(effect);
}

void FailoverWorld::Execute(Proxy&,
                            size_t,
                            const failover_effect::ReadableChanged&) {}

void FailoverWorld::Execute(Proxy& proxy,
                            size_t group,
                            const failover_effect::TimelineEntry& effect) {
  if (m_timeline_hook)
    m_timeline_hook(proxy.name, group, effect);
}

// Faults.

void FailoverWorld::EndProcess(const std::string& instance) {
  Instance& ended = m_instances.at(instance);
  ended.process_up = false;
  ended.waiters.clear();
  m_network.Crash(instance);
  // The host resets the open connections.
  for (const auto& proxy : m_proxies) {
    const size_t life = proxy->lives;
    const size_t group = ended.group;
    m_network.Send(
        ended.host, proxy->name,
        [this, &proxy = *proxy, group, life, instance] {
          if (life == proxy.lives)
            Deliver(proxy, group,
                    failover_event::LiveRequestEnded{InstanceName(instance),
                                                     CallOutcome::kRefused,
                                                     Duration(0),
                                                     {}});
        });
  }
}

void FailoverWorld::StartProcess(const std::string& instance) {
  Instance& started = m_instances.at(instance);
  started.database.Restart();
  started.process_up = true;
  m_network.Restart(instance);
}

void FailoverWorld::EndHost(const std::string& instance) {
  m_instances.at(instance).waiters.clear();
  m_network.Crash(instance);
  m_network.Crash(m_instances.at(instance).host);
}

void FailoverWorld::StartHost(const std::string& instance) {
  m_network.Restart(m_instances.at(instance).host);
  StartProcess(instance);
}

void FailoverWorld::PauseProcess(const std::string& instance, Duration time) {
  m_network.Pause(instance);
  m_scheduler.After(time, [this, instance] { m_network.Resume(instance); });
}

void FailoverWorld::StallHost(const std::string& instance, Duration time) {
  m_network.Pause(m_instances.at(instance).host);
  m_scheduler.After(time, [this, host = m_instances.at(instance).host] {
    m_network.Resume(host);
  });
  PauseProcess(instance, time);
}

void FailoverWorld::CrashProxy(const std::string& proxy) {
  m_network.Crash(proxy);
  ++ProxyOf(proxy).lives;
}

void FailoverWorld::RestartProxy(const std::string& proxy) {
  m_network.Restart(proxy);
  StartProxy(ProxyOf(proxy));
}

void FailoverWorld::PauseProxy(const std::string& proxy, Duration time) {
  m_network.Pause(proxy);
  m_scheduler.After(time, [this, proxy] { m_network.Resume(proxy); });
}

void FailoverWorld::CutZone(size_t zone,
                            bool outgoing,
                            bool incoming,
                            bool cut) {
  for (const std::string& inside : m_nodes) {
    for (const std::string& outside : m_nodes) {
      if (m_zones.at(inside) != zone || m_zones.at(outside) == zone)
        continue;
      if (outgoing)
        cut ? m_network.Cut(inside, outside) : m_network.Heal(inside, outside);
      if (incoming)
        cut ? m_network.Cut(outside, inside) : m_network.Heal(outside, inside);
    }
  }
}

void FailoverWorld::CutBetween(size_t zone, size_t other_zone, bool cut) {
  for (const std::string& a : m_nodes) {
    for (const std::string& b : m_nodes) {
      if (m_zones.at(a) != zone || m_zones.at(b) != other_zone)
        continue;
      cut ? m_network.Cut(a, b) : m_network.Heal(a, b);
      cut ? m_network.Cut(b, a) : m_network.Heal(b, a);
    }
  }
}

void FailoverWorld::CutNode(const std::string& node, bool cut) {
  for (const std::string& other : m_nodes) {
    if (other == node)
      continue;
    cut ? m_network.Cut(node, other) : m_network.Heal(node, other);
    cut ? m_network.Cut(other, node) : m_network.Heal(other, node);
  }
}

void FailoverWorld::SetPlatformAvailable(bool available) {
  m_platform.SetAvailable(available);
}

void FailoverWorld::SetReplicationDelay(const std::string& instance,
                                        Duration delay) {
  m_instances.at(instance).replication_delay = delay;
}

void FailoverWorld::RequestChange(const std::string& proxy,
                                  size_t group,
                                  AttemptId change) {
  if (m_network.IsUp(proxy))
    Deliver(ProxyOf(proxy), group,
            failover_event::ChangeRequested{std::move(change), Term(),
                                            "asked by an operator"});
}

bool FailoverWorld::ProcessIsUp(const std::string& instance) const {
  return m_network.IsUp(instance);
}

}  // namespace jackdawturn::failover
