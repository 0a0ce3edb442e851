#include "failover/failure_detector.h"

#include <algorithm>
#include <utility>

namespace jackdawturn::failover {

namespace {

// Assumed before the first round trip is measured.
constexpr Duration kInitialLimit = std::chrono::milliseconds(20);
constexpr Duration kInitialFreshLimit = std::chrono::milliseconds(40);
constexpr Duration kProbeTimeoutFloor = std::chrono::milliseconds(15);
constexpr Duration kProbeTimeoutCeiling = std::chrono::milliseconds(2'000);
// After this many unanswered probes the timeout doubles with each further one.
// Otherwise a path that is slower than the timeout would never be measured. The
// first probes keep their timeout, because the verdict on a primary needs the
// outcomes of several probes soon.
constexpr uint32_t kProbesBeforeDoubling = 4;
constexpr uint32_t kMaxDoublings = 6;
// A single lost message must not count as a terminated process or an
// unreachable host.
constexpr uint32_t kMinRefusals = 2;
constexpr uint32_t kMinFailedHandshakes = 3;
// Multiples of the upper bound of the round trip after which an instance counts
// as dead.
constexpr int kUnreachableFactor = 6;
constexpr int kSilentFactor = 8;
// The instance's answer to a witness may have been in flight when the silence
// began.
constexpr Duration kWitnessSlack = std::chrono::milliseconds(10);
// Number of timers over which the median delay is taken.
constexpr size_t kTimerDelaySamples = 15;
// Multiple of the median delay above which a late timer counts as a pause.
constexpr int kPauseFactor = 4;
// Minimum interval of periodic work in median delays: an event that takes the
// median delay then uses at most one part in this many of the process's time.
constexpr int kIntervalFactor = 8;
constexpr Duration kMaxScaledInterval = std::chrono::milliseconds(1'000);
// The same for the lifetime of a witness's answer: it queues in both processes
// and may have been requested one interval ago.
constexpr int kWitnessFactor = 3 * kIntervalFactor;
constexpr Duration kMaxWitnessLifetime = std::chrono::milliseconds(4'000);

}  // namespace

FailureDetector::FailureDetector(FailureDetectorSettings settings)
    : m_settings(settings), m_timer_delays(kTimerDelaySamples) {}

void RttEstimator::Add(Duration sample) {
  if (smoothed == Duration(0)) {
    smoothed = sample;
    variation = sample / 2;
    return;
  }
  const Duration difference =
      smoothed > sample ? smoothed - sample : sample - smoothed;
  variation = (3 * variation + difference) / 4;
  smoothed = (7 * smoothed + sample) / 8;
}

const FailureDetector::Contacts* FailureDetector::Find(
    const InstanceName& instance) const {
  const auto found = m_contacts.find(instance);
  return found == m_contacts.end() ? nullptr : &found->second;
}

void FailureDetector::ProbeSent(const InstanceName& instance, TimePoint now) {
  Contacts& contacts = m_contacts[instance];
  if (!contacts.silent_since)
    contacts.silent_since = now;
}

void FailureDetector::RecordOutcome(const InstanceName& instance,
                                    CallOutcome outcome,
                                    bool fresh,
                                    Duration round_trip,
                                    TimePoint now) {
  Contacts& contacts = m_contacts[instance];
  if (outcome == CallOutcome::kAnswered) {
    if (round_trip > Duration(0))
      (fresh ? contacts.fresh_connection : contacts.open_connection)
          .Add(round_trip);
    contacts.last_answer = now;
    contacts.silent_since.reset();
    contacts.refused = 0;
    contacts.connect_timeouts = 0;
    contacts.connected_without_answer = 0;
    contacts.unanswered = 0;
    return;
  }
  if (!contacts.silent_since)
    contacts.silent_since = now;
  if (outcome == CallOutcome::kRefused)
    ++contacts.refused;
  else if (fresh && outcome == CallOutcome::kConnectTimeout)
    ++contacts.connect_timeouts;
  else if (fresh)
    ++contacts.connected_without_answer;
  ++contacts.unanswered;
}

Duration FailureDetector::SilenceTimeout(const Contacts& contacts) const {
  const Duration observed = contacts.open_connection.UpperBound();
  if (contacts.refused >= kMinRefusals)
    return std::max(m_settings.refused_floor, observed);
  if (contacts.connect_timeouts >= kMinFailedHandshakes &&
      contacts.connected_without_answer == 0)
    return std::max(m_settings.unreachable_floor,
                    kUnreachableFactor * observed);
  return std::max(m_settings.silent_floor, kSilentFactor * observed);
}

double FailureDetector::SuspicionLevel(const InstanceName& instance,
                                       TimePoint now) const {
  const Contacts* contacts = Find(instance);
  if (contacts == nullptr || !contacts->silent_since)
    return 0;
  return ToMilliseconds(now - *contacts->silent_since) /
         ToMilliseconds(SilenceTimeout(*contacts));
}

bool FailureDetector::Failing(const InstanceName& instance,
                              TimePoint now) const {
  const Contacts* contacts = Find(instance);
  if (contacts == nullptr || !contacts->silent_since)
    return false;
  return contacts->refused > 0 ||
         now - *contacts->silent_since >=
             std::max(m_settings.failing_floor,
                      contacts->open_connection.UpperBound());
}

std::optional<TimePoint> FailureDetector::SilentSince(
    const InstanceName& instance) const {
  const Contacts* contacts = Find(instance);
  return contacts == nullptr ? std::nullopt : contacts->silent_since;
}

std::optional<TimePoint> FailureDetector::LastAnswer(
    const InstanceName& instance) const {
  const Contacts* contacts = Find(instance);
  return contacts == nullptr ? std::nullopt : contacts->last_answer;
}

Duration FailureDetector::ProbeTimeout(const InstanceName& instance,
                                       bool fresh) const {
  const Contacts* contacts = Find(instance);
  Duration limit{0};
  if (contacts != nullptr)
    limit = (fresh ? contacts->fresh_connection : contacts->open_connection)
                .UpperBound();
  if (limit == Duration(0))
    limit = fresh ? kInitialFreshLimit : kInitialLimit;
  const uint32_t unanswered = contacts == nullptr ? 0 : contacts->unanswered;
  const uint32_t doublings = std::clamp(unanswered, kProbesBeforeDoubling,
                                        kProbesBeforeDoubling + kMaxDoublings) -
                             kProbesBeforeDoubling;
  return std::clamp(2 * limit * (int64_t{1} << doublings), kProbeTimeoutFloor,
                    kProbeTimeoutCeiling);
}

Duration FailureDetector::SmoothedRoundTrip(
    const InstanceName& instance) const {
  const Contacts* contacts = Find(instance);
  return contacts == nullptr ? Duration(0)
                             : std::max(contacts->open_connection.smoothed,
                                        contacts->fresh_connection.smoothed);
}

Duration FailureDetector::LongestRoundTrip() const {
  Duration longest{0};
  for (const auto& [name, contacts] : m_contacts)
    longest = std::max(longest, SmoothedRoundTrip(name));
  return longest;
}

Duration FailureDetector::ScaledForTimerDelay(Duration interval) const {
  return std::max(interval, std::min(kIntervalFactor * m_median_timer_delay,
                                     kMaxScaledInterval));
}

Duration FailureDetector::WitnessLifetime() const {
  const Duration slow =
      2 * LongestRoundTrip() + kWitnessFactor * m_median_timer_delay;
  return std::max(m_settings.witness_lifetime,
                  std::min(slow, kMaxWitnessLifetime));
}

void FailureDetector::AddTimerDelay(Duration delay) {
  m_timer_delays.push_back(delay);
  std::vector<Duration> sorted(m_timer_delays.begin(), m_timer_delays.end());
  const auto middle =
      sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
  std::nth_element(sorted.begin(), middle, sorted.end());
  m_median_timer_delay =
      sorted.size() < kTimerDelaySamples ? Duration(0) : *middle;
}

void FailureDetector::WitnessAnswered(const VmName& witness,
                                      const InstanceName& instance,
                                      const WitnessView& view,
                                      TimePoint now) {
  m_witnesses[{instance, witness}] = Witness{view, now};
}

WitnessVerdict FailureDetector::CombinedWitnessVerdict(
    const InstanceName& instance,
    TimePoint now) const {
  const auto silent_since = SilentSince(instance);
  WitnessVerdict verdict = WitnessVerdict::kUnknown;
  for (const auto& [key, witness] : m_witnesses) {
    if (key.first != instance || now - witness.at > WitnessLifetime())
      continue;
    const auto& ago = witness.view.answered_ago;
    if (silent_since && ago &&
        witness.at - *ago > *silent_since + kWitnessSlack &&
        !witness.view.failing)
      return WitnessVerdict::kDisagrees;
    if (witness.view.failing)
      verdict = WitnessVerdict::kAgrees;
  }
  return verdict;
}

WitnessView FailureDetector::ObservationForWitness(const InstanceName& instance,
                                                   TimePoint now) const {
  WitnessView view;
  if (const auto answered = LastAnswer(instance))
    view.answered_ago = now - *answered;
  view.failing = !RecentlyPaused(now) && Failing(instance, now);
  return view;
}

bool FailureDetector::NoticePause(TimePoint due, TimePoint now) {
  if (now < due)
    return false;
  const Duration limit =
      std::max(m_settings.pause_limit, kPauseFactor * m_median_timer_delay);
  AddTimerDelay(now - due);
  if (now - due <= limit)
    return false;
  m_paused_until = now + m_settings.pause_quarantine;
  for (auto& [name, contacts] : m_contacts) {
    contacts.silent_since.reset();
    contacts.refused = 0;
    contacts.connect_timeouts = 0;
    contacts.connected_without_answer = 0;
  }
  m_witnesses.clear();
  return true;
}

}  // namespace jackdawturn::failover
