#include "observe/event_log.h"

#include <cerrno>
#include <csignal>
#include <string_view>
#include <utility>

#include <poll.h>
#include <unistd.h>

#include "observe/timeline_render.h"

namespace jackdawturn {

namespace {

// How long a descriptor that takes nothing can delay the end of the process.
constexpr Duration kFlushTime = std::chrono::milliseconds(500);
// How long one wait for the descriptor takes, which bounds the time in which
// Stop is noticed.
constexpr Duration kPollTime = std::chrono::milliseconds(50);

// Writing to a pipe without a reader must return an error and not end the
// process.
void BlockPipeSignal() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGPIPE);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

std::string LineOf(const TimelineEvent& event) {
  std::string line = RenderText({event});
  if (line.size() > EventLog::kLongestLine) {
    constexpr std::string_view kEnd = " truncated=true\n";
    line.resize(EventLog::kLongestLine - kEnd.size());
    line += kEnd;
  }
  return line;
}

}  // namespace

EventLog::EventLog(int descriptor, size_t capacity)
    : m_descriptor(descriptor),
      m_queue(capacity),
      m_thread([this] { Run(); }) {}

void EventLog::Write(TimelineEvent event) {
  {
    const std::lock_guard lock(m_mutex);
    m_queue.Push(std::move(event));
  }
  m_changed.notify_one();
}

size_t EventLog::depth() const {
  const std::lock_guard lock(m_mutex);
  return m_queue.size();
}

EventLogQueue::Dropped EventLog::dropped() const {
  const std::lock_guard lock(m_mutex);
  return m_queue.dropped();
}

void EventLog::Stop() {
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_changed.notify_one();
  if (m_thread.joinable())
    m_thread.join();
}

void EventLog::Run() {
  BlockPipeSignal();
  for (;;) {
    const std::string line = NextLine();
    if (line.empty() || !WriteLine(line))
      return;
  }
}

std::string EventLog::NextLine() {
  std::unique_lock lock(m_mutex);
  m_changed.wait(lock, [this] { return m_stopping || m_queue.size() > 0; });
  const EventLogQueue::Dropped dropped = m_queue.dropped();
  if (dropped != m_reported) {
    EventLine line("log");
    line.Add("step", "dropped");
    line.Add("routine", dropped.routine - m_reported.routine);
    line.Add("failures", dropped.failures - m_reported.failures);
    m_reported = dropped;
    return line.text() + '\n';
  }
  const std::optional<TimelineEvent> event = m_queue.Pop();
  lock.unlock();
  return event ? LineOf(*event) : "";
}

bool EventLog::WriteLine(const std::string& line) {
  size_t written = 0;
  while (written < line.size()) {
    if (!WaitUntilWritable())
      return false;
    const ssize_t result =
        write(m_descriptor, line.data() + written, line.size() - written);
    if (result >= 0)
      written += static_cast<size_t>(result);
    else if (errno != EINTR && errno != EAGAIN)
      return false;
  }
  return true;
}

bool EventLog::WaitUntilWritable() {
  Duration waited_at_stop(0);
  for (;;) {
    pollfd state{m_descriptor, POLLOUT, 0};
    const int ready = poll(
        &state, 1,
        static_cast<int>(
            std::chrono::duration_cast<std::chrono::milliseconds>(kPollTime)
                .count()));
    if (ready > 0)
      return (state.revents & POLLOUT) != 0;
    const std::lock_guard lock(m_mutex);
    if (m_stopping)
      waited_at_stop += kPollTime;
    if (waited_at_stop >= kFlushTime)
      return false;
  }
}

}  // namespace jackdawturn
