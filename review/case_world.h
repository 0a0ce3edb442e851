#pragma once

// Stand-ins and helpers for the cases of the review: a store, groups of
// instances, clients and gateway processes, all on loopback and the real clock.
// Each connection has a thread; all shared state is guarded by World::mutex.

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

void Sleep(Ms time);

// A blocking TCP connection that reads lines.
class Socket {
 public:
  explicit Socket(int descriptor) : m_descriptor(descriptor) {}
  ~Socket();
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  // Returns null if nobody accepts the connection.
  static std::shared_ptr<Socket> Connect(const std::string& ip, uint16_t port);

  // Reads up to the next CR LF; false at the end of the connection or after
  // `timeout`. A LF without a CR before it is part of the line.
  bool ReadLine(std::string& line, Ms timeout);
  bool ReadBytes(std::string& bytes, size_t count, Ms timeout);
  bool Write(const std::string& text);
  // Ends the connection for both sides; other threads that wait return.
  void Shut();
  // As Shut, with a reset.
  void Reset();

 private:
  bool Fill(Clock::time_point deadline);

  int m_descriptor;
  std::string m_input;
};

// Listens on a free port and runs `serve` in a thread for each connection.
class Listener {
 public:
  using Serve = std::function<void(std::shared_ptr<Socket>)>;
  // Port 0: any free port.
  Listener(const std::string& ip, uint16_t port, Serve serve);
  uint16_t port() const { return m_port; }
  // Refuses connections from now on.
  void Close();

 private:
  uint16_t m_port = 0;
  int m_descriptor = -1;
};

// Returns a port so that it and the next one are free.
uint16_t FreePorts(const std::string& ip);

// Writes record.txt: one line for each thing sent, answered, run or done.
class Record {
 public:
  explicit Record(const std::string& path);
  void Add(const std::string& line);
  double Seconds() const;

 private:
  std::mutex m_mutex;
  FILE* m_file;
  Clock::time_point m_start = Clock::now();
};

extern Record* g_record;
void Note(const std::string& line);

// One gateway, started with the command of the deploy file.
class Gateway {
 public:
  struct Ports {
    std::string ip = "127.0.0.1";
    uint16_t clients = 0;
    uint16_t ready = 0;
    uint16_t internal = 0;
  };

  Gateway(std::string name, std::string zone, std::string folder);
  ~Gateway();
  // Writes the settings and starts the process.
  void Start(uint16_t store_port);
  void Signal(int signal);
  // Returns how the process ended if it has: a text for the record.
  std::optional<std::string> Ended();
  bool Ready() const;
  const std::string& name() const { return m_name; }
  const Ports& ports() const { return m_ports; }

 private:
  const std::string m_name;
  const std::string m_zone;
  const std::string m_folder;
  Ports m_ports;
  int m_process = -1;
};

}  // namespace review
