#include <optional>
#include <string>
#include <vector>

#include "requests/requests.h"

#include "support/table_test.h"

namespace jackdawturn::requests {

static const TimePoint kStart{std::chrono::seconds(10)};
static const Duration kDeadline = std::chrono::seconds(1);

static TermPosition At(uint64_t term, uint64_t position) {
  return TermPosition{Term{term}, LogPosition{position}};
}

static GroupView View(uint64_t term,
                      const char* primary,
                      bool replica_reachable = true) {
  GroupView view;
  view.record.group = GroupName("g");
  view.record.term = Term{term};
  view.record.primary = InstanceName(primary);
  view.record.phase =
      *primary == '\0' ? GroupPhase::kChanging : GroupPhase::kSteady;
  for (const char* name : {"i0", "i1", "i2"})
    view.record.instances.push_back(InstanceName(name));
  view.replica_reachable = replica_reachable;
  return view;
}

static WriteRequest Request(bool commit = false) {
  WriteRequest request;
  request.group = GroupName("g");
  request.request = MakeRequestId(WallTime(std::chrono::hours(1)), 1);
  request.digest = 7;
  request.statement = commit ? "" : "add k 1";
  request.deadline = kStart + kDeadline;
  if (commit)
    request.commit_on = PinnedConnection{InstanceName("i0"), ConnectionId{1},
                                         TransactionId("t"), Term{1}};
  return request;
}

// Drives one machine and keeps its latest effect of each kind.
struct RequestDriver {
  RequestMachine machine{RequestOptions()};
  std::optional<SendWrite> write;
  std::optional<SendCommit> commit;
  std::optional<SendLedgerRefusal> refusal;
  std::optional<AskReport> report;
  std::optional<Answer> answer;
  size_t calls = 0;
  size_t refreshes = 0;

  void Feed(const RequestEvent& event, TimePoint now = kStart) {
    for (const RequestEffect& effect : machine.Handle(event, now)) {
      if (const auto* item = std::get_if<SendWrite>(&effect))
        write = *item, ++calls;
      else if (const auto* item = std::get_if<SendCommit>(&effect))
        commit = *item, ++calls;
      else if (const auto* item = std::get_if<SendLedgerRefusal>(&effect))
        refusal = *item, ++calls;
      else if (const auto* item = std::get_if<AskReport>(&effect))
        report = *item;
      else if (const auto* item = std::get_if<ReplyAnswer>(&effect))
        answer = item->answer;
      else
        ++refreshes;
    }
  }
  void Fail(CallId call, ErrorCode code) {
    Feed(LedgerAnswered{call, Failure(code, "step", "i0", "message")});
  }
  void Succeed(CallId call,
               uint64_t term,
               uint64_t position,
               LedgerOutcome outcome = LedgerOutcome::kDone,
               bool existing = false) {
    const WriteRequest request = Request();
    LedgerResult result;
    result.entry = LedgerEntry{request.request,
                               {},
                               request.digest,
                               outcome,
                               {Term{term}, LogPosition{position}}};
    result.existing = existing;
    result.value = existing ? "" : "value";
    Feed(LedgerAnswered{call, result});
  }
  void Report(const char* instance,
              uint64_t accepted,
              uint64_t log_term,
              uint64_t position) {
    Feed(InstanceReported{
        CallId(), InstanceName(instance),
        InstanceReport{Term{accepted}, Term{log_term}, LogPosition{position}}});
  }
  void Expire() { Feed(TimePassed{}, kStart + kDeadline); }
};

struct FailureCase {
  const char* guards_against;
  bool commit;
  bool submitted_before;
  bool repeatable;
  ErrorCode code;
  // True when the answer is expected before the deadline.
  bool before_deadline;
  Outcome outcome;
  Reason reason;
};

static const FailureCase kFailureCases[] = {
    {"a refused term that counts as run", false, false, false,
     ErrorCode::kWrongTerm, false, Outcome::kNotRun, Reason::kNoPrimary},
    {"a refused connection that counts as run", false, false, false,
     ErrorCode::kUnavailable, false, Outcome::kNotRun, Reason::kNoPrimary},
    {"a wrong statement that is repeated", false, false, false,
     ErrorCode::kInvalidArgument, true, Outcome::kNotRun,
     Reason::kInvalidRequest},
    {"a reused id that looks like a wrong statement", false, false, false,
     ErrorCode::kConflict, true, Outcome::kNotRun, Reason::kIdReused},
    {"an old id that is repeated", false, false, false, ErrorCode::kExhausted,
     true, Outcome::kNotRun, Reason::kIdTooOld},
    {"a missing answer that counts as not run", false, false, false,
     ErrorCode::kTimeout, false, Outcome::kUnknown, Reason::kNoAnswer},
    {"a repeated write that counts as not run", false, false, true,
     ErrorCode::kTimeout, false, Outcome::kUnknown, Reason::kNoAnswer},
    {"a commit that is sent to another primary", true, false, false,
     ErrorCode::kWrongTerm, true, Outcome::kNotRun, Reason::kTransactionEnded},
    {"a commit after its rollback", true, false, false, ErrorCode::kNotFound,
     true, Outcome::kNotRun, Reason::kTransactionEnded},
    {"a lost commit that counts as not run", true, false, false,
     ErrorCode::kTimeout, false, Outcome::kUnknown, Reason::kNoAnswer},
    {"an earlier submission that is forgotten", false, true, false,
     ErrorCode::kWrongTerm, false, Outcome::kUnknown, Reason::kNoAnswer},
    {"an earlier submission whose entry was purged", false, true, false,
     ErrorCode::kExhausted, true, Outcome::kUnknown, Reason::kIdTooOld},
};

// Guards against an answer with a wrong outcome after a failed call.
TABLE_TEST(request_machine, failed_call, kFailureCases) {
  const FailureCase& row = kFailureCases[*row_index];
  WriteRequest request = Request(row.commit);
  request.submitted_before = row.submitted_before;
  request.repeatable = row.repeatable;
  RequestDriver driver;
  driver.Feed(SubmitRequest{request, View(1, "i0")});
  driver.Fail(row.commit ? driver.commit->call : driver.write->call, row.code);
  cr_assert_eq(driver.answer.has_value(), row.before_deadline, "%s",
               row.guards_against);
  // Only a missing answer causes another call: a write if the request is
  // repeatable, otherwise a refusal.
  const bool lost = row.code == ErrorCode::kTimeout;
  cr_assert_eq(driver.calls, lost ? 2U : 1U, "%s", row.guards_against);
  cr_assert_eq(driver.refusal.has_value(), lost && !row.repeatable, "%s",
               row.guards_against);
  if (!row.before_deadline)
    driver.Expire();
  cr_assert(driver.answer->outcome == row.outcome, "%s", row.guards_against);
  cr_assert(driver.answer->reason == row.reason, "%s", row.guards_against);
  cr_assert_not(driver.machine.NextWakeup().has_value());
}

struct ReportCase {
  const char* guards_against;
  const char* instance;
  uint64_t accepted;
  uint64_t log_term;
  uint64_t position;
  bool confirms;
};

static const ReportCase kReportCases[] = {
    {"waiting longer than needed", "i1", 2, 2, 9, true},
    {"waiting for an exact position", "i2", 2, 2, 90, true},
    {"the primary confirming itself", "i0", 2, 2, 9, false},
    {"a lagging replica", "i1", 2, 2, 8, false},
    {"a replica that was fenced", "i1", 3, 2, 9, false},
    {"a replica on an old branch", "i1", 2, 1, 50, false},
    {"a replica of an old term", "i1", 1, 1, 50, false},
};

// Guards against `done` without two copies of the entry.
TABLE_TEST(request_machine, confirmation, kReportCases) {
  const ReportCase& row = kReportCases[*row_index];
  RequestDriver driver;
  driver.Feed(SubmitRequest{Request(), View(2, "i0")});
  driver.Succeed(driver.write->call, 2, 9);
  cr_assert_not(driver.answer.has_value());
  cr_assert(driver.report->wait_position == LogPosition{9});
  driver.Report(row.instance, row.accepted, row.log_term, row.position);
  cr_assert_eq(driver.answer.has_value(), row.confirms, "%s",
               row.guards_against);
  if (row.confirms)
    cr_assert(driver.answer->outcome == Outcome::kDone &&
              driver.answer->value == "value" &&
              driver.answer->confirmed == At(2, 9));
}

// Guards against a write that is lost in a primary change but answered `done`,
// and against an unconfirmed refusal.
Test(request_machine, change_of_primary_resolves_through_the_ledger) {
  RequestDriver driver;
  driver.Feed(SubmitRequest{Request(), View(1, "i0")});
  driver.Succeed(driver.write->call, 1, 9);
  driver.Feed(GroupChanged{View(2, "")});
  cr_assert_not(driver.refusal.has_value());
  driver.Feed(GroupChanged{View(2, "i1")});
  cr_assert(driver.refusal->instance == InstanceName("i1"));
  cr_assert(driver.refusal->command.term == Term{2});
  driver.Succeed(driver.refusal->call, 2, 12, LedgerOutcome::kRefused);
  cr_assert_not(driver.answer.has_value());
  driver.Report("i2", 2, 2, 12);
  cr_assert(driver.answer->outcome == Outcome::kNotRun);
  cr_assert(driver.answer->scope == NotRunScope::kRequest);
}

// Guards against an entry that survives a primary change but is answered
// `not_run`, and against the loss of a value that arrives late.
Test(request_machine, surviving_entry_is_done_with_its_value) {
  RequestDriver driver;
  driver.Feed(SubmitRequest{Request(), View(1, "i0")});
  driver.Feed(GroupChanged{View(2, "i1")});
  driver.Succeed(driver.write->call, 1, 9);
  driver.Succeed(driver.refusal->call, 1, 9, LedgerOutcome::kDone, true);
  driver.Report("i2", 2, 2, 12);
  cr_assert(driver.answer->outcome == Outcome::kDone);
  cr_assert(driver.answer->value == "value");
  cr_assert(driver.answer->confirmed == At(1, 9));
}

// Guards against `unknown` where the late answer proves that nothing ran.
Test(request_machine, late_refusal_of_the_term_makes_not_run_possible) {
  RequestDriver driver;
  driver.Feed(SubmitRequest{Request(), View(1, "i0")});
  const CallId first = driver.write->call;
  driver.Fail(first, ErrorCode::kTimeout);
  driver.Fail(first, ErrorCode::kWrongTerm);
  driver.Expire();
  cr_assert(driver.answer->outcome == Outcome::kNotRun);
}

// Guards against a missing resend, and against one beyond the retry budget.
Test(request_machine, write_that_did_not_run_goes_to_the_new_primary) {
  for (const bool allowed : {true, false}) {
    RequestOptions options;
    options.may_resend = [allowed] { return allowed; };
    RequestDriver driver;
    driver.machine = RequestMachine(options);
    driver.Feed(SubmitRequest{Request(), View(1, "i0")});
    driver.Fail(driver.write->call, ErrorCode::kWrongTerm);
    driver.Feed(GroupChanged{View(2, "i1")});
    cr_assert_eq(driver.calls, allowed ? 2U : 1U);
    if (!allowed)
      cr_assert(driver.answer->reason == Reason::kOverloaded);
  }
}

// Guards against held requests that refresh the record in a loop, because each
// unchanged record triggered the next refresh.
Test(request_machine, unchanged_record_causes_no_call) {
  RequestDriver driver;
  driver.Feed(SubmitRequest{Request(), View(2, "")});
  driver.Feed(GroupChanged{View(2, "")});
  driver.Feed(GroupChanged{View(1, "i0")});
  cr_assert_eq(driver.refreshes, 1U);
  cr_assert_eq(driver.calls, 0U);
}

// Guards against a write that no replica can confirm.
Test(request_machine, write_waits_for_a_reachable_replica) {
  RequestDriver driver;
  driver.Feed(SubmitRequest{Request(), View(1, "i0", false)});
  cr_assert_eq(driver.calls, 0U);
  RequestDriver other = driver;
  other.Expire();
  cr_assert(other.answer->reason == Reason::kNoReplica);
  driver.Feed(GroupChanged{View(1, "i0", true)});
  cr_assert_eq(driver.calls, 1U);
}

// Guards against `not_run` based on the unconfirmed log of a primary.
Test(request_machine, reused_id_is_answered_after_confirmation) {
  RequestDriver driver;
  const WriteRequest request = Request();
  driver.Feed(
      DetermineOutcome{OutcomeQuery{request.group, request.request, {}, 7},
                       request.deadline, View(1, "i0")});
  driver.Fail(driver.refusal->call, ErrorCode::kConflict);
  cr_assert(driver.report->instance == InstanceName("i0"));
  driver.Feed(InstanceReported{
      driver.report->call, InstanceName("i0"),
      InstanceReport{Term{1}, Term{1}, LogPosition{20}, true}});
  cr_assert_not(driver.answer.has_value());
  driver.Report("i1", 1, 1, 19);
  cr_assert_not(driver.answer.has_value());
  driver.Report("i1", 1, 1, 20);
  cr_assert(driver.answer->outcome == Outcome::kNotRun);
  cr_assert(driver.answer->reason == Reason::kIdReused);
}

// Guards against a request that runs twice because its id is sent in upper and
// in lower case.
Test(request_machine, ids_are_sent_in_lower_case) {
  WriteRequest request = Request();
  request.request = RequestId("0198F000-ABCD-7000-8000-ABCDEFABCDEF");
  RequestDriver driver;
  driver.Feed(SubmitRequest{request, View(1, "i0")});
  cr_assert(driver.write->command.request ==
            RequestId("0198f000-abcd-7000-8000-abcdefabcdef"));
}

struct LinearizableReadCase {
  const char* guards_against;
  const char* instance;
  uint64_t accepted;
  uint64_t position;
  bool served;
  bool confirmed;
};

static const LinearizableReadCase kLinearizableReadCases[] = {
    {"a read that waits unnecessarily", "i1", 1, 9, true, true},
    {"a position that no replica has", "i1", 1, 8, true, false},
    {"a primary that confirms its own term", "i0", 1, 9, false, false},
    {"a primary that was replaced", "i1", 2, 9, false, false},
};

// Guards against a stale answer to a read that accepts no staleness.
TABLE_TEST(linearizable_read_machine,
           needs_a_report_of_its_term,
           kLinearizableReadCases) {
  const LinearizableReadCase& row = kLinearizableReadCases[*row_index];
  LinearizableReadMachine machine{ReadOptions()};
  const auto effects = machine.Handle(
      SubmitRead{LinearizableRead{GroupName("g"), "get k", kStart + kDeadline},
                 View(1, "i0")},
      kStart);
  cr_assert_eq(effects.size(), 3U);
  const CallId read = std::get<SendRead>(effects[0]).call;
  const CallId ask = std::get<AskReport>(effects[1]).call;
  const InstanceReport report{Term{row.accepted}, Term{row.accepted},
                              LogPosition{row.position}};
  // A report from before the read, or for another call, is ignored.
  machine.Handle(InstanceReported{CallId(), InstanceName("i2"), report},
                 kStart);
  machine.Handle(
      ReadAnswered{read, ReadValue{"v", InstanceReport{Term{1}, Term{1},
                                                       LogPosition{9}, true}}},
      kStart);
  cr_assert_not(machine.ended());
  const auto replies = machine.Handle(
      InstanceReported{ask, InstanceName(row.instance), report}, kStart);
  cr_assert_eq(machine.ended(), row.served, "%s", row.guards_against);
  if (row.served) {
    const ReadReply& reply = std::get<ReplyRead>(replies[0]).reply;
    cr_assert_str_eq(reply.value.c_str(), "v");
    cr_assert_eq(reply.confirmed.has_value(), row.confirmed);
  }
}

}  // namespace jackdawturn::requests
