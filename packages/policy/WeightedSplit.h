/** \file
 * Division of the requests of a route among services by weight.
 *
 * Load pattern: a part is overloaded while others are idle. The part is drawn before admission is
 * asked, so that the shares hold under pressure too and the overloaded part refuses its own.
 */
#pragma once

#include "model/Config.h"
#include "model/Step.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fulmarway {

/** Smooth weighted round robin of one route. */
struct SplitProgress
{
  std::vector<RoutePart> parts_;
  /** What each part is owed; the largest is next. */
  std::vector<std::int64_t> credits_;

  bool operator==(const SplitProgress&) const = default;
};

/** By name of the route's kind. */
struct WeightedSplits
{
  std::map<std::string, SplitProgress> byKind_;

  bool operator==(const WeightedSplits&) const = default;
};

/** The service for the next request of the route; empty when no part has a weight. aEntropy sets
 * the phase of a new round robin, so that nodes do not send to the same part at the same time. */
Step<WeightedSplits, std::string>
ChoosePart(WeightedSplits aState, const RouteSpec& aRoute, std::uint64_t aEntropy);

/** Drops the progress of routes that the configuration no longer has. */
WeightedSplits
KeepRoutes(WeightedSplits aState, const std::vector<RouteSpec>& aRoutes);

} // namespace fulmarway
