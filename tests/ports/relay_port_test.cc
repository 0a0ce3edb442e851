#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "ports/ports.h"
#include "ports/relay_codec.h"

#include "support/fake_relay_port.h"
#include "support/table_test.h"

namespace jackdawturn {

static constexpr size_t kQueueLimit = 3;
static constexpr Duration kLong = std::chrono::minutes(1);
static const char* const kKey = "fleet-key-for-tests-0123456789abcd";

// Two relays, of which `a` sends to `b`.
class RelayPair {
 public:
  virtual ~RelayPair() = default;
  virtual void Pump() = 0;
  virtual void KillReceiver() = 0;
  // Lets the deadline of every call pass.
  virtual void TimeOut() = 0;

  void PumpUntil(const std::function<bool()>& reached) {
    while (!reached())
      Pump();
  }
  RelayCall Send(const std::string& statement, Duration timeout = kLong) {
    SendRelay send;
    send.call = RelayCall{++m_last_call};
    send.to = m_to;
    send.request.operation = CallerOperation::kWrite;
    send.request.statement = statement;
    send.timeout = timeout;
    m_a->Send(send);
    return send.call;
  }
  void Answer(const RelayArrived& arrived, const std::string& value) {
    AnswerRelay answer{arrived.arrival, {}, {}};
    answer.reply.verdict = RelayVerdict::kAnswered;
    answer.reply.answer.outcome = CallerOutcome::kDone;
    answer.reply.answer.value = value;
    m_b->Send(answer);
  }
  const RelayEnded* EndOf(RelayCall call) const {
    for (const RelayEnded& ended : m_ended) {
      if (ended.call == call)
        return &ended;
    }
    return nullptr;
  }

  std::unique_ptr<RelayPort> m_a;
  std::unique_ptr<RelayPort> m_b;
  std::string m_to;
  std::vector<RelayEnded> m_ended;
  std::vector<RelayArrived> m_arrived;

 protected:
  RelayPort::OnEvent Hook() {
    return [this](RelayEvent event) {
      if (auto* ended = std::get_if<RelayEnded>(&event))
        m_ended.push_back(std::move(*ended));
      else
        m_arrived.push_back(std::get<RelayArrived>(std::move(event)));
    };
  }

 private:
  uint64_t m_last_call = 0;
};

class TcpPair : public RelayPair {
 public:
  explicit TcpPair(const std::string& key_of_b = kKey) {
    m_a = Open("a", kKey);
    m_b = Open("b", key_of_b);
    m_to = m_b->endpoint().ToString();
  }
  ~TcpPair() override {
    m_a.reset();
    m_b.reset();
  }
  void Pump() override {
    cr_assert(m_context.run_one_for(kLong) > 0, "the relay stands still");
  }
  void KillReceiver() override { m_b.reset(); }
  void TimeOut() override {}

 private:
  std::unique_ptr<RelayPort> Open(const char* vm, const std::string& key) {
    RelayPortOptions options;
    options.listen = {"127.0.0.1", 0};
    options.self = VmName(vm);
    options.keys = {key};
    options.requests_per_connection = kQueueLimit;
    options.connect_timeout = kLong;
    options.silence_limit = 2 * kLong;
    options.connect_backoff = Duration(0);
    options.frame_bytes = 100'000;
    auto port = CreateTcpRelayPort(m_context, options, Hook());
    cr_assert(port.has_value());
    return std::move(port).value();
  }

  boost::asio::io_context m_context;
};

class FakePair : public RelayPair {
 public:
  FakePair() : m_network(kQueueLimit) {
    m_a = m_network.Open({"10.0.0.1", 1}, VmName("a"), Hook());
    m_b = m_network.Open({"10.0.0.2", 1}, VmName("b"), Hook());
    m_to = m_b->endpoint().ToString();
  }
  void Pump() override { m_network.Step(); }
  void KillReceiver() override { m_network.Kill(m_to); }
  void TimeOut() override { m_network.TimeOut(); }

 private:
  FakeRelayNetwork m_network;
};

static std::unique_ptr<RelayPair> MakePair(const std::string& name) {
  if (name == "tcp")
    return std::make_unique<TcpPair>();
  return std::make_unique<FakePair>();
}

static const char* const kPorts[] = {"tcp", "fake"};

// Guards against an answer that reaches another caller when answers come in
// another order than the requests, and against members lost on the way.
TABLE_TEST(relay_port, answers_are_matched, kPorts) {
  const auto pair = MakePair(kPorts[*row_index]);
  const RelayCall first = pair->Send("first");
  const RelayCall second = pair->Send("second");
  pair->PumpUntil([&] { return pair->m_arrived.size() == 2; });
  cr_assert(pair->m_arrived[0].from == VmName("a"));
  cr_assert(pair->m_arrived[0].request.statement == "first");
  cr_assert(pair->m_arrived[0].request.operation == CallerOperation::kWrite);
  pair->Answer(pair->m_arrived[1], "of second");
  pair->Answer(pair->m_arrived[0], "of first");
  pair->PumpUntil([&] { return pair->m_ended.size() == 2; });
  cr_assert(pair->EndOf(first)->result.value().answer.value == "of first");
  cr_assert(pair->EndOf(second)->result.value().answer.value == "of second");
}

// Guards against `not_run` for a request that the receiver may have run.
TABLE_TEST(relay_port, death_after_writing_leaves_outcome_open, kPorts) {
  const auto pair = MakePair(kPorts[*row_index]);
  const RelayCall call = pair->Send("write");
  pair->PumpUntil([&] { return pair->m_arrived.size() == 1; });
  pair->KillReceiver();
  pair->PumpUntil([&] { return !pair->m_ended.empty(); });
  cr_assert(pair->EndOf(call)->result.error().code == ErrorCode::kTimeout);
}

// Guards against `unknown` for a request of which nothing was sent.
TABLE_TEST(relay_port, dead_receiver_is_known_not_to_have_run, kPorts) {
  const auto pair = MakePair(kPorts[*row_index]);
  pair->KillReceiver();
  const RelayCall call = pair->Send("write");
  pair->PumpUntil([&] { return !pair->m_ended.empty(); });
  cr_assert(pair->EndOf(call)->result.error().code == ErrorCode::kUnavailable);
  cr_assert(pair->m_arrived.empty());
}

// Guards against unbounded memory for a receiver that answers slowly.
TABLE_TEST(relay_port, full_queue_refuses, kPorts) {
  const auto pair = MakePair(kPorts[*row_index]);
  for (size_t index = 0; index < kQueueLimit; ++index)
    pair->Send("write");
  const RelayCall beyond = pair->Send("beyond");
  cr_assert(pair->EndOf(beyond)->result.error().code == ErrorCode::kExhausted);
  pair->PumpUntil([&] { return pair->m_arrived.size() == kQueueLimit; });
  for (const RelayArrived& arrived : pair->m_arrived) {
    cr_assert(arrived.request.statement == "write");
    pair->Answer(arrived, "done");
  }
  pair->PumpUntil([&] { return pair->m_ended.size() == kQueueLimit + 1; });
}

// Guards against an answer that comes after its deadline and ends another call.
TABLE_TEST(relay_port, late_answer_reaches_nobody, kPorts) {
  const auto pair = MakePair(kPorts[*row_index]);
  pair->Send("opens the connection");
  pair->PumpUntil([&] { return pair->m_arrived.size() == 1; });
  pair->Answer(pair->m_arrived[0], "done");
  pair->PumpUntil([&] { return pair->m_ended.size() == 1; });
  const RelayCall late = pair->Send("late", std::chrono::milliseconds(20));
  pair->PumpUntil([&] { return pair->m_arrived.size() == 2; });
  pair->TimeOut();
  pair->PumpUntil([&] { return pair->m_ended.size() == 2; });
  cr_assert(pair->EndOf(late)->result.error().code == ErrorCode::kTimeout);
  pair->Answer(pair->m_arrived[1], "too late");
  const RelayCall next = pair->Send("next");
  pair->PumpUntil([&] { return pair->m_arrived.size() == 3; });
  pair->Answer(pair->m_arrived[2], "of next");
  pair->PumpUntil([&] { return pair->m_ended.size() == 3; });
  cr_assert(pair->EndOf(next)->result.value().answer.value == "of next");
}

// Guards against a request from or to a proxy that does not know the key.
Test(relay_port, other_key_is_refused) {
  TcpPair pair("another-key-for-tests-0123456789ab");
  const RelayCall call = pair.Send("write");
  pair.PumpUntil([&] { return !pair.m_ended.empty(); });
  cr_assert(pair.EndOf(call)->result.error().code == ErrorCode::kUnavailable);
  cr_assert(pair.m_arrived.empty());
}

// Guards against a request that no frame can hold, which would cut the requests
// of others on the connection, and against a lost outcome when an answer is too
// large.
Test(relay_port, frames_are_bounded) {
  TcpPair pair;
  const RelayCall large = pair.Send(std::string(100'000, 'x'));
  cr_assert(pair.EndOf(large)->result.error().code == ErrorCode::kExhausted);
  const RelayCall call = pair.Send("write");
  pair.PumpUntil([&] { return pair.m_arrived.size() == 1; });
  pair.Answer(pair.m_arrived[0], std::string(100'000, 'x'));
  pair.PumpUntil([&] { return pair.m_ended.size() == 2; });
  const CallerAnswer& answer = pair.EndOf(call)->result.value().answer;
  cr_assert(answer.outcome == CallerOutcome::kDone);
  cr_assert(!answer.value.has_value());
}

// Guards against input that is not of the protocol: it must only cost the
// connection that brought it.
Test(relay_port, foreign_bytes_close_their_connection) {
  TcpPair pair;
  boost::asio::io_context context;
  std::mt19937_64 random(1);
  for (size_t round = 0; round < 50; ++round) {
    boost::asio::ip::tcp::socket socket(context);
    socket.connect(ToTcpEndpoint(pair.m_b->endpoint()).value());
    std::string bytes(1 + random() % 2'000, '\0');
    for (char& byte : bytes)
      byte = static_cast<char>(random());
    boost::system::error_code ignored;
    boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
  }
  const RelayCall call = pair.Send("write");
  pair.PumpUntil([&] { return pair.m_arrived.size() == 1; });
  pair.Answer(pair.m_arrived[0], "done");
  pair.PumpUntil([&] { return pair.EndOf(call) != nullptr; });
  cr_assert(pair.m_arrived.size() == 1);
}

// Guards against a decoder that crashes or allocates for damaged lengths, and
// against a member that is not carried.
Test(relay_port, damaged_frames_are_refused_or_decoded) {
  RelayRequestFrame frame;
  frame.id = 7;
  frame.request = {CallerOperation::kCommit,
                   GroupName("g"),
                   ClassName("c"),
                   RequestId("r"),
                   TransactionId(std::string(70'000, 't')),
                   "statement",
                   "token",
                   std::chrono::milliseconds(5),
                   11,
                   12,
                   true,
                   "10.0.0.9"};
  frame.stamp = {13, 14};
  const std::string bytes = EncodeRelay(frame).substr(kRelayPrefixBytes);
  const auto decoded = DecodeRelayRequest(bytes + "field of a newer program");
  cr_assert(decoded.has_value());
  cr_assert(EncodeRelay(decoded.value()) == EncodeRelay(frame));
  RelayReplyFrame reply;
  reply.reply.answer.value = "value";
  reply.reply.answer.digest = 3;
  reply.reply.holder = VmName("b");
  const std::string reply_bytes = EncodeRelay(reply).substr(kRelayPrefixBytes);
  cr_assert(EncodeRelay(DecodeRelayReply(reply_bytes).value()) ==
            EncodeRelay(reply));
  std::mt19937_64 random(1);
  for (size_t round = 0; round < 20'000; ++round) {
    std::string damaged = round % 2 == 0 ? bytes.substr(0, 200) : reply_bytes;
    damaged[random() % damaged.size()] = static_cast<char>(random());
    damaged.resize(random() % (damaged.size() + 1));
    (void)DecodeRelayRequest(damaged);
    (void)DecodeRelayReply(damaged);
    (void)DecodeRelayHello(damaged);
    (void)DecodeRelayChallenge(damaged);
  }
  for (size_t size = 0; size < bytes.size(); size += 997)
    cr_assert(!DecodeRelayRequest(std::string_view(bytes).substr(0, size)));
}

}  // namespace jackdawturn
