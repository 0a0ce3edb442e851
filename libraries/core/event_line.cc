#include "core/event_line.h"

#include <algorithm>
#include <cctype>

namespace jackdawturn {

namespace {

bool NeedsQuotes(std::string_view value) {
  return value.empty() ||
         std::any_of(value.begin(), value.end(), [](unsigned char c) {
           return c <= ' ' || c == '"' || c == '=' || c == 0x7f;
         });
}

void AppendQuoted(std::string& text, std::string_view value) {
  text += '"';
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      text += '\\';
      text += c;
    } else if (std::iscntrl(static_cast<unsigned char>(c)) != 0) {
      text += ' ';
    } else {
      text += c;
    }
  }
  text += '"';
}

}  // namespace

EventLine::EventLine(std::string_view event) {
  Add("event", event);
}

EventLine& EventLine::Add(std::string_view key, std::string_view value) {
  if (!m_text.empty())
    m_text += ' ';
  m_text += key;
  m_text += '=';
  if (NeedsQuotes(value))
    AppendQuoted(m_text, value);
  else
    m_text += value;
  return *this;
}

}  // namespace jackdawturn
