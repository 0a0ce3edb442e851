#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "proxy/proxy_context.h"

namespace jackdawturn::proxy {

// A transaction id names the VM that holds the transaction, so that its steps
// reach it from any proxy. `random` has no dot. Thread-safe.
TransactionId MakeTransactionId(const VmName& vm, const std::string& random);
// Returns an empty name for an id that names no VM. Thread-safe.
VmName HolderOf(const TransactionId& transaction);

// Relays requests that another proxy must serve, and takes those that other
// proxies relay to this one. What is not relayed is served by the RequestHost.
// Thread safety: not thread-safe; owned by the decision thread.
class RelayHost {
 public:
  struct Hooks {
    // False until targets are known.
    std::function<bool()> ready;
    // This proxy takes no new transactions.
    std::function<bool()> draining;
    std::function<bool(const GroupName& group)> knows;
    // Another proxy must serve the group.
    std::function<bool(const GroupName& group)> must_relay;
    // See GroupOwnership::SelectNextHop.
    std::function<Result<fleet::NextHop>(const GroupName& group,
                                         uint64_t spread)>
        next_hop;
    // "IP:PORT" of the relay of a present member of the zone or contact.
    std::function<std::optional<std::string>(const VmName& vm)> address;
    // See fleet::HolderLearned.
    std::function<void(const GroupName& group, const VmName& holder)>
        holder_learned;
    // Gives a request to the RequestHost.
    std::function<void(const CallerRequestReceived& event)> serve;
    std::function<void()> on_work_changed;
  };

  RelayHost(ProxyContext& context, const ProxyOptions& options, Hooks hooks);

  // A request of a caller.
  void On(const CallerRequestReceived& event);
  // A request of another proxy.
  void On(const RelayArrived& event);
  // The end of a request that this proxy relayed.
  void On(const RelayEnded& event);
  // Gives an answer of the RequestHost to the caller, or to the proxy that
  // relayed the request.
  void Answered(AnswerCaller answer);

  // Requests of callers that wait for another proxy.
  size_t requests() const { return m_relayed.size(); }

 private:
  struct Relayed {
    CallerRequestNumber caller;
    CallerRequest request;
    TimePoint arrived;
    TimePoint deadline;
    // The VM that has the request now.
    VmName holder;
    // A holder that another one named.
    VmName named;
    std::set<VmName> tried;
    size_t attempts = 0;
    // Why the last attempt failed.
    std::string reason;
    // The request may have run; its outcome is asked for.
    bool asking = false;
    // The holder whose answer was lost has been tried again.
    bool tried_again = false;
  };
  // What a commit's outcome question needs; a commit itself does not name it.
  struct KnownTransaction {
    GroupName group;
    ClassName class_name;
    TimePoint expires;
  };

  void SendNext(Relayed relayed);
  std::optional<VmName> Choose(Relayed& relayed);
  std::optional<std::string> AddressOf(const VmName& vm) const;
  // What is sent: the request, or the question for its outcome.
  CallerRequest Message(const Relayed& relayed, Duration time) const;
  void ServeHere(const Relayed& relayed);
  void Replied(Relayed relayed, const RelayReply& reply);
  void NotRun(Relayed relayed, std::string reason);
  void Lost(Relayed relayed);
  void GiveUp(const Relayed& relayed);
  void Finish(const Relayed& relayed, CallerAnswer answer);
  // Adds the event of a relayed request that is not done to the time line.
  void RecordFailure(const Relayed& relayed, const CallerAnswer& answer);
  void LearnHolder(Relayed& relayed, const RelayReply& reply);
  void Remember(const Relayed& relayed, const CallerAnswer& answer);
  void Reply(RelayArrival arrival, RelayReply reply);
  RelayReply WrongHolder(const GroupName& group) const;
  RelayStamp Stamp();
  void Observe(const RelayStamp& stamp);

  ProxyContext& m_context;
  const ProxyOptions& m_options;
  Hooks m_hooks;
  RelayCall m_last_call;
  std::map<RelayCall, Relayed> m_relayed;
  uint64_t m_last_arrival = 0;
  std::map<CallerRequestNumber, RelayArrival> m_arrivals;
  // Relay addresses of holders in other zones, which gossip does not bring.
  std::map<VmName, std::string> m_learned;
  // Transactions whose steps were relayed by this proxy.
  std::map<TransactionId, KnownTransaction> m_transactions;
};

}  // namespace jackdawturn::proxy
