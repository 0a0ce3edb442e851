#include "proxy/proxy_context.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace jackdawturn::proxy {

namespace {
// A VM whose wall clock is further ahead than this does not advance the
// hybrid clocks of others.
constexpr std::chrono::microseconds kMaxClockSkew = std::chrono::minutes(1);
}  // namespace

ProxyContext::ProxyContext(const ProxyOptions& options)
    : m_vm(options.vm),
      m_wall_start(options.wall_clock),
      m_clock(kMaxClockSkew),
      m_secure_random_bytes(options.secure_random_bytes),
      m_random(options.seed) {}

void ProxyContext::SetNow(TimePoint now) {
  if (!m_start)
    m_start = now;
  m_now = now;
}

ClockTime ProxyContext::wall_clock() const {
  return m_wall_start + (m_now - m_start.value_or(m_now));
}

void ProxyContext::Call(const InstanceName& instance,
                        std::optional<BackendConnectionId> connection,
                        BackendRequest request,
                        Duration timeout,
                        OnBackend on_answer,
                        bool fresh) {
  const uint64_t call = ++m_last_call;
  m_backend_calls[call] = std::move(on_answer);
  Emit(BackendCommand(CallBackend{call, instance, connection,
                                  std::move(request), timeout, fresh}));
}

void ProxyContext::Call(PlatformRequest request,
                        Duration timeout,
                        OnPlatform on_answer) {
  const uint64_t call = ++m_last_call;
  m_platform_calls[call] = std::move(on_answer);
  Emit(CallPlatform{call, std::move(request), timeout});
}

void ProxyContext::Answered(const BackendAnswered& event) {
  const auto found = m_backend_calls.find(event.call);
  if (found == m_backend_calls.end())
    return;
  const OnBackend on_answer = std::move(found->second);
  m_backend_calls.erase(found);
  on_answer(event.result);
}

void ProxyContext::Answered(const PlatformAnswered& event) {
  const auto found = m_platform_calls.find(event.call);
  if (found == m_platform_calls.end())
    return;
  const OnPlatform on_answer = std::move(found->second);
  m_platform_calls.erase(found);
  TrackPlatformReachability(event.result);
  on_answer(event.result);
}

void ProxyContext::TrackPlatformReachability(
    const Result<PlatformResponse>& result) {
  const bool unreachable =
      !result && (result.error().code == ErrorCode::kUnavailable ||
                  result.error().code == ErrorCode::kTimeout);
  if (unreachable && !m_platform_unreachable_since) {
    m_platform_unreachable_since = m_now;
    RecordTimelineEvent(EventKind::kPlatform, GroupName(), RequestId(), "lost",
                        result.error().peer,
                        {{std::string(kReasonField),
                          std::string(ToString(result.error().code))},
                         {"call", result.error().step},
                         {"message", result.error().message}});
  } else if (!unreachable && m_platform_unreachable_since) {
    const Duration outage = m_now - *m_platform_unreachable_since;
    m_platform_unreachable_since.reset();
    RecordTimelineEvent(EventKind::kPlatform, GroupName(), RequestId(),
                        "regained", "",
                        {{"away_us", std::to_string(outage.count())}});
  }
}

void ProxyContext::RecordFailure(const CallerRequest& request,
                                 const CallerAnswer& answer,
                                 TimePoint arrived,
                                 Fields extra_fields) {
  extra_fields[std::string(kOutcomeField)] =
      std::string(ToString(answer.outcome));
  extra_fields[std::string(kReasonField)] = answer.reason;
  extra_fields["operation"] = TargetOf(request.operation);
  extra_fields["class"] = request.class_name.value();
  extra_fields["waited_us"] = std::to_string((now() - arrived).count());
  RecordTimelineEvent(EventKind::kAnswer, request.group, request.request,
                      "answered", request.caller, std::move(extra_fields));
}

void ProxyContext::RecordTimelineEvent(EventKind kind,
                                       const GroupName& group,
                                       const RequestId& request,
                                       std::string step,
                                       std::string peer,
                                       Fields fields) {
  Emit(AppendTimelineEvent{TimelineEvent{m_clock.Send(wall_clock()), m_vm, kind,
                                         group, request, std::move(step),
                                         std::move(peer), std::move(fields)}});
}

std::string ProxyContext::NewId() {
  std::array<uint8_t, 16> bytes{};
  if (m_secure_random_bytes)
    bytes = m_secure_random_bytes();
  else
    std::generate(bytes.begin(), bytes.end(),
                  [this] { return static_cast<uint8_t>(m_random()); });
  std::ostringstream text;
  text << std::hex << std::setfill('0');
  for (const uint8_t byte : bytes)
    text << std::setw(2) << static_cast<unsigned>(byte);
  return text.str();
}

}  // namespace jackdawturn::proxy
