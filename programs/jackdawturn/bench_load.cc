#include "bench_load.h"

#include <algorithm>
#include <future>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

namespace jackdawturn {

namespace {

constexpr Duration kAskPause = std::chrono::milliseconds(50);
constexpr Duration kTick = std::chrono::milliseconds(1);
// Beyond a request's deadline, so that the proxy's own answer is seen.
constexpr Duration kExtraWait = std::chrono::milliseconds(1'000);

// Picks a class with a probability in proportion to its weight.
const ClassName& Pick(const std::vector<WeightedClass>& classes,
                      std::mt19937_64& random) {
  std::vector<double> weights;
  weights.reserve(classes.size());
  for (const WeightedClass& item : classes)
    weights.push_back(static_cast<double>(item.weight));
  std::discrete_distribution<size_t> pick(weights.begin(), weights.end());
  return classes[pick(random)].name;
}

}  // namespace

BenchLoad::BenchLoad(BenchLoadOptions options)
    : m_options(std::move(options)),
      m_random(m_options.seed),
      m_statistics(m_options.duration) {
  VERIFY(!m_options.proxies.empty() && !m_options.groups.empty() &&
         m_options.callers > 0);
  for (const Endpoint& proxy : m_options.proxies)
    m_clients.push_back(
        std::make_unique<HttpClient>(m_context, proxy, m_options.callers));
  for (size_t index = 0; index < m_options.callers; ++index) {
    auto session = std::make_unique<Session>();
    session->key = m_options.key_prefix + "-" + std::to_string(index + 1);
    session->next_proxy = index;
    session->timer = std::make_unique<boost::asio::steady_timer>(m_context);
    m_sessions.push_back(std::move(session));
  }
  m_ticker = std::make_unique<boost::asio::steady_timer>(m_context);
}

BenchLoad::~BenchLoad() {
  m_context.stop();
  if (m_thread.joinable())
    m_thread.join();
}

void BenchLoad::Start() {
  boost::asio::post(m_context, [this] {
    m_start = MonotonicClock::now();
    m_statistics.Start(m_start);
    if (m_options.rate > 0) {
      for (const auto& session : m_sessions)
        m_idle.push_back(session.get());
      return SendDue();
    }
    for (const auto& session : m_sessions)
      Begin(*session, m_start);
  });
  m_thread = std::thread([this] {
    const auto work = boost::asio::make_work_guard(m_context);
    m_context.run();
  });
}

BenchStatistics BenchLoad::Finish(Duration limit) {
  boost::asio::post(m_context, [this, limit] {
    m_finishing = true;
    m_give_up = MonotonicClock::now() + limit;
    m_ticker->cancel();
    m_statistics.Stop(MonotonicClock::now());
    m_statistics.unsent = m_waiting.size();
    m_waiting.clear();
  });
  Poll([this] { return m_in_progress == 0; }, Duration::max());
  m_context.stop();
  m_thread.join();
  return std::move(m_statistics);
}

void BenchLoad::WaitForEnded(uint64_t requests, Duration limit) {
  Poll([this, requests] { return m_ended >= requests; }, limit);
}

void BenchLoad::Poll(const std::function<bool()>& done, Duration limit) {
  constexpr Duration kPause = std::chrono::milliseconds(10);
  const TimePoint start = MonotonicClock::now();
  bool ended = false;
  while (!ended && MonotonicClock::now() - start < limit) {
    std::this_thread::sleep_for(kPause);
    std::promise<bool> result;
    boost::asio::post(m_context, [&] { result.set_value(done()); });
    ended = result.get_future().get();
  }
}

void BenchLoad::SendDue() {
  if (m_finishing)
    return;
  const TimePoint now = MonotonicClock::now();
  const auto due = [this] {
    return m_start +
           std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
               static_cast<double>(m_due_count) / m_options.rate));
  };
  for (; due() <= now; ++m_due_count) {
    if (m_idle.empty()) {
      m_waiting.push_back(due());
      continue;
    }
    Session* session = m_idle.back();
    m_idle.pop_back();
    Begin(*session, due());
  }
  m_ticker->expires_after(std::max(due() - now, kTick));
  m_ticker->async_wait([this](boost::system::error_code error) {
    if (!error)
      SendDue();
  });
}

void BenchLoad::Begin(Session& session, TimePoint due) {
  ++m_in_progress;
  CallerRequest request = MakeRequest(session);
  const uint64_t written = session.written[request.group];
  Send({&session, std::move(request), due, written});
}

CallerRequest BenchLoad::MakeRequest(Session& session) {
  constexpr uint64_t kHundred = 100;
  CallerRequest request;
  request.group = m_options.groups[m_random() % m_options.groups.size()];
  request.token = session.token;
  request.deadline = m_options.deadline;
  if (m_random() % kHundred < m_options.write_percent) {
    request.operation = CallerOperation::kWrite;
    request.class_name = Pick(m_options.write_classes, m_random);
    request.request =
        MakeRequestId(std::chrono::floor<std::chrono::milliseconds>(
                          std::chrono::system_clock::now()),
                      m_random());
    request.statement = "add " + session.key + " 1";
  } else {
    request.operation = CallerOperation::kRead;
    request.class_name = Pick(m_options.read_classes, m_random);
    request.statement = "get " + session.key;
  }
  return request;
}

void BenchLoad::Send(Work work) {
  HttpClient& client =
      *m_clients[++work.session->next_proxy % m_clients.size()];
  const std::string target = TargetOf(work.request.operation);
  const std::string body = EncodeRequest(work.request);
  client.Send("POST", target, body, m_options.deadline + kExtraWait,
              [this, work = std::move(work)](
                  const Result<HttpResponse>& response) mutable {
                OnResponse(std::move(work), response);
              });
}

void BenchLoad::OnResponse(Work work, const Result<HttpResponse>& response) {
  ClassStatistics& counts = m_statistics.ForClass(work.request.class_name);
  const Result<CallerAnswer> answer =
      response ? DecodeAnswer(response.value())
               : Result<CallerAnswer>(response.error());
  if (answer && !answer.value().token.empty())
    work.session->token = answer.value().token;
  if (answer && answer.value().outcome != CallerOutcome::kUnknown) {
    OnFinal(work, answer.value());
    return End(work);
  }
  if (!work.asked)
    ++(answer ? counts.unknown : counts.lost);
  if (work.request.operation == CallerOperation::kRead)
    return End(work);
  AskLater(std::move(work));
}

void BenchLoad::OnFinal(const Work& work, const CallerAnswer& answer) {
  ClassStatistics& counts = m_statistics.ForClass(work.request.class_name);
  if (work.asked)
    ++counts.resolved;
  if (answer.outcome == CallerOutcome::kNotRun)
    ++counts.not_run;
  if (answer.outcome == CallerOutcome::kInvalid)
    ++counts.invalid;
  if (answer.outcome != CallerOutcome::kDone) {
    ++counts.reasons[answer.reason];
    return;
  }
  ++counts.done;
  const GroupName& group = work.request.group;
  if (work.request.operation != CallerOperation::kRead) {
    ++work.session->written[group];
    ++m_statistics.writes[group][work.session->key];
    m_statistics.RecordWrite(group, MonotonicClock::now());
    return;
  }
  // A session must read its acknowledged writes, whatever the class's age.
  const std::string value = answer.value.value_or("");
  if ((value.empty() ? 0 : std::stoull(value)) < work.written)
    ++m_statistics.stale_reads;
}

void BenchLoad::AskLater(Work work) {
  if (MonotonicClock::now() > m_give_up) {
    ++m_statistics.unresolved;
    return End(work);
  }
  work.asked = true;
  work.request.operation = CallerOperation::kOutcome;
  boost::asio::steady_timer& timer = *work.session->timer;
  timer.expires_after(kAskPause);
  timer.async_wait(
      [this, work = std::move(work)](boost::system::error_code) mutable {
        Send(std::move(work));
      });
}

void BenchLoad::End(const Work& work) {
  --m_in_progress;
  ++m_ended;
  const TimePoint now = MonotonicClock::now();
  m_statistics.RecordEnd(work.request.class_name, now, now - work.due);
  if (m_finishing)
    return;
  if (m_options.rate <= 0) {
    // Not from here: a proxy that refuses connections answers at once.
    boost::asio::post(m_context, [this, session = work.session] {
      if (!m_finishing)
        Begin(*session, MonotonicClock::now());
    });
    return;
  }
  if (m_waiting.empty()) {
    m_idle.push_back(work.session);
    return;
  }
  const TimePoint due = m_waiting.front();
  m_waiting.pop_front();
  Begin(*work.session, due);
}

}  // namespace jackdawturn
