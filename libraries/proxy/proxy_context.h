#pragma once

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "proxy/proxy_events.h"
#include "proxy/proxy_options.h"

namespace jackdawturn::proxy {

// Retry-After of a refusal whose cause does not specify one.
inline constexpr Duration kRetryAfter = std::chrono::milliseconds(200);

// State shared by the parts of a ProxyMachine: the time, the effects, and the
// calls in flight. Thread safety: not thread-safe.
class ProxyContext {
 public:
  using OnBackend = std::function<void(const Result<BackendResponse>&)>;
  using OnPlatform = std::function<void(const Result<PlatformResponse>&)>;
  using Fields = std::map<std::string, std::string>;

  explicit ProxyContext(const ProxyOptions& options);

  TimePoint now() const { return m_now; }
  void SetNow(TimePoint now);
  // Returns the wall clock time, derived from the monotonic time.
  ClockTime wall_clock() const;

  void Emit(Effect effect) { m_effects.push_back(std::move(effect)); }
  std::vector<Effect> TakeEffects() { return std::exchange(m_effects, {}); }

  // Calls an instance; `on_answer` runs exactly once, in a later event.
  void Call(const InstanceName& instance,
            std::optional<BackendConnectionId> connection,
            BackendRequest request,
            Duration timeout,
            OnBackend on_answer,
            bool fresh = false);
  void Call(PlatformRequest request, Duration timeout, OnPlatform on_answer);
  void Answered(const BackendAnswered& event);
  void Answered(const PlatformAnswered& event);

  // Appends an event to the timeline.
  void RecordTimelineEvent(EventKind kind,
                           const GroupName& group,
                           const RequestId& request,
                           std::string step,
                           std::string peer,
                           Fields fields = {});

  // Appends the single event of a request that was not served; `extra_fields`
  // is added to the fields that every such event has. `arrived` is when this
  // proxy received the request.
  void RecordFailure(const CallerRequest& request,
                     const CallerAnswer& answer,
                     TimePoint arrived,
                     Fields extra_fields);

  HybridLogicalClock& clock() { return m_clock; }
  std::mt19937_64& random() { return m_random; }
  // Returns a new id of 32 hexadecimal digits. It is unpredictable if
  // ProxyOptions::secure_random_bytes is set.
  std::string NewId();

 private:
  // Records when the platform becomes unreachable and when it is reachable
  // again.
  void TrackPlatformReachability(const Result<PlatformResponse>& result);

  const VmName m_vm;
  const ClockTime m_wall_start;
  std::optional<TimePoint> m_start;
  TimePoint m_now;
  HybridLogicalClock m_clock;
  const std::function<std::array<uint8_t, 16>()> m_secure_random_bytes;
  std::mt19937_64 m_random;
  std::vector<Effect> m_effects;
  uint64_t m_last_call = 0;
  std::map<uint64_t, OnBackend> m_backend_calls;
  std::map<uint64_t, OnPlatform> m_platform_calls;
  // When the first of the current run of failed calls failed.
  std::optional<TimePoint> m_platform_unreachable_since;
};

}  // namespace jackdawturn::proxy
