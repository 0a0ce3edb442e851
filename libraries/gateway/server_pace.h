#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

#include "core/core.h"

namespace jackdawturn::gateway {

// What a batch of commands does; answer times of different steps are not
// compared.
enum class StatementStep { kBegin, kRead, kWrite, kCommit };

// The answer to a batch that was sent to an instance.
struct AnsweredBatch {
  enum class Outcome {
    kRan,
    // The instance did not run it, for a reason other than its load.
    kRefused,
    // The instance had no room for it.
    kNoRoom,
  };

  // The database name and the step tell which answer times are comparable.
  std::string_view database;
  StatementStep step = StatementStep::kRead;
  TimePoint sent_at;
  Outcome outcome = Outcome::kRan;
};

// Finds how many statements a proxy may have in progress at an instance that
// has just started, recovered or been promoted, from how the instance answers.
// The limit begins at one and grows by half for each round of answers, until
// answers show that statements queue at the instance; it is then halved and
// grows by one for each round. It ends once the demand stays below it. Load
// patterns: the queue that built up while an instance was down; an instance
// that answers slowly at first; a kind of statement that is always slow; single
// lost answers. Thread safety: not thread-safe.
class ServerPace {
 public:
  // Returns whether the number of statements is limited.
  bool binds() const { return m_binds; }
  // Returns whether one more statement may be sent beside those in progress.
  bool Allows(size_t in_progress) const {
    return !m_binds || in_progress < static_cast<size_t>(m_limit);
  }
  // Returns whether the limit grows and no queue has been seen yet.
  bool growing() const { return m_binds && !m_queue_seen; }
  // Returns the limit, 1 or more. Precondition: binds().
  size_t limit() const { return static_cast<size_t>(m_limit); }

  // Begins with one statement at a time.
  void Begin(TimePoint now);
  // Records an answer that arrived while `in_progress` statements, with that of
  // the batch, were in progress.
  void Answered(const AnsweredBatch& batch, size_t in_progress, TimePoint now);
  // Returns whether the instance has been silent since `sent_at`, when a batch
  // was sent that got no answer. A single answer may be lost while others
  // arrive.
  bool SilentSince(TimePoint sent_at) const {
    return !m_last_answer || *m_last_answer < sent_at;
  }

 private:
  using Kind = std::tuple<std::string, StatementStep>;

  // Returns whether the answer times of its kind show a queue.
  bool RecordAnswerTime(const AnsweredBatch& batch, TimePoint now);
  void Halve(TimePoint now);

  bool m_binds = false;
  double m_limit = 1;
  // Answers have shown a queue at the instance.
  bool m_queue_seen = false;
  // Answers before the limit begins to grow.
  size_t m_first_answers = 0;
  // Answers since the limit was last reached.
  size_t m_below_limit = 0;
  TimePoint m_lowered_at;
  std::optional<TimePoint> m_last_answer;
  std::map<Kind, AnswerTimes> m_answer_times;
};

}  // namespace jackdawturn::gateway
