/** \file
 * A node state for tests of the admin interface and the metrics.
 */
#pragma once

#include "node/AdminApi.h"

namespace fulmarway {

inline NodeState
MakeTestState()
{
  NodeSettings settings;
  settings.identity_.id_ = NodeId{ 1 };
  settings.identity_.peerAddress_ = "127.0.0.1:7001";
  settings.identity_.service_ = "dispatch";
  settings.identity_.domain_ = "colombo-a";
  settings.identity_.region_ = "region-1";
  return MakeNodeState(settings, Instant{});
}

} // namespace fulmarway
