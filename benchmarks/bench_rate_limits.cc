// What the rate limits of customers cost at the target size: the time of a
// decision and the memory with 10,000 customers, messages and bytes of a proxy,
// and the time until demand that moves to another zone is served there.

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "support/limits_world.h"
#include "support/reports.h"

namespace jackdawturn::gateway {
namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr size_t kFleet = 4'300;
constexpr size_t kFleetCustomers = 10'000;
constexpr size_t kZones = 26;
// Operations a second at one proxy: 1,100 over 67 proxies.
constexpr double kOperations = 1'100.0 / 67;
// Of the aims for control, docs/design.md: 2% of a core, 32 MB and 3 KB/s.
constexpr double kProcessorBound = 0.02;
constexpr double kMemoryBoundMegabytes = 32;
constexpr double kBytesBound = 3'000;
// The aim for a change of roles that moves work, docs/design.md.
constexpr double kMoveBoundMilliseconds = 1'000;
// The lines of a request and of its answer around their bodies, as the HTTP
// library writes them.
constexpr std::string_view kRequestHead =
    "POST /limits HTTP/1.1\r\nHost: 10.100.100.100:10000\r\n"
    "Content-Type: application/json\r\nContent-Length: 50\r\n\r\n";
constexpr std::string_view kResponseHead =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    "Content-Length: 20\r\n\r\n";

std::vector<CustomerName> MakeCustomers(size_t count) {
  std::vector<CustomerName> customers;
  for (size_t index = 0; index < count; ++index)
    customers.emplace_back("customer-" + std::to_string(index));
  return customers;
}

double Megabytes() {
  const auto used = mallinfo2();
  return static_cast<double>(used.uordblks + used.hblkhd) / 1e6;
}

double MicrosecondsSince(std::chrono::steady_clock::time_point begin) {
  return std::chrono::duration<double, std::micro>(
             std::chrono::steady_clock::now() - begin)
      .count();
}

// The decisions of one proxy that grants for all customers: a zone of a small
// fleet, which is the worst case of memory and time for a proxy.
void MeasureDecisions(BenchmarkReport& report) {
  constexpr size_t kDecisions = 200'000;
  const auto customers = MakeCustomers(kFleetCustomers);
  const rate_limits::BucketLimit share{.per_second = 100, .capacity = 100};
  const TimePoint start{std::chrono::hours(1)};
  const double before = Megabytes();
  rate_limits::Grantor grantor(start - 1h);
  rate_limits::GrantVotes votes(start - 1h);
  rate_limits::PermitClient* answered = nullptr;
  TimePoint now = start;
  rate_limits::PermitClient client(
      [&](const rate_limits::PermitQuestion& question) {
        if (grantor.BeginVotes(question.customer, share, question.needed, true,
                               now)) {
          const auto vote = votes.Ask(question.customer, VmName("a1"), now);
          grantor.Confirm(question.customer, share, now, vote.free_for, now);
        }
        answered->Answered(
            question.customer,
            {.granted = grantor.Grant(question.customer, share, question.wanted,
                                      true, now)},
            now);
      });
  answered = &client;
  std::mt19937_64 random(SeedFromEnvironment());
  size_t admitted = 0;
  const auto begin = std::chrono::steady_clock::now();
  for (size_t count = 0; count < kDecisions; ++count) {
    now += 10us;
    client.Admit(customers[random() % customers.size()], now + 1s, now,
                 [&admitted](const rate_limits::PermitDecision& decision) {
                   admitted += decision.admitted ? 1 : 0;
                 });
  }
  const double each = MicrosecondsSince(begin) / kDecisions;
  VERIFY(admitted > 0);
  report.AddUnbounded("rate_limit_decision", each, "us");
  report.Add("rate_limit_decisions_of_a_proxy", each * 1e-6 * kOperations,
             BoundKind::kAtMost, kProcessorBound, "cores");
  report.Add("rate_limit_memory_at_10000_customers", Megabytes() - before,
             BoundKind::kAtMost, kMemoryBoundMegabytes, "MB");
}

// The choice of the grantor among the proxies of the whole fleet.
void MeasureChoice(BenchmarkReport& report) {
  constexpr size_t kChoices = 2'000;
  PeerDirectory peers(VmName("proxy-0"), ZoneName("zone-0"));
  std::vector<Peer> fleet(kFleet);
  for (size_t index = 0; index < kFleet; ++index) {
    fleet[index].name = VmName("proxy-" + std::to_string(index));
    fleet[index].zone = ZoneName("zone-" + std::to_string(index % kZones));
    fleet[index].records_address = "10.0.0.1:1";
  }
  peers.Replace(std::move(fleet));
  const auto customers = MakeCustomers(kChoices);
  const TimePoint now{std::chrono::hours(1)};
  size_t found = 0;
  const auto begin = std::chrono::steady_clock::now();
  for (const CustomerName& customer : customers)
    found += peers.ChooseGrantor(customer, now) ? 1 : 0;
  const double each = MicrosecondsSince(begin) / kChoices;
  VERIFY(found > 0);
  report.AddUnbounded("rate_limit_choice_of_a_grantor", each, "us");
  report.Add("rate_limit_choices_of_a_proxy", each * 1e-6 * kOperations,
             BoundKind::kAtMost, kProcessorBound, "cores");
}

// Messages and bytes in a fleet with the same number of customers and
// operations for each proxy as the large one.
void MeasureMessages(BenchmarkReport& report) {
  constexpr size_t kProxiesInAZone = 20;
  constexpr Duration kTime = 5s;
  LimitsWorld world({.proxies_in_a_zone = kProxiesInAZone});
  const auto customers = MakeCustomers(world.size() * kFleetCustomers / kFleet);
  const double demand = kOperations * static_cast<double>(world.size()) /
                        static_cast<double>(customers.size());
  // Customers use two thirds of their limits.
  for (const CustomerName& customer : customers)
    world.SetLimitEverywhere(
        customer, {.per_second = demand * 1.5, .burst = demand * 1.5});
  std::exponential_distribution<double> wait(kOperations *
                                             static_cast<double>(world.size()));
  const uint64_t messages = world.messages();
  const uint64_t bytes = world.bytes();
  const TimePoint end = world.now() + kTime;
  size_t admitted = 0;
  size_t operations = 0;
  while (world.now() < end) {
    world.Advance(std::chrono::ceil<Duration>(
        std::chrono::duration<double>(wait(world.random()))));
    ++operations;
    world.Admit(world.RandomProxy(),
                customers[world.random()() % customers.size()], 500ms,
                [&admitted](const OperationDecision& decision) {
                  admitted += decision.admitted ? 1 : 0;
                });
  }
  const double node_seconds = static_cast<double>(world.size()) *
                              std::chrono::duration<double>(kTime).count();
  const auto sent = static_cast<double>(world.messages() - messages);
  const double heads =
      sent / 2 *
      static_cast<double>(kRequestHead.size() + kResponseHead.size());
  report.AddUnbounded(
      "rate_limit_admitted",
      static_cast<double>(admitted) / static_cast<double>(operations), "share");
  report.AddUnbounded("rate_limit_messages_an_operation",
                      sent / static_cast<double>(operations), "messages");
  report.AddUnbounded("rate_limit_messages_of_a_proxy", sent / node_seconds,
                      "messages/s");
  report.Add(
      "rate_limit_bytes_of_a_proxy",
      (static_cast<double>(world.bytes() - bytes) + heads) / node_seconds,
      BoundKind::kAtMost, kBytesBound, "B/s");
}

// All demand of a customer moves from one zone to another.
void MeasureMove(BenchmarkReport& report) {
  constexpr Duration kInterval = 20ms;
  constexpr size_t kInARow = 25;
  LimitsWorld world({});
  const CustomerName customer("customer");
  world.SetLimitEverywhere(customer, {.per_second = 60, .burst = 60});
  const size_t zone = world.size() / 3;
  const auto admit = [&](size_t proxy, size_t* served) {
    world.Admit(proxy, customer, 500ms,
                [served](const OperationDecision& made) {
                  *served = made.admitted ? *served + 1 : 0;
                });
    world.Advance(kInterval);
  };
  size_t served = 0;
  for (Duration time{0}; time < 10s; time += kInterval)
    admit(world.random()() % zone, &served);
  served = 0;
  const TimePoint moved = world.now();
  while (served < kInARow && world.now() < moved + 1min)
    admit(2 * zone + world.random()() % zone, &served);
  report.Add("rate_limit_moved_demand_is_served",
             ToMilliseconds(world.now() - moved - kInARow * kInterval),
             BoundKind::kAtMost, kMoveBoundMilliseconds, "ms");
}

int Main() {
  BenchmarkReport report;
  MeasureDecisions(report);
  MeasureChoice(report);
  MeasureMessages(report);
  MeasureMove(report);
  return report.exit_code();
}

}  // namespace
}  // namespace jackdawturn::gateway

int main() {
  return jackdawturn::gateway::Main();
}
