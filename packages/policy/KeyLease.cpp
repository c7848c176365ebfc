#include "policy/KeyLease.h"

#include <algorithm>

namespace fulmarway {

namespace {

/** The lease ends before the bound by a tenth of it, for the time in which an accepted request is
 * passed on. */
constexpr int kLeaseTenths = 9;
constexpr int kReadsPerBound = 5;
constexpr int kRetriesPerBound = 20;
/** Bounds below half a second would make a node call the store without a pause. */
constexpr Duration kMinReadTime = std::chrono::milliseconds(100);

} // namespace

KeyLease
RenewKeyLease(KeyLease aLease,
              Instant aProvenAt,
              Duration aBound,
              Instant aNow,
              std::uint64_t aWallTimeMs)
{
  const bool hadLease = IsHeld(aLease, aNow);
  const Instant until = aProvenAt + aBound * kLeaseTenths / 10;
  aLease.until_ = aLease.until_ ? std::max(*aLease.until_, until) : until;
  aLease.held_ = IsHeld(aLease, aNow);
  if (aLease.held_ && !hadLease) {
    aLease.sinceMs_ = aWallTimeMs;
  }
  return aLease;
}

bool
IsHeld(const KeyLease& aLease, Instant aNow)
{
  return aLease.until_ && aNow < *aLease.until_;
}

KeyLease
ExpireKeyLease(KeyLease aLease, Instant aNow)
{
  aLease.held_ = aLease.held_ && IsHeld(aLease, aNow);
  return aLease;
}

Duration
LeaseReadTime(Duration aBound)
{
  return std::max(aBound / kReadsPerBound, kMinReadTime);
}

Duration
LeaseRetryDelay(Duration aBound)
{
  return std::max(aBound / kRetriesPerBound, kMinReadTime / 2);
}

} // namespace fulmarway
