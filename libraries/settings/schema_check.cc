#include "settings/schema_check.h"

#include <algorithm>
#include <exception>
#include <memory>
#include <numeric>
#include <set>
#include <utility>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <valijson/adapters/boost_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace jackdawturn {

namespace json = boost::json;

namespace {

constexpr size_t kShownBytes = 60;
constexpr std::string_view kKeysPointer = "/keys";

struct ParsedSchema {
  json::value document;
  valijson::Schema schema;
};

const ParsedSchema& Schema() {
  static const std::unique_ptr<const ParsedSchema> parsed = [] {
    auto result = std::make_unique<ParsedSchema>();
    const std::string_view text = SettingsSchema();
    result->document = json::parse({text.data(), text.size()});
    valijson::SchemaParser parser;
    parser.populateSchema(
        valijson::adapters::BoostJsonAdapter(result->document), result->schema);
    return result;
  }();
  return *parsed;
}

// Follows a reference such as "#/definitions/address".
const json::object& Resolve(const json::value& node) {
  const json::object& object = node.as_object();
  const json::value* reference = object.if_contains("$ref");
  if (reference == nullptr)
    return object;
  boost::system::error_code error;
  const json::value* target = Schema().document.find_pointer(
      std::string_view(reference->as_string()).substr(1), error);
  VERIFY(target != nullptr);
  return target->as_object();
}

// Returns the schema of the member or item `key`, or nullptr.
const json::object* ChildSchema(const json::object& node,
                                std::string_view key) {
  if (const json::value* items = node.if_contains("items"))
    return &Resolve(*items);
  const json::value* properties = node.if_contains("properties");
  const json::value* child = properties == nullptr
                                 ? nullptr
                                 : properties->as_object().if_contains(key);
  return child == nullptr ? nullptr : &Resolve(*child);
}

std::string Range(const json::object& node,
                  std::string_view low,
                  std::string_view high) {
  return json::serialize(node.at(low)) + " to " +
         json::serialize(node.at(high));
}

// Describes the values that the schema accepts, with its own description.
std::string Expected(const json::object& node) {
  const std::string_view type = node.at("type").as_string();
  std::string text = "an object";
  if (type == "integer")
    text = "an integer from " + Range(node, "minimum", "maximum");
  else if (type == "string")
    text =
        "a string of " + Range(node, "minLength", "maxLength") + " characters";
  else if (type == "array")
    text = "a list of " + Range(node, "minItems", "maxItems") + " items";
  return text + " (" + std::string(node.at("description").as_string()) + ")";
}

// A position in the document together with its part of the schema.
struct Place {
  std::string pointer;
  const json::object* schema = nullptr;
  const json::value* value = nullptr;
};

Place Child(const Place& place, const std::string& key) {
  Place child{ChildPointer(place.pointer, key)};
  if (place.schema != nullptr)
    child.schema = ChildSchema(*place.schema, key);
  if (place.value != nullptr) {
    boost::system::error_code error;
    child.value = place.value->find_pointer(ChildPointer("", key), error);
  }
  return child;
}

SettingsError ErrorAt(const Place& place) {
  return SettingsError{
      place.pointer,
      place.value == nullptr ? "" : ShownValue(place.pointer, *place.value),
      place.schema == nullptr ? "a value that the schema accepts"
                              : Expected(*place.schema)};
}

// Adds an error for each unknown key of `place` and of the values below it.
void AddUnknownKeys(const Place& place, std::vector<SettingsError>& errors) {
  if (const json::array* items = place.value->if_array()) {
    for (size_t index = 0; index < items->size(); ++index) {
      const Place item = Child(place, std::to_string(index));
      if (item.schema != nullptr)
        AddUnknownKeys(item, errors);
    }
    return;
  }
  const json::object* members = place.value->if_object();
  const json::value* properties = place.schema->if_contains("properties");
  if (members == nullptr || properties == nullptr)
    return;
  std::vector<std::string> known;
  for (const auto& property : properties->as_object())
    known.emplace_back(property.key());
  for (const auto& member : *members) {
    const std::string key(member.key());
    const Place child{ChildPointer(place.pointer, key),
                      ChildSchema(*place.schema, key), &member.value()};
    if (child.schema != nullptr)
      AddUnknownKeys(child, errors);
    else
      errors.push_back(SettingsError{
          child.pointer, "(not shown)",
          "a known key; the nearest is \"" + NearestWord(key, known) + '"'});
  }
}

// Turns an error of valijson into one of ours. Summaries of errors further down
// return nothing, and so do unknown keys, which AddUnknownKeys handles.
void AddSchemaError(const valijson::ValidationResults::Error& error,
                    const Place& root,
                    std::set<std::string>& pointers,
                    std::vector<SettingsError>& errors) {
  const std::string& text = error.description;
  if (text.starts_with("Failed to validate") ||
      text.starts_with("Object contains a property"))
    return;
  Place place = root;
  for (size_t step = 1; step < error.context.size(); ++step) {
    // A step has the form "[name]" or "[index]".
    const std::string& name = error.context[step];
    place = Child(place, name.substr(1, name.size() - 2));
  }
  if (text.starts_with("Missing required property '")) {
    const size_t start = text.find('\'') + 1;
    place = Child(place, text.substr(start, text.rfind('\'') - start));
  }
  // A value can break several rules, which one message names together.
  if (pointers.insert(place.pointer).second)
    errors.push_back(ErrorAt(place));
}

size_t EditDistance(std::string_view left, std::string_view right) {
  std::vector<size_t> row(right.size() + 1);
  std::iota(row.begin(), row.end(), size_t{0});
  for (size_t i = 0; i < left.size(); ++i) {
    size_t diagonal = row[0];
    row[0] = i + 1;
    for (size_t j = 0; j < right.size(); ++j) {
      const size_t replaced = diagonal + (left[i] == right[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({replaced, row[j] + 1, diagonal + 1});
    }
  }
  return row.back();
}

}  // namespace

std::vector<SettingsError> CheckSchema(const json::value& document) {
  std::vector<SettingsError> errors;
  const Place root{"", &Schema().document.as_object(), &document};
  try {
    valijson::ValidationResults results;
    valijson::Validator validator;
    const bool valid = validator.validate(
        Schema().schema, valijson::adapters::BoostJsonAdapter(document),
        &results);
    std::set<std::string> pointers;
    for (const auto& error : results)
      AddSchemaError(error, root, pointers, errors);
    AddUnknownKeys(root, errors);
    if (!valid && errors.empty())
      errors.push_back(ErrorAt(root));
  } catch (const std::exception&) {
    errors.push_back(ErrorAt(root));
  }
  return errors;
}

std::string ShownValue(std::string_view pointer, const json::value& value) {
  if (value.is_object())
    return "(object)";
  if (const json::array* items = value.if_array())
    return "(list of " + std::to_string(items->size()) + " items)";
  const bool secret =
      pointer == kKeysPointer || (pointer.starts_with(kKeysPointer) &&
                                  pointer[kKeysPointer.size()] == '/');
  if (secret || pointer.empty())
    return "(secret)";
  std::string text = json::serialize(value);
  if (text.size() <= kShownBytes)
    return text;
  size_t end = kShownBytes;
  // The cut must not divide a character of UTF-8.
  while ((static_cast<unsigned char>(text[end]) & 0xc0) == 0x80)
    --end;
  return text.substr(0, end) + "...";
}

std::string ChildPointer(std::string_view pointer, std::string_view key) {
  std::string child(pointer);
  child += '/';
  for (const char c : key) {
    if (c == '~')
      child += "~0";
    else if (c == '/')
      child += "~1";
    else
      child += c;
  }
  return child;
}

std::string NearestWord(std::string_view word,
                        const std::vector<std::string>& known) {
  VERIFY(!known.empty());
  constexpr size_t kLongestKey = 64;
  const std::string_view compared = word.substr(0, kLongestKey);
  return *std::min_element(
      known.begin(), known.end(), [&](const auto& left, const auto& right) {
        return EditDistance(compared, left) < EditDistance(compared, right);
      });
}

}  // namespace jackdawturn
