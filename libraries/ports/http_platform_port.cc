#include <utility>

#include "ports/platform_port.h"

namespace jackdawturn {

namespace {

// Watches hold a connection while they wait, so there is room for several.
constexpr size_t kMaxConnections = 16;

class HttpPlatformPort : public PlatformPort {
 public:
  HttpPlatformPort(boost::asio::io_context& context,
                   const Endpoint& endpoint,
                   OnEvent on_event)
      : m_client(context, endpoint, kMaxConnections),
        m_on_event(std::make_shared<OnEvent>(std::move(on_event))) {}

  void Send(CallPlatform call) override {
    const std::string target = TargetOf(call.request);
    const std::string body = EncodeRequest(call.request);
    const std::weak_ptr<OnEvent> on_event = m_on_event;
    m_client.Send("POST", target, body, call.timeout,
                  [on_event, number = call.call, request = call.request](
                      const Result<HttpResponse>& response) {
                    const auto emit = on_event.lock();
                    if (!emit)
                      return;
                    (*emit)({number, Decode(request, response)});
                  });
  }

 private:
  static Result<PlatformResponse> Decode(const PlatformRequest& request,
                                         const Result<HttpResponse>& response) {
    if (!response) {
      Error error = response.error();
      error.peer = "platform";
      return error;
    }
    return DecodeResponse(request, response.value());
  }

  HttpClient m_client;
  std::shared_ptr<OnEvent> m_on_event;
};

}  // namespace

std::unique_ptr<PlatformPort> CreateHttpPlatformPort(
    boost::asio::io_context& context,
    const Endpoint& endpoint,
    PlatformPort::OnEvent on_event) {
  return std::make_unique<HttpPlatformPort>(context, endpoint,
                                            std::move(on_event));
}

}  // namespace jackdawturn
