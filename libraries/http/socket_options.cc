#include "http/socket_options.h"

#include <netinet/tcp.h>

namespace jackdawturn {

namespace {

namespace asio = boost::asio;
template <int Name>
using TcpOption = asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;
constexpr int kUserTimeoutMilliseconds = 3'000;

}  // namespace

void SetSocketOptions(asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(TcpOption<TCP_KEEPIDLE>(kKeepAliveIdleSeconds), ignored);
  socket.set_option(TcpOption<TCP_KEEPINTVL>(kKeepAliveIntervalSeconds),
                    ignored);
  socket.set_option(TcpOption<TCP_KEEPCNT>(kKeepAliveProbes), ignored);
  socket.set_option(TcpOption<TCP_USER_TIMEOUT>(kUserTimeoutMilliseconds),
                    ignored);
}

}  // namespace jackdawturn
