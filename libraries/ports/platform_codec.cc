#include <array>
#include <utility>

#include <boost/json.hpp>

#include "ports/backend_codec.h"
#include "ports/json_durations.h"
#include "ports/platform_messages.h"

namespace jackdawturn {

namespace json = boost::json;

namespace {

constexpr const char* kStep = "platform.decode";
constexpr const char* kPeer = "platform";
constexpr std::string_view kPrefix = "/v1/";
constexpr std::array<const char*, std::variant_size_v<PlatformRequest>>
    kCallNames = {"read", "update", "watch", "vms"};

json::object ObjectToJson(const VersionedObject& object) {
  return {{"key", object.key},
          {"version", object.version.value},
          {"value", object.value}};
}

Result<VersionedObject> ObjectFrom(const JsonFields& fields) {
  VersionedObject object;
  TRY(object.key, fields.String("key"));
  TRY(object.version.value, fields.Number("version"));
  TRY(object.value, fields.String("value"));
  return object;
}

Result<ObjectChanges> ChangesFrom(const JsonFields& fields) {
  ObjectChanges changes;
  TRY(changes.revision, fields.Number("revision"));
  TRY(const auto* objects, fields.Array("objects"));
  for (const json::value& value : *objects) {
    TRY(const auto object_fields, JsonFields::Create(value, kStep));
    TRY(auto object, ObjectFrom(object_fields));
    changes.objects.push_back(std::move(object));
  }
  return changes;
}

Result<VmList> VmListFrom(const JsonFields& fields) {
  VmList list;
  TRY(const auto* vms, fields.Array("vms"));
  for (const json::value& value : *vms) {
    TRY(const auto vm, JsonFields::Create(value, kStep));
    TRY(auto name, vm.String("name"));
    TRY(auto zone, vm.String("zone"));
    TRY(const auto state, vm.String("state"));
    list.vms.push_back(
        {VmName(std::move(name)), ZoneName(std::move(zone)),
         state == "leaving" ? VmState::kLeaving : VmState::kLive});
  }
  return list;
}

json::object VmListToJson(const VmList& list) {
  json::array vms;
  for (const ListedVm& vm : list.vms) {
    vms.push_back(json::object{
        {"name", vm.name.value()},
        {"zone", vm.zone.value()},
        {"state", vm.state == VmState::kLeaving ? "leaving" : "live"}});
  }
  return {{"vms", std::move(vms)}};
}

Result<PlatformRequest> UpdateFrom(const JsonFields& fields) {
  UpdateObject update;
  TRY(update.key, fields.String("key"));
  TRY(update.expected.value, fields.Number("expected"));
  TRY(update.value, fields.String("value"));
  return PlatformRequest(std::move(update));
}

Result<PlatformRequest> WatchFrom(const JsonFields& fields) {
  WatchObjects watch;
  TRY(watch.prefix, fields.String("prefix"));
  TRY(watch.after, fields.NumberOr("after", 0));
  TRY(watch.wait, MicrosecondsOrZero(fields, "wait_us", kStep));
  return PlatformRequest(std::move(watch));
}

Result<PlatformResponse> ResponseFrom(const PlatformRequest& request,
                                      const std::string& body) {
  TRY(const auto value, ParseJson(body, kStep));
  TRY(const auto fields, JsonFields::Create(value, kStep));
  if (std::holds_alternative<WatchObjects>(request)) {
    TRY(auto changes, ChangesFrom(fields));
    return PlatformResponse(std::move(changes));
  }
  if (std::holds_alternative<ListVms>(request)) {
    TRY(auto list, VmListFrom(fields));
    return PlatformResponse(std::move(list));
  }
  TRY(auto object, ObjectFrom(fields));
  return PlatformResponse(std::move(object));
}

}  // namespace

std::string TargetOf(const PlatformRequest& request) {
  return std::string(kPrefix) + kCallNames[request.index()];
}

std::string EncodeRequest(const PlatformRequest& request) {
  return json::serialize(std::visit(
      Overloaded{[](const ReadObject& read) {
                   return json::object{{"key", read.key}};
                 },
                 [](const UpdateObject& update) {
                   return json::object{{"key", update.key},
                                       {"expected", update.expected.value},
                                       {"value", update.value}};
                 },
                 [](const WatchObjects& watch) {
                   return json::object{{"prefix", watch.prefix},
                                       {"after", watch.after},
                                       {"wait_us", watch.wait.count()}};
                 },
                 [](const ListVms&) { return json::object(); }},
      request));
}

Result<PlatformRequest> DecodePlatformRequest(std::string_view target,
                                              std::string_view body) {
  TRY(const auto value, ParseJson(body, kStep));
  TRY(const auto fields, JsonFields::Create(value, kStep));
  if (target == "/v1/read") {
    TRY(auto key, fields.String("key"));
    return PlatformRequest(ReadObject{std::move(key)});
  }
  if (target == "/v1/update")
    return UpdateFrom(fields);
  if (target == "/v1/watch")
    return WatchFrom(fields);
  if (target == "/v1/vms")
    return PlatformRequest(ListVms{});
  return Failure(ErrorCode::kNotFound, kStep, "", "no such call");
}

HttpResponse EncodeResponse(const Result<PlatformResponse>& response) {
  if (!response)
    return EncodeError(response.error());
  const json::object object = std::visit(
      Overloaded{[](const VersionedObject& item) { return ObjectToJson(item); },
                 [](const ObjectChanges& changes) {
                   json::array objects;
                   for (const VersionedObject& item : changes.objects)
                     objects.push_back(ObjectToJson(item));
                   return json::object{{"revision", changes.revision},
                                       {"objects", std::move(objects)}};
                 },
                 [](const VmList& list) { return VmListToJson(list); }},
      response.value());
  return {kHttpOk, json::serialize(object)};
}

Result<PlatformResponse> DecodeResponse(const PlatformRequest& request,
                                        const HttpResponse& response) {
  if (response.status != kHttpOk)
    return DecodeError(response, kPeer);
  auto decoded = ResponseFrom(request, response.body);
  if (!decoded)
    return Failure(ErrorCode::kInternal, kStep, kPeer, decoded.error().message);
  return decoded;
}

}  // namespace jackdawturn
