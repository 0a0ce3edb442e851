#include <algorithm>
#include <utility>

#include "gateway/customer_limits.h"

// What the grantor of a zone borrows from the shares of other zones.

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

// Borrowed permits are used or lost within this time, so that they do not add
// to those of a later time.
constexpr Duration kLoanTime = 50ms;
constexpr Duration kLoanTimeout = 50ms;
// After the other zones had nothing to lend.
constexpr Duration kLoanRetry = 100ms;
// A zone that did not answer may be partitioned.
constexpr Duration kZoneRetry = 1s;
// A round asks in advance for 1/kAdvanceDivisor of what was recently missing.
constexpr size_t kAdvanceDivisor = 4;
// Remains for the answer to this zone's proxies.
constexpr Duration kFinishTime = 2ms;
// An answer of another zone takes longer than one within the zone.
constexpr Duration kMinLoanTime = 10ms;

}  // namespace

void CustomerLimits::Borrow(Request request) {
  Borrowing& borrowing = m_borrowing[request.question.customer];
  if (now() < borrowing.permits_until) {
    const size_t taken =
        std::min(borrowing.permits, request.question.needed - request.granted);
    borrowing.permits -= taken;
    request.granted += taken;
  }
  const Duration time = request.deadline - now();
  if (request.granted >= request.question.needed || time < kMinLoanTime)
    return Finish(request, request.granted);
  if (borrowing.in_round) {
    borrowing.waiting.push_back(std::move(request));
    return;
  }
  if (now() < borrowing.next_round)
    return Finish(request, request.granted);
  const size_t missing = request.question.wanted - request.granted;
  borrowing.in_round = true;
  borrowing.missing.Add(missing, now());
  const auto round = std::make_shared<LoanRound>();
  round->customer = request.question.customer;
  round->zones = m_ports.peers.other_zones();
  round->wanted =
      std::max(missing, borrowing.missing.Count(now()) / kAdvanceDivisor);
  round->asked_at = now();
  round->deadline = now() + std::min(kLoanTimeout, time - kFinishTime);
  borrowing.waiting.push_back(std::move(request));
  AskNextZone(round);
}

void CustomerLimits::AskNextZone(const std::shared_ptr<LoanRound>& round) {
  const Duration time = round->deadline - now();
  while (round->next_zone < round->zones.size() &&
         round->borrowed < round->wanted && time >= kFinishTime) {
    const ZoneName zone = round->zones[round->next_zone++];
    const Peer* grantor =
        m_ports.peers.ChooseGrantorOf(zone, round->customer, now());
    if (!grantor || now() < m_zone_retry[zone])
      continue;
    const size_t wanted = round->wanted - round->borrowed;
    return Ask(grantor->name,
               {.kind = LimitQuestion::Kind::kLoan,
                .customer = round->customer,
                .needed = wanted,
                .wanted = wanted},
               time, [this, round, zone](const Result<LimitAnswer>& answer) {
                 if (answer)
                   round->borrowed += answer.value().granted;
                 else
                   m_zone_retry[zone] = now() + kZoneRetry;
                 AskNextZone(round);
               });
  }
  EndLoans(*round);
}

void CustomerLimits::EndLoans(const LoanRound& round) {
  Borrowing& borrowing = m_borrowing[round.customer];
  borrowing.in_round = false;
  borrowing.permits = round.borrowed;
  borrowing.permits_until = round.asked_at + kLoanTime;
  if (round.borrowed == 0)
    borrowing.next_round = now() + kLoanRetry;
  m_series.borrowed.Add(round.borrowed);
  m_activity.borrowed += round.borrowed;
  // The requests may begin another round, for which later ones wait.
  for (Request& request : std::exchange(borrowing.waiting, {}))
    Borrow(std::move(request));
}

}  // namespace jackdawturn::gateway
