#include "soak/soak_run.h"

#include <memory>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include "gateway/asio_timers.h"
#include "soak/gateway_fleet.h"
#include "soak/group_standin.h"
#include "soak/platform_standin.h"

namespace jackdawturn::soak {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr const char* const kGroupNames[kGroups] = {"loans", "cards"};
constexpr size_t kConnectionLimit = 200;
constexpr std::chrono::milliseconds kMaxStaleness{1'000};
constexpr Duration kTick = 2ms;
constexpr Duration kReportInterval = 20ms;
// An instance that is silent for so long is taken off the store's list.
constexpr Duration kEntryTime = 3'600ms;
// How long a gateway may take to serve, after its start and the last fault.
constexpr Duration kServeTimeout = 25s;
// Answers of a store that loses some: one of so many.
constexpr uint64_t kLostOneOf = 4;

class SoakRun {
 public:
  explicit SoakRun(const SoakOptions& options)
      : m_options(options), m_timers(m_context) {}

  Result<SoakReport> Run();

 private:
  struct Group {
    std::unique_ptr<GroupModel> model;
    std::unique_ptr<GroupStandin> standin;
    std::vector<TimePoint> reported_at;
  };
  enum class Phase { kStarting, kFaults, kRecovering, kEnding, kOver };

  Result<void> StartPlatform();
  Result<void> StartGateways();
  void PutConfiguration();
  void PublishInstances();
  void Tick();
  void EnterPhase(Phase phase);
  void CheckPhase();
  // What each gateway is to do, and has not done since the phase began.
  std::string Unserved() const;
  void Begin(const Fault& fault);
  void BeginGroupFault(const Fault& fault);
  void BeginStoreFault(const Fault& fault);
  void EndStoreFault(const Fault& fault);
  void ResetOrSilence(const Fault& fault);
  void CutPrimary(const Fault& fault, size_t instance);
  void TakeInstance(const Fault& fault, size_t instance);
  void Log(const std::string& text);
  SoakReport Report() const;

  const SoakOptions m_options;
  boost::asio::io_context m_context{1};
  gateway::AsioTimers m_timers;
  Checker m_checker;
  Tally m_tally;
  std::vector<Group> m_groups;
  std::unique_ptr<PlatformStandin> m_platform;
  std::vector<Database> m_databases;
  std::unique_ptr<GatewayFleet> m_gateways;
  std::map<std::string, uint64_t> m_faults;
  uint64_t m_born = 1;
  Phase m_phase = Phase::kStarting;
  TimePoint m_started_at;
  TimePoint m_phase_began;
  TimePoint m_reported_at;
  // Gateways that have served since the phase began, each with the database and
  // whether it wrote.
  std::set<std::tuple<size_t, std::string, bool>> m_served;
  std::optional<Error> m_error;
};

Result<SoakReport> SoakRun::Run() {
  m_started_at = m_timers.now();
  m_phase_began = m_started_at;
  TRY(StartPlatform());
  TRY(StartGateways());
  Tick();
  m_context.run();
  if (m_error)
    return *m_error;
  return Report();
}

Result<void> SoakRun::StartPlatform() {
  std::vector<GroupModel*> models;
  for (size_t index = 0; index < kGroups; ++index) {
    Group& group = m_groups.emplace_back();
    const GroupName name(kGroupNames[index]);
    group.model = std::make_unique<GroupModel>(
        name, m_options.seed * kGroups + index, m_checker);
    TRY(group.standin,
        GroupStandin::Create(m_context, *group.model, m_options.seed + index,
                             kConnectionLimit, m_options.gateways));
    group.reported_at.resize(GroupModel::kInstances);
    models.push_back(group.model.get());
    m_databases.push_back({name.value() + "-strict", name, Duration(0)});
    m_databases.push_back({name.value() + "-aged", name, kMaxStaleness});
  }
  TRY(m_platform,
      PlatformStandin::Create(m_context, m_timers, models, m_options.seed,
                              m_options.gateways, [this] {
                                Log("promoted");
                                PublishInstances();
                              }));
  PutConfiguration();
  PublishInstances();
  return Success();
}

void SoakRun::PutConfiguration() {
  m_platform->Put("config", "main",
                  OperatorConfiguration(m_databases, kConnectionLimit));
}

void SoakRun::PublishInstances() {
  const TimePoint now = m_timers.now();
  for (Group& group : m_groups) {
    for (size_t index = 0; index < GroupModel::kInstances; ++index) {
      const std::string id = group.model->IdOf(index);
      const bool reports = group.model->is_running(index) &&
                           !group.model->is_silent(index) &&
                           !m_platform->faults.down;
      if (!reports) {
        if (now - group.reported_at[index] > kEntryTime)
          m_platform->Remove("servers", id);
        continue;
      }
      group.reported_at[index] = now;
      m_platform->Put(
          "servers", id,
          {{"Service", group.model->name().value()},
           {"Addr", "instance-address:" +
                        std::to_string(group.standin->endpoint(index, 0).port)},
           {"Zone", "zone-a"},
           {"Version", "1"},
           {"Capacity", 100},
           {"State", "ready"},
           {"WarmupLeftMs", 0},
           {"SeqNo", 1},
           {"DbRole", group.model->is_primary(index) ? "primary" : "replica"},
           {"born", group.model->born(index)}});
    }
  }
}

Result<void> SoakRun::StartGateways() {
  std::vector<Endpoint> platform;
  for (size_t index = 0; index < m_options.gateways; ++index)
    platform.push_back(m_platform->endpoint(index));
  m_gateways = std::make_unique<GatewayFleet>(
      m_context, m_timers, m_checker, m_tally,
      GatewayFleetOptions{m_options.gateways, m_options.seed, m_options.binary,
                          m_options.folder, std::move(platform), m_databases},
      GatewayFleetHooks{[this](size_t gateway, const Database& database,
                               bool writes, TimePoint began) {
                          if (began >= m_phase_began)
                            m_served.emplace(gateway, database.name, writes);
                        },
                        [this](const std::string& text) { Log(text); }});
  return m_gateways->Start();
}

void SoakRun::Log(const std::string& text) {
  if (!m_options.on_event)
    return;
  const auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(
      m_timers.now() - m_started_at);
  m_options.on_event("at " + std::to_string(passed.count()) + " ms: " + text);
}

void SoakRun::Tick() {
  const TimePoint now = m_timers.now();
  for (Group& group : m_groups) {
    group.model->Replicate(now);
    group.standin->Continue();
  }
  if (now - m_reported_at >= kReportInterval) {
    m_reported_at = now;
    PublishInstances();
    if (const auto checked = m_gateways->CheckProcesses(); !checked)
      m_error = checked.error();
    CheckPhase();
  }
  if (m_checker.violation())
    EnterPhase(Phase::kOver);
  if (m_phase == Phase::kOver || m_error)
    return m_context.stop();
  m_timers.After(kTick, [this] { Tick(); });
}

std::string SoakRun::Unserved() const {
  std::string missing;
  for (size_t gateway = 0; gateway < m_options.gateways; ++gateway) {
    for (const Database& database : m_databases) {
      for (const bool writes : {false, true}) {
        if (!m_served.contains({gateway, database.name, writes}))
          missing.append(" gateway-" + std::to_string(gateway) + "/" +
                         database.name + (writes ? "/write" : "/read"));
      }
    }
  }
  return missing;
}

void SoakRun::EnterPhase(Phase phase) {
  m_phase = phase;
  m_phase_began = m_timers.now();
  m_served.clear();
}

void SoakRun::CheckPhase() {
  const Duration passed = m_timers.now() - m_phase_began;
  switch (m_phase) {
    case Phase::kStarting:
    case Phase::kRecovering: {
      const std::string unserved = Unserved();
      if (!unserved.empty()) {
        if (passed > kServeTimeout)
          m_checker.Report(Rule::kNotServed, "nothing done:" + unserved);
        return;
      }
      const bool starting = m_phase == Phase::kStarting;
      Log(starting ? "all gateways serve; faults begin"
                   : "all gateways serve again");
      EnterPhase(starting ? Phase::kFaults : Phase::kEnding);
      if (!starting)
        return m_gateways->Terminate();
      for (const Fault& fault :
           MakeSchedule({m_options.seed, m_options.time, m_options.gateways,
                         m_groups.size()}))
        m_timers.After(fault.begin, [this, fault] { Begin(fault); });
      return;
    }
    case Phase::kFaults:
      if (passed > m_options.time) {
        Log("no more faults");
        EnterPhase(Phase::kRecovering);
      }
      return;
    case Phase::kEnding:
      if (m_gateways->HasEnded())
        EnterPhase(Phase::kOver);
      return;
    case Phase::kOver:
      return;
  }
}

void SoakRun::Begin(const Fault& fault) {
  ++m_faults[std::string(ToString(fault.kind))];
  Log(ToString(fault));
  if (TargetsGateway(fault.kind))
    m_gateways->Begin(fault);
  else if (TargetsGroup(fault.kind))
    BeginGroupFault(fault);
  else
    BeginStoreFault(fault);
}

void SoakRun::BeginGroupFault(const Fault& fault) {
  GroupModel& model = *m_groups[fault.target].model;
  const size_t primary = model.newest_primary();
  const size_t replica = (primary + 1) % GroupModel::kInstances;
  switch (fault.kind) {
    case FaultKind::kPrimaryCrash:
      return TakeInstance(fault, primary);
    case FaultKind::kReplicaRestart:
      return TakeInstance(fault, replica);
    case FaultKind::kPrimarySilent:
    case FaultKind::kReplicaSilent: {
      const size_t instance =
          fault.kind == FaultKind::kPrimarySilent ? primary : replica;
      model.SetSilent(instance, true);
      m_timers.After(fault.length,
                     [&model, instance] { model.SetSilent(instance, false); });
      return;
    }
    case FaultKind::kPrimaryCut:
      return CutPrimary(fault, primary);
    case FaultKind::kReplicaLags:
      model.SetApplyDelay(1'500ms);
      m_timers.After(fault.length,
                     [&model] { model.SetApplyDelay(Duration(0)); });
      return;
    default:
      return ResetOrSilence(fault);
  }
}

void SoakRun::TakeInstance(const Fault& fault, size_t instance) {
  Group& group = m_groups[fault.target];
  group.model->Crash(instance);
  group.standin->ResetConnections(instance);
  m_timers.After(fault.length, [this, &group, instance] {
    group.model->Restart(instance, ++m_born);
  });
}

void SoakRun::CutPrimary(const Fault& fault, size_t instance) {
  GroupStandin& standin = *m_groups[fault.target].standin;
  // One gateway still reaches the primary, and half of the time not the store,
  // so that it does not hear of the successor.
  const auto chosen = static_cast<size_t>(fault.begin.count());
  const size_t reaching = chosen % m_options.gateways;
  const bool store_cut = chosen / m_options.gateways % 2 == 0;
  for (size_t gateway = 0; gateway < m_options.gateways; ++gateway) {
    if (gateway != reaching)
      standin.Cut(instance, gateway);
  }
  if (store_cut)
    m_platform->faults.cut.insert(reaching);
  m_timers.After(fault.length, [this, &standin, instance, reaching, store_cut] {
    for (size_t gateway = 0; gateway < m_options.gateways; ++gateway)
      standin.Heal(instance, gateway);
    if (store_cut)
      m_platform->faults.cut.erase(reaching);
  });
}

void SoakRun::ResetOrSilence(const Fault& fault) {
  GroupStandin& standin = *m_groups[fault.target].standin;
  const bool resets = fault.kind == FaultKind::kConnectionsReset;
  for (size_t instance = 0; instance < GroupModel::kInstances; ++instance) {
    if (resets)
      standin.ResetConnections(instance);
    else
      standin.SilenceConnections(instance);
  }
  if (resets)
    m_platform->ResetConnections();
  else
    m_platform->SilenceConnections();
}

void SoakRun::BeginStoreFault(const Fault& fault) {
  PlatformStandin::Faults& faults = m_platform->faults;
  if (fault.kind == FaultKind::kStoreDown ||
      fault.kind == FaultKind::kStoreRestored) {
    faults.down = true;
    faults.silent = m_faults["store_down"] % 2 == 0;
  } else if (fault.kind == FaultKind::kStoreAnswersLost) {
    faults.lost_one_of = kLostOneOf;
  } else {
    faults.promotions_late = true;
  }
  m_timers.After(fault.length, [this, fault] { EndStoreFault(fault); });
}

void SoakRun::EndStoreFault(const Fault& fault) {
  constexpr Duration kMinCopyAge = 500ms;
  constexpr Duration kCopyAges = 4'000ms;
  switch (fault.kind) {
    case FaultKind::kStoreAnswersLost:
      m_platform->faults.lost_one_of = 0;
      return;
    case FaultKind::kPromotionsLate:
      m_platform->faults.promotions_late = false;
      return;
    case FaultKind::kStoreRestored:
      m_platform->faults.down = false;
      m_platform->Restore(kMinCopyAge + fault.begin % kCopyAges);
      // The instances report again by themselves.
      return PutConfiguration();
    default:
      m_platform->faults.down = false;
      m_platform->DropHistory();
  }
}

SoakReport SoakRun::Report() const {
  SoakReport report;
  report.violation = m_checker.violation();
  report.tally = m_tally;
  report.faults = m_faults;
  report.commits = m_checker.commits();
  report.rolled_back = m_checker.rolled_back();
  for (const Group& group : m_groups) {
    report.promotions += group.model->promotions();
    report.statements_at_instances += group.standin->statements();
  }
  report.promotion_calls = m_platform->promotion_calls();
  report.store_calls = m_platform->calls();
  report.killed_after_grace = m_gateways->killed_after_grace();
  return report;
}

}  // namespace

Result<SoakReport> RunSoak(const SoakOptions& options) {
  SoakRun run(options);
  return run.Run();
}

}  // namespace jackdawturn::soak
