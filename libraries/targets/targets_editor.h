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

// An operator's change, with the complete new document.
struct SetTargets {
  ChangeId change;
  // The version that the operator has read. If absent, the change replaces the
  // version that the first read returns.
  std::optional<ObjectVersion> expected;
  std::string document;
};

// Writes the classes before the last change as a new version. `expected` is as
// in SetTargets.
struct RollbackTargets {
  ChangeId change;
  std::optional<ObjectVersion> expected;
};

// The store's answer to ReadTargetsObject; an absent object has version 0.
struct ObjectRead {
  ObjectVersion version;
  std::string value;
};
struct ObjectUpdated {
  ObjectVersion version;
};
struct UpdateConflict {};
// The store did not answer a read or an update; an update may have taken
// effect.
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
// Updates the object on condition that its version is `expected`.
struct UpdateTargetsObject {
  std::string key;
  ObjectVersion expected;
  std::string value;
};

enum class EditOutcome {
  kAccepted,     // Stored as `version`; feed VersionSpread with it.
  kUnchanged,    // The document equals the stored one.
  kInvalid,      // `faults` lists every fault; no update was sent.
  kConflict,     // Another change was stored first; see `differences`.
  kUnavailable,  // The store did not answer; no update was sent.
  kUnknown,      // The store did not answer in time; retry with the same
                 // change id.
};

// Returns the name on the wire, for example "accepted".
std::string_view ToString(EditOutcome outcome);

struct EditFinished {
  EditOutcome outcome = EditOutcome::kUnknown;
  // The version of the change when accepted.
  ObjectVersion version;
  // The version stored now, when accepted: newer than `version` if another
  // change was stored before the read that recognised this one.
  ObjectVersion stored_version;
  std::string value;
  std::vector<DocumentFault> faults;
  // Differences from the operator's document to the stored one, on conflict.
  std::vector<ClassDifference> differences;
};

using EditorEffect =
    std::variant<ReadTargetsObject, UpdateTargetsObject, EditFinished>;

struct EditorOptions {
  std::string key = "targets";
  // Maximum delay before a retry after the store did not answer.
  Duration retry_interval = std::chrono::milliseconds(200);
  // Timeout of the change; after it the outcome is unknown if an update was
  // sent.
  Duration time_limit = std::chrono::milliseconds(5'000);
};

// Performs one change of the targets by one operator: validates the document,
// reads the object, updates it on condition of its version, and recognises this
// change by its id when an answer was lost. One instance handles one change.
// Thread safety: not thread-safe.
class TargetsEditor {
 public:
  TargetsEditor(EditorOptions options, std::mt19937_64 random);

  std::vector<EditorEffect> Handle(const EditorEvent& event, TimePoint now);
  std::vector<EditorEffect> OnTime(TimePoint now);
  // Returns TimePoint::max() when no timer is set.
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
  // The value of the update in progress.
  std::string m_value;
  TimePoint m_retry_at = TimePoint::max();
  TimePoint m_deadline = TimePoint::max();
};

}  // namespace jackdawturn::targets
