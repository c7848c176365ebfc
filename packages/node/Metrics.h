/** \file
 * The metrics of a node in the text format of Prometheus.
 */
#pragma once

#include "policy/NodeState.h"

#include <cstdint>
#include <string>

namespace fulmarway {

/** What the event loop counts besides the reducer. */
struct LoopCounters
{
  std::uint64_t invalidRequests_ = 0;
  std::uint64_t invalidPeerMessages_ = 0;
  std::uint64_t invalidDatagrams_ = 0;
  std::uint64_t undecodableLogRecords_ = 0;
  std::uint64_t controlBytesSent_ = 0;
  std::uint64_t controlBytesReceived_ = 0;
  std::size_t callerConnections_ = 0;
  /** Reports of the backend server that could not be read. */
  std::uint64_t invalidReports_ = 0;
  /** Log lines that were left out because there were too many of one event. */
  std::uint64_t omittedLogLines_ = 0;
  std::uint64_t droppedLogLines_ = 0;
};

/** Body of GET /metrics. */
std::string
RenderMetrics(const NodeState& aState, const LoopCounters& aLoop);

} // namespace fulmarway
