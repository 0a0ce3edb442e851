#include "network.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <thread>

namespace review {

namespace {

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Returns the descriptor of a socket that is bound to the port, or -1.
int Bind(int port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = Loopback(port);
  if (bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) == 0)
    return descriptor;
  close(descriptor);
  return -1;
}

}  // namespace

int64_t NowMs() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - start)
      .count();
}

void SleepMs(int64_t milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

Stream::~Stream() {
  close(m_descriptor);
}

std::unique_ptr<Stream> Stream::Connect(int port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  auto stream = std::make_unique<Stream>(descriptor);
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0)
    return nullptr;
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return stream;
}

bool Stream::Fill(int timeout_ms) {
  pollfd state{m_descriptor, POLLIN, 0};
  if (poll(&state, 1, timeout_ms) <= 0)
    return false;
  char chunk[65536];
  const ssize_t count = recv(m_descriptor, chunk, sizeof(chunk), 0);
  if (count <= 0)
    return false;
  m_input.append(chunk, static_cast<size_t>(count));
  return true;
}

std::optional<std::string> Stream::ReadUntil(const std::string& end,
                                             int timeout_ms) {
  size_t searched = 0;
  for (;;) {
    const size_t found = m_input.find(end, searched);
    if (found != std::string::npos) {
      std::string text = m_input.substr(0, found);
      m_input.erase(0, found + end.size());
      return text;
    }
    searched = m_input.size() < end.size() ? 0 : m_input.size() - end.size();
    if (!Fill(timeout_ms))
      return std::nullopt;
  }
}

std::optional<std::string> Stream::ReadBytes(size_t count, int timeout_ms) {
  while (m_input.size() < count) {
    if (!Fill(timeout_ms))
      return std::nullopt;
  }
  std::string text = m_input.substr(0, count);
  m_input.erase(0, count);
  return text;
}

bool Stream::Write(const std::string& text) {
  size_t written = 0;
  while (written < text.size()) {
    const ssize_t count = send(m_descriptor, text.data() + written,
                               text.size() - written, MSG_NOSIGNAL);
    if (count <= 0)
      return false;
    written += static_cast<size_t>(count);
  }
  return true;
}

void Stream::Shutdown() {
  shutdown(m_descriptor, SHUT_RDWR);
}

Server::Server(Serve serve) {
  const int listener = Bind(0);
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  if (listener < 0 || listen(listener, 128) != 0 ||
      getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size) !=
          0) {
    std::fprintf(stderr, "no free port\n");
    std::exit(2);
  }
  m_port = ntohs(address.sin_port);
  std::thread([listener, serve = std::move(serve)] {
    for (;;) {
      const int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (descriptor < 0)
        continue;
      const int on = 1;
      setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([descriptor, serve] {
        Stream stream(descriptor);
        serve(stream);
      }).detach();
    }
  }).detach();
}

int FreePorts(int count) {
  for (int first = 21'000 + getpid() % 20'000; first < 60'000; ++first) {
    int free = 0;
    while (free < count) {
      const int descriptor = Bind(first + free);
      if (descriptor < 0)
        break;
      close(descriptor);
      ++free;
    }
    if (free == count)
      return first;
  }
  std::fprintf(stderr, "no free ports\n");
  std::exit(2);
}

Record::Record(const std::string& path) : m_path(path) {
  std::ofstream(m_path, std::ios::trunc);
}

void Record::Note(const std::string& text) {
  const std::lock_guard lock(m_mutex);
  std::ofstream(m_path, std::ios::app) << NowMs() << " ms: " << text << "\n";
}

}  // namespace review
