#include <array>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>

#include "ports/datagram_port.h"

namespace jackdawturn {

namespace {

using Udp = boost::asio::ip::udp;

// Longer datagrams than the protocol allows are cut here and refused by the
// codec.
constexpr size_t kReceiveBytes = 2'048;

// The receiving side. The handler of a datagram that has arrived runs even when
// its port has been destroyed, so it must not outlive what it uses.
struct Receiver : std::enable_shared_from_this<Receiver> {
  Receiver(boost::asio::io_context& context,
           DatagramPort::OnDatagram on_datagram_hook)
      : socket(context), on_datagram(std::move(on_datagram_hook)) {}

  void Receive() {
    socket.async_receive_from(
        boost::asio::buffer(buffer), sender,
        [self = shared_from_this()](boost::system::error_code error,
                                    size_t size) {
          if (!self->socket.is_open() ||
              error == boost::asio::error::operation_aborted)
            return;
          if (!error) {
            const Endpoint from{self->sender.address().to_string(),
                                self->sender.port()};
            self->on_datagram(from.ToString(),
                              std::string(self->buffer.data(), size));
          }
          // The hook may have destroyed the port.
          if (self->socket.is_open())
            self->Receive();
        });
  }

  Udp::socket socket;
  Udp::endpoint sender;
  std::array<char, kReceiveBytes> buffer{};
  DatagramPort::OnDatagram on_datagram;
};

class UdpPort : public DatagramPort {
 public:
  UdpPort(boost::asio::io_context& context, OnDatagram on_datagram)
      : m_receiver(
            std::make_shared<Receiver>(context, std::move(on_datagram))) {}

  ~UdpPort() override {
    boost::system::error_code ignored;
    m_receiver->socket.close(ignored);
  }

  Result<void> Open(const Endpoint& listen) {
    TRY(const auto address, ToTcpEndpoint(listen));
    const Udp::endpoint endpoint(address.address(), address.port());
    boost::system::error_code error;
    m_receiver->socket.open(endpoint.protocol(), error);
    if (!error)
      m_receiver->socket.bind(endpoint, error);
    if (error)
      return Failure(ErrorCode::kUnavailable, "udp.listen", listen.ToString(),
                     error.message());
    m_receiver->socket.non_blocking(true, error);
    m_endpoint = {listen.address, m_receiver->socket.local_endpoint().port()};
    m_receiver->Receive();
    return Success();
  }

  Endpoint endpoint() const override { return m_endpoint; }

  void Send(const std::string& to, const std::string& bytes) override {
    const auto parsed = ParseEndpoint(to);
    if (!parsed)
      return;
    const auto address = ToTcpEndpoint(parsed.value());
    boost::system::error_code ignored;
    m_receiver->socket.send_to(
        boost::asio::buffer(bytes),
        Udp::endpoint(address.value().address(), address.value().port()), 0,
        ignored);
  }

 private:
  std::shared_ptr<Receiver> m_receiver;
  Endpoint m_endpoint;
};

}  // namespace

Result<std::unique_ptr<DatagramPort>> DatagramPort::Create(
    boost::asio::io_context& context,
    const Endpoint& listen,
    OnDatagram on_datagram) {
  auto port = std::make_unique<UdpPort>(context, std::move(on_datagram));
  TRY(port->Open(listen));
  return std::unique_ptr<DatagramPort>(std::move(port));
}

}  // namespace jackdawturn
