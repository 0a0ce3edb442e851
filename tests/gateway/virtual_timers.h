#pragma once

#include <algorithm>
#include <map>
#include <utility>

#include "gateway/gateway.h"

namespace jackdawturn::gateway {

// Timers on a virtual clock.
class VirtualTimers : public Timers {
 public:
  TimePoint now() const override { return m_now; }

  TimerId After(Duration delay, std::function<void()> action) override {
    const TimerId id = m_next++;
    m_actions.emplace(std::make_pair(m_now + delay, id), std::move(action));
    return id;
  }

  void Cancel(TimerId timer) override {
    std::erase_if(m_actions, [timer](const auto& entry) {
      return entry.first.second == timer;
    });
  }

  // Discards the pending actions, so that no object they own outlives the test.
  void Clear() {
    while (!m_actions.empty()) {
      const auto dropped = std::exchange(m_actions, {});
    }
  }

  // Advances the clock by `time` and runs the actions that become due.
  void Advance(Duration time) {
    const TimePoint end = m_now + time;
    while (!m_actions.empty() && m_actions.begin()->first.first <= end) {
      const auto first = m_actions.begin();
      m_now = std::max(m_now, first->first.first);
      const auto action = std::move(first->second);
      m_actions.erase(first);
      action();
    }
    m_now = std::max(m_now, end);
  }

  // Advances the clock without running any action, as when the process is
  // suspended.
  void Suspend(Duration time) { m_now += time; }

 private:
  // Far from zero, so that durations can be subtracted.
  TimePoint m_now{std::chrono::hours(1)};
  TimerId m_next = 1;
  std::map<std::pair<TimePoint, TimerId>, std::function<void()>> m_actions;
};

}  // namespace jackdawturn::gateway
