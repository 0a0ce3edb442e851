#pragma once

// Public header of the library record_feed: what proxies tell each other of the
// records of the store, over HTTP and JSON. They watch collections at another
// proxy, and announce changes of a primary.

#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>

#include "gateway/gateway.h"
#include "http/http.h"

namespace jackdawturn::gateway {

// The path of all feeds; that of a collection is "/records/NAME".
inline constexpr std::string_view kRecordFeedPath = "/records/";

// The text of the answer to a watch, and what it says. Errors:
// kInvalidArgument. Thread-safe.
std::string EncodeRecordChanges(const RecordChanges& changes);
Result<RecordChanges> DecodeRecordChanges(const std::string& text);

// A watch of a collection at another proxy.
struct RecordFeedRequest {
  RecordCollection collection = RecordCollection::kConfiguration;
  uint64_t revision = 0;
  Duration wait{0};
};

// The path and query of a request, and what they say. Errors: kNotFound (no
// such collection), kInvalidArgument. Thread-safe.
std::string EncodeFeedTarget(const RecordFeedRequest& request);
Result<RecordFeedRequest> DecodeFeedTarget(const std::string& target);

// Returns a function that watches collections at the records addresses of other
// proxies. It and all callbacks run on the thread of `context`, which outlives
// it.
WatchAtPeer CreatePeerWatcher(boost::asio::io_context& context);

// The path to which changes of a primary are announced.
inline constexpr std::string_view kAnnouncementPath = "/changes";

// Returns a function that announces changes of a primary at the records
// addresses of other proxies. It and all callbacks run on the thread of
// `context`, which outlives it.
AnnounceToPeer CreatePeerAnnouncer(boost::asio::io_context& context);

// Passes an announcement on to `host` and answers it. Runs on the thread of
// `host`.
void ServeAnnouncement(GatewayHost& host,
                       const HttpRequest& request,
                       const HttpServer::Respond& respond);

// The path to which questions about rate limits are sent.
inline constexpr std::string_view kLimitsPath = "/limits";

// Returns a function that asks about rate limits at the records addresses of
// other proxies, over connections that are kept. It and all callbacks run on
// the thread of `context`, which outlives it.
AskLimitsOfPeer CreatePeerLimitsClient(boost::asio::io_context& context);

// Passes a question about a rate limit on to `host` and answers it. Runs on the
// thread of `host`.
void ServeLimitQuestion(GatewayHost& host,
                        const HttpRequest& request,
                        const HttpServer::Respond& respond);

// Answers a request for a feed from `watches`. Runs on the thread of `watches`.
void ServeRecordFeed(SharedWatches& watches,
                     const HttpRequest& request,
                     const HttpServer::Respond& respond);

}  // namespace jackdawturn::gateway
