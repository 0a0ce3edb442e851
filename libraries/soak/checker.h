#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gateway/gateway.h"

namespace jackdawturn::soak {

enum class Rule {
  kLostCommit,      // An acknowledged commit is not in the primary's log.
  kStaleRead,       // A read missed a commit that it had to see.
  kDoubleWrite,     // A write took effect twice.
  kFalseRefusal,    // A refusal promised that nothing is kept, and it is.
  kInventedAnswer,  // An answer that no instance gave.
  kCutRequest,      // A request was read before SIGTERM and not answered.
  kProcessEnded,    // A gateway ended although nobody ended it.
  kNotServed,       // After the last fault, a gateway did not serve again.
};

// Returns the name used in reports, for example "stale_read". Thread-safe.
std::string_view ToString(Rule rule);

// A rule that was broken, and how.
struct Violation {
  Rule rule = Rule::kLostCommit;
  std::string detail;
};

// Compares what the callers were told with what the instances hold. An attempt
// is one try of a write or transaction; the data it writes is its name, which
// is unique. The log of a group is that of its newest primary. Thread safety:
// not thread-safe.
class Checker {
 public:
  // A primary has added a commit to its log.
  void Appended(const GroupName& group,
                const std::string& attempt,
                uint64_t term,
                const std::vector<std::string>& items);
  // Another primary leads; its log consists of these attempts.
  void Promoted(const GroupName& group, std::vector<std::string> log);

  // A caller was told that the attempt has committed.
  void Acknowledged(const std::string& attempt, TimePoint now);
  // A caller was told, with this code, that nothing of the attempt is kept.
  void Refused(const std::string& attempt, const std::string& code);

  // A caller begins to read; the read must see the commits that were
  // acknowledged until `covered`. Returns the number of the read.
  uint64_t ReadBegan(const GroupName& group,
                     const std::string& item,
                     TimePoint covered);
  // The read was answered with the data of an attempt; empty if the item has
  // not been written. Precondition: the read has begun and not ended.
  void ReadAnswered(uint64_t read, const std::string& data);
  // The read ended without data.
  void ReadEnded(uint64_t read) { m_reads.erase(read); }

  // Records a rule that something else has found to be broken.
  void Report(Rule rule, std::string detail);

  // The first rule that was broken.
  const std::optional<Violation>& violation() const { return m_violation; }
  uint64_t commits() const { return m_commits; }
  uint64_t rolled_back() const { return m_rolled_back; }

 private:
  struct Attempt {
    GroupName group;
    // Where it was last appended; kept when it was rolled back.
    std::optional<gateway::CommitPosition> position;
    std::vector<std::string> items;
    bool in_log = false;
    bool acknowledged = false;
    // The code of its refusal.
    std::string refused;
  };
  // The newest commit of an item that was acknowledged until a time.
  using Floors = std::vector<std::pair<TimePoint, gateway::CommitPosition>>;
  struct Read {
    std::string item;
    gateway::CommitPosition floor;
  };

  std::map<std::string, Attempt> m_attempts;
  std::map<GroupName, std::vector<std::string>> m_logs;
  std::map<std::pair<GroupName, std::string>, Floors> m_floors;
  std::map<uint64_t, Read> m_reads;
  uint64_t m_last_read = 0;
  uint64_t m_commits = 0;
  uint64_t m_rolled_back = 0;
  std::optional<Violation> m_violation;
};

}  // namespace jackdawturn::soak
