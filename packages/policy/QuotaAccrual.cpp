#include "policy/QuotaAccrual.h"

#include <algorithm>
#include <cstring>

namespace fulmarway {

namespace {

/** Half of over_ x window_ is clamped to this range. Shorter intervals would cost too many
 * messages; longer ones would delay tokens without saving much. */
constexpr Duration kMinHalfBudget = std::chrono::milliseconds(100);
constexpr Duration kMaxHalfBudget = std::chrono::milliseconds(500);
/** Ticks occur every 20 ms and may be late. */
constexpr Duration kHandoverMargin = std::chrono::milliseconds(30);

std::uint64_t
RankOf(NodeId aNode, std::size_t aBucket)
{
  std::array<char, sizeof(aNode.value_)> bytes{};
  std::memcpy(bytes.data(), &aNode.value_, bytes.size());
  return StableHash({ bytes.data(), bytes.size() }, aBucket);
}

bool
IsLive(const QuotaView& aView, NodeId aNode)
{
  return std::find(aView.live_.begin(), aView.live_.end(), aNode) != aView.live_.end();
}

} // namespace

QuotaTimes
MakeQuotaTimes(const QuotaBounds& aBounds)
{
  const auto budget = std::chrono::duration_cast<Duration>(aBounds.window_ * aBounds.over_);
  const Duration half = std::clamp(budget / 2, kMinHalfBudget, kMaxHalfBudget);
  QuotaTimes times;
  times.accrualLimit_ = half;
  times.handoverInterval_ = half - kHandoverMargin;
  times.tokenLifetime_ = half;
  times.contributionLifetime_ = 2 * half + 2 * kHandoverMargin;
  times.switchDelay_ = times.contributionLifetime_ + kQuotaPause + times.accrualLimit_;
  return times;
}

AccountQuotas
MakeAccountQuotas(const Configuration& aConfiguration)
{
  AccountQuotas quotas;
  if (!aConfiguration.accounts_) {
    return quotas;
  }
  for (const AccountSpec& account : *aConfiguration.accounts_) {
    if (account.ratePerSecond_ > 0) {
      const auto bucket = static_cast<std::uint32_t>(StableHash(account.name_) % kQuotaBuckets);
      quotas[account.name_] = { account.ratePerSecond_, account.burst_, bucket };
    }
  }
  return quotas;
}

std::array<PoolNodes, kQuotaBuckets>
RankPoolNodes(const std::vector<NodeId>& aLive)
{
  std::array<PoolNodes, kQuotaBuckets> ranked{};
  for (std::size_t bucket = 0; bucket < kQuotaBuckets; ++bucket) {
    std::array<std::pair<std::uint64_t, NodeId>, 2> best{};
    for (const NodeId node : aLive) {
      const std::pair entry{ RankOf(node, bucket), node };
      if (entry > best[0]) {
        best[1] = std::exchange(best[0], entry);
      } else if (entry > best[1]) {
        best[1] = entry;
      }
    }
    ranked[bucket] = { best[0].second, best[1].second };
  }
  return ranked;
}

std::vector<std::pair<NodeId, QuotaHandover>>
AdvanceAccrual(QuotaAccrual& aState, const QuotaView& aView, const QuotaTimes& aTimes, Instant aNow)
{
  const Instant since = aState.advancedAt_.value_or(aNow);
  aState.advancedAt_ = aNow;
  if (!aView.accruesFrom_ || aNow < *aView.accruesFrom_) {
    aState.accrued_ = Duration{ 0 };
  } else {
    const Duration elapsed = aNow - std::max(since, *aView.accruesFrom_);
    aState.accrued_ = std::min(aTimes.accrualLimit_, aState.accrued_ + elapsed);
  }
  std::vector<std::pair<NodeId, QuotaHandover>> handovers;
  if (aNow - aState.handedOverAt_ < aTimes.handoverInterval_ && aState.ranked_[0][0] != NodeId{}) {
    return handovers;
  }
  aState.ranked_ = RankPoolNodes(aView.live_);
  aState.handedOverAt_ = aNow;
  const Duration accrued = std::exchange(aState.accrued_, Duration{ 0 });
  if (accrued == Duration{ 0 }) {
    return handovers;
  }
  for (std::uint32_t bucket = 0; bucket < kQuotaBuckets; ++bucket) {
    HandoverTarget& target = aState.targets_[bucket];
    const NodeId first = aState.ranked_[bucket][0];
    const bool mustWait = target.node_ != NodeId{} && target.node_ != first &&
                          aNow - target.sentAt_ < aTimes.switchDelay_;
    if (first == NodeId{} || mustWait) {
      continue; // The accrual of this bucket is lost.
    }
    // After a longer gap the receiver has forgotten this node and its number.
    const bool isNext = target.node_ == first && aNow - target.sentAt_ < 2 * aTimes.accrualLimit_;
    const Duration previous = isNext ? target.accrued_ : Duration{ 0 };
    target = { first, aNow, target.number_ + 1, accrued };
    handovers.emplace_back(
      first, QuotaHandover{ bucket, aView.nodes_, accrued, target.number_, previous });
  }
  return handovers;
}

PoolNodes
NodesToAsk(const QuotaAccrual& aState, const QuotaView& aView, std::uint32_t aBucket)
{
  const PoolNodes& ranked = aState.ranked_[aBucket];
  const NodeId current = aState.targets_[aBucket].node_;
  if (current == NodeId{} || current == ranked[0] || !IsLive(aView, current)) {
    return ranked;
  }
  return { current, ranked[0] };
}

} // namespace fulmarway
