/** \file
 * Pools of tokens of client accounts that this node keeps for all entry nodes.
 *
 * Load pattern: the demand of an account moves between entry nodes within a second. Its quota is
 * kept at one place, so that it is available wherever the demand is. The size of a pool is limited
 * by the share of nodes that contribute to it, so that the pools of all parts of a partition
 * together hold no more than one.
 */
#pragma once

#include "policy/QuotaAccrual.h"

#include <deque>
#include <map>
#include <string>

namespace fulmarway {

/** A node that hands over its accrual to this node. */
struct QuotaContributor
{
  Instant lastAt_;
  /** QuotaHandover::nodes_ of its last message. */
  std::uint32_t nodes_ = 1;
  /** QuotaHandover::number_ of its last message. */
  std::uint32_t number_ = 0;

  bool operator==(const QuotaContributor&) const = default;
};

struct BucketPool
{
  std::map<NodeId, QuotaContributor> contributors_;
  /** Sum of all accrued time received, each divided by the number of nodes, seconds. */
  double received_ = 0;
  /** Estimate of the accrued time that the contributors still hold or that is on the way, divided
   * by the number of nodes, seconds. */
  double outstanding_ = 0;
  /** Largest number of nodes that this node or a contributor knows. */
  std::uint32_t nodes_ = 1;

  bool operator==(const BucketPool&) const = default;
};

struct RecentGrant
{
  Instant at_;
  NodeId to_;
  std::uint64_t number_ = 0;
  std::uint32_t tokens_ = 0;

  bool operator==(const RecentGrant&) const = default;
};

struct AccountPool
{
  double tokens_ = 0;
  /** BucketPool::received_ up to which tokens were added. */
  double receivedSeen_ = 0;
  /** Grants that may not have been used yet; oldest first. */
  std::deque<RecentGrant> recent_;
  std::uint64_t recentTokens_ = 0;
  /** End of the times reserved for refused requests. */
  Instant reservedUntil_;

  bool operator==(const AccountPool&) const = default;
};

struct QuotaPools
{
  std::array<BucketPool, kQuotaBuckets> buckets_;
  std::map<std::string, AccountPool, std::less<>> accounts_;
  std::optional<Instant> advancedAt_;
  /** Messages before this time may have waited in a buffer while the process was paused. */
  Instant ignoreUntil_;

  bool operator==(const QuotaPools&) const = default;
};

/** What the functions below need of the node. */
struct PoolContext
{
  const AccountQuotas& quotas_;
  const QuotaBounds& bounds_;
  const QuotaTimes& times_;
  /** As in QuotaView. */
  std::uint32_t nodes_ = 1;
  Instant now_;
};

/** Adds the accrual that aFrom hands over. */
void
ReceiveHandover(QuotaPools& aState,
                const PoolContext& aContext,
                NodeId aFrom,
                const QuotaHandover& aHandover);

/** Moves tokens out of the pool of the account to aTo. A repeated request gets the same grant,
 * because the first one may have been lost. */
QuotaGrant
GrantTokens(QuotaPools& aState,
            const PoolContext& aContext,
            NodeId aTo,
            const QuotaRequest& aRequest);

/** Removes contributors that have stopped handing over, limits the pools, and empties them after a
 * pause of the process. Call it every tick. */
void
AdvancePools(QuotaPools& aState, const PoolContext& aContext);

} // namespace fulmarway
