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

// Limits of suspicion. The floors hold on fast networks; observed round trips
// raise the limits above them.
struct FailureDetectorSettings {
  // Silence before an instance counts as failing and is probed on fresh
  // connections.
  Duration failing_floor = std::chrono::milliseconds(15);
  // Silence after which an instance is taken for dead when its host refuses
  // connections: the process has ended, and a pause cannot look like that.
  Duration refused_floor = std::chrono::milliseconds(15);
  // The same when no handshake completes: the host is gone or cut off.
  Duration unreachable_floor = std::chrono::milliseconds(150);
  // The same when the host completes handshakes but the process is silent. It
  // is above 300 ms, because a process that is paused for that time is alive.
  Duration silent_floor = std::chrono::milliseconds(350);
  // A timer that is late by more than this, and by more than timers of this
  // process usually are, means that this process was paused.
  Duration pause_limit = std::chrono::milliseconds(60);
  // How long after a pause this process does not trust its view.
  Duration pause_quarantine = std::chrono::milliseconds(250);
  // A witness's answer counts for this long, longer where calls are slow.
  Duration witness_lifetime = std::chrono::milliseconds(150);
};

// Smoothed round trip and its variation, as in RFC 6298.
struct RttEstimator {
  Duration smoothed{0};
  Duration variation{0};
  void Add(Duration sample);
  // Time in which nearly all answers come; 0 before the first sample.
  Duration UpperBound() const { return smoothed + 4 * variation; }
};

enum class WitnessVerdict { kUnknown, kAgrees, kDisagrees };

// Estimates whether the instances of one group are dead, as one proxy sees
// them. Thread safety: not thread-safe.
class FailureDetector {
 public:
  explicit FailureDetector(FailureDetectorSettings settings);

  // A probe was sent; silence counts from the first one without an answer.
  void ProbeSent(const InstanceName& instance, TimePoint now);

  // A probe or a contact of live traffic ended. `round_trip` is that of a
  // report, or 0 when it says nothing of the instance. `fresh` is true when the
  // contact opened a connection, which shows whether the host is there.
  void RecordOutcome(const InstanceName& instance,
                     CallOutcome outcome,
                     bool fresh,
                     Duration round_trip,
                     TimePoint now);

  // 0 while the instance answers; at 1 or more it is taken for dead.
  double SuspicionLevel(const InstanceName& instance, TimePoint now) const;
  // True when contacts fail for longer than the observed round trips explain.
  bool Failing(const InstanceName& instance, TimePoint now) const;
  // Start of the current silence; absent while the instance answers.
  std::optional<TimePoint> SilentSince(const InstanceName& instance) const;
  std::optional<TimePoint> LastAnswer(const InstanceName& instance) const;
  // How long to wait for the answer of a probe.
  Duration ProbeTimeout(const InstanceName& instance, bool fresh) const;
  // Smoothed round trip on open or on fresh connections, whichever is longer; 0
  // before the first answer. The variation is left out: after one pause it
  // would space probes so far apart that a lost one prolongs the silence past
  // its limit.
  Duration SmoothedRoundTrip(const InstanceName& instance) const;
  // The longest one of all instances.
  Duration LongestRoundTrip() const;
  // How late timers of this process usually are: the median of the last ones,
  // which a single pause does not change.
  Duration median_timer_delay() const { return m_median_timer_delay; }
  // Returns `interval`, longer where timers are late, so that periodic work
  // takes a limited share of a slow process.
  Duration ScaledForTimerDelay(Duration interval) const;
  // How long the answer of a witness is waited for, and counts.
  Duration WitnessLifetime() const;

  void WitnessAnswered(const VmName& witness,
                       const InstanceName& instance,
                       const WitnessView& view,
                       TimePoint now);
  // kDisagrees when a witness was answered after the silence began here, which
  // outweighs those that agree.
  WitnessVerdict CombinedWitnessVerdict(const InstanceName& instance,
                                        TimePoint now) const;
  // What this proxy says as a witness.
  WitnessView ObservationForWitness(const InstanceName& instance,
                                    TimePoint now) const;

  // Compares the time with that at which a timer was due; to be called with
  // each event. Returns true when the
  // process was paused in between; silence that began before is forgotten then,
  // because the answers may wait in this process.
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
    uint32_t connected_but_silent = 0;
    // Contacts without an answer since the last one.
    uint32_t unanswered = 0;
  };
  struct Witness {
    WitnessView view;
    TimePoint at;
  };

  Duration SilenceTimeout(const Contacts& contacts) const;
  void AddDelay(Duration delay);
  const Contacts* Find(const InstanceName& instance) const;

  FailureDetectorSettings m_settings;
  std::map<InstanceName, Contacts> m_contacts;
  std::map<std::pair<InstanceName, VmName>, Witness> m_witnesses;
  TimePoint m_paused_until;
  boost::circular_buffer<Duration> m_delays;
  Duration m_median_timer_delay{0};
};

}  // namespace jackdawturn::failover
