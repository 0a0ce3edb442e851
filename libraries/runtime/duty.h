#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "core/core.h"

namespace jackdawturn {

// A thread with an event loop and a bounded ring of commands that lead to it.
// Thread safety: TryPost can be called from any thread, the others from the
// thread that owns the duty.
template <typename Command>
class Duty {
 public:
  using Handler = std::function<void(Command)>;

  // `capacity` of the ring, in commands.
  explicit Duty(size_t capacity)
      : m_ring(capacity), m_work(m_context.get_executor()) {
    m_ring.SetWakeup([this] { Wake(); });
  }
  ~Duty() { Stop(); }
  Duty(const Duty&) = delete;
  Duty& operator=(const Duty&) = delete;

  boost::asio::io_context& context() { return m_context; }

  // Starts the thread. Precondition: it was not started before.
  void Start(Handler handler) {
    VERIFY(!m_thread.joinable());
    m_handler = std::move(handler);
    m_thread = std::thread([this] { m_context.run(); });
  }

  // Returns false when the ring is full. `command` is moved from when it is
  // accepted and keeps its value otherwise.
  bool TryPost(Command& command) { return m_ring.TryPush(command); }
  bool TryPost(Command&& command) { return m_ring.TryPush(command); }

  // Runs `task` on the thread.
  void Run(std::function<void()> task) {
    boost::asio::post(m_context, std::move(task));
  }

  // Ends the loop after the current handler and joins the thread.
  void Stop() {
    m_ring.Close();
    m_context.stop();
    if (m_thread.joinable())
      m_thread.join();
  }

  size_t depth() const { return m_ring.depth(); }
  uint64_t refused() const { return m_ring.refused(); }

 private:
  // At most one wakeup is queued at a time.
  void Wake() {
    if (m_awake.exchange(true))
      return;
    boost::asio::post(m_context, [this] {
      m_awake.store(false);
      for (Command& command : m_ring.PopAll(Duration(0)))
        m_handler(std::move(command));
    });
  }

  boost::asio::io_context m_context;
  BoundedRing<Command> m_ring;
  std::atomic<bool> m_awake = false;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      m_work;
  Handler m_handler;
  std::thread m_thread;
};

}  // namespace jackdawturn
