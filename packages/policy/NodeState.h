/** \file
 * The state of a node, and the context that every event handler receives with it.
 */
#pragma once

#include "model/Mac.h"
#include "model/Member.h"
#include "model/Random.h"
#include "model/Step.h"
#include "policy/AccountKeys.h"
#include "policy/Admission.h"
#include "policy/BackendHeartbeats.h"
#include "policy/BackendRetryBudget.h"
#include "policy/CallDependencies.h"
#include "policy/ConfigFold.h"
#include "policy/Counters.h"
#include "policy/Effect.h"
#include "policy/Event.h"
#include "policy/KeyLease.h"
#include "policy/Membership.h"
#include "policy/QuotaNode.h"
#include "policy/RetryBudget.h"
#include "policy/Routing.h"
#include "policy/TicketTable.h"
#include "policy/WeightedSplit.h"

#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace fulmarway {

/** Settings from the command line and the environment; constant for the lifetime of the process. */
struct NodeSettings
{
  NodeIdentity identity_;
  ClusterKey clusterKey_;
  std::vector<std::string> seeds_;
  TicketSettings tickets_;
  RetryBudgetSettings retries_;
  BackendRetrySettings backendRetries_;
  MembershipSettings membership_;
  /** How long the log service keeps records. */
  Duration logRetention_ = std::chrono::hours(1);
  Duration logPollInterval_ = std::chrono::milliseconds(500);
  /** Maximum duration of a planned stop; then the process exits even with requests in flight. */
  Duration stopTimeout_ = std::chrono::seconds(30);
  /** How long a draining node still accepts new requests, so that entry nodes that have not yet
   * been notified of the drain are not refused. Must stay below the 2 s after which a draining node
   * receives no new work. */
  Duration drainGrace_ = std::chrono::milliseconds(1500);
  /** How long a stopping node still accepts new connections, so that load balancers have time to
   * observe that its readiness check fails. */
  Duration acceptAfterStop_{ 0 };
  /** Reads the configuration and the announcements of nodes from a store instead of the log
   * service, and the state of the backend server from its heartbeats instead of health checks. */
  bool usesStore_ = false;
  /** Longest time for which a removed key of a client account may still be accepted; nullopt where
   * a node that is cut off may accept it for longer. */
  std::optional<Duration> keyRemovalBound_;
  QuotaBounds quota_;
  /** Whether requests need tickets; false where callers address backend servers by routes. */
  bool usesTickets_ = true;

  bool operator==(const NodeSettings&) const = default;
};

/** Identifies the party that waits for the outcome of a request on this node's backend server. */
struct Requester
{
  /** Zero when the request comes from this node's own outbound role. */
  LinkId link_;
  AttemptId attempt_;

  auto operator<=>(const Requester&) const = default;
};

enum class InboundPhase : std::uint8_t
{
  kQueued,
  kRunning,
  /** Waits for the outcome of another request with the same ticket. */
  kJoined,
};

struct InboundRequest
{
  Request request_;
  InboundPhase phase_ = InboundPhase::kQueued;
  /** nullopt after the requester disconnected. */
  std::optional<Requester> requester_;
  Instant deadline_;
  Instant startedAt_;
  /** Retry tokens reserved by a joined request. They are returned, since it is not executed. */
  std::uint32_t joinedRetryTokens_ = 0;
  /** As in CallRequest. */
  bool repeat_ = false;
  bool idempotent_ = false;
  /** How often this node offered the request to its backend server again after a refusal. */
  std::uint32_t reoffers_ = 0;
  /** Downstream calls of this request that were refused as not run. */
  std::set<DownstreamCall> refusedDownstreamCalls_;

  bool operator==(const InboundRequest&) const = default;
};

/** Requests to the local backend server. */
struct InboundState
{
  std::unordered_map<RequestId, InboundRequest> requests_;
  std::map<Requester, RequestId> byRequester_;
  /** Routed requests by the id that the caller assigned. Of several with the same id, the latest.
   */
  std::unordered_map<std::string, RequestId> byCallerId_;
  CallDependencies dependencies_;
  BackendRetryBudget retries_;

  bool operator==(const InboundState&) const = default;
};

/** An attempt of a call, sent to the node of one backend server. */
struct Attempt
{
  NodeId target_;
  Instant startedAt_;
  bool hedge_ = false;
  /** The parts of the answer that have arrived so far. */
  std::optional<CallAnswer> partialAnswer_;

  bool operator==(const Attempt&) const = default;
};

/** A call that this node makes on behalf of a caller or of its local backend server. */
struct OutboundCall
{
  ExchangeId exchange_;
  CallerRequest origin_;
  Request request_;
  bool idempotent_ = true;
  TokenPoolId pool_;
  bool ownsPool_ = false;
  Instant startedAt_;
  Instant deadline_;
  /** Extra wait after the deadline for the outcome of an attempt, so that the reply can state
   * whether the request ran. */
  Duration outcomeGrace_{ 0 };
  std::map<AttemptId, Attempt> attempts_;
  std::vector<NodeId> triedNodes_;
  /** Whether any attempt may have reached a backend server. */
  bool mayHaveRun_ = false;
  /** Time of the next ticket retry. */
  std::optional<Instant> ticketRetryAt_;
  std::uint32_t ticketRetries_ = 0;
  std::uint32_t redirects_ = 0;
  /** The request on the local backend server that most likely made this call, judged by its
   * deadline. The call inherits only its importance and root request id, because the guess may be
   * wrong. */
  std::optional<RequestId> likelyParent_;
  /** Attempts sent in place of ones that were refused before they reached a backend server. */
  std::uint32_t replacementAttempts_ = 0;
  /** The call was made by a request that is itself a repeat, see CallRequest. */
  bool madeByRepeat_ = false;
  /** A backend server has received an attempt that ended. */
  bool hasReachedBackend_ = false;
  /** The call is not sent before it has a token of its account. */
  bool waitsForToken_ = false;
  std::optional<TakenToken> token_;

  bool operator==(const OutboundCall&) const = default;
};

struct OutboundState
{
  std::unordered_map<CallId, OutboundCall> calls_;
  std::unordered_map<AttemptId, CallId> byAttempt_;
  std::unordered_map<ExchangeId, CallId> byExchange_;
  std::uint64_t nextId_ = 1;
  /** Candidate targets by service; rebuilt when membership or drains change. */
  std::map<std::string, std::vector<RouteCandidate>> candidates_;
  bool candidatesStale_ = true;
  WeightedSplits splits_;

  bool operator==(const OutboundState&) const = default;
};

/** Maximum calls in flight on one node; further ones are refused. */
inline constexpr std::size_t kMaxOutboundCalls = 20000;
inline constexpr std::size_t kMaxInboundRequests = 20000;

/** An operator's command that has not been read back from the log yet. */
struct PendingCommand
{
  ExchangeId exchange_;
  CommandRecord record_;
  Instant deadline_;
  /** An append was sent and was not refused, so the command may be in the log. */
  bool mayBeAppended_ = false;
  bool appending_ = false;
  Instant nextAppendAt_;

  bool operator==(const PendingCommand&) const = default;
};

struct PendingInForce
{
  ExchangeId exchange_;
  std::uint64_t version_ = 0;
  Instant deadline_;
  /** Version in effect on each member, from its gossip since the query. */
  std::map<NodeId, std::uint64_t> answers_;

  bool operator==(const PendingInForce&) const = default;
};

/** A notice of the backend server that is acknowledged once its departure is in the store. */
struct PendingAcknowledgement
{
  ExchangeId exchange_;
  Instant deadline_;

  bool operator==(const PendingAcknowledgement&) const = default;
};

/** Progress of the calls to the store, which holds the configuration and the announcements. */
struct StoreState
{
  /** Era of the store as the answers name it, see RecordEra(); nullopt before the first. */
  std::optional<std::uint64_t> era_;
  /** For each call in flight, `era_` when it was started. */
  std::map<StoreTask, std::optional<std::uint64_t>> callEras_;
  bool readingConfiguration_ = false;
  /** When the read in progress was started; of several pages, the first one. */
  Instant configurationReadStartedAt_;
  /** Whether the newest configuration in the store was decoded. Reads of changes refer to the
   * record that an earlier read has found. */
  bool hasDecodedNewest_ = false;
  Instant nextConfigurationReadAt_;
  /** AwaitConfiguration::from_ of the next call, a position in `era_`; nullopt when the newest
   * configuration must be read first. */
  std::optional<std::uint64_t> nextChange_;
  /** The page of the newest configuration to read next, if `nextChange_` is not set. */
  ReadConfiguration nextPage_;
  bool listing_ = false;
  Instant nextListAt_;
  /** Continuation key of a listing that has several pages; empty for the first page. */
  std::string listAfter_;
  /** Listings completed since the store was last unreachable, and when the last one ended. */
  std::uint32_t completedListings_ = 0;
  Instant lastListingAt_;
  /** When the first listing was completed; from then on the announcement of the previous process
   * has been read. */
  std::optional<Instant> listedAt_;
  bool announcing_ = false;
  Instant nextAnnounceAt_;
  /** The departure in the announcement that is being written, and in the last one written. */
  std::optional<BackendDeparture> announcingDeparture_;
  std::optional<BackendDeparture> announcedDeparture_;
  bool reachable_ = true;
  std::uint32_t failuresInRow_ = 0;
  /** Last successful reply to any call; nullopt before the first. */
  std::optional<Instant> lastReplyAt_;

  bool operator==(const StoreState&) const = default;
};

/** Progress of reads and appends of the log, and pending requests of operators. */
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
  /** Takes no new work. A drain by an operator stays in this phase. */
  kDraining,
  /** The ticket tables are being sent to the successor. */
  kHandingOver,
  /** Gossips that it left before the process exits. */
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
  /** As of the last tick. */
  bool hasUnwrittenReplies_ = false;
  Instant nextHandoverSendAt_;
  bool backendHealthy_ = false;

  bool operator==(const LifecycleState&) const = default;
};

struct NodeState
{
  NodeSettings settings_;
  LogReader log_;
  /** Of the configuration in effect. */
  AccountKeys accountKeys_;
  KeyLease keyLease_;
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
  QuotaState quota_;
  /** nullopt before the first heartbeat, and always with health checks. */
  std::optional<BackendInstance> backend_;
  /** The last leave that named no start time and is of another id than the current incarnation. */
  std::optional<BackendDeparture> otherLeave_;
  std::vector<PendingAcknowledgement> pendingAcknowledgements_;
  Counters counters_;
  Instant nextAdmissionAdvanceAt_;
  Instant nextMembershipAdvanceAt_;

  bool operator==(const NodeState&) const = default;
};

/** A message that this node sends to itself, handled after the current event. */
struct LocalMessage
{
  PeerMessage message_;
};

/** Inputs of an event handler other than the state, and its outputs. */
struct ReduceContext
{
  Instant now_;
  std::uint64_t wallTimeMs_ = 0;
  /** As in Event. */
  std::size_t freeBytes_ = 0;
  std::size_t freeBytesWithReserve_ = std::numeric_limits<std::size_t>::max();
  RandomStream random_;
  Effects effects_;
  std::deque<LocalMessage> local_;
};

/** Stores the new state of a step and returns its result. */
template<typename State, typename Result>
Result
Apply(State& aSlot, Step<State, Result> aStep)
{
  aSlot = std::move(aStep.state_);
  return std::move(aStep.result_);
}

/** The configuration in effect. */
inline const Configuration&
ConfigOf(const NodeState& aState)
{
  return aState.log_.state_.config_;
}

/** Whether keys of client accounts are accepted only under a lease, see KeyLease. */
inline bool
RequiresKeyLease(const NodeState& aState)
{
  return aState.settings_.keyRemovalBound_ && ConfigOf(aState).accounts_;
}

/** Returns nullptr when the kind is not declared. */
const KindSpec*
FindKind(const Configuration& aConfig, const std::string& aService, const std::string& aKind);

/** Whether this node accepts new requests for its backend server. */
bool
AcceptsNewWork(const NodeState& aState, Instant aNow);

/** Whether the node is draining or stopping: by an operator's command, at the request of its
 * backend server, or for a planned stop. */
bool
IsDraining(const NodeState& aState);

/** Sends the gossip messages that membership produced and applies the membership changes. */
void
ApplyGossipOutput(NodeState& aState, ReduceContext& aContext, GossipOutput aOutput);

NodeState
MakeNodeState(NodeSettings aSettings, Instant aNow);

} // namespace fulmarway
