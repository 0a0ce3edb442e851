#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>

namespace jackdawturn {

// Makes damaged and hostile inputs from valid messages, the same for the same
// seed. Thread safety: not thread-safe.
class Mutator {
 public:
  explicit Mutator(uint64_t seed) : m_random(seed) {}

  uint64_t Number(uint64_t below) { return m_random() % below; }

  // Up to `longest` random bytes.
  std::string Random(size_t longest) {
    std::string bytes(Number(longest + 1), '\0');
    for (char& byte : bytes)
      byte = static_cast<char>(m_random());
    return bytes;
  }

  // Changes `message` in one to three places: flips bits, cuts, removes,
  // repeats, or puts a number of JSON out of its range.
  std::string Mutate(std::string message) {
    for (uint64_t changes = 1 + Number(3); changes > 0; --changes)
      MutateOnce(message);
    return message;
  }

  // JSON that nests deeper than any reader allows, or is very long.
  std::string HostileJson() {
    const size_t size = 1 + Number(100'000);
    switch (Number(5)) {
      case 0:
        return std::string(size, '[');
      case 1:
        return R"({"group":)" + std::string(size, '[') +
               std::string(size, ']') + "}";
      case 2: {
        std::string nested;
        for (size_t depth = 0; depth < size / 4; ++depth)
          nested += R"({"a":)";
        return nested;
      }
      case 3:
        return R"({"statement":")" + std::string(size, 'x') + "\"}";
      default:
        return std::string(size, '9');
    }
  }

 private:
  void MutateOnce(std::string& message) {
    if (message.empty()) {
      message = Random(20);
      return;
    }
    const size_t at = Number(message.size());
    switch (Number(6)) {
      case 0:
        message[at] = static_cast<char>(
            static_cast<unsigned char>(message[at]) ^ (1U << Number(8)));
        break;
      case 1:
        message.resize(at);
        break;
      case 2:
        message.erase(at, 1 + Number(8));
        break;
      case 3:
        message.insert(at, message.substr(Number(message.size()), 40));
        break;
      case 4:
        message[at] = static_cast<char>(Number(2) == 0 ? 0xff : m_random());
        break;
      default:
        ReplaceNumber(message, at);
        break;
    }
  }

  // Replaces the first number at or after `at`.
  void ReplaceNumber(std::string& message, size_t at) {
    static constexpr const char* kNumbers[] = {
        "-1",   "9223372036854775807",  "9223372036854775808",
        "1.5",  "18446744073709551615", "18446744073709551616",
        "1e30", "-9223372036854775808", "null"};
    const size_t begin = message.find_first_of("0123456789", at);
    if (begin == std::string::npos)
      return;
    size_t end = message.find_first_not_of("0123456789", begin);
    if (end == std::string::npos)
      end = message.size();
    message.replace(begin, end - begin, kNumbers[Number(std::size(kNumbers))]);
  }

  std::mt19937_64 m_random;
};

}  // namespace jackdawturn
