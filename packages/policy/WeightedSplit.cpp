#include "policy/WeightedSplit.h"

#include <algorithm>
#include <set>
#include <utility>

namespace fulmarway {

namespace {

std::int64_t
TotalWeight(const std::vector<RoutePart>& aParts)
{
  std::int64_t total = 0;
  for (const RoutePart& part : aParts) {
    total += part.weight_;
  }
  return total;
}

std::size_t
NextPart(RoundRobinState& aRoundRobin)
{
  std::size_t best = aRoundRobin.parts_.size();
  for (std::size_t i = 0; i < aRoundRobin.parts_.size(); ++i) {
    if (aRoundRobin.parts_[i].weight_ == 0) {
      continue;
    }
    aRoundRobin.credits_[i] += aRoundRobin.parts_[i].weight_;
    if (best == aRoundRobin.parts_.size() || aRoundRobin.credits_[i] > aRoundRobin.credits_[best]) {
      best = i;
    }
  }
  aRoundRobin.credits_[best] -= TotalWeight(aRoundRobin.parts_);
  return best;
}

RoundRobinState
StartRoundRobin(const std::vector<RoutePart>& aParts, std::uint64_t aEntropy)
{
  // Further turns would only repeat the sequence; the bound limits the cost of large weights.
  constexpr std::uint64_t kMaxInitialTurns = 100;
  RoundRobinState roundRobin{ aParts, std::vector<std::int64_t>(aParts.size(), 0) };
  const auto total = static_cast<std::uint64_t>(TotalWeight(aParts));
  for (std::uint64_t turn = aEntropy % std::min(total, kMaxInitialTurns); turn > 0; --turn) {
    NextPart(roundRobin);
  }
  return roundRobin;
}

} // namespace

Step<WeightedSplits, std::string>
ChoosePart(WeightedSplits aState, const RouteSpec& aRoute, std::uint64_t aEntropy)
{
  if (TotalWeight(aRoute.parts_) == 0) {
    return { std::move(aState), "" };
  }
  if (aRoute.parts_.size() == 1) {
    return { std::move(aState), aRoute.parts_.front().service_ };
  }
  auto found = aState.byKind_.find(aRoute.kind_.name_);
  if (found == aState.byKind_.end() || found->second.parts_ != aRoute.parts_) {
    found =
      aState.byKind_.insert_or_assign(aRoute.kind_.name_, StartRoundRobin(aRoute.parts_, aEntropy))
        .first;
  }
  const std::size_t part = NextPart(found->second);
  return { std::move(aState), aRoute.parts_[part].service_ };
}

WeightedSplits
RemoveUnconfiguredRoutes(WeightedSplits aState, const std::vector<RouteSpec>& aRoutes)
{
  std::set<std::string_view> names;
  for (const RouteSpec& route : aRoutes) {
    names.insert(route.kind_.name_);
  }
  std::erase_if(aState.byKind_, [&](const auto& aEntry) { return !names.contains(aEntry.first); });
  return aState;
}

} // namespace fulmarway
