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

  bool operator==(const DeploymentBounds&) const = default;
};

/** Adjusts the times of the node to the bounds. Times without a bound are unchanged. */
NodeSettings
WithBounds(NodeSettings aSettings, const DeploymentBounds& aBounds);

} // namespace fulmarway
