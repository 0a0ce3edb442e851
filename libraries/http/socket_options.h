#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace jackdawturn {

// Turns off the delay of small segments, and lets the kernel end connections
// whose other end has silently gone. Errors are ignored: a socket without these
// options still works, and every request has a timeout. Thread-safe for
// different sockets.
void SetSocketOptions(boost::asio::ip::tcp::socket& socket);

}  // namespace jackdawturn
