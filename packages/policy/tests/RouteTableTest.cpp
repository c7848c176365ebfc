/** \file
 * Guards against requests that match the wrong route.
 */
#include "policy/RouteTable.h"

#include <criterion/criterion.h>

using namespace fulmarway;

Test(route_table, longest_prefix_of_the_host_is_selected)
{
  Configuration configuration;
  for (const auto& [host, prefix, name] : { std::tuple("a.example", "/x/", "short"),
                                            std::tuple("a.example", "/x/y/", "long"),
                                            std::tuple("a.example", "/xy/", "sibling"),
                                            std::tuple("B.Example", "/", "all") }) {
    RouteSpec route;
    route.host_ = host;
    route.prefix_ = prefix;
    route.kind_.name_ = name;
    configuration.routes_.push_back(route);
  }
  SortRoutes(configuration.routes_);
  const struct
  {
    const char* host_;
    const char* uri_;
    const char* name_;
  } cases[] = {
    { "a.example", "/x/1", "short" },
    { "a.example", "/x/y/1", "long" },
    { "a.example", "/x/y", "short" },
    { "a.example", "/xy/", "sibling" },
    { "a.example", "/x", "" },
    { "a.example", "/q?/x/", "" },
    { "A.Example:80", "/x/?/x/y/", "short" },
    { "b.example", "/anything", "all" },
    { "c.example", "/x/", "" },
    { "", "/x/", "" },
  };
  for (const auto& row : cases) {
    const RouteSpec* route = FindRoute(configuration, row.host_, row.uri_);
    cr_expect_str_eq(
      route == nullptr ? "" : route->kind_.name_.c_str(), row.name_, "%s%s", row.host_, row.uri_);
  }
}
