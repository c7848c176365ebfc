/** \file
 * Load that a backend server reports about itself with an answer.
 */
#pragma once

#include <compare>
#include <cstdint>

namespace fulmarway {

struct BackendLoad
{
  std::uint32_t running_ = 0;
  /** Requests in the queue of the backend server. */
  std::uint32_t waiting_ = 0;
  std::uint32_t slots_ = 0;
  /** Time that work takes on the machine at this moment, percent of the usual time. It changes many
   * times a second, because other users share the machine. */
  std::uint32_t workTimePercent_ = 100;

  auto operator<=>(const BackendLoad&) const = default;
};

} // namespace fulmarway
