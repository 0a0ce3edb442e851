#pragma once

#include <sys/types.h>

#include <string>

#include "store.h"

namespace review {

// A gateway process of the deploy file. Not thread-safe.
class Gateway {
 public:
  // Starts `target/jackdawturn gateway` in the working directory, with a
  // settings file in `folder`.
  Gateway(const std::string& folder, const std::string& name, int store_port);
  // Ends the process.
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  int client_port() const { return m_first_port; }
  // Returns whether the process has reported ready within the time.
  bool AwaitReady(int64_t timeout_ms) const;
  void Signal(int signal) const;
  // Returns whether the process has ended.
  bool ended();

  // The time from SIGTERM until the process would be killed.
  static constexpr int64_t kGraceMs = 6'000;

 private:
  const int m_first_port;
  pid_t m_pid = -1;
  bool m_ended = false;
};

}  // namespace review
