#include <random>
#include <string>
#include <vector>

#include "sessions/sessions.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include "support/table_test.h"

namespace jackdawturn {

static TermPosition At(uint64_t term, uint64_t position) {
  return TermPosition{Term{term}, LogPosition{position}};
}

struct HistoryCase {
  const char* guards_against;
  std::vector<TermStart> starts;
  TermPosition required;
  TermPosition log;
  bool contained;
};

static const std::vector<TermStart> kTwoTerms = {{Term{1}, LogPosition{1}},
                                                 {Term{3}, LogPosition{10}}};
// The primary of term 2 was lost with entries that no other instance had.
static const std::vector<TermStart> kDecreasing = {{Term{1}, LogPosition{1}},
                                                   {Term{2}, LogPosition{9}},
                                                   {Term{3}, LogPosition{5}}};

static const HistoryCase kHistoryCases[] = {
    {"nothing required", {}, At(0, 0), At(0, 0), true},
    {"equal position of the term", kTwoTerms, At(1, 5), At(1, 5), true},
    {"a log that lags", kTwoTerms, At(1, 6), At(1, 5), false},
    {"an older term survives", kTwoTerms, At(1, 9), At(3, 10), true},
    {"the start belongs to the new term", kTwoTerms, At(1, 10), At(3, 12),
     false},
    {"entry of a lost branch", kTwoTerms, At(1, 11), At(3, 20), false},
    {"a log of an older term", kTwoTerms, At(3, 11), At(1, 50), false},
    {"a term that was never published", kTwoTerms, At(1, 5), At(2, 20), false},
    {"a trimmed history",
     {{Term{3}, LogPosition{10}}},
     At(1, 5),
     At(3, 12),
     true},
    {"starts that decrease", kDecreasing, At(1, 5), At(3, 20), false},
    {"before the lowest start", kDecreasing, At(1, 4), At(3, 20), true},
};

// Guards against serving a session from a replica that lacks its writes.
TABLE_TEST(sessions, history_contains, kHistoryCases) {
  const HistoryCase& row = kHistoryCases[*row_index];
  const auto history = TermHistory::Create(row.starts);
  cr_assert_eq(history.value().Contains(row.required, row.log), row.contained,
               "%s", row.guards_against);
}

// Guards against accepting a history whose terms are out of order.
Test(sessions, history_refuses_terms_out_of_order) {
  cr_assert(TermHistory::Create(
                {{Term{2}, LogPosition{1}}, {Term{2}, LogPosition{9}}})
                .has_error());
}

// Guards against a merge that loses the later position, or compares positions
// of different terms by number alone.
Test(sessions, merge_keeps_the_maximum_in_term_order) {
  SessionPositions one;
  one.Record(GroupName("a"), At(2, 3));
  one.Record(GroupName("b"), At(1, 7));
  SessionPositions other;
  other.Record(GroupName("a"), At(1, 90));
  other.Record(GroupName("b"), At(1, 8));
  other.Record(GroupName("c"), At(1, 1));
  one.Merge(other);
  cr_assert(one.Requirement(GroupName("a")).position == At(2, 3));
  cr_assert(one.Requirement(GroupName("b")).position == At(1, 8));
  cr_assert(one.Requirement(GroupName("c")).position == At(1, 1));
  cr_assert_not(one.Requirement(GroupName("d")).primary_only);
}

static SessionPositions Positions(size_t groups) {
  SessionPositions positions;
  for (size_t index = 0; index < groups; ++index)
    positions.Record(GroupName("group-" + std::to_string(index)),
                     At(index + 1, 1'000'000 + index));
  return positions;
}

// Guards against reading a group from a replica after its position was dropped
// because the session has more groups than the limit.
Test(sessions, groups_beyond_the_limit_are_read_fresh) {
  const SessionPositions positions = Positions(17);
  cr_assert_eq(positions.groups().size(), 16U);
  cr_assert(positions.Requirement(GroupName("group-0")).primary_only);
  cr_assert_not(positions.Requirement(GroupName("group-16")).primary_only);
  SessionPositions merged;
  merged.Merge(positions);
  cr_assert(merged.overflow());
}

static SessionTokenCodec Codec(uint8_t current, std::vector<uint8_t> known) {
  TokenKeys keys;
  keys.current = current;
  for (const uint8_t id : known)
    keys.secrets[id] = "secret of sixteen bytes or more " + std::to_string(id);
  return SessionTokenCodec::Create(keys).value();
}

static const size_t kTokenCases[] = {0, 1, 2, 15, 16, 17};

// Guards against positions that change when a token is encoded and decoded.
TABLE_TEST(sessions, token_round_trip, kTokenCases) {
  const SessionPositions positions = Positions(kTokenCases[*row_index]);
  const std::string token = Codec(1, {1}).Encode(positions);
  cr_assert(token.size() <= SessionTokenCodec::kMaxTokenLength);
  cr_assert(Codec(1, {1}).Decode(token).value() == positions);
}

// Guards against needlessly large tokens, and against a missing overflow mark
// when a group name is too long for a token.
Test(sessions, token_is_small_and_marks_long_names) {
  cr_assert(Codec(1, {1}).Encode(Positions(1)).size() <= 64);
  SessionPositions positions;
  positions.Record(GroupName(std::string(65, 'x')), At(1, 1));
  const auto decoded =
      Codec(1, {1}).Decode(Codec(1, {1}).Encode(positions)).value();
  cr_assert(decoded.Requirement(GroupName(std::string(65, 'x'))).primary_only);
}

struct KeyCase {
  uint8_t signed_with;
  std::vector<uint8_t> known;
  bool accepted;
};

static const KeyCase kKeyCases[] = {
    {1, {1}, true},
    {1, {1, 2}, true},
    {2, {1, 2}, true},
    {1, {2}, false},
};

// Guards against a key rotation that rejects valid sessions or still accepts a
// removed key.
TABLE_TEST(sessions, keys_rotate, kKeyCases) {
  const KeyCase& row = kKeyCases[*row_index];
  const std::string token =
      Codec(row.signed_with, {row.signed_with}).Encode(Positions(1));
  const auto decoded = Codec(row.known.back(), row.known).Decode(token);
  cr_assert_eq(decoded.has_value(), row.accepted);
  if (!row.accepted)
    cr_assert(decoded.error().code == ErrorCode::kUnauthorized);
}

// Guards against accepting invalid keys, and against an error message that
// contains a secret.
Test(sessions, bad_keys_are_refused) {
  cr_assert(SessionTokenCodec::Create(TokenKeys{1, {}}).has_error());
  const auto created = SessionTokenCodec::Create(TokenKeys{1, {{1, "hunter"}}});
  cr_assert(created.has_error());
  cr_assert(created.error().message.find("hunter") == std::string::npos);
}

// Guards against a decoder that accepts a modified token, reads past its end or
// throws. A random token is accepted with a probability of 2^-128.
Test(sessions, mutated_and_random_tokens_are_refused) {
  std::mt19937_64 random(7);
  const SessionTokenCodec codec = Codec(1, {1});
  const std::string alphabet =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
  for (int round = 0; round < 20'000; ++round) {
    const std::string token = codec.Encode(Positions(random() % 18));
    std::string changed = token;
    switch (random() % 4) {
      case 0:
        changed[random() % changed.size()] = static_cast<char>(random());
        break;
      case 1:
        changed.resize(random() % changed.size());
        break;
      case 2:
        changed.insert(random() % changed.size(), 1,
                       alphabet[random() % alphabet.size()]);
        break;
      default:
        changed.assign(random() % 200, ' ');
        for (char& c : changed)
          c = alphabet[random() % alphabet.size()];
    }
    if (changed != token && !changed.empty())
      cr_assert(codec.Decode(changed).has_error());
  }
}

// Returns a token with this payload, signed with the secret of key 1 of Codec.
static std::string SignedToken(const std::string& payload) {
  const std::string secret = "secret of sixteen bytes or more 1";
  unsigned char digest[EVP_MAX_MD_SIZE];
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
       reinterpret_cast<const unsigned char*>(payload.data()), payload.size(),
       digest, nullptr);
  const std::string bytes =
      payload + std::string(reinterpret_cast<char*>(digest), 16);
  std::string text(bytes.size() * 2 + 4, '\0');
  text.resize(static_cast<size_t>(
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()))));
  text.erase(text.find_last_not_of('=') + 1);
  for (char& c : text)
    c = c == '+' ? '-' : c == '/' ? '_' : c;
  return text;
}

// Guards against a crash, an exception or more than 16 groups when a payload is
// signed but malformed. Another version of the program may send such a payload.
Test(sessions, signed_payloads_of_any_content_are_safe) {
  std::mt19937_64 random(11);
  const SessionTokenCodec codec = Codec(1, {1});
  const std::string good(
      "\1\1\1\0\2\1g\5\0\0\0\0\0\0\0\7\0\0\0\0\0\0\0"
      "\1h\5\0\0\0\0\0\0\0\7\0\0\0\0\0\0\0",
      41);
  const auto decoded = codec.Decode(SignedToken(good));
  cr_assert_eq(decoded.value().groups().size(), 2U);
  size_t accepted = 0;
  for (int round = 0; round < 20'000; ++round) {
    std::string payload = good;
    for (uint64_t change = random() % 4; change > 0; --change)
      payload[random() % payload.size()] = static_cast<char>(random());
    payload[2] = 1;
    if (random() % 3 == 0)
      payload.resize(5 + random() % 40, '\1');
    const auto result = codec.Decode(SignedToken(payload));
    if (result.has_value()) {
      ++accepted;
      cr_assert(result.value().groups().size() <= 16);
    }
  }
  cr_assert(accepted > 0 && accepted < 20'000);
}

}  // namespace jackdawturn
