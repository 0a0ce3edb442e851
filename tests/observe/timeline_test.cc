#include <algorithm>
#include <random>
#include <set>
#include <sstream>

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <boost/property_tree/ptree.hpp>
#include <boost/property_tree/xml_parser.hpp>

#include "observe/observe.h"

#include "support/table_test.h"

namespace jackdawturn {

using std::chrono::microseconds;

static HybridStamp At(int64_t milliseconds, uint32_t logical = 0) {
  return {ClockTime(microseconds(1'000 * milliseconds)), logical};
}

static TimelineEvent Step(int64_t milliseconds,
                          const char* vm,
                          std::string_view step,
                          const char* term,
                          const char* instance) {
  TimelineEvent event;
  event.stamp = At(milliseconds);
  event.vm = VmName(vm);
  event.kind = EventKind::kFailover;
  event.group = GroupName("g1");
  event.step = step;
  event.fields[std::string(kTermField)] = term;
  event.fields[std::string(kInstanceField)] = instance;
  return event;
}

static TimelineEvent Answer(int64_t milliseconds,
                            const char* vm,
                            const char* term,
                            const char* instance,
                            std::string_view role = kPrimaryRole,
                            std::string_view outcome = kDoneOutcome) {
  TimelineEvent event = Step(milliseconds, vm, "answer", term, instance);
  event.kind = EventKind::kAnswer;
  event.request = RequestId("r1");
  event.fields[std::string(kRoleField)] = role;
  event.fields[std::string(kOutcomeField)] = outcome;
  return event;
}

// Two proxies; the primary i1 of term 1 is replaced by i2 in term 3, after an
// attempt in term 2 that promoted nobody.
static std::vector<std::vector<TimelineEvent>> Failover() {
  TimelineEvent claim = Step(1'150, "vm-b", kClaimStep, "3", "");
  claim.fields[std::string(kReasonField)] = "primary silent";
  return {
      {Answer(900, "vm-a", "1", "i1"), Answer(1'000, "vm-a", "1", "i1"),
       // Neither of these is an answer of a primary.
       Answer(1'100, "vm-a", "1", "i3", "replica"),
       Answer(1'120, "vm-a", "1", "i1", kPrimaryRole, "unknown"),
       Step(1'130, "vm-a", kClaimStep, "2", ""),
       Answer(1'212, "vm-a", "3", "i2")},
      {Answer(950, "vm-b", "1", "i1"), claim,
       Step(1'180, "vm-b", kPromoteStep, "3", "i2"),
       Step(1'190, "vm-b", kPublishStep, "3", "i2"),
       Answer(1'300, "vm-b", "3", "i2")},
  };
}

// Guards against a merge that breaks the order of cause and effect, and that
// shows an event twice when rings are fetched twice.
Test(timeline, merge_orders_by_stamp_and_drops_copies) {
  TimelineEvent sent = Step(5, "vm-b", "send", "1", "");
  TimelineEvent received = Step(5, "vm-a", "receive", "1", "");
  received.stamp.logical = 1;
  TimelineEvent tie = Step(5, "vm-a", "tie", "1", "");
  const auto merged = MergeTimelines({{tie, received}, {sent}, {received}, {}});
  cr_assert_eq(merged.size(), 3U);
  cr_assert_str_eq(merged[0].step.c_str(), "tie");
  cr_assert_str_eq(merged[1].step.c_str(), "send");
  cr_assert_str_eq(merged[2].step.c_str(), "receive");
}

struct FilterCase {
  const char* group;
  const char* request;
  const char* vm;
  const char* kind;
  size_t expected;
};

static const FilterCase kFilterCases[] = {
    {nullptr, nullptr, nullptr, nullptr, 11},
    {"g1", nullptr, nullptr, nullptr, 11},
    {"g2", nullptr, nullptr, nullptr, 0},
    {nullptr, "r1", nullptr, nullptr, 7},
    {nullptr, nullptr, "vm-b", nullptr, 5},
    {nullptr, nullptr, nullptr, "failover", 4},
    {"g1", "r1", "vm-b", "answer", 2},
};

// Guards against filters that are ignored or combined with "or".
TABLE_TEST(timeline, filters, kFilterCases) {
  const FilterCase& row = kFilterCases[*row_index];
  TimelineFilter filter;
  if (row.group != nullptr)
    filter.group = GroupName(row.group);
  if (row.request != nullptr)
    filter.request = RequestId(row.request);
  if (row.vm != nullptr)
    filter.vm = VmName(row.vm);
  if (row.kind != nullptr)
    filter.kind = ParseEventKind(row.kind).value();
  const auto events = MergeTimelines(Failover());
  cr_assert_eq(FilterTimeline(events, filter).size(), row.expected);
}

// Guards against a gap that counts answers of replicas, failed requests or
// attempts that promoted nobody.
Test(timeline, failover_summary) {
  const auto summaries = SummarizeFailovers(MergeTimelines(Failover()));
  cr_assert_eq(summaries.size(), 1U);
  const FailoverSummary& summary = summaries[0];
  cr_assert(summary.group == GroupName("g1"));
  cr_assert(summary.term == Term{3});
  cr_assert(summary.promoted == InstanceName("i2"));
  cr_assert(summary.replaced == InstanceName("i1"));
  cr_assert(summary.changed_by == VmName("vm-b"));
  cr_assert_str_eq(summary.reason.c_str(), "primary silent");
  cr_assert(summary.claimed == At(1'150).physical);
  cr_assert(summary.promotion == At(1'180).physical);
  cr_assert(summary.published == At(1'190).physical);
  cr_assert(summary.gap() == microseconds(212'000));
}

// Guards against a gap that is made up, or negative, when answers are missing
// or overlap.
Test(timeline, gap_needs_both_answers) {
  const std::vector<TimelineEvent> no_answer = {
      Step(10, "vm-a", kPromoteStep, "2", "i2"), Answer(20, "vm-a", "2", "i2")};
  cr_assert_not(SummarizeFailovers(no_answer)[0].gap().has_value());
  const std::vector<TimelineEvent> overlap = {
      Step(10, "vm-a", kPromoteStep, "2", "i2"), Answer(20, "vm-a", "2", "i2"),
      Answer(30, "vm-b", "1", "i1")};
  cr_assert(SummarizeFailovers(overlap)[0].gap() == microseconds(0));
}

// Guards against a second change whose gap is measured from the first one.
Test(timeline, each_change_has_its_own_gap) {
  const std::vector<TimelineEvent> events = {
      Answer(10, "vm-a", "1", "i1"),
      Step(15, "vm-a", kPromoteStep, "2", "i2"),
      Answer(20, "vm-a", "2", "i2"),
      Answer(90, "vm-a", "2", "i2"),
      Step(95, "vm-a", kPromoteStep, "3", "i3"),
      Answer(97, "vm-a", "3", "i3")};
  const auto summaries = SummarizeFailovers(events);
  cr_assert_eq(summaries.size(), 2U);
  cr_assert(summaries[0].gap() == microseconds(10'000));
  cr_assert(summaries[1].gap() == microseconds(7'000));
  cr_assert(summaries[1].replaced == InstanceName("i2"));
}

// Guards against members that the JSON form loses.
Test(timeline, json_round_trip) {
  auto events = MergeTimelines(Failover());
  events[0].peer = "10.0.0.1:9000";
  events[0].stamp.logical = 4'000'000'000;
  events[1].fields["key \"x\""] = "line\nbreak \u00e9";
  const auto read = ReadEvents(WriteEvents(events));
  cr_assert(read.has_value());
  cr_assert(read.value() == events);
  const auto rendered = ReadEvents(RenderJson(events));
  cr_assert(rendered.value() == events);
}

// Guards against an unknown kind of event that has no name in files.
Test(timeline, every_kind_has_a_name) {
  for (int kind = 0; kind <= static_cast<int>(EventKind::kProcess); ++kind) {
    const auto value = static_cast<EventKind>(kind);
    cr_assert(ParseEventKind(ToString(value)) == value);
  }
  cr_assert_not(ParseEventKind("unknown").has_value());
}

struct BadEvents {
  const char* text;
  const char* pointer;
};

static const BadEvents kBadEvents[] = {
    {"", "\"\""},
    {"[]", "/events"},
    {R"({"events": {}})", "/events"},
    {R"({"events": [1]})", "/events/0"},
    {R"({"events": [{"logical": 0, "kind": "answer"}]})",
     "/events/0/physical_us"},
    {R"({"events": [{"physical_us": 1, "logical": 4294967296}]})",
     "/events/0/logical"},
    {R"({"events": [{"physical_us": 1e30, "logical": 0}]})",
     "/events/0/physical_us"},
    {R"({"events": [{"physical_us": 1, "logical": 0, "kind": "x"}]})",
     "/events/0/kind"},
    {R"({"events": [{"physical_us": 1, "logical": 0, "vm": 5}]})",
     "/events/0/vm"},
    {R"({"events": [{"physical_us": 1, "logical": 0, "fields": {"a": 1}}]})",
     "/events/0/fields"},
};

// Guards against events of another proxy that are taken over unchecked.
TABLE_TEST(timeline, bad_events, kBadEvents) {
  const BadEvents& row = kBadEvents[*row_index];
  const auto read = ReadEvents(row.text);
  cr_assert(read.has_error());
  cr_assert(read.error().code == ErrorCode::kInvalidArgument);
  cr_assert(read.error().message.find(row.pointer) != std::string::npos, "%s",
            read.error().message.c_str());
}

// Guards against input from another proxy that crashes the decoder or that a
// renderer cannot show.
Test(timeline, mutated_events_are_refused_or_rendered) {
  constexpr size_t kRounds = 2'000;
  std::mt19937_64 random(3);
  const std::string valid = WriteEvents(MergeTimelines(Failover()));
  size_t accepted = 0;
  for (size_t round = 0; round < kRounds; ++round) {
    std::string text = valid;
    for (size_t change = random() % 3 + 1; change > 0; --change) {
      const size_t at = random() % text.size();
      if (random() % 2 == 0)
        text[at] = static_cast<char>(random());
      else
        text.erase(at, random() % 32);
    }
    const auto read = ReadEvents(text);
    if (read.has_error())
      continue;
    ++accepted;
    const auto merged = MergeTimelines({read.value()});
    cr_assert_not(RenderSvg(merged).empty());
    cr_assert(ReadEvents(RenderJson(merged)).value() == merged);
  }
  cr_assert_gt(accepted, 0U);
  cr_assert_lt(accepted, kRounds);
}

static size_t Count(const std::string& text, const std::string& part) {
  size_t count = 0;
  for (size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1))
    ++count;
  return count;
}

// Collects the attribute `key` and the text of every element `name`.
struct Element {
  double x = 0;
  double y = 0;
  double width = 0;
  std::string text;
};

static std::vector<Element> Elements(const std::string& svg,
                                     const std::string& name,
                                     const std::string& x,
                                     const std::string& y) {
  boost::property_tree::ptree tree;
  std::istringstream input(svg);
  boost::property_tree::read_xml(input, tree);
  std::vector<Element> elements;
  for (const auto& [key, child] : tree.get_child("svg")) {
    if (key != name || !child.get_optional<double>("<xmlattr>." + x))
      continue;
    elements.push_back(Element{child.get<double>("<xmlattr>." + x),
                               child.get<double>("<xmlattr>." + y),
                               child.get("<xmlattr>.width", 0.0),
                               child.get("title", child.data())});
  }
  return elements;
}

// Guards against an image in which the failover cannot be seen: a lane for
// each process, the gap to scale, the new term and the new primary.
Test(timeline, svg_shows_the_failover) {
  const std::string svg = RenderSvg(MergeTimelines(Failover()));
  const auto dots = Elements(svg, "circle", "cx", "cy");
  cr_assert_eq(dots.size(), 11U);
  std::set<double> lanes;
  for (const Element& dot : dots)
    lanes.insert(dot.y);
  cr_assert_eq(lanes.size(), 2U);

  const auto texts = Elements(svg, "text", "x", "y");
  const auto has_text = [&](const char* part) {
    return std::any_of(texts.begin(), texts.end(), [&](const auto& element) {
      return element.text.find(part) != std::string::npos;
    });
  };
  cr_assert(has_text("vm-a"));
  cr_assert(has_text("vm-b"));
  cr_assert(has_text("g1"));
  cr_assert(has_text("gap 212.0 ms, term 3: i2"));

  const auto spans = Elements(svg, "rect", "x", "y");
  cr_assert_eq(spans.size(), 3U);
  cr_assert_str_eq(spans[0].text.c_str(), "primary i1");
  cr_assert_str_eq(spans[1].text.c_str(), "gap 212.0 ms");
  cr_assert_str_eq(spans[2].text.c_str(), "term 3, primary i2");
  // The events span 400 ms, 100 ms of them before the gap.
  cr_assert_float_eq(spans[1].width / spans[0].width, 2.12, 0.01);
  cr_assert_float_eq(spans[1].x, spans[0].x + spans[0].width, 0.1);
}

// Guards against a page that needs other files or a script, or that lacks the
// figures of the failover.
Test(timeline, html_is_self_contained) {
  const std::string page = RenderHtml(MergeTimelines(Failover()));
  cr_assert(page.starts_with("<!DOCTYPE html>"));
  for (const char* reference : {"<script", "<link", "src=", "href=", "url("})
    cr_assert_eq(Count(page, reference), 0U, "%s", reference);
  cr_assert_eq(Count(page, "http"),
               Count(page, "http-equiv") + Count(page, "http://www.w3.org"));
  cr_assert_eq(Count(page, "<svg"), 1U);
  cr_assert_eq(Count(page, "<td class=\"gap\">212.0 ms</td>"), 1U);
  cr_assert_eq(Count(page, "<td>primary silent</td>"), 1U);
  // One row for each event and one for the change.
  cr_assert_eq(Count(page, "<tr><td>"), 12U);
}

static const char* const kHostileTexts[] = {
    "<script>alert(1)</script>",
    "\"'><img src=x>",
    "a&lt;b & c",
    "\x1b[2J\r\n\t\0x",
    "\xff\xc3",
    "\xc2\x9b"
    "1m",
    "]]><!--",
};

// Guards against texts of callers that act in a browser or a terminal.
TABLE_TEST(timeline, hostile_texts_are_escaped, kHostileTexts) {
  const std::string hostile = kHostileTexts[*row_index];
  auto events = MergeTimelines(Failover());
  for (TimelineEvent& event : events) {
    event.vm = VmName(hostile);
    event.group = GroupName(hostile);
    event.request = RequestId(hostile);
    event.step += hostile;
    event.peer = hostile;
    event.fields[hostile] = hostile;
  }
  TimelineEvent promotion = Step(1'185, "v", kPromoteStep, "4", "");
  promotion.fields[std::string(kInstanceField)] = hostile;
  events.push_back(promotion);

  const std::string clean = RenderHtml(MergeTimelines(Failover()));
  const std::string page = RenderHtml(events);
  cr_assert_eq(Count(page, "<script"), 0U);
  cr_assert_eq(Count(page, "<img"), 0U);
  cr_assert_eq(Count(page, "<!--"), 0U);
  // Throws if the image is not well-formed.
  cr_assert_eq(Elements(RenderSvg(events), "circle", "cx", "cy").size(),
               events.size());

  const std::string text = RenderText(events);
  cr_assert_eq(Count(text, "\n"), events.size());
  cr_assert(std::none_of(text.begin(), text.end(), [](char c) {
    return c != '\n' && static_cast<unsigned char>(c) < 0x20;
  }));
  cr_assert_eq(Count(text, "\xc2\x9b"), 0U);
  boost::system::error_code error;
  boost::json::parse(RenderJson(events), error);
  cr_assert_not(error.failed());
}

// Guards against lines that cannot be read by key.
Test(timeline, text_has_one_line_for_each_event) {
  TimelineEvent event = Answer(1'000, "vm-a", "1", "i1");
  event.stamp = {
      ClockTime(std::chrono::sys_days(std::chrono::year(2026) / 12 / 4)) +
          std::chrono::hours(5) + microseconds(123),
      7};
  event.fields["two words"] = "a b";
  const std::string text = RenderText({event});
  cr_assert_str_eq(text.c_str(),
                   "event=answer time=2026-12-04T05:00:00.000123Z logical=7 "
                   "vm=vm-a group=g1 request=r1 step=answer instance=i1 "
                   "outcome=done role=primary term=1 two_words=\"a b\"\n");
}

// Guards against renderers that fail when a filter selects nothing.
Test(timeline, nothing_selected_is_rendered) {
  cr_assert(RenderText({}).empty());
  cr_assert_eq(ReadEvents(RenderJson({})).value().size(), 0U);
  cr_assert_eq(Count(RenderSvg({}), "no events"), 1U);
  cr_assert_eq(Count(RenderHtml({}), "<p>none</p>"), 1U);
}

}  // namespace jackdawturn
