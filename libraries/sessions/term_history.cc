#include "sessions/term_history.h"

#include <utility>

namespace jackdawturn {

Result<TermHistory> TermHistory::Create(std::vector<TermStart> starts) {
  for (size_t index = 1; index < starts.size(); ++index) {
    if (starts[index - 1].term >= starts[index].term)
      return Failure(ErrorCode::kInvalidArgument, "sessions.history", "",
                     "term starts are not in increasing order: term " +
                         std::to_string(starts[index].term.value) +
                         " follows term " +
                         std::to_string(starts[index - 1].term.value));
  }
  return TermHistory(std::move(starts));
}

bool TermHistory::Contains(TermPosition required, TermPosition log) const {
  if (required.position == LogPosition())
    return true;
  if (required.position > log.position || required.term > log.term)
    return false;
  if (required.term == log.term)
    return true;
  bool log_term_known = false;
  for (const TermStart& next : m_starts) {
    if (next.term <= required.term || next.term > log.term)
      continue;
    if (required.position >= next.start)
      return false;
    log_term_known = log_term_known || next.term == log.term;
  }
  return log_term_known;
}

}  // namespace jackdawturn
