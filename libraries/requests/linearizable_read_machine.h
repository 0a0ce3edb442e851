#pragma once

#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "requests/request_types.h"

namespace jackdawturn::requests {

// A read that accepts no staleness.
struct LinearizableRead {
  GroupName group;
  std::string statement;
  // The machine replies at this time at the latest.
  TimePoint deadline;
};

// The result of a read, with the report of the instance at the time of the
// read.
struct ReadValue {
  std::string value;
  InstanceReport report;
};

struct ReadReply {
  bool served = false;
  std::string value;
  // The position that was read, if a replica is known to have reached it; it
  // may be recorded in the session token.
  std::optional<TermPosition> confirmed;
  // Why the read was not served.
  Reason reason = Reason::kNone;
  std::string message;
};

// Starts the machine.
struct SubmitRead {
  LinearizableRead read;
  GroupView view;
};

// The answer to SendRead.
struct ReadAnswered {
  CallId call;
  Result<ReadValue> result;
};

using ReadEvent = std::variant<SubmitRead,
                               GroupChanged,
                               ReadAnswered,
                               InstanceReported,
                               TimePassed>;

// Runs the statement on `instance`, which must be the primary of `term`.
struct SendRead {
  CallId call;
  InstanceName instance;
  Term term;
  std::string statement;
  // True when an earlier call was not answered.
  bool new_connection = false;
};

// Ends the machine. Sent exactly once.
struct ReplyRead {
  ReadReply reply;
};

// AskReport carries no wait_position here. Its answer must carry the same call
// and come from a query that was sent after the effect; reports from a cache or
// from a query of another machine do not count.
using ReadEffect = std::variant<SendRead, AskReport, RefreshGroup, ReplyRead>;

struct ReadOptions {
  // Timeout after which an unanswered call is repeated.
  Duration answer_timeout = std::chrono::milliseconds(100);
  // Time between refreshes of the group record.
  Duration repeat_interval = std::chrono::milliseconds(50);
};

// Serves a read that accepts no staleness (docs/design.md, section 2, rule
// "Fresh read"): it runs on the primary of term t and is served only if a
// replica, asked after the read arrived, reported accepted term t. Both run in
// parallel. Because a promotion needs n-1 fenced instances, no later term can
// have acknowledged a write before the read arrived.
//
// Thread safety: not thread-safe; owned by the decision thread.
class LinearizableReadMachine {
 public:
  explicit LinearizableReadMachine(ReadOptions options) : m_options(options) {}

  // Precondition: the first event, and no later one, is SubmitRead.
  std::vector<ReadEffect> Handle(const ReadEvent& event, TimePoint now);

  // Returns when TimePassed is due; nullopt before SubmitRead and after the
  // reply.
  std::optional<TimePoint> NextWakeup() const;

  // True after ReplyRead.
  bool ended() const { return m_ended; }

 private:
  void OnEvent(const SubmitRead& event, TimePoint now);
  void OnEvent(const GroupChanged& event, TimePoint now);
  void OnEvent(const ReadAnswered& event, TimePoint now);
  void OnEvent(const InstanceReported& event, TimePoint now);
  void OnEvent(const TimePassed& event, TimePoint now);

  void StartAttempt(TimePoint now);
  void RefreshRecord(TimePoint now);
  void ServeIfComplete();
  void Reply(ReadReply reply);

  ReadOptions m_options;
  LinearizableRead m_read;
  GroupView m_view;
  bool m_started = false;
  bool m_ended = false;
  // True while calls of the current attempt are in progress.
  bool m_attempting = false;
  bool m_suspect_connection = false;
  CallId m_last_call;
  // Calls of the current attempt.
  CallId m_read_call;
  std::set<CallId> m_report_calls;
  std::optional<ReadValue> m_value;
  std::optional<InstanceReport> m_replica_report;
  TimePoint m_next_action;
  std::vector<ReadEffect> m_effects;
};

}  // namespace jackdawturn::requests
