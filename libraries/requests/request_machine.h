#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "requests/request_types.h"

namespace jackdawturn::requests {

struct RequestOptions {
  // A call to an instance without an answer for this long counts as lost. It
  // is shortened to half of the time that is left until the deadline.
  Duration answer_timeout = std::chrono::milliseconds(200);
  // Time between repeats of a question that may be repeated at any time:
  // reports, refusals and refreshes of the group record.
  Duration repeat_interval = std::chrono::milliseconds(50);
  // Value of Answer::retry_after.
  Duration retry_after = std::chrono::milliseconds(200);
  // Asked before a write that did not run is sent again; false makes the
  // request `not_run` with reason overloaded. An empty hook allows all.
  std::function<bool()> may_resend;
};

// Brings one write, commit or outcome query to its answer (docs/design.md,
// section 5.1).
//
// `done` and a refusal in the ledger are answered only on evidence: an entry
// that the primary of term t returned, and a report of another instance with
// accepted term t, log term t and a position not before the entry. The evidence
// stays valid however late it is read, so no clock is involved.
//
// Thread safety: not thread-safe; owned by the decision thread.
class RequestMachine {
 public:
  explicit RequestMachine(RequestOptions options);

  // Precondition: the first event is SubmitRequest or DetermineOutcome, and
  // neither comes again. Events after the answer have no effect.
  std::vector<RequestEffect> Handle(const RequestEvent& event, TimePoint now);

  // When TimePassed is wanted; nothing after the answer.
  std::optional<TimePoint> NextWakeup() const;

  // True after ReplyAnswer.
  bool ended() const { return m_state == State::kEnded; }

 private:
  enum class State {
    kIdle,        // Before the first event.
    kHeld,        // Waits for a primary that can be used.
    kCalled,      // Waits for the answer to m_current.
    kConfirming,  // Has an entry and waits for its confirmation.
    kBarrier,     // Waits until the log that rejected the digest is confirmed.
    kEnded,
  };
  struct Call {
    Term term;
    InstanceName instance;
    // A write or commit whose answer has not come.
    bool may_have_run = false;
  };
  // An entry in the log of the primary of `term`.
  struct UnconfirmedEntry {
    Term term;
    InstanceName primary;
    // What the other instance must have reached.
    LogPosition position;
    // Absent when the log holds the id with another digest.
    std::optional<LedgerResult> result;
  };

  void OnEvent(const SubmitRequest& event, TimePoint now);
  void OnEvent(const DetermineOutcome& event, TimePoint now);
  void OnEvent(const GroupChanged& event, TimePoint now);
  void OnEvent(const LedgerAnswered& event, TimePoint now);
  void OnEvent(const InstanceReported& event, TimePoint now);
  void OnEvent(const TimePassed& event, TimePoint now);

  // True when a call of this or an earlier submission could still leave an
  // entry `done` in the surviving log.
  bool MayHaveRun() const;
  bool PrimaryUsable() const;
  // Makes the next call, or waits until it can be made.
  void Proceed(TimePoint now);
  void Send(TimePoint now);
  void Hold(Reason reason, TimePoint now);
  // The current call or confirmation is given up without an answer.
  void GiveUpCall(TimePoint now);
  void OnCallFailed(const Call& call, const Error& error, TimePoint now);
  void AddUnconfirmedEntry(UnconfirmedEntry unconfirmed,
                           bool current,
                           TimePoint now);
  void AskForConfirmation(TimePoint now);
  void ReplyFrom(const UnconfirmedEntry& unconfirmed);
  void OnDeadline();
  // Replies `not_run` for this submission; when it may have run, goes on to
  // find out.
  void RefuseSubmission(Reason reason, const Error& error, TimePoint now);
  void Reply(Outcome outcome, Reason reason, Answer answer = Answer());
  CallId NewCall() { return m_last_call = m_last_call.Next(); }

  RequestOptions m_options;
  State m_state = State::kIdle;
  WriteRequest m_request;
  GroupView m_view;
  // The highest term whose primary answered that it was replaced.
  Term m_refused_term;
  // True once only `refuse` may be sent.
  bool m_resolving = false;
  // True when the last call had no answer.
  bool m_suspect_connection = false;
  bool m_sent = false;
  CallId m_last_call;
  CallId m_current;
  // Calls without an answer.
  std::map<CallId, Call> m_calls;
  std::vector<UnconfirmedEntry> m_unconfirmed;
  Reason m_held_reason = Reason::kNoPrimary;
  TimePoint m_next_action;
  std::vector<RequestEffect> m_effects;
};

}  // namespace jackdawturn::requests
