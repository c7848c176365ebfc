/** \file
 * Time as the decision functions see it. Instants enter as part of events, so tests run in virtual
 * time.
 */
#pragma once

#include <chrono>
#include <cstdint>

namespace fulmarway {

/** Tag of the monotonic clock of one process. It has no now(): only the event loop reads clocks. */
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
