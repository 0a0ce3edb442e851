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

// The present proxies; must be fed after every change of the membership.
// `joined` is as in FleetView: while it is false, no decisions are made.
struct SpreadPeers {
  // Present proxies of this zone that are not leaving, excluding this proxy.
  std::vector<VmName> zone;
  // Present contacts in other zones.
  std::map<ZoneName, std::vector<VmName>> contacts;
  bool joined = false;
};

struct SpreadMessageReceived {
  VmName from;
  std::string bytes;
};

// A watch completed: with changes, or without any after its timeout.
struct WatchAnswered {
  std::string prefix;
  std::vector<SpreadObject> changes;
  // The next watch starts after this revision.
  uint64_t revision = 0;
};
// The store did not answer.
struct WatchFailed {
  std::string prefix;
};

// An object that this proxy itself read from or wrote to the store, for example
// an accepted change of the targets or a published group record.
struct LocalObjectUpdate {
  SpreadObject object;
};

// Starts a survey of the proxies that have `version` of `key` or a newer one. A
// SurveyResult follows in each survey interval until StopSurvey. One survey at
// a time for each id.
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

// Starts a watch; exactly one WatchAnswered or WatchFailed follows for each
// prefix.
struct StartWatch {
  std::string prefix;
  uint64_t after_revision = 0;
  Duration timeout{};
};

// A newer version of an object is in force on this proxy from now on.
struct VersionInForce {
  SpreadObject object;
};

// The proxy has caught up with its peers or the store and may serve. Emitted
// again after each SpreadPeers in which `joined` was false.
struct CaughtUp {
  // Peers whose tables were compared; 0 when only the store answered.
  size_t peers = 0;
};

struct SurveyResult {
  uint64_t survey = 0;
  // Proxies that were asked, and those of them that lag or did not answer.
  uint64_t total = 0;
  uint64_t behind = 0;
  // Names of proxies that lag or did not answer, at most a few for each zone.
  std::vector<std::string> names;
  // Zones from which no proxy answered; their proxies are not counted.
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
  // Number of proxies of each zone that watch the store.
  size_t watchers_per_zone = 2;
  // Timeout of a watch.
  Duration watch_timeout = std::chrono::seconds(20);
  // When the store does not answer, the watch is retried after a random
  // delay of up to about this value, which is doubled after each failure up to
  // `longest_retry`.
  Duration first_retry = std::chrono::milliseconds(500);
  Duration longest_retry = std::chrono::seconds(15);
  // Number of peers to which a new version is forwarded.
  size_t push_fanout = 3;
  Duration digest_interval = std::chrono::milliseconds(1'000);
  // An additional digest is sent to another zone at least at every n-th
  // interval, and more often in a small zone.
  size_t foreign_digest_every = 5;
  // Minimum interval between two rounds of questions to new peers; each round
  // asks `push_fanout` of them.
  Duration question_interval = std::chrono::milliseconds(500);
  // Values up to this size are pushed; larger ones are announced.
  size_t push_size = 600;
  // Number of peers with which tables are compared at start, before the proxy
  // serves.
  size_t catch_up_peers = 3;
  // Timeout at start for comparing tables with peers, after which the
  // store's answer suffices.
  Duration catch_up_patience = std::chrono::milliseconds(1'500);
  // Timeout of a request to a peer, after which it is retried.
  Duration request_timeout = std::chrono::milliseconds(250);
  // Maximum number of objects that are requested from peers concurrently.
  size_t requests_in_flight = 16;
  // Pause after a watch that returned changes, which limits the calls to the
  // store while many changes arrive.
  Duration watch_pause = std::chrono::milliseconds(300);
  // Maximum number of catch-up messages per second that a proxy answers.
  size_t served_per_second = 1'000;
  Duration survey_interval = std::chrono::milliseconds(500);
};

// Spreads the newest versions of the store's objects: a few watchers per zone
// read the store, all other proxies receive new versions by push and detect
// missed ones by comparing digests. A version is accepted only if it is newer
// than the one held, so neither a stale read nor an outdated peer restores an
// older version. A proxy that starts compares its table with peers before it
// serves.
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
  // Returns the time since the table was last confirmed to agree with the
  // store, directly or through a chain of peers; nullopt if it never was. It
  // grows while this proxy is partitioned, and otherwise exceeds watch_timeout
  // by at most a few digest intervals.
  std::optional<Duration> age(TimePoint now) const;
  size_t StateBytes() const;
  // Returns the number of catch-up messages answered with Busy.
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
  // A comparison of all buckets with one peer; one runs at a time.
  struct Comparison {
    VmName peer;
    TimePoint retry_at;
    size_t attempts = 0;
    // Buckets that have yet to be listed, each with the last key received.
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
  // A survey of the local zone, requested by another proxy or by this one.
  struct ZoneSurvey {
    std::string key;
    uint64_t version = 0;
    std::map<VmName, uint64_t> answers;
    TimePoint reply_at;
    TimePoint expires_at;
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
  // Requests the digests of some of the new peers.
  void RunQuestions(TimePoint now, Effects& effects);

  // Accepts an object if it is newer, and forwards it. `to_all_zones` forwards
  // it to every other zone as well.
  void Accept(const SpreadObject& object,
              bool to_all_zones,
              const VmName& except,
              TimePoint now,
              Effects& effects);
  void Push(const SpreadObject& object,
            bool to_all_zones,
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
  // Peers whose tables were compared since the start, and whether each was
  // ready.
  std::map<VmName, bool> m_compared;
  // Peers that did not answer, and when their last timeout expired.
  std::map<VmName, TimePoint> m_unanswered;
  // Recently accepted keys, newest at the end.
  std::vector<std::string> m_recent;
  size_t m_different_digests = 0;
  TimePoint m_next_digest = TimePoint::max();
  size_t m_digests_sent = 0;
  // New peers that have not been asked for their digest yet.
  std::vector<VmName> m_new_peers;
  TimePoint m_next_question;
  TimePoint m_peer_catch_up_deadline = TimePoint::max();
  TimePoint m_next_catch_up = TimePoint::max();

  std::map<uint64_t, Survey> m_surveys;
  std::map<SurveyId, ZoneSurvey> m_zone_surveys;

  TimePoint m_served_since;
  size_t m_served = 0;
  uint64_t m_refused_catch_up = 0;
};

}  // namespace jackdawturn::targets
