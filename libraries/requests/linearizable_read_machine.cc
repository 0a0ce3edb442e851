#include "requests/linearizable_read_machine.h"

#include <algorithm>
#include <utility>

namespace jackdawturn::requests {

std::vector<ReadEffect> LinearizableReadMachine::Handle(const ReadEvent& event,
                                                        TimePoint now) {
  if (!m_ended)
    std::visit([&](const auto& item) { OnEvent(item, now); }, event);
  return std::exchange(m_effects, {});
}

std::optional<TimePoint> LinearizableReadMachine::NextWakeup() const {
  if (!m_started || m_ended)
    return std::nullopt;
  return std::min(m_next_action, m_read.deadline);
}

void LinearizableReadMachine::OnEvent(const SubmitRead& event, TimePoint now) {
  VERIFY(!m_started);
  m_started = true;
  m_read = event.read;
  m_view = event.view;
  StartAttempt(now);
}

void LinearizableReadMachine::OnEvent(const GroupChanged& event,
                                      TimePoint now) {
  const GroupRecord& record = event.view.record;
  const GroupRecord& known = m_view.record;
  if (!m_started || record.group != m_read.group || record.term < known.term ||
      (record.term == known.term && known.phase == GroupPhase::kSteady &&
       record.phase == GroupPhase::kChanging))
    return;
  const bool newer = record.term > known.term || record.phase != known.phase;
  m_view = event.view;
  if (newer)
    StartAttempt(now);
}

void LinearizableReadMachine::OnEvent(const ReadAnswered& event,
                                      TimePoint now) {
  if (!m_attempting || event.call != m_read_call)
    return;
  if (event.result.has_value()) {
    m_suspect_connection = false;
    m_value = event.result.value();
    ServeIfComplete();
    return;
  }
  const Error& error = event.result.error();
  switch (error.code) {
    case ErrorCode::kWrongTerm:
    case ErrorCode::kUnavailable:
    case ErrorCode::kExhausted:
      RefreshRecord(now);
      return;
    case ErrorCode::kTimeout:
    case ErrorCode::kInternal:
      m_suspect_connection = true;
      StartAttempt(now);
      return;
    default: {
      ReadReply reply;
      reply.reason = Reason::kInvalidRequest;
      reply.message = error.message;
      Reply(std::move(reply));
    }
  }
}

void LinearizableReadMachine::OnEvent(const InstanceReported& event,
                                      TimePoint now) {
  if (!m_attempting || m_report_calls.count(event.call) == 0 ||
      event.instance == m_view.record.primary)
    return;
  const InstanceReport& report = event.report;
  if (report.accepted_term > m_view.record.term) {
    RefreshRecord(now);
  } else if (report.accepted_term == m_view.record.term) {
    // The report with the higher position can confirm more reads.
    if (!m_replica_report || report.position > m_replica_report->position)
      m_replica_report = report;
    ServeIfComplete();
  }
}

void LinearizableReadMachine::OnEvent(const TimePassed& /*event*/,
                                      TimePoint now) {
  if (!m_started)
    return;
  if (now >= m_read.deadline) {
    ReadReply reply;
    reply.reason = m_attempting ? Reason::kNoAnswer : Reason::kNoPrimary;
    Reply(std::move(reply));
  } else if (now >= m_next_action) {
    m_suspect_connection = m_suspect_connection || m_attempting;
    StartAttempt(now);
  }
}

void LinearizableReadMachine::StartAttempt(TimePoint now) {
  const GroupRecord& record = m_view.record;
  m_value.reset();
  m_replica_report.reset();
  m_report_calls.clear();
  if (record.phase != GroupPhase::kSteady || record.primary.empty()) {
    RefreshRecord(now);
    return;
  }
  m_attempting = true;
  m_next_action = now + m_options.answer_timeout;
  m_read_call = m_last_call = m_last_call.Next();
  m_effects.push_back(SendRead{m_read_call, record.primary, record.term,
                               m_read.statement, m_suspect_connection});
  for (const InstanceName& instance : record.instances) {
    if (instance == record.primary)
      continue;
    m_last_call = m_last_call.Next();
    m_report_calls.insert(m_last_call);
    m_effects.push_back(AskReport{m_last_call, instance, std::nullopt});
  }
}

void LinearizableReadMachine::RefreshRecord(TimePoint now) {
  m_attempting = false;
  m_next_action = now + m_options.repeat_interval;
  m_effects.push_back(RefreshGroup{m_read.group, m_view.record.term});
}

void LinearizableReadMachine::ServeIfComplete() {
  if (!m_value || !m_replica_report)
    return;
  const InstanceReport& read_at = m_value->report;
  ReadReply reply;
  reply.served = true;
  reply.value = m_value->value;
  if (m_replica_report->log_term == m_view.record.term &&
      m_replica_report->position >= read_at.position)
    reply.confirmed = TermPosition{read_at.log_term, read_at.position};
  Reply(std::move(reply));
}

void LinearizableReadMachine::Reply(ReadReply reply) {
  m_ended = true;
  m_effects.push_back(ReplyRead{std::move(reply)});
}

}  // namespace jackdawturn::requests
