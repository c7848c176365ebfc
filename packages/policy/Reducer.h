/** \file
 * The pure function that applies an event to the state of a node.
 */
#pragma once

#include "model/Step.h"
#include "policy/NodeState.h"

namespace fulmarway {

/** Deterministic: the same state and event yield the same result. Takes the state by value, so that
 * callers can move it in. */
Step<NodeState, Effects>
Reduce(NodeState aState, const Event& aEvent);

} // namespace fulmarway
