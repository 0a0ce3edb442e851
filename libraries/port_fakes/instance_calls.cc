#include "port_fakes/instance_calls.h"

#include <utility>

namespace jackdawturn {

namespace {

template <typename T>
Result<BackendResponse> Wrap(Result<T> result) {
  if (!result)
    return result.error();
  return BackendResponse(std::move(result).value());
}

Result<BackendResponse> WrapVoid(const Result<void>& result) {
  if (!result)
    return result.error();
  return BackendResponse(StatementResult{});
}

}  // namespace

Result<BackendResponse> RunCall(DatabaseInstance& database,
                                ConnectionId connection,
                                const BackendRequest& request) {
  return std::visit(
      Overloaded{
          [&](const ReportCall&) {
            return Result<BackendResponse>(database.Report());
          },
          [&](const ReadCall& call) {
            return Wrap(database.Read(call.term, call.statement));
          },
          [&](const WriteCall& call) {
            return Wrap(database.Write(call.command));
          },
          [&](const RefuseCall& call) {
            return Wrap(database.Refuse(call.command));
          },
          [&](const BeginCall& call) {
            return WrapVoid(
                database.Begin(connection, call.transaction, call.term));
          },
          [&](const StatementCall& call) -> Result<BackendResponse> {
            TRY(auto value,
                database.Execute(connection, call.transaction, call.statement));
            return BackendResponse(StatementResult{std::move(value)});
          },
          [&](const CommitCall& call) {
            return Wrap(
                database.Commit(connection, call.transaction, call.command));
          },
          [&](const RollbackCall& call) {
            return WrapVoid(database.Rollback(connection, call.transaction));
          },
          [&](const FenceCall& call) {
            return Wrap(database.Fence(call.term));
          },
          [&](const PromoteCall& call) {
            return Wrap(database.Promote(call.term));
          },
          [&](const FollowCall& call) {
            return Wrap(database.Follow(call.term, call.primary));
          },
          [&](const LedgerCall& call) {
            return Result<BackendResponse>(LedgerPage{
                database.Ledger(call.after, call.limit), database.Report()});
          },
          [&](const PurgeCall& call) {
            return Wrap(
                database.PurgeLedger(call.term, call.low_water, call.limit));
          },
          [&](const ReplicateCall& call) {
            return Wrap(
                database.BatchFor(call.summary, database.Report().position));
          },
          [&](const OpenCall&) -> Result<BackendResponse> {
            return Failure(ErrorCode::kInvalidArgument, "instance.run",
                           database.name().value(),
                           "a connection is opened by OpenBackend");
          }},
      request);
}

}  // namespace jackdawturn
