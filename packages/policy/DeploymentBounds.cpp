#include "policy/DeploymentBounds.h"

#include <algorithm>

namespace fulmarway {

namespace {

/** A request may be on its way to the backend server when the bound ends. At most a quarter of a
 * short bound. */
constexpr Duration kDrainMargin = std::chrono::milliseconds(500);
/** Time to write the last replies and to leave before the kill. At most a quarter of a short bound.
 */
constexpr Duration kStopMargin = std::chrono::seconds(1);
constexpr int kMarginDivisor = 4;

Duration
Within(Duration aBound, Duration aMargin)
{
  return aBound - std::min(aMargin, aBound / kMarginDivisor);
}

} // namespace

NodeSettings
WithBounds(NodeSettings aSettings, const DeploymentBounds& aBounds)
{
  if (aBounds.drain_) {
    aSettings.drainGrace_ = std::min(aSettings.drainGrace_, Within(*aBounds.drain_, kDrainMargin));
  }
  if (aBounds.stop_) {
    aSettings.stopTimeout_ = Within(*aBounds.stop_, kStopMargin);
    // Requests that arrive last still need half of the time to end.
    aSettings.acceptAfterStop_ = std::min(aSettings.acceptAfterStop_, aSettings.stopTimeout_ / 2);
  }
  return aSettings;
}

} // namespace fulmarway
