#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fault_reads.h"
#include "requests/requests.h"

namespace jackdawturn::requests {

// A proxy: the machines under test, wired to FaultServers.
class FaultProxy : public FaultReads {
 public:
  FaultProxy(FaultServers& servers,
             const SessionTokenCodec& codec,
             size_t index,
             Mutant mutant)
      : FaultReads(servers, codec, index, mutant) {
    m_transactions = MakeTable();
  }

  // Simulates a crash of the process: its memory is lost and the instances
  // close its connections.
  void Kill() {
    m_requests.clear();
    m_transactions = MakeTable();
    Forget();
    for (const auto& [instance, connection] : std::exchange(m_open, {}))
      m_servers.scheduler().After(
          Milliseconds(1 + m_servers.Below(30)),
          [this, instance = instance, connection = connection] {
            m_servers.instance(instance).Close(connection);
          });
  }

  // Handles the crash of an instance, which half of the proxies detect
  // immediately.
  void OnInstanceCrash(size_t instance) {
    const bool noticed = m_servers.Chance(50);
    for (auto item = m_open.begin(); item != m_open.end();) {
      const auto [at, connection] = *item;
      if (at != instance) {
        ++item;
        continue;
      }
      item = m_open.erase(item);
      std::erase(m_free, std::pair(at, connection));
      if (noticed)
        m_servers.network().After(
            node(), Milliseconds(1), [this, at = at, connection] {
              Feed(ConnectionLost{InstanceName(InstanceNode(at)), connection});
            });
    }
  }

  void OnRecord(const GroupView& view) {
    if (view.record.term < m_view.record.term)
      return;
    m_view = view;
    for (const uint64_t key : Keys(m_requests))
      FeedRequest(key, GroupChanged{view});
    FeedReads(GroupChanged{view});
    Feed(GroupTermChanged{view});
  }

  void RefreshRecord() override {
    m_servers.ReadRecord(m_index,
                         [this](const GroupView& view) { OnRecord(view); });
  }

  // Requests of callers.
  void Write(WriteRequest request, std::string token, ReplyHook hook) {
    const uint64_t key = Register(std::move(token), std::move(hook));
    m_requests.emplace(key, RequestMachine(Options()));
    FeedRequest(key, SubmitRequest{std::move(request), m_view});
  }
  void Ask(OutcomeQuery query, TimePoint deadline, ReplyHook hook) {
    const uint64_t key = Register("", std::move(hook));
    m_requests.emplace(key, RequestMachine(Options()));
    FeedRequest(key, DetermineOutcome{std::move(query), deadline, m_view});
  }
  void Begin(TransactionId transaction, ReplyHook hook) {
    const ReplyId reply_to{Register("", std::move(hook))};
    if (m_view.record.phase != GroupPhase::kSteady)
      return;
    const size_t instance = IndexOf(m_view.record.primary);
    const Term term = m_view.record.term;
    const auto begin = [this, transaction, reply_to, instance,
                        term](ConnectionId connection) {
      Feed(BeginTransaction{
          reply_to, m_view.record.group,
          PinnedConnection{InstanceName(InstanceNode(instance)), connection,
                           transaction, term}});
    };
    for (const auto& [at, connection] : m_free) {
      if (at == instance) {
        const ConnectionId taken = connection;
        std::erase(m_free, std::pair(at, taken));
        begin(taken);
        return;
      }
    }
    Call<Result<ConnectionId>>(
        instance, m_shared[instance],
        [](DatabaseInstance& server) { return server.Open(); },
        [this, begin, instance](const Result<ConnectionId>& opened) {
          if (!opened.has_value())
            return;
          m_open.insert({instance, opened.value()});
          begin(opened.value());
        });
  }
  void Statement(TransactionId transaction,
                 std::string statement,
                 ReplyHook hook) {
    Feed(RunStatement{ReplyId{Register("", std::move(hook))}, transaction,
                      std::move(statement),
                      m_servers.now() + Milliseconds(100)});
  }
  void Commit(TransactionId transaction,
              WriteRequest request,
              std::string token,
              ReplyHook hook) {
    Feed(CommitTransaction{ReplyId{Register(std::move(token), std::move(hook))},
                           transaction, std::move(request), m_view});
  }
  void Rollback(TransactionId transaction, ReplyHook hook) {
    Feed(RollbackTransaction{ReplyId{Register("", std::move(hook))},
                             transaction});
  }
  void Disconnect(TransactionId transaction) {
    Feed(CallerDisconnected{transaction});
  }

 private:
  static RequestOptions Options() {
    RequestOptions options;
    options.answer_timeout = Milliseconds(60);
    options.repeat_interval = Milliseconds(25);
    return options;
  }
  static std::unique_ptr<TransactionTable> MakeTable() {
    TransactionOptions options;
    options.idle_limit = Milliseconds(80);
    options.total_limit = Milliseconds(300);
    options.answer_timeout = Milliseconds(60);
    options.commit = Options();
    return std::make_unique<TransactionTable>(options);
  }

  void FeedRequest(uint64_t key, const RequestEvent& event) {
    const auto found = m_requests.find(key);
    if (found == m_requests.end())
      return;
    const auto before = found->second.NextWakeup();
    auto effects = found->second.Handle(event, m_servers.now());
    const bool moved = found->second.NextWakeup() != before;
    if (found->second.ended())
      m_requests.erase(found);
    const auto feed = [this, key](const RequestEvent& answer) {
      FeedRequest(key, answer);
    };
    for (RequestEffect& effect : effects) {
      if (auto* reply = std::get_if<ReplyAnswer>(&effect))
        ReplyOutcome(key, std::move(reply->answer));
      else
        Apply(effect, feed);
    }
    if (moved)
      Schedule(
          [this, key]() -> std::optional<TimePoint> {
            const auto item = m_requests.find(key);
            return item == m_requests.end() ? std::nullopt
                                            : item->second.NextWakeup();
          },
          [this, key] { FeedRequest(key, TimePassed{}); });
  }

  void ReplyOutcome(uint64_t key, Answer answer) {
    if (m_mutant == Mutant::kUnknownIsNotRun &&
        answer.outcome == Outcome::kUnknown)
      answer.outcome = Outcome::kNotRun;
    const auto confirmed = answer.confirmed;
    Reply(key, CallerReply{std::move(answer)}, confirmed);
  }

  using RequestFeed = std::function<void(const RequestEvent&)>;

  void Apply(const RequestEffect& effect, const RequestFeed& feed) {
    if (const auto* write = std::get_if<SendWrite>(&effect)) {
      SendLedger(write->call, write->instance, write->command,
                 write->new_connection, feed,
                 [](auto& server, auto& sent) { return server.Write(sent); });
    } else if (const auto* refusal = std::get_if<SendLedgerRefusal>(&effect)) {
      ApplyLedgerRefusal(*refusal, feed);
    } else if (const auto* commit = std::get_if<SendCommit>(&effect)) {
      const PinnedConnection on = commit->on;
      const WriteCommand command = Convert(commit->command);
      const TransactionId transaction = Alias(on);
      Call<Result<LedgerResult>>(
          IndexOf(on.instance), on.connection.value,
          [=](DatabaseInstance& server) {
            return server.Commit(on.connection, transaction, command);
          },
          Deliver(commit->call, on.instance, feed), true);
    } else if (const auto* ask = std::get_if<AskReport>(&effect)) {
      if (m_mutant != Mutant::kNoReports)
        SendReport(*ask,
                   [feed](const InstanceReported& report) { feed(report); });
    } else if (std::holds_alternative<RefreshGroup>(effect)) {
      RefreshRecord();
    }
  }

  void ApplyLedgerRefusal(const SendLedgerRefusal& refusal,
                          const RequestFeed& feed) {
    if (m_mutant == Mutant::kNoRefusal)
      return;
    if (m_mutant == Mutant::kRetryUnderNewId) {
      LedgerCommand command = refusal.command;
      command.request =
          MakeRequestId(FaultServers::LowWater() + std::chrono::milliseconds(1),
                        m_servers.random()());
      command.statement = m_statements[refusal.command.request];
      SendLedger(
          refusal.call, refusal.instance, command, true,
          [feed, refusal](RequestEvent event) {
            if (auto* answered = std::get_if<LedgerAnswered>(&event);
                answered != nullptr && answered->result.has_value())
              answered->result.value().entry.request = refusal.command.request;
            feed(event);
          },
          [](auto& server, auto& sent) { return server.Write(sent); });
      return;
    }
    if (m_mutant == Mutant::kRefusalNotSent) {
      const LedgerCommand& command = refusal.command;
      const LedgerResult forged{LedgerEntry{command.request,
                                            command.class_name,
                                            command.digest,
                                            LedgerOutcome::kRefused,
                                            {command.term, LogPosition{1}}}};
      feed(LedgerAnswered{refusal.call, forged});
      feed(InstanceReported{
          CallId(), InstanceName("forged"),
          InstanceReport{command.term, command.term, LogPosition{1}}});
      return;
    }
    SendLedger(refusal.call, refusal.instance, refusal.command,
               refusal.new_connection, feed,
               [](auto& server, auto& sent) { return server.Refuse(sent); });
  }

  static WriteCommand Convert(const LedgerCommand& command) {
    return WriteCommand{command.term, command.request, command.class_name,
                        command.digest, command.statement};
  }

  std::function<void(const Result<LedgerResult>&)>
  Deliver(CallId call, const InstanceName& instance, const RequestFeed& feed) {
    return [this, call, instance, feed](const Result<LedgerResult>& result) {
      feed(LedgerAnswered{call, result});
      if (m_mutant != Mutant::kNoConfirmation || !result.has_value())
        return;
      const TermPosition at = result.value().entry.at;
      feed(InstanceReported{CallId(), InstanceName("forged"),
                            InstanceReport{at.term, at.term, at.position}});
    };
  }

  template <typename Serve>
  void SendLedger(CallId call,
                  const InstanceName& name,
                  const LedgerCommand& ledger_command,
                  bool new_connection,
                  const RequestFeed& feed,
                  Serve serve) {
    const size_t instance = IndexOf(name);
    if (new_connection)
      ++m_shared[instance];
    const WriteCommand command = Convert(ledger_command);
    if (!command.statement.empty())
      m_statements[command.request] = command.statement;
    Call<Result<LedgerResult>>(
        instance, m_shared[instance],
        [=](DatabaseInstance& server) { return serve(server, command); },
        Deliver(call, name, feed), true);
  }

  void Feed(const TransactionEvent& event) {
    const auto before = m_transactions->NextWakeup();
    for (TransactionEffect& effect :
         m_transactions->Handle(event, m_servers.now()))
      Apply(effect);
    if (m_transactions->NextWakeup() != before)
      Schedule([this] { return m_transactions->NextWakeup(); },
               [this] { Feed(TimePassed{}); });
  }

  // Returns the id of the transaction of `on`, or, with the mutant
  // kDirtyConnection, of the one that was left open on its connection.
  TransactionId Alias(const PinnedConnection& on) const {
    const auto alias = m_aliases.find({on.instance, on.connection});
    return alias == m_aliases.end() ? on.transaction : alias->second;
  }

  void Apply(TransactionEffect& effect) {
    if (auto* reply = std::get_if<ReplyStatement>(&effect)) {
      CallerReply to_caller;
      to_caller.statement = std::move(reply->result);
      Reply(reply->reply_to.value, std::move(to_caller), std::nullopt);
    } else if (auto* commit = std::get_if<ReplyCommit>(&effect)) {
      ReplyOutcome(commit->reply_to.value, std::move(commit->answer));
    } else if (const auto* forward = std::get_if<CommitEffect>(&effect)) {
      Apply(forward->effect,
            [this, id = forward->transaction](const RequestEvent& event) {
              Feed(CommitEvent{id, event});
            });
    } else if (const auto* begin = std::get_if<SendBegin>(&effect)) {
      const PinnedConnection on = begin->on;
      SendStatementCall(
          begin->call, on,
          [this, on](DatabaseInstance& server) -> Result<std::string> {
            const auto begun =
                server.Begin(on.connection, on.transaction, on.term);
            if (begun.has_value())
              m_begun[{on.instance, on.connection}] = on.transaction;
            else if (m_mutant == Mutant::kDirtyConnection &&
                     begun.error().code == ErrorCode::kConflict)
              m_aliases[{on.instance, on.connection}] =
                  m_begun[{on.instance, on.connection}];
            else
              return begun.error();
            return std::string();
          });
    } else if (const auto* statement = std::get_if<SendStatement>(&effect)) {
      const PinnedConnection on = statement->on;
      SendStatementCall(statement->call, on,
                        [on, id = Alias(on), text = statement->statement](
                            DatabaseInstance& server) {
                          return server.Execute(on.connection, id, text);
                        });
    } else if (const auto* rollback = std::get_if<SendRollback>(&effect)) {
      const PinnedConnection on = rollback->on;
      const bool skip = m_mutant == Mutant::kDirtyConnection;
      SendStatementCall(
          rollback->call, on,
          [on, skip](DatabaseInstance& server) -> Result<std::string> {
            if (!skip) {
              TRY(server.Rollback(on.connection, on.transaction));
            }
            return std::string();
          });
    } else if (const auto* release = std::get_if<ReleaseConnection>(&effect)) {
      KeepForReuse(IndexOf(release->instance), release->connection);
    } else if (const auto* close = std::get_if<CloseConnection>(&effect)) {
      const size_t instance = IndexOf(close->instance);
      if (m_mutant == Mutant::kDirtyConnection) {
        KeepForReuse(instance, close->connection);
        return;
      }
      m_open.erase({instance, close->connection});
      m_servers.network().Send(node(), InstanceNode(instance),
                               [this, instance, id = close->connection] {
                                 m_servers.instance(instance).Close(id);
                               });
    }
  }

  void SendStatementCall(
      CallId call,
      const PinnedConnection& on,
      std::function<Result<std::string>(DatabaseInstance&)> serve) {
    Call<Result<std::string>>(
        IndexOf(on.instance), on.connection.value, std::move(serve),
        [this, call, on](const Result<std::string>& result) {
          Feed(StatementAnswered{on.transaction, on.instance, on.connection,
                                 call, result});
        });
  }

  std::map<uint64_t, RequestMachine> m_requests;
  std::unique_ptr<TransactionTable> m_transactions;
  // Only for mutants.
  std::map<RequestId, std::string> m_statements;
  std::map<std::pair<InstanceName, ConnectionId>, TransactionId> m_begun;
  std::map<std::pair<InstanceName, ConnectionId>, TransactionId> m_aliases;
};

}  // namespace jackdawturn::requests
