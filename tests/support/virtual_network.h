#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/core.h"

namespace jackdawturn {

// A virtual clock with a queue of tasks. Tasks of the same time run in the
// order in which they were added. Thread safety: not thread-safe.
class VirtualScheduler {
 public:
  TimePoint now() const { return m_now; }

  void At(TimePoint time, std::function<void()> task);
  void After(Duration delay, std::function<void()> task) {
    At(m_now + delay, std::move(task));
  }

  // Runs all tasks up to and including `end`, which becomes the current time.
  void RunUntil(TimePoint end);
  // Runs the next task; returns false when there is none.
  bool RunNext();

 private:
  struct Task {
    TimePoint time;
    uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Task& other) const {
      return std::tie(other.time, other.order) < std::tie(time, order);
    }
  };

  TimePoint m_now;
  uint64_t m_last_order = 0;
  std::priority_queue<Task> m_tasks;
};

// Delivers messages between named nodes with latency and faults: random loss,
// cuts in one direction, crashed nodes and paused nodes. Thread safety: not
// thread-safe.
class VirtualNetwork {
 public:
  // Returns the one-way latency of a message.
  using Latency = std::function<Duration(const std::string& from,
                                         const std::string& to,
                                         std::mt19937_64& random)>;

  VirtualNetwork(VirtualScheduler& scheduler, uint64_t seed, Latency latency)
      : m_scheduler(scheduler), m_random(seed), m_latency(std::move(latency)) {}

  // Runs `deliver` at the receiver after the latency, unless the message is
  // lost. A paused receiver gets it when it resumes.
  void Send(const std::string& from,
            const std::string& to,
            std::function<void()> deliver);

  // Runs `task` at `node` after `delay`, later while it is paused, never when
  // it crashed in between.
  void After(const std::string& node,
             Duration delay,
             std::function<void()> task);

  // Drops messages from `from` to `to` until Heal is called; one direction.
  void Cut(const std::string& from, const std::string& to);
  void Heal(const std::string& from, const std::string& to);
  // Share of messages that are lost, 0 to 1.
  void SetLoss(double share) { m_loss = share; }

  // A crashed node loses its tasks and messages; a restart begins a new life.
  void Crash(const std::string& node);
  void Restart(const std::string& node) { m_crashed.erase(node); }
  bool IsUp(const std::string& node) const {
    return m_crashed.count(node) == 0;
  }
  // A paused node runs nothing until Resume, then all that was held back.
  void Pause(const std::string& node) { m_paused.insert(node); }
  void Resume(const std::string& node);

  // The node handles one message or task at a time, each for `time`; others
  // wait in its queue.
  void SetProcessingTime(const std::string& node, Duration time) {
    m_processing[node] = time;
  }

  std::mt19937_64& random() { return m_random; }
  VirtualScheduler& scheduler() { return m_scheduler; }

 private:
  void RunAt(const std::string& node,
             uint64_t life,
             std::function<void()> task);
  void RunNow(const std::string& node,
              uint64_t life,
              std::function<void()> task);

  VirtualScheduler& m_scheduler;
  std::mt19937_64 m_random;
  Latency m_latency;
  double m_loss = 0;
  std::set<std::pair<std::string, std::string>> m_cuts;
  std::set<std::string> m_crashed;
  std::set<std::string> m_paused;
  std::map<std::string, uint64_t> m_lives;
  std::map<std::string, Duration> m_processing;
  std::map<std::string, TimePoint> m_busy_until;
  std::map<std::string, std::vector<std::function<void()>>> m_held;
};

}  // namespace jackdawturn
