#include <string>

#include "record_feed/record_feed.h"

#include "support/mutations.h"
#include "support/table_test.h"

namespace jackdawturn::gateway {

Test(record_feed, changes_survive_the_way) {
  RecordChanges changes;
  changes.revision = 17;
  changes.age = std::chrono::milliseconds(250);
  changes.changes = {{{"i-1", 16, R"({"a":"\"]"})"}, false},
                     {{"i-2", 9, ""}, true}};
  const auto decoded = DecodeRecordChanges(EncodeRecordChanges(changes));
  cr_assert(decoded.has_value());
  cr_expect_eq(decoded.value().revision, 17U);
  cr_expect_eq(decoded.value().age, changes.age);
  cr_assert_eq(decoded.value().changes.size(), 2U);
  cr_expect_eq(decoded.value().changes[0].record.body,
               changes.changes[0].record.body);
  cr_expect(decoded.value().changes[1].removed);
}

static const RecordCollection kServed[] = {
    RecordCollection::kConfiguration, RecordCollection::kServers,
    RecordCollection::kPeers, RecordCollection::kPrimaryChanges};

TABLE_TEST(record_feed, target_survives_the_way, kServed) {
  const RecordFeedRequest request = {kServed[*row_index], 99,
                                     std::chrono::seconds(1)};
  const auto decoded = DecodeFeedTarget(EncodeFeedTarget(request));
  cr_assert(decoded.has_value());
  cr_expect_eq(decoded.value().collection, request.collection);
  cr_expect_eq(decoded.value().revision, request.revision);
  cr_expect_eq(decoded.value().wait, request.wait);
}

static const char* const kBadTargets[] = {
    "",
    "/",
    "/records",
    "/records/",
    "/records/servers",
    "/records/servers?revision=",
    "/records/servers?revision=1",
    "/records/servers?revision=1&wait_us=x",
    "/records/servers?revision=1&wait_us=1&more=1",
    "/records/servers?revision=99999999999999999999&wait_us=1",
    "/records/servers?revision=1&wait_us=99999999999",
    // Members are read from the store only.
    "/records/group_members?revision=1&wait_us=1",
};

TABLE_TEST(record_feed, other_targets_are_refused, kBadTargets) {
  cr_assert(!DecodeFeedTarget(kBadTargets[*row_index]).has_value());
}

Test(record_feed, damaged_answers_are_refused_or_sound) {
  RecordChanges changes;
  changes.changes = {{{"i-1", 16, "{}"}, false}};
  const std::string valid = EncodeRecordChanges(changes);
  Mutator mutator(1);
  for (int run = 0; run < 3'000; ++run) {
    const std::string text =
        run % 50 == 0 ? mutator.HostileJson() : mutator.Mutate(valid);
    const auto decoded = DecodeRecordChanges(text);
    if (decoded)
      cr_expect_geq(decoded.value().age.count(), 0);
    cr_expect(!DecodeFeedTarget(text));
  }
}

}  // namespace jackdawturn::gateway
