#include "requests/transaction_machine.h"

#include <algorithm>
#include <utility>

namespace jackdawturn::requests {

namespace {

// An invalid statement leaves the transaction open; after any other error the
// transaction has ended or its state is unknown.
bool KeepsTransaction(ErrorCode code) {
  return code == ErrorCode::kInvalidArgument;
}

Result<std::string> MakeError(ErrorCode code,
                              const PinnedConnection& on,
                              const std::string& message) {
  return Failure(code, "requests.transaction", on.instance.value(), message);
}

}  // namespace

Answer RefuseCommit(const WriteRequest& request,
                    Reason reason,
                    const std::string& message) {
  Answer answer;
  answer.query = OutcomeQuery{request.group, request.request,
                              request.class_name, request.digest};
  answer.outcome =
      request.submitted_before ? Outcome::kUnknown : Outcome::kNotRun;
  answer.reason = reason;
  answer.message = message;
  return answer;
}

TransactionMachine::TransactionMachine(const BeginTransaction& begin,
                                       const TransactionOptions& options)
    : m_group(begin.group),
      m_on(begin.on),
      m_options(options),
      m_pending_reply(begin.reply_to) {}

std::vector<TransactionEffect> TransactionMachine::Start(TimePoint now) {
  m_total_until = now + m_options.total_limit;
  m_idle_until = m_total_until;
  m_effects.push_back(SendBegin{NewCall(now + m_options.answer_timeout), m_on});
  return std::exchange(m_effects, {});
}

std::vector<TransactionEffect> TransactionMachine::Handle(
    const TransactionEvent& event,
    TimePoint now) {
  if (!ended())
    std::visit([&](const auto& item) { OnEvent(item, now); }, event);
  return std::exchange(m_effects, {});
}

std::optional<TimePoint> TransactionMachine::NextWakeup() const {
  switch (m_state) {
    case State::kCalled:
      return std::min(m_answer_by, m_total_until);
    case State::kRollback:
      return m_answer_by;
    case State::kOpen:
      return std::min(m_idle_until, m_total_until);
    case State::kCommitted:
      return m_commit->NextWakeup();
    case State::kEnded:
      break;
  }
  return std::nullopt;
}

void TransactionMachine::OnEvent(const BeginTransaction& event,
                                 TimePoint /*now*/) {
  Reply(event.reply_to,
        MakeError(ErrorCode::kConflict, m_on, "transaction id is in use"));
}

void TransactionMachine::OnEvent(const RunStatement& event, TimePoint /*now*/) {
  if (m_state != State::kOpen) {
    Reply(event.reply_to, MakeError(ErrorCode::kConflict, m_on,
                                    "another request of the transaction is in "
                                    "progress"));
    return;
  }
  m_state = State::kCalled;
  m_pending_reply = event.reply_to;
  m_effects.push_back(
      SendStatement{NewCall(event.deadline), m_on, event.statement});
}

void TransactionMachine::OnEvent(const CommitTransaction& event,
                                 TimePoint now) {
  if (m_state != State::kOpen) {
    m_effects.push_back(ReplyCommit{
        event.reply_to, m_on.transaction,
        RefuseCommit(event.request, Reason::kInvalidRequest,
                     "another request of the transaction is in progress")});
    return;
  }
  m_state = State::kCommitted;
  m_pending_reply = event.reply_to;
  SubmitRequest submit{event.request, event.view};
  submit.request.group = m_group;
  submit.request.commit_on = m_on;
  m_commit_request = submit.request;
  m_call = CallId();
  m_commit.emplace(m_options.commit);
  HandleCommit(submit, now);
}

void TransactionMachine::OnEvent(const RollbackTransaction& event,
                                 TimePoint now) {
  if (m_state == State::kCalled) {
    Abort(ErrorCode::kUnavailable, "transaction was rolled back");
    Reply(event.reply_to, std::string());
    return;
  }
  if (m_state != State::kOpen) {
    Reply(event.reply_to,
          MakeError(ErrorCode::kConflict, m_on, "transaction is ending"));
    return;
  }
  m_state = State::kRollback;
  m_pending_reply = event.reply_to;
  m_effects.push_back(
      SendRollback{NewCall(now + m_options.answer_timeout), m_on});
}

void TransactionMachine::OnEvent(const CallerDisconnected& /*event*/,
                                 TimePoint now) {
  m_pending_reply.reset();
  if (m_state == State::kCalled) {
    Abort(ErrorCode::kUnavailable, "caller is gone");
  } else if (m_state == State::kOpen) {
    m_state = State::kRollback;
    m_effects.push_back(
        SendRollback{NewCall(now + m_options.answer_timeout), m_on});
  }
}

void TransactionMachine::OnEvent(const StatementAnswered& event,
                                 TimePoint now) {
  if (event.call != m_call ||
      (m_state != State::kCalled && m_state != State::kRollback))
    return;
  const bool succeeded = event.result.has_value();
  if (m_state == State::kRollback) {
    EndRollback(succeeded);
    return;
  }
  if (!succeeded && !KeepsTransaction(event.result.error().code)) {
    const Error& error = event.result.error();
    Abort(error.code, error.message);
    return;
  }
  m_state = State::kOpen;
  m_idle_until = now + m_options.idle_limit;
  if (m_pending_reply)
    Reply(*m_pending_reply, event.result);
  m_pending_reply.reset();
}

void TransactionMachine::OnEvent(const CommitEvent& event, TimePoint now) {
  if (m_state == State::kCommitted)
    HandleCommit(event.event, now);
}

void TransactionMachine::OnEvent(const ConnectionLost& /*event*/,
                                 TimePoint now) {
  if (m_state == State::kRollback) {
    EndRollback(false);
    return;
  }
  if (m_state != State::kCommitted) {
    Abort(ErrorCode::kUnavailable, "connection to the instance was lost");
    return;
  }
  const bool sent = m_commit_sent;
  ReturnConnection(false);
  if (!sent) {
    m_state = State::kEnded;
    if (m_pending_reply)
      m_effects.push_back(
          ReplyCommit{*m_pending_reply, m_on.transaction,
                      RefuseCommit(m_commit_request, Reason::kTransactionEnded,
                                   "connection to the instance was lost")});
    m_pending_reply.reset();
  } else if (m_call != CallId()) {
    // The commit may have reached the instance. The timeout makes its machine
    // stop waiting for the answer.
    HandleCommit(
        LedgerAnswered{m_call,
                       Failure(ErrorCode::kTimeout, "requests.commit",
                               m_on.instance.value(), "connection was lost")},
        now);
  }
}

void TransactionMachine::OnEvent(const GroupTermChanged& event, TimePoint now) {
  if (m_state == State::kCommitted)
    HandleCommit(GroupChanged{event.view}, now);
  else if (event.view.record.term > m_on.term && m_state == State::kRollback)
    EndRollback(false);
  else if (event.view.record.term > m_on.term)
    Abort(ErrorCode::kWrongTerm, "the primary of the group is being replaced");
}

void TransactionMachine::OnEvent(const BeginDrain& /*event*/,
                                 TimePoint /*now*/) {}

void TransactionMachine::OnEvent(const TimePassed& event, TimePoint now) {
  if (m_state == State::kCommitted) {
    HandleCommit(event, now);
    return;
  }
  const auto wakeup = NextWakeup();
  if (!wakeup || now < *wakeup)
    return;
  if (m_state == State::kCalled) {
    Abort(ErrorCode::kTimeout, "no answer in time, transaction is rolled back");
  } else if (m_state == State::kOpen) {
    m_state = State::kRollback;
    m_effects.push_back(
        SendRollback{NewCall(now + m_options.answer_timeout), m_on});
  } else {
    EndRollback(false);
  }
}

void TransactionMachine::HandleCommit(const RequestEvent& event,
                                      TimePoint now) {
  // After any answer but success the state of the connection is unknown.
  if (const auto* answered = std::get_if<LedgerAnswered>(&event);
      answered != nullptr && answered->call == m_call) {
    ReturnConnection(answered->result.has_value());
    m_call = CallId();
  }
  for (RequestEffect& effect : m_commit->Handle(event, now)) {
    if (auto* reply = std::get_if<ReplyAnswer>(&effect)) {
      if (m_pending_reply)
        m_effects.push_back(ReplyCommit{*m_pending_reply, m_on.transaction,
                                        std::move(reply->answer)});
      m_pending_reply.reset();
      ReturnConnection(false);
      m_state = State::kEnded;
      continue;
    }
    if (const auto* send = std::get_if<SendCommit>(&effect)) {
      m_call = send->call;
      m_commit_sent = true;
    }
    m_effects.push_back(CommitEffect{m_on.transaction, std::move(effect)});
  }
}

void TransactionMachine::EndRollback(bool clean) {
  // Closing the connection also rolls back, so the caller's rollback succeeds
  // in either case.
  ReturnConnection(clean);
  m_state = State::kEnded;
  if (m_pending_reply)
    Reply(*m_pending_reply, std::string());
  m_pending_reply.reset();
}

void TransactionMachine::Abort(ErrorCode code, const std::string& message) {
  ReturnConnection(false);
  m_state = State::kEnded;
  if (m_pending_reply)
    Reply(*m_pending_reply, MakeError(code, m_on, message));
  m_pending_reply.reset();
}

void TransactionMachine::ReturnConnection(bool clean) {
  if (std::exchange(m_connection, Connection::kReturned) ==
      Connection::kReturned)
    return;
  if (clean)
    m_effects.push_back(ReleaseConnection{m_on.instance, m_on.connection});
  else
    m_effects.push_back(CloseConnection{m_on.instance, m_on.connection});
}

void TransactionMachine::Reply(ReplyId reply_to, Result<std::string> result) {
  m_effects.push_back(
      ReplyStatement{reply_to, m_on.transaction, std::move(result)});
}

CallId TransactionMachine::NewCall(TimePoint answer_by) {
  m_answer_by = answer_by;
  return m_call = m_call.Next();
}

}  // namespace jackdawturn::requests
