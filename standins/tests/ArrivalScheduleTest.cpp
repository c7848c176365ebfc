/** \file
 * Guards against a load that differs from the configured one: a wrong rate, a step at the wrong
 * time, or arrivals that differ between two runs with the same seed.
 */
#include "support/ArrivalSchedule.h"

#include <algorithm>
#include <cmath>
#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace fulmarway::standins;
using namespace std::chrono_literals;
using Times = std::vector<std::chrono::nanoseconds>;

namespace {

Times
AllOf(ArrivalSchedule aSchedule)
{
  Times times;
  while (const auto next = aSchedule.Next()) {
    times.push_back(*next);
  }
  return times;
}

double
CountBetween(const Times& aTimes, std::chrono::nanoseconds aFrom, std::chrono::nanoseconds aTo)
{
  return static_cast<double>(std::ranges::count_if(
    aTimes, [&](std::chrono::nanoseconds aTime) { return aFrom <= aTime && aTime < aTo; }));
}

/** Within four standard deviations of a Poisson-distributed count. */
bool
IsNear(double aCount, double aMean)
{
  return std::abs(aCount - aMean) < 4 * std::sqrt(aMean);
}

} // namespace

Test(arrival_schedule, same_seed_gives_same_arrivals)
{
  const Times first = AllOf({ 200, { { 2s, 3 } }, 5s, 7 });
  cr_assert(first == AllOf({ 200, { { 2s, 3 } }, 5s, 7 }));
  cr_assert(first != AllOf({ 200, { { 2s, 3 } }, 5s, 8 }));
}

Test(arrival_schedule, rate_follows_the_steps)
{
  const Times times = AllOf({ 100, { { 10s, 10 }, { 20s, 0 }, { 25s, 0.5 } }, 45s, 1 });
  cr_assert(IsNear(CountBetween(times, 0s, 10s), 1000));
  cr_assert(IsNear(CountBetween(times, 10s, 20s), 10000));
  cr_assert_eq(CountBetween(times, 20s, 25s), 0);
  cr_assert(IsNear(CountBetween(times, 25s, 45s), 1000));
}

Test(arrival_schedule, a_step_takes_effect_at_once)
{
  // A gap drawn at the low rate must not delay the first arrivals at the high rate.
  const Times times = AllOf({ 0.1, { { 1s, 10000 } }, 2s, 3 });
  cr_assert_gt(CountBetween(times, 1s, 1100ms), 50);
}

Test(arrival_schedule, gaps_are_exponential)
{
  const Times times = AllOf({ 1000, {}, 60s, 11 });
  double longer = 0;
  for (std::size_t i = 1; i < times.size(); ++i) {
    longer += times[i] - times[i - 1] > 1ms ? 1 : 0;
  }
  // A fraction exp(-1) of exponential gaps exceeds the mean.
  const double expected = static_cast<double>(times.size()) * std::exp(-1.0);
  cr_assert(IsNear(longer, expected));
}

Test(arrival_schedule, arrivals_are_in_order_and_before_the_end)
{
  const bool holds = rc::check([] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto endMs = *rc::gen::inRange(0, 3000);
    const auto stepMs = *rc::gen::inRange(0, 4000);
    const std::chrono::nanoseconds end = std::chrono::milliseconds(endMs);
    const Times times = AllOf({ 50, { { std::chrono::milliseconds(stepMs), 4 } }, end, seed });
    RC_ASSERT(std::ranges::is_sorted(times));
    // The inner parentheses keep || short-circuited; RC_ASSERT overloads it.
    RC_ASSERT((times.empty() || times.back() < end));
  });
  cr_assert(holds);
}
