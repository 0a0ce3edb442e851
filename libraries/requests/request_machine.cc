#include "requests/request_machine.h"

#include <algorithm>
#include <utility>

namespace jackdawturn::requests {

namespace {

// Returns why an instance refused a write or commit. A commit is answered with
// kConflict when its connection runs another transaction, or when its id was
// already used.
Reason ReasonOf(ErrorCode code, bool commit) {
  if (code != ErrorCode::kConflict)
    return Reason::kInvalidRequest;
  return commit ? Reason::kTransactionEnded : Reason::kIdReused;
}

bool IsDefinite(ErrorCode code) {
  return code != ErrorCode::kTimeout && code != ErrorCode::kInternal;
}

}  // namespace

RequestMachine::RequestMachine(RequestOptions options)
    : m_options(std::move(options)) {}

std::vector<RequestEffect> RequestMachine::Handle(const RequestEvent& event,
                                                  TimePoint now) {
  if (!ended())
    std::visit([&](const auto& item) { OnEvent(item, now); }, event);
  return std::exchange(m_effects, {});
}

std::optional<TimePoint> RequestMachine::NextWakeup() const {
  if (m_state == State::kIdle || ended())
    return std::nullopt;
  return std::min(m_next_action, m_request.deadline);
}

void RequestMachine::OnEvent(const SubmitRequest& event, TimePoint now) {
  VERIFY(m_state == State::kIdle);
  m_request = event.request;
  m_request.request = CanonicalRequestId(m_request.request);
  m_view = event.view;
  m_state = State::kHeld;
  Proceed(now);
}

void RequestMachine::OnEvent(const DetermineOutcome& event, TimePoint now) {
  VERIFY(m_state == State::kIdle);
  m_request.group = event.query.group;
  m_request.request = CanonicalRequestId(event.query.request);
  m_request.class_name = event.query.class_name;
  m_request.digest = event.query.digest;
  m_request.deadline = event.deadline;
  m_request.submitted_before = true;
  m_view = event.view;
  m_resolving = true;
  m_state = State::kHeld;
  Proceed(now);
}

void RequestMachine::OnEvent(const GroupChanged& event, TimePoint now) {
  const GroupRecord& record = event.view.record;
  const GroupRecord& known = m_view.record;
  if (m_state == State::kIdle || record.group != m_request.group ||
      record.term < known.term ||
      (record.term == known.term && known.phase == GroupPhase::kSteady &&
       record.phase == GroupPhase::kChanging))
    return;
  const bool newer = record.term > known.term || record.phase != known.phase;
  const bool reachable =
      event.view.replica_reachable && !m_view.replica_reachable;
  m_view = event.view;
  // An unchanged record must not trigger a call: its answer would cause every
  // held request to refresh the record again, in a loop.
  if (!PrimaryUsable())
    return;
  if (m_state == State::kHeld && (newer || reachable))
    Proceed(now);
  else if (m_state != State::kHeld && newer)
    GiveUpCall(now);
}

void RequestMachine::OnEvent(const LedgerAnswered& event, TimePoint now) {
  const auto found = m_calls.find(event.call);
  if (found == m_calls.end())
    return;
  const Call call = found->second;
  const bool current = m_state == State::kCalled && event.call == m_current;
  if (!event.result.has_value()) {
    const Error& error = event.result.error();
    if (IsDefinite(error.code))
      m_calls.erase(found);
    if (current)
      OnCallFailed(call, error, now);
    return;
  }
  const LedgerResult& result = event.result.value();
  if (result.entry.request != m_request.request)
    return;
  m_calls.erase(found);
  m_suspect_connection = false;
  UnconfirmedEntry unconfirmed{call.term, call.instance,
                               result.entry.at.position, result};
  if (result.entry.digest != m_request.digest)
    unconfirmed.result.reset();
  AddUnconfirmedEntry(std::move(unconfirmed), current, now);
}

void RequestMachine::OnEvent(const InstanceReported& event, TimePoint now) {
  const InstanceReport& report = event.report;
  if (m_state == State::kBarrier && event.call == m_current) {
    if (report.primary && report.accepted_term == m_view.record.term)
      AddUnconfirmedEntry(UnconfirmedEntry{report.accepted_term, event.instance,
                                           report.position, std::nullopt},
                          true, now);
    return;
  }
  for (const UnconfirmedEntry& unconfirmed : m_unconfirmed) {
    if (event.instance != unconfirmed.primary &&
        report.accepted_term == unconfirmed.term &&
        report.log_term == unconfirmed.term &&
        report.position >= unconfirmed.position) {
      ReplyFrom(unconfirmed);
      return;
    }
  }
  if (m_state == State::kConfirming &&
      report.accepted_term > m_view.record.term)
    m_effects.push_back(RefreshGroup{m_request.group, m_view.record.term});
}

void RequestMachine::OnEvent(const TimePassed& /*event*/, TimePoint now) {
  if (m_state == State::kIdle)
    return;
  if (now >= m_request.deadline) {
    OnDeadline();
    return;
  }
  if (now < m_next_action)
    return;
  switch (m_state) {
    case State::kHeld:
    case State::kBarrier:
      Proceed(now);
      break;
    case State::kCalled:
      m_suspect_connection = true;
      GiveUpCall(now);
      break;
    case State::kConfirming:
      AskForConfirmation(now);
      break;
    case State::kIdle:
    case State::kEnded:
      break;
  }
}

bool RequestMachine::MayHaveRun() const {
  const auto open_call = [](const auto& item) {
    return item.second.may_have_run;
  };
  const auto done_entry = [](const UnconfirmedEntry& unconfirmed) {
    return unconfirmed.result &&
           unconfirmed.result->entry.outcome == LedgerOutcome::kDone;
  };
  return m_request.submitted_before ||
         std::any_of(m_calls.begin(), m_calls.end(), open_call) ||
         std::any_of(m_unconfirmed.begin(), m_unconfirmed.end(), done_entry);
}

bool RequestMachine::PrimaryUsable() const {
  const GroupRecord& record = m_view.record;
  return record.phase == GroupPhase::kSteady && !record.primary.empty() &&
         record.term > m_refused_term;
}

void RequestMachine::Proceed(TimePoint now) {
  const auto& commit_on = m_request.commit_on;
  if (now >= m_request.deadline) {
    OnDeadline();
  } else if (commit_on && !m_resolving &&
             m_view.record.term != commit_on->term) {
    RefuseSubmission(Reason::kTransactionEnded, Error(), now);
  } else if (!PrimaryUsable()) {
    Hold(Reason::kNoPrimary, now);
  } else if (!m_resolving && !m_view.replica_reachable) {
    Hold(Reason::kNoReplica, now);
  } else if (!m_resolving && m_sent && m_options.may_resend &&
             !m_options.may_resend()) {
    RefuseSubmission(Reason::kOverloaded, Error(), now);
  } else {
    Send(now);
  }
}

void RequestMachine::Send(TimePoint now) {
  const GroupRecord& record = m_view.record;
  const bool commit = m_request.commit_on && !m_resolving;
  LedgerCommand command{record.term, m_request.request, m_request.class_name,
                        m_request.digest, ""};
  m_current = NewCall();
  if (m_resolving) {
    m_effects.push_back(SendLedgerRefusal{m_current, record.primary, command,
                                          m_suspect_connection});
  } else if (commit) {
    m_effects.push_back(SendCommit{m_current, *m_request.commit_on, command});
  } else {
    command.statement = m_request.statement;
    m_effects.push_back(
        SendWrite{m_current, record.primary, command, m_suspect_connection});
  }
  m_calls[m_current] =
      Call{record.term, commit ? m_request.commit_on->instance : record.primary,
           !m_resolving};
  m_sent = true;
  m_state = State::kCalled;
  m_next_action = now + std::min(m_options.answer_timeout,
                                 Duration((m_request.deadline - now) / 2));
}

void RequestMachine::Hold(Reason reason, TimePoint now) {
  m_state = State::kHeld;
  m_held_reason = reason;
  m_next_action = now + m_options.repeat_interval;
  if (reason == Reason::kNoPrimary)
    m_effects.push_back(RefreshGroup{m_request.group, m_view.record.term});
}

void RequestMachine::GiveUpCall(TimePoint now) {
  if (!m_request.repeatable || m_request.commit_on)
    m_resolving = true;
  Proceed(now);
}

void RequestMachine::OnCallFailed(const Call& call,
                                  const Error& error,
                                  TimePoint now) {
  const bool commit = m_request.commit_on && !m_resolving;
  switch (error.code) {
    case ErrorCode::kTimeout:
    case ErrorCode::kInternal:
      m_suspect_connection = true;
      GiveUpCall(now);
      return;
    case ErrorCode::kWrongTerm:
      m_refused_term = std::max(m_refused_term, call.term);
      if (commit)
        RefuseSubmission(Reason::kTransactionEnded, error, now);
      else
        Proceed(now);
      return;
    case ErrorCode::kUnavailable:
      if (commit)
        RefuseSubmission(Reason::kTransactionEnded, error, now);
      else
        Hold(Reason::kNoPrimary, now);
      return;
    case ErrorCode::kExhausted:
      // The ledger no longer stores the id, so the outcome cannot be
      // determined.
      Reply(MayHaveRun() ? Outcome::kUnknown : Outcome::kNotRun,
            Reason::kIdTooOld);
      return;
    case ErrorCode::kNotFound:
      RefuseSubmission(
          commit ? Reason::kTransactionEnded : Reason::kInvalidRequest, error,
          now);
      return;
    case ErrorCode::kConflict:
    case ErrorCode::kInvalidArgument:
    case ErrorCode::kUnauthorized:
      if (!m_resolving) {
        RefuseSubmission(ReasonOf(error.code, commit), error, now);
        return;
      }
      // The ledger of the primary has the id with another digest. Only the
      // confirmation of the primary's current log proves that no earlier
      // submission of this body can run.
      m_state = State::kBarrier;
      m_current = NewCall();
      m_next_action = now + m_options.repeat_interval;
      m_effects.push_back(AskReport{m_current, call.instance, std::nullopt});
      return;
  }
}

void RequestMachine::AddUnconfirmedEntry(UnconfirmedEntry unconfirmed,
                                         bool current,
                                         TimePoint now) {
  m_unconfirmed.push_back(std::move(unconfirmed));
  if (current)
    m_state = State::kConfirming;
  const TimePoint next_action = m_next_action;
  AskForConfirmation(now);
  if (!current)
    m_next_action = next_action;
}

void RequestMachine::AskForConfirmation(TimePoint now) {
  const UnconfirmedEntry& unconfirmed = m_unconfirmed.back();
  for (const InstanceName& instance : m_view.record.instances) {
    if (instance != unconfirmed.primary)
      m_effects.push_back(AskReport{NewCall(), instance, unconfirmed.position});
  }
  m_next_action = now + m_options.repeat_interval;
}

void RequestMachine::ReplyFrom(const UnconfirmedEntry& unconfirmed) {
  if (!unconfirmed.result) {
    Answer answer;
    answer.scope = NotRunScope::kRequest;
    answer.message = "request id was used for another body";
    Reply(Outcome::kNotRun, Reason::kIdReused, std::move(answer));
    return;
  }
  const LedgerEntry& entry = unconfirmed.result->entry;
  Answer answer;
  if (entry.outcome == LedgerOutcome::kRefused) {
    answer.scope = NotRunScope::kRequest;
    Reply(Outcome::kNotRun, Reason::kRefusedInLedger, std::move(answer));
    return;
  }
  answer.confirmed = entry.at;
  // An earlier call may have received the result of the run that wrote this
  // entry. An entry at another log position belongs to a different run.
  for (const UnconfirmedEntry& other : m_unconfirmed) {
    if (other.result && !other.result->existing &&
        other.result->entry.at == entry.at)
      answer.value = other.result->value;
  }
  Reply(Outcome::kDone, Reason::kNone, std::move(answer));
}

void RequestMachine::OnDeadline() {
  if (MayHaveRun())
    Reply(Outcome::kUnknown, Reason::kNoAnswer);
  else
    Reply(Outcome::kNotRun,
          m_state == State::kHeld ? m_held_reason : Reason::kDeadline);
}

void RequestMachine::RefuseSubmission(Reason reason,
                                      const Error& error,
                                      TimePoint now) {
  if (MayHaveRun()) {
    m_resolving = true;
    Proceed(now);
    return;
  }
  Answer answer;
  answer.message = error.message;
  Reply(Outcome::kNotRun, reason, std::move(answer));
}

void RequestMachine::Reply(Outcome outcome, Reason reason, Answer answer) {
  answer.query = OutcomeQuery{m_request.group, m_request.request,
                              m_request.class_name, m_request.digest};
  answer.outcome = outcome;
  answer.reason = reason;
  const bool retry_helps = reason != Reason::kInvalidRequest &&
                           reason != Reason::kIdReused &&
                           reason != Reason::kIdTooOld;
  if (outcome != Outcome::kDone && retry_helps)
    answer.retry_after = m_options.retry_after;
  m_state = State::kEnded;
  m_effects.push_back(ReplyAnswer{std::move(answer)});
}

}  // namespace jackdawturn::requests
