#include "proxy/relay_host.h"

#include <algorithm>
#include <utility>

namespace jackdawturn::proxy {

namespace {

// Set in the numbers of requests from other proxies, so that they differ from
// those of this proxy's callers.
constexpr uint64_t kArrivalBit = uint64_t{1} << 63;
// Maximum number of attempts for one request, its outcome query included.
constexpr size_t kMaxAttempts = 4;
// Maximum number of holders considered for the next attempt.
constexpr uint64_t kMaxCandidates = 8;
// Fraction of the remaining time for an attempt that may be followed by another
// one, so that the next attempt still has time.
constexpr int kAttemptTimeNumerator = 3;
constexpr int kAttemptTimeDenominator = 4;
// Fraction of the attempt's time that the holder gets, so that an answer sent
// at its deadline still arrives.
constexpr int kHolderTimeNumerator = 15;
constexpr int kHolderTimeDenominator = 16;
constexpr size_t kMaxLearnedAddresses = 4'096;
constexpr size_t kMaxTransactions = 16'384;

constexpr const char* kNoHolder = "no_holder";
constexpr const char* kNoAnswer = "no_answer";

bool IsIdempotent(CallerOperation operation) {
  return operation == CallerOperation::kRead ||
         operation == CallerOperation::kOutcome;
}

bool HasOutcome(CallerOperation operation) {
  return operation == CallerOperation::kWrite ||
         operation == CallerOperation::kCommit;
}

// Returns the answer to a request that may have run.
CallerAnswer UnknownAnswer(const CallerRequest& request) {
  CallerAnswer answer = RefusalOf(request, kNoAnswer);
  answer.outcome = CallerOutcome::kUnknown;
  if (request.operation == CallerOperation::kWrite) {
    answer.ask_at = TargetOf(CallerOperation::kOutcome);
    answer.digest = request.digest;
  }
  return answer;
}

}  // namespace

TransactionId MakeTransactionId(const VmName& vm, const std::string& random) {
  return TransactionId(vm.value() + "." + random);
}

VmName HolderOf(const TransactionId& transaction) {
  const size_t dot = transaction.value().rfind('.');
  return dot == std::string::npos ? VmName()
                                  : VmName(transaction.value().substr(0, dot));
}

RelayHost::RelayHost(ProxyContext& context,
                     const ProxyOptions& options,
                     Hooks hooks)
    : m_context(context), m_options(options), m_hooks(std::move(hooks)) {}

// --- Requests of callers ----------------------------------------------------

void RelayHost::On(const CallerRequestReceived& event) {
  const CallerRequest& request = event.request;
  const VmName pinned = HolderOf(request.transaction);
  // A draining proxy serves all requests that it receives, except new
  // transactions.
  const bool relays_begin =
      request.operation == CallerOperation::kBegin && m_hooks.draining();
  const bool must_relay =
      request.transaction.empty()
          ? m_hooks.knows(request.group) &&
                (relays_begin || m_hooks.must_relay(request.group))
          : pinned != m_options.vm && AddressOf(pinned).has_value();
  if (!must_relay || !m_hooks.ready())
    return m_hooks.serve(event);
  Relayed relayed;
  relayed.caller = event.call;
  relayed.request = request;
  relayed.arrived = m_context.now();
  relayed.deadline =
      m_context.now() +
      std::min(request.deadline.value_or(m_options.default_request_timeout),
               m_options.max_request_timeout);
  relayed.reason = kNoHolder;
  if (const auto known = m_transactions.find(request.transaction);
      known != m_transactions.end()) {
    relayed.request.group = known->second.group;
    relayed.request.class_name = known->second.class_name;
  }
  SendNext(std::move(relayed));
  m_hooks.on_work_changed();
}

void RelayHost::SendNext(Relayed relayed) {
  const Duration left = relayed.deadline - m_context.now();
  if (left <= Duration(0) || relayed.attempts >= kMaxAttempts)
    return GiveUp(relayed);
  const auto holder = ChooseHolder(relayed);
  if (!holder)
    return GiveUp(relayed);
  // This proxy became a holder, or is the last proxy of its zone.
  if (*holder == m_options.vm)
    return ServeHere(relayed);
  ++relayed.attempts;
  relayed.holder = *holder;
  relayed.tried.insert(*holder);
  const CallerOperation operation = relayed.request.operation;
  const bool may_retry = IsIdempotent(operation) || HasOutcome(operation);
  const Duration time =
      may_retry ? left * kAttemptTimeNumerator / kAttemptTimeDenominator : left;
  m_last_call = m_last_call.Next();
  m_context.Emit(RelayCommand(SendRelay{
      m_last_call, *AddressOf(*holder),
      Message(relayed, time * kHolderTimeNumerator / kHolderTimeDenominator),
      time, Stamp()}));
  m_relayed.emplace(m_last_call, std::move(relayed));
}

std::optional<VmName> RelayHost::ChooseHolder(Relayed& relayed) {
  const auto usable = [&](const VmName& vm) {
    return relayed.tried.count(vm) == 0 && AddressOf(vm).has_value();
  };
  if (!relayed.request.transaction.empty() && !relayed.querying_outcome) {
    const VmName pinned = HolderOf(relayed.request.transaction);
    return usable(pinned) ? std::optional(pinned) : std::nullopt;
  }
  if (!relayed.suggested.empty() && usable(relayed.suggested))
    return relayed.suggested;
  for (uint64_t index = 0; index < kMaxCandidates; ++index) {
    const auto next_hop =
        m_hooks.next_hop(relayed.request.group, relayed.caller.value + index);
    if (!next_hop)
      break;
    if (next_hop.value().vm == m_options.vm || usable(next_hop.value().vm))
      return next_hop.value().vm;
  }
  // The only holder may still be alive although the connection to it was lost.
  const bool repeatable =
      relayed.querying_outcome || IsIdempotent(relayed.request.operation);
  if (!repeatable || relayed.holder.empty() ||
      std::exchange(relayed.holder_retried, true) || !AddressOf(relayed.holder))
    return std::nullopt;
  return relayed.holder;
}

std::optional<std::string> RelayHost::AddressOf(const VmName& vm) const {
  if (auto address = m_hooks.address(vm))
    return address;
  const auto learned = m_learned_addresses.find(vm);
  return learned == m_learned_addresses.end() ? std::nullopt
                                              : std::optional(learned->second);
}

CallerRequest RelayHost::Message(const Relayed& relayed, Duration time) const {
  CallerRequest message = relayed.request;
  message.deadline = time;
  if (!relayed.querying_outcome)
    return message;
  const bool commit = message.operation == CallerOperation::kCommit;
  message.operation = CallerOperation::kOutcome;
  message.statement.clear();
  message.transaction = TransactionId();
  if (commit)
    message.digest = message.transaction_digest.value_or(0);
  return message;
}

void RelayHost::ServeHere(const Relayed& relayed) {
  m_hooks.serve(CallerRequestReceived{
      relayed.caller, Message(relayed, relayed.deadline - m_context.now())});
}

// --- Results of attempts ----------------------------------------------------

void RelayHost::On(const RelayEnded& event) {
  const auto found = m_relayed.find(event.call);
  if (found == m_relayed.end())
    return;
  Relayed relayed = std::move(found->second);
  m_relayed.erase(found);
  if (event.result) {
    Observe(event.stamp);
    Replied(std::move(relayed), event.result.value());
  } else if (event.result.error().code == ErrorCode::kTimeout) {
    Lost(std::move(relayed));
  } else {
    if (m_learned_addresses.erase(relayed.holder) != 0)
      m_hooks.holder_learned(relayed.request.group, VmName());
    NotRun(std::move(relayed),
           event.result.error().code == ErrorCode::kExhausted
               ? "overloaded"
               : "holder_unreachable");
  }
  m_hooks.on_work_changed();
}

void RelayHost::Replied(Relayed relayed, const RelayReply& reply) {
  switch (reply.verdict) {
    case RelayVerdict::kNotHolder:
      LearnHolder(relayed, reply);
      return NotRun(std::move(relayed), kNoHolder);
    case RelayVerdict::kRefused:
      return NotRun(std::move(relayed), reply.reason);
    case RelayVerdict::kAnswered:
      break;
  }
  UpdateTransactions(relayed, reply.answer);
  CallerAnswer answer = reply.answer;
  // The answer to the outcome query becomes the answer to the request. Of the
  // invalid answers only "id_reused" concerns the request itself; any other
  // means that the query was invalid, so the outcome stays unknown.
  const bool outcome_unknown = answer.outcome == CallerOutcome::kUnknown ||
                               (answer.outcome == CallerOutcome::kInvalid &&
                                answer.reason != "id_reused");
  if (relayed.querying_outcome && outcome_unknown) {
    answer = UnknownAnswer(relayed.request);
    answer.token = reply.answer.token;
    answer.retry_after = reply.answer.retry_after;
  }
  Finish(relayed, std::move(answer));
}

// Called when the holder did not run the request in this attempt.
void RelayHost::NotRun(Relayed relayed, std::string reason) {
  m_context.RecordTimelineEvent(EventKind::kRequest, relayed.request.group,
                                relayed.request.request, "relay_refused",
                                relayed.holder.value(),
                                {{std::string(kReasonField), reason}});
  relayed.reason = std::move(reason);
  SendNext(std::move(relayed));
}

// Called when the holder may have received the request and may have run it.
void RelayHost::Lost(Relayed relayed) {
  m_context.RecordTimelineEvent(EventKind::kRequest, relayed.request.group,
                                relayed.request.request, "relay_lost",
                                relayed.holder.value());
  relayed.reason = kNoAnswer;
  const CallerOperation operation = relayed.request.operation;
  if (relayed.querying_outcome || IsIdempotent(operation))
    return SendNext(std::move(relayed));
  // Without its id the transaction cannot be used, so it has no effect; the
  // holder rolls it back at its idle limit.
  if (operation == CallerOperation::kBegin)
    return GiveUp(relayed);
  const CallerRequest& request = relayed.request;
  const bool commit = operation == CallerOperation::kCommit;
  if (!HasOutcome(operation) || request.group.empty() ||
      request.class_name.empty() || (commit && !request.transaction_digest))
    return Finish(relayed, UnknownAnswer(request));
  relayed.querying_outcome = true;
  relayed.tried = {relayed.holder};
  SendNext(std::move(relayed));
}

void RelayHost::GiveUp(const Relayed& relayed) {
  Finish(relayed, relayed.querying_outcome
                      ? UnknownAnswer(relayed.request)
                      : RefusalOf(relayed.request, relayed.reason));
}

void RelayHost::Finish(const Relayed& relayed, CallerAnswer answer) {
  if (answer.token.empty())
    answer.token = relayed.request.token;
  if (answer.outcome != CallerOutcome::kDone &&
      answer.outcome != CallerOutcome::kInvalid && !answer.retry_after)
    answer.retry_after = kRetryAfter;
  if (answer.outcome != CallerOutcome::kDone)
    RecordFailure(relayed, answer);
  m_context.Emit(AnswerCaller{relayed.caller, std::move(answer),
                              relayed.request.class_name,
                              m_context.now() - relayed.arrived, std::nullopt});
}

void RelayHost::RecordFailure(const Relayed& relayed,
                              const CallerAnswer& answer) {
  m_context.RecordFailure(relayed.request, answer, relayed.arrived,
                          {{"holder", relayed.holder.value()}});
}

void RelayHost::LearnHolder(Relayed& relayed, const RelayReply& reply) {
  if (reply.holder.empty() || reply.holder == m_options.vm)
    return;
  relayed.suggested = reply.holder;
  if (!m_hooks.address(reply.holder)) {
    if (m_learned_addresses.size() >= kMaxLearnedAddresses)
      m_learned_addresses.clear();
    m_learned_addresses[reply.holder] = reply.holder_address;
  }
  m_hooks.holder_learned(relayed.request.group, reply.holder);
}

void RelayHost::UpdateTransactions(const Relayed& relayed,
                                   const CallerAnswer& answer) {
  switch (relayed.request.operation) {
    case CallerOperation::kBegin:
      if (answer.transaction.empty())
        return;
      std::erase_if(m_transactions, [this](const auto& item) {
        return item.second.expires <= m_context.now();
      });
      if (m_transactions.size() < kMaxTransactions)
        m_transactions[answer.transaction] = {
            relayed.request.group, relayed.request.class_name,
            m_context.now() + m_options.transactions.total_limit};
      return;
    case CallerOperation::kCommit:
    case CallerOperation::kRollback:
      m_transactions.erase(relayed.request.transaction);
      return;
    default:
      return;
  }
}

// --- Requests of other proxies ----------------------------------------------

void RelayHost::On(const RelayArrived& event) {
  Observe(event.stamp);
  const CallerRequest& request = event.request;
  const auto refuse = [&](const char* reason) {
    RelayReply reply;
    reply.reason = reason;
    Reply(event.arrival, std::move(reply));
  };
  if (!m_hooks.ready())
    return refuse("not_ready");
  // The RequestHost refuses steps of transactions that have ended.
  if (request.transaction.empty()) {
    if (!m_hooks.knows(request.group))
      return refuse("unknown_group");
    if (m_hooks.must_relay(request.group))
      return Reply(event.arrival, MakeRedirect(request.group));
    if (request.operation == CallerOperation::kBegin && m_hooks.draining())
      return refuse("draining");
  }
  const CallerRequestNumber call{kArrivalBit | ++m_last_arrival};
  m_arrivals[call] = event.arrival;
  m_hooks.serve(CallerRequestReceived{call, request});
}

RelayReply RelayHost::MakeRedirect(const GroupName& group) const {
  RelayReply reply;
  reply.verdict = RelayVerdict::kNotHolder;
  const auto next_hop = m_hooks.next_hop(group, m_last_arrival);
  if (next_hop) {
    reply.holder = next_hop.value().vm;
    reply.holder_address = AddressOf(reply.holder).value_or("");
  }
  return reply;
}

void RelayHost::Answered(AnswerCaller answer) {
  const auto found = m_arrivals.find(answer.call);
  if (found == m_arrivals.end())
    return m_context.Emit(std::move(answer));
  const RelayArrival arrival = found->second;
  m_arrivals.erase(found);
  if (answer.read_role)
    m_context.Emit(CountRead{answer.class_name, *answer.read_role});
  RelayReply reply;
  reply.verdict = RelayVerdict::kAnswered;
  reply.answer = std::move(answer.answer);
  Reply(arrival, std::move(reply));
}

void RelayHost::Reply(RelayArrival arrival, RelayReply reply) {
  m_context.Emit(RelayCommand(AnswerRelay{arrival, std::move(reply), Stamp()}));
}

RelayStamp RelayHost::Stamp() {
  const HybridStamp stamp = m_context.clock().Send(m_context.wall_clock());
  return {static_cast<uint64_t>(stamp.physical.time_since_epoch().count()),
          stamp.logical};
}

void RelayHost::Observe(const RelayStamp& stamp) {
  m_context.clock().Receive(
      {ClockTime(std::chrono::microseconds(stamp.physical)), stamp.logical},
      m_context.wall_clock());
}

}  // namespace jackdawturn::proxy
