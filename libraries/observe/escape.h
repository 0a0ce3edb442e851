#pragma once

#include <string>
#include <string_view>

#include "observe/hybrid_clock.h"

namespace jackdawturn {

// Returns `text` with a question mark for each byte that is not UTF-8.
std::string Utf8Text(std::string_view text);

// Returns `text` as UTF-8 without control characters; each of these, and each
// byte that is not UTF-8, becomes a question mark.
std::string PlainText(std::string_view text);

// Returns PlainText with the characters escaped that mean something in XML and
// HTML, in text and in attributes.
std::string EscapeMarkup(std::string_view text);

// Returns for example "2026-12-04T05:06:07.000123Z".
std::string FormatTime(ClockTime time);

// Returns for example "212.4 ms".
std::string FormatMilliseconds(std::chrono::microseconds duration);

}  // namespace jackdawturn
