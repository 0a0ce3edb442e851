#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <random>
#include <sstream>
#include <string>

#include <boost/json.hpp>

#include "charts/charts.h"
#include "support/source_paths.h"

#include "support/table_test.h"

namespace jackdawturn {

static std::string ReadFile(const std::string& path) {
  std::ifstream in(path);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

struct ChartErrorCase {
  const char* text;
  // JSON pointers of the expected errors, in order, each followed by a space.
  const char* pointers;
};

static const ChartErrorCase kChartErrorCases[] = {
    {"{", " "},
    {"[]", " "},
    {"{}", "    "},
    {R"({"name":"c","initial":"a","states":[{"name":"a","description":"d"}],
        "transitions":[]})",
     ""},
    {R"({"name":"c","states":[{"name":"a","description":"d"}],
        "transitions":[]})",
     " "},
    {R"({"name":"c","initial":"z","states":[{"name":"a","description":"d"}],
        "transitions":[]})",
     "/initial "},
    {R"({"name":"c","initial":"a","states":[{"name":"a","description":"d"},
        {"name":"b","description":"d"}],"transitions":[]})",
     "/states/1 "},
    {R"({"name":"c","initial":"a","states":[{"name":"a","description":"d"},
        {"name":"a","description":"d"}],"transitions":[]})",
     "/states/1/name "},
    {R"({"name":"c","initial":"a","states":[{"name":"a","description":"d"}],
        "transitions":[{"from":"a","event":"e","to":"z"},
        {"from":"y","event":"e","to":"a"},{"from":"a","event":"e","to":"a"}]})",
     "/transitions/0/to /transitions/1/from /transitions/2 "},
    {R"({"name":"c","initial":"a","states":[{"name":"a","description":"d"}],
        "transitions":[{"from":"a","event":"e","to":"a","at/once":1}]})",
     "/transitions/0/at~1once "},
    {R"({"name":"c","initial":"a","states":[{"name":"a b","description":1},7],
        "transitions":"none"})",
     "/states/0/name /states/0/description /states/1 /transitions /initial "},
};

// Guards against an invalid chart that loads, and against validation that stops
// at the first error.
TABLE_TEST(charts, all_errors_have_pointers, kChartErrorCases) {
  const ChartErrorCase& row = kChartErrorCases[*row_index];
  std::string pointers;
  for (const ChartError& chart_error : ValidateChart(row.text))
    pointers += chart_error.pointer + ' ';
  cr_assert_str_eq(pointers.c_str(), row.pointers);
  cr_assert_eq(StateChart::Create(row.text).has_value(), pointers.empty());
}

// Guards against a chart file that the program rejects at startup.
Test(charts, built_in_charts_are_valid_and_equal_to_the_files) {
  cr_assert_eq(BuiltInChartTexts().size(), 4U);
  for (const auto& [name, text] : BuiltInChartTexts()) {
    cr_assert(ValidateChart(text).empty(), "%s", name.c_str());
    cr_assert_eq(BuiltInChart(name).name(), name);
    const std::string path = SourcePath("charts/" + name + ".json");
    cr_assert(ReadFile(path) == text, "%s", name.c_str());
  }
}

// Guards against an event without a transition that changes the state.
Test(charts, instance_takes_known_transitions_only) {
  StateChartInstance instance(BuiltInChart("failover"));
  cr_assert_str_eq(instance.state().c_str(), "steady");
  cr_assert_not(instance.Fire("published"));
  cr_assert_str_eq(instance.state().c_str(), "steady");
  cr_assert(instance.Fire("suspected"));
  cr_assert(instance.Fire("confirmed"));
  cr_assert_str_eq(instance.state().c_str(), "claiming");
}

struct CompileCase {
  const char* fault;
  std::vector<std::string_view> states;
  std::vector<EventSources> events;
  bool compiles;
};

static const CompileCase kCompileCases[] = {
    {"none", {"a", "b"}, {{"go", {"a"}}, {"back", {"b"}}}, true},
    {"initial state is not the first",
     {"b", "a"},
     {{"go", {"a"}}, {"back", {"b"}}},
     false},
    {"state that the code lacks",
     {"a"},
     {{"go", {"a"}}, {"back", {"b"}}},
     false},
    {"state that the chart lacks",
     {"a", "b", "c"},
     {{"go", {"a"}}, {"back", {"b"}}},
     false},
    {"event that the code lacks", {"a", "b"}, {{"go", {"a"}}}, false},
    {"event that the chart lacks",
     {"a", "b"},
     {{"go", {"a"}}, {"back", {"b"}}, {"stop", {"b"}}},
     false},
    {"transition that the chart lacks",
     {"a", "b"},
     {{"go", {"a", "b"}}, {"back", {"b"}}},
     false},
    {"more events than the table holds",
     {"a", "b"},
     std::vector<EventSources>(TransitionTable::kMaxEvents + 1),
     false},
};

// Guards against a table whose indices differ from the code's enum values, and
// against one with a missing transition.
TABLE_TEST(charts, transition_table_agrees_with_the_code, kCompileCases) {
  const CompileCase& row = kCompileCases[*row_index];
  const auto chart = StateChart::Create(
      R"({"name":"c","initial":"a","states":[{"name":"b","description":"d"},
      {"name":"a","description":"d"}],"transitions":[
      {"from":"a","event":"go","to":"b"},{"from":"b","event":"back","to":"a"}
      ]})");
  cr_assert(chart.has_value());
  const auto table =
      TransitionTable::Create(chart.value(), row.states, row.events);
  cr_assert_eq(table.has_value(), row.compiles, "%s", row.fault);
  if (!row.compiles)
    return;
  cr_assert_eq(table.value().NextState(0, 0), 1);
  cr_assert_eq(table.value().NextState(1, 1), 0);
  cr_assert_eq(table.value().NextState(0, 1), TransitionTable::kNoTransition);
}

// Guards against documentation that does not match the built-in charts.
Test(charts, page_is_up_to_date) {
  const std::string path = SourcePath("docs/charts.md");
  if (std::getenv("JACKDAWTURN_WRITE_CHARTS") != nullptr)
    std::ofstream(path) << ChartsToMarkdown();
  cr_assert(ReadFile(path) == ChartsToMarkdown());
}

// Guards against input that crashes the loader, and against a loaded chart with
// a transition to an unknown state. Each step changes, erases or inserts bytes.
Test(charts, mutated_charts_are_refused_or_sound) {
  std::mt19937_64 random(7);
  size_t loaded = 0;
  size_t refused = 0;
  for (const auto& [name, original] : BuiltInChartTexts()) {
    for (int round = 0; round < 2'000; ++round) {
      std::string text = original;
      const size_t changes = 1 + random() % 3;
      for (size_t change = 0; change < changes && !text.empty(); ++change) {
        const size_t at = random() % text.size();
        const char byte = "{}[],:\"a\\\0 1"[random() % 12];
        switch (random() % 4) {
          case 0:
            text[at] = byte;
            break;
          case 1:
            text.erase(at, 1 + random() % 40);
            break;
          case 2:
            text.insert(at, 1, byte);
            break;
          default:
            text.insert(at, text.substr(random() % text.size(), 60));
            break;
        }
      }
      const auto chart = StateChart::Create(text);
      if (!chart.has_value()) {
        ++refused;
        cr_assert_not(chart.error().message.empty());
        continue;
      }
      ++loaded;
      StateChartInstance instance(chart.value());
      for (const ChartTransition& transition : chart.value().transitions()) {
        const std::string* next_state =
            chart.value().NextState(transition.from, transition.event);
        cr_assert(next_state != nullptr && *next_state == transition.to);
        instance.Fire(transition.event);
        cr_assert(std::any_of(chart.value().states().begin(),
                              chart.value().states().end(),
                              [&instance](const ChartState& state) {
                                return state.name == instance.state();
                              }));
      }
    }
  }
  cr_assert_gt(loaded, 100U);
  cr_assert_gt(refused, 1'000U);
}

}  // namespace jackdawturn
