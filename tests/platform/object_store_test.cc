#include <functional>
#include <string>
#include <vector>

#include "http/http.h"
#include "platform/platform.h"

#include "support/table_test.h"

namespace jackdawturn::gateway::platform {

// One answer of the store; "" for no era.
struct ShownAnswer {
  const char* era;
  unsigned status;
  const char* body;
};

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

constexpr Duration kTimeout = 10s;

constexpr const char* kObject = R"({"meta":{"Name":"x","Revision":7}})";

// A store that gives scripted answers, one for each request.
struct StoreRig {
  explicit StoreRig(std::vector<ShownAnswer> answers)
      : script(std::move(answers)),
        server(HttpServer::Create(
                   context,
                   {"127.0.0.1", 0},
                   {},
                   [this](const HttpRequest& request,
                          const HttpServer::Respond& respond) {
                     targets.push_back(request.target);
                     bodies.push_back(request.body);
                     const ShownAnswer& answer = script.at(targets.size() - 1);
                     HttpResponse response{answer.status, answer.body};
                     if (*answer.era)
                       response.headers = {{"Store-Era", answer.era}};
                     respond(response);
                   },
                   nullptr)
                   .value()),
        store(CreateObjectStore(context, server->endpoint())) {}

  template <typename T>
  Result<T> Await(
      const std::function<void(std::function<void(Result<T>)>)>& call) {
    std::optional<Result<T>> result;
    call([&](Result<T> answer) { result = std::move(answer); });
    while (!result)
      context.run_one();
    return *result;
  }

  Result<StoredRecord> Read() {
    return Await<StoredRecord>([this](auto then) {
      store->Read(RecordCollection::kPeers, "x", kTimeout, std::move(then));
    });
  }
  Result<StoredRecord> Update(uint64_t expected) {
    return Await<StoredRecord>([&](auto then) {
      store->Update(RecordCollection::kPeers, "x", expected, "{}", kTimeout,
                    std::move(then));
    });
  }
  Result<RecordChanges> Watch(uint64_t revision) {
    return Await<RecordChanges>([&](auto then) {
      store->Watch(RecordCollection::kPeers, revision, Duration(0),
                   std::move(then));
    });
  }
  Result<RecordList> List() {
    return Await<RecordList>([this](auto then) {
      store->List(RecordCollection::kPeers, kTimeout, std::move(then));
    });
  }

  boost::asio::io_context context;
  std::vector<ShownAnswer> script;
  std::vector<std::string> targets;
  std::vector<std::string> bodies;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<MetadataStore> store;
};

}  // namespace

// The era of every answer must be seen, also of errors, and a late answer of an
// earlier one must count as none.
struct EraCase {
  const char* name;
  std::vector<ShownAnswer> answers;
  // The last answer: its error, or its revision.
  std::optional<ErrorCode> error;
  uint64_t revision;
  uint64_t era;
};

static const EraCase kEras[] = {
    {"no era", {{"", 200, kObject}}, std::nullopt, 7, 0},
    {"era 0", {{"0", 200, kObject}}, std::nullopt, 7, 0},
    {"era 3", {{"3", 200, kObject}}, std::nullopt, CombineRevision(3, 7), 3},
    {"an error shows the era",
     {{"1", 200, kObject}, {"2", 404, "{}"}},
     ErrorCode::kNotFound,
     0,
     2},
    {"a late answer",
     {{"2", 200, kObject}, {"1", 200, kObject}},
     ErrorCode::kTimeout,
     0,
     2},
    {"a late error",
     {{"2", 200, kObject}, {"1", 404, "{}"}},
     ErrorCode::kTimeout,
     0,
     2},
    {"not an era", {{"x", 200, kObject}}, ErrorCode::kInternal, 0, 0},
    {"out of range",
     {{"99999999999999999999", 200, kObject}},
     ErrorCode::kInternal,
     0,
     0},
    {"a revision that is out of range",
     {{"1", 200, R"({"meta":{"Name":"x","Revision":999999999999}})"}},
     ErrorCode::kInternal,
     0,
     1},
};

TABLE_TEST(platform_object_store, answers_show_the_era, kEras) {
  const EraCase& row = kEras[*row_index];
  StoreRig rig(row.answers);
  Result<StoredRecord> last = rig.Read();
  for (size_t read = 1; read < row.answers.size(); ++read)
    last = rig.Read();
  cr_expect_eq(rig.store->era().current(), row.era, "%s", row.name);
  cr_assert_eq(last.has_value(), !row.error, "%s", row.name);
  if (row.error)
    cr_expect_eq(last.error().code, *row.error, "%s", row.name);
  else
    cr_expect_eq(last.value().revision, row.revision, "%s", row.name);
}

// The store must be sent the numbers that it knows, and none that it may have
// given out again.
Test(platform_object_store, numbers_are_sent_without_the_era) {
  StoreRig rig({{"1", 200, kObject},
                {"1", 200, kObject},
                {"1", 200, R"({"events":[],"AsOf":9})"}});
  const uint64_t revision = rig.Read().value().revision;
  cr_assert(rig.Update(revision).has_value());
  cr_expect(rig.bodies.back().find(R"("Revision":7)") != std::string::npos);
  const auto changes = rig.Watch(CombineRevision(1, 8));
  cr_assert(changes.has_value());
  cr_expect(rig.targets.back().find("Watch=8&") != std::string::npos);
  cr_expect_eq(changes.value().revision, CombineRevision(1, 9));
  // Of an earlier era: not sent.
  const auto outdated = rig.Update(7);
  cr_assert(!outdated.has_value());
  cr_expect_eq(outdated.error().code, ErrorCode::kConflict);
  cr_expect_eq(rig.targets.size(), 3U);
}

// A list whose pages are of different eras would mix what the store has lost
// with what it has.
Test(platform_object_store, list_across_eras_counts_as_unanswered) {
  StoreRig rig(
      {{"1", 200,
        R"({"items":[{"meta":{"Name":"a","Revision":7}}],"AsOf":9,"HasMore":true})"},
       {"2", 200, R"({"items":[],"AsOf":8,"HasMore":false})"}});
  const auto list = rig.List();
  cr_assert(!list.has_value());
  cr_expect_eq(list.error().code, ErrorCode::kTimeout);
}

}  // namespace jackdawturn::gateway::platform
