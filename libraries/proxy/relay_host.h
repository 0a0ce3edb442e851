#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "proxy/proxy_context.h"

namespace jackdawturn::proxy {

// Returns a transaction id that names the VM that holds the transaction, so
// that any proxy can relay its steps there. Precondition: `random` contains no
// dot. Thread-safe.
TransactionId MakeTransactionId(const VmName& vm, const std::string& random);
// Returns the VM that the id names, or an empty name if it names none.
// Thread-safe.
VmName HolderOf(const TransactionId& transaction);

// Relays requests that another proxy must serve, and accepts requests that
// other proxies relay to this one. The RequestHost serves all requests that are
// not relayed. Thread safety: not thread-safe; owned by the decision thread.
class RelayHost {
 public:
  struct Hooks {
    // Returns whether targets were received and this proxy has caught up.
    std::function<bool()> ready;
    // Returns whether this proxy refuses new transactions.
    std::function<bool()> draining;
    std::function<bool(const GroupName& group)> knows;
    // Returns whether another proxy must serve the group.
    std::function<bool(const GroupName& group)> must_relay;
    // See GroupOwnership::SelectNextHop.
    std::function<Result<fleet::NextHop>(const GroupName& group,
                                         uint64_t spread)>
        next_hop;
    // Returns "IP:PORT" of the relay of a present zone member or contact.
    std::function<std::optional<std::string>(const VmName& vm)> address;
    // See fleet::HolderLearned.
    std::function<void(const GroupName& group, const VmName& holder)>
        holder_learned;
    // Passes a request to the RequestHost.
    std::function<void(const CallerRequestReceived& event)> serve;
    std::function<void()> on_work_changed;
  };

  RelayHost(ProxyContext& context, const ProxyOptions& options, Hooks hooks);

  // Serves or relays the request of a caller.
  void On(const CallerRequestReceived& event);
  // Serves or refuses a request that another proxy relayed.
  void On(const RelayArrived& event);
  // Handles the result of a request that this proxy relayed.
  void On(const RelayEnded& event);
  // Passes an answer of the RequestHost to the caller, or to the proxy that
  // relayed the request.
  void Answered(AnswerCaller answer);

  // Returns the number of caller requests that wait for another proxy.
  size_t requests() const { return m_relayed.size(); }

 private:
  struct Relayed {
    CallerRequestNumber caller;
    CallerRequest request;
    TimePoint arrived;
    TimePoint deadline;
    // The VM of the current or last attempt.
    VmName holder;
    // The holder that another proxy named in a redirect.
    VmName suggested;
    std::set<VmName> tried;
    size_t attempts = 0;
    // Why the last attempt failed.
    std::string reason;
    // True when the request may have run and its outcome is queried.
    bool querying_outcome = false;
    // True when the holder whose answer was lost has been retried.
    bool holder_retried = false;
  };
  // Group and class for the outcome query of a commit, which a commit request
  // does not contain.
  struct RelayedTransaction {
    GroupName group;
    ClassName class_name;
    TimePoint expires;
  };

  void SendNext(Relayed relayed);
  std::optional<VmName> ChooseHolder(Relayed& relayed);
  std::optional<std::string> AddressOf(const VmName& vm) const;
  // Returns the message to send: the request, or the query for its outcome.
  CallerRequest Message(const Relayed& relayed, Duration time) const;
  void ServeHere(const Relayed& relayed);
  void Replied(Relayed relayed, const RelayReply& reply);
  void NotRun(Relayed relayed, std::string reason);
  void Lost(Relayed relayed);
  void GiveUp(const Relayed& relayed);
  void Finish(const Relayed& relayed, CallerAnswer answer);
  // Appends the event of a relayed request that was not done to the timeline.
  void RecordFailure(const Relayed& relayed, const CallerAnswer& answer);
  void LearnHolder(Relayed& relayed, const RelayReply& reply);
  void UpdateTransactions(const Relayed& relayed, const CallerAnswer& answer);
  void Reply(RelayArrival arrival, RelayReply reply);
  RelayReply MakeRedirect(const GroupName& group) const;
  RelayStamp Stamp();
  void Observe(const RelayStamp& stamp);

  ProxyContext& m_context;
  const ProxyOptions& m_options;
  Hooks m_hooks;
  RelayCall m_last_call;
  std::map<RelayCall, Relayed> m_relayed;
  uint64_t m_last_arrival = 0;
  std::map<CallerRequestNumber, RelayArrival> m_arrivals;
  // Relay addresses of holders in other zones, which gossip does not carry.
  std::map<VmName, std::string> m_learned_addresses;
  // Transactions whose begin was relayed by this proxy.
  std::map<TransactionId, RelayedTransaction> m_transactions;
};

}  // namespace jackdawturn::proxy
