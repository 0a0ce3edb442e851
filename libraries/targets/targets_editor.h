#pragma once

#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "core/core.h"
#include "targets/class_targets.h"
#include "targets/stored_targets.h"

namespace jackdawturn::targets {

// The operator's change: the whole new document.
struct SetTargets {
  ChangeId change;
  // The version that the operator saw; without it the change replaces whatever
  // is stored at the first read.
  std::optional<ObjectVersion> expected;
  std::string document;
};

// Makes the classes before the last change a new version. `expected` as above.
struct RollbackTargets {
  ChangeId change;
  std::optional<ObjectVersion> expected;
};

// The platform's answer to ReadTargetsObject; an absent object has version 0.
struct ObjectRead {
  ObjectVersion version;
  std::string value;
};
struct ObjectUpdated {
  ObjectVersion version;
};
struct UpdateConflict {};
// No answer: the update may or may not have taken effect. Also for reads.
struct PlatformUnanswered {};

using EditorEvent = std::variant<SetTargets,
                                 RollbackTargets,
                                 ObjectRead,
                                 ObjectUpdated,
                                 UpdateConflict,
                                 PlatformUnanswered>;

struct ReadTargetsObject {
  std::string key;
};
// Updates the object if it has the version `expected`.
struct UpdateTargetsObject {
  std::string key;
  ObjectVersion expected;
  std::string value;
};

enum class EditOutcome {
  kAccepted,     // Stored as `version`; feed VersionSpread with it.
  kUnchanged,    // The document equals what is stored.
  kInvalid,      // `faults` names every fault; nothing was sent.
  kConflict,     // Another change came first; `differences` shows it.
  kUnavailable,  // The platform did not answer; nothing was sent to be stored.
  kUnknown,      // The platform did not answer in time; ask again with the same
                 // change id.
};

// Returns the name on the wire, for example "accepted".
std::string_view ToString(EditOutcome outcome);

struct EditFinished {
  EditOutcome outcome = EditOutcome::kUnknown;
  // The version of the change when accepted.
  ObjectVersion version;
  // What is stored now, when accepted: newer than `version` if another change
  // came between the own one and the repeated question.
  ObjectVersion stored_version;
  std::string value;
  std::vector<DocumentFault> faults;
  // From the operator's document to what is stored, on conflict.
  std::vector<ClassDifference> differences;
};

using EditorEffect =
    std::variant<ReadTargetsObject, UpdateTargetsObject, EditFinished>;

struct EditorOptions {
  std::string key = "targets";
  // Wait before the platform is asked again after a missing answer.
  Duration retry_interval = std::chrono::milliseconds(200);
  // The outcome is unknown when this time has passed.
  Duration time_limit = std::chrono::milliseconds(5'000);
};

// One change of the targets by one operator: validate, read, update under the
// condition of the version, and recognise the own change by its id when an
// answer was lost. One machine serves one change.
// Thread safety: not thread-safe.
class TargetsEditor {
 public:
  TargetsEditor(EditorOptions options, std::mt19937_64 random);

  std::vector<EditorEffect> Handle(const EditorEvent& event, TimePoint now);
  std::vector<EditorEffect> OnTime(TimePoint now);
  // Returns TimePoint::max() when nothing is due.
  TimePoint NextWakeup() const;
  bool finished() const { return m_step == Step::kFinished; }

 private:
  enum class Step { kIdle, kReading, kUpdating, kWaiting, kFinished };
  using Effects = std::vector<EditorEffect>;

  void Start(ChangeId change,
             std::optional<ObjectVersion> expected,
             TimePoint now,
             Effects& effects);
  void Read(Effects& effects);
  void OnRead(const ObjectRead& read, Effects& effects);
  void Finish(EditFinished result, Effects& effects);
  void RetryLater(TimePoint now);
  void Update(const StoredTargets& stored, Effects& effects);

  EditorOptions m_options;
  std::mt19937_64 m_random;
  Step m_step = Step::kIdle;
  ChangeId m_change;
  std::optional<ObjectVersion> m_expected;
  bool m_rollback = false;
  bool m_has_classes = false;
  bool m_update_sent = false;
  ClassTargets m_classes;
  // The value that is being stored.
  std::string m_value;
  TimePoint m_retry_at = TimePoint::max();
  TimePoint m_deadline = TimePoint::max();
};

}  // namespace jackdawturn::targets
