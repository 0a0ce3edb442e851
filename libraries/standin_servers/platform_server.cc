#include "standin_servers/platform_server.h"

#include <utility>

#include "ports/backend_codec.h"

namespace jackdawturn {

namespace {
constexpr const char* kControlStep = "platform.control";
}  // namespace

Result<std::unique_ptr<PlatformServer>> PlatformServer::Create(
    boost::asio::io_context& context,
    PlatformServerOptions options) {
  std::unique_ptr<PlatformServer> server(
      new PlatformServer(context, std::move(options)));
  auto* self = server.get();
  TRY(server->m_server, HttpServer::Create(
                            context, self->m_options.listen, {},
                            [self](const HttpRequest& request,
                                   const HttpServer::Respond& respond) {
                              self->Handle(request, respond);
                            },
                            nullptr));
  return server;
}

void PlatformServer::After(Duration delay, std::function<void()> task) {
  auto timer = std::make_shared<boost::asio::steady_timer>(m_context, delay);
  timer->async_wait([timer, alive = std::weak_ptr<bool>(m_alive),
                     task = std::move(task)](boost::system::error_code error) {
    if (!error && !alive.expired())
      task();
  });
}

void PlatformServer::Handle(const HttpRequest& http,
                            const HttpServer::Respond& respond) {
  if (http.target == "/fault" || http.target == "/vm") {
    const auto done = HandleControl(http);
    respond(done ? HttpResponse{kHttpOk, "{}"} : EncodeError(done.error()));
    return;
  }
  if (!m_available)
    return;
  const auto request = DecodePlatformRequest(http.target, http.body);
  if (!request)
    return respond(EncodeError(request.error()));
  After(m_options.answer_time, [this, request = request.value(), respond] {
    if (!m_available)
      return;
    if (const auto* watch = std::get_if<WatchObjects>(&request))
      StartWatch(*watch, respond);
    else
      Run(request, respond);
  });
}

Result<void> PlatformServer::HandleControl(const HttpRequest& http) {
  TRY(const auto value, ParseJson(http.body, kControlStep));
  TRY(const auto fields, JsonFields::Create(value, kControlStep));
  return http.target == "/fault" ? SetFaults(fields) : SetVm(fields);
}

Result<void> PlatformServer::SetFaults(const JsonFields& fields) {
  TRY(const bool available, fields.BooleanOr("available", m_available));
  TRY(const auto lose, fields.NumberOr("lose_answers", 0));
  TRY(const auto answer_time,
      fields.NumberOr("answer_time_us", m_options.answer_time.count()));
  m_available = available;
  m_options.answer_time = Duration(answer_time);
  if (lose > 0)
    m_store.LoseAnswers(lose);
  return Success();
}

Result<void> PlatformServer::SetVm(const JsonFields& fields) {
  TRY(auto name, fields.String("name"));
  TRY(auto zone, fields.String("zone"));
  TRY(const auto state, fields.String("state"));
  if (state == "gone")
    m_store.RemoveVm(VmName(std::move(name)));
  else
    m_store.SetVm({VmName(std::move(name)), ZoneName(std::move(zone)),
                   state == "leaving" ? VmState::kLeaving : VmState::kLive});
  m_store.PublishVms();
  return Success();
}

void PlatformServer::Run(const PlatformRequest& request,
                         const HttpServer::Respond& respond) {
  const auto answer = [&respond](auto result) {
    // A lost answer is modelled by silence, as the caller would see it.
    if (!result && result.error().code == ErrorCode::kTimeout)
      return;
    if (!result)
      respond(EncodeError(result.error()));
    else
      respond(EncodeResponse(PlatformResponse(std::move(result).value())));
  };
  if (const auto* read = std::get_if<ReadObject>(&request)) {
    answer(m_store.Read(read->key));
  } else if (const auto* update = std::get_if<UpdateObject>(&request)) {
    answer(m_store.Update(update->key, update->expected, update->value));
    AnswerWatches();
  } else {
    auto vms = m_store.ListVms();
    answer(vms ? Result<VmList>(VmList{std::move(vms).value()})
               : Result<VmList>(vms.error()));
  }
}

void PlatformServer::StartWatch(const WatchObjects& request,
                                const HttpServer::Respond& respond) {
  Watch watch{request, respond, ++m_last_watch};
  if (AnswerWatch(watch, false))
    return;
  m_watches.push_back(watch);
  After(request.wait, [this, number = watch.number] {
    for (auto item = m_watches.begin(); item != m_watches.end(); ++item) {
      if (item->number != number)
        continue;
      const Watch late = *item;
      m_watches.erase(item);
      if (m_available)
        AnswerWatch(late, true);
      return;
    }
  });
}

bool PlatformServer::AnswerWatch(const Watch& watch, bool even_if_empty) {
  auto changes =
      m_store.ChangesAfter(watch.request.prefix, watch.request.after);
  if (!changes || (changes.value().empty() && !even_if_empty))
    return false;
  ObjectChanges answer{m_store.revision(), std::move(changes).value()};
  watch.respond(EncodeResponse(PlatformResponse(std::move(answer))));
  return true;
}

void PlatformServer::AnswerWatches() {
  for (auto item = m_watches.begin(); item != m_watches.end();) {
    if (AnswerWatch(*item, false))
      item = m_watches.erase(item);
    else
      ++item;
  }
}

}  // namespace jackdawturn
