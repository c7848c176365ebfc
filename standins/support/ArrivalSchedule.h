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

/** Deterministic for a given rate, steps and seed. Arrivals are independent of the responses to
 * earlier ones, which avoids coordinated omission: a stall of the system does not reduce the load.
 */
class ArrivalSchedule
{
public:
  /** aRate is in arrivals per second; aSteps must be sorted by time. */
  ArrivalSchedule(double aRate,
                  std::vector<RateStep> aSteps,
                  std::chrono::nanoseconds aEnd,
                  std::uint64_t aSeed);

  /** Returns the time of the next arrival, relative to the start; nullopt when there is none before
   * the end. */
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
