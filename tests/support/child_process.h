#pragma once

#include <sys/types.h>

#include <memory>
#include <string>
#include <vector>

#include "http/http.h"

namespace jackdawturn {

// Returns a free TCP port of loopback below the range from which the system
// gives ports to clients, so that no connection of another test can take it
// before its use. Each process starts at another port. Thread safety: not
// thread-safe.
Endpoint FreeEndpoint();

// A process of the program under test, which prints "listening=IP:PORT". It is
// killed when the object is destroyed. Thread safety: not thread-safe.
class ChildProcess {
 public:
  // Starts `binary` and waits for its address. Errors: kInternal, kTimeout.
  static Result<std::unique_ptr<ChildProcess>> Create(
      const std::string& binary,
      const std::vector<std::string>& arguments);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  const Endpoint& endpoint() const { return m_endpoint; }
  pid_t pid() const { return m_pid; }
  // Sends a signal, for example SIGSTOP.
  void Signal(int signal) const;
  // Waits for the end and returns the exit code, or -1 after a signal.
  int Wait();

 private:
  ChildProcess() = default;

  pid_t m_pid = -1;
  int m_output = -1;
  Endpoint m_endpoint;
};

}  // namespace jackdawturn
