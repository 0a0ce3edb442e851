#pragma once

#include <sys/types.h>

#include <memory>
#include <string>
#include <vector>

#include <boost/json.hpp>

#include "http/http.h"
#include "soak/caller.h"

namespace jackdawturn::soak {

// What one gateway is told, and where.
struct GatewayPlace {
  std::string name;
  Endpoint clients;
  Endpoint readiness;
  // The first of two ports for the traffic between gateways.
  uint16_t internal_port = 0;
};

// Returns a place with free ports. Errors: kUnavailable.
Result<GatewayPlace> FindGatewayPlace(const std::string& name);

// Returns the settings of a gateway as the platform writes them.
std::string GatewaySettings(const GatewayPlace& place,
                            const Endpoint& platform,
                            std::chrono::seconds grace);

// Returns the configuration that the operator writes for the databases.
boost::json::object OperatorConfiguration(
    const std::vector<Database>& databases,
    size_t connection_limit);

// A gateway in a process of its own, which never outlives this object. Thread
// safety: not thread-safe.
class GatewayProcess {
 public:
  // `binary` is started with the settings file, and adds its output to the log.
  GatewayProcess(std::string binary, std::string settings, std::string log)
      : m_binary(std::move(binary)),
        m_settings(std::move(settings)),
        m_log(std::move(log)) {}
  ~GatewayProcess();
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  // Precondition: not running. Errors: kInternal.
  Result<void> Start();
  // Has no effect when the process has ended.
  void Signal(int signal) const;
  // Finds out whether the process has ended, without waiting.
  bool is_running();

 private:
  const std::string m_binary;
  const std::string m_settings;
  const std::string m_log;
  pid_t m_pid = -1;
};

}  // namespace jackdawturn::soak
