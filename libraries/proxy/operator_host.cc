#include "proxy/operator_host.h"

#include <utility>

#include <boost/json.hpp>

namespace jackdawturn::proxy {

namespace json = boost::json;

namespace {

constexpr Duration kPlatformTimeout = std::chrono::milliseconds(500);

json::object ErrorToJson(const Error& error) {
  return {{"code", ToString(error.code)},
          {"step", error.step},
          {"peer", error.peer},
          {"message", error.message}};
}

std::string ErrorBody(const Error& error) {
  return json::serialize(ErrorToJson(error));
}

json::object InstanceToJson(const failover::InstanceFailoverStatus& instance) {
  json::object object{{"name", instance.instance.value()},
                      {"lag_entries", instance.lag},
                      {"suspicion", instance.suspicion},
                      {"readable", instance.readable}};
  if (instance.report) {
    object["report"] = ToJson(*instance.report);
    object["report_age_ms"] = ToMilliseconds(instance.report_age);
  }
  return object;
}

json::object RoutingToJson(const routing::InstanceStatus& status) {
  json::object object{{"name", status.name.value()},
                      {"leaving", status.leaving},
                      {"stalled", status.stalled},
                      {"health", routing::ToString(status.health)},
                      {"waiting", status.waiting},
                      {"in_progress", status.in_progress},
                      {"open_connections", status.open_connections}};
  if (status.age_bound)
    object["age_bound_ms"] = ToMilliseconds(*status.age_bound);
  return object;
}

}  // namespace

OperatorHost::OperatorHost(ProxyContext& context,
                           const ProxyOptions& options,
                           GroupHost& groups,
                           FleetHost& fleet,
                           RoutingHost& routing)
    : m_context(context),
      m_options(options),
      m_groups(groups),
      m_fleet(fleet),
      m_routing(routing) {}

void OperatorHost::Answer(OperatorRequestNumber call,
                          unsigned status,
                          std::string body) {
  m_context.Emit(AnswerOperator{call, {status, std::move(body)}});
}

void OperatorHost::On(const OperatorRequestReceived& event) {
  switch (event.action) {
    case OperatorAction::kStatus:
      return Status(event);
    case OperatorAction::kGetTargets:
      return GetTargets(event);
    case OperatorAction::kSetTargets:
    case OperatorAction::kRollbackTargets:
      return StartEdit(event);
    case OperatorAction::kFailover:
      return Change(event);
    case OperatorAction::kDrain:
      VERIFY(false);
  }
}

void OperatorHost::Status(const OperatorRequestReceived& event) {
  json::array groups;
  for (const GroupName& name : m_groups.names()) {
    const failover::FailoverStatus failover_status = m_groups.Status(name);
    json::array instances;
    for (const failover::InstanceFailoverStatus& instance :
         failover_status.instances)
      instances.push_back(InstanceToJson(instance));
    json::array pools;
    for (const routing::InstanceStatus& status :
         m_routing.machine().Status(name, m_context.now()))
      pools.push_back(RoutingToJson(status));
    const GroupRecord& record = failover_status.newest.record;
    groups.push_back(json::object{
        {"name", name.value()},
        {"state", failover_status.state},
        {"phase", record.phase == GroupPhase::kSteady ? "steady" : "changing"},
        {"term", record.term.value},
        {"primary", failover_status.primary.value()},
        {"primary_term", failover_status.primary_term.value},
        {"last_change", json::object{{"attempt", record.attempt.value()},
                                     {"by", record.changed_by.value()},
                                     {"reason", record.reason}}},
        {"paused", failover_status.paused},
        {"cut_off", failover_status.cut_off},
        {"blocked_by", failover_status.blocked_by},
        {"instances", std::move(instances)},
        {"pools", std::move(pools)}});
  }
  json::array members;
  const fleet::FleetView fleet = m_fleet.view();
  const auto add_members = [&members](const auto& list) {
    for (const fleet::Member& member : list)
      members.push_back(
          json::object{{"vm", member.node.vm.value()},
                       {"zone", member.node.zone.value()},
                       {"suspect", member.state != fleet::MemberState::kAlive},
                       {"leaving", member.leaving}});
  };
  add_members(fleet.zone);
  add_members(fleet.contacts);
  const routing::RoutingCounts& counts = m_routing.machine().counts();
  json::object body{
      {"vm", m_options.vm.value()},
      {"zone", m_options.zone.value()},
      {"joined", fleet.joined},
      {"leaving", fleet.leaving},
      {"cut_off", fleet.likely_partitioned},
      {"targets_version", m_in_force ? m_in_force->version.value : 0},
      {"replica_reads", counts.replica_reads},
      {"primary_reads", counts.primary_reads},
      {"members", std::move(members)},
      {"groups", std::move(groups)}};
  if (const auto age = m_fleet.age())
    body["targets_age_ms"] = ToMilliseconds(*age);
  Answer(event.call, kHttpOk, json::serialize(body));
}

void OperatorHost::GetTargets(const OperatorRequestReceived& event) {
  if (m_in_force == nullptr)
    return Answer(event.call, kHttpUnavailable,
                  ErrorBody({ErrorCode::kUnavailable, "targets.get", "",
                             "no targets are known"}));
  json::value document = targets::ToJson(m_in_force->classes);
  json::object body{{"version", m_in_force->version.value},
                    {"change", m_in_force->change.value()},
                    {"document", std::move(document)}};
  if (const auto age = m_fleet.age())
    body["age_ms"] = ToMilliseconds(*age);
  Answer(event.call, kHttpOk, json::serialize(body));
}

void OperatorHost::Change(const OperatorRequestReceived& event) {
  const auto requested = m_groups.RequestChange(
      event.group, AttemptId(event.change), event.expected_term,
      [this, call = event.call](const std::optional<Error>& error) {
        if (error)
          Answer(call, kHttpConflict, ErrorBody(*error));
        else
          Answer(call, kHttpOk, R"({"outcome":"changed"})");
      });
  if (!requested)
    Answer(event.call, kHttpNotFound, ErrorBody(requested.error()));
}

void OperatorHost::StartEdit(const OperatorRequestReceived& event) {
  const auto added = m_edits.try_emplace(
      event.call,
      Edit{targets::TargetsEditor(targets::EditorOptions(),
                                  std::mt19937_64(m_context.random()())),
           event, std::nullopt, ObjectVersion(), std::nullopt});
  const targets::ChangeId change(event.change);
  targets::EditorEvent start;
  if (event.action == OperatorAction::kSetTargets)
    start = targets::SetTargets{change, event.expected_version, event.document};
  else
    start = targets::RollbackTargets{change, event.expected_version};
  Edited(event.call, added.first->second.editor.Handle(start, m_context.now()));
}

void OperatorHost::Edited(OperatorRequestNumber call,
                          const std::vector<targets::EditorEffect>& effects) {
  const auto feed = [this, call](const targets::EditorEvent& event) {
    const auto found = m_edits.find(call);
    if (found != m_edits.end())
      Edited(call, found->second.editor.Handle(event, m_context.now()));
  };
  for (const targets::EditorEffect& effect : effects) {
    std::visit(
        Overloaded{
            [&](const targets::ReadTargetsObject& read) {
              m_context.Call(
                  jackdawturn::ReadObject{read.key}, kPlatformTimeout,
                  [feed](const Result<PlatformResponse>& result) {
                    if (!result)
                      return feed(targets::PlatformUnanswered{});
                    const auto& object =
                        std::get<VersionedObject>(result.value());
                    feed(targets::ObjectRead{object.version, object.value});
                  });
            },
            [&](const targets::UpdateTargetsObject& update) {
              m_context.Call(
                  jackdawturn::UpdateObject{update.key, update.expected,
                                            update.value},
                  kPlatformTimeout,
                  [feed](const Result<PlatformResponse>& result) {
                    if (result)
                      return feed(targets::ObjectUpdated{
                          std::get<VersionedObject>(result.value()).version});
                    if (result.error().code == ErrorCode::kConflict)
                      return feed(targets::UpdateConflict{});
                    feed(targets::PlatformUnanswered{});
                  });
            },
            [&](const targets::EditFinished& result) {
              Finished(call, result);
            }},
        effect);
  }
}

void OperatorHost::Finished(OperatorRequestNumber call,
                            const targets::EditFinished& result) {
  const auto found = m_edits.find(call);
  if (found == m_edits.end())
    return;
  Edit& edit = found->second;
  const bool stored = result.outcome == targets::EditOutcome::kAccepted;
  m_context.RecordTimelineEvent(
      EventKind::kTargets, GroupName(), RequestId(),
      std::string(targets::ToString(result.outcome)), "",
      {{"version", std::to_string(result.version.value)},
       {"change", edit.received.change}});
  if (stored)
    m_fleet.LocalObjectUpdate({"targets", result.version, result.value});
  const bool in_force =
      stored || result.outcome == targets::EditOutcome::kUnchanged;
  if (in_force && edit.received.wait) {
    edit.version = result.version;
    edit.wait_until = m_context.now() + *edit.received.wait;
    return m_fleet.Survey(
        targets::StartSurvey{call.value, "targets", result.version});
  }
  json::array faults;
  for (const targets::DocumentFault& fault : result.faults)
    faults.push_back(
        json::object{{"pointer", fault.pointer}, {"message", fault.message}});
  const json::object body{{"outcome", targets::ToString(result.outcome)},
                          {"version", result.version.value},
                          {"faults", std::move(faults)},
                          {"difference", targets::ToText(result.differences)}};
  unsigned status = kHttpOk;
  if (result.outcome == targets::EditOutcome::kInvalid)
    status = kHttpBadRequest;
  else if (result.outcome == targets::EditOutcome::kConflict)
    status = kHttpConflict;
  else if (result.outcome == targets::EditOutcome::kUnavailable)
    status = kHttpUnavailable;
  else if (result.outcome == targets::EditOutcome::kUnknown)
    status = kHttpTimeout;
  Answer(call, status, json::serialize(body));
  m_edits.erase(found);
}

void OperatorHost::On(const targets::SurveyResult& result) {
  const OperatorRequestNumber call{result.survey};
  const auto found = m_edits.find(call);
  if (found == m_edits.end())
    return;
  found->second.last_survey = result;
  if (result.behind == 0 && result.silent_zones.empty())
    EndWait(call, true);
}

void OperatorHost::EndWait(OperatorRequestNumber call, bool complete) {
  const auto found = m_edits.find(call);
  if (found == m_edits.end())
    return;
  json::object body{{"outcome", "accepted"},
                    {"version", found->second.version.value},
                    {"in_force_everywhere", complete}};
  if (const auto& survey = found->second.last_survey) {
    json::array behind;
    for (const std::string& name : survey->names)
      behind.emplace_back(name);
    json::array silent;
    for (const ZoneName& zone : survey->silent_zones)
      silent.emplace_back(zone.value());
    body["proxies"] = survey->total;
    body["behind"] = std::move(behind);
    body["silent_zones"] = std::move(silent);
  }
  m_edits.erase(found);
  m_fleet.Survey(targets::StopSurvey{call.value});
  Answer(call, kHttpOk, json::serialize(body));
}

void OperatorHost::OnTime() {
  std::vector<OperatorRequestNumber> due;
  for (const auto& [call, edit] : m_edits)
    due.push_back(call);
  for (const OperatorRequestNumber call : due) {
    const auto found = m_edits.find(call);
    if (found == m_edits.end())
      continue;
    if (found->second.wait_until &&
        *found->second.wait_until <= m_context.now())
      EndWait(call, false);
    else if (found->second.editor.NextWakeup() <= m_context.now())
      Edited(call, found->second.editor.OnTime(m_context.now()));
  }
}

std::optional<TimePoint> OperatorHost::NextWakeup() const {
  std::optional<TimePoint> next;
  for (const auto& [call, edit] : m_edits) {
    const TimePoint time = edit.wait_until.value_or(edit.editor.NextWakeup());
    if (!next || time < *next)
      next = time;
  }
  return next;
}

}  // namespace jackdawturn::proxy
