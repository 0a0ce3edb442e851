#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/core.h"
#include "routing/routing.h"

#include "support/virtual_network.h"

namespace jackdawturn::routing {

struct ModelGroupOptions {
  size_t instances = 3;
  size_t slots = 2;
  size_t connection_limit = 30;
  Duration longest_lag{200'000};
  // Service time of a statement in the model.
  std::function<Duration(std::mt19937_64&)> service =
      [](std::mt19937_64& random) {
        return Duration(std::uniform_int_distribution<int>(500, 1'500)(random));
      };
};

// Simulates the instances of one group on a virtual clock: slots with a FIFO
// queue, connections that can become unresponsive, replication with varying
// lag, stalls and primary changes. It keeps the true history for checkers. The
// model follows requirements B1 to B8 of docs/design.md.
class ModelGroup {
 public:
  struct Instance {
    InstanceName name;
    ZoneName zone;
    InstanceReport state;
    bool following = false;
    // True when the instance is primary of an old term, so that its entries are
    // on a diverged branch.
    bool diverged = false;
    bool stalled = false;
    size_t running = 0;
    size_t longest_queue = 0;
    uint64_t statements = 0;
    // Total time for which statements waited for a slot.
    Duration waited{0};
    std::deque<std::pair<TimePoint, std::function<void()>>> waiting;
    std::vector<std::function<void()>> stalled_completions;
    std::set<uint64_t> connections;
    Duration lag{0};
  };

  struct Entry {
    Term term;
    TimePoint appended;
    std::optional<TimePoint> confirmed;
  };

  static constexpr Duration kTick{5'000};

  ModelGroup(VirtualScheduler& scheduler,
             ModelGroupOptions options,
             uint64_t seed)
      : m_scheduler(scheduler), m_options(std::move(options)), m_random(seed) {
    for (size_t index = 0; index < m_options.instances; ++index) {
      Instance instance;
      instance.name = InstanceName("i" + std::to_string(index));
      instance.zone = ZoneName("z" + std::to_string(index));
      instance.state = {Term{1}, Term{1}, LogPosition{1}, index == 0};
      instance.following = index != 0;
      m_instances.push_back(std::move(instance));
    }
    m_log.push_back({Term{1}, scheduler.now(), scheduler.now()});
    m_scheduler.After(kTick, [this] { Tick(); });
  }

  std::vector<Instance>& instances() { return m_instances; }
  const std::vector<Entry>& log() const { return m_log; }
  Term term() const { return m_term; }
  size_t primary() const { return m_primary; }
  std::mt19937_64& random() { return m_random; }

  Instance* Find(const InstanceName& name) {
    for (Instance& instance : m_instances) {
      if (instance.name == name)
        return &instance;
    }
    return nullptr;
  }

  // Starts a statement when a slot is free and calls `done` after its service
  // time.
  void Execute(Instance& instance, std::function<void()> done) {
    instance.waiting.emplace_back(m_scheduler.now(), std::move(done));
    instance.longest_queue =
        std::max(instance.longest_queue, instance.waiting.size());
    StartNext(instance);
  }

  void Stall(Instance& instance, Duration time) {
    instance.stalled = true;
    m_scheduler.After(time, [this, &instance] {
      instance.stalled = false;
      for (const auto& done : std::exchange(instance.stalled_completions, {}))
        done();
      StartNext(instance);
    });
  }

  // Appends an entry. Returns false when the instance is not primary of `term`.
  bool Append(Instance& instance, Term term) {
    if (!instance.state.primary || instance.state.accepted_term != term)
      return false;
    instance.state.position = instance.state.position.Next();
    instance.state.log_term = term;
    if (!instance.diverged)
      m_log.push_back({term, m_scheduler.now(), std::nullopt});
    return true;
  }

  // Fences all instances except `unfenced`, which is partitioned, by raising
  // their accepted term. Shortly afterwards it promotes the most advanced of
  // them and calls `published`.
  void ChangePrimary(size_t unfenced, std::function<void()> published) {
    const Term next = m_term.Next();
    size_t best = m_instances.size();
    for (size_t index = 0; index < m_instances.size(); ++index) {
      if (index == unfenced)
        continue;
      Instance& instance = m_instances[index];
      instance.state.accepted_term = next;
      instance.state.primary = false;
      instance.following = false;
      const auto rank = [&](size_t i) {
        return std::pair(m_instances[i].state.log_term,
                         m_instances[i].state.position);
      };
      if (best == m_instances.size() || rank(index) > rank(best))
        best = index;
    }
    m_scheduler.After(Duration(10'000),
                      [this, next, best, unfenced, published] {
                        Promote(next, best, unfenced);
                        published();
                      });
    m_scheduler.After(Duration(40'000),
                      [this, best, unfenced] { FollowAll(best, unfenced); });
    // The unfenced instance is partitioned and stays in its old term for
    // 400 ms.
    m_scheduler.After(Duration(400'000),
                      [this, best] { FollowAll(best, m_instances.size()); });
  }

  // Returns the length of the prefix that the current log shares with a log
  // whose last entry has this term and position.
  uint64_t PositionInLog(Term log_term, LogPosition position) const {
    uint64_t common = position.value;
    for (const auto& [term, start] : m_starts) {
      if (term > log_term)
        common = std::min(common, start - 1);
    }
    return common;
  }

  // Returns the earliest time at which an entry after `position` was confirmed;
  // empty when none was.
  std::optional<TimePoint> FirstConfirmedAfter(uint64_t position) const {
    std::optional<TimePoint> first;
    for (size_t index = position; index < m_log.size(); ++index) {
      const auto& confirmed = m_log[index].confirmed;
      if (confirmed && (!first || *confirmed < *first))
        first = confirmed;
    }
    return first;
  }

 private:
  void StartNext(Instance& instance) {
    while (!instance.stalled && instance.running < m_options.slots &&
           !instance.waiting.empty()) {
      ++instance.running;
      ++instance.statements;
      auto [since, done] = std::move(instance.waiting.front());
      instance.waited += m_scheduler.now() - since;
      instance.waiting.pop_front();
      m_scheduler.After(m_options.service(m_random),
                        [this, &instance, done = std::move(done)] {
                          const auto finish = [this, &instance, done] {
                            --instance.running;
                            done();
                            StartNext(instance);
                          };
                          if (instance.stalled)
                            instance.stalled_completions.push_back(finish);
                          else
                            finish();
                        });
    }
  }

  void Promote(Term next, size_t best, size_t unfenced) {
    Instance& instance = m_instances[best];
    const uint64_t end = instance.state.position.value;
    m_log.resize(std::min<size_t>(m_log.size(), end));
    m_log.push_back({next, m_scheduler.now(), std::nullopt});
    m_starts.emplace_back(next, end + 1);
    m_term = next;
    if (unfenced < m_instances.size() && m_instances[unfenced].state.primary)
      m_instances[unfenced].diverged = true;
    m_primary = best;
    instance.state.primary = true;
    instance.state.log_term = next;
    instance.state.position = LogPosition{end + 1};
  }

  void FollowAll(size_t best, size_t unfenced) {
    for (size_t index = 0; index < m_instances.size(); ++index) {
      Instance& instance = m_instances[index];
      if (index == best || index == unfenced || instance.following)
        continue;
      const uint64_t common =
          PositionInLog(instance.state.log_term, instance.state.position);
      instance.state.position = LogPosition{common};
      instance.state.log_term = m_log[common - 1].term;
      instance.state.accepted_term = m_term;
      instance.state.primary = false;
      instance.diverged = false;
      instance.following = true;
    }
  }

  void Tick() {
    std::uniform_int_distribution<int64_t> lag(0,
                                               m_options.longest_lag.count());
    const TimePoint now = m_scheduler.now();
    const bool new_lag = ++m_ticks % 20 == 1;
    for (Instance& instance : m_instances) {
      if (new_lag)
        instance.lag = Duration(lag(m_random));
      uint64_t position = instance.state.position.value;
      // An unfenced primary of the old term replicates to no fenced instance.
      while (instance.following && position < m_log.size() &&
             m_log[position].term >= instance.state.log_term &&
             m_log[position].term <= instance.state.accepted_term &&
             m_log[position].appended + instance.lag <= now) {
        Entry& entry = m_log[position++];
        if (!entry.confirmed && instance.state.accepted_term == entry.term)
          entry.confirmed = now;
        instance.state.position = LogPosition{position};
        instance.state.log_term = entry.term;
      }
    }
    m_scheduler.After(kTick, [this] { Tick(); });
  }

  VirtualScheduler& m_scheduler;
  ModelGroupOptions m_options;
  std::mt19937_64 m_random;
  std::vector<Instance> m_instances;
  std::vector<Entry> m_log;
  std::vector<std::pair<Term, uint64_t>> m_starts;
  Term m_term{1};
  size_t m_primary = 0;
  uint64_t m_ticks = 0;
};

}  // namespace jackdawturn::routing
