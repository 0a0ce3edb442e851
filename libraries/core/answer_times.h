#pragma once

#include <cstddef>

#include "core/time.h"

namespace jackdawturn {

// The answer times of one server, and whether they show that statements queue
// there: the smoothed time is then well above that of the fastest recent batch
// of answers. Single fastest answers are not compared, because the work of
// statements varies. Thread safety: not thread-safe.
class AnswerTimes {
 public:
  struct Options {
    // Statements count as queued when they take longer than this many times the
    // fastest recent batch.
    double queued_ratio = 1.5;
    // They must also exceed the fastest recent batch by this time.
    Duration shortest_queue{1'000};
    // Answers in a batch.
    size_t batch = 8;
    // How long the fastest batch is kept.
    Duration baseline_window{20'000'000};
    // The smoothed answer time moves by this part of the difference to each
    // answer time.
    int smoothing_divisor = 8;
  };

  explicit AnswerTimes(Options options) : m_options(options) {}

  void Record(Duration answer_time, TimePoint now);
  // Begins the smoothing anew at the fastest recent batch, after a change that
  // should have ended the queue.
  void AssumeNoQueue();

  // Returns whether an answer time was recorded.
  bool measured() const { return m_smoothed != Duration(0); }
  // Returns the smoothed answer time and its smoothed deviation, 0 before the
  // first answer.
  Duration smoothed() const { return m_smoothed; }
  Duration deviation() const { return m_deviation; }
  // Returns the mean answer time of the fastest recent batch, Duration::max()
  // before the first whole batch.
  Duration fastest() const;
  // Returns whether statements queue at the server.
  bool queued() const;

 private:
  void UpdateBaseline(Duration answer_time, TimePoint now);

  Options m_options;
  Duration m_smoothed{0};
  Duration m_deviation{0};
  // The answers of the current batch, and the fastest batch means of the
  // current and of the previous window.
  size_t m_batch_count = 0;
  Duration m_batch_sum{0};
  Duration m_fastest = Duration::max();
  Duration m_previous_fastest = Duration::max();
  TimePoint m_window_start;
};

}  // namespace jackdawturn
