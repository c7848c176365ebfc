#include "policy/AdmissionLevelControl.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace fulmarway {

namespace {

/** A queue as long as the slots takes one service time to drain. A queue of half that length or
 * more is a standing queue; a shorter one comes from random arrivals at a high but sustainable
 * load. */
constexpr int kServiceTimeDivisor = 2;
/** With few slots, half a service time allows a queue too short to keep the slots busy under random
 * arrivals. */
constexpr std::uint32_t kMinStandingQueueLength = 8;
constexpr Duration kMinDelayTarget = std::chrono::milliseconds(5);
/** Deadlines are a few seconds for a chain of several calls; a longer delay in each queue would use
 * them up. */
constexpr Duration kMaxDelayTarget = std::chrono::milliseconds(100);
constexpr Duration kDefaultDelayTarget = std::chrono::milliseconds(20);
constexpr Duration kLevelWindow = std::chrono::milliseconds(100);
/** Minimum share of the admitted arrivals that stays admitted when the level is lowered. A stalled
 * backend server starts nothing for a while, so its starts alone would not show its capacity. */
constexpr double kMinAdmittedShare = 0.5;
/** Weight of a window relative to the next. A faster decay leaves too few starts to estimate the
 * capacity of a small backend server. */
constexpr double kWindowDecay = 0.7;
/** A queue that shrinks to this ratio or less within a window is draining; lowering the level
 * further would leave slots idle afterwards. */
constexpr double kDrainingRatio = 0.9;
/** When the queueing delay is below this share of its target, slots are about to become idle. */
constexpr double kNearlyEmptyRatio = 0.25;
/** Number of ranks just below the level whose arrivals are used to estimate the arrivals per rank.
 */
constexpr std::uint16_t kDensityRanks = 32;
static_assert(kDensityRanks <= kLowestAdmissionLevel.admitBelow_);
/** Largest increase in ranks per window; it takes 3 windows from the lowest level to the highest.
 */
constexpr std::uint32_t kMaxRaiseRanks = 64;

void
Lower(AdmissionLevelControl& aControl)
{
  const auto begin = aControl.arrivals_.begin();
  std::uint16_t level = aControl.level_.admitBelow_;
  double admitted = std::accumulate(begin, begin + level, 0.0);
  const double keep = std::max(aControl.starts_, admitted * kMinAdmittedShare);
  // Refuses at least one rank that has arrivals, so that the standing queue drains.
  const double before = admitted;
  while (before > 0 && level > kLowestAdmissionLevel.admitBelow_ &&
         (admitted > keep || admitted >= before)) {
    level -= 1;
    admitted -= aControl.arrivals_.at(level);
  }
  aControl.level_.admitBelow_ = level;
}

/** Requests that aLimit slots can serve in a window; infinite while the service time is unknown. */
double
CapacityOf(Duration aServiceTime, std::uint32_t aLimit)
{
  return aServiceTime.count() == 0
           ? std::numeric_limits<double>::infinity()
           : static_cast<double>(aLimit) * static_cast<double>(kLevelWindow.count()) /
               static_cast<double>(aServiceTime.count());
}

/** Number of ranks that would fill the free slots, assuming that the ranks above the level have as
 * many arrivals as those below it. Refused ranks cannot be measured, because entry nodes refuse
 * most of their requests. */
double
RanksForFreeSlots(const AdmissionLevelControl& aControl, double aCapacity)
{
  const auto end = aControl.arrivals_.begin() + aControl.level_.admitBelow_;
  const auto begin = aControl.arrivals_.begin() + kLowestAdmissionLevel.admitBelow_;
  const auto mean = [](auto aFrom, auto aTo) {
    return aFrom == aTo ? 0.0 : std::accumulate(aFrom, aTo, 0.0) / static_cast<double>(aTo - aFrom);
  };
  // The most recently admitted ranks have few arrivals yet, so the larger of the two means is used.
  const double density = std::max(mean(end - kDensityRanks, end), mean(begin, end));
  const double free = std::max(0.0, aCapacity - aControl.starts_);
  return density > 0 ? free / density : kMaxRaiseRanks;
}

void
Raise(AdmissionLevelControl& aControl, bool aNearlyEmpty, double aCapacity)
{
  const double ranks = aNearlyEmpty ? RanksForFreeSlots(aControl, aCapacity) : 1;
  const auto step = static_cast<std::uint32_t>(std::clamp<double>(ranks, 1, kMaxRaiseRanks));
  const std::uint32_t raised = aControl.level_.admitBelow_ + step;
  aControl.level_.admitBelow_ =
    static_cast<std::uint16_t>(std::min<std::uint32_t>(raised, kHighestAdmissionLevel.admitBelow_));
}

/** Time in which the queue would drain at the current start rate (Little's law). Measured waiting
 * times are not used: in a queue ordered by class, the waiting times of the lowest class do not
 * represent the others. */
double
QueueDelayUs(const AdmissionLevelControl& aControl, double aQueued)
{
  if (aQueued <= 0) {
    return 0;
  }
  const double startsPerWindow = aControl.starts_ / aControl.windows_;
  return startsPerWindow > 0 ? aQueued / startsPerWindow * static_cast<double>(kLevelWindow.count())
                             : std::numeric_limits<double>::infinity();
}

void
BeginWindow(AdmissionLevelControl& aControl, double aQueued)
{
  for (double& arrivals : aControl.arrivals_) {
    arrivals *= kWindowDecay;
  }
  aControl.starts_ *= kWindowDecay;
  aControl.windows_ *= kWindowDecay;
  aControl.queueLengthSum_ = 0;
  aControl.queueLengthSamples_ = 0;
  aControl.lastQueueLength_ = aQueued;
  aControl.overflowed_ = false;
}

} // namespace

void
RecordArrival(AdmissionLevelControl& aControl, std::uint16_t aRank, std::size_t aQueued)
{
  aControl.arrivals_.at(aRank) += 1;
  aControl.queueLengthSum_ += static_cast<double>(aQueued);
  aControl.queueLengthSamples_ += 1;
}

void
RecordStart(AdmissionLevelControl& aControl)
{
  aControl.starts_ += 1;
}

void
RecordOverflow(AdmissionLevelControl& aControl)
{
  aControl.overflowed_ = true;
}

void
UpdateLevel(AdmissionLevelControl& aControl,
            std::size_t aQueued,
            Duration aServiceTime,
            std::uint32_t aLimit)
{
  aControl.windows_ += 1;
  const double queued = aControl.queueLengthSamples_ == 0
                          ? static_cast<double>(aQueued)
                          : aControl.queueLengthSum_ / aControl.queueLengthSamples_;
  const double delay = QueueDelayUs(aControl, queued);
  const auto target = static_cast<double>(QueueDelayTarget(aServiceTime, aLimit).count());
  if (aControl.overflowed_ ||
      (delay > target && queued > aControl.lastQueueLength_ * kDrainingRatio)) {
    Lower(aControl);
  } else if (delay <= target) {
    Raise(aControl,
          delay < target * kNearlyEmptyRatio,
          CapacityOf(aServiceTime, aLimit) * aControl.windows_);
  }
  BeginWindow(aControl, queued);
}

Duration
QueueDelayTarget(Duration aServiceTime, std::uint32_t aLimit)
{
  return aServiceTime.count() == 0
           ? kDefaultDelayTarget
           : std::clamp(std::max(aServiceTime / kServiceTimeDivisor,
                                 aServiceTime * kMinStandingQueueLength / std::max(aLimit, 1U)),
                        kMinDelayTarget,
                        kMaxDelayTarget);
}

} // namespace fulmarway
