#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace review {

// Blocking TCP on loopback, for the stand-ins of the cases. One thread serves
// one connection.

// Milliseconds since the start of the program. Thread-safe.
int64_t NowMs();
void SleepMs(int64_t milliseconds);

// A connected socket. Thread safety: one thread reads, others may Shutdown().
class Stream {
 public:
  explicit Stream(int descriptor) : m_descriptor(descriptor) {}
  ~Stream();
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  // Connects to a port on 127.0.0.1. Returns null if nobody listens.
  static std::unique_ptr<Stream> Connect(int port);
  // Returns the text before `end`, which is dropped; nothing when the other end
  // has closed or reset the connection, or nothing has come for `timeout_ms`.
  std::optional<std::string> ReadUntil(const std::string& end, int timeout_ms);
  std::optional<std::string> ReadBytes(size_t count, int timeout_ms);
  // Returns false when the other end has closed or reset the connection.
  bool Write(const std::string& text);
  void Shutdown();

 private:
  bool Fill(int timeout_ms);

  const int m_descriptor;
  std::string m_input;
};

// Accepts connections on a free port of 127.0.0.1 until the program ends.
class Server {
 public:
  using Serve = std::function<void(Stream& stream)>;
  explicit Server(Serve serve);
  int port() const { return m_port; }

 private:
  int m_port = 0;
};

// Returns a number of consecutive free ports, the first of them.
int FreePorts(int count);

// The file of what was sent, answered and run. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path);
  void Note(const std::string& text);

 private:
  std::mutex m_mutex;
  const std::string m_path;
};

}  // namespace review
