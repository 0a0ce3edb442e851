#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "routing/routing_world.h"

namespace jackdawturn::routing {

// One class in a mix and its share of the requests.
struct MixPart {
  std::shared_ptr<const NamedClassTarget> target;
  Operation operation = Operation::kRead;
  double share = 0;
};

inline MixPart Part(const char* name,
                    Operation operation,
                    double share,
                    std::optional<Duration> age,
                    Duration answer_time,
                    bool repeatable) {
  return {std::make_shared<const NamedClassTarget>(
              NamedClassTarget{ClassName(name), age, answer_time, repeatable}),
          operation, share};
}

// Submits a mix at random times (Poisson arrivals) to the proxies of a world,
// as sessions that read their own confirmed writes.
class MixedLoad {
 public:
  MixedLoad(RoutingWorld& world, std::vector<MixPart> mix, size_t sessions)
      : m_world(world), m_mix(std::move(mix)), m_sessions(sessions) {
    m_world.SetEnded([this](const RequestRecord& record) { Ended(record); });
  }

  // Submits `rate` requests a second for `time` and waits for their ends.
  void Run(double rate, Duration time) {
    m_gap = std::exponential_distribution<double>(rate / 1e6);
    m_end = m_world.now() + time;
    Next();
    m_world.scheduler().RunUntil(m_end + Duration(2'000'000));
  }

  // The part of the mix that a session submits at once, on a random proxy, when
  // its write was confirmed; empty for none.
  std::optional<MixPart> after_write;
  // The time that a request spends at a relaying proxy; empty for no relay. The
  // last hop may use this part of the answer time, and at most what is left.
  std::function<Duration(std::mt19937_64&)> hop_delay;
  double last_hop_part = 1;

 private:
  void Next() {
    m_world.scheduler().After(
        Duration(1 + static_cast<int64_t>(m_gap(m_world.random()))), [this] {
          if (m_world.now() >= m_end)
            return;
          Submit();
          Next();
        });
  }

  void Submit() {
    double at = std::uniform_real_distribution<double>(0, 1)(m_world.random());
    const MixPart* part = &m_mix.back();
    for (const MixPart& candidate : m_mix) {
      if (at < candidate.share) {
        part = &candidate;
        break;
      }
      at -= candidate.share;
    }
    SubmitPart(*part, m_world.random()() % m_sessions.size());
  }

  void SubmitPart(const MixPart& part, size_t session) {
    RoutedRequest request;
    request.target = part.target;
    request.operation = part.operation;
    request.caller = CallerName("caller-" + std::to_string(session));
    request.required = m_sessions[session];
    const Duration target = part.target->answer_time;
    const TimePoint end = m_world.now() + target;
    if (!hop_delay) {
      request.deadline = end;
      Send(std::move(request), session);
      return;
    }
    m_world.scheduler().After(
        hop_delay(m_world.random()), [this, request, session, target, end] {
          RoutedRequest relayed = request;
          const auto part_of_hop =
              std::chrono::duration_cast<Duration>(target * last_hop_part);
          relayed.deadline = std::min(end, m_world.now() + part_of_hop);
          Send(std::move(relayed), session);
        });
  }

  void Send(RoutedRequest request, size_t session) {
    const bool write = request.operation == Operation::kWrite;
    const size_t proxy = m_world.random()() % m_world.proxies();
    const RequestId id = m_world.Submit(proxy, std::move(request));
    if (m_world.records().at(id).ending == Ending::kOpen && write)
      m_session_of[id] = session;
  }

  void Ended(const RequestRecord& record) {
    const auto found = m_session_of.find(record.request.id);
    if (found == m_session_of.end())
      return;
    if (record.ending == Ending::kAnswered)
      Confirm(found->second, m_world.group().log().size());
    m_session_of.erase(found);
  }

  void Confirm(size_t session, size_t position) {
    const auto& entry = m_world.group().log()[position - 1];
    if (!entry.confirmed) {
      m_world.scheduler().After(ModelGroup::kTick, [this, session, position] {
        Confirm(session, position);
      });
      return;
    }
    m_sessions[session] = std::max(
        m_sessions[session], TermPosition{entry.term, LogPosition{position}});
    if (after_write)
      SubmitPart(*after_write, session);
  }

  RoutingWorld& m_world;
  std::vector<MixPart> m_mix;
  std::vector<TermPosition> m_sessions;
  std::map<RequestId, size_t> m_session_of;
  std::exponential_distribution<double> m_gap;
  TimePoint m_end;
};

// The sum of broken promises that the world's adapters saw.
inline double BrokenPromises(RoutingWorld& world) {
  uint64_t sum = 0;
  for (const auto& [promise, count] : world.broken())
    sum += count;
  return static_cast<double>(sum);
}

}  // namespace jackdawturn::routing
