#include "routing/admission_queue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace jackdawturn::routing {

namespace {

// Returns the sort key of a request. Among requests with the same due time,
// those that should be refused last come first: requests that no other instance
// can serve, then requests that their caller cannot repeat.
auto OrderOf(const QueuedRequest& request) {
  return std::tuple(request.due, request.allows_stale_read, request.repeatable);
}

struct ClassCount {
  uint64_t class_hash = 0;
  size_t count = 0;
};

std::vector<ClassCount> CountClasses(
    const std::vector<QueuedRequest>& waiting) {
  std::vector<ClassCount> counts;
  for (const QueuedRequest& request : waiting) {
    auto found = std::find_if(counts.begin(), counts.end(), [&](const auto& c) {
      return c.class_hash == request.class_hash;
    });
    if (found == counts.end())
      found = counts.insert(counts.end(), {request.class_hash, 0});
    ++found->count;
  }
  return counts;
}

size_t ShareOf(size_t queue_capacity, double share) {
  return std::max<size_t>(
      1, static_cast<size_t>(static_cast<double>(queue_capacity) * share));
}

}  // namespace

AdmissionQueue::AdmissionQueue(AdmissionOptions options) : m_options(options) {}

void AdmissionQueue::SetPace(Duration first,
                             Duration spacing,
                             Duration service) {
  m_first = first;
  m_spacing = spacing;
  m_service = service;
}

size_t AdmissionQueue::IndexFor(const QueuedRequest& request) const {
  const auto place = std::upper_bound(
      m_waiting.begin(), m_waiting.end(), request,
      [](const auto& a, const auto& b) { return OrderOf(a) < OrderOf(b); });
  return static_cast<size_t>(place - m_waiting.begin());
}

bool AdmissionQueue::WithinShares(const QueuedRequest& request) const {
  size_t of_class = 0;
  size_t of_caller = 0;
  for (const QueuedRequest& other : m_waiting) {
    of_class += other.class_hash == request.class_hash ? 1 : 0;
    of_caller += other.caller_hash == request.caller_hash ? 1 : 0;
  }
  return of_class < ShareOf(m_options.queue_capacity, m_options.class_share) &&
         of_caller < ShareOf(m_options.queue_capacity, m_options.caller_share);
}

Duration AdmissionQueue::AnswerTimeAt(size_t index) const {
  return m_first + m_spacing * static_cast<int64_t>(index) + m_service;
}

bool AdmissionQueue::AnswersInTime(TimePoint now) const {
  if (m_waiting.size() > m_options.queue_capacity)
    return false;
  for (size_t index = 0; index < m_waiting.size(); ++index) {
    if (now + AnswerTimeAt(index) > m_waiting[index].deadline)
      return false;
  }
  return true;
}

std::optional<size_t> AdmissionQueue::Displaceable(uint64_t class_hash) const {
  const std::vector<ClassCount> counts = CountClasses(m_waiting);
  const size_t part = m_waiting.size() / counts.size();
  const ClassCount* most = nullptr;
  for (const ClassCount& count : counts) {
    if (count.class_hash == class_hash && count.count > part)
      return std::nullopt;
    if (most == nullptr || count.count > most->count)
      most = &count;
  }
  if (most->class_hash == class_hash || most->count <= part)
    return std::nullopt;
  for (size_t index = m_waiting.size(); index-- > 0;) {
    if (m_waiting[index].class_hash == most->class_hash)
      return index;
  }
  return std::nullopt;
}

std::vector<QueueRefusal> AdmissionQueue::Offer(const QueuedRequest& request,
                                                TimePoint now) {
  if (!WithinShares(request))
    return {{request.key, RefusalReason::kShareExceeded}};
  const bool were_in_time = AnswersInTime(now);
  const auto index = static_cast<int64_t>(IndexFor(request));
  m_waiting.insert(m_waiting.begin() + index, request);
  if (AnswersInTime(now))
    return {};
  // When the instance has become slower, requests admitted before may already
  // be late. Take refuses those; they are no reason to admit a further request
  // by displacing others.
  std::vector<QueuedRequest> before = m_waiting;
  before.erase(before.begin() + index);
  std::vector<QueueRefusal> refusals;
  while (were_in_time && !AnswersInTime(now)) {
    const auto last = Displaceable(request.class_hash);
    if (!last)
      break;
    refusals.push_back({m_waiting[*last].key, RefusalReason::kOverloaded});
    m_waiting.erase(m_waiting.begin() + static_cast<int64_t>(*last));
  }
  if (were_in_time && AnswersInTime(now))
    return refusals;
  m_waiting = std::move(before);
  return {{request.key, RefusalReason::kOverloaded}};
}

std::optional<QueuedRequest> AdmissionQueue::Take(
    TimePoint now,
    std::vector<QueueRefusal>& refused) {
  while (!m_waiting.empty()) {
    const QueuedRequest next = m_waiting.front();
    m_waiting.erase(m_waiting.begin());
    if (now + m_service <= next.deadline)
      return next;
    refused.push_back({next.key, RefusalReason::kOverloaded});
  }
  return std::nullopt;
}

void AdmissionQueue::Remove(uint64_t key) {
  std::erase_if(m_waiting, [&](const auto& r) { return r.key == key; });
}

std::vector<QueuedRequest> AdmissionQueue::Clear() {
  return std::exchange(m_waiting, {});
}

Duration AdmissionQueue::ExpectedAnswerTime(TimePoint due) const {
  const auto ahead = std::partition_point(
      m_waiting.begin(), m_waiting.end(),
      [&](const QueuedRequest& other) { return other.due <= due; });
  return AnswerTimeAt(static_cast<size_t>(ahead - m_waiting.begin()));
}

Duration AdmissionQueue::drain_time() const {
  return m_first + m_spacing * static_cast<int64_t>(m_waiting.size());
}

}  // namespace jackdawturn::routing
