#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/core.h"
#include "routing/routing.h"

#include "routing/model_group.h"
#include "support/virtual_network.h"

namespace jackdawturn::routing {

enum class Ending { kOpen, kAnswered, kRefused, kResolved, kAbandoned };

// What happened to a request, as observed by its caller and by the database.
struct RequestRecord {
  RoutedRequest request;
  size_t proxy = 0;
  TimePoint arrived;
  TimePoint deadline;
  Ending ending = Ending::kOpen;
  size_t endings = 0;
  TimePoint ended;
  RefusalReason reason = RefusalReason::kOverloaded;
  // How often the database ran the request, and how often it was sent.
  size_t runs = 0;
  size_t sends = 0;
  bool by_replica = false;
};

struct WorldOptions {
  size_t proxies = 2;
  Duration same_zone_latency{250};
  Duration other_zone_latency{1'250};
  Duration open_time{10'000};
  size_t connection_share = 6;
  ModelGroupOptions group;
  RoutingOptions routing;
};

// Faults that a mutant injects between the machine and its adapters.
struct WorldMutant {
  bool hide_leaving = false;
  // Added to the query time of reports, so that they appear newer than they
  // are.
  Duration reports_shifted{0};
  // The reports of replicas always carry the proxy's current term.
  bool forge_terms = false;
  Duration timers_late{0};
  // Lost answers are passed in as refusals by the instance (kNotRun).
  bool loss_as_refusal = false;
};

// Simulates proxies with one RoutingMachine each and one ModelGroup on a
// virtual clock. Its adapters carry out the effects of the machines.
class RoutingWorld {
 public:
  using Ended = std::function<void(const RequestRecord&)>;

  RoutingWorld(WorldOptions options, uint64_t seed, WorldMutant mutant = {})
      : m_options(std::move(options)),
        m_mutant(mutant),
        m_start(AdvanceToStart(m_scheduler)),
        m_random(seed),
        m_group(m_scheduler, m_options.group, seed ^ 0x5bd1e995U) {
    for (size_t index = 0; index < m_options.proxies; ++index) {
      RoutingOptions routing = m_options.routing;
      routing.zone = ZoneName("z" + std::to_string(index % 3));
      m_proxies.push_back(std::make_unique<Proxy>(routing, seed + index));
      Publish(index);
    }
  }

  VirtualScheduler& scheduler() { return m_scheduler; }
  ModelGroup& group() { return m_group; }
  std::mt19937_64& random() { return m_random; }
  TimePoint now() const { return m_scheduler.now(); }
  RoutingMachine& machine(size_t proxy) const {
    return m_proxies[proxy]->machine;
  }
  size_t proxies() const { return m_proxies.size(); }
  const std::map<RequestId, RequestRecord>& records() const {
    return m_records;
  }
  // The number of violations by name of the promise, counted by the adapters.
  std::map<std::string, uint64_t>& broken() { return m_broken; }
  void SetEnded(Ended ended) { m_ended = std::move(ended); }

  static GroupName Name() { return GroupName("g"); }

  // The share of statements and answers that are lost with their connection, 0
  // to 1.
  double loss = 0;
  // The largest number of requests queued at one instance, and in progress on
  // one proxy.
  size_t most_waiting = 0;
  size_t most_in_progress = 0;

  RequestId Submit(size_t proxy, RoutedRequest request) {
    request.id = RequestId("r" + std::to_string(++m_last_request));
    request.group = Name();
    RequestRecord& record = m_records[request.id];
    record.request = request;
    record.proxy = proxy;
    record.arrived = now();
    record.deadline =
        std::min(request.deadline, now() + request.target->answer_time);
    Handle(proxy, RequestArrived{request});
    return request.id;
  }

  // Passes the group's current record and connection shares to a proxy.
  void Publish(size_t proxy) {
    GroupChanged event;
    event.group = Name();
    event.term = m_group.term();
    event.primary = m_group.instances()[m_group.primary()].name;
    PublishAs(proxy, event);
  }
  void PublishChanging(size_t proxy, Term term) {
    GroupChanged event;
    event.group = Name();
    event.term = term;
    PublishAs(proxy, event);
  }

  void SetLeaving(const InstanceName& instance) {
    m_leaving.insert(instance);
    for (size_t proxy = 0; proxy < m_proxies.size(); ++proxy)
      Publish(proxy);
  }

  // Makes one open connection of the proxy to the instance unresponsive,
  // whether busy or idle. Returns false when there is none.
  bool SilenceOne(size_t proxy, const InstanceName& instance) {
    for (auto& [id, connection] : m_proxies[proxy]->connections) {
      if (connection->instance->name == instance && !connection->silent &&
          connection->open) {
        connection->silent = true;
        return true;
      }
    }
    return false;
  }

  void Handle(size_t proxy, const RoutingEvent& event) {
    const RoutingEffects effects =
        m_proxies[proxy]->machine.Handle(event, now());
    for (const RoutingEffect& effect : effects)
      std::visit([&](const auto& e) { Apply(proxy, e); }, effect);
    // Queues grow only when requests arrive or are routed again.
    if (++m_handled % 4 == 0 || std::holds_alternative<RequestArrived>(event))
      RecordSizes(proxy);
    Schedule(proxy);
  }

 private:
  struct Connection {
    ModelGroup::Instance* instance = nullptr;
    bool silent = false;
    bool open = false;
    bool closed = false;
  };
  struct Proxy {
    Proxy(const RoutingOptions& options, uint64_t seed)
        : machine(options, seed) {}
    RoutingMachine machine;
    std::map<PoolConnectionId, std::shared_ptr<Connection>> connections;
    std::map<std::pair<RequestId, PoolConnectionId>, InstanceReport> answers;
    std::optional<TimePoint> timer;
    Term term;
  };

  void RecordSizes(size_t proxy) {
    for (const InstanceStatus& status : machine(proxy).Status(Name(), now()))
      most_waiting = std::max(most_waiting, status.waiting);
    most_in_progress = std::max(most_in_progress, machine(proxy).in_progress());
  }

  static TimePoint AdvanceToStart(VirtualScheduler& scheduler) {
    scheduler.RunUntil(TimePoint(Duration(10'000'000)));
    return scheduler.now();
  }

  void PublishAs(size_t proxy, GroupChanged event) {
    m_proxies[proxy]->term = event.term;
    for (const ModelGroup::Instance& instance : m_group.instances())
      event.instances.push_back(
          {instance.name, instance.zone,
           !m_mutant.hide_leaving && m_leaving.count(instance.name) != 0,
           m_options.connection_share});
    Handle(proxy, event);
  }

  Duration Latency(size_t proxy, const ModelGroup::Instance& instance) const {
    return instance.zone == ZoneName("z" + std::to_string(proxy % 3))
               ? m_options.same_zone_latency
               : m_options.other_zone_latency;
  }

  void Schedule(size_t proxy) {
    const auto next = machine(proxy).NextWakeup();
    Proxy& state = *m_proxies[proxy];
    if (!next || (state.timer && *state.timer <= *next))
      return;
    state.timer = *next;
    m_scheduler.At(*next + m_mutant.timers_late, [this, proxy, at = *next] {
      Proxy& woken = *m_proxies[proxy];
      if (woken.timer == at) {
        woken.timer.reset();
        Handle(proxy, TimePassed());
      }
    });
  }

  void CountViolation(const std::string& promise) { ++m_broken[promise]; }

  void Apply(size_t proxy, const SendStatement& effect) {
    ModelGroup::Instance& instance = *m_group.Find(effect.instance);
    RequestRecord& record = m_records.at(effect.request);
    ++record.sends;
    if (m_leaving.count(effect.instance) != 0)
      CountViolation("no_new_work_when_leaving");
    const auto found = m_proxies[proxy]->connections.find(effect.connection);
    if (found == m_proxies[proxy]->connections.end() || !found->second->open) {
      CountViolation("statement_on_closed_connection");
      return;
    }
    if (found->second->silent)
      return;
    if (std::uniform_real_distribution<double>(0, 1)(m_random) < loss / 2) {
      LoseConnection(proxy, effect.connection);
      return;
    }
    m_scheduler.After(
        Latency(proxy, instance), [this, proxy, effect, &instance] {
          m_group.Execute(instance, [this, proxy, effect, &instance] {
            Run(proxy, effect, instance);
          });
        });
  }

  void Run(size_t proxy,
           const SendStatement& effect,
           ModelGroup::Instance& instance) {
    StatementAnswered answer{Name(), effect.request, effect.connection,
                             StatementOutcome::kDone, std::nullopt};
    RequestRecord& record = m_records.at(effect.request);
    const bool term_matches =
        !effect.term || (instance.state.primary &&
                         instance.state.accepted_term == *effect.term);
    if (!term_matches) {
      answer.outcome = StatementOutcome::kNotRun;
    } else if (record.request.operation == Operation::kWrite) {
      m_group.Append(instance, *effect.term);
      if (++record.runs > 1 && !m_repeatable(record))
        CountViolation("no_unsafe_retry");
      if (record.ending == Ending::kRefused)
        CountViolation("not_run_did_not_run");
    }
    answer.report = instance.state;
    if (std::uniform_real_distribution<double>(0, 1)(m_random) < loss / 2) {
      LoseConnection(proxy, effect.connection);
      return;
    }
    const auto found = m_proxies[proxy]->connections.find(effect.connection);
    if (found == m_proxies[proxy]->connections.end() || found->second->silent)
      return;
    const auto connection = found->second;
    m_scheduler.After(
        Latency(proxy, instance), [this, proxy, answer, connection] {
          if (connection->closed)
            return;
          m_proxies[proxy]->answers[{answer.request, answer.connection}] =
              *answer.report;
          StatementAnswered forged = answer;
          Forge(proxy, *forged.report);
          Handle(proxy, forged);
        });
  }

  void LoseConnection(size_t proxy, PoolConnectionId id) {
    m_scheduler.After(Duration(500), [this, proxy, id] {
      const auto found = m_proxies[proxy]->connections.find(id);
      if (found == m_proxies[proxy]->connections.end())
        return;
      CloseAtServer(*found->second, id, proxy);
      m_proxies[proxy]->connections.erase(found);
      if (m_mutant.loss_as_refusal) {
        for (const auto& [request, record] : m_records) {
          if (record.ending == Ending::kOpen)
            Handle(proxy,
                   StatementAnswered{Name(), request, id,
                                     StatementOutcome::kNotRun, std::nullopt});
        }
      }
      Handle(proxy, ConnectionLost{Name(), id});
    });
  }

  void CloseAtServer(Connection& connection,
                     PoolConnectionId id,
                     size_t proxy) {
    connection.closed = true;
    connection.instance->connections.erase(id.value * 1'000 + proxy);
  }

  void Forge(size_t proxy, InstanceReport& report) const {
    if (!m_mutant.forge_terms || report.primary)
      return;
    report.accepted_term = m_proxies[proxy]->term;
    report.log_term = m_proxies[proxy]->term;
  }

  void Apply(size_t proxy, const AskReport& effect) {
    ModelGroup::Instance& instance = *m_group.Find(effect.instance);
    if (effect.connection != PoolConnectionId()) {
      const auto found = m_proxies[proxy]->connections.find(effect.connection);
      if (found == m_proxies[proxy]->connections.end() || found->second->silent)
        return;
    }
    const TimePoint until = now() + effect.timeout;
    m_scheduler.After(Latency(proxy, instance),
                      [this, proxy, effect, &instance, until] {
                        AnswerReport(proxy, effect, instance, until);
                      });
  }

  void AnswerReport(size_t proxy,
                    const AskReport& effect,
                    ModelGroup::Instance& instance,
                    TimePoint until) {
    if (instance.stalled)
      return;
    if (effect.wait_position && now() < until &&
        instance.state.position < *effect.wait_position) {
      m_scheduler.After(ModelGroup::kTick,
                        [this, proxy, effect, &instance, until] {
                          AnswerReport(proxy, effect, instance, until);
                        });
      return;
    }
    ReportArrived report{Name(), effect.instance,
                         effect.asked_at + m_mutant.reports_shifted,
                         effect.connection, instance.state};
    Forge(proxy, report.report);
    m_scheduler.After(Latency(proxy, instance),
                      [this, proxy, report] { Handle(proxy, report); });
  }

  void Apply(size_t proxy, const OpenConnection& effect) {
    auto connection = std::make_shared<Connection>();
    connection->instance = m_group.Find(effect.instance);
    m_proxies[proxy]->connections[effect.connection] = connection;
    m_scheduler.After(m_options.open_time, [this, proxy, effect, connection] {
      if (connection->closed)
        return;
      ModelGroup::Instance& instance = *connection->instance;
      const bool room =
          instance.connections.size() < m_options.group.connection_limit;
      if (room) {
        instance.connections.insert(effect.connection.value * 1'000 + proxy);
        connection->open = true;
      }
      Handle(proxy, ConnectionOpened{
                        Name(), effect.connection,
                        room ? OpenOutcome::kOpened : OpenOutcome::kRefused});
    });
  }

  void Apply(size_t proxy, const CloseConnection& effect) {
    const auto found = m_proxies[proxy]->connections.find(effect.connection);
    if (found == m_proxies[proxy]->connections.end())
      return;
    CloseAtServer(*found->second, effect.connection, proxy);
    m_proxies[proxy]->connections.erase(found);
  }

  void Apply(size_t proxy, const GiveAnswer& effect) {
    RequestRecord& record = m_records.at(effect.request);
    const auto found =
        m_proxies[proxy]->answers.find({effect.request, effect.connection});
    if (found == m_proxies[proxy]->answers.end()) {
      CountViolation("answer_is_there");
    } else if (record.request.operation == Operation::kRead) {
      CheckRead(record, found->second);
      record.by_replica = !found->second.primary;
    }
    End(record, Ending::kAnswered);
    m_proxies[proxy]->answers.erase({effect.request, effect.connection});
  }

  void CheckRead(const RequestRecord& record, const InstanceReport& report) {
    const uint64_t position =
        m_group.PositionInLog(report.log_term, report.position);
    if (position < record.request.required.position.value)
      CountViolation("session_reads_its_writes");
    const auto missing = m_group.FirstConfirmedAfter(position);
    if (!missing)
      return;
    const auto& age = record.request.target->allowed_age;
    if (age ? now() - *missing > *age : *missing < record.arrived)
      CountViolation("read_within_allowed_age");
  }

  void Apply(size_t proxy, const DropAnswer& effect) {
    m_proxies[proxy]->answers.erase({effect.request, effect.connection});
  }

  void Apply(size_t, const RefuseRequest& effect) {
    RequestRecord& record = m_records.at(effect.request);
    record.reason = effect.reason;
    if (record.runs > 0)
      CountViolation("not_run_did_not_run");
    End(record, Ending::kRefused);
  }

  void Apply(size_t, const ResolveUnknownOutcome& effect) {
    End(m_records.at(effect.request), Ending::kResolved);
  }

  void End(RequestRecord& record, Ending ending) {
    if (++record.endings > 1 || now() > record.deadline)
      CountViolation("ended_once_by_deadline");
    record.ending = ending;
    record.ended = now();
    if (m_ended)
      m_ended(record);
  }

 public:
  // Returns whether a request may really be repeated; mutants change the flag
  // of its target.
  std::function<bool(const RequestRecord&)> m_repeatable =
      [](const RequestRecord& record) {
        return record.request.target->repeatable;
      };

 private:
  WorldOptions m_options;
  WorldMutant m_mutant;
  VirtualScheduler m_scheduler;
  TimePoint m_start;
  std::mt19937_64 m_random;
  ModelGroup m_group;
  std::vector<std::unique_ptr<Proxy>> m_proxies;
  std::map<RequestId, RequestRecord> m_records;
  std::map<std::string, uint64_t> m_broken;
  std::set<InstanceName> m_leaving;
  uint64_t m_last_request = 0;
  uint64_t m_handled = 0;
  Ended m_ended;
};

}  // namespace jackdawturn::routing
