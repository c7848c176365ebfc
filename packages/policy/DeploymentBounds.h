/** \file
 * Times that a deployment allows, and the settings of a node that follow from them.
 */
#pragma once

#include "policy/NodeState.h"

#include <optional>

namespace fulmarway {

struct DeploymentBounds
{
  /** How long a backend server that leaves may still get requests. */
  std::optional<Duration> drain_;
  /** From the signal to stop until the process is killed. */
  std::optional<Duration> stop_;

  bool operator==(const DeploymentBounds&) const = default;
};

/** Shortens or lengthens the times of the node so that they keep the bounds; what has no bound
 * stays.
 */
NodeSettings
WithBounds(NodeSettings aSettings, const DeploymentBounds& aBounds);

} // namespace fulmarway
