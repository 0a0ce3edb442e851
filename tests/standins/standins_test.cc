#include <string>

#include "core/core.h"
#include "standins/standins.h"

#include <criterion/criterion.h>

namespace jackdawturn {

static RequestId Id(uint64_t number) {
  return MakeRequestId(WallTime(std::chrono::milliseconds(1'000)), number);
}

static WriteCommand Add(Term term, uint64_t id) {
  return WriteCommand{term, Id(id), ClassName("counts"), id, "add k 1"};
}

static DatabaseInstance Primary(const char* name, Term term) {
  DatabaseInstance instance(InstanceOptions{InstanceName(name), 2});
  cr_assert(instance.Fence(term).has_value());
  cr_assert(instance.Promote(term).has_value());
  return instance;
}

// Guards against a request that runs twice under one id.
Test(database_instance, repeated_write_returns_existing_entry) {
  DatabaseInstance instance = Primary("i1", Term{1});
  cr_assert_not(instance.Write(Add(Term{1}, 1)).value().existing);
  cr_assert(instance.Write(Add(Term{1}, 1)).value().existing);
  cr_assert_str_eq(instance.data().at("k").c_str(), "1");
}

// Guards against a late original that runs after its refusal.
Test(database_instance, refused_request_never_runs) {
  DatabaseInstance instance = Primary("i1", Term{1});
  cr_assert(instance.Refuse(Add(Term{1}, 1)).has_value());
  const LedgerResult late = instance.Write(Add(Term{1}, 1)).value();
  cr_assert(late.existing);
  cr_assert(late.entry.outcome == LedgerOutcome::kRefused);
  cr_assert(instance.data().empty());
}

// Guards against a replaced primary that goes on writing.
Test(database_instance, fenced_primary_refuses_writes) {
  DatabaseInstance instance = Primary("i1", Term{1});
  cr_assert(instance.Fence(Term{2}).has_value());
  cr_assert(instance.Write(Add(Term{1}, 1)).error().code ==
            ErrorCode::kWrongTerm);
  cr_assert(instance.Write(Add(Term{2}, 1)).error().code ==
            ErrorCode::kWrongTerm);
}

// Guards against entries of an old term that survive on a replica.
Test(database_instance, replica_removes_entries_of_a_lost_branch) {
  DatabaseInstance old_primary = Primary("i1", Term{1});
  DatabaseInstance replica(InstanceOptions{InstanceName("i2"), 2});
  cr_assert(replica.Follow(Term{1}, InstanceName("i1")).has_value());
  replica.ReplicateFrom(old_primary, LogPosition{1});
  cr_assert(old_primary.Write(Add(Term{1}, 1)).has_value());

  cr_assert(replica.Fence(Term{2}).has_value());
  cr_assert(replica.Promote(Term{2}).has_value());
  cr_assert(old_primary.Follow(Term{2}, InstanceName("i2")).has_value());
  cr_assert(old_primary.ReplicateFrom(replica, LogPosition{100}));
  cr_assert(old_primary.data().empty());
  cr_assert(old_primary.Report().log_term == Term{2});
  cr_assert_not(old_primary.FindLedger(Id(1)).has_value());
}

// Guards against an id whose entry was purged and that would run again.
Test(database_instance, purged_ids_are_refused) {
  DatabaseInstance instance = Primary("i1", Term{1});
  cr_assert(instance.Write(Add(Term{1}, 1)).has_value());
  const WallTime low_water(std::chrono::milliseconds(2'000));
  cr_assert_eq(instance.PurgeLedger(Term{1}, low_water, 9).value().removed, 1);
  cr_assert(instance.Write(Add(Term{1}, 1)).error().code ==
            ErrorCode::kExhausted);
}

// Guards against removed ids that stay above the mark, when a call removes only
// some of the ids of one millisecond, and against a mark that is lowered.
Test(database_instance, bounded_purge_keeps_removed_ids_below_the_mark) {
  DatabaseInstance instance = Primary("i1", Term{1});
  for (uint64_t id = 1; id <= 5; ++id)
    cr_assert(instance.Write(Add(Term{1}, id)).has_value());
  const WallTime low_water(std::chrono::milliseconds(2'000));
  cr_assert_eq(instance.PurgeLedger(Term{1}, low_water, 2).value().removed, 2);
  for (uint64_t id = 1; id <= 5; ++id)
    cr_assert(instance.Write(Add(Term{1}, id)).error().code ==
              ErrorCode::kExhausted);
  cr_assert_str_eq(instance.data().at("k").c_str(), "5");
  cr_assert_eq(instance.PurgeLedger(Term{1}, low_water, 9).value().removed, 3);
  const LogPosition end = instance.Report().position;
  const PurgeResult lower =
      instance.PurgeLedger(Term{1}, WallTime(), 9).value();
  cr_assert(lower.low_water == low_water);
  cr_assert_not(lower.newest);
  cr_assert(instance.Report().position == end);
}

// Guards against a replica whose ledger differs from the primary's after a
// bounded purge, so that a promotion brings removed entries back.
Test(database_instance, replica_repeats_a_bounded_purge) {
  DatabaseInstance primary = Primary("i1", Term{1});
  DatabaseInstance replica(InstanceOptions{InstanceName("i2"), 2});
  cr_assert(replica.Follow(Term{1}, InstanceName("i1")).has_value());
  for (uint64_t id = 1; id <= 5; ++id)
    cr_assert(primary.Write(Add(Term{1}, id)).has_value());
  const WallTime low_water(std::chrono::milliseconds(2'000));
  cr_assert(primary.PurgeLedger(Term{1}, low_water, 2).has_value());
  replica.ReplicateFrom(primary, LogPosition{100});
  cr_assert_eq(replica.ledger_size(), 3);
  cr_assert(replica.Fence(Term{2}).has_value());
  cr_assert(replica.Promote(Term{2}).has_value());
  cr_assert(primary.Fence(Term{2}).has_value());
  cr_assert(primary.PurgeLedger(Term{1}, low_water, 9).error().code ==
            ErrorCode::kWrongTerm);
  cr_assert(replica.Write(Add(Term{2}, 1)).error().code ==
            ErrorCode::kExhausted);
}

// Guards against a statement that runs in another caller's transaction.
Test(database_instance, statement_checks_its_transaction) {
  DatabaseInstance instance = Primary("i1", Term{1});
  const ConnectionId connection = instance.Open().value();
  const TransactionId mine("mine");
  cr_assert(instance.Begin(connection, mine, Term{1}).has_value());
  cr_assert(instance.Execute(connection, TransactionId("other"), "add k 1")
                .error()
                .code == ErrorCode::kConflict);
  cr_assert(instance.Execute(connection, mine, "add k 2").has_value());
  cr_assert(instance.data().empty());
  cr_assert(instance.Commit(connection, mine, Add(Term{1}, 1)).has_value());
  cr_assert_str_eq(instance.data().at("k").c_str(), "2");
}

// Guards against a connection limit that is not kept.
Test(database_instance, connections_beyond_the_limit_are_refused) {
  DatabaseInstance instance = Primary("i1", Term{1});
  const ConnectionId first = instance.Open().value();
  cr_assert(instance.Open().has_value());
  cr_assert(instance.Open().error().code == ErrorCode::kExhausted);
  instance.Close(first);
  cr_assert(instance.Open().has_value());
}

// Guards against a conditional update that ignores its condition, and against
// a lost answer that is taken for a failure.
Test(platform_store, update_is_conditional_and_answers_can_be_lost) {
  PlatformStore store;
  cr_assert(store.Update("a", ObjectVersion{0}, "1").has_value());
  cr_assert(store.Update("a", ObjectVersion{0}, "2").error().code ==
            ErrorCode::kConflict);
  store.LoseAnswers(1);
  cr_assert(store.Update("a", ObjectVersion{1}, "3").error().code ==
            ErrorCode::kTimeout);
  const VersionedObject object = store.Read("a").value();
  cr_assert_str_eq(object.value.c_str(), "3");
}

}  // namespace jackdawturn
