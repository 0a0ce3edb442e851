#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "gateway/backend_session.h"

namespace jackdawturn::gateway {

// A prepared statement without the name that a client gave it. Statements of
// the same shape are shared between clients.
struct PreparedStatement {
  bool writes = false;
  std::string shape;

  // The name under which instances know it.
  std::string SharedName() const { return (writes ? "w" : "r") + shape; }
  friend bool operator==(const PreparedStatement&,
                         const PreparedStatement&) = default;
};

// What a client has set up in its session. Thread safety: not thread-safe.
struct SessionState {
  std::map<std::string, std::string> values;
  std::map<std::string, PreparedStatement> prepared;
};

// What was set up on a connection to an instance. Thread safety: not
// thread-safe.
struct AppliedSessionState {
  std::map<std::string, std::string> values;
  // Shared names.
  std::set<std::string> prepared;
};

// Returns the commands that give a connection the session's values and the
// prepared statement, if one is needed, and updates `connection` as if they
// had run. Thread-safe.
std::vector<BackendCommand> PrepareConnection(const SessionState& session,
                                              const PreparedStatement* needed,
                                              AppliedSessionState& connection);

}  // namespace jackdawturn::gateway
