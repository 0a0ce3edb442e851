#include "routing/group_router.h"

#include <algorithm>

namespace jackdawturn::routing {

namespace {

template <typename T>
void PrefetchAll(const T* object) {
  constexpr size_t kLine = 64;
  const char* const begin = reinterpret_cast<const char*>(object);
  for (size_t offset = 0; offset < sizeof(T); offset += kLine)
    __builtin_prefetch(begin + offset);
}

}  // namespace

GroupRouter::GroupRouter(GroupName name, RoutingMachine& owner)
    : m_name(std::move(name)),
      m_owner(owner),
      m_options(owner.m_options),
      m_freshness(owner.m_options.freshness),
      m_retries(owner.m_options.retries),
      m_hedges(owner.m_options.hedges),
      m_tables(*owner.m_tables) {}

GroupRouter::TrackedRequest* GroupRouter::Find(uint64_t key) {
  const auto found = m_tables.tracked_requests.find(key);
  return found == m_tables.tracked_requests.end() ||
                 found->second->group != this
             ? nullptr
             : found->second.get();
}

GroupRouter::TrackedRequest* GroupRouter::Find(const RequestId& request) {
  const auto found = m_tables.keys.find(request);
  return found == m_tables.keys.end() ? nullptr : Find(found->second);
}

GroupRouter::Instance* GroupRouter::FindInstance(
    const InstanceName& name) const {
  for (const auto& instance : m_instances) {
    if (instance->view.name == name)
      return instance.get();
  }
  return nullptr;
}

GroupRouter::Instance* GroupRouter::FindInstance(
    PoolConnectionId connection) const {
  for (const auto& instance : m_instances) {
    if (instance->pool.StateOf(connection) != ConnectionState::kClosed)
      return instance.get();
  }
  return nullptr;
}

bool GroupRouter::IsPrimary(const Instance& instance) const {
  return &instance == m_primary_instance;
}

bool GroupRouter::CanWork(const Instance& instance) const {
  return instance.listed && !instance.view.leaving &&
         instance.health != InstanceHealth::kDown && !instance.pool.stalled();
}

GroupRouter::Instance* GroupRouter::UsablePrimary() const {
  return m_primary_instance != nullptr && !m_primary_replaced &&
                 CanWork(*m_primary_instance)
             ? m_primary_instance
             : nullptr;
}

bool GroupRouter::IsRead(const TrackedRequest& tracked) {
  return tracked.request.operation == Operation::kRead;
}

bool GroupRouter::AcceptsAge(const TrackedRequest& tracked) {
  return IsRead(tracked) && tracked.request.target->allowed_age.has_value();
}

void GroupRouter::Change(const GroupChanged& event, Turn& turn) {
  const bool other_primary =
      event.term != m_term || event.primary != m_primary || m_primary_replaced;
  m_term = event.term;
  m_primary = event.primary;
  m_primary_replaced = false;
  m_freshness.SetTerm(event.term, event.primary, event.instances.size());
  for (const auto& instance : m_instances)
    instance->listed = false;
  for (const InstanceView& view : event.instances) {
    Instance* known = FindInstance(view.name);
    if (known == nullptr) {
      m_instances.push_back(std::make_unique<Instance>(view, m_options, [this] {
        return m_owner.m_last_connection = m_owner.m_last_connection.Next();
      }));
      known = m_instances.back().get();
    }
    known->view = view;
    known->listed = true;
  }
  m_primary_instance = m_primary.empty() ? nullptr : FindInstance(m_primary);
  for (const auto& instance : m_instances) {
    std::vector<PoolEffect> pool_effects;
    instance->pool.SetShare(
        instance->listed ? instance->view.connection_share : 0, pool_effects);
    ApplyPool(*instance, pool_effects, turn);
    if (other_primary || !CanWork(*instance))
      Requeue(*instance, turn);
  }
  Settle(turn);
  DispatchAll(turn);
  RemoveUnlisted();
}

void GroupRouter::RemoveUnlisted() {
  const auto gone = [&](const auto& instance) {
    if (instance->listed || instance->pool.size() != 0)
      return false;
    m_freshness.Remove(instance->view.name);
    if (m_primary_instance == instance.get())
      m_primary_instance = nullptr;
    for (auto& [key, tracked] : m_tables.tracked_requests) {
      if (tracked->avoid == instance.get())
        tracked->avoid = nullptr;
    }
    return true;
  };
  m_instances.erase(
      std::remove_if(m_instances.begin(), m_instances.end(), gone),
      m_instances.end());
}

void GroupRouter::SetHealth(const InstanceHealthChanged& event, Turn& turn) {
  Instance* instance = FindInstance(event.instance);
  if (instance == nullptr)
    return;
  instance->health = event.health;
  if (!CanWork(*instance))
    Requeue(*instance, turn);
  Settle(turn);
  Dispatch(*instance, turn);
}

void GroupRouter::Requeue(Instance& instance, Turn& turn) {
  for (const QueuedRequest& queued : instance.queue.Clear()) {
    TrackedRequest& tracked = *Find(queued.key);
    tracked.queued_at = nullptr;
    Route(tracked, turn);
  }
}

void GroupRouter::Arrive(const RoutedRequest& request, Turn& turn) {
  ++m_owner.m_counts.arrived;
  auto owned = std::make_unique<TrackedRequest>();
  m_freshness.Prefetch();
  TrackedRequest& tracked = *owned;
  tracked.key = ++m_tables.last_key;
  tracked.group = this;
  tracked.request = request;
  tracked.arrived = turn.now;
  tracked.due = turn.now + request.target->answer_time;
  tracked.deadline = std::min(request.deadline, tracked.due);
  tracked.class_hash = Hash64(request.target->name.value());
  tracked.caller_hash = Hash64(request.caller.value());
  tracked.wake = tracked.deadline;
  m_tables.tracked_requests.emplace(tracked.key, std::move(owned));
  m_tables.keys.emplace(request.id, tracked.key);
  m_wakes.emplace(tracked.wake, tracked.key);
  for (const auto& instance : m_instances)
    instance->pool.Prefetch();
  const auto refusal = m_owner.TakePlace(tracked.class_hash,
                                         tracked.caller_hash, ++m_in_progress);
  if (tracked.deadline <= turn.now)
    Refuse(tracked, RefusalReason::kDeadline, turn);
  else if (refusal)
    Refuse(tracked, *refusal, turn);
  else
    Route(tracked, turn);
}

void GroupRouter::Prefetch() const {
  // With thousands of groups, the state of one is rarely in the processor's
  // caches. Its parts are fetched together instead of one after the other.
  PrefetchAll(this);
  for (const auto& instance : m_instances)
    PrefetchAll(instance.get());
}

void GroupRouter::Abandon(const RequestId& request, Turn& turn) {
  TrackedRequest* tracked = Find(request);
  if (tracked == nullptr)
    return;
  tracked->abandoned = true;
  const Operation operation = tracked->request.operation;
  const bool may_have_run =
      tracked->outcome_unknown || !tracked->attempts.empty();
  if (operation == Operation::kRead || operation == Operation::kBegin ||
      !may_have_run)
    Remove(*tracked, turn);
}

void GroupRouter::Report(const ReportArrived& event, Turn& turn) {
  Instance* instance = FindInstance(event.instance);
  if (instance == nullptr)
    return;
  if (event.connection == PoolConnectionId()) {
    instance->pool.InstanceAnswered(event.asked_at, turn.now);
  } else {
    std::vector<PoolEffect> pool_effects;
    instance->pool.ProbeAnswered(event.connection, turn.now, pool_effects);
    ApplyPool(*instance, pool_effects, turn);
  }
  if (instance->awaited && event.report.position >= *instance->awaited)
    instance->awaited.reset();
  m_freshness.Report(event.instance, event.report, event.asked_at);
  Settle(turn);
  Dispatch(*instance, turn);
}

void GroupRouter::Opened(const ConnectionOpened& event, Turn& turn) {
  Instance* instance = FindInstance(event.connection);
  if (instance == nullptr)
    return;
  instance->pool.Opened(event.connection, event.outcome, turn.now,
                        m_owner.m_random);
  instance->was_stalled = instance->was_stalled && instance->pool.stalled();
  Settle(turn);
  Dispatch(*instance, turn);
}

void GroupRouter::Lost(const ConnectionLost& event, Turn& turn) {
  Instance* instance = FindInstance(event.connection);
  if (instance == nullptr)
    return;
  if (instance->pool.Lost(event.connection))
    StatementLost(*instance, event.connection, turn);
  Dispatch(*instance, turn);
}

void GroupRouter::StatementLost(Instance& instance,
                                PoolConnectionId connection,
                                Turn& turn) {
  instance.limit.Lost();
  const auto found = m_tables.in_flight.find(connection);
  if (found == m_tables.in_flight.end())
    return;
  TrackedRequest* tracked = Find(found->second.key);
  m_tables.in_flight.erase(found);
  if (tracked != nullptr)
    AttemptLost(*tracked, connection, turn);
}

void GroupRouter::Released(const ConnectionReleased& event, Turn& turn) {
  Instance* instance = FindInstance(event.connection);
  if (instance == nullptr)
    return;
  std::vector<PoolEffect> pool_effects;
  instance->pool.Release(event.connection, event.clean, turn.now, pool_effects);
  ApplyPool(*instance, pool_effects, turn);
  Dispatch(*instance, turn);
}

void GroupRouter::ApplyPool(Instance& instance,
                            const std::vector<PoolEffect>& pool_effects,
                            Turn& turn) {
  for (const PoolEffect& effect : pool_effects) {
    if (const auto* open = std::get_if<PoolOpen>(&effect)) {
      turn.effects.emplace_back(
          OpenConnection{m_name, instance.view.name, open->connection});
    } else if (const auto* probe = std::get_if<PoolProbe>(&effect)) {
      turn.effects.emplace_back(AskReport{m_name, instance.view.name, turn.now,
                                          probe->connection, std::nullopt,
                                          Duration(0)});
    } else if (const auto* close = std::get_if<PoolClose>(&effect)) {
      turn.effects.emplace_back(
          CloseConnection{m_name, instance.view.name, close->connection});
      m_owner.m_counts.silent_connections += close->silent ? 1 : 0;
      if (close->was_running)
        StatementLost(instance, close->connection, turn);
    }
  }
}

void GroupRouter::Tick(Turn& turn) {
  bool recovered = false;
  for (const auto& instance : m_instances) {
    std::vector<PoolEffect> pool_effects;
    instance->pool.Tick(instance->limit.AnswerTime(turn.now), turn.now,
                        pool_effects);
    ApplyPool(*instance, pool_effects, turn);
    const bool stalled = instance->pool.stalled();
    if (stalled && !instance->was_stalled)
      Requeue(*instance, turn);
    recovered = recovered || (!stalled && instance->was_stalled);
    instance->was_stalled = stalled;
  }
  if (recovered)
    Settle(turn);
  while (!m_wakes.empty() && m_wakes.begin()->first <= turn.now) {
    TrackedRequest& tracked = *Find(m_wakes.begin()->second);
    if (turn.now >= tracked.deadline) {
      Expire(tracked, turn);
    } else if (tracked.stage == Stage::kWaiting ||
               tracked.stage == Stage::kBackingOff) {
      Route(tracked, turn);
    } else if (tracked.stage == Stage::kAwaitingConfirmation) {
      AskAll(true, turn);
      SetWake(tracked, turn.now + m_options.shortest_report_interval);
    } else {
      SetWake(tracked, tracked.deadline);
      if (tracked.stage == Stage::kSent)
        Hedge(tracked, turn);
    }
  }
  if (m_next_report && turn.now >= *m_next_report) {
    m_next_report.reset();
    if (turn.now - m_last_aged_read < m_options.report_linger)
      AskAll(false, turn);
    else
      m_smallest_age = Duration::max();
  }
  DispatchAll(turn);
  RemoveUnlisted();
}

void GroupRouter::Stop(Turn& turn) {
  while (!m_wakes.empty()) {
    TrackedRequest& tracked = *Find(m_wakes.begin()->second);
    tracked.reason = RefusalReason::kUnknownGroup;
    Expire(tracked, turn);
  }
  for (const auto& instance : m_instances) {
    std::vector<PoolEffect> pool_effects;
    instance->pool.CloseAll(pool_effects);
    ApplyPool(*instance, pool_effects, turn);
  }
}

std::optional<TimePoint> GroupRouter::NextWakeup(TimePoint now) const {
  std::optional<TimePoint> next;
  const auto consider = [&](std::optional<TimePoint> time) {
    if (time && (!next || *time < *next))
      next = time;
  };
  if (!m_wakes.empty())
    consider(m_wakes.begin()->first);
  consider(m_next_report);
  for (const auto& instance : m_instances) {
    consider(instance->pool.NextTick());
    if (!instance->queue.empty() && instance->pool.has_idle() &&
        CanWork(*instance))
      consider(instance->limit.NextSend(now));
  }
  return next;
}

std::vector<InstanceStatus> GroupRouter::Status(TimePoint now) const {
  std::vector<InstanceStatus> statuses;
  for (const auto& instance : m_instances) {
    InstanceStatus status;
    status.name = instance->view.name;
    status.primary = IsPrimary(*instance);
    status.leaving = instance->view.leaving || !instance->listed;
    status.stalled = instance->pool.stalled();
    status.health = instance->health;
    if (const auto covered = m_freshness.CoveredUntil(status.name);
        covered && !status.primary)
      status.age_bound = now - *covered;
    status.lag = m_freshness.Lag(status.name);
    status.waiting = instance->queue.size();
    status.in_progress = instance->limit.in_progress();
    status.open_connections = instance->pool.open_count();
    status.slot_limit = instance->limit.limit();
    statuses.push_back(std::move(status));
  }
  return statuses;
}

}  // namespace jackdawturn::routing
