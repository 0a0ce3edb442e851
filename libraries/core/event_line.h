#pragma once

#include <sstream>
#include <string>
#include <string_view>

namespace jackdawturn {

// Builds one line of key=value pairs for an event. Values with blanks, quotes
// or control characters are quoted. Thread safety: not thread-safe.
class EventLine {
 public:
  // `event` is a dotted name such as "failover.claim".
  explicit EventLine(std::string_view event);

  EventLine& Add(std::string_view key, std::string_view value);

  template <typename T>
  EventLine& Add(std::string_view key, const T& value) {
    std::ostringstream text;
    text << value;
    return Add(key, std::string_view(text.view()));
  }

  const std::string& text() const { return m_text; }

 private:
  std::string m_text;
};

}  // namespace jackdawturn
