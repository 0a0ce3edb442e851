#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "gateway/gateway_context.h"
#include "gateway/limit_messages.h"
#include "rate_limits/rate_limits.h"

namespace jackdawturn::gateway {

// Keeps the customers of one proxy to their rate limits together with the other
// proxies: asks the grantor of the zone for permits, grants them where this
// proxy is the grantor, and votes on who is. See docs/design/rate-limits.md.
// Thread safety: not thread-safe.
class CustomerLimits : public std::enable_shared_from_this<CustomerLimits> {
 public:
  // A question that is not answered within this time goes to the next proxy.
  static constexpr Duration kQuestionTimeout = std::chrono::milliseconds(100);

  using OnDecision = std::function<void(OperationDecision)>;

  struct Ports {
    Timers& timers;
    PeerDirectory& peers;
    GatewayLog& log;
    // Returns the limit of a customer that is in force, or nullopt.
    std::function<std::optional<RateLimit>(const CustomerName&)> find_limit;
    AskLimitsOfPeer ask;
  };

  struct Options {
    VmName name;
    // When this process started.
    TimePoint started;
    Duration permit_time = rate_limits::PermitClient::kPermitTime;
  };

  // The ports outlive the object, which drops late answers after its end.
  static std::shared_ptr<CustomerLimits> Create(Options options, Ports ports);

  // Decides whether an operation of the customer may start. Calls `on_decision`
  // once, immediately if the customer has no limit or a permit is at hand, and
  // otherwise at the latest at `deadline` or, if that is later,
  // kQuestionTimeout after this call.
  void Admit(const CustomerName& customer,
             TimePoint deadline,
             OnDecision on_decision);

  // Answers the question of another proxy. Calls `respond` once.
  void Answer(const LimitQuestion& question,
              std::function<void(LimitAnswer)> respond);

 private:
  using Then = std::function<void(LimitAnswer)>;

  // A question for permits on its way through this proxy.
  struct Request {
    LimitQuestion question;
    TimePoint deadline;
    // Permits that it has already got from this zone.
    size_t granted = 0;
    Then then;
  };

  // The votes for one customer that are asked for.
  struct VoteRound {
    rate_limits::BucketLimit share;
    TimePoint asked_at;
    size_t given = 0;
    size_t needed = 0;
    size_t awaited = 0;
    Duration free_for = rate_limits::GrantVotes::kMemory;
    bool refused = false;
    bool ended = false;
  };

  // What this proxy borrows for one customer.
  struct Borrowing {
    size_t permits = 0;
    TimePoint permits_until;
    TimePoint next_round;
    bool in_round = false;
    rate_limits::RecentCount missing;
    // Requests that wait for the end of the round.
    std::vector<Request> waiting;
  };

  // The questions to the other zones, one after the other.
  struct LoanRound {
    CustomerName customer;
    std::vector<ZoneName> zones;
    size_t next_zone = 0;
    size_t wanted = 0;
    size_t borrowed = 0;
    TimePoint asked_at;
    TimePoint deadline;
  };

  // What was done since it was last logged.
  struct Activity {
    size_t takeovers = 0;
    size_t denied = 0;
    size_t borrowed = 0;
    size_t lent = 0;
  };

  CustomerLimits(Options options, Ports ports);

  TimePoint now() const { return m_ports.timers.now(); }
  // Calls `action` of this object with an answer, unless the object has ended
  // by then.
  template <typename Action>
  auto Guarded(Action action);
  void Ask(const VmName& peer,
           LimitQuestion question,
           Duration timeout,
           OnLimitAnswer on_answer);

  // Gets permits from the grantor of this zone, which may be this proxy.
  void Obtain(Request request);
  void Decide(Request request);
  void Grant(Request request, const rate_limits::BucketLimit& share);
  void Finish(const Request& request, size_t granted);

  // Runs `then` when the votes for this proxy as grantor are counted.
  void CollectVotes(const CustomerName& customer,
                    const rate_limits::BucketLimit& share,
                    std::function<void()> then);
  void VoteCounted(const CustomerName& customer,
                   const std::shared_ptr<VoteRound>& round,
                   const std::optional<rate_limits::GrantVote>& vote);
  void EndVotes(const CustomerName& customer,
                const std::shared_ptr<VoteRound>& round);

  void Borrow(Request request);
  void AskNextZone(const std::shared_ptr<LoanRound>& round);
  void EndLoans(const LoanRound& round);

  std::optional<rate_limits::BucketLimit> ShareOf(
      const CustomerName& customer) const;
  // Returns whether this proxy is one of the customer's voters, or has the
  // votes of most.
  bool IsVoter(const CustomerName& customer) const;
  void Sweep();
  void LogActivity();

  const Options m_options;
  const Ports m_ports;
  LimitSeries m_series;
  rate_limits::PermitClient m_client;
  rate_limits::Grantor m_grantor;
  rate_limits::GrantVotes m_votes;
  // Actions to run at the end of the round of votes for a customer.
  std::unordered_map<CustomerName, std::vector<std::function<void()>>>
      m_vote_rounds;
  std::unordered_map<CustomerName, Borrowing> m_borrowing;
  // Zones that did not answer are not asked before this time.
  std::map<ZoneName, TimePoint> m_zone_retry;
  uint64_t m_expired_counted = 0;
  Activity m_activity;
  TimePoint m_next_activity_log;
};

}  // namespace jackdawturn::gateway
