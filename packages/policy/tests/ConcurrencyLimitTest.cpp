/** \file
 * Guards against a concurrency limit that does not react to a slowdown, that stays low after it, or
 * that collapses without cause.
 */
#include "BackendSimulation.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace fulmarway;

namespace {

constexpr double kCapacity = 2000;

std::function<double(double)>
Constant(double aValue)
{
  return [aValue](double) { return aValue; };
}

/** aDuring from second 3 until aEnd, otherwise aBefore. */
std::function<double(double)>
Between(double aBefore, double aDuring, double aEnd)
{
  return [=](double aSeconds) { return aSeconds >= 3 && aSeconds < aEnd ? aDuring : aBefore; };
}

std::uint32_t
LowestLimit(const std::vector<SimulationWindow>& aWindows, double aFrom, double aTo)
{
  std::uint32_t lowest = ~0U;
  for (auto i = static_cast<std::size_t>(aFrom * 10); i < static_cast<std::size_t>(aTo * 10); ++i) {
    lowest = std::min(lowest, aWindows.at(i).limit_);
  }
  return lowest;
}

double
WorkShare(const std::vector<SimulationWindow>& aWindows, double aFrom, double aTo, double aSlots)
{
  return SumWindows(aWindows, aFrom, aTo).workMs_ / ((aTo - aFrom) * 1000 * aSlots);
}

struct HealthyCase
{
  const char* name_;
  std::uint32_t slots_;
  double rate_;
  double serviceMs_;
  bool exponential_;
  double stragglers_;
  double longShare_;
};

} // namespace

Test(concurrency_limit, is_not_lowered_while_the_backend_server_is_healthy)
{
  const HealthyCase cases[] = {
    { "low load", 40, 400, 20, false, 0, 0 },
    { "full load", 40, 2000, 20, false, 0, 0 },
    { "overload", 40, 8000, 20, false, 0, 0 },
    { "few samples", 40, 3, 20, true, 0, 0 },
    { "few slots, few samples", 15, 20, 100, true, 0, 0 },
    { "exponential service times", 110, 900, 100, true, 0, 0 },
    { "2% stragglers", 40, 500, 20, false, 0.02, 0 },
    { "2% stragglers under overload", 40, 2000, 20, false, 0.02, 0 },
    { "2% stragglers, exponential", 110, 1500, 20, true, 0.02, 0 },
    { "2% of a long kind", 40, 1000, 20, false, 0, 0.02 },
  };
  for (const HealthyCase& example : cases) {
    const SimulationPlan plan{ .settings_ = { example.slots_, 0, 25 },
                               .rate_ = Constant(example.rate_),
                               .serviceMs_ = example.serviceMs_,
                               .exponential_ = example.exponential_,
                               .stragglers_ = example.stragglers_,
                               .longShare_ = example.longShare_,
                               .deadlineMs_ = 4000,
                               .durationMs_ = 20000 };
    cr_expect_eq(LowestLimit(Simulate(plan), 0, 20), example.slots_, "%s", example.name_);
  }
}

// A tenth of the processor capacity for all requests together: fewer concurrent requests are
// faster.
Test(concurrency_limit, falls_within_a_second_when_concurrency_is_the_cause)
{
  for (const double load : { 0.7, 2.0 }) {
    const SimulationPlan plan{ .rate_ = Constant(kCapacity * load),
                               .processors_ = Between(40, 4, 5),
                               .durationMs_ = 8000 };
    const auto windows = Simulate(plan);
    cr_expect_leq(LowestLimit(windows, 3, 4), 10U, "load %.1f", load);
    // The lower limit keeps the backend server busy.
    cr_expect_geq(WorkShare(windows, 3, 5, 4), 0.85, "load %.1f", load);
    cr_expect_eq(LowestLimit(windows, 6, 8), 40U, "load %.1f", load);
  }
}

// Every request takes ten times longer, whatever the concurrency.
Test(concurrency_limit, is_restored_within_a_second_when_lowering_it_does_not_help)
{
  for (const double load : { 0.7, 2.0 }) {
    const SimulationPlan plan{ .rate_ = Constant(kCapacity * load),
                               .slowdown_ = Between(1, 10, 5),
                               .durationMs_ = 8000 };
    const auto windows = Simulate(plan);
    cr_expect_lt(LowestLimit(windows, 3, 4), 40U, "load %.1f", load);
    cr_expect_eq(LowestLimit(windows, 4, 8), 40U, "load %.1f", load);
    cr_expect_geq(WorkShare(windows, 4, 5, 4), 0.95, "load %.1f", load);
  }
}

// The backend server declares four times the slots that it can serve concurrently.
Test(concurrency_limit, follows_a_backend_server_that_is_smaller_than_declared)
{
  const SimulationPlan plan{ .rate_ = [](double aSeconds) { return aSeconds < 2 ? 300.0 : 2000.0; },
                             .processors_ = Constant(10),
                             .durationMs_ = 12000 };
  const auto windows = Simulate(plan);
  cr_expect_geq(WorkShare(windows, 3, 12, 10), 0.93);
  cr_expect_leq(LowestLimit(windows, 2, 3), 20U);
}

// With few slots, blocks of fast requests are common; a baseline that follows them makes all other
// blocks look slow.
Test(concurrency_limit, does_not_collapse_with_few_slots_and_variable_service_times)
{
  const SimulationPlan plan{ .settings_ = { 15, 0, 25 },
                             .rate_ = Constant(135),
                             .serviceMs_ = 100,
                             .exponential_ = true,
                             .deadlineMs_ = 2000,
                             .durationMs_ = 20000 };
  cr_expect_geq(WorkShare(Simulate(plan), 1, 18, 15), 0.8);
}

Test(concurrency_limit, stays_within_its_bounds)
{
  const auto at = [](std::int64_t aMs) { return Instant{ std::chrono::milliseconds(aMs) }; };
  AdmissionState state = MakeAdmission({ 40, 0, 25 }, at(0));
  cr_assert_eq(LimitOf(state), 40U);
  const std::pair<AdmissionSettings, std::uint32_t> cases[] = {
    { { 40, 10, 25 }, 10 }, { { 40, 100, 25 }, 40 }, { { 8, 0, 25 }, 8 },
    { { 0, 0, 25 }, 1 },    { { 40, 1, 25 }, 1 },    { { 40, 0, 25 }, 40 },
  };
  for (const auto& [settings, expected] : cases) {
    state = Configure(std::move(state), settings, at(1)).state_;
    cr_assert_eq(LimitOf(state), expected);
  }
}
