#pragma once

#include <cstddef>
#include <optional>

#include "core/core.h"
#include "routing/routing_options.h"

namespace jackdawturn::routing {

// Limits the statements that this proxy has in progress at one instance. The
// proxies share the slots of the instance without coordination, by additive
// increase and by multiplicative decrease when answer times show that
// statements queued at the server. A limit below 1 allows one statement at a
// time, with a pause between two of them.
//
// Thread safety: not thread-safe.
class ConcurrencyLimiter {
 public:
  explicit ConcurrencyLimiter(ConcurrencyLimitOptions options);

  // Returns whether a statement can be sent now.
  bool CanSend(TimePoint now) const;
  // Returns when a statement can be sent without a further answer; empty when
  // an answer must arrive first.
  std::optional<TimePoint> NextSend(TimePoint now) const;

  // Records that a statement was sent. Precondition: CanSend(now), except for a
  // transaction step, which must not wait behind other requests.
  void Sent(TimePoint now);
  // Records the answer to a statement that was sent at `sent_at`.
  void Answered(TimePoint sent_at, TimePoint now);
  // Records that a statement ended without an answer.
  void Lost();

  double limit() const { return m_limit; }
  // Returns whether an answer time was observed.
  bool measured() const { return m_times.measured(); }
  size_t in_progress() const { return m_in_progress; }
  // Returns the smoothed time from sending to the answer. It halves for each
  // half second without an answer, so that an estimate so high that no
  // statement is sent gets corrected.
  Duration AnswerTime(TimePoint now) const;
  // Returns a time within which almost all answers arrive: the mean plus twice
  // the deviation.
  Duration AnswerBound(TimePoint now) const;
  // Returns the expected time between the starts of two statements.
  Duration Spacing(TimePoint now) const;
  // Returns the expected time until the next statement can start.
  Duration ExpectedWait(TimePoint now) const;

 private:
  void UpdateLimit(TimePoint now);
  // Returns the answer time without queueing: that of the fastest recent batch.
  Duration ServiceTime(TimePoint now) const;
  TimePoint PacedSend(TimePoint now) const;

  ConcurrencyLimitOptions m_options;
  double m_limit;
  size_t m_in_progress = 0;
  AnswerTimes m_times;
  TimePoint m_last_answer;
  TimePoint m_last_sent;
  TimePoint m_last_decrease;
  // True when a statement had to wait for the limit since the last increase.
  mutable bool m_limited = false;
};

}  // namespace jackdawturn::routing
