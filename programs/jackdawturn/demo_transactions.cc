// The transactions of DemoLoad.

#include <utility>

#include "demo_load.h"

namespace jackdawturn {

namespace {

constexpr uint64_t kMaxStatements = 2;
// One of so many transactions is rolled back by its caller.
constexpr uint64_t kRollbackEvery = 5;

}  // namespace

void DemoLoad::BeginTransaction(Caller& caller) {
  auto transaction = std::make_shared<OpenTransaction>();
  transaction->proxy = &NextProxy(caller);
  transaction->amount = transaction->statements_left =
      1 + caller.random() % kMaxStatements;
  transaction->roll_back = caller.random() % kRollbackEvery == 0;
  CallerRequest& begin = transaction->step;
  begin.operation = CallerOperation::kBegin;
  begin.group = m_options.groups[caller.random() % m_options.groups.size()];
  begin.class_name = m_write_classes[caller.random() % m_write_classes.size()];
  begin.token = caller.token;
  begin.deadline = kDeadline;
  SendStep(caller, transaction);
}

void DemoLoad::SendStep(Caller& caller, const SharedTransaction& transaction) {
  const CallerRequest& step = transaction->step;
  transaction->proxy->Send(
      "POST", TargetOf(step.operation), EncodeRequest(step), kClientTimeout,
      [this, &caller, transaction](const Result<HttpResponse>& response) {
        StepAnswered(caller, transaction, response);
      });
}

void DemoLoad::StepAnswered(Caller& caller,
                            const SharedTransaction& transaction,
                            const Result<HttpResponse>& response) {
  const CallerRequest& step = transaction->step;
  if (step.operation == CallerOperation::kCommit)
    return Answered(caller, step, transaction->amount, true, response);
  const Result<CallerAnswer> decoded =
      response ? DecodeAnswer(response.value())
               : Result<CallerAnswer>(response.error());
  if (decoded && !decoded.value().token.empty())
    caller.token = decoded.value().token;
  const bool done = decoded && decoded.value().outcome == CallerOutcome::kDone;
  if (step.operation == CallerOperation::kRollback) {
    ++m_tally.rolled_back;
  } else if (done) {
    return ContinueTransaction(caller, transaction, decoded.value());
  } else if (decoded && decoded.value().outcome == CallerOutcome::kInvalid) {
    ++m_tally.transactions.invalid;
  } else {
    // The proxy rolls a transaction back that does not go on.
    ++m_tally.transactions.not_run;
    ++m_tally.refusals[decoded ? decoded.value().reason : decoded.error().step];
  }
  Pause(caller, m_options.pause);
}

void DemoLoad::ContinueTransaction(Caller& caller,
                                   const SharedTransaction& transaction,
                                   const CallerAnswer& answer) {
  CallerRequest& step = transaction->step;
  step.transaction = answer.transaction;
  step.token = caller.token;
  if (transaction->statements_left > 0) {
    --transaction->statements_left;
    step.operation = CallerOperation::kStatement;
    step.statement = "add " + caller.key + " 1";
    return SendStep(caller, transaction);
  }
  step.statement.clear();
  step.operation = transaction->roll_back ? CallerOperation::kRollback
                                          : CallerOperation::kCommit;
  if (!transaction->roll_back) {
    step.request = MakeRequestId(Now(), caller.random());
    step.transaction_digest = answer.digest;
    // An outcome question, should one be needed, takes the digest from here.
    step.digest = answer.digest.value_or(0);
  }
  SendStep(caller, transaction);
}

}  // namespace jackdawturn
