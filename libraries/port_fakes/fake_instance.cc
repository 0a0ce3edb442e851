#include "port_fakes/fake_instance.h"

#include <utility>
#include <vector>

#include "port_fakes/instance_calls.h"

namespace jackdawturn {

FakeInstance::FakeInstance(FakeInstanceOptions options,
                           FakeAfter after,
                           std::function<void()> on_log_change)
    : m_options(std::move(options)),
      m_after(std::move(after)),
      m_on_log_change(std::move(on_log_change)),
      m_database(m_options.instance) {
  const Term first{1};
  if (m_options.initial_primary == m_database.name()) {
    VERIFY(m_database.Fence(first).has_value());
    VERIFY(m_database.Promote(first).has_value());
  } else if (!m_options.initial_primary.empty()) {
    VERIFY(m_database.Follow(first, m_options.initial_primary).has_value());
  }
}

void FakeInstance::After(Duration delay, std::function<void()> task) {
  m_after(delay, [life = std::weak_ptr<bool>(m_life), task = std::move(task)] {
    if (!life.expired())
      task();
  });
}

void FakeInstance::Crash() {
  m_up = false;
  m_life = std::make_shared<bool>(true);
  m_running = 0;
  m_waiting.clear();
  m_position_waiters.clear();
  m_database.Restart();
}

bool FakeInstance::Answers(std::optional<ConnectionId> connection) const {
  return m_up && !m_silent && (!connection || *connection > m_silenced_up_to);
}

void FakeInstance::Open(
    const std::function<void(Result<ConnectionId>)>& respond) {
  if (!Answers(std::nullopt))
    return;
  auto opened = m_database.Open();
  if (!opened)
    return respond(std::move(opened));
  m_newest = opened.value();
  After(m_options.open_time, [this, respond, opened] {
    if (Answers(opened.value()))
      respond(opened);
    else
      m_database.Close(opened.value());
  });
}

void FakeInstance::Handle(std::optional<ConnectionId> connection,
                          const BackendRequest& request,
                          const Respond& respond) {
  if (!Answers(connection))
    return;
  if (UsesConnection(request)) {
    m_waiting.push_back(
        {connection.value_or(ConnectionId()), request, respond});
    return RunNextStatement();
  }
  const auto answer = [this, connection, request, respond] {
    if (Answers(connection))
      respond(Run(connection.value_or(ConnectionId()), request));
  };
  const auto* report = std::get_if<ReportCall>(&request);
  if (report == nullptr || !report->wait_position ||
      *report->wait_position <= m_database.Report().position)
    return answer();
  const uint64_t number = ++m_last_waiter;
  m_position_waiters[number] = {*report->wait_position, answer};
  After(report->wait, [this, number, answer] {
    if (m_position_waiters.erase(number) != 0)
      answer();
  });
}

void FakeInstance::RunNextStatement() {
  if (m_running >= m_options.slots || m_waiting.empty())
    return;
  ++m_running;
  Waiting waiting = std::move(m_waiting.front());
  m_waiting.pop_front();
  After(m_options.statement_time, [this, waiting = std::move(waiting)] {
    --m_running;
    auto result = Run(waiting.connection, waiting.request);
    if (Answers(waiting.connection))
      waiting.respond(std::move(result));
    RunNextStatement();
  });
}

Result<BackendResponse> FakeInstance::Run(ConnectionId connection,
                                          const BackendRequest& request) {
  DatabaseInstance& database = m_database;
  const LogPosition before = database.Report().position;
  Result<BackendResponse> result = RunCall(database, connection, request);
  if (database.Report().position != before ||
      std::holds_alternative<FollowCall>(request)) {
    LogChanged();
    m_on_log_change();
  }
  return result;
}

void FakeInstance::LogChanged() {
  std::vector<std::function<void()>> reached;
  std::erase_if(m_position_waiters, [&](auto& entry) {
    if (entry.second.position > m_database.Report().position)
      return false;
    reached.push_back(std::move(entry.second.answer));
    return true;
  });
  for (const auto& answer : reached)
    answer();
}

}  // namespace jackdawturn
