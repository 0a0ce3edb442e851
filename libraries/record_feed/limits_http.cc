#include <map>
#include <memory>
#include <string>
#include <utility>

#include "record_feed/record_feed.h"

namespace jackdawturn::gateway {

namespace {

constexpr const char* kStep = "limits.ask";
// Questions to one proxy that are in flight at the same time; more wait. One a
// customer is in flight, and some go in between for votes and loans.
constexpr size_t kConnectionsPerPeer = 4;
// A kept connection that the proxy has closed since fails with the first
// question; each one may be such.
constexpr size_t kMaxAttempts = kConnectionsPerPeer + 1;
// Connections to more proxies than this are not kept.
constexpr size_t kMaxKeptPeers = 256;

Result<LimitAnswer> AnswerOf(const Result<HttpResponse>& response) {
  if (!response)
    return response.error();
  const unsigned status = response.value().status;
  if (status == kHttpOk)
    return DecodeLimitAnswer(response.value().body);
  return Failure(ErrorCode::kNotFound, kStep, "",
                 "status " + std::to_string(status));
}

// Connections to proxies by their address.
class PeerClients {
 public:
  explicit PeerClients(boost::asio::io_context& context) : m_context(context) {}

  Result<std::shared_ptr<HttpClient>> Find(const std::string& address) {
    const auto known = m_clients.find(address);
    if (known != m_clients.end())
      return known->second;
    TRY(const Endpoint endpoint, ParseEndpoint(address));
    // Requests in flight keep their client.
    if (m_clients.size() >= kMaxKeptPeers)
      m_clients.clear();
    return m_clients[address] = std::make_shared<HttpClient>(
               m_context, endpoint, kConnectionsPerPeer);
  }

 private:
  boost::asio::io_context& m_context;
  std::map<std::string, std::shared_ptr<HttpClient>> m_clients;
};

// One question, which may need several attempts.
struct PeerCall {
  std::shared_ptr<HttpClient> client;
  std::string body;
  TimePoint deadline;
  OnLimitAnswer on_answer;
  size_t attempts = 0;
};

void Send(const std::shared_ptr<PeerCall>& call) {
  ++call->attempts;
  const Duration left = call->deadline - MonotonicClock::now();
  call->client->Send("POST", std::string(kLimitsPath), call->body, left,
                     [call](const Result<HttpResponse>& response) {
                       const bool closed =
                           !response &&
                           response.error().code == ErrorCode::kTimeout &&
                           MonotonicClock::now() < call->deadline;
                       // A question that was answered twice costs permits, not
                       // the limit.
                       if (closed && call->attempts < kMaxAttempts)
                         return Send(call);
                       call->on_answer(AnswerOf(response));
                     });
}

}  // namespace

AskLimitsOfPeer CreatePeerLimitsClient(boost::asio::io_context& context) {
  return [clients = std::make_shared<PeerClients>(context)](
             const Peer& peer, const LimitQuestion& question, Duration timeout,
             OnLimitAnswer on_answer) {
    const auto client = clients->Find(peer.records_address);
    if (!client)
      return on_answer(client.error());
    const auto call = std::make_shared<PeerCall>(
        PeerCall{.client = client.value(),
                 .body = EncodeLimitQuestion(question),
                 .deadline = MonotonicClock::now() + timeout,
                 .on_answer = std::move(on_answer)});
    Send(call);
  };
}

void ServeLimitQuestion(GatewayHost& host,
                        const HttpRequest& request,
                        const HttpServer::Respond& respond) {
  const auto question = DecodeLimitQuestion(request.body);
  if (request.method != "POST" || !question)
    return respond({.status = kHttpBadRequest, .body = ""});
  host.AnswerLimitQuestion(question.value(),
                           [respond](const LimitAnswer& answer) {
                             respond({.body = EncodeLimitAnswer(answer)});
                           });
}

}  // namespace jackdawturn::gateway
