#include <unistd.h>

#include <csignal>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "commands.h"
#include "gateway/asio_timers.h"
#include "gateway/gateway.h"
#include "platform/platform.h"
#include "record_feed/record_feed.h"

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr size_t kLogEvents = 8'192;
// A watch hears nothing of a change while the store drops its history, so the
// next one must tell of it within the limit.
constexpr int kWatchesInLimit = 2;
// The balancer sends no new connections after it was told twice.
constexpr Duration kBalancerTime = 2'300ms;
constexpr Duration kSessionCheck = 50ms;
constexpr Duration kIsolationCheck = 200ms;

// A gateway process: its ports, its decisions and the way it ends.
class GatewayProcess {
 public:
  explicit GatewayProcess(const platform::NodeSettings& settings)
      : m_settings(settings),
        m_timers(m_context),
        m_event_log(STDOUT_FILENO, kLogEvents),
        m_log(&m_event_log, m_metrics, settings.name),
        m_store(platform::CreateObjectStore(m_context, settings.store)),
        m_host({.name = settings.name,
                .zone = settings.zone,
                .seed = std::random_device()(),
                .relay_address = settings.relay.ToString(),
                .records_address = settings.metrics.ToString(),
                .weight = HolderWeight(settings.processor_share),
                .configuration_wait =
                    settings.configuration_limit / kWatchesInLimit,
                .servers_wait = settings.departure_limit / kWatchesInLimit,
                .promotion_deposes_primary = settings.fenced_promotions},
               {.timers = m_timers,
                .store = *m_store,
                .open = platform::CreateBackendOpener(m_context, m_timers),
                .promote = platform::CreatePromoter(m_context,
                                                    settings.promotions,
                                                    settings.name),
                .read_status = platform::DecodeStatusRow,
                .decode_config = platform::DecodeGatewayConfig,
                .decode_server = platform::DecodeServer,
                .watch_at_peer = CreatePeerWatcher(m_context),
                .announce = CreatePeerAnnouncer(m_context),
                .ask_limits = CreatePeerLimitsClient(m_context)},
               m_log) {}

  Result<int> Run() {
    TRY(m_listener, platform::ClientListener::Create(
                        m_context, m_settings.clients,
                        ClientSession::Origin::kClient, m_host));
    TRY(m_relay_listener,
        platform::ClientListener::Create(m_context, m_settings.relay,
                                         ClientSession::Origin::kPeer, m_host));
    TRY(m_readiness,
        HttpServer::Create(
            m_context, m_settings.readiness, {},
            [this](const HttpRequest&, const HttpServer::Respond& respond) {
              respond({.status = m_host.ready() ? kHttpOk : kHttpUnavailable,
                       .body = ""});
            },
            nullptr));
    TRY(m_metrics_server,
        HttpServer::Create(
            m_context, m_settings.metrics, {},
            [this](const HttpRequest& request,
                   const HttpServer::Respond& respond) {
              if (request.target == kAnnouncementPath)
                return ServeAnnouncement(m_host, request, respond);
              if (request.target == kLimitsPath)
                return ServeLimitQuestion(m_host, request, respond);
              if (request.target != "/metrics")
                return ServeRecordFeed(m_host.watches(), request, respond);
              respond({.body = m_metrics.Render(),
                       .content_type = "text/plain; version=0.0.4"});
            },
            nullptr));
    AddGauges();
    m_log.LogStateChange(EventKind::kProcess, GroupName(), "start", "",
                         {{"zone", m_settings.zone.value()}});
    m_host.Start();
    WatchIsolation();
    boost::asio::signal_set signals(m_context, SIGTERM, SIGINT);
    signals.async_wait([this](boost::system::error_code error, int) {
      if (!error)
        Drain();
    });
    boost::asio::signal_set reload(m_context, SIGHUP);
    WaitForReload(reload);
    m_context.run();
    m_log.LogStateChange(EventKind::kProcess, GroupName(), "stop", "", {});
    return kExitDone;
  }

 private:
  // Addresses come from the settings and only change with a restart.
  void WaitForReload(boost::asio::signal_set& signals) {
    signals.async_wait([this, &signals](boost::system::error_code error, int) {
      if (error)
        return;
      m_log.LogStateChange(EventKind::kProcess, GroupName(), "reload", "", {});
      WaitForReload(signals);
    });
  }

  // While the zone is cut off, clients are better served by other zones, where
  // the balancer sends them once it has taken this proxy out.
  void WatchIsolation() {
    m_timers.After(kIsolationCheck, [this] { WatchIsolation(); });
    if (m_drain)
      return;
    const auto since = m_host.context().isolation.isolated_since();
    if (since && *since + kBalancerTime <= m_timers.now())
      m_listener->CloseIdleSessions();
    else
      m_listener->KeepSessions();
  }

  void AddGauges() {
    m_metrics.AddGaugeFunction(
        "jackdawturn_sessions", "Sessions of clients.", {},
        [this] { return static_cast<double>(m_listener->sessions()); });
    m_metrics.AddGaugeFunction(
        "jackdawturn_relayed_sessions",
        "Connections of proxies that relay statements to this one.", {},
        [this] { return static_cast<double>(m_relay_listener->sessions()); });
    m_metrics.AddGaugeFunction(
        "jackdawturn_backend_connections",
        "Connections to instances, in use or idle.", {}, [this] {
          return static_cast<double>(m_host.context().pool.connections());
        });
    m_metrics.AddGaugeFunction(
        "jackdawturn_log_dropped", "Log lines that were dropped.", {},
        [this] { return static_cast<double>(m_event_log.dropped().total()); });
  }

  void Drain() {
    m_drain.emplace(m_timers.now(), m_settings.grace, kBalancerTime);
    m_host.Drain(*m_drain);
    CloseSessions();
  }

  void CloseSessions() {
    const DrainPhase phase = m_drain->PhaseAt(m_timers.now());
    // Clients of this process may wait for statements that it relays, so it
    // serves both kinds of sessions by the same schedule.
    m_listener->Drain(phase);
    m_relay_listener->Drain(phase);
    const size_t sessions =
        m_listener->sessions() + m_relay_listener->sessions();
    const size_t unsent = m_listener->unsent() + m_relay_listener->unsent();
    const bool all_ended =
        phase >= DrainPhase::kClosing && sessions + unsent == 0;
    if (all_ended || phase == DrainPhase::kEnded) {
      m_log.LogStateChange(EventKind::kProcess, GroupName(), "drained", "",
                           {{"sessions", std::to_string(sessions)},
                            {"unsent", std::to_string(unsent)}});
      m_context.stop();
      return;
    }
    m_timers.After(kSessionCheck, [this] { CloseSessions(); });
  }

  const platform::NodeSettings m_settings;
  boost::asio::io_context m_context{1};
  AsioTimers m_timers;
  EventLog m_event_log;
  MetricRegistry m_metrics;
  GatewayLog m_log;
  std::unique_ptr<MetadataStore> m_store;
  GatewayHost m_host;
  std::unique_ptr<platform::ClientListener> m_listener;
  // Serves other proxies.
  std::unique_ptr<platform::ClientListener> m_relay_listener;
  std::unique_ptr<HttpServer> m_readiness;
  std::unique_ptr<HttpServer> m_metrics_server;
  std::optional<DrainSchedule> m_drain;
};

Result<int> RunGateway(const std::string& path) {
  TRY(const auto settings, platform::LoadNodeSettings(path));
  GatewayProcess process(settings);
  return process.Run();
}

}  // namespace
}  // namespace jackdawturn::gateway

namespace jackdawturn {

void AddGatewayCommand(CLI::App& app, RunCommand& run) {
  auto path = std::make_shared<std::string>();
  auto* gateway = app.add_subcommand(
      "gateway",
      "Serve clients of the statement protocol until SIGTERM, then drain.");
  gateway
      ->add_option("--settings", *path,
                   "Settings file of the platform, in JSON")
      ->envname(gateway::platform::kSettingsVariable)
      ->required();
  gateway->callback(
      [&run, path] { run = [path] { return gateway::RunGateway(*path); }; });
}

}  // namespace jackdawturn
