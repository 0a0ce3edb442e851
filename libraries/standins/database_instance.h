#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"

namespace jackdawturn {

// Options of a DatabaseInstance.
struct InstanceOptions {
  InstanceName name;
  // Connections that can be open at a time, for the whole fleet.
  size_t connection_limit = 16;
};

// A model of one instance of a database group, as docs/design.md requires it
// in section 2 (B1 to B8). Every call takes effect at once; latency, slots and
// the speed of replication belong to whoever drives the model.
//
// Statements: "get KEY", "put KEY VALUE", "add KEY AMOUNT" (an absent key
// counts as 0; the result is the new value).
//
// Thread safety: not thread-safe.
class DatabaseInstance {
 public:
  explicit DatabaseInstance(InstanceOptions options);

  const InstanceName& name() const { return m_options.name; }
  InstanceReport Report() const;

  // Errors: kExhausted at the connection limit.
  Result<ConnectionId> Open();
  // Rolls back the open transaction of the connection. Unknown ids are ignored.
  void Close(ConnectionId connection);
  // Closes all connections, as a crash does; the log stays.
  void Restart();
  size_t open_connections() const { return m_connections.size(); }

  // Runs "get KEY". With `term` the instance must be the primary of that term.
  // Errors: kWrongTerm, kInvalidArgument.
  Result<ReadResult> Read(std::optional<Term> term,
                          const std::string& statement) const;

  // Runs the statement and inserts the ledger entry in one transaction; an
  // existing entry is returned unchanged. Errors: kWrongTerm,
  // kInvalidArgument (bad statement), kConflict (an id with another digest),
  // kExhausted (the id is older than the ledger's low-water mark).
  Result<LedgerResult> Write(const WriteCommand& command);
  // Inserts a refused entry, or returns the existing one. Errors as Write.
  Result<LedgerResult> Refuse(const WriteCommand& command);

  // A transaction runs on one connection, which must be open and free.
  // Errors: kWrongTerm, kConflict (connection busy, or another transaction's
  // id), kNotFound (connection or transaction), kInvalidArgument.
  Result<void> Begin(ConnectionId connection,
                     const TransactionId& transaction,
                     Term term);
  Result<std::string> Execute(ConnectionId connection,
                              const TransactionId& transaction,
                              const std::string& statement);
  Result<LedgerResult> Commit(ConnectionId connection,
                              const TransactionId& transaction,
                              const WriteCommand& command);
  Result<void> Rollback(ConnectionId connection,
                        const TransactionId& transaction);

  // Requirements B3 to B5. Errors: kWrongTerm.
  Result<InstanceReport> Fence(Term term);
  Result<InstanceReport> Promote(Term term);
  // The replica copies from `primary` at the following ReplicateFrom calls.
  Result<InstanceReport> Follow(Term term, const InstanceName& primary);

  // Copies the log of `primary` up to `up_to`; removes entries that the primary
  // does not have. Does nothing unless this instance follows that primary in
  // its term. Returns true when the log changed.
  bool ReplicateFrom(const DatabaseInstance& primary, LogPosition up_to);

  // The two halves of ReplicateFrom, for replication over a network: a replica
  // sends its summary, the primary answers with a batch, the replica applies
  // it. BatchFor returns kWrongTerm unless this instance is primary.
  LogSummary Summary() const;
  Result<LogBatch> BatchFor(const LogSummary& replica, LogPosition up_to) const;
  bool ApplyBatch(const LogBatch& batch);
  // The primary that this replica follows; empty for none.
  const InstanceName& following() const { return m_following; }

  // Removes the oldest ledger entries of request ids with a time before
  // `low_water`, at most `limit`, and raises the mark to `low_water`, or only
  // to the time of the oldest entry that it left below. The mark is past the
  // time of every removed entry and is never lowered. Nothing is logged when
  // nothing changes. Errors: kWrongTerm unless primary of `term`.
  Result<PurgeResult> PurgeLedger(Term term,
                                  WallTime low_water,
                                  uint64_t limit);
  size_t ledger_size() const { return m_ledger.size(); }

  // A page of ledger entries with positions after `after`, in log order.
  std::vector<LedgerEntry> Ledger(LogPosition after, size_t limit) const;
  std::optional<LedgerEntry> FindLedger(const RequestId& request) const;

  // For checkers: committed data and the whole log.
  const std::map<std::string, std::string>& data() const { return m_data; }
  const std::vector<LogEntry>& log() const { return m_log; }

 private:
  struct OpenTransaction {
    TransactionId id;
    Term term;
    std::map<std::string, std::string> changes;
  };
  struct Connection {
    std::optional<OpenTransaction> transaction;
  };

  Result<void> CheckPrimary(Term term, const char* step) const;
  Result<OpenTransaction*> FindTransaction(ConnectionId connection,
                                           const TransactionId& transaction,
                                           const char* step);
  // Returns the entry that forbids running the command, if there is one.
  Result<std::optional<LedgerResult>> CheckLedger(const WriteCommand& command,
                                                  const char* step) const;
  LedgerResult Append(const WriteCommand& command,
                      LedgerOutcome outcome,
                      std::map<std::string, std::string> changes,
                      std::string value);
  void AppendEntry(const LogEntry& entry);
  void ApplyEntry(const LogEntry& entry, LogPosition position);
  void Truncate(size_t length);
  Result<std::string> RunStatement(const std::string& statement,
                                   std::map<std::string, std::string>& changes,
                                   const char* step) const;
  auto Fail(ErrorCode code, const char* step, std::string message) const {
    return Failure(code, step, m_options.name.value(), std::move(message));
  }

  InstanceOptions m_options;
  Term m_accepted_term;
  bool m_primary = false;
  InstanceName m_following;
  std::vector<LogEntry> m_log;
  // Where each term of the log starts, oldest first.
  std::vector<TermStart> m_starts;
  std::map<std::string, std::string> m_data;
  // In the order of the times of the ids, which stand in their first digits.
  std::map<RequestId, LedgerEntry> m_ledger;
  // The time of the ledger entry that was written last.
  std::optional<WallTime> m_newest;
  WallTime m_low_water;
  std::map<ConnectionId, Connection> m_connections;
  ConnectionId m_last_connection;
};

}  // namespace jackdawturn
