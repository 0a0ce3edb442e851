#include "ports/relay_port.h"

#include <algorithm>
#include <map>
#include <unordered_map>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "ports/relay_connections.h"

namespace jackdawturn {

namespace {

using Tcp = boost::asio::ip::tcp;

constexpr Duration kFlushStep = std::chrono::milliseconds(1);
// Wait after an accept that failed, for example without file descriptors.
constexpr Duration kAcceptPause = std::chrono::milliseconds(10);

class TcpRelayPort : public RelayPort {
 public:
  TcpRelayPort(boost::asio::io_context& context,
               RelayPortOptions options,
               OnEvent on_event)
      : m_context(context),
        m_options(std::move(options)),
        m_on_event(std::move(on_event)),
        m_acceptor(context),
        m_pause(context) {}

  Result<void> Listen() {
    if (m_options.keys.empty())
      return Failure(ErrorCode::kInvalidArgument, "relay.listen", "",
                     "at least one fleet key is needed");
    TRY(const Tcp::endpoint endpoint, ToTcpEndpoint(m_options.listen));
    boost::system::error_code error;
    m_acceptor.open(endpoint.protocol(), error);
    if (!error)
      m_acceptor.set_option(boost::asio::socket_base::reuse_address(true),
                            error);
    if (!error)
      m_acceptor.bind(endpoint, error);
    if (!error)
      m_acceptor.listen(boost::asio::socket_base::max_listen_connections,
                        error);
    if (error)
      return Failure(ErrorCode::kUnavailable, "relay.listen",
                     m_options.listen.ToString(), error.message());
    m_endpoint = {m_options.listen.address, m_acceptor.local_endpoint().port()};
    Accept();
    return Success();
  }

  Endpoint endpoint() const override { return m_endpoint; }

  void Send(RelayCommand command) override {
    std::visit([this](const auto& item) { Do(item); }, command);
  }

  void Flush(Duration limit, std::function<void()> done) override {
    FlushUntil(MonotonicClock::now() + limit, std::move(done));
  }

 private:
  struct Arrival {
    std::weak_ptr<IncomingRelay> connection;
    uint64_t id = 0;
    bool is_read = false;
  };

  void Do(const SendRelay& send) {
    const auto refuse = [&](ErrorCode code, const char* message) {
      m_on_event(RelayEnded{
          send.call, Error{code, kRelaySendStep, send.to, message}, {}});
    };
    const auto found = m_outgoing.find(send.to);
    if (found != m_outgoing.end())
      return found->second->Send(send);
    const auto blocked = m_blocked_until.find(send.to);
    if (blocked != m_blocked_until.end()) {
      if (MonotonicClock::now() < blocked->second)
        return refuse(ErrorCode::kUnavailable, "could not be reached");
      m_blocked_until.erase(blocked);
    }
    const auto parsed = ParseEndpoint(send.to);
    if (!parsed)
      return refuse(ErrorCode::kUnavailable, "not an address");
    if (m_outgoing.size() >= m_options.connections)
      return refuse(ErrorCode::kExhausted, "too many connections");
    const auto relay = std::make_shared<OutgoingRelay>(
        m_context, m_options, send.to,
        OutgoingRelay::Hooks{
            [this](RelayEnded ended) { m_on_event(std::move(ended)); },
            [this, to = send.to](bool was_ready) {
              m_outgoing.erase(to);
              if (was_ready)
                return;
              if (m_blocked_until.size() >= m_options.connections)
                m_blocked_until.clear();
              m_blocked_until[to] =
                  MonotonicClock::now() + m_options.connect_backoff;
            }});
    m_outgoing[send.to] = relay;
    relay->Send(send);
    relay->Open(ToTcpEndpoint(parsed.value()).value());
  }

  void Do(const AnswerRelay& answer) {
    const auto found = m_arrivals.find(answer.arrival);
    if (found == m_arrivals.end())
      return;
    const Arrival arrival = std::move(found->second);
    m_arrivals.erase(found);
    if (const auto connection = arrival.connection.lock())
      connection->Answer({arrival.id, answer.reply, answer.stamp},
                         arrival.is_read, true);
  }

  void Accept() {
    m_acceptor.async_accept(
        [this](boost::system::error_code error, Tcp::socket socket) {
          if (error == boost::asio::error::operation_aborted)
            return;
          if (error) {
            m_pause.expires_after(kAcceptPause);
            return m_pause.async_wait([this](auto cancelled) {
              if (!cancelled)
                Accept();
            });
          }
          if (m_incoming.size() < m_options.connections)
            Take(std::move(socket));
          Accept();
        });
  }

  void Take(Tcp::socket socket) {
    const auto relay = std::make_shared<IncomingRelay>(
        m_context, std::move(socket), m_options,
        IncomingRelay::Hooks{
            [this](IncomingRelay& from, RelayRequestFrame frame) {
              const RelayArrival number = m_last_arrival =
                  m_last_arrival.Next();
              m_arrivals[number] = {
                  from.weak_from_this(), frame.id,
                  frame.request.operation == CallerOperation::kRead};
              m_on_event(RelayArrived{number, from.vm(),
                                      std::move(frame.request), frame.stamp});
            },
            [this](IncomingRelay& closed) { m_incoming.erase(&closed); }});
    m_incoming[relay.get()] = relay;
    relay->Start();
  }

  void FlushUntil(TimePoint end, std::function<void()> done) {
    const bool idle =
        std::all_of(m_incoming.begin(), m_incoming.end(),
                    [](const auto& item) { return item.second->idle(); });
    if (idle || MonotonicClock::now() >= end)
      return done();
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_context);
    timer->expires_after(kFlushStep);
    timer->async_wait([this, timer, end, done = std::move(done)](auto error) {
      if (!error)
        FlushUntil(end, done);
    });
  }

  boost::asio::io_context& m_context;
  const RelayPortOptions m_options;
  OnEvent m_on_event;
  Tcp::acceptor m_acceptor;
  boost::asio::steady_timer m_pause;
  Endpoint m_endpoint;
  // By address.
  std::map<std::string, std::shared_ptr<OutgoingRelay>> m_outgoing;
  std::map<std::string, TimePoint> m_blocked_until;
  std::unordered_map<IncomingRelay*, std::shared_ptr<IncomingRelay>> m_incoming;
  std::unordered_map<RelayArrival, Arrival> m_arrivals;
  RelayArrival m_last_arrival;
};

}  // namespace

Result<std::unique_ptr<RelayPort>> CreateTcpRelayPort(
    boost::asio::io_context& context,
    RelayPortOptions options,
    RelayPort::OnEvent on_event) {
  auto port = std::make_unique<TcpRelayPort>(context, std::move(options),
                                             std::move(on_event));
  TRY(port->Listen());
  return std::unique_ptr<RelayPort>(std::move(port));
}

}  // namespace jackdawturn
