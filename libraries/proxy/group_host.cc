#include "proxy/group_host.h"

#include <algorithm>
#include <utility>

#include "proxy/group_messages.h"

namespace jackdawturn::proxy {

namespace event = failover::failover_event;
namespace effect = failover::failover_effect;

namespace {

constexpr Duration kRefreshTimeout = std::chrono::milliseconds(250);

failover::CallOutcome OutcomeOf(const Error& error) {
  // Any other step failed within this process, for example at a full ring,
  // which does not show that the host refuses connections.
  if (error.code == ErrorCode::kUnavailable && error.step != kConnectStep)
    return failover::CallOutcome::kNoAnswer;
  if (error.code == ErrorCode::kUnavailable)
    return failover::CallOutcome::kRefused;
  if (error.code == ErrorCode::kTimeout && error.step == kConnectStep)
    return failover::CallOutcome::kConnectTimeout;
  if (error.code == ErrorCode::kTimeout)
    return failover::CallOutcome::kNoAnswer;
  return failover::CallOutcome::kAnswered;
}

std::optional<failover::VersionedRecord> RecordOf(
    const VersionedObject& object) {
  failover::VersionedRecord record;
  record.version = object.version;
  if (object.version.value == 0)
    return record;
  auto parsed = failover::GroupRecordFromJson(object.value);
  if (!parsed)
    return std::nullopt;
  record.record = std::move(parsed).value();
  return record;
}

}  // namespace

GroupHost::GroupHost(ProxyContext& context,
                     const ProxyOptions& options,
                     Hooks hooks)
    : m_context(context), m_options(options), m_hooks(std::move(hooks)) {}

void GroupHost::Start() {
  for (const ServedGroup& served : m_options.groups) {
    Group& group = m_groups[served.name];
    group.served = served;
    failover::FailoverSettings settings;
    settings.group = served.name;
    settings.self = m_options.vm;
    settings.zone = m_options.zone;
    settings.seed = m_context.random()();
    settings.times = m_options.failover;
    for (const ServedInstance& instance : served.instances) {
      settings.instances.push_back(instance.name);
      m_group_of[instance.name] = served.name;
    }
    group.machine = std::make_unique<failover::FailoverMachine>(
        std::move(settings), m_context.now());
    Refresh(served.name);
  }
}

void GroupHost::Feed(Group& group, const failover::FailoverEvent& item) {
  for (const failover::FailoverEffect& output :
       group.machine->Handle(item, m_context.now()))
    Do(group, output);
}

void GroupHost::Do(Group& group, const failover::FailoverEffect& item) {
  const GroupName& name = group.served.name;
  const auto send = [this](const VmName& to, const GroupMessage& message) {
    m_hooks.send(to, EncodeGroupMessage(message));
  };
  const auto broadcast = [this, &send](const GroupNotice& notice) {
    for (const failover::FailoverPeer& peer : m_peers) {
      if (peer.vm != m_options.vm)
        send(peer.vm, notice);
    }
  };
  std::visit(
      Overloaded{
          [&](const effect::SendProbe& probe) { Probe(group, probe); },
          [&](const effect::AskWitness& ask) {
            send(ask.to, WitnessQuestion{name, ask.call, ask.instance});
          },
          [&](const effect::AnswerWitness& answer) {
            send(answer.to, WitnessReply{name, answer.call, answer.view});
          },
          [&](const effect::ReadRecord& read) { Read(group, read); },
          [&](const effect::UpdateRecord& update) { Update(group, update); },
          [&](const effect::FenceInstance& call) {
            CallInstance(group, call.call, call.instance, FenceCall{call.term},
                         call.timeout);
          },
          [&](const effect::PromoteInstance& call) {
            CallInstance(group, call.call, call.instance,
                         PromoteCall{call.term}, call.timeout);
          },
          [&](const effect::FollowInstance& call) {
            CallInstance(group, call.call, call.instance,
                         FollowCall{call.term, call.primary}, call.timeout);
          },
          [&](const effect::RecordAccepted& accepted) {
            group.record = accepted.accepted;
            if (accepted.accepted.record.phase == GroupPhase::kSteady)
              group.steady = accepted.accepted.record;
            m_hooks.on_changed(name);
          },
          [&](const effect::AnnounceRecord& announce) {
            m_hooks.announce(failover::GroupRecordKey(name), announce.record);
          },
          [&](const effect::AnnounceProgress& progress) {
            for (const VmName& to : progress.to)
              send(to, GroupNotice{GroupNoticeKind::kProgress, name,
                                   progress.term, progress.limit});
          },
          [&](const effect::HoldWrites& hold) {
            group.held_until = m_context.now() + hold.limit;
            if (hold.announce)
              broadcast({GroupNoticeKind::kHold, name, hold.term, hold.limit});
          },
          [&](const effect::ReleaseWrites& release) {
            group.held_until.reset();
            if (release.announce)
              broadcast(
                  {GroupNoticeKind::kRelease, name, release.term, Duration(0)});
            m_hooks.on_changed(name);
          },
          [&](const effect::ChangeEnded& ended) {
            const auto found = group.changes.find(ended.change);
            if (found == group.changes.end())
              return;
            const OnChangeEnded on_ended = std::move(found->second);
            group.changes.erase(found);
            on_ended(ended.error);
          },
          [&](const effect::ReadableChanged& changed) {
            if (changed.readable)
              group.unreadable.erase(changed.instance);
            else
              group.unreadable.insert(changed.instance);
            m_hooks.on_changed(name);
          },
          [&](const effect::TimelineEntry& entry) {
            RecordEntry(group, entry);
          }},
      item);
}

void GroupHost::Probe(Group& group, const effect::SendProbe& probe) {
  const GroupName name = group.served.name;
  m_context.Call(
      probe.instance, std::nullopt, ReportCall{}, probe.timeout,
      [this, name, call = probe.call](const Result<BackendResponse>& result) {
        event::ProbeEnded ended{call};
        if (result) {
          ended.outcome = failover::CallOutcome::kAnswered;
          ended.report = std::get<InstanceReport>(result.value());
        } else {
          ended.outcome = OutcomeOf(result.error());
        }
        Feed(m_groups.at(name), ended);
      },
      probe.fresh);
}

void GroupHost::CallInstance(Group& group,
                             failover::FailoverCallId call,
                             const InstanceName& instance,
                             BackendRequest request,
                             Duration timeout) {
  const GroupName name = group.served.name;
  m_context.Call(
      instance, std::nullopt, std::move(request), timeout,
      [this, name, call](const Result<BackendResponse>& result) {
        event::InstanceAnswered answered{call};
        if (result)
          answered.report = std::get<InstanceReport>(result.value());
        else
          answered.error = result.error().code;
        Feed(m_groups.at(name), answered);
      },
      true);
}

void GroupHost::Update(Group& group, const effect::UpdateRecord& update) {
  const GroupName name = group.served.name;
  const UpdateObject request{failover::GroupRecordKey(name), update.expected,
                             failover::GroupRecordToJson(update.record)};
  m_context.Call(request, update.timeout,
                 [this, name, update](const Result<PlatformResponse>& result) {
                   event::PlatformAnswered answered{update.call};
                   if (result) {
                     answered.outcome = event::PlatformOutcome::kDone;
                     answered.current = failover::VersionedRecord{
                         std::get<VersionedObject>(result.value()).version,
                         update.record};
                   } else if (result.error().code == ErrorCode::kConflict) {
                     answered.outcome = event::PlatformOutcome::kConflict;
                   }
                   Feed(m_groups.at(name), answered);
                 });
}

void GroupHost::Read(Group& group, const effect::ReadRecord& read) {
  const GroupName name = group.served.name;
  m_context.Call(
      ReadObject{failover::GroupRecordKey(name)}, read.timeout,
      [this, name, call = read.call](const Result<PlatformResponse>& result) {
        event::PlatformAnswered answered{call};
        if (result)
          answered.current =
              RecordOf(std::get<VersionedObject>(result.value()));
        if (answered.current)
          answered.outcome = event::PlatformOutcome::kDone;
        Feed(m_groups.at(name), answered);
      });
}

void GroupHost::RecordEntry(const Group& group,
                            const effect::TimelineEntry& entry) {
  ProxyContext::Fields fields{{"from", entry.from}, {"to", entry.to}};
  if (entry.term.value != 0)
    fields[std::string(kTermField)] = std::to_string(entry.term.value);
  if (!entry.instance.empty())
    fields[std::string(kInstanceField)] = entry.instance.value();
  if (!entry.attempt.empty())
    fields["attempt"] = entry.attempt.value();
  if (!entry.detail.empty())
    fields[std::string(kReasonField)] = entry.detail;
  // The timeline summary identifies the steps by these names.
  std::string name = entry.event;
  if (entry.to == "claiming" && entry.from != entry.to)
    name = kClaimStep;
  else if (entry.event == "promoted")
    name = kPromoteStep;
  else if (entry.event == "published")
    name = kPublishStep;
  m_context.RecordTimelineEvent(EventKind::kFailover, group.served.name,
                                RequestId(), std::move(name),
                                entry.instance.value(), std::move(fields));
}

void GroupHost::RecordSeen(const std::string& value, ObjectVersion version) {
  auto parsed = failover::GroupRecordFromJson(value);
  if (!parsed) {
    m_context.RecordTimelineEvent(
        EventKind::kFailover, GroupName(), RequestId(), "record_refused",
        "platform", {{std::string(kReasonField), parsed.error().message}});
    return;
  }
  const auto found = m_groups.find(parsed.value().group);
  if (found == m_groups.end())
    return;
  Feed(found->second, event::RecordSeen{{version, std::move(parsed).value()}});
}

void GroupHost::Refresh(const GroupName& name) {
  const auto found = m_groups.find(name);
  if (found == m_groups.end() || found->second.refreshing)
    return;
  found->second.refreshing = true;
  m_context.Call(ReadObject{failover::GroupRecordKey(name)}, kRefreshTimeout,
                 [this, name](const Result<PlatformResponse>& result) {
                   m_groups.at(name).refreshing = false;
                   if (!result)
                     return;
                   const auto& object =
                       std::get<VersionedObject>(result.value());
                   if (object.version.value != 0)
                     RecordSeen(object.value, object.version);
                 });
}

void GroupHost::PeersChanged(const std::vector<failover::FailoverPeer>& peers) {
  m_peers = peers;
  for (auto& [name, group] : m_groups)
    Feed(group, event::PeersChanged{peers});
}

void GroupHost::MessageArrived(const VmName& from, const std::string& bytes) {
  const auto message = DecodeGroupMessage(bytes);
  if (!message)
    return;
  const auto feed = [this](const GroupName& name,
                           const failover::FailoverEvent& item) {
    const auto found = m_groups.find(name);
    if (found != m_groups.end())
      Feed(found->second, item);
  };
  std::visit(
      Overloaded{
          [&](const WitnessQuestion& item) {
            feed(item.group,
                 event::WitnessAsked{from, item.call, item.instance});
          },
          [&](const WitnessReply& item) {
            feed(item.group,
                 event::WitnessAnswered{from, item.call, item.view});
          },
          [&](const GroupNotice& item) {
            switch (item.kind) {
              case GroupNoticeKind::kHold:
                return feed(item.group, event::PeerHoldsWrites{from, item.term,
                                                               item.limit});
              case GroupNoticeKind::kRelease:
                return feed(item.group,
                            event::PeerReleasesWrites{from, item.term});
              case GroupNoticeKind::kProgress:
                return feed(item.group, event::PeerProgressAnnounced{
                                            from, item.term, item.limit});
            }
          }},
      message.value());
}

void GroupHost::InstanceLeaving(const InstanceName& instance) {
  const auto group = m_group_of.find(instance);
  if (group == m_group_of.end() || !m_leaving.insert(instance).second)
    return;
  m_hooks.on_changed(group->second);
  Feed(m_groups.at(group->second), event::InstanceLeaving{instance});
}

void GroupHost::RecordCallOutcome(const GroupName& group,
                                  const InstanceName& instance,
                                  const Result<InstanceReport>& result,
                                  Duration round_trip) {
  const auto found = m_groups.find(group);
  if (found == m_groups.end())
    return;
  event::LiveRequestEnded live_request{instance};
  live_request.round_trip = round_trip;
  if (result)
    live_request.report = result.value();
  else
    live_request.outcome = OutcomeOf(result.error());
  Feed(found->second, live_request);
}

Result<void> GroupHost::RequestChange(const GroupName& name,
                                      const AttemptId& change,
                                      Term expected_term,
                                      OnChangeEnded on_ended) {
  const auto found = m_groups.find(name);
  if (found == m_groups.end())
    return Failure(ErrorCode::kNotFound, "failover.request", "",
                   "unknown group " + name.value());
  found->second.changes[change] = std::move(on_ended);
  Feed(found->second,
       event::ChangeRequested{change, expected_term, "operator"});
  return Success();
}

void GroupHost::OnTime() {
  for (auto& [name, group] : m_groups) {
    if (group.held_until && *group.held_until <= m_context.now()) {
      group.held_until.reset();
      m_hooks.on_changed(name);
    }
    if (group.machine->next_wakeup() <= m_context.now())
      Feed(group, event::TimerFired{});
  }
}

std::optional<TimePoint> GroupHost::NextWakeup() const {
  std::optional<TimePoint> next;
  const auto consider = [&next](TimePoint time) {
    if (!next || time < *next)
      next = time;
  };
  for (const auto& [name, group] : m_groups) {
    consider(group.machine->next_wakeup());
    if (group.held_until)
      consider(*group.held_until);
  }
  return next;
}

const GroupRecord* GroupHost::Record(const GroupName& group) const {
  const auto found = m_groups.find(group);
  return found == m_groups.end() || !found->second.record
             ? nullptr
             : &found->second.record->record;
}

const GroupRecord* GroupHost::Steady(const GroupName& group) const {
  const auto found = m_groups.find(group);
  return found == m_groups.end() || !found->second.steady
             ? nullptr
             : &*found->second.steady;
}

bool GroupHost::HoldsWrites(const GroupName& group) const {
  const auto found = m_groups.find(group);
  return found != m_groups.end() && found->second.held_until.has_value();
}

bool GroupHost::Readable(const GroupName& group,
                         const InstanceName& instance) const {
  const auto found = m_groups.find(group);
  return found != m_groups.end() &&
         found->second.unreadable.count(instance) == 0;
}

const ServedGroup* GroupHost::Served(const GroupName& group) const {
  const auto found = m_groups.find(group);
  return found == m_groups.end() ? nullptr : &found->second.served;
}

std::vector<GroupName> GroupHost::names() const {
  std::vector<GroupName> names;
  for (const auto& [name, group] : m_groups)
    names.push_back(name);
  return names;
}

failover::FailoverStatus GroupHost::Status(const GroupName& group) const {
  return m_groups.at(group).machine->Status(m_context.now());
}

}  // namespace jackdawturn::proxy
