#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "proxy/proxy_context.h"
#include "routing/routing.h"

namespace jackdawturn::proxy {

// A statement to run on a connection that the routing selects.
struct RoutedStatement {
  routing::RoutedRequest request;
  // Returns the call to the instance. `term` is set if only the primary of that
  // term may run it.
  std::function<BackendRequest(std::optional<Term> term)> make_call;
  // The term that the call was made for; in any other term it fails with
  // kWrongTerm.
  std::optional<Term> only_term;
  // Runs exactly once, with the answer or with an error: kTimeout if the
  // statement may have run, kUnavailable with the refusal's name as message if
  // it did not run.
  std::function<void(const Result<BackendResponse>& result,
                     const std::optional<routing::RefuseRequest>& refusal)>
      done;
  // If set, runs instead of the call when the connection has been selected; for
  // the begin of a transaction, which the transaction table sends itself.
  std::function<void(const routing::SendStatement& send)> on_connection;
};

// Connects the RoutingMachine to the backend port. Thread safety: not
// thread-safe; owned by the decision thread.
class RoutingHost {
 public:
  // Hooks for what the routing observes of instances.
  struct Hooks {
    // The report or failure of a call to an instance, for the suspicion of a
    // primary.
    std::function<void(const GroupName& group,
                       const InstanceName& instance,
                       const Result<InstanceReport>& result,
                       Duration round_trip)>
        on_contact;
    // A connection was opened, was refused because of the connection limit, or
    // failed to open.
    std::function<void(const InstanceName& instance,
                       routing::OpenOutcome outcome)>
        on_opened;
    // A connection of the pool was closed or lost. `was_open` is false if it
    // had not been opened yet.
    std::function<void(const InstanceName& instance, bool was_open)> on_closed;
    std::function<void(const InstanceName& instance,
                       routing::PoolConnectionId connection)>
        on_lost;
  };

  RoutingHost(ProxyContext& context, const ProxyOptions& options, Hooks hooks);

  void Route(const routing::RoutingEvent& event);
  // Starts a statement under a new internal request id.
  void Run(RoutedStatement statement);
  // Ends a statement that used `on_connection`. The connection is held from now
  // on, also after a failed begin, until ConnectionReleased states whether it
  // is clean: a begin without an answer may have opened a transaction.
  void EndBegin(const routing::SendStatement& send);

  void On(const BackendOpened& event);
  void On(const BackendLost& event);
  void OnTime();
  std::optional<TimePoint> NextWakeup() const { return m_machine.NextWakeup(); }

  const routing::RoutingMachine& machine() const { return m_machine; }

 private:
  struct Connection {
    GroupName group;
    InstanceName instance;
    bool open = false;
    bool busy = false;
  };
  using AnswerKey = std::pair<RequestId, routing::PoolConnectionId>;

  void On(const routing::SendStatement& effect);
  void On(const routing::GiveAnswer& effect);
  void On(const routing::DropAnswer& effect);
  void On(const routing::RefuseRequest& effect);
  void On(const routing::ResolveUnknownOutcome& effect);
  void On(const routing::AskReport& effect);
  void On(const routing::OpenConnection& effect);
  void On(const routing::CloseConnection& effect);

  void StatementEnded(const routing::SendStatement& send,
                      bool is_write,
                      TimePoint sent,
                      const Result<BackendResponse>& result);
  std::optional<RoutedStatement> TakeStatement(const RequestId& id);

  ProxyContext& m_context;
  Hooks m_hooks;
  routing::RoutingMachine m_machine;
  uint64_t m_last_id = 0;
  std::map<RequestId, RoutedStatement> m_statements;
  // Answers pending GiveAnswer or DropAnswer.
  std::map<AnswerKey, Result<BackendResponse>> m_answers;
  std::map<routing::PoolConnectionId, Connection> m_connections;
};

}  // namespace jackdawturn::proxy
