#include "core/json_fields.h"

#include <utility>

namespace jackdawturn {

namespace json = boost::json;

Result<json::value> ParseJson(std::string_view text, const std::string& step) {
  json::parse_options options;
  options.max_depth = 32;
  json::error_code error;
  json::value value =
      json::parse({text.data(), text.size()}, error, {}, options);
  if (error)
    return Failure(ErrorCode::kInvalidArgument, step, "",
                   "not valid JSON: " + error.message());
  return value;
}

Result<JsonFields> JsonFields::Create(const json::value& value,
                                      std::string step) {
  if (!value.is_object())
    return Failure(ErrorCode::kInvalidArgument, std::move(step), "",
                   "expected a JSON object");
  return JsonFields(value.get_object(), std::move(step));
}

const json::value* JsonFields::Find(std::string_view name) const {
  const json::value* value = m_object->if_contains({name.data(), name.size()});
  return value == nullptr || value->is_null() ? nullptr : value;
}

bool JsonFields::Has(std::string_view name) const {
  return Find(name) != nullptr;
}

Error JsonFields::Expected(std::string_view name, std::string_view what) const {
  return Error{ErrorCode::kInvalidArgument, m_step, "",
               "/" + std::string(name) + ": expected " + std::string(what)};
}

Result<std::string> JsonFields::String(std::string_view name) const {
  const json::value* value = Find(name);
  if (value == nullptr || !value->is_string())
    return Expected(name, "a string");
  return std::string(value->get_string());
}

Result<uint64_t> JsonFields::Number(std::string_view name) const {
  const json::value* value = Find(name);
  if (value != nullptr && value->is_uint64())
    return value->get_uint64();
  if (value != nullptr && value->is_int64() && value->get_int64() >= 0)
    return static_cast<uint64_t>(value->get_int64());
  return Expected(name, "a whole number from 0");
}

Result<bool> JsonFields::Boolean(std::string_view name) const {
  const json::value* value = Find(name);
  if (value == nullptr || !value->is_bool())
    return Expected(name, "true or false");
  return value->get_bool();
}

Result<const json::array*> JsonFields::Array(std::string_view name) const {
  const json::value* value = Find(name);
  if (value == nullptr || !value->is_array())
    return Expected(name, "an array");
  return &value->get_array();
}

Result<JsonFields> JsonFields::Object(std::string_view name) const {
  const json::value* value = Find(name);
  if (value == nullptr || !value->is_object())
    return Expected(name, "an object");
  return JsonFields(value->get_object(), m_step + "/" + std::string(name));
}

Result<std::string> JsonFields::StringOr(std::string_view name,
                                         std::string fallback) const {
  if (!Has(name))
    return fallback;
  return String(name);
}

Result<uint64_t> JsonFields::NumberOr(std::string_view name,
                                      uint64_t fallback) const {
  if (!Has(name))
    return fallback;
  return Number(name);
}

Result<bool> JsonFields::BooleanOr(std::string_view name, bool fallback) const {
  if (!Has(name))
    return fallback;
  return Boolean(name);
}

}  // namespace jackdawturn
