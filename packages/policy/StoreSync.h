/** \file
 * When the node asks the store for the configuration and the announcements of other nodes, and what
 * it does with the answers.
 */
#pragma once

#include "policy/NodeState.h"

namespace fulmarway {

void
HandleStoreAnswered(NodeState& aState, ReduceContext& aContext, const StoreAnswered& aEvent);

/** Asks for what is due. */
void
AdvanceStore(NodeState& aState, ReduceContext& aContext);

} // namespace fulmarway
