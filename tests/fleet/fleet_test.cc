#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/core.h"
#include "core/wire_archive.h"
#include "fleet/fleet.h"
#include "fleet/share_message.h"

#include "support/table_test.h"

namespace jackdawturn::fleet {

using std::chrono::milliseconds;

static const char* const kKey = "a fleet key for tests";

static Datagram FullDatagram() {
  const NodeInfo node{VmName("vm-1"), ZoneName("zone-a"),
                      PeerAddress("10.0.0.1:7400")};
  const Member member{node, 7, MemberState::kSuspect, true};
  Datagram datagram;
  datagram.stamp = {1'000, 3};
  datagram.sender = node;
  datagram.incarnation = 9;
  datagram.zone_hash = 42;
  datagram.probe = Probe{5, VmName("vm-2")};
  datagram.answer = ProbeAnswer{6};
  datagram.request = IndirectProbeRequest{8, node};
  datagram.sync_request = SyncRequest{VmName("vm-0")};
  datagram.sync_page = SyncPage{{member}, true};
  datagram.payloads = {{1, "payload"}};
  datagram.rumors = {member, member};
  return datagram;
}

// Guards against datagram parts that are lost in encoding and against a wrong
// EncodedSize.
Test(fleet, datagram_round_trip) {
  const DatagramCodec codec = DatagramCodec::Create({kKey}).value();
  const Datagram sent = FullDatagram();
  const std::string bytes = codec.Encode(sent).value();
  cr_assert_eq(bytes.size(), EncodedSize(sent));
  const Datagram read = codec.Decode(bytes).value();
  cr_assert(read.stamp == sent.stamp);
  cr_assert(read.sender == sent.sender);
  cr_assert_eq(read.zone_hash, 42U);
  cr_assert_eq(read.probe->sequence, 5U);
  cr_assert_eq(read.answer->sequence, 6U);
  cr_assert(read.request->target == sent.sender);
  cr_assert(read.sync_request->after == VmName("vm-0"));
  cr_assert(read.sync_page->last);
  cr_assert(read.sync_page->members == sent.sync_page->members);
  cr_assert(read.rumors == sent.rumors);
  cr_assert(read.payloads[0].bytes == "payload");
}

struct KeyCase {
  std::vector<std::string> sender;
  std::vector<std::string> receiver;
  bool accepted;
};

static const std::vector<KeyCase> kKeyCases = {
    {{"old key of the fleet"}, {"old key of the fleet"}, true},
    {{"old key of the fleet"},
     {"new key of the fleet", "old key of the fleet"},
     true},
    {{"new key of the fleet", "old key of the fleet"},
     {"old key of the fleet", "new key of the fleet"},
     true},
    {{"other key of somebody"}, {"old key of the fleet"}, false},
};

// Guards against a key rotation that partitions the fleet, and against
// datagrams signed with a foreign key.
TABLE_TEST(fleet, datagram_keys, kKeyCases) {
  const KeyCase& row = kKeyCases[*row_index];
  const auto sender = DatagramCodec::Create(row.sender).value();
  const auto receiver = DatagramCodec::Create(row.receiver).value();
  const auto read = receiver.Decode(sender.Encode(FullDatagram()).value());
  cr_assert_eq(read.has_value(), row.accepted);
  if (!row.accepted)
    cr_assert(read.error().code == ErrorCode::kUnauthorized);
}

// Guards against keys that are short enough to be guessed.
Test(fleet, short_keys_are_refused) {
  cr_assert_not(DatagramCodec::Create({"short"}).has_value());
  cr_assert_not(DatagramCodec::Create({}).has_value());
}

static std::string Section(uint16_t type, const std::string& content) {
  std::string bytes;
  for (const size_t number : {size_t{type}, content.size()}) {
    bytes.push_back(static_cast<char>(number & 0xff));
    bytes.push_back(static_cast<char>(number >> 8));
  }
  return bytes + content;
}

// Returns a body as a newer program version may encode it: a header with an
// additional field, an unknown section, and a rumor with an unknown state.
static std::string NewerBody() {
  WireWriter header;
  header.Add(uint64_t{1}, uint64_t{2}, VmName("vm-9"), ZoneName("z"),
             PeerAddress("10.0.0.9:1"), uint64_t{3}, false, uint64_t{4},
             std::string("a field of version 2"));
  WireWriter rumor;
  rumor.Add(VmName("vm-8"), ZoneName("z"), PeerAddress("10.0.0.8:1"),
            uint64_t{3}, uint8_t{77}, false);
  return Section(1, header.bytes()) + Section(999, "unknown section") +
         Section(9, rumor.bytes());
}

struct VersionCase {
  uint8_t version;
  uint8_t readable_since;
  bool accepted;
};

static const VersionCase kVersionCases[] = {{1, 1, true},
                                            {2, 1, true},
                                            {9, 1, true},
                                            {2, 2, false},
                                            {255, 255, false}};

// Guards against old and new program versions in a mixed fleet that cannot
// decode each other's datagrams, and against decoding an unsupported format.
TABLE_TEST(fleet, datagram_versions, kVersionCases) {
  const VersionCase& row = kVersionCases[*row_index];
  const auto codec = DatagramCodec::Create({kKey}).value();
  const auto read = codec.Decode(
      codec.SignBody(row.version, row.readable_since, NewerBody()));
  cr_assert_eq(read.has_value(), row.accepted);
  if (row.accepted) {
    cr_assert(read.value().sender.vm == VmName("vm-9"));
    // A statement with an unknown state is skipped.
    cr_assert(read.value().rumors.empty());
  }
}

// Guards against a decoder that crashes, hangs or allocates without bound on
// random, truncated or modified bytes, including correctly signed ones.
Test(fleet, datagram_decoder_survives_damage) {
  const auto codec = DatagramCodec::Create({kKey}).value();
  const std::string good = codec.Encode(FullDatagram()).value();
  const std::string body = good.substr(34);
  std::mt19937_64 random(1);
  size_t accepted = 0;
  for (int round = 0; round < 20'000; ++round) {
    std::string damaged = body;
    const size_t changes = 1 + random() % 4;
    for (size_t change = 0; change < changes; ++change)
      damaged[random() % damaged.size()] = static_cast<char>(random());
    if (round % 3 == 0)
      damaged.resize(random() % damaged.size());
    if (round % 7 == 0) {
      for (char& c : damaged)
        c = static_cast<char>(random());
    }
    accepted += codec.Decode(codec.SignBody(1, 1, damaged)).has_value() ? 1 : 0;
    cr_assert_not(codec.Decode(damaged).has_value());
    std::string forged = good;
    forged[random() % forged.size()] ^= static_cast<char>(1 + random() % 255);
    cr_assert_not(codec.Decode(forged).has_value());
    (void)DecodeShareMessage(damaged);
  }
  // Modifications that only change a value are well-formed.
  cr_assert_gt(accepted, 0U);
}

struct LostZoneCase {
  // A proxy of a third zone names a member of the lost zone.
  bool named_by_third_zone;
  // The named member answers.
  bool answers;
};

static const LostZoneCase kLostZoneCases[] = {{false, false},
                                              {true, false},
                                              {true, true}};

// Guards against a lost zone whose contacts stay present until a round over all
// contacts ends, and against members of that zone that become contacts because
// a proxy of a third zone names them. A member that answers must become a
// contact.
TABLE_TEST(fleet, lost_zone, kLostZoneCases) {
  const LostZoneCase& row = kLostZoneCases[*row_index];
  const auto codec = DatagramCodec::Create({kKey}).value();
  MembershipOptions options;
  options.self = {VmName("a"), ZoneName("y"), PeerAddress("10.0.0.1:7400")};
  options.stamp = [] { return ClockStamp{}; };
  // No round over the contacts probes the lost ones during the test.
  options.contact_interval = std::chrono::hours(1);
  MembershipMachine machine(options, codec, std::mt19937_64(1));
  const auto from = [](const char* vm, const char* zone, const char* address) {
    Datagram datagram;
    datagram.sender = {VmName(vm), ZoneName(zone), PeerAddress(address)};
    datagram.incarnation = 1;
    return datagram;
  };
  TimePoint now;
  const auto deliver = [&](const Datagram& datagram) {
    return machine.Handle(DatagramReceived{datagram.sender.address,
                                           codec.Encode(datagram).value()},
                          now);
  };
  const auto run = [&](milliseconds time) {
    for (const TimePoint end = now + time; machine.NextWakeup() <= end;) {
      now = machine.NextWakeup();
      for (const MembershipEffect& effect : machine.OnTime(now)) {
        const auto* sent = std::get_if<SendDatagram>(&effect);
        if (sent == nullptr || !(sent->to == PeerAddress("10.0.2.1:7400")))
          continue;
        Datagram answer = from("w", "x", "10.0.2.1:7400");
        const Datagram read = codec.Decode(sent->bytes).value();
        if (read.probe)
          answer.answer = ProbeAnswer{read.probe->sequence};
        deliver(answer);
      }
    }
  };
  machine.OnTime(now);
  run(milliseconds(1'000));
  deliver(from("z1", "z", "10.0.1.1:7400"));
  deliver(from("z2", "z", "10.0.1.2:7400"));
  deliver(from("w", "x", "10.0.2.1:7400"));
  const auto present = [&](const char* vm) {
    const auto member = machine.Find(VmName(vm));
    return member && IsPresent(*member);
  };
  cr_assert(present("z1") && present("z2"));
  // Another proxy of this zone requests an indirect probe of a contact in the
  // lost zone.
  Datagram help = from("b", "y", "10.0.0.2:7400");
  help.request =
      IndirectProbeRequest{7, from("z3", "z", "10.0.1.3:7400").sender};
  deliver(help);
  run(milliseconds(5'000));
  cr_assert_not(present("z1"));
  cr_assert_not(present("z2"));
  if (!row.named_by_third_zone)
    return;
  Datagram third = from("w", "x", "10.0.2.1:7400");
  const Datagram named = from("z4", "z", "10.0.1.4:7400");
  third.rumors.push_back(Member{named.sender, 1, MemberState::kAlive, false});
  bool asked = false;
  for (const MembershipEffect& effect : deliver(third)) {
    const auto* sent = std::get_if<SendDatagram>(&effect);
    asked |= sent != nullptr && sent->to == named.sender.address;
  }
  cr_assert(asked);
  cr_assert_not(present("z4"));
  if (row.answers)
    deliver(named);
  cr_assert_eq(present("z4"), row.answers);
}

struct SilenceCase {
  // The contact does not answer probes during this time after the first one.
  int silent_ms;
  bool dropped;
};

static const SilenceCase kSilenceCases[] = {{0, false},
                                            {1'300, false},
                                            {60'000, true}};

// Guards against a live contact that is dropped because all datagrams of one
// attempt were lost, and against a dead contact that stays present for more
// than 10 s.
TABLE_TEST(fleet, silent_contact, kSilenceCases) {
  const SilenceCase& row = kSilenceCases[*row_index];
  const auto codec = DatagramCodec::Create({kKey}).value();
  MembershipOptions options;
  options.self = {VmName("a"), ZoneName("y"), PeerAddress("10.0.0.1:7400")};
  options.stamp = [] { return ClockStamp{}; };
  MembershipMachine machine(options, codec, std::mt19937_64(1));
  Datagram contact;
  contact.sender = {VmName("b"), ZoneName("z"), PeerAddress("10.0.1.1:7400")};
  contact.incarnation = 1;
  const auto deliver = [&](TimePoint now) {
    return machine.Handle(
        DatagramReceived{contact.sender.address, codec.Encode(contact).value()},
        now);
  };
  TimePoint now;
  machine.OnTime(now);
  deliver(now);
  std::optional<TimePoint> first_probe;
  std::optional<TimePoint> dropped;
  while (now < TimePoint(milliseconds(15'000))) {
    now = machine.NextWakeup();
    for (const MembershipEffect& effect : machine.OnTime(now)) {
      if (const auto* changed = std::get_if<MemberChanged>(&effect);
          changed != nullptr && !IsPresent(changed->member) && !dropped)
        dropped = now;
      const auto* sent = std::get_if<SendDatagram>(&effect);
      if (sent == nullptr || sent->to != contact.sender.address)
        continue;
      const Datagram read = codec.Decode(sent->bytes).value();
      if (!read.probe)
        continue;
      if (!first_probe)
        first_probe = now;
      if (now < *first_probe + milliseconds(row.silent_ms))
        continue;
      contact.answer = ProbeAnswer{read.probe->sequence};
      deliver(now);
    }
  }
  cr_assert(first_probe.has_value());
  cr_assert_eq(dropped.has_value(), row.dropped);
  if (dropped)
    cr_assert(*dropped < TimePoint(milliseconds(10'000)));
}

// Guards against a falsely detected pause: after a time without gossip, a
// statement makes gossip due in the past, and another datagram can arrive
// before OnTime. The proxy would refuse requests as not ready.
Test(fleet, datagrams_together_are_no_pause) {
  const auto codec = DatagramCodec::Create({kKey}).value();
  MembershipOptions options;
  options.self = {VmName("a"), ZoneName("z"), PeerAddress("10.0.0.1:7400")};
  options.stamp = [] { return ClockStamp{}; };
  MembershipMachine machine(options, codec, std::mt19937_64(1));
  TimePoint now;
  machine.OnTime(now);
  while (now < TimePoint(milliseconds(10'000))) {
    now = machine.NextWakeup();
    machine.OnTime(now);
  }
  for (const char* name : {"b", "c"}) {
    Datagram datagram;
    datagram.sender = {VmName(name), ZoneName("z"),
                       PeerAddress("10.0.0.2:7400")};
    datagram.incarnation = 1;
    const auto effects =
        machine.Handle(DatagramReceived{datagram.sender.address,
                                        codec.Encode(datagram).value()},
                       now);
    for (const MembershipEffect& effect : effects)
      cr_assert_not(std::holds_alternative<PauseNoticed>(effect));
  }
}

struct PartCase {
  size_t total;
  size_t count;
};

static const PartCase kPartCases[] = {{16, 3}, {5, 8}, {0, 2}, {30, 9}, {1, 1}};

// Guards against shares whose sum exceeds the limit or leaves connections
// unused.
TABLE_TEST(fleet, parts_sum_to_the_total, kPartCases) {
  const PartCase& row = kPartCases[*row_index];
  size_t sum = 0;
  for (size_t rank = 0; rank < row.count; ++rank)
    sum += PartOfRank(row.total, rank, row.count);
  cr_assert_eq(sum, row.total);
}

static OwnershipView ViewOf(const std::vector<std::string>& zone) {
  OwnershipView view;
  for (const std::string& name : zone)
    view.zone.push_back({VmName(name), ZoneName("z"), false});
  return view;
}

static GroupsListed OneGroup() {
  return GroupsListed{
      {HeldGroup{GroupName("g"), {ZoneName("z")}, {{InstanceName("i"), 6}}}}};
}

static GroupOwnership Ownership(const char* name) {
  OwnershipOptions options;
  options.self = VmName(name);
  options.zone = ZoneName("z");
  return GroupOwnership(options, std::mt19937_64(1));
}

// Guards against a new holder that opens connections while another proxy still
// holds them.
Test(fleet, new_holder_waits_for_the_old_one) {
  GroupOwnership joining = Ownership("b");
  TimePoint now;
  joining.Handle(OneGroup(), now);
  const auto asked = joining.Handle(ViewOf({"a"}), now);
  cr_assert_eq(asked.size(), 1U);
  const auto* query = std::get_if<SendShareMessage>(&asked[0]);
  cr_assert(query != nullptr && query->to == VmName("a"));
  const auto report = [&](uint64_t reserved) {
    return joining.Handle(
        ShareMessageReceived{
            VmName("a"), EncodeShareMessage({ShareMessageKind::kReport,
                                             GroupName("g"),
                                             {{InstanceName("i"), reserved}}})},
        now);
  };
  cr_assert(report(6).empty());
  const auto opened = report(3);
  cr_assert_eq(opened.size(), 1U);
  cr_assert(std::holds_alternative<OpenConnections>(opened[0]));
  cr_assert_eq(joining.Share(InstanceName("i")), 3U);
}

// Guards against a proxy that takes over connections while it is probably
// partitioned itself.
Test(fleet, partitioned_proxy_opens_nothing) {
  GroupOwnership ownership = Ownership("b");
  ownership.Handle(OneGroup(), TimePoint());
  OwnershipView view = ViewOf({});
  view.may_open_connections = false;
  cr_assert(ownership.Handle(view, TimePoint()).empty());
  cr_assert(ownership.NextWakeup() == TimePoint::max());
}

// Guards against a refused open that is retried immediately.
Test(fleet, refused_open_backs_off) {
  GroupOwnership ownership = Ownership("b");
  TimePoint now;
  ownership.Handle(OneGroup(), now);
  ownership.Handle(ViewOf({}), now);
  cr_assert(ownership.Handle(OpenRefused{InstanceName("i")}, now).empty());
  const TimePoint retry = ownership.NextWakeup();
  cr_assert(retry >= now + milliseconds(1'000));
  cr_assert_eq(ownership.OnTime(retry).size(), 1U);
}

// Guards against a request that is relayed to a proxy that is not a holder, and
// against one without a next hop.
Test(fleet, relay_goes_to_a_holder) {
  GroupOwnership ownership = Ownership("b");
  GroupsListed listed = OneGroup();
  listed.groups.push_back(
      HeldGroup{GroupName("far"), {ZoneName("y")}, {{InstanceName("j"), 6}}});
  ownership.Handle(listed, TimePoint());
  OwnershipView view = ViewOf({"a", "c", "d", "e"});
  view.contacts.push_back({VmName("y1"), ZoneName("y"), false});
  ownership.Handle(view, TimePoint());
  cr_assert_eq(ownership.Holders(GroupName("g")).size(), 3U);
  const auto near = ownership.SelectNextHop(GroupName("g"), 1).value();
  cr_assert(near.holder);
  const auto far = ownership.SelectNextHop(GroupName("far"), 1).value();
  cr_assert(far.vm == VmName("y1") && !far.holder);
  ownership.Handle(HolderLearned{GroupName("far"), VmName("y2")}, TimePoint());
  cr_assert(ownership.SelectNextHop(GroupName("far"), 1).value().vm ==
            VmName("y2"));
  cr_assert(ownership.SelectNextHop(GroupName("none"), 1).error().code ==
            ErrorCode::kNotFound);
}

struct DrainCase {
  // Time from the drain request to the end of the work; a time beyond the limit
  // means that the work does not end by itself.
  int work_ends_ms;
  bool ended;
  int least_ms;
};

static const DrainCase kDrainCases[] = {{0, false, 2'000},
                                        {5'000, false, 5'000},
                                        {90'000, true, 32'000}};

// Guards against a drain that terminates work too early, or never completes.
TABLE_TEST(fleet, drain, kDrainCases) {
  const DrainCase& row = kDrainCases[*row_index];
  DrainMachine drain{DrainOptions{}};
  TimePoint now;
  cr_assert_eq(drain.Handle(DrainRequested{"SIGTERM"}, now).size(), 3U);
  cr_assert(drain.Handle(DrainRequested{"again"}, now).empty());
  bool ended = false;
  bool exited = false;
  while (!exited && now < TimePoint(std::chrono::seconds(60))) {
    now += milliseconds(100);
    const bool works = now < TimePoint(milliseconds(row.work_ends_ms));
    auto effects = drain.Handle(WorkChanged{works ? 1U : 0U, 0}, now);
    for (const DrainEffect& effect : drain.OnTime(now))
      effects.push_back(effect);
    for (const DrainEffect& effect : effects) {
      ended |= std::holds_alternative<EndRemainingWork>(effect);
      exited |= std::holds_alternative<ExitProcess>(effect);
    }
  }
  cr_assert(exited);
  cr_assert_eq(ended, row.ended);
  cr_assert(now >= TimePoint(milliseconds(row.least_ms)));
}

}  // namespace jackdawturn::fleet
