#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/gateway.h"

namespace jackdawturn::soak {

class Checker;

// Three instances of one group: their logs, roles and statements, without
// sockets and without a clock. One replica must have received a commit before
// it is acknowledged. Thread safety: not thread-safe.
class GroupModel {
 public:
  static constexpr size_t kInstances = 3;

  // What a connection to an instance has open.
  struct Session {
    bool in_transaction = false;
    bool failed = false;
    bool read_only = false;
    // The term in which the transaction began.
    uint64_t term = 0;
    std::map<std::string, std::string> writes;
    // Whether a prepared statement writes, by its name.
    std::map<std::string, bool> prepared;
  };

  // The answer to a statement, without its last line.
  struct Answer {
    std::string lines;
    // The commit that must be received by a replica first, by its place in the
    // log and its term.
    std::optional<gateway::CommitPosition> commit;
  };

  GroupModel(GroupName name, uint64_t seed, Checker& checker);

  // Runs the statement that a connection to an instance sent.
  Answer Execute(size_t instance, Session& session, std::string_view text);
  // Returns the line that ends an answer.
  std::string ReadyLine(size_t instance, const Session& session) const;

  // Replicas receive and apply what has come; call it often.
  void Replicate(TimePoint now);
  enum class CommitState { kWaiting, kReceived, kAbandoned };
  // What has become of a commit of the instance.
  CommitState StateOf(size_t instance,
                      const gateway::CommitPosition& commit) const;

  // Carries out a promotion. Returns whether the primary has changed.
  bool Promote(size_t instance);
  void Crash(size_t instance);
  void Restart(size_t instance, uint64_t born);
  // A silent instance runs and receives nothing.
  void SetSilent(size_t instance, bool silent);
  // Replicas apply what they receive after this time.
  void SetApplyDelay(Duration delay) { m_apply_delay = delay; }

  const GroupName& name() const { return m_name; }
  std::string IdOf(size_t instance) const;
  bool is_running(size_t instance) const {
    return m_instances[instance].running;
  }
  bool is_silent(size_t instance) const { return m_instances[instance].silent; }
  bool is_primary(size_t instance) const {
    return m_instances[instance].primary;
  }
  uint64_t born(size_t instance) const { return m_instances[instance].born; }
  // The instance that was promoted last.
  size_t newest_primary() const { return m_newest_primary; }
  uint64_t promotions() const { return m_promotions; }

 private:
  struct Commit {
    uint64_t term = 0;
    std::map<std::string, std::string> writes;
  };
  struct Instance {
    bool primary = false;
    bool running = true;
    bool silent = false;
    uint64_t term = 1;
    uint64_t paused_term = 0;
    uint64_t born = 1;
    std::vector<std::shared_ptr<const Commit>> log;
    // Nothing reaches it from the primary until then.
    TimePoint receives_at;
    // The state after the first `applied` commits.
    size_t applied = 0;
    std::map<std::string, std::string> values;
    // The lengths that the log had, each with the time when it is applied and
    // the time when it was received.
    struct Arrival {
      TimePoint apply_at;
      TimePoint received_at;
      size_t length;
    };
    std::deque<Arrival> arrivals;
    TimePoint fresh_at;
  };

  static gateway::CommitPosition PositionAt(const Instance& instance,
                                            size_t length);
  static void ApplyUpTo(Instance& instance, size_t length);
  void Receive(Instance& replica, const Instance& leader);
  Answer Run(Instance& instance, Session& session, std::string_view text);
  Answer Read(const Instance& instance,
              const Session& session,
              const std::string& item);
  Answer Write(Instance& instance,
               Session& session,
               const std::string& item,
               const std::string& data);
  Answer Append(Instance& instance,
                const std::map<std::string, std::string>& writes);
  Answer Admin(Instance& instance, std::string_view word, uint64_t term);
  Answer Error(const Instance& instance,
               Session& session,
               const std::string& code);

  const GroupName m_name;
  Checker& m_checker;
  std::mt19937_64 m_random;
  std::vector<Instance> m_instances{kInstances};
  size_t m_newest_primary = 0;
  uint64_t m_promotions = 0;
  Duration m_apply_delay{0};
  TimePoint m_now;
};

}  // namespace jackdawturn::soak
