#include "policy/StartRate.h"

#include <algorithm>

namespace fulmarway {

namespace {

/** Starts that may be saved up, as the time in which the limit allows them. It exceeds the interval
 * at which queued requests are started, so that the limit can be used in full. */
constexpr double kBurstSeconds = 0.25;

double
TokensAt(const StartRate& aState, Instant aNow)
{
  const double seconds = std::chrono::duration<double>(aNow - aState.refilledAt_).count();
  const double burst = std::max(*aState.perSecond_ * kBurstSeconds, 1.0);
  return std::min(aState.tokens_ + std::max(seconds, 0.0) * *aState.perSecond_, burst);
}

} // namespace

bool
RecordNamedLimit(StartRate& aState, std::optional<double> aPerSecond, Instant aNow)
{
  if (!aPerSecond) {
    const bool ends = aState.perSecond_ && aNow >= aState.namedAt_ + kLimitEndDelay;
    if (ends) {
      ClearLimit(aState);
    }
    return ends;
  }
  aState.namedAt_ = aNow;
  const double limit = std::max(*aPerSecond, kMinStartsPerSecond);
  if (aState.perSecond_ == limit) {
    return false;
  }
  aState.tokens_ = aState.perSecond_ ? TokensAt(aState, aNow) : 0;
  aState.refilledAt_ = aNow;
  aState.perSecond_ = limit;
  return true;
}

void
ClearLimit(StartRate& aState)
{
  aState.perSecond_.reset();
}

bool
MayStartNow(const StartRate& aState, Instant aNow)
{
  return !aState.perSecond_ || TokensAt(aState, aNow) >= 1;
}

void
TakeStart(StartRate& aState, Instant aNow)
{
  if (aState.perSecond_) {
    aState.tokens_ = TokensAt(aState, aNow) - 1;
    aState.refilledAt_ = aNow;
  }
}

} // namespace fulmarway
