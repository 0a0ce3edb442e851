#include "gateway/session_state.h"

namespace jackdawturn::gateway {

namespace {

using Kind = BackendCommand::Kind;

// Limits the instance's memory for the prepared statements of one connection.
constexpr size_t kMaxPreparedStatements = 256;

bool HasValueOfOtherSession(const SessionState& session,
                            const AppliedSessionState& connection) {
  for (const auto& [name, value] : connection.values) {
    if (!session.values.contains(name))
      return true;
  }
  return false;
}

}  // namespace

std::vector<BackendCommand> PrepareConnection(const SessionState& session,
                                              const PreparedStatement* needed,
                                              AppliedSessionState& connection) {
  std::vector<BackendCommand> commands;
  // The protocol can overwrite a single value but not remove it.
  if (HasValueOfOtherSession(session, connection) ||
      connection.prepared.size() >= kMaxPreparedStatements) {
    commands.push_back({.kind = Kind::kDiscard});
    connection = {};
  }
  for (const auto& [name, value] : session.values) {
    const auto applied = connection.values.find(name);
    if (applied != connection.values.end() && applied->second == value)
      continue;
    commands.push_back(
        {.kind = Kind::kSetValue, .name = name, .argument = value});
    connection.values[name] = value;
  }
  if (needed && connection.prepared.insert(needed->SharedName()).second) {
    commands.push_back({.kind = Kind::kPrepare,
                        .name = needed->SharedName(),
                        .argument = needed->shape,
                        .writes = needed->writes});
  }
  return commands;
}

}  // namespace jackdawturn::gateway
