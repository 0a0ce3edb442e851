#include <algorithm>
#include <set>

#include "charts/charts.h"

namespace jackdawturn {

namespace {

using Names = std::set<std::string, std::less<>>;
using Sources = std::set<std::pair<std::string, std::string>>;

// Appends the members of `left` that `right` lacks.
template <typename Set, typename Text>
void AppendMissing(const Set& left,
                   const Set& right,
                   const Text& text,
                   std::string& message) {
  for (const auto& item : left) {
    if (right.count(item) == 0)
      message += (message.empty() ? "" : "; ") + text(item);
  }
}

std::string CompareStates(const StateChart& chart,
                          const std::vector<std::string_view>& states) {
  Names in_chart;
  for (const ChartState& state : chart.states())
    in_chart.insert(state.name);
  const Names in_code(states.begin(), states.end());
  std::string message;
  AppendMissing(
      in_code, in_chart,
      [](const std::string& name) {
        return "the chart lacks the state \"" + name + '"';
      },
      message);
  AppendMissing(
      in_chart, in_code,
      [](const std::string& name) {
        return "the code lacks the state \"" + name + '"';
      },
      message);
  return message;
}

std::string CompareTransitions(const StateChart& chart,
                               const std::vector<EventSources>& events) {
  Sources in_chart;
  for (const ChartTransition& transition : chart.transitions())
    in_chart.emplace(transition.from, transition.event);
  Sources in_code;
  for (const EventSources& event : events) {
    for (const std::string_view from : event.from)
      in_code.emplace(from, event.name);
  }
  const auto name = [](const std::pair<std::string, std::string>& source) {
    return "the transition of \"" + source.first + "\" for \"" + source.second +
           '"';
  };
  std::string message;
  AppendMissing(
      in_code, in_chart,
      [&name](const auto& source) { return "the chart lacks " + name(source); },
      message);
  AppendMissing(
      in_chart, in_code,
      [&name](const auto& source) { return "the code lacks " + name(source); },
      message);
  return message;
}

template <typename List, typename Matches>
size_t IndexOf(const List& list, const Matches& matches) {
  const auto found = std::find_if(list.begin(), list.end(), matches);
  VERIFY(found != list.end());
  return static_cast<size_t>(found - list.begin());
}

}  // namespace

Result<TransitionTable> TransitionTable::Create(
    const StateChart& chart,
    const std::vector<std::string_view>& states,
    const std::vector<EventSources>& events) {
  std::string message;
  if (states.empty() || states.size() > kMaxStates ||
      events.size() > kMaxEvents)
    message = "expected 1 to " + std::to_string(kMaxStates) +
              " states and at most " + std::to_string(kMaxEvents) +
              " events, got " + std::to_string(states.size()) + " and " +
              std::to_string(events.size());
  if (message.empty())
    message = CompareStates(chart, states);
  if (message.empty())
    message = CompareTransitions(chart, events);
  if (message.empty() && chart.initial() != states.front())
    message = "the initial state is \"" + chart.initial() + "\", expected \"" +
              std::string(states.front()) + '"';
  if (!message.empty())
    return Failure(ErrorCode::kInvalidArgument, "chart.compile", chart.name(),
                   message);
  TransitionTable table;
  for (auto& next_states : table.m_next_states)
    next_states.fill(kNoTransition);
  const auto state_index = [&states](const std::string& name) {
    return IndexOf(states, [&name](auto state) { return state == name; });
  };
  for (const ChartTransition& transition : chart.transitions()) {
    const size_t event = IndexOf(events, [&transition](const auto& item) {
      return item.name == transition.event;
    });
    table.m_next_states[state_index(transition.from)][event] =
        static_cast<uint8_t>(state_index(transition.to));
  }
  return table;
}

}  // namespace jackdawturn
