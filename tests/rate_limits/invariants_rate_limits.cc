// Rate limits of customers over many proxies: seeded faults, partitions and
// changes of limits on a virtual clock. The checker sees only which operations
// started, and the limits. SEED= with RUNS=1 repeats a run.

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "support/limits_world.h"
#include "support/reports.h"

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

// Operations are counted in windows of this length.
constexpr Duration kWindow = 5s;
// How far a count may exceed the limit: by this factor, and by these
// operations.
constexpr double kOverrun = 1.1;
constexpr double kSlack = 20;
// Without faults, the share of operations that may be refused beyond what one
// bucket for the whole fleet would refuse.
constexpr double kNeedlesslyRefused = 0.01;
constexpr Duration kRunTime = 40s;
constexpr Duration kConfigurationTime = 3s;
constexpr size_t kCustomers = 2;

// A limit, and when it may be used.
struct LimitPeriod {
  RateLimit limit;
  TimePoint from;
  // When all proxies had a later limit.
  TimePoint until = TimePoint::max();
};

struct CustomerRecord {
  CustomerName name;
  std::vector<LimitPeriod> limits;
  std::vector<TimePoint> started;
  std::vector<TimePoint> arrived;
  size_t refused = 0;
  // The demand as a multiple of the limit.
  double load = 1;
  std::array<double, 3> zone_weights{1, 1, 1};
};

// Returns the largest count that the limits allow in a window.
double Allowed(const CustomerRecord& customer, TimePoint from) {
  double allowed = 0;
  for (const LimitPeriod& period : customer.limits) {
    // A lower limit binds when it has been in force for one window.
    const bool applies =
        period.from <= from + kWindow &&
        (period.until == TimePoint::max() || from <= period.until + kWindow);
    const double seconds = std::chrono::duration<double>(kWindow).count();
    if (applies)
      allowed = std::max(
          allowed, period.limit.per_second * seconds + period.limit.burst);
  }
  return allowed * kOverrun + kSlack;
}

bool KeepsLimit(const CustomerRecord& customer) {
  const auto& started = customer.started;
  size_t end = 0;
  for (size_t begin = 0; begin < started.size(); ++begin) {
    while (end < started.size() && started[end] <= started[begin] + kWindow)
      ++end;
    const auto count = static_cast<double>(end - begin);
    if (count > Allowed(customer, started[begin])) {
      if (std::getenv("VERBOSE"))
        std::cerr << customer.name << ": " << count << " operations, allowed "
                  << Allowed(customer, started[begin]) << " from "
                  << started[begin].time_since_epoch().count() / 1000
                  << " ms\n";
      return false;
    }
  }
  return true;
}

// One run: demand of some customers, with or without faults.
class Run {
 public:
  Run(uint64_t seed, LimitsMutant mutant, bool faults)
      : m_faults(faults), m_world({.seed = seed, .mutant = mutant}) {
    for (size_t index = 0; index < kCustomers; ++index) {
      CustomerRecord& customer = m_customers[index];
      customer.name = CustomerName("customer" + std::to_string(index));
      const RateLimit limit = RandomLimit();
      customer.limits.push_back({.limit = limit, .from = m_world.now()});
      m_world.SetLimitEverywhere(customer.name, limit);
      ChangeDemand(customer);
      NextOperation(customer);
    }
    if (faults)
      NextFault();
    m_world.Advance(kRunTime);
  }

  const std::array<CustomerRecord, kCustomers>& customers() const {
    return m_customers;
  }

 private:
  double Uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(m_world.random());
  }
  size_t Index(size_t count) {
    return std::uniform_int_distribution<size_t>(0,
                                                 count - 1)(m_world.random());
  }

  RateLimit RandomLimit() {
    // At low rates the tolerance hides faults, at high rates runs are slow.
    const double rate = Uniform(30, 200);
    return {.per_second = rate, .burst = rate * Uniform(0.1, 2)};
  }

  void ChangeDemand(CustomerRecord& customer) {
    customer.load = m_faults ? (m_world.Chance(0.7) ? Uniform(1, 6) : 0.02)
                             : Uniform(0.3, 0.7);
    for (double& weight : customer.zone_weights)
      weight = m_world.Chance(0.3) ? 0.02 : Uniform(0.5, 1.5);
    m_world.After(m_world.Between(1s, 8s),
                  [this, &customer] { ChangeDemand(customer); });
  }

  size_t ProxyFor(const CustomerRecord& customer) {
    std::discrete_distribution<size_t> zones(customer.zone_weights.begin(),
                                             customer.zone_weights.end());
    const size_t in_a_zone = m_world.size() / customer.zone_weights.size();
    return zones(m_world.random()) * in_a_zone + Index(in_a_zone);
  }

  void NextOperation(CustomerRecord& customer) {
    const double rate = customer.limits.back().limit.per_second * customer.load;
    const double wait =
        std::exponential_distribution<double>(rate)(m_world.random());
    m_world.After(std::chrono::ceil<Duration>(
                      std::chrono::duration<double>(std::min(wait, 1.0))),
                  [this, &customer] {
                    NextOperation(customer);
                    StartOperation(customer);
                  });
  }

  void StartOperation(CustomerRecord& customer) {
    const size_t proxy = ProxyFor(customer);
    // A proxy that is cut off from all others reaches no instance either.
    if (m_cut_off.contains(proxy))
      return;
    customer.arrived.push_back(m_world.now());
    m_world.Admit(proxy, customer.name, m_world.Between(100ms, 800ms),
                  [this, &customer](const OperationDecision& decision) {
                    if (decision.admitted)
                      customer.started.push_back(m_world.now());
                    else
                      ++customer.refused;
                  });
  }

  void NextFault() {
    m_world.After(m_world.Between(500ms, 6s), [this] {
      Inject();
      NextFault();
    });
  }

  void Inject() {
    const size_t proxy = m_world.RandomProxy();
    const Duration time = m_world.Between(300ms, 10s);
    switch (Index(12)) {
      case 0:
        return Kill(proxy, m_world.Chance(0.5), time);
      case 1:
        return KillMany(time);
      case 2:
        m_world.proxy(proxy).frozen_until = m_world.now() + time;
        return;
      case 3:
        m_cut_off.insert(proxy);
        m_world.After(time, [this, proxy] { m_cut_off.erase(proxy); });
        return CutLinks(time, [proxy](size_t one, size_t other) {
          return one == proxy || other == proxy;
        });
      case 4:
        return CutLinks(time, [this, proxy](size_t one, size_t other) {
          const ZoneName& zone = m_world.proxy(proxy).zone;
          return (m_world.proxy(one).zone == zone) !=
                 (m_world.proxy(other).zone == zone);
        });
      case 5:
        return CutLinks(time, [this](size_t one, size_t other) {
          return SameZone(one, other) && m_world.Chance(0.3);
        });
      case 6:
        return SplitZone(m_world.proxy(proxy).zone, time);
      case 7:
        return SuspectWrongly();
      case 8:
        return HidePeer(proxy, time);
      case 9:
        return Leave(proxy, time);
      case 10:
        m_world.SetLoss(Uniform(0.05, 0.4));
        m_world.After(time, [this] { m_world.SetLoss(0); });
        return;
      default:
        return ChangeLimit(m_customers[Index(kCustomers)]);
    }
  }

  bool SameZone(size_t one, size_t other) {
    return m_world.proxy(one).zone == m_world.proxy(other).zone;
  }

  void Kill(size_t proxy, bool absent, Duration time) {
    if (!m_world.proxy(proxy).alive)
      return;
    m_world.Kill(proxy, absent);
    m_world.After(time, [this, proxy] { m_world.Start(proxy); });
  }

  void KillMany(Duration time) {
    for (size_t proxy = 0; proxy < m_world.size(); ++proxy) {
      if (m_world.Chance(0.5))
        Kill(proxy, false, time);
    }
  }

  void CutLinks(Duration time, const std::function<bool(size_t, size_t)>& cut) {
    std::vector<std::pair<size_t, size_t>> links;
    for (size_t one = 0; one < m_world.size(); ++one) {
      for (size_t other = one + 1; other < m_world.size(); ++other) {
        if (cut(one, other))
          links.emplace_back(one, other);
      }
    }
    for (const auto& [one, other] : links)
      m_world.SetLink(one, other, true);
    m_world.After(time, [this, links] {
      for (const auto& [one, other] : links)
        m_world.SetLink(one, other, false);
    });
  }

  void SplitZone(const ZoneName& zone, Duration time) {
    std::vector<bool> side(m_world.size());
    for (size_t proxy = 0; proxy < side.size(); ++proxy)
      side[proxy] = m_world.Chance(0.5);
    CutLinks(time, [this, &zone, &side](size_t one, size_t other) {
      return m_world.proxy(one).zone == zone && SameZone(one, other) &&
             side[one] != side[other];
    });
  }

  void SuspectWrongly() {
    for (size_t count = 0; count < m_world.size(); ++count) {
      auto& proxy = m_world.proxy(m_world.RandomProxy());
      proxy.peers->Suspect(m_world.proxy(m_world.RandomProxy()).name,
                           m_world.now());
    }
  }

  // The views of some proxies lack one for a while.
  void HidePeer(size_t hidden, Duration time) {
    const VmName name = m_world.proxy(hidden).name;
    for (size_t proxy = 0; proxy < m_world.size(); ++proxy) {
      if (!m_world.Chance(0.5))
        continue;
      m_world.proxy(proxy).unknown.insert(name);
      m_world.ListPeers(proxy);
      m_world.After(time, [this, proxy, name] {
        m_world.proxy(proxy).unknown.erase(name);
        m_world.ListPeers(proxy);
      });
    }
  }

  // The proxy announces that it leaves, and returns later. Each proxy learns of
  // both in its own time.
  void Leave(size_t leaving, Duration time) {
    const VmName name = m_world.proxy(leaving).name;
    m_world.leaving().insert(name);
    ListPeersSoon();
    m_world.After(time, [this, name] {
      m_world.leaving().erase(name);
      ListPeersSoon();
    });
  }

  void ListPeersSoon() {
    for (size_t proxy = 0; proxy < m_world.size(); ++proxy)
      m_world.After(m_world.Between(1ms, 2s),
                    [this, proxy] { m_world.ListPeers(proxy); });
  }

  void ChangeLimit(CustomerRecord& customer) {
    const TimePoint all_have_it = m_world.now() + kConfigurationTime;
    const RateLimit limit = RandomLimit();
    if (m_world.now() < customer.limits.back().from + kConfigurationTime)
      return;
    customer.limits.back().until = all_have_it;
    customer.limits.push_back({.limit = limit, .from = m_world.now()});
    for (size_t proxy = 0; proxy < m_world.size(); ++proxy)
      m_world.After(m_world.Between(1ms, kConfigurationTime),
                    [this, proxy, &customer, limit] {
                      m_world.SetLimit(proxy, customer.name, limit);
                    });
  }

  const bool m_faults;
  std::array<CustomerRecord, kCustomers> m_customers;
  std::set<size_t> m_cut_off;
  LimitsWorld m_world;
};

using Holds = bool (*)(const CustomerRecord&);

// Returns how many of the operations one bucket for the whole fleet refuses.
size_t RefusedByOneBucket(const CustomerRecord& customer) {
  const RateLimit& limit = customer.limits.front().limit;
  rate_limits::TokenBucket bucket({limit.per_second, limit.burst}, limit.burst,
                                  customer.limits.front().from);
  size_t refused = 0;
  for (const TimePoint time : customer.arrived) {
    if (bucket.Level(time) >= 1)
      bucket.Take(1, time);
    else
      ++refused;
  }
  return refused;
}

// Returns whether few operations are refused that the limit allows.
bool RefusesLittle(const CustomerRecord& customer) {
  const auto arrived = static_cast<double>(customer.arrived.size());
  const size_t unavoidable = RefusedByOneBucket(customer);
  const double needless =
      static_cast<double>(customer.refused) - static_cast<double>(unavoidable);
  const bool little = needless <= arrived * kNeedlesslyRefused;
  if (!little && std::getenv("VERBOSE"))
    std::cerr << customer.name << ": refused " << customer.refused << " of "
              << arrived << ", one bucket " << unavoidable << ", limit "
              << customer.limits.front().limit.per_second << "/s + "
              << customer.limits.front().limit.burst << '\n';
  return little;
}

struct Promise {
  const char* name;
  bool faults;
  Holds holds;
  std::vector<LimitsMutant> mutants;
  uint64_t runs;
};

bool Broken(const Promise& promise, uint64_t seed, LimitsMutant mutant) {
  const Run run(seed, mutant, promise.faults);
  return !std::all_of(run.customers().begin(), run.customers().end(),
                      promise.holds);
}

uint64_t NumberFromEnvironment(const char* name, uint64_t fallback) {
  const char* text = std::getenv(name);
  return text ? std::strtoull(text, nullptr, 10) : fallback;
}

PromiseResult Check(const Promise& promise) {
  // More runs than are needed to find each mutant at some seed.
  constexpr uint64_t kMutantRuns = 200;
  const uint64_t first = SeedFromEnvironment();
  const uint64_t runs = NumberFromEnvironment("RUNS", promise.runs);
  PromiseResult result{.name = promise.name, .cases = runs};
  for (uint64_t seed = first; seed < first + runs; ++seed) {
    if (!Broken(promise, seed, LimitsMutant::kNone))
      continue;
    ++result.broken;
    std::cerr << promise.name << ": broken with SEED=" << seed << '\n';
  }
  for (const LimitsMutant mutant : promise.mutants) {
    ++result.mutants;
    for (uint64_t seed = first; seed < first + kMutantRuns; ++seed) {
      if (Broken(promise, seed, mutant)) {
        ++result.mutants_caught;
        break;
      }
    }
  }
  return result;
}

}  // namespace
}  // namespace jackdawturn::gateway

int main() {
  using jackdawturn::gateway::LimitsMutant;
  const std::vector<jackdawturn::gateway::Promise> promises = {
      {"rate_limit_holds_over_all_proxies",
       true,
       jackdawturn::gateway::KeepsLimit,
       {LimitsMutant::kVotesForAll, LimitsMutant::kNewGrantorStartsFull,
        LimitsMutant::kVotesForgotten, LimitsMutant::kLoansNotSubtracted,
        LimitsMutant::kPermitsNeverExpire, LimitsMutant::kLimitsNeverChange},
       60},
      {"rate_limit_refuses_little_below_it",
       false,
       jackdawturn::gateway::RefusesLittle,
       {LimitsMutant::kNoLoans, LimitsMutant::kNoVotes,
        LimitsMutant::kPermitsExpireAtOnce},
       30},
  };
  std::vector<jackdawturn::PromiseResult> results;
  for (const auto& promise : promises)
    results.push_back(jackdawturn::gateway::Check(promise));
  return jackdawturn::PrintPromises(results);
}
