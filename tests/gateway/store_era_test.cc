#include <memory>
#include <string>
#include <vector>

#include "gateway/fake_group.h"

#include "support/table_test.h"

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

const GroupName kGroup("loans");

PrimaryChangeRecord Claim(const std::string& attempt) {
  return {.claimant = VmName(attempt), .attempt = attempt};
}

PrimaryChangeRecord EndOf(const std::string& attempt, bool unresolved = false) {
  PrimaryChangeRecord record = Claim(attempt);
  record.ended = true;
  record.unresolved = unresolved;
  record.unanswered = unresolved;
  return record;
}

}  // namespace

// A late answer of an earlier era must not count, and without eras every answer
// counts.
struct AcceptCase {
  std::vector<std::optional<uint64_t>> shown;
  // Whether the last one counts, the present era, and how many eras began.
  bool accepted;
  uint64_t era;
  size_t began;
};

static const AcceptCase kAccepted[] = {
    {{std::nullopt}, true, 0, 1},
    {{std::nullopt, std::nullopt}, true, 0, 1},
    {{0, 1}, true, 1, 2},
    {{0, 1, 0}, false, 1, 2},
    {{5, 7, 7}, true, 7, 2},
    {{1, std::nullopt}, false, 1, 1},
    {{std::nullopt, 1}, true, 1, 2},
};

TABLE_TEST(gateway_store_era, late_answers_do_not_count, kAccepted) {
  const AcceptCase& row = kAccepted[*row_index];
  StoreEra era;
  size_t began = 0;
  era.SetOnBegan([&](std::optional<uint64_t>, uint64_t) { ++began; });
  bool accepted = false;
  for (const auto& shown : row.shown)
    accepted = era.Accept(shown);
  cr_expect_eq(accepted, row.accepted);
  cr_expect_eq(era.current(), row.era);
  cr_expect_eq(began, row.began);
}

// A fencing token must rise with each era, stay exact in a JSON number, and be
// the store's revision where there are no eras.
struct RevisionCase {
  uint64_t era;
  uint64_t number;
};

static const RevisionCase kRevisions[] = {
    {0, 1},
    {0, kMaxRevisionNumber},
    {1, 0},
    {1, kMaxRevisionNumber},
    {kMaxStoreEra, kMaxRevisionNumber},
};

TABLE_TEST(gateway_store_era, revisions_rise_with_eras, kRevisions) {
  const RevisionCase& row = kRevisions[*row_index];
  const uint64_t revision = CombineRevision(row.era, row.number);
  cr_expect_eq(RevisionEra(revision), row.era);
  cr_expect_eq(RevisionNumber(revision), row.number);
  cr_expect_lt(revision, uint64_t{1} << 53);
  if (row.era == 0)
    cr_expect_eq(revision, row.number);
  else
    cr_expect_gt(revision, CombineRevision(row.era - 1, kMaxRevisionNumber));
}

// A claim that the store has lost must stay in force until it ends or expires:
// its claimant may not know, and two changes would run at once.
struct ClaimCase {
  const char* name;
  void (*observe)(KnownPrimaryChanges& changes, TimePoint now);
  bool claimed;
  bool pending;
  bool claimed_after_claim_time;
};

static const ClaimCase kClaims[] = {
    {"a record that it had replaced comes back",
     [](KnownPrimaryChanges& changes, TimePoint now) {
       changes.Observe(kGroup, 8, EndOf("old"), now);
       changes.Observe(kGroup, 9, Claim("lost"), now);
       changes.Observe(kGroup, CombineRevision(1, 8), EndOf("old"), now);
     },
     true, true, false},
    {"its end is written again",
     [](KnownPrimaryChanges& changes, TimePoint now) {
       changes.Observe(kGroup, 9, Claim("lost"), now);
       changes.Observe(kGroup, CombineRevision(1, 8), EndOf("old"), now);
       changes.Observe(kGroup, CombineRevision(1, 9), EndOf("lost"), now);
     },
     false, false, false},
    {"its end comes from the earlier era",
     [](KnownPrimaryChanges& changes, TimePoint now) {
       changes.Observe(kGroup, 9, Claim("lost"), now);
       changes.Observe(kGroup, CombineRevision(1, 8), EndOf("old"), now);
       changes.Observe(kGroup, 10, EndOf("lost"), now);
     },
     false, false, false},
    {"its end, under which a promotion is unanswered",
     [](KnownPrimaryChanges& changes, TimePoint now) {
       changes.Observe(kGroup, 9, Claim("lost"), now);
       changes.Observe(kGroup, CombineRevision(1, 8), EndOf("old"), now);
       changes.Observe(kGroup, CombineRevision(1, 9), EndOf("lost", true), now);
     },
     false, true, false},
    {"the copy has the claim but not its end",
     [](KnownPrimaryChanges& changes, TimePoint now) {
       changes.Observe(kGroup, 8, Claim("ended"), now);
       changes.Observe(kGroup, 9, EndOf("ended"), now);
       changes.Observe(kGroup, CombineRevision(1, 8), Claim("ended"), now);
     },
     false, false, false},
    {"it is announced by a claimant of the earlier era",
     [](KnownPrimaryChanges& changes, TimePoint now) {
       changes.Observe(kGroup, CombineRevision(1, 8), EndOf("old"), now);
       changes.Observe(kGroup, 9, Claim("lost"), now);
     },
     true, true, false},
    {"the copy has the claim",
     [](KnownPrimaryChanges& changes, TimePoint now) {
       changes.Observe(kGroup, 9, Claim("kept"), now);
       changes.Observe(kGroup, CombineRevision(1, 9), Claim("kept"), now + 1s);
     },
     true, true, false},
};

TABLE_TEST(gateway_store_era, lost_claims_stay_in_force, kClaims) {
  const ClaimCase& row = kClaims[*row_index];
  const TimePoint now = TimePoint() + 1h;
  KnownPrimaryChanges changes;
  row.observe(changes, now);
  cr_expect_eq(changes.Claimed(kGroup, now + 1s), row.claimed, "%s", row.name);
  cr_expect_eq(changes.Pending(kGroup, now + 1s) != nullptr, row.pending, "%s",
               row.name);
  cr_expect_eq(changes.Claimed(kGroup, now + KnownPrimaryChanges::kClaimTime),
               row.claimed_after_claim_time, "%s", row.name);
}

// Commits must not be passed on as if every claim were known while one that the
// store has lost may be in force.
Test(gateway_store_era, claims_are_unknown_until_lost_ones_expire) {
  constexpr Duration kClaimTime = 3s;
  constexpr Duration kStep = 100ms;
  ClaimsView view;
  StoreContact contact;
  TimePoint now = TimePoint() + 1h;
  const auto step = [&] {
    now += kStep;
    contact.Answered(now);
    if (view.Check(now, contact))
      view.Received(view.losses());
  };
  step();
  step();
  cr_assert(view.Complete(now, contact));
  const TimePoint restored_at = now;
  view.StoreRestored(now, kClaimTime);
  step();
  step();
  cr_expect(!view.Complete(now, contact));
  cr_expect_eq(*view.heard_until(), restored_at);
  while (now < restored_at + kClaimTime)
    step();
  cr_expect(view.Complete(now, contact));
}

// An upstream must give the changes across eras only if it knows all records
// that the present era may lack.
struct CacheEraCase {
  uint64_t since;
  const char* changes;
};

// "b" was lost with era 0, and a proxy that has seen revision 13 may have seen
// a record that this cache never held.
static const CacheEraCase kCacheEras[] = {
    {10, "a -b c "},
    {12, "a -b c "},
    {13, nullptr},
    {CombineRevision(1, 11), ""},
};

TABLE_TEST(gateway_store_era, cache_keeps_track_of_lost_records, kCacheEras) {
  const CacheEraCase& row = kCacheEras[*row_index];
  RecordCache cache;
  cache.Replace({{{"a", 3, ""}}, 10});
  cache.Apply({{{{"b", 12, ""}, false}}, 12});
  cache.Replace(
      {{{"a", CombineRevision(1, 3), ""}, {"c", CombineRevision(1, 11), ""}},
       CombineRevision(1, 11)});
  const auto changes = cache.ChangesSince(row.since);
  cr_assert_eq(changes.has_value(), row.changes != nullptr);
  if (!changes)
    return;
  std::string names;
  for (const RecordChange& change : changes->changes)
    names += (change.removed ? "-" : "") + change.record.name + " ";
  cr_expect_str_eq(names.c_str(), row.changes);
}

namespace {

// A change of the primary "p" that is under way when the store comes back.
struct RestoredRig : GatewayRig {
  RestoredRig() {
    context.positions[kGroup].Observe(timers.now(), {1, 9});
    group.At("p").silent = true;
    store.shown_era = 0;
    store.era().Accept(0);
  }

  void Start(const std::string& attempt) {
    change = PrimaryChange::Create(
        context,
        {store, group.Promoter(), group.Opener(), FakeStatus, nullptr, nullptr},
        {.group = kGroup,
         .reason = "silent",
         .old_primary = InstanceName("p"),
         .claimant = VmName(attempt),
         .attempt = attempt},
        [this](PrimaryChange::Outcome result) { results.push_back(result); });
    change->Start();
  }

  bool HasClaim() const {
    return store.Find(RecordCollection::kPrimaryChanges, kGroup.value())
        .has_value();
  }
  void AwaitClaim() {
    for (int step = 0; step < 5'000 && !HasClaim(); ++step)
      timers.Advance(1ms);
    cr_assert(HasClaim());
  }

  // The attempt of the stored record, "-" before one that has ended.
  std::string Stored() const {
    const auto record =
        store.Find(RecordCollection::kPrimaryChanges, kGroup.value());
    if (!record)
      return "";
    const auto claim = DecodePrimaryChange(record->body).value();
    return (claim.ended ? "-" : "") + claim.attempt;
  }

  std::shared_ptr<PrimaryChange> change;
  std::vector<PrimaryChange::Outcome> results;
};

}  // namespace

// A claimant whose claim is of an earlier era must not have an instance
// promoted under it: another proxy may have claimed the change since.
struct RestoreCase {
  const char* name;
  void (*restore)(RestoredRig& rig);
  size_t promotions;
  // What the store holds in the end.
  const char* stored;
};

static const RestoreCase kRestores[] = {
    {"the claim is lost",
     [](RestoredRig& rig) {
       rig.store.Remove(RecordCollection::kPrimaryChanges, kGroup.value());
     },
     0, "-one"},
    {"another proxy has claimed the change",
     [](RestoredRig& rig) {
       rig.store.Put(RecordCollection::kPrimaryChanges, kGroup.value(),
                     EncodePrimaryChange(Claim("two")));
     },
     0, "two"},
    {"the copy has the claim", [](RestoredRig&) {}, 1, "-one"},
};

TABLE_TEST(gateway_store_era,
           no_promotion_under_a_claim_of_an_earlier_era,
           kRestores) {
  const RestoreCase& row = kRestores[*row_index];
  RestoredRig rig;
  rig.Start("one");
  rig.AwaitClaim();
  const uint64_t number =
      rig.store.Find(RecordCollection::kPrimaryChanges, kGroup.value())
          ->revision;
  row.restore(rig);
  rig.store.shown_era = 1;
  rig.timers.Advance(5s);
  cr_expect_eq(rig.results.size(), 1U, "%s", row.name);
  cr_assert_eq(rig.group.promotions.size(), row.promotions, "%s", row.name);
  const std::string stored = rig.Stored();
  cr_expect_str_eq(stored.c_str(), row.stored, "%s", row.name);
  for (const auto& [instance, token] : rig.group.promotions)
    cr_expect_eq(token, CombineRevision(1, number));
}

// The answer to the claim is lost and the era changes: the claim may have
// replaced a record that the claimant has not read.
Test(gateway_store_era, claim_that_is_read_back_in_a_later_era_is_given_up) {
  RestoredRig rig;
  rig.store.lose_next_answer = true;
  rig.Start("one");
  rig.AwaitClaim();
  rig.store.shown_era = 1;
  rig.timers.Advance(5s);
  cr_expect(rig.group.promotions.empty());
  const std::string stored = rig.Stored();
  cr_expect_str_eq(stored.c_str(), "-one");
}

// After the return, a change must be possible at once, with a token above all
// earlier ones although the revisions have gone back.
Test(gateway_store_era, token_rises_when_revisions_go_back) {
  RestoredRig rig;
  for (int write = 0; write < 50; ++write)
    rig.store.Put(RecordCollection::kPeers, "other", std::to_string(write));
  rig.Start("one");
  rig.timers.Advance(5s);
  cr_assert_eq(rig.group.promotions.size(), 1U);
  const uint64_t earlier = rig.group.promotions.front().second;
  cr_expect_geq(earlier, 50U);

  FakeStore copy(rig.timers);
  copy.shown_era = 1;
  rig.group.At("p").silent = false;
  const InstanceName primary = rig.group.promotions.front().first;
  rig.group.At(primary.value()).silent = true;
  const auto change =
      PrimaryChange::Create(rig.context,
                            {copy, rig.group.Promoter(), rig.group.Opener(),
                             FakeStatus, nullptr, nullptr},
                            {.group = kGroup,
                             .reason = "silent",
                             .old_primary = primary,
                             .claimant = VmName("two"),
                             .attempt = "two"},
                            [](PrimaryChange::Outcome) {});
  change->Start();
  rig.timers.Advance(5s);
  cr_assert_geq(rig.group.promotions.size(), 2U);
  cr_expect_gt(rig.group.promotions.back().second, earlier);
}

// A record of members that is older than the present era does not show that no
// other instance has had the only copy of a commit.
struct MembersCase {
  uint64_t recorded_era;
  bool promoted;
};

static const MembersCase kMembers[] = {{0, false}, {1, true}};

TABLE_TEST(gateway_store_era,
           members_of_an_earlier_era_do_not_count,
           kMembers) {
  const MembersCase& row = kMembers[*row_index];
  RestoredRig rig;
  rig.context.positions.clear();
  rig.store.shown_era = 1;
  GroupMembers members;
  for (const char* id : {"p", "a", "b"})
    members.incarnations[InstanceName(id)] = 0;
  members.primary = InstanceName("p");
  members.term = 1;
  members.era = row.recorded_era;
  rig.store.Put(RecordCollection::kGroupMembers, kGroup.value(),
                EncodeMembers(members));
  rig.Start("one");
  rig.timers.Advance(5s);
  cr_expect_eq(!rig.group.promotions.empty(), row.promoted);
}

}  // namespace jackdawturn::gateway
