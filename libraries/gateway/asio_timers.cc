#include "gateway/asio_timers.h"

#include <algorithm>
#include <chrono>
#include <ctime>

namespace jackdawturn::gateway {

AsioTimers::AsioTimers(boost::asio::io_context& context) : m_timer(context) {}

TimePoint AsioTimers::now() const {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec)));
}

Timers::TimerId AsioTimers::After(Duration delay,
                                  std::function<void()> action) {
  const TimerId id = m_next++;
  const TimePoint time = now() + delay;
  m_actions.emplace(std::make_pair(time, id), std::move(action));
  m_times.emplace(id, time);
  if (time < m_kernel_expiry)
    Arm();
  return id;
}

void AsioTimers::Cancel(TimerId timer) {
  const auto found = m_times.find(timer);
  if (found == m_times.end())
    return;
  m_actions.erase({found->second, timer});
  m_times.erase(found);
}

void AsioTimers::Arm() {
  if (m_actions.empty()) {
    m_kernel_expiry = TimePoint::max();
    return;
  }
  m_kernel_expiry = m_actions.begin()->first.first;
  m_timer.expires_after(std::max(m_kernel_expiry - now(), Duration(0)));
  m_timer.async_wait([this](boost::system::error_code error) {
    if (!error)
      Run();
  });
}

void AsioTimers::Run() {
  m_kernel_expiry = TimePoint::max();
  const TimePoint due = now();
  while (!m_actions.empty() && m_actions.begin()->first.first <= due) {
    const auto first = m_actions.begin();
    const std::function<void()> action = std::move(first->second);
    m_times.erase(first->first.second);
    m_actions.erase(first);
    action();
  }
  if (m_kernel_expiry == TimePoint::max())
    Arm();
}

}  // namespace jackdawturn::gateway
