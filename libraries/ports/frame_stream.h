#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

#include "core/core.h"

namespace jackdawturn {

// Frames (relay_codec.h) over a TCP connection. Frames wait in a queue until
// the write before them has ended, so it is known of each frame whether any
// byte of it was given to the network. The hooks are dropped by Close, which
// calls none of them. Thread safety: as the io_context of the socket.
class FrameStream : public std::enable_shared_from_this<FrameStream> {
 public:
  struct Hooks {
    // Return false to close the stream; on_closed runs then.
    std::function<bool(uint8_t type, std::string_view body)> on_frame;
    // The bytes of the frame `id` are being given to the network.
    std::function<void(uint64_t id)> on_writing;
    // The connection was lost or broke the protocol. Runs at most once.
    std::function<void(const std::string& reason)> on_closed;
  };

  FrameStream(boost::asio::ip::tcp::socket socket, size_t frame_bytes);

  // Precondition: the socket is open.
  void Start(Hooks hooks);
  // Queues a frame; an id of 0 is not reported.
  void Write(std::string frame, uint64_t id = 0);
  // Returns true when the frame was still queued and is not written now.
  bool Withdraw(uint64_t id);
  void Close();

  // Largest frame that is accepted from now on, in bytes.
  void SetFrameLimit(size_t bytes) { m_frame_bytes = bytes; }
  boost::asio::ip::tcp::socket& socket() { return m_socket; }
  size_t queued_bytes() const { return m_queued_bytes; }
  bool idle() const { return m_queue.empty() && !m_writing; }
  // Number of bytes received.
  uint64_t received() const { return m_received; }

 private:
  struct Queued {
    uint64_t id = 0;
    std::string frame;
  };

  void Read();
  bool TakeFrames();
  void WriteNext();
  void Fail(const std::string& reason);

  boost::asio::ip::tcp::socket m_socket;
  size_t m_frame_bytes;
  Hooks m_hooks;
  std::string m_read_buffer;
  // Received bytes of incomplete frames.
  std::string m_input;
  std::deque<Queued> m_queue;
  std::string m_batch;
  size_t m_queued_bytes = 0;
  uint64_t m_received = 0;
  bool m_writing = false;
  bool m_closed = false;
};

}  // namespace jackdawturn
