#include "targets/version_spread.h"

#include <algorithm>
#include <utility>

namespace jackdawturn::targets {

namespace {

// A watch that returns more changes than this is an initial read of the store;
// peers find these changes by comparison instead of push.
constexpr size_t kMaxPushedPerWatch = 64;
// Number of recently accepted keys that are sent to a peer whose digest
// differs.
constexpr size_t kRecentKeys = 16;
// Maximum number of new peers that wait to be asked for their digest. When all
// proxies of a zone start simultaneously, each sees all others as new peers;
// asking all of them would cost messages quadratic in the zone's size. The
// periodic digests reach the other peers.
constexpr size_t kMaxNewPeers = 6;

}  // namespace

VersionSpread::VersionSpread(SpreadOptions options, std::mt19937_64 random)
    : m_options(std::move(options)), m_random(random) {
  for (const std::string& prefix : m_options.prefixes)
    m_watches[prefix] = WatchState();
}

std::vector<SpreadEffect> VersionSpread::Handle(const SpreadEvent& event,
                                                TimePoint now) {
  Effects effects;
  if (const auto* peers = std::get_if<SpreadPeers>(&event))
    OnPeers(*peers, now, effects);
  else if (const auto* message = std::get_if<SpreadMessageReceived>(&event))
    OnMessage(*message, now, effects);
  else if (const auto* answer = std::get_if<WatchAnswered>(&event))
    OnWatchAnswered(*answer, now, effects);
  else if (const auto* failure = std::get_if<WatchFailed>(&event))
    OnWatchFailed(*failure, now);
  else if (const auto* update = std::get_if<LocalObjectUpdate>(&event))
    Accept(update->object, true, VmName(), now, effects);
  else if (const auto* start = std::get_if<StartSurvey>(&event))
    OnStartSurvey(*start, now);
  else if (const auto* stop = std::get_if<StopSurvey>(&event))
    m_surveys.erase(stop->survey);
  return effects;
}

std::vector<SpreadEffect> VersionSpread::OnTime(TimePoint now) {
  Effects effects;
  if (m_peers.joined) {
    RunWatches(now, effects);
    RunDigests(now, effects);
    RunQuestions(now, effects);
    RunCatchUp(now, effects);
    RunComparison(now, effects);
    RunSurveys(now, effects);
  }
  RunFetches(now, effects);
  RunZoneSurveys(now, effects);
  return effects;
}

TimePoint VersionSpread::NextWakeup() const {
  TimePoint next = TimePoint::max();
  if (m_peers.joined) {
    next = std::min(m_next_digest, m_next_catch_up);
    if (!m_new_peers.empty())
      next = std::min(next, m_next_question);
    if (m_watcher) {
      for (const auto& [prefix, watch] : m_watches) {
        if (!watch.waiting)
          next = std::min(next, watch.retry_at);
      }
    }
    if (m_comparison)
      next = std::min(next, m_comparison->retry_at);
    for (const auto& [id, survey] : m_surveys)
      next = std::min({next, survey.next_round, survey.report_at});
  }
  if (m_fetches.size() > m_waiting_fetches.size()) {
    for (const auto& [key, fetch] : m_fetches) {
      if (fetch.active)
        next = std::min(next, fetch.retry_at);
    }
  }
  for (const auto& [id, survey] : m_zone_surveys)
    next = std::min({next, survey.reply_at, survey.expires_at});
  return next;
}

void VersionSpread::OnPeers(const SpreadPeers& peers,
                            TimePoint now,
                            Effects& effects) {
  const std::vector<VmName> old_peers = AllPeers();
  const std::set<VmName> before(old_peers.begin(), old_peers.end());
  const bool was_joined = m_peers.joined;
  m_peers = peers;
  if (!m_peers.joined) {
    // After a pause the table may be outdated, so it is compared again.
    m_ready = false;
    m_comparison.reset();
    m_new_peers.clear();
    return;
  }
  std::vector<std::string> zone = {m_options.self.value()};
  for (const VmName& vm : m_peers.zone)
    zone.push_back(vm.value());
  zone = RendezvousOrder("watchers/" + m_options.zone.value(), std::move(zone));
  const auto last = std::min(zone.size(), m_options.watchers_per_zone);
  const bool was_watcher = std::exchange(
      m_watcher,
      std::find(zone.begin(), zone.begin() + static_cast<std::ptrdiff_t>(last),
                m_options.self.value()) !=
          zone.begin() + static_cast<std::ptrdiff_t>(last));
  if (m_watcher && !was_watcher) {
    // A random delay, because several proxies can become watchers at the same
    // time.
    for (auto& [prefix, watch] : m_watches)
      watch.retry_at = now + RandomPart(m_options.first_retry / 4);
  }
  if (!was_joined) {
    m_next_digest = now + RandomPart(m_options.digest_interval);
    if (!m_ready) {
      m_peer_catch_up_deadline = now + m_options.catch_up_patience;
      m_next_catch_up = now;
    }
    return;
  }
  // A new peer may have versions that this proxy missed, for example after a
  // partition of a zone.
  for (const VmName& vm : AllPeers()) {
    if (before.count(vm) == 0)
      AddNewPeer(vm);
  }
  RunQuestions(now, effects);
}

void VersionSpread::AddNewPeer(const VmName& vm) {
  if (m_new_peers.size() < kMaxNewPeers) {
    m_new_peers.push_back(vm);
    return;
  }
  std::uniform_int_distribution<size_t> choose(0, kMaxNewPeers - 1);
  m_new_peers[choose(m_random)] = vm;
}

void VersionSpread::RunQuestions(TimePoint now, Effects& effects) {
  if (m_new_peers.empty() || now < m_next_question)
    return;
  m_next_question = now + m_options.question_interval;
  for (const VmName& vm : Choose(m_new_peers, m_options.push_fanout)) {
    std::erase(m_new_peers, vm);
    Send(vm, MakeDigest(DigestPurpose::kQuestion, now), effects);
  }
}

void VersionSpread::OnMessage(const SpreadMessageReceived& received,
                              TimePoint now,
                              Effects& effects) {
  auto decoded = DecodeSpread(received.bytes);
  if (!decoded)
    return;
  const VmName& from = received.from;
  const SpreadMessage& message = decoded.value();
  if (const auto* digest = std::get_if<Digest>(&message)) {
    OnDigest(from, *digest, now, effects);
  } else if (std::holds_alternative<BucketHashesRequest>(message)) {
    const auto& hashes = m_table.bucket_hashes();
    Send(from, BucketHashesReply{{hashes.begin(), hashes.end()}}, effects);
  } else if (const auto* hashes_reply =
                 std::get_if<BucketHashesReply>(&message)) {
    OnBucketHashesReply(from, *hashes_reply, now, effects);
  } else if (const auto* request = std::get_if<BucketPageRequest>(&message)) {
    OnBucketPageRequest(from, *request, now, effects);
  } else if (const auto* page = std::get_if<BucketPage>(&message)) {
    OnBucketPage(from, *page, now, effects);
  } else if (const auto* recent = std::get_if<RecentVersions>(&message)) {
    for (const KeyVersion& item : recent->keys)
      OnVersionAnnouncement(from, item.key, item.version, now, effects);
  } else if (const auto* announcement =
                 std::get_if<VersionAnnouncement>(&message)) {
    OnVersionAnnouncement(from, announcement->key, announcement->version, now,
                          effects);
  } else if (const auto* piece_request = std::get_if<PieceRequest>(&message)) {
    OnPieceRequest(from, *piece_request, now, effects);
  } else if (const auto* piece = std::get_if<Piece>(&message)) {
    OnPiece(from, *piece, now, effects);
  } else if (std::holds_alternative<Busy>(message)) {
    OnBusy(from, now);
  } else if (const auto* survey = std::get_if<SurveyRequest>(&message)) {
    OnSurveyRequest(from, *survey, now, effects);
  } else if (const auto* member_request =
                 std::get_if<MemberSurveyRequest>(&message)) {
    Send(from,
         MemberSurveyReply{member_request->survey, member_request->key,
                           m_table.VersionOf(member_request->key).value},
         effects);
  } else if (const auto* member_reply =
                 std::get_if<MemberSurveyReply>(&message)) {
    OnMemberSurveyReply(from, *member_reply);
  } else if (const auto* reply = std::get_if<SurveyReply>(&message)) {
    OnSurveyReply(from, *reply);
  }
}

void VersionSpread::OnWatchAnswered(const WatchAnswered& answer,
                                    TimePoint now,
                                    Effects& effects) {
  const auto found = m_watches.find(answer.prefix);
  if (found == m_watches.end())
    return;
  WatchState& watch = found->second;
  watch.waiting = false;
  watch.backoff = Duration();
  watch.revision = std::max(watch.revision, answer.revision);
  watch.answered_at = now;
  watch.retry_at =
      now + (answer.changes.empty() ? Duration() : m_options.watch_pause);
  const bool push = answer.changes.size() <= kMaxPushedPerWatch;
  for (const SpreadObject& object : answer.changes) {
    if (push) {
      Accept(object, false, VmName(), now, effects);
    } else if (m_table.Accept(object)) {
      effects.emplace_back(VersionInForce{object});
    }
  }
  TimePoint agreed = now;
  for (const auto& [prefix, other] : m_watches) {
    if (!other.answered_at)
      return;
    agreed = std::min(agreed, *other.answered_at);
  }
  m_agreed_at = m_agreed_at ? std::max(*m_agreed_at, agreed) : agreed;
  RunWatches(now, effects);
  RunCatchUp(now, effects);
}

void VersionSpread::OnWatchFailed(const WatchFailed& failure, TimePoint now) {
  const auto found = m_watches.find(failure.prefix);
  if (found == m_watches.end())
    return;
  WatchState& watch = found->second;
  watch.waiting = false;
  watch.backoff = watch.backoff == Duration()
                      ? m_options.first_retry
                      : std::min(watch.backoff * 2, m_options.longest_retry);
  // Almost the entire delay is random, so that the watchers of all zones do not
  // call simultaneously when the store is available again.
  watch.retry_at = now + watch.backoff / 8 + RandomPart(watch.backoff);
}

void VersionSpread::RunWatches(TimePoint now, Effects& effects) {
  if (!m_watcher)
    return;
  for (auto& [prefix, watch] : m_watches) {
    if (watch.waiting || now < watch.retry_at)
      continue;
    watch.waiting = true;
    // The first watch has a timeout of zero and returns immediately, so that a
    // new watcher does not wait.
    effects.emplace_back(
        StartWatch{prefix, watch.revision,
                   watch.answered_at ? m_options.watch_timeout : Duration()});
  }
}

void VersionSpread::RunDigests(TimePoint now, Effects& effects) {
  if (now < m_next_digest)
    return;
  m_next_digest = std::max(m_next_digest + m_options.digest_interval,
                           now + m_options.digest_interval / 2);
  std::vector<VmName> contacts;
  for (const auto& [zone, names] : m_peers.contacts)
    contacts.insert(contacts.end(), names.begin(), names.end());
  ++m_digests_sent;
  for (const VmName& vm : Choose(m_peers.zone, 1))
    Send(vm, MakeDigest(DigestPurpose::kPeriodic, now), effects);
  // In a small zone few proxies send digests, so each sends them to other zones
  // more often.
  const size_t every = std::clamp<size_t>(m_peers.zone.size() / 2, 1,
                                          m_options.foreign_digest_every);
  if (m_digests_sent % every != 0)
    return;
  for (const VmName& vm : Choose(std::move(contacts), 1))
    Send(vm, MakeDigest(DigestPurpose::kPeriodic, now), effects);
}

void VersionSpread::Accept(const SpreadObject& object,
                           bool to_all_zones,
                           const VmName& except,
                           TimePoint /*now*/,
                           Effects& effects) {
  if (!m_table.Accept(object))
    return;
  effects.emplace_back(VersionInForce{object});
  std::erase(m_recent, object.key);
  m_recent.push_back(object.key);
  if (m_recent.size() > kRecentKeys)
    m_recent.erase(m_recent.begin());
  if (m_ready || to_all_zones)
    Push(object, to_all_zones, except, effects);
}

void VersionSpread::Push(const SpreadObject& object,
                         bool to_all_zones,
                         const VmName& except,
                         Effects& effects) {
  std::vector<VmName> zone = m_peers.zone;
  std::erase(zone, except);
  std::vector<VmName> receivers =
      Choose(std::move(zone), m_options.push_fanout);
  if (to_all_zones) {
    for (const auto& [name, contacts] : m_peers.contacts)
      receivers.insert(receivers.end(), contacts.begin(), contacts.end());
  }
  for (const VmName& vm : receivers) {
    if (object.value.size() <= m_options.push_size)
      SendPiece(vm, object, 0, effects);
    else
      Send(vm, VersionAnnouncement{object.key, object.version.value}, effects);
  }
}

std::optional<Duration> VersionSpread::age(TimePoint now) const {
  if (!m_agreed_at)
    return std::nullopt;
  return std::max(now - *m_agreed_at, Duration());
}

std::vector<VmName> VersionSpread::AllPeers() const {
  std::vector<VmName> peers = m_peers.zone;
  for (const auto& [zone, names] : m_peers.contacts)
    peers.insert(peers.end(), names.begin(), names.end());
  return peers;
}

std::vector<VmName> VersionSpread::Choose(std::vector<VmName> from,
                                          size_t count) {
  const size_t chosen = std::min(count, from.size());
  for (size_t index = 0; index < chosen; ++index) {
    std::uniform_int_distribution<size_t> choose(index, from.size() - 1);
    std::swap(from[index], from[choose(m_random)]);
  }
  from.resize(chosen);
  return from;
}

Duration VersionSpread::RandomPart(Duration whole) {
  return Duration(std::uniform_int_distribution<Duration::rep>(
      0, std::max<Duration::rep>(whole.count() - 1, 0))(m_random));
}

void VersionSpread::Send(const VmName& to,
                         const SpreadMessage& message,
                         Effects& effects) {
  std::string bytes = EncodeSpread(message);
  // Drops messages with a key that is too long for a datagram.
  if (bytes.size() <= kMaxSpreadMessage)
    effects.emplace_back(SendSpreadMessage{to, std::move(bytes)});
}

size_t VersionSpread::StateBytes() const {
  // Size of names and a node header in one of the small maps.
  constexpr size_t kSmallEntry = 160;
  size_t bytes = sizeof(*this) + m_table.StateBytes();
  bytes += (AllPeers().size() + m_new_peers.size()) * sizeof(VmName);
  for (const auto& [key, fetch] : m_fetches)
    bytes += kSmallEntry + fetch.bytes.capacity();
  bytes += (m_watches.size() + m_waiting_fetches.size() + m_compared.size() +
            m_unanswered.size() + m_recent.size()) *
           kSmallEntry;
  for (const auto& [id, survey] : m_surveys)
    bytes += (1 + survey.replies.size() + survey.asked.size()) * kSmallEntry;
  for (const auto& [id, survey] : m_zone_surveys)
    bytes += (1 + survey.answers.size()) * kSmallEntry;
  return bytes;
}

}  // namespace jackdawturn::targets
