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
  /** It is about to leave and must get no new requests after the grace period of its drain. */
  bool leaving_ = false;

  bool operator==(const BackendSignals&) const = default;
};

} // namespace fulmarway
