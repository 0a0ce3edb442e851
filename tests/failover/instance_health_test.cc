#include <string>
#include <vector>

#include "failover/instance_health.h"

#include "support/table_test.h"

namespace jackdawturn::failover {

struct HealthCase {
  const char* failure;
  std::vector<InstanceHealthEvent> events;
  InstanceHealth health;
};

static constexpr auto kCurrent = InstanceHealthEvent::kReportCurrent;
static constexpr auto kBehind = InstanceHealthEvent::kReportBehind;
static constexpr auto kAhead = InstanceHealthEvent::kReportAhead;

static const HealthCase kHealthCases[] = {
    {"instance without a report not used", {}, InstanceHealth::kUnknown},
    {"late replica not used", {kBehind}, InstanceHealth::kBehind},
    {"late replica that caught up",
     {kBehind, kCurrent},
     InstanceHealth::kCurrent},
    {"replica that fell behind in a change",
     {kCurrent, kBehind},
     InstanceHealth::kBehind},
    {"replica that ran ahead is read",
     {kCurrent, kAhead},
     InstanceHealth::kRebuilding},
    {"log that was cut back is read",
     {kAhead, kBehind},
     InstanceHealth::kRebuilding},
    {"rebuilt instance not used",
     {kAhead, kBehind, kCurrent},
     InstanceHealth::kCurrent},
};

// Guards against reads from an instance whose log is not that of the group, and
// against an instance that is not used again.
TABLE_TEST(instance_health, follows_reports, kHealthCases) {
  const HealthCase& row = kHealthCases[*row_index];
  auto health = InstanceHealth::kUnknown;
  for (const InstanceHealthEvent event : row.events)
    health = After(health, event);
  cr_assert(health == row.health, "%s", row.failure);
  cr_assert_eq(Readable(health), row.health != InstanceHealth::kRebuilding);
}

// Guards against a program that starts with a chart in which a report has no
// transition.
Test(instance_health, chart_without_a_transition_is_refused) {
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
