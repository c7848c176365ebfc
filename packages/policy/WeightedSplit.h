/** \file
 * Splits the requests of a route among services by weight.
 *
 * Load pattern: one part is overloaded while others are idle. The part is chosen before admission
 * control, so that the shares also hold under pressure and the overloaded part sheds its own
 * requests.
 */
#pragma once

#include "model/Config.h"
#include "model/Step.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fulmarway {

/** State of the smooth weighted round robin of one route. */
struct RoundRobinState
{
  std::vector<RoutePart> parts_;
  /** Accumulated credit of each part; the part with the largest credit is next. */
  std::vector<std::int64_t> credits_;

  bool operator==(const RoundRobinState&) const = default;
};

/** Round robins by the name of the route's kind. */
struct WeightedSplits
{
  std::map<std::string, RoundRobinState> byKind_;

  bool operator==(const WeightedSplits&) const = default;
};

/** Returns the service for the next request of the route; empty when no part has a weight. aEntropy
 * sets the phase of a new round robin, so that nodes do not send to the same part at the same time.
 */
Step<WeightedSplits, std::string>
ChoosePart(WeightedSplits aState, const RouteSpec& aRoute, std::uint64_t aEntropy);

/** Removes the state of routes that are no longer in the configuration. */
WeightedSplits
RemoveUnconfiguredRoutes(WeightedSplits aState, const std::vector<RouteSpec>& aRoutes);

} // namespace fulmarway
