#pragma once

#include <cstdint>
#include <string>

#include "support/failover_world.h"

namespace jackdawturn::failover {

// Counts of broken promises in one run, from the answers that callers got and
// the databases alone.
struct FailoverFaults {
  // Acknowledged writes that are not exactly once in the log of the primary.
  uint64_t lost_writes = 0;
  // The same for writes acknowledged in a term after the first acknowledgement
  // of a newer term.
  uint64_t replaced_primary_answers = 0;
  // Terms in which two instances answered that they are primary.
  uint64_t terms_with_two_primaries = 0;

  void Add(const FailoverFaults& other);
};

// Compares the answers of a run with the databases. Precondition: group 0 has a
// primary that is up.
FailoverFaults CheckFailoverRun(FailoverWorld& world);

}  // namespace jackdawturn::failover
