#include "support/virtual_network.h"

namespace jackdawturn {

void VirtualScheduler::At(TimePoint time, std::function<void()> task) {
  m_tasks.push(Task{std::max(time, m_now), ++m_last_order, std::move(task)});
}

bool VirtualScheduler::RunNext() {
  if (m_tasks.empty())
    return false;
  const Task task = m_tasks.top();
  m_tasks.pop();
  m_now = task.time;
  task.run();
  return true;
}

void VirtualScheduler::RunUntil(TimePoint end) {
  while (!m_tasks.empty() && m_tasks.top().time <= end)
    RunNext();
  m_now = std::max(m_now, end);
}

void VirtualNetwork::Send(const std::string& from,
                          const std::string& to,
                          std::function<void()> deliver) {
  const bool lost =
      std::uniform_real_distribution<double>(0, 1)(m_random) < m_loss;
  if (lost || m_cuts.count({from, to}) != 0 || !IsUp(from) || !IsUp(to))
    return;
  const uint64_t life = m_lives[to];
  m_scheduler.After(m_latency(from, to, m_random),
                    [this, from, to, life, deliver = std::move(deliver)] {
                      if (m_cuts.count({from, to}) == 0)
                        RunAt(to, life, deliver);
                    });
}

void VirtualNetwork::After(const std::string& node,
                           Duration delay,
                           std::function<void()> task) {
  const uint64_t life = m_lives[node];
  m_scheduler.After(delay, [this, node, life, task = std::move(task)] {
    RunAt(node, life, task);
  });
}

void VirtualNetwork::RunAt(const std::string& node,
                           uint64_t life,
                           std::function<void()> task) {
  const auto processing = m_processing.find(node);
  if (processing == m_processing.end() || processing->second == Duration(0))
    return RunNow(node, life, std::move(task));
  TimePoint& busy_until = m_busy_until[node];
  busy_until = std::max(busy_until, m_scheduler.now()) + processing->second;
  m_scheduler.At(busy_until, [this, node, life, task = std::move(task)] {
    RunNow(node, life, task);
  });
}

void VirtualNetwork::RunNow(const std::string& node,
                            uint64_t life,
                            std::function<void()> task) {
  if (!IsUp(node) || m_lives[node] != life)
    return;
  if (m_paused.count(node) != 0)
    m_held[node].push_back(std::move(task));
  else
    task();
}

void VirtualNetwork::Cut(const std::string& from, const std::string& to) {
  m_cuts.insert({from, to});
}

void VirtualNetwork::Heal(const std::string& from, const std::string& to) {
  m_cuts.erase({from, to});
}

void VirtualNetwork::Crash(const std::string& node) {
  m_crashed.insert(node);
  ++m_lives[node];
  m_held.erase(node);
  m_paused.erase(node);
  m_busy_until.erase(node);
}

void VirtualNetwork::Resume(const std::string& node) {
  m_paused.erase(node);
  const auto held = std::exchange(m_held[node], {});
  const uint64_t life = m_lives[node];
  for (const auto& task : held)
    RunAt(node, life, task);
}

}  // namespace jackdawturn
