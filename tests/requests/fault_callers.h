#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fault_proxies.h"

namespace jackdawturn::requests {

// The content of a request. Every body writes its own keys with its own amount,
// so that the databases show how often it ran.
struct Body {
  OutcomeQuery query;
  std::vector<std::string> keys;
  std::string amount;
  bool transaction = false;
  size_t submissions = 0;
  std::vector<Answer> answers;

  // Returns whether the answers determine the outcome.
  bool Resolved() const {
    size_t refused = 0;
    for (const Answer& answer : answers) {
      if (answer.outcome == Outcome::kDone ||
          answer.reason == Reason::kIdTooOld ||
          (answer.outcome == Outcome::kNotRun &&
           answer.scope == NotRunScope::kRequest))
        return true;
      refused += answer.outcome == Outcome::kNotRun ? 1 : 0;
    }
    return refused >= submissions;
  }
};

enum class ReadKind { kOwnWrite, kLinearizable, kInTransaction };

// A read whose expected value is known when it is sent.
struct KnownRead {
  ReadKind kind;
  std::string expected;
  std::string value;
};

// What the checker examines, besides the databases.
struct CallerHistory {
  std::vector<Body> bodies;
  std::vector<KnownRead> reads;
  // Expected and received results of statements.
  std::vector<std::pair<std::string, std::string>> values;
};

// Sessions that send requests to random proxies, each one request at a time.
class FaultCallers {
 public:
  FaultCallers(FaultServers& servers,
               std::vector<std::unique_ptr<FaultProxy>>& proxies)
      : m_servers(servers), m_proxies(proxies) {}

  void Start() {
    m_sessions.resize(kSessions);
    for (size_t session = 0; session < kSessions; ++session)
      m_servers.scheduler().After(Milliseconds(5 + m_servers.Below(40)),
                                  [this, session] { Step(session); });
  }

  // Queries every undetermined outcome, repeatedly until `end`.
  void Resolve(TimePoint end) {
    for (size_t body = 0; body < m_history.bodies.size(); ++body)
      ResolveBody(body, end);
  }

  const CallerHistory& history() const { return m_history; }

 private:
  static constexpr size_t kSessions = 3;
  static constexpr size_t kSteps = 4;
  // A caller waits longer than the deadline of its request.
  static constexpr Duration kDeadline = std::chrono::milliseconds(250);
  static constexpr Duration kCallerTimeout = std::chrono::milliseconds(300);

  struct Session {
    std::string token;
    std::vector<size_t> done;
    size_t steps = 0;
  };
  using OnReply = std::function<void(const CallerReply*)>;

  // Sends one request to a proxy. After the caller's timeout, `on_reply` runs
  // with null and a later reply is ignored.
  void Exchange(size_t proxy,
                std::function<void(FaultProxy&, const ReplyHook&)> send,
                OnReply on_reply) {
    const auto open = std::make_shared<bool>(true);
    const ReplyHook hook = [open, on_reply](const CallerReply& reply) {
      if (std::exchange(*open, false))
        on_reply(&reply);
    };
    m_servers.network().Send(
        "callers", ProxyNode(proxy),
        [this, proxy, send, hook] { send(*m_proxies[proxy], hook); });
    m_servers.scheduler().After(kCallerTimeout, [open, on_reply] {
      if (std::exchange(*open, false))
        on_reply(nullptr);
    });
  }

  size_t AnyProxy() { return m_servers.Below(kProxies); }

  void Next(size_t session) {
    m_servers.scheduler().After(Milliseconds(m_servers.Below(60)),
                                [this, session] { Step(session); });
  }

  void Step(size_t session) {
    Session& state = m_sessions[session];
    if (++state.steps > kSteps)
      return;
    const uint64_t choice = m_servers.Below(100);
    if (choice < 25 && !state.done.empty())
      ReadOwn(session);
    else if (choice < 40 && !m_done.empty())
      ReadLinearizable(session);
    else if (choice < 65)
      BeginTransaction(session);
    else
      Write(session);
  }

  size_t NewBody(bool transaction) {
    const size_t number = m_history.bodies.size();
    Body body;
    body.transaction = transaction;
    body.amount = std::to_string(1'000 + number);
    const std::string suffix = std::to_string(number);
    body.keys = {"a" + suffix};
    if (transaction)
      body.keys.push_back("b" + suffix);
    WallTime time = FaultServers::LowWater() +
                    std::chrono::duration_cast<std::chrono::milliseconds>(
                        m_servers.now().time_since_epoch());
    if (m_servers.Has(Fault::kIdReused) && m_servers.Chance(10))
      time -= std::chrono::hours(1);
    body.query =
        OutcomeQuery{GroupName("g"), MakeRequestId(time, m_servers.random()()),
                     ClassName("c"), number + 1};
    if (m_servers.Has(Fault::kIdReused) && number > 0 && m_servers.Chance(30))
      body.query.request =
          m_history.bodies[m_servers.Below(number)].query.request;
    m_history.bodies.push_back(std::move(body));
    return number;
  }

  WriteRequest MakeRequest(size_t number, bool resubmission) {
    const Body& body = m_history.bodies[number];
    WriteRequest request;
    request.group = body.query.group;
    request.request = body.query.request;
    request.class_name = body.query.class_name;
    request.digest = body.query.digest;
    if (!body.transaction)
      request.statement = "add " + body.keys[0] + " " + body.amount;
    request.deadline = m_servers.now() + kDeadline;
    request.repeatable = number % 3 == 0;
    request.submitted_before = resubmission;
    return request;
  }

  // Records the answer for a body and returns whether the outcome is
  // determined.
  bool TakeAnswer(size_t session, size_t number, const CallerReply* reply) {
    if (reply == nullptr || !reply->answer)
      return false;
    Body& body = m_history.bodies[number];
    body.answers.push_back(*reply->answer);
    if (reply->answer->value)
      m_history.values.push_back(
          {body.transaction ? "" : body.amount, *reply->answer->value});
    if (reply->answer->outcome == Outcome::kDone) {
      m_sessions[session].token = reply->token;
      m_sessions[session].done.push_back(number);
      m_done.push_back(number);
    }
    return body.Resolved();
  }

  void Write(size_t session) {
    const size_t number = NewBody(false);
    if (!m_servers.Has(Fault::kLateDuplicate) || m_servers.Chance(70)) {
      Submit(session, number, false);
      return;
    }
    // A duplicate is sent to a random proxy. Either the caller itself sends it
    // and receives its answer, or a client library does, and then the caller
    // sets submitted_before.
    const bool sent_by_caller = m_servers.Chance(50);
    Submit(session, number, !sent_by_caller);
    m_history.bodies[number].submissions += sent_by_caller ? 1 : 0;
    Exchange(
        AnyProxy(),
        [request = MakeRequest(number, false)](FaultProxy& proxy,
                                               const ReplyHook& hook) {
          proxy.Write(request, "", hook);
        },
        [this, number, sent_by_caller](const CallerReply* reply) {
          if (sent_by_caller && reply != nullptr && reply->answer)
            m_history.bodies[number].answers.push_back(*reply->answer);
        });
  }

  void Submit(size_t session, size_t number, bool resubmission) {
    ++m_history.bodies[number].submissions;
    Exchange(
        AnyProxy(),
        [this, request = MakeRequest(number, resubmission),
         token = m_sessions[session].token](FaultProxy& proxy,
                                            const ReplyHook& hook) {
          proxy.Write(request, token, hook);
        },
        [=, this](const CallerReply* reply) {
          const bool known = TakeAnswer(session, number, reply);
          // Half of the callers resubmit; the others query the outcome at the
          // end.
          if (!known && !resubmission && m_servers.Chance(50))
            Submit(session, number, true);
          else
            Next(session);
        });
  }

  void BeginTransaction(size_t session) {
    const size_t number = NewBody(true);
    const size_t proxy = AnyProxy();
    const TransactionId id("t" + std::to_string(number));
    Exchange(
        proxy,
        [id](FaultProxy& to, const ReplyHook& hook) { to.Begin(id, hook); },
        [=, this](const CallerReply* reply) {
          if (reply != nullptr && reply->statement &&
              reply->statement->has_value())
            Statement(session, number, proxy, id, 0);
          else
            Abandon(session, proxy, id);
        });
  }

  // Writes both keys, reads the first one back and commits.
  void Statement(size_t session,
                 size_t number,
                 size_t proxy,
                 TransactionId id,
                 size_t step) {
    const Body& body = m_history.bodies[number];
    const bool read = step == 2;
    const std::string statement =
        read ? "get " + body.keys[0]
             : "add " + body.keys[step] + " " + body.amount;
    Exchange(
        proxy,
        [id, statement](FaultProxy& to, const ReplyHook& hook) {
          to.Statement(id, statement, hook);
        },
        [=, this](const CallerReply* reply) {
          if (reply == nullptr || !reply->statement ||
              !reply->statement->has_value()) {
            Abandon(session, proxy, id);
            return;
          }
          const std::string value = reply->statement->value();
          const std::string amount = m_history.bodies[number].amount;
          if (read)
            m_history.reads.push_back(
                {ReadKind::kInTransaction, amount, value});
          else
            m_history.values.push_back({amount, value});
          if (m_servers.Chance(8))
            Abandon(session, proxy, id);
          else if (read)
            Commit(session, number, proxy, id);
          else
            Statement(session, number, proxy, id, step + 1);
        });
  }

  void Commit(size_t session, size_t number, size_t proxy, TransactionId id) {
    ++m_history.bodies[number].submissions;
    Exchange(
        proxy,
        [this, id, request = MakeRequest(number, false),
         token = m_sessions[session].token](FaultProxy& to,
                                            const ReplyHook& hook) {
          to.Commit(id, request, token, hook);
        },
        [=, this](const CallerReply* reply) {
          TakeAnswer(session, number, reply);
          Next(session);
        });
  }

  // Abandons a transaction without a commit: by a disconnect, by a rollback, or
  // without any message.
  void Abandon(size_t session, size_t proxy, TransactionId id) {
    const uint64_t way = m_servers.Below(3);
    m_servers.network().Send(
        "callers", ProxyNode(proxy), [this, proxy, id, way] {
          if (way == 0)
            m_proxies[proxy]->Disconnect(id);
          else if (way == 1)
            m_proxies[proxy]->Rollback(id, [](const CallerReply&) {});
        });
    Next(session);
  }

  void ReadOwn(size_t session) {
    const Session& state = m_sessions[session];
    const Body& body =
        m_history.bodies[state.done[m_servers.Below(state.done.size())]];
    Read(session, ReadKind::kOwnWrite, body, state.token);
  }

  void ReadLinearizable(size_t session) {
    const Body& body = m_history.bodies[m_done[m_servers.Below(m_done.size())]];
    Read(session, ReadKind::kLinearizable, body, "");
  }

  void Read(size_t session,
            ReadKind kind,
            const Body& body,
            std::string token) {
    Exchange(
        AnyProxy(),
        [kind, token, key = body.keys[0]](FaultProxy& proxy,
                                          const ReplyHook& hook) {
          proxy.Read(key, kind == ReadKind::kLinearizable, token, hook);
        },
        [=, this, expected = body.amount](const CallerReply* reply) {
          if (reply != nullptr && reply->read && reply->read->served)
            m_history.reads.push_back({kind, expected, reply->read->value});
          Next(session);
        });
  }

  void ResolveBody(size_t number, TimePoint end) {
    if (m_history.bodies[number].Resolved() || m_servers.now() >= end)
      return;
    Exchange(
        AnyProxy(),
        [this, number](FaultProxy& proxy, const ReplyHook& hook) {
          proxy.Ask(m_history.bodies[number].query, m_servers.now() + kDeadline,
                    hook);
        },
        [=, this](const CallerReply* reply) {
          if (reply != nullptr && reply->answer)
            m_history.bodies[number].answers.push_back(*reply->answer);
          ResolveBody(number, end);
        });
  }

  FaultServers& m_servers;
  std::vector<std::unique_ptr<FaultProxy>>& m_proxies;
  std::vector<Session> m_sessions;
  // Bodies that were answered `done`.
  std::vector<size_t> m_done;
  CallerHistory m_history;
};

}  // namespace jackdawturn::requests
