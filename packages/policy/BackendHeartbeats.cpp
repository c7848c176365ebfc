#include "policy/BackendHeartbeats.h"

#include <utility>

namespace fulmarway {

Step<std::optional<BackendInstance>, HeartbeatVerdict>
ApplyHeartbeat(std::optional<BackendInstance> aCurrent,
               const BackendHeartbeat& aHeartbeat,
               Instant aNow)
{
  const bool isNewIncarnation =
    !aCurrent || aHeartbeat.startedAtMs_ > aCurrent->heartbeat_.startedAtMs_ ||
    // Without a start time only the id distinguishes incarnations.
    (aHeartbeat.startedAtMs_ == 0 && aCurrent->heartbeat_.startedAtMs_ == 0 &&
     aHeartbeat.instance_ != aCurrent->heartbeat_.instance_);
  if (isNewIncarnation) {
    return { BackendInstance{ aHeartbeat, aNow, aNow, false, 0 },
             HeartbeatVerdict::kNewIncarnation };
  }
  const BackendHeartbeat& last = aCurrent->heartbeat_;
  const bool isSameIncarnation =
    aHeartbeat.startedAtMs_ == last.startedAtMs_ && aHeartbeat.instance_ == last.instance_;
  // Only a later start time replaces an incarnation. With the same one, another id is not newer,
  // and neither is a heartbeat without a start time after one that has it.
  if (!isSameIncarnation || aHeartbeat.sequence_ <= last.sequence_) {
    return { std::move(aCurrent), HeartbeatVerdict::kOutdated };
  }
  aCurrent->heartbeat_ = aHeartbeat;
  aCurrent->lastHeartbeatAt_ = aNow;
  aCurrent->failedConnects_ = 0;
  return { std::move(aCurrent), HeartbeatVerdict::kApplied };
}

Step<std::optional<BackendInstance>, bool>
ApplyLeave(std::optional<BackendInstance> aCurrent, const BackendLeave& aLeave)
{
  const bool isFromCurrent =
    aCurrent && aCurrent->heartbeat_.instance_ == aLeave.instance_ &&
    (aLeave.startedAtMs_ == 0 || aLeave.startedAtMs_ == aCurrent->heartbeat_.startedAtMs_);
  if (isFromCurrent) {
    aCurrent->hasLeft_ = true;
  }
  return { std::move(aCurrent), isFromCurrent };
}

bool
IsLeaving(const std::optional<BackendInstance>& aCurrent)
{
  return aCurrent && (aCurrent->hasLeft_ || aCurrent->heartbeat_.draining_);
}

bool
IsUsable(const std::optional<BackendInstance>& aCurrent, Instant aNow)
{
  return aCurrent && aCurrent->failedConnects_ < kFailedConnectsUntilLost &&
         aNow < aCurrent->lastHeartbeatAt_ + kHeartbeatTimeout;
}

} // namespace fulmarway
