#include "core/answer_times.h"

#include <algorithm>

namespace jackdawturn {

namespace {

Duration Scale(Duration duration, double factor) {
  return Duration(
      static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
}

}  // namespace

void AnswerTimes::Record(Duration answer_time, TimePoint now) {
  if (!measured()) {
    m_smoothed = answer_time;
    m_deviation = answer_time / 2;
  } else {
    const Duration error = answer_time - m_smoothed;
    m_smoothed += error / m_options.smoothing_divisor;
    m_deviation +=
        (std::chrono::abs(error) - m_deviation) / m_options.smoothing_divisor;
  }
  UpdateBaseline(answer_time, now);
}

void AnswerTimes::AssumeNoQueue() {
  if (fastest() != Duration::max())
    m_smoothed = fastest();
}

Duration AnswerTimes::fastest() const {
  return std::min(m_fastest, m_previous_fastest);
}

bool AnswerTimes::queued() const {
  return fastest() != Duration::max() &&
         m_smoothed > std::max(Scale(fastest(), m_options.queued_ratio),
                               fastest() + m_options.shortest_queue);
}

void AnswerTimes::UpdateBaseline(Duration answer_time, TimePoint now) {
  if (now - m_window_start >= m_options.baseline_window) {
    m_previous_fastest = m_fastest;
    m_fastest = Duration::max();
    m_window_start = now;
  }
  m_batch_sum += answer_time;
  if (++m_batch_count < m_options.batch)
    return;
  m_fastest =
      std::min(m_fastest, m_batch_sum / static_cast<int64_t>(m_batch_count));
  m_batch_count = 0;
  m_batch_sum = Duration(0);
}

}  // namespace jackdawturn
