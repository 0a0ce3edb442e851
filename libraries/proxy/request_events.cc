#include <string>
#include <utility>

#include "proxy/request_host.h"

namespace jackdawturn::proxy {

void RequestHost::RecordDone(const Caller& caller,
                             const requests::Answer& answer) {
  ProxyContext::Fields fields{
      {std::string(kOutcomeField), std::string(kDoneOutcome)}};
  if (answer.confirmed) {
    fields[std::string(kTermField)] =
        std::to_string(answer.confirmed->term.value);
    fields[std::string(kRoleField)] = std::string(kPrimaryRole);
    if (const GroupRecord* record = m_groups.Steady(answer.query.group))
      fields[std::string(kInstanceField)] = record->primary.value();
  }
  m_context.RecordTimelineEvent(EventKind::kAnswer, answer.query.group,
                                answer.query.request, "answered",
                                caller.request.caller, std::move(fields));
}

void RequestHost::RecordFailure(const Caller& caller,
                                const CallerAnswer& answer) {
  const CallerRequest& request = caller.request;
  const TimePoint now = m_context.now();
  ProxyContext::Fields fields{
      {"time_left_us", std::to_string((caller.deadline - now).count())}};
  if (!request.transaction.empty())
    fields["transaction"] = request.transaction.value();
  if (!answer.message.empty())
    fields["message"] = answer.message;
  if (answer.retry_after)
    fields["retry_after_us"] = std::to_string(answer.retry_after->count());
  // The state of the group in this proxy when the request failed.
  if (const GroupRecord* record = m_groups.Record(request.group)) {
    fields[std::string(kTermField)] = std::to_string(record->term.value);
    fields["primary"] = record->primary.value();
    fields["steady"] = m_groups.Steady(request.group) ? "true" : "false";
    fields["held"] = m_groups.HoldsWrites(request.group) ? "true" : "false";
  }
  m_context.RecordFailure(request, answer, caller.arrived, std::move(fields));
}

}  // namespace jackdawturn::proxy
