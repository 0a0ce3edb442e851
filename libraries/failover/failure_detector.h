#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include <boost/circular_buffer.hpp>

#include "core/core.h"
#include "failover/failover_types.h"

namespace jackdawturn::failover {

// Limits of suspicion. The floors apply on fast networks; long round trips
// raise the limits above them.
struct FailureDetectorSettings {
  // Silence before an instance counts as failing and is probed on fresh
  // connections.
  Duration failing_floor = std::chrono::milliseconds(15);
  // Silence after which an instance counts as dead when its host refuses
  // connections: the process has terminated, since a paused process refuses
  // none.
  Duration refused_floor = std::chrono::milliseconds(15);
  // The same when no handshake completes: the host is down or partitioned.
  Duration unreachable_floor = std::chrono::milliseconds(150);
  // The same when the host completes handshakes but the process does not
  // respond. Above 300 ms, because a process that is paused for that time is
  // alive.
  Duration silent_floor = std::chrono::milliseconds(350);
  // A timer that is late by more than this, and by more than timers of this
  // process usually are, means that this process was paused.
  Duration pause_limit = std::chrono::milliseconds(60);
  // How long after a pause this process does not act on its observations.
  Duration pause_quarantine = std::chrono::milliseconds(250);
  // A witness's answer counts for this long, longer where calls are slow.
  Duration witness_lifetime = std::chrono::milliseconds(150);
};

// Smoothed round trip and its variation, as in RFC 6298.
struct RttEstimator {
  Duration smoothed{0};
  Duration variation{0};
  void Add(Duration sample);
  // Returns the time within which nearly all answers arrive; 0 before the first
  // sample.
  Duration UpperBound() const { return smoothed + 4 * variation; }
};

enum class WitnessVerdict { kUnknown, kAgrees, kDisagrees };

// Estimates whether the instances of one group are dead, as one proxy sees
// them. Thread safety: not thread-safe.
class FailureDetector {
 public:
  explicit FailureDetector(FailureDetectorSettings settings);

  // Records that a probe was sent; silence starts at the first unanswered one.
  void ProbeSent(const InstanceName& instance, TimePoint now);

  // Records the outcome of a probe or live request. `round_trip` is that of a
  // report, or 0 when it does not measure the instance. `fresh` is true when
  // the contact opened a connection, which shows whether the host is up.
  void RecordOutcome(const InstanceName& instance,
                     CallOutcome outcome,
                     bool fresh,
                     Duration round_trip,
                     TimePoint now);

  // Returns 0 while the instance answers; at 1 or more it counts as dead.
  double SuspicionLevel(const InstanceName& instance, TimePoint now) const;
  // True when a contact was refused, or contacts have been unanswered for
  // longer than the observed round trips explain.
  bool Failing(const InstanceName& instance, TimePoint now) const;
  // Returns the start of the current silence; absent while the instance
  // answers.
  std::optional<TimePoint> SilentSince(const InstanceName& instance) const;
  std::optional<TimePoint> LastAnswer(const InstanceName& instance) const;
  // Returns the timeout of a probe.
  Duration ProbeTimeout(const InstanceName& instance, bool fresh) const;
  // Returns the smoothed round trip on open or on fresh connections, whichever
  // is longer; 0 before the first answer. Excludes the variation: after one
  // pause it would space probes so far apart that a lost one extends the
  // silence past its limit.
  Duration SmoothedRoundTrip(const InstanceName& instance) const;
  // Returns the longest smoothed round trip of all instances.
  Duration LongestRoundTrip() const;
  // Returns how late timers of this process usually are: the median of the
  // recent delays, which a single pause does not change.
  Duration median_timer_delay() const { return m_median_timer_delay; }
  // Returns `interval`, longer where timers are late, so that periodic work
  // takes a limited share of a slow process.
  Duration ScaledForTimerDelay(Duration interval) const;
  // Returns how long to wait for a witness's answer, and how long it stays
  // valid.
  Duration WitnessLifetime() const;

  void WitnessAnswered(const VmName& witness,
                       const InstanceName& instance,
                       const WitnessView& view,
                       TimePoint now);
  // Returns kDisagrees when the instance answered a witness after the silence
  // began here and is not failing there; this outweighs witnesses that agree.
  WitnessVerdict CombinedWitnessVerdict(const InstanceName& instance,
                                        TimePoint now) const;
  // Returns this proxy's answer as a witness.
  WitnessView ObservationForWitness(const InstanceName& instance,
                                    TimePoint now) const;

  // Compares `now` with the time at which a timer was due; called for each
  // event. Returns true when the process was paused in between, and then
  // discards silence that began before, because the answers may be queued in
  // this process.
  bool NoticePause(TimePoint due, TimePoint now);
  bool RecentlyPaused(TimePoint now) const { return now < m_paused_until; }

 private:
  struct Contacts {
    RttEstimator open_connection;
    RttEstimator fresh_connection;
    std::optional<TimePoint> last_answer;
    std::optional<TimePoint> silent_since;
    // Since the last answer:
    uint32_t refused = 0;
    uint32_t connect_timeouts = 0;
    uint32_t connected_without_answer = 0;
    // Unanswered contacts since the last answer.
    uint32_t unanswered = 0;
  };
  struct Witness {
    WitnessView view;
    TimePoint at;
  };

  Duration SilenceTimeout(const Contacts& contacts) const;
  void AddTimerDelay(Duration delay);
  const Contacts* Find(const InstanceName& instance) const;

  FailureDetectorSettings m_settings;
  std::map<InstanceName, Contacts> m_contacts;
  std::map<std::pair<InstanceName, VmName>, Witness> m_witnesses;
  TimePoint m_paused_until;
  boost::circular_buffer<Duration> m_timer_delays;
  Duration m_median_timer_delay{0};
};

}  // namespace jackdawturn::failover
