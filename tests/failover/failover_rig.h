#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "failover/failover.h"
#include "support/virtual_network.h"

namespace jackdawturn::failover {

// One FailoverMachine "p1" of the group "g" with the instances i1 (primary), i2
// and i3. Answers probes from `reports`; an instance without an entry behaves
// as an unreachable host. Answers witness requests and, with `platform_record`,
// reads; keeps all other effects for the test.
class FailoverRig {
 public:
  FailoverRig() : m_machine(Settings(), Start(m_scheduler)) {
    for (const char* name : {"i1", "i2", "i3"})
      reports[name] = {Term{1}, Term{1}, LogPosition{10}};
    reports["i1"].primary = true;
    Send(failover_event::PeersChanged{
        {{VmName("p1"), ZoneName("z1")}, {Witness(), ZoneName("z2")}}});
  }

  static VersionedRecord Record(uint64_t version, uint64_t term) {
    VersionedRecord record{ObjectVersion{version}, {}};
    record.record.group = GroupName("g");
    record.record.term = Term{term};
    record.record.primary = InstanceName("i1");
    record.record.instances = {InstanceName("i1"), InstanceName("i2"),
                               InstanceName("i3")};
    record.record.history = {{Term{1}, LogPosition{1}}};
    record.record.attempt = AttemptId("created");
    return record;
  }

  // Sends the record of version 1 and runs until probes have been answered.
  void Settle() {
    Send(failover_event::RecordSeen{Record(1, 1)});
    Run(std::chrono::milliseconds(1'500));
    kept.clear();
  }

  void Send(const FailoverEvent& event) {
    for (FailoverEffect& effect : m_machine.Handle(event, now()))
      Take(std::move(effect));
    PlanTimer();
  }

  void Run(Duration time) { m_scheduler.RunUntil(now() + time); }
  // Advances the clock without timers or answers, as if the process was paused.
  void Pause(Duration time) {
    m_paused = true;
    Run(time);
    m_paused = false;
    Send(failover_event::TimerFired{});
  }

  // Runs until an effect of the type is kept, at most for `limit`; removes and
  // returns the effect.
  template <typename T>
  std::optional<T> Await(Duration limit) {
    const TimePoint end = now() + limit;
    for (;;) {
      for (auto item = kept.begin(); item != kept.end(); ++item) {
        if (const T* found = std::get_if<T>(&*item)) {
          T effect = *found;
          kept.erase(item);
          return effect;
        }
      }
      if (now() >= end)
        return std::nullopt;
      Run(std::chrono::milliseconds(1));
    }
  }

  // Makes the primary unreachable, with a witness that agrees, and runs until
  // the claim.
  std::optional<failover_effect::UpdateRecord> AwaitClaim() {
    reports.erase("i1");
    witness_agrees = true;
    return Await<failover_effect::UpdateRecord>(std::chrono::seconds(3));
  }

  // Answers an update as the platform does.
  VersionedRecord Store(const failover_effect::UpdateRecord& update) {
    const VersionedRecord stored{update.expected.Next(), update.record};
    Send(failover_event::PlatformAnswered{
        update.call, failover_event::PlatformOutcome::kDone, stored});
    return stored;
  }

  TimePoint now() const { return m_scheduler.now(); }
  FailoverMachine& machine() { return m_machine; }

  std::map<std::string, InstanceReport> reports;
  bool witness_agrees = false;
  // When set, reads are answered with this record instead of being kept.
  std::optional<VersionedRecord> platform_record;
  std::vector<FailoverEffect> kept;

 private:
  static FailoverSettings Settings() {
    FailoverSettings settings;
    settings.group = GroupName("g");
    settings.self = VmName("p1");
    settings.zone = ZoneName("z1");
    settings.instances = {InstanceName("i1"), InstanceName("i2"),
                          InstanceName("i3")};
    settings.seed = 5;
    return settings;
  }

  // Returns a proxy in another zone that is ordered after p1 in all terms that
  // the tests use, so that p1 claims immediately.
  static VmName Witness() {
    constexpr uint64_t kLastTerm = 6;
    for (uint64_t number = 0;; ++number) {
      const std::string name = "w" + std::to_string(number);
      bool after = true;
      for (uint64_t term = 1; term <= kLastTerm; ++term)
        after = after && RendezvousOrder("g/" + std::to_string(term),
                                         {"p1", name})[0] == "p1";
      if (after)
        return VmName(name);
    }
  }

  static TimePoint Start(VirtualScheduler& scheduler) {
    scheduler.RunUntil(TimePoint(std::chrono::hours(1)));
    return scheduler.now();
  }

  void Take(FailoverEffect effect) {
    constexpr Duration kRoundTrip = std::chrono::milliseconds(3);
    if (const auto* probe = std::get_if<failover_effect::SendProbe>(&effect)) {
      const auto found = reports.find(probe->instance.value());
      failover_event::ProbeEnded ended{probe->call, {}, {}};
      ended.outcome = CallOutcome::kConnectTimeout;
      if (found != reports.end()) {
        ended.outcome = CallOutcome::kAnswered;
        ended.report = found->second;
      }
      m_scheduler.After(ended.report ? kRoundTrip : probe->timeout,
                        [this, ended] { Deliver(ended); });
    } else if (const auto* question =
                   std::get_if<failover_effect::AskWitness>(&effect)) {
      const failover_event::WitnessAnswered answer{
          question->to, question->call, {std::nullopt, witness_agrees}};
      m_scheduler.After(kRoundTrip, [this, answer] { Deliver(answer); });
    } else if (const auto* read =
                   std::get_if<failover_effect::ReadRecord>(&effect);
               read != nullptr && platform_record) {
      const failover_event::PlatformAnswered answer{
          read->call, failover_event::PlatformOutcome::kDone, platform_record};
      m_scheduler.After(kRoundTrip, [this, answer] { Deliver(answer); });
    } else {
      kept.push_back(std::move(effect));
    }
  }

  void Deliver(const FailoverEvent& event) {
    if (!m_paused)
      Send(event);
  }

  void PlanTimer() {
    const TimePoint due = m_machine.next_wakeup();
    m_scheduler.At(due, [this, due] {
      if (!m_paused && m_machine.next_wakeup() == due)
        Send(failover_event::TimerFired{});
    });
  }

  VirtualScheduler m_scheduler;
  FailoverMachine m_machine;
  bool m_paused = false;
};

}  // namespace jackdawturn::failover
