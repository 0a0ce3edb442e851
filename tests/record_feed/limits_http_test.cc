#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>

#include "http/http.h"
#include "record_feed/record_feed.h"

#include "support/table_test.h"

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

// Far beyond the time of an exchange on loopback.
constexpr Duration kTimeout = 10s;

// A proxy that answers each question with the number of operations it is
// about, and a client of it.
struct Fixture {
  boost::asio::io_context context;
  std::unique_ptr<HttpServer> server;
  AskLimitsOfPeer ask = CreatePeerLimitsClient(context);
  Peer peer;
  unsigned status = kHttpOk;

  Fixture() { Serve({"127.0.0.1", 0}); }

  void Serve(const Endpoint& endpoint) {
    server = HttpServer::Create(
                 context, endpoint, {},
                 [this](const HttpRequest& request,
                        const HttpServer::Respond& respond) {
                   const auto question = DecodeLimitQuestion(request.body);
                   cr_assert_eq(request.target, std::string(kLimitsPath));
                   cr_assert(question.has_value());
                   respond({.status = status,
                            .body = EncodeLimitAnswer(
                                {.granted = question.value().needed})});
                 },
                 nullptr)
                 .value();
    peer.records_address = server->endpoint().ToString();
  }

  Result<LimitAnswer> Ask(size_t needed) {
    std::optional<Result<LimitAnswer>> result;
    ask(peer,
        {.customer = CustomerName("museum"),
         .needed = needed,
         .wanted = needed},
        kTimeout, [&](const Result<LimitAnswer>& answer) {
          result = answer;
          context.stop();
        });
    context.restart();
    context.run();
    return *result;
  }
};

}  // namespace

// Guards against answers of other versions, or of other servers at an address
// that is used again, that are taken for permits.
struct StatusCase {
  unsigned status;
  std::optional<ErrorCode> error;
};

static const StatusCase kStatuses[] = {
    {kHttpOk, std::nullopt},
    {kHttpBadRequest, ErrorCode::kNotFound},
    {kHttpUnavailable, ErrorCode::kNotFound},
};

TABLE_TEST(limits_http, answers_by_their_status, kStatuses) {
  const StatusCase& row = kStatuses[*row_index];
  Fixture fixture;
  fixture.status = row.status;
  const auto answer = fixture.Ask(3);
  cr_assert_eq(answer.has_value(), !row.error);
  if (row.error)
    cr_expect_eq(answer.error().code, *row.error);
  else
    cr_expect_eq(answer.value().granted, 3U);
}

// Guards against a proxy that is suspected because it has closed a connection
// that was kept, as after a restart.
Test(limits_http, kept_connection_that_was_closed_is_replaced) {
  Fixture fixture;
  cr_assert(fixture.Ask(1).has_value());
  const Endpoint endpoint = fixture.server->endpoint();
  fixture.server->CloseAll();
  fixture.server.reset();
  fixture.Serve(endpoint);
  const auto answer = fixture.Ask(2);
  cr_assert(answer.has_value());
  cr_expect_eq(answer.value().granted, 2U);
}

// Guards against a wait for a process that does not run.
Test(limits_http, refused_connection_is_told_at_once) {
  Fixture fixture;
  fixture.server.reset();
  const auto answer = fixture.Ask(1);
  cr_assert_not(answer.has_value());
  cr_expect_eq(answer.error().code, ErrorCode::kUnavailable);
}

}  // namespace jackdawturn::gateway
