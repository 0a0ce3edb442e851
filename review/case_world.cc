#include "case_world.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <fstream>

namespace review {

namespace {

sockaddr_in AddressOf(const std::string& ip, uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

int Bound(const std::string& ip, uint16_t port, uint16_t& bound_port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = AddressOf(ip, port);
  if (bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address)) {
    close(descriptor);
    return -1;
  }
  socklen_t size = sizeof address;
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
  bound_port = ntohs(address.sin_port);
  return descriptor;
}

uint16_t FreePort(const std::string& ip) {
  uint16_t port = 0;
  const int descriptor = Bound(ip, 0, port);
  if (descriptor >= 0)
    close(descriptor);
  return port;
}

}  // namespace

Record* g_record = nullptr;

void Sleep(Ms time) {
  std::this_thread::sleep_for(time);
}

Socket::~Socket() {
  close(m_descriptor);
}

std::shared_ptr<Socket> Socket::Connect(const std::string& ip, uint16_t port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = AddressOf(ip, port);
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
              sizeof address)) {
    close(descriptor);
    return nullptr;
  }
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return std::make_shared<Socket>(descriptor);
}

bool Socket::Fill(Clock::time_point deadline) {
  const auto left = std::chrono::ceil<Ms>(deadline - Clock::now()).count();
  pollfd wait{m_descriptor, POLLIN, 0};
  if (left <= 0 || poll(&wait, 1, static_cast<int>(left)) <= 0)
    return false;
  char bytes[65'536];
  const ssize_t count = recv(m_descriptor, bytes, sizeof bytes, 0);
  if (count <= 0)
    return false;
  m_input.append(bytes, static_cast<size_t>(count));
  return true;
}

bool Socket::ReadLine(std::string& line, Ms timeout) {
  const auto deadline = Clock::now() + timeout;
  size_t searched = 0;
  for (;;) {
    const size_t end = m_input.find("\r\n", searched);
    if (end != std::string::npos) {
      line = m_input.substr(0, end);
      m_input.erase(0, end + 2);
      return true;
    }
    searched = m_input.empty() ? 0 : m_input.size() - 1;
    if (!Fill(deadline))
      return false;
  }
}

bool Socket::ReadBytes(std::string& bytes, size_t count, Ms timeout) {
  const auto deadline = Clock::now() + timeout;
  while (m_input.size() < count) {
    if (!Fill(deadline))
      return false;
  }
  bytes = m_input.substr(0, count);
  m_input.erase(0, count);
  return true;
}

bool Socket::Write(const std::string& text) {
  size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t count = send(m_descriptor, text.data() + sent,
                               text.size() - sent, MSG_NOSIGNAL);
    if (count <= 0)
      return false;
    sent += static_cast<size_t>(count);
  }
  return true;
}

void Socket::Shut() {
  shutdown(m_descriptor, SHUT_RDWR);
}

void Socket::Reset() {
  const linger off{1, 0};
  setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &off, sizeof off);
  shutdown(m_descriptor, SHUT_RD);
}

Listener::Listener(const std::string& ip, uint16_t port, Serve serve) {
  const int descriptor = Bound(ip, port, m_port);
  m_descriptor = descriptor;
  if (descriptor < 0 || listen(descriptor, 512)) {
    std::perror("listen");
    std::exit(2);
  }
  std::thread([descriptor, serve = std::move(serve)] {
    for (;;) {
      const int accepted = accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0 && errno == EINVAL)
        return;
      if (accepted < 0)
        continue;
      const int on = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      auto connection = std::make_shared<Socket>(accepted);
      std::thread([serve, connection] { serve(connection); }).detach();
    }
  }).detach();
}

void Listener::Close() {
  shutdown(m_descriptor, SHUT_RDWR);
}

uint16_t FreePorts(const std::string& ip) {
  for (;;) {
    uint16_t first = 0;
    uint16_t second = 0;
    const int one = Bound(ip, 0, first);
    const int two = first < 65'535 ? Bound(ip, first + 1, second) : -1;
    if (one >= 0)
      close(one);
    if (two >= 0)
      close(two);
    if (one >= 0 && two >= 0)
      return first;
  }
}

Record::Record(const std::string& path) : m_file(fopen(path.c_str(), "w")) {
  if (!m_file)
    std::exit(2);
}

double Record::Seconds() const {
  return std::chrono::duration<double>(Clock::now() - m_start).count();
}

void Record::Add(const std::string& line) {
  const std::lock_guard lock(m_mutex);
  fprintf(m_file, "%9.4f %s\n", Seconds(), line.c_str());
  fflush(m_file);
}

void Note(const std::string& line) {
  g_record->Add(line);
}

Gateway::Gateway(std::string name, std::string zone, std::string folder)
    : m_name(std::move(name)),
      m_zone(std::move(zone)),
      m_folder(std::move(folder)) {
  m_ports.clients = FreePort(m_ports.ip);
  m_ports.ready = FreePort(m_ports.ip);
  m_ports.internal = FreePorts(m_ports.ip);
}

Gateway::~Gateway() {
  if (m_process <= 0)
    return;
  kill(m_process, SIGKILL);
  waitpid(m_process, nullptr, 0);
}

void Gateway::Start(uint16_t store_port) {
  const auto address = [&](uint16_t port) {
    return "\"" + m_ports.ip + ":" + std::to_string(port) + "\"";
  };
  const std::string path = m_folder + "/" + m_name + ".json";
  std::ofstream(path)
      << "{\"NodeName\":\"" << m_name
      << "\",\"Role\":\"gateway\",\"MachineClass\":\"frontend\",\"Serves\":["
         "\"frontend\"],\"Ip\":\""
      << m_ports.ip << "\",\"Zone\":\"" << m_zone
      << "\",\"Region\":\"r\",\"Zones\":{\"z-a\":\"r\",\"z-b\":\"r\",\"z-c\":"
         "\"r\"},\"ListenAddrs\":{\"Frontend\":"
      << address(m_ports.clients) << ",\"Ready\":" << address(m_ports.ready)
      << "},\"InternalPorts\":[" << m_ports.internal << ","
      << m_ports.internal + 1
      << "],\"SeedNodes\":[],\"Bootstrap\":true,\"FaultCounted\":false,"
         "\"Limits\":{\"CpuQuota\":0.25,\"Cores\":1,\"MemoryMb\":260,"
         "\"MaxFds\":4300,\"BandwidthMbps\":1000.0,\"DiskMb\":0},\"DataDir\":"
         "null,\"Discovery\":\"platform\",\"Entry\":\"vip\",\"HeartbeatMs\":"
         "1200,\"Invariants\":[\"base\",\"drain\",\"config\",\"cost\","
         "\"recover\",\"sql\",\"platform\"],\"FaultTolerance\":{\"Machines\":1,"
         "\"Zones\":1,\"Regions\":0},\"Bounds\":{\"SeedLagS\":3,\"AddrReuseS\":"
         "2,\"ContactMs\":4000,\"AckMs\":5000,\"CatchUpS\":4,\"DrainMs\":7000,"
         "\"GraceS\":6,\"LossSlackMs\":200,\"ConfigMs\":3000,\"DowngradeMs\":"
         "250,\"MaxSkewMs\":12000,\"RecoveryS\":12,\"FencingEnabled\":true,"
         "\"ThawMs\":300},\"platform\":{\"Addr\":"
      << address(store_port)
      << ",\"form\":\"objects\",\"WritesPerS\":400,\"ReadsPerS\":2000,"
         "\"HistoryS\":20,\"ValueBytes\":1048576,\"TtlMinMs\":1000},"
         "\"CloudApi\":{\"Addr\":"
      << address(store_port)
      << ",\"RatePerS\":50.0,\"Duties\":[\"promotion\"],\"DutyPerS\":50.0}}\n";
  const std::string log = m_folder + "/" + m_name + ".log";
  m_process = fork();
  if (m_process == 0) {
    // The process must not outlive the one that runs the case.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out =
        open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(out, 1);
    dup2(out, 2);
    const std::string boot = "JACKDAWTURN_BOOT=" + path;
    const char* arguments[] = {"target/jackdawturn", "gateway", nullptr};
    const char* environment[] = {boot.c_str(), "PATH=/usr/bin:/bin", nullptr};
    execve(arguments[0], const_cast<char**>(arguments),
           const_cast<char**>(environment));
    _exit(127);
  }
  Note("started " + m_name + ", process " + std::to_string(m_process));
}

void Gateway::Signal(int signal) {
  if (m_process > 0)
    kill(m_process, signal);
}

std::optional<std::string> Gateway::Ended() {
  int status = 0;
  if (m_process <= 0 || waitpid(m_process, &status, WNOHANG) != m_process)
    return std::nullopt;
  m_process = -1;
  return WIFSIGNALED(status)
             ? "ended by signal " + std::to_string(WTERMSIG(status))
             : "exited with " + std::to_string(WEXITSTATUS(status));
}

bool Gateway::Ready() const {
  const auto socket = Socket::Connect(m_ports.ip, m_ports.ready);
  std::string line;
  return socket &&
         socket->Write("GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n") &&
         socket->ReadLine(line, Ms(500)) && line.find(" 200") != line.npos;
}

}  // namespace review
