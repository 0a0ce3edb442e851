#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/core.h"
#include "routing/routing_options.h"
#include "routing/routing_types.h"

namespace jackdawturn::routing {

// A request that is queued at one instance.
struct QueuedRequest {
  // The key by which the owner of the queue identifies the request.
  uint64_t key = 0;
  // Hash64 of the names of its class and caller. Two names with equal hashes
  // only count against one common share.
  uint64_t class_hash = 0;
  uint64_t caller_hash = 0;
  // Arrival time plus the answer time of the class; the queue is ordered by it.
  TimePoint due;
  // The request is refused when it cannot be answered by this time.
  TimePoint deadline;
  // The sort order of requests with the same due time depends on these.
  bool allows_stale_read = false;
  bool repeatable = false;
};

// The refusal of a queued request or of one that was offered.
struct QueueRefusal {
  uint64_t key = 0;
  RefusalReason reason = RefusalReason::kOverloaded;
};

// The requests that wait for a slot of one instance, earliest due time first.
// The order depends only on the targets of the classes, so each class is served
// as its due time approaches. A request is admitted only if it and all requests
// admitted before it are expected to be answered by their deadlines. Otherwise,
// a request of a class below its equal part of the queue displaces the last
// request of a class above its part, so that no class starves.
//
// Thread safety: not thread-safe.
class AdmissionQueue {
 public:
  explicit AdmissionQueue(AdmissionOptions options);

  // Sets the expected pace of the instance: `first` is the time until a slot is
  // free, `spacing` the time between the starts of two statements, `service`
  // the time from sending a statement to its answer.
  void SetPace(Duration first, Duration spacing, Duration service);

  // Offers a request. Returns its refusal when it was not admitted, and the
  // refusals of the requests that it displaced.
  std::vector<QueueRefusal> Offer(const QueuedRequest& request, TimePoint now);

  // Takes the next request that can still be answered by its deadline. Requests
  // before it that cannot are removed and appended to `refused`.
  std::optional<QueuedRequest> Take(TimePoint now,
                                    std::vector<QueueRefusal>& refused);

  // Removes a request; unknown keys are ignored.
  void Remove(uint64_t key);

  // Removes all requests and returns them in queue order.
  std::vector<QueuedRequest> Clear();

  // Returns the expected time from now until a request with this due time is
  // answered.
  Duration ExpectedAnswerTime(TimePoint due) const;

  // Returns the expected time until all queued requests are sent and a further
  // one can be.
  Duration drain_time() const;

  size_t size() const { return m_waiting.size(); }
  bool empty() const { return m_waiting.empty(); }
  bool full() const { return m_waiting.size() >= m_options.queue_capacity; }

 private:
  size_t IndexFor(const QueuedRequest& request) const;
  bool WithinShares(const QueuedRequest& request) const;
  bool AnswersInTime(TimePoint now) const;
  // Returns the index of the last request of the class with the most requests;
  // empty when the class `class_hash` already holds its equal part.
  std::optional<size_t> Displaceable(uint64_t class_hash) const;
  Duration AnswerTimeAt(size_t index) const;

  AdmissionOptions m_options;
  Duration m_first{0};
  Duration m_spacing{1'000};
  Duration m_service{1'000};
  std::vector<QueuedRequest> m_waiting;
};

}  // namespace jackdawturn::routing
