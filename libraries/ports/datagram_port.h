#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "core/core.h"
#include "http/http.h"

namespace jackdawturn {

// A UDP socket of this proxy. Thread safety: Send and the hook run on the
// thread of the io_context.
class DatagramPort {
 public:
  // `from` is "IP:PORT".
  using OnDatagram =
      std::function<void(const std::string& from, std::string bytes)>;

  // Errors: kInvalidArgument, kUnavailable (the address is in use).
  static Result<std::unique_ptr<DatagramPort>> Create(
      boost::asio::io_context& context,
      const Endpoint& listen,
      OnDatagram on_datagram);
  virtual ~DatagramPort() = default;

  virtual Endpoint endpoint() const = 0;
  // Sends without a guarantee of delivery; a bad address is ignored.
  virtual void Send(const std::string& to, const std::string& bytes) = 0;
};

}  // namespace jackdawturn
