/** \file
 * Selection of the route of a request by host and path.
 */
#pragma once

#include "model/Config.h"

#include <string_view>
#include <vector>

namespace fulmarway {

/** Orders routes by host, then prefix, as FindRoute() needs them. */
void
SortRoutes(std::vector<RouteSpec>& aRoutes);

/** The route of the host with the longest prefix that begins the path of aUri; nullptr when there
 * is none. A port in aHost is ignored, and hosts are compared without regard to case. */
const RouteSpec*
FindRoute(const Configuration& aConfig, std::string_view aHost, std::string_view aUri);

} // namespace fulmarway
