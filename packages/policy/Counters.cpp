#include "policy/Counters.h"

namespace fulmarway {

namespace {

constexpr std::array<std::string_view, kCounterCount> kCounterNames = {
  "calls_started",
  "calls_answered",
  "attempts",
  "retries",
  "hedges",
  "ticket_repeats",
  "ticket_redirects",
  "backend_starts",
  "backend_reoffers",
  "backend_answers",
  "backend_failures",
  "cancellations",
  "peer_connections_lost",
  "gossip_received",
  "gossip_sent",
  "log_reads",
  "log_read_failures",
  "log_appends",
  "log_append_failures",
  "config_fetches",
  "completion_probes",
};

} // namespace

std::string_view
CounterName(CounterId aCounter)
{
  return kCounterNames[static_cast<std::size_t>(aCounter)];
}

std::string_view
ToString(RefusalSide aSide)
{
  return aSide == RefusalSide::kInbound ? "inbound" : "outbound";
}

void
RecordRefusal(Counters& aCounters, RefusalKey aKey, std::string aRootRequestId, Instant aNow)
{
  if (aCounters.trace_.size() >= kMaxTraceEntries) {
    aCounters.trace_.pop_front();
  }
  aCounters.trace_.push_back({ std::move(aRootRequestId),
                               aNow,
                               aKey.service_,
                               aKey.kind_,
                               aKey.side_,
                               aKey.verdict_,
                               aKey.reason_ });
  ++aCounters.refusals_[std::move(aKey)];
}

} // namespace fulmarway
