#include <random>
#include <utility>

#include "settings_support.h"

#include <criterion/criterion.h>

namespace jackdawturn {

namespace json = boost::json;

namespace {

using Random = std::mt19937_64;

size_t Below(Random& random, size_t limit) {
  return static_cast<size_t>(random() % limit);
}

// Collects pointers to all values below `value`.
void Collect(json::value& value, std::vector<json::value*>& all) {
  all.push_back(&value);
  if (json::array* items = value.if_array()) {
    for (json::value& item : *items)
      Collect(item, all);
  } else if (json::object* members = value.if_object()) {
    for (auto& member : *members)
      Collect(member.value(), all);
  }
}

json::value RandomValue(Random& random) {
  switch (Below(random, 9)) {
    case 0:
      return nullptr;
    case 1:
      return random() % 2 == 0;
    case 2:
      return static_cast<int64_t>(random());
    case 3:
      return random();
    case 4:
      return static_cast<int64_t>(Below(random, 70'000));
    case 5:
      return 0.5;
    case 6:
      return json::array();
    case 7:
      return json::object();
    default:
      return json::string(Below(random, 200), 'x');
  }
}

// Replaces a value, removes a member or adds one with an unknown key.
void MutateValue(json::value& document, Random& random) {
  std::vector<json::value*> all;
  Collect(document, all);
  json::value& chosen = *all[Below(random, all.size())];
  json::object* members = chosen.if_object();
  if (members == nullptr || members->empty() || random() % 4 == 0) {
    chosen = RandomValue(random);
    return;
  }
  const auto member = members->begin() + Below(random, members->size());
  if (random() % 2 == 0) {
    members->erase(member);
    return;
  }
  // Copies, because the insertion can move the member.
  const std::string key = std::string(member->key()) + 'x';
  json::value value = member->value();
  (*members)[key] = std::move(value);
}

void MutateText(std::string& text, Random& random) {
  if (text.empty())
    return;
  const size_t at = Below(random, text.size());
  const size_t size = Below(random, 64);
  switch (Below(random, 4)) {
    case 0:
      text[at] = static_cast<char>(random());
      break;
    case 1:
      text.erase(at, size);
      break;
    case 2:
      text.insert(at, text.substr(Below(random, text.size()), size));
      break;
    default:
      text[at] = "{}[]\",:\\0"[Below(random, 9)];
      break;
  }
}

void AssertValid(const Settings& settings) {
  cr_assert_not(settings.vm.empty());
  cr_assert_gt(settings.listen.callers.port, 0);
  cr_assert_gt(settings.platform.port, 0);
  cr_assert_not(settings.keys.fleet.empty());
  for (const Key& key : settings.keys.tokens)
    cr_assert_geq(key.secret.value().size(), 32U);
  for (const GroupSettings& group : settings.groups) {
    cr_assert_geq(group.instances.size(), 2U);
    for (const InstanceSettings& instance : group.instances)
      cr_assert_gt(instance.slots, 0U);
  }
  cr_assert(settings.timeouts.request <= settings.timeouts.request_max);
  cr_assert(settings.timeouts.request_max <= settings.timeouts.drain);
  cr_assert_gt(settings.limits.rings.decisions, 0U);
}

void AssertProperties(const std::string& text, size_t& accepted) {
  const SettingsCheck check = CheckSettings(text);
  if (check.valid()) {
    ++accepted;
    AssertValid(check.settings);
    return;
  }
  const std::string shown = Shown(check.errors);
  cr_assert(shown.find("replace-before-use") == std::string::npos, "%s",
            shown.c_str());
  for (const SettingsError& error : check.errors) {
    cr_assert_not(error.expected.empty());
    cr_assert(error.pointer.empty() || error.pointer[0] == '/');
  }
}

}  // namespace

// Guards against settings that crash the decoder, that are accepted with
// values it cannot use, or whose errors show a secret.
Test(settings, mutated_documents_are_accepted_or_explained) {
  constexpr size_t kRounds = 3'000;
  Random random(1);
  const json::value example = ExampleDocument();
  size_t accepted = 0;
  for (size_t round = 0; round < kRounds; ++round) {
    json::value document = example;
    for (size_t change = Below(random, 4) + 1; change > 0; --change)
      MutateValue(document, random);
    AssertProperties(json::serialize(document), accepted);
  }
  // Some changes, such as one to an optional value, leave a valid document.
  cr_assert_gt(accepted, 0U);
  cr_assert_lt(accepted, kRounds / 2);
}

// Guards against the same for texts that are broken at any byte.
Test(settings, mutated_texts_are_accepted_or_explained) {
  constexpr size_t kRounds = 3'000;
  Random random(2);
  const std::string example = json::serialize(ExampleDocument());
  size_t accepted = 0;
  for (size_t round = 0; round < kRounds; ++round) {
    std::string text = example;
    for (size_t change = Below(random, 3) + 1; change > 0; --change)
      MutateText(text, random);
    AssertProperties(text, accepted);
  }
  cr_assert_gt(accepted, 0U);
  cr_assert_lt(accepted, kRounds / 2);
}

}  // namespace jackdawturn
