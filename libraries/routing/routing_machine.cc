#include "routing/routing_machine.h"

#include <algorithm>
#include <functional>
#include <type_traits>

#include "routing/group_router.h"

namespace jackdawturn::routing {

namespace {

// Prevents a group that was just woken from being woken again at the same time.
constexpr Duration kMinSleep{1};
// Stale wake-ups are removed when there are more wake-ups than this per group.
constexpr size_t kMaxWakeupsPerGroup = 8;

}  // namespace

RoutingMachine::RoutingMachine(RoutingOptions options, uint64_t seed)
    : m_options(std::move(options)),
      m_random(seed),
      m_tables(std::make_unique<RoutingTables>()) {
  // Aborts now, not when the first group is configured, if the chart does not
  // match the code.
  ConnectionChart();
}

RoutingMachine::~RoutingMachine() = default;

RoutingEffects RoutingMachine::Handle(const RoutingEvent& event,
                                      TimePoint now) {
  RoutingEffects effects;
  HandleEvent(event, now, effects);
  return effects;
}

void RoutingMachine::HandleEvent(const RoutingEvent& event,
                                 TimePoint now,
                                 RoutingEffects& effects) {
  if (std::holds_alternative<TimePassed>(event)) {
    Wake(now, effects);
    return;
  }
  const GroupName& name = std::visit(
      [](const auto& e) -> const GroupName& {
        using Event = std::decay_t<decltype(e)>;
        static const GroupName no_group;
        if constexpr (std::is_same_v<Event, TimePassed>)
          return no_group;
        else if constexpr (std::is_same_v<Event, RequestArrived>)
          return e.request.group;
        else
          return e.group;
      },
      event);
  auto found = m_groups.find(name);
  if (found == m_groups.end()) {
    if (const auto* arrived = std::get_if<RequestArrived>(&event)) {
      ++m_counts.arrived;
      ++m_counts.refused;
      effects.emplace_back(RefuseRequest{name, arrived->request.id,
                                         RefusalReason::kUnknownGroup,
                                         m_options.retry_back_off.longest});
    }
    if (!std::holds_alternative<GroupChanged>(event))
      return;
    found = m_groups.emplace(name, std::make_unique<GroupRouter>(name, *this))
                .first;
  }
  GroupRouter& group = *found->second;
  group.Prefetch();
  if (std::holds_alternative<GroupRemoved>(event)) {
    GroupRouter::EventContext context{now, effects};
    group.Stop(context);
    m_groups.erase(found);
    RebuildWakeups();
    return;
  }
  Dispatch(group, event, now, effects);
  Schedule(group, now);
}

void RoutingMachine::Dispatch(GroupRouter& group,
                              const RoutingEvent& event,
                              TimePoint now,
                              RoutingEffects& effects) {
  GroupRouter::EventContext context{now, effects};
  if (const auto* changed = std::get_if<GroupChanged>(&event))
    group.Change(*changed, context);
  else if (const auto* health = std::get_if<InstanceHealthChanged>(&event))
    group.SetHealth(*health, context);
  else if (const auto* arrived = std::get_if<RequestArrived>(&event))
    group.Arrive(arrived->request, context);
  else if (const auto* disconnected = std::get_if<CallerDisconnected>(&event))
    group.Abandon(disconnected->request, context);
  else if (const auto* answered = std::get_if<StatementAnswered>(&event))
    group.Answer(*answered, context);
  else if (const auto* report = std::get_if<ReportArrived>(&event))
    group.Report(*report, context);
  else if (const auto* opened = std::get_if<ConnectionOpened>(&event))
    group.Opened(*opened, context);
  else if (const auto* lost = std::get_if<ConnectionLost>(&event))
    group.Lost(*lost, context);
  else if (const auto* released = std::get_if<ConnectionReleased>(&event))
    group.Released(*released, context);
}

void RoutingMachine::Schedule(GroupRouter& group, TimePoint soonest) {
  auto next = group.NextWakeup(soonest);
  if (next)
    next = std::max(*next, soonest);
  if (!next || (group.scheduled && *group.scheduled <= *next))
    return;
  group.scheduled = next;
  m_wakeups.emplace_back(*next, &group);
  std::push_heap(m_wakeups.begin(), m_wakeups.end(), std::greater<>());
  if (m_wakeups.size() > kMaxWakeupsPerGroup * m_groups.size())
    RebuildWakeups();
}

void RoutingMachine::Wake(TimePoint now, RoutingEffects& effects) {
  GroupRouter::EventContext context{now, effects};
  while (!m_wakeups.empty() && m_wakeups.front().first <= now) {
    std::pop_heap(m_wakeups.begin(), m_wakeups.end(), std::greater<>());
    const auto [time, group] = m_wakeups.back();
    m_wakeups.pop_back();
    if (group->scheduled != time)
      continue;
    group->scheduled.reset();
    group->Tick(context);
    Schedule(*group, now + kMinSleep);
  }
}

void RoutingMachine::RebuildWakeups() {
  m_wakeups.clear();
  for (const auto& [name, group] : m_groups) {
    if (group->scheduled)
      m_wakeups.emplace_back(*group->scheduled, group.get());
  }
  std::make_heap(m_wakeups.begin(), m_wakeups.end(), std::greater<>());
}

std::optional<TimePoint> RoutingMachine::NextWakeup() const {
  if (m_wakeups.empty())
    return std::nullopt;
  return m_wakeups.front().first;
}

std::optional<RefusalReason> RoutingMachine::TakePlace(
    uint64_t class_hash,
    uint64_t caller_hash,
    size_t group_in_progress) {
  const auto share = [&](double part) {
    return static_cast<size_t>(static_cast<double>(m_options.max_in_progress) *
                               part);
  };
  ++m_in_progress;
  const size_t of_class = ++m_in_progress_by_class[class_hash];
  const size_t of_caller = ++m_in_progress_by_caller[caller_hash];
  if (m_in_progress > m_options.max_in_progress)
    return RefusalReason::kOverloaded;
  if (group_in_progress > share(m_options.group_share) ||
      of_class > share(m_options.admission.class_share) ||
      of_caller > share(m_options.admission.caller_share))
    return RefusalReason::kShareExceeded;
  return std::nullopt;
}

void RoutingMachine::ReturnPlace(uint64_t class_hash, uint64_t caller_hash) {
  --m_in_progress;
  if (--m_in_progress_by_class[class_hash] == 0)
    m_in_progress_by_class.erase(class_hash);
  if (--m_in_progress_by_caller[caller_hash] == 0)
    m_in_progress_by_caller.erase(caller_hash);
}

std::vector<InstanceStatus> RoutingMachine::Status(const GroupName& group,
                                                   TimePoint now) const {
  const auto found = m_groups.find(group);
  if (found == m_groups.end())
    return {};
  return found->second->Status(now);
}

}  // namespace jackdawturn::routing
