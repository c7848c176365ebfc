/** \file
 * Renders the metrics of a node in the Prometheus text format.
 */
#pragma once

#include "node/HeldBytes.h"
#include "policy/NodeState.h"

#include <cstdint>
#include <string>

namespace fulmarway {

/** Counters and gauges of the event loop; those of the reducer are in NodeState. */
struct LoopCounters
{
  std::uint64_t invalidRequests_ = 0;
  std::uint64_t invalidPeerMessages_ = 0;
  std::uint64_t invalidDatagrams_ = 0;
  std::uint64_t undecodableLogRecords_ = 0;
  std::uint64_t controlBytesSent_ = 0;
  std::uint64_t controlBytesReceived_ = 0;
  std::size_t callerConnections_ = 0;
  /** Heartbeats of the backend server that could not be parsed. */
  std::uint64_t invalidHeartbeats_ = 0;
  /** Log lines omitted by the rate limit for one event. */
  std::uint64_t omittedLogLines_ = 0;
  /** Log lines dropped because the reader of standard output did not keep up. */
  std::uint64_t droppedLogLines_ = 0;
  /** Connections of callers that were given up for their memory. */
  std::uint64_t releasedConnections_ = 0;
  /** Answers of servers that were malformed, truncated or of an unknown status. */
  std::uint64_t invalidAnswers_ = 0;
  /** Times at which the reading of a connection of a caller paused. */
  std::uint64_t callerPauses_ = 0;
  HeldBytes held_;
};

/** Body of GET /metrics. */
std::string
RenderMetrics(const NodeState& aState, const LoopCounters& aLoop);

} // namespace fulmarway
