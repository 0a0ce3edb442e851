#include "proxy/request_host.h"

#include <algorithm>
#include <utility>

namespace jackdawturn::proxy {

namespace {

// Reasons given by the proxy itself, in addition to those of the libraries.
constexpr const char* kNotReady = "not_ready";
constexpr const char* kUnknownGroup = "unknown_group";
constexpr const char* kUnknownClass = "unknown_class";
constexpr const char* kIdFromFuture = "id_from_future";
constexpr const char* kIdFromFutureMessage =
    "the time in the request id is more than 24 hours ahead";
constexpr Duration kMaxIdLead = std::chrono::hours(24);

bool IsOverload(routing::RefusalReason reason) {
  return reason == routing::RefusalReason::kOverloaded ||
         reason == routing::RefusalReason::kShareExceeded ||
         reason == routing::RefusalReason::kRetryBudget;
}

bool IsTransactionStep(CallerOperation operation) {
  return operation == CallerOperation::kStatement ||
         operation == CallerOperation::kCommit ||
         operation == CallerOperation::kRollback;
}

}  // namespace

RequestHost::RequestHost(ProxyContext& context,
                         const ProxyOptions& options,
                         SessionTokenCodec codec,
                         GroupHost& groups,
                         RoutingHost& routing,
                         Hooks hooks)
    : m_context(context),
      m_options(options),
      m_codec(std::move(codec)),
      m_groups(groups),
      m_routing(routing),
      m_hooks(std::move(hooks)),
      m_table(options.transactions) {}

// --- Arrival and answer -----------------------------------------------------

void RequestHost::On(const CallerRequestReceived& event) {
  Caller* caller = Admit(event);
  if (caller == nullptr)
    return;
  switch (event.request.operation) {
    case CallerOperation::kRead:
      return StartRead(event.call, *caller);
    case CallerOperation::kWrite:
      return StartWrite(event.call, *caller);
    case CallerOperation::kBegin:
      return StartBegin(event.call, *caller);
    case CallerOperation::kStatement:
      return StartStatement(event.call, *caller);
    case CallerOperation::kCommit:
      return StartCommit(event.call, *caller);
    case CallerOperation::kRollback:
      return StartRollback(event.call, *caller);
    case CallerOperation::kOutcome:
      return StartOutcome(event.call, *caller);
  }
}

RequestHost::Caller* RequestHost::Admit(const CallerRequestReceived& event) {
  Caller& caller = m_callers[event.call];
  caller.request = event.request;
  // Other operations do not use this field, but a caller may send an outcome
  // query with the body of its commit.
  if (!IsTransactionStep(event.request.operation))
    caller.request.transaction = TransactionId();
  caller.arrived = m_context.now();
  caller.deadline =
      m_context.now() + std::min(event.request.deadline.value_or(
                                     m_options.default_request_timeout),
                                 m_options.max_request_timeout);
  auto positions = m_codec.Decode(event.request.token);
  if (!positions) {
    Invalid(event.call, "bad_token", positions.error().message);
    return nullptr;
  }
  caller.positions = std::move(positions).value();
  // A transaction step uses the group and class of its begin.
  const auto transaction = m_transactions.find(caller.request.transaction);
  if (transaction != m_transactions.end()) {
    caller.request.group = transaction->second.group;
    caller.request.class_name = transaction->second.target->name;
    // One version of the targets applies to the whole transaction.
    caller.target = transaction->second.target;
  } else if (!caller.request.transaction.empty()) {
    Refuse(event.call, "transaction_ended",
           "the transaction is not open on this proxy");
    return nullptr;
  }
  if (!m_hooks.ready()) {
    Refuse(event.call, kNotReady);
    return nullptr;
  }
  if (!m_groups.Knows(caller.request.group)) {
    Invalid(event.call, kUnknownGroup, caller.request.group.value());
    return nullptr;
  }
  if (!caller.target)
    caller.target = m_hooks.target(caller.request.class_name);
  // The outcome of an earlier request can be queried after its class was
  // removed.
  if (!caller.target && caller.request.operation == CallerOperation::kOutcome)
    caller.target = std::make_shared<routing::NamedClassTarget>(
        routing::NamedClassTarget{caller.request.class_name, std::nullopt,
                                  m_options.default_request_timeout, false});
  if (!caller.target) {
    Invalid(event.call, kUnknownClass, caller.request.class_name.value());
    return nullptr;
  }
  m_hooks.on_work_changed();
  return &caller;
}

void RequestHost::Answer(CallerRequestNumber call,
                         CallerAnswer answer,
                         std::optional<ReadRole> role) {
  const auto found = m_callers.find(call);
  if (found == m_callers.end())
    return;
  Caller& caller = found->second;
  if (answer.token.empty())
    answer.token =
        caller.positions.groups().empty() && !caller.positions.overflow()
            ? caller.request.token
            : m_codec.Encode(caller.positions);
  if (answer.outcome == CallerOutcome::kNotRun && !answer.retry_after)
    answer.retry_after = kRetryAfter;
  if (answer.outcome != CallerOutcome::kDone)
    RecordFailure(caller, answer);
  if (!caller.disconnected)
    m_hooks.answer(AnswerCaller{call, std::move(answer),
                                caller.request.class_name,
                                m_context.now() - caller.arrived, role});
  m_callers.erase(found);
  m_hooks.on_work_changed();
}

void RequestHost::Refuse(CallerRequestNumber call,
                         std::string reason,
                         std::string message,
                         std::optional<Duration> retry_after) {
  const auto found = m_callers.find(call);
  if (found == m_callers.end())
    return;
  CallerAnswer answer = RefusalOf(found->second.request, std::move(reason));
  answer.message = std::move(message);
  answer.retry_after = retry_after;
  Answer(call, std::move(answer));
}

void RequestHost::Invalid(CallerRequestNumber call,
                          std::string reason,
                          std::string message) {
  CallerAnswer answer;
  answer.reason = std::move(reason);
  answer.message = std::move(message);
  Answer(call, std::move(answer));
}

void RequestHost::On(const CallerDisconnected& event) {
  const auto found = m_callers.find(event.call);
  if (found == m_callers.end())
    return;
  const CallerRequest request = found->second.request;
  const bool in_transaction = request.operation == CallerOperation::kBegin ||
                              request.operation == CallerOperation::kStatement;
  if (!in_transaction || request.transaction.empty()) {
    found->second.disconnected = true;
    return;
  }
  // A step is in progress, and the disconnected caller will not end the
  // transaction.
  m_callers.erase(found);
  Feed(requests::CallerDisconnected{request.transaction});
  m_hooks.on_work_changed();
}

requests::GroupView RequestHost::ViewOf(const GroupName& group) const {
  requests::GroupView view;
  if (const GroupRecord* record = m_groups.Record(group))
    view.record = *record;
  view.record.group = group;
  return view;
}

routing::RoutedRequest RequestHost::MakeRoutedRequest(
    const GroupName& group,
    const std::string& caller,
    ClassTargetPtr target,
    routing::Operation operation,
    TimePoint deadline) const {
  routing::RoutedRequest request;
  request.group = group;
  request.caller = routing::CallerName(caller);
  request.target = std::move(target);
  request.operation = operation;
  request.deadline = deadline;
  return request;
}

// --- Writes and outcome queries ---------------------------------------------

bool RequestHost::IsFromFuture(const RequestId& request) const {
  const auto time = RequestTime(request);
  return time && time.value() - m_context.wall_clock() > kMaxIdLead;
}

void RequestHost::StartWrite(CallerRequestNumber call, Caller& caller) {
  if (IsFromFuture(caller.request.request)) {
    // A proxy whose clock is ahead may have run the earlier submission, so its
    // outcome is queried; this submission does not run.
    if (caller.request.retry)
      return StartOutcome(call, caller);
    return Invalid(call, kIdFromFuture, kIdFromFutureMessage);
  }
  // A switchover is in progress; the write waits and goes to the new primary.
  if (m_groups.HoldsWrites(caller.request.group)) {
    m_held_writes[caller.request.group].push_back(call);
    return;
  }
  requests::WriteRequest request;
  request.group = caller.request.group;
  request.request = caller.request.request;
  request.class_name = caller.request.class_name;
  request.digest = caller.request.digest;
  request.statement = caller.request.statement;
  request.deadline = caller.deadline;
  request.repeatable = caller.target->repeatable;
  request.submitted_before = caller.request.retry;
  Write& write = m_writes[call];
  write.machine =
      std::make_unique<requests::RequestMachine>(m_options.requests);
  write.request = request;
  m_context.RecordTimelineEvent(EventKind::kRequest, request.group,
                                request.request, std::string(kAcceptedStep),
                                caller.request.caller);
  Drive(call, requests::SubmitRequest{request, ViewOf(caller.request.group)});
}

void RequestHost::StartOutcome(CallerRequestNumber call, Caller& caller) {
  requests::DetermineOutcome event;
  event.query = {caller.request.group, caller.request.request,
                 caller.request.class_name, caller.request.digest};
  event.deadline = caller.deadline;
  event.view = ViewOf(caller.request.group);
  Write& write = m_writes[call];
  write.machine =
      std::make_unique<requests::RequestMachine>(m_options.requests);
  write.request.group = caller.request.group;
  write.request.deadline = caller.deadline;
  Drive(call, event);
}

void RequestHost::Drive(CallerRequestNumber call,
                        const requests::RequestEvent& event) {
  const auto found = m_writes.find(call);
  if (found == m_writes.end())
    return;
  for (const requests::RequestEffect& effect :
       found->second.machine->Handle(event, m_context.now()))
    Do(call, effect);
  Schedule(call);
}

void RequestHost::Schedule(CallerRequestNumber call) {
  const auto found = m_writes.find(call);
  if (found == m_writes.end())
    return;
  Write& write = found->second;
  if (write.wakeup)
    m_wakeups.erase({*write.wakeup, call});
  write.wakeup = write.machine->NextWakeup();
  if (write.wakeup)
    m_wakeups.insert({*write.wakeup, call});
}

void RequestHost::Do(CallerRequestNumber call,
                     const requests::RequestEffect& effect) {
  std::visit(Overloaded{[&](const requests::SendWrite& send) {
                          SendCommand(call, send.call, send.command, false);
                        },
                        [&](const requests::SendLedgerRefusal& send) {
                          SendCommand(call, send.call, send.command, true);
                        },
                        [](const requests::SendCommit&) { VERIFY(false); },
                        [&](const requests::AskReport& ask) {
                          AskReport(ask, [this, call](const auto& reported) {
                            Drive(call, reported);
                          });
                        },
                        [&](const requests::RefreshGroup& refresh) {
                          m_groups.Refresh(refresh.group);
                        },
                        [&](const requests::ReplyAnswer& reply) {
                          Finish(call, reply.answer);
                        }},
             effect);
}

void RequestHost::SendCommand(CallerRequestNumber call,
                              requests::CallId number,
                              const requests::LedgerCommand& command,
                              bool refuse) {
  const auto found = m_writes.find(call);
  const auto caller = m_callers.find(call);
  // The routing may have refused an earlier command of the same event
  // immediately.
  if (found == m_writes.end() || caller == m_callers.end())
    return;
  Write& write = found->second;
  const bool first = !std::exchange(write.command_sent, true);
  RoutedStatement routed;
  routed.request = MakeRoutedRequest(
      write.request.group, caller->second.request.caller, caller->second.target,
      routing::Operation::kWrite, write.request.deadline);
  routed.only_term = command.term;
  routed.make_call = [command, refuse](std::optional<Term>) -> BackendRequest {
    const WriteCommand backend{command.term, command.request,
                               command.class_name, command.digest,
                               command.statement};
    if (refuse)
      return RefuseCall{backend};
    return WriteCall{backend};
  };
  routed.done = [this, call, number, first](
                    const Result<BackendResponse>& result,
                    const auto& refusal) {
    const auto found = m_writes.find(call);
    if (found == m_writes.end())
      return;
    // The write itself was not sent, so it did not run, and a retry would only
    // add to the overload. The refusal of a later command does not show that
    // the write did not run: the first command may be in flight without an
    // answer.
    if (refusal && IsOverload(refusal->reason) && first) {
      const Duration retry_after = refusal->retry_after;
      if (found->second.wakeup)
        m_wakeups.erase({*found->second.wakeup, call});
      m_writes.erase(found);
      return Refuse(call, "overloaded", "", retry_after);
    }
    if (result)
      Drive(call, requests::LedgerAnswered{
                      number, std::get<LedgerResult>(result.value())});
    else
      Drive(call, requests::LedgerAnswered{number, result.error()});
  };
  m_routing.Run(std::move(routed));
}

void RequestHost::AskReport(
    const requests::AskReport& ask,
    const std::function<void(const requests::InstanceReported&)>& on_report) {
  constexpr Duration kWait = std::chrono::milliseconds(100);
  constexpr Duration kGrace = std::chrono::milliseconds(200);
  m_context.Call(ask.instance, std::nullopt,
                 ReportCall{ask.wait_position, kWait}, kWait + kGrace,
                 [ask, on_report](const Result<BackendResponse>& result) {
                   if (!result)
                     return;
                   on_report({ask.call, ask.instance,
                              std::get<InstanceReport>(result.value())});
                 });
}

void RequestHost::Finish(CallerRequestNumber call,
                         const requests::Answer& answer) {
  const auto write = m_writes.find(call);
  if (write != m_writes.end()) {
    if (write->second.wakeup)
      m_wakeups.erase({*write->second.wakeup, call});
    m_writes.erase(write);
  }
  const auto caller = m_callers.find(call);
  if (caller == m_callers.end())
    return;
  CallerAnswer reply;
  reply.reason = answer.reason == requests::Reason::kNone
                     ? ""
                     : std::string(requests::ToString(answer.reason));
  reply.message = answer.message;
  switch (answer.outcome) {
    case requests::Outcome::kDone:
      reply.outcome = CallerOutcome::kDone;
      reply.value = answer.value;
      if (answer.confirmed)
        caller->second.positions.Record(answer.query.group, *answer.confirmed);
      break;
    case requests::Outcome::kNotRun:
      reply.outcome = answer.reason == requests::Reason::kInvalidRequest ||
                              answer.reason == requests::Reason::kIdReused
                          ? CallerOutcome::kInvalid
                          : CallerOutcome::kNotRun;
      reply.retry_after = answer.retry_after;
      // The ledger contains the refusal, so the request never runs.
      if (caller->second.request.operation != CallerOperation::kOutcome &&
          answer.scope == requests::NotRunScope::kRequest &&
          IsFromFuture(answer.query.request)) {
        reply.outcome = CallerOutcome::kInvalid;
        reply.reason = kIdFromFuture;
        reply.message = kIdFromFutureMessage;
        reply.retry_after = Duration(0);
      }
      break;
    case requests::Outcome::kUnknown:
      reply.outcome = CallerOutcome::kUnknown;
      reply.retry_after = answer.retry_after;
      reply.ask_at = TargetOf(CallerOperation::kOutcome);
      reply.digest = answer.query.digest;
      break;
  }
  if (reply.outcome == CallerOutcome::kDone)
    RecordDone(caller->second, answer);
  Answer(call, std::move(reply));
}

// --- Group changes and time -------------------------------------------------

void RequestHost::ReleaseHeldWrites(const GroupName& group) {
  const auto held = m_held_writes.find(group);
  if (held == m_held_writes.end() || m_groups.HoldsWrites(group))
    return;
  const std::vector<CallerRequestNumber> calls = std::move(held->second);
  m_held_writes.erase(held);
  for (const CallerRequestNumber call : calls) {
    const auto caller = m_callers.find(call);
    if (caller != m_callers.end())
      StartWrite(call, caller->second);
  }
}

void RequestHost::GroupChanged(const GroupName& group) {
  ReleaseHeldWrites(group);
  std::vector<CallerRequestNumber> calls;
  for (const auto& [call, write] : m_writes) {
    if (write.request.group == group)
      calls.push_back(call);
  }
  const requests::GroupView view = ViewOf(group);
  for (const CallerRequestNumber call : calls)
    Drive(call, requests::GroupChanged{view});
  if (m_groups.Record(group) != nullptr)
    Feed(requests::GroupTermChanged{view});
}

void RequestHost::OnTime() {
  while (!m_wakeups.empty() && m_wakeups.begin()->first <= m_context.now()) {
    const CallerRequestNumber call = m_wakeups.begin()->second;
    m_wakeups.erase(m_wakeups.begin());
    m_writes.at(call).wakeup.reset();
    Drive(call, requests::TimePassed{});
  }
  const auto wakeup = m_table.NextWakeup();
  if (wakeup && *wakeup <= m_context.now())
    Feed(requests::TimePassed{});
}

std::optional<TimePoint> RequestHost::NextWakeup() const {
  std::optional<TimePoint> next = m_table.NextWakeup();
  if (!m_wakeups.empty() && (!next || m_wakeups.begin()->first < *next))
    next = m_wakeups.begin()->first;
  return next;
}

}  // namespace jackdawturn::proxy
