/** \file
 * The control role: reading and writing the log, learning configuration from peers, and the
 * operators' commands.
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

/** Looks at the header of a gossip message: a higher version is fetched from its sender. */
void
NoteGossipVersion(NodeState& aState, ReduceContext& aContext, const GossipMessage& aMessage);

/** Puts a configuration that was made outside the log in force when its version is higher. */
void
AdoptConfiguration(NodeState& aState, ReduceContext& aContext, Configuration aConfiguration);

void
HandleConfigRequest(NodeState& aState,
                    ReduceContext& aContext,
                    LinkId aLink,
                    const ConfigRequest& aRequest);

void
HandleConfigReply(NodeState& aState, ReduceContext& aContext, const ConfigReply& aReply);

/** Polls the log, repeats appends, snapshots, answers that are due. */
void
AdvanceControl(NodeState& aState, ReduceContext& aContext);

} // namespace fulmarway
