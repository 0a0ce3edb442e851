#include <signal.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <boost/json.hpp>

#include "programs/command_support.h"
#include "support/child_process.h"

namespace jackdawturn {

struct WrongLineRow {
  std::vector<std::string> arguments;
  const char* err;
};

static const WrongLineRow kWrongLineRows[] = {
    {{"--proxy", "127.0.0.1"}, "127.0.0.1"},
    {{"--proxy", "127.0.0.1:9"}, "--group"},
    {{"--proxy", "127.0.0.1:9", "--group", "g"}, "--read-class"},
    {{"--proxy", "127.0.0.1:9", "--group", "g", "--read-class", "c"},
     "--write-class"},
    {{"--proxy", "127.0.0.1:9", "--deployment", "ferreira"}, "--deployment"},
    {{"--proxy", "127.0.0.1:9", "--fault", "primary"}, "--fault"},
    {{"--deployment", "none"}, "--deployment"},
    {{"--fault", "flood"}, "--fault"},
    {{"--rate", "0"}, "--rate"},
    {{"--rate", "-5"}, "--rate"},
    {{"--callers", "0"}, "--callers"},
    {{"--writes", "101"}, "--writes"},
    {{"--duration-ms", "1"}, "--duration-ms"},
    {{"--timeout", "0"}, "--timeout"},
    {{"--output", "xml"}, "--output"},
    {{"--group", "unknown"}, "unknown"},
    {{"--read-class", "unknown"}, "unknown"},
    {{"--read-class", "catalogue_view=0"}, "catalogue_view=0"},
    {{"--read-class", "catalogue_view=x"}, "catalogue_view=x"},
    {{"--read-class", "=1"}, "=1"},
    {{"--plot", "/no/such/folder/plot.svg"}, "/no/such/folder/plot.svg"},
};

// Guards against a run that starts with options which it cannot follow, or that
// tells a script the same as a run whose counts were wrong.
TABLE_TEST(bench_command, wrong_line, kWrongLineRows) {
  const WrongLineRow& row = kWrongLineRows[*row_index];
  std::vector<std::string> arguments = {"bench"};
  arguments.insert(arguments.end(), row.arguments.begin(), row.arguments.end());
  ExpectRun(arguments, 2, {}, {row.err});
}

// Answer times and deadlines that no machine exceeds, and a load that goes on
// until every class must have had its turn, so that the speed of the machine
// has no part in a verdict.
static const std::vector<std::string> kAnyMachine = {
    "--answer-time-ms", "30000", "--deadline-ms", "30000",
    "--timeout",        "110000"};

static std::vector<std::string> WorldArguments(
    const std::vector<std::string>& more) {
  std::vector<std::string> arguments = {"bench"};
  arguments.insert(arguments.end(), kAnyMachine.begin(), kAnyMachine.end());
  arguments.insert(arguments.end(), more.begin(), more.end());
  return arguments;
}

struct WorldRow {
  std::vector<std::string> arguments;
  // Classes that must have, or must not have, requests.
  std::vector<std::string> used;
  std::vector<std::string> unused;
  bool failover = false;
};

static const WorldRow kWorldRows[] = {
    {{"--callers", "8", "--requests", "200", "--duration-ms", "600"},
     {"catalogue_view", "availability_view", "reservation_check", "reservation",
      "loan_contract", "deposit"},
     {}},
    // No request waits for a session: there is one for each that is due.
    {{"--rate", "200", "--callers", "128", "--writes", "0", "--duration-ms",
      "600"},
     {"catalogue_view"},
     {"reservation", "deposit"}},
    {{"--writes", "100", "--write-class", "deposit=3", "--write-class",
      "loan_contract", "--group", "deposits", "--requests", "100",
      "--duration-ms", "600"},
     {"deposit", "loan_contract"},
     {"reservation", "catalogue_view"}},
    {{"--fault", "primary", "--duration-ms", "2400", "--requests", "200"},
     {"deposit"},
     {},
     true},
    {{"--fault", "proxy", "--requests", "200", "--duration-ms", "600"},
     {"deposit"},
     {}},
};

// Guards against a load that leaves out a part of its mix, and against counts
// that are not compared with the databases.
TABLE_TEST(bench_command, world, kWorldRows) {
  const WorldRow& row = kWorldRows[*row_index];
  std::vector<std::string> arguments = WorldArguments(row.arguments);
  arguments.insert(arguments.end(), {"--output", "json"});
  const CommandOutput output = Run(arguments);
  cr_assert_eq(output.exit_code, 0, "%s\n%s", output.out.c_str(),
               output.err.c_str());
  const auto document = boost::json::parse(output.out).as_object();
  const auto& classes = document.at("classes").as_object();
  for (const std::string& name : row.used) {
    cr_assert(classes.contains(name), "no requests of %s", name.c_str());
    const auto& counts = classes.at(name).as_object();
    cr_assert_gt(counts.at("done").to_number<uint64_t>(), 0);
    cr_assert_gt(counts.at("p50_ms").to_number<double>(), 0);
    cr_assert_leq(counts.at("p50_ms").to_number<double>(),
                  counts.at("p99_ms").to_number<double>());
    cr_assert_leq(counts.at("p99_ms").to_number<double>(),
                  counts.at("max_ms").to_number<double>());
  }
  for (const std::string& name : row.unused)
    cr_assert(!classes.contains(name), "requests of %s", name.c_str());
  const auto& world = document.at("world").as_object();
  cr_assert_gt(world.at("reads").to_number<uint64_t>() +
                   document.at("longest_write_pause_ms").as_object().size(),
               0);
  cr_assert(world.at("wrong_counts").as_array().empty());
  cr_assert_eq(!world.at("failovers").as_array().empty(), row.failover);
}

// Guards against a load that reports success although nothing answered, or that
// never ends.
Test(bench_command, no_proxy) {
  ExpectRun({"bench", "--proxy", "127.0.0.1:9", "--group", "g", "--read-class",
             "c", "--writes", "0", "--duration-ms", "300"},
            1, {"answered as done: 0"}, {});
}

// Guards against a latency of the open loop that is counted from the sending: a
// server that accepts connections and never answers holds the only session
// until its timeout, and the requests that were due meanwhile must show.
Test(bench_command, stalled_proxy_shows) {
  auto child = ChildProcess::Create(
      BinaryPath(), {"standin", "platform", "--listen", "127.0.0.1:0"});
  cr_assert(child.has_value());
  child.value()->Signal(SIGSTOP);
  const CommandOutput output = Run(
      {"bench", "--proxy", child.value()->endpoint().ToString(), "--group", "g",
       "--read-class", "c", "--writes", "0", "--rate", "100", "--callers", "1",
       "--deadline-ms", "100", "--duration-ms", "2500", "--output", "json"});
  cr_assert_eq(output.exit_code, 1);
  const auto document = boost::json::parse(output.out).as_object();
  cr_assert_gt(document.at("unsent").to_number<uint64_t>(), 50);
  // The session sends at 0 ms and, after its timeout of 1,100 ms, what was due
  // at 10 ms, which ends at 2,200 ms.
  const auto& counts = document.at("classes").as_object().at("c").as_object();
  cr_assert_gt(counts.at("max_ms").to_number<double>(), 2'000);
}

struct PlotRow {
  const char* name;
  std::vector<std::string> parts;
};

static const PlotRow kPlotRows[] = {
    {"plot.svg", {"<svg", "</svg>", "polyline", "latency"}},
    {"plot.html", {"<html", "<svg", "polyline", "answered as done", "</html>"}},
};

// Guards against a page that loads something else or lacks the lines.
TABLE_TEST(bench_command, plot, kPlotRows) {
  const PlotRow& row = kPlotRows[*row_index];
  Folder folder;
  const std::string path = folder.Write(row.name, "");
  ExpectRun(
      WorldArguments({"--callers", "4", "--duration-ms", "400", "--requests",
                      "100", "--output", "csv", "--plot", path}),
      0, {"class,done,not_run,unknown,lost", "\ndeposit,"}, {});
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  for (const std::string& part : row.parts)
    cr_assert(Holds(text.str(), part), "no %s", part.c_str());
  for (const char* part : {"<script", "src=", "href=", "nan", "inf"})
    cr_assert(!Holds(text.str(), part), "%s", part);
}

}  // namespace jackdawturn
