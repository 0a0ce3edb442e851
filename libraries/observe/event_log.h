#pragma once

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <string>
#include <thread>

#include "observe/event_log_queue.h"

namespace jackdawturn {

// Writes events to a descriptor, one key=value line each, on a thread of its
// own. Whoever adds an event never waits for the reader of the descriptor.
// Dropped events are counted, and the next line that is written is preceded by
// one that says how many are missing. Thread safety: Write and the counts can
// be used from any thread, Stop from the owner.
class EventLog {
 public:
  // The longest line, in bytes with its end; longer ones are cut. A pipe that
  // is ready for writing takes a line of this length without blocking.
  static constexpr size_t kLongestLine = 4'096;

  // `descriptor` stays open as long as this object; `capacity` is in events.
  // Precondition: capacity > 1.
  EventLog(int descriptor, size_t capacity);
  ~EventLog() { Stop(); }
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  // Precondition: Stop was not called.
  void Write(TimelineEvent event);

  size_t depth() const;
  EventLogQueue::Dropped dropped() const;

  // Ends the thread. Events that wait are written first; a descriptor that
  // takes nothing delays this by 500 ms at most.
  void Stop();

 private:
  void Run();
  // Waits for an event and returns its line, or a line about dropped events.
  // Returns an empty text when the log stops and nothing is left.
  std::string NextLine();
  // Returns false when the descriptor takes nothing more.
  bool WriteLine(const std::string& line);
  bool WaitUntilWritable();

  const int m_descriptor;
  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  EventLogQueue m_queue;
  EventLogQueue::Dropped m_reported;
  bool m_stopping = false;
  std::thread m_thread;
};

}  // namespace jackdawturn
