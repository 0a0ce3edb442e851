#include "gateway/customer_limits.h"

#include <algorithm>
#include <utility>

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using Kind = LimitQuestion::Kind;
using rate_limits::BucketLimit;

// With less time left, no other proxy can answer.
constexpr Duration kMinQuestionTime = 2ms;
// A proxy that has passed a question on answers this much before the asker's
// time limit, so that the asker does not take it for unresponsive.
constexpr Duration kAnswerMargin = 10ms;
constexpr Duration kVoteTimeout = 40ms;
// Views of the zone that differ could pass a question on for ever.
constexpr unsigned kMaxHops = 2;
// When a client retries that was refused because no grantor answered.
constexpr Duration kUnreachableRetry = 250ms;
constexpr Duration kSweepInterval = 1s;
constexpr Duration kActivityLogInterval = 10s;

}  // namespace

std::shared_ptr<CustomerLimits> CustomerLimits::Create(Options options,
                                                       Ports ports) {
  std::shared_ptr<CustomerLimits> limits(
      new CustomerLimits(std::move(options), std::move(ports)));
  limits->Sweep();
  return limits;
}

CustomerLimits::CustomerLimits(Options options, Ports ports)
    : m_options(std::move(options)),
      m_ports(std::move(ports)),
      m_series(m_ports.log.FindLimitSeries()),
      m_client(
          [this](const rate_limits::PermitQuestion& asked) {
            m_series.asked.Add(asked.wanted);
            Obtain({.question = {.customer = asked.customer,
                                 .needed = asked.needed,
                                 .wanted = asked.wanted},
                    .deadline = asked.deadline,
                    .then = [this, customer = asked.customer](
                                const LimitAnswer& answer) {
                      m_series.granted.Add(answer.granted);
                      m_client.Answered(customer,
                                        {.granted = answer.granted,
                                         .retry_after = answer.retry_after},
                                        now());
                    }});
          },
          m_options.permit_time),
      m_grantor(m_options.started),
      m_votes(m_options.started) {}

template <typename Action>
auto CustomerLimits::Guarded(Action action) {
  return [weak = weak_from_this(), action = std::move(action)](auto&&... args) {
    if (const auto self = weak.lock())
      action(std::forward<decltype(args)>(args)...);
  };
}

void CustomerLimits::Admit(const CustomerName& customer,
                           TimePoint deadline,
                           OnDecision on_decision) {
  if (!m_ports.find_limit(customer))
    return on_decision({});
  m_client.Admit(
      customer, std::max(deadline, now() + kQuestionTimeout), now(),
      [this, on_decision = std::move(on_decision)](
          const rate_limits::PermitDecision& decision) {
        (decision.admitted ? m_series.admitted : m_series.refused).Add();
        on_decision({.admitted = decision.admitted,
                     .retry_after = decision.retry_after});
      });
}

void CustomerLimits::Answer(const LimitQuestion& question,
                            std::function<void(LimitAnswer)> respond) {
  if (question.kind == Kind::kVote) {
    const auto vote = m_votes.Ask(question.customer, question.asker, now());
    return respond({.vote_given = vote.given, .free_for = vote.free_for});
  }
  const Duration time =
      std::min(question.time_limit, kQuestionTimeout) - kAnswerMargin;
  Request request{.question = question,
                  .deadline = now() + time,
                  .then = std::move(respond)};
  ++request.question.hops;
  Obtain(std::move(request));
}

void CustomerLimits::Ask(const VmName& peer_name,
                         LimitQuestion question,
                         Duration timeout,
                         OnLimitAnswer on_answer) {
  const Peer* peer = m_ports.peers.Find(peer_name);
  if (!peer)
    return on_answer(Failure(ErrorCode::kNotFound, "limits.ask",
                             peer_name.value(), "the proxy has left"));
  question.time_limit = timeout;
  m_ports.ask(*peer, question, timeout,
              Guarded([this, peer_name, on_answer = std::move(on_answer)](
                          const Result<LimitAnswer>& answer) {
                if (answer) {
                  m_ports.peers.Answered(peer_name);
                } else {
                  m_ports.peers.Suspect(peer_name, now());
                  m_series.unreachable.Add();
                }
                on_answer(answer);
              }));
}

void CustomerLimits::Obtain(Request request) {
  const Peer* grantor =
      m_ports.peers.ChooseGrantor(request.question.customer, now());
  if (!grantor || request.question.hops >= kMaxHops)
    return Decide(std::move(request));
  // Time remains to ask the next candidate.
  const Duration time =
      std::min(kQuestionTimeout, (request.deadline - now()) * 2 / 3);
  if (time < kMinQuestionTime)
    return request.then({.retry_after = kUnreachableRetry});
  const LimitQuestion question = request.question;
  Ask(grantor->name, question, time,
      [this, request = std::move(request)](const Result<LimitAnswer>& answer) {
        if (answer)
          return request.then(answer.value());
        Obtain(request);
      });
}

std::optional<BucketLimit> CustomerLimits::ShareOf(
    const CustomerName& customer) const {
  const auto limit = m_ports.find_limit(customer);
  if (!limit)
    return std::nullopt;
  return rate_limits::ShareOfZone(limit->per_second, limit->burst,
                                  m_ports.peers.zone_count());
}

bool CustomerLimits::IsVoter(const CustomerName& customer) const {
  // The order of the voters is not needed then.
  if (m_grantor.Confirmed(customer, now()))
    return true;
  const auto voters = m_ports.peers.GrantVoters(customer);
  return std::find(voters.begin(), voters.end(), m_options.name) !=
         voters.end();
}

void CustomerLimits::Decide(Request request) {
  const LimitQuestion& question = request.question;
  const auto share = ShareOf(question.customer);
  if (!share)
    return request.then({.granted = question.wanted});
  const bool confirmed = m_grantor.Confirmed(question.customer, now());
  const auto round = m_vote_rounds.find(question.customer);
  const bool begin =
      round == m_vote_rounds.end() &&
      m_grantor.BeginVotes(question.customer, *share, question.needed,
                           IsVoter(question.customer), now());
  if (confirmed || (!begin && round == m_vote_rounds.end())) {
    if (begin)
      CollectVotes(question.customer, *share, [] {});
    return Grant(std::move(request), *share);
  }
  const CustomerName customer = question.customer;
  auto grant = [this, request = std::move(request), share = *share] {
    Grant(request, share);
  };
  if (!begin) {
    round->second.push_back(std::move(grant));
    return;
  }
  CollectVotes(customer, *share, std::move(grant));
}

void CustomerLimits::Grant(Request request, const BucketLimit& share) {
  const LimitQuestion& question = request.question;
  if (question.kind == Kind::kLoan) {
    const size_t lent =
        m_grantor.Lend(question.customer, share, question.wanted,
                       IsVoter(question.customer), now());
    m_series.lent.Add(lent);
    m_activity.lent += lent;
    return request.then({.granted = lent});
  }
  request.granted = m_grantor.Grant(question.customer, share, question.wanted,
                                    IsVoter(question.customer), now());
  if (request.granted >= question.needed)
    return Finish(request, request.granted);
  Borrow(std::move(request));
}

void CustomerLimits::Finish(const Request& request, size_t granted) {
  LimitAnswer answer{.granted = granted};
  const LimitQuestion& question = request.question;
  const auto share = ShareOf(question.customer);
  if (granted < question.needed && share) {
    answer.retry_after = m_grantor.RetryAfter(question.customer, *share, now());
    m_grantor.CountRefused(question.customer, question.needed - granted, now());
  }
  request.then(answer);
}

void CustomerLimits::CollectVotes(const CustomerName& customer,
                                  const BucketLimit& share,
                                  std::function<void()> then) {
  m_vote_rounds[customer].push_back(std::move(then));
  const auto voters = m_ports.peers.GrantVoters(customer);
  const auto round = std::make_shared<VoteRound>();
  round->share = share;
  round->asked_at = now();
  round->needed = voters.size() / 2 + 1;
  // One more, so that the round does not end before all voters were asked.
  round->awaited = voters.size() + 1;
  // While this proxy has given its vote to another one, it is not the grantor
  // itself, also when it is no voter any more.
  const auto own = m_votes.Ask(customer, m_options.name, now());
  round->refused = !own.given;
  round->free_for = own.free_for;
  for (const VmName& voter : voters) {
    if (voter == m_options.name) {
      VoteCounted(customer, round, own);
      continue;
    }
    Ask(voter,
        {.kind = Kind::kVote, .customer = customer, .asker = m_options.name},
        kVoteTimeout,
        [this, customer, round](const Result<LimitAnswer>& answer) {
          if (!answer)
            return VoteCounted(customer, round, std::nullopt);
          VoteCounted(
              customer, round,
              rate_limits::GrantVote{.given = answer.value().vote_given,
                                     .free_for = answer.value().free_for});
        });
  }
  VoteCounted(customer, round, std::nullopt);
}

void CustomerLimits::VoteCounted(
    const CustomerName& customer,
    const std::shared_ptr<VoteRound>& round,
    const std::optional<rate_limits::GrantVote>& vote) {
  --round->awaited;
  if (vote && vote->given) {
    ++round->given;
    round->free_for = std::min(round->free_for, vote->free_for);
  } else if (vote) {
    ++m_activity.denied;
  }
  const bool won = round->given >= round->needed && !round->refused;
  if (!round->ended && (won || round->awaited == 0))
    EndVotes(customer, round);
}

void CustomerLimits::EndVotes(const CustomerName& customer,
                              const std::shared_ptr<VoteRound>& round) {
  round->ended = true;
  if (round->given >= round->needed && !round->refused) {
    const auto share = ShareOf(customer);
    if (!m_grantor.Confirmed(customer, now()) &&
        round->free_for < rate_limits::GrantVotes::kVoteTime)
      ++m_activity.takeovers;
    m_grantor.Confirm(customer, share.value_or(round->share), round->asked_at,
                      round->free_for, now());
  }
  const auto waiting = std::move(m_vote_rounds[customer]);
  m_vote_rounds.erase(customer);
  for (const auto& action : waiting)
    action();
}

void CustomerLimits::Sweep() {
  m_ports.timers.After(kSweepInterval, Guarded([this] { Sweep(); }));
  m_client.Sweep(now());
  m_grantor.Sweep(now());
  m_votes.Sweep(now());
  std::erase_if(m_borrowing, [this](const auto& entry) {
    const Borrowing& borrowing = entry.second;
    return !borrowing.in_round && now() >= borrowing.permits_until &&
           now() >= borrowing.next_round;
  });
  const uint64_t expired = m_client.expired();
  m_series.expired.Add(expired - std::exchange(m_expired_counted, expired));
  LogActivity();
}

void CustomerLimits::LogActivity() {
  if (now() < m_next_activity_log)
    return;
  m_next_activity_log = now() + kActivityLogInterval;
  const Activity activity = std::exchange(m_activity, {});
  if (activity.takeovers + activity.denied > 0)
    m_ports.log.LogStateChange(
        EventKind::kMembership, GroupName(), "limit_grantor", "",
        {{"taken_over", std::to_string(activity.takeovers)},
         {"votes_refused", std::to_string(activity.denied)},
         {"customers", std::to_string(m_grantor.size())}});
  if (activity.borrowed + activity.lent > 0)
    m_ports.log.LogStateChange(EventKind::kShare, GroupName(), "limit_loans",
                               "",
                               {{"borrowed", std::to_string(activity.borrowed)},
                                {"lent", std::to_string(activity.lent)}});
}

}  // namespace jackdawturn::gateway
