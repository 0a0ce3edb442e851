#include "http/http_types.h"

#include <algorithm>
#include <charconv>

#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/string.hpp>

namespace jackdawturn {

std::optional<std::string_view> HttpResponse::Header(
    std::string_view name) const {
  const auto found =
      std::find_if(headers.begin(), headers.end(), [name](const auto& header) {
        return boost::beast::iequals(header.first, name);
      });
  if (found == headers.end())
    return std::nullopt;
  return found->second;
}

Result<Endpoint> ParseEndpoint(const std::string& text) {
  const auto fail = [&text] {
    return Failure(ErrorCode::kInvalidArgument, "endpoint.parse", "",
                   "not an IP address and port: " + text);
  };
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos)
    return fail();
  Endpoint endpoint;
  endpoint.address = text.substr(0, colon);
  if (endpoint.address.size() > 2 && endpoint.address.front() == '[' &&
      endpoint.address.back() == ']')
    endpoint.address = endpoint.address.substr(1, endpoint.address.size() - 2);
  const char* end = text.data() + text.size();
  const auto [rest, error] =
      std::from_chars(text.data() + colon + 1, end, endpoint.port);
  if (error != std::errc() || rest != end)
    return fail();
  TRY(ToTcpEndpoint(endpoint));
  return endpoint;
}

Result<boost::asio::ip::tcp::endpoint> ToTcpEndpoint(const Endpoint& endpoint) {
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(endpoint.address, error);
  if (error)
    return Failure(ErrorCode::kInvalidArgument, "endpoint.parse", "",
                   "not an IP address: " + endpoint.address);
  return boost::asio::ip::tcp::endpoint(address, endpoint.port);
}

}  // namespace jackdawturn
