// Transactions of RequestHost.

#include <utility>

#include "proxy/relay_host.h"
#include "proxy/request_host.h"

namespace jackdawturn::proxy {

namespace {

constexpr const char* kDigestMismatch = "digest_mismatch";

requests::ReplyId ToReply(CallerRequestNumber call) {
  return requests::ReplyId{call.value};
}

CallerRequestNumber ToCaller(requests::ReplyId reply_to) {
  return CallerRequestNumber{reply_to.value};
}

}  // namespace

void RequestHost::StartBegin(CallerRequestNumber call, Caller& caller) {
  if (m_draining)
    return Refuse(call, "draining");
  const TransactionId id = MakeTransactionId(m_options.vm, m_context.NewId());
  RoutedStatement routed;
  routed.request = MakeRoutedRequest(
      caller.request.group, caller.request.caller, caller.target,
      routing::Operation::kBegin, caller.deadline);
  routed.on_connection = [this, call, id](const routing::SendStatement& send) {
    const auto found = m_callers.find(call);
    const GroupRecord* record = m_groups.Steady(send.group);
    if (found == m_callers.end() || found->second.disconnected ||
        record == nullptr) {
      m_routing.EndBegin(send);
      m_routing.Route(
          routing::ConnectionReleased{send.group, send.connection, true});
      return Refuse(
          call, std::string(requests::ToString(requests::Reason::kNoPrimary)));
    }
    Caller& caller = found->second;
    caller.request.transaction = id;
    Transaction& transaction = m_transactions[id];
    transaction.group = send.group;
    transaction.target = caller.target;
    transaction.digest =
        Hash64(caller.request.class_name.value(), Hash64(send.group.value()));
    transaction.begin = send;
    requests::BeginTransaction begin;
    begin.reply_to = ToReply(call);
    begin.group = send.group;
    begin.on = {send.instance, ConnectionId{send.connection.value}, id,
                send.term.value_or(record->term)};
    Feed(begin);
  };
  routed.done = [this, call](const auto&, const auto& refusal) {
    if (refusal)
      Refuse(call, std::string(routing::ToString(refusal->reason)));
  };
  m_routing.Run(std::move(routed));
}

void RequestHost::StartStatement(CallerRequestNumber call, Caller& caller) {
  Feed(requests::RunStatement{ToReply(call), caller.request.transaction,
                              caller.request.statement, caller.deadline});
}

void RequestHost::StartCommit(CallerRequestNumber call, Caller& caller) {
  Transaction& transaction = m_transactions.at(caller.request.transaction);
  const auto& digest = caller.request.transaction_digest;
  if (digest && *digest != transaction.digest)
    return Invalid(call, kDigestMismatch,
                   "the transaction ran other statements than its caller "
                   "knows of");
  caller.request.transaction_digest = transaction.digest;
  // Any commit may have been submitted before, so its outcome is queried. The
  // transaction stays open.
  if (IsFromFuture(caller.request.request)) {
    caller.request.digest = transaction.digest;
    return StartOutcome(call, caller);
  }
  if (!transaction.commit)
    transaction.commit = call;
  requests::CommitTransaction commit;
  commit.reply_to = ToReply(call);
  commit.transaction = caller.request.transaction;
  commit.request.group = transaction.group;
  commit.request.request = caller.request.request;
  commit.request.class_name = transaction.target->name;
  commit.request.digest = transaction.digest;
  commit.request.deadline = caller.deadline;
  commit.request.submitted_before = true;
  commit.view = ViewOf(transaction.group);
  Feed(commit);
}

void RequestHost::StartRollback(CallerRequestNumber call, Caller& caller) {
  Feed(
      requests::RollbackTransaction{ToReply(call), caller.request.transaction});
}

void RequestHost::Feed(const requests::TransactionEvent& event) {
  for (const requests::TransactionEffect& effect :
       m_table.Handle(event, m_context.now()))
    Do(effect);
}

void RequestHost::Do(const requests::TransactionEffect& effect) {
  std::visit(
      Overloaded{
          [&](const requests::SendBegin& send) {
            const auto found = m_transactions.find(send.on.transaction);
            if (found == m_transactions.end())
              return;
            m_context.Call(send.on.instance,
                           BackendConnectionId{send.on.connection.value},
                           BeginCall{send.on.transaction, send.on.term},
                           m_options.transactions.answer_timeout,
                           [this, send](const Result<BackendResponse>& result) {
                             const auto transaction =
                                 m_transactions.find(send.on.transaction);
                             if (transaction != m_transactions.end())
                               HoldConnection(transaction->second);
                             StepAnswered(send.on, send.call, result, false);
                           });
          },
          [&](const requests::SendStatement& send) {
            SendStep(send.on, send.call,
                     StatementCall{send.on.transaction, send.statement}, false);
          },
          [&](const requests::SendRollback& send) {
            SendStep(send.on, send.call, RollbackCall{send.on.transaction},
                     false);
          },
          [&](const requests::ReleaseConnection& release) {
            EndTransaction(release.connection, true);
          },
          [&](const requests::CloseConnection& close) {
            EndTransaction(close.connection, false);
          },
          [&](const requests::ReplyStatement& reply) { Reply(reply); },
          [&](const requests::ReplyCommit& reply) {
            const CallerRequestNumber call = ToCaller(reply.reply_to);
            const auto found = m_transactions.find(reply.transaction);
            if (found != m_transactions.end()) {
              // A commit that is refused while another request of the
              // transaction is in progress does not end it.
              if (!m_table.Holds(reply.transaction))
                m_transactions.erase(found);
              else if (found->second.commit == call)
                found->second.commit.reset();
            }
            m_hooks.on_work_changed();
            Finish(call, reply.answer);
          },
          [&](const requests::CommitEffect& commit) {
            DoCommit(commit.transaction, commit.effect);
          }},
      effect);
}

void RequestHost::Reply(const requests::ReplyStatement& reply) {
  const CallerRequestNumber call = ToCaller(reply.reply_to);
  if (!reply.result) {
    const Error& error = reply.result.error();
    if (error.code == ErrorCode::kInvalidArgument)
      return Invalid(call, "invalid_statement", error.message);
    return Refuse(call, std::string(ToString(error.code)), error.message);
  }
  CallerAnswer answer;
  answer.outcome = CallerOutcome::kDone;
  answer.value = reply.result.value();
  answer.transaction = reply.transaction;
  const auto found = m_transactions.find(reply.transaction);
  const auto caller = m_callers.find(call);
  if (found != m_transactions.end() && caller != m_callers.end()) {
    const CallerRequest& request = caller->second.request;
    if (request.operation == CallerOperation::kStatement)
      found->second.digest = Hash64(request.statement, found->second.digest);
    answer.digest = found->second.digest;
  }
  Answer(call, std::move(answer));
}

void RequestHost::SendStep(const requests::PinnedConnection& on,
                           requests::CallId call,
                           BackendRequest request,
                           bool answer_to_commit) {
  const auto found = m_transactions.find(on.transaction);
  if (found == m_transactions.end()) {
    const Error error{ErrorCode::kUnavailable, "transaction.send",
                      on.instance.value(), "the transaction has ended"};
    return StepAnswered(on, call, error, answer_to_commit);
  }
  RoutedStatement routed;
  routed.request =
      MakeRoutedRequest(found->second.group, "", found->second.target,
                        routing::Operation::kTransactionStep,
                        m_context.now() + m_options.max_request_timeout);
  routed.request.held_connection =
      routing::PoolConnectionId{on.connection.value};
  routed.make_call = [request = std::move(request)](std::optional<Term>) {
    return request;
  };
  routed.done = [this, on, call, answer_to_commit](
                    const Result<BackendResponse>& result, const auto&) {
    StepAnswered(on, call, result, answer_to_commit);
  };
  m_routing.Run(std::move(routed));
}

void RequestHost::StepAnswered(const requests::PinnedConnection& on,
                               requests::CallId call,
                               const Result<BackendResponse>& result,
                               bool answer_to_commit) {
  if (answer_to_commit) {
    requests::LedgerAnswered answered{
        call, result
                  ? Result<LedgerResult>(std::get<LedgerResult>(result.value()))
                  : Result<LedgerResult>(result.error())};
    return Feed(requests::CommitEvent{on.transaction, std::move(answered)});
  }
  requests::StatementAnswered answered{
      on.transaction, on.instance, on.connection, call,
      result
          ? Result<std::string>(std::get<StatementResult>(result.value()).value)
          : Result<std::string>(result.error())};
  Feed(answered);
}

void RequestHost::DoCommit(const TransactionId& transaction,
                           const requests::RequestEffect& effect) {
  const auto feed = [this, transaction](const requests::RequestEvent& event) {
    Feed(requests::CommitEvent{transaction, event});
  };
  std::visit(
      Overloaded{[&](const requests::SendCommit& send) {
                   const WriteCommand command{
                       send.command.term, send.command.request,
                       send.command.class_name, send.command.digest, ""};
                   SendStep(send.on, send.call,
                            CommitCall{transaction, command}, true);
                 },
                 [&](const requests::SendWrite&) { VERIFY(false); },
                 [&](const requests::SendLedgerRefusal& send) {
                   const WriteCommand command{
                       send.command.term, send.command.request,
                       send.command.class_name, send.command.digest, ""};
                   SendRefusal(transaction, send.call, command);
                 },
                 [&](const requests::AskReport& ask) { AskReport(ask, feed); },
                 [&](const requests::RefreshGroup& refresh) {
                   m_groups.Refresh(refresh.group);
                 },
                 [&](const requests::ReplyAnswer&) {}},
      effect);
}

void RequestHost::SendRefusal(const TransactionId& transaction,
                              requests::CallId call,
                              const WriteCommand& command) {
  const auto answered = [this, transaction,
                         call](const Result<BackendResponse>& result) {
    requests::LedgerAnswered event{
        call, result
                  ? Result<LedgerResult>(std::get<LedgerResult>(result.value()))
                  : Result<LedgerResult>(result.error())};
    Feed(requests::CommitEvent{transaction, std::move(event)});
  };
  const auto found = m_transactions.find(transaction);
  if (found == m_transactions.end())
    return answered(Error{ErrorCode::kUnavailable, "transaction.refuse", "",
                          "the transaction has ended"});
  RoutedStatement routed;
  routed.request = MakeRoutedRequest(
      found->second.group, "", found->second.target, routing::Operation::kWrite,
      m_context.now() + m_options.max_request_timeout);
  routed.only_term = command.term;
  routed.make_call = [command](std::optional<Term>) -> BackendRequest {
    return RefuseCall{command};
  };
  routed.done = [answered](const Result<BackendResponse>& result, const auto&) {
    answered(result);
  };
  m_routing.Run(std::move(routed));
}

void RequestHost::HoldConnection(Transaction& transaction) {
  if (!std::exchange(transaction.held, true))
    m_routing.EndBegin(transaction.begin);
}

void RequestHost::EndTransaction(ConnectionId connection, bool clean) {
  for (auto item = m_transactions.begin(); item != m_transactions.end();
       ++item) {
    const routing::SendStatement& begin = item->second.begin;
    if (begin.connection.value != connection.value ||
        item->second.connection_returned)
      continue;
    const routing::ConnectionReleased released{begin.group, begin.connection,
                                               clean};
    item->second.connection_returned = true;
    // Needed if the begin was not sent or has no answer yet.
    HoldConnection(item->second);
    if (!item->second.commit)
      m_transactions.erase(item);
    m_hooks.on_work_changed();
    return m_routing.Route(released);
  }
}

void RequestHost::ConnectionLost(const InstanceName& instance,
                                 routing::PoolConnectionId connection) {
  Feed(requests::ConnectionLost{instance, ConnectionId{connection.value}});
}

void RequestHost::BeginDrain() {
  m_draining = true;
  Feed(requests::BeginDrain{});
}

}  // namespace jackdawturn::proxy
