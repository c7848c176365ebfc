/** \file
 * A single-threaded event loop over epoll with timers of nanosecond resolution.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <utility>

namespace fulmarway::standins {

/** Uses epoll directly because Poco::Net::PollSet rounds timeouts to milliseconds, which is too
 * coarse to measure an added latency of 1.3 ms. */
class EventLoop
{
public:
  using Clock = std::chrono::steady_clock;
  using TimePoint = Clock::time_point;
  using IoHandler = std::function<void(std::uint32_t aEvents)>;
  using TimerHandler = std::function<void()>;
  /** Time and sequence number, so that timers with the same time fire in the order of creation. */
  using TimerId = std::pair<TimePoint, std::uint64_t>;

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /** Calls aHandler with the epoll events of aFd until Unwatch(). */
  void Watch(int aFd, std::uint32_t aEvents, IoHandler aHandler);
  void Modify(int aFd, std::uint32_t aEvents);
  void Unwatch(int aFd);

  TimerId CallAt(TimePoint aTime, TimerHandler aHandler);
  TimerId CallAfter(Clock::duration aDelay, TimerHandler aHandler);
  /** Does nothing when the timer has already fired. */
  void Cancel(TimerId aTimer);

  /** Runs until Stop() is called or, after StopOnSignals(), SIGTERM or SIGINT arrives. */
  void Run();
  void Stop() { stopped_ = true; }

private:
  struct Watched
  {
    std::uint32_t generation_ = 0;
    std::shared_ptr<IoHandler> handler_;
  };

  void FireTimers();
  void Poll();

  int epoll_ = -1;
  bool stopped_ = false;
  std::uint32_t nextGeneration_ = 1;
  std::uint64_t nextTimer_ = 1;
  std::unordered_map<int, Watched> watched_;
  std::map<TimerId, TimerHandler> timers_;
};

/** Makes SIGTERM and SIGINT end EventLoop::Run(), and ignores SIGPIPE. */
void
StopOnSignals();

} // namespace fulmarway::standins
