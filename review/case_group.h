#pragma once

#include "case_store.h"

namespace review {

struct Commit {
  uint64_t term = 0;
  // The id of the statement that committed: a single write or a COMMIT.
  std::string id;
  std::map<std::string, std::string> writes;
};

// What an instance ran.
struct Run {
  std::string instance;
  std::string id;
  std::string text;
  std::map<std::string, std::string> values;
};

// Three instances of one service, each on a port of its own. A commit is
// acknowledged once one replica has received it. Thread-safe.
class Group {
 public:
  static constexpr size_t kInstances = 3;

  struct Options {
    std::string service = "ledger";
    size_t connections = 16;
    Ms work{3};
    // Of statements on the item "slow".
    Ms longest_work{110};
    Ms handshake{12};
    Ms apply_delay{60};
    Ms promote_time{300};
    Ms heartbeat{1'200};
  };

  Group(Options options, Store& store, size_t gateways);

  // Replaces the marks for addresses by those that the gateway uses.
  std::string WithAddresses(std::string text, size_t gateway);
  // The gateway and the instance don't hear from each other.
  void CutFromGateway(size_t instance, size_t gateway, bool cut);

  // Registers all instances and keeps their entries up to date.
  void StartHeartbeats();
  // Carries a promotion out Options::promote_time after the call.
  bool Promote(const std::string& id);

  std::string IdOf(size_t instance) const;
  void Crash(size_t instance);
  // An instance that has crashed starts again, as one that knows nothing of
  // before: with another id, at another port.
  void StartAnew(size_t instance);
  // The replica receives nothing while it is deaf.
  void SetDeaf(size_t instance, bool deaf);
  // Heartbeats of the instance do not reach the store while it is cut off.
  void CutFromStore(size_t instance, bool cut);
  // Returns when the instance's last heartbeat reached the store.
  Clock::time_point LastHeartbeat(size_t instance);
  bool Listed(size_t instance);
  // Replicas do not receive from the instance, and it not from others.
  void CutFromPeers(size_t instance, bool cut);
  std::optional<size_t> Primary();
  uint64_t term();
  // Returns the ids of the commits in the log of an instance.
  std::set<std::string> CommitsOf(size_t instance);
  // Called with what an instance runs; may be null.
  std::function<void(const Run&)> on_run;
  // Called when an instance begins to lead, with the ids of the commits in its
  // log.
  std::function<void(const std::string& id, const std::set<std::string>& log)>
      on_promoted;

 private:
  struct Instance {
    bool running = true;
    bool primary = false;
    bool deaf = false;
    bool cut_from_store = false;
    bool cut_from_peers = false;
    bool listed = false;
    uint64_t term = 1;
    uint64_t paused_term = 0;
    // How often it has started.
    unsigned generation = 0;
    size_t connections = 0;
    std::vector<std::shared_ptr<const Commit>> log;
    std::vector<Clock::time_point> received_at;
    Clock::time_point last_heartbeat;
    std::set<std::shared_ptr<Socket>> sockets;
    // One for each gateway.
    std::vector<std::unique_ptr<Listener>> listeners;
    std::set<size_t> cut_from;
  };

  struct Session {
    size_t instance = 0;
    bool in_transaction = false;
    bool read_only = false;
    bool failed = false;
    uint64_t term = 0;
    std::map<std::string, std::string> writes;
    std::map<std::string, std::string> values;
    struct Prepared {
      bool writes = false;
      std::string shape;
    };
    std::map<std::string, Prepared> prepared;
  };

  struct Answer {
    std::string lines;
    // Nothing is answered: the instance has ended or lost the lead.
    bool silent = false;
  };

  using Lock = std::unique_lock<std::mutex>;

  void Serve(size_t index,
             size_t gateway,
             const std::shared_ptr<Socket>& socket);
  // Waits while the path between the two is cut.
  void AwaitPath(size_t index, size_t gateway);
  Answer Execute(Session& session, const std::string& id, std::string text);
  Answer Error(Session& session, const std::string& code);
  Answer Admin(Instance& instance, const std::string& text);
  Answer RunData(Lock& lock,
                 Session& session,
                 const std::string& id,
                 const std::string& text);
  Answer Append(Lock& lock,
                Session& session,
                const std::string& id,
                std::map<std::string, std::string> writes);
  void Replicate();
  bool Received(const Instance& primary, size_t length) const;
  size_t Applied(const Instance& instance) const;
  std::string ReadyLine(const Session& session);
  std::string Position(const Instance& instance, size_t length) const;
  std::vector<std::unique_ptr<Listener>> Listen(size_t index);
  void Register(size_t index);
  void HeartbeatLoop(size_t index);
  void Lead(size_t index);

  const Options m_options;
  Store& m_store;
  const size_t m_gateways;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::vector<Instance> m_instances{kInstances};
};

}  // namespace review
