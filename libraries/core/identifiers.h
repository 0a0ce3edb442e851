#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace jackdawturn {

// A string that names one kind of thing, so that names of different kinds
// cannot be mixed up. Thread safety: as std::string.
template <typename Tag>
class Identifier {
 public:
  Identifier() = default;
  explicit Identifier(std::string value) : m_value(std::move(value)) {}

  const std::string& value() const { return m_value; }
  bool empty() const { return m_value.empty(); }

  friend auto operator<=>(const Identifier&, const Identifier&) = default;
  friend std::ostream& operator<<(std::ostream& out, const Identifier& id) {
    return out << id.m_value;
  }

 private:
  std::string m_value;
};

// A number that only grows, of one kind.
template <typename Tag>
struct Counter {
  uint64_t value = 0;

  Counter Next() const { return Counter{value + 1}; }

  friend auto operator<=>(const Counter&, const Counter&) = default;
  friend std::ostream& operator<<(std::ostream& out, const Counter& counter) {
    return out << counter.value;
  }
};

using GroupName = Identifier<struct GroupNameTag>;
using InstanceName = Identifier<struct InstanceNameTag>;
using VmName = Identifier<struct VmNameTag>;
using ZoneName = Identifier<struct ZoneNameTag>;
using ClassName = Identifier<struct ClassNameTag>;
using CustomerName = Identifier<struct CustomerNameTag>;
using RequestId = Identifier<struct RequestIdTag>;
using TransactionId = Identifier<struct TransactionIdTag>;
using AttemptId = Identifier<struct AttemptIdTag>;

// Number of a primary's reign within a group; 0 means none yet.
using Term = Counter<struct TermTag>;
// Index of an entry in a group's log, counted from 1; 0 means an empty log.
using LogPosition = Counter<struct LogPositionTag>;
// Version of an object in the platform's store; 0 means the object is absent.
using ObjectVersion = Counter<struct ObjectVersionTag>;
// A connection to one instance, unique during the life of that instance.
using ConnectionId = Counter<struct ConnectionIdTag>;

}  // namespace jackdawturn

template <typename Tag>
struct std::hash<jackdawturn::Identifier<Tag>> {
  size_t operator()(const jackdawturn::Identifier<Tag>& id) const {
    return std::hash<std::string>()(id.value());
  }
};

template <typename Tag>
struct std::hash<jackdawturn::Counter<Tag>> {
  size_t operator()(const jackdawturn::Counter<Tag>& counter) const {
    return std::hash<uint64_t>()(counter.value);
  }
};
