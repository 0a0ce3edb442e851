#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "core/core.h"
#include "targets/spread_message.h"
#include "targets/version_table.h"

namespace jackdawturn::targets {

// The proxies that this one knows; feed it after every change of the
// membership. `joined` as in FleetView: until then nothing is decided.
struct SpreadPeers {
  // Present proxies of this zone that are not leaving, without this proxy.
  std::vector<VmName> zone;
  // Present contacts of other zones.
  std::map<ZoneName, std::vector<VmName>> contacts;
  bool joined = false;
};

struct SpreadMessageReceived {
  VmName from;
  std::string bytes;
};

// A waiting watch ended: with changes, or without any when its time passed.
struct WatchAnswered {
  std::string prefix;
  std::vector<SpreadObject> changes;
  // Continue after this revision.
  uint64_t revision = 0;
};
// The platform did not answer.
struct WatchFailed {
  std::string prefix;
};

// An object that this proxy read from or stored in the platform itself, for
// example an accepted change of the targets or a published group record.
struct LocalObjectUpdate {
  SpreadObject object;
};

// Starts a survey of who runs `version` of `key` or a newer one; SurveyResult
// follows within the survey's time and again at each interval until
// StopSurvey. One survey at a time for each id.
struct StartSurvey {
  uint64_t survey = 0;
  std::string key;
  ObjectVersion version;
};
struct StopSurvey {
  uint64_t survey = 0;
};

using SpreadEvent = std::variant<SpreadPeers,
                                 SpreadMessageReceived,
                                 WatchAnswered,
                                 WatchFailed,
                                 LocalObjectUpdate,
                                 StartSurvey,
                                 StopSurvey>;

struct SendSpreadMessage {
  VmName to;
  std::string bytes;
};

// Starts a waiting watch; exactly one WatchAnswered or WatchFailed follows for
// each prefix.
struct StartWatch {
  std::string prefix;
  uint64_t after_revision = 0;
  Duration timeout{};
};

// A newer version of an object is in force on this proxy from now on.
struct VersionInForce {
  SpreadObject object;
};

// The proxy has caught up with its peers or the platform and may serve. Emitted
// again after each SpreadPeers in which `joined` was false.
struct CaughtUp {
  // Peers whose tables were compared; 0 when only the platform answered.
  size_t peers = 0;
};

struct SurveyResult {
  uint64_t survey = 0;
  // Proxies that were asked, and those of them that are behind or silent.
  uint64_t total = 0;
  uint64_t behind = 0;
  // Names of those behind, at most a few for each zone.
  std::vector<std::string> names;
  // Zones of which no proxy answered; their proxies are not counted.
  std::vector<ZoneName> silent_zones;
};

using SpreadEffect = std::variant<SendSpreadMessage,
                                  StartWatch,
                                  VersionInForce,
                                  CaughtUp,
                                  SurveyResult>;

struct SpreadOptions {
  VmName self;
  ZoneName zone;
  // Objects under these prefixes are watched.
  std::vector<std::string> prefixes = {"targets", "groups/"};
  // Proxies of each zone that watch the platform.
  size_t watchers_per_zone = 2;
  // A waiting watch returns after this time at the latest.
  Duration watch_timeout = std::chrono::seconds(20);
  // A missing answer of the platform is retried after a random time up to
  // this bound, doubled up to the longest.
  Duration first_retry = std::chrono::milliseconds(500);
  Duration longest_retry = std::chrono::seconds(15);
  // Peers to which a new version is sent on.
  size_t push_fanout = 3;
  Duration digest_interval = std::chrono::milliseconds(1'000);
  // Another digest goes to another zone at every n-th interval at least; at
  // more intervals in a small zone.
  size_t foreign_digest_every = 5;
  // Least time between two rounds of questions to peers that were not known;
  // each round asks `push_fanout` of them.
  Duration question_interval = std::chrono::milliseconds(500);
  // Values up to this size are pushed; larger ones are offered.
  size_t push_size = 600;
  // Peers to compare with at start, before the proxy serves.
  size_t catch_up_peers = 3;
  // At start, wait for peers this long before the platform's answer suffices.
  Duration catch_up_patience = std::chrono::milliseconds(1'500);
  // Requests that are repeated when no answer came.
  Duration request_timeout = std::chrono::milliseconds(250);
  // Objects that are requested from peers at a time.
  size_t requests_in_flight = 16;
  // Pause after a watch that brought changes, which bounds the calls of the
  // platform while many changes arrive.
  Duration watch_pause = std::chrono::milliseconds(300);
  // Messages per second that a proxy spends on serving others' catch-up.
  size_t served_per_second = 1'000;
  Duration survey_interval = std::chrono::milliseconds(500);
};

// Spreads the newest versions of the platform's objects: a few watchers per
// zone read the platform, all others get new versions by push and find missed
// ones by comparing digests. A version is accepted only if it is newer than the
// one held, so neither a stale read nor an old peer brings one back. A proxy
// that starts compares its table with peers before it serves.
// Thread safety: not thread-safe; owned by the decision thread.
class VersionSpread {
 public:
  VersionSpread(SpreadOptions options, std::mt19937_64 random);

  std::vector<SpreadEffect> Handle(const SpreadEvent& event, TimePoint now);
  std::vector<SpreadEffect> OnTime(TimePoint now);
  TimePoint NextWakeup() const;

  const VersionTable& table() const { return m_table; }
  // True once CaughtUp was emitted.
  bool ready() const { return m_ready; }
  bool is_watcher() const { return m_watcher; }
  // Time since the table was known to agree with the platform, directly or by
  // the chain of peers; none when that was never so. It grows while this proxy
  // is cut off, and is at most a few digest intervals above watch_timeout
  // otherwise.
  std::optional<Duration> age(TimePoint now) const;
  size_t StateBytes() const;
  // Catch-up messages answered with Busy.
  uint64_t refused_catch_up() const { return m_refused_catch_up; }

 private:
  struct WatchState {
    uint64_t revision = 0;
    bool waiting = false;
    std::optional<TimePoint> answered_at;
    TimePoint retry_at;
    Duration backoff{};
  };
  // A version that is being fetched.
  struct Fetch {
    uint64_t version = 0;
    VmName from;
    std::string bytes;
    bool active = false;
    TimePoint retry_at;
    size_t attempts = 0;
  };
  // Comparison of all buckets with one peer; one at a time.
  struct Comparison {
    VmName peer;
    TimePoint retry_at;
    size_t attempts = 0;
    // Buckets to be listed, with the key to continue after.
    std::map<uint32_t, std::string> buckets;
    bool has_buckets = false;
  };
  // A survey of all zones that this proxy started.
  struct Survey {
    std::string key;
    uint64_t version = 0;
    TimePoint next_round;
    TimePoint report_at = TimePoint::max();
    std::map<ZoneName, SurveyReply> replies;
    std::map<VmName, ZoneName> asked;
    size_t rounds = 0;
  };
  // The survey of the own zone, for another proxy or for this one.
  struct ZoneSurvey {
    std::string key;
    uint64_t version = 0;
    std::map<VmName, uint64_t> answers;
    TimePoint reply_at;
    TimePoint forget_at;
  };
  using SurveyId = std::pair<VmName, uint64_t>;
  using Effects = std::vector<SpreadEffect>;

  void OnPeers(const SpreadPeers& peers, TimePoint now, Effects& effects);
  void OnMessage(const SpreadMessageReceived& received,
                 TimePoint now,
                 Effects& effects);
  void OnWatchAnswered(const WatchAnswered& answer,
                       TimePoint now,
                       Effects& effects);
  void OnWatchFailed(const WatchFailed& failure, TimePoint now);
  void RunWatches(TimePoint now, Effects& effects);
  void RunDigests(TimePoint now, Effects& effects);
  void AddNewPeer(const VmName& vm);
  // Asks some of the new peers for their digests.
  void RunQuestions(TimePoint now, Effects& effects);

  // Accepts an object if it is newer, and passes it on. `wide` sends it to
  // every other zone as well.
  void Accept(const SpreadObject& object,
              bool wide,
              const VmName& except,
              TimePoint now,
              Effects& effects);
  void Push(const SpreadObject& object,
            bool wide,
            const VmName& except,
            Effects& effects);

  // Comparison and catch-up, in spread_catch_up.cc.
  void OnDigest(const VmName& from,
                const Digest& digest,
                TimePoint now,
                Effects& effects);
  void OnBucketHashesReply(const VmName& from,
                           const BucketHashesReply& hashes_reply,
                           TimePoint now,
                           Effects& effects);
  void OnBucketPage(const VmName& from,
                    const BucketPage& page,
                    TimePoint now,
                    Effects& effects);
  void OnBucketPageRequest(const VmName& from,
                           const BucketPageRequest& request,
                           TimePoint now,
                           Effects& effects);
  void OnVersionAnnouncement(const VmName& from,
                             const std::string& key,
                             uint64_t version,
                             TimePoint now,
                             Effects& effects);
  void OnPieceRequest(const VmName& from,
                      const PieceRequest& request,
                      TimePoint now,
                      Effects& effects);
  void OnPiece(const VmName& from,
               const Piece& piece,
               TimePoint now,
               Effects& effects);
  void OnBusy(const VmName& from, TimePoint now);
  void StartComparison(const VmName& peer, TimePoint now, Effects& effects);
  void AdvanceComparison(TimePoint now, Effects& effects);
  void EndComparison(bool complete);
  void RunComparison(TimePoint now, Effects& effects);
  void RunCatchUp(TimePoint now, Effects& effects);
  void ActivateFetches(TimePoint now, Effects& effects);
  void RunFetches(TimePoint now, Effects& effects);
  void RequestPiece(const std::string& key,
                    Fetch& fetch,
                    TimePoint now,
                    Effects& effects);
  // Sends the piece of the object that starts at `offset`.
  void SendPiece(const VmName& to,
                 const SpreadObject& object,
                 size_t offset,
                 Effects& effects);
  bool MayServe(const VmName& from, TimePoint now, Effects& effects);
  Digest MakeDigest(DigestPurpose purpose, TimePoint now) const;
  RecentVersions MakeRecent() const;

  // Surveys, in spread_survey.cc.
  void OnStartSurvey(const StartSurvey& start, TimePoint now);
  void OnSurveyRequest(const VmName& from,
                       const SurveyRequest& request,
                       TimePoint now,
                       Effects& effects);
  void OnMemberSurveyReply(const VmName& from,
                           const MemberSurveyReply& member_reply);
  void OnSurveyReply(const VmName& from, const SurveyReply& reply);
  void RunSurveys(TimePoint now, Effects& effects);
  void RunZoneSurveys(TimePoint now, Effects& effects);
  void AskZones(uint64_t id, Survey& survey, TimePoint now, Effects& effects);
  void ReportSurvey(uint64_t id, const Survey& survey, Effects& effects);
  SurveyReply Summarise(uint64_t id, const ZoneSurvey& survey) const;

  std::vector<VmName> AllPeers() const;
  std::vector<VmName> Choose(std::vector<VmName> from, size_t count);
  Duration RandomPart(Duration whole);
  void Send(const VmName& to, const SpreadMessage& message, Effects& effects);

  SpreadOptions m_options;
  std::mt19937_64 m_random;
  VersionTable m_table;
  SpreadPeers m_peers;
  bool m_ready = false;
  bool m_watcher = false;
  std::optional<TimePoint> m_agreed_at;

  std::map<std::string, WatchState> m_watches;
  std::map<std::string, Fetch> m_fetches;
  // Keys of fetches that are not active yet.
  std::set<std::string> m_waiting_fetches;
  std::optional<Comparison> m_comparison;
  // Peers whose tables were compared since the start, and whether they were
  // ready; peers that did not answer.
  std::map<VmName, bool> m_compared;
  std::map<VmName, TimePoint> m_unanswered;
  // Keys accepted last, newest at the end.
  std::vector<std::string> m_recent;
  size_t m_different_digests = 0;
  TimePoint m_next_digest = TimePoint::max();
  size_t m_digests_sent = 0;
  // Peers that were not known before and were not asked yet.
  std::vector<VmName> m_new_peers;
  TimePoint m_next_question;
  TimePoint m_patience_ends = TimePoint::max();
  TimePoint m_next_catch_up = TimePoint::max();

  std::map<uint64_t, Survey> m_surveys;
  std::map<SurveyId, ZoneSurvey> m_zone_surveys;

  TimePoint m_served_since;
  size_t m_served = 0;
  uint64_t m_refused_catch_up = 0;
};

}  // namespace jackdawturn::targets
