#include <algorithm>
#include <fstream>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/json.hpp>

#include "core/core.h"
#include "ports/ports.h"
#include "support/source_paths.h"

// Criterion comes after the Boost headers.
#include "support/table_test.h"

namespace jackdawturn {

namespace json = boost::json;

// A block of docs/interfaces.md between two fences.
struct Example {
  // "POST /v1/write" or "200".
  std::string first_line;
  std::string body;
};

// Returns the blocks by section; "Callers" is a section.
static std::map<std::string, std::vector<Example>> ReadExamples() {
  std::ifstream file(SourcePath("docs/interfaces.md"));
  cr_assert(file.is_open());
  std::map<std::string, std::vector<Example>> sections;
  std::string section;
  std::string line;
  bool inside = false;
  bool first = false;
  while (std::getline(file, line)) {
    if (line == "```") {
      inside = !inside;
      first = inside;
    } else if (first) {
      sections[section].push_back({line, ""});
      first = false;
    } else if (inside) {
      sections[section].back().body += line;
    } else if (line.starts_with("## ")) {
      section = line.substr(3);
    }
  }
  cr_assert_not(inside);
  return sections;
}

static bool IsRequest(const Example& example) {
  return example.first_line.starts_with("POST ") ||
         example.first_line.starts_with("GET ");
}

static std::string TargetIn(const Example& example) {
  return example.first_line.substr(example.first_line.find(' ') + 1);
}

static HttpResponse ResponseIn(const Example& example) {
  return {static_cast<unsigned>(std::stoul(example.first_line)), example.body};
}

static void ExpectEqual(const std::string& text, const std::string& expected) {
  cr_assert(json::parse(text) == json::parse(expected),
            "the code has\n%s\nthe page has\n%s", text.c_str(),
            expected.c_str());
}

// Decodes and encodes an error; returns false for another answer.
static bool CheckError(const Example& example) {
  if (!json::parse(example.body).as_object().contains("code"))
    return false;
  const HttpResponse response = ResponseIn(example);
  const std::string peer(
      json::parse(example.body).as_object().at("peer").as_string());
  const HttpResponse encoded = EncodeError(DecodeError(response, peer));
  ExpectEqual(encoded.body, example.body);
  cr_assert_eq(encoded.status, response.status, "%s", example.body.c_str());
  return true;
}

static void CheckCallers(const std::vector<Example>& examples) {
  for (const Example& example : examples) {
    if (IsRequest(example)) {
      const auto request = DecodeCallerRequest(TargetIn(example), example.body);
      cr_assert(request.has_value(), "%s", example.body.c_str());
      ExpectEqual(EncodeRequest(request.value()), example.body);
      continue;
    }
    const auto answer = DecodeAnswer(ResponseIn(example));
    cr_assert(answer.has_value(), "%s", example.body.c_str());
    const HttpResponse encoded = EncodeAnswer(answer.value());
    ExpectEqual(encoded.body, example.body);
    // The proxy sets the status of a request that could not be decoded.
    if (answer.value().reason != "not_found")
      cr_assert_eq(std::to_string(encoded.status), example.first_line, "%s",
                   example.body.c_str());
  }
}

// The answers of a call follow its request.
template <typename Request, typename Decode, typename DecodeAnswerTo>
static void CheckCalls(const std::vector<Example>& examples,
                       const Decode& decode,
                       const DecodeAnswerTo& decode_answer) {
  std::optional<Request> last;
  for (const Example& example : examples) {
    if (IsRequest(example)) {
      auto request = decode(TargetIn(example), example.body);
      cr_assert(request.has_value(), "%s", example.first_line.c_str());
      last = std::move(request).value();
      ExpectEqual(EncodeRequest(*last), example.body);
      cr_assert(TargetOf(*last) == TargetIn(example));
      continue;
    }
    if (CheckError(example))
      continue;
    const auto answer = decode_answer(*last, ResponseIn(example));
    cr_assert(answer.has_value(), "%s", example.body.c_str());
    ExpectEqual(EncodeResponse(answer).body, example.body);
  }
}

// Guards against a page that names members, paths, statuses or error codes
// which the code does not have.
Test(interfaces, examples_agree_with_the_codecs) {
  const auto sections = ReadExamples();
  CheckCallers(sections.at("Callers"));
  CheckCalls<BackendRequest>(
      sections.at("Backend servers"), DecodeRequest,
      [](const BackendRequest& request, const HttpResponse& response) {
        return DecodeResponse(request, response, "");
      });
  CheckCalls<PlatformRequest>(
      sections.at("Platform"), DecodePlatformRequest,
      [](const PlatformRequest& request, const HttpResponse& response) {
        return DecodeResponse(request, response);
      });
  for (const Example& example : sections.at("Errors"))
    cr_assert(CheckError(example));
  for (const Example& example : sections.at("Operators")) {
    if (!IsRequest(example))
      CheckError(example);
    else if (!example.body.empty())
      json::parse(example.body);
  }
}

struct Calls {
  const char* section;
  std::vector<std::string> targets;
};

static const Calls kCalls[] = {
    {"Callers",
     {"/v1/read", "/v1/write", "/v1/begin", "/v1/statement", "/v1/commit",
      "/v1/rollback", "/v1/outcome"}},
    {"Operators",
     {"/v1/status", "/v1/targets", "/v1/targets/rollback", "/v1/failover",
      "/v1/drain"}},
    {"Backend servers",
     {"/v1/open", "/v1/report", "/v1/read", "/v1/write", "/v1/refuse",
      "/v1/begin", "/v1/statement", "/v1/commit", "/v1/rollback", "/v1/fence",
      "/v1/promote", "/v1/follow", "/v1/ledger", "/v1/replicate"}},
    {"Platform", {"/v1/read", "/v1/update", "/v1/watch", "/v1/vms"}},
};

// Guards against a call that the page leaves out.
TABLE_TEST(interfaces, every_call_has_an_example, kCalls) {
  const Calls& row = kCalls[*row_index];
  const auto sections = ReadExamples();
  for (const std::string& target : row.targets)
    cr_assert(std::ranges::any_of(sections.at(row.section),
                                  [&](const Example& example) {
                                    return IsRequest(example) &&
                                           TargetIn(example) == target;
                                  }),
              "%s %s", row.section, target.c_str());
}

}  // namespace jackdawturn
