#pragma once

#include <cstdint>
#include <exception>
#include <istream>
#include <limits>
#include <optional>
#include <ostream>
#include <streambuf>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

#include <cereal/archives/portable_binary.hpp>

#include "core/error.h"

namespace jackdawturn {

// Writes numbers, texts and lists of texts as cereal's portable binary. Texts
// have a length of 16 bits, so that a reader never allocates more than 64 KB
// for a length that was damaged or forged.
// Thread safety: not thread-safe.
class WireWriter {
 public:
  WireWriter() : m_stream(&m_buffer), m_archive(m_stream) {}

  // Precondition: texts are shorter than 65,536 bytes.
  template <typename... Values>
  WireWriter& Add(const Values&... values) {
    (AddOne(values), ...);
    return *this;
  }

  // Adds a text whose length has 32 bits; the bound of the whole message bounds
  // what a reader allocates. Precondition: shorter than 4 GB.
  WireWriter& AddLong(std::string_view text) {
    VERIFY(text.size() <= std::numeric_limits<uint32_t>::max());
    m_archive(static_cast<uint32_t>(text.size()));
    m_archive(cereal::binary_data(text.data(), text.size()));
    return *this;
  }

  const std::string& bytes() const { return m_buffer.bytes; }

 private:
  struct AppendBuffer : std::streambuf {
    std::string bytes;
    int_type overflow(int_type c) override {
      bytes.push_back(static_cast<char>(c));
      return c;
    }
    std::streamsize xsputn(const char* data, std::streamsize size) override {
      bytes.append(data, static_cast<size_t>(size));
      return size;
    }
  };

  template <typename T>
  void AddOne(const T& value) {
    if constexpr (std::is_convertible_v<const T&, std::string_view>) {
      const std::string_view text = value;
      VERIFY(text.size() <= std::numeric_limits<uint16_t>::max());
      m_archive(static_cast<uint16_t>(text.size()));
      m_archive(cereal::binary_data(text.data(), text.size()));
    } else if constexpr (std::is_same_v<T, bool>) {
      m_archive(static_cast<uint8_t>(value ? 1 : 0));
    } else if constexpr (std::is_enum_v<T>) {
      m_archive(static_cast<uint8_t>(value));
    } else if constexpr (std::is_arithmetic_v<T>) {
      m_archive(value);
    } else {
      AddOne(value.value());  // An Identifier.
    }
  }

  AppendBuffer m_buffer;
  std::ostream m_stream;
  cereal::PortableBinaryOutputArchive m_archive;
};

// Reads what WireWriter wrote. Bytes that follow the last value are ignored,
// which lets a newer program append fields. Thread safety: not thread-safe.
class WireReader {
 public:
  // Precondition: `bytes` outlives the reader.
  explicit WireReader(std::string_view bytes)
      : m_buffer(bytes), m_stream(&m_buffer) {}

  // Returns false when the bytes end early or are malformed; the values are
  // unspecified then. Never throws.
  template <typename... Values>
  bool Read(Values&... values) {
    try {
      if (!m_archive)
        m_archive.emplace(m_stream);
      (ReadOne(values), ...);
      return true;
    } catch (const std::exception&) {
      return false;
    }
  }

  // Reads what AddLong wrote. A length beyond the bytes that are left is
  // malformed, so nothing is allocated for it. Never throws.
  bool ReadLong(std::string& text) {
    uint32_t size = 0;
    if (!Read(size) || m_buffer.in_avail() < std::streamsize(size))
      return false;
    try {
      text.resize(size);
      (*m_archive)(cereal::binary_data(text.data(), text.size()));
      return true;
    } catch (const std::exception&) {
      return false;
    }
  }

  bool at_end() { return m_buffer.in_avail() <= 0; }

 private:
  struct ViewBuffer : std::streambuf {
    explicit ViewBuffer(std::string_view bytes) {
      // The buffer is only read; streambuf has no interface for const bytes.
      char* begin = const_cast<char*>(bytes.data());
      setg(begin, begin, begin + bytes.size());
    }
  };

  template <typename T>
  void ReadOne(T& value) {
    if constexpr (std::is_same_v<T, std::string>) {
      uint16_t size = 0;
      (*m_archive)(size);
      value.resize(size);
      (*m_archive)(cereal::binary_data(value.data(), value.size()));
    } else if constexpr (std::is_same_v<T, bool>) {
      uint8_t byte = 0;
      (*m_archive)(byte);
      value = byte != 0;
    } else if constexpr (std::is_arithmetic_v<T>) {
      (*m_archive)(value);
    } else {
      std::string text;  // An Identifier.
      ReadOne(text);
      value = T(std::move(text));
    }
  }

  ViewBuffer m_buffer;
  std::istream m_stream;
  std::optional<cereal::PortableBinaryInputArchive> m_archive;
};

}  // namespace jackdawturn
