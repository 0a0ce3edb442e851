#include <string>
#include <vector>

#include "failover/instance_log_state.h"

#include "support/table_test.h"

namespace jackdawturn::failover {

struct LogStateCase {
  const char* failure;
  std::vector<InstanceLogEvent> events;
  InstanceLogState log_state;
};

static constexpr auto kCurrent = InstanceLogEvent::kReportCurrent;
static constexpr auto kBehind = InstanceLogEvent::kReportBehind;
static constexpr auto kAhead = InstanceLogEvent::kReportAhead;

static const LogStateCase kLogStateCases[] = {
    {"instance without a report not used", {}, InstanceLogState::kUnknown},
    {"late replica not used", {kBehind}, InstanceLogState::kBehind},
    {"late replica that caught up",
     {kBehind, kCurrent},
     InstanceLogState::kCurrent},
    {"replica that fell behind in a change",
     {kCurrent, kBehind},
     InstanceLogState::kBehind},
    {"replica that ran ahead is read",
     {kCurrent, kAhead},
     InstanceLogState::kRebuilding},
    {"log that was cut back is read",
     {kAhead, kBehind},
     InstanceLogState::kRebuilding},
    {"rebuilt instance not used",
     {kAhead, kBehind, kCurrent},
     InstanceLogState::kCurrent},
};

// Guards against reads from an instance whose log diverged from the group's,
// and against a rebuilt instance that stays unused.
TABLE_TEST(instance_log_state, follows_reports, kLogStateCases) {
  const LogStateCase& row = kLogStateCases[*row_index];
  auto log_state = InstanceLogState::kUnknown;
  for (const InstanceLogEvent event : row.events)
    log_state = NextLogState(log_state, event);
  cr_assert(log_state == row.log_state, "%s", row.failure);
  cr_assert_eq(Readable(log_state),
               row.log_state != InstanceLogState::kRebuilding);
}

// Guards against a chart in which a report has no transition.
Test(instance_log_state, chart_without_a_transition_is_refused) {
  std::string text = BuiltInChartTexts().at("instance_health");
  cr_assert(
      CompileInstanceHealthChart(StateChart::Create(text).value()).has_value());
  const std::string removed =
      R"({"from": "rebuilding", "event": "report_behind", "to": "rebuilding"},)";
  const size_t place = text.find(removed);
  cr_assert_neq(place, std::string::npos);
  text.erase(place, removed.size());
  const auto compiled =
      CompileInstanceHealthChart(StateChart::Create(text).value());
  cr_assert_not(compiled.has_value());
  cr_assert_neq(compiled.error().message.find("report_behind"),
                std::string::npos);
}

}  // namespace jackdawturn::failover
