#include "fleet/group_ownership.h"

#include <algorithm>
#include <utility>

#include "fleet/share_message.h"

namespace jackdawturn::fleet {

namespace {

size_t ShareOf(const std::map<VmName, size_t>& shares, const VmName& vm) {
  const auto found = shares.find(vm);
  return found == shares.end() ? 0 : found->second;
}

bool Contains(const std::vector<VmName>& names, const VmName& vm) {
  return std::find(names.begin(), names.end(), vm) != names.end();
}

bool IsLeaving(const OwnershipView& view, const VmName& vm) {
  return std::any_of(view.zone.begin(), view.zone.end(),
                     [&vm](const OwnershipView::Peer& peer) {
                       return peer.vm == vm && peer.leaving;
                     });
}

}  // namespace

GroupOwnership::GroupOwnership(OwnershipOptions options, std::mt19937_64 random)
    : m_options(std::move(options)), m_random(random) {}

std::vector<OwnershipEffect> GroupOwnership::Handle(const OwnershipEvent& event,
                                                    TimePoint now) {
  Effects effects;
  if (const auto* view = std::get_if<OwnershipView>(&event))
    OnView(*view, now, effects);
  else if (const auto* listed = std::get_if<GroupsListed>(&event))
    OnGroups(*listed, now, effects);
  else if (const auto* opened = std::get_if<ConnectionOpened>(&event))
    OnOpened(opened->instance, now, effects);
  else if (const auto* refused = std::get_if<OpenRefused>(&event))
    OnRefused(refused->instance, now, effects);
  else if (const auto* failed = std::get_if<OpenFailed>(&event))
    OnFailed(failed->instance, now, effects);
  else if (const auto* closed = std::get_if<ConnectionClosed>(&event))
    OnClosed(closed->instance, now, effects);
  else if (const auto* message = std::get_if<ShareMessageReceived>(&event))
    OnMessage(*message, now, effects);
  else if (const auto* learned = std::get_if<HolderLearned>(&event))
    OnHolderLearned(*learned);
  return effects;
}

std::vector<OwnershipEffect> GroupOwnership::OnTime(TimePoint now) {
  Effects effects;
  AdvancePending(now, effects);
  return effects;
}

TimePoint GroupOwnership::NextWakeup() const {
  TimePoint next = TimePoint::max();
  if (!m_view.may_open_connections)
    return next;
  for (const GroupName& name : m_pending) {
    const GroupState& state = m_groups.at(name);
    for (const InstanceState& instance : state.instances) {
      const size_t open_or_opening = instance.open + instance.opening;
      const bool contested = open_or_opening >= instance.uncontested_share;
      if (open_or_opening >= instance.share ||
          (OpensOneFirst(instance) && instance.opening > 0) ||
          (contested && m_trials >= m_trial_window))
        continue;
      TimePoint at = instance.blocked_until;
      if (contested)
        at = std::max(at, m_trial_blocked_until);
      if (!state.awaiting.empty())
        at = std::min(state.next_query,
                      state.query_deadline.value_or(TimePoint::max()));
      next = std::min(next, at);
    }
  }
  return next;
}

std::vector<VmName> GroupOwnership::Candidates(bool with_self) const {
  std::vector<VmName> candidates;
  for (const OwnershipView::Peer& peer : m_view.zone) {
    if (!peer.leaving)
      candidates.push_back(peer.vm);
  }
  if (with_self && !m_view.leaving)
    candidates.push_back(m_options.self);
  return candidates;
}

bool GroupOwnership::IsPresentPeer(const VmName& vm) const {
  return std::any_of(
      m_view.zone.begin(), m_view.zone.end(),
      [&vm](const OwnershipView::Peer& peer) { return peer.vm == vm; });
}

bool GroupOwnership::IsAffected(const GroupState& state,
                                const std::vector<VmName>& joined,
                                const std::vector<VmName>& removed) const {
  for (const VmName& vm : removed) {
    if (Contains(state.holders, vm))
      return true;
  }
  if (joined.empty())
    return false;
  if (state.holders.size() < m_options.holders_per_zone)
    return true;
  const std::string& group = state.group.group.value();
  const uint64_t lowest = RendezvousWeight(group, state.holders.back().value());
  return std::any_of(joined.begin(), joined.end(), [&](const VmName& vm) {
    return RendezvousWeight(group, vm.value()) >= lowest;
  });
}

void GroupOwnership::OnHolderLearned(const HolderLearned& learned) {
  constexpr size_t kMaxLearned = 4'096;
  if (learned.holder.empty()) {
    m_learned_holders.erase(learned.group);
    return;
  }
  if (m_learned_holders.size() >= kMaxLearned)
    m_learned_holders.clear();
  m_learned_holders[learned.group] = learned.holder;
}

void GroupOwnership::OnView(const OwnershipView& view,
                            TimePoint now,
                            Effects& effects) {
  const std::vector<VmName> before =
      m_has_view ? Candidates(true) : std::vector<VmName>();
  const OwnershipView old_view = std::exchange(m_view, view);
  const std::vector<VmName> after = Candidates(true);
  std::vector<VmName> joined;
  std::vector<VmName> removed;
  for (const VmName& vm : after) {
    if (!Contains(before, vm))
      joined.push_back(vm);
  }
  for (const VmName& vm : before) {
    if (!Contains(after, vm))
      removed.push_back(vm);
  }
  const bool first = !m_has_view;
  std::set<VmName> newly_dead;
  for (const VmName& vm : removed) {
    if (vm != m_options.self && !IsPresentPeer(vm))
      newly_dead.insert(vm);
  }
  if (first)
    newly_dead.insert(m_view.dead_members.begin(), m_view.dead_members.end());
  std::erase_if(m_contesting_members, [this](const VmName& vm) {
    return !Contains(m_view.dead_members, vm);
  });
  m_contesting_members.insert(newly_dead.begin(), newly_dead.end());
  ElectTakeoverProber(newly_dead, now);
  m_has_view = true;
  for (auto& [name, state] : m_groups) {
    if (first || IsAffected(state, joined, removed))
      UpdateGroup(state, first);
    // A peer that is no longer present cannot confirm.
    std::erase_if(state.awaiting, [this](const auto& item) {
      return !IsPresentPeer(item.first);
    });
    if (!state.awaiting.empty() || m_pending.count(name) != 0 || first ||
        !joined.empty() || !removed.empty())
      Advance(state, now, effects);
  }
}

void GroupOwnership::OnGroups(const GroupsListed& listed,
                              TimePoint now,
                              Effects& effects) {
  std::map<InstanceName, InstanceState> known;
  for (auto& [name, location] : m_instances)
    known[name] = m_groups.at(location.first).instances[location.second];
  std::map<GroupName, GroupState> old_groups = std::exchange(m_groups, {});
  m_instances.clear();
  m_foreign.clear();
  m_pending.clear();
  for (const HeldGroup& group : listed.groups) {
    if (std::find(group.zones.begin(), group.zones.end(), m_options.zone) ==
        group.zones.end()) {
      m_foreign[group.group] = group.zones;
      continue;
    }
    GroupState& state = m_groups[group.group];
    const auto old = old_groups.find(group.group);
    const bool is_new = old == old_groups.end();
    if (!is_new)
      state = std::move(old->second);
    state.group = group;
    state.instances.clear();
    for (size_t index = 0; index < group.instances.size(); ++index) {
      const HeldGroup::Instance& listing = group.instances[index];
      InstanceState instance;
      if (const auto item = known.find(listing.name); item != known.end()) {
        instance = item->second;
        known.erase(item);
      }
      instance.zone_part = ZonePart(listing.name, listing.connection_limit,
                                    group.zones, m_options.zone);
      state.instances.push_back(instance);
      m_instances[listing.name] = {group.group, index};
    }
    if (m_has_view) {
      UpdateGroup(state, is_new);
      Advance(state, now, effects);
    }
  }
  m_trials = 0;
  for (const auto& [name, state] : m_groups) {
    for (const InstanceState& instance : state.instances)
      m_trials += instance.opening_contested;
  }
  for (const auto& [name, instance] : known) {
    if (instance.open > 0)
      effects.emplace_back(CloseIdleConnections{name, instance.open});
  }
}

void GroupOwnership::UpdateGroup(GroupState& state, bool first) {
  const GroupName& name = state.group.group;
  const std::vector<VmName> before =
      first ? HoldersOf(name, Candidates(false), m_options.holders_per_zone)
            : state.holders;
  state.holders = HoldersOf(name, Candidates(true), m_options.holders_per_zone);
  std::vector<VmName> with_contesting = Candidates(true);
  with_contesting.insert(with_contesting.end(), m_contesting_members.begin(),
                         m_contesting_members.end());
  const std::vector<VmName> holders_with_contesting =
      HoldersOf(name, with_contesting, m_options.holders_per_zone);
  std::set<VmName> shrinking;
  std::vector<std::map<VmName, size_t>> shares;
  for (size_t index = 0; index < state.instances.size(); ++index) {
    InstanceState& instance = state.instances[index];
    const InstanceName& instance_name = state.group.instances[index].name;
    const auto old_shares =
        DivideShares(instance_name, instance.zone_part, before);
    shares.push_back(
        DivideShares(instance_name, instance.zone_part, state.holders));
    instance.share = ShareOf(shares.back(), m_options.self);
    instance.uncontested_share = std::min(
        instance.share, ShareOf(DivideShares(instance_name, instance.zone_part,
                                             holders_with_contesting),
                                m_options.self));
    for (const auto& [vm, share] : old_shares) {
      if (vm != m_options.self && ShareOf(shares.back(), vm) < share &&
          IsPresentPeer(vm))
        shrinking.insert(vm);
    }
  }
  for (const VmName& vm : shrinking) {
    if (state.awaiting.count(vm) == 0)
      state.query_deadline.reset();
    state.awaiting[vm] = {};
  }
  for (auto& [vm, limits] : state.awaiting) {
    limits.clear();
    for (const auto& of_instance : shares)
      limits.push_back(ShareOf(of_instance, vm));
  }
  state.next_query = TimePoint();
  state.asked_to_shrink = false;
}

void GroupOwnership::AdvancePending(TimePoint now, Effects& effects) {
  const std::vector<GroupName> names(m_pending.begin(), m_pending.end());
  for (const GroupName& name : names)
    Advance(m_groups.at(name), now, effects);
}

void GroupOwnership::Advance(GroupState& state,
                             TimePoint now,
                             Effects& effects) {
  const auto is_below_share = [&state] {
    return std::any_of(state.instances.begin(), state.instances.end(),
                       [](const InstanceState& instance) {
                         return instance.open + instance.opening <
                                instance.share;
                       });
  };
  // After the timeout, the backend server's refusal enforces the limit against
  // peers that did not answer.
  if (state.query_deadline && now >= *state.query_deadline) {
    state.awaiting.clear();
    state.query_deadline.reset();
  }
  if (is_below_share() && !state.awaiting.empty() &&
      m_view.may_open_connections)
    SendQueries(state, now, effects);
  bool excess = false;
  for (size_t index = 0; index < state.instances.size(); ++index) {
    AdvanceInstance(state, index, now, effects);
    excess |= state.instances[index].open > state.instances[index].share;
  }
  if (is_below_share() || excess)
    m_pending.insert(state.group.group);
  else
    m_pending.erase(state.group.group);
}

void GroupOwnership::AdvanceInstance(GroupState& state,
                                     size_t index,
                                     TimePoint now,
                                     Effects& effects) {
  InstanceState& instance = state.instances[index];
  const InstanceName& name = state.group.instances[index].name;
  // A leaving proxy keeps its open connections until a peer needs them.
  const bool shrinks = state.asked_to_shrink || !m_view.leaving;
  const size_t excess = shrinks && instance.open > instance.share
                            ? instance.open - instance.share
                            : 0;
  if (excess != instance.closing) {
    instance.closing = excess;
    effects.emplace_back(CloseIdleConnections{name, excess});
  }
  const size_t open_or_opening = instance.open + instance.opening;
  if (open_or_opening >= instance.share || !m_view.may_open_connections ||
      !state.awaiting.empty() || now < instance.blocked_until)
    return;
  size_t count = 0;
  if (open_or_opening < instance.uncontested_share) {
    count = instance.uncontested_share - open_or_opening;
  } else {
    if (now < m_trial_blocked_until || m_trials >= m_trial_window)
      return;
    count =
        std::min(instance.share - open_or_opening, m_trial_window - m_trials);
  }
  if (OpensOneFirst(instance)) {
    if (instance.opening > 0)
      return;
    count = 1;
  }
  if (open_or_opening >= instance.uncontested_share) {
    m_trials += count;
    instance.opening_contested += count;
  }
  instance.opening += count;
  effects.emplace_back(OpenConnections{name, count});
}

void GroupOwnership::SendQueries(GroupState& state,
                                 TimePoint now,
                                 Effects& effects) {
  if (now < state.next_query)
    return;
  state.next_query = now + m_options.query_interval;
  if (!state.query_deadline)
    state.query_deadline = now + m_options.query_limit;
  const std::string query = EncodeShareMessage(
      ShareMessage{ShareMessageKind::kQuery, state.group.group, {}});
  for (const auto& [vm, limits] : state.awaiting)
    effects.emplace_back(SendShareMessage{vm, query});
}

std::string GroupOwnership::MakeReport(const GroupName& group) const {
  ShareMessage report{ShareMessageKind::kReport, group, {}};
  const auto found = m_groups.find(group);
  if (found != m_groups.end()) {
    const GroupState& state = found->second;
    for (size_t index = 0; index < state.instances.size(); ++index) {
      const InstanceState& instance = state.instances[index];
      report.reserved_connections.emplace_back(
          state.group.instances[index].name,
          std::max(instance.share, instance.open + instance.opening));
    }
  }
  return EncodeShareMessage(report);
}

void GroupOwnership::OnMessage(const ShareMessageReceived& received,
                               TimePoint now,
                               Effects& effects) {
  const auto decoded = DecodeShareMessage(received.bytes);
  if (!decoded)
    return;
  const ShareMessage& message = decoded.value();
  if (message.kind == ShareMessageKind::kTrialOpened ||
      message.kind == ShareMessageKind::kTrialRefused) {
    OnTrialResult(message.kind == ShareMessageKind::kTrialOpened, now, effects);
    return;
  }
  const auto found = m_groups.find(message.group);
  if (message.kind == ShareMessageKind::kQuery) {
    if (found != m_groups.end()) {
      found->second.asked_to_shrink = true;
      Advance(found->second, now, effects);
    }
    effects.emplace_back(
        SendShareMessage{received.from, MakeReport(message.group)});
    return;
  }
  if (found == m_groups.end())
    return;
  GroupState& state = found->second;
  const auto awaited = state.awaiting.find(received.from);
  if (awaited == state.awaiting.end())
    return;
  for (size_t index = 0; index < state.instances.size(); ++index) {
    for (const auto& [instance, reserved] : message.reserved_connections) {
      if (instance == state.group.instances[index].name &&
          reserved > awaited->second[index]) {
        // A draining proxy keeps its connections while it still serves
        // requests. Opening before they close would only be refused.
        if (IsLeaving(m_view, received.from))
          state.query_deadline = now + m_options.query_limit;
        return;
      }
    }
  }
  state.awaiting.erase(awaited);
  Advance(state, now, effects);
}

}  // namespace jackdawturn::fleet
