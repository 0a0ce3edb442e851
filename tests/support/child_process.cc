#include "support/child_process.h"

#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace jackdawturn {

namespace {

constexpr int kStartTimeoutMs = 60'000;
constexpr const char* kStep = "child.start";

// Reads until the first line that begins with "listening=".
std::string ReadAddress(int output) {
  std::string text;
  while (true) {
    pollfd ready{output, POLLIN, 0};
    if (poll(&ready, 1, kStartTimeoutMs) <= 0)
      return "";
    char byte = 0;
    if (read(output, &byte, 1) != 1)
      return "";
    if (byte != '\n') {
      text += byte;
      continue;
    }
    constexpr std::string_view kPrefix = "listening=";
    if (text.starts_with(kPrefix))
      return text.substr(kPrefix.size());
    text.clear();
  }
}

}  // namespace

Endpoint FreeEndpoint() {
  constexpr int kFirstPort = 10'000;
  constexpr int kPorts = 20'000;
  constexpr int kPortsPerProcess = 50;
  static int offset = getpid() * kPortsPerProcess;
  boost::asio::io_context context;
  while (true) {
    const auto port = static_cast<uint16_t>(kFirstPort + offset++ % kPorts);
    boost::asio::ip::tcp::acceptor acceptor(context);
    boost::system::error_code error;
    acceptor.open(boost::asio::ip::tcp::v4());
    acceptor.set_option(boost::asio::socket_base::reuse_address(true));
    acceptor.bind({boost::asio::ip::make_address("127.0.0.1"), port}, error);
    if (!error)
      return {"127.0.0.1", port};
  }
}

Result<std::unique_ptr<ChildProcess>> ChildProcess::Create(
    const std::string& binary,
    const std::vector<std::string>& arguments) {
  int pipe_ends[2];
  if (pipe2(pipe_ends, O_CLOEXEC) != 0)
    return Failure(ErrorCode::kInternal, kStep, binary, "no pipe");
  std::vector<char*> argv{const_cast<char*>(binary.c_str())};
  for (const std::string& argument : arguments)
    argv.push_back(const_cast<char*>(argument.c_str()));
  argv.push_back(nullptr);

  std::unique_ptr<ChildProcess> child(new ChildProcess());
  child->m_pid = fork();
  if (child->m_pid == 0) {
    // A test that fails does not run destructors, so the kernel ends the child
    // with its parent. Only calls that are safe after fork follow.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(pipe_ends[1], STDOUT_FILENO);
    execv(binary.c_str(), argv.data());
    _exit(127);
  }
  close(pipe_ends[1]);
  child->m_output = pipe_ends[0];
  if (child->m_pid < 0)
    return Failure(ErrorCode::kInternal, kStep, binary, "cannot start");
  TRY(child->m_endpoint, ParseEndpoint(ReadAddress(child->m_output)));
  return child;
}

ChildProcess::~ChildProcess() {
  if (m_pid > 0) {
    kill(m_pid, SIGKILL);
    Wait();
  }
  if (m_output >= 0)
    close(m_output);
}

void ChildProcess::Signal(int signal) const {
  VERIFY(m_pid > 0);
  kill(m_pid, signal);
}

int ChildProcess::Wait() {
  int status = 0;
  while (m_pid > 0 && waitpid(m_pid, &status, 0) < 0 && errno == EINTR) {
  }
  m_pid = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

}  // namespace jackdawturn
