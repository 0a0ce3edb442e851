#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "observe/observe.h"
#include "operator_commands.h"
#include "ports/ports.h"

namespace jackdawturn {

namespace {

using Answers = std::vector<std::optional<Result<HttpResponse>>>;

struct TimelineLine {
  OperatorLine line;
  std::vector<std::string> addresses;
  std::string group;
  std::string request;
  std::string vm;
  std::string kind;
};

Result<TimelineFilter> FilterOf(const TimelineLine& timeline) {
  TimelineFilter filter;
  if (!timeline.group.empty())
    filter.group = GroupName(timeline.group);
  if (!timeline.request.empty())
    filter.request = RequestId(timeline.request);
  if (!timeline.vm.empty())
    filter.vm = VmName(timeline.vm);
  if (!timeline.kind.empty()) {
    filter.kind = ParseEventKind(timeline.kind);
    if (!filter.kind)
      return Failure(ErrorCode::kInvalidArgument, "command_line", "",
                     "unknown kind of event: " + timeline.kind);
  }
  return filter;
}

// Asks all proxies at the same time, so that silent ones do not add up.
Answers FetchAll(const std::vector<Endpoint>& endpoints,
                 const std::string& authorization,
                 Duration timeout) {
  boost::asio::io_context context;
  Answers answers(endpoints.size());
  std::vector<std::unique_ptr<HttpClient>> clients;
  size_t missing = endpoints.size();
  for (size_t index = 0; index < endpoints.size(); ++index) {
    clients.push_back(std::make_unique<HttpClient>(context, endpoints[index], 1,
                                                   authorization));
    clients.back()->Send(
        "GET", "/v1/timeline", "", timeout,
        [&answers, &missing, &context, index](Result<HttpResponse> response) {
          answers[index] = std::move(response);
          if (--missing == 0)
            context.stop();
        });
  }
  context.run();
  return answers;
}

Result<std::vector<TimelineEvent>> EventsOf(
    const std::optional<Result<HttpResponse>>& answer,
    const std::string& address) {
  if (!answer)
    return Failure(ErrorCode::kTimeout, "timeline.fetch", address, "no answer");
  TRY(const auto response, *answer);
  if (response.status != kHttpOk)
    return DecodeError(response, address);
  return ReadEvents(response.body);
}

std::string Render(const std::vector<TimelineEvent>& events,
                   const std::string& output) {
  if (output == "json")
    return RenderJson(events);
  if (output == "svg")
    return RenderSvg(events);
  if (output == "html")
    return RenderHtml(events);
  return RenderText(events);
}

Result<int> Timeline(const TimelineLine& timeline) {
  TRY(const auto filter, FilterOf(timeline));
  TRY(const auto authorization, ReadAuthorization(timeline.line.key_file));
  std::vector<Endpoint> endpoints;
  for (const std::string& address : timeline.addresses) {
    TRY(auto endpoint, ParseEndpoint(address));
    endpoints.push_back(std::move(endpoint));
  }
  const Answers answers =
      FetchAll(endpoints, authorization, timeline.line.timeout());
  std::vector<std::vector<TimelineEvent>> timelines;
  for (size_t index = 0; index < answers.size(); ++index) {
    const std::string& address = timeline.addresses[index];
    auto events = EventsOf(answers[index], address);
    if (events)
      timelines.push_back(std::move(events).value());
    else
      std::cerr << "no time line from " << address << ": " << events.error()
                << '\n';
  }
  if (timelines.empty())
    return kExitFailure;
  const auto merged =
      FilterTimeline(MergeTimelines(std::move(timelines)), filter);
  const std::string text = Render(merged, timeline.line.output);
  std::cout << text;
  if (!text.empty() && text.back() != '\n')
    std::cout << '\n';
  return kExitDone;
}

}  // namespace

void AddTimelineCommand(CLI::App& app, RunCommand& run) {
  auto timeline = std::make_shared<TimelineLine>();
  auto* command = app.add_subcommand(
      "timeline",
      "Merge the time lines of proxies in causal order. Proxies that do not "
      "answer are named on the error output; exits with 1 when none answers.");
  command
      ->add_option("--address", timeline->addresses,
                   "IP:PORT where a proxy listens for operators; repeatable")
      ->required();
  command->add_option("--group", timeline->group, "Only events of this group");
  command->add_option("--request", timeline->request,
                      "Only events of this request id");
  command->add_option("--vm", timeline->vm, "Only events of this VM");
  command->add_option("--kind", timeline->kind,
                      "Only events of this kind, for example failover");
  AddKeyOption(*command, timeline->line);
  AddTimeoutOption(*command, timeline->line);
  AddOutputOption(*command, timeline->line, {"text", "json", "svg", "html"});
  command->callback(
      [&run, timeline] { run = [timeline] { return Timeline(*timeline); }; });
}

}  // namespace jackdawturn
