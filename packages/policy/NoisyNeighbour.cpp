#include "policy/NoisyNeighbour.h"

namespace fulmarway {

namespace {

/** Work times below this share of the usual one are within the variation of requests. */
constexpr std::uint32_t kMinWorkTimePercent = 150;
/** The report shows one moment of the request; the work time before may have been higher. */
constexpr Duration::rep kMaxUnexplainedFactor = 2;

} // namespace

bool
IsSlowedByNeighbours(const BackendLoad& aLoad, Duration aElapsed, Duration aMean)
{
  if (aLoad.workTimePercent_ < kMinWorkTimePercent || aLoad.waiting_ > 0 || aMean.count() == 0) {
    return false;
  }
  const Duration explained = aMean * static_cast<Duration::rep>(aLoad.workTimePercent_) / 100;
  return aElapsed <= explained * kMaxUnexplainedFactor;
}

} // namespace fulmarway
