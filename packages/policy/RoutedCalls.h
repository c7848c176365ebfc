/** \file
 * Requests that are routed by host and path: selection of the route and the service, and the
 * request of the own backend server that makes the call.
 */
#pragma once

#include "policy/NodeState.h"

namespace fulmarway {

/** A request of a caller or of the own backend server without service and kind. */
void
HandleRoutedRequest(NodeState& aState, ReduceContext& aContext, const CallerRequestArrived& aEvent);

/** Calls of a backend server name no parent, but they expire at their parent's deadline: the
 * running request whose deadline is nearest to aDeadline, if it is near enough. A wrong choice
 * changes only which of two requests counts as the more important one. */
std::optional<RequestId>
FindParentByDeadline(const InboundState& aInbound, Instant aDeadline);

} // namespace fulmarway
