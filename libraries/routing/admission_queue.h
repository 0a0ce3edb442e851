#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/core.h"
#include "routing/routing_options.h"
#include "routing/routing_types.h"

namespace jackdawturn::routing {

// A request that waits for one instance.
struct QueuedRequest {
  // The owner's number of the request.
  uint64_t key = 0;
  // Hash64 of the names of its class and caller. Equal hashes of two names
  // would only merge their shares.
  uint64_t class_hash = 0;
  uint64_t caller_hash = 0;
  // Arrival plus the answer time of the class; sets the order.
  TimePoint due;
  // The request is refused when it cannot be answered by then.
  TimePoint deadline;
  // Further targets, which order requests that are due at the same time.
  bool allows_stale_read = false;
  bool repeatable = false;
};

// A refusal of a request that waited or was offered.
struct QueueRefusal {
  uint64_t key = 0;
  RefusalReason reason = RefusalReason::kOverloaded;
};

// The requests that wait for a slot of one instance, ordered by the targets of
// their classes alone: the earliest due time first, so that each class comes
// first when its time is near. A request is admitted only if it and all that
// were admitted before it are expected to be answered in time. When that fails,
// a class below its equal part of the queue takes the place of the last request
// of a class above its part, so that no class starves.
//
// Thread safety: not thread-safe.
class AdmissionQueue {
 public:
  explicit AdmissionQueue(AdmissionOptions options);

  // Tells the queue how fast the instance answers: `first` is the expected time
  // until a slot is free, `spacing` the time between two statements that begin,
  // `service` the time from sending a statement to its answer.
  void SetPace(Duration first, Duration spacing, Duration service);

  // Offers a request. The returned refusals name it when it was not admitted,
  // and requests that lost their place to it.
  std::vector<QueueRefusal> Offer(const QueuedRequest& request, TimePoint now);

  // Takes the next request that can still be answered. Requests that cannot are
  // removed and appended to `refused`.
  std::optional<QueuedRequest> Take(TimePoint now,
                                    std::vector<QueueRefusal>& refused);

  // Removes a request; unknown keys are ignored.
  void Remove(uint64_t key);

  // Removes all requests and returns them in order.
  std::vector<QueuedRequest> Clear();

  // Expected time from now until the answer of a request with this due time.
  Duration ExpectedAnswerTime(TimePoint due) const;

  // Expected time until the last admitted request was sent.
  Duration drain_time() const;

  size_t size() const { return m_waiting.size(); }
  bool empty() const { return m_waiting.empty(); }
  bool full() const { return m_waiting.size() >= m_options.queue_capacity; }

 private:
  size_t IndexFor(const QueuedRequest& request) const;
  bool WithinShares(const QueuedRequest& request) const;
  bool AnswersInTime(TimePoint now) const;
  // The last request of the class that holds most, or nothing when the class
  // `class_hash` already holds its equal part.
  std::optional<size_t> Displaceable(uint64_t class_hash) const;
  Duration AnswerTimeAt(size_t index) const;

  AdmissionOptions m_options;
  Duration m_first{0};
  Duration m_spacing{1'000};
  Duration m_service{1'000};
  std::vector<QueuedRequest> m_waiting;
};

}  // namespace jackdawturn::routing
