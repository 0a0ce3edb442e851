#pragma once

#include <chrono>
#include <memory>

#include "gateway/fake_group.h"

namespace jackdawturn::gateway {

// A proxy that hears of changes of the primary, and one write to "p".
struct ConfirmationRig : GatewayRig {
  ConfirmationRig() {
    UseSyncReplicas();
    context.confirm_commit = [this](const GroupName& name,
                                    CommitPosition position, TimePoint deadline,
                                    CommitConfirmation::OnDecision decide) {
      confirmation.Confirm(name, position, deadline, std::move(decide));
    };
    context.may_confirm_commit = [this](const GroupName& name) {
      return confirmation.MayConfirm(name);
    };
  }

  void Hear(const PrimaryChangeRecord& record) {
    context.changes.Observe(GroupName("loans"), ++revision, record,
                            timers.now());
  }

  void Write() {
    session = Open("strict");
    session->Handle(StatementOf(ClientStatement::Kind::kWrite, "WRITE 1 x"));
    timers.Advance(std::chrono::milliseconds(20));
  }

  CommitConfirmation confirmation{context, FakeStatus};
  std::shared_ptr<ClientSession> session;
  uint64_t revision = 0;
};

}  // namespace jackdawturn::gateway
