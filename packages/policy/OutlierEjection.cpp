#include "policy/OutlierEjection.h"

#include "policy/TargetObservations.h"

#include <algorithm>

namespace fulmarway {

namespace {

constexpr std::uint32_t kFailuresToEject = 5;
constexpr double kSlowFactor = 5;
/** Microseconds above the median that are tolerated, because targets in another failure domain have
 * a higher network latency. */
constexpr double kSlowMarginUs = 10'000;
constexpr std::uint32_t kSamplesToJudge = 5;
/** A noisy neighbour slows a backend server down for about a second. */
constexpr Duration kFirstEjectionTime = std::chrono::seconds(1);
constexpr std::uint32_t kMaxEjectionDoublings = 5;
/** A target that was not ejected for this long starts again with the first ejection time. */
constexpr Duration kEjectionResetTime = std::chrono::seconds(60);

bool
IsSlowOutlier(const RoutingState& aState,
              const TargetObservations& aTarget,
              std::span<const RouteCandidate> aServiceTargets,
              Instant aNow)
{
  if (aTarget.samplesSinceReturn_ < kSamplesToJudge) {
    return false;
  }
  const double median = MedianLatency(aState, aServiceTargets, aNow);
  const double latency = LatencyNow(aTarget, aNow);
  return median > 0 && latency > kSlowFactor * median && latency > median + kSlowMarginUs;
}

} // namespace

double
MedianLatency(const RoutingState& aState, std::span<const RouteCandidate> aTargets, Instant aNow)
{
  std::vector<double> known;
  for (const RouteCandidate& candidate : aTargets) {
    const auto found = aState.targets_.find(candidate.id_);
    if (found != aState.targets_.end() && found->second.samples_ > 0) {
      known.push_back(LatencyNow(found->second, aNow));
    }
  }
  if (known.empty()) {
    return 0;
  }
  const auto middle = known.begin() + static_cast<std::ptrdiff_t>((known.size() - 1) / 2);
  std::nth_element(known.begin(), middle, known.end());
  return *middle;
}

void
EjectIfOutlier(RoutingState& aState,
               NodeId aTarget,
               std::span<const RouteCandidate> aServiceTargets,
               Instant aNow)
{
  const auto found = aState.targets_.find(aTarget);
  if (found == aState.targets_.end() || IsEjected(aState, aTarget, aNow)) {
    return;
  }
  TargetObservations& target = found->second;
  const bool failing = target.consecutiveFailures_ >= kFailuresToEject;
  if (!failing && !IsSlowOutlier(aState, target, aServiceTargets, aNow)) {
    return;
  }
  const auto ejected = std::count_if(
    aServiceTargets.begin(), aServiceTargets.end(), [&](const RouteCandidate& aCandidate) {
      return IsEjected(aState, aCandidate.id_, aNow);
    });
  if (2 * (static_cast<std::size_t>(ejected) + 1) > aServiceTargets.size()) {
    return;
  }
  if (aNow - target.ejectedUntil_ > kEjectionResetTime) {
    target.ejections_ = 0;
  }
  target.ejectedUntil_ =
    aNow + kFirstEjectionTime * (1U << std::min(target.ejections_, kMaxEjectionDoublings));
  ++target.ejections_;
  // Resets the observations for the time after the ejection; outcomes of earlier attempts do not
  // count.
  target.slowStartFrom_ = target.ejectedUntil_;
  target.latency_ = target.meanLatency_;
  target.successShare_ = 1;
  target.samplesSinceReturn_ = 0;
  target.consecutiveFailures_ = 0;
}

} // namespace fulmarway
