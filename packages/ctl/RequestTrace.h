/** \file
 * Collects the log lines of one request from the logs of several nodes.
 */
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace fulmarway {

/** The complete log text of one node. */
struct NodeLog
{
  std::string name_;
  std::string text_;
};

/** A log line and the name of the log that contains it. */
struct TraceLine
{
  std::string logName_;
  /** The value of the field `time`; empty if the line has none. */
  std::string time_;
  std::string line_;

  auto operator<=>(const TraceLine&) const = default;
};

/** Returns the log lines of the request aId, of the requests that it is a downstream call of, and
 * of its downstream calls, ordered by time. The id of a downstream call starts with the id of its
 * parent and a dot. The clocks of VMs differ, so lines of different nodes can be out of order. */
std::vector<TraceLine>
TraceRequest(std::string_view aId, const std::vector<NodeLog>& aLogs);

/** Renders each line of the trace as "LOG: LINE". */
std::string
RenderTrace(const std::vector<TraceLine>& aTrace);

} // namespace fulmarway
