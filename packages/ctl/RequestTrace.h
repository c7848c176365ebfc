/** \file
 * The lines of one request out of the logs of several nodes.
 */
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace fulmarway {

/** The log of one node. */
struct NodeLog
{
  std::string name_;
  std::string text_;
};

/** A line of a log with the name of the log. */
struct TraceLine
{
  std::string node_;
  /** The field `time`; empty when the line has none. */
  std::string time_;
  std::string line_;

  auto operator<=>(const TraceLine&) const = default;
};

/** The lines about the attempt aId, about the requests that it is a call of, and about its own
 * deeper calls, ordered by time. Ids of calls begin with the id of their parent and a dot. Clocks
 * of VMs differ, so lines of two nodes can change places. */
std::vector<TraceLine>
TraceRequest(std::string_view aId, const std::vector<NodeLog>& aLogs);

/** One line of text for each line of the trace. */
std::string
RenderTrace(const std::vector<TraceLine>& aTrace);

} // namespace fulmarway
