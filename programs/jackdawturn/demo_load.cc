#include "demo_load.h"

#include <algorithm>
#include <future>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

namespace jackdawturn {

namespace {

constexpr Duration kResolvePause = std::chrono::milliseconds(50);
constexpr size_t kConnectionsPerProxy = 64;
// Share of requests that write, in percent.
constexpr uint64_t kWritePercent = 30;
// Share of transactions in the same total.
constexpr uint64_t kTransactionPercent = 10;
constexpr uint64_t kHundred = 100;

}  // namespace

WallTime DemoLoad::Now() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

DemoLoad::DemoLoad(DemoLoadOptions options) : m_options(std::move(options)) {
  // Classes that may be repeated stand for reads in the examples.
  for (const auto& [name, target] : m_options.classes)
    (target.repeatable ? m_read_classes : m_write_classes).push_back(name);
  VERIFY(!m_read_classes.empty() && !m_write_classes.empty());
  for (const Endpoint& proxy : m_options.proxies)
    m_clients.push_back(
        std::make_unique<HttpClient>(m_context, proxy, kConnectionsPerProxy));
  for (size_t index = 0; index < m_options.callers; ++index) {
    auto caller = std::make_unique<Caller>();
    caller->key = "caller-" + std::to_string(index + 1);
    caller->random.seed(m_options.seed + index);
    caller->next_proxy = index;
    caller->timer = std::make_unique<boost::asio::steady_timer>(m_context);
    m_callers.push_back(std::move(caller));
  }
}

DemoLoad::~DemoLoad() {
  m_context.stop();
  if (m_thread.joinable())
    m_thread.join();
}

void DemoLoad::Start() {
  boost::asio::post(m_context, [this] {
    for (const auto& caller : m_callers)
      Next(*caller);
  });
  m_thread = std::thread([this] {
    const auto work = boost::asio::make_work_guard(m_context);
    m_context.run();
  });
}

DemoTally DemoLoad::Finish(Duration limit) {
  boost::asio::post(m_context, [this, limit] {
    m_finishing = true;
    m_give_up = MonotonicClock::now() + limit;
  });
  constexpr Duration kPoll = std::chrono::milliseconds(10);
  bool all_idle = false;
  while (!all_idle) {
    std::this_thread::sleep_for(kPoll);
    std::promise<bool> idle;
    boost::asio::post(m_context, [&] {
      idle.set_value(
          std::all_of(m_callers.begin(), m_callers.end(),
                      [](const auto& caller) { return caller->idle; }));
    });
    all_idle = idle.get_future().get();
  }
  m_context.stop();
  m_thread.join();
  return m_tally;
}

void DemoLoad::Pause(Caller& caller, Duration delay) {
  caller.timer->expires_after(delay);
  caller.timer->async_wait([this, &caller](boost::system::error_code error) {
    if (!error)
      Next(caller);
  });
}

void DemoLoad::Next(Caller& caller) {
  if (m_finishing) {
    caller.idle = true;
    return;
  }
  if (caller.random() % kHundred < kTransactionPercent)
    return BeginTransaction(caller);
  Send(caller, MakeRequest(caller), 1, true);
}

CallerRequest DemoLoad::MakeRequest(Caller& caller) {
  const auto pick = [&caller](const auto& items) {
    return items[caller.random() % items.size()];
  };
  CallerRequest request;
  request.group = pick(m_options.groups);
  request.token = caller.token;
  request.deadline = kDeadline;
  if (caller.random() % kHundred < kWritePercent) {
    request.operation = CallerOperation::kWrite;
    request.class_name = pick(m_write_classes);
    request.request = MakeRequestId(Now(), caller.random());
    request.statement = "add " + caller.key + " 1";
  } else {
    request.operation = CallerOperation::kRead;
    request.class_name = pick(m_read_classes);
    request.statement = "get " + caller.key;
  }
  return request;
}

HttpClient& DemoLoad::NextProxy(Caller& caller) {
  return *m_clients[++caller.next_proxy % m_clients.size()];
}

void DemoLoad::Send(Caller& caller,
                    const CallerRequest& request,
                    uint64_t amount,
                    bool first) {
  NextProxy(caller).Send("POST", TargetOf(request.operation),
                         EncodeRequest(request), kClientTimeout,
                         [this, &caller, request, amount,
                          first](const Result<HttpResponse>& response) {
                           Answered(caller, request, amount, first, response);
                         });
}

ClassCounts& DemoLoad::CountsOf(const CallerRequest& request) {
  return request.transaction.empty() ? m_tally.classes[request.class_name]
                                     : m_tally.transactions;
}

void DemoLoad::Answered(Caller& caller,
                        CallerRequest request,
                        uint64_t amount,
                        bool first,
                        const Result<HttpResponse>& response) {
  ClassCounts& counts = CountsOf(request);
  const bool write = request.operation != CallerOperation::kRead;
  const Result<CallerAnswer> decoded =
      response ? DecodeAnswer(response.value())
               : Result<CallerAnswer>(response.error());
  if (!decoded) {
    // The proxy was not reached or its answer was lost.
    if (write)
      return Resolve(caller, std::move(request), amount);
    ++counts.not_run;
    ++m_tally.refusals[decoded.error().step];
    return Pause(caller, m_options.pause);
  }
  const CallerAnswer& answer = decoded.value();
  if (!answer.token.empty())
    caller.token = answer.token;
  switch (answer.outcome) {
    case CallerOutcome::kDone:
      ++counts.done;
      if (write) {
        m_tally.writes[request.group][caller.key] += amount;
        caller.written[request.group] += amount;
      } else {
        CheckRead(caller, request, answer);
      }
      break;
    case CallerOutcome::kNotRun:
      ++counts.not_run;
      ++m_tally.refusals[answer.reason];
      break;
    case CallerOutcome::kUnknown:
      ++m_tally.open_outcomes[answer.reason];
      if (first)
        ++counts.unknown;
      return Resolve(caller, std::move(request), amount);
    case CallerOutcome::kInvalid:
      ++counts.invalid;
      break;
  }
  if (request.operation == CallerOperation::kOutcome)
    ++counts.resolved;
  Pause(caller, m_options.pause);
}

void DemoLoad::Resolve(Caller& caller, CallerRequest request, uint64_t amount) {
  if (MonotonicClock::now() > m_give_up) {
    ++m_tally.unresolved;
    caller.idle = true;
    return;
  }
  request.operation = CallerOperation::kOutcome;
  caller.timer->expires_after(kResolvePause);
  caller.timer->async_wait([this, &caller, request = std::move(request),
                            amount](boost::system::error_code error) {
    if (!error)
      Send(caller, request, amount, false);
  });
}

// A session must read its acknowledged writes, whatever the class's age.
void DemoLoad::CheckRead(Caller& caller,
                         const CallerRequest& request,
                         const CallerAnswer& answer) {
  const std::string value = answer.value.value_or("");
  const uint64_t seen = value.empty() ? 0 : std::stoull(value);
  if (seen < caller.written[request.group])
    ++m_tally.stale_reads;
}

}  // namespace jackdawturn
