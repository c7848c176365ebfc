/** \file
 * Estimates of service times for each kind. A request that cannot finish before its deadline even
 * at the fast service time (10th percentile) is refused before it is executed. The mean tells entry
 * nodes how fast this backend server is.
 */
#pragma once

#include "model/Time.h"

#include <cstdint>
#include <map>

namespace fulmarway {

struct FastServiceTime
{
  /** Estimate of the 10th percentile: about one completion in ten is faster; microseconds. */
  double fastUs_ = 0;
  std::uint32_t sampleCount_ = 0;
  /** Moving average of about the last 50 requests, microseconds. */
  double meanUs_ = 0;
  Instant lastSeen_;

  auto operator<=>(const FastServiceTime&) const = default;
};

/** By kind; at most kMaxFastServiceTimes kinds, of which the least recently used is evicted. */
using FastServiceTimes = std::map<std::uint64_t, FastServiceTime>;

inline constexpr std::size_t kMaxFastServiceTimes = 256;

/** Records the service time of a successful request. */
void
RecordServiceTime(FastServiceTimes& aTimes,
                  std::uint64_t aKindKey,
                  Duration aServiceTime,
                  Instant aNow);

/** Records that a request of the kind failed or was abandoned after this time, which is a lower
 * bound of its service time. */
void
RecordCensoredServiceTime(FastServiceTimes& aTimes, std::uint64_t aKindKey, Duration aElapsed);

/** Lowers the fast service times that had no sample for a second; call it once per window.
 * Otherwise a kind that was slow for a while could be refused permanently, because no execution
 * would correct its estimate. */
void
DecayServiceTimes(FastServiceTimes& aTimes, Instant aNow);

/** Fast service time of the kind; zero while there are too few samples. */
Duration
FastServiceTimeOf(const FastServiceTimes& aTimes, std::uint64_t aKindKey);

/** Mean service time of the kind; zero while there are too few samples. */
Duration
MeanServiceTimeOf(const FastServiceTimes& aTimes, std::uint64_t aKindKey);

} // namespace fulmarway
