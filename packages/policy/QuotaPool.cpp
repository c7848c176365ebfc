#include "policy/QuotaPool.h"

#include <algorithm>
#include <cmath>

namespace fulmarway {

namespace {

/** After a pause, the datagrams that waited are read within this time. */
constexpr Duration kBufferDrainTime = std::chrono::milliseconds(500);
/** Limit of the tokens of one request; a larger number comes from a faulty sender. */
constexpr std::uint32_t kMaxTokensPerRequest = 100'000;
/** Times further in the future are not reserved: few clients wait that long. */
constexpr Duration kMaxReservation = std::chrono::seconds(4);
/** Grants that are searched for a repeated request. A repetition comes within 100 ms. */
constexpr std::size_t kMaxGrantsSearched = 256;

double
Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

Duration
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aSeconds));
}

double
HeldShare(const QuotaContributor& aContributor,
          const BucketPool& aBucket,
          const PoolContext& aContext)
{
  // The handover before the one that is due may have been lost and is then made good.
  const Duration since =
    std::min(aContext.now_ - aContributor.lastAt_, 2 * aContext.times_.accrualLimit_);
  return Seconds(since) / std::max(aBucket.nodes_, aContributor.nodes_);
}

/** Share of all nodes that contribute to the pool. */
double
ShareOf(const BucketPool& aBucket)
{
  return std::min(1.0, static_cast<double>(aBucket.contributors_.size()) / aBucket.nodes_);
}

/** Limit of the tokens in the pool, not counting the accrual that has not arrived and the grants
 * that may not have been used. */
double
RoomOf(const AccountPool& aPool,
       const AccountQuota& aQuota,
       const BucketPool& aBucket,
       const PoolContext& aContext)
{
  const Duration allowed = aContext.times_.accrualLimit_ + aContext.times_.tokenLifetime_;
  const double limit =
    (aQuota.burst_ + aContext.bounds_.slack_ / 2 + aQuota.ratePerSecond_ * Seconds(allowed)) *
    ShareOf(aBucket);
  return limit - static_cast<double>(aPool.recentTokens_) -
         aQuota.ratePerSecond_ * aBucket.outstanding_;
}

/** Adds what was received since the last call and applies the limit. */
void
SettlePool(AccountPool& aPool,
           const AccountQuota& aQuota,
           const BucketPool& aBucket,
           const PoolContext& aContext)
{
  const Instant usedBefore = aContext.now_ - aContext.times_.tokenLifetime_;
  while (!aPool.recent_.empty() && aPool.recent_.front().at_ < usedBefore) {
    aPool.recentTokens_ -= aPool.recent_.front().tokens_;
    aPool.recent_.pop_front();
  }
  aPool.tokens_ += aQuota.ratePerSecond_ * (aBucket.received_ - aPool.receivedSeen_);
  aPool.receivedSeen_ = aBucket.received_;
  const double room = RoomOf(aPool, aQuota, aBucket, aContext);
  aPool.tokens_ = std::clamp(aPool.tokens_, 0.0, std::max(0.0, room));
}

AccountPool&
PoolOf(QuotaPools& aState, const std::string& aAccount, const BucketPool& aBucket)
{
  const auto [pool, isNew] = aState.accounts_.try_emplace(aAccount);
  if (isNew) {
    pool->second.receivedSeen_ = aBucket.received_;
  }
  return pool->second;
}

/** The tokens of an earlier grant for the same request; nullopt if there was none. */
std::optional<std::uint32_t>
FindGrant(const AccountPool& aPool, NodeId aTo, std::uint64_t aNumber)
{
  const std::size_t count = std::min(aPool.recent_.size(), kMaxGrantsSearched);
  const auto found = std::find_if(
    aPool.recent_.rbegin(),
    aPool.recent_.rbegin() + static_cast<std::ptrdiff_t>(count),
    [&](const RecentGrant& aGrant) { return aGrant.to_ == aTo && aGrant.number_ == aNumber; });
  return found == aPool.recent_.rbegin() + static_cast<std::ptrdiff_t>(count)
           ? std::nullopt
           : std::optional(found->tokens_);
}

/** Reserves one time for each of aCount tokens and returns the wait for the first. */
Duration
ReserveRoom(AccountPool& aPool, std::uint32_t aCount, double aRate, Instant aNow)
{
  if (aPool.reservedUntil_ < aNow || aPool.reservedUntil_ > aNow + kMaxReservation) {
    aPool.reservedUntil_ = aNow;
  }
  const Duration step = FromSeconds(std::min(1 / aRate, Seconds(kMaxReservation)));
  const Duration wait = aPool.reservedUntil_ - aNow + step;
  aPool.reservedUntil_ += step * aCount;
  return std::max(wait, Duration{ 1 });
}

bool
IsPaused(const QuotaPools& aState, Instant aNow)
{
  return aNow < aState.ignoreUntil_ || !aState.advancedAt_ ||
         aNow - *aState.advancedAt_ >= kQuotaPause;
}

} // namespace

void
ReceiveHandover(QuotaPools& aState,
                const PoolContext& aContext,
                NodeId aFrom,
                const QuotaHandover& aHandover)
{
  if (IsPaused(aState, aContext.now_) || aHandover.bucket_ >= kQuotaBuckets) {
    return;
  }
  BucketPool& bucket = aState.buckets_[aHandover.bucket_];
  const Duration limit = aContext.times_.accrualLimit_;
  const auto [entry, isNew] = bucket.contributors_.try_emplace(aFrom);
  QuotaContributor& contributor = entry->second;
  if (!isNew && aHandover.number_ <= contributor.number_) {
    return; // A copy of a datagram, or one that a later one overtook and made good.
  }
  Duration accrued = std::clamp(aHandover.accrued_, Duration{ 0 }, limit);
  if (!isNew) {
    if (aHandover.number_ != contributor.number_ + 1) {
      accrued += std::clamp(aHandover.previous_, Duration{ 0 }, limit);
    }
    bucket.outstanding_ -= std::min(HeldShare(contributor, bucket, aContext), bucket.outstanding_);
  }
  contributor.number_ = aHandover.number_;
  contributor.lastAt_ = aContext.now_;
  contributor.nodes_ = std::max(1U, aHandover.nodes_);
  bucket.nodes_ = std::max({ bucket.nodes_, contributor.nodes_, aContext.nodes_ });
  bucket.received_ += Seconds(accrued) / bucket.nodes_;
}

QuotaGrant
GrantTokens(QuotaPools& aState,
            const PoolContext& aContext,
            NodeId aTo,
            const QuotaRequest& aRequest)
{
  QuotaGrant grant{ aRequest.number_, aRequest.account_, 0, Duration{ 0 } };
  const auto quota = aContext.quotas_.find(aRequest.account_);
  if (quota == aContext.quotas_.end() || IsPaused(aState, aContext.now_)) {
    return grant;
  }
  const BucketPool& bucket = aState.buckets_[quota->second.bucket_];
  if (bucket.contributors_.empty()) {
    return grant;
  }
  AccountPool& pool = PoolOf(aState, aRequest.account_, bucket);
  SettlePool(pool, quota->second, bucket, aContext);
  const std::uint32_t asked = std::clamp(aRequest.tokens_, 1U, kMaxTokensPerRequest);
  if (const auto earlier = FindGrant(pool, aTo, aRequest.number_)) {
    grant.tokens_ = std::min(*earlier, asked);
  } else {
    grant.tokens_ = static_cast<std::uint32_t>(std::min<double>(asked, std::floor(pool.tokens_)));
    pool.tokens_ -= grant.tokens_;
    pool.recentTokens_ += grant.tokens_;
    if (grant.tokens_ > 0) {
      pool.recent_.push_back({ aContext.now_, aTo, aRequest.number_, grant.tokens_ });
    }
  }
  if (grant.tokens_ < asked) {
    const double rate = quota->second.ratePerSecond_ * ShareOf(bucket);
    grant.roomIn_ = ReserveRoom(pool, asked - grant.tokens_, rate, aContext.now_);
  }
  return grant;
}

void
AdvancePools(QuotaPools& aState, const PoolContext& aContext)
{
  const Instant now = aContext.now_;
  if (aState.advancedAt_ && now - *aState.advancedAt_ >= kQuotaPause) {
    aState.buckets_ = {};
    aState.accounts_.clear();
    aState.ignoreUntil_ = now + kBufferDrainTime;
  }
  aState.advancedAt_ = now;
  for (BucketPool& bucket : aState.buckets_) {
    std::erase_if(bucket.contributors_, [&](const auto& aEntry) {
      return now - aEntry.second.lastAt_ >= aContext.times_.contributionLifetime_;
    });
    bucket.nodes_ = aContext.nodes_;
    for (const auto& [node, contributor] : bucket.contributors_) {
      bucket.nodes_ = std::max(bucket.nodes_, contributor.nodes_);
    }
    bucket.outstanding_ = 0;
    for (const auto& [node, contributor] : bucket.contributors_) {
      bucket.outstanding_ += HeldShare(contributor, bucket, aContext);
    }
  }
  for (const auto& [name, quota] : aContext.quotas_) {
    const BucketPool& bucket = aState.buckets_[quota.bucket_];
    if (!bucket.contributors_.empty()) {
      SettlePool(PoolOf(aState, name, bucket), quota, bucket, aContext);
    }
  }
  std::erase_if(aState.accounts_, [&](const auto& aEntry) {
    const auto quota = aContext.quotas_.find(aEntry.first);
    return quota == aContext.quotas_.end() ||
           aState.buckets_[quota->second.bucket_].contributors_.empty();
  });
}

} // namespace fulmarway
