/** \file
 * Connects the quotas of client accounts with the other parts of a node: calls that wait for a
 * token, membership, gossip and the log. A configuration without quotas sends no message.
 */
#pragma once

#include "policy/NodeState.h"

namespace fulmarway {

/** Sends the stored call, after it has taken a token if its account has a quota. */
void
TakeQuotaToken(NodeState& aState, ReduceContext& aContext, CallId aCall);

/** Returns the token of a call that ended as not run. */
void
ReturnQuotaToken(NodeState& aState, ReduceContext& aContext, const TakenToken& aToken);

void
HandleQuotaGossip(NodeState& aState, ReduceContext& aContext, const GossipMessage& aMessage);

/** Records a node that the store lists. It counts among the nodes that accrue even if it does not
 * answer. */
void
RecordListedNode(NodeState& aState, const MemberRecord& aRecord, Instant aNow);

/** Call it every tick. */
void
AdvanceAccountQuotas(NodeState& aState, ReduceContext& aContext);

/** The number of nodes that may accrue, as known here. */
std::uint32_t
CountQuotaNodes(const NodeState& aState, Instant aNow);

} // namespace fulmarway
