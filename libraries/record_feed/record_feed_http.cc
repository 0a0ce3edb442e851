#include <map>
#include <memory>
#include <utility>

#include "record_feed/record_feed.h"

namespace jackdawturn::gateway {

namespace {

// One for each collection that is watched.
constexpr size_t kConnections = 3;
// How much later than its end a watch may answer.
constexpr Duration kWatchSlack = std::chrono::milliseconds(400);

Error ErrorOf(const HttpResponse& response) {
  const ErrorCode code = response.status == kHttpNotFound
                             ? ErrorCode::kNotFound
                             : ErrorCode::kUnavailable;
  return Error{code, "record_feed.watch", "",
               "status " + std::to_string(response.status)};
}

// The connections to the proxy that is followed.
class PeerWatcher {
 public:
  explicit PeerWatcher(boost::asio::io_context& context) : m_context(context) {}

  void Watch(const Peer& peer,
             const RecordFeedRequest& request,
             std::function<void(Result<RecordChanges>)> on_changes) {
    const auto endpoint = ParseEndpoint(peer.records_address);
    if (!endpoint)
      return on_changes(endpoint.error());
    if (!m_client || m_client->endpoint() != endpoint.value())
      m_client = std::make_shared<HttpClient>(m_context, endpoint.value(),
                                              kConnections);
    // The client is kept until the answer, also if another one replaces it.
    m_client->Send("GET", EncodeFeedTarget(request), "",
                   request.wait + kWatchSlack,
                   [client = m_client, on_changes = std::move(on_changes)](
                       const Result<HttpResponse>& response) {
                     if (!response)
                       return on_changes(response.error());
                     if (response.value().status != kHttpOk)
                       return on_changes(ErrorOf(response.value()));
                     on_changes(DecodeRecordChanges(response.value().body));
                   });
  }

 private:
  boost::asio::io_context& m_context;
  std::shared_ptr<HttpClient> m_client;
};

}  // namespace

WatchAtPeer CreatePeerWatcher(boost::asio::io_context& context) {
  auto watcher = std::make_shared<PeerWatcher>(context);
  return [watcher](const Peer& peer, RecordCollection collection,
                   uint64_t revision, Duration wait,
                   std::function<void(Result<RecordChanges>)> on_changes) {
    watcher->Watch(peer, {collection, revision, wait}, std::move(on_changes));
  };
}

void ServeRecordFeed(SharedWatches& watches,
                     const HttpRequest& request,
                     const HttpServer::Respond& respond) {
  const auto target = DecodeFeedTarget(request.target);
  if (!target)
    return respond({.status = target.error().code == ErrorCode::kNotFound
                                  ? kHttpNotFound
                                  : kHttpBadRequest,
                    .body = ""});
  watches.Serve(
      target.value().collection, target.value().revision, target.value().wait,
      [respond](const Result<RecordChanges>& changes) {
        if (changes)
          return respond({.body = EncodeRecordChanges(changes.value())});
        respond({.status = changes.error().code == ErrorCode::kNotFound
                               ? kHttpNotFound
                               : kHttpUnavailable,
                 .body = ""});
      });
}

}  // namespace jackdawturn::gateway
