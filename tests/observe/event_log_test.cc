#include <algorithm>
#include <string>
#include <vector>

#include <fcntl.h>
#include <unistd.h>

#include "observe/observe.h"

#include "support/table_test.h"

namespace jackdawturn {

namespace {

TimelineEvent EventOf(char letter) {
  TimelineEvent event;
  event.vm = VmName("entry-1");
  event.request = RequestId(std::string(1, letter));
  event.step = "answered";
  event.kind = EventKind::kAnswer;
  event.fields[std::string(kOutcomeField)] = letter == 'f' ? "not_run" : "done";
  if (letter == 's') {
    event.kind = EventKind::kFailover;
    event.fields.clear();
  }
  if (letter == 'a' || letter == 'c' || letter == 'l') {
    event.kind = EventKind::kRequest;
    event.step = letter == 'a'   ? std::string(kAcceptedStep)
                 : letter == 'c' ? std::string(kAcknowledgedStep)
                                 : "relay_lost";
    event.fields.clear();
  }
  return event;
}

// A pipe whose ends are closed with the test.
struct Pipe {
  Pipe() { cr_assert_eq(pipe(ends), 0); }
  ~Pipe() {
    CloseReader();
    close(ends[1]);
  }
  void CloseReader() {
    if (ends[0] >= 0)
      close(ends[0]);
    ends[0] = -1;
  }
  // Returns what is in the pipe now.
  std::string Read() const {
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    std::string text;
    char buffer[4'096];
    for (ssize_t size = 0; (size = read(ends[0], buffer, sizeof(buffer))) > 0;)
      text.append(buffer, static_cast<size_t>(size));
    return text;
  }

  int ends[2] = {-1, -1};
};

}  // namespace

struct QueueCase {
  // a: a request that was taken on, c: one whose commit was passed on, r: one
  // that succeeded, f: one that failed, l: one whose relay was lost, s: a step
  // of a failover.
  const char* pushed;
  const char* kept;
  uint64_t dropped_routine;
  uint64_t dropped_failures;
};

// With four places.
static const QueueCase kQueueCases[] = {
    {"", "", 0, 0},
    {"rf", "rf", 0, 0},
    // Routine events fill half of the places.
    {"rrrr", "rr", 2, 0},
    {"aral", "arl", 1, 0},
    {"cccl", "ccl", 1, 0},
    // Failures take the other half, and then the places of routine events.
    {"rrffff", "ffff", 2, 0},
    {"rrfffs", "fffs", 2, 0},
    {"cclfff", "lfff", 2, 0},
    {"fffr", "fffr", 0, 0},
    {"ffffr", "ffff", 1, 0},
    // Only failures are left to drop; the oldest ones tell how it began.
    {"fffss", "fffs", 0, 1},
};

// Guards against a flood of successes that pushes the line of a failed request
// out of the log, and against losses that are not counted.
TABLE_TEST(event_log_queue, drops_routine_events_first, kQueueCases) {
  const QueueCase& row = kQueueCases[*row_index];
  EventLogQueue queue(4);
  for (const char letter : std::string(row.pushed))
    queue.Push(letter == 'r' ? EventOf('r') : EventOf(letter));
  std::string kept;
  while (const auto event = queue.Pop())
    kept += event->request.value();
  cr_assert_str_eq(kept.c_str(), row.kept);
  cr_assert_eq(queue.dropped().routine, row.dropped_routine);
  cr_assert_eq(queue.dropped().failures, row.dropped_failures);
}

// Guards against lines that are lost at the end or out of order.
Test(event_log, writes_waiting_events_before_it_stops) {
  constexpr size_t kEvents = 100;
  Pipe pipe;
  EventLog log(pipe.ends[1], 2 * kEvents);
  for (size_t count = 0; count < kEvents; ++count) {
    TimelineEvent event = EventOf('f');
    event.fields["number"] = std::to_string(count);
    log.Write(event);
  }
  log.Stop();
  const std::string text = pipe.Read();
  cr_assert_eq(static_cast<size_t>(std::count(text.begin(), text.end(), '\n')),
               kEvents);
  size_t position = 0;
  for (size_t count = 0; count < kEvents; ++count) {
    position = text.find("number=" + std::to_string(count) + ' ', position);
    cr_assert_neq(position, std::string::npos, "line %zu", count);
  }
}

// Guards against a reader that stalls the caller of Write or Stop, and against
// missing lines that the log does not admit.
Test(event_log, does_not_wait_for_a_reader) {
  constexpr size_t kEvents = 10'000;
  constexpr size_t kPlaces = 64;
  Pipe pipe;
  EventLog log(pipe.ends[1], kPlaces);
  for (size_t count = 0; count < kEvents; ++count)
    log.Write(EventOf('f'));
  cr_assert_leq(log.depth(), kPlaces);
  cr_assert_gt(log.dropped().failures, 0U);
  const std::string first = pipe.Read();
  cr_assert(first.ends_with('\n') || first.empty());
  log.Stop();
  const std::string rest = pipe.Read();
  cr_assert_neq((first + rest).find("step=dropped"), std::string::npos);
}

// Guards against a closed standard output that ends the process by a signal.
Test(event_log, survives_a_closed_pipe) {
  Pipe pipe;
  pipe.CloseReader();
  EventLog log(pipe.ends[1], 4);
  for (int count = 0; count < 100; ++count)
    log.Write(EventOf('f'));
  log.Stop();
}

// Guards against a line of unbounded length, which could block the writer.
Test(event_log, cuts_long_lines) {
  Pipe pipe;
  EventLog log(pipe.ends[1], 4);
  TimelineEvent event = EventOf('f');
  event.fields["message"] = std::string(2 * EventLog::kLongestLine, 'x');
  log.Write(event);
  log.Stop();
  const std::string text = pipe.Read();
  cr_assert_eq(text.size(), EventLog::kLongestLine);
  cr_assert(text.ends_with("truncated=true\n"));
}

}  // namespace jackdawturn
