#pragma once

#include <cstddef>
#include <optional>

#include "core/core.h"
#include "routing/routing_options.h"

namespace jackdawturn::routing {

// The number of statements that this proxy has in progress at one instance,
// whose slots it shares with other proxies without talking to them: additive
// increase, and multiplicative decrease when answers show that statements
// queued at the server. A limit below 1 spaces single statements out in time.
//
// Thread safety: not thread-safe.
class ConcurrencyLimiter {
 public:
  explicit ConcurrencyLimiter(ConcurrencyLimitOptions options);

  // True when a statement can be sent now.
  bool CanSend(TimePoint now) const;
  // When a statement can be sent by time alone; empty when an answer must come
  // first.
  std::optional<TimePoint> NextSend(TimePoint now) const;

  // Precondition: CanSend(now), except for a transaction step, which must not
  // wait behind others.
  void Sent(TimePoint now);
  // An answer came to a statement that was sent at `sent_at`.
  void Answered(TimePoint sent_at, TimePoint now);
  // A statement ended without an answer.
  void Lost();

  double limit() const { return m_limit; }
  // True when an answer time was observed.
  bool measured() const { return m_answer_time != Duration(0); }
  size_t in_progress() const { return m_in_progress; }
  // Smoothed time from sending to the answer. It halves for each half second
  // without an answer, so that an estimate that keeps all work away is revised.
  Duration AnswerTime(TimePoint now) const;
  // A time within which almost all answers come: mean and twice the deviation.
  Duration AnswerBound(TimePoint now) const;
  // Expected time between two statements that begin.
  Duration Spacing(TimePoint now) const;
  // Expected time until the next statement can begin.
  Duration ExpectedWait(TimePoint now) const;

 private:
  void UpdateBaseline(Duration answer_time, TimePoint now);
  void UpdateLimit(TimePoint now);
  // The answer time without a queue: that of the fastest recent batch.
  Duration ServiceTime(TimePoint now) const;
  TimePoint PacedSend(TimePoint now) const;

  ConcurrencyLimitOptions m_options;
  double m_limit;
  size_t m_in_progress = 0;
  // Smoothed answer time and its smoothed deviation, 0 before the first answer.
  Duration m_answer_time{0};
  Duration m_deviation{0};
  // The answers of the present batch and the fastest batch means of the present
  // and of the previous window.
  size_t m_batch_count = 0;
  Duration m_batch_sum{0};
  Duration m_fastest = Duration::max();
  Duration m_previous_fastest = Duration::max();
  TimePoint m_window_start;
  TimePoint m_last_answer;
  TimePoint m_last_sent;
  TimePoint m_last_decrease;
  // A statement had to wait for the limit since the last increase.
  mutable bool m_limited = false;
};

}  // namespace jackdawturn::routing
