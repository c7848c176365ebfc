/** \file
 * Heartbeats and leave notices that a backend server sends to the node on its VM.
 */
#pragma once

#include "model/Time.h"

#include <compare>
#include <cstdint>
#include <string>

namespace fulmarway {

/** A heartbeat of a backend server. */
struct BackendHeartbeat
{
  /** Instance id; may stay the same after a restart of the backend server. */
  std::string instance_;
  /** Wall-clock start time, milliseconds since 1970; distinguishes incarnations with one id. */
  std::uint64_t startedAtMs_ = 0;
  /** Increases with each heartbeat of an incarnation, so that reordered ones can be discarded. */
  std::uint64_t sequence_ = 0;
  std::string service_;
  std::string address_;
  /** Maximum number of requests that it executes concurrently. */
  std::uint32_t slots_ = 0;
  /** Set before the backend server leaves; it accepts no new requests. */
  bool draining_ = false;
  /** Remaining time of the slow phase after a cold start. */
  Duration coldRemaining_{ 0 };

  bool operator==(const BackendHeartbeat&) const = default;
};

/** Notice that the backend server has left the service. */
struct BackendLeave
{
  std::string instance_;
  /** As in BackendHeartbeat; 0 when the notice does not contain it. */
  std::uint64_t startedAtMs_ = 0;

  bool operator==(const BackendLeave&) const = default;
};

/** That an incarnation of a backend server leaves, as its node keeps it outside its process. After
 * a restart the node must not take a heartbeat from before the departure for that of a new
 * incarnation. */
struct BackendDeparture
{
  /** As in BackendHeartbeat. */
  std::string instance_;
  /** As in BackendHeartbeat. A lower bound when the departure has a notice time. */
  std::uint64_t startedAtMs_ = 0;
  /** Sequence of the heartbeat that announced the departure; earlier ones are outdated. */
  std::uint64_t sequence_ = 0;
  /** The incarnation left for good. Otherwise it drains, which a later heartbeat may take back. */
  bool final_ = false;
  /** Wall-clock time of a leave notice without a start time, milliseconds since 1970. All
   * incarnations with this id that started by then have left. 0 when the start time is known. */
  std::uint64_t noticedAtMs_ = 0;

  auto operator<=>(const BackendDeparture&) const = default;
};

/** Whether a heartbeat was applied. Heartbeats are acknowledged in either case. */
enum class HeartbeatVerdict : std::uint8_t
{
  kApplied,
  /** The first heartbeat of this incarnation. */
  kNewIncarnation,
  /** Older than the last applied heartbeat, or sent by an earlier incarnation. */
  kOutdated,
};

} // namespace fulmarway
