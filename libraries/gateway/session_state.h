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

  // Returns the name under which the statement is prepared at instances: one
  // word, which differs between any two statements.
  std::string SharedName() const;
  friend bool operator==(const PreparedStatement&,
                         const PreparedStatement&) = default;
};

// The values and prepared statements of a client's session, by the client's
// names. Thread safety: not thread-safe.
struct SessionState {
  std::map<std::string, std::string> values;
  std::map<std::string, PreparedStatement> prepared;
};

// What a connection to an instance, or to a proxy that holds such connections,
// is known to have. A command counts only once its reply has said that it was
// done. Thread safety: not thread-safe.
class AppliedSessionState {
 public:
  // Returns the commands that give the connection the values of the session,
  // and the prepared statement `needed` unless it is null. The caller sends
  // them first in the next batch, and passes its replies to Replied().
  std::vector<BackendCommand> Prepare(const SessionState& session,
                                      const PreparedStatement* needed);

  // Takes over the replies to the commands of the last Prepare(), which are the
  // first ones of the batch.
  void Replied(const std::vector<BackendReply>& replies);

  // What the connection has is not known any more; the next Prepare() discards
  // it.
  void Invalidate() { m_known = false; }

  const std::map<std::string, std::string>& values() const { return m_values; }

 private:
  bool HasValueOfOtherSession(const SessionState& session) const;
  void Done(const BackendCommand& command);

  std::map<std::string, std::string> m_values;
  // Names as returned by PreparedStatement::SharedName().
  std::set<std::string> m_prepared;
  // The commands that were sent and not yet answered.
  std::vector<BackendCommand> m_sent;
  // False after a command that was refused or not answered.
  bool m_known = true;
};

}  // namespace jackdawturn::gateway
