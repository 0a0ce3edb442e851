#include <algorithm>
#include <cstdint>
#include <limits>
#include <utility>

#include "targets/version_spread.h"

namespace jackdawturn::targets {

namespace {

// Maximum size of a value in the store, in bytes.
constexpr size_t kMaxValueSize = 1'000'000;
// Bytes of a Piece message excluding key and value.
constexpr size_t kPieceOverhead = 48;
constexpr size_t kPageOverhead = 32;
constexpr size_t kKeyOverhead = 12;
constexpr size_t kMaxFetches = 65'536;
constexpr size_t kComparisonAttempts = 3;
// Number of attempts to fetch a version, after which the next comparison must
// find it again.
constexpr size_t kFetchAttempts = 20;
// Time during which an unresponsive peer is not asked again.
constexpr Duration kUnansweredPeerDelay = std::chrono::seconds(1);
constexpr Duration kCatchUpRetry = std::chrono::milliseconds(100);
// Number of consecutive differing digests before all buckets are compared.
constexpr size_t kDigestsBeforeComparison = 3;

}  // namespace

Digest VersionSpread::MakeDigest(DigestPurpose purpose, TimePoint now) const {
  Digest digest;
  digest.hash = m_table.hash();
  digest.count = m_table.size();
  const auto known_age = age(now);
  digest.age_us = known_age ? static_cast<uint64_t>(known_age->count())
                            : std::numeric_limits<uint64_t>::max();
  digest.ready = m_ready;
  digest.purpose = purpose;
  return digest;
}

RecentVersions VersionSpread::MakeRecent() const {
  RecentVersions recent;
  size_t size = kPageOverhead;
  for (auto key = m_recent.rbegin(); key != m_recent.rend(); ++key) {
    size += kKeyOverhead + key->size();
    if (size > kMaxSpreadMessage)
      break;
    recent.keys.push_back(KeyVersion{*key, m_table.VersionOf(*key).value});
  }
  return recent;
}

void VersionSpread::OnDigest(const VmName& from,
                             const Digest& digest,
                             TimePoint now,
                             Effects& effects) {
  const bool equal = digest.hash == m_table.hash();
  if (digest.purpose == DigestPurpose::kQuestion ||
      (digest.purpose == DigestPurpose::kPeriodic && !equal))
    Send(from, MakeDigest(DigestPurpose::kAnswer, now), effects);
  if (equal) {
    m_different_digests = 0;
    // The peer's table is identical and agreed with the store at that time, so
    // this table did as well.
    const auto max_age = std::chrono::hours(24 * 365);
    const auto age =
        std::chrono::microseconds(static_cast<int64_t>(std::min<uint64_t>(
            digest.age_us, std::numeric_limits<int64_t>::max())));
    if (age < max_age)
      m_agreed_at = m_agreed_at ? std::max(*m_agreed_at, now - age) : now - age;
  }
  if (m_comparison && m_comparison->peer == from &&
      !m_comparison->has_buckets) {
    m_unanswered.erase(from);
    if (!m_ready)
      m_compared[from] = digest.ready;
    if (equal) {
      EndComparison(true);
      RunCatchUp(now, effects);
    } else {
      m_comparison->attempts = 0;
      m_comparison->retry_at = now + m_options.request_timeout;
      Send(from, BucketHashesRequest{}, effects);
    }
    return;
  }
  if (equal || !digest.ready || !m_ready)
    return;
  if (!m_recent.empty())
    Send(from, MakeRecent(), effects);
  if (++m_different_digests >= kDigestsBeforeComparison && !m_comparison) {
    m_different_digests = 0;
    StartComparison(from, now, effects);
  }
}

void VersionSpread::StartComparison(const VmName& peer,
                                    TimePoint now,
                                    Effects& effects) {
  m_comparison = Comparison();
  m_comparison->peer = peer;
  m_comparison->retry_at = now + m_options.request_timeout;
  Send(peer, MakeDigest(DigestPurpose::kQuestion, now), effects);
}

void VersionSpread::EndComparison(bool complete) {
  if (!complete) {
    m_compared.erase(m_comparison->peer);
  }
  m_comparison.reset();
}

void VersionSpread::OnBucketHashesReply(const VmName& from,
                                        const BucketHashesReply& hashes_reply,
                                        TimePoint now,
                                        Effects& effects) {
  if (!m_comparison || m_comparison->peer != from ||
      m_comparison->has_buckets ||
      hashes_reply.hashes.size() != VersionTable::kBuckets)
    return;
  m_comparison->has_buckets = true;
  m_comparison->attempts = 0;
  for (uint32_t bucket = 0; bucket < VersionTable::kBuckets; ++bucket) {
    if (hashes_reply.hashes[bucket] != m_table.bucket_hashes()[bucket])
      m_comparison->buckets[bucket] = "";
  }
  AdvanceComparison(now, effects);
}

void VersionSpread::AdvanceComparison(TimePoint now, Effects& effects) {
  if (m_comparison->buckets.empty()) {
    EndComparison(true);
    RunCatchUp(now, effects);
    return;
  }
  const auto& [bucket, after] = *m_comparison->buckets.begin();
  m_comparison->retry_at = now + m_options.request_timeout;
  Send(m_comparison->peer, BucketPageRequest{bucket, after}, effects);
}

void VersionSpread::OnBucketPageRequest(const VmName& from,
                                        const BucketPageRequest& request,
                                        TimePoint now,
                                        Effects& effects) {
  if (request.bucket >= VersionTable::kBuckets || !MayServe(from, now, effects))
    return;
  BucketPage page;
  page.bucket = request.bucket;
  page.after = request.after;
  page.last = true;
  size_t size = kPageOverhead + request.after.size();
  const size_t max_keys = kMaxSpreadMessage / kKeyOverhead;
  for (const SpreadObject* object :
       m_table.Bucket(request.bucket, request.after, max_keys)) {
    size += kKeyOverhead + object->key.size();
    if (size > kMaxSpreadMessage) {
      page.last = false;
      break;
    }
    page.keys.push_back(KeyVersion{object->key, object->version.value});
  }
  Send(from, page, effects);
}

void VersionSpread::OnBucketPage(const VmName& from,
                                 const BucketPage& page,
                                 TimePoint now,
                                 Effects& effects) {
  if (!m_comparison || m_comparison->peer != from)
    return;
  const auto found = m_comparison->buckets.find(page.bucket);
  if (found == m_comparison->buckets.end() || found->second != page.after)
    return;
  m_comparison->attempts = 0;
  if (page.last || page.keys.empty())
    m_comparison->buckets.erase(found);
  else
    found->second = page.keys.back().key;
  for (const KeyVersion& item : page.keys)
    OnVersionAnnouncement(from, item.key, item.version, now, effects);
  AdvanceComparison(now, effects);
}

void VersionSpread::RunComparison(TimePoint now, Effects& effects) {
  if (!m_comparison || now < m_comparison->retry_at)
    return;
  if (++m_comparison->attempts >= kComparisonAttempts) {
    m_unanswered[m_comparison->peer] = now;
    EndComparison(false);
    RunCatchUp(now, effects);
    return;
  }
  m_comparison->retry_at = now + m_options.request_timeout;
  if (m_comparison->has_buckets)
    AdvanceComparison(now, effects);
  else
    Send(m_comparison->peer, MakeDigest(DigestPurpose::kQuestion, now),
         effects);
}

void VersionSpread::RunCatchUp(TimePoint now, Effects& effects) {
  if (m_ready || !m_peers.joined)
    return;
  m_next_catch_up = now + kCatchUpRetry + RandomPart(kCatchUpRetry);
  if (m_comparison || !m_fetches.empty())
    return;
  std::vector<VmName> candidates;
  const auto add = [&](const std::vector<VmName>& names) {
    for (const VmName& vm : names) {
      const auto unanswered = m_unanswered.find(vm);
      if (unanswered != m_unanswered.end() &&
          now - unanswered->second < kUnansweredPeerDelay)
        continue;
      const auto compared = m_compared.find(vm);
      if (compared == m_compared.end())
        candidates.push_back(vm);
    }
  };
  add(m_peers.zone);
  if (candidates.empty()) {
    for (const auto& [zone, names] : m_peers.contacts)
      add(names);
  }
  const size_t ready_peers = static_cast<size_t>(
      std::count_if(m_compared.begin(), m_compared.end(),
                    [](const auto& item) { return item.second; }));
  const bool enough = m_compared.size() >= m_options.catch_up_peers ||
                      (candidates.empty() && !m_compared.empty());
  bool platform_read = m_watcher;
  for (const auto& [prefix, watch] : m_watches)
    platform_read &= watch.answered_at.has_value();
  // The tables of peers that are still catching up do not suffice.
  const bool peers_exhausted =
      candidates.empty() || now >= m_peer_catch_up_deadline;
  if ((enough && ready_peers > 0) || (platform_read && peers_exhausted)) {
    m_ready = true;
    m_next_catch_up = TimePoint::max();
    effects.emplace_back(CaughtUp{m_compared.size()});
    m_compared.clear();
    m_unanswered.clear();
    return;
  }
  const std::vector<VmName> chosen = Choose(std::move(candidates), 1);
  if (chosen.empty()) {
    // No compared peer was ready, so all peers are asked again.
    m_compared.clear();
    return;
  }
  StartComparison(chosen.front(), now, effects);
}

void VersionSpread::OnVersionAnnouncement(const VmName& from,
                                          const std::string& key,
                                          uint64_t version,
                                          TimePoint now,
                                          Effects& effects) {
  if (version <= m_table.VersionOf(key).value)
    return;
  const auto found = m_fetches.find(key);
  if (found != m_fetches.end()) {
    if (found->second.version >= version)
      return;
  } else if (m_fetches.size() >= kMaxFetches) {
    return;
  }
  Fetch& fetch = m_fetches[key];
  const bool active = fetch.active;
  fetch = Fetch();
  fetch.version = version;
  fetch.from = from;
  fetch.active = active;
  if (active)
    RequestPiece(key, fetch, now, effects);
  else
    m_waiting_fetches.insert(key);
  ActivateFetches(now, effects);
}

void VersionSpread::ActivateFetches(TimePoint now, Effects& effects) {
  while (!m_waiting_fetches.empty() &&
         m_fetches.size() - m_waiting_fetches.size() <
             m_options.requests_in_flight) {
    const std::string key = *m_waiting_fetches.begin();
    m_waiting_fetches.erase(m_waiting_fetches.begin());
    Fetch& fetch = m_fetches.at(key);
    fetch.active = true;
    RequestPiece(key, fetch, now, effects);
  }
}

void VersionSpread::RequestPiece(const std::string& key,
                                 Fetch& fetch,
                                 TimePoint now,
                                 Effects& effects) {
  fetch.retry_at = now + m_options.request_timeout;
  Send(fetch.from, PieceRequest{key, fetch.version, fetch.bytes.size()},
       effects);
}

void VersionSpread::RunFetches(TimePoint now, Effects& effects) {
  if (m_fetches.size() == m_waiting_fetches.size())
    return;
  std::vector<std::string> abandoned;
  for (auto& [key, fetch] : m_fetches) {
    if (!fetch.active || now < fetch.retry_at)
      continue;
    if (++fetch.attempts >= kFetchAttempts) {
      abandoned.push_back(key);
      continue;
    }
    // The first peer may be unreachable or busy; other peers may have the
    // version as well.
    for (VmName& vm : Choose(AllPeers(), 1))
      fetch.from = std::move(vm);
    RequestPiece(key, fetch, now, effects);
  }
  for (const std::string& key : abandoned)
    m_fetches.erase(key);
  if (!abandoned.empty()) {
    // Missing versions must be found again before this proxy serves.
    if (!m_ready)
      m_compared.clear();
    ActivateFetches(now, effects);
  }
}

void VersionSpread::SendPiece(const VmName& to,
                              const SpreadObject& object,
                              size_t offset,
                              Effects& effects) {
  const size_t overhead = kPieceOverhead + object.key.size();
  if (overhead >= kMaxSpreadMessage || offset > object.value.size())
    return;
  Piece piece;
  piece.key = object.key;
  piece.version = object.version.value;
  piece.offset = offset;
  piece.size = object.value.size();
  piece.bytes = object.value.substr(offset, kMaxSpreadMessage - overhead);
  Send(to, piece, effects);
}

void VersionSpread::OnPieceRequest(const VmName& from,
                                   const PieceRequest& request,
                                   TimePoint now,
                                   Effects& effects) {
  const SpreadObject* object = m_table.Find(request.key);
  if (object == nullptr || object->version.value < request.version ||
      !MayServe(from, now, effects))
    return;
  // A newer version is sent from offset 0.
  const bool same = object->version.value == request.version;
  SendPiece(from, *object, same ? request.offset : 0, effects);
}

void VersionSpread::OnPiece(const VmName& from,
                            const Piece& piece,
                            TimePoint now,
                            Effects& effects) {
  if (piece.version <= m_table.VersionOf(piece.key).value ||
      piece.size > kMaxValueSize || piece.bytes.size() > piece.size)
    return;
  const auto found = m_fetches.find(piece.key);
  std::string value = piece.bytes;
  if (piece.bytes.size() < piece.size) {
    if (found == m_fetches.end() || found->second.version > piece.version)
      return;
    Fetch& fetch = found->second;
    if (fetch.version < piece.version) {
      fetch.version = piece.version;
      fetch.bytes.clear();
    }
    if (piece.offset != fetch.bytes.size() || piece.bytes.empty())
      return;
    fetch.bytes += piece.bytes;
    if (fetch.bytes.size() < piece.size) {
      fetch.from = from;
      fetch.attempts = 0;
      RequestPiece(piece.key, fetch, now, effects);
      return;
    }
    value = std::move(fetch.bytes);
  }
  const SpreadObject object{piece.key, ObjectVersion{piece.version},
                            std::move(value)};
  Accept(object, false, from, now, effects);
  if (found == m_fetches.end() || found->second.version > piece.version)
    return;
  m_waiting_fetches.erase(piece.key);
  m_fetches.erase(found);
  ActivateFetches(now, effects);
  if (m_fetches.empty())
    RunCatchUp(now, effects);
}

void VersionSpread::OnBusy(const VmName& from, TimePoint now) {
  // Distributes the retries over other peers and over time.
  for (auto& [key, fetch] : m_fetches) {
    if (fetch.active && fetch.from == from) {
      fetch.retry_at = now + RandomPart(m_options.request_timeout);
      fetch.attempts = 0;
    }
  }
  if (m_comparison && m_comparison->peer == from) {
    m_comparison->attempts = 0;
    m_comparison->retry_at = now + RandomPart(m_options.request_timeout);
  }
}

bool VersionSpread::MayServe(const VmName& from,
                             TimePoint now,
                             Effects& effects) {
  constexpr Duration kSecond = std::chrono::seconds(1);
  if (now - m_served_since >= kSecond) {
    m_served_since = now;
    m_served = 0;
  }
  if (++m_served <= m_options.served_per_second)
    return true;
  ++m_refused_catch_up;
  Send(from, Busy{}, effects);
  return false;
}

}  // namespace jackdawturn::targets
