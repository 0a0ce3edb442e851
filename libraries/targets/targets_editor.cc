#include "targets/targets_editor.h"

#include <algorithm>
#include <utility>

namespace jackdawturn::targets {

std::string_view ToString(EditOutcome outcome) {
  switch (outcome) {
    case EditOutcome::kAccepted:
      return "accepted";
    case EditOutcome::kUnchanged:
      return "unchanged";
    case EditOutcome::kInvalid:
      return "invalid";
    case EditOutcome::kConflict:
      return "conflict";
    case EditOutcome::kUnavailable:
      return "unavailable";
    case EditOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

TargetsEditor::TargetsEditor(EditorOptions options, std::mt19937_64 random)
    : m_options(std::move(options)), m_random(random) {}

std::vector<EditorEffect> TargetsEditor::Handle(const EditorEvent& event,
                                                TimePoint now) {
  Effects effects;
  if (m_step == Step::kFinished)
    return effects;
  if (const auto* set = std::get_if<SetTargets>(&event)) {
    ParsedTargets parsed = ParseTargets(set->document);
    if (!parsed.valid()) {
      EditFinished result;
      result.outcome = EditOutcome::kInvalid;
      result.faults = std::move(parsed.faults);
      Finish(std::move(result), effects);
      return effects;
    }
    m_classes = std::move(parsed.classes);
    m_has_classes = true;
    Start(set->change, set->expected, now, effects);
  } else if (const auto* rollback = std::get_if<RollbackTargets>(&event)) {
    m_rollback = true;
    Start(rollback->change, rollback->expected, now, effects);
  } else if (const auto* read = std::get_if<ObjectRead>(&event)) {
    if (m_step == Step::kReading)
      OnRead(*read, effects);
  } else if (const auto* updated = std::get_if<ObjectUpdated>(&event)) {
    if (m_step == Step::kUpdating) {
      EditFinished result;
      result.outcome = EditOutcome::kAccepted;
      result.version = updated->version;
      result.stored_version = updated->version;
      result.value = m_value;
      Finish(std::move(result), effects);
    }
  } else if (std::holds_alternative<UpdateConflict>(event)) {
    // The conflicting update may be this change itself, if its answer was lost.
    if (m_step == Step::kUpdating)
      Read(effects);
  } else if (std::holds_alternative<PlatformUnanswered>(event)) {
    if (m_step == Step::kReading || m_step == Step::kUpdating)
      RetryLater(now);
  }
  return effects;
}

std::vector<EditorEffect> TargetsEditor::OnTime(TimePoint now) {
  Effects effects;
  if (m_step == Step::kFinished)
    return effects;
  if (now >= m_deadline) {
    EditFinished result;
    result.outcome =
        m_update_sent ? EditOutcome::kUnknown : EditOutcome::kUnavailable;
    Finish(std::move(result), effects);
  } else if (m_step == Step::kWaiting && now >= m_retry_at) {
    Read(effects);
  }
  return effects;
}

TimePoint TargetsEditor::NextWakeup() const {
  if (m_step == Step::kIdle || m_step == Step::kFinished)
    return TimePoint::max();
  return m_step == Step::kWaiting ? std::min(m_retry_at, m_deadline)
                                  : m_deadline;
}

void TargetsEditor::Start(ChangeId change,
                          std::optional<ObjectVersion> expected,
                          TimePoint now,
                          Effects& effects) {
  m_change = std::move(change);
  m_expected = expected;
  m_deadline = now + m_options.time_limit;
  Read(effects);
}

void TargetsEditor::Read(Effects& effects) {
  m_step = Step::kReading;
  m_retry_at = TimePoint::max();
  effects.emplace_back(ReadTargetsObject{m_options.key});
}

void TargetsEditor::RetryLater(TimePoint now) {
  const Duration::rep interval = m_options.retry_interval.count();
  m_step = Step::kWaiting;
  m_retry_at = now + Duration(std::uniform_int_distribution<Duration::rep>(
                         interval / 2, interval)(m_random));
}

void TargetsEditor::OnRead(const ObjectRead& read, Effects& effects) {
  StoredTargets stored;
  if (read.version != ObjectVersion()) {
    auto result = ParseStoredTargets(read.value);
    // A malformed value is replaced as if it were empty.
    if (result)
      stored = std::move(result.value());
  }
  EditFinished result;
  const auto found_change =
      std::find(stored.changes.begin(), stored.changes.end(), m_change);
  if (found_change != stored.changes.end()) {
    const auto later_changes =
        static_cast<uint64_t>(found_change - stored.changes.begin());
    result.outcome = EditOutcome::kAccepted;
    result.version = ObjectVersion{read.version.value - later_changes};
    result.stored_version = read.version;
    result.value = read.value;
    Finish(std::move(result), effects);
    return;
  }
  if (m_rollback && !m_has_classes) {
    if (stored.previous.empty()) {
      result.outcome = EditOutcome::kInvalid;
      result.faults.push_back(DocumentFault{"", "there is no earlier version"});
      Finish(std::move(result), effects);
      return;
    }
    m_classes = stored.previous;
    m_has_classes = true;
  }
  if (!m_expected)
    m_expected = read.version;
  if (*m_expected != read.version) {
    result.outcome = EditOutcome::kConflict;
    result.version = read.version;
    result.differences = Differences(m_classes, stored.classes);
    Finish(std::move(result), effects);
    return;
  }
  if (read.version != ObjectVersion() && m_classes == stored.classes) {
    result.outcome = EditOutcome::kUnchanged;
    result.version = read.version;
    Finish(std::move(result), effects);
    return;
  }
  Update(stored, effects);
}

void TargetsEditor::Update(const StoredTargets& stored, Effects& effects) {
  StoredTargets next;
  next.classes = m_classes;
  next.previous = stored.classes;
  next.changes.push_back(m_change);
  for (const ChangeId& change : stored.changes) {
    if (next.changes.size() < StoredTargets::kRememberedChanges)
      next.changes.push_back(change);
  }
  m_value = SerializeStoredTargets(next);
  m_step = Step::kUpdating;
  m_update_sent = true;
  effects.emplace_back(
      UpdateTargetsObject{m_options.key, *m_expected, m_value});
}

void TargetsEditor::Finish(EditFinished result, Effects& effects) {
  m_step = Step::kFinished;
  effects.emplace_back(std::move(result));
}

}  // namespace jackdawturn::targets
