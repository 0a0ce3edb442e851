#include "failover/instance_log_state.h"

#include <utility>
#include <vector>

namespace jackdawturn::failover {

Result<TransitionTable> CompileInstanceHealthChart(const StateChart& chart) {
  // In the order of InstanceLogState and InstanceLogEvent. Every report is
  // possible in every state.
  const std::vector<std::string_view> states = {"unknown", "current", "behind",
                                                "rebuilding"};
  return TransitionTable::Create(chart, states,
                                 {{"report_current", states},
                                  {"report_behind", states},
                                  {"report_ahead", states}});
}

const TransitionTable& InstanceHealthChart() {
  static const TransitionTable chart = [] {
    auto table = CompileInstanceHealthChart(BuiltInChart("instance_health"));
    VERIFY(table.has_value());
    return std::move(table).value();
  }();
  return chart;
}

InstanceLogState NextLogState(InstanceLogState log_state,
                              InstanceLogEvent event) {
  const uint8_t next_state = InstanceHealthChart().NextState(
      static_cast<size_t>(log_state), static_cast<size_t>(event));
  VERIFY(next_state != TransitionTable::kNoTransition);
  return static_cast<InstanceLogState>(next_state);
}

}  // namespace jackdawturn::failover
