#pragma once

// Public header of the library charts: state charts in JSON files, which the
// code interprets and from which the diagrams of the documentation are
// generated.

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/core.h"

namespace jackdawturn {

// An error in a chart file.
struct ChartError {
  // JSON pointer (RFC 6901) to the faulty value; empty for the whole document.
  std::string pointer;
  std::string message;

  friend bool operator==(const ChartError&, const ChartError&) = default;
};

struct ChartState {
  std::string name;
  std::string description;
};

struct ChartTransition {
  std::string from;
  std::string event;
  std::string to;
};

// Returns all errors of the chart in `text`, in document order: JSON that
// cannot be parsed, missing, unknown or ill-typed members, duplicate states and
// transitions, targets and sources that are not states, a missing or unknown
// initial state and unreachable states. Empty for a valid chart. Thread-safe.
std::vector<ChartError> ValidateChart(std::string_view text);

// A validated state chart. Thread safety: immutable, so safe from any thread.
class StateChart {
 public:
  // Errors: kInvalidArgument; the message lists all errors of ValidateChart
  // with their JSON pointers.
  static Result<StateChart> Create(std::string_view text);

  const std::string& name() const { return m_name; }
  const std::string& initial() const { return m_initial; }
  const std::vector<ChartState>& states() const { return m_states; }
  const std::vector<ChartTransition>& transitions() const {
    return m_transitions;
  }

  // Returns the target of `event` in `state`, or nullptr when the state has no
  // such transition. The pointer lives as long as the chart.
  const std::string* NextState(const std::string& state,
                               const std::string& event) const;

 private:
  std::string m_name;
  std::string m_initial;
  std::vector<ChartState> m_states;
  std::vector<ChartTransition> m_transitions;
  std::map<std::pair<std::string, std::string>, std::string> m_next_states;
};

// The current state of one execution of a chart. Thread safety: not
// thread-safe.
class StateChartInstance {
 public:
  // Precondition: `chart` outlives the instance.
  explicit StateChartInstance(const StateChart& chart)
      : m_chart(&chart), m_state(chart.initial()) {}

  const std::string& state() const { return m_state; }

  // Takes the transition of `event`. Returns false, and keeps the state, when
  // the current state has none.
  bool Fire(const std::string& event);

 private:
  const StateChart* m_chart;
  std::string m_state;
};

// An event that code fires, with the states in which it may fire it.
struct EventSources {
  std::string_view name;
  std::vector<std::string_view> from;
};

// A chart as a table of small integers, for code that runs for each request.
// States and events are the indices of their names in the lists of Create,
// which equal the enum values of that code. Thread safety: immutable, so safe
// from any thread.
class TransitionTable {
 public:
  static constexpr size_t kMaxStates = 16;
  static constexpr size_t kMaxEvents = 16;
  static constexpr uint8_t kNoTransition = UINT8_MAX;

  // Errors: kInvalidArgument when the states, the events, or the states in
  // which an event is possible differ from those of the chart, when the initial
  // state is not the first of `states`, or when there are more states or events
  // than the table holds.
  static Result<TransitionTable> Create(
      const StateChart& chart,
      const std::vector<std::string_view>& states,
      const std::vector<EventSources>& events);

  // Returns the state after `event` in `state`, or kNoTransition.
  // Preconditions: both are below the limits.
  uint8_t NextState(size_t state, size_t event) const {
    return m_next_states[state][event];
  }

 private:
  TransitionTable() = default;

  std::array<std::array<uint8_t, kMaxEvents>, kMaxStates> m_next_states;
};

// Returns the JSON texts of the charts in charts/, which are built into the
// binary, by file name without ".json". Thread-safe.
const std::map<std::string, std::string>& BuiltInChartTexts();

// Returns a chart in charts/ by file name without ".json". Precondition: the
// chart exists and is valid, which a test checks. Thread-safe.
const StateChart& BuiltInChart(const std::string& name);

// Returns the chart as the text of a Mermaid state diagram. Thread-safe.
std::string ChartToMermaid(const StateChart& chart);

// Returns the text of docs/charts.md for the built-in charts. Thread-safe.
std::string ChartsToMarkdown();

}  // namespace jackdawturn
