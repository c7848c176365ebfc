#include "ctl/RequestTrace.h"

#include <algorithm>
#include <sstream>

namespace fulmarway {

namespace {

/** Returns VALUE of the field "NAME=VALUE" in a line of blank-separated fields; empty if the line
 * has no such field. */
std::string_view
FieldValue(std::string_view aLine, std::string_view aName)
{
  std::size_t position = 0;
  while ((position = aLine.find(aName, position)) != std::string_view::npos) {
    const std::size_t separator = position + aName.size();
    const bool startsField = position == 0 || aLine[position - 1] == ' ';
    if (startsField && separator < aLine.size() && aLine[separator] == '=') {
      const std::string_view rest = aLine.substr(separator + 1);
      return rest.substr(0, rest.find(' '));
    }
    position = separator;
  }
  return {};
}

/** Whether aCall is the request aId or one of its downstream calls. The id of a downstream call is
 * the id of its parent, a dot and a suffix. */
bool
IsSameOrDownstreamCall(std::string_view aCall, std::string_view aId)
{
  return aCall.starts_with(aId) && (aCall.size() == aId.size() || aCall[aId.size()] == '.');
}

/** Whether the line belongs to the request aId, to a request that it is a downstream call of, to
 * one of its downstream calls, or to the root request aId. */
bool
BelongsToRequest(std::string_view aLine, std::string_view aId)
{
  const std::string_view request = FieldValue(aLine, "request");
  return (!request.empty() &&
          (IsSameOrDownstreamCall(request, aId) || IsSameOrDownstreamCall(aId, request))) ||
         FieldValue(aLine, "click") == aId;
}

} // namespace

std::vector<TraceLine>
TraceRequest(std::string_view aId, const std::vector<NodeLog>& aLogs)
{
  std::vector<TraceLine> trace;
  for (const NodeLog& log : aLogs) {
    std::istringstream stream(log.text_);
    for (std::string line; std::getline(stream, line);) {
      if (BelongsToRequest(line, aId)) {
        trace.push_back({ log.name_, std::string(FieldValue(line, "time")), std::move(line) });
      }
    }
  }
  std::stable_sort(trace.begin(), trace.end(), [](const TraceLine& aLeft, const TraceLine& aRight) {
    return aLeft.time_ < aRight.time_;
  });
  return trace;
}

std::string
RenderTrace(const std::vector<TraceLine>& aTrace)
{
  std::string text;
  for (const TraceLine& line : aTrace) {
    text += line.logName_ + ": " + line.line_ + '\n';
  }
  return text;
}

} // namespace fulmarway
