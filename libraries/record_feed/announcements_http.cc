#include <memory>
#include <utility>

#include "record_feed/record_feed.h"

namespace jackdawturn::gateway {

namespace {

constexpr const char* kStep = "announcement.send";

Result<AnnouncementAnswer> AnswerOf(const Result<HttpResponse>& response) {
  if (!response)
    return response.error();
  const unsigned status = response.value().status;
  if (status == kHttpOk)
    return DecodeAnnouncementAnswer(response.value().body);
  return Failure(ErrorCode::kNotFound, kStep, "",
                 "status " + std::to_string(status));
}

}  // namespace

AnnounceToPeer CreatePeerAnnouncer(boost::asio::io_context& context) {
  return [&context](const Peer& peer, const ChangeAnnouncement& announcement,
                    Duration timeout,
                    std::function<void(Result<AnnouncementAnswer>)> on_answer) {
    const auto endpoint = ParseEndpoint(peer.records_address);
    if (!endpoint)
      return on_answer(endpoint.error());
    // Changes are rare, so no connection is kept.
    const auto client =
        std::make_shared<HttpClient>(context, endpoint.value(), 1);
    client->Send("POST", std::string(kAnnouncementPath),
                 EncodeAnnouncement(announcement), timeout,
                 [client, on_answer = std::move(on_answer)](
                     const Result<HttpResponse>& response) {
                   on_answer(AnswerOf(response));
                 });
  };
}

void ServeAnnouncement(GatewayHost& host,
                       const HttpRequest& request,
                       const HttpServer::Respond& respond) {
  const auto announcement = DecodeAnnouncement(request.body);
  if (request.method != "POST" || !announcement)
    return respond({.status = kHttpBadRequest, .body = ""});
  respond({.body = EncodeAnnouncementAnswer(
               host.ChangeAnnounced(announcement.value()))});
}

}  // namespace jackdawturn::gateway
