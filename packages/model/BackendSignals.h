/** \file
 * What a backend server asks of the nodes with its answers.
 */
#pragma once

#include <optional>

namespace fulmarway {

struct BackendSignals
{
  /** Requests per second that it takes from all nodes together; nullopt when it names no limit. */
  std::optional<double> maxRequestsPerSecond_;

  bool operator==(const BackendSignals&) const = default;
};

} // namespace fulmarway
