#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/fwd.hpp>

#include "core/core.h"

namespace jackdawturn::targets {

// The target of a class of work. A document cannot express anything else.
struct ClassTarget {
  // Maximum age of the data that a read may return; nullopt if stale data is
  // not allowed.
  std::optional<Duration> allowed_age;
  // Time within which a request is answered or refused.
  Duration answer_time{};
  // True when a request may be executed more than once.
  bool repeatable = false;

  friend bool operator==(const ClassTarget&, const ClassTarget&) = default;
};

using ClassTargets = std::map<ClassName, ClassTarget>;

// A fault in a document, with the JSON pointer to its location (RFC 6901).
struct DocumentFault {
  std::string pointer;
  std::string message;

  friend bool operator==(const DocumentFault&, const DocumentFault&) = default;
};

// The classes of a document, or all faults in it.
struct ParsedTargets {
  ClassTargets classes;
  std::vector<DocumentFault> faults;

  bool valid() const { return faults.empty(); }
};

// Limits of a document.
struct TargetsLimits {
  static constexpr size_t kMaxDocumentSize = size_t{256} * 1024;  // Bytes.
  static constexpr size_t kMaxClasses = 1'000;
  static constexpr size_t kMaxNameSize = 64;  // Bytes.
  static constexpr Duration kMaxAge = std::chrono::hours(24);
  static constexpr Duration kMaxAnswerTime = std::chrono::minutes(5);
};

// Reads a document of the form
//   {"classes": {"NAME": {"allowed_age_ms": "none" or NUMBER,
//                         "answer_time_ms": NUMBER, "repeatable": BOOL}}}
// and reports every fault at once. An unknown key is a fault that names the
// nearest known key. Thread-safe; never throws.
ParsedTargets ParseTargets(std::string_view text);
ParsedTargets ParseTargets(const boost::json::value& document);

// Serializes classes to the format that ParseTargets reads, ordered by name.
std::string ToText(const ClassTargets& classes);
boost::json::value ToJson(const ClassTargets& classes);

// A class that differs between two documents. `before` or `after` is absent if
// the class exists in only one of them.
struct ClassDifference {
  ClassName name;
  std::optional<ClassTarget> before;
  std::optional<ClassTarget> after;
};

std::vector<ClassDifference> Differences(const ClassTargets& before,
                                         const ClassTargets& after);

// Returns one line for each difference, for example
// "~ shelf_view answer_time_ms 200 -> 300".
std::string ToText(const std::vector<ClassDifference>& differences);

// Returns the candidate with the smallest edit distance to `word`; empty when
// none is similar enough for `word` to be a misspelling of it.
std::string NearestWord(std::string_view word,
                        const std::vector<std::string>& candidates);

}  // namespace jackdawturn::targets
