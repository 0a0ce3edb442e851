#include "soak/group_standin.h"

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

#include "platform/line_stream.h"

namespace jackdawturn::soak {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using gateway::platform::LineStream;

std::string InstanceAddress(size_t gateway) {
  return "127.0.0." + std::to_string(gateway + 1);
}

// A connection of a gateway to an instance. Statements run one at a time, each
// a moment after it came.
class GroupStandin::Connection
    : public std::enable_shared_from_this<Connection> {
 public:
  Connection(GroupStandin& standin, size_t instance, size_t gateway)
      : m_standin(&standin),
        m_instance(instance),
        m_gateway(gateway),
        m_timer(standin.m_context) {}

  void Start(Tcp::socket socket) {
    const std::weak_ptr<Connection> weak = weak_from_this();
    m_stream = LineStream::Create(std::move(socket),
                                  {[weak](std::string_view line) {
                                     if (const auto self = weak.lock())
                                       self->m_lines.emplace_back(line);
                                     if (const auto self = weak.lock())
                                       self->Continue();
                                   },
                                   [weak](const std::string&) {
                                     if (const auto self = weak.lock())
                                       self->m_ended = true;
                                   }});
    m_stream->Start();
  }

  void Close() {
    m_open = false;
    m_timer.cancel();
    m_stream->Close();
  }
  void Detach() { m_standin = nullptr; }
  void Silence() { m_silenced = true; }

  // What an instance has read still runs when the other end has gone.
  bool is_open() const {
    const bool idle = m_lines.empty() && !m_running && !m_commit;
    return m_open && !(m_ended && (idle || m_silenced));
  }
  size_t instance() const { return m_instance; }

  void Continue() {
    if (!m_open || m_silenced || is_silent())
      return;
    if (m_commit)
      return ContinueCommit();
    if (m_running || m_lines.empty())
      return;
    constexpr uint64_t kLongestUs = 1'500;
    m_running = true;
    m_timer.expires_after(
        std::chrono::microseconds(100 + m_standin->m_random() % kLongestUs));
    m_timer.async_wait(
        [weak = weak_from_this()](boost::system::error_code error) {
          const auto self = weak.lock();
          if (error || !self || !self->m_standin)
            return;
          self->m_running = false;
          self->RunNext();
        });
  }

 private:
  GroupModel& model() { return m_standin->m_model; }
  bool is_silent() {
    return !m_standin || model().is_silent(m_instance) ||
           m_standin->m_cuts.contains({m_instance, m_gateway});
  }

  void RunNext() {
    if (!m_open || m_silenced || is_silent())
      return;
    const std::string line = std::move(m_lines.front());
    m_lines.pop_front();
    if (!m_started)
      return Startup(line);
    constexpr std::string_view kQuery = "QUERY ";
    if (!line.starts_with(kQuery))
      return Close();
    ++m_standin->m_statements;
    const size_t id_end = std::min(line.find(' ', kQuery.size()), line.size());
    GroupModel::Answer answer = model().Execute(
        m_instance, m_session,
        std::string_view(line).substr(std::min(id_end + 1, line.size())));
    m_answer = std::move(answer.lines);
    m_commit = answer.commit;
    if (!m_commit)
      SendAnswer();
  }

  void Startup(const std::string& line) {
    const std::string expected = "STARTUP " + model().name().value() +
                                 " jackdawturn " + model().IdOf(m_instance);
    const auto open = std::count_if(
        m_standin->m_connections.begin(), m_standin->m_connections.end(),
        [&](const auto& other) {
          return other->m_instance == m_instance && other->m_started;
        });
    if (line != expected) {
      m_stream->Write("ERROR MISROUTED -\r\n");
      return m_stream->CloseAfterWrite();
    }
    if (static_cast<size_t>(open) >= m_standin->m_connection_limit) {
      m_stream->Write("ERROR TOOMANY -\r\n");
      return m_stream->CloseAfterWrite();
    }
    m_started = true;
    m_stream->Write(model().ReadyLine(m_instance, m_session));
    Continue();
  }

  void ContinueCommit() {
    switch (model().StateOf(m_instance, *m_commit)) {
      case GroupModel::CommitState::kWaiting:
        return;
      case GroupModel::CommitState::kAbandoned:
        // Nobody knows what becomes of it, so nothing is promised.
        return Close();
      case GroupModel::CommitState::kReceived:
        m_commit.reset();
        SendAnswer();
    }
  }

  void SendAnswer() {
    m_stream->Write(m_answer + model().ReadyLine(m_instance, m_session));
    Continue();
  }

  GroupStandin* m_standin;
  const size_t m_instance;
  const size_t m_gateway;
  asio::steady_timer m_timer;
  std::shared_ptr<LineStream> m_stream;
  std::deque<std::string> m_lines;
  GroupModel::Session m_session;
  std::string m_answer;
  std::optional<gateway::CommitPosition> m_commit;
  bool m_open = true;
  bool m_ended = false;
  bool m_started = false;
  bool m_running = false;
  bool m_silenced = false;
};

Result<std::unique_ptr<GroupStandin>> GroupStandin::Create(
    asio::io_context& context,
    GroupModel& model,
    uint64_t seed,
    size_t connection_limit,
    size_t gateways) {
  std::unique_ptr<GroupStandin> standin(
      new GroupStandin(context, model, seed, connection_limit, gateways));
  TRY(standin->Listen());
  return standin;
}

GroupStandin::~GroupStandin() {
  for (const auto& connection : m_connections) {
    connection->Close();
    connection->Detach();
  }
}

Result<void> GroupStandin::Listen() {
  // Acceptors must not move once they wait for connections.
  m_acceptors.reserve(GroupModel::kInstances * m_gateways);
  for (size_t instance = 0; instance < GroupModel::kInstances; ++instance) {
    for (size_t gateway = 0; gateway < m_gateways; ++gateway) {
      TRY(Listen(instance, gateway));
    }
  }
  return Success();
}

Result<void> GroupStandin::Listen(size_t instance, size_t gateway) {
  // The first gateway's port is also that of the others' addresses.
  const uint16_t port = gateway == 0 ? uint16_t{0} : endpoint(instance, 0).port;
  TRY(const Tcp::endpoint address,
      ToTcpEndpoint({InstanceAddress(gateway), port}));
  Tcp::acceptor& acceptor = m_acceptors.emplace_back(m_context);
  boost::system::error_code error;
  acceptor.open(Tcp::v4(), error);
  if (!error)
    acceptor.bind(address, error);
  if (!error)
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error)
    return Failure(ErrorCode::kUnavailable, "soak.instance", "",
                   error.message());
  Accept(instance, gateway);
  return Success();
}

void GroupStandin::Accept(size_t instance, size_t gateway) {
  m_acceptors[instance * m_gateways + gateway].async_accept(
      [this, instance, gateway](boost::system::error_code error,
                                Tcp::socket socket) {
        if (error == asio::error::operation_aborted)
          return;
        // Nobody listens where an instance has ended.
        if (!error && m_model.is_running(instance)) {
          m_connections.push_back(
              std::make_shared<Connection>(*this, instance, gateway));
          m_connections.back()->Start(std::move(socket));
        }
        Accept(instance, gateway);
      });
}

Endpoint GroupStandin::endpoint(size_t instance, size_t gateway) const {
  const Tcp::acceptor& acceptor = m_acceptors[instance * m_gateways + gateway];
  return {InstanceAddress(gateway), acceptor.local_endpoint().port()};
}

void GroupStandin::ResetConnections(size_t instance) {
  for (const auto& connection : m_connections) {
    if (connection->instance() == instance)
      connection->Close();
  }
}

void GroupStandin::SilenceConnections(size_t instance) {
  for (const auto& connection : m_connections) {
    if (connection->instance() == instance)
      connection->Silence();
  }
}

void GroupStandin::Continue() {
  m_connections.remove_if(
      [](const auto& connection) { return !connection->is_open(); });
  const auto connections = m_connections;
  for (const auto& connection : connections)
    connection->Continue();
}

}  // namespace jackdawturn::soak
