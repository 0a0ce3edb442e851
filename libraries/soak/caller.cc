#include "soak/caller.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/asio/ip/tcp.hpp>

#include "platform/line_stream.h"

namespace jackdawturn::soak {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

using Tcp = boost::asio::ip::tcp;
using gateway::platform::LineStream;

constexpr size_t kItems = 6;
// Operations on one connection.
constexpr size_t kMaxOperations = 100;
// Longer than any statement's time limit.
constexpr Duration kAnswerTimeout = 5s;
constexpr Duration kReconnectDelay = 50ms;
// Codes that promise that nothing of the attempt is kept.
constexpr std::array<std::string_view, 6> kPromises = {
    "BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"};

std::string TakeWord(std::string_view& rest) {
  const size_t end = std::min(rest.find(' '), rest.size());
  std::string word(rest.substr(0, end));
  rest.remove_prefix(std::min(end + 1, rest.size()));
  return word;
}

}  // namespace

std::shared_ptr<Caller> Caller::Create(boost::asio::io_context& context,
                                       gateway::Timers& timers,
                                       Checker& checker,
                                       Tally& tally,
                                       CallerOptions options,
                                       CallerHooks hooks) {
  return std::shared_ptr<Caller>(new Caller(
      context, timers, checker, tally, std::move(options), std::move(hooks)));
}

Caller::Caller(boost::asio::io_context& context,
               gateway::Timers& timers,
               Checker& checker,
               Tally& tally,
               CallerOptions options,
               CallerHooks hooks)
    : m_context(context),
      m_timers(timers),
      m_checker(checker),
      m_tally(tally),
      m_options(std::move(options)),
      m_hooks(std::move(hooks)),
      m_random(m_options.seed),
      m_next_database(m_options.seed) {}

void Caller::Stop() {
  m_stopped = true;
  Close();
}

// Actions of an earlier connection have no effect.
void Caller::After(Duration delay, void (Caller::*action)()) {
  m_timers.After(
      delay, [weak = weak_from_this(), action, connection = m_connection] {
        const auto self = weak.lock();
        if (self && !self->m_stopped && self->m_connection == connection)
          (self.get()->*action)();
      });
}

void Caller::Connect() {
  if (!m_hooks.can_connect())
    return After(kReconnectDelay, &Caller::Connect);
  const uint64_t connection = ++m_connection;
  const auto socket = std::make_shared<Tcp::socket>(m_context);
  const auto address = ToTcpEndpoint(m_options.gateway);
  VERIFY(address.has_value());
  socket->async_connect(address.value(), [self = shared_from_this(), connection,
                                          socket](
                                             boost::system::error_code error) {
    if (self->m_stopped || self->m_connection != connection)
      return;
    if (error)
      return self->After(kReconnectDelay, &Caller::Connect);
    ++self->m_tally.connections;
    const std::weak_ptr<Caller> weak = self;
    self->m_stream = LineStream::Create(
        std::move(*socket), {[weak, connection](std::string_view line) {
                               const auto caller = weak.lock();
                               if (caller && caller->m_connection == connection)
                                 caller->HandleLine(line);
                             },
                             [weak, connection](const std::string&) {
                               const auto caller = weak.lock();
                               if (caller && caller->m_connection == connection)
                                 caller->Disconnected();
                             }});
    self->m_stream->Start();
    // Each database has callers from the start.
    const auto& databases = self->m_options.databases;
    self->m_database = databases[self->m_next_database++ % databases.size()];
    self->m_operations_left = 1 + self->m_random() % kMaxOperations;
    self->m_plan = {{Kind::kStartup, ""}};
    self->SendNext();
  });
}

void Caller::LoseRequest() {
  if (m_outstanding && m_outstanding->kind != Kind::kStartup)
    ++m_tally.unanswered;
  if (m_read > 0)
    m_checker.ReadEnded(std::exchange(m_read, 0));
  m_outstanding.reset();
}

void Caller::Close() {
  LoseRequest();
  ++m_connection;
  if (m_stream)
    m_stream->Close();
  m_stream.reset();
  if (!m_stopped)
    After(kReconnectDelay, &Caller::Connect);
}

void Caller::Disconnected() {
  if (m_outstanding && m_outstanding->kind != Kind::kStartup)
    m_hooks.on_cut(m_options.name + "." + std::to_string(m_last_request),
                   m_sent_at);
  Close();
}

void Caller::BeginOperation() {
  if (m_operations_left-- == 0) {
    m_stream->Write("TERMINATE\r\n");
    return Close();
  }
  constexpr uint64_t kKinds = 10;
  const uint64_t kind = m_random() % kKinds;
  const std::string item = "k" + std::to_string(m_random() % kItems);
  m_attempt.clear();
  m_began = m_timers.now();
  if (kind < 6)
    m_plan = {{Kind::kRead, item}};
  else if (kind < 8)
    m_plan = {{Kind::kWrite, item}};
  else
    PlanTransaction();
  const bool writes = std::any_of(
      m_plan.begin(), m_plan.end(),
      [](const Statement& entry) { return entry.kind == Kind::kWrite; });
  if (writes)
    m_attempt = m_options.name + "-" + std::to_string(++m_last_attempt);
  SendNext();
}

void Caller::PlanTransaction() {
  const std::string one = "k" + std::to_string(m_random() % kItems);
  const std::string other = "k" + std::to_string(m_random() % kItems);
  m_plan = {{Kind::kBegin, ""}, {Kind::kRead, one}, {Kind::kWrite, one}};
  if (other != one)
    m_plan.push_back({Kind::kWrite, other});
  const bool commits = m_random() % 5 > 0;
  m_plan.push_back({commits ? Kind::kCommit : Kind::kRollback, ""});
}

void Caller::SendNext() {
  m_outstanding = m_plan.front();
  m_plan.pop_front();
  m_row.clear();
  m_code.clear();
  m_signature.clear();
  m_sent_at = m_timers.now();
  const auto query = [&](const std::string& text) {
    ++m_tally.requests;
    m_stream->Write("QUERY " + m_options.name + "." +
                    std::to_string(++m_last_request) + " " + text + "\r\n");
  };
  switch (m_outstanding->kind) {
    case Kind::kStartup:
      m_stream->Write("STARTUP " + m_database.name + " " + m_options.name +
                      "\r\n");
      break;
    case Kind::kBegin:
      query("BEGIN");
      break;
    case Kind::kRead:
      m_read = m_checker.ReadBegan(m_database.group, m_outstanding->item,
                                   m_timers.now() - m_database.max_staleness);
      query("READ " + m_outstanding->item);
      break;
    case Kind::kWrite:
      query("WRITE " + m_outstanding->item + " " + m_attempt);
      break;
    case Kind::kCommit:
      query("COMMIT");
      break;
    case Kind::kRollback:
      query("ROLLBACK");
      break;
  }
  m_timers.After(kAnswerTimeout,
                 [weak = weak_from_this(), connection = m_connection,
                  request = m_last_request] {
                   const auto self = weak.lock();
                   if (self && self->m_connection == connection &&
                       self->m_outstanding && self->m_last_request == request)
                     self->Close();
                 });
}

void Caller::HandleLine(std::string_view line) {
  const std::string_view whole = line;
  const std::string word = TakeWord(line);
  if (!m_outstanding) {
    if (word != "ERROR")
      m_checker.Report(
          Rule::kInventedAnswer,
          m_options.name + " asked nothing and was told " + std::string(whole));
    return Close();
  }
  if (word == "DATAROW")
    m_row = std::string(line);
  else if (word == "COMPLETE")
    m_signature = std::string(line);
  else if (word == "ERROR")
    m_code = TakeWord(line);
  else if (word == "READY")
    Answered(TakeWord(line));
}

void Caller::Answered(const std::string& state) {
  const bool startup = m_outstanding->kind == Kind::kStartup;
  if (!startup)
    m_code.empty() ? Succeeded() : Failed();
  m_outstanding.reset();
  m_read = 0;
  if (state == "E" || (!m_code.empty() && state == "T")) {
    m_plan = {{Kind::kRollback, ""}};
    return SendNext();
  }
  if (!m_code.empty())
    m_plan.clear();
  if (!m_plan.empty())
    return SendNext();
  After(std::chrono::milliseconds(1 + m_random() % 20),
        &Caller::BeginOperation);
}

void Caller::Succeeded() {
  ++m_tally.done;
  const Kind kind = m_outstanding->kind;
  if (kind == Kind::kRead) {
    ++m_tally.reads_checked;
    if (m_signature != "r-" + m_row)
      m_checker.Report(Rule::kInventedAnswer,
                       m_options.name + " read " + m_row +
                           " with the signature " + m_signature);
    m_checker.ReadAnswered(m_read, m_row == "none" ? "" : m_row);
    if (m_attempt.empty())
      m_hooks.on_served(m_database, false, m_began);
  }
  const bool commits =
      kind == Kind::kCommit || (kind == Kind::kWrite && m_plan.empty());
  if (commits) {
    ++m_tally.commits_acknowledged;
    m_checker.Acknowledged(m_attempt, m_timers.now());
    m_hooks.on_served(m_database, true, m_began);
  }
  if (kind == Kind::kRollback && !m_attempt.empty())
    m_checker.Refused(m_attempt, "ROLLBACK");
}

void Caller::Failed() {
  ++m_tally.errors[m_code];
  if (m_read > 0)
    m_checker.ReadEnded(m_read);
  const bool promised =
      std::find(kPromises.begin(), kPromises.end(), m_code) != kPromises.end();
  if (promised && !m_attempt.empty())
    m_checker.Refused(m_attempt, m_code);
  // A rollback after a commit whose outcome is open promises nothing.
  if (m_outstanding->kind == Kind::kCommit)
    m_attempt.clear();
}

}  // namespace jackdawturn::soak
