#include "core/json_split.h"

#include <optional>
#include <utility>

namespace jackdawturn {

namespace {

constexpr std::string_view kBlanks = " \t\r\n";

// Walks over JSON text.
class Scanner {
 public:
  explicit Scanner(std::string_view text) : m_text(text) {}

  // Skips blanks, and `expected` if it follows. Returns whether it did.
  bool Take(char expected) {
    SkipBlanks();
    if (at_end() || m_text[m_position] != expected)
      return false;
    ++m_position;
    return true;
  }

  bool at_end() const { return m_position >= m_text.size(); }

  // Skips one value and returns its text, or nullopt if none begins here or it
  // is cut off.
  std::optional<std::string_view> TakeValue() {
    SkipBlanks();
    const size_t start = m_position;
    size_t depth = 0;
    while (!at_end()) {
      const char next = m_text[m_position];
      if (depth == 0 && (next == ',' || next == ']' || next == '}'))
        break;
      if (next == '"') {
        if (!SkipString())
          return std::nullopt;
        continue;
      }
      if (next == '[' || next == '{')
        ++depth;
      if (next == ']' || next == '}')
        --depth;
      ++m_position;
    }
    if (depth > 0 || m_position == start)
      return std::nullopt;
    const std::string_view value = m_text.substr(start, m_position - start);
    return value.substr(0, value.find_last_not_of(kBlanks) + 1);
  }

  // Skips a string and returns what is between its quotes.
  std::optional<std::string_view> TakeString() {
    SkipBlanks();
    const size_t start = m_position;
    if (at_end() || m_text[start] != '"' || !SkipString())
      return std::nullopt;
    return m_text.substr(start + 1, m_position - start - 2);
  }

 private:
  void SkipBlanks() {
    const size_t next = m_text.find_first_not_of(kBlanks, m_position);
    m_position = next == std::string_view::npos ? m_text.size() : next;
  }

  // Precondition: a quote is next.
  bool SkipString() {
    for (++m_position; !at_end(); ++m_position) {
      if (m_text[m_position] == '\\')
        ++m_position;
      else if (m_text[m_position] == '"')
        return ++m_position, true;
    }
    return false;
  }

  std::string_view m_text;
  size_t m_position = 0;
};

Error Malformed(const std::string& step, const char* what) {
  return Error{ErrorCode::kInvalidArgument, step, "",
               std::string("not valid JSON: expected ") + what};
}

}  // namespace

Result<std::vector<std::string_view>> SplitJsonArray(std::string_view text,
                                                     const std::string& step) {
  Scanner scanner(text);
  if (!scanner.Take('['))
    return Malformed(step, "an array");
  std::vector<std::string_view> elements;
  if (scanner.Take(']'))
    return elements;
  do {
    const auto element = scanner.TakeValue();
    if (!element)
      return Malformed(step, "an element");
    elements.push_back(*element);
  } while (scanner.Take(','));
  if (!scanner.Take(']'))
    return Malformed(step, "the end of an array");
  return elements;
}

Result<std::map<std::string, std::string_view, std::less<>>> SplitJsonObject(
    std::string_view text,
    const std::string& step) {
  Scanner scanner(text);
  if (!scanner.Take('{'))
    return Malformed(step, "an object");
  std::map<std::string, std::string_view, std::less<>> members;
  if (scanner.Take('}'))
    return members;
  do {
    const auto name = scanner.TakeString();
    if (!name || !scanner.Take(':'))
      return Malformed(step, "a member");
    const auto value = scanner.TakeValue();
    if (!value)
      return Malformed(step, "a value");
    if (name->find('\\') == std::string_view::npos)
      members.emplace(*name, *value);
  } while (scanner.Take(','));
  if (!scanner.Take('}'))
    return Malformed(step, "the end of an object");
  return members;
}

}  // namespace jackdawturn
