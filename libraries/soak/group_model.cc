#include "soak/group_model.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "soak/checker.h"

namespace jackdawturn::soak {

namespace {

using gateway::CommitPosition;

std::string_view TakeWord(std::string_view& rest) {
  const size_t end = rest.find(' ');
  const std::string_view word = rest.substr(0, end);
  rest =
      end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
  return word;
}

uint64_t NumberOf(std::string_view text) {
  uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

CommitPosition ParsePosition(std::string_view text) {
  const size_t dot = std::min(text.find('.'), text.size());
  return {NumberOf(text.substr(0, dot)),
          NumberOf(text.substr(std::min(dot + 1, text.size())))};
}

GroupModel::Answer Done(const std::string& signature = "-",
                        const std::string& row = "") {
  std::string lines;
  if (!row.empty())
    lines.append("DATAROW ").append(row).append("\r\n");
  return {lines.append("COMPLETE ").append(signature).append("\r\n"), {}};
}

}  // namespace

GroupModel::GroupModel(GroupName name, uint64_t seed, Checker& checker)
    : m_name(std::move(name)), m_checker(checker), m_random(seed) {
  m_instances[0].primary = true;
}

std::string GroupModel::IdOf(size_t instance) const {
  return "i-" + m_name.value() + std::to_string(instance);
}

CommitPosition GroupModel::PositionAt(const Instance& instance, size_t length) {
  return {length == 0 ? 1 : instance.log[length - 1]->term, length};
}

void GroupModel::ApplyUpTo(Instance& instance, size_t length) {
  for (; instance.applied < length; ++instance.applied) {
    for (const auto& [item, data] : instance.log[instance.applied]->writes)
      instance.values[item] = data;
  }
}

GroupModel::Answer GroupModel::Error(const Instance& instance,
                                     Session& session,
                                     const std::string& code) {
  if (session.in_transaction)
    session.failed = true;
  const auto index = static_cast<size_t>(&instance - m_instances.data());
  return {"ERROR " + code + " " + IdOf(index) + "\r\n", {}};
}

std::string GroupModel::ReadyLine(size_t index, const Session& session) const {
  const Instance& instance = m_instances[index];
  const char* state = !session.in_transaction ? "I"
                      : session.failed        ? "E"
                                              : "T";
  return std::string("READY ") + state + " " +
         gateway::ToString(PositionAt(instance, instance.applied)) + "\r\n";
}

GroupModel::Answer GroupModel::Execute(size_t index,
                                       Session& session,
                                       std::string_view text) {
  // One of so many statements finds no place to run in.
  constexpr uint64_t kBusyOneOf = 400;
  Instance& instance = m_instances[index];
  const bool busy = m_random() % kBusyOneOf == 0;
  const bool own = text.starts_with("ROLLBACK") || text.starts_with("DISCARD");
  if (busy && !own)
    return Error(instance, session, "BUSY");
  std::string_view rest = text;
  if (rest.starts_with("AFTER ")) {
    TakeWord(rest);
    const CommitPosition after = ParsePosition(TakeWord(rest));
    if (PositionAt(instance, instance.applied) < after)
      return Error(instance, session, "LAGGING");
  }
  return Run(instance, session, rest);
}

GroupModel::Answer GroupModel::Run(Instance& instance,
                                   Session& session,
                                   std::string_view rest) {
  const std::string_view text = rest;
  const std::string_view word = TakeWord(rest);
  if (word == "STATUS" || word == "PAUSE" || word == "RESUME" ||
      word == "STEPDOWN")
    return Admin(instance, word, NumberOf(rest));
  if (word == "DISCARD") {
    session.prepared.clear();
    return Done();
  }
  if (word == "ROLLBACK" || (word == "COMMIT" && session.failed)) {
    const bool rolls_back = word == "ROLLBACK";
    session.in_transaction = false;
    session.failed = false;
    session.writes.clear();
    return rolls_back ? Done() : Error(instance, session, "ABORTED");
  }
  if (session.failed)
    return Error(instance, session, "MALFORMED");
  const bool deposed = session.in_transaction && !session.read_only &&
                       (!instance.primary || instance.term != session.term);
  if (deposed && (word != "COMMIT" || !session.writes.empty()))
    return Error(instance, session, "READONLY");
  if (word == "BEGIN") {
    session.read_only = rest == "READ";
    if (!session.read_only && !instance.primary)
      return Error(instance, session, "READONLY");
    session.in_transaction = true;
    session.term = instance.term;
    return Done();
  }
  if (word == "COMMIT") {
    session.in_transaction = false;
    const auto writes = std::exchange(session.writes, {});
    return writes.empty() ? Done("c") : Append(instance, writes);
  }
  std::string name(TakeWord(rest));
  if (word == "READ")
    return Read(instance, session, name);
  if (word == "WRITE")
    return Write(instance, session, name, std::string(rest));
  if (word == "PARSE") {
    session.prepared[name] = rest.starts_with("WRITE");
    return Done();
  }
  if (word == "EXECUTE") {
    const auto found = session.prepared.find(name);
    if (found == session.prepared.end())
      return Error(instance, session, "NOSTMT");
    const std::string item(TakeWord(rest));
    return found->second ? Write(instance, session, item, std::string(rest))
                         : Read(instance, session, item);
  }
  if (word == "CLOSE")
    session.prepared.erase(name);
  if (word == "CLOSE" || word == "SET")
    return Done();
  return Error(instance, session, "MALFORMED " + std::string(text));
}

GroupModel::Answer GroupModel::Read(const Instance& instance,
                                    const Session& session,
                                    const std::string& item) {
  const auto written = session.writes.find(item);
  const auto stored = instance.values.find(item);
  const std::string data = written != session.writes.end()   ? written->second
                           : stored != instance.values.end() ? stored->second
                                                             : "none";
  return Done("r-" + data, data);
}

GroupModel::Answer GroupModel::Write(Instance& instance,
                                     Session& session,
                                     const std::string& item,
                                     const std::string& data) {
  if (!instance.primary || session.read_only)
    return Error(instance, session, "READONLY");
  if (!session.in_transaction)
    return Append(instance, {{item, data}});
  session.writes[item] = data;
  return Done("w-" + data);
}

GroupModel::Answer GroupModel::Append(
    Instance& instance,
    const std::map<std::string, std::string>& writes) {
  auto commit = std::make_shared<Commit>();
  commit->term = instance.term;
  commit->writes = writes;
  instance.log.push_back(commit);
  ApplyUpTo(instance, instance.log.size());
  std::vector<std::string> items;
  items.reserve(writes.size());
  for (const auto& [item, data] : writes)
    items.push_back(item);
  const std::string& attempt = writes.begin()->second;
  m_checker.Appended(m_name, attempt, instance.term, items);
  Answer answer = Done("w-" + attempt);
  answer.commit = PositionAt(instance, instance.log.size());
  return answer;
}

GroupModel::Answer GroupModel::Admin(Instance& instance,
                                     std::string_view word,
                                     uint64_t term) {
  if (word == "PAUSE" && term > instance.term && !instance.primary)
    instance.paused_term = std::max(instance.paused_term, term);
  if (word == "RESUME")
    instance.paused_term = 0;
  if (word == "STEPDOWN" && term > instance.term)
    instance.primary = false;
  const auto lag = std::chrono::ceil<std::chrono::milliseconds>(
      instance.primary ? Duration(0) : m_now - instance.fresh_at);
  std::string row = instance.primary ? "primary " : "replica ";
  row.append(std::to_string(instance.term)).append(" ");
  row.append(gateway::ToString(PositionAt(instance, instance.log.size())));
  row.append(" ").append(std::to_string(instance.paused_term)).append(" ");
  row.append(std::to_string(lag.count())).append(" 0 1");
  return Done("-", row);
}

void GroupModel::Receive(Instance& replica, const Instance& leader) {
  size_t common = std::min(replica.log.size(), leader.log.size());
  while (common > 0 && replica.log[common - 1] != leader.log[common - 1])
    --common;
  if (common < replica.log.size()) {
    replica.log.resize(common);
    replica.arrivals.clear();
    if (replica.applied > common) {
      replica.applied = 0;
      replica.values.clear();
      ApplyUpTo(replica, common);
    }
  }
  replica.term = leader.term;
  replica.log.insert(replica.log.end(),
                     leader.log.begin() + static_cast<ptrdiff_t>(common),
                     leader.log.end());
  replica.arrivals.push_back(
      {m_now + m_apply_delay, m_now, replica.log.size()});
}

void GroupModel::Replicate(TimePoint now) {
  m_now = now;
  for (Instance& replica : m_instances) {
    if (replica.primary || !replica.running || replica.silent)
      continue;
    const Instance* leader = nullptr;
    for (const Instance& other : m_instances) {
      if (other.primary && other.running && !other.silent &&
          other.term >= replica.term && (!leader || other.term > leader->term))
        leader = &other;
    }
    // The replicas receive a commit at different times, now and then much
    // later, so that only one of them has what was acknowledged.
    constexpr uint64_t kStallOneOf = 300;
    constexpr uint64_t kLongestStallMs = 250;
    if (m_random() % kStallOneOf == 0)
      replica.receives_at =
          now + std::chrono::milliseconds(m_random() % kLongestStallMs);
    if (leader && replica.paused_term == 0 && replica.receives_at <= now &&
        m_random() % 2 == 0)
      Receive(replica, *leader);
    while (!replica.arrivals.empty() &&
           replica.arrivals.front().apply_at <= now) {
      ApplyUpTo(replica, replica.arrivals.front().length);
      replica.fresh_at = replica.arrivals.front().received_at;
      replica.arrivals.pop_front();
    }
  }
}

GroupModel::CommitState GroupModel::StateOf(
    size_t index,
    const CommitPosition& commit) const {
  const Instance& instance = m_instances[index];
  if (!instance.running || !instance.primary || instance.term != commit.term)
    return CommitState::kAbandoned;
  for (const Instance& other : m_instances) {
    const bool counts = &other != &instance && other.running && !other.silent &&
                        other.term == instance.term &&
                        other.log.size() >= commit.number;
    if (counts &&
        other.log[commit.number - 1] == instance.log[commit.number - 1])
      return CommitState::kReceived;
  }
  return CommitState::kWaiting;
}

bool GroupModel::Promote(size_t index) {
  Instance& chosen = m_instances[index];
  if (!chosen.running || (index == m_newest_primary && chosen.primary))
    return false;
  uint64_t term = 0;
  for (const Instance& instance : m_instances)
    term = std::max(term, instance.term);
  std::vector<std::string> attempts;
  attempts.reserve(chosen.log.size());
  for (const auto& commit : chosen.log)
    attempts.push_back(commit->writes.begin()->second);
  m_checker.Promoted(m_name, std::move(attempts));
  for (Instance& instance : m_instances) {
    instance.primary = &instance == &chosen;
    instance.paused_term = 0;
    // What a replica has that the new primary lacks is rolled back when it
    // receives the first time.
    instance.term = term + 1;
  }
  chosen.arrivals.clear();
  ApplyUpTo(chosen, chosen.log.size());
  m_newest_primary = index;
  ++m_promotions;
  return true;
}

void GroupModel::Crash(size_t index) {
  m_instances[index].running = false;
}

void GroupModel::Restart(size_t index, uint64_t born) {
  Instance& instance = m_instances[index];
  instance.running = true;
  instance.paused_term = 0;
  instance.born = born;
}

void GroupModel::SetSilent(size_t index, bool silent) {
  m_instances[index].silent = silent;
}

}  // namespace jackdawturn::soak
