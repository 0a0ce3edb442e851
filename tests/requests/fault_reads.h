#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>

#include "fault_channel.h"

namespace jackdawturn::requests {

// The reads of a proxy: linearizable reads through LinearizableReadMachine, and
// reads from any instance that has reached the position of the session.
class FaultReads : public FaultChannel {
 public:
  using FaultChannel::FaultChannel;

  void Read(std::string key,
            bool linearizable,
            std::string token,
            ReplyHook hook) {
    const auto positions = m_codec.Decode(token);
    VERIFY(positions.has_value());
    const uint64_t id = Register(std::move(token), std::move(hook));
    const ReadRequirement required =
        positions.value().Requirement(m_view.record.group);
    const std::string statement = "get " + key;
    if (linearizable || required.primary_only)
      ReadLinearizable(id, statement);
    else
      ReadAny(id, statement, required.position, 0);
  }

 protected:
  void Forget() {
    ForgetReplies();
    m_reads.clear();
  }

  void FeedReads(const ReadEvent& event) {
    for (const uint64_t key : Keys(m_reads))
      FeedRead(key, event);
  }

  virtual void RefreshRecord() = 0;

 private:
  void ReadLinearizable(uint64_t key, const std::string& statement) {
    m_reads.emplace(key, LinearizableReadMachine(
                             ReadOptions{Milliseconds(60), Milliseconds(25)}));
    FeedRead(key,
             SubmitRead{LinearizableRead{m_view.record.group, statement,
                                         m_servers.now() + Milliseconds(300)},
                        m_view});
  }

  void FeedRead(uint64_t key, const ReadEvent& event) {
    const auto found = m_reads.find(key);
    if (found == m_reads.end())
      return;
    const auto before = found->second.NextWakeup();
    auto effects = found->second.Handle(event, m_servers.now());
    const bool moved = found->second.NextWakeup() != before;
    if (found->second.ended())
      m_reads.erase(found);
    for (ReadEffect& effect : effects) {
      if (auto* reply = std::get_if<ReplyRead>(&effect)) {
        CallerReply to_caller;
        to_caller.read = reply->reply;
        Reply(key, std::move(to_caller), reply->reply.confirmed);
      } else if (const auto* read = std::get_if<SendRead>(&effect)) {
        SendLinearizableRead(key, *read);
      } else if (const auto* ask = std::get_if<AskReport>(&effect)) {
        SendReport(*ask, [this, key](const InstanceReported& report) {
          FeedRead(key, report);
        });
        if (m_mutant == Mutant::kLinearizableReadUnchecked) {
          const Term term = m_view.record.term;
          FeedRead(key, InstanceReported{ask->call, ask->instance,
                                         InstanceReport{term, term, {}}});
        }
      } else {
        RefreshRecord();
      }
    }
    if (moved)
      Schedule(
          [this, key]() -> std::optional<TimePoint> {
            const auto item = m_reads.find(key);
            return item == m_reads.end() ? std::nullopt
                                         : item->second.NextWakeup();
          },
          [this, key] { FeedRead(key, TimePassed{}); });
  }

  void SendLinearizableRead(uint64_t key, const SendRead& read) {
    const size_t instance = IndexOf(read.instance);
    if (read.new_connection)
      ++m_shared[instance];
    Call<Result<ReadValue>>(
        instance, m_shared[instance],
        [=](DatabaseInstance& server) -> Result<ReadValue> {
          TRY(auto result, server.Read(read.term, read.statement));
          return ReadValue{result.value, result.report};
        },
        [this, key, read](const Result<ReadValue>& result) {
          FeedRead(key, ReadAnswered{read.call, result});
        });
  }

  // Serves a read that accepts staleness from any instance that has reached the
  // position, trying the instance of this zone first.
  void ReadAny(uint64_t key,
               const std::string& statement,
               TermPosition required,
               size_t attempt) {
    if (attempt == kInstances) {
      ReadLinearizable(key, statement);
      return;
    }
    const size_t instance = (m_index + attempt) % kInstances;
    Call<Result<ReadResult>>(
        instance, m_shared[instance],
        [=](DatabaseInstance& server) {
          return server.Read(std::nullopt, statement);
        },
        [=, this](const Result<ReadResult>& result) {
          const auto history = TermHistory::Create(m_view.record.history);
          const bool reached =
              result.has_value() &&
              (m_mutant == Mutant::kPositionIgnored ||
               history.value().Contains(required,
                                        {result.value().report.log_term,
                                         result.value().report.position}));
          if (!reached) {
            ReadAny(key, statement, required, attempt + 1);
            return;
          }
          CallerReply reply;
          reply.read = ReadReply{true, result.value().value};
          Reply(key, std::move(reply), std::nullopt);
        });
  }

  std::map<uint64_t, LinearizableReadMachine> m_reads;
};

}  // namespace jackdawturn::requests
