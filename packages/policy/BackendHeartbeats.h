/** \file
 * State of the current incarnation of the local backend server, from its heartbeats and from the
 * departure that an earlier process of the node recorded.
 */
#pragma once

#include "model/BackendHeartbeat.h"
#include "model/Step.h"
#include "model/Time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace fulmarway {

/** The current incarnation of the backend server. */
struct BackendInstance
{
  BackendHeartbeat heartbeat_;
  Instant firstHeartbeatAt_;
  Instant lastHeartbeatAt_;
  /** It has left for good, and no later incarnation has sent a heartbeat. */
  bool hasLeft_ = false;
  /** As in BackendDeparture. */
  std::uint64_t noticedAtMs_ = 0;
  /** Consecutive connections that could not be opened. */
  std::uint32_t failedConnects_ = 0;

  bool operator==(const BackendInstance&) const = default;
};

/** The backend server is considered lost this long after its last heartbeat. Heartbeats arrive
 * every one or two seconds and may be seconds late. */
inline constexpr Duration kHeartbeatTimeout = std::chrono::seconds(6);

/** Consecutive failed connections after which the backend server is considered lost. A single one
 * may be reset only because the backend server is at its connection limit. */
inline constexpr std::uint32_t kFailedConnectsUntilLost = 3;

/** Applies a heartbeat that is newer than the last one. An incarnation that started later replaces
 * the current one, regardless of ids and sequence numbers. */
Step<std::optional<BackendInstance>, HeartbeatVerdict>
ApplyHeartbeat(std::optional<BackendInstance> aCurrent,
               const BackendHeartbeat& aHeartbeat,
               Instant aNow);

/** Marks the incarnation that sent the notice as left. It need not be known: the first message of
 * an incarnation to this process may be its leave. Returns false when the notice is from an earlier
 * incarnation. aWallTimeMs is the time of the notice. */
Step<std::optional<BackendInstance>, bool>
ApplyLeave(std::optional<BackendInstance> aCurrent,
           const BackendLeave& aLeave,
           std::uint64_t aWallTimeMs,
           Instant aNow);

/** The departure of the current incarnation; nullopt while it does not leave. */
std::optional<BackendDeparture>
DepartureOf(const std::optional<BackendInstance>& aCurrent);

/** Whether aLeft is of a later incarnation than aRight, or the final one of the same. A departure
 * with a notice time counts as one of an incarnation that started then. */
bool
IsLaterDeparture(const std::optional<BackendDeparture>& aLeft,
                 const std::optional<BackendDeparture>& aRight);

/** Whether the heartbeat is of the departed incarnation, from before the departure, or of an
 * earlier incarnation. */
bool
IsBeforeDeparture(const BackendHeartbeat& aHeartbeat, const BackendDeparture& aDeparture);

/** Applies a departure that an earlier process of the node recorded to the incarnation that this
 * process already uses. Returns whether it leaves by it and did not before. */
Step<std::optional<BackendInstance>, bool>
ApplyDeparture(std::optional<BackendInstance> aCurrent,
               const BackendDeparture& aDeparture,
               Instant aNow);

/** Whether the current incarnation drains or has left for good, so that it gets no new requests. */
bool
IsLeaving(const std::optional<BackendInstance>& aCurrent);

/** Whether the current incarnation is not considered lost, by its last heartbeat and the failed
 * connections. Does not consider IsLeaving(). */
bool
IsUsable(const std::optional<BackendInstance>& aCurrent, Instant aNow);

} // namespace fulmarway
