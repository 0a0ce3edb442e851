#include "settings/json_text.h"

#include <cstdint>
#include <set>
#include <string>

#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/parser.hpp>

#include "settings/schema_check.h"

namespace jackdawturn {

namespace json = boost::json;

namespace {

// The handler of a parse that only looks for keys which an object has twice;
// boost::json::value silently keeps the last of them.
class DuplicateKeyHandler {
 public:
  // Boost.JSON requires these names.
  // NOLINTBEGIN(readability-identifier-naming)
  static constexpr size_t max_object_size = SIZE_MAX;
  static constexpr size_t max_array_size = SIZE_MAX;
  static constexpr size_t max_key_size = SIZE_MAX;
  static constexpr size_t max_string_size = SIZE_MAX;
  // NOLINTEND(readability-identifier-naming)

  using ErrorCode = boost::system::error_code;

  bool on_document_begin(ErrorCode&) { return true; }
  bool on_document_end(ErrorCode&) { return true; }
  bool on_object_begin(ErrorCode&) { return Open(); }
  bool on_object_end(size_t, ErrorCode&) { return Close(); }
  bool on_array_begin(ErrorCode&) {
    Open();
    m_frames.back().array = true;
    return true;
  }
  bool on_array_end(size_t, ErrorCode&) { return Close(); }
  bool on_key_part(json::string_view part, size_t, ErrorCode&) {
    m_key.append(part.data(), part.size());
    return true;
  }
  bool on_key(json::string_view part, size_t size, ErrorCode& error) {
    on_key_part(part, size, error);
    Frame& frame = m_frames.back();
    frame.key = std::move(m_key);
    m_key.clear();
    if (!frame.keys.insert(frame.key).second)
      m_duplicates.push_back(Pointer());
    return true;
  }
  bool on_string_part(json::string_view, size_t, ErrorCode&) { return true; }
  bool on_string(json::string_view, size_t, ErrorCode&) { return Count(); }
  bool on_number_part(json::string_view, ErrorCode&) { return true; }
  bool on_int64(int64_t, json::string_view, ErrorCode&) { return Count(); }
  bool on_uint64(uint64_t, json::string_view, ErrorCode&) { return Count(); }
  bool on_double(double, json::string_view, ErrorCode&) { return Count(); }
  bool on_bool(bool, ErrorCode&) { return Count(); }
  bool on_null(ErrorCode&) { return Count(); }
  bool on_comment_part(json::string_view, ErrorCode&) { return true; }
  bool on_comment(json::string_view, ErrorCode&) { return true; }

  const std::vector<std::string>& duplicates() const { return m_duplicates; }

 private:
  struct Frame {
    bool array = false;
    size_t index = 0;
    std::string key;
    std::set<std::string> keys;
  };

  bool Open() {
    m_frames.emplace_back();
    return true;
  }

  bool Close() {
    m_frames.pop_back();
    return Count();
  }

  // Counts a complete value of the innermost array.
  bool Count() {
    if (!m_frames.empty())
      ++m_frames.back().index;
    return true;
  }

  std::string Pointer() const {
    std::string pointer;
    for (const Frame& frame : m_frames)
      pointer = ChildPointer(
          pointer, frame.array ? std::to_string(frame.index) : frame.key);
    return pointer;
  }

  std::vector<Frame> m_frames;
  std::string m_key;
  std::vector<std::string> m_duplicates;
};

// valijson throws on integers that do not fit into int64_t.
void ReplaceLargeIntegers(json::value& value) {
  if (const uint64_t* number = value.if_uint64()) {
    value = static_cast<double>(*number);
  } else if (json::array* items = value.if_array()) {
    for (json::value& item : *items)
      ReplaceLargeIntegers(item);
  } else if (json::object* members = value.if_object()) {
    for (auto& member : *members)
      ReplaceLargeIntegers(member.value());
  }
}

std::string SyntaxFault(const boost::system::error_code& error,
                        size_t offset,
                        std::string_view text) {
  size_t line = 1;
  size_t column = 1;
  for (const char c : text.substr(0, offset)) {
    column = c == '\n' ? 1 : column + 1;
    line += c == '\n' ? 1 : 0;
  }
  return "JSON (RFC 8259); " + error.message() + " near line " +
         std::to_string(line) + ", column " + std::to_string(column);
}

}  // namespace

bool ParseJson(std::string_view text,
               json::value& document,
               std::vector<SettingsError>& errors) {
  json::parser parser;
  boost::system::error_code error;
  const size_t parsed = parser.write_some(text.data(), text.size(), error);
  if (!error && text.find_first_not_of(" \t\r\n", parsed) != std::string::npos)
    error = json::error::extra_data;
  if (error) {
    errors.push_back(SettingsError{"", "", SyntaxFault(error, parsed, text)});
    return false;
  }
  document = parser.release();
  ReplaceLargeIntegers(document);

  json::basic_parser<DuplicateKeyHandler> keys{json::parse_options{}};
  keys.write_some(false, text.data(), parsed, error);
  for (const std::string& pointer : keys.handler().duplicates())
    errors.push_back(SettingsError{pointer, "(not shown)",
                                   "a key that its object has once"});
  return true;
}

}  // namespace jackdawturn
