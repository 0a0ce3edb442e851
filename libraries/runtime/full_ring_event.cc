#include "runtime/full_ring_event.h"

#include <string>

namespace jackdawturn {

TimelineEvent FullRingEvent(const VmName& vm,
                            const CallerRequest& refused,
                            size_t depth,
                            size_t limit,
                            ClockTime now) {
  TimelineEvent event;
  event.stamp.physical = now;
  event.vm = vm;
  event.kind = EventKind::kAnswer;
  event.group = refused.group;
  event.request = refused.request;
  event.step = "answered";
  event.peer = refused.caller;
  event.fields = {{std::string(kOutcomeField), "not_run"},
                  {std::string(kReasonField), "overloaded"},
                  {"class", refused.class_name.value()},
                  {"ring", "decisions"},
                  {"ring_depth", std::to_string(depth)},
                  {"ring_limit", std::to_string(limit)}};
  return event;
}

}  // namespace jackdawturn
