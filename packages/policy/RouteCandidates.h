/** \file
 * Possible targets of a call, from membership and configuration, and tickets that name one of them.
 */
#pragma once

#include "policy/NodeState.h"

#include <optional>
#include <string>
#include <vector>

namespace fulmarway {

/** Targets that take new work of the service; cached until membership or drains change. */
const std::vector<RouteCandidate>&
CandidatesFor(NodeState& aState, const std::string& aService);

/** A new ticket for the service and kind, naming an executor that routing chooses; nullopt when
 * there is none. */
std::optional<Ticket>
IssueTicketFor(NodeState& aState,
               ReduceContext& aContext,
               const std::string& aService,
               const std::string& aKind);

enum class ExecutorStatus : std::uint8_t
{
  kReachable,
  /** It left and named a successor that holds the ticket. */
  kMoved,
  /** Dead, restarted, or not known here. */
  kLost,
};

struct ExecutorLookup
{
  ExecutorStatus status_ = ExecutorStatus::kLost;
  /** The node to send to, for kReachable and kMoved. */
  NodeId node_;
};

/** Where a ticket can be presented now. */
ExecutorLookup
FindExecutor(const NodeState& aState, const Ticket& aTicket);

/** Presents the ticket of a request to the own table. A ticket that the table does not hold is
 * refused with the node that holds it, since the sender may not know of the planned stop yet. */
TicketDecision
PresentToTable(NodeState& aState, const Request& aRequest, RequestId aId, Instant aNow);

/** Address of a node for calls; empty when unknown. */
std::string
PeerAddressOf(const NodeState& aState, NodeId aNode);

} // namespace fulmarway
