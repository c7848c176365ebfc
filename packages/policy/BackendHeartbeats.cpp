#include "policy/BackendHeartbeats.h"

#include <tuple>
#include <utility>

namespace fulmarway {

namespace {

/** Whether the incarnation started later than the current one. */
bool
IsLaterIncarnation(const std::optional<BackendInstance>& aCurrent,
                   const std::string& aInstance,
                   std::uint64_t aStartedAtMs)
{
  return !aCurrent || aStartedAtMs > aCurrent->heartbeat_.startedAtMs_ ||
         // Without a start time only the id distinguishes incarnations.
         (aStartedAtMs == 0 && aCurrent->heartbeat_.startedAtMs_ == 0 &&
          aInstance != aCurrent->heartbeat_.instance_);
}

/** An incarnation that has sent no heartbeat to this process, so that it is not used. */
BackendInstance
MakeUnseenInstance(const std::string& aInstance, std::uint64_t aStartedAtMs, Instant aNow)
{
  BackendHeartbeat heartbeat;
  heartbeat.instance_ = aInstance;
  heartbeat.startedAtMs_ = aStartedAtMs;
  return { heartbeat, aNow, aNow - kHeartbeatTimeout, false, 0 };
}

} // namespace

Step<std::optional<BackendInstance>, HeartbeatVerdict>
ApplyHeartbeat(std::optional<BackendInstance> aCurrent,
               const BackendHeartbeat& aHeartbeat,
               Instant aNow)
{
  if (IsLaterIncarnation(aCurrent, aHeartbeat.instance_, aHeartbeat.startedAtMs_)) {
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
ApplyLeave(std::optional<BackendInstance> aCurrent, const BackendLeave& aLeave, Instant aNow)
{
  const bool isFromCurrent =
    aCurrent && aCurrent->heartbeat_.instance_ == aLeave.instance_ &&
    (aLeave.startedAtMs_ == 0 || aLeave.startedAtMs_ == aCurrent->heartbeat_.startedAtMs_);
  // With a current incarnation, a notice without a start time could be from an earlier one.
  const bool isFromLater =
    !isFromCurrent && (!aCurrent || aLeave.startedAtMs_ > aCurrent->heartbeat_.startedAtMs_);
  if (isFromLater) {
    aCurrent = MakeUnseenInstance(aLeave.instance_, aLeave.startedAtMs_, aNow);
  }
  if (isFromCurrent || isFromLater) {
    aCurrent->hasLeft_ = true;
  }
  return { std::move(aCurrent), isFromCurrent || isFromLater };
}

std::optional<BackendDeparture>
DepartureOf(const std::optional<BackendInstance>& aCurrent)
{
  if (!IsLeaving(aCurrent)) {
    return std::nullopt;
  }
  const BackendHeartbeat& heartbeat = aCurrent->heartbeat_;
  return BackendDeparture{
    heartbeat.instance_, heartbeat.startedAtMs_, heartbeat.sequence_, aCurrent->hasLeft_
  };
}

bool
IsLaterDeparture(const std::optional<BackendDeparture>& aLeft,
                 const std::optional<BackendDeparture>& aRight)
{
  if (!aLeft || !aRight) {
    return aLeft.has_value();
  }
  return std::tie(aLeft->startedAtMs_, aLeft->final_, aLeft->sequence_) >
         std::tie(aRight->startedAtMs_, aRight->final_, aRight->sequence_);
}

bool
IsBeforeDeparture(const BackendHeartbeat& aHeartbeat, const BackendDeparture& aDeparture)
{
  if (aHeartbeat.startedAtMs_ != aDeparture.startedAtMs_) {
    return aHeartbeat.startedAtMs_ < aDeparture.startedAtMs_;
  }
  return aHeartbeat.instance_ == aDeparture.instance_ &&
         (aDeparture.final_ || aHeartbeat.sequence_ <= aDeparture.sequence_);
}

Step<std::optional<BackendInstance>, bool>
ApplyDeparture(std::optional<BackendInstance> aCurrent,
               const BackendDeparture& aDeparture,
               Instant aNow)
{
  if (!aCurrent) {
    return { std::move(aCurrent), false };
  }
  if (IsLaterIncarnation(aCurrent, aDeparture.instance_, aDeparture.startedAtMs_)) {
    aCurrent = MakeUnseenInstance(aDeparture.instance_, aDeparture.startedAtMs_, aNow);
  }
  BackendHeartbeat& last = aCurrent->heartbeat_;
  if (last.startedAtMs_ != aDeparture.startedAtMs_ || last.instance_ != aDeparture.instance_) {
    return { std::move(aCurrent), false };
  }
  const bool wasLeaving = IsLeaving(aCurrent);
  aCurrent->hasLeft_ = aCurrent->hasLeft_ || aDeparture.final_;
  if (aDeparture.sequence_ > last.sequence_) {
    last.sequence_ = aDeparture.sequence_;
    last.draining_ = true;
  }
  const bool isLeaving = IsLeaving(aCurrent);
  return { std::move(aCurrent), isLeaving && !wasLeaving };
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
