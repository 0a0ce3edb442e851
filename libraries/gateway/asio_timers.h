#pragma once

#include <map>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "gateway/timers.h"

namespace jackdawturn::gateway {

// Timers on an event loop. One kernel timer serves all of them. Thread safety:
// used on the thread of the io_context, which outlives this.
class AsioTimers : public Timers {
 public:
  explicit AsioTimers(boost::asio::io_context& context);

  // Reads CLOCK_BOOTTIME, which goes on while the VM is suspended.
  TimePoint now() const override;
  TimerId After(Duration delay, std::function<void()> action) override;
  void Cancel(TimerId timer) override;

 private:
  void Arm();
  void Run();

  boost::asio::steady_timer m_timer;
  // By time, then in the order of creation.
  std::map<std::pair<TimePoint, TimerId>, std::function<void()>> m_actions;
  std::map<TimerId, TimePoint> m_times;
  TimerId m_next = 1;
  // When the kernel timer fires; the highest value while it is not armed.
  TimePoint m_armed = TimePoint::max();
};

}  // namespace jackdawturn::gateway
