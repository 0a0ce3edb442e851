#include "ports/frame_stream.h"

#include <algorithm>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include "ports/relay_codec.h"

namespace jackdawturn {

namespace {

constexpr size_t kReadBytes = 65'536;
// Frames are joined up to this size, so that a write carries many small ones.
constexpr size_t kBatchBytes = 65'536;
constexpr size_t kLengthBytes = 4;
constexpr unsigned kBitsPerByte = 8;

}  // namespace

FrameStream::FrameStream(boost::asio::ip::tcp::socket socket,
                         size_t frame_bytes)
    : m_socket(std::move(socket)), m_frame_bytes(frame_bytes) {}

void FrameStream::Start(Hooks hooks) {
  m_hooks = std::move(hooks);
  m_read_buffer.resize(kReadBytes);
  boost::system::error_code ignored;
  m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  // Ends connections whose other VM vanished without a word.
  m_socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  Read();
}

void FrameStream::Write(std::string frame, uint64_t id) {
  if (m_closed)
    return;
  m_queued_bytes += frame.size();
  m_queue.push_back({id, std::move(frame)});
  if (!m_writing)
    WriteNext();
}

bool FrameStream::Withdraw(uint64_t id) {
  const auto found =
      std::find_if(m_queue.begin(), m_queue.end(),
                   [id](const Queued& queued) { return queued.id == id; });
  if (found == m_queue.end())
    return false;
  m_queued_bytes -= found->frame.size();
  m_queue.erase(found);
  return true;
}

void FrameStream::Close() {
  m_closed = true;
  m_hooks = {};
  m_queue.clear();
  boost::system::error_code ignored;
  m_socket.close(ignored);
}

void FrameStream::Fail(const std::string& reason) {
  if (m_closed)
    return;
  const auto on_closed = std::move(m_hooks.on_closed);
  Close();
  if (on_closed)
    on_closed(reason);
}

void FrameStream::Read() {
  m_socket.async_read_some(boost::asio::buffer(m_read_buffer),
                           [this, self = shared_from_this()](
                               boost::system::error_code error, size_t size) {
                             if (m_closed)
                               return;
                             if (error)
                               return Fail(error.message());
                             m_received += size;
                             m_input.append(m_read_buffer, 0, size);
                             if (!TakeFrames())
                               return Fail("the other end broke the protocol");
                             if (!m_closed)
                               Read();
                           });
}

// Returns false for a frame that is too large, empty or refused by the hook.
bool FrameStream::TakeFrames() {
  size_t begin = 0;
  bool accepted = true;
  // The hook may close the stream, which drops its hooks.
  const auto on_frame = m_hooks.on_frame;
  while (accepted && !m_closed && m_input.size() - begin >= kLengthBytes) {
    uint32_t length = 0;
    for (size_t index = 0; index < kLengthBytes; ++index)
      length |= static_cast<uint32_t>(
                    static_cast<unsigned char>(m_input[begin + index]))
                << (kBitsPerByte * index);
    if (length == 0 || length > m_frame_bytes)
      return false;
    if (m_input.size() - begin - kLengthBytes < length)
      break;
    const std::string_view content =
        std::string_view(m_input).substr(begin + kLengthBytes, length);
    begin += kLengthBytes + length;
    accepted =
        on_frame(static_cast<uint8_t>(content.front()), content.substr(1));
  }
  m_input.erase(0, begin);
  return accepted;
}

void FrameStream::WriteNext() {
  if (m_queue.empty() || m_closed)
    return;
  m_writing = true;
  m_batch.clear();
  while (!m_queue.empty() &&
         (m_batch.empty() ||
          m_batch.size() + m_queue.front().frame.size() <= kBatchBytes)) {
    Queued queued = std::move(m_queue.front());
    m_queue.pop_front();
    m_queued_bytes -= queued.frame.size();
    m_batch += queued.frame;
    if (queued.id != 0 && m_hooks.on_writing)
      m_hooks.on_writing(queued.id);
  }
  boost::asio::async_write(m_socket, boost::asio::buffer(m_batch),
                           [this, self = shared_from_this()](
                               boost::system::error_code error, size_t) {
                             m_writing = false;
                             if (m_closed)
                               return;
                             if (error)
                               return Fail(error.message());
                             WriteNext();
                           });
}

}  // namespace jackdawturn
