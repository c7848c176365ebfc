/** \file
 * The whole state of a node and what every handler gets besides it.
 */
#pragma once

#include "model/Mac.h"
#include "model/Member.h"
#include "model/Random.h"
#include "model/Step.h"
#include "policy/Admission.h"
#include "policy/BackendReports.h"
#include "policy/CallDependencies.h"
#include "policy/ConfigFold.h"
#include "policy/Counters.h"
#include "policy/Effect.h"
#include "policy/Event.h"
#include "policy/Membership.h"
#include "policy/RetryBudget.h"
#include "policy/Routing.h"
#include "policy/TicketTable.h"
#include "policy/WeightedSplit.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace fulmarway {

/** From the command line and the environment; fixed for the life of the process. */
struct NodeSettings
{
  NodeIdentity identity_;
  ClusterKey clusterKey_;
  std::vector<std::string> seeds_;
  TicketSettings tickets_;
  RetryBudgetSettings retries_;
  MembershipSettings membership_;
  /** How long the log service keeps records. */
  Duration logRetention_ = std::chrono::hours(1);
  Duration logPollInterval_ = std::chrono::milliseconds(500);
  /** Longest planned stop; after it the process ends whatever is unfinished. */
  Duration stopTimeout_ = std::chrono::seconds(30);
  /** How long a draining node still takes work, so that callers that have not heard of the drain
   * are not refused. Below the 2 s after which a draining node must get no new work. */
  Duration drainGrace_ = std::chrono::milliseconds(1500);
  /** How long a stopping node still takes new connections: until those who choose a node for the
   * callers have seen that it is not ready. */
  Duration acceptAfterStop_{ 0 };
  /** The configuration and the announcements of nodes last in a store, and the backend server
   * reports to its node, instead of the log service and health checks. */
  bool usesStore_ = false;
  /** Backend servers are known by routes and need no tickets. */
  bool usesTickets_ = true;

  bool operator==(const NodeSettings&) const = default;
};

/** Who waits for the outcome of a request on this node's backend server. */
struct Requester
{
  /** Zero for this node's own outbound role. */
  LinkId link_;
  AttemptId attempt_;

  auto operator<=>(const Requester&) const = default;
};

enum class InboundPhase : std::uint8_t
{
  kQueued,
  kRunning,
  /** Waits for another request with the same ticket. */
  kJoined,
};

struct InboundRequest
{
  Request request_;
  InboundPhase phase_ = InboundPhase::kQueued;
  /** nullopt when the requester went away. */
  std::optional<Requester> requester_;
  Instant deadline_;
  Instant startedAt_;
  /** Tokens of a joined request, returned unused. */
  std::uint32_t joinedTokens_ = 0;
  /** Its deeper calls that were refused as not run. */
  std::set<DeeperCall> refusedCalls_;

  bool operator==(const InboundRequest&) const = default;
};

/** Requests for the own backend server. */
struct InboundState
{
  std::unordered_map<RequestId, InboundRequest> requests_;
  std::map<Requester, RequestId> byRequester_;
  /** Routed requests by the id that their caller gave them; of several with one id the latest. */
  std::unordered_map<std::string, RequestId> byCallerId_;
  CallDependencies dependencies_;

  bool operator==(const InboundState&) const = default;
};

/** One try of a call at one backend server's node. */
struct Attempt
{
  NodeId target_;
  Instant startedAt_;
  bool hedge_ = false;
  /** The answer as far as it has arrived. */
  std::optional<CallAnswer> partial_;

  bool operator==(const Attempt&) const = default;
};

/** A call that this node makes for a caller or for its own backend server. */
struct OutboundCall
{
  ExchangeId exchange_;
  CallerRequest origin_;
  Request request_;
  bool idempotent_ = true;
  PoolId pool_;
  bool ownsPool_ = false;
  Instant startedAt_;
  Instant deadline_;
  /** How long after the deadline the outcome of an attempt is waited for: with it the caller learns
   * whether the request ran. */
  Duration outcomeGrace_{ 0 };
  std::map<AttemptId, Attempt> attempts_;
  std::vector<NodeId> tried_;
  /** Whether any attempt may have reached a backend server. */
  bool mayHaveRun_ = false;
  /** When to present the ticket to its executor again. */
  std::optional<Instant> repeatAt_;
  std::uint32_t ticketRepeats_ = 0;
  std::uint32_t redirects_ = 0;
  /** The request on the own backend server that probably makes this call, by its deadline. It lends
   * its importance and click to the call and nothing else: the call may belong to another one. */
  std::optional<RequestId> likelyParent_;
  /** Attempts that were refused before they reached a backend server. */
  std::uint32_t replacements_ = 0;

  bool operator==(const OutboundCall&) const = default;
};

struct OutboundState
{
  std::unordered_map<CallId, OutboundCall> calls_;
  std::unordered_map<AttemptId, CallId> byAttempt_;
  std::unordered_map<ExchangeId, CallId> byExchange_;
  std::uint64_t nextId_ = 1;
  /** Possible targets by service; rebuilt when membership or drains change. */
  std::map<std::string, std::vector<RouteCandidate>> candidates_;
  bool candidatesStale_ = true;
  WeightedSplits splits_;

  bool operator==(const OutboundState&) const = default;
};

/** Calls in progress on one node; above it new ones are refused. */
inline constexpr std::size_t kMaxOutboundCalls = 20000;
inline constexpr std::size_t kMaxInboundRequests = 20000;

/** An operator's command on its way through the log. */
struct PendingCommand
{
  ExchangeId exchange_;
  CommandRecord record_;
  Instant deadline_;
  /** An append was sent whose answer is not known to be a refusal. */
  bool mayBeAppended_ = false;
  bool appending_ = false;
  Instant nextTryAt_;

  bool operator==(const PendingCommand&) const = default;
};

struct PendingInForce
{
  ExchangeId exchange_;
  std::uint64_t version_ = 0;
  Instant deadline_;
  /** Version that each member answered. */
  std::map<NodeId, std::uint64_t> answers_;

  bool operator==(const PendingInForce&) const = default;
};

/** Use of the store that holds the configuration and the announcements of nodes. */
struct StoreState
{
  bool readingConfiguration_ = false;
  Instant nextConfigurationReadAt_;
  /** Where to wait for the next change; nullopt before the newest was read. */
  std::optional<std::uint64_t> nextChange_;
  bool listing_ = false;
  Instant nextListAt_;
  /** Continues a listing of several pages. */
  std::string listAfter_;
  /** Complete listings since the store was last unreachable, and when the last one ended. */
  std::uint32_t listings_ = 0;
  Instant listedAt_;
  bool announcing_ = false;
  Instant nextAnnounceAt_;
  bool reachable_ = true;
  std::uint32_t failuresInRow_ = 0;

  bool operator==(const StoreState&) const = default;
};

/** Reading and writing of the log and the operators' requests. */
struct ControlState
{
  bool reading_ = false;
  Instant nextReadAt_;
  bool logReachable_ = true;
  bool announced_ = false;
  bool announcing_ = false;
  Instant nextAnnounceAt_;
  /** When a snapshot was last seen in the log. */
  Instant lastSnapshotAt_;
  bool snapshotting_ = false;
  /** Earliest time for the next ConfigRequest. */
  Instant nextFetchAt_;
  std::map<std::uint64_t, PendingCommand> commands_;
  std::vector<PendingInForce> inForce_;
  std::uint64_t nextToken_ = 1;

  bool operator==(const ControlState&) const = default;
};

inline constexpr std::size_t kMaxPendingCommands = 256;

enum class LifecyclePhase : std::uint8_t
{
  kServing,
  /** Takes no new work; an operator's drain stays here. */
  kDraining,
  /** The ticket tables are on their way to the successor. */
  kHandingOver,
  /** Spreading the news that it left. */
  kLeaving,
};

struct LifecycleState
{
  LifecyclePhase phase_ = LifecyclePhase::kServing;
  bool stopRequested_ = false;
  Instant phaseSince_;
  Instant drainStartedAt_;
  Instant stopRequestedAt_;
  bool hasStoppedAccepting_ = false;
  Instant nextHandoverSendAt_;
  bool backendHealthy_ = false;

  bool operator==(const LifecycleState&) const = default;
};

struct NodeState
{
  NodeSettings settings_;
  LogReader log_;
  MembershipState membership_;
  AdmissionState admission_;
  TicketTable tickets_;
  RetryBudget budget_;
  RoutingState routing_;
  InboundState inbound_;
  OutboundState outbound_;
  ControlState control_;
  LifecycleState lifecycle_;
  StoreState store_;
  /** nullopt before the first report; not used with health checks. */
  std::optional<BackendInstance> backend_;
  Counters counters_;
  Instant nextAdmissionAdvanceAt_;
  Instant nextMembershipAdvanceAt_;

  bool operator==(const NodeState&) const = default;
};

/** A message of this node to itself, handled after the current one. */
struct LocalMessage
{
  PeerMessage message_;
};

/** What a handler needs besides the state, and what it produces. */
struct ReduceContext
{
  Instant now_;
  std::uint64_t wallTimeMs_ = 0;
  RandomStream random_;
  Effects effects_;
  std::deque<LocalMessage> local_;
};

/** Replaces a part of the state by the result of its module's function. */
template<typename State, typename Result>
Result
Apply(State& aSlot, Step<State, Result> aStep)
{
  aSlot = std::move(aStep.state_);
  return std::move(aStep.result_);
}

/** The configuration in force. */
inline const Configuration&
ConfigOf(const NodeState& aState)
{
  return aState.log_.state_.config_;
}

/** nullptr when not declared. */
const KindSpec*
FindKind(const Configuration& aConfig, const std::string& aService, const std::string& aKind);

/** Whether this node takes new work for its backend server. */
bool
AcceptsNewWork(const NodeState& aState, Instant aNow);

/** Whether the node is draining, by an operator or because it stops. */
bool
IsDraining(const NodeState& aState);

/** Sends what membership wants sent and follows its changes. */
void
ApplyGossipOutput(NodeState& aState, ReduceContext& aContext, GossipOutput aOutput);

NodeState
MakeNodeState(NodeSettings aSettings, Instant aNow);

} // namespace fulmarway
