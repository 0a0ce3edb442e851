#include "targets/class_targets.h"

#include <algorithm>
#include <cstdint>
#include <numeric>
#include <sstream>
#include <utility>

#include <boost/json.hpp>

#include "targets/class_reader.h"

namespace jackdawturn::targets {

namespace {

constexpr const char* kAge = "allowed_age_ms";
constexpr const char* kAnswer = "answer_time_ms";
constexpr const char* kRepeatable = "repeatable";
constexpr const char* kNone = "none";

std::string PointerToken(std::string_view name) {
  std::string token = "/";
  for (const char c : name) {
    if (c == '~')
      token += "~0";
    else if (c == '/')
      token += "~1";
    else
      token += c;
  }
  return token;
}

// Reads one JSON object and collects its faults, with pointers below the
// object's pointer.
class ObjectReader {
 public:
  ObjectReader(std::string pointer, std::vector<DocumentFault>& faults)
      : m_pointer(std::move(pointer)), m_faults(faults) {}

  void Fault(const std::string& key, std::string message) {
    m_faults.push_back(
        DocumentFault{key.empty() ? m_pointer : m_pointer + PointerToken(key),
                      std::move(message)});
  }

  void CheckKeys(const boost::json::object& object,
                 const std::vector<std::string>& known) {
    for (const auto& item : object) {
      const std::string key(item.key());
      if (std::find(known.begin(), known.end(), key) != known.end())
        continue;
      const std::string nearest = NearestWord(key, known);
      Fault(key, nearest.empty()
                     ? "unknown key"
                     : "unknown key; did you mean \"" + nearest + "\"?");
    }
  }

  const boost::json::value* Find(const boost::json::object& object,
                                 const char* key) {
    const boost::json::value* value = object.if_contains(key);
    if (value == nullptr)
      Fault("", std::string("the key \"") + key + "\" is missing");
    return value;
  }

  std::optional<Duration> Milliseconds(const boost::json::value& value,
                                       const char* key,
                                       Duration maximum) {
    const auto max_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(maximum).count();
    if (const int64_t* number = value.if_int64();
        number != nullptr && *number >= 1 && *number <= max_ms)
      return std::chrono::milliseconds(*number);
    Fault(key, "expected a whole number of milliseconds from 1 to " +
                   std::to_string(max_ms));
    return std::nullopt;
  }

 private:
  std::string m_pointer;
  std::vector<DocumentFault>& m_faults;
};

bool IsClassName(std::string_view name) {
  return !name.empty() && name.size() <= TargetsLimits::kMaxNameSize &&
         std::all_of(name.begin(), name.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') ||
                  c == '_' || c == '-';
         });
}

ClassTarget ReadClass(const boost::json::value& value,
                      const std::string& pointer,
                      bool allow_unknown,
                      std::vector<DocumentFault>& faults) {
  ObjectReader reader(pointer, faults);
  ClassTarget target;
  const boost::json::object* object = value.if_object();
  if (object == nullptr) {
    reader.Fault("", "expected an object");
    return target;
  }
  if (!allow_unknown)
    reader.CheckKeys(*object, {kAge, kAnswer, kRepeatable});
  if (const auto* age = reader.Find(*object, kAge)) {
    const boost::json::string* text = age->if_string();
    if (text != nullptr && *text != kNone)
      reader.Fault(kAge, "expected \"none\" or a number of milliseconds");
    else if (text == nullptr)
      target.allowed_age =
          reader.Milliseconds(*age, kAge, TargetsLimits::kMaxAge);
  }
  if (const auto* answer = reader.Find(*object, kAnswer))
    target.answer_time =
        reader.Milliseconds(*answer, kAnswer, TargetsLimits::kMaxAnswerTime)
            .value_or(Duration());
  if (const auto* repeatable = reader.Find(*object, kRepeatable)) {
    if (const bool* flag = repeatable->if_bool())
      target.repeatable = *flag;
    else
      reader.Fault(kRepeatable, "expected true or false");
  }
  return target;
}

std::string AgeText(const ClassTarget& target) {
  return target.allowed_age
             ? std::to_string(
                   std::chrono::duration_cast<std::chrono::milliseconds>(
                       *target.allowed_age)
                       .count())
             : kNone;
}

int64_t AnswerMilliseconds(const ClassTarget& target) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             target.answer_time)
      .count();
}

std::string Describe(const ClassTarget& target) {
  std::ostringstream text;
  text << kAge << ' ' << AgeText(target) << ", " << kAnswer << ' '
       << AnswerMilliseconds(target) << ", " << kRepeatable << ' '
       << (target.repeatable ? "true" : "false");
  return text.str();
}

std::string DescribeChange(const ClassTarget& before,
                           const ClassTarget& after) {
  std::vector<std::string> parts;
  if (before.allowed_age != after.allowed_age)
    parts.push_back(std::string(kAge) + ' ' + AgeText(before) + " -> " +
                    AgeText(after));
  if (before.answer_time != after.answer_time)
    parts.push_back(std::string(kAnswer) + ' ' +
                    std::to_string(AnswerMilliseconds(before)) + " -> " +
                    std::to_string(AnswerMilliseconds(after)));
  if (before.repeatable != after.repeatable)
    parts.push_back(std::string(kRepeatable) +
                    (before.repeatable ? " true -> false" : " false -> true"));
  std::string text;
  for (const std::string& part : parts)
    text += (text.empty() ? "" : ", ") + part;
  return text;
}

}  // namespace

ClassTargets ReadClasses(const boost::json::value& value,
                         const std::string& pointer,
                         bool allow_unknown,
                         std::vector<DocumentFault>& faults) {
  ClassTargets classes;
  ObjectReader reader(pointer, faults);
  const boost::json::object* object = value.if_object();
  if (object == nullptr) {
    reader.Fault("", "expected an object with a key for each class");
    return classes;
  }
  if (object->size() > TargetsLimits::kMaxClasses)
    reader.Fault("", "more than " + std::to_string(TargetsLimits::kMaxClasses) +
                         " classes");
  for (const auto& item : *object) {
    const std::string name(item.key());
    if (!IsClassName(name))
      reader.Fault(name, "a class name has 1 to " +
                             std::to_string(TargetsLimits::kMaxNameSize) +
                             " characters of a-z, 0-9, _ and -");
    classes[ClassName(name)] = ReadClass(
        item.value(), pointer + PointerToken(name), allow_unknown, faults);
  }
  return classes;
}

ParsedTargets ParseTargets(const boost::json::value& document) {
  ParsedTargets parsed;
  ObjectReader reader("", parsed.faults);
  const boost::json::object* object = document.if_object();
  if (object == nullptr) {
    reader.Fault("", "expected an object");
    return parsed;
  }
  reader.CheckKeys(*object, {"classes"});
  if (const auto* classes = reader.Find(*object, "classes"))
    parsed.classes = ReadClasses(*classes, "/classes", false, parsed.faults);
  return parsed;
}

ParsedTargets ParseTargets(std::string_view text) {
  ParsedTargets parsed;
  if (text.size() > TargetsLimits::kMaxDocumentSize) {
    parsed.faults.push_back(DocumentFault{"", "document is too large"});
    return parsed;
  }
  boost::system::error_code error;
  const boost::json::value document = boost::json::parse(text, error);
  if (error) {
    parsed.faults.push_back(
        DocumentFault{"", "not valid JSON: " + error.message()});
    return parsed;
  }
  return ParseTargets(document);
}

boost::json::value ToJson(const ClassTargets& classes) {
  boost::json::object items;
  for (const auto& [name, target] : classes) {
    boost::json::object item;
    if (target.allowed_age)
      item[kAge] = std::chrono::duration_cast<std::chrono::milliseconds>(
                       *target.allowed_age)
                       .count();
    else
      item[kAge] = kNone;
    item[kAnswer] = AnswerMilliseconds(target);
    item[kRepeatable] = target.repeatable;
    items[name.value()] = std::move(item);
  }
  boost::json::object document;
  document["classes"] = std::move(items);
  return document;
}

std::string ToText(const ClassTargets& classes) {
  return boost::json::serialize(ToJson(classes));
}

std::vector<ClassDifference> Differences(const ClassTargets& before,
                                         const ClassTargets& after) {
  std::vector<ClassDifference> differences;
  for (const auto& [name, target] : before) {
    const auto found = after.find(name);
    if (found == after.end())
      differences.push_back(ClassDifference{name, target, std::nullopt});
    else if (found->second != target)
      differences.push_back(ClassDifference{name, target, found->second});
  }
  for (const auto& [name, target] : after) {
    if (before.count(name) == 0)
      differences.push_back(ClassDifference{name, std::nullopt, target});
  }
  return differences;
}

std::string ToText(const std::vector<ClassDifference>& differences) {
  std::string text;
  for (const ClassDifference& difference : differences) {
    const char sign = !difference.before ? '+' : !difference.after ? '-' : '~';
    text += std::string(1, sign) + ' ' + difference.name.value() + ' ';
    if (!difference.before)
      text += Describe(*difference.after);
    else if (!difference.after)
      text += Describe(*difference.before);
    else
      text += DescribeChange(*difference.before, *difference.after);
    text += '\n';
  }
  return text;
}

std::string NearestWord(std::string_view word,
                        const std::vector<std::string>& candidates) {
  constexpr size_t kMaxWordSize = 128;
  if (word.size() > kMaxWordSize)
    return "";
  std::string nearest;
  // The edit distance may be at most a third of the longer word's length.
  size_t smallest = SIZE_MAX;
  for (const std::string& candidate : candidates) {
    std::vector<size_t> row(candidate.size() + 1);
    std::iota(row.begin(), row.end(), size_t{0});
    for (size_t i = 1; i <= word.size(); ++i) {
      size_t diagonal = std::exchange(row[0], i);
      for (size_t j = 1; j <= candidate.size(); ++j) {
        const size_t replaced =
            diagonal + (word[i - 1] == candidate[j - 1] ? 0 : 1);
        diagonal = row[j];
        row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
      }
    }
    const size_t allowed = std::max(word.size(), candidate.size()) / 3;
    if (row.back() <= allowed && row.back() < smallest) {
      smallest = row.back();
      nearest = candidate;
    }
  }
  return nearest;
}

}  // namespace jackdawturn::targets
