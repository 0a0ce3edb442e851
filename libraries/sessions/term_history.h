#pragma once

#include <vector>

#include "core/core.h"

namespace jackdawturn {

// The starts of the terms of a group that its record has accepted, oldest
// first. Old terms may be missing at the front. Thread safety: as a value.
class TermHistory {
 public:
  // Creates the history of a group without a term.
  TermHistory() = default;

  // Errors: kInvalidArgument unless the terms increase.
  static Result<TermHistory> Create(std::vector<TermStart> starts);

  // Returns true only if the entry at `required` is known to be in a log whose
  // last entry is at `log`. An empty `required` (position 0) is in every log.
  // Within one term positions are compared. An entry of an older term is in
  // the log when it stands before the start of every later term up to that of
  // the log: at such a start stands the empty first entry of that term, so a
  // position equal to it belongs to a lost branch. Starts can decrease, when a
  // primary is lost whose log nobody else had. A log of a later term that the
  // history does not list is not known to contain anything of an earlier term,
  // because that term may have been given up before it was published.
  bool Contains(TermPosition required, TermPosition log) const;

  const std::vector<TermStart>& starts() const { return m_starts; }

 private:
  explicit TermHistory(std::vector<TermStart> starts)
      : m_starts(std::move(starts)) {}

  std::vector<TermStart> m_starts;
};

}  // namespace jackdawturn
