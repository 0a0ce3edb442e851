#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/peer_directory.h"
#include "gateway/primary_change_record.h"
#include "gateway/timers.h"

namespace jackdawturn::gateway {

// What a claimant tells other proxies directly, because some may not hear of
// its claim from the store.
struct ChangeAnnouncement {
  GroupName group;
  // The revision of the record in the store.
  uint64_t revision = 0;
  PrimaryChangeRecord record;
};

// A proxy's answer: from now on it knows of the change.
struct AnnouncementAnswer {
  // The newest commit of the term to be replaced that it has passed on as
  // acknowledged.
  std::optional<CommitPosition> acknowledged;
};

// Tells one proxy. Errors: kUnavailable (its process does not run), kNotFound
// (it is of a version that does not know announcements), kTimeout.
using AnnounceToPeer = std::function<void(
    const Peer& peer,
    const ChangeAnnouncement& announcement,
    Duration timeout,
    std::function<void(Result<AnnouncementAnswer>)> on_answer)>;

// Tells a number of proxies of a change, and collects what they have
// acknowledged. Load pattern: a change while some proxies are cut off from the
// store, have lost the answer to a watch or do not answer. Thread safety: not
// thread-safe.
class AnnouncementRound
    : public std::enable_shared_from_this<AnnouncementRound> {
 public:
  // A proxy that has not answered by then is not waited for.
  static constexpr Duration kTimeLimit = std::chrono::milliseconds(200);

  struct Outcome {
    // The newest commit that any of the proxies has acknowledged.
    std::optional<CommitPosition> acknowledged;
    // Those that may run and have not answered.
    std::vector<VmName> unheard;
  };
  using OnOutcome = std::function<void(const Outcome&)>;

  // Starts a round, which calls `on_outcome` once. `timers` outlives it.
  static void Start(Timers& timers,
                    AnnounceToPeer announce,
                    ChangeAnnouncement announcement,
                    std::vector<Peer> peers,
                    OnOutcome on_outcome);

 private:
  AnnouncementRound(Timers& timers,
                    AnnounceToPeer announce,
                    ChangeAnnouncement announcement,
                    OnOutcome on_outcome);

  void Tell(const Peer& peer);
  void Answered(const Peer& peer, const Result<AnnouncementAnswer>& answer);
  void PeerEnded();

  Timers& m_timers;
  const AnnounceToPeer m_announce;
  const ChangeAnnouncement m_announcement;
  const OnOutcome m_on_outcome;
  const TimePoint m_end;
  size_t m_awaited = 0;
  Outcome m_outcome;
};

// Encodes and decodes an announcement and the answer to it. Errors:
// kInvalidArgument. Thread-safe.
std::string EncodeAnnouncement(const ChangeAnnouncement& announcement);
Result<ChangeAnnouncement> DecodeAnnouncement(const std::string& text);
std::string EncodeAnnouncementAnswer(const AnnouncementAnswer& answer);
Result<AnnouncementAnswer> DecodeAnnouncementAnswer(const std::string& text);

}  // namespace jackdawturn::gateway
