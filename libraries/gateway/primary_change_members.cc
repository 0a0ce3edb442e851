#include <algorithm>
#include <utility>

#include "gateway/primary_change.h"

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

using CommandKind = BackendCommand::Kind;

constexpr uint64_t kMostImportant = 0;
constexpr Duration kOpenTimeout = 350ms;
constexpr Duration kCommandTimeout = 400ms;
// An instance with a full queue replies kBusy; the command is resent after this
// time.
constexpr Duration kBusyRetryDelay = 20ms;

}  // namespace

void PrimaryChange::ProbeMembers() {
  for (const BackendServer* server : m_context.directory.All(m_options.group)) {
    m_members[server->id].server = *server;
  }
  m_awaited = m_members.size();
  if (m_awaited == 0)
    return End(Outcome::kNotPossible, "the group has no instance");
  for (const auto& [id, member] : m_members) {
    m_ports.open(member.server, kOpenTimeout,
                 [self = shared_from_this(), id = id](auto session) mutable {
                   self->MemberOpened(id, std::move(session));
                 });
  }
}

void PrimaryChange::MemberOpened(
    const InstanceName& id,
    Result<std::unique_ptr<BackendSession>> opened) {
  Member& member = m_members[id];
  member.reachable = opened || opened.error().code == ErrorCode::kExhausted;
  if (member.reachable)
    m_context.zone_reachability.Reached(id, m_context.timers.now());
  else
    m_context.zone_reachability.Failed(id, m_context.timers.now());
  if (!opened && opened.error().code == ErrorCode::kExhausted)
    return BorrowConnection(member);
  if (!opened) {
    Log("unreachable",
        {{"instance", id.value()}, {"error", opened.error().message}});
  } else {
    member.session = std::move(opened.value());
  }
  Probe(member);
}

void PrimaryChange::Probe(Member& member) {
  Command(member, CommandKind::kStatus, [this](bool) {
    if (--m_awaited == 0)
      Probed();
  });
}

void PrimaryChange::BorrowConnection(Member& member) {
  m_context.pool.Acquire(member.server, kMostImportant, kOpenTimeout,
                         [self = shared_from_this(), &member](auto connection) {
                           if (connection) {
                             member.pooled = std::move(connection.value());
                           } else {
                             self->Log("unreachable",
                                       {{"instance", member.server.id.value()},
                                        {"error", connection.error().message}});
                           }
                           self->Probe(member);
                         });
}

void PrimaryChange::ReturnConnections() {
  for (auto& [id, member] : m_members) {
    member.session.reset();
    if (!member.pooled)
      continue;
    // A command without an answer may still be in progress.
    if (member.status)
      m_context.pool.Release(std::move(member.pooled));
    else
      m_context.pool.Discard(std::move(member.pooled));
  }
}

std::vector<PrimaryChange::Member*> PrimaryChange::RespondingMembers() {
  std::vector<Member*> responding;
  for (auto& [id, member] : m_members) {
    if (member.status)
      responding.push_back(&member);
  }
  return responding;
}

void PrimaryChange::CommandAll(const std::vector<Member*>& members,
                               BackendCommand::Kind kind,
                               std::function<void()> then) {
  m_awaited = members.size();
  if (m_awaited == 0)
    return then();
  const auto shared_then =
      std::make_shared<std::function<void()>>(std::move(then));
  for (Member* member : members) {
    Command(*member, kind, [this, shared_then](bool) {
      if (--m_awaited == 0)
        (*shared_then)();
    });
  }
}

void PrimaryChange::Command(Member& member,
                            BackendCommand::Kind kind,
                            std::function<void(bool answered)> then) {
  member.status.reset();
  const uint64_t number = ++member.command;
  member.then = std::move(then);
  if (!SessionOf(member))
    return CommandEnded(member);
  member.command_timer = m_context.timers.After(
      kCommandTimeout, [self = shared_from_this(), &member, number] {
        if (number != member.command || !member.then)
          return;
        // A command without an answer may still be in progress.
        member.session.reset();
        if (member.pooled)
          self->m_context.pool.Discard(std::move(member.pooled));
        self->CommandEnded(member);
      });
  SendCommand(member, kind);
}

BackendSession* PrimaryChange::SessionOf(Member& member) {
  BackendSession* session =
      member.pooled ? member.pooled->session.get() : member.session.get();
  return session && session->is_open() ? session : nullptr;
}

void PrimaryChange::SendCommand(Member& member, BackendCommand::Kind kind) {
  BackendSession* session = SessionOf(member);
  if (!session)
    return CommandEnded(member);
  BackendCommand command;
  command.kind = kind;
  command.term = m_pause_term;
  session->Send({command}, [self = shared_from_this(), &member, kind,
                            number = member.command](const auto& replies) {
    if (number == member.command && member.then)
      self->CommandReplied(member, kind, replies);
  });
}

void PrimaryChange::CommandReplied(
    Member& member,
    BackendCommand::Kind kind,
    const Result<std::vector<BackendReply>>& replies) {
  if (replies && replies.value().front().code == ReplyCode::kBusy) {
    m_context.timers.After(kBusyRetryDelay, [self = shared_from_this(), &member,
                                             kind, number = member.command] {
      if (number == member.command && member.then)
        self->SendCommand(member, kind);
    });
    return;
  }
  if (!replies || replies.value().front().code != ReplyCode::kDone) {
    Log("command_failed", {{"instance", member.server.id.value()},
                           {"error", replies ? replies.value().front().message
                                             : replies.error().message}});
    return CommandEnded(member);
  }
  const auto status = m_ports.read_status(replies.value().front());
  if (status)
    member.status = status.value();
  else
    Log("command_failed", {{"instance", member.server.id.value()},
                           {"error", status.error().message}});
  CommandEnded(member);
}

void PrimaryChange::CommandEnded(Member& member) {
  m_context.timers.Cancel(member.command_timer);
  if (const auto then = std::exchange(member.then, nullptr))
    then(member.status.has_value());
}

uint64_t PrimaryChange::NewestTerm() const {
  uint64_t newest = 0;
  for (const auto& [id, member] : m_members) {
    if (member.status)
      newest = std::max(newest, member.status->term);
  }
  return newest;
}

bool PrimaryChange::ChooseSuccessor() {
  std::vector<PromotionCandidate> non_draining = Replicas();
  std::erase_if(non_draining,
                [](const auto& member) { return member.draining; });
  const auto chosen = ChooseNewPrimary(non_draining);
  if (!chosen)
    return false;
  m_candidate = *chosen;
  return true;
}

CommitPosition PrimaryChange::NewestReceived() const {
  CommitPosition newest;
  for (const auto& [id, member] : m_members) {
    if (member.status && (member.paused || is_old_primary(member)))
      newest = std::max(newest, member.status->received);
  }
  return newest;
}

void PrimaryChange::RefreshInstances() {
  if (!m_ports.refresh_instances) {
    m_refreshed = Success();
    return;
  }
  m_ports.refresh_instances([self = shared_from_this()](Result<void> result) {
    self->m_refreshed = std::move(result);
    self->ContinueWhenReady();
  });
}

bool PrimaryChange::InstancesKnown() const {
  // In a switchover, the old primary tells which commits it has acknowledged.
  return m_kind != Kind::kFailure ||
         m_context.store_contact.Uninterrupted(m_context.timers.now()) >=
             ServerDirectory::kUnlistedGracePeriod;
}

bool PrimaryChange::MembersUnchanged() const {
  const auto present = m_context.directory.All(m_options.group);
  for (const BackendServer* server : present) {
    const auto known = m_members.find(server->id);
    if (known == m_members.end() ||
        known->second.server.incarnation != server->incarnation)
      return false;
  }
  return true;
}

}  // namespace jackdawturn::gateway
