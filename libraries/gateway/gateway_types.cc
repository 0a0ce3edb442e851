#include "gateway/gateway_types.h"

#include <tuple>

#include <openssl/sha.h>

namespace jackdawturn::gateway {

std::string ToString(const CommitPosition& position) {
  return std::to_string(position.term) + "." + std::to_string(position.number);
}

std::string_view ToString(ReplyCode code) {
  switch (code) {
    case ReplyCode::kDone:
      return "done";
    case ReplyCode::kBusy:
      return "busy";
    case ReplyCode::kAborted:
      return "aborted";
    case ReplyCode::kLagging:
      return "lagging";
    case ReplyCode::kReadOnly:
      return "read_only";
    case ReplyCode::kMisrouted:
      return "misrouted";
    case ReplyCode::kTooManyConnections:
      return "too_many_connections";
    case ReplyCode::kNoStatement:
      return "no_statement";
    case ReplyCode::kFailed:
      return "failed";
    case ReplyCode::kTimeout:
      return "timeout";
    case ReplyCode::kUnknown:
      return "unknown";
    case ReplyCode::kNoDatabase:
      return "no_database";
    case ReplyCode::kUnauthorized:
      return "unauthorized";
    case ReplyCode::kMalformed:
      return "malformed";
    case ReplyCode::kOther:
      return "other";
  }
  return "other";
}

bool Route::HasSameSettings(const Route& other) const {
  return std::tie(database, group, freshness, max_staleness, statement_timeout,
                  target_latency, priority, is_public) ==
         std::tie(other.database, other.group, other.freshness,
                  other.max_staleness, other.statement_timeout,
                  other.target_latency, other.priority, other.is_public);
}

ApiKeyDigest DigestApiKey(std::string_view key) {
  ApiKeyDigest digest;
  SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(),
         digest.data());
  return digest;
}

void GatewayConfig::InheritRouteVersions(const GatewayConfig& earlier) {
  for (auto& [database, route] : routes) {
    const Route* before = earlier.FindRoute(database);
    if (before && before->HasSameSettings(route))
      route.last_changed_version = before->last_changed_version;
  }
}

bool GuaranteesNotRun(ReplyCode code) {
  switch (code) {
    case ReplyCode::kBusy:
    case ReplyCode::kAborted:
    case ReplyCode::kLagging:
    case ReplyCode::kReadOnly:
    case ReplyCode::kMisrouted:
    case ReplyCode::kTooManyConnections:
    case ReplyCode::kNoStatement:
      return true;
    default:
      return false;
  }
}

}  // namespace jackdawturn::gateway
