#include <algorithm>
#include <functional>
#include <optional>
#include <set>
#include <utility>

#include <boost/json.hpp>

#include "charts/charts.h"

namespace jackdawturn {

namespace {

namespace json = boost::json;

// Parses a chart and collects all errors of the document.
class ChartReader {
 public:
  void Read(std::string_view text);

  const std::vector<ChartError>& errors() const { return m_errors; }
  std::string name;
  std::string initial;
  std::vector<ChartState> states;
  std::vector<ChartTransition> transitions;

 private:
  void AddError(std::string pointer, std::string message) {
    m_errors.push_back(ChartError{std::move(pointer), std::move(message)});
  }
  bool CheckObject(const json::value& value,
                   const std::string& pointer,
                   const std::set<std::string>& members);
  std::optional<std::string> ReadText(const json::value& parent,
                                      const std::string& pointer,
                                      const char* member);
  std::optional<std::string> ReadName(const json::value& parent,
                                      const std::string& pointer,
                                      const char* member);
  const json::array* ReadArray(const json::value& parent, const char* member);
  void ReadStates(const json::value& document);
  void ReadTransitions(const json::value& document);
  void CheckTransition(const ChartTransition& transition,
                       const std::string& pointer);
  void CheckReachable();
  bool IsState(const std::string& state) const {
    return m_state_names.count(state) != 0;
  }

  std::vector<ChartError> m_errors;
  std::set<std::string> m_state_names;
  // JSON pointers to the members of `states`, which excludes invalid ones.
  std::vector<std::string> m_state_pointers;
  std::set<std::pair<std::string, std::string>> m_sources;
};

std::string EscapePointer(std::string_view member) {
  std::string escaped;
  for (const char c : member) {
    if (c == '~')
      escaped += "~0";
    else if (c == '/')
      escaped += "~1";
    else
      escaped += c;
  }
  return escaped;
}

// Names appear unescaped in diagrams and logs.
bool IsName(std::string_view text) {
  return text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789_") ==
         std::string_view::npos;
}

bool ChartReader::CheckObject(const json::value& value,
                              const std::string& pointer,
                              const std::set<std::string>& members) {
  const json::object* object = value.if_object();
  if (object == nullptr) {
    AddError(pointer, "must be an object");
    return false;
  }
  for (const auto& item : *object) {
    if (members.count(std::string(item.key())) == 0)
      AddError(pointer + '/' + EscapePointer(item.key()), "unknown member");
  }
  return true;
}

std::optional<std::string> ChartReader::ReadText(const json::value& parent,
                                                 const std::string& pointer,
                                                 const char* member) {
  const json::value* value = parent.as_object().if_contains(member);
  if (value == nullptr) {
    AddError(pointer, std::string("member \"") + member + "\" is missing");
    return std::nullopt;
  }
  const json::string* text = value->if_string();
  if (text == nullptr || text->empty()) {
    AddError(pointer + '/' + member, "must be a non-empty string");
    return std::nullopt;
  }
  return std::string(*text);
}

std::optional<std::string> ChartReader::ReadName(const json::value& parent,
                                                 const std::string& pointer,
                                                 const char* member) {
  auto text = ReadText(parent, pointer, member);
  if (text && !IsName(*text)) {
    AddError(pointer + '/' + member,
             "must consist of lower-case letters, digits and '_'");
    return std::nullopt;
  }
  return text;
}

const json::array* ChartReader::ReadArray(const json::value& parent,
                                          const char* member) {
  const json::value* value = parent.as_object().if_contains(member);
  if (value == nullptr) {
    AddError("", std::string("member \"") + member + "\" is missing");
    return nullptr;
  }
  if (!value->is_array())
    AddError(std::string("/") + member, "must be an array");
  return value->if_array();
}

void ChartReader::ReadStates(const json::value& document) {
  const json::array* array = ReadArray(document, "states");
  if (array == nullptr)
    return;
  for (size_t index = 0; index < array->size(); ++index) {
    const json::value& item = (*array)[index];
    const std::string pointer = "/states/" + std::to_string(index);
    if (!CheckObject(item, pointer, {"name", "description"}))
      continue;
    const auto state = ReadName(item, pointer, "name");
    const auto description = ReadText(item, pointer, "description");
    if (!state)
      continue;
    if (!m_state_names.insert(*state).second) {
      AddError(pointer + "/name", "duplicate state \"" + *state + '"');
    } else {
      states.push_back(ChartState{*state, description.value_or("")});
      m_state_pointers.push_back(pointer);
    }
  }
}

void ChartReader::CheckTransition(const ChartTransition& transition,
                                  const std::string& pointer) {
  if (!IsState(transition.from))
    AddError(pointer + "/from", "unknown state \"" + transition.from + '"');
  if (!IsState(transition.to))
    AddError(pointer + "/to", "unknown target \"" + transition.to + '"');
  if (!m_sources.insert({transition.from, transition.event}).second)
    AddError(pointer, "duplicate transition of \"" + transition.from +
                          "\" for \"" + transition.event + '"');
}

void ChartReader::ReadTransitions(const json::value& document) {
  const json::array* array = ReadArray(document, "transitions");
  if (array == nullptr)
    return;
  for (size_t index = 0; index < array->size(); ++index) {
    const json::value& item = (*array)[index];
    const std::string pointer = "/transitions/" + std::to_string(index);
    if (!CheckObject(item, pointer, {"from", "event", "to"}))
      continue;
    const auto from = ReadName(item, pointer, "from");
    const auto event = ReadName(item, pointer, "event");
    const auto to = ReadName(item, pointer, "to");
    if (!from || !event || !to)
      continue;
    transitions.push_back(ChartTransition{*from, *event, *to});
    CheckTransition(transitions.back(), pointer);
  }
}

void ChartReader::CheckReachable() {
  std::set<std::string> reached = {initial};
  for (bool grown = true; grown;) {
    grown = false;
    for (const ChartTransition& transition : transitions) {
      if (reached.count(transition.from) != 0)
        grown = reached.insert(transition.to).second || grown;
    }
  }
  for (size_t index = 0; index < states.size(); ++index) {
    if (reached.count(states[index].name) == 0)
      AddError(m_state_pointers[index],
               "state \"" + states[index].name + "\" is unreachable");
  }
}

void ChartReader::Read(std::string_view text) {
  json::error_code error;
  const json::value document =
      json::parse(json::string_view(text.data(), text.size()), error);
  if (error) {
    AddError("", "not JSON: " + error.message());
    return;
  }
  if (!CheckObject(document, "", {"name", "initial", "states", "transitions"}))
    return;
  name = ReadName(document, "", "name").value_or("");
  const auto first = ReadName(document, "", "initial");
  ReadStates(document);
  ReadTransitions(document);
  if (!first)
    return;
  initial = *first;
  if (!IsState(initial))
    AddError("/initial", "unknown state \"" + initial + '"');
  else
    CheckReachable();
}

}  // namespace

std::vector<ChartError> ValidateChart(std::string_view text) {
  ChartReader reader;
  reader.Read(text);
  return reader.errors();
}

Result<StateChart> StateChart::Create(std::string_view text) {
  ChartReader reader;
  reader.Read(text);
  if (!reader.errors().empty()) {
    std::string message;
    for (const ChartError& chart_error : reader.errors())
      message +=
          (message.empty() ? "" : "; ") +
          (chart_error.pointer.empty() ? "document" : chart_error.pointer) +
          ": " + chart_error.message;
    return Failure(ErrorCode::kInvalidArgument, "chart.load", "", message);
  }
  StateChart chart;
  chart.m_name = std::move(reader.name);
  chart.m_initial = std::move(reader.initial);
  chart.m_states = std::move(reader.states);
  chart.m_transitions = std::move(reader.transitions);
  for (const ChartTransition& transition : chart.m_transitions)
    chart.m_next_states[{transition.from, transition.event}] = transition.to;
  return chart;
}

const std::string* StateChart::NextState(const std::string& state,
                                         const std::string& event) const {
  const auto found = m_next_states.find({state, event});
  return found == m_next_states.end() ? nullptr : &found->second;
}

bool StateChartInstance::Fire(const std::string& event) {
  const std::string* next_state = m_chart->NextState(m_state, event);
  if (next_state == nullptr)
    return false;
  m_state = *next_state;
  return true;
}

const StateChart& BuiltInChart(const std::string& name) {
  static const std::map<std::string, StateChart> charts = [] {
    std::map<std::string, StateChart> loaded;
    for (const auto& [file, text] : BuiltInChartTexts()) {
      auto chart = StateChart::Create(text);
      VERIFY(chart.has_value());
      loaded.emplace(file, std::move(chart).value());
    }
    return loaded;
  }();
  const auto found = charts.find(name);
  VERIFY(found != charts.end());
  return found->second;
}

}  // namespace jackdawturn
