#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gateway/gateway.h"
#include "gateway/virtual_timers.h"

namespace jackdawturn::gateway {

// What a world changes in the code under test, for a checker to notice.
enum class LimitsMutant {
  kNone,
  // Votes are given to every candidate.
  kVotesForAll,
  // A voter says that nobody else had its vote before.
  kNewGrantorStartsFull,
  // A voter that restarts gives votes at once.
  kVotesForgotten,
  // A lender does not take the permits from its own share.
  kLoansNotSubtracted,
  // No zone lends permits.
  kNoLoans,
  kPermitsNeverExpire,
  kPermitsExpireAtOnce,
  // Proxies keep the first limit of a customer.
  kLimitsNeverChange,
  // No proxy gives votes.
  kNoVotes,
};

// The proxies of three zones on a virtual clock with a network in between, each
// with its own view of the fleet and of the limits.
class LimitsWorld {
 public:
  struct Options {
    size_t proxies_in_a_zone = 5;
    size_t zones = 3;
    uint64_t seed = 1;
    LimitsMutant mutant = LimitsMutant::kNone;
  };

  struct Proxy {
    VmName name;
    ZoneName zone;
    bool alive = true;
    // The VM does not run, so that nothing refuses connections to it.
    bool absent = false;
    // Nothing runs at this proxy until then.
    TimePoint frozen_until;
    // Peers that the proxy does not know of.
    std::set<VmName> unknown;
    std::map<CustomerName, RateLimit> limits;
    std::unique_ptr<PeerDirectory> peers;
    std::shared_ptr<CustomerLimits> customer_limits;
  };

  explicit LimitsWorld(const Options& options)
      : m_options(options), m_random(options.seed) {
    for (size_t zone = 0; zone < options.zones; ++zone) {
      for (size_t index = 0; index < options.proxies_in_a_zone; ++index) {
        const std::string zone_name(1, static_cast<char>('a' + zone));
        auto proxy = std::make_unique<Proxy>();
        proxy->name = VmName(zone_name + std::to_string(index));
        proxy->zone = ZoneName(zone_name);
        m_proxies.push_back(std::move(proxy));
      }
    }
    for (size_t index = 0; index < m_proxies.size(); ++index)
      Start(index);
    // Voters give no votes right after their start.
    Advance(rate_limits::GrantVotes::kVoteTime + std::chrono::seconds(1));
  }
  ~LimitsWorld() {
    m_proxies.clear();
    m_timers.Clear();
  }
  LimitsWorld(const LimitsWorld&) = delete;
  LimitsWorld& operator=(const LimitsWorld&) = delete;

  size_t size() const { return m_proxies.size(); }
  Proxy& proxy(size_t index) { return *m_proxies[index]; }
  TimePoint now() const { return m_timers.now(); }
  VirtualTimers& timers() { return m_timers; }
  std::mt19937_64& random() { return m_random; }
  uint64_t messages() const { return m_messages; }
  uint64_t bytes() const { return m_bytes; }

  void Advance(Duration time) { m_timers.Advance(time); }
  void After(Duration delay, std::function<void()> action) {
    m_timers.After(delay, std::move(action));
  }

  // Returns a duration between the two.
  Duration Between(Duration shortest, Duration longest) {
    return Duration(std::uniform_int_distribution<int64_t>(
        shortest.count(), longest.count())(m_random));
  }
  size_t RandomProxy() {
    return std::uniform_int_distribution<size_t>(0, size() - 1)(m_random);
  }
  bool Chance(double probability) {
    return std::bernoulli_distribution(probability)(m_random);
  }

  // Puts a limit in force at one proxy.
  void SetLimit(size_t index, const CustomerName& customer, RateLimit limit) {
    auto& limits = proxy(index).limits;
    if (m_options.mutant == LimitsMutant::kLimitsNeverChange)
      limits.try_emplace(customer, limit);
    else
      limits[customer] = limit;
  }
  void SetLimitEverywhere(const CustomerName& customer, RateLimit limit) {
    for (size_t index = 0; index < size(); ++index)
      SetLimit(index, customer, limit);
  }

  // Ends the process; one of a VM that is `absent` refuses no connections.
  void Kill(size_t index, bool absent) {
    proxy(index).alive = false;
    proxy(index).absent = absent;
    proxy(index).customer_limits.reset();
  }
  // Starts the process with empty memory.
  void Start(size_t index) {
    Proxy& started = proxy(index);
    started.alive = true;
    started.absent = false;
    started.peers = std::make_unique<PeerDirectory>(started.name, started.zone);
    const bool forgotten = m_options.mutant == LimitsMutant::kVotesForgotten ||
                           m_options.mutant == LimitsMutant::kVotesForAll;
    CustomerLimits::Options options{
        .name = started.name,
        .started = forgotten ? now() - std::chrono::hours(1) : now()};
    if (m_options.mutant == LimitsMutant::kPermitsNeverExpire)
      options.permit_time = std::chrono::hours(1);
    if (m_options.mutant == LimitsMutant::kPermitsExpireAtOnce)
      options.permit_time = Duration(0);
    started.customer_limits = CustomerLimits::Create(
        options,
        {.timers = m_timers,
         .peers = *started.peers,
         .log = m_log,
         .find_limit = [&started](const CustomerName& customer)
             -> std::optional<RateLimit> {
           const auto found = started.limits.find(customer);
           if (found == started.limits.end())
             return std::nullopt;
           return found->second;
         },
         .ask =
             [this, index](const Peer& peer, const LimitQuestion& question,
                           Duration timeout, OnLimitAnswer on_answer) {
               Ask(index, peer, question, timeout, std::move(on_answer));
             }});
    ListPeers(index);
  }

  // Gives a proxy its view of the fleet.
  void ListPeers(size_t index) {
    std::vector<Peer> peers;
    for (const auto& other : m_proxies) {
      Peer peer;
      peer.name = other->name;
      peer.zone = other->zone;
      peer.records_address = other->name.value();
      peer.leaving = m_leaving.contains(other->name);
      if (!proxy(index).unknown.contains(other->name))
        peers.push_back(peer);
    }
    proxy(index).peers->Replace(std::move(peers));
  }
  std::set<VmName>& leaving() { return m_leaving; }

  // Cuts or mends the link between two proxies, in both directions.
  void SetLink(size_t one, size_t other, bool cut) {
    const auto link = std::minmax(one, other);
    if (cut)
      m_cut.insert(link);
    else
      m_cut.erase(link);
  }
  void MendAllLinks() { m_cut.clear(); }
  void SetLoss(double probability) { m_loss = probability; }

  // Starts an operation of a client at a proxy, if its process runs.
  void Admit(size_t index,
             const CustomerName& customer,
             Duration time,
             std::function<void(OperationDecision)> on_decision) {
    Run(index,
        [this, index, customer, time, on_decision = std::move(on_decision)] {
          if (proxy(index).alive)
            proxy(index).customer_limits->Admit(customer, now() + time,
                                                on_decision);
        });
  }

 private:
  // Runs the action at a proxy, when that is not frozen.
  void Run(size_t index, std::function<void()> action) {
    const TimePoint thaw = proxy(index).frozen_until;
    if (thaw <= now())
      return action();
    m_timers.After(thaw - now(), std::move(action));
  }

  bool Passes(size_t from, size_t to) {
    return !m_cut.contains(std::minmax(from, to)) && !Chance(m_loss);
  }
  Duration Latency(size_t from, size_t to) {
    const bool same_zone = proxy(from).zone == proxy(to).zone;
    return same_zone ? Between(std::chrono::microseconds(200),
                               std::chrono::microseconds(1'500))
                     : Between(std::chrono::microseconds(900),
                               std::chrono::microseconds(3'000));
  }

  void Ask(size_t from,
           const Peer& peer,
           const LimitQuestion& question,
           Duration timeout,
           OnLimitAnswer on_answer) {
    const auto answered = std::make_shared<bool>(false);
    const auto answer =
        [this, from, answered,
         on_answer = std::move(on_answer)](const Result<LimitAnswer>& result) {
          Run(from, [answered, on_answer, result] {
            if (!std::exchange(*answered, true))
              on_answer(result);
          });
        };
    m_timers.After(timeout, [answer] {
      answer(Failure(ErrorCode::kTimeout, "world", "", "no answer"));
    });
    const size_t to = IndexOf(peer.name);
    ++m_messages;
    m_bytes += EncodeLimitQuestion(question).size();
    if (m_options.mutant == LimitsMutant::kNoLoans &&
        question.kind == LimitQuestion::Kind::kLoan)
      return answer(LimitAnswer{});
    if (m_options.mutant == LimitsMutant::kLoansNotSubtracted &&
        question.kind == LimitQuestion::Kind::kLoan)
      return answer(LimitAnswer{.granted = question.wanted});
    if (!Passes(from, to) || proxy(to).absent)
      return;
    m_timers.After(Latency(from, to), [this, from, to, question, answer] {
      Run(to, [this, from, to, question, answer] {
        Receive(from, to, question, answer);
      });
    });
  }

  void Receive(size_t from,
               size_t to,
               const LimitQuestion& question,
               const OnLimitAnswer& answer) {
    if (!proxy(to).alive) {
      if (!proxy(to).absent)
        answer(Failure(ErrorCode::kUnavailable, "world", "", "refused"));
      return;
    }
    // The messages pass through their text form.
    const auto received = DecodeLimitQuestion(EncodeLimitQuestion(question));
    VERIFY(received);
    proxy(to).customer_limits->Answer(
        received.value(),
        [this, from, to, question, answer](LimitAnswer result) {
          if (question.kind == LimitQuestion::Kind::kVote)
            result = ChangeVote(result);
          ++m_messages;
          const std::string text = EncodeLimitAnswer(result);
          m_bytes += text.size();
          if (Passes(from, to))
            m_timers.After(Latency(from, to),
                           [answer, text] { answer(DecodeLimitAnswer(text)); });
        });
  }

  LimitAnswer ChangeVote(LimitAnswer vote) const {
    if (m_options.mutant == LimitsMutant::kVotesForAll)
      return {.vote_given = true, .free_for = std::chrono::minutes(1)};
    if (m_options.mutant == LimitsMutant::kNoVotes)
      return {};
    if (m_options.mutant == LimitsMutant::kNewGrantorStartsFull)
      vote.free_for = std::chrono::minutes(1);
    return vote;
  }

  size_t IndexOf(const VmName& name) const {
    for (size_t index = 0; index < m_proxies.size(); ++index) {
      if (m_proxies[index]->name == name)
        return index;
    }
    VERIFY(false);
    return 0;
  }

  const Options m_options;
  std::mt19937_64 m_random;
  VirtualTimers m_timers;
  MetricRegistry m_metrics;
  GatewayLog m_log{nullptr, m_metrics, VmName("world")};
  std::vector<std::unique_ptr<Proxy>> m_proxies;
  std::set<VmName> m_leaving;
  std::set<std::pair<size_t, size_t>> m_cut;
  double m_loss = 0;
  uint64_t m_messages = 0;
  uint64_t m_bytes = 0;
};

}  // namespace jackdawturn::gateway
