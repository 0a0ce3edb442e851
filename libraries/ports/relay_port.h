#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "core/core.h"
#include "http/http.h"
#include "ports/caller_messages.h"

namespace jackdawturn {

// Number of a relayed request in the process that sends it.
using RelayCall = Counter<struct RelayCallTag>;
// Number of a relayed request in the process that receives it.
using RelayArrival = Counter<struct RelayArrivalTag>;

// A stamp of a hybrid logical clock; the clock belongs to the library observe.
struct RelayStamp {
  uint64_t physical = 0;  // Microseconds since the Unix epoch.
  uint32_t logical = 0;

  friend auto operator<=>(const RelayStamp&, const RelayStamp&) = default;
};

enum class RelayVerdict : uint8_t {
  // The receiver served the request; `answer` is the caller's answer.
  kAnswered = 0,
  // The receiver does not hold the group and did nothing.
  kNotHolder = 1,
  // The receiver could not take the request now and did nothing.
  kRefused = 2,
};

struct RelayReply {
  RelayVerdict verdict = RelayVerdict::kRefused;
  CallerAnswer answer;
  // For kNotHolder: the holder that the receiver knows and its relay address;
  // empty when it knows none.
  VmName holder;
  std::string holder_address;
  // For kRefused, for example "overloaded".
  std::string reason;
};

// What the decisions ask of the relay.

struct SendRelay {
  RelayCall call;
  // "IP:PORT" of the receiver's relay.
  std::string to;
  // `request.deadline` is the time that the receiver has.
  CallerRequest request;
  // After this time without an answer the call ends.
  Duration timeout{0};
  RelayStamp stamp;
};
// Answers an arrival; without effect when its connection is gone.
struct AnswerRelay {
  RelayArrival arrival;
  RelayReply reply;
  RelayStamp stamp;
};
using RelayCommand = std::variant<SendRelay, AnswerRelay>;

// What happens at the relay.

// Each SendRelay ends exactly once. Error kTimeout: the frame was given to the
// network and the connection was lost or the time passed, so the request may
// run or have run. Errors kUnavailable and kExhausted (full queue): no byte of
// the frame was given to the network.
struct RelayEnded {
  RelayCall call;
  Result<RelayReply> result;
  RelayStamp stamp;
};
// A request of another proxy. It is answered by AnswerRelay exactly once.
struct RelayArrived {
  RelayArrival arrival;
  VmName from;
  CallerRequest request;
  RelayStamp stamp;
};
using RelayEvent = std::variant<RelayEnded, RelayArrived>;

// The port to the relays of other proxies. Thread safety: all methods and the
// hook run on one thread, which the adapter's creator chooses.
class RelayPort {
 public:
  using OnEvent = std::function<void(RelayEvent)>;

  virtual ~RelayPort() = default;
  // Where other proxies reach this one.
  virtual Endpoint endpoint() const = 0;
  virtual void Send(RelayCommand command) = 0;
  // Runs `done` when every answer was given to the network, or after `limit`.
  virtual void Flush(Duration limit, std::function<void()> done) = 0;
};

struct RelayPortOptions {
  Endpoint listen;
  VmName self;
  // The first key proves, every key is accepted. At least one is needed.
  std::vector<std::string> keys;
  // Largest accepted frame in bytes.
  size_t frame_bytes = 2UL * 1'048'576;
  // Requests without an answer on one connection, in either direction.
  size_t requests_per_connection = 4'096;
  // Bytes that wait to be written to one connection.
  size_t queue_bytes = 16UL * 1'048'576;
  // Connections in each direction.
  size_t connections = 1'024;
  // Opening a connection, with the check of the key.
  Duration connect_timeout = std::chrono::milliseconds(500);
  // A connection with requests in progress that brings no byte for this time,
  // though it was probed, is closed.
  Duration silence_limit = std::chrono::milliseconds(500);
  // After a connection could not be opened, requests for its address are
  // refused for this time.
  Duration connect_backoff = std::chrono::milliseconds(100);
};

// The adapter over TCP: one connection for each proxy that this one relays to.
// Errors: kInvalidArgument (no key, bad address), kUnavailable (the address is
// in use).
Result<std::unique_ptr<RelayPort>> CreateTcpRelayPort(
    boost::asio::io_context& context,
    RelayPortOptions options,
    RelayPort::OnEvent on_event);

}  // namespace jackdawturn
