#include "standins/database_instance.h"

#include <algorithm>
#include <charconv>
#include <sstream>
#include <utility>

namespace jackdawturn {

namespace {

struct ParsedStatement {
  std::string verb;
  std::string key;
  std::string argument;
};

std::optional<ParsedStatement> Parse(const std::string& statement) {
  std::istringstream in(statement);
  ParsedStatement parsed;
  if (!(in >> parsed.verb >> parsed.key))
    return std::nullopt;
  std::getline(in >> std::ws, parsed.argument);
  return parsed;
}

std::optional<int64_t> ParseNumber(const std::string& text) {
  int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || rest != end)
    return std::nullopt;
  return number;
}

size_t EndOfTerm(const std::vector<TermStart>& starts,
                 size_t index,
                 size_t length) {
  return index + 1 < starts.size() ? starts[index + 1].start.value - 1 : length;
}

// Length of the common beginning of two logs. Entries with equal terms at
// equal positions are equal, and so is all before them, since a term has one
// primary.
size_t CommonLength(const std::vector<TermStart>& left,
                    size_t left_length,
                    const std::vector<TermStart>& right,
                    size_t right_length) {
  size_t common = 0;
  for (size_t index = 0; index < std::min(left.size(), right.size()); ++index) {
    if (left[index] != right[index])
      break;
    common = std::min(EndOfTerm(left, index, left_length),
                      EndOfTerm(right, index, right_length));
  }
  return common;
}

}  // namespace

DatabaseInstance::DatabaseInstance(InstanceOptions options)
    : m_options(std::move(options)) {}

InstanceReport DatabaseInstance::Report() const {
  InstanceReport report;
  report.accepted_term = m_accepted_term;
  report.log_term = m_log.empty() ? Term() : m_log.back().term;
  report.position = LogPosition{m_log.size()};
  report.primary = m_primary;
  return report;
}

Result<ConnectionId> DatabaseInstance::Open() {
  if (m_connections.size() >= m_options.connection_limit)
    return Fail(ErrorCode::kExhausted, "instance.open", "connection limit");
  m_last_connection = m_last_connection.Next();
  m_connections[m_last_connection] = Connection();
  return m_last_connection;
}

void DatabaseInstance::Close(ConnectionId connection) {
  m_connections.erase(connection);
}

void DatabaseInstance::Restart() {
  m_connections.clear();
}

Result<void> DatabaseInstance::CheckPrimary(Term term, const char* step) const {
  if (term != m_accepted_term || !m_primary)
    return Fail(ErrorCode::kWrongTerm, step,
                "term " + std::to_string(m_accepted_term.value) +
                    (m_primary ? " as primary" : " as replica"));
  return Success();
}

Result<ReadResult> DatabaseInstance::Read(std::optional<Term> term,
                                          const std::string& statement) const {
  if (term) {
    TRY(CheckPrimary(*term, "instance.read"));
  }
  const auto parsed = Parse(statement);
  if (!parsed || parsed->verb != "get")
    return Fail(ErrorCode::kInvalidArgument, "instance.read",
                "not a read: " + statement);
  const auto found = m_data.find(parsed->key);
  return ReadResult{found == m_data.end() ? "" : found->second, Report()};
}

Result<std::string> DatabaseInstance::RunStatement(
    const std::string& statement,
    std::map<std::string, std::string>& changes,
    const char* step) const {
  const auto parsed = Parse(statement);
  if (!parsed)
    return Fail(ErrorCode::kInvalidArgument, step, "empty statement");
  std::string current;
  if (const auto change = changes.find(parsed->key); change != changes.end())
    current = change->second;
  else if (const auto data = m_data.find(parsed->key); data != m_data.end())
    current = data->second;

  if (parsed->verb == "get")
    return current;
  if (parsed->verb == "put") {
    changes[parsed->key] = parsed->argument;
    return parsed->argument;
  }
  const auto before = current.empty() ? 0 : ParseNumber(current);
  const auto amount = ParseNumber(parsed->argument);
  if (parsed->verb != "add" || !before || !amount)
    return Fail(ErrorCode::kInvalidArgument, step,
                "bad statement: " + statement);
  changes[parsed->key] = std::to_string(*before + *amount);
  return changes[parsed->key];
}

Result<std::optional<LedgerResult>> DatabaseInstance::CheckLedger(
    const WriteCommand& command,
    const char* step) const {
  TRY(const WallTime time, RequestTime(command.request));
  if (time < m_low_water)
    return Fail(ErrorCode::kExhausted, step,
                "request id is older than the ledger's retention");
  const auto found = m_ledger.find(command.request);
  if (found == m_ledger.end())
    return std::optional<LedgerResult>();
  if (found->second.digest != command.digest)
    return Fail(ErrorCode::kConflict, step,
                "request id was used for another body");
  return std::optional(LedgerResult{found->second, true, ""});
}

LedgerResult DatabaseInstance::Append(
    const WriteCommand& command,
    LedgerOutcome outcome,
    std::map<std::string, std::string> changes,
    std::string value) {
  LogEntry entry;
  entry.term = m_accepted_term;
  entry.changes.assign(changes.begin(), changes.end());
  const LogPosition position{m_log.size() + 1};
  entry.ledger = LedgerEntry{command.request,
                             command.class_name,
                             command.digest,
                             outcome,
                             {entry.term, position}};
  AppendEntry(entry);
  return LedgerResult{*entry.ledger, false, std::move(value)};
}

Result<LedgerResult> DatabaseInstance::Write(const WriteCommand& command) {
  constexpr const char* kStep = "instance.write";
  TRY(CheckPrimary(command.term, kStep));
  TRY(auto existing, CheckLedger(command, kStep));
  if (existing)
    return *existing;
  std::map<std::string, std::string> changes;
  TRY(auto value, RunStatement(command.statement, changes, kStep));
  return Append(command, LedgerOutcome::kDone, std::move(changes),
                std::move(value));
}

Result<LedgerResult> DatabaseInstance::Refuse(const WriteCommand& command) {
  constexpr const char* kStep = "instance.refuse";
  TRY(CheckPrimary(command.term, kStep));
  TRY(auto existing, CheckLedger(command, kStep));
  if (existing)
    return *existing;
  return Append(command, LedgerOutcome::kRefused, {}, "");
}

Result<DatabaseInstance::OpenTransaction*> DatabaseInstance::FindTransaction(
    ConnectionId connection,
    const TransactionId& transaction,
    const char* step) {
  const auto found = m_connections.find(connection);
  if (found == m_connections.end())
    return Fail(ErrorCode::kNotFound, step, "connection is not open");
  auto& open = found->second.transaction;
  if (!open)
    return Fail(ErrorCode::kNotFound, step, "no transaction is open");
  if (open->id != transaction)
    return Fail(ErrorCode::kConflict, step, "another transaction is open");
  TRY(CheckPrimary(open->term, step));
  return &*open;
}

Result<void> DatabaseInstance::Begin(ConnectionId connection,
                                     const TransactionId& transaction,
                                     Term term) {
  constexpr const char* kStep = "instance.begin";
  TRY(CheckPrimary(term, kStep));
  const auto found = m_connections.find(connection);
  if (found == m_connections.end())
    return Fail(ErrorCode::kNotFound, kStep, "connection is not open");
  if (found->second.transaction)
    return Fail(ErrorCode::kConflict, kStep, "another transaction is open");
  found->second.transaction = OpenTransaction{transaction, term, {}};
  return Success();
}

Result<std::string> DatabaseInstance::Execute(ConnectionId connection,
                                              const TransactionId& transaction,
                                              const std::string& statement) {
  constexpr const char* kStep = "instance.execute";
  TRY(auto* open, FindTransaction(connection, transaction, kStep));
  return RunStatement(statement, open->changes, kStep);
}

Result<LedgerResult> DatabaseInstance::Commit(ConnectionId connection,
                                              const TransactionId& transaction,
                                              const WriteCommand& command) {
  constexpr const char* kStep = "instance.commit";
  TRY(auto* open, FindTransaction(connection, transaction, kStep));
  const OpenTransaction ended = *open;
  m_connections[connection].transaction.reset();
  TRY(CheckPrimary(command.term, kStep));
  TRY(auto existing, CheckLedger(command, kStep));
  if (existing)
    return *existing;
  return Append(command, LedgerOutcome::kDone, ended.changes, "");
}

Result<void> DatabaseInstance::Rollback(ConnectionId connection,
                                        const TransactionId& transaction) {
  const auto found = m_connections.find(connection);
  if (found == m_connections.end() || !found->second.transaction)
    return Success();
  if (found->second.transaction->id != transaction)
    return Fail(ErrorCode::kConflict, "instance.rollback",
                "another transaction is open");
  found->second.transaction.reset();
  return Success();
}

Result<InstanceReport> DatabaseInstance::Fence(Term term) {
  if (term < m_accepted_term)
    return Fail(ErrorCode::kWrongTerm, "instance.fence", "term is too low");
  if (term > m_accepted_term) {
    m_accepted_term = term;
    m_primary = false;
    m_following = InstanceName();
    for (auto& [id, connection] : m_connections)
      connection.transaction.reset();
  }
  return Report();
}

Result<InstanceReport> DatabaseInstance::Promote(Term term) {
  if (term != m_accepted_term || !m_following.empty())
    return Fail(ErrorCode::kWrongTerm, "instance.promote",
                "term is not the accepted term");
  if (!m_primary) {
    m_primary = true;
    AppendEntry(LogEntry{term, {}, std::nullopt, std::nullopt});
  }
  return Report();
}

Result<InstanceReport> DatabaseInstance::Follow(Term term,
                                                const InstanceName& primary) {
  if (term < m_accepted_term || (term == m_accepted_term && m_primary) ||
      primary == name())
    return Fail(ErrorCode::kWrongTerm, "instance.follow",
                "cannot follow " + primary.value());
  TRY(Fence(term));
  m_following = primary;
  return Report();
}

bool DatabaseInstance::ReplicateFrom(const DatabaseInstance& primary,
                                     LogPosition up_to) {
  const auto batch = primary.BatchFor(Summary(), up_to);
  return batch.has_value() && ApplyBatch(batch.value());
}

LogSummary DatabaseInstance::Summary() const {
  return {name(), m_accepted_term, m_starts, LogPosition{m_log.size()}};
}

Result<LogBatch> DatabaseInstance::BatchFor(const LogSummary& replica,
                                            LogPosition up_to) const {
  TRY(CheckPrimary(replica.accepted_term, "instance.replicate"));
  const size_t common =
      CommonLength(m_starts, m_log.size(), replica.starts,
                   static_cast<size_t>(replica.position.value));
  LogBatch batch{name(), m_accepted_term, LogPosition{common}, {}};
  const size_t length = std::min<size_t>(up_to.value, m_log.size());
  for (size_t index = common; index < length; ++index)
    batch.entries.push_back(m_log[index]);
  return batch;
}

bool DatabaseInstance::ApplyBatch(const LogBatch& batch) {
  if (m_following != batch.primary || m_accepted_term != batch.term ||
      batch.keep.value > m_log.size())
    return false;
  bool changed = !batch.entries.empty();
  if (batch.keep.value < m_log.size()) {
    Truncate(batch.keep.value);
    changed = true;
  }
  for (const LogEntry& entry : batch.entries)
    AppendEntry(entry);
  return changed;
}

void DatabaseInstance::Truncate(size_t length) {
  m_log.resize(length);
  std::erase_if(m_starts, [length](const TermStart& start) {
    return start.start.value > length;
  });
  m_data.clear();
  m_ledger.clear();
  m_newest.reset();
  m_low_water = WallTime();
  for (size_t index = 0; index < length; ++index)
    ApplyEntry(m_log[index], LogPosition{index + 1});
}

void DatabaseInstance::AppendEntry(const LogEntry& entry) {
  const LogPosition position{m_log.size() + 1};
  if (m_log.empty() || m_log.back().term != entry.term)
    m_starts.push_back({entry.term, position});
  m_log.push_back(entry);
  ApplyEntry(entry, position);
}

void DatabaseInstance::ApplyEntry(const LogEntry& entry, LogPosition position) {
  for (const auto& [key, value] : entry.changes)
    m_data[key] = value;
  if (entry.ledger) {
    VERIFY(entry.ledger->at.position == position);
    m_ledger[entry.ledger->request] = *entry.ledger;
    m_newest = RequestTime(entry.ledger->request).value();
  }
  if (entry.low_water) {
    m_low_water = std::max(m_low_water, *entry.low_water);
    const size_t removed = std::min<size_t>(entry.purged, m_ledger.size());
    m_ledger.erase(
        m_ledger.begin(),
        std::next(m_ledger.begin(), static_cast<ptrdiff_t>(removed)));
    if (m_ledger.empty())
      m_newest.reset();
  }
}

Result<PurgeResult> DatabaseInstance::PurgeLedger(Term term,
                                                  WallTime low_water,
                                                  uint64_t limit) {
  TRY(CheckPrimary(term, "instance.purge"));
  LogEntry entry;
  entry.term = term;
  WallTime mark = low_water;
  WallTime after_removed;
  for (const auto& [request, ledger] : m_ledger) {
    TRY(const WallTime time, RequestTime(request));
    if (time >= low_water)
      break;
    if (entry.purged == limit) {
      // Ids of one millisecond can be removed and left; a removed id must be
      // below the mark, or it could run again.
      mark = std::max(time, after_removed);
      break;
    }
    ++entry.purged;
    after_removed = time + std::chrono::milliseconds(1);
  }
  if (entry.purged > 0 || mark > m_low_water) {
    entry.low_water = mark;
    AppendEntry(entry);
  }
  return PurgeResult{entry.purged, m_low_water, m_newest};
}

std::vector<LedgerEntry> DatabaseInstance::Ledger(LogPosition after,
                                                  size_t limit) const {
  std::vector<LedgerEntry> page;
  for (size_t index = after.value; index < m_log.size(); ++index) {
    if (page.size() >= limit)
      break;
    const auto& ledger = m_log[index].ledger;
    if (ledger && m_ledger.count(ledger->request) != 0)
      page.push_back(*ledger);
  }
  return page;
}

std::optional<LedgerEntry> DatabaseInstance::FindLedger(
    const RequestId& request) const {
  const auto found = m_ledger.find(request);
  if (found == m_ledger.end())
    return std::nullopt;
  return found->second;
}

}  // namespace jackdawturn
