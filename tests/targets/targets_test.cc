#include <random>
#include <string>
#include <vector>

#include "core/core.h"
#include "targets/targets.h"

#include "support/table_test.h"

namespace jackdawturn::targets {

using std::chrono::milliseconds;

struct FaultCase {
  const char* document;
  std::vector<DocumentFault> faults;
};

static const std::vector<FaultCase> kFaultCases = {
    {R"({"classes":{"a":{"allowed_age_ms":"none","answer_time_ms":5,)"
     R"("repeatable":false}}})",
     {}},
    {R"({"classes":{"a":{"alowed_age_ms":1,"answer_time_ms":0,)"
     R"("repeatable":1}}})",
     {{"/classes/a/alowed_age_ms",
       "unknown key; did you mean \"allowed_age_ms\"?"},
      {"/classes/a", "the key \"allowed_age_ms\" is missing"},
      {"/classes/a/answer_time_ms",
       "expected a whole number of milliseconds from 1 to 300000"},
      {"/classes/a/repeatable", "expected true or false"}}},
    {R"({"classes":{},"weights":{}})", {{"/weights", "unknown key"}}},
    {R"([])", {{"", "expected an object"}}},
    {R"({"classes":{"a/b":3}})",
     {{"/classes/a~1b",
       "a class name has 1 to 64 characters of a-z, 0-9, _ and -"},
      {"/classes/a~1b", "expected an object"}}},
};

// Guards against faults that are reported one at a time or with a wrong
// location.
TABLE_TEST(targets, all_faults_with_pointers, kFaultCases) {
  const FaultCase& row = kFaultCases[*row_index];
  const ParsedTargets parsed = ParseTargets(std::string_view(row.document));
  cr_assert_eq(parsed.faults.size(), row.faults.size());
  cr_assert(parsed.faults == row.faults);
}

// Guards against serialized targets that are parsed to different targets.
Test(targets, text_round_trip) {
  const ClassTargets classes = {
      {ClassName("view"), {milliseconds(5), milliseconds(20), true}},
      {ClassName("contract"), {std::nullopt, milliseconds(30), false}}};
  cr_assert(ParseTargets(std::string_view(ToText(classes))).classes == classes);
}

// Guards against a list of differences that omits a change.
Test(targets, differences_name_each_change) {
  const ClassTargets before = {
      {ClassName("a"), {milliseconds(5), milliseconds(20), true}},
      {ClassName("b"), {std::nullopt, milliseconds(20), true}}};
  const ClassTargets after = {
      {ClassName("a"), {milliseconds(5), milliseconds(30), true}}};
  const std::string text = ToText(Differences(before, after));
  cr_assert_str_eq(text.c_str(),
                   "~ a answer_time_ms 20 -> 30\n"
                   "- b allowed_age_ms none, answer_time_ms 20, "
                   "repeatable true\n");
}

// Guards against decoders that crash or allocate without bound.
Test(targets, decoders_survive_damage) {
  std::mt19937_64 random(1);
  const std::string piece = EncodeSpread(Piece{"targets", 3, 0, 5, "value"});
  const std::string stored = SerializeStoredTargets(StoredTargets{
      {{ClassName("a"), {milliseconds(5), milliseconds(20), true}}}, {}, {}});
  for (int round = 0; round < 20'000; ++round) {
    std::string damaged = round % 2 == 0 ? piece : stored;
    for (size_t change = 0; change <= random() % 4; ++change)
      damaged[random() % damaged.size()] = static_cast<char>(random());
    if (round % 5 == 0)
      damaged.resize(random() % damaged.size());
    (void)DecodeSpread(damaged);
    (void)ParseStoredTargets(damaged);
    (void)ParseTargets(std::string_view(damaged));
  }
  cr_assert(DecodeSpread(piece).has_value());
  cr_assert_not(DecodeSpread("").has_value());
}

// Guards against equal hashes of tables in which a version differs.
Test(targets, table_hash_tells_versions_apart) {
  VersionTable a;
  VersionTable b;
  a.Accept({"k", ObjectVersion{1}, "x"});
  a.Accept({"l", ObjectVersion{1}, "x"});
  b.Accept({"l", ObjectVersion{1}, "x"});
  b.Accept({"k", ObjectVersion{2}, "x"});
  cr_assert(a.hash() != b.hash());
  cr_assert(a.Accept({"k", ObjectVersion{2}, "x"}));
  cr_assert(a.hash() == b.hash());
  cr_assert_not(a.Accept({"k", ObjectVersion{1}, "old"}));
  cr_assert_eq(a.VersionOf("k").value, 2U);
}

static const char* const kDocument =
    R"({"classes":{"a":{"allowed_age_ms":7,"answer_time_ms":5,)"
    R"("repeatable":false}}})";

// Guards against a change that is reported as a conflict with itself after its
// answer was lost, also when another change followed.
Test(targets, lost_answer_is_recognised) {
  TargetsEditor editor(EditorOptions{}, std::mt19937_64(1));
  TimePoint now;
  editor.Handle(SetTargets{ChangeId("mine"), ObjectVersion{4}, kDocument}, now);
  const StoredTargets earlier{{}, {}, {ChangeId("earlier")}};
  const auto update = editor.Handle(
      ObjectRead{ObjectVersion{4}, SerializeStoredTargets(earlier)}, now);
  cr_assert(std::holds_alternative<UpdateTargetsObject>(update[0]));
  editor.Handle(PlatformUnanswered{}, now);
  now = editor.NextWakeup();
  cr_assert(std::holds_alternative<ReadTargetsObject>(editor.OnTime(now)[0]));
  const StoredTargets later{
      {}, {}, {ChangeId("other"), ChangeId("mine"), ChangeId("earlier")}};
  const auto done = editor.Handle(
      ObjectRead{ObjectVersion{6}, SerializeStoredTargets(later)}, now);
  const auto& finished = std::get<EditFinished>(done[0]);
  cr_assert(finished.outcome == EditOutcome::kAccepted);
  cr_assert_eq(finished.version.value, 5U);
  cr_assert_eq(finished.stored_version.value, 6U);
}

// Guards against a rollback that reuses an old version number.
Test(targets, rollback_is_a_new_version) {
  TargetsEditor editor(EditorOptions{}, std::mt19937_64(1));
  editor.Handle(RollbackTargets{ChangeId("back"), std::nullopt}, TimePoint());
  const StoredTargets stored{
      {}, ParseTargets(std::string_view(kDocument)).classes, {ChangeId("bad")}};
  const auto update = editor.Handle(
      ObjectRead{ObjectVersion{9}, SerializeStoredTargets(stored)},
      TimePoint());
  const auto& object = std::get<UpdateTargetsObject>(update[0]);
  cr_assert_eq(object.expected.value, 9U);
  cr_assert(ParseStoredTargets(object.value).value().classes ==
            stored.previous);
}

// Guards against a proxy that serves before it has compared its table with a
// peer, and against a stale watch that restores an older version.
Test(targets, restarted_proxy_asks_peers_first) {
  SpreadOptions options;
  options.self = VmName("a");
  options.zone = ZoneName("z");
  options.prefixes = {"targets"};
  VersionSpread spread(options, std::mt19937_64(1));
  SpreadPeers peers;
  peers.zone = {VmName("b")};
  peers.joined = true;
  TimePoint now;
  spread.Handle(peers, now);
  spread.OnTime(now);
  spread.Handle(
      WatchAnswered{"targets", {{"targets", ObjectVersion{1}, "stale"}}, 1},
      now);
  cr_assert_not(spread.ready());
  spread.Handle(
      SpreadMessageReceived{VmName("b"),
                            EncodeSpread(Piece{"targets", 3, 0, 3, "new"})},
      now);
  VersionTable same;
  same.Accept({"targets", ObjectVersion{3}, "new"});
  Digest digest;
  digest.hash = same.hash();
  digest.ready = true;
  digest.purpose = DigestPurpose::kAnswer;
  spread.Handle(SpreadMessageReceived{VmName("b"), EncodeSpread(digest)}, now);
  cr_assert(spread.ready());
  spread.Handle(
      WatchAnswered{"targets", {{"targets", ObjectVersion{2}, "stale"}}, 2},
      now);
  cr_assert_eq(spread.table().VersionOf("targets").value, 3U);
}

// Guards against a partitioned proxy that underreports the age of its targets.
Test(targets, age_grows_while_partitioned) {
  SpreadOptions options;
  options.self = VmName("a");
  options.prefixes = {"targets"};
  VersionSpread spread(options, std::mt19937_64(1));
  cr_assert_not(spread.age(TimePoint()).has_value());
  spread.Handle(WatchAnswered{"targets", {}, 1}, TimePoint());
  cr_assert(spread.age(TimePoint(milliseconds(70'000))) ==
            milliseconds(70'000));
}

struct NewPeersCase {
  size_t peers;
  size_t at_once;
  size_t within_two_seconds;
};

static const std::vector<NewPeersCase> kNewPeersCases = {
    {1, 1, 1},
    {4, 3, 4},
    {164, 3, 6},
};

// Guards against a simultaneous start of a zone in which each proxy asks all
// others, and against new peers that are never asked.
TABLE_TEST(targets, questions_to_new_peers, kNewPeersCases) {
  const NewPeersCase& row = kNewPeersCases[*row_index];
  SpreadOptions options;
  options.self = VmName("a");
  VersionSpread spread(options, std::mt19937_64(1));
  SpreadPeers peers;
  peers.zone = {VmName("b")};
  peers.joined = true;
  TimePoint now;
  spread.Handle(peers, now);
  spread.OnTime(now);
  Digest digest;
  digest.ready = true;
  digest.purpose = DigestPurpose::kAnswer;
  spread.Handle(SpreadMessageReceived{VmName("b"), EncodeSpread(digest)}, now);
  cr_assert(spread.ready());
  size_t questions = 0;
  const auto count = [&questions](const std::vector<SpreadEffect>& effects) {
    for (const SpreadEffect& effect : effects) {
      const auto* send = std::get_if<SendSpreadMessage>(&effect);
      if (send == nullptr)
        continue;
      const auto message = DecodeSpread(send->bytes);
      const auto* sent = std::get_if<Digest>(&message.value());
      if (sent != nullptr && sent->purpose == DigestPurpose::kQuestion)
        ++questions;
    }
  };
  for (size_t peer = 0; peer < row.peers; ++peer)
    peers.zone.emplace_back("c" + std::to_string(peer));
  count(spread.Handle(peers, now));
  cr_assert_eq(questions, row.at_once);
  while (spread.NextWakeup() <= TimePoint(milliseconds(2'000))) {
    now = std::max(now, spread.NextWakeup());
    count(spread.OnTime(now));
  }
  cr_assert_eq(questions, row.within_two_seconds);
}

}  // namespace jackdawturn::targets
