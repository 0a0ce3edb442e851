#include "gateway/drain_schedule.h"

#include <algorithm>
#include <chrono>

namespace jackdawturn::gateway {

namespace {

// Idle sessions close after this share of the grace period at the latest.
constexpr double kClosingShare = 1.0 / 3;
// An open transaction has this share of the grace period to end.
constexpr double kTransactionShare = 0.5;
// Leaves time to write the answers out.
constexpr double kAnsweringShare = 0.75;
// Leaves time for the process to exit before it is killed.
constexpr double kEndedShare = 0.85;

TimePoint After(TimePoint start, Duration grace, double share) {
  return start + std::chrono::duration_cast<Duration>(grace * share);
}

}  // namespace

DrainSchedule::DrainSchedule(TimePoint started,
                             Duration grace,
                             Duration balancer_time)
    : m_closing(std::min(started + balancer_time,
                         After(started, grace, kClosingShare))),
      m_ending_transactions(After(started, grace, kTransactionShare)),
      m_answering(After(started, grace, kAnsweringShare)),
      m_ended(After(started, grace, kEndedShare)) {}

DrainPhase DrainSchedule::PhaseAt(TimePoint now) const {
  if (now >= m_ended)
    return DrainPhase::kEnded;
  if (now >= m_answering)
    return DrainPhase::kAnswering;
  if (now >= m_ending_transactions)
    return DrainPhase::kEndingTransactions;
  return now >= m_closing ? DrainPhase::kClosing : DrainPhase::kServing;
}

}  // namespace jackdawturn::gateway
