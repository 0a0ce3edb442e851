#include "gateway/session_state.h"

#include <algorithm>
#include <utility>

namespace jackdawturn::gateway {

namespace {

using Kind = BackendCommand::Kind;

// Limits the instance's memory for the prepared statements of one connection.
constexpr size_t kMaxPreparedStatements = 256;

}  // namespace

std::string PreparedStatement::SharedName() const {
  std::string name = writes ? "w" : "r";
  for (const char letter : shape) {
    // A blank would end the name.
    if (letter == ' ')
      name += "%20";
    else if (letter == '%')
      name += "%25";
    else
      name += letter;
  }
  return name;
}

bool AppliedSessionState::HasValueOfOtherSession(
    const SessionState& session) const {
  return std::any_of(m_values.begin(), m_values.end(), [&](const auto& value) {
    return !session.values.contains(value.first);
  });
}

std::vector<BackendCommand> AppliedSessionState::Prepare(
    const SessionState& session,
    const PreparedStatement* needed) {
  // A batch whose replies were not passed on may have run in part.
  m_known = m_known && m_sent.empty();
  m_sent.clear();
  // The protocol can overwrite a single value but not remove it.
  const bool discard = !m_known || HasValueOfOtherSession(session) ||
                       m_prepared.size() >= kMaxPreparedStatements;
  if (discard)
    m_sent.push_back({.kind = Kind::kDiscard});
  for (const auto& [name, value] : session.values) {
    const auto applied = m_values.find(name);
    if (!discard && applied != m_values.end() && applied->second == value)
      continue;
    m_sent.push_back(
        {.kind = Kind::kSetValue, .name = name, .argument = value});
  }
  if (needed && (discard || !m_prepared.contains(needed->SharedName()))) {
    m_sent.push_back({.kind = Kind::kPrepare,
                      .name = needed->SharedName(),
                      .argument = needed->shape,
                      .writes = needed->writes});
  }
  return m_sent;
}

void AppliedSessionState::Replied(const std::vector<BackendReply>& replies) {
  const auto sent = std::exchange(m_sent, {});
  for (size_t index = 0; index < sent.size(); ++index) {
    if (index < replies.size() && replies[index].code == ReplyCode::kDone)
      Done(sent[index]);
    else
      Invalidate();
  }
}

void AppliedSessionState::Done(const BackendCommand& command) {
  switch (command.kind) {
    case Kind::kDiscard:
      m_values.clear();
      m_prepared.clear();
      m_known = true;
      break;
    case Kind::kSetValue:
      m_values[command.name] = command.argument;
      break;
    case Kind::kPrepare:
      m_prepared.insert(command.name);
      break;
    default:
      break;
  }
}

}  // namespace jackdawturn::gateway
