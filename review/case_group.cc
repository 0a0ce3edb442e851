#include "case_group.h"

#include <algorithm>
#include <utility>

namespace review {

namespace {

const char* const kZones[] = {"z-a", "z-b", "z-c"};

std::string TakeWord(std::string& rest) {
  const size_t end = rest.find(' ');
  std::string word = rest.substr(0, end);
  rest = end == std::string::npos ? "" : rest.substr(end + 1);
  return word;
}

std::string Done(const std::string& signature, const std::string& row = "") {
  return (row.empty() ? "" : "DATAROW " + row + "\r\n") + "COMPLETE " +
         signature + "\r\n";
}

}  // namespace

Group::Group(Options options, Store& store, size_t gateways)
    : m_options(std::move(options)), m_store(store), m_gateways(gateways) {
  m_instances[0].primary = true;
  for (size_t index = 0; index < kInstances; ++index)
    m_instances[index].listeners = Listen(index);
}

std::vector<std::unique_ptr<Listener>> Group::Listen(size_t index) {
  std::vector<std::unique_ptr<Listener>> listeners;
  for (size_t gateway = 0; gateway < m_gateways; ++gateway)
    listeners.push_back(std::make_unique<Listener>(
        "127.0.0.1", 0,
        [this, index, gateway](const std::shared_ptr<Socket>& socket) {
          Serve(index, gateway, socket);
        }));
  return listeners;
}

std::string Group::WithAddresses(std::string text, size_t gateway) {
  const Lock lock(m_mutex);
  for (size_t index = 0; index < kInstances; ++index) {
    const std::string mark = "@" + std::to_string(index) + "@";
    const std::string address =
        "127.0.0.1:" +
        std::to_string(m_instances[index].listeners[gateway]->port());
    for (size_t at = text.find(mark); at != std::string::npos;
         at = text.find(mark))
      text.replace(at, mark.size(), address);
  }
  return text;
}

void Group::CutFromGateway(size_t instance, size_t gateway, bool cut) {
  const Lock lock(m_mutex);
  if (cut)
    m_instances[instance].cut_from.insert(gateway);
  else
    m_instances[instance].cut_from.erase(gateway);
  m_changed.notify_all();
  Note(IdOf(instance) +
       (cut ? " is cut off from gateway " : " is reached again by gateway ") +
       std::to_string(gateway + 1));
}

void Group::AwaitPath(size_t index, size_t gateway) {
  Lock lock(m_mutex);
  m_changed.wait(
      lock, [&] { return !m_instances[index].cut_from.contains(gateway); });
}

void Group::StartAnew(size_t index) {
  auto listeners = Listen(index);
  const Lock lock(m_mutex);
  Instance& instance = m_instances[index];
  const unsigned generation = instance.generation + 1;
  instance = Instance();
  instance.generation = generation;
  instance.listeners = std::move(listeners);
  Note(IdOf(index) + " starts with an empty log");
  Replicate();
  m_changed.notify_all();
}

std::string Group::IdOf(size_t instance) const {
  const std::string id = "i-" + m_options.service + std::to_string(instance);
  return id + "-" + std::to_string(m_instances[instance].generation);
}

void Group::Register(size_t index) {
  std::string spec;
  std::string id;
  {
    const Lock lock(m_mutex);
    Instance& instance = m_instances[index];
    if (!instance.running || instance.cut_from_store || m_store.silent())
      return;
    instance.last_heartbeat = Clock::now();
    instance.listed = true;
    // The count of heartbeats is left out: by itself it is no change.
    spec = "{\"Service\":\"" + m_options.service + "\",\"Addr\":\"@" +
           std::to_string(index) + "@\",\"Zone\":\"" + kZones[index % 3] +
           "\",\"Version\":\"v1\",\"Capacity\":2,\"State\":\"ready\","
           "\"WarmupLeftMs\":0,\"DbRole\":\"" +
           (instance.primary ? "primary" : "replica") +
           "\",\"SeqNo\":1,\"born\":" +
           std::to_string(1'000 + index + 10 * instance.generation) + "}";
    id = IdOf(index);
  }
  m_store.Put("servers", id, spec);
}

void Group::HeartbeatLoop(size_t index) {
  auto next = Clock::now();
  for (;;) {
    Register(index);
    next += m_options.heartbeat;
    while (Clock::now() < next) {
      Sleep(Ms(10));
      const Lock lock(m_mutex);
      Instance& instance = m_instances[index];
      // No entry lapses while the store is down.
      if (m_store.silent())
        instance.last_heartbeat += Ms(10);
      if (instance.listed &&
          Clock::now() - instance.last_heartbeat > 3 * m_options.heartbeat) {
        instance.listed = false;
        m_store.Remove("servers", IdOf(index));
        Note("the entry of " + IdOf(index) + " has lapsed");
      }
    }
  }
}

void Group::StartHeartbeats() {
  for (size_t index = 0; index < kInstances; ++index)
    std::thread([this, index] { HeartbeatLoop(index); }).detach();
}

Clock::time_point Group::LastHeartbeat(size_t instance) {
  const Lock lock(m_mutex);
  return m_instances[instance].last_heartbeat;
}

bool Group::Listed(size_t instance) {
  const Lock lock(m_mutex);
  return m_instances[instance].listed;
}

bool Group::Promote(const std::string& id) {
  const Lock lock(m_mutex);
  for (size_t index = 0; index < kInstances; ++index) {
    if (IdOf(index) != id)
      continue;
    if (!m_instances[index].running)
      return false;
    if (!m_instances[index].primary)
      std::thread([this, index] {
        Sleep(m_options.promote_time);
        Lead(index);
      }).detach();
    return true;
  }
  return false;
}

void Group::Lead(size_t index) {
  {
    const Lock lock(m_mutex);
    Instance& chosen = m_instances[index];
    if (!chosen.running || chosen.primary)
      return;
    uint64_t term = 0;
    for (const Instance& instance : m_instances)
      term = std::max(term, instance.term);
    ++term;
    for (Instance& instance : m_instances)
      instance.primary = false;
    chosen.primary = true;
    chosen.paused_term = 0;
    chosen.term = term;
    for (auto& time : chosen.received_at)
      time = Clock::time_point();
    for (Instance& instance : m_instances)
      instance.paused_term = 0;
    Note(IdOf(index) + " leads term " + std::to_string(term) + " with " +
         std::to_string(chosen.log.size()) + " commits");
    std::set<std::string> ids;
    for (const auto& commit : chosen.log)
      ids.insert(commit->id);
    if (on_promoted)
      on_promoted(IdOf(index), ids);
    Replicate();
    m_changed.notify_all();
  }
  for (size_t each = 0; each < kInstances; ++each)
    Register(each);
}

void Group::Replicate() {
  const Instance* leader = nullptr;
  for (const Instance& instance : m_instances) {
    if (instance.primary && instance.running && !instance.cut_from_peers)
      leader = &instance;
  }
  if (!leader)
    return;
  for (Instance& replica : m_instances) {
    if (&replica == leader || !replica.running || replica.deaf ||
        replica.cut_from_peers || replica.paused_term > 0)
      continue;
    size_t common = std::min(replica.log.size(), leader->log.size());
    while (common > 0 && replica.log[common - 1] != leader->log[common - 1])
      --common;
    replica.log.resize(common);
    replica.received_at.resize(common);
    while (replica.log.size() < leader->log.size()) {
      replica.log.push_back(leader->log[replica.log.size()]);
      replica.received_at.push_back(Clock::now());
    }
    replica.term = leader->term;
  }
}

bool Group::Received(const Instance& primary, size_t length) const {
  return std::any_of(
      m_instances.begin(), m_instances.end(), [&](const Instance& other) {
        return &other != &primary && other.running &&
               other.term == primary.term && other.log.size() >= length;
      });
}

size_t Group::Applied(const Instance& instance) const {
  size_t applied = instance.log.size();
  while (!instance.primary && applied > 0 &&
         instance.received_at[applied - 1] + m_options.apply_delay >
             Clock::now())
    --applied;
  return applied;
}

std::string Group::Position(const Instance& instance, size_t length) const {
  const uint64_t term = instance.primary ? instance.term
                        : length == 0    ? 1
                                         : instance.log[length - 1]->term;
  return std::to_string(std::max(term, length == instance.log.size()
                                           ? instance.term
                                           : uint64_t{1})) +
         "." + std::to_string(length);
}

std::string Group::ReadyLine(const Session& session) {
  const Instance& instance = m_instances[session.instance];
  const char* state = !session.in_transaction ? "I"
                      : session.failed        ? "E"
                                              : "T";
  return std::string("READY ") + state + " " +
         Position(instance, Applied(instance)) + "\r\n";
}

Group::Answer Group::Error(Session& session, const std::string& code) {
  if (session.in_transaction)
    session.failed = true;
  return {"ERROR " + code + " " + IdOf(session.instance) + "\r\n"};
}

Group::Answer Group::Admin(Instance& instance, const std::string& text) {
  std::string rest = text;
  const std::string word = TakeWord(rest);
  const uint64_t term = std::strtoull(rest.c_str(), nullptr, 10);
  if (word == "PAUSE" && !instance.primary && term > instance.term)
    instance.paused_term = std::max(instance.paused_term, term);
  if (word == "RESUME")
    instance.paused_term = 0;
  if (word == "STEPDOWN" && instance.primary && term > instance.term)
    instance.primary = false;
  Replicate();
  m_changed.notify_all();
  return {Done("-", std::string(instance.primary ? "primary " : "replica ") +
                        std::to_string(instance.term) + " " +
                        Position(instance, instance.log.size()) + " " +
                        std::to_string(instance.paused_term) + " 0 0 " +
                        std::to_string(instance.connections))};
}

Group::Answer Group::Execute(Session& session,
                             const std::string& id,
                             std::string text) {
  Lock lock(m_mutex);
  Instance& instance = m_instances[session.instance];
  if (text == "STATUS" || text == "RESUME" || text.starts_with("PAUSE ") ||
      text.starts_with("STEPDOWN "))
    return Admin(instance, text);
  if (text.starts_with("AFTER ")) {
    TakeWord(text);
    const std::string after = TakeWord(text);
    const auto numbers = [](const std::string& position) {
      const size_t dot = position.find('.');
      return std::make_pair(std::stoull(position.substr(0, dot)),
                            std::stoull(position.substr(dot + 1)));
    };
    if (numbers(Position(instance, Applied(instance))) < numbers(after))
      return Error(session, "LAGGING");
  }
  if (text == "ROLLBACK") {
    session.in_transaction = false;
    session.failed = false;
    session.writes.clear();
    return {Done("-")};
  }
  if (session.failed) {
    if (text != "COMMIT")
      return Error(session, "MALFORMED");
    session.in_transaction = false;
    session.failed = false;
    session.writes.clear();
    return Error(session, "ABORTED");
  }
  const bool lead_lost = session.in_transaction && !session.read_only &&
                         (!instance.primary || instance.term != session.term);
  if (lead_lost && (text != "COMMIT" || !session.writes.empty()))
    return Error(session, "READONLY");
  if (text == "DISCARD") {
    session.values.clear();
    session.prepared.clear();
    return {Done("-")};
  }
  if (text == "BEGIN" || text == "BEGIN READ") {
    if (text == "BEGIN" && !instance.primary)
      return Error(session, "READONLY");
    session.in_transaction = true;
    session.read_only = text != "BEGIN";
    session.term = instance.term;
    return {Done("-")};
  }
  std::string rest = text;
  const std::string word = TakeWord(rest);
  if (word == "SET") {
    const std::string name = TakeWord(rest);
    session.values[name] = rest;
    return {Done("-")};
  }
  if (word == "PARSE") {
    const std::string name = TakeWord(rest);
    const std::string access = TakeWord(rest);
    if (access != "READ" && access != "WRITE")
      return Error(session, "MALFORMED");
    session.prepared[name] = {access == "WRITE", rest};
    return {Done("-")};
  }
  if (word == "CLOSE") {
    session.prepared.erase(rest);
    return {Done("-")};
  }
  return RunData(lock, session, id, text);
}

Group::Answer Group::RunData(Lock& lock,
                             Session& session,
                             const std::string& id,
                             const std::string& text) {
  lock.unlock();
  Sleep(text.ends_with(" slow") ? m_options.longest_work : m_options.work);
  lock.lock();
  Instance& instance = m_instances[session.instance];
  if (!instance.running)
    return {"", true};
  std::string rest = text;
  std::string word = TakeWord(rest);
  if (word == "EXECUTE") {
    const auto prepared = session.prepared.find(TakeWord(rest));
    if (prepared == session.prepared.end())
      return Error(session, "NOSTMT");
    word = prepared->second.writes ? "WRITE" : "READ";
  }
  if (word == "COMMIT") {
    session.in_transaction = false;
    if (on_run)
      on_run({IdOf(session.instance), id, text, session.values});
    auto writes = std::exchange(session.writes, {});
    if (writes.empty())
      return {Done("s-" + id)};
    return Append(lock, session, id, std::move(writes));
  }
  const std::string item = TakeWord(rest);
  if (word == "READ") {
    if (on_run)
      on_run({IdOf(session.instance), id, text, session.values});
    std::string data = "none";
    const size_t applied = Applied(instance);
    for (size_t index = 0; index < applied; ++index) {
      const auto found = instance.log[index]->writes.find(item);
      if (found != instance.log[index]->writes.end())
        data = found->second;
    }
    return {Done("s-" + id, data)};
  }
  if (word != "WRITE")
    return Error(session, "MALFORMED");
  if (!instance.primary || session.read_only)
    return Error(session, "READONLY");
  if (on_run)
    on_run({IdOf(session.instance), id, text, session.values});
  if (!session.in_transaction)
    return Append(lock, session, id, {{item, rest}});
  session.writes[item] = rest;
  return {Done("s-" + id)};
}

Group::Answer Group::Append(Lock& lock,
                            Session& session,
                            const std::string& id,
                            std::map<std::string, std::string> writes) {
  Instance& instance = m_instances[session.instance];
  if (!instance.primary)
    return Error(session, "READONLY");
  auto commit = std::make_shared<Commit>();
  commit->term = instance.term;
  commit->id = id;
  commit->writes = std::move(writes);
  instance.log.push_back(commit);
  instance.received_at.emplace_back();
  const size_t length = instance.log.size();
  const uint64_t term = instance.term;
  Replicate();
  m_changed.wait(lock, [&] {
    return !instance.running || !instance.primary || instance.term != term ||
           Received(instance, length);
  });
  if (!instance.running || !instance.primary || instance.term != term)
    return {"", true};
  return {Done("s-" + id)};
}

void Group::Serve(size_t index,
                  size_t gateway,
                  const std::shared_ptr<Socket>& socket) {
  constexpr Ms kIdle{600'000};
  Session session;
  session.instance = index;
  {
    const Lock lock(m_mutex);
    if (!m_instances[index].running)
      return socket->Reset();
    m_instances[index].sockets.insert(socket);
  }
  const auto leave = [&](bool counted) {
    const Lock lock(m_mutex);
    m_instances[index].sockets.erase(socket);
    m_instances[index].connections -= counted ? 1 : 0;
    socket->Shut();
  };
  std::string line;
  if (!socket->ReadLine(line, kIdle))
    return leave(false);
  std::string rest = line;
  TakeWord(rest);
  const std::string service = TakeWord(rest);
  TakeWord(rest);
  AwaitPath(index, gateway);
  Sleep(m_options.handshake);
  if (service != m_options.service || (!rest.empty() && rest != IdOf(index))) {
    socket->Write("ERROR MISROUTED " + IdOf(index) + "\r\n");
    return leave(false);
  }
  {
    Lock lock(m_mutex);
    if (m_instances[index].connections >= m_options.connections) {
      lock.unlock();
      socket->Write("ERROR TOOMANY " + IdOf(index) + "\r\n");
      return leave(false);
    }
    ++m_instances[index].connections;
    if (!socket->Write(ReadyLine(session))) {
      lock.unlock();
      return leave(true);
    }
  }
  while (socket->ReadLine(line, kIdle)) {
    rest = line;
    if (TakeWord(rest) != "QUERY")
      break;
    const std::string id = TakeWord(rest);
    AwaitPath(index, gateway);
    const Answer answer = Execute(session, id, rest);
    AwaitPath(index, gateway);
    if (answer.silent)
      break;
    std::string text = answer.lines;
    {
      const Lock lock(m_mutex);
      if (!m_instances[index].running)
        break;
      text.append(ReadyLine(session));
    }
    if (!socket->Write(text))
      break;
  }
  leave(true);
}

void Group::Crash(size_t instance) {
  const Lock lock(m_mutex);
  m_instances[instance].running = false;
  for (const auto& listener : m_instances[instance].listeners)
    listener->Close();
  m_instances[instance].paused_term = 0;
  for (const auto& socket : m_instances[instance].sockets)
    socket->Shut();
  m_changed.notify_all();
  Note(IdOf(instance) + " crashes with " +
       std::to_string(m_instances[instance].log.size()) + " commits");
}

void Group::SetDeaf(size_t instance, bool deaf) {
  const Lock lock(m_mutex);
  m_instances[instance].deaf = deaf;
  Note(
      IdOf(instance) +
      (deaf ? " receives nothing from now on, has " : " receives again, has ") +
      std::to_string(m_instances[instance].log.size()) + " commits");
  Replicate();
  m_changed.notify_all();
}

void Group::CutFromStore(size_t instance, bool cut) {
  const Lock lock(m_mutex);
  m_instances[instance].cut_from_store = cut;
  Note(IdOf(instance) +
       (cut ? " is cut off from the store" : " reaches the store again"));
}

void Group::CutFromPeers(size_t instance, bool cut) {
  const Lock lock(m_mutex);
  m_instances[instance].cut_from_peers = cut;
  Note(IdOf(instance) + (cut ? " is cut off from the other instances"
                             : " reaches the other instances again"));
  Replicate();
  m_changed.notify_all();
}

std::optional<size_t> Group::Primary() {
  const Lock lock(m_mutex);
  for (size_t index = 0; index < kInstances; ++index) {
    if (m_instances[index].primary && m_instances[index].running)
      return index;
  }
  return std::nullopt;
}

uint64_t Group::term() {
  const Lock lock(m_mutex);
  uint64_t term = 0;
  for (const Instance& instance : m_instances)
    term = std::max(term, instance.term);
  return term;
}

std::set<std::string> Group::CommitsOf(size_t instance) {
  const Lock lock(m_mutex);
  std::set<std::string> ids;
  for (const auto& commit : m_instances[instance].log)
    ids.insert(commit->id);
  return ids;
}

}  // namespace review
