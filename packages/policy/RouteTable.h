/** \file
 * Route lookup by host and path prefix.
 */
#pragma once

#include "model/Config.h"

#include <string_view>
#include <vector>

namespace fulmarway {

/** Normalizes the hosts and sorts the routes by host, then prefix, as FindRoute() requires. */
void
SortRoutes(std::vector<RouteSpec>& aRoutes);

/** The route of the host with the longest prefix that matches the path of aUri; nullptr when there
 * is none. A port in aHost is ignored, and hosts are compared case-insensitively. */
const RouteSpec*
FindRoute(const Configuration& aConfig, std::string_view aHost, std::string_view aUri);

} // namespace fulmarway
