/** \file
 * Takes targets that fail or are far slower than their service out of use for a growing time.
 */
#pragma once

#include "policy/Routing.h"

#include <span>

namespace fulmarway {

/** Lower median of the latency estimates of these targets, microseconds; 0 when none is known. */
double
MedianLatency(const RoutingState& aState, std::span<const RouteCandidate> aTargets, Instant aNow);

/** Ejects aTarget when it is an outlier and fewer than half of aServiceTargets are ejected. */
void
EjectIfOutlier(RoutingState& aState,
               NodeId aTarget,
               std::span<const RouteCandidate> aServiceTargets,
               Instant aNow);

} // namespace fulmarway
