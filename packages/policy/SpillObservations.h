/** \file
 * Connects the spill-over decision to the node: summarizes by failure domain what routing has
 * observed of a service, records decisions and outcomes, and counts and logs what leaves.
 */
#pragma once

#include "policy/NodeState.h"

#include <span>

namespace fulmarway {

/** The loads of a service by failure domain. */
struct DomainLoads
{
  DomainLoad home_;
  std::map<std::string, DomainLoad> others_;
};

/** Suspect and ejected candidates are left out. */
DomainLoads
LoadsByDomain(const RoutingState& aState,
              std::span<const RouteCandidate> aCandidates,
              Instant aNow);

bool
UsesDomainSpill(const NodeState& aState);

/** Whether the target is in another failure domain and spill-over is in use. */
bool
IsInOtherDomain(const NodeState& aState, NodeId aTarget);

/** Updates the shares of all services that this node sends requests to. */
void
AdvanceDomainSpill(NodeState& aState, ReduceContext& aContext);

/** Records the domain chosen for the next attempt of the call. */
void
RecordSpillDecision(NodeState& aState,
                    const ReduceContext& aContext,
                    const OutboundCall& aCall,
                    const RouteDecision& aDecision);

/** Records an attempt that ended without an answer: refused with the reason, or lost when
 * aRefusal is null. */
void
RecordSpillOutcome(NodeState& aState,
                   const ReduceContext& aContext,
                   const std::string& aService,
                   NodeId aTarget,
                   const Refusal* aRefusal);

} // namespace fulmarway
