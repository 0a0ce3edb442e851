#include "port_fakes/fake_platform.h"

#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace jackdawturn {

struct FakePlatform::World : std::enable_shared_from_this<World> {
  using Respond = std::function<void(Result<PlatformResponse>)>;
  struct Watch {
    WatchObjects request;
    Respond respond;
  };

  FakeAfter after;
  Duration answer_time{0};
  bool available = true;
  PlatformStore store;
  std::map<uint64_t, Watch> watches;
  uint64_t last_watch = 0;

  void After(Duration delay, std::function<void()> task) {
    after(delay, [world = weak_from_this(), task = std::move(task)] {
      if (const auto alive = world.lock())
        task();
    });
  }

  template <typename T>
  static void Answer(const Respond& respond, Result<T> result) {
    // A lost answer is modelled by silence, as the caller would see it.
    if (!result && result.error().code == ErrorCode::kTimeout)
      return;
    if (!result)
      respond(result.error());
    else
      respond(PlatformResponse(std::move(result).value()));
  }

  void Handle(const PlatformRequest& request, const Respond& respond) {
    if (!available)
      return;
    if (const auto* read = std::get_if<ReadObject>(&request)) {
      Answer(respond, store.Read(read->key));
    } else if (const auto* update = std::get_if<UpdateObject>(&request)) {
      Answer(respond,
             store.Update(update->key, update->expected, update->value));
      std::erase_if(watches, [this](const auto& entry) {
        return AnswerWatch(entry.second, false);
      });
    } else if (const auto* watch = std::get_if<WatchObjects>(&request)) {
      StartWatch({*watch, respond});
    } else {
      auto vms = store.ListVms();
      Answer(respond, vms ? Result<VmList>(VmList{std::move(vms).value()})
                          : Result<VmList>(vms.error()));
    }
  }

  void StartWatch(Watch watch) {
    if (AnswerWatch(watch, false))
      return;
    const uint64_t number = ++last_watch;
    const Duration wait = watch.request.wait;
    watches[number] = std::move(watch);
    After(wait, [this, number] {
      const auto found = watches.find(number);
      if (found == watches.end())
        return;
      const Watch late = std::move(found->second);
      watches.erase(found);
      if (available)
        AnswerWatch(late, true);
    });
  }

  bool AnswerWatch(const Watch& watch, bool even_if_empty) {
    auto changes =
        store.ChangesAfter(watch.request.prefix, watch.request.after);
    if (!changes || (changes.value().empty() && !even_if_empty))
      return false;
    watch.respond(PlatformResponse(
        ObjectChanges{store.revision(), std::move(changes).value()}));
    return true;
  }
};

class FakePlatform::Port : public PlatformPort {
 public:
  Port(std::shared_ptr<World> world, OnEvent on_event)
      : m_world(std::move(world)),
        m_state(std::make_shared<State>(State{std::move(on_event), {}})) {}

  void Send(CallPlatform call) override {
    // Numbers of the caller need not be unique.
    const uint64_t number = ++m_last_flight;
    m_state->flights[number] = call.call;
    const std::weak_ptr<State> state = m_state;
    const auto finish = [state, number](Result<PlatformResponse> result) {
      if (const auto alive = state.lock())
        alive->Finish(number, std::move(result));
    };
    m_world->After(call.timeout, [finish] {
      finish(Error{ErrorCode::kTimeout, "platform.call", "platform",
                   "no answer in time"});
    });
    m_world->After(m_world->answer_time, [world = m_world.get(), finish,
                                          request = std::move(call.request)] {
      world->Handle(request, [world,
                              finish](const Result<PlatformResponse>& result) {
        world->After(world->answer_time, [finish, result] { finish(result); });
      });
    });
  }

 private:
  struct State {
    OnEvent on_event;
    // Numbers of the calls that are not answered yet.
    std::map<uint64_t, uint64_t> flights;

    void Finish(uint64_t number, Result<PlatformResponse> result) {
      const auto found = flights.find(number);
      if (found == flights.end())
        return;
      const uint64_t call = found->second;
      flights.erase(found);
      on_event({call, std::move(result)});
    }
  };

  std::shared_ptr<World> m_world;
  std::shared_ptr<State> m_state;
  uint64_t m_last_flight = 0;
};

FakePlatform::FakePlatform(FakeAfter after, Duration answer_time)
    : m_world(std::make_shared<World>()) {
  m_world->after = std::move(after);
  m_world->answer_time = answer_time;
}

PlatformStore& FakePlatform::store() {
  return m_world->store;
}

void FakePlatform::SetAvailable(bool available) {
  m_world->available = available;
}

std::unique_ptr<PlatformPort> FakePlatform::CreatePort(
    PlatformPort::OnEvent on_event) {
  return std::make_unique<Port>(m_world, std::move(on_event));
}

}  // namespace jackdawturn
