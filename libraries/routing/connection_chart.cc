#include <array>
#include <utility>

#include "routing/connection_pool.h"

namespace jackdawturn::routing {

namespace {

using Event = ConnectionEvent;

// In the order of ConnectionState.
const std::vector<std::string_view> kStates = {
    "opening", "idle",    "busy",          "held",
    "probing", "suspect", "probe_overdue", "closed"};

const std::vector<std::string_view> kAllButClosed = {
    "opening", "idle", "busy", "held", "probing", "suspect", "probe_overdue"};

// In the order of ConnectionEvent, each with the states in which the pool fires
// it.
const std::vector<EventSources> kEvents = {
    {"opened", {"opening"}},
    {"open_failed", {"opening"}},
    {"statement_sent", {"idle", "held"}},
    {"answered", {"busy", "suspect"}},
    {"answered_in_transaction", {"busy", "suspect"}},
    {"transaction_ended", {"held"}},
    {"state_unknown", {"busy", "held", "suspect"}},
    {"probe_sent", {"idle"}},
    {"overdue", {"busy", "probing"}},
    {"probe_answered",
     {"idle", "busy", "held", "probing", "suspect", "probe_overdue"}},
    {"silent", {"suspect", "probe_overdue"}},
    {"given_up", {"suspect", "probe_overdue"}},
    {"retired", {"opening", "idle", "probing", "probe_overdue"}},
    {"lost", kAllButClosed},
    {"instance_removed", kAllButClosed},
};

// The pool removes a connection after these events.
constexpr std::array kTerminalEvents = {
    Event::kOpenFailed,     Event::kStateUnknown, Event::kSilent,
    Event::kGivenUp,        Event::kRetired,      Event::kLost,
    Event::kInstanceRemoved};

}  // namespace

std::string_view ToString(ConnectionState state) {
  return kStates[static_cast<size_t>(state)];
}

Result<TransitionTable> CompileConnectionChart(const StateChart& chart) {
  VERIFY(kStates.size() == static_cast<size_t>(ConnectionState::kClosed) + 1);
  VERIFY(kEvents.size() == static_cast<size_t>(Event::kInstanceRemoved) + 1);
  TRY(const auto table, TransitionTable::Create(chart, kStates, kEvents));
  for (size_t state = 0; state < kStates.size(); ++state) {
    for (const Event event : kTerminalEvents) {
      const uint8_t next_state =
          table.NextState(state, static_cast<size_t>(event));
      if (next_state != TransitionTable::kNoTransition &&
          next_state != static_cast<uint8_t>(ConnectionState::kClosed))
        return Failure(
            ErrorCode::kInvalidArgument, "chart.compile", chart.name(),
            "the event \"" +
                std::string(kEvents[static_cast<size_t>(event)].name) +
                "\" must lead to \"closed\"; got a transition from " +
                std::string(kStates[state]) + " to " +
                std::string(kStates[next_state]));
    }
  }
  return table;
}

const TransitionTable& ConnectionChart() {
  static const TransitionTable chart = [] {
    auto table = CompileConnectionChart(BuiltInChart("connection"));
    VERIFY(table.has_value());
    return std::move(table).value();
  }();
  return chart;
}

}  // namespace jackdawturn::routing
