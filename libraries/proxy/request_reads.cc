// Reads of RequestHost.

#include <utility>

#include "proxy/request_host.h"

namespace jackdawturn::proxy {

void RequestHost::StartRead(CallerRequestNumber call, Caller& caller) {
  const ReadRequirement requirement =
      caller.positions.Requirement(caller.request.group);
  ClassTargetPtr target = caller.target;
  if (requirement.primary_only && target->allowed_age) {
    auto primary_only_target =
        std::make_shared<routing::NamedClassTarget>(*target);
    primary_only_target->allowed_age.reset();
    target = std::move(primary_only_target);
  }
  RoutedStatement routed;
  routed.request =
      MakeRoutedRequest(caller.request.group, caller.request.caller, target,
                        routing::Operation::kRead, caller.deadline);
  routed.request.required = requirement.position;
  routed.make_call = [statement = caller.request.statement](
                         std::optional<Term> term) -> BackendRequest {
    return ReadCall{term, statement};
  };
  routed.done = [this, call](const Result<BackendResponse>& result,
                             const auto& refusal) {
    if (result) {
      const auto& read = std::get<ReadResult>(result.value());
      CallerAnswer answer;
      answer.outcome = CallerOutcome::kDone;
      answer.value = read.value;
      return Answer(
          call, std::move(answer),
          read.report.primary ? ReadRole::kPrimary : ReadRole::kReplica);
    }
    if (result.error().code == ErrorCode::kInvalidArgument)
      return Invalid(call, "invalid_statement", result.error().message);
    CallerAnswer answer;
    answer.outcome = CallerOutcome::kNotRun;
    answer.reason =
        refusal ? std::string(routing::ToString(refusal->reason)) : "no_answer";
    if (refusal)
      answer.retry_after = refusal->retry_after;
    Answer(call, std::move(answer));
  };
  m_routing.Run(std::move(routed));
}

}  // namespace jackdawturn::proxy
