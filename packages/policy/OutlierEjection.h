/** \file
 * Outlier ejection: excludes targets that fail repeatedly or are far slower than the other targets
 * of their service, for a time that doubles with each ejection.
 */
#pragma once

#include "policy/Routing.h"

#include <span>

namespace fulmarway {

/** Lower median of the latency estimates of the targets, microseconds; 0 when there is none. */
double
MedianLatency(const RoutingState& aState, std::span<const RouteCandidate> aTargets, Instant aNow);

/** Ejects aTarget if it is an outlier and at most half of aServiceTargets are ejected afterwards.
 */
void
EjectIfOutlier(RoutingState& aState,
               NodeId aTarget,
               std::span<const RouteCandidate> aServiceTargets,
               Instant aNow);

} // namespace fulmarway
