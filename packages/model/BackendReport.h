/** \file
 * What a backend server says of itself to the node on its VM.
 */
#pragma once

#include "model/Time.h"

#include <cstdint>
#include <string>

namespace fulmarway {

/** One heartbeat. */
struct BackendReport
{
  /** Instance id; a backend server that starts again may keep it. */
  std::string instance_;
  /** Wall clock of the start, milliseconds since 1970; tells runs under one id apart. */
  std::uint64_t startedAtMs_ = 0;
  /** Rises with each report of one run, so that a late one can be told. */
  std::uint64_t sequence_ = 0;
  std::string service_;
  std::string address_;
  /** Requests that it works on at the same time. */
  std::uint32_t slots_ = 0;
  /** It is about to leave and wants no new work. */
  bool draining_ = false;
  /** How much longer it is slow after its start. */
  Duration coldRemaining_{ 0 };

  bool operator==(const BackendReport&) const = default;
};

/** The backend server leaves for good. */
struct BackendLeave
{
  std::string instance_;
  /** As in BackendReport; 0 when the notice does not say. */
  std::uint64_t startedAtMs_ = 0;

  bool operator==(const BackendLeave&) const = default;
};

/** Why a report was not taken over; it is acknowledged all the same. */
enum class ReportVerdict : std::uint8_t
{
  kTaken,
  /** The first report of this run. */
  kNewRun,
  /** Sent before one that was already taken, or by an earlier run. */
  kOutdated,
};

} // namespace fulmarway
