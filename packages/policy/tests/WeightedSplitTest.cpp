/** \file
 * Guards against shares that deviate from the weights, also for small numbers of requests and after
 * a change of the weights.
 */
#include "policy/WeightedSplit.h"

#include <criterion/criterion.h>
#include <map>

using namespace fulmarway;

namespace {

RouteSpec
MakeRoute(std::vector<RoutePart> aParts)
{
  RouteSpec route;
  route.kind_.name_ = "list";
  route.parts_ = std::move(aParts);
  return route;
}

std::map<std::string, int>
Draw(WeightedSplits& aSplits, const RouteSpec& aRoute, int aCount, std::uint64_t aEntropy)
{
  std::map<std::string, int> drawn;
  for (int i = 0; i < aCount; ++i) {
    auto step = ChoosePart(std::move(aSplits), aRoute, aEntropy);
    aSplits = std::move(step.state_);
    ++drawn[step.result_];
  }
  return drawn;
}

} // namespace

Test(weighted_split, every_sequence_of_requests_has_the_shares)
{
  for (std::uint64_t entropy = 0; entropy < 50; ++entropy) {
    WeightedSplits splits;
    const RouteSpec route = MakeRoute({ { "a", 90 }, { "b", 10 }, { "off", 0 } });
    auto drawn = Draw(splits, route, 20, entropy);
    cr_expect(drawn["a"] >= 17 && drawn["a"] <= 19, "phase %d: %d", int(entropy), drawn["a"]);
    cr_expect_eq(drawn["off"], 0);
  }
}

Test(weighted_split, changed_weights_hold_from_the_next_request_on)
{
  WeightedSplits splits;
  Draw(splits, MakeRoute({ { "a", 1 }, { "b", 99 } }), 10, 3);
  auto drawn = Draw(splits, MakeRoute({ { "a", 99 }, { "b", 1 } }), 100, 3);
  cr_expect(drawn["a"] >= 98);
}

Test(weighted_split, nodes_do_not_start_at_the_same_part)
{
  std::map<std::string, int> first;
  for (std::uint64_t entropy = 0; entropy < 100; ++entropy) {
    WeightedSplits splits;
    for (const auto& [part, count] :
         Draw(splits, MakeRoute({ { "a", 50 }, { "b", 50 } }), 1, entropy * 7919)) {
      first[part] += count;
    }
  }
  cr_expect(first["a"] > 20 && first["b"] > 20);
}

Test(weighted_split, no_weight_at_all_names_no_service)
{
  WeightedSplits splits;
  cr_expect_eq(Draw(splits, MakeRoute({ { "a", 0 }, { "b", 0 } }), 3, 1)[""], 3);
}
