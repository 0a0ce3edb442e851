#pragma once

#include <optional>
#include <string>
#include <vector>

#include "requests/transaction_types.h"

namespace jackdawturn::requests {

// Returns the answer to a commit that is not sent: `not_run` for this
// submission, or `unknown` when the caller may have submitted it before.
// Thread-safe.
Answer RefuseCommit(const WriteRequest& request,
                    Reason reason,
                    const std::string& message);

// Runs one transaction from begin to end on one pinned connection. Only
// TransactionTable creates and drives it.
//
// The connection is released only after the instance answered that the
// transaction has ended and no other call is in progress; otherwise it is
// closed, which rolls the transaction back.
//
// Thread safety: not thread-safe; owned by the decision thread.
class TransactionMachine {
 public:
  // Sends nothing yet; Start sends the begin.
  TransactionMachine(const BeginTransaction& begin,
                     const TransactionOptions& options);

  std::vector<TransactionEffect> Start(TimePoint now);

  // Precondition: the event names this transaction, its connection or group.
  std::vector<TransactionEffect> Handle(const TransactionEvent& event,
                                        TimePoint now);

  // Returns when TimePassed is due.
  std::optional<TimePoint> NextWakeup() const;

  // True when the connection was released or closed and every request was
  // answered.
  bool ended() const { return m_state == State::kEnded; }

  const PinnedConnection& on() const { return m_on; }
  const GroupName& group() const { return m_group; }

 private:
  enum class State {
    kCalled,     // A begin or statement is in progress.
    kOpen,       // Waits for the caller's next request.
    kRollback,   // A rollback is in progress.
    kCommitted,  // The RequestMachine of the commit determines the outcome.
    kEnded,
  };
  enum class Connection { kPinned, kReturned };

  void OnEvent(const BeginTransaction& event, TimePoint now);
  void OnEvent(const RunStatement& event, TimePoint now);
  void OnEvent(const CommitTransaction& event, TimePoint now);
  void OnEvent(const RollbackTransaction& event, TimePoint now);
  void OnEvent(const CallerDisconnected& event, TimePoint now);
  void OnEvent(const StatementAnswered& event, TimePoint now);
  void OnEvent(const CommitEvent& event, TimePoint now);
  void OnEvent(const ConnectionLost& event, TimePoint now);
  void OnEvent(const GroupTermChanged& event, TimePoint now);
  void OnEvent(const BeginDrain& event, TimePoint now);
  void OnEvent(const TimePassed& event, TimePoint now);

  void HandleCommit(const RequestEvent& event, TimePoint now);
  // Ends a rollback; `clean` is true when the instance confirmed it.
  void EndRollback(bool clean);
  // Closes the connection and answers the pending request, if any, with an
  // error.
  void Abort(ErrorCode code, const std::string& message);
  void ReturnConnection(bool clean);
  void Reply(ReplyId reply_to, Result<std::string> result);
  CallId NewCall(TimePoint answer_by);

  GroupName m_group;
  PinnedConnection m_on;
  TransactionOptions m_options;
  State m_state = State::kCalled;
  Connection m_connection = Connection::kPinned;
  // The caller's request that awaits a reply, if any.
  std::optional<ReplyId> m_pending_reply;
  CallId m_call;
  TimePoint m_answer_by;
  TimePoint m_idle_until;
  TimePoint m_total_until;
  std::optional<RequestMachine> m_commit;
  WriteRequest m_commit_request;
  bool m_commit_sent = false;
  std::vector<TransactionEffect> m_effects;
};

}  // namespace jackdawturn::requests
