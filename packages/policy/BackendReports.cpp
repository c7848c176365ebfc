#include "policy/BackendReports.h"

#include <utility>

namespace fulmarway {

Step<std::optional<BackendInstance>, ReportVerdict>
ApplyHeartbeat(std::optional<BackendInstance> aCurrent,
               const BackendReport& aHeartbeat,
               Instant aNow)
{
  const bool isNewIncarnation =
    !aCurrent || aHeartbeat.startedAtMs_ > aCurrent->report_.startedAtMs_ ||
    // Without a start time only the id distinguishes incarnations.
    (aHeartbeat.startedAtMs_ == 0 && aCurrent->report_.startedAtMs_ == 0 &&
     aHeartbeat.instance_ != aCurrent->report_.instance_);
  if (isNewIncarnation) {
    return { BackendInstance{ aHeartbeat, aNow, false, 0 }, ReportVerdict::kNewRun };
  }
  const BackendReport& last = aCurrent->report_;
  const bool isSameIncarnation =
    aHeartbeat.startedAtMs_ == last.startedAtMs_ && aHeartbeat.instance_ == last.instance_;
  if (!isSameIncarnation || aHeartbeat.sequence_ <= last.sequence_) {
    return { std::move(aCurrent), ReportVerdict::kOutdated };
  }
  aCurrent->report_ = aHeartbeat;
  aCurrent->lastHeartbeatAt_ = aNow;
  aCurrent->failedConnects_ = 0;
  return { std::move(aCurrent), ReportVerdict::kTaken };
}

Step<std::optional<BackendInstance>, bool>
ApplyLeave(std::optional<BackendInstance> aCurrent, const BackendLeave& aLeave)
{
  const bool isFromCurrent =
    aCurrent && aCurrent->report_.instance_ == aLeave.instance_ &&
    (aLeave.startedAtMs_ == 0 || aLeave.startedAtMs_ == aCurrent->report_.startedAtMs_);
  if (isFromCurrent) {
    aCurrent->hasLeft_ = true;
  }
  return { std::move(aCurrent), isFromCurrent };
}

bool
IsLeaving(const std::optional<BackendInstance>& aCurrent)
{
  return aCurrent && (aCurrent->hasLeft_ || aCurrent->report_.draining_);
}

bool
IsUsable(const std::optional<BackendInstance>& aCurrent, Instant aNow)
{
  return aCurrent && aCurrent->failedConnects_ < kFailedConnectsUntilLost &&
         aNow < aCurrent->lastHeartbeatAt_ + kHeartbeatTimeout;
}

} // namespace fulmarway
