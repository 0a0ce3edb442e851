#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "requests/requests.h"
#include "standins/standins.h"

namespace jackdawturn {

enum class RetentionMutant {
  kNone,
  // The newest ledger entry is left out of the mark.
  kWallClockOnly,
  // A proxy does not call again after a call that removed the limit.
  kOneCallPerRound,
  // A caller's late copy that the ledger refuses is sent under a new id.
  kRetryUnderNewId,
};

struct RetentionWorldOptions {
  uint64_t seed = 1;
  int days = 10;
  uint64_t writes_per_hour = 20;
  requests::RetentionOptions retention;
  // How far each proxy's wall clock, and the callers', is ahead.
  std::array<std::chrono::hours, 2> proxies_ahead{};
  std::chrono::hours callers_ahead{0};
  // Both proxies take themselves for the first holder.
  bool both_purge = false;
  // Some calls meet a primary that was replaced after they were sent.
  bool change_primary = false;
  RetentionMutant mutant = RetentionMutant::kNone;
};

// Proxies that purge the ledger of one group of stand-ins over virtual days.
class RetentionWorld {
 public:
  explicit RetentionWorld(RetentionWorldOptions options)
      : m_options(options), m_random(options.seed) {
    for (const char* name : {"i0", "i1", "i2"})
      m_instances.emplace_back(InstanceOptions{InstanceName(name), 1});
    Promote(0);
    for (size_t proxy = 0; proxy < kProxies; ++proxy) {
      m_machines.emplace_back(
          options.retention,
          requests::RetentionMachine::Hooks{[this, proxy](const GroupName&) {
            return proxy == 0 || m_options.both_purge ? std::optional(Target())
                                                      : std::nullopt;
          }});
      m_machines[proxy].AddGroup(GroupName("g"), m_now);
    }
  }

  void Run() {
    for (int hour = 0; hour < 24 * m_options.days; ++hour) {
      RunMachines(m_now + std::chrono::hours(1));
      for (uint64_t write = 0; write < m_options.writes_per_hour; ++write)
        Write();
      SendLateCopy();
      Replicate();
      CheckLedger();
    }
  }

  uint64_t calls = 0;
  uint64_t refused_calls = 0;
  uint64_t removed = 0;
  uint64_t largest_removed = 0;
  uint64_t largest_ledger = 0;
  uint64_t writes = 0;
  uint64_t late_copies = 0;
  uint64_t late_copies_refused = 0;
  // Hours in which an entry younger than the retention was missing.
  uint64_t hours_with_early_removal = 0;
  // Requests whose work ran twice.
  uint64_t ran_twice = 0;

 private:
  static constexpr size_t kProxies = 2;

  WallTime Wall(Duration ahead) const {
    return WallTime(std::chrono::days(20'000)) +
           std::chrono::floor<std::chrono::milliseconds>(
               m_now.time_since_epoch() + ahead);
  }
  DatabaseInstance& primary() { return m_instances[m_primary]; }

  requests::SendPurge Target() {
    requests::SendPurge send;
    send.primary = primary().name();
    send.term = m_term;
    return send;
  }

  void Promote(size_t index) {
    m_term = m_term.Next();
    m_primary = index;
    for (DatabaseInstance& instance : m_instances)
      VERIFY(instance.Fence(m_term).has_value());
    VERIFY(primary().Promote(m_term).has_value());
    for (DatabaseInstance& instance : m_instances) {
      if (&instance != &primary())
        VERIFY(instance.Follow(m_term, primary().name()).has_value());
    }
  }

  // Purges since the last call are lost by a change of primary.
  void Replicate() {
    for (DatabaseInstance& instance : m_instances)
      instance.ReplicateFrom(primary(), primary().Report().position);
  }

  void RunMachines(TimePoint until) {
    while (true) {
      size_t next = 0;
      for (size_t proxy = 1; proxy < kProxies; ++proxy) {
        if (m_machines[proxy].NextWakeup() < m_machines[next].NextWakeup())
          next = proxy;
      }
      const auto wakeup = m_machines[next].NextWakeup();
      if (!wakeup || *wakeup > until)
        break;
      m_now = std::max(m_now, *wakeup);
      Purge(next, m_machines[next].OnTime(m_now, ProxyWall(next)));
    }
    m_now = until;
  }

  WallTime ProxyWall(size_t proxy) const {
    return Wall(m_options.proxies_ahead[proxy]);
  }

  void Purge(size_t proxy, const std::vector<requests::SendPurge>& sends) {
    for (requests::SendPurge send : sends) {
      if (m_options.mutant == RetentionMutant::kWallClockOnly &&
          send.limit != 0)
        send.low_water =
            ProxyWall(proxy) - std::chrono::floor<std::chrono::milliseconds>(
                                   m_options.retention.ledger);
      DatabaseInstance& instance = primary();
      if (m_options.change_primary && m_random() % 20 == 0)
        Promote((m_primary + 1) % m_instances.size());
      ++calls;
      auto result = instance.PurgeLedger(send.term, send.low_water, send.limit);
      if (result) {
        removed += result.value().removed;
        largest_removed = std::max(largest_removed, result.value().removed);
        if (m_options.mutant == RetentionMutant::kOneCallPerRound)
          result.value().removed = 0;
      } else {
        ++refused_calls;
      }
      Purge(proxy, m_machines[proxy].OnAnswer(send.group, result, m_now,
                                              ProxyWall(proxy)));
    }
  }

  WriteCommand Command(const RequestId& id, const std::string& work) const {
    return {m_term, id, ClassName("counts"), 1, "add " + work + " 1"};
  }

  void Write() {
    const RequestId id = MakeRequestId(Wall(m_options.callers_ahead), ++writes);
    VERIFY(primary().Write(Command(id, id.value())).has_value());
    m_young.push_back({m_now, id});
    m_ids.push_back(id);
  }

  // Sends an id again that is of any age.
  void SendLateCopy() {
    const RequestId& id = m_ids[m_random() % m_ids.size()];
    ++late_copies;
    const auto result = primary().Write(Command(id, id.value()));
    const bool refused =
        !result && result.error().code == ErrorCode::kExhausted;
    late_copies_refused += refused ? 1 : 0;
    if (refused && m_options.mutant == RetentionMutant::kRetryUnderNewId)
      VERIFY(primary()
                 .Write(Command(
                     MakeRequestId(Wall(m_options.callers_ahead), ++writes),
                     id.value()))
                 .has_value());
    ran_twice += primary().data().at(id.value()) == "1" ? 0 : 1;
  }

  void CheckLedger() {
    while (!m_young.empty() &&
           m_young.front().at + m_options.retention.ledger < m_now)
      m_young.pop_front();
    largest_ledger =
        std::max<uint64_t>(largest_ledger, primary().ledger_size());
    // Entries go in the order of their ids, so the oldest is the first to go.
    if (!m_young.empty() && !primary().FindLedger(m_young.front().id))
      ++hours_with_early_removal;
  }

  struct Written {
    TimePoint at;
    RequestId id;
  };

  const RetentionWorldOptions m_options;
  std::mt19937_64 m_random;
  std::vector<DatabaseInstance> m_instances;
  std::vector<requests::RetentionMachine> m_machines;
  size_t m_primary = 0;
  Term m_term;
  TimePoint m_now;
  std::deque<Written> m_young;
  std::vector<RequestId> m_ids;
};

}  // namespace jackdawturn
