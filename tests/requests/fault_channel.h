#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include "requests/requests.h"
#include "sessions/sessions.h"

#include "fault_servers.h"

namespace jackdawturn::requests {

// Deliberately faulty behavior, injected in the wiring around the machines.
enum class Mutant {
  kNone,
  kNoConfirmation,   // `done` is answered without a confirmation.
  kUnknownIsNotRun,  // An unknown outcome is answered as `not_run`.
  kRefusalNotSent,   // `not_run` is answered without a ledger entry.
  kRetryUnderNewId,  // A write without an answer is sent under a new id.
  kNoRefusal,        // No refusal follows a missing answer.
  kNoReports,        // Reports of replicas are lost.
  kPositionIgnored,  // A replica serves a read at any position.
  kTokenNotUpdated,  // The new position is not recorded in the token.
  kLinearizableReadUnchecked,  // No replica confirms the term of the primary.
  kAnswersCrossed,   // An answer is sent to the caller of the latest request.
  kDirtyConnection,  // A connection is reused with its transaction open.
};

// A reply to a caller; exactly one of the first three members is set.
struct CallerReply {
  std::optional<Answer> answer;
  std::optional<Result<std::string>> statement;
  std::optional<ReadReply> read;
  std::string token;
};
using ReplyHook = std::function<void(const CallerReply&)>;

// The part of a proxy that all requests share: calls to instances, timers and
// replies to callers.
class FaultChannel {
 public:
  FaultChannel(FaultServers& servers,
               const SessionTokenCodec& codec,
               size_t index,
               Mutant mutant)
      : m_servers(servers),
        m_codec(codec),
        m_index(index),
        m_mutant(mutant),
        m_view(servers.view()) {}

  std::string node() const { return ProxyNode(m_index); }

  // Returns the connections to `instance` in use, shared or pinned.
  std::vector<uint64_t> Connections(size_t instance) const {
    std::vector<uint64_t> connections = {m_shared[instance]};
    for (const auto& [at, connection] : m_open) {
      if (at == instance)
        connections.push_back(connection.value);
    }
    return connections;
  }

 protected:
  struct Waiting {
    std::string token;
    ReplyHook hook;
  };

  template <typename Map>
  static std::vector<uint64_t> Keys(const Map& map) {
    std::vector<uint64_t> keys;
    for (const auto& item : map)
      keys.push_back(item.first);
    return keys;
  }

  uint64_t Register(std::string token, ReplyHook hook) {
    m_last_reply = ++m_last_key;
    m_replies[m_last_key] = Waiting{std::move(token), std::move(hook)};
    return m_last_key;
  }

  void Reply(uint64_t key,
             CallerReply reply,
             std::optional<TermPosition> confirmed) {
    if (m_mutant == Mutant::kAnswersCrossed && m_last_reply > key &&
        m_replies.count(m_last_reply) != 0)
      key = m_last_reply;
    const auto found = m_replies.find(key);
    if (found == m_replies.end())
      return;
    SessionPositions positions = m_codec.Decode(found->second.token).value();
    if (confirmed && m_mutant != Mutant::kTokenNotUpdated)
      positions.Record(m_view.record.group, *confirmed);
    reply.token = m_codec.Encode(positions);
    const ReplyHook hook = std::move(found->second.hook);
    m_replies.erase(found);
    if (m_servers.Has(Fault::kLostAnswer) && m_servers.Chance(15))
      return;
    m_servers.network().Send(node(), "callers", [hook, reply] { hook(reply); });
  }

  // Sends one call to an instance over `connection`. The channel itself reports
  // an error only when the instance is down.
  template <typename Reply>
  void Call(size_t instance,
            uint64_t connection,
            std::function<Reply(DatabaseInstance&)> serve,
            std::function<void(const Reply&)> deliver,
            bool may_repeat = false) {
    const std::string to = InstanceNode(instance);
    if (m_servers.IsUnresponsive(m_index, instance, connection))
      return;
    if constexpr (!std::is_same_v<Reply, InstanceReport>) {
      if (!m_servers.network().IsUp(to) && m_servers.Chance(50)) {
        m_servers.network().After(node(), Milliseconds(1), [deliver, to] {
          deliver(Failure(ErrorCode::kUnavailable, "call", to, "refused"));
        });
        return;
      }
    }
    m_servers.network().Send(node(), to, [=, this] {
      const Reply reply = serve(m_servers.instance(instance));
      m_servers.AfterAppend(instance);
      const bool lost =
          m_servers.Has(Fault::kLostAnswer) && m_servers.Chance(25);
      if (!lost && !m_servers.IsUnresponsive(m_index, instance, connection))
        m_servers.network().Send(to, node(), [=] { deliver(reply); });
    });
    // The network delivers a duplicate late; its answer is discarded.
    if (may_repeat && m_servers.Has(Fault::kLateDuplicate) &&
        m_servers.Chance(30))
      m_servers.scheduler().After(
          Milliseconds(5 + m_servers.Below(900)), [=, this] {
            m_servers.network().Send("late", to, [=, this] {
              (void)serve(m_servers.instance(instance));
              m_servers.AfterAppend(instance);
            });
          });
  }

  // Calls `fire` at the wakeup time of a machine.
  template <typename Next, typename Fire>
  void Schedule(Next next, Fire fire) {
    const std::optional<TimePoint> wakeup = next();
    if (!wakeup)
      return;
    const Duration delay =
        std::max(Duration(0), Duration(*wakeup - m_servers.now()));
    m_servers.network().After(node(), delay, [next, fire, wakeup] {
      // If the wakeup has moved, another timer is responsible for it.
      if (next() == wakeup)
        fire();
    });
  }

  void SendReport(const AskReport& ask,
                  std::function<void(const InstanceReported&)> deliver) {
    const size_t instance = IndexOf(ask.instance);
    const std::string to = InstanceNode(instance);
    m_servers.network().Send(node(), to, [=, this] {
      m_servers.WhenReached(
          instance, ask.wait_position.value_or(LogPosition()),
          [=, this](const InstanceReport& report) {
            m_servers.network().Send(to, node(), [=] {
              deliver(InstanceReported{ask.call, ask.instance, report});
            });
          });
    });
  }

  void KeepForReuse(size_t instance, ConnectionId connection) {
    if (m_open.count({instance, connection}) != 0)
      m_free.push_back({instance, connection});
  }

  void ForgetReplies() {
    m_replies.clear();
    m_free.clear();
    m_last_reply = 0;
  }

  FaultServers& m_servers;
  const SessionTokenCodec& m_codec;
  size_t m_index;
  Mutant m_mutant;
  GroupView m_view;
  uint64_t m_last_key = 0;
  uint64_t m_last_reply = 0;
  std::map<uint64_t, Waiting> m_replies;
  // First number of the shared connections, so that they differ from pinned
  // ones.
  static constexpr uint64_t kFirstShared = 1'000'000;
  uint64_t m_shared[kInstances] = {kFirstShared, kFirstShared, kFirstShared};
  std::set<std::pair<size_t, ConnectionId>> m_open;
  std::vector<std::pair<size_t, ConnectionId>> m_free;
};

}  // namespace jackdawturn::requests
