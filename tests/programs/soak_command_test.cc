#include <string>
#include <vector>

#include <boost/json.hpp>

#include "programs/command_support.h"

namespace jackdawturn {

struct SoakRow {
  const char* seed;
  const char* seconds;
};
static const SoakRow kSoakRows[] = {{"8", "4"}};

// The seed has no promotions that are late, for which KNOWN-RED.txt lists a
// fault. Guards against gateways that break a promise under the faults of this
// seed, and against a soak in which no fault happens or nothing is checked.
TABLE_TEST(soak_command, run, kSoakRows) {
  const SoakRow& row = kSoakRows[*row_index];
  const CommandOutput output =
      Run({"soak", "--seed", row.seed, "--seconds", row.seconds, "--gateways",
           "2", "--output", "json"});
  cr_assert_eq(output.exit_code, 0, "exit code %d\n%s\n%s", output.exit_code,
               output.out.c_str(), output.err.c_str());
  boost::system::error_code error;
  const auto report = boost::json::parse(output.out, error);
  cr_assert(!error, "%s", output.out.c_str());
  cr_assert(report.at("violation").is_null());
  cr_assert(!report.at("faults").as_object().empty());
  for (const char* count :
       {"requests", "reads_checked", "commits_acknowledged"})
    cr_assert_gt(report.at(count).to_number<uint64_t>(), 0, "%s", count);
  // Every request has an outcome.
  uint64_t outcomes = report.at("done").to_number<uint64_t>() +
                      report.at("unanswered").to_number<uint64_t>();
  for (const auto& error_count : report.at("errors").as_object())
    outcomes += error_count.value().to_number<uint64_t>();
  cr_assert_eq(report.at("requests").to_number<uint64_t>(), outcomes);
  cr_assert_geq(report.at("commits").to_number<uint64_t>(),
                report.at("commits_acknowledged").to_number<uint64_t>());
}

struct UsageRow {
  std::vector<std::string> arguments;
  int exit_code;
  std::vector<std::string> out;
  std::vector<std::string> err;
};
static const UsageRow kUsageRows[] = {
    {{"soak", "--help"}, 0, {"--seed", "--seconds", "--gateways"}, {}},
    {{"soak", "--seconds", "0"}, 2, {}, {"--seconds"}},
    {{"soak", "--gateways", "9"}, 2, {}, {"--gateways"}},
    {{"soak", "--output", "xml"}, 2, {}, {"--output"}},
};

// Guards against a wrong command line that starts processes.
TABLE_TEST(soak_command, usage, kUsageRows) {
  const UsageRow& row = kUsageRows[*row_index];
  ExpectRun(row.arguments, row.exit_code, row.out, row.err);
}

}  // namespace jackdawturn
