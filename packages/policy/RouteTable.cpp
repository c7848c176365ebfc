#include "policy/RouteTable.h"

#include <algorithm>
#include <cctype>
#include <string>
#include <tuple>

namespace fulmarway {

namespace {

/** The host in lower case and without a port. */
std::string
CanonicalHost(std::string_view aHost)
{
  std::string host(aHost.substr(0, aHost.find(':')));
  std::transform(host.begin(), host.end(), host.begin(), [](unsigned char aLetter) {
    return static_cast<char>(std::tolower(aLetter));
  });
  return host;
}

} // namespace

void
SortRoutes(std::vector<RouteSpec>& aRoutes)
{
  for (RouteSpec& route : aRoutes) {
    route.host_ = CanonicalHost(route.host_);
  }
  std::sort(aRoutes.begin(), aRoutes.end(), [](const RouteSpec& aLeft, const RouteSpec& aRight) {
    return std::tie(aLeft.host_, aLeft.prefix_) < std::tie(aRight.host_, aRight.prefix_);
  });
}

const RouteSpec*
FindRoute(const Configuration& aConfig, std::string_view aHost, std::string_view aUri)
{
  const std::string host = CanonicalHost(aHost);
  const std::string_view path = aUri.substr(0, aUri.find('?'));
  const RouteSpec* best = nullptr;
  auto route = std::lower_bound(
    aConfig.routes_.begin(),
    aConfig.routes_.end(),
    host,
    [](const RouteSpec& aRoute, const std::string& aSearched) { return aRoute.host_ < aSearched; });
  for (; route != aConfig.routes_.end() && route->host_ == host; ++route) {
    const bool isLonger = best == nullptr || route->prefix_.size() > best->prefix_.size();
    if (isLonger && path.starts_with(route->prefix_)) {
      best = &*route;
    }
  }
  return best;
}

} // namespace fulmarway
