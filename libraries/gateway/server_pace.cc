#include "gateway/server_pace.h"

#include <algorithm>

namespace jackdawturn::gateway {

namespace {

// The limit ends after this many answers without reaching it: more than one
// round, so that a short gap in the demand does not end it.
constexpr size_t kAnswersBelowLimit = 16;
// Kinds of statements that are told apart; the answers to further ones raise
// the limit and show no queue.
constexpr size_t kMaxKinds = 64;
// Answers with one statement at a time, which show how fast the instance is
// before other statements are in its way.
constexpr size_t kFirstAnswers = 4;
// Added to the limit for each answer until a queue shows. The answers that show
// it come a round late, so that a faster growth would mostly build up a queue.
constexpr double kGrowth = 0.5;
// The limit is to be found within a few rounds, so batches are short. The ratio
// leaves room for the differences between short batches.
constexpr AnswerTimes::Options kAnswerTimes{.queued_ratio = 2,
                                            .batch = kFirstAnswers,
                                            .smoothing_divisor = 4};

}  // namespace

void ServerPace::Begin(TimePoint now) {
  m_binds = true;
  m_limit = 1;
  m_queue_seen = false;
  m_first_answers = kFirstAnswers;
  m_below_limit = 0;
  m_lowered_at = now;
  // What was measured before may no longer hold.
  m_answer_times.clear();
}

void ServerPace::Answered(const AnsweredBatch& batch,
                          size_t in_progress,
                          TimePoint now) {
  m_last_answer = now;
  // Answers to statements that were sent before the limit was lowered tell
  // nothing about the new one.
  if (!m_binds || batch.sent_at < m_lowered_at)
    return;
  if (batch.outcome == AnsweredBatch::Outcome::kNoRoom)
    return Halve(now);
  if (batch.outcome == AnsweredBatch::Outcome::kRan &&
      RecordAnswerTime(batch, now))
    return Halve(now);
  // The limit grows only as far as the demand needs it.
  const bool reached = in_progress >= limit();
  if (m_first_answers > 0) {
    --m_first_answers;
    return;
  }
  if (reached) {
    m_below_limit = 0;
    m_limit += m_queue_seen ? 1 / m_limit : kGrowth;
    return;
  }
  if (++m_below_limit < kAnswersBelowLimit)
    return;
  m_binds = false;
  m_answer_times.clear();
}

bool ServerPace::RecordAnswerTime(const AnsweredBatch& batch, TimePoint now) {
  const Kind kind{batch.database, batch.step};
  auto found = m_answer_times.find(kind);
  if (found == m_answer_times.end()) {
    if (m_answer_times.size() >= kMaxKinds)
      return false;
    found = m_answer_times.emplace(kind, AnswerTimes(kAnswerTimes)).first;
  }
  AnswerTimes& times = found->second;
  const Duration fastest = times.fastest();
  times.Record(now - batch.sent_at, now);
  // The instance has become faster, so slower answers before that show no
  // queue.
  if (times.fastest() < fastest)
    times.AssumeNoQueue();
  return times.queued();
}

void ServerPace::Halve(TimePoint now) {
  m_limit = std::max(1.0, m_limit / 2);
  m_queue_seen = true;
  m_below_limit = 0;
  m_lowered_at = now;
  for (auto& [kind, times] : m_answer_times)
    times.AssumeNoQueue();
}

}  // namespace jackdawturn::gateway
