/** \file
 * Guards against a slow or unresponsive target that keeps its share of the attempts, and against
 * one that never regains it.
 */
#include "policy/Routing.h"

#include <criterion/criterion.h>
#include <functional>
#include <map>

using namespace fulmarway;
using namespace std::chrono_literals;

namespace {

constexpr int kTargets = 4;
constexpr std::uint64_t kSlowTarget = 1;
constexpr Instant kStart{ std::chrono::hours(1) };

/** Simulates 200 attempts per second to four targets with a mean latency of 20 ms; 2% of the
 * attempts take 100 times longer. */
class RoutingLoop
{
public:
  /** Latency of the slow target as a multiple of that of the others; 0 if it never answers. */
  using Slowness = std::function<int(Instant)>;

  explicit RoutingLoop(Slowness aSlowness)
    : slowness_(std::move(aSlowness))
  {
    for (std::uint64_t id = 1; id <= kTargets; ++id) {
      candidates_.push_back({ NodeId{ id }, true, true, false });
    }
  }

  /** Share of the attempts started within aDuration that go to the slow target. */
  double Share(Duration aDuration)
  {
    int all = 0;
    int slow = 0;
    for (const Instant end = now_ + aDuration; now_ < end; now_ += 5ms) {
      EndDue();
      const NodeId target =
        ChooseTarget(state_, candidates_, { {}, {}, {}, {}, Random() }, now_).target_;
      state_ = RecordAttemptStart(std::move(state_), target, now_);
      ++all;
      slow += target.value_ == kSlowTarget;
      Schedule(target);
    }
    return static_cast<double>(slow) / all;
  }

private:
  void Schedule(NodeId aTarget)
  {
    Duration latency = 10ms + Duration{ Random() % 20'000 };
    latency *= Random() % 50 == 0 ? 100 : 1;
    if (aTarget.value_ == kSlowTarget) {
      const int slowness = slowness_(now_);
      latency = slowness == 0 ? Duration{ 1h } : latency * slowness;
    }
    running_.emplace(now_ + latency, std::pair{ aTarget, latency });
  }

  void EndDue()
  {
    while (!running_.empty() && running_.begin()->first <= now_) {
      const auto [target, latency] = running_.begin()->second;
      const Instant at = running_.begin()->first;
      running_.erase(running_.begin());
      state_ = RecordAttemptEnd(
        std::move(state_), { target, AttemptOutcome::kSucceeded, latency }, candidates_, at);
    }
  }

  std::uint64_t Random()
  {
    random_ ^= random_ << 13;
    random_ ^= random_ >> 7;
    random_ ^= random_ << 17;
    return random_;
  }

  Slowness slowness_;
  std::vector<RouteCandidate> candidates_;
  RoutingState state_;
  Instant now_ = kStart;
  std::multimap<Instant, std::pair<NodeId, Duration>> running_;
  std::uint64_t random_ = 88172645463325252ULL;
};

struct SlowCase
{
  const char* name_;
  int slowness_;
};

} // namespace

Test(routing_slow_target, share_falls_within_a_second_and_returns)
{
  for (const SlowCase& slow : { SlowCase{ "ten times slower", 10 }, SlowCase{ "silent", 0 } }) {
    RoutingLoop loop([&](Instant aNow) {
      const bool during = aNow >= kStart + 15s && aNow < kStart + 18s;
      return during ? slow.slowness_ : 1;
    });
    loop.Share(12s);
    const double before = loop.Share(3s);
    const double first = loop.Share(1s);
    const double later = loop.Share(2s);
    loop.Share(15s);
    const double after = loop.Share(5s);
    cr_log_info("%s: share before %.3f, in the first second %.3f, then %.3f, after %.3f",
                slow.name_,
                before,
                first,
                later,
                after);
    cr_assert(before > 0.15, "%s: %f", slow.name_, before);
    cr_assert(first < 0.10, "%s: %f", slow.name_, first);
    cr_assert(later < 0.05, "%s: %f", slow.name_, later);
    cr_assert(slow.slowness_ == 0 || after > 0.15, "%s: %f", slow.name_, after);
  }
}

Test(routing_slow_target, hedge_delay_follows_the_95th_percentile)
{
  const std::vector<RouteCandidate> targets{ { NodeId{ 1 }, true, true, false } };
  RoutingState state;
  cr_assert_not(HedgeDelay(state, NodeId{ 1 }).has_value());
  for (int i = 0; i < 2000; ++i) {
    const Instant at = kStart + i * 10ms;
    const Duration latency = 10ms + (i * 7919 % 100) * 100us;
    state = RecordAttemptStart(std::move(state), NodeId{ 1 }, at - latency);
    state = RecordAttemptEnd(
      std::move(state), { NodeId{ 1 }, AttemptOutcome::kSucceeded, latency }, targets, at);
  }
  const auto delay = HedgeDelay(state, NodeId{ 1 });
  cr_assert(delay.has_value() && *delay > 17ms && *delay < 23ms);
  cr_assert_eq(OutstandingAttempts(state, NodeId{ 1 }), 0);
}

/** Guards against hedges that take capacity from other root requests under overload. */
Test(routing_slow_target, spare_capacity_follows_the_last_report)
{
  const std::vector<RouteCandidate> targets{ { NodeId{ 1 }, true, true, false } };
  struct SpareCase
  {
    const char* name_;
    LoadReport load_;
    bool isSpare_;
  };
  for (const SpareCase& item :
       { SpareCase{ "free slot", { kHighestAdmissionLevel, 4, 3, 0 }, true },
         SpareCase{ "no free slot", { kHighestAdmissionLevel, 4, 4, 0 }, false },
         SpareCase{ "queue", { kHighestAdmissionLevel, 4, 3, 1 }, false },
         SpareCase{ "lowered level", { AdmissionLevel{ 200 }, 4, 0, 0 }, false } }) {
    RoutingState state;
    cr_assert(HasSpareCapacity(state, NodeId{ 1 }, 0, kStart), "%s", item.name_);
    state = RecordAttemptStart(std::move(state), NodeId{ 1 }, kStart);
    state = RecordAttemptEnd(std::move(state),
                             { NodeId{ 1 }, AttemptOutcome::kSucceeded, 1ms, item.load_ },
                             targets,
                             kStart);
    cr_assert_eq(
      HasSpareCapacity(state, NodeId{ 1 }, 0, kStart + 500ms), item.isSpare_, "%s", item.name_);
    // A report that is no longer recent is ignored.
    cr_assert(HasSpareCapacity(state, NodeId{ 1 }, 0, kStart + 5s), "%s", item.name_);
  }
}
