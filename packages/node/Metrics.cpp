#include "node/Metrics.h"

#include <cmath>
#include <prometheus/client_metric.h>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>
#include <sstream>
#include <vector>

namespace fulmarway {

namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

using Labels = std::vector<ClientMetric::Label>;

/** HELP text of a counter of the reducer. */
std::string
HelpOf(CounterId aCounter)
{
  switch (aCounter) {
    case CounterId::kCallsStarted:
      return "Calls taken from callers and from the own backend server";
    case CounterId::kCallsAnswered:
      return "Calls that ended with a whole answer of a backend server";
    case CounterId::kAttempts:
      return "Attempts sent to executors, first attempts and hedged ones included";
    case CounterId::kRetries:
      return "Attempts after a failed attempt of the same call";
    case CounterId::kHedges:
      return "Second attempts sent while the first one was still running";
    case CounterId::kTicketRepeats:
      return "Repeats of a request with a ticket to the same executor";
    case CounterId::kTicketRedirects:
      return "Requests with a ticket sent on to the successor of their executor";
    case CounterId::kBackendStarts:
      return "Requests passed to the own backend server";
    case CounterId::kBackendReoffers:
      return "Requests that were offered to the local backend server again after a refusal";
    case CounterId::kBackendAnswers:
      return "Answers of the own backend server";
    case CounterId::kBackendFailures:
      return "Requests that the own backend server did not answer";
    case CounterId::kCancellations:
      return "Cancellations received for requests on this node";
    case CounterId::kPeerConnectionsLost:
      return "TCP connections to other nodes that closed or went silent";
    case CounterId::kGossipReceived:
      return "Gossip messages received";
    case CounterId::kGossipSent:
      return "Gossip messages sent";
    case CounterId::kLogReads:
      return "Reads of the log service";
    case CounterId::kLogReadFailures:
      return "Reads of the log service that failed";
    case CounterId::kLogAppends:
      return "Appends sent to the log service";
    case CounterId::kLogAppendFailures:
      return "Appends that the log service refused or whose outcome is unknown";
    case CounterId::kConfigFetches:
      return "Requests to a peer for a newer configuration";
    case CounterId::kQuotaTokensUsed:
      return "Requests that took a token of the quota of their client account";
    case CounterId::kQuotaTokensReturned:
      return "Requests that ended as not run and returned their token";
    case CounterId::kQuotaMessagesReceived:
      return "Datagrams about quotas of client accounts received from peers";
    case CounterId::kQuotaMessagesSent:
      return "Datagrams about quotas of client accounts sent to peers";
    case CounterId::kKeyLeasesLost:
      return "Times that the node had to stop accepting keys of client accounts";
  }
  return "";
}

MetricFamily
MakeFamily(const std::string& aName, const std::string& aHelp, MetricType aType)
{
  MetricFamily family;
  family.name = "fulmarway_" + aName;
  family.help = aHelp;
  family.type = aType;
  return family;
}

void
AddValue(MetricFamily& aFamily, double aValue, Labels aLabels = {})
{
  ClientMetric metric;
  metric.label = std::move(aLabels);
  metric.counter.value = aValue;
  metric.gauge.value = aValue;
  aFamily.metric.push_back(std::move(metric));
}

MetricFamily
MakeSingle(const std::string& aName, const std::string& aHelp, MetricType aType, double aValue)
{
  MetricFamily family = MakeFamily(aName, aHelp, aType);
  AddValue(family, aValue);
  return family;
}

MetricFamily
MakeRefusals(const Counters& aCounters)
{
  MetricFamily family =
    MakeFamily("refusals_total", "Requests that were refused or failed", MetricType::Counter);
  for (const auto& [key, count] : aCounters.refusals_) {
    AddValue(family,
             static_cast<double>(count),
             { { "side", std::string(ToString(key.side_)) },
               { "service", key.service_ },
               { "kind", key.kind_ },
               { "importance", std::string(ToString(key.importance_)) },
               { "verdict", std::string(ToString(key.verdict_)) },
               { "reason", std::string(ToString(key.reason_)) } });
  }
  return family;
}

MetricFamily
MakeMembers(const NodeState& aState)
{
  std::map<std::pair<std::string, MemberState>, std::uint32_t> counts;
  for (const MemberRecord& record : Members(aState.membership_)) {
    ++counts[{ record.identity_.domain_, record.state_ }];
  }
  MetricFamily family = MakeFamily("members", "Known other nodes", MetricType::Gauge);
  for (const auto& [key, count] : counts) {
    AddValue(
      family, count, { { "domain", key.first }, { "state", std::string(ToString(key.second)) } });
  }
  return family;
}

MetricFamily
MakeHeldBytes(const HeldBytes& aHeld)
{
  MetricFamily family =
    MakeFamily("held_bytes",
               "Bytes received and not yet parsed, in requests in progress, and "
               "written and not yet sent",
               MetricType::Gauge);
  const auto add = [&](const char* aHolder, std::size_t aBytes) {
    AddValue(family, static_cast<double>(aBytes), { { "holder", aHolder } });
  };
  add("callers", aHeld.callers_);
  add("admin", aHeld.admin_);
  add("reports", aHeld.heartbeats_);
  add("peers", aHeld.peers_);
  add("backend", aHeld.backend_);
  add("control", aHeld.control_);
  add("requests", aHeld.requests_);
  return family;
}

void
AddGauges(std::vector<MetricFamily>& aFamilies, const NodeState& aState, const LoopCounters& aLoop)
{
  const auto add = [&](const char* aName, const char* aHelp, double aValue) {
    aFamilies.push_back(MakeSingle(aName, aHelp, MetricType::Gauge, aValue));
  };
  add("config_version", "Configuration version in force", ConfigOf(aState).version_);
  add("concurrency_limit", "Requests that may run at once", LimitOf(aState.admission_));
  add("backend_rate_limit",
      "Requests per second that the backend server asks for, rounded up; 0 for no limit",
      static_cast<std::uint64_t>(std::ceil(aState.admission_.startRate_.perSecond_.value_or(0))));
  add("running_requests", "Requests on the backend server", RunningCount(aState.admission_));
  add("queued_requests", "Requests that wait for a slot", QueuedCount(aState.admission_));
  add("admission_level",
      "Requests with a rank of this or more are refused",
      LevelOf(aState.admission_).admitBelow_);
  add("tickets", "Tickets that are remembered", TicketCount(aState.tickets_));
  add("outbound_calls", "Calls in progress", aState.outbound_.calls_.size());
  add("backend_healthy", "Whether the backend server answers", aState.lifecycle_.backendHealthy_);
  add("log_reachable", "Whether the log service answers", aState.control_.logReachable_);
  add("store_reachable", "Whether the store answers", aState.store_.reachable_);
  add("store_era",
      "Times that the store has returned from an older copy, as it counts them",
      aState.store_.era_.value_or(0));
  const bool isLeaseHeld = aState.keyLease_.held_ || !RequiresKeyLease(aState);
  add("key_lease_held", "Whether the node may accept keys of client accounts", isLeaseHeld);
  add("key_lease_since_seconds",
      "Unix time since which the node has held its key lease without a gap; 0 without a lease",
      aState.keyLease_.held_ ? static_cast<double>(aState.keyLease_.sinceMs_) / 1000 : 0);
  add("caller_connections", "Open connections of callers", aLoop.callerConnections_);
}

void
AddLoopCounters(std::vector<MetricFamily>& aFamilies, const LoopCounters& aLoop)
{
  const auto add = [&](const char* aName, const char* aHelp, std::uint64_t aValue) {
    aFamilies.push_back(MakeSingle(aName, aHelp, MetricType::Counter, static_cast<double>(aValue)));
  };
  add("invalid_requests_total", "Malformed HTTP requests", aLoop.invalidRequests_);
  add(
    "invalid_reports_total", "Unreadable reports of the backend server", aLoop.invalidHeartbeats_);
  add("invalid_answers_total",
      "Unusable answers of the backend server, the store and the log service",
      aLoop.invalidAnswers_);
  add(
    "omitted_log_lines_total", "Log lines above the bound of their event", aLoop.omittedLogLines_);
  add("dropped_log_lines_total",
      "Log lines lost because the reader of standard output did not keep up",
      aLoop.droppedLogLines_);
  add("released_connections_total",
      "Connections of callers that were given up for their memory",
      aLoop.releasedConnections_);
  add("caller_pauses_total",
      "Times at which the reading of a connection of a caller paused",
      aLoop.callerPauses_);
  add("invalid_peer_messages_total", "Dropped TCP messages", aLoop.invalidPeerMessages_);
  add("invalid_datagrams_total", "Dropped UDP messages", aLoop.invalidDatagrams_);
  add("undecodable_log_records_total", "Log records passed over", aLoop.undecodableLogRecords_);
  add("control_sent_bytes_total", "Bytes of gossip and log traffic sent", aLoop.controlBytesSent_);
  add("control_received_bytes_total",
      "Bytes of gossip and log traffic received",
      aLoop.controlBytesReceived_);
}

} // namespace

std::string
RenderMetrics(const NodeState& aState, const LoopCounters& aLoop)
{
  std::vector<MetricFamily> families;
  for (std::size_t index = 0; index < kCounterCount; ++index) {
    const auto counter = static_cast<CounterId>(index);
    families.push_back(MakeSingle(std::string(CounterName(counter)) + "_total",
                                  HelpOf(counter),
                                  MetricType::Counter,
                                  static_cast<double>(aState.counters_.Value(counter))));
  }
  families.push_back(MakeRefusals(aState.counters_));
  families.push_back(MakeMembers(aState));
  families.push_back(MakeHeldBytes(aLoop.held_));
  AddGauges(families, aState, aLoop);
  AddLoopCounters(families, aLoop);
  std::ostringstream stream;
  prometheus::TextSerializer().Serialize(stream, families);
  return std::move(stream).str();
}

} // namespace fulmarway
