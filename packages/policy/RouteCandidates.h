/** \file
 * Candidate targets of a call, derived from membership and configuration, and the assignment of
 * tickets to executors.
 */
#pragma once

#include "policy/NodeState.h"

#include <optional>
#include <string>
#include <vector>

namespace fulmarway {

/** Nodes of the service that accept new work; cached until membership or drains change. */
const std::vector<RouteCandidate>&
CandidatesFor(NodeState& aState, const std::string& aService);

/** Issues a ticket for the service and kind, with an executor chosen by routing; nullopt when no
 * executor is available. */
std::optional<Ticket>
IssueTicketFor(NodeState& aState,
               ReduceContext& aContext,
               const std::string& aService,
               const std::string& aKind);

enum class ExecutorStatus : std::uint8_t
{
  kReachable,
  /** The executor left, and a successor holds the ticket. */
  kMoved,
  /** The executor is dead, was restarted, or is unknown to this node. */
  kLost,
};

struct ExecutorLookup
{
  ExecutorStatus status_ = ExecutorStatus::kLost;
  /** The node that holds the ticket, for kReachable and kMoved. */
  NodeId node_;
};

/** Finds the node to which the ticket can be presented. */
ExecutorLookup
FindExecutor(const NodeState& aState, const Ticket& aTicket);

/** Presents the ticket of a request to the local ticket table. If another node holds the ticket,
 * the refusal names that node, since the planned stop of the executor may not have reached the
 * sender through gossip yet. */
TicketDecision
PresentToTable(NodeState& aState, const Request& aRequest, RequestId aId, Instant aNow);

/** Peer address of the node; empty when the node is unknown. */
std::string
PeerAddressOf(const NodeState& aState, NodeId aNode);

} // namespace fulmarway
