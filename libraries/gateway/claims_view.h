#pragma once

#include <cstdint>
#include <optional>

#include "gateway/store_contact.h"

namespace jackdawturn::gateway {

// Whether this proxy can rely on hearing of every claim to a change of a
// primary soon after it was made. It cannot while the store does not answer,
// after the process was suspended, until it has asked the store again, and
// while a claim that the store has lost may be in force. Deterministic. Thread
// safety: not thread-safe.
class ClaimsView {
 public:
  // A longer pause between two checks means that the process was suspended or
  // starved, and that claims may wait unread.
  static constexpr Duration kMaxCheckPause = std::chrono::milliseconds(500);

  // To be called many times within kMaxCheckPause. Returns whether all claims
  // must be received again from the store.
  bool Check(TimePoint now, const StoreContact& contact) {
    m_settled = m_settled || now >= m_settled_at;
    if (!contact.InTouch(now) || (m_checked && Starved(now)))
      Lose();
    m_checked = now;
    if (m_complete && m_settled)
      m_heard_until = contact.last_answer();
    return !m_complete && contact.InTouch(now);
  }

  // The store has come back from an older copy: claims that it has lost may be
  // in force for `claim_time`.
  void StoreRestored(TimePoint now, Duration claim_time) {
    Lose();
    m_settled = false;
    m_settled_at = now + claim_time;
  }

  // All claims that the store has were received by a call that began after
  // `losses()` had this value.
  void Received(uint64_t losses) { m_complete = losses == m_losses; }

  // Changes whenever a claim may have been missed.
  uint64_t losses() const { return m_losses; }

  // Returns whether every claim is known, but for those of the last moment.
  bool Complete(TimePoint now, const StoreContact& contact) const {
    return m_complete && m_settled && !Starved(now) && contact.InTouch(now);
  }

  // Returns the time until which every claim is known, or nullopt.
  std::optional<TimePoint> heard_until() const { return m_heard_until; }

 private:
  bool Starved(TimePoint now) const {
    return !m_checked || now - *m_checked > kMaxCheckPause;
  }
  void Lose() {
    ++m_losses;
    m_complete = false;
  }

  std::optional<TimePoint> m_checked;
  std::optional<TimePoint> m_heard_until;
  // When the claims that the store has lost have expired, and whether they
  // have.
  TimePoint m_settled_at;
  bool m_settled = true;
  uint64_t m_losses = 0;
  bool m_complete = false;
};

}  // namespace jackdawturn::gateway
