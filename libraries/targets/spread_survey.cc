#include <algorithm>
#include <utility>

#include "targets/version_spread.h"

namespace jackdawturn::targets {

namespace {

// Timeout for the answers of a zone's proxies, after which the zone's reply is
// sent.
constexpr Duration kZoneAnswerTimeout = std::chrono::milliseconds(100);
// Timeout for the replies of all zones in one round.
constexpr Duration kZoneReplyTimeout = std::chrono::milliseconds(400);
constexpr Duration kZoneSurveyRetention = std::chrono::seconds(10);
constexpr size_t kMaxZoneSurveys = 64;
constexpr size_t kMaxSurveys = 64;
constexpr size_t kMaxNames = 8;

}  // namespace

void VersionSpread::OnStartSurvey(const StartSurvey& start, TimePoint now) {
  if (m_surveys.size() >= kMaxSurveys)
    return;
  Survey survey;
  survey.key = start.key;
  survey.version = start.version.value;
  survey.next_round = now;
  m_surveys[start.survey] = std::move(survey);
}

void VersionSpread::RunSurveys(TimePoint now, Effects& effects) {
  for (auto& [id, survey] : m_surveys) {
    if (now >= survey.report_at) {
      survey.report_at = TimePoint::max();
      ReportSurvey(id, survey, effects);
    }
    if (now >= survey.next_round) {
      survey.next_round = now + m_options.survey_interval;
      survey.report_at =
          now + std::min(kZoneReplyTimeout, m_options.survey_interval / 2);
      AskZones(id, survey, now, effects);
    }
  }
}

void VersionSpread::AskZones(uint64_t id,
                             Survey& survey,
                             TimePoint now,
                             Effects& effects) {
  // Discards the replies of the previous round, which are outdated.
  survey.replies.clear();
  survey.asked.clear();
  const SurveyRequest request{id, survey.key, survey.version};
  survey.asked[m_options.self] = m_options.zone;
  OnSurveyRequest(m_options.self, request, now, effects);
  for (const auto& [zone, contacts] : m_peers.contacts) {
    if (contacts.empty())
      continue;
    // Each round asks a different contact, because one may be slow or
    // unreachable.
    const VmName& contact = contacts[survey.rounds % contacts.size()];
    survey.asked[contact] = zone;
    Send(contact, request, effects);
  }
  ++survey.rounds;
}

void VersionSpread::OnSurveyRequest(const VmName& from,
                                    const SurveyRequest& request,
                                    TimePoint now,
                                    Effects& effects) {
  const SurveyId id{from, request.survey};
  if (m_zone_surveys.count(id) == 0 && m_zone_surveys.size() >= kMaxZoneSurveys)
    return;
  ZoneSurvey& survey = m_zone_surveys[id];
  survey.key = request.key;
  survey.version = request.version;
  survey.reply_at = now + kZoneAnswerTimeout;
  survey.expires_at = now + kZoneSurveyRetention;
  for (const VmName& vm : m_peers.zone) {
    const auto known = survey.answers.find(vm);
    if (known == survey.answers.end() || known->second < survey.version)
      Send(vm, MemberSurveyRequest{request.survey, request.key}, effects);
  }
}

void VersionSpread::OnMemberSurveyReply(const VmName& from,
                                        const MemberSurveyReply& member_reply) {
  for (auto& [id, survey] : m_zone_surveys) {
    if (id.second == member_reply.survey && survey.key == member_reply.key)
      survey.answers[from] =
          std::max(survey.answers[from], member_reply.version);
  }
}

SurveyReply VersionSpread::Summarise(uint64_t id,
                                     const ZoneSurvey& survey) const {
  SurveyReply reply;
  reply.survey = id;
  std::vector<VmName> zone = m_peers.zone;
  zone.push_back(m_options.self);
  for (const VmName& vm : zone) {
    const auto answer = survey.answers.find(vm);
    uint64_t version = answer == survey.answers.end() ? 0 : answer->second;
    if (vm == m_options.self)
      version = m_table.VersionOf(survey.key).value;
    ++reply.total;
    if (version >= survey.version)
      continue;
    ++reply.behind;
    if (reply.names.size() < kMaxNames)
      reply.names.push_back(vm.value());
  }
  return reply;
}

void VersionSpread::RunZoneSurveys(TimePoint now, Effects& effects) {
  for (auto item = m_zone_surveys.begin(); item != m_zone_surveys.end();) {
    const auto& [from, id] = item->first;
    ZoneSurvey& survey = item->second;
    if (now >= survey.reply_at) {
      survey.reply_at = TimePoint::max();
      const SurveyReply reply = Summarise(id, survey);
      if (from == m_options.self)
        OnSurveyReply(from, reply);
      else
        Send(from, reply, effects);
    }
    if (now >= survey.expires_at)
      item = m_zone_surveys.erase(item);
    else
      ++item;
  }
}

void VersionSpread::OnSurveyReply(const VmName& from,
                                  const SurveyReply& reply) {
  const auto found = m_surveys.find(reply.survey);
  if (found == m_surveys.end())
    return;
  const auto asked = found->second.asked.find(from);
  if (asked != found->second.asked.end())
    found->second.replies[asked->second] = reply;
}

void VersionSpread::ReportSurvey(uint64_t id,
                                 const Survey& survey,
                                 Effects& effects) {
  SurveyResult result;
  result.survey = id;
  std::set<ZoneName> zones = {m_options.zone};
  for (const auto& [zone, contacts] : m_peers.contacts)
    zones.insert(zone);
  for (const ZoneName& zone : zones) {
    const auto found = survey.replies.find(zone);
    if (found == survey.replies.end()) {
      result.silent_zones.push_back(zone);
      continue;
    }
    const SurveyReply& reply = found->second;
    result.total += reply.total;
    result.behind += reply.behind;
    result.names.insert(result.names.end(), reply.names.begin(),
                        reply.names.end());
  }
  effects.emplace_back(std::move(result));
}

}  // namespace jackdawturn::targets
