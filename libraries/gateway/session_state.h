#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "gateway/backend_session.h"

namespace jackdawturn::gateway {

// A prepared statement without the name chosen by the client. Clients share
// prepared statements of the same shape.
struct PreparedStatement {
  bool writes = false;
  std::string shape;

  // Returns the name under which the statement is prepared at instances.
  std::string SharedName() const { return (writes ? "w" : "r") + shape; }
  friend bool operator==(const PreparedStatement&,
                         const PreparedStatement&) = default;
};

// The values and prepared statements of a client's session, by the client's
// names. Thread safety: not thread-safe.
struct SessionState {
  std::map<std::string, std::string> values;
  std::map<std::string, PreparedStatement> prepared;
};

// The values and prepared statements that a connection to an instance has.
// Thread safety: not thread-safe.
struct AppliedSessionState {
  std::map<std::string, std::string> values;
  // Names as returned by PreparedStatement::SharedName().
  std::set<std::string> prepared;
};

// Returns the commands that apply the session's values, and the prepared
// statement `needed` unless it is null, to a connection. Updates `connection`
// as if they had run. Thread-safe.
std::vector<BackendCommand> PrepareConnection(const SessionState& session,
                                              const PreparedStatement* needed,
                                              AppliedSessionState& connection);

}  // namespace jackdawturn::gateway
