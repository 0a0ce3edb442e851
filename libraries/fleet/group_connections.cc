#include <algorithm>
#include <utility>

#include "fleet/group_ownership.h"
#include "fleet/share_message.h"

namespace jackdawturn::fleet {

GroupOwnership::GroupState* GroupOwnership::GroupOf(
    const InstanceName& instance) {
  const auto found = m_instances.find(instance);
  return found == m_instances.end() ? nullptr
                                    : &m_groups.at(found->second.first);
}

const GroupOwnership::InstanceState* GroupOwnership::FindInstance(
    const InstanceName& instance) const {
  const auto found = m_instances.find(instance);
  if (found == m_instances.end())
    return nullptr;
  return &m_groups.at(found->second.first).instances[found->second.second];
}

GroupOwnership::InstanceState* GroupOwnership::FindInstance(
    const InstanceName& instance) {
  return const_cast<InstanceState*>(
      std::as_const(*this).FindInstance(instance));
}

Duration GroupOwnership::Jittered(Duration wait) {
  // Returns 1 to 1.5 times the wait.
  return wait + Duration(std::uniform_int_distribution<Duration::rep>(
                    0, wait.count() / 2)(m_random));
}

Duration GroupOwnership::NextBackoff(Duration first, Duration backoff) const {
  return backoff == Duration()
             ? first
             : std::min(backoff * 2, m_options.longest_backoff);
}

bool GroupOwnership::EndOpening(InstanceState& instance) {
  VERIFY(instance.opening > 0);
  --instance.opening;
  if (instance.opening_contested == 0)
    return false;
  --instance.opening_contested;
  --m_trials;
  return true;
}

void GroupOwnership::OnOpened(const InstanceName& name,
                              TimePoint now,
                              Effects& effects) {
  InstanceState* instance = FindInstance(name);
  if (instance == nullptr) {
    // The group was removed while the connection was being opened.
    effects.emplace_back(CloseIdleConnections{name, 1});
    return;
  }
  ++instance->open;
  // Other opens of a refused attempt can still succeed after the refusal.
  if (now >= instance->blocked_until)
    instance->backoff = Duration();
  if (EndOpening(*instance)) {
    if (m_trial_window == 1)
      BroadcastTrialResult(true, effects);
    OnTrialResult(true, now, effects);
  }
  Advance(*GroupOf(name), now, effects);
}

void GroupOwnership::ElectTakeoverProber(const std::set<VmName>& newly_dead,
                                         TimePoint now) {
  if (newly_dead.empty())
    return;
  m_trial_window = 1;
  const std::vector<VmName> candidates = Candidates(true);
  for (const VmName& vm : newly_dead) {
    const auto first = HoldersOf(GroupName(vm.value()), candidates, 1);
    if (!first.empty() && first.front() == m_options.self)
      return;
  }
  m_trial_blocked_until =
      std::max(m_trial_blocked_until, now + m_options.trial_wait);
}

void GroupOwnership::BroadcastTrialResult(bool opened, Effects& effects) {
  std::set<VmName> others;
  for (const auto& [name, state] : m_groups) {
    for (const InstanceState& instance : state.instances) {
      if (instance.share > instance.uncontested_share)
        others.insert(state.holders.begin(), state.holders.end());
    }
  }
  others.erase(m_options.self);
  const std::string bytes = EncodeShareMessage(ShareMessage{
      opened ? ShareMessageKind::kTrialOpened : ShareMessageKind::kTrialRefused,
      GroupName(),
      {}});
  for (const VmName& vm : others)
    effects.emplace_back(SendShareMessage{vm, bytes});
}

void GroupOwnership::OnTrialResult(bool opened,
                                   TimePoint now,
                                   Effects& effects) {
  if (!opened) {
    m_trial_window = 1;
    m_trial_backoff = NextBackoff(m_options.trial_backoff, m_trial_backoff);
    m_trial_blocked_until = now + Jittered(m_trial_backoff);
    return;
  }
  m_trial_backoff = Duration();
  m_trial_blocked_until = now;
  m_trial_window = m_options.trial_window;
  AdvancePending(now, effects);
}

void GroupOwnership::OnRefused(const InstanceName& name,
                               TimePoint now,
                               Effects& effects) {
  InstanceState* instance = FindInstance(name);
  if (instance == nullptr)
    return;
  if (EndOpening(*instance)) {
    if (now >= m_trial_blocked_until) {
      BroadcastTrialResult(false, effects);
      OnTrialResult(false, now, effects);
    }
  } else if (now >= instance->blocked_until) {
    // Several refusals of one attempt count once.
    instance->backoff = NextBackoff(m_options.first_backoff, instance->backoff);
    instance->blocked_until = now + Jittered(instance->backoff);
  }
  Advance(*GroupOf(name), now, effects);
}

void GroupOwnership::OnFailed(const InstanceName& name,
                              TimePoint now,
                              Effects& effects) {
  InstanceState* instance = FindInstance(name);
  if (instance == nullptr)
    return;
  EndOpening(*instance);
  instance->blocked_until = std::max(instance->blocked_until,
                                     now + Jittered(m_options.failure_backoff));
  Advance(*GroupOf(name), now, effects);
}

void GroupOwnership::OnClosed(const InstanceName& name,
                              TimePoint now,
                              Effects& effects) {
  InstanceState* instance = FindInstance(name);
  if (instance == nullptr)
    return;
  VERIFY(instance->open > 0);
  --instance->open;
  // The requested number of closes includes this connection.
  instance->closing -= std::min<size_t>(instance->closing, 1);
  Advance(*GroupOf(name), now, effects);
}

std::vector<VmName> GroupOwnership::Holders(const GroupName& group) const {
  const auto found = m_groups.find(group);
  return found == m_groups.end() ? std::vector<VmName>()
                                 : found->second.holders;
}

bool GroupOwnership::Holds(const GroupName& group) const {
  const auto found = m_groups.find(group);
  return found != m_groups.end() &&
         std::find(found->second.holders.begin(), found->second.holders.end(),
                   m_options.self) != found->second.holders.end();
}

Result<NextHop> GroupOwnership::SelectNextHop(const GroupName& group,
                                              uint64_t spread) const {
  constexpr const char* kStep = "fleet.relay";
  const auto found = m_groups.find(group);
  if (found != m_groups.end()) {
    const std::vector<VmName>& holders = found->second.holders;
    // Without other holders, the last proxy of a zone serves while it drains.
    if (Holds(group) || holders.empty())
      return NextHop{m_options.self, true};
    return NextHop{holders[spread % holders.size()], true};
  }
  const auto foreign = m_foreign.find(group);
  if (foreign == m_foreign.end())
    return Failure(ErrorCode::kNotFound, kStep, "",
                   "unknown group " + group.value());
  if (const auto learned = m_learned_holders.find(group);
      learned != m_learned_holders.end())
    return NextHop{learned->second, true};
  std::vector<VmName> contacts;
  for (const OwnershipView::Peer& peer : m_view.contacts) {
    if (!peer.leaving &&
        std::find(foreign->second.begin(), foreign->second.end(), peer.zone) !=
            foreign->second.end())
      contacts.push_back(peer.vm);
  }
  if (contacts.empty())
    return Failure(ErrorCode::kUnavailable, kStep, "",
                   "no proxy is known in a zone of group " + group.value());
  return NextHop{contacts[spread % contacts.size()], false};
}

size_t GroupOwnership::Share(const InstanceName& instance) const {
  const InstanceState* state = FindInstance(instance);
  return state == nullptr ? 0 : state->share;
}

size_t GroupOwnership::open_or_opening(const InstanceName& instance) const {
  const InstanceState* state = FindInstance(instance);
  return state == nullptr ? 0 : state->open + state->opening;
}

size_t GroupOwnership::total_open_or_opening() const {
  size_t total = 0;
  for (const auto& [name, state] : m_groups) {
    for (const InstanceState& instance : state.instances)
      total += instance.open + instance.opening;
  }
  return total;
}

size_t GroupOwnership::StateBytes() const {
  // Size of a std::map node header in common implementations.
  constexpr size_t kMapNodeOverhead = 40;
  const auto list_bytes = [](const auto& names) {
    size_t bytes = 0;
    for (const auto& name : names)
      bytes += sizeof(name) + name.value().size();
    return bytes;
  };
  size_t bytes = sizeof(*this);
  for (const auto& [name, state] : m_groups) {
    bytes += kMapNodeOverhead + sizeof(name) + name.value().size() +
             sizeof(state) + list_bytes(state.holders) +
             list_bytes(state.group.zones) +
             state.instances.size() * sizeof(InstanceState);
    for (const HeldGroup::Instance& instance : state.group.instances)
      bytes += sizeof(instance) + instance.name.value().size();
  }
  for (const auto& [name, zones] : m_foreign)
    bytes += kMapNodeOverhead + sizeof(name) + name.value().size() +
             sizeof(std::vector<ZoneName>) + list_bytes(zones);
  for (const auto& [name, location] : m_instances)
    bytes += kMapNodeOverhead + sizeof(name) + sizeof(location) +
             name.value().size() + location.first.value().size();
  bytes += (m_learned_holders.size() + m_pending.size()) *
           (kMapNodeOverhead + 2 * sizeof(GroupName));
  return bytes;
}

}  // namespace jackdawturn::fleet
