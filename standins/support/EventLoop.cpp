#include "support/EventLoop.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <ctime>
#include <sys/epoll.h>
#include <system_error>
#include <unistd.h>

namespace fulmarway::standins {

namespace {

constexpr unsigned kGenerationShift = 32;
constexpr std::chrono::seconds kMaxPollWait{ 1 };

volatile std::sig_atomic_t stopSignalled = 0;

void
RecordStopSignal(int /*aSignal*/)
{
  stopSignalled = 1;
}

[[noreturn]] void
ThrowErrno(const char* aWhat)
{
  throw std::system_error(errno, std::generic_category(), aWhat);
}

epoll_event
EventFor(int aFd, std::uint32_t aGeneration, std::uint32_t aEvents)
{
  epoll_event event{};
  event.events = aEvents;
  event.data.u64 =
    (static_cast<std::uint64_t>(aGeneration) << kGenerationShift) | static_cast<std::uint32_t>(aFd);
  return event;
}

} // namespace

EventLoop::EventLoop()
  : epoll_(epoll_create1(EPOLL_CLOEXEC))
{
  if (epoll_ < 0) {
    ThrowErrno("epoll_create1");
  }
}

EventLoop::~EventLoop()
{
  close(epoll_);
}

void
EventLoop::Watch(int aFd, std::uint32_t aEvents, IoHandler aHandler)
{
  const std::uint32_t generation = nextGeneration_++;
  epoll_event event = EventFor(aFd, generation, aEvents);
  if (epoll_ctl(epoll_, EPOLL_CTL_ADD, aFd, &event) != 0) {
    ThrowErrno("epoll_ctl add");
  }
  watched_[aFd] = { generation, std::make_shared<IoHandler>(std::move(aHandler)) };
}

void
EventLoop::Modify(int aFd, std::uint32_t aEvents)
{
  epoll_event event = EventFor(aFd, watched_.at(aFd).generation_, aEvents);
  if (epoll_ctl(epoll_, EPOLL_CTL_MOD, aFd, &event) != 0) {
    ThrowErrno("epoll_ctl modify");
  }
}

void
EventLoop::Unwatch(int aFd)
{
  if (watched_.erase(aFd) > 0) {
    epoll_ctl(epoll_, EPOLL_CTL_DEL, aFd, nullptr);
  }
}

EventLoop::TimerId
EventLoop::CallAt(TimePoint aTime, TimerHandler aHandler)
{
  const TimerId id{ aTime, nextTimer_++ };
  timers_.emplace(id, std::move(aHandler));
  return id;
}

EventLoop::TimerId
EventLoop::CallAfter(Clock::duration aDelay, TimerHandler aHandler)
{
  return CallAt(Clock::now() + aDelay, std::move(aHandler));
}

void
EventLoop::Cancel(TimerId aTimer)
{
  timers_.erase(aTimer);
}

void
EventLoop::Run()
{
  while (!stopped_ && stopSignalled == 0) {
    FireTimers();
    if (!stopped_ && stopSignalled == 0) {
      Poll();
    }
  }
}

void
EventLoop::FireTimers()
{
  const TimePoint now = Clock::now();
  while (!stopped_ && !timers_.empty() && timers_.begin()->first.first <= now) {
    auto node = timers_.extract(timers_.begin());
    node.mapped()();
  }
}

void
EventLoop::Poll()
{
  Clock::duration wait = kMaxPollWait;
  if (!timers_.empty()) {
    wait = std::clamp<Clock::duration>(
      timers_.begin()->first.first - Clock::now(), Clock::duration::zero(), kMaxPollWait);
  }
  const auto seconds = std::chrono::floor<std::chrono::seconds>(wait);
  const timespec timeout{ static_cast<time_t>(seconds.count()),
                          static_cast<long>(std::chrono::nanoseconds(wait - seconds).count()) };
  std::array<epoll_event, 256> events;
  const int count =
    epoll_pwait2(epoll_, events.data(), static_cast<int>(events.size()), &timeout, nullptr);
  if (count < 0 && errno != EINTR) {
    ThrowErrno("epoll_pwait2");
  }
  for (int i = 0; i < count; ++i) {
    const std::uint64_t tag = events[static_cast<std::size_t>(i)].data.u64;
    const auto found = watched_.find(static_cast<int>(tag & 0xffffffffU));
    // An earlier handler of this batch may have closed the descriptor and opened another one with
    // the same number.
    if (found == watched_.end() || found->second.generation_ != tag >> kGenerationShift) {
      continue;
    }
    const std::shared_ptr<IoHandler> handler = found->second.handler_;
    (*handler)(events[static_cast<std::size_t>(i)].events);
  }
}

void
StopOnSignals()
{
  struct sigaction action = {};
  action.sa_handler = RecordStopSignal;
  sigaction(SIGTERM, &action, nullptr);
  sigaction(SIGINT, &action, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

} // namespace fulmarway::standins
