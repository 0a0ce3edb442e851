#pragma once

#include <cstddef>
#include <vector>

#include "core/core.h"

namespace jackdawturn {

// The position that reads of one group must have reached.
struct GroupPosition {
  GroupName group;
  TermPosition at;

  friend bool operator==(const GroupPosition&, const GroupPosition&) = default;
};

// What session consistency requires of a read of one group.
struct ReadRequirement {
  // The read must see the log up to this position; 0 when nothing is required.
  TermPosition position;
  // True when the session's position for the group is unknown, so that only a
  // fresh read at the primary is consistent.
  bool primary_only = false;
};

// The confirmed positions of one session, at most kMaxGroups, ordered by the
// time of their last change, newest first. Thread safety: as a value.
class SessionPositions {
 public:
  static constexpr size_t kMaxGroups = 16;

  // Raises the position of `group` to `at` if it is higher in term order, and
  // makes the group the newest. The oldest group beyond kMaxGroups is dropped
  // and overflow() becomes true. Precondition: `at` is confirmed.
  void Record(const GroupName& group, TermPosition at);

  // Keeps the maximum of both sessions for each group, in term order. Groups
  // of this session count as newer than groups only in `other`.
  void Merge(const SessionPositions& other);

  // Returns the requirement of a read of `group`.
  ReadRequirement Requirement(const GroupName& group) const;

  // True when a group was dropped. Groups that are not listed are then read at
  // the primary.
  bool overflow() const { return m_overflow; }
  void MarkOverflow() { m_overflow = true; }

  const std::vector<GroupPosition>& groups() const { return m_groups; }

  friend bool operator==(const SessionPositions&,
                         const SessionPositions&) = default;

 private:
  std::vector<GroupPosition> m_groups;
  bool m_overflow = false;
};

}  // namespace jackdawturn
