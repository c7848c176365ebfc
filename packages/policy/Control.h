/** \file
 * The control role: reads and appends of the log, exchange of the configuration with peers, and
 * queries and commands of operators.
 */
#pragma once

#include "policy/NodeState.h"

namespace fulmarway {

void
HandleLogRecordsRead(NodeState& aState, ReduceContext& aContext, const LogRecordsRead& aEvent);

void
HandleLogReadFailed(NodeState& aState, ReduceContext& aContext);

void
HandleAppendFinished(NodeState& aState, ReduceContext& aContext, const AppendFinished& aEvent);

void
HandleCommand(NodeState& aState, ReduceContext& aContext, const CommandArrived& aEvent);

void
HandleInForceQuery(NodeState& aState, ReduceContext& aContext, const InForceQueried& aEvent);

/** Reads the configuration version in the header of a gossip message: counts it for in-force
 * queries and fetches a higher version from the sender. */
void
HandleGossipVersion(NodeState& aState, ReduceContext& aContext, const GossipMessage& aMessage);

/** Applies a configuration that does not come from the log when its version is higher. */
void
AdoptConfiguration(NodeState& aState, ReduceContext& aContext, Configuration aConfiguration);

void
HandleConfigRequest(NodeState& aState,
                    ReduceContext& aContext,
                    LinkId aLink,
                    const ConfigRequest& aRequest);

void
HandleConfigReply(NodeState& aState, ReduceContext& aContext, const ConfigReply& aReply);

/** Polls the log, retries appends, appends snapshots, and answers in-force queries when due. */
void
AdvanceControl(NodeState& aState, ReduceContext& aContext);

} // namespace fulmarway
