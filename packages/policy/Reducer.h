/** \file
 * The one function through which every event changes the state of a node.
 */
#pragma once

#include "model/Step.h"
#include "policy/NodeState.h"

namespace fulmarway {

/** The state is moved through. Deterministic: the same state and event give the same result. */
Step<NodeState, Effects>
Reduce(NodeState aState, const Event& aEvent);

} // namespace fulmarway
