#pragma once

#include <cstddef>

#include "core/core.h"
#include "routing/routing_types.h"

namespace jackdawturn::routing {

struct FreshnessOptions {
  // Number of positions of the primary that are kept for each group.
  size_t observations = 64;
};

struct ChoiceOptions {
  // The share of the remaining time, 0 to 1, that a read may wait for a replica
  // before the primary is used instead. The rest leaves time for the primary
  // when the replica is late.
  double wait_share = 0.6;
  // Added to the expected answer time of an instance in another zone until an
  // answer time of it was observed.
  Duration other_zone_penalty{2'000};
  // Added to the expected answer time of a suspect instance.
  Duration suspect_penalty{100'000};
};

struct AdmissionOptions {
  // Requests that can wait for one instance.
  size_t queue_capacity = 128;
  // Largest shares of the queue, and of RoutingOptions::max_in_progress, for
  // one class and one caller, 0 to 1.
  double class_share = 0.5;
  double caller_share = 0.25;
};

struct ConcurrencyLimitOptions {
  // Statements that the instance runs at a time (requirement B7).
  double slots = 2;
  // The lowest limit. A limit below 1 allows one statement at a time, with a
  // pause between two of them.
  double lowest = 0.25;
  double first_limit = 1;
  double increase = 0.1;
  double decrease = 0.7;
  // Statements count as queued at the server when they take longer than this
  // many times the fastest recent batch of answers.
  double queued_ratio = 1.5;
  // They must also exceed the fastest recent batch by this time. A shared
  // machine delays answers by as much without a queue; where statements are
  // fast, the ratio alone would mistake that for a queue, and the limit would
  // fall to `lowest`.
  Duration shortest_queue{1'000};
  // Answers in a batch. Single answer times vary too much to show a queue.
  size_t batch = 8;
  // How long the fastest batch is kept. With a short window, the answer time
  // under a lasting overload would become the baseline.
  Duration baseline_window{20'000'000};
  // Assumed answer time before the first answer.
  Duration first_answer_time{2'000};
};

struct BudgetOptions {
  // Tokens added for each success; a retry or hedge takes one token.
  double share = 0.1;
  // Largest and initial number of tokens.
  double max_tokens = 10;
};

struct BackOffOptions {
  Duration first{2'000};
  Duration longest{1'000'000};
};

struct PoolOptions {
  // Expected time to open a connection.
  Duration open_time{10'000};
  // Idle connections that are kept open in reserve while the share allows it.
  size_t min_idle = 1;
  // Least time for which a statement is unanswered before its connection
  // becomes suspect. The time grows with the answer times of the instance.
  Duration suspect_after{40'000};
  // How long the probe on the suspected connection may take once the witness
  // has answered.
  Duration probe_grace{30'000};
  // How long a connection is idle before it is probed.
  Duration idle_probe_interval{1'000'000};
  BackOffOptions refused_back_off{Duration(50'000), Duration(5'000'000)};
};

struct RoutingOptions {
  // The zone of this proxy.
  ZoneName zone;
  FreshnessOptions freshness;
  ChoiceOptions choice;
  AdmissionOptions admission;
  ConcurrencyLimitOptions concurrency_limit;
  PoolOptions pool;
  BudgetOptions retries;
  BudgetOptions hedges{0.05, 5};
  BackOffOptions retry_back_off;
  // Largest number of requests in progress of all groups, and the largest share
  // of one group.
  size_t max_in_progress = 4'096;
  double group_share = 0.25;
  // Requests of one group that can wait for a primary or for a fresh replica.
  size_t waiting_places = 256;
  // Interval between report queries, as a share of the smallest allowed age in
  // use.
  double report_share = 0.1;
  Duration shortest_report_interval{10'000};
  Duration longest_report_interval{500'000};
  // How long report queries continue after the last read with an allowed age.
  Duration report_linger{2'000'000};
  // Never empty.
  ContainsPosition contains_position = ContainsConfirmedPosition;
};

}  // namespace jackdawturn::routing
