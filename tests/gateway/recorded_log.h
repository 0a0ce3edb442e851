#pragma once

#include <algorithm>
#include <cstdio>
#include <string>

#include "gateway/gateway.h"

#include "support/table_test.h"

namespace jackdawturn::gateway {

// A log whose lines a test reads.
class RecordedLog {
 public:
  RecordedLog() { cr_assert_not_null(m_file); }
  ~RecordedLog() {
    m_log.Stop();
    std::fclose(m_file);
  }
  RecordedLog(const RecordedLog&) = delete;
  RecordedLog& operator=(const RecordedLog&) = delete;

  EventLog* log() { return &m_log; }

  // Ends the log and returns its lines that have `step`.
  std::string Lines(const std::string& step) {
    m_log.Stop();
    std::rewind(m_file);
    std::string lines;
    char buffer[EventLog::kLongestLine + 1];
    while (std::fgets(buffer, sizeof(buffer), m_file)) {
      const std::string line = buffer;
      if (line.find(" step=" + step + " ") != std::string::npos)
        lines += line;
    }
    return lines;
  }

 private:
  static constexpr size_t kCapacity = 1'000;

  std::FILE* const m_file = std::tmpfile();
  EventLog m_log{fileno(m_file), kCapacity};
};

// Returns the number of lines in a text.
inline long CountLines(const std::string& text) {
  return std::count(text.begin(), text.end(), '\n');
}

// Returns whether a text contains another one.
inline bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace jackdawturn::gateway
