#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <chrono>
#include <string>
#include <thread>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "gateway/fake_group.h"
#include "platform/platform.h"

#include "support/table_test.h"

namespace jackdawturn::gateway::platform {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

// A store that holds one configuration.
class ConfiguredStore : public FakeStore {
 public:
  using FakeStore::FakeStore;

  void List(RecordCollection collection,
            Duration,
            std::function<void(Result<RecordList>)> on_list) override {
    if (configured && collection == RecordCollection::kConfiguration)
      on_list(RecordList{{{"main", 1, "1"}}, 1});
  }

  // Whether lists are answered.
  bool configured = true;
};

// A gateway that listens on loopback, and one client.
struct ListenerRig {
  explicit ListenerRig(ClientSession::Origin origin, bool configured = true)
      : listener(ClientListener::Create(context, {"127.0.0.1", 0}, origin, host)
                     .value()) {
    store.configured = configured;
    host.Start();
    const auto address = ToTcpEndpoint(listener->endpoint()).value();
    client.open(address.protocol());
    // A small window, so that a large answer stays with the gateway.
    client.set_option(asio::socket_base::receive_buffer_size(4'096));
    client.connect(address);
  }
  ~ListenerRig() { timers.Clear(); }

  static Result<GatewayConfig> Decode(const StoredRecord&) {
    GatewayConfig config;
    config.version = 1;
    config.routes["db"] = {.database = "db",
                           .group = GroupName("loans"),
                           .statement_timeout = 800ms,
                           .target_latency = 200ms};
    return config;
  }

  // Runs all handlers that are ready.
  void Poll() {
    context.restart();
    while (context.poll() > 0) {
    }
  }

  // Runs handlers until the gateway has handled everything that was sent.
  void Settle() {
    for (int unacknowledged = 1; unacknowledged > 0;) {
      Poll();
      cr_assert_eq(ioctl(client.native_handle(), SIOCOUTQ, &unacknowledged), 0);
      std::this_thread::sleep_for(1ms);
    }
    Poll();
  }

  void Send(const std::string& text) {
    asio::write(client, asio::buffer(text));
    Settle();
  }

  // Reads until the gateway closes the connection.
  std::string ReadToEnd() {
    client.non_blocking(true);
    std::string received;
    std::string chunk(65'536, 0);
    constexpr int kMaxIdlePolls = 5'000;
    for (int idle = 0; idle < kMaxIdlePolls;) {
      boost::system::error_code error;
      const size_t bytes = client.read_some(asio::buffer(chunk), error);
      if (error == asio::error::would_block) {
        Poll();
        ++idle;
        std::this_thread::sleep_for(1ms);
        continue;
      }
      if (error)
        return received;
      received.append(chunk, 0, bytes);
    }
    return received;
  }

  asio::io_context context;
  VirtualTimers timers;
  FakeGroup group{timers};
  ConfiguredStore store{timers};
  MetricRegistry metrics;
  GatewayLog log{nullptr, metrics, VmName("vm")};
  GatewayHost host{{.name = VmName("vm"), .zone = ZoneName("z"), .seed = 1},
                   {.timers = timers,
                    .store = store,
                    .open = group.Opener(),
                    .promote = group.Promoter(),
                    .read_status = FakeStatus,
                    .decode_config = Decode,
                    .decode_server = DecodeServer},
                   log};
  std::unique_ptr<ClientListener> listener;
  Tcp::socket client{context};
};

}  // namespace

// A process that ends when it has no session left must not cut the last answer
// of a client that reads slowly.
Test(platform_listener, last_answer_is_sent_before_the_end) {
  ListenerRig rig(ClientSession::Origin::kClient);
  rig.Send("STARTUP db\r\n");
  // Each malformed statement is answered at once; the answers fill the buffers.
  constexpr size_t kStatements = 60'000;
  std::string statements;
  for (size_t index = 0; index < kStatements; ++index)
    statements += "QUERY " + std::to_string(index) + " NONSENSE\r\n";
  rig.client.non_blocking(true);
  for (size_t sent = 0; sent < statements.size();) {
    boost::system::error_code error;
    sent += rig.client.write_some(
        asio::buffer(statements.data() + sent, statements.size() - sent),
        error);
    rig.Poll();
  }
  rig.Settle();
  cr_assert_eq(rig.listener->sessions(), 1U);
  rig.listener->CloseIdleSessions();
  cr_expect_eq(rig.listener->sessions(), 0U);
  cr_expect_eq(rig.listener->unsent(), 1U);
  const std::string received = rig.ReadToEnd();
  size_t answers = 0;
  for (size_t at = received.find("READY"); at != std::string::npos;
       at = received.find("READY", at + 1))
    ++answers;
  // One for the startup.
  cr_expect_eq(answers, kStatements + 1);
  cr_expect_eq(rig.listener->unsent(), 0U);
}

static size_t CountOf(const std::string& text, const std::string& word) {
  size_t count = 0;
  for (size_t at = text.find(word); at != std::string::npos;
       at = text.find(word, at + 1))
    ++count;
  return count;
}

// A proxy sends the lines that belong to one statement at once. A session that
// is to end must answer all lines that were read, or the other end takes those
// that never ran for lost.
struct BatchCase {
  ClientSession::Origin origin;
  const char* startup;
  const char* batch;
  size_t answers;
};

static const BatchCase kBatches[] = {
    {ClientSession::Origin::kClient, "STARTUP db\r\n",
     "QUERY 1 SET a b\r\nQUERY 2 SET c d\r\n", 2},
    {ClientSession::Origin::kPeer, "STARTUP db vm vm/1/db\r\n",
     "QUERY - SET a b\r\nQUERY - SET c d\r\nQUERY 3 READ 1\r\n", 3},
    {ClientSession::Origin::kPeer, "STARTUP db vm vm/1/db\r\n",
     "QUERY - SET a b\r\nQUERY - BEGIN\r\nQUERY 3 WRITE 1 x\r\n"
     "QUERY - ROLLBACK\r\n",
     4},
};

TABLE_TEST(platform_listener, closing_session_answers_its_batch, kBatches) {
  const BatchCase& row = kBatches[*row_index];
  ListenerRig rig(row.origin);
  rig.listener->CloseIdleSessions();
  rig.Send(std::string(row.startup) + row.batch);
  // No instance is there, so statements are refused when their time is over.
  rig.timers.Advance(2s);
  rig.listener->CloseIdleSessions();
  const std::string received = rig.ReadToEnd();
  cr_expect_eq(CountOf(received, "READY"), row.answers + 1, "%s",
               received.c_str());
}

// A line that cannot be read ends the connection, but the statements before it
// are answered first.
Test(platform_listener, refusal_follows_the_answers_before_it) {
  ListenerRig rig(ClientSession::Origin::kClient);
  rig.Send(
      "STARTUP db\r\nQUERY 1 READ 1\r\nQUERY 2 SET a b\r\nGARBAGE\r\n"
      "QUERY 3 SET c d\r\n");
  rig.timers.Advance(2s);
  const std::string received = rig.ReadToEnd();
  cr_expect_eq(CountOf(received, "READY"), 3U, "%s", received.c_str());
  const size_t refusal = received.find("ERROR MALFORMED");
  cr_assert_neq(refusal, std::string::npos);
  cr_expect_gt(refusal, received.rfind("READY"));
  cr_expect_eq(rig.listener->sessions(), 0U);
}

// A process that stops before it knows a configuration refuses the clients that
// wait for it.
Test(platform_listener, waiting_startup_is_refused_by_a_drain) {
  ListenerRig rig(ClientSession::Origin::kClient, false);
  rig.Send("STARTUP db\r\n");
  cr_expect_eq(rig.listener->sessions(), 1U);
  rig.listener->Drain(DrainPhase::kClosing);
  const std::string received = rig.ReadToEnd();
  cr_expect(received.starts_with("ERROR BUSY"), "%s", received.c_str());
  cr_expect_eq(rig.listener->sessions(), 0U);
}

// A process that ends with statements in progress answers all that were read.
Test(platform_listener, statements_in_progress_are_answered_at_the_end) {
  ListenerRig rig(ClientSession::Origin::kClient);
  rig.Send("STARTUP db\r\nQUERY 1 READ 1\r\nQUERY 2 WRITE 1 x\r\n");
  rig.listener->Drain(DrainPhase::kAnswering);
  const std::string received = rig.ReadToEnd();
  cr_expect_eq(CountOf(received, "ERROR BUSY"), 2U, "%s", received.c_str());
  cr_expect_eq(CountOf(received, "READY"), 3U);
  cr_expect_eq(rig.listener->sessions(), 0U);
}

// Whatever arrives on a connection, only that connection ends.
struct GarbageCase {
  ClientSession::Origin origin;
  const char* text;
};

static const GarbageCase kGarbage[] = {
    {ClientSession::Origin::kClient, "\r\n"},
    {ClientSession::Origin::kClient, "HELLO\r\n"},
    {ClientSession::Origin::kClient, "QUERY 1 READ 1\r\n"},
    {ClientSession::Origin::kClient, "STARTUP db\r\nSTARTUP db\r\n"},
    {ClientSession::Origin::kClient, "STARTUP none\r\nQUERY 1 READ 1\r\n"},
    {ClientSession::Origin::kPeer, "STARTUP db vm x\r\n"},
    {ClientSession::Origin::kPeer, "STARTUP db vm vm/9/db\r\n"},
    {ClientSession::Origin::kPeer,
     "STARTUP db vm vm/999999999999999999999/db\r\n"},
    {ClientSession::Origin::kPeer, "QUERY 1 AFTER x READ 1\r\n"},
    {ClientSession::Origin::kPeer, "STARTUP db vm other/1/db\r\n"},
};

TABLE_TEST(platform_listener, garbage_ends_only_its_connection, kGarbage) {
  const GarbageCase& row = kGarbage[*row_index];
  ListenerRig rig(row.origin);
  rig.Send(row.text);
  cr_expect(rig.ReadToEnd().find("ERROR") != std::string::npos);
  cr_expect_eq(rig.listener->sessions(), 0U);
  Tcp::socket next(rig.context);
  next.connect(ToTcpEndpoint(rig.listener->endpoint()).value());
  rig.Poll();
  cr_expect(next.is_open());
}

// Whatever ends a connection, a request that was read and not answered is
// counted with the reason.
struct EndCase {
  enum class Cause { kClientCloses, kConnectionResets, kProcessEnds, kText };
  Cause cause;
  // kText: what the client sends.
  const char* text;
  // Null: the connection stays until the request is answered.
  const char* reason;
};

static const EndCase kEnds[] = {
    {EndCase::Cause::kClientCloses, "", "client_left"},
    {EndCase::Cause::kConnectionResets, "", "connection_error"},
    {EndCase::Cause::kProcessEnds, "", "process_end"},
    {EndCase::Cause::kText, "TERMINATE\r\n", "client_left"},
    {EndCase::Cause::kText, "HELLO\r\n", nullptr},
};

TABLE_TEST(platform_listener, unanswered_request_is_counted, kEnds) {
  const EndCase& row = kEnds[*row_index];
  ListenerRig rig(ClientSession::Origin::kClient);
  // No instance is known, so the write waits.
  rig.Send("STARTUP db\r\nQUERY 1 WRITE 1 x\r\n");
  cr_assert_eq(rig.listener->sessions(), 1U);
  switch (row.cause) {
    case EndCase::Cause::kConnectionResets:
      rig.client.set_option(asio::socket_base::linger(true, 0));
      rig.client.close();
      break;
    case EndCase::Cause::kClientCloses:
      // A close with an answer that was not read resets the connection.
      rig.client.shutdown(Tcp::socket::shutdown_send);
      break;
    case EndCase::Cause::kProcessEnds:
      rig.listener.reset();
      break;
    case EndCase::Cause::kText:
      rig.Send(row.text);
      break;
  }
  constexpr int kMaxPolls = 1'000;
  for (int polls = 0;
       polls < kMaxPolls && rig.listener && rig.listener->sessions() > 0;
       ++polls) {
    rig.Poll();
    std::this_thread::sleep_for(1ms);
  }
  const std::string total = "jackdawturn_statements_unanswered_total{";
  if (!row.reason) {
    cr_assert_eq(rig.metrics.Render().find(total), std::string::npos);
    cr_assert_eq(rig.listener->sessions(), 1U);
    return;
  }
  const std::string counted =
      total + "reason=\"" + std::string(row.reason) + "\"} 1";
  cr_assert(rig.metrics.Render().find(counted) != std::string::npos, "%s",
            counted.c_str());
}

// A LF or CR by itself is part of a field. A reader that ends lines there runs
// what a client has put into the data of a statement (UNASKED in review/4).
struct LineEndCase {
  const char* text;
  size_t answers;
};

static const LineEndCase kLineEnds[] = {
    {"QUERY 1 SET a b\r\nQUERY 2 SET c d\r\n", 2},
    {"QUERY 1 SET a b\nQUERY 2 SET c d\r\n", 1},
    {"QUERY 1 SET a b\rQUERY 2 SET c d\r\n", 1},
    {"QUERY 1 SET a b\n\rQUERY 2 SET c d\r\n", 1},
    {"QUERY 1 SET a b\r\r\n", 1},
    {"QUERY 1 SET a b\n", 0},
};

TABLE_TEST(platform_listener, only_cr_lf_ends_a_line, kLineEnds) {
  const LineEndCase& row = kLineEnds[*row_index];
  for (const auto origin :
       {ClientSession::Origin::kClient, ClientSession::Origin::kPeer}) {
    ListenerRig rig(origin);
    rig.Send(std::string(origin == ClientSession::Origin::kClient
                             ? "STARTUP db\r\n"
                             : "STARTUP db vm vm/1/db\r\n") +
             row.text);
    rig.listener->Drain(DrainPhase::kEnded);
    const std::string received = rig.ReadToEnd();
    cr_expect_eq(CountOf(received, "READY"), row.answers + 1, "%s",
                 received.c_str());
  }
}

// Statements that wait for one at an instance and are then answered by the
// proxy itself ended the process by a stack overflow, and their number had no
// limit (review/5).
Test(platform_listener, flood_of_statements_is_answered) {
  ListenerRig rig(ClientSession::Origin::kClient);
  // No instance is there, so the read waits until it is refused.
  constexpr size_t kStatements = 100'000;
  std::string statements = "STARTUP db\r\nQUERY 0 READ 1\r\n";
  // More than the buffers of both sockets take.
  const std::string line = "QUERY 1 SET a " + std::string(150, 'b') + "\r\n";
  for (size_t index = 0; index < kStatements; ++index)
    statements += line;
  rig.client.set_option(asio::socket_base::send_buffer_size(65'536));
  rig.client.non_blocking(true);
  std::string received;
  std::string chunk(65'536, 0);
  size_t sent = 0;
  bool blocked = false;
  constexpr int kRoundsUntilBlocked = 100;
  constexpr int kMaxIdleRounds = 300;
  for (int idle = 0; idle < kMaxIdleRounds; ++idle) {
    boost::system::error_code error;
    const size_t before = sent + received.size();
    if (sent < statements.size())
      sent += rig.client.write_some(
          asio::buffer(statements.data() + sent, statements.size() - sent),
          error);
    rig.Poll();
    const size_t bytes = rig.client.read_some(asio::buffer(chunk), error);
    received.append(chunk, 0, error ? 0 : bytes);
    if (sent + received.size() > before) {
      idle = 0;
      continue;
    }
    std::this_thread::sleep_for(1ms);
    if (idle != kRoundsUntilBlocked)
      continue;
    // The client is not read from while its statements wait for the read.
    blocked = blocked || sent < statements.size();
    rig.timers.Advance(1s);
  }
  cr_expect(blocked);
  cr_expect_eq(CountOf(received, "READY"), kStatements + 2);
  cr_expect_eq(rig.listener->sessions(), 1U);
}

}  // namespace jackdawturn::gateway::platform
