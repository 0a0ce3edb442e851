#include "support/command_run.h"

#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>

namespace jackdawturn {

namespace {

constexpr const char* kStep = "command.run";

struct Pipe {
  int read_end = -1;
  int write_end = -1;

  bool Open() {
    int ends[2];
    if (pipe2(ends, O_CLOEXEC) != 0)
      return false;
    read_end = ends[0];
    write_end = ends[1];
    return true;
  }
  void CloseWriteEnd() {
    close(write_end);
    write_end = -1;
  }
  ~Pipe() {
    for (const int end : {read_end, write_end})
      if (end >= 0)
        close(end);
  }
};

// Reads both pipes until the program has closed them. Returns false if that
// has not happened at `deadline`.
bool ReadAll(const Pipe& out,
             const Pipe& err,
             TimePoint deadline,
             CommandOutput& output) {
  std::array<pollfd, 2> ready{pollfd{out.read_end, POLLIN, 0},
                              pollfd{err.read_end, POLLIN, 0}};
  const std::array<std::string*, 2> texts{&output.out, &output.err};
  size_t open = ready.size();
  while (open > 0) {
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(
        deadline - MonotonicClock::now());
    if (left.count() <= 0)
      return false;
    if (poll(ready.data(), ready.size(), static_cast<int>(left.count())) < 0 &&
        errno != EINTR)
      return false;
    for (size_t index = 0; index < ready.size(); ++index) {
      if (ready[index].fd < 0 || ready[index].revents == 0)
        continue;
      std::array<char, 4096> buffer{};
      const ssize_t count = read(ready[index].fd, buffer.data(), buffer.size());
      if (count > 0) {
        texts[index]->append(buffer.data(), static_cast<size_t>(count));
      } else {
        ready[index].fd = -1;
        --open;
      }
    }
  }
  return true;
}

}  // namespace

Result<CommandOutput> RunToEnd(const std::string& binary,
                               const std::vector<std::string>& arguments,
                               std::chrono::milliseconds timeout) {
  const TimePoint deadline = MonotonicClock::now() + timeout;
  Pipe out;
  Pipe err;
  if (!out.Open() || !err.Open())
    return Failure(ErrorCode::kInternal, kStep, binary, "no pipe");
  std::vector<char*> argv{const_cast<char*>(binary.c_str())};
  for (const std::string& argument : arguments)
    argv.push_back(const_cast<char*>(argument.c_str()));
  argv.push_back(nullptr);

  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, out.write_end, STDOUT_FILENO);
  posix_spawn_file_actions_adddup2(&actions, err.write_end, STDERR_FILENO);
  pid_t pid = -1;
  const int error = posix_spawn(&pid, binary.c_str(), &actions, nullptr,
                                argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0)
    return Failure(ErrorCode::kInternal, kStep, binary, "cannot start");
  out.CloseWriteEnd();
  err.CloseWriteEnd();

  CommandOutput output;
  const bool ended = ReadAll(out, err, deadline, output);
  if (!ended)
    kill(pid, SIGKILL);
  int status = 0;
  while (waitpid(pid, &status, 0) < 0 && errno == EINTR) {
  }
  if (!ended)
    return Failure(ErrorCode::kTimeout, kStep, binary,
                   "did not end: " + output.out + output.err);
  if (WIFEXITED(status))
    output.exit_code = WEXITSTATUS(status);
  return output;
}

}  // namespace jackdawturn
