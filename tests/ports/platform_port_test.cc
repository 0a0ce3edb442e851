#include <string>

#include "ports/port_benches.h"

#include "support/table_test.h"

namespace jackdawturn {

namespace {

// Never reached unless a case says so, whatever the speed of the machine.
constexpr Duration kLong = std::chrono::seconds(60);
constexpr Duration kShort = std::chrono::milliseconds(20);

const PlatformAnswered* Answered(const PlatformBench& bench, uint64_t call) {
  for (const PlatformAnswered& event : bench.events) {
    if (event.call == call)
      return &event;
  }
  return nullptr;
}

// Waits for the answer and returns it. Errors must name step and peer.
const Result<PlatformResponse>& Await(PlatformBench& bench, uint64_t call) {
  cr_assert(
      bench.clock().Until([&] { return Answered(bench, call) != nullptr; }));
  const auto& result = Answered(bench, call)->result;
  cr_assert(result || !result.error().step.empty());
  cr_assert(result || result.error().peer == "platform");
  return result;
}

const Result<PlatformResponse>& Call(PlatformBench& bench,
                                     uint64_t call,
                                     PlatformRequest request,
                                     Duration timeout = kLong) {
  bench.port->Send({call, std::move(request), timeout});
  return Await(bench, call);
}

uint64_t VersionOf(const Result<PlatformResponse>& result) {
  cr_assert(result.has_value());
  return std::get<VersionedObject>(result.value()).version.value;
}

UpdateObject Update(uint64_t expected, const char* value) {
  return {"groups/g", ObjectVersion{expected}, value};
}

const ObjectChanges& ChangesOf(const Result<PlatformResponse>& result) {
  cr_assert(result.has_value());
  return std::get<ObjectChanges>(result.value());
}

// The cases: what every implementation of PlatformPort must do.

void UpdateIsConditional(PlatformBench& bench) {
  cr_assert_eq(VersionOf(Call(bench, 1, ReadObject{"groups/g"})), 0);
  cr_assert_eq(VersionOf(Call(bench, 2, Update(0, "one"))), 1);
  const auto& conflict = Call(bench, 3, Update(0, "two"));
  cr_assert(conflict.error().code == ErrorCode::kConflict);
  const auto& read = Call(bench, 4, ReadObject{"groups/g"});
  cr_assert_eq(VersionOf(read), 1);
  cr_assert(std::get<VersionedObject>(read.value()).value == "one");
  cr_assert_eq(VersionOf(Call(bench, 5, Update(1, "two"))), 2);
}

void OneOfTwoRacersWins(PlatformBench& bench) {
  bench.port->Send({1, Update(0, "one"), kLong});
  bench.port->Send({2, Update(0, "two"), kLong});
  const bool first = Await(bench, 1).has_value();
  const bool second = Await(bench, 2).has_value();
  cr_assert_neq(first, second);
  const auto& read = Call(bench, 3, ReadObject{"groups/g"});
  cr_assert_eq(VersionOf(read), 1);
  cr_assert(std::get<VersionedObject>(read.value()).value ==
            (first ? "one" : "two"));
}

void TooLargeValueChangesNothing(PlatformBench& bench) {
  const std::string large(PlatformStore::kMaxValueSize + 1, 'x');
  const auto& refused =
      Call(bench, 1, UpdateObject{"k", ObjectVersion{0}, large});
  cr_assert(refused.error().code == ErrorCode::kInvalidArgument);
  cr_assert_eq(VersionOf(Call(bench, 2, ReadObject{"k"})), 0);
}

void LostAnswerTookEffect(PlatformBench& bench) {
  bench.store().LoseAnswers(1);
  const auto& lost = Call(bench, 1, Update(0, "one"), kShort);
  cr_assert(lost.error().code == ErrorCode::kTimeout);
  const auto& read = Call(bench, 2, ReadObject{"groups/g"});
  cr_assert(std::get<VersionedObject>(read.value()).value == "one");
  cr_assert(Call(bench, 3, Update(0, "one")).error().code ==
            ErrorCode::kConflict);
}

void OutageTimesOutAndChangesNothing(PlatformBench& bench) {
  bench.SetAvailable(false);
  bench.port->Send({1, Update(0, "one"), kShort});
  bench.port->Send({2, ListVms{}, kShort});
  bench.port->Send({3, WatchObjects{"groups/", 0, kShort}, 2 * kShort});
  for (const uint64_t call : {1, 2, 3})
    cr_assert(Await(bench, call).error().code == ErrorCode::kTimeout);
  bench.SetAvailable(true);
  cr_assert_eq(VersionOf(Call(bench, 4, ReadObject{"groups/g"})), 0);
}

void WatchIsAnsweredByAChange(PlatformBench& bench) {
  bench.port->Send({1, WatchObjects{"groups/", 0, kLong}, 2 * kLong});
  cr_assert_eq(VersionOf(Call(bench, 2, UpdateObject{"other/x", {}, "v"})), 1);
  cr_assert(Answered(bench, 1) == nullptr);
  bench.port->Send({3, Update(0, "one"), kLong});
  const ObjectChanges& changes = ChangesOf(Await(bench, 1));
  cr_assert_eq(changes.revision, 2);
  cr_assert_eq(changes.objects.size(), 1);
  cr_assert(changes.objects[0].key == "groups/g");
  cr_assert(changes.objects[0].value == "one");
}

void WatchEndsAfterItsWait(PlatformBench& bench) {
  cr_assert_eq(VersionOf(Call(bench, 1, Update(0, "one"))), 1);
  const ObjectChanges& none =
      ChangesOf(Call(bench, 2, WatchObjects{"groups/", 1, kShort}));
  cr_assert(none.objects.empty());
  cr_assert_eq(none.revision, 1);
}

void StaleWatchRepeatsVersions(PlatformBench& bench) {
  // A watch that resumes from an old revision sees each object once with its
  // newest version, and the same again when it is repeated; the client tells
  // old versions from new ones.
  VersionOf(Call(bench, 1, Update(0, "one")));
  VersionOf(Call(bench, 2, Update(1, "two")));
  for (const uint64_t call : {3, 4}) {
    const ObjectChanges& changes =
        ChangesOf(Call(bench, call, WatchObjects{"groups/", 0, kLong}));
    cr_assert_eq(changes.revision, 2);
    cr_assert_eq(changes.objects.size(), 1);
    cr_assert_eq(changes.objects[0].version.value, 2);
  }
  // A revision from the future, as after a restore, waits like any other.
  const ObjectChanges& ahead =
      ChangesOf(Call(bench, 5, WatchObjects{"groups/", 9, kShort}));
  cr_assert(ahead.objects.empty());
  cr_assert_eq(ahead.revision, 2);
}

void VmListIsThePublishedOne(PlatformBench& bench) {
  bench.store().SetVm({VmName("p1"), ZoneName("z"), VmState::kLive});
  bench.store().PublishVms();
  bench.store().SetVm({VmName("p1"), ZoneName("z"), VmState::kLeaving});
  const auto& lagging = Call(bench, 1, ListVms{});
  cr_assert(std::get<VmList>(lagging.value()).vms.at(0).state ==
            VmState::kLive);
  bench.store().PublishVms();
  const auto& current = Call(bench, 2, ListVms{});
  cr_assert(std::get<VmList>(current.value()).vms.at(0).state ==
            VmState::kLeaving);
}

void ManyWatchesLeaveRoomForUpdates(PlatformBench& bench) {
  // More calls than an adapter may have in progress keep their own timeouts.
  constexpr uint64_t kWatches = 50;
  for (uint64_t call = 1; call <= kWatches; ++call)
    bench.port->Send({call, WatchObjects{"groups/", 0, kLong}, 10 * kShort});
  bench.port->Send({kWatches + 1, ReadObject{"k"}, kShort});
  Await(bench, kWatches + 1);
  cr_assert_eq(bench.events.size(), 1);
  for (uint64_t call = 1; call <= kWatches; ++call)
    cr_assert_not(Await(bench, call).has_value());
}

void DestroyedPortIsSilent(PlatformBench& bench) {
  bench.port->Send({1, Update(0, "one"), kLong});
  bench.port->Send({2, WatchObjects{"other/", 0, kLong}, kLong});
  cr_assert(bench.clock().Until([&] { return bench.store().writes() == 1; }));
  bench.events.clear();
  bench.Reconnect();
  // Whatever was on its way to the old port is dropped.
  Call(bench, 3, ReadObject{"groups/g"});
  Call(bench, 4, ReadObject{"groups/g"});
  cr_assert_eq(bench.events.size(), 2);
}

}  // namespace

struct PlatformCase {
  const char* name;
  void (*run)(PlatformBench& bench);
};

static const PlatformCase kPlatformCases[] = {
    {"an update is conditional", UpdateIsConditional},
    {"one of two racers wins", OneOfTwoRacersWins},
    {"a value that is too large changes nothing", TooLargeValueChangesNothing},
    {"a lost answer took effect", LostAnswerTookEffect},
    {"an outage times out", OutageTimesOutAndChangesNothing},
    {"a watch is answered by a change", WatchIsAnsweredByAChange},
    {"a watch ends after its wait", WatchEndsAfterItsWait},
    {"a stale watch repeats versions", StaleWatchRepeatsVersions},
    {"the VM list is the published one", VmListIsThePublishedOne},
    {"many watches leave room", ManyWatchesLeaveRoomForUpdates},
    {"a destroyed port is silent", DestroyedPortIsSilent},
};

static void RunCase(const PlatformCase& row, PlatformBench& bench) {
  row.run(bench);
  std::map<uint64_t, int> answers;
  for (const PlatformAnswered& event : bench.events)
    cr_assert_eq(++answers[event.call], 1, "%s", row.name);
}

// Guards against an adapter and a fake that differ, so that decisions tested
// against the fake fail in production. Each call is answered at most once.
TABLE_TEST(platform_port, http_adapter_keeps_the_contract, kPlatformCases) {
  HttpPlatformBench bench;
  RunCase(kPlatformCases[*row_index], bench);
}

TABLE_TEST(platform_port, fake_keeps_the_contract, kPlatformCases) {
  FakePlatformBench bench;
  RunCase(kPlatformCases[*row_index], bench);
}

}  // namespace jackdawturn
