#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "gateway/gateway.h"

#include "gateway/virtual_timers.h"

namespace jackdawturn::gateway {

// An instance that runs a few batches at a time and queues some more in the
// order of their arrival, on a virtual clock. Opening a connection takes a slot
// as well.
class SlottedServer {
 public:
  struct Options {
    size_t slots = 4;
    size_t queue_capacity = 64;
    Duration open_work = std::chrono::milliseconds(12);
    // The mean work of a statement. The work varies by half of it.
    std::function<Duration(const std::string& text, Duration since_start)>
        work = [](const std::string&, Duration) {
          return std::chrono::milliseconds(10);
        };
    // Of this many answers, one is lost; 0: none.
    size_t lost_every = 0;
  };

  SlottedServer(VirtualTimers& timers, Options options)
      : m_timers(timers), m_options(std::move(options)) {
    server.id = InstanceName("a");
    server.group = GroupName("loans");
  }

  OpenBackendSession Opener() {
    return [this](const BackendServer&, Duration, auto on_open) {
      if (!reachable) {
        m_timers.After(
            std::chrono::milliseconds(1), [on_open = std::move(on_open)] {
              const Error error{ErrorCode::kUnavailable, "fake", "", "refused"};
              on_open(error);
            });
        return;
      }
      Run({m_options.open_work, [this, on_open = std::move(on_open)](bool ran) {
             if (ran)
               return on_open(std::unique_ptr<BackendSession>(
                   std::make_unique<Session>(*this)));
             const Error error{ErrorCode::kExhausted, "fake", "", "full"};
             on_open(error);
           }});
    };
  }

  BackendServer server;
  bool reachable = true;
  TimePoint started;
  // The longest queue, and batches that found no room in it.
  size_t longest_queue = 0;
  size_t refused = 0;
  size_t ran = 0;

 private:
  struct Job {
    Duration work{0};
    std::function<void(bool ran)> on_end;
  };

  class Session : public BackendSession {
   public:
    explicit Session(SlottedServer& owner)
        : m_owner(owner), m_alive(std::make_shared<bool>(true)) {}
    ~Session() override { Close(); }

    void Send(std::vector<BackendCommand> commands,
              OnReplies on_replies) override {
      const size_t count = commands.size();
      m_owner.Run({m_owner.WorkOf(commands.back().text),
                   [this, alive = m_alive, count,
                    on_replies = std::move(on_replies)](bool done) {
                     if (!*alive || (done && m_owner.LosesAnswer()))
                       return;
                     BackendReply reply;
                     reply.code = done ? ReplyCode::kDone : ReplyCode::kBusy;
                     on_replies(std::vector<BackendReply>(count, reply));
                   }});
    }
    bool is_open() const override { return *m_alive; }
    void Close() override { *m_alive = false; }

   private:
    SlottedServer& m_owner;
    std::shared_ptr<bool> m_alive;
  };

  Duration WorkOf(const std::string& text) {
    std::uniform_real_distribution<double> factor(0.5, 1.5);
    return std::chrono::duration_cast<Duration>(
        m_options.work(text, m_timers.now() - started) * factor(m_random));
  }

  bool LosesAnswer() {
    ++ran;
    return m_options.lost_every > 0 && ran % m_options.lost_every == 0;
  }

  void Run(Job job) {
    if (m_busy < m_options.slots)
      return Begin(std::move(job));
    if (m_queue.size() >= m_options.queue_capacity) {
      ++refused;
      m_timers.After(std::chrono::milliseconds(1),
                     [on_end = std::move(job.on_end)] { on_end(false); });
      return;
    }
    m_queue.push_back(std::move(job));
    longest_queue = std::max(longest_queue, m_queue.size());
  }

  void Begin(Job job) {
    ++m_busy;
    m_timers.After(job.work, [this, on_end = std::move(job.on_end)] {
      --m_busy;
      // What was queued comes before what the answer leads to.
      while (m_busy < m_options.slots && !m_queue.empty()) {
        Job next = std::move(m_queue.front());
        m_queue.pop_front();
        Begin(std::move(next));
      }
      on_end(true);
    });
  }

  VirtualTimers& m_timers;
  const Options m_options;
  size_t m_busy = 0;
  std::deque<Job> m_queue;
  std::mt19937_64 m_random{1};
};

}  // namespace jackdawturn::gateway
