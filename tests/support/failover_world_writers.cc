#include <algorithm>
#include <utility>

#include "support/failover_world.h"

namespace jackdawturn::failover {

namespace {
// A try without an answer is given up after this time.
constexpr Duration kTryTimeout = std::chrono::milliseconds(100);
constexpr Duration kRetryDelay = std::chrono::milliseconds(3);
constexpr WallTime kRequestTime{std::chrono::milliseconds(1'000)};
}  // namespace

void FailoverWorld::Replicate(Instance& primary) {
  const std::string source = primary.database.name().value();
  const LogPosition up_to{primary.database.log().size()};
  for (size_t index = 0; index < kInstances; ++index) {
    const std::string name = InstanceOf(primary.group, index);
    if (name == source)
      continue;
    m_network.Send(source, name, [this, source, name, up_to] {
      const Duration delay = m_instances.at(name).replication_delay;
      m_network.After(name, delay, [this, source, name, up_to] {
        Instance& replica = m_instances.at(name);
        replica.database.ReplicateFrom(m_instances.at(source).database, up_to);
        CheckWaiters(replica);
      });
    });
  }
}

void FailoverWorld::CheckWaiters(Instance& instance) {
  const InstanceReport report = instance.database.Report();
  std::erase_if(instance.waiters, [&](const Waiter& waiter) {
    if (report.position < waiter.position &&
        report.accepted_term <= waiter.term)
      return false;
    waiter.reply(report);
    return true;
  });
}

void FailoverWorld::Sync() {
  for (auto& [name, instance] : m_instances) {
    if (instance.database.Report().primary && m_network.IsUp(name))
      Replicate(instance);
  }
  m_scheduler.After(m_options.sync_interval, [this] { Sync(); });
}

void FailoverWorld::NextWrite(Proxy& proxy, size_t group) {
  const Duration interval = m_options.write_interval;
  const Duration delay =
      interval / 2 + Duration(static_cast<Duration::rep>(
                         random()() % static_cast<uint64_t>(interval.count())));
  const size_t life = proxy.lives;
  m_network.After(proxy.name, delay, [this, &proxy, group, life] {
    if (life != proxy.lives)
      return;
    Writer& writer = proxy.holders[group].writer;
    writer.request = MakeRequestId(kRequestTime, random()());
    writer.started = now();
    writer.acknowledged = false;
    TryWrite(proxy, group, ++writer.attempt);
  });
}

// One try of the current request. The request id makes repeated tries run once.
void FailoverWorld::TryWrite(Proxy& proxy, size_t group, uint64_t attempt) {
  Holder& holder = proxy.holders[group];
  Writer& writer = holder.writer;
  if (writer.attempt != attempt || writer.acknowledged ||
      writer.request.empty())
    return;
  if (now() - writer.started > m_options.write_deadline) {
    ++m_refused;
    writer.request = RequestId();
    NextWrite(proxy, group);
    return;
  }
  const uint64_t next = ++writer.attempt;
  const size_t life = proxy.lives;
  const auto retry = [this, &proxy, group, next, life](Duration delay) {
    m_network.After(proxy.name, delay, [this, &proxy, group, next, life] {
      if (life == proxy.lives)
        TryWrite(proxy, group, next);
    });
  };
  if (holder.held || holder.steady.version == ObjectVersion()) {
    retry(kRetryDelay);
    return;
  }
  const Term term = holder.steady.record.term;
  const InstanceName primary = holder.steady.record.primary;
  const WriteCommand command{term, writer.request, ClassName("w"), 1,
                             "add k 1"};
  auto entry = std::make_shared<std::optional<LedgerEntry>>();
  Call(
      proxy.name, primary.value(), false, kTryTimeout,
      [this, command, entry,
       primary](DatabaseInstance& database) -> Result<InstanceReport> {
        TRY(const LedgerResult result, database.Write(command));
        *entry = result.entry;
        Replicate(m_instances.at(primary.value()));
        return database.Report();
      },
      [this, &proxy, group, next, life, entry, retry, primary](
          CallOutcome outcome, const Result<InstanceReport>* report) {
        if (life != proxy.lives)
          return;
        Deliver(proxy, group,
                failover_event::LiveRequestEnded{
                    primary, outcome, Duration(0), {}});
        if (proxy.holders[group].writer.attempt != next)
          return;
        // Each try ends at the latest after this time.
        retry(kTryTimeout);
        if (report != nullptr && report->has_value())
          Confirm(proxy, group, next, primary,
                  {report->value().accepted_term, (*entry)->at.position});
        else
          retry(kRetryDelay);
      });
}

// Asks the replicas for a report that confirms the position (design, section
// 2). The term is that in which the write was answered, and `writer` is the
// instance that answered it: the newest record may name another primary by now,
// and the report of the instance itself would confirm nothing.
void FailoverWorld::Confirm(Proxy& proxy,
                            size_t group,
                            uint64_t attempt,
                            const InstanceName& writer,
                            TermPosition at) {
  if (m_options.mutant == WorldMutant::kAcknowledgeUnconfirmed) {
    Acknowledge(proxy, group, attempt, at);
    return;
  }
  const GroupRecord& record = proxy.holders[group].steady.record;
  const size_t life = proxy.lives;
  for (const InstanceName& instance : record.instances) {
    if (instance == writer)
      continue;
    const std::string name = instance.value();
    const auto reply = [=, this, &proxy](const InstanceReport& report) {
      m_network.Send(name, proxy.name, [=, this, &proxy] {
        if (life != proxy.lives)
          return;
        const bool terms =
            m_options.mutant == WorldMutant::kConfirmAnyTerm ||
            (report.accepted_term == at.term && report.log_term == at.term);
        if (terms && report.position >= at.position)
          Acknowledge(proxy, group, attempt, at);
      });
    };
    m_network.Send(proxy.name, name, [this, name, at, reply] {
      Instance& replica = m_instances.at(name);
      replica.waiters.push_back(Waiter{at.term, at.position, reply});
      CheckWaiters(replica);
    });
  }
}

void FailoverWorld::Acknowledge(Proxy& proxy,
                                size_t group,
                                uint64_t attempt,
                                TermPosition at) {
  Writer& writer = proxy.holders[group].writer;
  if (writer.attempt != attempt || writer.acknowledged ||
      writer.request.empty())
    return;
  writer.acknowledged = true;
  m_acknowledgements.push_back(Acknowledgement{
      writer.request, group, proxy.name, at, now(), now() - writer.started});
  writer.request = RequestId();
  NextWrite(proxy, group);
}

}  // namespace jackdawturn::failover
