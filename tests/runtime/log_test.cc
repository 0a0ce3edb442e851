#include <sstream>
#include <string>
#include <thread>

#include <fcntl.h>
#include <unistd.h>

#include "runtime/full_ring_event.h"
#include "support/relay_world.h"
#include "support/table_test.h"

namespace jackdawturn {

namespace {

// Returns the line that names the request and holds `text`, or nothing.
std::string LineOf(const std::string& log,
                   const RequestId& request,
                   const std::string& text) {
  std::istringstream lines(log);
  for (std::string line; std::getline(lines, line);) {
    if (line.find("request=" + request.value()) != std::string::npos &&
        line.find(text) != std::string::npos)
      return line;
  }
  return "";
}

}  // namespace

// Guards against requests that wait for the reader of standard output.
Test(process_log, serves_while_nobody_reads) {
  int ends[2];
  cr_assert_eq(pipe(ends), 0);
  // The smallest pipe there is, so that it fills after a few lines.
  fcntl(ends[1], F_SETPIPE_SZ, 4'096);
  {
    RingSettings rings;
    rings.events = 16;
    RelayWorld world(rings, ends[1]);
    for (uint64_t number = 0; number < 300; ++number) {
      const auto answer =
          RelayWorld::Ask(world.holder(), RelayWorld::Write(number));
      cr_assert(answer.has_value());
      cr_assert_eq(answer.value().outcome, CallerOutcome::kDone);
    }
    const auto metrics = SendAndWait(
        world.holder().operators(), "GET", "/metrics", "",
        "Bearer operator-key-for-tests-0123456789", RelayWorld::kTimeout);
    cr_assert(metrics.has_value());
    const std::string name = "jackdawturn_log_dropped{importance=\"routine\"} ";
    const size_t found = metrics.value().body.find(name);
    cr_assert_neq(found, std::string::npos);
    cr_assert_gt(std::stod(metrics.value().body.substr(found + name.size())),
                 0);
  }
  close(ends[0]);
  close(ends[1]);
}

struct FailureCase {
  const char* class_name;
  const char* group;
  // What the line must hold beside the id.
  const char* expected;
};

const FailureCase kFailureCases[] = {
    {"counts", "g1", "reason=id_from_future"},
    {"counts", "missing", "reason=unknown_group"},
    {"missing", "g1", "reason=unknown_class"},
};

// Guards against a failed request without a line that names its cause.
TABLE_TEST(process_log, explains_a_failed_request, kFailureCases) {
  const FailureCase& row = kFailureCases[*row_index];
  int ends[2];
  cr_assert_eq(pipe(ends), 0);
  CallerRequest write = RelayWorld::Write(1);
  write.request =
      MakeRequestId(WallTime(std::chrono::hours(9'000'000)), Hash64("log", 1));
  write.class_name = ClassName(row.class_name);
  write.group = GroupName(row.group);
  // Reads all the time, because a fleet that starts slowly refuses more
  // requests than the pipe has room for.
  std::string log;
  std::thread reader([&log, descriptor = ends[0]] {
    char buffer[4'096];
    for (ssize_t size = 0;
         (size = read(descriptor, buffer, sizeof(buffer))) > 0;)
      log.append(buffer, static_cast<size_t>(size));
  });
  bool answered = false;
  {
    RelayWorld world({}, ends[1]);
    answered = RelayWorld::Ask(world.holder(), write).has_value();
  }
  close(ends[1]);
  reader.join();
  close(ends[0]);
  cr_assert(answered);
  cr_assert_neq(LineOf(log, write.request, row.expected).size(), 0U, "%s",
                log.c_str());
}

// Guards against a request that a full ring refused and whose line is dropped
// first.
Test(process_log, explains_a_full_ring) {
  const TimelineEvent event =
      FullRingEvent(VmName("entry-1"), RelayWorld::Write(1), 5, 4, ClockTime());
  cr_assert_eq(ImportanceOf(event), LogImportance::kFailure);
  cr_assert(event.request == RelayWorld::Write(1).request);
  cr_assert(event.field("ring_depth") == "5");
  cr_assert(event.field("ring_limit") == "4");
}

}  // namespace jackdawturn
