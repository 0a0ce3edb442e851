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
  Names of_chart;
  for (const ChartState& state : chart.states())
    of_chart.insert(state.name);
  const Names of_code(states.begin(), states.end());
  std::string message;
  AppendMissing(
      of_code, of_chart,
      [](const std::string& name) {
        return "the chart lacks the state \"" + name + '"';
      },
      message);
  AppendMissing(
      of_chart, of_code,
      [](const std::string& name) {
        return "the code lacks the state \"" + name + '"';
      },
      message);
  return message;
}

std::string CompareTransitions(const StateChart& chart,
                               const std::vector<EventSources>& events) {
  Sources of_chart;
  for (const ChartTransition& transition : chart.transitions())
    of_chart.emplace(transition.from, transition.event);
  Sources of_code;
  for (const EventSources& event : events) {
    for (const std::string_view from : event.from)
      of_code.emplace(from, event.name);
  }
  const auto name = [](const std::pair<std::string, std::string>& source) {
    return "the transition of \"" + source.first + "\" for \"" + source.second +
           '"';
  };
  std::string message;
  AppendMissing(
      of_code, of_chart,
      [&name](const auto& source) { return "the chart lacks " + name(source); },
      message);
  AppendMissing(
      of_chart, of_code,
      [&name](const auto& source) { return "the code lacks " + name(source); },
      message);
  return message;
}

template <typename List, typename Matches>
size_t PlaceOf(const List& list, const Matches& matches) {
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
    message = "the number of states or events is outside the table";
  if (message.empty())
    message = CompareStates(chart, states);
  if (message.empty())
    message = CompareTransitions(chart, events);
  if (message.empty() && chart.initial() != states.front())
    message = "the initial state is \"" + chart.initial() + '"';
  if (!message.empty())
    return Failure(ErrorCode::kInvalidArgument, "chart.compile", chart.name(),
                   message);
  TransitionTable table;
  for (auto& next_states : table.m_next_states)
    next_states.fill(kNoTransition);
  const auto state_place = [&states](const std::string& name) {
    return PlaceOf(states, [&name](auto state) { return state == name; });
  };
  for (const ChartTransition& transition : chart.transitions()) {
    const size_t event = PlaceOf(events, [&transition](const auto& item) {
      return item.name == transition.event;
    });
    table.m_next_states[state_place(transition.from)][event] =
        static_cast<uint8_t>(state_place(transition.to));
  }
  return table;
}

}  // namespace jackdawturn
