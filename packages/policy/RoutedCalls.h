/** \file
 * Requests that are routed by host and path: selection of the route and the service, and the
 * request of the own backend server that makes the call.
 */
#pragma once

#include "policy/NodeState.h"

#include <string_view>

namespace fulmarway {

/** A request of a caller or of the own backend server without service and kind. */
void
HandleRoutedRequest(NodeState& aState, ReduceContext& aContext, const CallerRequestArrived& aEvent);

/** The running request whose backend server probably makes the call. Backend servers often derive
 * the id of a call from the id of its parent, a dot and a part of its own; where no running request
 * has such an id, a call expires at its parent's deadline, so the nearest deadline is taken if it
 * is near enough. A wrong choice changes only which of two requests counts as the more important
 * one. */
std::optional<RequestId>
FindLikelyParent(const InboundState& aInbound, std::string_view aCallId, Instant aDeadline);

} // namespace fulmarway
