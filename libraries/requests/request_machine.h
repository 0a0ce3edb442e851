#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "requests/request_types.h"

namespace jackdawturn::requests {

struct RequestOptions {
  // Timeout of a call to an instance, limited to half of the time left until
  // the deadline.
  Duration answer_timeout = std::chrono::milliseconds(200);
  // Interval between repeats of the calls that can be repeated safely: report
  // requests, refusals and refreshes of the group record.
  Duration repeat_interval = std::chrono::milliseconds(50);
  // Value of Answer::retry_after.
  Duration retry_after = std::chrono::milliseconds(200);
  // Called before a write that did not run is sent again. When it returns
  // false, the request is answered `not_run` with reason overloaded. An empty
  // hook allows every resend.
  std::function<bool()> may_resend;
};

// Processes one write, commit or outcome query until it is answered
// (docs/design.md, section 5.1).
//
// `done` and a refusal in the ledger are answered only on evidence: an entry
// that the primary of term t returned, and a report of another instance with
// accepted term t, log term t and a position not before the entry. The evidence
// does not expire, so the decision depends on no clock.
//
// Thread safety: not thread-safe; owned by the decision thread.
class RequestMachine {
 public:
  explicit RequestMachine(RequestOptions options);

  // Precondition: the first event, and no later one, is SubmitRequest or
  // DetermineOutcome. Events after the answer have no effect.
  std::vector<RequestEffect> Handle(const RequestEvent& event, TimePoint now);

  // Returns when TimePassed is due; nullopt before the first event and after
  // the answer.
  std::optional<TimePoint> NextWakeup() const;

  // True after ReplyAnswer.
  bool ended() const { return m_state == State::kEnded; }

 private:
  enum class State {
    kIdle,        // Before the first event.
    kHeld,        // Waits for a usable primary or a reachable replica.
    kCalled,      // Waits for the answer to m_current.
    kConfirming,  // Has an entry and waits for its confirmation.
    kBarrier,     // Waits until the log that rejected the digest is confirmed.
    kEnded,
  };
  struct Call {
    Term term;
    InstanceName instance;
    // True for an unanswered write or commit.
    bool may_have_run = false;
  };
  // An entry in the log of the primary of `term`.
  struct UnconfirmedEntry {
    Term term;
    InstanceName primary;
    // The position that another instance must report to confirm the entry.
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

  // Returns whether a call of this or an earlier submission may still result in
  // a `done` entry in the surviving log.
  bool MayHaveRun() const;
  bool PrimaryUsable() const;
  // Makes the next call, or waits until one is possible.
  void Proceed(TimePoint now);
  void Send(TimePoint now);
  void Hold(Reason reason, TimePoint now);
  // Abandons the current call or confirmation, which was not answered.
  void GiveUpCall(TimePoint now);
  void OnCallFailed(const Call& call, const Error& error, TimePoint now);
  void AddUnconfirmedEntry(UnconfirmedEntry unconfirmed,
                           bool current,
                           TimePoint now);
  void AskForConfirmation(TimePoint now);
  void ReplyFrom(const UnconfirmedEntry& unconfirmed);
  void OnDeadline();
  // Replies `not_run` for this submission, or, when the request may have run,
  // continues by determining its outcome.
  void RefuseSubmission(Reason reason, const Error& error, TimePoint now);
  void Reply(Outcome outcome, Reason reason, Answer answer = Answer());
  CallId NewCall() { return m_last_call = m_last_call.Next(); }

  RequestOptions m_options;
  State m_state = State::kIdle;
  WriteRequest m_request;
  GroupView m_view;
  // The highest term whose primary answered kWrongTerm.
  Term m_refused_term;
  // True once only refusals may be sent, to determine the outcome.
  bool m_resolving = false;
  // True when the last call was not answered.
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
