/** \file
 * Follows a failed request from its id to the log line that names the cause, across the logs of
 * several nodes, for the three kinds of failure in docs/OPERATIONS.md.
 */
#include "ctl/RequestTrace.h"

#include <criterion/criterion.h>

using namespace fulmarway;

namespace {

std::string
MakeLine(int aMilliseconds, const std::string& aFields)
{
  return "time=2026-12-04T15:00:00." + std::to_string(100 + aMilliseconds) + "+00:00 level=info " +
         aFields + '\n';
}

/** Returns the log name and the last field of each line of the trace, in order. */
std::vector<std::string>
LastFields(std::string_view aId, const std::vector<NodeLog>& aLogs)
{
  std::vector<std::string> lastFields;
  for (const TraceLine& line : TraceRequest(aId, aLogs)) {
    lastFields.push_back(line.logName_ + " " + line.line_.substr(line.line_.rfind(' ') + 1));
  }
  return lastFields;
}

} // namespace

/** Guards against missing the cause of a refusal that only the refusing node has logged. */
Test(request_trace, refused_request_leads_to_the_node_that_refused)
{
  const std::vector<NodeLog> logs{
    { "entry",
      MakeLine(1, "event=attempt_sent request=a1 attempts=1 target=10.0.0.2:7000") +
        MakeLine(9, "event=call_failed request=a1 verdict=not-run reason=shed-by-level") +
        MakeLine(2, "event=call_failed request=a11 verdict=not-run reason=deadline") },
    { "server",
      MakeLine(5, "event=inbound_failed request=a1 running=168 limit=168 reason=shed-by-level") },
  };
  const std::vector<std::string> expected{ "entry target=10.0.0.2:7000",
                                           "server reason=shed-by-level",
                                           "entry reason=shed-by-level" };
  cr_expect(LastFields("a1", logs) == expected);
}

Test(request_trace, lost_backend_server_is_named)
{
  const std::vector<NodeLog> logs{
    { "entry",
      MakeLine(9, "event=call_failed request=b2 verdict=may-have-run reason=backend-lost") },
    { "server",
      MakeLine(5, "event=inbound_failed request=b2 verdict=may-have-run reason=backend-lost") +
        MakeLine(4, "event=backend_lost instance=i-1 failed_connects=3") },
  };
  const std::vector<std::string> expected{ "server reason=backend-lost",
                                           "entry reason=backend-lost" };
  cr_expect(LastFields("b2", logs) == expected);
}

/** Guards against missing a cause that lies two calls downstream, and against missing the caller's
 * lines when the trace is requested by the id of the downstream call. */
Test(request_trace, late_request_leads_to_its_downstream_call_and_back)
{
  const std::vector<NodeLog> logs{
    { "entry", MakeLine(9, "event=call_answered request=c3 status=500") },
    { "middle", MakeLine(7, "event=call_failed request=c3.x click=c3 reason=deadline") },
    { "deep",
      MakeLine(6, "event=inbound_failed request=c3.x click=c3 queued=83 reason=deadline") +
        MakeLine(8, "event=inbound_failed request=c4.x click=c4 reason=deadline") },
  };
  const std::vector<std::string> expected{ "deep reason=deadline",
                                           "middle reason=deadline",
                                           "entry status=500" };
  cr_expect(LastFields("c3", logs) == expected);
  cr_expect(LastFields("c3.x", logs) == expected);
  cr_expect(LastFields("c", logs).empty(), "a prefix of an id does not match");
}
