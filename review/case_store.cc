#include "case_store.h"

#include <algorithm>

namespace review {

namespace {

constexpr Ms kAnswerTime{4};
constexpr const char* kPrefix = "/api/objects/";

// Returns the text of a member's value in a JSON object.
std::string Member(const std::string& text, const std::string& name) {
  const size_t found = text.find("\"" + name + "\":");
  if (found == std::string::npos)
    return "";
  const size_t start = found + name.size() + 3;
  int depth = 0;
  bool quoted = false;
  for (size_t place = start; place < text.size(); ++place) {
    const char next = text[place];
    if (quoted && next == '\\') {
      ++place;
      continue;
    }
    if (next == '"')
      quoted = !quoted;
    if (quoted)
      continue;
    if (depth == 0 && (next == ',' || next == '}' || next == ']'))
      return text.substr(start, place - start);
    depth += next == '{' || next == '[' ? 1 : 0;
    depth -= next == '}' || next == ']' ? 1 : 0;
  }
  return text.substr(start);
}

std::string Unquoted(const std::string& text) {
  return text.size() >= 2 && text.front() == '"'
             ? text.substr(1, text.size() - 2)
             : text;
}

uint64_t NumberOf(const std::string& text) {
  return text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10);
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char next) { return std::tolower(next); });
  return text;
}

}  // namespace

Store::Store(size_t gateways, Promote promote, Rewrite rewrite)
    : m_promote(std::move(promote)), m_rewrite(std::move(rewrite)) {
  for (size_t gateway = 0; gateway < gateways; ++gateway)
    m_listeners.push_back(std::make_unique<Listener>(
        "127.0.0.1", 0, [this, gateway](const std::shared_ptr<Socket>& socket) {
          Serve(socket, gateway);
        }));
}

void Store::CutOff(size_t gateway, bool cut) {
  const std::lock_guard lock(m_mutex);
  if (cut)
    m_cut.insert(gateway);
  else
    m_cut.erase(gateway);
  Note("gateway " + std::to_string(gateway + 1) +
       (cut ? " is cut off from the store" : " reaches the store again"));
}

bool Store::Answers(size_t gateway, bool promotion) {
  const std::lock_guard lock(m_mutex);
  return promotion || (!m_silent && !m_cut.contains(gateway));
}

std::string Store::TextOf(const std::string& name, const Object& object) {
  return "{\"meta\":{\"Name\":\"" + name +
         "\",\"Revision\":" + std::to_string(object.revision) +
         ",\"Created\":1,\"Finalizers\":[],\"Deleting\":false},\"spec\":" +
         object.spec + ",\"status\":null}";
}

void Store::Stored(const std::string& kind,
                   const std::string& name,
                   bool removed) {
  Object& object = m_objects[kind][name];
  object.revision = ++m_revision;
  m_events.push_back({m_revision, kind,
                      std::string("{\"Removed\":") +
                          (removed ? "true" : "false") +
                          ",\"Object\":" + TextOf(name, object) + "}"});
  m_changed.notify_all();
}

void Store::Put(const std::string& kind,
                const std::string& name,
                const std::string& spec) {
  const std::lock_guard lock(m_mutex);
  Object& object = m_objects[kind][name];
  if (object.spec == spec)
    return;
  object.spec = spec;
  Stored(kind, name, false);
}

void Store::Remove(const std::string& kind, const std::string& name) {
  const std::lock_guard lock(m_mutex);
  if (!m_objects[kind].contains(name))
    return;
  Stored(kind, name, true);
  m_objects[kind].erase(name);
}

void Store::SetSilent(bool silent) {
  if (silent)
    ++m_outages;
  m_silent = silent;
  Note(silent ? "the store is silent" : "the store answers again");
}

void Store::Serve(const std::shared_ptr<Socket>& socket, size_t gateway) {
  constexpr Ms kIdle{600'000};
  std::string line;
  while (socket->ReadLine(line, kIdle)) {
    Request request;
    const size_t first = line.find(' ');
    const size_t second = line.find(' ', first + 1);
    request.method = line.substr(0, first);
    std::string path = line.substr(first + 1, second - first - 1);
    while (socket->ReadLine(line, kIdle) && !line.empty()) {
      const size_t colon = line.find(':');
      const size_t value = line.find_first_not_of(' ', colon + 1);
      request.headers[Lower(line.substr(0, colon))] =
          value == std::string::npos ? "" : line.substr(value);
    }
    const size_t length = NumberOf(request.headers["content-length"]);
    if (length > 0 && !socket->ReadBytes(request.body, length, kIdle))
      return;
    const size_t question = path.find('?');
    std::string rest =
        question == std::string::npos ? "" : path.substr(question + 1);
    path = path.substr(0, question);
    while (!rest.empty()) {
      const std::string field = rest.substr(0, rest.find('&'));
      rest = field.size() < rest.size() ? rest.substr(field.size() + 1) : "";
      const size_t equal = field.find('=');
      request.query[field.substr(0, equal)] =
          equal == std::string::npos ? "" : field.substr(equal + 1);
    }
    const unsigned outages = m_outages;
    // A connection on which an answer is lost returns nothing further.
    if (!Answers(gateway, path == "/promotion"))
      break;
    Answer answer;
    if (path == "/promotion") {
      answer = PromoteCall(request);
    } else if (path.starts_with(kPrefix)) {
      request.kind = path.substr(std::string(kPrefix).size());
      const size_t slash = request.kind.find('/');
      if (slash != std::string::npos) {
        request.name = request.kind.substr(slash + 1);
        request.kind.resize(slash);
      }
      answer = Handle(request);
    } else {
      answer.status = 404;
    }
    Sleep(kAnswerTime);
    if ((outages != m_outages && path != "/promotion") ||
        !Answers(gateway, path == "/promotion"))
      break;
    answer.body = m_rewrite(std::move(answer.body), gateway);
    if (!socket->Write("HTTP/1.1 " + std::to_string(answer.status) +
                       " Status\r\nContent-Type: application/json\r\n"
                       "Content-Length: " +
                       std::to_string(answer.body.size()) + "\r\n\r\n" +
                       answer.body))
      return;
  }
  // Nothing comes on this connection any more, but it stays open.
  while (socket->ReadLine(line, kIdle)) {
  }
}

Store::Answer Store::Handle(const Request& request) {
  if (request.method == "POST" || request.method == "PUT")
    return Write(request);
  if (request.method != "GET")
    return {404, "{}"};
  if (const auto watch = request.query.find("Watch");
      watch != request.query.end())
    return Watch(request.kind, NumberOf(watch->second),
                 Ms(NumberOf(request.query.at("WaitMs"))));
  if (request.name.empty())
    return List(request.kind);
  const std::lock_guard lock(m_mutex);
  const auto& objects = m_objects[request.kind];
  const auto found = objects.find(request.name);
  if (found == objects.end())
    return {404, "{}"};
  return {200, TextOf(request.name, found->second)};
}

Store::Answer Store::List(const std::string& kind) {
  const std::lock_guard lock(m_mutex);
  std::string items;
  for (const auto& [name, object] : m_objects[kind])
    items.append(items.empty() ? "" : ",").append(TextOf(name, object));
  return {200, "{\"items\":[" + items + "],\"HasMore\":false,\"AsOf\":" +
                   std::to_string(m_revision) + "}"};
}

Store::Answer Store::Watch(const std::string& kind,
                           uint64_t revision,
                           Ms wait) {
  const auto end = Clock::now() + wait;
  std::unique_lock lock(m_mutex);
  for (;;) {
    std::string events;
    for (const Event& event : m_events) {
      if (event.revision > revision && event.kind == kind)
        events.append(events.empty() ? "" : ",").append(event.text);
    }
    if (!events.empty() || Clock::now() >= end)
      return {200, "{\"events\":[" + events +
                       "],\"AsOf\":" + std::to_string(m_revision) + "}"};
    m_changed.wait_until(lock, end);
  }
}

Store::Answer Store::Write(const Request& request) {
  const std::string meta = Member(request.body, "meta");
  const std::string name =
      request.name.empty() ? Unquoted(Member(meta, "Name")) : request.name;
  const uint64_t expected = NumberOf(Member(meta, "Revision"));
  const std::string spec = Member(request.body, "spec");
  const std::lock_guard lock(m_mutex);
  auto& objects = m_objects[request.kind];
  const auto found = objects.find(name);
  const bool exists = found != objects.end();
  if (request.method == "PUT" && !exists)
    return {404, "{}"};
  if (exists && (request.method == "POST" ||
                 (expected > 0 && expected != found->second.revision)))
    return {409, TextOf(name, found->second)};
  if (!exists || found->second.spec != spec) {
    objects[name].spec = spec;
    Stored(request.kind, name, false);
  }
  return {exists ? 200 : 201, TextOf(name, objects[name])};
}

Store::Answer Store::PromoteCall(const Request& request) {
  const std::string service = Unquoted(Member(request.body, "Service"));
  const std::string id = Unquoted(Member(request.body, "Id"));
  const uint64_t token = NumberOf(request.headers.at("x-fencing-token"));
  Note("promotion of " + id + " called by " +
       request.headers.at("x-duty-holder") + ", token " +
       std::to_string(token));
  {
    const std::lock_guard lock(m_mutex);
    if (token < m_tokens[service])
      return {409, "{}"};
    m_tokens[service] = token;
  }
  return {m_promote(service, id) ? 200 : 409, "{}"};
}

}  // namespace review
