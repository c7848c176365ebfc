/** \file
 * Memory of the requests in progress. Against many long bodies at once: they are refused,
 * truthfully "not run", while the process has no room for them; short requests are still accepted.
 */
#pragma once

#include "policy/NodeState.h"

namespace fulmarway {

/** Bodies below this size are never refused for lack of memory: the number of requests bounds them.
 */
inline constexpr std::size_t kLongBodyBytes = std::size_t{ 64 } << 10;

/** Whether the process has room for a request with this body. */
bool
HasRoomFor(const ReduceContext& aContext, std::string_view aBody);

/** Bytes of the bodies of all requests in progress, each once, and of their incomplete answers. */
std::size_t
CountRequestBytes(const NodeState& aState);

} // namespace fulmarway
