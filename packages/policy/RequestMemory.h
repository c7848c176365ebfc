/** \file
 * Memory of the requests in progress. Against many long bodies at once: they are refused,
 * truthfully "not run", while the process has no room for them; short requests are still accepted.
 */
#pragma once

#include "policy/NodeState.h"

namespace fulmarway {

/** Requests below this size are refused for lack of memory only when the reserve for them is used
 * up, too. */
inline constexpr std::size_t kLongRequestBytes = std::size_t{ 64 } << 10;

/** Memory of the body and of the header fields. */
std::size_t
RequestBytes(const CallerRequest& aRequest);
std::size_t
RequestBytes(const Request& aRequest);

/** Whether the process has room for a request of this size. */
bool
HasRoomFor(const ReduceContext& aContext, std::size_t aRequestBytes);

/** Bytes of all requests in progress, shared bodies once, and of their incomplete answers. */
std::size_t
CountRequestBytes(const NodeState& aState);

} // namespace fulmarway
