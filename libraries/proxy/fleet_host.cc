#include "proxy/fleet_host.h"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>

namespace jackdawturn::proxy {

namespace {

// Payload channels between proxies.
constexpr uint8_t kGroupChannel = 1;
constexpr uint8_t kSpreadChannel = 2;
constexpr uint8_t kShareChannel = 3;
constexpr uint8_t kLeavingChannel = 4;

constexpr Duration kPollInterval = std::chrono::milliseconds(1'000);
constexpr Duration kLeavingBroadcastInterval = std::chrono::milliseconds(5'000);
constexpr Duration kPollTimeout = std::chrono::milliseconds(500);
constexpr Duration kWatchGrace = std::chrono::milliseconds(1'000);
// The view is checked at this interval because FleetView::likely_partitioned
// also depends on the time.
constexpr Duration kViewInterval = std::chrono::milliseconds(1'000);

fleet::MembershipOptions MembershipOptionsOf(ProxyContext& context,
                                             const ProxyOptions& options) {
  fleet::MembershipOptions membership;
  membership.self = {options.vm, options.zone, options.gossip_address};
  membership.incarnation = static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          options.wall_clock.time_since_epoch())
          .count());
  membership.seeds = options.peers;
  membership.stamp = [&context] {
    const HybridStamp stamp = context.clock().Send(context.wall_clock());
    return fleet::ClockStamp{
        static_cast<uint64_t>(stamp.physical.time_since_epoch().count()),
        stamp.logical};
  };
  membership.observe_stamp = [&context](const fleet::ClockStamp& stamp) {
    const HybridStamp remote{
        ClockTime(std::chrono::microseconds(stamp.physical)),
        static_cast<uint32_t>(stamp.logical)};
    context.clock().Receive(remote, context.wall_clock());
  };
  return membership;
}

targets::SpreadOptions SpreadOptionsOf(const ProxyOptions& options) {
  targets::SpreadOptions spread;
  spread.self = options.vm;
  spread.zone = options.zone;
  return spread;
}

fleet::OwnershipOptions OwnershipOptionsOf(const ProxyOptions& options) {
  fleet::OwnershipOptions ownership;
  ownership.self = options.vm;
  ownership.zone = options.zone;
  ownership.holders_per_zone = options.holders_per_zone;
  return ownership;
}

}  // namespace

Result<std::unique_ptr<FleetHost>> FleetHost::Create(
    ProxyContext& context,
    const ProxyOptions& options,
    Hooks hooks) {
  TRY(auto codec, fleet::DatagramCodec::Create(options.fleet_keys));
  return std::unique_ptr<FleetHost>(
      new FleetHost(context, options, std::move(codec), std::move(hooks)));
}

FleetHost::FleetHost(ProxyContext& context,
                     const ProxyOptions& options,
                     fleet::DatagramCodec codec,
                     Hooks hooks)
    : m_context(context),
      m_options(options),
      m_hooks(std::move(hooks)),
      m_members(MembershipOptionsOf(context, options),
                std::move(codec),
                std::mt19937_64(context.random()())),
      m_spread(SpreadOptionsOf(options), std::mt19937_64(context.random()())),
      m_ownership(OwnershipOptionsOf(options),
                  std::mt19937_64(context.random()())) {}

void FleetHost::Start() {
  fleet::GroupsListed listed;
  for (const ServedGroup& group : m_options.groups) {
    fleet::HeldGroup held;
    held.group = group.name;
    std::set<ZoneName> zones;
    for (const ServedInstance& instance : group.instances) {
      held.instances.push_back({instance.name, instance.connection_limit});
      zones.insert(instance.zone);
    }
    held.zones.assign(zones.begin(), zones.end());
    listed.groups.push_back(std::move(held));
  }
  ApplyOwnershipEffects(m_ownership.Handle(listed, m_context.now()));
  OnTime();
}

void FleetHost::On(const DatagramArrived& event) {
  HandleMembershipEvent(fleet::DatagramReceived{event.from, event.bytes});
}

void FleetHost::HandleMembershipEvent(const fleet::MembershipEvent& event) {
  ApplyMembershipEffects(m_members.Handle(event, m_context.now()));
}

void FleetHost::ApplyMembershipEffects(
    const std::vector<fleet::MembershipEffect>& effects) {
  bool changed = false;
  for (const fleet::MembershipEffect& effect : effects) {
    std::visit(
        Overloaded{
            [&](const fleet::SendDatagram& send) {
              m_context.Emit(proxy::SendDatagram{send.to, send.bytes});
            },
            [&](const fleet::MemberChanged& member) {
              changed = true;
              m_context.RecordTimelineEvent(
                  EventKind::kMembership, GroupName(), RequestId(),
                  "member_changed", member.member.node.vm.value(),
                  {{"state",
                    std::to_string(static_cast<int>(member.member.state))}});
            },
            [&](const fleet::PayloadReceived& payload) { OnPayload(payload); },
            [&](const fleet::Joined& joined) {
              changed = true;
              m_context.RecordTimelineEvent(
                  EventKind::kMembership, GroupName(), RequestId(), "joined",
                  "", {{"found_peers", joined.found_peers ? "true" : "false"}});
            },
            [&](const fleet::PauseNoticed& pause) {
              changed = true;
              m_context.RecordTimelineEvent(
                  EventKind::kProcess, GroupName(), RequestId(),
                  "pause_noticed", "",
                  {{"gap_ms", std::to_string(ToMilliseconds(pause.gap))}});
            },
            [&](const fleet::DatagramRefused& refused) {
              m_context.RecordTimelineEvent(
                  EventKind::kMembership, GroupName(), RequestId(),
                  "datagram_refused", refused.from.value(),
                  {{std::string(kReasonField), refused.error.message}});
            }},
        effect);
  }
  if (changed)
    MembersChanged();
}

void FleetHost::MembersChanged() {
  const fleet::FleetView view = m_members.view(m_context.now());
  targets::SpreadPeers spread;
  m_peers.clear();
  m_addresses.clear();
  if (!view.leaving)
    m_peers.push_back({m_options.vm, m_options.zone});
  for (const fleet::Member& member : view.zone) {
    // The relay listens on the IP address and port of the gossip, over TCP.
    m_addresses[member.node.vm] = member.node.address.value();
    if (member.leaving)
      continue;
    spread.zone.push_back(member.node.vm);
    m_peers.push_back({member.node.vm, member.node.zone});
  }
  for (const fleet::Member& member : view.contacts) {
    m_addresses[member.node.vm] = member.node.address.value();
    spread.contacts[member.node.zone].push_back(member.node.vm);
    if (!member.leaving)
      m_peers.push_back({member.node.vm, member.node.zone});
  }
  spread.joined = view.joined;
  ApplyOwnershipEffects(
      m_ownership.Handle(OwnershipViewOf(view), m_context.now()));
  ApplySpreadEffects(m_spread.Handle(spread, m_context.now()));
  m_hooks.on_peers(m_peers);
}

fleet::OwnershipView FleetHost::OwnershipViewOf(const fleet::FleetView& view) {
  fleet::OwnershipView owners;
  for (const fleet::Member& member : view.zone)
    owners.zone.push_back({member.node.vm, member.node.zone, member.leaving});
  for (const fleet::Member& member : view.contacts)
    owners.contacts.push_back(
        {member.node.vm, member.node.zone, member.leaving});
  owners.dead_members = view.dead_members;
  owners.leaving = view.leaving;
  owners.may_open_connections = view.joined && !view.likely_partitioned;
  m_dead_members = owners.dead_members;
  m_may_open_connections = owners.may_open_connections;
  return owners;
}

void FleetHost::CheckView() {
  m_next_view_check = m_context.now() + kViewInterval;
  const fleet::FleetView view = m_members.view(m_context.now());
  const bool may_open_connections = view.joined && !view.likely_partitioned;
  if (may_open_connections != m_may_open_connections ||
      view.dead_members != m_dead_members)
    ApplyOwnershipEffects(
        m_ownership.Handle(OwnershipViewOf(view), m_context.now()));
}

void FleetHost::OnPayload(const fleet::PayloadReceived& payload) {
  const VmName& from = payload.from.vm;
  switch (payload.channel) {
    case kGroupChannel:
      return m_hooks.on_group_message(from, payload.bytes);
    case kSpreadChannel:
      return ApplySpreadEffects(
          m_spread.Handle(targets::SpreadMessageReceived{from, payload.bytes},
                          m_context.now()));
    case kShareChannel:
      return ApplyOwnershipEffects(m_ownership.Handle(
          fleet::ShareMessageReceived{from, payload.bytes}, m_context.now()));
    case kLeavingChannel: {
      const auto value = ParseJson(payload.bytes, "fleet.leaving");
      if (!value || !value.value().is_array())
        return;
      for (const boost::json::value& name : value.value().get_array()) {
        if (name.is_string())
          m_hooks.on_instance_leaving(
              InstanceName(std::string(name.get_string())));
      }
      return;
    }
    default:
      return;  // Channel of a newer program version.
  }
}

void FleetHost::ApplySpreadEffects(
    const std::vector<targets::SpreadEffect>& effects) {
  for (const targets::SpreadEffect& effect : effects) {
    std::visit(
        Overloaded{
            [&](const targets::SendSpreadMessage& send) {
              SendPayload(send.to, kSpreadChannel, send.bytes);
            },
            [&](const targets::StartWatch& watch) { WatchPrefix(watch); },
            [&](const targets::VersionInForce& version) {
              m_hooks.on_version(version.object);
            },
            [&](const targets::CaughtUp&) { m_hooks.on_caught_up(); },
            [&](const targets::SurveyResult& result) {
              m_hooks.on_survey(result);
            }},
        effect);
  }
}

void FleetHost::WatchPrefix(const targets::StartWatch& watch) {
  m_context.Call(
      WatchObjects{watch.prefix, watch.after_revision, watch.timeout},
      watch.timeout + kWatchGrace,
      [this, prefix = watch.prefix](const Result<PlatformResponse>& result) {
        if (!result)
          return ApplySpreadEffects(
              m_spread.Handle(targets::WatchFailed{prefix}, m_context.now()));
        const auto& changes = std::get<ObjectChanges>(result.value());
        targets::WatchAnswered answered{prefix, {}, changes.revision};
        for (const VersionedObject& object : changes.objects)
          answered.changes.push_back(
              {object.key, object.version, object.value});
        ApplySpreadEffects(m_spread.Handle(answered, m_context.now()));
      });
}

void FleetHost::ApplyOwnershipEffects(
    const std::vector<fleet::OwnershipEffect>& effects) {
  std::set<InstanceName> changed;
  for (const fleet::OwnershipEffect& effect : effects) {
    std::visit(Overloaded{[&](const fleet::OpenConnections& open) {
                            AddPendingOpens(open);
                            changed.insert(open.instance);
                          },
                          [&](const fleet::CloseIdleConnections& close) {
                            m_pools[close.instance].closing = close.count;
                            changed.insert(close.instance);
                          },
                          [&](const fleet::SendShareMessage& send) {
                            SendPayload(send.to, kShareChannel, send.bytes);
                          }},
               effect);
  }
  for (const InstanceName& instance : changed)
    m_hooks.on_connection_allowance(instance);
}

size_t FleetHost::ConnectionAllowance(const InstanceName& instance) const {
  if (m_closing_all)
    return 0;
  const auto found = m_pools.find(instance);
  const size_t open_or_opening = m_ownership.open_or_opening(instance);
  return found == m_pools.end() || m_announced_leaving
             ? open_or_opening
             : open_or_opening -
                   std::min(open_or_opening, found->second.closing);
}

bool FleetHost::MustRelay(const GroupName& group) const {
  // A leaving proxy continues to serve as long as it has connections.
  if (m_announced_leaving) {
    for (const ServedGroup& served : m_options.groups) {
      for (const ServedInstance& instance : served.instances) {
        if (served.name == group && ConnectionAllowance(instance.name) > 0)
          return false;
      }
    }
  }
  const auto next_hop = m_ownership.SelectNextHop(group, 0);
  return next_hop ? next_hop.value().vm != m_options.vm
                  : next_hop.error().code == ErrorCode::kUnavailable;
}

Result<fleet::NextHop> FleetHost::SelectNextHop(const GroupName& group,
                                                uint64_t spread) const {
  return m_ownership.SelectNextHop(group, spread);
}

void FleetHost::HolderLearned(const GroupName& group, const VmName& holder) {
  ApplyOwnershipEffects(
      m_ownership.Handle(fleet::HolderLearned{group, holder}, m_context.now()));
}

bool FleetHost::FirstHolder(const GroupName& group) const {
  const auto holders = m_ownership.Holders(group);
  return !holders.empty() && holders.front() == m_options.vm;
}

std::optional<std::string> FleetHost::RelayAddress(const VmName& vm) const {
  const auto found = m_addresses.find(vm);
  return found == m_addresses.end() ? std::nullopt
                                    : std::optional(found->second);
}

void FleetHost::SendPayload(const VmName& to,
                            uint8_t channel,
                            std::string bytes) {
  HandleMembershipEvent(fleet::SendPayload{to, channel, std::move(bytes)});
}

void FleetHost::SendGroupMessage(const VmName& to, std::string bytes) {
  SendPayload(to, kGroupChannel, std::move(bytes));
}

void FleetHost::LocalObjectUpdate(const targets::SpreadObject& object) {
  ApplySpreadEffects(
      m_spread.Handle(targets::LocalObjectUpdate{object}, m_context.now()));
}

void FleetHost::Survey(const targets::SpreadEvent& event) {
  ApplySpreadEffects(m_spread.Handle(event, m_context.now()));
}

void FleetHost::AnnounceLeaving() {
  m_announced_leaving = true;
  HandleMembershipEvent(fleet::AnnounceLeaving{});
  MembersChanged();
}

void FleetHost::CloseAllConnections() {
  m_closing_all = true;
  for (const ServedGroup& group : m_options.groups) {
    for (const ServedInstance& instance : group.instances)
      m_hooks.on_connection_allowance(instance.name);
  }
}

void FleetHost::AnnounceLeft() {
  m_left = true;
  HandleMembershipEvent(fleet::AnnounceLeft{});
}

std::optional<Duration> FleetHost::age() const {
  return m_spread.age(m_context.now());
}

// Only the watchers of a zone request the VM list from the platform; they
// forward it to the other proxies, so that the number of calls does not grow
// with the fleet.
void FleetHost::PollVms() {
  if (!m_spread.is_watcher() || m_polling || m_next_poll > m_context.now())
    return;
  m_polling = true;
  m_next_poll = m_context.now() + kPollInterval;
  m_context.Call(ListVms{}, kPollTimeout,
                 [this](const Result<PlatformResponse>& result) {
                   m_polling = false;
                   if (result)
                     VmsListed(std::get<VmList>(result.value()).vms);
                 });
}

void FleetHost::VmsListed(const std::vector<ListedVm>& vms) {
  std::set<std::string> leaving;
  for (const ListedVm& vm : vms) {
    if (vm.state == VmState::kLeaving)
      leaving.insert(vm.name.value());
  }
  const bool changed = leaving != m_leaving;
  m_leaving = leaving;
  // An instance has the same name as its VM.
  for (const std::string& name : leaving)
    m_hooks.on_instance_leaving(InstanceName(name));
  if (!leaving.empty() &&
      (changed || m_next_leaving_broadcast <= m_context.now()))
    BroadcastLeaving(leaving);
}

void FleetHost::BroadcastLeaving(const std::set<std::string>& names) {
  constexpr size_t kMaxNamesPerMessage = 20;
  m_next_leaving_broadcast = m_context.now() + kLeavingBroadcastInterval;
  std::vector<boost::json::array> pages(1);
  for (const std::string& name : names) {
    if (pages.back().size() >= kMaxNamesPerMessage)
      pages.emplace_back();
    pages.back().emplace_back(name);
  }
  for (const fleet::Member& member : m_members.view(m_context.now()).zone) {
    for (const boost::json::array& page : pages)
      SendPayload(member.node.vm, kLeavingChannel,
                  boost::json::serialize(page));
  }
}

void FleetHost::OnTime() {
  const TimePoint now = m_context.now();
  if (m_left)
    return;
  if (m_members.NextWakeup() <= now)
    ApplyMembershipEffects(m_members.OnTime(now));
  if (m_spread.NextWakeup() <= now)
    ApplySpreadEffects(m_spread.OnTime(now));
  if (m_ownership.NextWakeup() <= now)
    ApplyOwnershipEffects(m_ownership.OnTime(now));
  if (m_next_view_check <= now) {
    CheckView();
    FailOverdueOpens();
  }
  PollVms();
}

std::optional<TimePoint> FleetHost::NextWakeup() const {
  if (m_left)
    return std::nullopt;
  TimePoint next = std::min({m_members.NextWakeup(), m_spread.NextWakeup(),
                             m_ownership.NextWakeup(), m_next_view_check});
  if (m_spread.is_watcher() && !m_polling)
    next = std::min(next, m_next_poll);
  return next;
}

}  // namespace jackdawturn::proxy
