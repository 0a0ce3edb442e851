#include "settings/settings_rules.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>
#include <utility>

#include <boost/asio/ip/address.hpp>

#include "settings/schema_check.h"

namespace jackdawturn {

namespace json = boost::json;

namespace {

std::string ItemPointer(const std::string& list, size_t index) {
  return list + '/' + std::to_string(index);
}

class RuleCheck {
 public:
  RuleCheck(const Settings& settings,
            const json::value& document,
            std::vector<SettingsError>& errors)
      : m_settings(settings), m_document(document), m_errors(errors) {
    for (const SettingsError& error : errors)
      m_faulty.insert(error.pointer);
  }

  void CheckAll() {
    CheckZones();
    CheckListen();
    CheckAddress("/platform", m_settings.platform);
    CheckPeers();
    CheckGroups();
    CheckKeys();
    CheckTimeouts();
  }

 private:
  // Maps a value that must be unique to the pointer of its first use.
  using FirstUses = std::map<std::string, std::string>;

  // True if the value, one below it or one that contains it has an error.
  bool HasError(const std::string& pointer) const {
    const auto below = m_faulty.lower_bound(pointer + '/');
    if (below != m_faulty.end() && below->starts_with(pointer + '/'))
      return true;
    for (size_t end = pointer.size(); end != std::string::npos && end > 0;
         end = pointer.rfind('/', end - 1)) {
      if (m_faulty.contains(pointer.substr(0, end)))
        return true;
    }
    return m_faulty.contains("");
  }

  void Add(const std::string& pointer, std::string expected) {
    if (HasError(pointer))
      return;
    boost::system::error_code error;
    const json::value* value = m_document.find_pointer(pointer, error);
    m_errors.push_back(SettingsError{
        pointer, value == nullptr ? "" : ShownValue(pointer, *value),
        std::move(expected)});
    m_faulty.insert(pointer);
  }

  void CheckUnique(FirstUses& uses,
                   const std::string& value,
                   const std::string& pointer,
                   const std::string& expected) {
    if (value.empty() || HasError(pointer))
      return;
    const auto [first, inserted] = uses.emplace(value, pointer);
    if (!inserted)
      Add(pointer, expected + "; the same is at " + first->second);
  }

  void CheckUniqueAddress(FirstUses& uses,
                          const SocketAddress& address,
                          const std::string& pointer) {
    CheckAddress(pointer, address);
    if (HasError(pointer))
      return;
    std::ostringstream text;
    text << address;
    CheckUnique(uses, text.str(), pointer, "an address used only here");
  }

  void CheckAddress(const std::string& pointer, const SocketAddress& address) {
    boost::system::error_code error;
    boost::asio::ip::make_address(address.ip, error);
    if (error)
      Add(pointer + "/ip", "an IP number, for example 10.0.0.1 or fd00::1");
  }

  // For an address that other VMs connect to.
  void CheckReachable(const std::string& pointer,
                      const SocketAddress& address) {
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(address.ip, error);
    if (!error && (ip.is_unspecified() || ip.is_multicast()))
      Add(pointer + "/ip", "the IP number of one VM, which others connect to");
  }

  void CheckZone(const std::string& pointer, const ZoneName& zone) {
    const auto& zones = m_settings.zones;
    if (zones.empty() || zone.empty() || HasError("/zones"))
      return;
    if (std::find(zones.begin(), zones.end(), zone) == zones.end())
      Add(pointer, "a zone that is listed at /zones");
  }

  void CheckZones() {
    FirstUses uses;
    for (size_t index = 0; index < m_settings.zones.size(); ++index)
      CheckUnique(uses, m_settings.zones[index].value(),
                  ItemPointer("/zones", index), "a zone that is listed once");
    CheckZone("/zone", m_settings.zone);
  }

  void CheckListen() {
    const ListenSettings& listen = m_settings.listen;
    const std::vector<std::pair<std::string, const SocketAddress*>> listeners =
        {{"/listen/callers", &listen.callers},
         {"/listen/operators", &listen.operators},
         {"/listen/relay", &listen.relay}};
    for (const auto& [pointer, address] : listeners)
      CheckAddress(pointer, *address);
    CheckAddress("/listen/gossip", listen.gossip);
    CheckReachable("/listen/relay", listen.relay);
    CheckReachable("/listen/gossip", listen.gossip);
    // Peers know the address of the gossip only and relay to it over TCP.
    if (listen.relay != listen.gossip && !HasError("/listen/gossip/ip"))
      Add("/listen/relay", "the address of /listen/gossip");
    // Gossip uses UDP, so it may have the address of a TCP listener.
    for (size_t later = 1; later < listeners.size(); ++later) {
      for (size_t earlier = 0; earlier < later; ++earlier) {
        if (Overlap(*listeners[earlier].second, *listeners[later].second))
          Add(listeners[later].first,
              "an address that no other listener has; the same is at " +
                  listeners[earlier].first);
      }
    }
  }

  static bool Overlap(const SocketAddress& left, const SocketAddress& right) {
    boost::system::error_code left_error;
    boost::system::error_code right_error;
    const auto left_ip = boost::asio::ip::make_address(left.ip, left_error);
    const auto right_ip = boost::asio::ip::make_address(right.ip, right_error);
    if (left_error || right_error || left.port != right.port || left.port == 0)
      return false;
    return left_ip == right_ip || left_ip.is_unspecified() ||
           right_ip.is_unspecified();
  }

  void CheckPeers() {
    FirstUses names;
    FirstUses relays;
    FirstUses gossips;
    names.emplace(m_settings.vm.value(), "/vm");
    for (size_t index = 0; index < m_settings.peers.size(); ++index) {
      const PeerSettings& peer = m_settings.peers[index];
      const std::string pointer = ItemPointer("/peers", index);
      CheckUnique(names, peer.vm.value(), pointer + "/vm",
                  "a VM that is listed once and is not this one");
      CheckZone(pointer + "/zone", peer.zone);
      CheckReachable(pointer + "/relay", peer.relay);
      CheckReachable(pointer + "/gossip", peer.gossip);
      CheckUniqueAddress(relays, peer.relay, pointer + "/relay");
      CheckUniqueAddress(gossips, peer.gossip, pointer + "/gossip");
    }
  }

  void CheckGroups() {
    FirstUses groups;
    FirstUses names;
    FirstUses addresses;
    for (size_t index = 0; index < m_settings.groups.size(); ++index) {
      const GroupSettings& group = m_settings.groups[index];
      const std::string pointer = ItemPointer("/groups", index);
      CheckUnique(groups, group.name.value(), pointer + "/name",
                  "a group that is listed once");
      for (size_t item = 0; item < group.instances.size(); ++item) {
        const InstanceSettings& instance = group.instances[item];
        const std::string place = ItemPointer(pointer + "/instances", item);
        CheckUnique(names, instance.name.value(), place + "/name",
                    "a name that no other instance has");
        CheckZone(place + "/zone", instance.zone);
        CheckReachable(place + "/address", instance.address);
        CheckUniqueAddress(addresses, instance.address, place + "/address");
      }
    }
  }

  void CheckKeys() {
    FirstUses secrets;
    CheckKeyList("/keys/operators", m_settings.keys.operators, secrets);
    CheckKeyList("/keys/fleet", m_settings.keys.fleet, secrets);
    CheckKeyList("/keys/tokens", m_settings.keys.tokens, secrets);
  }

  void CheckKeyList(const std::string& list,
                    const std::vector<Key>& keys,
                    FirstUses& secrets) {
    FirstUses ids;
    for (size_t index = 0; index < keys.size(); ++index) {
      const std::string pointer = ItemPointer(list, index);
      CheckUnique(ids, keys[index].id, pointer + "/id",
                  "an id that no other key of the list has");
      CheckUnique(secrets, keys[index].secret.value(), pointer + "/secret",
                  "a secret that no other key has");
    }
  }

  void CheckOrder(const std::string& lower_pointer,
                  std::chrono::milliseconds lower,
                  const std::string& upper_pointer,
                  std::chrono::milliseconds upper) {
    if (lower <= upper || HasError(lower_pointer) || HasError(upper_pointer))
      return;
    Add(upper_pointer, "at least " + std::to_string(lower.count()) +
                           ", the value of " + lower_pointer);
  }

  void CheckTimeouts() {
    const TimeoutSettings& timeouts = m_settings.timeouts;
    CheckOrder("/timeouts/request_ms", timeouts.request,
               "/timeouts/request_max_ms", timeouts.request_max);
    CheckOrder("/timeouts/transaction_idle_ms", timeouts.transaction_idle,
               "/timeouts/transaction_total_ms", timeouts.transaction_total);
    // A drain that ends earlier would cut requests in progress.
    CheckOrder("/timeouts/request_max_ms", timeouts.request_max,
               "/timeouts/drain_ms", timeouts.drain);
    CheckOrder("/timeouts/transaction_total_ms", timeouts.transaction_total,
               "/timeouts/drain_ms", timeouts.drain);
  }

  const Settings& m_settings;
  const json::value& m_document;
  std::vector<SettingsError>& m_errors;
  // Pointers of `m_errors`.
  std::set<std::string> m_faulty;
};

}  // namespace

void CheckRules(const Settings& settings,
                const json::value& document,
                std::vector<SettingsError>& errors) {
  RuleCheck(settings, document, errors).CheckAll();
}

}  // namespace jackdawturn
