#pragma once

#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <vector>

#include <boost/algorithm/string/replace.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "settings/settings.h"
#include "support/source_paths.h"

namespace jackdawturn {

inline std::string ReadText(const std::string& path) {
  std::ifstream file(SourcePath(path));
  return {std::istreambuf_iterator<char>(file), {}};
}

inline boost::json::value ExampleDocument() {
  return boost::json::parse(ReadText("examples/ferreira/entry-a1.json"));
}

// Returns the object or array that holds the value at `pointer`.
inline boost::json::value& ParentOf(boost::json::value& document,
                                    const std::string& pointer) {
  const std::string parent = pointer.substr(0, pointer.rfind('/'));
  return parent.empty() ? document : document.at_pointer(parent);
}

// Returns the last key of `pointer`, without escapes.
inline std::string LastKey(const std::string& pointer) {
  std::string key = pointer.substr(pointer.rfind('/') + 1);
  boost::algorithm::replace_all(key, "~1", "/");
  boost::algorithm::replace_all(key, "~0", "~");
  return key;
}

inline void SetAt(boost::json::value& document,
                  const std::string& pointer,
                  const boost::json::value& value) {
  boost::json::value& parent = ParentOf(document, pointer);
  if (parent.is_array())
    parent.as_array().at(std::stoul(LastKey(pointer))) = value;
  else
    parent.as_object()[LastKey(pointer)] = value;
}

inline void RemoveAt(boost::json::value& document, const std::string& pointer) {
  ParentOf(document, pointer).as_object().erase(LastKey(pointer));
}

inline std::string Shown(const std::vector<SettingsError>& errors) {
  std::ostringstream text;
  for (const SettingsError& error : errors)
    text << error << '\n';
  return text.str();
}

}  // namespace jackdawturn
