#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <utility>

namespace jackdawturn::gateway {

// A store that comes back from an older copy gives revisions out again and
// begins a new era. Within the proxies, the upper bits of a revision are
// therefore its era and the lower ones the store's own number, so that any
// revision of a later era is greater than all earlier ones. In era 0, that of a
// store without eras, a revision is the store's number. JSON numbers are exact
// up to 53 bits, which bounds both parts. Thread-safe.
inline constexpr unsigned kRevisionNumberBits = 37;
inline constexpr uint64_t kMaxRevisionNumber =
    (uint64_t{1} << kRevisionNumberBits) - 1;
inline constexpr uint64_t kMaxStoreEra =
    (uint64_t{1} << (53 - kRevisionNumberBits)) - 1;

// Preconditions: `era` is at most kMaxStoreEra; `number` is at most
// kMaxRevisionNumber unless `era` is 0.
constexpr uint64_t CombineRevision(uint64_t era, uint64_t number) {
  return (era << kRevisionNumberBits) | number;
}
constexpr uint64_t RevisionEra(uint64_t revision) {
  return revision >> kRevisionNumberBits;
}
constexpr uint64_t RevisionNumber(uint64_t revision) {
  return revision & kMaxRevisionNumber;
}

// The latest era that the answers of a store have shown. Deterministic. Thread
// safety: not thread-safe.
class StoreEra {
 public:
  // Called with the previous era, or nullopt at the first answer, and with the
  // present one.
  using OnBegan =
      std::function<void(std::optional<uint64_t> previous, uint64_t era)>;

  // Null: nothing is called.
  void SetOnBegan(OnBegan on_began) { m_on_began = std::move(on_began); }

  // Notes the era of an answer, or nullopt if it shows none. Returns false for
  // a late answer of an earlier era, which must be handled as if the store had
  // not answered.
  bool Accept(std::optional<uint64_t> shown) {
    m_shown = m_shown || shown.has_value();
    const uint64_t era = shown.value_or(0);
    if (m_era && era <= *m_era)
      return era == *m_era;
    const std::optional<uint64_t> previous = std::exchange(m_era, era);
    if (m_on_began)
      m_on_began(previous, era);
    return true;
  }

  // As Accept(), for an era that another proxy has seen.
  bool AcceptFromPeer(uint64_t era) {
    return Accept(era > 0 || m_shown ? std::optional(era) : std::nullopt);
  }

  // Returns the present era; 0 before the first answer.
  uint64_t current() const { return m_era.value_or(0); }
  // Returns whether the store has eras, so that it may lose what it has
  // acknowledged.
  bool has_eras() const { return m_shown; }
  // Returns whether `revision` is of an earlier era than the present one. 0,
  // for no revision, is not.
  bool Outdates(uint64_t revision) const {
    return revision > 0 && RevisionEra(revision) < current();
  }

 private:
  std::optional<uint64_t> m_era;
  bool m_shown = false;
  OnBegan m_on_began;
};

}  // namespace jackdawturn::gateway
