#include "routing/group_router.h"

#include <algorithm>

namespace jackdawturn::routing {

namespace {

template <typename T>
void PrefetchAll(const T* object) {
  constexpr size_t kCacheLineBytes = 64;
  const char* const begin = reinterpret_cast<const char*>(object);
  for (size_t offset = 0; offset < sizeof(T); offset += kCacheLineBytes)
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

bool GroupRouter::IsAvailable(const Instance& instance) const {
  return instance.listed && !instance.view.leaving &&
         instance.health != InstanceHealth::kDown && !instance.pool.stalled();
}

GroupRouter::Instance* GroupRouter::UsablePrimary() const {
  return m_primary_instance != nullptr && !m_primary_replaced &&
                 IsAvailable(*m_primary_instance)
             ? m_primary_instance
             : nullptr;
}

bool GroupRouter::IsRead(const TrackedRequest& tracked) {
  return tracked.request.operation == Operation::kRead;
}

bool GroupRouter::AllowsStaleRead(const TrackedRequest& tracked) {
  return IsRead(tracked) && tracked.request.target->allowed_age.has_value();
}

void GroupRouter::Change(const GroupChanged& event, EventContext& context) {
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
    ApplyPool(*instance, pool_effects, context);
    if (other_primary || !IsAvailable(*instance))
      Requeue(*instance, context);
  }
  ReevaluateWaiting(context);
  DispatchAll(context);
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

void GroupRouter::SetHealth(const InstanceHealthChanged& event,
                            EventContext& context) {
  Instance* instance = FindInstance(event.instance);
  if (instance == nullptr)
    return;
  instance->health = event.health;
  if (!IsAvailable(*instance))
    Requeue(*instance, context);
  ReevaluateWaiting(context);
  Dispatch(*instance, context);
}

void GroupRouter::Requeue(Instance& instance, EventContext& context) {
  for (const QueuedRequest& queued : instance.queue.Clear()) {
    TrackedRequest& tracked = *Find(queued.key);
    tracked.queued_at = nullptr;
    Route(tracked, context);
  }
}

void GroupRouter::Arrive(const RoutedRequest& request, EventContext& context) {
  ++m_owner.m_counts.arrived;
  auto owned = std::make_unique<TrackedRequest>();
  m_freshness.Prefetch();
  TrackedRequest& tracked = *owned;
  tracked.key = ++m_tables.last_key;
  tracked.group = this;
  tracked.request = request;
  tracked.arrived = context.now;
  tracked.due = context.now + request.target->answer_time;
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
  if (tracked.deadline <= context.now)
    Refuse(tracked, RefusalReason::kDeadline, context);
  else if (refusal)
    Refuse(tracked, *refusal, context);
  else
    Route(tracked, context);
}

void GroupRouter::Prefetch() const {
  // With thousands of groups, the state of one is rarely in the CPU caches. Its
  // parts are prefetched together instead of causing one cache miss after the
  // other.
  PrefetchAll(this);
  for (const auto& instance : m_instances)
    PrefetchAll(instance.get());
}

void GroupRouter::Abandon(const RequestId& request, EventContext& context) {
  TrackedRequest* tracked = Find(request);
  if (tracked == nullptr)
    return;
  tracked->abandoned = true;
  const Operation operation = tracked->request.operation;
  const bool may_have_run =
      tracked->outcome_unknown || !tracked->attempts.empty();
  if (operation == Operation::kRead || operation == Operation::kBegin ||
      !may_have_run)
    Remove(*tracked, context);
}

void GroupRouter::Report(const ReportArrived& event, EventContext& context) {
  Instance* instance = FindInstance(event.instance);
  if (instance == nullptr)
    return;
  if (event.connection == PoolConnectionId()) {
    instance->pool.InstanceAnswered(event.asked_at, context.now);
  } else {
    std::vector<PoolEffect> pool_effects;
    instance->pool.ProbeAnswered(event.connection, context.now, pool_effects);
    ApplyPool(*instance, pool_effects, context);
  }
  if (instance->awaited_position &&
      event.report.position >= *instance->awaited_position)
    instance->awaited_position.reset();
  m_freshness.Report(event.instance, event.report, event.asked_at);
  ReevaluateWaiting(context);
  Dispatch(*instance, context);
}

void GroupRouter::Opened(const ConnectionOpened& event, EventContext& context) {
  Instance* instance = FindInstance(event.connection);
  if (instance == nullptr)
    return;
  instance->pool.Opened(event.connection, event.outcome, context.now,
                        m_owner.m_random);
  instance->was_stalled = instance->was_stalled && instance->pool.stalled();
  ReevaluateWaiting(context);
  Dispatch(*instance, context);
}

void GroupRouter::Lost(const ConnectionLost& event, EventContext& context) {
  Instance* instance = FindInstance(event.connection);
  if (instance == nullptr)
    return;
  if (instance->pool.Lost(event.connection))
    StatementLost(*instance, event.connection, context);
  Dispatch(*instance, context);
}

void GroupRouter::StatementLost(Instance& instance,
                                PoolConnectionId connection,
                                EventContext& context) {
  instance.limit.Lost();
  const auto found = m_tables.in_flight.find(connection);
  if (found == m_tables.in_flight.end())
    return;
  TrackedRequest* tracked = Find(found->second.key);
  m_tables.in_flight.erase(found);
  if (tracked != nullptr)
    AttemptLost(*tracked, connection, context);
}

void GroupRouter::Released(const ConnectionReleased& event,
                           EventContext& context) {
  Instance* instance = FindInstance(event.connection);
  if (instance == nullptr)
    return;
  std::vector<PoolEffect> pool_effects;
  instance->pool.Release(event.connection, event.clean, context.now,
                         pool_effects);
  ApplyPool(*instance, pool_effects, context);
  Dispatch(*instance, context);
}

void GroupRouter::ApplyPool(Instance& instance,
                            const std::vector<PoolEffect>& pool_effects,
                            EventContext& context) {
  for (const PoolEffect& effect : pool_effects) {
    if (const auto* open = std::get_if<PoolOpen>(&effect)) {
      context.effects.emplace_back(
          OpenConnection{m_name, instance.view.name, open->connection});
    } else if (const auto* probe = std::get_if<PoolProbe>(&effect)) {
      context.effects.emplace_back(AskReport{m_name, instance.view.name,
                                             context.now, probe->connection,
                                             std::nullopt, Duration(0)});
    } else if (const auto* close = std::get_if<PoolClose>(&effect)) {
      context.effects.emplace_back(
          CloseConnection{m_name, instance.view.name, close->connection});
      m_owner.m_counts.silent_connections += close->silent ? 1 : 0;
      if (close->was_running)
        StatementLost(instance, close->connection, context);
    }
  }
}

void GroupRouter::Tick(EventContext& context) {
  bool recovered = false;
  for (const auto& instance : m_instances) {
    std::vector<PoolEffect> pool_effects;
    instance->pool.Tick(instance->limit.AnswerTime(context.now), context.now,
                        pool_effects);
    ApplyPool(*instance, pool_effects, context);
    const bool stalled = instance->pool.stalled();
    if (stalled && !instance->was_stalled)
      Requeue(*instance, context);
    recovered = recovered || (!stalled && instance->was_stalled);
    instance->was_stalled = stalled;
  }
  if (recovered)
    ReevaluateWaiting(context);
  while (!m_wakes.empty() && m_wakes.begin()->first <= context.now) {
    TrackedRequest& tracked = *Find(m_wakes.begin()->second);
    if (context.now >= tracked.deadline) {
      Expire(tracked, context);
    } else if (tracked.stage == Stage::kWaiting ||
               tracked.stage == Stage::kBackingOff) {
      Route(tracked, context);
    } else if (tracked.stage == Stage::kAwaitingConfirmation) {
      QueryReports(true, context);
      SetWake(tracked, context.now + m_options.shortest_report_interval);
    } else {
      SetWake(tracked, tracked.deadline);
      if (tracked.stage == Stage::kSent)
        Hedge(tracked, context);
    }
  }
  if (m_next_report && context.now >= *m_next_report) {
    m_next_report.reset();
    if (context.now - m_last_stale_read < m_options.report_linger)
      QueryReports(false, context);
    else
      m_min_allowed_age = Duration::max();
  }
  DispatchAll(context);
  RemoveUnlisted();
}

void GroupRouter::Stop(EventContext& context) {
  while (!m_wakes.empty()) {
    TrackedRequest& tracked = *Find(m_wakes.begin()->second);
    tracked.reason = RefusalReason::kUnknownGroup;
    Expire(tracked, context);
  }
  for (const auto& instance : m_instances) {
    std::vector<PoolEffect> pool_effects;
    instance->pool.CloseAll(pool_effects);
    ApplyPool(*instance, pool_effects, context);
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
        IsAvailable(*instance))
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
