/** \file
 * A fast service time of each kind, so that a request that cannot finish before its deadline is
 * refused before it runs.
 */
#pragma once

#include "model/Time.h"

#include <cstdint>
#include <map>

namespace fulmarway {

struct FastServiceTime
{
  /** About one completion in ten is faster; microseconds. */
  double fastUs_ = 0;
  std::uint32_t observed_ = 0;
  Instant lastSeen_;

  auto operator<=>(const FastServiceTime&) const = default;
};

/** At most kMaxFastServiceTimes kinds; the longest unseen is dropped. */
using FastServiceTimes = std::map<std::uint64_t, FastServiceTime>;

inline constexpr std::size_t kMaxFastServiceTimes = 256;

/** A request completed with success. */
void
NoteServiceTime(FastServiceTimes& aTimes,
                std::uint64_t aKindKey,
                Duration aServiceTime,
                Instant aNow);

/** Lowers what has not been confirmed for a second; call it every window. Without it, a kind that
 * was slow for a while could be refused for good, because nothing runs that would correct it. */
void
DecayServiceTimes(FastServiceTimes& aTimes, Instant aNow);

/** Zero while too little is known. */
Duration
FastServiceTimeOf(const FastServiceTimes& aTimes, std::uint64_t aKindKey);

} // namespace fulmarway
