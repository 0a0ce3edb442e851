#include "gateway/statement_execution.h"

#include <algorithm>
#include <utility>

namespace jackdawturn::gateway {

ReplyCode StatementExecution::Input::UnansweredCode() const {
  // The instance rolls an uncommitted transaction back when the connection
  // closes.
  const bool may_be_committed =
      in_transaction() ? is_commit() && changes_data() : changes_data();
  return may_be_committed ? ReplyCode::kUnknown : ReplyCode::kAborted;
}

ClientReply StatementExecution::ErrorReply(ReplyCode code,
                                           std::string message) {
  ClientReply reply;
  reply.code = code;
  reply.message = std::move(message);
  return reply;
}

const BackendReply& StatementExecution::DecidingReply(
    const std::vector<BackendReply>& replies,
    size_t index) {
  if (replies[index].code != ReplyCode::kMalformed)
    return replies[index];
  return *std::find_if(
      replies.begin(), replies.begin() + static_cast<std::ptrdiff_t>(index),
      [](const BackendReply& reply) { return reply.code != ReplyCode::kDone; });
}

ClientReply StatementExecution::ReplyOf(const BackendReply& reply) {
  ClientReply answer;
  answer.code = reply.code;
  answer.rows = reply.rows;
  answer.signature = reply.signature;
  answer.message = reply.message;
  answer.position = reply.position;
  return answer;
}

BackendCommand StatementExecution::StatementCommand(const Input& input) {
  BackendCommand command;
  command.id = input.statement.id;
  command.kind = BackendCommand::Kind::kForward;
  command.text = input.statement.text;
  if (input.prepared) {
    command.kind = BackendCommand::Kind::kExecute;
    command.name = input.prepared->SharedName();
    command.argument = input.statement.argument;
  }
  return command;
}

Duration StatementExecution::Share(Duration whole, double share) {
  return std::chrono::duration_cast<Duration>(whole * share);
}

}  // namespace jackdawturn::gateway
