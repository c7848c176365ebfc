/** \file
 * Reads the configuration and the announcements of other nodes from the store, and writes the
 * announcement of this node.
 */
#pragma once

#include "policy/NodeState.h"

namespace fulmarway {

void
HandleStoreCallFinished(NodeState& aState,
                        ReduceContext& aContext,
                        const StoreCallFinished& aEvent);

/** Whether the latest departure of a backend server on this VM is in the store. Always true for a
 * node without a store. */
bool
IsDepartureStored(const NodeState& aState);

/** Starts the calls to the store that are due. */
void
AdvanceStore(NodeState& aState, ReduceContext& aContext);

} // namespace fulmarway
