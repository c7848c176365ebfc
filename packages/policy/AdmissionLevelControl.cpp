#include "policy/AdmissionLevelControl.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace fulmarway {

namespace {

/** A queue of `slots` requests is worth one service time. Half of it is a standing queue; less
 * comes from random arrivals at a high but sustainable load. */
constexpr int kServiceTimeDivisor = 2;
constexpr Duration kMinTarget = std::chrono::milliseconds(5);
/** Deadlines are a few seconds over several calls; more than this in each queue would use them up.
 */
constexpr Duration kMaxTarget = std::chrono::milliseconds(100);
constexpr Duration kUnknownTarget = std::chrono::milliseconds(20);
constexpr Duration kLevelWindow = std::chrono::milliseconds(100);
/** At least this share is kept, because a stalled backend server starts nothing for a while. */
constexpr double kKeepOfArrivals = 0.5;
/** Weight of a window relative to the next. With fewer windows, the few starts of a small backend
 * server would make its capacity uncertain. */
constexpr double kHistory = 0.7;
/** A queue that shrinks this much in a window drains by itself; lowering the level further would
 * leave slots idle afterwards. */
constexpr double kDraining = 0.9;
/** Below this share of the target, slots are about to be idle. */
constexpr double kNearlyEmpty = 0.25;
/** From the lowest level to the highest in 5 windows. */
constexpr std::uint32_t kFirstStepWhenEmpty = 16;
constexpr std::uint32_t kMaxRaiseStep = 64;

void
Lower(AdmissionLevelControl& aControl)
{
  const auto begin = aControl.arrivals_.begin();
  std::uint16_t level = aControl.level_.admitBelow_;
  double admitted = std::accumulate(begin, begin + level, 0.0);
  const double keep = std::max(aControl.starts_, admitted * kKeepOfArrivals);
  // At least one rank with arrivals is refused, so that the standing queue drains.
  const double before = admitted;
  while (before > 0 && level > kLowestAdmissionLevel.admitBelow_ &&
         (admitted > keep || admitted >= before)) {
    level -= 1;
    admitted -= aControl.arrivals_.at(level);
  }
  aControl.level_.admitBelow_ = level;
  aControl.raiseStep_ = 0;
}

void
Raise(AdmissionLevelControl& aControl, bool aNearlyEmpty)
{
  aControl.raiseStep_ =
    aNearlyEmpty ? std::clamp(aControl.raiseStep_ * 2, kFirstStepWhenEmpty, kMaxRaiseStep) : 1;
  const std::uint32_t raised = aControl.level_.admitBelow_ + aControl.raiseStep_;
  aControl.level_.admitBelow_ =
    static_cast<std::uint16_t>(std::min<std::uint32_t>(raised, kHighestAdmissionLevel.admitBelow_));
}

/** Time in which the queue would drain at the present rate of starts (Little's law). Waiting times
 * are not used: in a queue ordered by class, those of the lowest class say nothing about the
 * others.
 */
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
    arrivals *= kHistory;
  }
  aControl.starts_ *= kHistory;
  aControl.windows_ *= kHistory;
  aControl.queuedSum_ = 0;
  aControl.queuedCount_ = 0;
  aControl.lastQueued_ = aQueued;
  aControl.overflowed_ = false;
}

} // namespace

void
NoteArrival(AdmissionLevelControl& aControl, std::uint16_t aRank, std::size_t aQueued)
{
  aControl.arrivals_.at(aRank) += 1;
  aControl.queuedSum_ += static_cast<double>(aQueued);
  aControl.queuedCount_ += 1;
}

void
NoteStart(AdmissionLevelControl& aControl)
{
  aControl.starts_ += 1;
}

void
NoteOverflow(AdmissionLevelControl& aControl)
{
  aControl.overflowed_ = true;
}

void
UpdateLevel(AdmissionLevelControl& aControl, std::size_t aQueued, Duration aServiceTime)
{
  aControl.windows_ += 1;
  const double queued = aControl.queuedCount_ == 0 ? static_cast<double>(aQueued)
                                                   : aControl.queuedSum_ / aControl.queuedCount_;
  const double delay = QueueDelayUs(aControl, queued);
  const auto target = static_cast<double>(QueueDelayTarget(aServiceTime).count());
  if (aControl.overflowed_ || (delay > target && queued > aControl.lastQueued_ * kDraining)) {
    Lower(aControl);
  } else if (delay <= target) {
    Raise(aControl, delay < target * kNearlyEmpty);
  }
  BeginWindow(aControl, queued);
}

Duration
QueueDelayTarget(Duration aServiceTime)
{
  return aServiceTime.count() == 0
           ? kUnknownTarget
           : std::clamp(aServiceTime / kServiceTimeDivisor, kMinTarget, kMaxTarget);
}

} // namespace fulmarway
