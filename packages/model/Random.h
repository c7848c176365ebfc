/** \file
 * Pseudo-random numbers for decisions, seeded from the entropy of an event, so that a replay
 * reproduces them.
 */
#pragma once

#include "model/Ids.h"
#include "model/Time.h"

#include <cstdint>

namespace fulmarway {

/** SplitMix64 generator for random choices and jitter. Not cryptographically secure. */
struct RandomStream
{
  std::uint64_t state_ = 0;

  std::uint64_t Next()
  {
    state_ += 0x9E3779B97F4A7C15ULL;
    std::uint64_t value = state_;
    value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9ULL;
    value = (value ^ (value >> 27)) * 0x94D049BB133111EBULL;
    return value ^ (value >> 31);
  }

  Bits128 Next128()
  {
    const std::uint64_t high = Next();
    return Bits128{ high, Next() };
  }

  /** Uniform in [aDelay / 2, aDelay * 3 / 2). */
  Duration Jitter(Duration aDelay)
  {
    if (aDelay.count() <= 0) {
      return aDelay;
    }
    const auto width = static_cast<std::uint64_t>(aDelay.count());
    return Duration(aDelay.count() / 2 + static_cast<Duration::rep>(Next() % width));
  }

  bool operator==(const RandomStream&) const = default;
};

} // namespace fulmarway
