#pragma once

#include <map>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "gateway/timers.h"

namespace jackdawturn::gateway {

// Timers on an event loop, multiplexed on one kernel timer. Thread safety: used
// on the thread of the io_context, which must outlive this object.
class AsioTimers : public Timers {
 public:
  explicit AsioTimers(boost::asio::io_context& context);

  // Reads CLOCK_BOOTTIME, which advances while the VM is suspended.
  TimePoint now() const override;
  TimerId After(Duration delay, std::function<void()> action) override;
  void Cancel(TimerId timer) override;

 private:
  void Arm();
  void Run();

  boost::asio::steady_timer m_timer;
  // Ordered by expiry time, then by creation.
  std::map<std::pair<TimePoint, TimerId>, std::function<void()>> m_actions;
  std::map<TimerId, TimePoint> m_times;
  TimerId m_next = 1;
  // When the kernel timer fires; TimePoint::max() while it is not armed.
  TimePoint m_kernel_expiry = TimePoint::max();
};

}  // namespace jackdawturn::gateway
