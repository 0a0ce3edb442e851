#include "gateway/session_state.h"

namespace jackdawturn::gateway {

namespace {

using Kind = BackendCommand::Kind;

// Prepared statements that one connection keeps; bounds the instance's memory.
constexpr size_t kMaxPrepared = 256;

bool HasForeignValue(const SessionState& session,
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
  // A value can be overwritten but not removed by itself.
  if (HasForeignValue(session, connection) ||
      connection.prepared.size() >= kMaxPrepared) {
    commands.push_back({.kind = Kind::kDiscard});
    connection = {};
  }
  for (const auto& [name, value] : session.values) {
    const auto known = connection.values.find(name);
    if (known != connection.values.end() && known->second == value)
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
