/** \file
 * The admission level, moved every window by the queueing delay.
 */
#pragma once

#include "model/Importance.h"
#include "model/Time.h"

#include <array>
#include <cstdint>

namespace fulmarway {

inline constexpr std::size_t kAdmissionRanks = kImportanceCount * kClickBuckets;

struct AdmissionLevelControl
{
  AdmissionLevel level_ = kHighestAdmissionLevel;
  /** Arrivals by rank, over the last few windows with decreasing weight. */
  std::array<double, kAdmissionRanks> arrivals_{};
  /** Starts, weighted in the same way. */
  double starts_ = 0;
  /** Sum of the weights. */
  double windows_ = 0;
  /** Queue lengths seen by the arrivals of this window. */
  double queuedSum_ = 0;
  std::uint32_t queuedCount_ = 0;
  /** Mean queue length of the window before. */
  double lastQueued_ = 0;
  /** A request got no place in the queue in this window. */
  bool overflowed_ = false;

  bool operator==(const AdmissionLevelControl&) const = default;
};

/** A request was offered, whatever became of it; aQueued requests were waiting for a slot. */
void
NoteArrival(AdmissionLevelControl& aControl, std::uint16_t aRank, std::size_t aQueued);

/** A request was started. */
void
NoteStart(AdmissionLevelControl& aControl);

void
NoteOverflow(AdmissionLevelControl& aControl);

/** Ends a window. aQueued requests wait for one of aLimit slots; the service time is zero
 * while unknown. */
void
UpdateLevel(AdmissionLevelControl& aControl,
            std::size_t aQueued,
            Duration aServiceTime,
            std::uint32_t aLimit);

/** The queueing delay above which the level is lowered. */
Duration
QueueDelayTarget(Duration aServiceTime, std::uint32_t aLimit);

} // namespace fulmarway
