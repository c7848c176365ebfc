/** \file
 * Routed requests: selects the route by host and path, and infers which request on the local
 * backend server made the call.
 */
#pragma once

#include "policy/NodeState.h"

#include <optional>
#include <string_view>

namespace fulmarway {

/** Handles a routed request of a caller or of the local backend server. */
void
HandleRoutedRequest(NodeState& aState, ReduceContext& aContext, const CallerRequestArrived& aEvent);

/** The refusal of a routed request before its body arrives; nullopt when it may be sent. aBytes is
 * the memory of the whole request. */
std::optional<Refusal>
RefusalOfRouted(NodeState& aState,
                ReduceContext& aContext,
                const CallerRequest& aRequest,
                std::size_t aBytes);

/** The request that probably made the call. Backend servers often derive the id of a call from the
 * id of its parent, a dot and a suffix. If no request has the parent id, the running request with
 * the nearest deadline within a tolerance is returned, since a call usually inherits the deadline
 * of its parent. A wrong result affects only the relative importance of two requests. */
std::optional<RequestId>
FindLikelyParent(const InboundState& aInbound, std::string_view aCallId, Instant aDeadline);

} // namespace fulmarway
