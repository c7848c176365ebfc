/** \file
 * Time types of the decision functions. Events carry the current time, so tests run in virtual
 * time.
 */
#pragma once

#include <chrono>
#include <cstdint>

namespace fulmarway {

/** Tag type for the monotonic clock of the process. It has no now(): only the event loop reads the
 * clock. */
struct MonotonicClock
{
  using rep = std::int64_t;
  using period = std::micro;
  using duration = std::chrono::microseconds;
  using time_point = std::chrono::time_point<MonotonicClock, duration>;
  static constexpr bool is_steady = true;
};

using Duration = MonotonicClock::duration;
using Instant = MonotonicClock::time_point;

} // namespace fulmarway
