#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "core/core.h"

namespace jackdawturn {

// An IP address and port; processes address each other by IP numbers.
struct Endpoint {
  std::string address;
  uint16_t port = 0;

  std::string ToString() const { return address + ":" + std::to_string(port); }
  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

// Parses "127.0.0.1:80" or "[::1]:80". Errors: kInvalidArgument. Thread-safe.
Result<Endpoint> ParseEndpoint(const std::string& text);

// Converts to the type of Boost.Asio. Errors: kInvalidArgument. Thread-safe.
Result<boost::asio::ip::tcp::endpoint> ToTcpEndpoint(const Endpoint& endpoint);

// Names and values of further headers of a request or an answer.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

struct HttpRequest {
  std::string method;
  // Path and query, as received.
  std::string target;
  std::string body;
  // Value of the header "Authorization"; empty when absent.
  std::string authorization;
  // Number of the connection, unique during the life of the server.
  uint64_t connection = 0;
  // IP address of the other end.
  std::string remote_address;
};

struct HttpResponse {
  unsigned status = 200;
  std::string body;
  std::string content_type = "application/json";
  // Sent beside those that the server sets itself; when received, all headers.
  HttpHeaders headers = {};

  // Returns the value of a header, ignoring the case of its name, or nullopt.
  std::optional<std::string_view> Header(std::string_view name) const;
};

// HTTP status codes that the project uses (RFC 9110, section 15).
inline constexpr unsigned kHttpOk = 200;
inline constexpr unsigned kHttpBadRequest = 400;
inline constexpr unsigned kHttpUnauthorized = 401;
inline constexpr unsigned kHttpNotFound = 404;
inline constexpr unsigned kHttpConflict = 409;
inline constexpr unsigned kHttpGone = 410;
inline constexpr unsigned kHttpPayloadTooLarge = 413;
inline constexpr unsigned kHttpTooManyRequests = 429;
inline constexpr unsigned kHttpInternal = 500;
inline constexpr unsigned kHttpUnavailable = 503;
inline constexpr unsigned kHttpTimeout = 504;

}  // namespace jackdawturn
