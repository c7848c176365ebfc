#include "policy/BackendHeartbeats.h"

#include <algorithm>
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

/** Whether a leave notice without a start time, which came at aNoticedAtMs (0 for none), applies to
 * an incarnation with the same id. Both times are of the VM that the node shares with its backend
 * server. */
bool
IsCoveredByNotice(std::uint64_t aNoticedAtMs, std::uint64_t aStartedAtMs)
{
  return aNoticedAtMs != 0 && aStartedAtMs <= aNoticedAtMs;
}

/** A time by which the incarnation had started and by which its successor had not. */
std::uint64_t
LatestStartOf(std::uint64_t aStartedAtMs, std::uint64_t aNoticedAtMs)
{
  return std::max(aStartedAtMs, aNoticedAtMs);
}

/** Whether the incarnation that sent a leave notice without a start time started after one with
 * another id and this start time. */
bool
StartedAfter(const BackendDeparture& aDeparture, std::uint64_t aStartedAtMs)
{
  return aDeparture.noticedAtMs_ != 0 && aStartedAtMs != 0 &&
         aDeparture.startedAtMs_ >= aStartedAtMs;
}

/** An incarnation that has sent no heartbeat to this process, so that it is not used. */
BackendInstance
MakeUnseenInstance(const std::string& aInstance,
                   std::uint64_t aStartedAtMs,
                   std::uint64_t aNoticedAtMs,
                   Instant aNow)
{
  BackendHeartbeat heartbeat;
  heartbeat.instance_ = aInstance;
  heartbeat.startedAtMs_ = aStartedAtMs;
  return { heartbeat, aNow, aNow - kHeartbeatTimeout, false, aNoticedAtMs, 0 };
}

} // namespace

Step<std::optional<BackendInstance>, HeartbeatVerdict>
ApplyHeartbeat(std::optional<BackendInstance> aCurrent,
               const BackendHeartbeat& aHeartbeat,
               Instant aNow)
{
  if (aCurrent && aCurrent->heartbeat_.instance_ == aHeartbeat.instance_ &&
      IsCoveredByNotice(aCurrent->noticedAtMs_, aHeartbeat.startedAtMs_)) {
    std::uint64_t& startedAtMs = aCurrent->heartbeat_.startedAtMs_;
    startedAtMs = std::max(startedAtMs, aHeartbeat.startedAtMs_);
  }
  if (IsLaterIncarnation(aCurrent, aHeartbeat.instance_, aHeartbeat.startedAtMs_)) {
    return { BackendInstance{ aHeartbeat, aNow, aNow, false, 0, 0 },
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
ApplyLeave(std::optional<BackendInstance> aCurrent,
           const BackendLeave& aLeave,
           std::uint64_t aWallTimeMs,
           Instant aNow)
{
  const bool hasStart = aLeave.startedAtMs_ != 0;
  const bool isFromCurrent =
    aCurrent && aCurrent->heartbeat_.instance_ == aLeave.instance_ &&
    (!hasStart || aLeave.startedAtMs_ == aCurrent->heartbeat_.startedAtMs_ ||
     IsCoveredByNotice(aCurrent->noticedAtMs_, aLeave.startedAtMs_));
  // With a current incarnation that has not left, a notice without a start time could be from an
  // earlier one.
  const bool isFromLater =
    !isFromCurrent && (!aCurrent || aLeave.startedAtMs_ > aCurrent->heartbeat_.startedAtMs_ ||
                       (!hasStart && aCurrent->hasLeft_));
  if (isFromLater) {
    const std::uint64_t earliestStartMs =
      aCurrent ? LatestStartOf(aCurrent->heartbeat_.startedAtMs_, aCurrent->noticedAtMs_) : 0;
    aCurrent = hasStart ? MakeUnseenInstance(aLeave.instance_, aLeave.startedAtMs_, 0, aNow)
                        : MakeUnseenInstance(aLeave.instance_, earliestStartMs, aWallTimeMs, aNow);
    aCurrent->hasLeft_ = true;
  } else if (isFromCurrent) {
    if (!aCurrent->hasLeft_ && aCurrent->heartbeat_.startedAtMs_ == 0) {
      aCurrent->noticedAtMs_ = aWallTimeMs;
    }
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
  return BackendDeparture{ heartbeat.instance_,
                           heartbeat.startedAtMs_,
                           heartbeat.sequence_,
                           aCurrent->hasLeft_,
                           aCurrent->noticedAtMs_ };
}

bool
IsLaterDeparture(const std::optional<BackendDeparture>& aLeft,
                 const std::optional<BackendDeparture>& aRight)
{
  if (!aLeft || !aRight) {
    return aLeft.has_value();
  }
  const auto rankOf = [](const BackendDeparture& aDeparture) {
    return std::tuple(LatestStartOf(aDeparture.startedAtMs_, aDeparture.noticedAtMs_),
                      aDeparture.final_,
                      aDeparture.startedAtMs_,
                      aDeparture.sequence_);
  };
  return rankOf(*aLeft) > rankOf(*aRight);
}

bool
IsBeforeDeparture(const BackendHeartbeat& aHeartbeat, const BackendDeparture& aDeparture)
{
  const bool isSameId = aHeartbeat.instance_ == aDeparture.instance_;
  if (isSameId && IsCoveredByNotice(aDeparture.noticedAtMs_, aHeartbeat.startedAtMs_)) {
    return true;
  }
  if (aHeartbeat.startedAtMs_ != aDeparture.startedAtMs_) {
    return aHeartbeat.startedAtMs_ < aDeparture.startedAtMs_;
  }
  if (!isSameId) {
    return StartedAfter(aDeparture, aHeartbeat.startedAtMs_);
  }
  return aDeparture.final_ || aHeartbeat.sequence_ <= aDeparture.sequence_;
}

Step<std::optional<BackendInstance>, bool>
ApplyDeparture(std::optional<BackendInstance> aCurrent,
               const BackendDeparture& aDeparture,
               Instant aNow)
{
  if (!aCurrent) {
    return { std::move(aCurrent), false };
  }
  const std::uint64_t latestStartMs =
    LatestStartOf(aDeparture.startedAtMs_, aDeparture.noticedAtMs_);
  const bool isSameId = aCurrent->heartbeat_.instance_ == aDeparture.instance_;
  if (latestStartMs <= aCurrent->noticedAtMs_) {
    // The notice came after this departure: it is from the same incarnation or a later one.
    std::uint64_t& startedAtMs = aCurrent->heartbeat_.startedAtMs_;
    startedAtMs = std::max(startedAtMs, isSameId ? aDeparture.startedAtMs_ : latestStartMs);
    return { std::move(aCurrent), false };
  }
  const bool isCovered =
    isSameId && IsCoveredByNotice(aDeparture.noticedAtMs_, aCurrent->heartbeat_.startedAtMs_);
  const bool isOfLater =
    IsLaterIncarnation(aCurrent, aDeparture.instance_, aDeparture.startedAtMs_) ||
    (!isSameId && StartedAfter(aDeparture, aCurrent->heartbeat_.startedAtMs_));
  if (!isCovered && isOfLater) {
    aCurrent = MakeUnseenInstance(
      aDeparture.instance_, aDeparture.startedAtMs_, aDeparture.noticedAtMs_, aNow);
  } else if (!isCovered &&
             (!isSameId || aCurrent->heartbeat_.startedAtMs_ != aDeparture.startedAtMs_)) {
    return { std::move(aCurrent), false };
  }
  BackendHeartbeat& last = aCurrent->heartbeat_;
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
