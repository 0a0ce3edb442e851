#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "proxy/group_host.h"
#include "proxy/proxy_context.h"
#include "proxy/routing_host.h"
#include "requests/requests.h"
#include "sessions/sessions.h"

namespace jackdawturn::proxy {

using ClassTargetPtr = std::shared_ptr<const routing::NamedClassTarget>;

// Serves the requests of callers: writes and outcome queries through
// RequestMachine, transactions through TransactionTable, reads through the
// routing. Thread safety: not thread-safe; owned by the decision thread.
class RequestHost {
 public:
  struct Hooks {
    // Returns the target of a class in the version in force; nullptr if the
    // class is unknown.
    std::function<ClassTargetPtr(const ClassName& name)> target;
    // Returns whether targets were received and this proxy has caught up.
    std::function<bool()> ready;
    // Delivers the answer to a request.
    std::function<void(AnswerCaller answer)> answer;
    std::function<void()> on_work_changed;
  };

  RequestHost(ProxyContext& context,
              const ProxyOptions& options,
              SessionTokenCodec codec,
              GroupHost& groups,
              RoutingHost& routing,
              Hooks hooks);

  void On(const CallerRequestReceived& event);
  void On(const CallerDisconnected& event);
  // Handles a change of the record, a hold or the reachability of a group.
  void GroupChanged(const GroupName& group);
  void ConnectionLost(const InstanceName& instance,
                      routing::PoolConnectionId connection);
  // Refuses new transactions from now on.
  void BeginDrain();
  void OnTime();
  std::optional<TimePoint> NextWakeup() const;

  size_t requests() const { return m_callers.size(); }
  bool draining() const { return m_draining; }
  size_t transactions() const { return m_transactions.size(); }

 private:
  // A caller that waits for its answer.
  struct Caller {
    CallerRequest request;
    SessionPositions positions;
    ClassTargetPtr target;
    TimePoint arrived;
    TimePoint deadline;
    bool disconnected = false;
  };
  // A write, commit or outcome query in progress. It continues after its caller
  // has disconnected, because its outcome must become final.
  struct Write {
    std::unique_ptr<requests::RequestMachine> machine;
    requests::WriteRequest request;
    // True when a command has been passed to the routing.
    bool command_sent = false;
    std::optional<TimePoint> wakeup;
  };
  // A transaction that this proxy holds.
  struct Transaction {
    GroupName group;
    // The class target at the begin; it applies until the transaction ends.
    ClassTargetPtr target;
    // Hash over the class, the group and all statements that ran.
    uint64_t digest = 0;
    routing::SendStatement begin;
    // True when the routing has been informed that the begin ended; it holds
    // the connection from then on.
    bool held = false;
    // True when the connection has been returned to the routing.
    bool connection_returned = false;
    // The commit whose RequestMachine still needs group and class.
    std::optional<CallerRequestNumber> commit;
  };

  Caller* Admit(const CallerRequestReceived& event);
  void StartRead(CallerRequestNumber call, Caller& caller);
  void StartWrite(CallerRequestNumber call, Caller& caller);
  void ReleaseHeldWrites(const GroupName& group);
  void StartOutcome(CallerRequestNumber call, Caller& caller);
  void StartBegin(CallerRequestNumber call, Caller& caller);
  void StartStatement(CallerRequestNumber call, Caller& caller);
  void StartCommit(CallerRequestNumber call, Caller& caller);
  void StartRollback(CallerRequestNumber call, Caller& caller);

  // Returns whether the time in the id is too far ahead of the wall clock; its
  // ledger entry would outlive the retention.
  bool IsFromFuture(const RequestId& request) const;
  requests::GroupView ViewOf(const GroupName& group) const;
  routing::RoutedRequest MakeRoutedRequest(const GroupName& group,
                                           const std::string& caller,
                                           ClassTargetPtr target,
                                           routing::Operation operation,
                                           TimePoint deadline) const;

  // Writes.
  void Drive(CallerRequestNumber call, const requests::RequestEvent& event);
  void Do(CallerRequestNumber call, const requests::RequestEffect& effect);
  void SendCommand(CallerRequestNumber call,
                   requests::CallId number,
                   const requests::LedgerCommand& command,
                   bool refuse);
  void AskReport(
      const requests::AskReport& ask,
      const std::function<void(const requests::InstanceReported&)>& on_report);
  void Schedule(CallerRequestNumber call);
  void Finish(CallerRequestNumber call, const requests::Answer& answer);

  // Transactions.
  void Feed(const requests::TransactionEvent& event);
  void Do(const requests::TransactionEffect& effect);
  void Reply(const requests::ReplyStatement& reply);
  void SendStep(const requests::PinnedConnection& on,
                requests::CallId call,
                BackendRequest request,
                bool answer_to_commit);
  void StepAnswered(const requests::PinnedConnection& on,
                    requests::CallId call,
                    const Result<BackendResponse>& result,
                    bool answer_to_commit);
  void DoCommit(const TransactionId& transaction,
                const requests::RequestEffect& effect);
  void SendRefusal(const TransactionId& transaction,
                   requests::CallId call,
                   const WriteCommand& command);
  void HoldConnection(Transaction& transaction);
  void EndTransaction(ConnectionId connection, bool clean);

  void Answer(CallerRequestNumber call,
              CallerAnswer answer,
              std::optional<ReadRole> role = std::nullopt);
  // Append the event of an answer to the timeline.
  void RecordDone(const Caller& caller, const requests::Answer& answer);
  void RecordFailure(const Caller& caller, const CallerAnswer& answer);
  void Refuse(CallerRequestNumber call,
              std::string reason,
              std::string message = "",
              std::optional<Duration> retry_after = std::nullopt);
  void Invalid(CallerRequestNumber call,
               std::string reason,
               std::string message);

  ProxyContext& m_context;
  const ProxyOptions& m_options;
  SessionTokenCodec m_codec;
  GroupHost& m_groups;
  RoutingHost& m_routing;
  Hooks m_hooks;
  std::map<CallerRequestNumber, Caller> m_callers;
  std::map<CallerRequestNumber, Write> m_writes;
  // Writes that wait for the end of a switchover.
  std::map<GroupName, std::vector<CallerRequestNumber>> m_held_writes;
  std::set<std::pair<TimePoint, CallerRequestNumber>> m_wakeups;
  requests::TransactionTable m_table;
  std::map<TransactionId, Transaction> m_transactions;
  bool m_draining = false;
};

}  // namespace jackdawturn::proxy
