#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "network.h"
#include "store.h"

namespace review {

inline constexpr const char* kDatabase = "lepu270";

// Writes a configuration with one route, of kind `primary`.
void PutConfiguration(Store& store, int64_t timeout_ms);

// Three instances of a group that read the items `small` and `large`. The first
// one is primary. Thread-safe.
class Instances {
 public:
  explicit Instances(Record& record);
  void Register(Store& store) const;
  // Whether an instance has written its whole answer of large rows.
  bool answered() const { return m_answered; }
  // Whether an instance has run the read of large rows.
  bool ran() const { return m_ran; }

 private:
  void Serve(Stream& stream, int index);
  void ReadLarge(Stream& stream,
                 const std::string& id,
                 int index,
                 const std::string& ready);

  Record& m_record;
  std::vector<std::unique_ptr<Server>> m_servers;
  std::atomic<bool> m_answered = false;
  std::atomic<bool> m_ran = false;
};

}  // namespace review
