#include "observe/escape.h"

#include <array>
#include <cstdio>

#include <boost/locale/utf.hpp>

#include "core/core.h"

namespace jackdawturn {

namespace utf = boost::locale::utf;

namespace {

// XML allows neither most control characters nor the last two code points.
bool IsPrintable(utf::code_point point) {
  return point >= 0x20 && (point < 0x7f || point > 0x9f) && point != 0xfffe &&
         point != 0xffff;
}

std::string ReplaceBytes(std::string_view text, bool keep_control_characters) {
  std::string replaced;
  replaced.reserve(text.size());
  const char* const end = text.data() + text.size();
  for (const char* next = text.data(); next != end;) {
    const char* const start = next;
    const utf::code_point point = utf::utf_traits<char>::decode(next, end);
    const bool valid = point != utf::illegal && point != utf::incomplete;
    if (valid && (keep_control_characters || IsPrintable(point)))
      replaced.append(start, next);
    else
      replaced += '?';
    if (!valid)
      next = start + 1;
  }
  return replaced;
}

}  // namespace

std::string Utf8Text(std::string_view text) {
  return ReplaceBytes(text, true);
}

std::string PlainText(std::string_view text) {
  return ReplaceBytes(text, false);
}

std::string EscapeMarkup(std::string_view text) {
  std::string escaped;
  for (const char c : PlainText(text)) {
    switch (c) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      case '\'':
        escaped += "&#39;";
        break;
      default:
        escaped += c;
    }
  }
  return escaped;
}

std::string FormatTime(ClockTime time) {
  const auto day = std::chrono::floor<std::chrono::days>(time);
  const std::chrono::year_month_day date(day);
  const std::chrono::hh_mm_ss clock(time - day);
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), "%04d-%02u-%02uT%02d:%02d:%02d.%06dZ",
                static_cast<int>(date.year()),
                static_cast<unsigned>(date.month()),
                static_cast<unsigned>(date.day()),
                static_cast<int>(clock.hours().count()),
                static_cast<int>(clock.minutes().count()),
                static_cast<int>(clock.seconds().count()),
                static_cast<int>(clock.subseconds().count()));
  return text.data();
}

std::string FormatMilliseconds(std::chrono::microseconds duration) {
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), "%.1f ms", ToMilliseconds(duration));
  return text.data();
}

}  // namespace jackdawturn
