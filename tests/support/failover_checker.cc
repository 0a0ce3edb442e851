#include "support/failover_checker.h"

#include <map>

namespace jackdawturn::failover {

void FailoverFaults::Add(const FailoverFaults& other) {
  lost_writes += other.lost_writes;
  replaced_primary_answers += other.replaced_primary_answers;
  terms_with_two_primaries += other.terms_with_two_primaries;
}

FailoverFaults CheckFailoverRun(FailoverWorld& world) {
  FailoverFaults faults;
  std::map<RequestId, uint64_t> done;
  for (const LogEntry& entry : world.database(world.Primary(0)).log()) {
    if (entry.ledger && entry.ledger->outcome == LedgerOutcome::kDone)
      ++done[entry.ledger->request];
  }
  Term highest;
  for (const Acknowledgement& acknowledged : world.acknowledgements()) {
    const auto found = done.find(acknowledged.request);
    const bool kept = found != done.end() && found->second == 1;
    const bool replaced = acknowledged.at.term < highest;
    highest = std::max(highest, acknowledged.at.term);
    if (kept)
      continue;
    ++(replaced ? faults.replaced_primary_answers : faults.lost_writes);
  }
  for (const auto& [term, instances] : world.promoted()) {
    if (instances.size() > 1)
      ++faults.terms_with_two_primaries;
  }
  return faults;
}

}  // namespace jackdawturn::failover
