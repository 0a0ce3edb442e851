#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/json.hpp>

#include "core/error.h"

namespace jackdawturn {

// Parses text that came from the network. Depth is limited. Errors:
// kInvalidArgument with the step and the position. Thread-safe.
Result<boost::json::value> ParseJson(std::string_view text,
                                     const std::string& step);

// Typed access to the members of a JSON object. Errors of every method are
// kInvalidArgument and name the member. The object must outlive this. Thread
// safety: as a const object.
class JsonFields {
 public:
  // Errors: kInvalidArgument when `value` is not an object.
  static Result<JsonFields> Create(const boost::json::value& value,
                                   std::string step);

  Result<std::string> String(std::string_view name) const;
  Result<uint64_t> Number(std::string_view name) const;
  Result<bool> Boolean(std::string_view name) const;
  Result<const boost::json::array*> Array(std::string_view name) const;
  Result<JsonFields> Object(std::string_view name) const;

  // Returns `fallback` when the member is absent or null.
  Result<std::string> StringOr(std::string_view name,
                               std::string fallback) const;
  Result<uint64_t> NumberOr(std::string_view name, uint64_t fallback) const;
  Result<bool> BooleanOr(std::string_view name, bool fallback) const;

  bool Has(std::string_view name) const;
  const boost::json::object& object() const { return *m_object; }

 private:
  JsonFields(const boost::json::object& object, std::string step)
      : m_object(&object), m_step(std::move(step)) {}

  const boost::json::value* Find(std::string_view name) const;
  Error Expected(std::string_view name, std::string_view what) const;

  const boost::json::object* m_object;
  std::string m_step;
};

}  // namespace jackdawturn
