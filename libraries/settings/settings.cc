#include "settings/settings.h"

#include <fstream>
#include <ostream>
#include <sstream>

#include <boost/json/value.hpp>

#include "settings/json_text.h"
#include "settings/schema_check.h"
#include "settings/settings_decoder.h"
#include "settings/settings_rules.h"

namespace jackdawturn {

// Defined in the source that is generated from schemas/settings.schema.json.
extern const std::string_view kSettingsSchema;

namespace {

// Room for the largest numbers of groups and instances that the schema allows.
constexpr size_t kMaxTextBytes = 32'000'000;

}  // namespace

std::ostream& operator<<(std::ostream& out, const SocketAddress& address) {
  if (address.ip.find(':') != std::string::npos)
    return out << '[' << address.ip << "]:" << address.port;
  return out << address.ip << ':' << address.port;
}

std::ostream& operator<<(std::ostream& out, const SettingsError& error) {
  return out << "pointer=\"" << error.pointer << "\" value=" << error.value
             << " expected=" << error.expected;
}

SettingsCheck CheckSettings(std::string_view json) {
  SettingsCheck check;
  if (json.size() > kMaxTextBytes) {
    check.errors.push_back(SettingsError{
        "", "", "at most " + std::to_string(kMaxTextBytes) + " bytes"});
    return check;
  }
  boost::json::value document;
  if (!ParseJson(json, document, check.errors))
    return check;
  for (SettingsError& error : CheckSchema(document))
    check.errors.push_back(std::move(error));
  check.settings = DecodeSettings(document);
  CheckRules(check.settings, document, check.errors);
  return check;
}

Result<Settings> LoadSettings(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf()))
    return Failure(ErrorCode::kNotFound, "settings.load", path,
                   "the settings file cannot be read or is empty");
  SettingsCheck check = CheckSettings(text.view());
  if (check.valid())
    return std::move(check.settings);
  std::ostringstream message;
  message << check.errors.size() << " faults in the settings";
  for (const SettingsError& error : check.errors)
    message << '\n' << error;
  return Failure(ErrorCode::kInvalidArgument, "settings.load", path,
                 message.str());
}

std::string_view SettingsSchema() {
  return kSettingsSchema;
}

}  // namespace jackdawturn
