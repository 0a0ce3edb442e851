#include "routing/concurrency_limiter.h"

#include <algorithm>

namespace jackdawturn::routing {

namespace {

constexpr Duration kHalfLife{500'000};
constexpr int64_t kMaxHalvings = 10;

Duration Scale(Duration duration, double factor) {
  return Duration(
      static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
}

}  // namespace

ConcurrencyLimiter::ConcurrencyLimiter(ConcurrencyLimitOptions options)
    : m_options(options),
      m_limit(options.first_limit),
      m_times({.queued_ratio = options.queued_ratio,
               .shortest_queue = options.shortest_queue,
               .batch = options.batch,
               .baseline_window = options.baseline_window}) {}

Duration ConcurrencyLimiter::AnswerTime(TimePoint now) const {
  if (!measured())
    return m_options.first_answer_time;
  const int64_t halvings =
      std::clamp<int64_t>((now - m_last_answer) / kHalfLife, 0, kMaxHalvings);
  return std::max(Duration(1), m_times.smoothed() / (int64_t{1} << halvings));
}

Duration ConcurrencyLimiter::AnswerBound(TimePoint now) const {
  const Duration time = AnswerTime(now);
  if (!measured())
    return time;
  return time + 2 * std::min(m_times.deviation(), time);
}

Duration ConcurrencyLimiter::ServiceTime(TimePoint now) const {
  return std::min(AnswerTime(now), m_times.fastest());
}

TimePoint ConcurrencyLimiter::PacedSend(TimePoint now) const {
  return m_last_sent + Scale(ServiceTime(now), 1 / m_limit);
}

bool ConcurrencyLimiter::CanSend(TimePoint now) const {
  const bool can =
      m_limit >= 1 ? m_in_progress < static_cast<size_t>(m_limit)
                   : m_in_progress == 0 &&
                         (m_last_sent == TimePoint() || now >= PacedSend(now));
  m_limited = m_limited || !can;
  return can;
}

std::optional<TimePoint> ConcurrencyLimiter::NextSend(TimePoint now) const {
  if (m_limit >= 1)
    return m_in_progress < static_cast<size_t>(m_limit) ? std::optional(now)
                                                        : std::nullopt;
  return m_in_progress == 0 ? std::optional(std::max(now, PacedSend(now)))
                            : std::nullopt;
}

void ConcurrencyLimiter::Sent(TimePoint now) {
  ++m_in_progress;
  m_last_sent = now;
}

void ConcurrencyLimiter::Answered(TimePoint sent_at, TimePoint now) {
  Lost();
  m_times.Record(now - sent_at, now);
  m_last_answer = now;
  UpdateLimit(now);
}

void ConcurrencyLimiter::Lost() {
  if (m_in_progress > 0)
    --m_in_progress;
}

void ConcurrencyLimiter::UpdateLimit(TimePoint now) {
  if (m_times.queued()) {
    // At most one decrease per answer time, as later answers show the same
    // queue.
    if (now - m_last_decrease < m_times.smoothed())
      return;
    m_limit = std::max(m_options.lowest, m_limit * m_options.decrease);
    m_last_decrease = now;
  } else if (m_limited) {
    m_limit = std::min(m_options.slots,
                       m_limit + m_options.increase / std::max(1.0, m_limit));
    m_limited = false;
  }
}

Duration ConcurrencyLimiter::Spacing(TimePoint now) const {
  if (m_limit >= 1)
    return Scale(AnswerTime(now), 1 / m_limit);
  // One statement at a time, and no more often than PacedSend allows.
  return std::max(AnswerTime(now), Scale(ServiceTime(now), 1 / m_limit));
}

Duration ConcurrencyLimiter::ExpectedWait(TimePoint now) const {
  if (const auto next = NextSend(now))
    return *next - now;
  const Duration left = m_last_sent + AnswerTime(now) - now;
  const Duration staggered =
      AnswerTime(now) / static_cast<int64_t>(m_in_progress + 1);
  const Duration wait = std::max(staggered, std::min(left, staggered));
  if (m_limit >= 1)
    return wait;
  return std::max(wait, PacedSend(now) - now);
}

}  // namespace jackdawturn::routing
