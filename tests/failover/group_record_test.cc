#include <random>
#include <string>

#include "failover/failover.h"

#include "support/table_test.h"

namespace jackdawturn::failover {

static GroupRecord SteadyRecord(Term term) {
  GroupRecord record;
  record.group = GroupName("g");
  record.term = term;
  record.primary = InstanceName("i1");
  record.instances = {InstanceName("i1"), InstanceName("i2"),
                      InstanceName("i3")};
  record.history = {{Term{1}, LogPosition{1}}, {Term{3}, LogPosition{10}}};
  record.attempt = AttemptId("p1/a");
  record.changed_by = VmName("p1");
  record.reason = "a \"reason\"";
  return record;
}

// Guards against a member that is lost when a record is written and read again.
Test(group_record, json_keeps_all_members) {
  const GroupRecord record = SteadyRecord(Term{3});
  const GroupRecord read =
      GroupRecordFromJson(GroupRecordToJson(record)).value();
  cr_assert(GroupRecordToJson(read) == GroupRecordToJson(record));
  cr_assert_eq(read.history[1].start.value, 10U);
  cr_assert_str_eq(read.reason.c_str(), record.reason.c_str());
}

struct RecordFaultCase {
  // Part of the valid text and its replacement.
  const char* part;
  const char* replacement;
  const char* pointer;
};

static const RecordFaultCase kRecordFaults[] = {
    {"\"term\":3,\"state\"", "\"term\":-3,\"state\"", "/term"},
    {"\"term\":3,\"state\"", "\"term\":3.5,\"state\"", "/term"},
    {"\"steady\"", "\"calm\"", "/state"},
    {"\"primary\":\"i1\"", "\"primary\":\"i9\"", "/primary"},
    {"[\"i1\",\"i2\",\"i3\"]", "[]", "/instances"},
    {"[\"i1\",\"i2\",\"i3\"]", "[\"i1\",\"i1\"]", "/instances/1"},
    {"\"start\":10", "\"start\":1", "/history/1"},
    {"\"attempt\":\"p1/a\",", "", "/attempt"},
    {"{\"group\"", "[{\"group\"", ": not JSON"},
};

// Guards against a proxy that accepts an invalid record.
TABLE_TEST(group_record, faults_have_pointers, kRecordFaults) {
  const RecordFaultCase& row = kRecordFaults[*row_index];
  std::string text = GroupRecordToJson(SteadyRecord(Term{3}));
  const size_t at = text.find(row.part);
  cr_assert_neq(at, std::string::npos);
  text.replace(at, std::string(row.part).size(), row.replacement);
  const auto record = GroupRecordFromJson(text);
  cr_assert_not(record.has_value());
  cr_assert(record.error().message.starts_with(row.pointer), "%s",
            record.error().message.c_str());
}

// Guards against stored data that crashes a proxy, and against an accepted
// record that changes when it is written and read again.
Test(group_record, mutated_records_are_refused_or_kept) {
  std::mt19937_64 random(11);
  const std::string original = GroupRecordToJson(SteadyRecord(Term{3}));
  size_t accepted = 0;
  for (int round = 0; round < 20'000; ++round) {
    std::string text = original;
    const size_t at = random() % text.size();
    if (random() % 2 == 0)
      text.erase(at, 1 + random() % 20);
    else
      text.insert(at, 1, "{}[],:\"0-e\\\0"[random() % 12]);
    const auto record = GroupRecordFromJson(text);
    if (!record.has_value())
      continue;
    ++accepted;
    const std::string written = GroupRecordToJson(record.value());
    const auto again = GroupRecordFromJson(written);
    cr_assert(again.has_value());
    cr_assert(GroupRecordToJson(again.value()) == written);
  }
  cr_assert_gt(accepted, 100U);
  cr_assert_lt(accepted, 15'000U);
}

struct TermHistoryCase {
  uint64_t term;
  uint64_t position;
  bool matches_history;
};

static const TermHistoryCase kTermHistoryCases[] = {
    {1, 1, true},   {1, 9, true},  {1, 10, false}, {1, 12, false},
    {2, 10, false}, {3, 10, true}, {3, 99, true},
};

// Guards against reads from a replica whose log diverged in an old term.
TABLE_TEST(group_record,
           log_matches_history_before_the_next_start,
           kTermHistoryCases) {
  const TermHistoryCase& row = kTermHistoryCases[*row_index];
  cr_assert_eq(
      LogMatchesTermHistory(SteadyRecord(Term{3}),
                            {Term{row.term}, LogPosition{row.position}}),
      row.matches_history);
}

}  // namespace jackdawturn::failover
