#pragma once

#include <functional>
#include <string>

#include "gateway/peer_directory.h"

namespace jackdawturn::gateway {

// What one proxy asks another about a customer's rate limit.
struct LimitQuestion {
  enum class Kind {
    // Permits for operations, from the share of the asked proxy's zone.
    kPermits,
    // As kPermits, for operations of another zone.
    kLoan,
    // The asked proxy's vote for the asker as grantor.
    kVote,
  };

  Kind kind = Kind::kPermits;
  CustomerName customer;
  // The number of operations that wait for a permit.
  size_t needed = 0;
  // `needed`, and those that are expected soon.
  size_t wanted = 0;
  // kVote: the candidate.
  VmName asker;
  // How long the asker waits for the answer.
  Duration time_limit{0};
  // The number of proxies that have passed the question on.
  unsigned hops = 0;
};

struct LimitAnswer {
  size_t granted = 0;
  // For operations that were not granted: when their clients should retry.
  Duration retry_after{0};
  // kVote: see rate_limits::GrantVote.
  bool vote_given = false;
  Duration free_for{0};
};

using OnLimitAnswer = std::function<void(Result<LimitAnswer>)>;

// Asks one proxy. Errors: kUnavailable (its process does not run), kNotFound
// (it is of a version that does not know these questions), kTimeout,
// kInvalidArgument (its answer is not valid).
using AskLimitsOfPeer = std::function<void(const Peer& peer,
                                           const LimitQuestion& question,
                                           Duration timeout,
                                           OnLimitAnswer on_answer)>;

// Encodes and decodes a question and the answer to it. The names of members are
// short, because a question may be sent for each operation. Errors:
// kInvalidArgument. Thread-safe.
std::string EncodeLimitQuestion(const LimitQuestion& question);
Result<LimitQuestion> DecodeLimitQuestion(const std::string& text);
std::string EncodeLimitAnswer(const LimitAnswer& answer);
Result<LimitAnswer> DecodeLimitAnswer(const std::string& text);

}  // namespace jackdawturn::gateway
