/** \file
 * Load pattern: other users slow the machine of a backend server for a fraction of a second. Guards
 * against a concurrency limit that is lowered for it, and against reports that hide an overload.
 */
#include "policy/NoisyNeighbour.h"

#include "policy/tests/AdmissionFixture.h"

#include <criterion/criterion.h>
#include <map>

using namespace fulmarway;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kSlots = 40;
constexpr std::int64_t kUsualMs = 20;
constexpr std::int64_t kSlowMs = 100;

/** Lowest limit of a backend server at 50% load whose requests take kSlowMs from second 2 to 3. */
std::uint32_t
LowestLimit(bool aReportsLoad)
{
  AdmissionState state = MakeAdmission({ kSlots, 0, 25 }, At(0));
  std::multimap<std::int64_t, RequestId> ends;
  std::uint32_t lowest = kSlots;
  std::uint64_t nextId = 1;
  const auto start = [&](const AdmissionDecision& aDecision, std::int64_t aNow) {
    const bool isSlow = aNow >= 2000 && aNow < 3000;
    for (const RequestId id : aDecision.start_) {
      ends.emplace(aNow + (isSlow ? kSlowMs : kUsualMs), id);
    }
  };
  for (std::int64_t now = 0; now < 5000; ++now) {
    const bool isSlow = now >= 2000 && now < 3000;
    while (!ends.empty() && ends.begin()->first <= now) {
      const RequestId id = ends.begin()->second;
      ends.erase(ends.begin());
      if (aReportsLoad && isSlow) {
        RecordReportedSlowdown(state.limit_, static_cast<double>(kSlowMs) / kUsualMs, At(now));
      }
      auto step = Finish(std::move(state), id, CompletionKind::kSucceeded, At(now));
      state = std::move(step.state_);
      start(step.result_, now);
    }
    auto offered =
      Offer(std::move(state), MakeArrival(nextId++, Importance::kNormal, now + 1000), At(now));
    state = std::move(offered.state_);
    start(offered.result_, now);
    if (now % 100 == 0) {
      auto advanced = Advance(std::move(state), At(now));
      state = std::move(advanced.state_);
      start(advanced.result_, now);
      lowest = std::min(lowest, LimitOf(state));
    }
  }
  return lowest;
}

} // namespace

Test(noisy_neighbour, the_limit_is_not_lowered_for_a_slowdown_that_the_backend_server_explains)
{
  cr_expect_eq(LowestLimit(true), kSlots);
  cr_expect_lt(LowestLimit(false), kSlots, "without the report");
}

Test(noisy_neighbour, reports_that_do_not_explain_the_slowness_are_not_used)
{
  const BackendLoad slow{ 10, 0, kSlots, 300 };
  cr_expect(IsSlowedByNeighbours(slow, 60ms, 20ms));
  cr_expect(IsSlowedByNeighbours(slow, 110ms, 20ms));
  cr_expect_not(IsSlowedByNeighbours(slow, 130ms, 20ms), "slower than the report explains");
  cr_expect_not(IsSlowedByNeighbours(slow, 60ms, 0ms), "the usual time is unknown");
  cr_expect_not(IsSlowedByNeighbours({ 10, 1, kSlots, 300 }, 60ms, 20ms), "it has a queue");
  cr_expect_not(IsSlowedByNeighbours({ 10, 0, kSlots, 120 }, 60ms, 20ms));
}
