#include <algorithm>
#include <deque>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "ports/backend_codec.h"
#include "ports/backend_port.h"

namespace jackdawturn {

namespace {

// Calls without a counted connection that are in progress at one instance.
// Most of them wait for a position; the others do not wait behind those, so
// that a change of primary gets on while many writes wait to be confirmed.
constexpr size_t kMaxWaitingReports = 64;
constexpr size_t kMaxOtherCalls = 16;

bool WaitsForPosition(const BackendRequest& request) {
  const auto* report = std::get_if<ReportCall>(&request);
  return report != nullptr && report->wait_position.has_value();
}

class HttpBackendPort : public BackendPort {
 public:
  HttpBackendPort(boost::asio::io_context& context,
                  std::map<InstanceName, Endpoint> addresses,
                  OnEvent on_event)
      : m_context(context),
        m_addresses(std::move(addresses)),
        m_state(std::make_shared<State>()) {
    m_state->on_event = std::move(on_event);
  }

  ~HttpBackendPort() override {
    m_state->on_event = nullptr;
    m_state->connections.clear();
  }

  void Send(BackendCommand command) override {
    if (const auto* open = std::get_if<OpenBackend>(&command))
      Open(*open);
    else if (const auto* close = std::get_if<CloseBackend>(&command))
      Close(close->connection);
    else
      Call(std::get<CallBackend>(std::move(command)));
  }

 private:
  struct WaitingCall {
    CallBackend call;
    TimePoint deadline;
    // Ends the call when it was not sent by then.
    std::shared_ptr<boost::asio::steady_timer> timer;
  };
  struct Connection {
    InstanceName instance;
    std::shared_ptr<HttpConnection> http;
    // HTTP/1.1 has one request in progress on a connection; the others wait.
    bool busy = false;
    std::deque<WaitingCall> waiting = {};
  };
  // Outlives the port while answers are on their way.
  struct State {
    OnEvent on_event;
    std::map<BackendConnectionId, Connection> connections;

    void Emit(BackendEvent event) const {
      if (on_event)
        on_event(std::move(event));
    }
    void ReportIfLost(BackendConnectionId id) {
      const auto found = connections.find(id);
      if (found == connections.end() || found->second.http->is_open())
        return;
      const Connection lost = std::move(found->second);
      connections.erase(found);
      RefuseWaiting(lost);
      Emit(BackendLost{id, lost.instance});
    }
    void RefuseWaiting(const Connection& connection) const {
      for (const auto& [call, deadline, timer] : connection.waiting)
        Emit(BackendAnswered{call.call, call.instance, Closed(call.instance)});
    }
    void RefuseLate(BackendConnectionId id,
                    const boost::asio::steady_timer* timer) {
      const auto found = connections.find(id);
      if (found == connections.end())
        return;
      auto& waiting = found->second.waiting;
      const auto late = std::find_if(waiting.begin(), waiting.end(),
                                     [timer](const WaitingCall& item) {
                                       return item.timer.get() == timer;
                                     });
      if (late == waiting.end())
        return;  // It was sent.
      const CallBackend call = std::move(late->call);
      waiting.erase(late);
      Emit(BackendAnswered{
          call.call, call.instance,
          Error{ErrorCode::kUnavailable, "backend.call", call.instance.value(),
                "not sent before its timeout"}});
    }
    // Sends the next waiting call of the connection.
    void SendNext(const std::shared_ptr<State>& self, BackendConnectionId id) {
      const auto found = connections.find(id);
      if (found == connections.end() || found->second.busy ||
          found->second.waiting.empty())
        return;
      found->second.busy = true;
      const WaitingCall next = std::move(found->second.waiting.front());
      found->second.waiting.pop_front();
      const CallBackend& call = next.call;
      found->second.http->Send(
          "POST", TargetOf(call.request), EncodeRequest(call.request), "",
          Left(next.deadline),
          [self, call, id](const Result<HttpResponse>& response) {
            const auto connection = self->connections.find(id);
            if (connection != self->connections.end())
              connection->second.busy = false;
            self->Answer(call, response);
            self->ReportIfLost(id);
            self->SendNext(self, id);
          });
    }
    void Answer(const CallBackend& call,
                const Result<HttpResponse>& response) const {
      Result<BackendResponse> result =
          response ? DecodeResponse(call.request, response.value(),
                                    call.instance.value())
                   : Result<BackendResponse>(
                         WithPeer(response.error(), call.instance));
      Emit(BackendAnswered{call.call, call.instance, std::move(result)});
    }
  };

  static Duration Left(TimePoint deadline) {
    return std::max(deadline - MonotonicClock::now(), Duration(1));
  }

  static Error WithPeer(Error error, const InstanceName& instance) {
    error.peer = instance.value();
    return error;
  }

  static Error Closed(const InstanceName& instance) {
    return {ErrorCode::kUnavailable, "backend.call", instance.value(),
            "connection is closed"};
  }

  static Error Unknown(const char* step, const InstanceName& instance) {
    return {ErrorCode::kUnavailable, step, instance.value(),
            "no address is known"};
  }

  void Open(const OpenBackend& open) {
    const auto address = m_addresses.find(open.instance);
    if (address == m_addresses.end())
      return m_state->Emit(
          BackendOpened{open.connection, open.instance,
                        Unknown("backend.open", open.instance)});
    auto http = HttpConnection::Create(m_context, address->second);
    // Calls wait until the connection is open.
    m_state->connections[open.connection] = {open.instance, http, true};
    const TimePoint deadline = MonotonicClock::now() + open.timeout;
    http->Connect(open.timeout, [state = m_state, open, http,
                                 deadline](const Result<void>& connected) {
      if (!connected)
        return FinishOpen(state, open,
                          WithPeer(connected.error(), open.instance));
      const BackendRequest request = OpenCall{};
      http->Send(
          "POST", TargetOf(request), EncodeRequest(request), "", Left(deadline),
          [state, open, request](const Result<HttpResponse>& response) {
            if (!response)
              return FinishOpen(state, open,
                                WithPeer(response.error(), open.instance));
            const auto decoded = DecodeResponse(request, response.value(),
                                                open.instance.value());
            if (!decoded)
              return FinishOpen(state, open, decoded.error());
            FinishOpen(state, open, Success());
          });
    });
  }

  static void FinishOpen(const std::shared_ptr<State>& state,
                         const OpenBackend& open,
                         Result<void> result) {
    const auto found = state->connections.find(open.connection);
    if (found == state->connections.end())
      return;  // It was closed while it was being opened.
    found->second.busy = false;
    if (!result) {
      const Connection failed = std::move(found->second);
      state->connections.erase(found);
      failed.http->Close();
      state->RefuseWaiting(failed);
    }
    state->Emit(
        BackendOpened{open.connection, open.instance, std::move(result)});
    state->SendNext(state, open.connection);
  }

  void Close(BackendConnectionId id) {
    const auto found = m_state->connections.find(id);
    if (found == m_state->connections.end())
      return;
    const Connection closed = std::move(found->second);
    m_state->connections.erase(found);
    closed.http->Close();
    m_state->RefuseWaiting(closed);
  }

  void Call(CallBackend call) {
    if (call.connection)
      return CallOnConnection(std::move(call));
    const auto finish = [state = m_state,
                         call](const Result<HttpResponse>& response) {
      state->Answer(call, response);
    };
    const std::string target = TargetOf(call.request);
    const std::string body = EncodeRequest(call.request);
    if (call.fresh)
      return CallFresh(call, target, body, finish);
    if (HttpClient* client = ClientFor(call))
      client->Send("POST", target, body, call.timeout, finish);
    else
      finish(Unknown("backend.call", call.instance));
  }

  void CallOnConnection(CallBackend call) {
    const BackendConnectionId id = *call.connection;
    const auto found = m_state->connections.find(id);
    if (found == m_state->connections.end())
      return m_state->Emit(
          BackendAnswered{call.call, call.instance, Closed(call.instance)});
    const TimePoint deadline = MonotonicClock::now() + call.timeout;
    auto timer =
        std::make_shared<boost::asio::steady_timer>(m_context, call.timeout);
    const bool waits = found->second.busy || !found->second.waiting.empty();
    found->second.waiting.push_back({std::move(call), deadline, timer});
    if (!waits)
      return m_state->SendNext(m_state, id);
    timer->async_wait([weak = std::weak_ptr(m_state), id,
                       timer = timer.get()](boost::system::error_code error) {
      const auto state = weak.lock();
      if (state && !error)
        state->RefuseLate(id, timer);
    });
  }

  template <typename Finish>
  void CallFresh(const CallBackend& call,
                 const std::string& target,
                 const std::string& body,
                 const Finish& finish) {
    const auto address = m_addresses.find(call.instance);
    if (address == m_addresses.end())
      return finish(Unknown("backend.call", call.instance));
    auto http = HttpConnection::Create(m_context, address->second);
    const TimePoint deadline = MonotonicClock::now() + call.timeout;
    http->Connect(call.timeout, [http, target, body, finish,
                                 deadline](const Result<void>& connected) {
      if (!connected)
        return finish(connected.error());
      http->Send("POST", target, body, "", Left(deadline),
                 [weak = std::weak_ptr(http),
                  finish](const Result<HttpResponse>& response) {
                   if (const auto used = weak.lock())
                     used->Close();
                   finish(response);
                 });
    });
  }

  HttpClient* ClientFor(const CallBackend& call) {
    const auto address = m_addresses.find(call.instance);
    if (address == m_addresses.end())
      return nullptr;
    const bool waits = WaitsForPosition(call.request);
    auto& client = m_clients[{call.instance, waits}];
    if (!client)
      client = std::make_unique<HttpClient>(
          m_context, address->second,
          waits ? kMaxWaitingReports : kMaxOtherCalls);
    return client.get();
  }

  boost::asio::io_context& m_context;
  const std::map<InstanceName, Endpoint> m_addresses;
  std::shared_ptr<State> m_state;
  // By instance, apart for calls that wait for a position.
  std::map<std::pair<InstanceName, bool>, std::unique_ptr<HttpClient>>
      m_clients;
};

}  // namespace

std::unique_ptr<BackendPort> CreateHttpBackendPort(
    boost::asio::io_context& context,
    std::map<InstanceName, Endpoint> addresses,
    BackendPort::OnEvent on_event) {
  return std::make_unique<HttpBackendPort>(context, std::move(addresses),
                                           std::move(on_event));
}

}  // namespace jackdawturn
