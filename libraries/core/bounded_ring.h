#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <limits>
#include <mutex>
#include <utility>
#include <vector>

#include <boost/circular_buffer.hpp>

#include "core/error.h"
#include "core/time.h"

namespace jackdawturn {

// A queue of fixed capacity between two duties. A push into a full ring is
// refused and counted, so that the producer can answer "overloaded" instead of
// waiting. Thread safety: every method can be called from any thread.
template <typename T>
class BoundedRing {
 public:
  // Precondition: capacity > 0, in items.
  explicit BoundedRing(size_t capacity) : m_items(capacity) {
    VERIFY(capacity > 0);
  }

  // Sets a hook that runs on the producer's thread after each push; an event
  // loop uses it to wake up. Precondition: no push has happened.
  void SetWakeup(std::function<void()> wakeup) { m_wakeup = std::move(wakeup); }

  // Returns false, and counts the refusal, when the ring is closed or already
  // holds `limit` items (at most its capacity). A producer of work that can be
  // refused passes a limit below the capacity and so leaves room for others.
  // `item` is moved from when it is accepted and keeps its value otherwise.
  bool TryPush(T& item, size_t limit = std::numeric_limits<size_t>::max()) {
    {
      std::lock_guard lock(m_mutex);
      if (m_closed || m_items.full() || m_items.size() >= limit) {
        ++m_refused;
        return false;
      }
      m_items.push_back(std::move(item));
    }
    Notify();
    return true;
  }

  bool TryPush(T&& item, size_t limit = std::numeric_limits<size_t>::max()) {
    return TryPush(item, limit);
  }

  // Waits while the ring is full. Returns false when it is closed. Only for a
  // producer whose consumer never waits for it.
  bool Push(T item) {
    {
      std::unique_lock lock(m_mutex);
      m_room.wait(lock, [this] { return m_closed || !m_items.full(); });
      if (m_closed)
        return false;
      m_items.push_back(std::move(item));
    }
    Notify();
    return true;
  }

  // Takes all items; waits up to `timeout` for the first one. Returns an empty
  // vector on timeout, or when the ring is closed and empty.
  std::vector<T> PopAll(Duration timeout) {
    std::unique_lock lock(m_mutex);
    m_ready.wait_for(lock, timeout,
                     [this] { return m_closed || !m_items.empty(); });
    std::vector<T> items;
    items.reserve(m_items.size());
    for (T& item : m_items)
      items.push_back(std::move(item));
    m_items.clear();
    lock.unlock();
    m_room.notify_all();
    return items;
  }

  // Refuses all later pushes and wakes up the consumer.
  void Close() {
    {
      std::lock_guard lock(m_mutex);
      m_closed = true;
    }
    m_ready.notify_all();
    m_room.notify_all();
  }

  bool closed() const {
    std::lock_guard lock(m_mutex);
    return m_closed;
  }

  // Items in the ring.
  size_t depth() const {
    std::lock_guard lock(m_mutex);
    return m_items.size();
  }

  // Number of refused pushes since creation.
  uint64_t refused() const {
    std::lock_guard lock(m_mutex);
    return m_refused;
  }

 private:
  void Notify() {
    m_ready.notify_one();
    if (m_wakeup)
      m_wakeup();
  }

  mutable std::mutex m_mutex;
  std::condition_variable m_ready;
  std::condition_variable m_room;
  boost::circular_buffer<T> m_items;
  std::function<void()> m_wakeup;
  uint64_t m_refused = 0;
  bool m_closed = false;
};

}  // namespace jackdawturn
