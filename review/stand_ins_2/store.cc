#include "store.h"

#include <boost/json/src.hpp>

namespace review {

namespace json = boost::json;

namespace {

// Returns the number after `name` in a query, or 0.
uint64_t NumberIn(const std::string& query, const std::string& name) {
  const size_t found = query.find(name + "=");
  if (found == std::string::npos)
    return 0;
  return std::strtoull(query.c_str() + found + name.size() + 1, nullptr, 10);
}

std::string Join(const std::vector<std::string>& texts) {
  std::string joined;
  for (const std::string& text : texts)
    joined.append(joined.empty() ? "" : ",").append(text);
  return joined;
}

}  // namespace

Store::Store()
    : m_server(
          std::make_unique<Server>([this](Stream& stream) { Serve(stream); })) {
}

std::string Store::TextOf(const std::string& name, const Object& object) {
  return json::serialize(json::object{
      {"meta", json::object{{"Name", name}, {"Revision", object.revision}}},
      {"spec", object.spec},
      {"status", nullptr}});
}

void Store::Stored(const std::string& kind, const std::string& name) {
  Object& object = m_objects[kind][name];
  object.revision = ++m_revision;
  m_events.push_back(
      {m_revision, kind,
       "{\"Object\":" + TextOf(name, object) + ",\"Removed\":false}"});
  m_changed.notify_all();
}

void Store::Put(const std::string& kind,
                const std::string& name,
                json::object spec) {
  const std::lock_guard lock(m_mutex);
  Object& object = m_objects[kind][name];
  const json::value value(std::move(spec));
  if (object.revision > 0 && object.spec == value)
    return;
  object.spec = value;
  Stored(kind, name);
}

void Store::Serve(Stream& stream) {
  constexpr int kIdleMs = 60'000;
  for (;;) {
    const auto head = stream.ReadUntil("\r\n\r\n", kIdleMs);
    if (!head)
      return;
    const size_t first = head->find(' ');
    const size_t second = head->find(' ', first + 1);
    size_t length = 0;
    const size_t found = head->find("Content-Length: ");
    if (found != std::string::npos)
      length = std::strtoul(head->c_str() + found + 16, nullptr, 10);
    const auto body = stream.ReadBytes(length, kIdleMs);
    if (!body)
      return;
    const Answer answer =
        Handle(head->substr(0, first),
               head->substr(first + 1, second - first - 1), *body);
    if (!stream.Write("HTTP/1.1 " + std::to_string(answer.status) +
                      " -\r\nContent-Type: application/json\r\n"
                      "Content-Length: " +
                      std::to_string(answer.body.size()) + "\r\n\r\n" +
                      answer.body))
      return;
  }
}

Store::Answer Store::Handle(const std::string& method,
                            const std::string& target,
                            const std::string& body) {
  constexpr std::string_view kPrefix = "/api/objects/";
  if (!target.starts_with(kPrefix))
    return {404, "{}"};
  const size_t question = target.find('?');
  const std::string query =
      question == std::string::npos ? "" : target.substr(question + 1);
  std::string kind = target.substr(
      kPrefix.size(), std::min(question, target.size()) - kPrefix.size());
  std::string name;
  const size_t slash = kind.find('/');
  if (slash != std::string::npos) {
    name = kind.substr(slash + 1);
    kind.resize(slash);
  }
  if (query.find("Watch=") != std::string::npos)
    return Watch(kind, NumberIn(query, "Watch"),
                 static_cast<int64_t>(NumberIn(query, "WaitMs")));
  if (method != "GET")
    return Write(kind, name, method == "POST", body);
  const std::lock_guard lock(m_mutex);
  if (!name.empty()) {
    const auto found = m_objects[kind].find(name);
    if (found == m_objects[kind].end())
      return {404, "{}"};
    return {200, TextOf(name, found->second)};
  }
  std::vector<std::string> items;
  for (const auto& [key, object] : m_objects[kind])
    items.push_back(TextOf(key, object));
  return {200, "{\"items\":[" + Join(items) + "],\"HasMore\":false,\"AsOf\":" +
                   std::to_string(m_revision) + "}"};
}

Store::Answer Store::Watch(const std::string& kind,
                           uint64_t revision,
                           int64_t wait_ms) {
  std::unique_lock lock(m_mutex);
  std::vector<std::string> events;
  m_changed.wait_for(lock, std::chrono::milliseconds(wait_ms), [&] {
    for (const Event& event : m_events) {
      if (event.revision > revision && event.kind == kind)
        events.push_back(event.text);
    }
    return !events.empty();
  });
  return {200, "{\"events\":[" + Join(events) +
                   "],\"AsOf\":" + std::to_string(m_revision) + "}"};
}

Store::Answer Store::Write(const std::string& kind,
                           std::string name,
                           bool creates,
                           const std::string& body) {
  boost::system::error_code error;
  const json::value parsed = json::parse(body, error);
  if (error || !parsed.is_object())
    return {400, "{}"};
  const json::object& fields = parsed.get_object();
  uint64_t expected = 0;
  if (const auto* meta = fields.if_contains("meta")) {
    const json::object& members = meta->as_object();
    if (name.empty())
      name = std::string(members.at("Name").as_string());
    if (const auto* revision = members.if_contains("Revision"))
      expected = revision->to_number<uint64_t>();
  }
  const std::lock_guard lock(m_mutex);
  const bool exists = m_objects[kind].contains(name);
  if (!exists && !creates)
    return {404, "{}"};
  if (exists &&
      (creates || (expected > 0 && m_objects[kind][name].revision != expected)))
    return {409, TextOf(name, m_objects[kind][name])};
  Object& object = m_objects[kind][name];
  if (!exists || object.spec != fields.at("spec")) {
    object.spec = fields.at("spec");
    Stored(kind, name);
  }
  return {creates ? 201 : 200, TextOf(name, object)};
}

}  // namespace review
