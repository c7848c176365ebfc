/** \file
 * Guards against loss of goodput under overload, and against shedding confirmations (class
 * critical) before other requests.
 */
#include "BackendSimulation.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <map>
#include <numeric>

using namespace fulmarway;

namespace {

/** Requests per second that the default plan can serve. */
constexpr double kCapacity = 2000;
constexpr std::size_t kCritical = 0;

std::uint32_t
Succeeded(const SimulationWindow& aWindow)
{
  return std::accumulate(aWindow.succeeded_.begin(), aWindow.succeeded_.end(), 0U);
}

double
CriticalShare(const SimulationWindow& aWindow)
{
  return static_cast<double>(aWindow.succeeded_[kCritical]) / aWindow.offered_[kCritical];
}

} // namespace

Test(admission_overload, work_stays_near_capacity_and_ends_in_time)
{
  for (const bool entryLevel : { false, true }) {
    for (const double load : { 2.0, 4.0, 10.0 }) {
      const SimulationPlan plan{ .rate_ = [=](double) { return kCapacity * load; },
                                 .entryLevel_ = entryLevel };
      const SimulationWindow sum = SumWindows(Simulate(plan), 1, 9);
      cr_expect_geq(sum.workMs_ / (8 * 40 * 1000), 0.95, "load %.0f", load);
      cr_expect_geq(Succeeded(sum), 0.99 * sum.started_, "load %.0f", load);
      cr_expect_geq(CriticalShare(sum), 0.999, "load %.0f", load);
    }
  }
}

Test(admission_overload, confirmations_complete_from_the_first_second_of_a_step)
{
  for (const bool entryLevel : { false, true }) {
    const SimulationPlan plan{
      .rate_ = [](double aSeconds) { return kCapacity * (aSeconds < 3 ? 0.7 : 7.0); },
      .entryLevel_ = entryLevel
    };
    const auto windows = Simulate(plan);
    for (double second = 3; second < 9; ++second) {
      const SimulationWindow sum = SumWindows(windows, second, second + 1);
      cr_expect_geq(CriticalShare(sum), 0.99, "second %.0f", second);
    }
  }
}

Test(admission_overload, full_goodput_within_a_second_after_overload)
{
  const SimulationPlan plan{ .rate_ = [](double aSeconds) {
    return kCapacity * (aSeconds < 5 ? 10.0 : 0.8);
  } };
  const auto windows = Simulate(plan);
  const SimulationWindow sum = SumWindows(windows, 6, 9);
  const auto offered = std::accumulate(sum.offered_.begin(), sum.offered_.end(), 0U);
  cr_expect_geq(Succeeded(sum), 0.99 * offered);
}

// docs/design.md, fault F10: the backend server is ten times slower for a second.
Test(admission_overload, full_goodput_within_a_second_after_a_slowdown)
{
  for (const double load : { 0.7, 2.0 }) {
    const SimulationPlan plan{
      .rate_ = [=](double) { return kCapacity * load; },
      .slowdown_ = [](double aSeconds) { return aSeconds >= 3 && aSeconds < 4 ? 10.0 : 1.0; }
    };
    const auto windows = Simulate(plan);
    const SimulationWindow sum = SumWindows(windows, 5, 9);
    cr_expect_geq(sum.workMs_ / (4 * 40 * 1000), 0.95 * std::min(load, 1.0), "load %.1f", load);
    cr_expect_geq(CriticalShare(sum), 0.99, "load %.1f", load);
  }
}

/** Guards against lost goodput with few slots: a queue as long as the slots runs empty between
 * random arrivals, and a level that is raised by too many ranks admits more than the slots can
 * serve. */
Test(admission_overload, few_slots_keep_95_percent_of_the_best_goodput)
{
  for (const bool entryLevel : { false, true }) {
    std::map<double, double> goodput;
    for (const double load : { 1.0, 2.0, 4.0, 10.0 }) {
      SimulationPlan plan{ .settings_ = { 4, 0, 25 },
                           .rate_ = [=](double) { return 100 * load; },
                           .entryLevel_ = entryLevel };
      plan.serviceMs_ = 40;
      plan.durationMs_ = 40000;
      const SimulationWindow sum = SumWindows(Simulate(plan), 1, 39);
      goodput[load] = Succeeded(sum);
      cr_expect_geq(CriticalShare(sum), 0.999, "entry level %d, load %.0f", entryLevel, load);
    }
    const double best = std::max_element(goodput.begin(), goodput.end(), [](auto& aL, auto& aR) {
                          return aL.second < aR.second;
                        })->second;
    for (const double load : { 2.0, 4.0, 10.0 }) {
      cr_expect_geq(goodput[load] / best, 0.95, "entry level %d, load %.0f", entryLevel, load);
    }
  }
}
