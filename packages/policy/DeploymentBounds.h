/** \file
 * Time limits that a deployment imposes, and the settings of a node that follow from them.
 */
#pragma once

#include "policy/NodeState.h"

#include <optional>

namespace fulmarway {

struct DeploymentBounds
{
  /** How long a backend server that leaves may still receive requests. */
  std::optional<Duration> drain_;
  /** Time from the stop signal until the process is killed. */
  std::optional<Duration> stop_;
  /** Repeated arrivals at the backend servers of a service as a share of the requests for it, in a
   * window of retryWindow_. */
  std::optional<double> retryShare_;
  std::optional<Duration> retryWindow_;
  /** Whether a removed key must not be accepted by any node after keyRemoval_, and this time. */
  bool strictKeyRemoval_ = false;
  std::optional<Duration> keyRemoval_;
  QuotaBounds quota_;

  bool operator==(const DeploymentBounds&) const = default;
};

/** Adjusts the times and the retry budget of the node to the bounds. What has no bound is
 * unchanged. */
NodeSettings
WithBounds(NodeSettings aSettings, const DeploymentBounds& aBounds);

} // namespace fulmarway
