#include "soak/platform_standin.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "soak/group_standin.h"

namespace jackdawturn::soak {

namespace {

namespace json = boost::json;

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr const char* kStep = "soak.store";
constexpr size_t kHistory = 500;
constexpr unsigned kCreated = 201;

uint64_t NumberOf(const std::map<std::string, std::string>& query,
                  const std::string& name) {
  uint64_t number = 0;
  const auto found = query.find(name);
  if (found != query.end())
    std::from_chars(found->second.data(),
                    found->second.data() + found->second.size(), number);
  return number;
}

}  // namespace

Result<std::unique_ptr<PlatformStandin>> PlatformStandin::Create(
    boost::asio::io_context& context,
    gateway::Timers& timers,
    std::vector<GroupModel*> groups,
    uint64_t seed,
    size_t gateways,
    std::function<void()> on_promoted) {
  std::unique_ptr<PlatformStandin> platform(new PlatformStandin(
      timers, std::move(groups), seed, std::move(on_promoted)));
  for (size_t gateway = 0; gateway < gateways; ++gateway) {
    TRY(auto server,
        HttpStandin::Create(context, [self = platform.get(), gateway](
                                         const HttpStandin::Request& request,
                                         const HttpStandin::Respond& respond) {
          self->Handle(gateway, request, respond);
        }));
    platform->m_servers.push_back(std::move(server));
  }
  platform->ShowEra();
  platform->MakeCopies();
  return platform;
}

std::string PlatformStandin::TextOf(const std::string& name,
                                    const Object& object) {
  return json::serialize(json::object{
      {"meta", json::object{{"Name", name}, {"Revision", object.revision}}},
      {"spec", object.spec},
      {"status", object.status}});
}

void PlatformStandin::Put(const std::string& kind,
                          const std::string& name,
                          json::object spec) {
  Object& object = m_objects[kind][name];
  const json::value value(std::move(spec));
  if (object.revision > 0 && object.spec == value)
    return;
  object.spec = value;
  Stored(kind, name, false);
}

void PlatformStandin::Remove(const std::string& kind, const std::string& name) {
  if (!Has(kind, name))
    return;
  Stored(kind, name, true);
  m_objects[kind].erase(name);
}

bool PlatformStandin::Has(const std::string& kind,
                          const std::string& name) const {
  const auto found = m_objects.find(kind);
  return found != m_objects.end() && found->second.contains(name);
}

void PlatformStandin::Stored(const std::string& kind,
                             const std::string& name,
                             bool removed) {
  Object& object = m_objects[kind][name];
  object.revision = ++m_revision;
  std::string text = R"({"Object":)" + TextOf(name, object) + R"(,"Removed":)" +
                     (removed ? "true}" : "false}");
  m_events.push_back({m_revision, kind, std::move(text)});
  if (m_events.size() > kHistory) {
    m_forgotten = m_events.front().revision;
    m_events.pop_front();
  }
  m_watches.remove_if(
      [this](const Watch& watch) { return AnswerWatch(watch, false); });
}

void PlatformStandin::ResetConnections() {
  for (const auto& server : m_servers)
    server->ResetConnections();
}

void PlatformStandin::SilenceConnections() {
  for (const auto& server : m_servers)
    server->SilenceConnections();
}

void PlatformStandin::MakeCopies() {
  constexpr Duration kCopyInterval = 200ms;
  constexpr size_t kCopies = 40;
  m_copies.push_back({m_timers.now(), m_objects, m_revision});
  if (m_copies.size() > kCopies)
    m_copies.pop_front();
  m_timers.After(kCopyInterval, [this] { MakeCopies(); });
}

void PlatformStandin::ShowEra() {
  for (const auto& server : m_servers)
    server->SetHeader("Store-Era", std::to_string(m_era));
}

void PlatformStandin::Restore(Duration age) {
  const TimePoint made_at = m_timers.now() - age;
  while (m_copies.size() > 1 && m_copies.back().made_at > made_at)
    m_copies.pop_back();
  m_objects = m_copies.back().objects;
  m_revision = m_copies.back().revision;
  std::erase_if(m_events, [this](const Event& event) {
    return event.revision > m_revision;
  });
  m_forgotten = std::min(m_forgotten, m_revision);
  ++m_era;
  ShowEra();
}

void PlatformStandin::DropHistory() {
  m_forgotten = m_revision;
  m_events.clear();
}

bool PlatformStandin::AnswerWatch(const Watch& watch, bool even_if_empty) {
  // Nothing that is down tells of a change.
  if (faults.down)
    return false;
  if (watch.revision < m_forgotten || watch.revision > m_revision) {
    watch.respond(kHttpGone, "{}");
    return true;
  }
  std::string events;
  for (const Event& event : m_events) {
    if (event.revision <= watch.revision || event.kind != watch.kind)
      continue;
    events.append(events.empty() ? "" : ",").append(event.text);
  }
  if (events.empty() && !even_if_empty)
    return false;
  watch.respond(kHttpOk, R"({"events":[)" + events + R"(],"AsOf":)" +
                             std::to_string(m_revision) + "}");
  return true;
}

void PlatformStandin::Handle(size_t gateway,
                             const HttpStandin::Request& request,
                             const HttpStandin::Respond& respond) {
  if (faults.cut.contains(gateway))
    return;
  if (request.path == "/promotion")
    return Promotion(request, respond);
  ++m_calls;
  if (faults.down) {
    if (!faults.silent)
      respond(kHttpUnavailable, "{}");
    return;
  }
  const bool lost =
      faults.lost_one_of > 0 && m_random() % faults.lost_one_of == 0;
  const HttpStandin::Respond answer = [this, gateway, lost, respond](
                                          unsigned status, std::string body) {
    if (lost || faults.cut.contains(gateway))
      return;
    // Each gateway reaches the instances at its own address, which the
    // entries of other kinds do not hold.
    constexpr std::string_view kAny = "instance-address:";
    for (size_t place = body.find(kAny); place != std::string::npos;
         place = body.find(kAny))
      body.replace(place, kAny.size() - 1, InstanceAddress(gateway));
    respond(status, body);
  };
  constexpr std::string_view kPrefix = "/api/objects/";
  if (!request.path.starts_with(kPrefix))
    return answer(kHttpNotFound, "{}");
  std::string kind = request.path.substr(kPrefix.size());
  std::string name;
  const size_t slash = kind.find('/');
  if (slash != std::string::npos) {
    name = kind.substr(slash + 1);
    kind.resize(slash);
  }
  const bool status = name.ends_with("/status");
  if (status)
    name.resize(name.rfind('/'));
  if (request.method == "POST" || request.method == "PUT")
    return Write(kind, name, status, request, answer);
  if (request.method == "DELETE") {
    Remove(kind, name);
    return answer(kHttpOk, "{}");
  }
  if (name.empty())
    return List(kind, request, answer);
  const auto found = m_objects[kind].find(name);
  if (found == m_objects[kind].end())
    return answer(kHttpNotFound, "{}");
  answer(kHttpOk, TextOf(name, found->second));
}

void PlatformStandin::List(const std::string& kind,
                           const HttpStandin::Request& request,
                           const HttpStandin::Respond& respond) {
  if (request.query.contains("Watch")) {
    const Watch watch{kind, NumberOf(request.query, "Watch"), respond,
                      ++m_last_watch};
    if (AnswerWatch(watch, false))
      return;
    m_watches.push_back(watch);
    m_timers.After(std::chrono::milliseconds(NumberOf(request.query, "WaitMs")),
                   [this, number = watch.number] {
                     m_watches.remove_if([&](const Watch& entry) {
                       return entry.number == number &&
                              AnswerWatch(entry, true);
                     });
                   });
    return;
  }
  std::string items;
  for (const auto& [name, object] : m_objects[kind])
    items.append(items.empty() ? "" : ",").append(TextOf(name, object));
  respond(kHttpOk, R"({"items":[)" + items + R"(],"HasMore":false,"AsOf":)" +
                       std::to_string(m_revision) + "}");
}

void PlatformStandin::Write(const std::string& kind,
                            std::string name,
                            bool status,
                            const HttpStandin::Request& request,
                            const HttpStandin::Respond& respond) {
  const auto body = ParseJson(request.body, kStep);
  if (!body || !body.value().is_object())
    return respond(kHttpBadRequest, "{}");
  const json::object& fields = body.value().get_object();
  uint64_t expected = NumberOf(request.query, "Revision");
  if (const auto* meta = fields.if_contains("meta");
      meta && meta->is_object()) {
    const auto text = JsonFields::Create(*meta, kStep);
    if (text && name.empty())
      name = text.value().StringOr("Name", "").value();
    if (text && expected == 0)
      expected = text.value().NumberOr("Revision", 0).value();
  }
  const bool exists = Has(kind, name);
  const bool creates = request.method == "POST";
  if (name.empty())
    return respond(kHttpBadRequest, "{}");
  if (!exists && !creates)
    return respond(kHttpNotFound, "{}");
  if (exists &&
      (creates || (expected > 0 && m_objects[kind][name].revision != expected)))
    return respond(kHttpConflict, TextOf(name, m_objects[kind][name]));
  Object& object = m_objects[kind][name];
  const char* part = status ? "status" : "spec";
  const json::value value = fields.contains(part) ? fields.at(part) : nullptr;
  json::value& target = status ? object.status : object.spec;
  if (!exists || target != value) {
    target = value;
    Stored(kind, name, false);
  }
  respond(creates ? kCreated : kHttpOk, TextOf(name, object));
}

unsigned PlatformStandin::StartPromotion(GroupModel& group,
                                         size_t instance,
                                         uint64_t token) {
  uint64_t& newest = m_tokens[group.name()];
  if (token < newest || !group.is_running(instance))
    return kHttpConflict;
  newest = token;
  const Duration delay = 150ms + std::chrono::milliseconds(m_random() % 250);
  m_timers.After(delay, [this, &group, instance] {
    if (group.Promote(instance))
      m_on_promoted();
  });
  return kHttpOk;
}

void PlatformStandin::Promotion(const HttpStandin::Request& request,
                                const HttpStandin::Respond& respond) {
  ++m_promotion_calls;
  const auto body = ParseJson(request.body, kStep);
  const auto fields = body ? JsonFields::Create(body.value(), kStep)
                           : Result<JsonFields>(body.error());
  if (!fields)
    return respond(kHttpBadRequest, "{}");
  const std::string service = fields.value().StringOr("Service", "").value();
  const std::string id = fields.value().StringOr("Id", "").value();
  for (GroupModel* group : m_groups) {
    for (size_t instance = 0; instance < GroupModel::kInstances; ++instance) {
      if (group->name().value() != service || group->IdOf(instance) != id)
        continue;
      if (!faults.promotions_late)
        return respond(StartPromotion(*group, instance, request.fencing_token),
                       "{}");
      const Duration delay =
          1'000ms + std::chrono::milliseconds(m_random() % 4'000);
      m_timers.After(delay,
                     [this, group, instance, token = request.fencing_token] {
                       StartPromotion(*group, instance, token);
                     });
      return;
    }
  }
  respond(kHttpConflict, "{}");
}

}  // namespace jackdawturn::soak
