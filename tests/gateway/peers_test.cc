#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "gateway/fake_group.h"

#include "support/table_test.h"

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

const TimePoint kStart{std::chrono::hours(1)};
const GroupName kGroup("loans");

Peer MakePeer(const std::string& name, const std::string& zone) {
  Peer peer;
  peer.name = VmName(name);
  peer.zone = ZoneName(zone);
  peer.relay_address = "10.0.0.1:1";
  return peer;
}

// Returns `count` proxies in each of the zones "a", "b" and "c", named "a0",
// "a1" and so on.
std::vector<Peer> MakeFleet(size_t count) {
  std::vector<Peer> peers;
  for (const char* zone : {"a", "b", "c"}) {
    for (size_t index = 0; index < count; ++index)
      peers.push_back(MakePeer(zone + std::to_string(index), zone));
  }
  return peers;
}

PeerDirectory MakePeerDirectory(const std::string& self,
                                std::vector<Peer> peers) {
  PeerDirectory directory(VmName(self), ZoneName(self.substr(0, 1)));
  directory.Replace(std::move(peers));
  return directory;
}

}  // namespace

// Relaying adds latency where each proxy could have its own connections; own
// connections leave most proxies without any where the instances accept too few
// (86 proxies with instances that accept 26 connections).
struct RelayCase {
  size_t proxies_in_a_zone;
  size_t instance_connections;
  bool relays;
};

static const RelayCase kRelays[] = {
    {2, 16, false}, {4, 32, false}, {29, 26, true},
    {23, 98, true}, {5, 0, false},
};

TABLE_TEST(gateway_peers, relays_when_connections_are_too_few, kRelays) {
  const RelayCase& row = kRelays[*row_index];
  const auto directory =
      MakePeerDirectory("a0", MakeFleet(row.proxies_in_a_zone));
  cr_assert_eq(directory.RequiresRelaying(row.instance_connections),
               row.relays);
}

// With more than one holder in each zone, proxies open more connections than an
// instance accepts; without one, a partitioned zone has no connections.
Test(gateway_peers, one_proxy_of_each_zone_holds_a_group) {
  constexpr size_t kConnections = 26;
  const auto fleet = MakeFleet(29);
  std::map<ZoneName, size_t> holders;
  size_t connections = 0;
  for (const Peer& peer : fleet) {
    auto directory = MakePeerDirectory(peer.name.value(), fleet);
    if (!directory.Holds(kGroup, kConnections))
      continue;
    ++holders[peer.zone];
    connections += directory.ConnectionLimit(kGroup, kConnections);
  }
  cr_assert_eq(holders.size(), 3U);
  for (const auto& [zone, count] : holders)
    cr_expect_eq(count, 1U);
  cr_expect_lt(connections, kConnections);
}

// All proxies of a zone must choose the same holder, and another one when that
// holder fails or leaves.
Test(gateway_peers, holder_that_fails_or_leaves_is_not_chosen) {
  auto fleet = MakeFleet(29);
  auto directory = MakePeerDirectory("a0", fleet);
  const Peer* first = directory.ChooseHolder(kGroup, {}, kStart);
  cr_assert_not_null(first);
  const VmName first_name = first->name;
  cr_expect_eq(first->zone, ZoneName("a"));

  directory.Suspect(first_name, kStart);
  const Peer* second = directory.ChooseHolder(kGroup, {}, kStart + 1ms);
  cr_assert_not_null(second);
  cr_expect_neq(second->name, first_name);
  cr_expect_eq(
      directory.ChooseHolder(kGroup, {}, kStart + PeerDirectory::kSuspectTime)
          ->name,
      first_name);

  Peer leaving = MakePeer(first_name.value(), "a");
  leaving.leaving = true;
  directory.Update(leaving);
  cr_expect_neq(directory.ChooseHolder(kGroup, {}, kStart + 1h)->name,
                first_name);
}

// Guards against relaying a request to a permanently removed VM every few
// seconds, and against avoiding a process that has restarted.
Test(gateway_peers, suspicion_lasts_longer_with_each_failure) {
  auto directory = MakePeerDirectory("a0", MakeFleet(29));
  const VmName holder = directory.ChooseHolder(kGroup, {}, kStart)->name;
  TimePoint now = kStart;
  for (const Duration time : {1'500ms, 3'000ms, 6'000ms}) {
    directory.Suspect(holder, now);
    directory.Suspect(holder, now + 1ms);
    cr_expect_neq(directory.ChooseHolder(kGroup, {}, now + time - 1ms)->name,
                  holder);
    now += time;
    cr_expect_eq(directory.ChooseHolder(kGroup, {}, now)->name, holder);
  }
  directory.Suspect(holder, now);
  Peer restarted = MakePeer(holder.value(), "a");
  restarted.incarnation = 7;
  directory.Update(restarted);
  cr_expect_eq(directory.ChooseHolder(kGroup, {}, now)->name, holder);
}

// When every proxy of the zone fails, another zone's holder serves the
// statements; a proxy that is itself the next candidate serves them itself.
Test(gateway_peers, other_zones_come_after_the_own_zone) {
  auto directory = MakePeerDirectory("a0", MakeFleet(2));
  std::set<VmName> avoided = {VmName("a1")};
  const Peer* chosen = directory.ChooseHolder(kGroup, avoided, kStart);
  cr_assert(!chosen || chosen->zone != ZoneName("a"));
}

// VMs differ in processor time; a proxy with four times the weight of another
// one must hold about four times as many groups.
Test(gateway_peers, held_groups_are_proportional_to_the_weight) {
  std::vector<Peer> fleet = {MakePeer("a0", "a"), MakePeer("a1", "a"),
                             MakePeer("a2", "a")};
  fleet[0].weight = 0.5;
  fleet[1].weight = fleet[2].weight = 0.125;
  auto directory = MakePeerDirectory("a0", fleet);
  size_t held = 0;
  constexpr size_t kGroups = 3'000;
  for (size_t index = 0; index < kGroups; ++index)
    held += directory.Holds(GroupName(std::to_string(index)), 1) ? 1 : 0;
  cr_expect_gt(held, kGroups * 6 / 10);
  cr_expect_lt(held, kGroups * 73 / 100);
}

// Statements of a whole zone must not depend on one of many small proxies while
// large ones have room (load: 22 proxies in a zone, two of them with four times
// the processor time of the others).
struct CapacityCase {
  double large;
  double small;
  size_t large_proxies;
  size_t small_proxies;
  // The share of groups that the large proxies hold, in percent.
  size_t at_least;
  size_t at_most;
};

static const CapacityCase kCapacities[] = {
    {0.5, 0.12, 2, 20, 85, 97},
    {0.5, 0.25, 1, 2, 72, 88},
    // Equal proxies share the groups equally.
    {0.25, 0.25, 2, 2, 45, 55},
};

TABLE_TEST(gateway_peers, large_proxies_hold_most_groups, kCapacities) {
  const CapacityCase& row = kCapacities[*row_index];
  std::vector<Peer> fleet = MakeFleet(row.large_proxies + row.small_proxies);
  std::erase_if(fleet,
                [](const Peer& peer) { return peer.zone != ZoneName("a"); });
  for (size_t index = 0; index < fleet.size(); ++index)
    fleet[index].weight =
        HolderWeight(index < row.large_proxies ? row.large : row.small);
  size_t held = 0;
  constexpr size_t kGroups = 1'000;
  for (size_t index = 0; index < row.large_proxies; ++index) {
    auto directory = MakePeerDirectory(fleet[index].name.value(), fleet);
    for (size_t group = 0; group < kGroups; ++group)
      held += directory.Holds(GroupName(std::to_string(group)), 1) ? 1 : 0;
  }
  cr_expect_geq(held, kGroups * row.at_least / 100);
  cr_expect_leq(held, kGroups * row.at_most / 100);
}

// A malformed record must be rejected instead of yielding a peer with default
// values.
static const char* const kBadPeers[] = {
    "", "{}", R"({"zone":"a"})",
    R"({"zone":"a","relay_address":"x","weight":0,"leaving":false,)"
    R"("incarnation":1})",
    R"({"zone":"a","relay_address":"x","weight":1,"leaving":"no",)"
    R"("incarnation":1})"};

TABLE_TEST(gateway_peers, bad_records, kBadPeers) {
  cr_assert(!DecodePeer("p", kBadPeers[*row_index]).has_value());
}

Test(gateway_peers, records_and_destinations_survive_their_encoding) {
  Peer peer = MakePeer("a0", "a");
  peer.weight = 0.25;
  peer.leaving = true;
  peer.incarnation = 9;
  const auto decoded = DecodePeer("a0", EncodePeer(peer));
  cr_assert(decoded.has_value());
  cr_expect_eq(decoded.value().zone, peer.zone);
  cr_expect_eq(decoded.value().weight, 0.25);
  cr_expect(decoded.value().leaving);
  cr_expect_eq(decoded.value().incarnation, 9U);

  const RelayDestination destination{VmName("a0"), "db/x", 12};
  const auto parsed =
      RelayDestination::Parse(destination.ToInstanceName().value());
  cr_assert(parsed.has_value());
  cr_expect_eq(parsed.value().peer, destination.peer);
  cr_expect(parsed.value().database == "db/x");
  cr_expect_eq(parsed.value().route_version, 12U);
}

static const char* const kBadDestinations[] = {"", "a", "a/1", "a/x/db",
                                               "a//db"};

TABLE_TEST(gateway_peers, bad_destinations, kBadDestinations) {
  cr_assert(!RelayDestination::Parse(kBadDestinations[*row_index]).has_value());
}

// Guards against proxies of a zone that ask different grantors, and against one
// that is asked although it is known not to answer or to be leaving.
Test(gateway_peers, all_proxies_of_a_zone_agree_on_the_grantor) {
  const CustomerName customer("museum");
  auto fleet = MakeFleet(8);
  for (Peer& peer : fleet)
    peer.records_address = "10.0.0.1:2";
  std::set<VmName> grantors;
  for (const Peer& peer : fleet) {
    const auto directory = MakePeerDirectory(peer.name.value(), fleet);
    const Peer* grantor = directory.ChooseGrantor(customer, kStart);
    if (peer.zone == ZoneName("a"))
      grantors.insert(grantor ? grantor->name : peer.name);
    const Peer* other =
        directory.ChooseGrantorOf(ZoneName("a"), customer, kStart);
    cr_assert_not_null(other);
    grantors.insert(other->name);
    cr_expect_eq(directory.zone_count(), 3U);
  }
  cr_assert_eq(grantors.size(), 1U);

  const VmName first = *grantors.begin();
  auto directory = MakePeerDirectory("b0", fleet);
  directory.Suspect(first, kStart);
  cr_expect_neq(
      directory.ChooseGrantorOf(ZoneName("a"), customer, kStart)->name, first);
  Peer leaving = *directory.Find(first);
  leaving.leaving = true;
  directory.Update(leaving);
  cr_expect_neq(
      directory.ChooseGrantorOf(ZoneName("a"), customer, kStart + 1h)->name,
      first);
}

// Guards against voters that differ between proxies with the same list, against
// voters that change with each suspicion, and against a customer whose voters
// are gone for good.
Test(gateway_peers, voters_change_only_with_the_list_or_a_long_loss) {
  const CustomerName customer("museum");
  auto fleet = MakeFleet(8);
  for (Peer& peer : fleet)
    peer.records_address = "10.0.0.1:2";
  auto directory = MakePeerDirectory("a0", fleet);
  const auto voters = directory.GrantVoters(customer);
  cr_assert_eq(voters.size(), PeerDirectory::kGrantVoters);
  cr_expect(MakePeerDirectory("a5", fleet).GrantVoters(customer) == voters);
  directory.Suspect(voters[1], kStart);
  cr_expect(directory.GrantVoters(customer) == voters);
  for (unsigned failure = 1; failure < PeerDirectory::kVoterLossFailures;
       ++failure)
    directory.Suspect(voters[1], kStart + failure * 1min);
  const auto others = directory.GrantVoters(customer);
  cr_expect_eq(others.size(), PeerDirectory::kGrantVoters);
  cr_expect(std::find(others.begin(), others.end(), voters[1]) == others.end());
  directory.Answered(voters[1]);
  cr_expect(directory.GrantVoters(customer) == voters);
}

}  // namespace jackdawturn::gateway
