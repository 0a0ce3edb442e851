#include "soak/gateway_fleet.h"

#include <signal.h>

#include <algorithm>
#include <fstream>
#include <utility>

namespace jackdawturn::soak {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr size_t kCallersPerGateway = 4;
// How long a gateway may take to end after SIGTERM.
constexpr std::chrono::seconds kGrace{6};
// A request that waited for so long had been read.
constexpr Duration kReadTime = 300ms;
// The balancer sends no new connections to a gateway that has reported twice
// that it is not ready.
constexpr Duration kBalancerTime = 2s;
// Callers hear within this time that their connections have ended.
constexpr Duration kCloseTime = 100ms;

}  // namespace

GatewayFleet::GatewayFleet(boost::asio::io_context& context,
                           gateway::Timers& timers,
                           Checker& checker,
                           Tally& tally,
                           GatewayFleetOptions options,
                           GatewayFleetHooks hooks)
    : m_context(context),
      m_timers(timers),
      m_checker(checker),
      m_tally(tally),
      m_options(std::move(options)),
      m_hooks(std::move(hooks)),
      m_gateways(m_options.gateways) {}

Result<void> GatewayFleet::Start() {
  for (size_t index = 0; index < m_gateways.size(); ++index) {
    Gateway& gateway = m_gateways[index];
    const std::string name = "gateway-" + std::to_string(index);
    TRY(gateway.place, FindGatewayPlace(name));
    const std::string base = m_options.folder + "/" + name;
    std::ofstream file(base + ".json");
    file << GatewaySettings(gateway.place, m_options.platform[index], kGrace);
    file.close();
    if (!file)
      return Failure(ErrorCode::kInternal, "soak.settings", base,
                     "cannot be written");
    gateway.process = std::make_unique<GatewayProcess>(
        m_options.binary, base + ".json", base + ".log");
    TRY(gateway.process->Start());
    AddCallers(index);
  }
  return Success();
}

void GatewayFleet::AddCallers(size_t index) {
  for (size_t number = 0; number < kCallersPerGateway; ++number) {
    const std::string name =
        "c" + std::to_string(index) + "x" + std::to_string(number);
    CallerHooks hooks;
    hooks.can_connect = [this, index] {
      const auto& terminated_at = m_gateways[index].terminated_at;
      return !terminated_at || m_timers.now() - *terminated_at < kBalancerTime;
    };
    hooks.on_served = [this, index](const Database& database, bool writes,
                                    TimePoint began) {
      m_hooks.on_served(index, database, writes, began);
    };
    hooks.on_cut = [this, index](const std::string& request, TimePoint sent) {
      HandleCut(index, request, sent);
    };
    auto caller = Caller::Create(
        m_context, m_timers, m_checker, m_tally,
        {.name = name,
         .gateway = m_gateways[index].place.clients,
         .databases = m_options.databases,
         .seed = m_options.seed * 1'000 + index * kCallersPerGateway + number},
        std::move(hooks));
    caller->Start();
    m_gateways[index].callers.push_back(std::move(caller));
  }
}

void GatewayFleet::HandleCut(size_t index,
                             const std::string& request,
                             TimePoint sent) {
  const Gateway& gateway = m_gateways[index];
  if (gateway.terminated_at && !gateway.killed &&
      m_timers.now() - sent > kReadTime)
    m_checker.Report(Rule::kCutRequest, request + " at " + gateway.place.name);
}

Result<void> GatewayFleet::CheckProcesses() {
  for (Gateway& gateway : m_gateways) {
    TRY(CheckProcess(gateway));
  }
  return Success();
}

Result<void> GatewayFleet::CheckProcess(Gateway& gateway) {
  const TimePoint now = m_timers.now();
  if (gateway.process->is_running()) {
    if (!gateway.killed && gateway.terminated_at &&
        now - *gateway.terminated_at > kGrace) {
      m_hooks.log(gateway.place.name + " did not end in time");
      ++m_killed_after_grace;
      gateway.killed = true;
      gateway.process->Signal(SIGKILL);
    }
    return Success();
  }
  if (!gateway.killed && !gateway.terminated_at)
    m_checker.Report(Rule::kProcessEnded, gateway.place.name);
  if (!gateway.ended_at)
    gateway.ended_at = now;
  if (m_ending || now < gateway.restart_at ||
      now < *gateway.ended_at + kCloseTime)
    return Success();
  m_hooks.log(gateway.place.name + " starts again");
  gateway.terminated_at.reset();
  gateway.ended_at.reset();
  gateway.killed = false;
  return gateway.process->Start();
}

void GatewayFleet::Begin(const Fault& fault) {
  Gateway& gateway = m_gateways[fault.target];
  // It has not started again since the fault before.
  if (gateway.terminated_at || gateway.killed)
    return;
  gateway.restart_at = m_timers.now() + fault.length;
  if (fault.kind == FaultKind::kGatewayTerminated)
    return TerminateGateway(gateway);
  if (fault.kind == FaultKind::kGatewayKilled) {
    gateway.killed = true;
    return gateway.process->Signal(SIGKILL);
  }
  gateway.process->Signal(SIGSTOP);
  m_timers.After(fault.length,
                 [&gateway] { gateway.process->Signal(SIGCONT); });
}

void GatewayFleet::TerminateGateway(Gateway& gateway) {
  if (gateway.terminated_at || gateway.killed)
    return;
  gateway.terminated_at = m_timers.now();
  gateway.process->Signal(SIGTERM);
}

void GatewayFleet::Terminate() {
  m_ending = true;
  for (Gateway& gateway : m_gateways)
    TerminateGateway(gateway);
}

bool GatewayFleet::HasEnded() const {
  const TimePoint now = m_timers.now();
  return std::all_of(
      m_gateways.begin(), m_gateways.end(), [now](const Gateway& gateway) {
        return gateway.ended_at && now >= *gateway.ended_at + kCloseTime;
      });
}

}  // namespace jackdawturn::soak
