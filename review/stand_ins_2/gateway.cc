#include "gateway.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>

namespace review {

namespace json = boost::json;

namespace {

constexpr int kPorts = 4;

std::string Address(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

json::object Settings(const std::string& name, int first_port, int store_port) {
  return {{"NodeName", name},
          {"Role", "gateway"},
          {"MachineClass", "frontend"},
          {"Serves", json::array{"frontend"}},
          {"Ip", "127.0.0.1"},
          {"Zone", "zone-a"},
          {"Region", "region"},
          {"Zones", json::object{{"zone-a", "region"}}},
          {"ListenAddrs", json::object{{"Frontend", Address(first_port)},
                                       {"Ready", Address(first_port + 1)}}},
          {"InternalPorts", json::array{first_port + 2, first_port + 3}},
          {"Bootstrap", true},
          {"Limits", json::object{{"CpuQuota", 0.25},
                                  {"Cores", 1},
                                  {"MemoryMb", 260},
                                  {"MaxFds", 4'300}}},
          {"HeartbeatMs", 1'200},
          {"Bounds", json::object{{"ContactMs", 4'000},
                                  {"DrainMs", 7'000},
                                  {"GraceS", Gateway::kGraceMs / 1'000},
                                  {"LossSlackMs", 200},
                                  {"ConfigMs", 3'000},
                                  {"FencingEnabled", true}}},
          {"platform", json::object{{"Addr", Address(store_port)},
                                    {"form", "objects"},
                                    {"WritesPerS", 400},
                                    {"ReadsPerS", 2'000}}},
          {"CloudApi", json::object{{"Addr", Address(store_port)},
                                    {"Duties", json::array{"promotion"}}}}};
}

}  // namespace

Gateway::Gateway(const std::string& folder,
                 const std::string& name,
                 int store_port)
    : m_first_port(FreePorts(kPorts)) {
  const std::string path = folder + "/" + name + ".json";
  std::ofstream(path) << json::serialize(
      Settings(name, m_first_port, store_port));
  const std::string log = folder + "/" + name + ".log";
  const std::string variable = "JACKDAWTURN_BOOT=" + path;
  const pid_t parent = getpid();
  m_pid = fork();
  if (m_pid != 0)
    return;
  // The gateway ends with this program, whatever ends it.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent)
    _exit(1);
  const int output =
      open(log.c_str(), O_CREAT | O_WRONLY | O_TRUNC, S_IRUSR | S_IWUSR);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  char program[] = "target/jackdawturn";
  char command[] = "gateway";
  char* arguments[] = {program, command, nullptr};
  std::string environment_text = variable;
  char* environment[] = {environment_text.data(), nullptr};
  execve(program, arguments, environment);
  _exit(1);
}

Gateway::~Gateway() {
  if (ended())
    return;
  Signal(SIGKILL);
  waitpid(m_pid, nullptr, 0);
}

bool Gateway::AwaitReady(int64_t timeout_ms) const {
  const int64_t end = NowMs() + timeout_ms;
  while (NowMs() < end) {
    const auto stream = Stream::Connect(m_first_port + 1);
    if (stream &&
        stream->Write("GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")) {
      const auto head = stream->ReadUntil("\r\n", 1'000);
      if (head && head->find(" 200 ") != std::string::npos)
        return true;
    }
    SleepMs(50);
  }
  return false;
}

void Gateway::Signal(int signal) const {
  kill(m_pid, signal);
}

bool Gateway::ended() {
  m_ended = m_ended || waitpid(m_pid, nullptr, WNOHANG) == m_pid;
  return m_ended;
}

}  // namespace review
