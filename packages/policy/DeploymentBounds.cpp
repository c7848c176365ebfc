#include "policy/DeploymentBounds.h"

#include <algorithm>

namespace fulmarway {

namespace {

/** Safety margin for requests in transit to the backend server when the bound ends; at most a
 * quarter of the bound. */
constexpr Duration kDrainMargin = std::chrono::milliseconds(500);
/** Time to write the last replies and leave before the kill; at most a quarter of the bound. */
constexpr Duration kStopMargin = std::chrono::seconds(1);
constexpr int kMarginDivisor = 4;
constexpr double kPerMille = 1000;
/** Used share of the allowed repeats. The nodes of a service count apart: when requests move
 * between them or a node restarts within the window, the sum of their allowances exceeds that of
 * the service. */
constexpr double kUsedRetryShare = 0.75;

Duration
SubtractMargin(Duration aBound, Duration aMargin)
{
  return aBound - std::min(aMargin, aBound / kMarginDivisor);
}

} // namespace

NodeSettings
WithBounds(NodeSettings aSettings, const DeploymentBounds& aBounds)
{
  if (aBounds.drain_) {
    aSettings.drainGrace_ =
      std::min(aSettings.drainGrace_, SubtractMargin(*aBounds.drain_, kDrainMargin));
  }
  if (aBounds.stop_) {
    aSettings.stopTimeout_ = SubtractMargin(*aBounds.stop_, kStopMargin);
    // Leave half of the time for the requests that arrive last.
    aSettings.acceptAfterStop_ = std::min(aSettings.acceptAfterStop_, aSettings.stopTimeout_ / 2);
  }
  if (aBounds.retryShare_) {
    aSettings.backendRetries_.sharePerMille_ =
      static_cast<std::uint32_t>(*aBounds.retryShare_ * kPerMille * kUsedRetryShare);
  }
  if (aBounds.retryWindow_) {
    aSettings.backendRetries_.window_ = *aBounds.retryWindow_;
  }
  if (aBounds.strictKeyRemoval_) {
    aSettings.keyRemovalBound_ = aBounds.keyRemoval_;
  }
  aSettings.quota_ = aBounds.quota_;
  return aSettings;
}

} // namespace fulmarway
