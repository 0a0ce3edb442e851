#include "proxy/proxy_machine.h"

#include <algorithm>
#include <utility>

namespace jackdawturn::proxy {

namespace {
constexpr const char* kTargetsKey = "targets";
constexpr std::string_view kGroupsPrefix = "groups/";
}  // namespace

Result<std::unique_ptr<ProxyMachine>> ProxyMachine::Create(
    ProxyOptions options) {
  std::unique_ptr<ProxyMachine> machine(new ProxyMachine(std::move(options)));
  TRY(machine->CreateParts());
  return machine;
}

ProxyMachine::ProxyMachine(ProxyOptions options)
    : m_options(std::move(options)),
      m_context(m_options),
      m_drain(m_options.drain) {}

Result<void> ProxyMachine::CreateParts() {
  TRY(auto codec, SessionTokenCodec::Create(m_options.token_keys));
  m_groups = std::make_unique<GroupHost>(m_context, m_options, GroupHooks());
  m_routing =
      std::make_unique<RoutingHost>(m_context, m_options, RoutingHooks());
  TRY(m_fleet, FleetHost::Create(m_context, m_options, FleetHooks()));
  m_requests =
      std::make_unique<RequestHost>(m_context, m_options, std::move(codec),
                                    *m_groups, *m_routing, RequestHooks());
  m_relay = std::make_unique<RelayHost>(m_context, m_options, RelayHooks());
  m_operators = std::make_unique<OperatorHost>(m_context, m_options, *m_groups,
                                               *m_fleet, *m_routing);
  m_retention = std::make_unique<RetentionHost>(
      m_context, m_options, *m_groups,
      [this](const GroupName& group) { return m_fleet->FirstHolder(group); });
  return Success();
}

GroupHost::Hooks ProxyMachine::GroupHooks() {
  return {
      [this](const GroupName& group) { GroupChanged(group); },
      [this](const VmName& to, std::string bytes) {
        m_fleet->SendGroupMessage(to, std::move(bytes));
      },
      [this](const std::string& key, const failover::VersionedRecord& record) {
        m_fleet->LocalObjectUpdate(
            {key, record.version, failover::GroupRecordToJson(record.record)});
      }};
}

RoutingHost::Hooks ProxyMachine::RoutingHooks() {
  return {[this](const GroupName& group, const InstanceName& instance,
                 const Result<InstanceReport>& result, Duration round_trip) {
            m_groups->RecordCallOutcome(group, instance, result, round_trip);
          },
          [this](const InstanceName& instance, routing::OpenOutcome outcome) {
            switch (outcome) {
              case routing::OpenOutcome::kOpened:
                return m_fleet->ConnectionChanged(
                    fleet::ConnectionOpened{instance});
              case routing::OpenOutcome::kRefused:
                return m_fleet->ConnectionChanged(fleet::OpenRefused{instance});
              case routing::OpenOutcome::kFailed:
                return m_fleet->ConnectionChanged(fleet::OpenFailed{instance});
            }
          },
          [this](const InstanceName& instance, bool was_open) {
            if (was_open)
              m_fleet->ConnectionChanged(fleet::ConnectionClosed{instance});
            else
              m_fleet->ConnectionChanged(fleet::OpenFailed{instance});
          },
          [this](const InstanceName& instance,
                 routing::PoolConnectionId connection) {
            m_requests->ConnectionLost(instance, connection);
          }};
}

RequestHost::Hooks ProxyMachine::RequestHooks() {
  return {[this](const ClassName& name) -> ClassTargetPtr {
            const auto found = m_classes.find(name);
            return found == m_classes.end() ? nullptr : found->second;
          },
          [this] { return m_targets && m_fleet->caught_up(); },
          [this](AnswerCaller answer) { m_relay->Answered(std::move(answer)); },
          [this] { m_work_changed = true; }};
}

RelayHost::Hooks ProxyMachine::RelayHooks() {
  return {[this] { return m_targets && m_fleet->caught_up(); },
          [this] { return m_requests->draining(); },
          [this](const GroupName& group) { return m_groups->Knows(group); },
          [this](const GroupName& group) { return m_fleet->MustRelay(group); },
          [this](const GroupName& group, uint64_t spread) {
            return m_fleet->SelectNextHop(group, spread);
          },
          [this](const VmName& vm) { return m_fleet->RelayAddress(vm); },
          [this](const GroupName& group, const VmName& holder) {
            m_fleet->HolderLearned(group, holder);
          },
          [this](const CallerRequestReceived& event) { m_requests->On(event); },
          [this] { m_work_changed = true; }};
}

FleetHost::Hooks ProxyMachine::FleetHooks() {
  return {
      [this](const targets::SpreadObject& object) { VersionInForce(object); },
      [this](const VmName& from, const std::string& bytes) {
        m_groups->MessageArrived(from, bytes);
      },
      [this](const std::vector<failover::FailoverPeer>& peers) {
        m_groups->PeersChanged(peers);
      },
      [this](const InstanceName& instance) {
        m_groups->InstanceLeaving(instance);
      },
      [this](const InstanceName& instance) {
        for (const ServedGroup& group : m_options.groups) {
          for (const ServedInstance& item : group.instances) {
            if (item.name == instance)
              GroupChanged(group.name);
          }
        }
      },
      [this] { UpdateReady(); },
      [this](const targets::SurveyResult& result) { m_operators->On(result); }};
}

std::vector<Effect> ProxyMachine::Start(TimePoint now) {
  m_context.SetNow(now);
  m_context.RecordTimelineEvent(EventKind::kProcess, GroupName(), RequestId(),
                                "started", "");
  m_groups->Start();
  m_fleet->Start();
  m_fleet->HandleConnections();
  m_retention->Start();
  return m_context.TakeEffects();
}

std::vector<Effect> ProxyMachine::Handle(const Event& event, TimePoint now) {
  m_context.SetNow(now);
  std::visit([this](const auto& item) { On(item); }, event);
  m_fleet->HandleConnections();
  if (m_work_changed)
    ReportWork();
  ReportConnectionCount();
  return m_context.TakeEffects();
}

void ProxyMachine::On(const TimePassed&) {
  m_fleet->OnTime();
  m_groups->OnTime();
  if (const auto wakeup = m_routing->NextWakeup();
      wakeup && *wakeup <= m_context.now())
    m_routing->OnTime();
  m_requests->OnTime();
  m_operators->OnTime();
  m_retention->OnTime();
  if (m_drain.NextWakeup() <= m_context.now())
    ApplyDrainEffects(m_drain.OnTime(m_context.now()));
}

std::optional<TimePoint> ProxyMachine::NextWakeup() const {
  std::optional<TimePoint> next;
  for (const auto& wakeup :
       {m_fleet->NextWakeup(), m_groups->NextWakeup(), m_routing->NextWakeup(),
        m_requests->NextWakeup(), m_operators->NextWakeup(),
        m_retention->NextWakeup(), std::optional(m_drain.NextWakeup())}) {
    if (wakeup && (!next || *wakeup < *next))
      next = wakeup;
  }
  return next;
}

// Passes the current state of a group to the routing and the requests.
void ProxyMachine::GroupChanged(const GroupName& group) {
  const ServedGroup* served = m_groups->Served(group);
  const GroupRecord* steady = m_groups->Steady(group);
  const GroupRecord* record = m_groups->Record(group);
  if (served == nullptr || steady == nullptr || record == nullptr)
    return;
  routing::GroupChanged changed;
  changed.group = group;
  changed.term = steady->term;
  if (record->phase == GroupPhase::kSteady)
    changed.primary = steady->primary;
  for (const ServedInstance& instance : served->instances)
    changed.instances.push_back({instance.name, instance.zone,
                                 m_groups->Leaving(instance.name),
                                 m_fleet->ConnectionAllowance(instance.name)});
  m_routing->Route(changed);
  for (const ServedInstance& instance : served->instances)
    m_routing->Route(
        routing::InstanceHealthChanged{group, instance.name,
                                       m_groups->Readable(group, instance.name)
                                           ? routing::InstanceHealth::kHealthy
                                           : routing::InstanceHealth::kDown});
  m_requests->GroupChanged(group);
  UpdateReady();
}

void ProxyMachine::VersionInForce(const targets::SpreadObject& object) {
  if (object.key == kTargetsKey)
    ApplyTargets(object);
  else if (object.key.starts_with(kGroupsPrefix))
    m_groups->RecordSeen(object.value, object.version);
}

void ProxyMachine::ApplyTargets(const targets::SpreadObject& object) {
  auto parsed = targets::ReadTargets(object.version, object.value);
  if (!parsed) {
    m_context.RecordTimelineEvent(
        EventKind::kTargets, GroupName(), RequestId(), "refused", "",
        {{std::string(kReasonField), parsed.error().message}});
    return;
  }
  m_targets = std::move(parsed).value();
  // Requests in progress keep the targets that they started with.
  m_classes.clear();
  for (const auto& [name, target] : m_targets->classes)
    m_classes[name] =
        std::make_shared<routing::NamedClassTarget>(routing::NamedClassTarget{
            name, target.allowed_age, target.answer_time, target.repeatable});
  m_operators->TargetsChanged(&*m_targets);
  m_context.RecordTimelineEvent(
      EventKind::kTargets, GroupName(), RequestId(), "in_force", "",
      {{"version", std::to_string(object.version.value)},
       {"change", m_targets->change.value()}});
  UpdateReady();
}

void ProxyMachine::UpdateReady() {
  const bool ready = m_targets && m_fleet->caught_up() &&
                     m_drain.state() == fleet::DrainState::kServing;
  if (ready == m_ready)
    return;
  m_ready = ready;
  m_context.Emit(SetReady{ready});
  m_context.RecordTimelineEvent(EventKind::kProcess, GroupName(), RequestId(),
                                ready ? "ready" : "not_ready", "");
}

void ProxyMachine::On(const OperatorRequestReceived& event) {
  if (event.action != OperatorAction::kDrain)
    return m_operators->On(event);
  if (m_drain.state() == fleet::DrainState::kServing) {
    m_reported_connections = m_fleet->open_connections();
    ApplyDrainEffects(
        m_drain.Handle(fleet::ConnectionCountChanged{m_reported_connections},
                       m_context.now()));
  }
  ApplyDrainEffects(
      m_drain.Handle(fleet::DrainRequested{"operator"}, m_context.now()));
  m_work_changed = true;
  if (event.call.value != 0)
    m_context.Emit(
        AnswerOperator{event.call, {kHttpOk, R"({"outcome":"draining"})"}});
}

// Reports the connection count to the drain. Called after every event, because
// the drain both closes connections and waits for the last one to close.
void ProxyMachine::ReportConnectionCount() {
  m_fleet->HandleConnections();
  const size_t connections = m_fleet->open_connections();
  if (m_drain.state() == fleet::DrainState::kServing ||
      connections == m_reported_connections)
    return;
  m_reported_connections = connections;
  ApplyDrainEffects(m_drain.Handle(fleet::ConnectionCountChanged{connections},
                                   m_context.now()));
}

void ProxyMachine::ReportWork() {
  m_work_changed = false;
  if (m_drain.state() == fleet::DrainState::kServing)
    return;
  ApplyDrainEffects(m_drain.Handle(
      fleet::WorkChanged{m_requests->requests() + m_relay->requests(),
                         m_requests->transactions()},
      m_context.now()));
}

void ProxyMachine::ApplyDrainEffects(
    const std::vector<fleet::DrainEffect>& effects) {
  for (const fleet::DrainEffect& effect : effects) {
    std::visit(
        Overloaded{
            [&](const fleet::StopBeingReady&) {
              m_context.Emit(CloseAfterAnswers{});
              UpdateReady();
            },
            [&](const fleet::RefuseTransactions&) { m_requests->BeginDrain(); },
            [&](const fleet::PublishLeaving&) { m_fleet->AnnounceLeaving(); },
            [&](const fleet::StopAccepting&) {
              m_context.Emit(StopAccepting{});
            },
            // No action is needed: requests end at their deadlines and
            // transactions at their limits, which the settings keep within the
            // limit of the drain.
            [&](const fleet::EndRemainingWork&) {},
            [&](const fleet::CloseAllConnections&) {
              m_fleet->CloseAllConnections();
            },
            [&](const fleet::PublishLeft&) { m_fleet->AnnounceLeft(); },
            [&](const fleet::ExitProcess& exit) {
              m_context.RecordTimelineEvent(EventKind::kProcess, GroupName(),
                                            RequestId(), "stopped", "");
              m_context.Emit(proxy::ExitProcess{exit.code});
            }},
        effect);
  }
}

}  // namespace jackdawturn::proxy
