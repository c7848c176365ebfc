/** \file
 * Builders of arrivals and states for the admission tests.
 */
#pragma once

#include "policy/Admission.h"

#include <utility>

namespace fulmarway {

inline Instant
At(std::int64_t aMilliseconds)
{
  return Instant{ std::chrono::milliseconds(aMilliseconds) };
}

inline Arrival
MakeArrival(std::uint64_t aId, Importance aImportance, std::int64_t aDeadlineMs, bool aLong = false)
{
  return { RequestId{ aId }, 1, aImportance, 0, At(aDeadlineMs), aLong };
}

/** A state at time 0 whose slots are all held by requests 1000, 1001 and so on. */
inline AdmissionState
FullState(const AdmissionSettings& aSettings)
{
  AdmissionState state = MakeAdmission(aSettings, At(0));
  for (std::uint32_t i = 0; i < aSettings.slots_; ++i) {
    state =
      Offer(std::move(state), MakeArrival(1000 + i, Importance::kNormal, 60000), At(0)).state_;
  }
  return state;
}

} // namespace fulmarway
