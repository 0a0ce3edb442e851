#include "gateway/group_members.h"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>

#include "gateway/random_delay.h"

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr const char* kStep = "members.decode";
constexpr Duration kStoreTimeout = 800ms;
// Each proxy that observes a change delays its write by a random time up to
// this, so that most of them find the record already up to date.
constexpr Duration kMaxWriteDelay = 2s;

}  // namespace

std::string EncodeMembers(const GroupMembers& members) {
  boost::json::object incarnations;
  for (const auto& [id, incarnation] : members.incarnations)
    incarnations[id.value()] = incarnation;
  boost::json::object body{{"born", std::move(incarnations)},
                           {"primary", members.primary.value()},
                           {"term", members.term}};
  if (members.era > 0)
    body["era"] = members.era;
  return boost::json::serialize(body);
}

Result<GroupMembers> DecodeMembers(const std::string& body) {
  TRY(const boost::json::value value, ParseJson(body, kStep));
  TRY(const JsonFields fields, JsonFields::Create(value, kStep));
  GroupMembers members;
  TRY(const std::string primary, fields.String("primary"));
  members.primary = InstanceName(primary);
  TRY(members.term, fields.Number("term"));
  TRY(members.era, fields.NumberOr("era", 0));
  TRY(const JsonFields incarnations, fields.Object("born"));
  for (const auto& entry : incarnations.object()) {
    const std::string id(entry.key());
    TRY(members.incarnations[InstanceName(id)], incarnations.Number(id));
  }
  return members;
}

bool RetainsAllCommits(const GroupMembers& recorded,
                       const std::vector<const BackendServer*>& present,
                       uint64_t term) {
  return std::all_of(
      recorded.incarnations.begin(), recorded.incarnations.end(),
      [&](const auto& member) {
        const auto& [id, incarnation] = member;
        if (id == recorded.primary && term == recorded.term)
          return true;
        return std::any_of(
            present.begin(), present.end(),
            [&id = id, incarnation = incarnation](const auto* server) {
              return server->id == id && server->incarnation == incarnation;
            });
      });
}

MemberRecords::MemberRecords(MetadataStore& store,
                             Timers& timers,
                             GatewayLog& log,
                             uint64_t seed)
    : m_store(store),
      m_timers(timers),
      m_log(log),
      m_random(seed),
      m_self(std::make_shared<MemberRecords*>(this)) {}

MemberRecords::~MemberRecords() {
  *m_self = nullptr;
}

void MemberRecords::StoreIfChanged(const GroupName& group,
                                   const GroupMembers& members) {
  Record& record = m_records[group];
  record.desired = members;
  if (record.call_pending || record.stored == members)
    return;
  record.call_pending = true;
  m_timers.After(RandomDelay(m_random, {}, kMaxWriteDelay),
                 [self = m_self, group] {
                   if (*self)
                     (*self)->Read(group);
                 });
}

void MemberRecords::Read(const GroupName& group) {
  m_store.Read(RecordCollection::kGroupMembers, group.value(), kStoreTimeout,
               [self = m_self, group](const Result<StoredRecord>& record) {
                 if (*self)
                   (*self)->ReadCompleted(group, record);
               });
}

void MemberRecords::ReadCompleted(const GroupName& group,
                                  const Result<StoredRecord>& record) {
  Record& known = m_records[group];
  known.call_pending = false;
  if (!record) {
    // After any other error, the next check of the group reads the record
    // again.
    if (record.error().code == ErrorCode::kNotFound)
      return Write(group, 0);
    return m_log.LogStateChange(EventKind::kMembership, group, "members_unread",
                                "", {{"error", record.error().message}});
  }
  TakeOver(group, record.value());
  if (known.stored != known.desired)
    Write(group, record.value().revision);
}

void MemberRecords::TakeOver(const GroupName& group,
                             const StoredRecord& record) {
  const auto members = DecodeMembers(record.body);
  if (members)
    m_records[group].stored = members.value();
  else
    m_log.LogStateChange(EventKind::kMembership, group, "members_unread", "",
                         {{"error", members.error().message},
                          {"revision", std::to_string(record.revision)}});
}

void MemberRecords::Write(const GroupName& group, uint64_t expected) {
  m_records[group].call_pending = true;
  m_store.Update(RecordCollection::kGroupMembers, group.value(), expected,
                 EncodeMembers(m_records[group].desired), kStoreTimeout,
                 [self = m_self, group](const Result<StoredRecord>& record) {
                   if (*self)
                     (*self)->WriteCompleted(group, record);
                 });
}

void MemberRecords::WriteCompleted(const GroupName& group,
                                   const Result<StoredRecord>& record) {
  Record& known = m_records[group];
  known.call_pending = false;
  if (!record)
    return m_log.LogStateChange(EventKind::kMembership, group,
                                "members_unwritten", "",
                                {{"error", record.error().message}});
  TakeOver(group, record.value());
  m_log.LogStateChange(
      EventKind::kMembership, group, "members_recorded", "",
      {{"instances", std::to_string(known.stored.incarnations.size())},
       {"primary", known.stored.primary.value()},
       {"revision", std::to_string(record.value().revision)},
       {"term", std::to_string(known.stored.term)}});
}

}  // namespace jackdawturn::gateway
