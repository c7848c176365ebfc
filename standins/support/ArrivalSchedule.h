/** \file
 * Arrival times of an open-loop caller: a Poisson process whose rate changes in steps.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace fulmarway::standins {

/** From `at_` on, the base rate is multiplied by `factor_`. */
struct RateStep
{
  std::chrono::nanoseconds at_{ 0 };
  double factor_ = 1;

  bool operator==(const RateStep&) const = default;
};

/** The same rate, steps and seed give the same arrivals. Arrivals do not depend on when earlier
 * ones are answered, so a stall of the system is not hidden by callers that wait. */
class ArrivalSchedule
{
public:
  /** aRate is in arrivals a second; aSteps are sorted by time. */
  ArrivalSchedule(double aRate,
                  std::vector<RateStep> aSteps,
                  std::chrono::nanoseconds aEnd,
                  std::uint64_t aSeed);

  /** Time of the next arrival since the start; nullopt after the end. */
  std::optional<std::chrono::nanoseconds> Next();

private:
  double rate_;
  std::vector<RateStep> steps_;
  std::chrono::nanoseconds end_;
  std::mt19937_64 random_;
  std::chrono::nanoseconds now_{ 0 };
  /** Index of the first step that is not yet in effect. */
  std::size_t nextStep_ = 0;
  double factor_ = 1;
};

} // namespace fulmarway::standins
