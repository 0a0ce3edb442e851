#include "soak/gateway_process.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <set>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

namespace jackdawturn::soak {

namespace {

using Tcp = boost::asio::ip::tcp;

constexpr const char* kStep = "soak.gateway";
constexpr const char* kAddress = "127.0.0.1";

bool IsFree(uint16_t port) {
  boost::asio::io_context context;
  Tcp::acceptor acceptor(context);
  boost::system::error_code error;
  acceptor.open(Tcp::v4(), error);
  acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
  acceptor.bind({boost::asio::ip::make_address(kAddress), port}, error);
  return !error;
}

}  // namespace

Result<GatewayPlace> FindGatewayPlace(const std::string& name) {
  // Below the ports that the kernel gives to connections, which could take one
  // while its gateway restarts.
  constexpr int kFirstPort = 10'000;
  constexpr int kPorts = 20'000;
  constexpr int kPortsEach = 4;
  constexpr int kPortsPerProcess = 64;
  static int offset = getpid() * kPortsPerProcess;
  for (int tries = 0; tries < kPorts / kPortsEach; ++tries) {
    const auto first =
        static_cast<uint16_t>(kFirstPort + offset % (kPorts - kPortsEach));
    offset += kPortsEach;
    std::array<uint16_t, kPortsEach> ports{};
    for (int index = 0; index < kPortsEach; ++index)
      ports[index] = static_cast<uint16_t>(first + index);
    if (std::all_of(ports.begin(), ports.end(), IsFree))
      return GatewayPlace{
          name, {kAddress, ports[0]}, {kAddress, ports[1]}, ports[2]};
  }
  return Failure(ErrorCode::kUnavailable, kStep, name, "no free ports");
}

std::string GatewaySettings(const GatewayPlace& place,
                            const Endpoint& platform,
                            std::chrono::seconds grace) {
  using boost::json::array;
  using boost::json::object;
  const object settings{
      {"NodeName", place.name},
      {"Ip", kAddress},
      {"Zone", "zone-a"},
      {"Region", "region"},
      {"ListenAddrs", object{{"Frontend", place.clients.ToString()},
                             {"Ready", place.readiness.ToString()}}},
      {"InternalPorts", array{place.internal_port, place.internal_port + 1}},
      {"Limits", object{{"CpuQuota", 1.0}}},
      {"Bounds", object{{"GraceS", grace.count()},
                        {"ConfigMs", 3'000},
                        {"DrainMs", 7'000},
                        {"FencingEnabled", true}}},
      {"platform", object{{"Addr", platform.ToString()}}},
      {"CloudApi", object{{"Addr", platform.ToString()}}}};
  return boost::json::serialize(settings);
}

boost::json::object OperatorConfiguration(
    const std::vector<Database>& databases,
    size_t connection_limit) {
  using boost::json::object;
  boost::json::array routes;
  std::set<std::string> groups;
  for (const Database& database : databases) {
    const auto staleness =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            database.max_staleness);
    groups.insert(database.group.value());
    routes.push_back(object{
        {"Name", database.name},
        {"Host", database.name},
        {"Service", database.group.value()},
        {"Kind", staleness.count() == 0 ? "primary" : "bounded_staleness"},
        {"MaxStalenessMs", staleness.count()},
        {"TimeoutMs", 1'000},
        {"TargetLatencyMs", 200},
        {"Priority", 0}});
  }
  boost::json::array services;
  for (const std::string& name : groups)
    services.push_back(object{
        {"Name", name}, {"MaxConns", connection_limit}, {"SyncReplicas", 1}});
  return {{"Version", 1},
          {"Routes", std::move(routes)},
          {"Services", std::move(services)},
          {"Limits", object{{"TxIdleMs", 5'000}}}};
}

GatewayProcess::~GatewayProcess() {
  Signal(SIGKILL);
  while (m_pid > 0 && waitpid(m_pid, nullptr, 0) < 0 && errno == EINTR) {
  }
}

Result<void> GatewayProcess::Start() {
  VERIFY(m_pid < 0);
  const pid_t parent = getpid();
  const int log =
      open(m_log.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0644);
  if (log < 0)
    return Failure(ErrorCode::kInternal, kStep, m_log, "cannot be written");
  const char* const arguments[] = {m_binary.c_str(), "gateway", "--settings",
                                   m_settings.c_str(), nullptr};
  m_pid = fork();
  if (m_pid == 0) {
    // Only calls that are safe after fork follow. The kernel ends the gateway
    // with the soak, whose connections it must not keep open.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent)
      _exit(1);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execv(m_binary.c_str(), const_cast<char* const*>(arguments));
    _exit(127);
  }
  close(log);
  if (m_pid < 0)
    return Failure(ErrorCode::kInternal, kStep, m_binary, "cannot start");
  return Success();
}

void GatewayProcess::Signal(int signal) const {
  if (m_pid > 0)
    kill(m_pid, signal);
}

bool GatewayProcess::is_running() {
  if (m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid)
    m_pid = -1;
  return m_pid > 0;
}

}  // namespace jackdawturn::soak
