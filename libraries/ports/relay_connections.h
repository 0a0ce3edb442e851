#pragma once

// The two ends of a relay connection; used by the TCP adapter only.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "ports/frame_stream.h"
#include "ports/relay_codec.h"

namespace jackdawturn {

inline constexpr const char* kRelaySendStep = "relay.send";
// Frames before the key is proven are small.
inline constexpr size_t kRelayHandshakeBytes = 1'024;

// A connection that this proxy opened, with the requests on it.
class OutgoingRelay : public std::enable_shared_from_this<OutgoingRelay> {
 public:
  struct Hooks {
    std::function<void(RelayEnded)> on_ended;
    std::function<void(bool was_ready)> on_closed;
  };

  OutgoingRelay(boost::asio::io_context& context,
                const RelayPortOptions& options,
                std::string to,
                Hooks hooks)
      : m_context(context),
        m_options(options),
        m_to(std::move(to)),
        m_hooks(std::move(hooks)),
        m_stream(
            std::make_shared<FrameStream>(boost::asio::ip::tcp::socket(context),
                                          kRelayHandshakeBytes)),
        m_watch(context) {}

  // Handlers that are still queued keep the stream, so it is closed here.
  ~OutgoingRelay() { m_stream->Close(); }
  OutgoingRelay(const OutgoingRelay&) = delete;
  OutgoingRelay& operator=(const OutgoingRelay&) = delete;

  void Open(const boost::asio::ip::tcp::endpoint& endpoint) {
    m_watch.expires_after(m_options.connect_timeout);
    m_watch.async_wait([weak = weak_from_this()](auto error) {
      const auto self = weak.lock();
      if (self && !error && !self->m_ready)
        self->Closed("no connection in time");
    });
    m_stream->socket().async_connect(
        endpoint, [weak = weak_from_this()](boost::system::error_code error) {
          const auto self = weak.lock();
          if (!self || self->m_closed)
            return;
          if (error)
            return self->Closed(error.message());
          self->Greet();
        });
  }

  void Send(const SendRelay& send) {
    const uint64_t id = ++m_last_id;
    std::string frame =
        EncodeRelay(RelayRequestFrame{id, send.request, send.stamp});
    const auto refuse = [&](const char* message) {
      m_hooks.on_ended(
          {send.call,
           Error{ErrorCode::kExhausted, kRelaySendStep, m_to, message},
           {}});
    };
    if (frame.size() > m_options.frame_bytes)
      return refuse("the request is larger than a frame");
    if (m_calls.size() >= m_options.requests_per_connection ||
        Queued() + frame.size() > m_options.queue_bytes)
      return refuse("the queue of the connection is full");
    Call& call = m_calls.try_emplace(id, m_context).first->second;
    call.call = send.call;
    call.timer.expires_after(send.timeout);
    call.timer.async_wait([weak = weak_from_this(), id](auto error) {
      const auto self = weak.lock();
      if (self && !error)
        self->TimedOut(id);
    });
    if (m_ready) {
      m_stream->Write(std::move(frame), id);
    } else {
      m_waiting_bytes += frame.size();
      m_waiting.emplace(id, std::move(frame));
    }
  }

  // Ends all requests. The hooks are not called again afterwards.
  void Closed(const std::string& reason) {
    if (m_closed)
      return;
    m_closed = true;
    m_watch.cancel();
    m_stream->Close();
    const auto calls = std::exchange(m_calls, {});
    m_hooks.on_closed(m_ready);
    for (const auto& [id, call] : calls) {
      const ErrorCode code =
          call.written ? ErrorCode::kTimeout : ErrorCode::kUnavailable;
      m_hooks.on_ended(
          {call.call, Error{code, kRelaySendStep, m_to, reason}, {}});
    }
  }

  bool idle() const { return m_stream->idle(); }

 private:
  struct Call {
    explicit Call(boost::asio::io_context& context) : timer(context) {}
    RelayCall call;
    bool written = false;
    boost::asio::steady_timer timer;
  };

  size_t Queued() const { return m_waiting_bytes + m_stream->queued_bytes(); }

  void Greet() {
    m_hello.vm = m_options.self;
    m_hello.nonce = NewRelayNonce();
    m_stream->Start({[weak = weak_from_this()](uint8_t type, auto body) {
                       const auto self = weak.lock();
                       return self && self->OnFrame(type, body);
                     },
                     [weak = weak_from_this()](uint64_t id) {
                       const auto self = weak.lock();
                       if (!self)
                         return;
                       const auto found = self->m_calls.find(id);
                       if (found != self->m_calls.end())
                         found->second.written = true;
                     },
                     [weak = weak_from_this()](const std::string& reason) {
                       if (const auto self = weak.lock())
                         self->Closed(reason);
                     }});
    m_stream->Write(EncodeRelay(m_hello));
  }

  bool OnFrame(uint8_t type, std::string_view body) {
    switch (static_cast<RelayFrameType>(type)) {
      case RelayFrameType::kChallenge:
        return !m_proven && OnChallenge(body);
      case RelayFrameType::kReady:
        if (!m_proven || m_ready)
          return false;
        BecomeReady();
        return true;
      case RelayFrameType::kReply:
        return m_ready && OnReply(body);
      default:
        return true;  // An answer to a probe, or of a newer program.
    }
  }

  bool OnChallenge(std::string_view body) {
    const auto challenge = DecodeRelayChallenge(body);
    if (!challenge || challenge.value().readable_since > kRelayVersion ||
        !IsRelayProof(m_options.keys, RelayRole::kAcceptor, m_hello,
                      challenge.value().nonce, challenge.value().proof))
      return false;
    m_proven = true;
    m_stream->Write(
        EncodeRelayProof(RelayProof(m_options.keys.front(), RelayRole::kOpener,
                                    m_hello, challenge.value().nonce)));
    return true;
  }

  void BecomeReady() {
    m_ready = true;
    m_stream->SetFrameLimit(m_options.frame_bytes);
    m_waiting_bytes = 0;
    for (auto& [id, frame] : std::exchange(m_waiting, {}))
      m_stream->Write(std::move(frame), id);
    Watch();
  }

  // Probes a connection that is expected to bring replies and brings none.
  void Watch() {
    m_watch.expires_after(m_options.silence_limit / 2);
    m_watch.async_wait([weak = weak_from_this()](auto error) {
      const auto self = weak.lock();
      if (!self || error || self->m_closed)
        return;
      const bool silent =
          std::exchange(self->m_seen, self->m_stream->received()) ==
          self->m_stream->received();
      if (!silent || self->m_calls.empty())
        self->m_probed = false;
      else if (std::exchange(self->m_probed, true))
        return self->Closed("the connection is silent");
      if (self->m_probed)
        self->m_stream->Write(EncodeRelayFrame(RelayFrameType::kProbe, ""));
      self->Watch();
    });
  }

  bool OnReply(std::string_view body) {
    auto reply = DecodeRelayReply(body);
    if (!reply)
      return false;
    // The reply to a request that has timed out is dropped here.
    const auto found = m_calls.find(reply.value().id);
    if (found == m_calls.end())
      return true;
    const RelayCall call = found->second.call;
    m_calls.erase(found);
    m_hooks.on_ended(
        {call, std::move(reply.value().reply), reply.value().stamp});
    return true;
  }

  void TimedOut(uint64_t id) {
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
      return;
    const bool written = found->second.written;
    const RelayCall call = found->second.call;
    m_calls.erase(found);
    const auto waiting = m_waiting.find(id);
    if (waiting != m_waiting.end()) {
      m_waiting_bytes -= waiting->second.size();
      m_waiting.erase(waiting);
    }
    m_stream->Withdraw(id);
    m_hooks.on_ended(
        {call,
         Error{written ? ErrorCode::kTimeout : ErrorCode::kUnavailable,
               kRelaySendStep, m_to,
               written ? "no answer in time" : "not sent in time"},
         {}});
  }

  boost::asio::io_context& m_context;
  const RelayPortOptions& m_options;
  const std::string m_to;
  Hooks m_hooks;
  std::shared_ptr<FrameStream> m_stream;
  // The time to connect, then the watch over silence.
  boost::asio::steady_timer m_watch;
  RelayHello m_hello;
  uint64_t m_last_id = 0;
  std::map<uint64_t, Call> m_calls;
  // Frames that wait until the connection is ready.
  std::map<uint64_t, std::string> m_waiting;
  size_t m_waiting_bytes = 0;
  uint64_t m_seen = 0;
  bool m_probed = false;
  bool m_proven = false;
  bool m_ready = false;
  bool m_closed = false;
};

// A connection that another proxy opened.
class IncomingRelay : public std::enable_shared_from_this<IncomingRelay> {
 public:
  struct Hooks {
    std::function<void(IncomingRelay&, RelayRequestFrame)> on_request;
    std::function<void(IncomingRelay&)> on_closed;
  };

  IncomingRelay(boost::asio::io_context& context,
                boost::asio::ip::tcp::socket socket,
                const RelayPortOptions& options,
                Hooks hooks)
      : m_options(options),
        m_hooks(std::move(hooks)),
        m_stream(std::make_shared<FrameStream>(std::move(socket),
                                               kRelayHandshakeBytes)),
        m_handshake(context) {}

  ~IncomingRelay() { m_stream->Close(); }
  IncomingRelay(const IncomingRelay&) = delete;
  IncomingRelay& operator=(const IncomingRelay&) = delete;

  void Start() {
    m_handshake.expires_after(m_options.connect_timeout);
    m_handshake.async_wait([weak = weak_from_this()](auto error) {
      const auto self = weak.lock();
      if (self && !error && !self->m_ready)
        self->Closed();
    });
    m_stream->Start({[weak = weak_from_this()](uint8_t type, auto body) {
                       const auto self = weak.lock();
                       return self && self->OnFrame(type, body);
                     },
                     {},
                     [weak = weak_from_this()](const std::string&) {
                       if (const auto self = weak.lock())
                         self->Closed();
                     }});
  }

  void Closed() {
    if (std::exchange(m_closed, true))
      return;
    m_handshake.cancel();
    m_stream->Close();
    m_hooks.on_closed(*this);
  }

  // `counted` is true for the answer to a request that was accepted.
  void Answer(const RelayReplyFrame& frame, bool is_read, bool counted) {
    if (m_closed)
      return;
    if (counted)
      --m_requests;
    std::string bytes = EncodeRelay(frame);
    if (bytes.size() > m_options.frame_bytes)
      bytes = EncodeRelay(Shortened(frame, is_read));
    // The other end does not read; its requests end as lost.
    if (m_stream->queued_bytes() + bytes.size() > m_options.queue_bytes)
      return Closed();
    m_stream->Write(std::move(bytes));
  }

  const VmName& vm() const { return m_hello.vm; }
  bool idle() const { return m_stream->idle(); }

 private:
  // A write was done whatever became of its value; a read without its value is
  // worth nothing.
  static RelayReplyFrame Shortened(RelayReplyFrame frame, bool is_read) {
    frame.reply.answer.value.reset();
    frame.reply.answer.message.clear();
    if (is_read) {
      frame.reply.answer.outcome = CallerOutcome::kNotRun;
      frame.reply.answer.reason = "answer_too_large";
    }
    return frame;
  }

  bool OnFrame(uint8_t type, std::string_view body) {
    switch (static_cast<RelayFrameType>(type)) {
      case RelayFrameType::kHello:
        return m_nonce.empty() && OnHello(body);
      case RelayFrameType::kProof: {
        const auto proof = DecodeRelayProof(body);
        if (m_nonce.empty() || m_ready || !proof ||
            !IsRelayProof(m_options.keys, RelayRole::kOpener, m_hello, m_nonce,
                          proof.value()))
          return false;
        m_ready = true;
        m_handshake.cancel();
        m_stream->SetFrameLimit(m_options.frame_bytes);
        m_stream->Write(EncodeRelayFrame(RelayFrameType::kReady, ""));
        return true;
      }
      case RelayFrameType::kRequest:
        return m_ready && OnRequest(body);
      case RelayFrameType::kProbe:
        if (m_ready)
          m_stream->Write(EncodeRelayFrame(RelayFrameType::kProbeAnswer, ""));
        return m_ready;
      default:
        return m_ready;  // A frame of a newer program.
    }
  }

  bool OnHello(std::string_view body) {
    auto hello = DecodeRelayHello(body);
    if (!hello || hello.value().readable_since > kRelayVersion)
      return false;
    m_hello = std::move(hello).value();
    m_nonce = NewRelayNonce();
    RelayChallenge challenge;
    challenge.nonce = m_nonce;
    challenge.proof = RelayProof(m_options.keys.front(), RelayRole::kAcceptor,
                                 m_hello, m_nonce);
    m_stream->Write(EncodeRelay(challenge));
    return true;
  }

  bool OnRequest(std::string_view body) {
    auto frame = DecodeRelayRequest(body);
    if (!frame)
      return false;
    if (m_requests >= m_options.requests_per_connection) {
      RelayReplyFrame refused{frame.value().id, {}, {}};
      refused.reply.reason = "overloaded";
      Answer(refused, false, false);
      return true;
    }
    ++m_requests;
    m_hooks.on_request(*this, std::move(frame).value());
    return true;
  }

  const RelayPortOptions& m_options;
  Hooks m_hooks;
  std::shared_ptr<FrameStream> m_stream;
  boost::asio::steady_timer m_handshake;
  RelayHello m_hello;
  std::string m_nonce;
  size_t m_requests = 0;
  bool m_ready = false;
  bool m_closed = false;
};

}  // namespace jackdawturn
