#pragma once

#include <vector>

#include "core/core.h"

namespace jackdawturn {

// The starts of the terms that were accepted into a group's record, oldest
// first. The oldest terms may be missing. Thread safety: as a value.
class TermHistory {
 public:
  // Creates the history of a group without a term.
  TermHistory() = default;

  // Errors: kInvalidArgument unless the terms increase.
  static Result<TermHistory> Create(std::vector<TermStart> starts);

  // Returns true only if the entry at `required` is known to be in a log whose
  // last entry is at `log`. An empty `required` (position 0) is in every log.
  // Within one term, positions are compared. An entry of an older term is in
  // the log if its position is before the start of every later term up to that
  // of the log. The start of a term is the position of its empty first entry,
  // so an older entry at that position belongs to a lost branch. Starts can
  // decrease when a primary is lost whose log no other instance had. A log of a
  // later term that the history does not list is not known to contain any entry
  // of an earlier term, because that term may have been abandoned before it was
  // published.
  bool Contains(TermPosition required, TermPosition log) const;

  const std::vector<TermStart>& starts() const { return m_starts; }

 private:
  explicit TermHistory(std::vector<TermStart> starts)
      : m_starts(std::move(starts)) {}

  std::vector<TermStart> m_starts;
};

}  // namespace jackdawturn
