#include "support/ArrivalSchedule.h"

#include "support/Random.h"

namespace fulmarway::standins {

namespace {

constexpr double kNanosecondsPerSecond = 1e9;

} // namespace

ArrivalSchedule::ArrivalSchedule(double aRate,
                                 std::vector<RateStep> aSteps,
                                 std::chrono::nanoseconds aEnd,
                                 std::uint64_t aSeed)
  : rate_(aRate)
  , steps_(std::move(aSteps))
  , end_(aEnd)
  , random_(aSeed)
{
}

std::optional<std::chrono::nanoseconds>
ArrivalSchedule::Next()
{
  while (now_ < end_) {
    while (nextStep_ < steps_.size() && steps_[nextStep_].at_ <= now_) {
      factor_ = steps_[nextStep_++].factor_;
    }
    const std::chrono::nanoseconds boundary =
      nextStep_ < steps_.size() ? std::min(steps_[nextStep_].at_, end_) : end_;
    const double rate = rate_ * factor_;
    if (rate > 0) {
      const double gap = DrawExponential(random_, kNanosecondsPerSecond / rate);
      if (gap < static_cast<double>((boundary - now_).count())) {
        now_ += std::chrono::nanoseconds(static_cast<std::int64_t>(gap));
        return now_;
      }
    }
    // A Poisson process is memoryless, so the next gap is drawn anew where the rate changes.
    now_ = boundary;
  }
  return std::nullopt;
}

} // namespace fulmarway::standins
