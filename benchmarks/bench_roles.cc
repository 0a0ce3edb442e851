// What the session tokens and the failover machines of idle groups cost, for
// docs/CAPACITY.md. Each slope lies between two sizes, so that fixed costs do
// not count. There is no stated bound.

#include <malloc.h>

#include <algorithm>
#include <ctime>
#include <functional>
#include <iostream>
#include <queue>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "failover/failover.h"
#include "sessions/sessions.h"
#include "support/reports.h"

namespace jackdawturn {
namespace {

constexpr double kMicroseconds = 1e6;

double ProcessorSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

// Large blocks are mapped and counted apart.
double UsedBytes() {
  const auto used = mallinfo2();
  return static_cast<double>(used.uordblks + used.hblkhd);
}

SessionPositions Positions(size_t groups) {
  SessionPositions positions;
  for (size_t group = 0; group < groups; ++group)
    positions.Record(
        GroupName("group-" + std::to_string(10'000 + group)),
        TermPosition{Term{40}, LogPosition{1'000'000'000 + group}});
  return positions;
}

// A token is read with each request and written with each answer.
void MeasureTokens(BenchmarkReport& report) {
  constexpr size_t kRounds = 9;
  constexpr size_t kTokens = 20'000;
  TokenKeys keys;
  keys.secrets[0] = "a secret for the benchmark";
  const SessionTokenCodec codec = SessionTokenCodec::Create(keys).value();
  uint64_t read = 0;
  for (const size_t groups :
       {size_t{1}, size_t{4}, SessionPositions::kMaxGroups}) {
    const std::string at = "_" + std::to_string(groups) + "_groups";
    const SessionPositions positions = Positions(groups);
    const std::string token = codec.Encode(positions);
    std::vector<double> encode;
    std::vector<double> decode;
    for (size_t round = 0; round < kRounds; ++round) {
      const double begin = ProcessorSeconds();
      size_t length = 0;
      for (size_t index = 0; index < kTokens; ++index)
        length += codec.Encode(positions).size();
      VERIFY(length == kTokens * token.size());
      const double middle = ProcessorSeconds();
      for (size_t index = 0; index < kTokens; ++index) {
        const auto decoded = codec.Decode(token);
        read += decoded && decoded.value() == positions ? 1 : 0;
      }
      encode.push_back((middle - begin) / kTokens);
      decode.push_back((ProcessorSeconds() - middle) / kTokens);
    }
    report.AddUnbounded("session_token_length" + at,
                        static_cast<double>(token.size()), "bytes");
    report.AddUnbounded("session_token_write" + at,
                        Median(encode) * kMicroseconds, "us");
    report.AddUnbounded("session_token_read_and_compare" + at,
                        Median(decode) * kMicroseconds, "us");
  }
  report.Add("session_tokens_read", static_cast<double>(read),
             BoundKind::kAtLeast, 3.0 * kRounds * kTokens, "tokens");
}

// Failover machines of groups whose instances answer every probe at once.
// Thread safety: not thread-safe.
class IdleGroups {
 public:
  explicit IdleGroups(size_t groups) {
    m_machines.reserve(groups);
    for (size_t group = 0; group < groups; ++group) {
      GroupRecord record;
      record.group = GroupName("group-" + std::to_string(group));
      record.term = Term{1};
      record.history = {{Term{1}, LogPosition{1}}};
      for (const char* suffix : {"-0", "-1", "-2"})
        record.instances.emplace_back(record.group.value() + suffix);
      record.primary = record.instances.front();
      failover::FailoverSettings settings;
      settings.group = record.group;
      settings.self = VmName("vm-0");
      settings.zone = ZoneName("zone-0");
      settings.instances = record.instances;
      settings.seed = group + 1;
      m_machines.emplace_back(settings, m_now);
      // Nine holders: three in each zone of the group's instances.
      failover::failover_event::PeersChanged peers;
      for (size_t peer = 0; peer < 9; ++peer)
        peers.peers.push_back({VmName("vm-" + std::to_string(peer)),
                               ZoneName("zone-" + std::to_string(peer % 3))});
      Handle(group, peers);
      Handle(group,
             failover::failover_event::RecordSeen{{ObjectVersion{1}, record}});
    }
  }

  void Run(Duration time) {
    const TimePoint end = m_now + time;
    while (!m_queue.empty() && m_queue.top().first <= end) {
      const auto [at, group] = m_queue.top();
      m_queue.pop();
      if (at != m_machines[group].next_wakeup())
        continue;
      m_now = at;
      Handle(group, failover::failover_event::TimerFired{});
    }
    m_now = end;
  }

  uint64_t probes() const { return m_probes; }
  size_t steady() const {
    return static_cast<size_t>(std::count_if(
        m_machines.begin(), m_machines.end(),
        [](const auto& machine) { return machine.state() == "steady"; }));
  }

 private:
  using Wakeup = std::pair<TimePoint, size_t>;

  void Handle(size_t group, const failover::FailoverEvent& event) {
    std::vector<failover::FailoverEvent> events = {event};
    while (!events.empty()) {
      const failover::FailoverEvent next = std::move(events.back());
      events.pop_back();
      for (const auto& effect : m_machines[group].Handle(next, m_now)) {
        const auto* probe =
            std::get_if<failover::failover_effect::SendProbe>(&effect);
        if (probe == nullptr)
          continue;
        ++m_probes;
        const bool primary = probe->instance.value().ends_with("-0");
        const InstanceReport answer{Term{1}, Term{1}, LogPosition{1}, primary};
        events.emplace_back(failover::failover_event::ProbeEnded{
            probe->call, failover::CallOutcome::kAnswered, answer});
      }
    }
    m_queue.emplace(m_machines[group].next_wakeup(), group);
  }

  TimePoint m_now{std::chrono::seconds(1'000)};
  std::vector<failover::FailoverMachine> m_machines;
  std::priority_queue<Wakeup, std::vector<Wakeup>, std::greater<>> m_queue;
  uint64_t m_probes = 0;
};

void MeasureFailover(BenchmarkReport& report) {
  constexpr Duration kSettle = std::chrono::seconds(2);
  constexpr Duration kWindow = std::chrono::seconds(20);
  for (const size_t groups : {10, 40, 500, 5'000}) {
    const std::string at = "_" + std::to_string(groups) + "_groups";
    const double before = UsedBytes();
    IdleGroups idle(groups);
    idle.Run(kSettle);
    const auto count = static_cast<double>(groups);
    const double bytes = UsedBytes() - before;
    const uint64_t probes = idle.probes();
    const double begin = ProcessorSeconds();
    idle.Run(kWindow);
    const double seconds = std::chrono::duration<double>(kWindow).count();
    report.AddUnbounded("failover_machine_memory" + at, bytes / count,
                        "bytes/group");
    report.AddUnbounded(
        "failover_machine_processor" + at,
        (ProcessorSeconds() - begin) / seconds / count * kMicroseconds,
        "us/s/group");
    report.AddUnbounded(
        "failover_machine_probes" + at,
        static_cast<double>(idle.probes() - probes) / seconds / count,
        "1/s/group");
    report.Add("failover_machines_steady" + at,
               static_cast<double>(idle.steady()), BoundKind::kAtLeast, count,
               "groups");
  }
}

int Run() {
  BenchmarkReport report;
  MeasureTokens(report);
  MeasureFailover(report);
  return report.exit_code();
}

}  // namespace
}  // namespace jackdawturn

int main() {
  return jackdawturn::Run();
}
