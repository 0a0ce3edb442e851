#include "runtime/proxy_process.h"

#include <algorithm>
#include <atomic>
#include <thread>
#include <unordered_map>
#include <utility>

#include "observe/observe.h"
#include "runtime/duty.h"
#include "runtime/full_ring_event.h"
#include "runtime/operator_server.h"

namespace jackdawturn {

namespace {

using proxy::AnswerCaller;
using proxy::AnswerOperator;
using proxy::CallerRequestNumber;
using proxy::CallerRequestReceived;

// Longest sleep of the decision thread, which bounds the time of Stop.
constexpr Duration kLongestSleep = std::chrono::milliseconds(50);
// Longest wait at the exit for answers that other proxies do not read.
constexpr Duration kRelayFlushLimit = std::chrono::milliseconds(500);

ClockTime WallClock() {
  return std::chrono::time_point_cast<std::chrono::microseconds>(
      std::chrono::system_clock::now());
}

CountedOutcome CountedAs(CallerOutcome outcome) {
  switch (outcome) {
    case CallerOutcome::kDone:
      return CountedOutcome::kDone;
    case CallerOutcome::kNotRun:
      return CountedOutcome::kNotRun;
    case CallerOutcome::kUnknown:
      return CountedOutcome::kUnknown;
    case CallerOutcome::kInvalid:
      return CountedOutcome::kInvalid;
  }
  return CountedOutcome::kInvalid;
}

class ThreadedProxy : public ProxyProcess {
 public:
  explicit ThreadedProxy(ProxyProcessOptions options)
      : m_options(std::move(options)),
        m_metrics(m_registry),
        m_events(m_options.timeline_events),
        m_decisions(m_options.rings.decisions),
        m_new_work_limit(std::max<size_t>(1, m_options.rings.decisions / 2)),
        m_datagram_limit(
            std::max<size_t>(1, m_options.rings.decisions * 3 / 4)),
        m_callers(m_options.rings.callers),
        m_backends(m_options.rings.backend_servers),
        m_platform(m_options.rings.platform),
        m_peers(m_options.rings.peers),
        m_relays(m_options.rings.relay),
        m_operators(m_options.rings.callers) {
    if (m_options.log_descriptor)
      m_log.emplace(*m_options.log_descriptor,
                    std::max<size_t>(2, m_options.rings.events));
  }

  ~ThreadedProxy() override { ThreadedProxy::Stop(); }

  Result<void> Start() {
    TRY(OpenSockets());
    m_options.proxy.wall_clock = WallClock();
    m_options.proxy.gossip_address =
        fleet::PeerAddress(m_datagrams->endpoint().ToString());
    TRY(m_machine, proxy::ProxyMachine::Create(m_options.proxy));
    AddRingMetrics();
    m_callers.Start([this](const AnswerCaller& answer) { OnAnswer(answer); });
    m_backends.Start([this](BackendCommand command) {
      m_backend_port->Send(std::move(command));
    });
    m_platform.Start(
        [this](CallPlatform call) { m_platform_port->Send(std::move(call)); });
    m_peers.Start([this](const proxy::SendDatagram& datagram) {
      m_datagrams->Send(datagram.to.value(), datagram.bytes);
    });
    m_relays.Start([this](RelayCommand command) {
      m_relay_port->Send(std::move(command));
    });
    m_operators.Start([this](const AnswerOperator& answer) {
      m_operator_server->Answer(answer);
    });
    m_decider = std::thread([this] { Decide(); });
    return Success();
  }

  Endpoint callers() const override { return m_server->endpoint(); }
  Endpoint operators() const override { return m_operator_server->endpoint(); }
  Endpoint gossip() const override { return m_datagrams->endpoint(); }
  Endpoint relay() const override { return m_relay_port->endpoint(); }
  bool ready() const override { return m_ready.load(); }
  ReadCounts reads() const override {
    return {m_replica_reads.load(), m_primary_reads.load()};
  }
  std::vector<TimelineEvent> timeline() const override {
    return m_events.TakeSnapshot().events;
  }

  void OnExit(std::function<void(int)> hook) override {
    std::lock_guard lock(m_exit_mutex);
    m_on_exit = std::move(hook);
  }

  void Drain() override {
    proxy::OperatorRequestReceived drain;
    drain.action = proxy::OperatorAction::kDrain;
    m_decisions.Push(drain);
  }

  void Stop() override {
    m_decisions.Close();
    if (m_decider.joinable())
      m_decider.join();
    m_callers.Stop();
    m_backends.Stop();
    m_platform.Stop();
    m_peers.Stop();
    m_relays.Stop();
    m_operators.Stop();
    if (m_log)
      m_log->Stop();
  }

 private:
  // A caller that waits for its answer.
  struct Waiting {
    uint64_t connection = 0;
    HttpServer::Respond respond;
  };

  Result<void> OpenSockets() {
    TRY(m_server,
        HttpServer::Create(
            m_callers.context(), m_options.callers, m_options.caller_limits,
            [this](const HttpRequest& request, HttpServer::Respond respond) {
              OnCaller(request, std::move(respond));
            },
            [this](uint64_t connection) { OnClosed(connection); }));
    OperatorServerOptions operators;
    operators.listen = m_options.operators;
    operators.limits = m_options.operator_limits;
    operators.keys = m_options.operator_keys;
    operators.ask = [this](proxy::OperatorRequestReceived received) {
      return m_decisions.TryPush(std::move(received));
    };
    operators.metrics = [this] { return m_registry.Render(); };
    operators.timeline = [this] { return WriteEvents(timeline()); };
    operators.ready = [this] { return m_ready.load(); };
    TRY(m_operator_server,
        OperatorServer::Create(m_operators.context(), std::move(operators)));
    TRY(OpenPeerSockets());
    m_backend_port = CreateHttpBackendPort(
        m_backends.context(), m_options.instances, [this](BackendEvent event) {
          std::visit([this](auto& item) { m_decisions.Push(std::move(item)); },
                     event);
        });
    m_platform_port = CreateHttpPlatformPort(
        m_platform.context(), m_options.platform,
        [this](PlatformAnswered event) { m_decisions.Push(std::move(event)); });
    return Success();
  }

  // The thread of the relay must not wait for room in the ring to the decisions
  // with a new request, only with the end of one.
  void OnRelay(RelayEvent event) {
    if (auto* ended = std::get_if<RelayEnded>(&event)) {
      if (!ended->result)
        m_metrics.CountRelay(ended->result.error().code == ErrorCode::kTimeout
                                 ? RelayCount::kLost
                                 : RelayCount::kNotSent);
      m_decisions.Push(std::move(*ended));
      return;
    }
    auto& arrived = std::get<RelayArrived>(event);
    const RelayArrival arrival = arrived.arrival;
    if (m_decisions.TryPush(std::move(arrived), m_new_work_limit))
      return;
    AnswerRelay refused{arrival, {}, {}};
    refused.reply.reason = "overloaded";
    m_relay_port->Send(std::move(refused));
  }

  // A port that the system chose for UDP may be taken for TCP.
  Result<void> OpenPeerSockets() {
    constexpr int kPortAttempts = 16;
    for (int attempt = 1;; ++attempt) {
      TRY(OpenGossip());
      Result<void> relay = OpenRelay();
      const bool chosen =
          m_options.gossip.port == 0 && m_options.relay.port == 0;
      if (relay || !chosen || attempt == kPortAttempts)
        return relay;
    }
  }

  Result<void> OpenGossip() {
    TRY(m_datagrams, DatagramPort::Create(
                         m_peers.context(), m_options.gossip,
                         [this](const std::string& from, std::string bytes) {
                           m_metrics.CountControlMessage(
                               ControlDirection::kReceived, bytes.size());
                           // A lost datagram costs no more than one lost in the
                           // network.
                           m_decisions.TryPush(
                               proxy::DatagramArrived{fleet::PeerAddress(from),
                                                      std::move(bytes)},
                               m_datagram_limit);
                         }));
    return Success();
  }

  Result<void> OpenRelay() {
    RelayPortOptions options;
    options.listen = m_options.relay;
    if (options.listen.port == 0)
      options.listen.port = m_datagrams->endpoint().port;
    options.self = m_options.proxy.vm;
    options.keys = m_options.proxy.fleet_keys;
    options.frame_bytes = m_options.relay_frame_bytes;
    options.queue_bytes = std::max(options.queue_bytes, options.frame_bytes);
    options.connect_timeout = m_options.relay_silence;
    options.silence_limit = m_options.relay_silence;
    TRY(m_relay_port, CreateTcpRelayPort(m_relays.context(), std::move(options),
                                         [this](RelayEvent event) {
                                           OnRelay(std::move(event));
                                         }));
    return Success();
  }

  void AddRingMetrics() {
    m_metrics.AddTimeline([this] { return m_events.overwritten(); });
    m_metrics.AddRing(
        "decisions", [this] { return m_decisions.depth(); },
        [this] { return m_decisions.refused(); });
    const auto add = [this](const std::string& name, auto& duty) {
      m_metrics.AddRing(
          name, [&duty] { return duty.depth(); },
          [&duty] { return duty.refused(); });
    };
    add("callers", m_callers);
    add("backend_servers", m_backends);
    add("platform", m_platform);
    add("peers", m_peers);
    add("relay", m_relays);
    if (!m_log)
      return;
    m_metrics.AddRing(
        "events", [this] { return m_log->depth(); },
        [this] { return m_log->dropped().total(); });
    m_metrics.AddLog([this] { return m_log->dropped(); });
  }

  // --- Thread of the callers ---

  void OnCaller(const HttpRequest& http, HttpServer::Respond respond) {
    if (http.method != "POST")
      return respond(EncodeError(
          {ErrorCode::kNotFound, "caller.decode", "", "expected POST"}));
    auto request = DecodeCallerRequest(http.target, http.body);
    if (!request) {
      CallerAnswer answer;
      answer.reason = ToString(request.error().code);
      answer.message = request.error().message;
      HttpResponse response = EncodeAnswer(answer);
      response.status = StatusOf(request.error().code);
      return respond(std::move(response));
    }
    request.value().caller = http.remote_address;
    const CallerRequestNumber call = m_last_call = m_last_call.Next();
    m_waiting[call] = {http.connection, std::move(respond)};
    m_calls_of[http.connection] = call;
    proxy::Event received =
        CallerRequestReceived{call, std::move(request).value()};
    if (m_decisions.TryPush(received, m_new_work_limit))
      return;
    const CallerRequest& refused =
        std::get<CallerRequestReceived>(received).request;
    if (m_log)
      m_log->Write(FullRingEvent(m_options.proxy.vm, refused,
                                 m_decisions.depth(), m_new_work_limit,
                                 WallClock()));
    OnAnswer(
        {call, RefusalOf(refused, "overloaded"), refused.class_name, {}, {}});
  }

  // A connection has at most one request at a time.
  void OnClosed(uint64_t connection) {
    const auto found = m_calls_of.find(connection);
    if (found == m_calls_of.end())
      return;
    const CallerRequestNumber call = found->second;
    m_calls_of.erase(found);
    if (m_waiting.erase(call) != 0)
      m_decisions.Push(proxy::CallerDisconnected{call});
  }

  void OnAnswer(const AnswerCaller& answer) {
    const auto found = m_waiting.find(answer.call);
    if (found == m_waiting.end())
      return;
    const Waiting waiting = std::move(found->second);
    m_waiting.erase(found);
    m_calls_of.erase(waiting.connection);
    ClassMetrics& metrics = m_metrics.ForClass(answer.class_name);
    metrics.CountRequest(CountedAs(answer.answer.outcome), answer.latency);
    if (answer.read_role) {
      CountRead(answer.class_name, *answer.read_role);
    }
    waiting.respond(EncodeAnswer(answer.answer));
  }

  void CountRead(const ClassName& class_name, ReadRole role) {
    m_metrics.ForClass(class_name).CountRead(role);
    ++(role == ReadRole::kReplica ? m_replica_reads : m_primary_reads);
  }

  // --- Thread of the decisions ---

  void Decide() {
    Execute(m_machine->Start(MonotonicClock::now()));
    while (!m_decisions.closed()) {
      const TimePoint now = MonotonicClock::now();
      const TimePoint wakeup =
          m_machine->NextWakeup().value_or(now + kLongestSleep);
      const Duration sleep =
          wakeup <= now ? Duration(0) : std::min(wakeup - now, kLongestSleep);
      for (const proxy::Event& event : m_decisions.PopAll(sleep))
        Execute(m_machine->Handle(event, MonotonicClock::now()));
      const TimePoint later = MonotonicClock::now();
      const auto due = m_machine->NextWakeup();
      if (due && *due <= later)
        Execute(m_machine->Handle(proxy::TimePassed{}, later));
    }
  }

  // Calls that were not sent because a ring was full are answered after the
  // effects of the event, because the machine must not be entered twice.
  void Execute(std::vector<proxy::Effect> effects) {
    for (proxy::Effect& effect : effects)
      std::visit([this](auto& item) { Do(std::move(item)); }, effect);
    while (!m_refused.empty()) {
      for (const proxy::Event& event : std::exchange(m_refused, {})) {
        for (proxy::Effect& effect :
             m_machine->Handle(event, MonotonicClock::now()))
          std::visit([this](auto& item) { Do(std::move(item)); }, effect);
      }
    }
  }

  // An answer is never dropped: when the ring is full it goes to the event
  // loop's own queue, which holds at most one for each open connection.
  void Do(AnswerCaller answer) {
    if (!m_callers.TryPost(answer))
      m_callers.Run([this, answer = std::move(answer)] { OnAnswer(answer); });
  }
  void Do(AnswerOperator answer) {
    m_operators.Run([this, answer = std::move(answer)] {
      m_operator_server->Answer(answer);
    });
  }
  void Do(BackendCommand command) {
    if (m_backends.TryPost(command))
      return;
    const Error full{ErrorCode::kUnavailable, "ring.backend_servers", "",
                     "the ring is full; not sent"};
    if (const auto* call = std::get_if<CallBackend>(&command))
      m_refused.emplace_back(BackendAnswered{call->call, call->instance, full});
    else if (const auto* open = std::get_if<OpenBackend>(&command))
      m_refused.emplace_back(
          BackendOpened{open->connection, open->instance, full});
    else
      m_backends.Run([this, command] { m_backend_port->Send(command); });
  }
  void Do(RelayCommand command) {
    m_metrics.CountRelay(std::holds_alternative<SendRelay>(command)
                             ? RelayCount::kSent
                             : RelayCount::kAnswered);
    if (m_relays.TryPost(command))
      return;
    if (const auto* send = std::get_if<SendRelay>(&command))
      m_refused.emplace_back(
          RelayEnded{send->call,
                     Error{ErrorCode::kExhausted, "ring.relay", send->to,
                           "the ring is full; not sent"},
                     {}});
    else
      m_relays.Run([this, command] { m_relay_port->Send(command); });
  }
  void Do(const proxy::CountRead& read) {
    CountRead(read.class_name, read.role);
  }
  void Do(CallPlatform call) {
    m_metrics.CountPlatformCall(TargetOf(call.request));
    const uint64_t number = call.call;
    if (m_platform.TryPost(std::move(call)))
      return;
    m_refused.emplace_back(
        PlatformAnswered{number, Error{ErrorCode::kUnavailable, "ring.platform",
                                       "", "the ring is full; not sent"}});
  }
  void Do(proxy::SendDatagram datagram) {
    m_metrics.CountControlMessage(ControlDirection::kSent,
                                  datagram.bytes.size());
    m_peers.TryPost(std::move(datagram));
  }
  void Do(proxy::AppendTimelineEvent append) {
    m_events.Add(append.event);
    if (m_log)
      m_log->Write(std::move(append.event));
  }
  void Do(proxy::SetReady ready) { m_ready.store(ready.ready); }
  void Do(proxy::CloseAfterAnswers) {
    m_callers.Run([this] { m_server->CloseAfterAnswers(); });
  }
  void Do(proxy::StopAccepting) {
    m_callers.Run([this] { m_server->StopAccepting(); });
  }
  // Answers to other proxies that are still to be written come first.
  void Do(proxy::ExitProcess exit) {
    m_relays.Run([this, exit] {
      m_relay_port->Flush(kRelayFlushLimit, [this, exit] {
        std::lock_guard lock(m_exit_mutex);
        if (m_on_exit)
          m_on_exit(exit.code);
      });
    });
  }

  ProxyProcessOptions m_options;
  MetricRegistry m_registry;
  ProxyMetrics m_metrics;
  EventRing m_events;
  BoundedRing<proxy::Event> m_decisions;
  // New work is refused when the ring holds this many events; the rest is for
  // the answers to work in progress.
  const size_t m_new_work_limit;
  // Datagrams are taken above the limit of new work, because callers that keep
  // the ring at that limit would otherwise make this proxy look dead to its
  // peers.
  const size_t m_datagram_limit;
  Duty<AnswerCaller> m_callers;
  Duty<BackendCommand> m_backends;
  Duty<CallPlatform> m_platform;
  Duty<proxy::SendDatagram> m_peers;
  Duty<RelayCommand> m_relays;
  Duty<AnswerOperator> m_operators;
  std::optional<EventLog> m_log;
  std::unique_ptr<HttpServer> m_server;
  std::unique_ptr<OperatorServer> m_operator_server;
  std::unique_ptr<DatagramPort> m_datagrams;
  std::unique_ptr<RelayPort> m_relay_port;
  std::unique_ptr<BackendPort> m_backend_port;
  std::unique_ptr<PlatformPort> m_platform_port;
  std::unique_ptr<proxy::ProxyMachine> m_machine;
  CallerRequestNumber m_last_call;
  std::unordered_map<CallerRequestNumber, Waiting> m_waiting;
  std::unordered_map<uint64_t, CallerRequestNumber> m_calls_of;
  // Used by the decision thread only.
  std::vector<proxy::Event> m_refused;
  std::atomic<bool> m_ready = false;
  std::atomic<uint64_t> m_replica_reads = 0;
  std::atomic<uint64_t> m_primary_reads = 0;
  std::mutex m_exit_mutex;
  std::function<void(int)> m_on_exit;
  std::thread m_decider;
};

}  // namespace

Result<std::unique_ptr<ProxyProcess>> ProxyProcess::Create(
    ProxyProcessOptions options) {
  auto process = std::make_unique<ThreadedProxy>(std::move(options));
  TRY(process->Start());
  return std::unique_ptr<ProxyProcess>(std::move(process));
}

}  // namespace jackdawturn
