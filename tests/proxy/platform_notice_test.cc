#include <string>
#include <variant>

#include "proxy/proxy_context.h"

#include "support/table_test.h"

namespace jackdawturn {

namespace {

// Feeds one answer per letter: a: answered, c: conflict, u: unavailable, t:
// timeout. Returns the recorded steps.
std::string StepsAfter(const std::string& answers) {
  proxy::ProxyContext context{proxy::ProxyOptions{}};
  std::string steps;
  TimePoint now{};
  for (const char letter : answers) {
    now += std::chrono::milliseconds(10);
    context.SetNow(now);
    Result<PlatformResponse> result = PlatformResponse();
    if (letter == 'c')
      result = Error{ErrorCode::kConflict, "platform.update", "platform", ""};
    else if (letter == 'u')
      result =
          Error{ErrorCode::kUnavailable, "platform.update", "platform", ""};
    else if (letter == 't')
      result = Error{ErrorCode::kTimeout, "platform.update", "platform", ""};
    context.Call(PlatformRequest(), std::chrono::seconds(1),
                 [](const Result<PlatformResponse>&) {});
    uint64_t call = 0;
    for (const proxy::Effect& effect : context.TakeEffects()) {
      if (const auto* sent = std::get_if<CallPlatform>(&effect))
        call = sent->call;
    }
    context.Answered(PlatformAnswered{call, std::move(result)});
    for (const proxy::Effect& effect : context.TakeEffects()) {
      if (const auto* append = std::get_if<proxy::AppendTimelineEvent>(&effect))
        steps += append->event.step + ' ';
    }
  }
  return steps;
}

}  // namespace

struct NoticeCase {
  const char* answers;
  const char* steps;
};

static const NoticeCase kNoticeCases[] = {
    {"aaa", ""},
    {"at", "lost "},
    {"au", "lost "},
    // One event per outage, however many calls fail.
    {"autut", "lost "},
    {"auua", "lost regained "},
    // A conflict is an answer, so the platform is reachable.
    {"aca", ""},
    {"auc", "lost regained "},
    {"uaua", "lost regained lost regained "},
};

// Guards against a platform outage without an event at its start and its end,
// and against an event for each failed call.
TABLE_TEST(platform_notice, records_each_outage_once, kNoticeCases) {
  const NoticeCase& row = kNoticeCases[*row_index];
  const std::string steps = StepsAfter(row.answers);
  cr_assert_str_eq(steps.c_str(), row.steps, "%s", row.answers);
}

}  // namespace jackdawturn
