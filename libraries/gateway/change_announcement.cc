#include "gateway/change_announcement.h"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>

#include "core/json_fields.h"

namespace jackdawturn::gateway {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr const char* kStep = "change.announcement";
// An answer can be lost; the proxy is then told again.
constexpr Duration kAttemptTimeout = 90ms;
constexpr Duration kRetryDelay = 5ms;

}  // namespace

void AnnouncementRound::Start(Timers& timers,
                              AnnounceToPeer announce,
                              ChangeAnnouncement announcement,
                              std::vector<Peer> peers,
                              OnOutcome on_outcome) {
  const std::shared_ptr<AnnouncementRound> round(
      new AnnouncementRound(timers, std::move(announce),
                            std::move(announcement), std::move(on_outcome)));
  // One more, so that the round does not end before all peers were told.
  const std::vector<Peer> told = std::move(peers);
  round->m_awaited = told.size() + 1;
  for (const Peer& peer : told)
    round->Tell(peer);
  round->PeerEnded();
}

AnnouncementRound::AnnouncementRound(Timers& timers,
                                     AnnounceToPeer announce,
                                     ChangeAnnouncement announcement,
                                     OnOutcome on_outcome)
    : m_timers(timers),
      m_announce(std::move(announce)),
      m_announcement(std::move(announcement)),
      m_on_outcome(std::move(on_outcome)),
      m_end(timers.now() + kTimeLimit) {}

void AnnouncementRound::Tell(const Peer& peer) {
  const Duration timeout = std::min(kAttemptTimeout, m_end - m_timers.now());
  m_announce(peer, m_announcement, timeout,
             [self = shared_from_this(), peer](const auto& answer) {
               self->Answered(peer, answer);
             });
}

void AnnouncementRound::Answered(const Peer& peer,
                                 const Result<AnnouncementAnswer>& answer) {
  if (answer) {
    // An absent position is ordered before each present one.
    m_outcome.acknowledged =
        std::max(m_outcome.acknowledged, answer.value().acknowledged);
    return PeerEnded();
  }
  const ErrorCode code = answer.error().code;
  // A process that does not run passes nothing on. Before it does so after its
  // start, it reads the claims.
  if (code == ErrorCode::kUnavailable)
    return PeerEnded();
  if (code == ErrorCode::kTimeout && m_timers.now() + kRetryDelay < m_end) {
    m_timers.After(kRetryDelay,
                   [self = shared_from_this(), peer] { self->Tell(peer); });
    return;
  }
  m_outcome.unheard.push_back(peer.name);
  PeerEnded();
}

void AnnouncementRound::PeerEnded() {
  if (--m_awaited == 0)
    m_on_outcome(m_outcome);
}

std::string EncodeAnnouncement(const ChangeAnnouncement& announcement) {
  return boost::json::serialize(boost::json::object{
      {"group", announcement.group.value()},
      {"revision", announcement.revision},
      {"record", EncodePrimaryChange(announcement.record)}});
}

Result<ChangeAnnouncement> DecodeAnnouncement(const std::string& text) {
  TRY(const boost::json::value value, ParseJson(text, kStep));
  TRY(const JsonFields fields, JsonFields::Create(value, kStep));
  ChangeAnnouncement announcement;
  TRY(const std::string group, fields.String("group"));
  announcement.group = GroupName(group);
  TRY(announcement.revision, fields.Number("revision"));
  TRY(const std::string record, fields.String("record"));
  TRY(announcement.record, DecodePrimaryChange(record));
  return announcement;
}

std::string EncodeAnnouncementAnswer(const AnnouncementAnswer& answer) {
  boost::json::object body;
  if (answer.acknowledged) {
    body["term"] = answer.acknowledged->term;
    body["number"] = answer.acknowledged->number;
  }
  return boost::json::serialize(body);
}

Result<AnnouncementAnswer> DecodeAnnouncementAnswer(const std::string& text) {
  TRY(const boost::json::value value, ParseJson(text, kStep));
  TRY(const JsonFields fields, JsonFields::Create(value, kStep));
  AnnouncementAnswer answer;
  if (!fields.Has("term"))
    return answer;
  CommitPosition position;
  TRY(position.term, fields.Number("term"));
  TRY(position.number, fields.Number("number"));
  answer.acknowledged = position;
  return answer;
}

}  // namespace jackdawturn::gateway
