#include <optional>
#include <string>
#include <vector>

#include "requests/requests.h"

#include "support/table_test.h"

namespace jackdawturn::requests {

static const TimePoint kStart{std::chrono::seconds(10)};
static const TransactionId kId("t");
static const PinnedConnection kOn{InstanceName("i0"), ConnectionId{5}, kId,
                                  Term{1}};

static Result<std::string> Fail(ErrorCode code) {
  return Failure(code, "step", "i0", "message");
}

static GroupView View(uint64_t term) {
  GroupView view;
  view.record.group = GroupName("g");
  view.record.term = Term{term};
  view.record.primary = InstanceName("i0");
  view.record.instances = {InstanceName("i0"), InstanceName("i1")};
  return view;
}

// Drives a table with one transaction and collects its effects by kind.
struct TransactionDriver {
  TransactionTable table{TransactionOptions()};
  TimePoint now = kStart;
  CallId call;
  size_t released = 0;
  size_t closed = 0;
  std::vector<ReplyStatement> replies;
  std::optional<CallId> commit;
  std::optional<Answer> answer;

  void Feed(const TransactionEvent& event) {
    for (const TransactionEffect& effect : table.Handle(event, now)) {
      if (const auto* item = std::get_if<SendBegin>(&effect))
        call = item->call;
      else if (const auto* item = std::get_if<SendStatement>(&effect))
        call = item->call;
      else if (const auto* item = std::get_if<SendRollback>(&effect))
        call = item->call;
      else if (std::holds_alternative<ReleaseConnection>(effect))
        ++released;
      else if (std::holds_alternative<CloseConnection>(effect))
        ++closed;
      else if (const auto* item = std::get_if<ReplyStatement>(&effect))
        replies.push_back(*item);
      else if (const auto* item = std::get_if<ReplyCommit>(&effect))
        answer = item->answer;
      else if (const auto* item = std::get_if<CommitEffect>(&effect))
        if (const auto* send = std::get_if<SendCommit>(&item->effect))
          commit = send->call;
    }
  }
  void AnswerCall(Result<std::string> result,
                  ConnectionId from = kOn.connection) {
    Feed(StatementAnswered{kId, kOn.instance, from, call, std::move(result)});
  }
  void Begin() {
    Feed(BeginTransaction{ReplyId{1}, GroupName("g"), kOn});
    AnswerCall(std::string());
  }
  void Run() { Feed(RunStatement{ReplyId{2}, kId, "get k", now + kLimit}); }
  void Commit(bool submitted_before = false) {
    WriteRequest request;
    request.group = GroupName("g");
    request.request = MakeRequestId(WallTime(std::chrono::hours(1)), 1);
    request.deadline = now + kLimit;
    request.submitted_before = submitted_before;
    Feed(CommitTransaction{ReplyId{3}, kId, request, View(1)});
  }
  void FailCommit(ErrorCode code) {
    const Result<LedgerResult> result = Failure(code, "step", "i0", "message");
    Feed(CommitEvent{kId, LedgerAnswered{*commit, result}});
  }
  void Wait(Duration time) {
    now += time;
    Feed(TimePassed{});
  }

  static constexpr Duration kLimit = std::chrono::seconds(1);
};

struct EndCase {
  const char* guards_against;
  void (*end)(TransactionDriver& driver);
  size_t released;
  size_t closed;
};

static const EndCase kEndCases[] = {
    {"a clean connection that is wasted",
     [](TransactionDriver& driver) {
       driver.Feed(RollbackTransaction{ReplyId{3}, kId});
       driver.AnswerCall(std::string());
     },
     1, 0},
    {"a rollback that failed",
     [](TransactionDriver& driver) {
       driver.Feed(RollbackTransaction{ReplyId{3}, kId});
       driver.AnswerCall(Fail(ErrorCode::kConflict));
     },
     0, 1},
    {"a rollback without an answer",
     [](TransactionDriver& driver) {
       driver.Feed(CallerDisconnected{kId});
       driver.Wait(TransactionDriver::kLimit);
     },
     0, 1},
    {"a caller that disconnects during a statement",
     [](TransactionDriver& driver) {
       driver.Run();
       driver.Feed(CallerDisconnected{kId});
     },
     0, 1},
    {"a statement without an answer",
     [](TransactionDriver& driver) {
       driver.Run();
       driver.Wait(TransactionDriver::kLimit);
     },
     0, 1},
    {"a transaction that the instance no longer has",
     [](TransactionDriver& driver) {
       driver.Run();
       driver.AnswerCall(Fail(ErrorCode::kNotFound));
     },
     0, 1},
    {"a transaction that is left idle",
     [](TransactionDriver& driver) {
       driver.Wait(std::chrono::seconds(10));
       driver.AnswerCall(std::string());
     },
     1, 0},
    {"a transaction without an end",
     [](TransactionDriver& driver) {
       for (int round = 0; round < 10; ++round) {
         driver.Run();
         driver.AnswerCall(std::string("v"));
         driver.Wait(std::chrono::seconds(6));
       }
       driver.AnswerCall(std::string());
     },
     1, 0},
    {"a transaction of a replaced primary",
     [](TransactionDriver& driver) { driver.Feed(GroupTermChanged{View(2)}); },
     0, 1},
    {"a connection that broke",
     [](TransactionDriver& driver) {
       driver.Feed(ConnectionLost{kOn.instance, kOn.connection});
     },
     0, 1},
    {"a commit without an answer",
     [](TransactionDriver& driver) {
       driver.Commit();
       driver.Feed(ConnectionLost{kOn.instance, kOn.connection});
       driver.Wait(TransactionDriver::kLimit);
       cr_assert(driver.answer->outcome == Outcome::kUnknown);
     },
     0, 1},
    {"a commit that was refused",
     [](TransactionDriver& driver) {
       driver.Commit();
       driver.FailCommit(ErrorCode::kWrongTerm);
       cr_assert(driver.answer->outcome == Outcome::kNotRun);
     },
     0, 1},
};

// Guards against a connection that is reused with an open transaction, and
// against one that is neither released nor closed.
TABLE_TEST(transaction_table,
           connection_is_released_only_when_clean,
           kEndCases) {
  const EndCase& row = kEndCases[*row_index];
  TransactionDriver driver;
  driver.Begin();
  row.end(driver);
  cr_assert_eq(driver.released, row.released, "%s", row.guards_against);
  cr_assert_eq(driver.closed, row.closed, "%s", row.guards_against);
  cr_assert_eq(driver.table.size(), 0U, "%s", row.guards_against);
  cr_assert_not(driver.table.NextWakeup().has_value());
}

// Guards against an answer that is delivered to the wrong request.
Test(transaction_table, unmatched_answers_are_dropped) {
  TransactionDriver driver;
  driver.Begin();
  driver.Run();
  const CallId first = driver.call;
  driver.AnswerCall(std::string("one"));
  driver.Run();
  driver.Feed(StatementAnswered{kId, kOn.instance, kOn.connection, first,
                                std::string("late")});
  driver.AnswerCall(std::string("other connection"), ConnectionId{6});
  driver.Feed(StatementAnswered{TransactionId("x"), kOn.instance,
                                kOn.connection, driver.call,
                                std::string("other transaction")});
  cr_assert_eq(driver.replies.size(), 2U);
  cr_assert_eq(driver.table.dropped_answers(), 2U);
  driver.AnswerCall(std::string("two"));
  cr_assert_str_eq(driver.replies.back().result.value().c_str(), "two");
}

// Guards against concurrent statements on one connection, and against an
// invalid statement that ends the transaction.
Test(transaction_table, statements_run_one_at_a_time) {
  TransactionDriver driver;
  driver.Begin();
  driver.Run();
  driver.Run();
  cr_assert(driver.replies.back().result.error().code == ErrorCode::kConflict);
  driver.AnswerCall(Fail(ErrorCode::kInvalidArgument));
  cr_assert_eq(driver.table.size(), 1U);
  driver.Run();
  driver.AnswerCall(std::string("v"));
  cr_assert(driver.replies.back().result.has_value());
}

// Guards against a commit of an unknown transaction that is answered `not_run`
// although an earlier submission may have run.
Test(transaction_table, commit_of_an_unknown_transaction_is_truthful) {
  for (const bool submitted_before : {false, true}) {
    TransactionDriver driver;
    driver.Commit(submitted_before);
    cr_assert(driver.answer->outcome ==
              (submitted_before ? Outcome::kUnknown : Outcome::kNotRun));
    cr_assert(driver.answer->reason == Reason::kTransactionEnded);
  }
}

// Guards against a drain that aborts open transactions or accepts new ones.
Test(transaction_table, drain_lets_open_transactions_end) {
  TransactionDriver driver;
  driver.Begin();
  driver.Feed(BeginDrain{});
  cr_assert_not(driver.table.drained());
  PinnedConnection other = kOn;
  other.transaction = TransactionId("new");
  other.connection = ConnectionId{9};
  driver.Feed(BeginTransaction{ReplyId{4}, GroupName("g"), other});
  cr_assert(driver.replies.back().result.has_error());
  cr_assert_eq(driver.released, 1U);
  driver.Run();
  driver.AnswerCall(std::string("v"));
  driver.Feed(RollbackTransaction{ReplyId{3}, kId});
  driver.AnswerCall(std::string());
  cr_assert(driver.table.drained());
}

}  // namespace jackdawturn::requests
