#include <functional>
#include <string>

#include "http/http.h"

#include <criterion/criterion.h>

namespace jackdawturn {

namespace asio = boost::asio;

static const Endpoint kLoopback{"127.0.0.1", 0};
static constexpr Duration kTimeout = std::chrono::seconds(10);

// Runs the context until `done` is true.
static void RunUntil(asio::io_context& context, const bool& done) {
  while (!done)
    context.run_one();
}

// Guards against answers that reach another request when they come out of
// order.
Test(http, answers_match_their_requests) {
  asio::io_context context;
  std::vector<std::function<void()>> held;
  auto server =
      HttpServer::Create(
          context, kLoopback, {},
          [&](HttpRequest request, HttpServer::Respond respond) {
            held.push_back([request, respond] {
              respond({kHttpOk, "answer to " + request.body});
            });
            if (held.size() < 3)
              return;
            for (auto item = held.rbegin(); item != held.rend(); ++item)
              (*item)();
          },
          nullptr)
          .value();
  HttpClient client(context, server->endpoint(), 3);
  int answered = 0;
  bool done = false;
  for (const std::string body : {"a", "b", "c"}) {
    client.Send("POST", "/", body, kTimeout,
                [&, body](Result<HttpResponse> response) {
                  cr_assert(response.has_value());
                  cr_assert(response.value().body == "answer to " + body);
                  done = ++answered == 3;
                });
  }
  RunUntil(context, done);
}

// Guards against a body that uses up the memory of the server.
Test(http, large_bodies_are_refused) {
  asio::io_context context;
  HttpServerLimits limits;
  limits.body_bytes = 10;
  auto server = HttpServer::Create(
                    context, kLoopback, limits,
                    [](HttpRequest, HttpServer::Respond respond) {
                      respond({kHttpOk, ""});
                    },
                    nullptr)
                    .value();
  HttpClient client(context, server->endpoint(), 1);
  bool done = false;
  client.Send("POST", "/", std::string(11, 'x'), kTimeout,
              [&](Result<HttpResponse> response) {
                cr_assert(response.has_value());
                cr_assert_eq(response.value().status, kHttpPayloadTooLarge);
                done = true;
              });
  RunUntil(context, done);
}

// Guards against one caller address that takes all of the server's time.
Test(http, requests_beyond_the_rate_are_refused) {
  asio::io_context context;
  HttpServerLimits limits;
  // One request at once, and no other for years.
  limits.requests_per_second = 1e-9;
  int handled = 0;
  auto server = HttpServer::Create(
                    context, kLoopback, limits,
                    [&](HttpRequest, HttpServer::Respond respond) {
                      ++handled;
                      respond({kHttpOk, ""});
                    },
                    nullptr)
                    .value();
  HttpClient client(context, server->endpoint(), 1);
  bool done = false;
  int refused = 0;
  int answered = 0;
  constexpr int kRequests = 50;
  for (int index = 0; index < kRequests; ++index) {
    client.Send("GET", "/", "", kTimeout, [&](Result<HttpResponse> response) {
      refused += response.value().status == kHttpTooManyRequests ? 1 : 0;
      done = ++answered == kRequests;
    });
  }
  RunUntil(context, done);
  cr_assert_eq(handled, 1);
  cr_assert_eq(refused, kRequests - 1);
}

// Guards against a proxy that drains and never ends, because callers send their
// next request on the connection that they have.
Test(http, connections_close_after_their_answers) {
  asio::io_context context;
  bool closed = false;
  auto server = HttpServer::Create(
                    context, kLoopback, {},
                    [](HttpRequest, HttpServer::Respond respond) {
                      respond({kHttpOk, "served"});
                    },
                    [&](uint64_t) { closed = true; })
                    .value();
  HttpClient client(context, server->endpoint(), 1);
  bool done = false;
  const auto ask = [&] {
    done = false;
    client.Send("POST", "/", "x", kTimeout, [&](Result<HttpResponse> response) {
      cr_assert(response.has_value());
      cr_assert_str_eq(response.value().body.c_str(), "served");
      done = true;
    });
    RunUntil(context, done);
  };
  ask();
  cr_assert_eq(server->connections(), 1);
  server->CloseAfterAnswers();
  ask();
  RunUntil(context, closed);
  cr_assert_eq(server->connections(), 0);
  // A client that comes all the same is served over a new connection.
  ask();
}

// Guards against a dead server that is taken for one that may have done work.
Test(http, refused_connections_are_told_from_lost_answers) {
  asio::io_context context;
  auto server = HttpServer::Create(
                    context, kLoopback, {},
                    [](HttpRequest, HttpServer::Respond) {}, nullptr)
                    .value();
  const Endpoint endpoint = server->endpoint();
  HttpClient client(context, endpoint, 1);
  bool done = false;
  client.Send("POST", "/", "x", std::chrono::milliseconds(20),
              [&](Result<HttpResponse> response) {
                cr_assert(response.error().code == ErrorCode::kTimeout);
                done = true;
              });
  RunUntil(context, done);
  server.reset();
  done = false;
  client.Send("POST", "/", "x", kTimeout, [&](Result<HttpResponse> response) {
    cr_assert(response.error().code == ErrorCode::kUnavailable);
    done = true;
  });
  RunUntil(context, done);
}

}  // namespace jackdawturn
