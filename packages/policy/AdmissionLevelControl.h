/** \file
 * Controller of the admission level: once per window, it compares the queueing delay with a target
 * and lowers or raises the level.
 */
#pragma once

#include "model/Importance.h"
#include "model/Time.h"

#include <array>
#include <cstdint>

namespace fulmarway {

inline constexpr std::size_t kAdmissionRanks = kImportanceCount * kRootRequestBuckets;

struct AdmissionLevelControl
{
  AdmissionLevel level_ = kHighestAdmissionLevel;
  /** Arrivals by rank; exponentially decayed from window to window. */
  std::array<double, kAdmissionRanks> arrivals_{};
  /** Started requests, with the same decay. */
  double starts_ = 0;
  /** Number of windows, with the same decay; the divisor for rates per window. */
  double windows_ = 0;
  /** Sum of the queue lengths that the arrivals of this window found, and their number. */
  double queueLengthSum_ = 0;
  std::uint32_t queueLengthSamples_ = 0;
  /** Mean queue length of the previous window. */
  double lastQueueLength_ = 0;
  /** Whether a request was rejected or displaced by a full queue in this window. */
  bool overflowed_ = false;

  bool operator==(const AdmissionLevelControl&) const = default;
};

/** Records an offered request, whether it is started, queued or shed. aQueued is the number of
 * requests waiting for a slot. */
void
RecordArrival(AdmissionLevelControl& aControl, std::uint16_t aRank, std::size_t aQueued);

void
RecordStart(AdmissionLevelControl& aControl);

void
RecordOverflow(AdmissionLevelControl& aControl);

/** Ends a window and adjusts the level. aQueued requests wait for one of aLimit slots; aServiceTime
 * is zero while unknown. */
void
UpdateLevel(AdmissionLevelControl& aControl,
            std::size_t aQueued,
            Duration aServiceTime,
            std::uint32_t aLimit);

/** The queueing delay above which the level is lowered. */
Duration
QueueDelayTarget(Duration aServiceTime, std::uint32_t aLimit);

} // namespace fulmarway
