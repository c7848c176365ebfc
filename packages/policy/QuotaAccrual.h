/** \file
 * Accrual of the quotas of all client accounts at one node, and the nodes that it is handed over
 * to.
 *
 * Load pattern: an account sends its requests to any nodes, in changing shares. Every node accrues
 * an equal part of every quota and moves it to one pool for each account, where any entry node can
 * take it. Tokens are moved and never copied, so that the quota holds without agreement between
 * nodes.
 */
#pragma once

#include "model/Config.h"
#include "model/Ids.h"
#include "model/PeerMessage.h"
#include "model/Time.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fulmarway {

/** How far the requests of a client account may exceed its quota in any window of this length: by
 * a share of the quota, and by a number of requests. */
struct QuotaBounds
{
  Duration window_ = std::chrono::seconds(5);
  double over_ = 0.1;
  double slack_ = 20;

  bool operator==(const QuotaBounds&) const = default;
};

/** Times that follow from the bounds. Accrual that has not been handed over and granted tokens that
 * have not been used may both be spent in addition to what accrues in a window; together they last
 * for over_ x window_. */
struct QuotaTimes
{
  /** Limit of the accrual that a node holds. */
  Duration accrualLimit_{ 0 };
  /** Shorter than the limit, so that a late tick loses nothing. */
  Duration handoverInterval_{ 0 };
  /** Lifetime of granted tokens from when they were asked for. */
  Duration tokenLifetime_{ 0 };
  /** A node counts as a contributor of a pool for this long after a handover; longer than two
   * intervals, so that one lost datagram changes nothing. */
  Duration contributionLifetime_{ 0 };
  /** After its last handover to one pool node, a node hands nothing over to another for this long.
   * Otherwise it would count at both, and the limits of the pools would exceed the quota together.
   */
  Duration switchDelay_{ 0 };

  bool operator==(const QuotaTimes&) const = default;
};

/** A node whose last tick is longer ago was paused: messages may have waited in its buffers. Above
 * the gaps that the CPU limit of a small VM causes. */
inline constexpr Duration kQuotaPause = std::chrono::milliseconds(300);

QuotaTimes
MakeQuotaTimes(const QuotaBounds& aBounds);

/** Accounts are divided into this many buckets by a hash of their name; each has a pool node. */
inline constexpr std::size_t kQuotaBuckets = 8;

struct AccountQuota
{
  double ratePerSecond_ = 0;
  double burst_ = 0;
  std::uint32_t bucket_ = 0;

  bool operator==(const AccountQuota&) const = default;
};

/** Accounts that have a quota, by name. */
using AccountQuotas = std::map<std::string, AccountQuota, std::less<>>;

AccountQuotas
MakeAccountQuotas(const Configuration& aConfiguration);

/** The cluster as this node sees it. */
struct QuotaView
{
  NodeId self_;
  /** All nodes that may accrue, also the unreachable ones; at least 1. */
  std::uint32_t nodes_ = 1;
  /** Nodes that may keep pools, including this one. */
  std::vector<NodeId> live_;
  /** When this node may begin to accrue; nullopt while it may not know all nodes. */
  std::optional<Instant> accruesFrom_;

  bool operator==(const QuotaView&) const = default;
};

/** The first two nodes of a bucket in rendezvous order; zero when there is none. */
using PoolNodes = std::array<NodeId, 2>;

std::array<PoolNodes, kQuotaBuckets>
RankPoolNodes(const std::vector<NodeId>& aLive);

/** Where this node hands over the accrual of a bucket. */
struct HandoverTarget
{
  NodeId node_;
  Instant sentAt_;
  /** QuotaHandover::number_ and accrued_ of the last handover. */
  std::uint32_t number_ = 0;
  Duration accrued_{ 0 };

  bool operator==(const HandoverTarget&) const = default;
};

struct QuotaAccrual
{
  /** Time accrued since the last handover. */
  Duration accrued_{ 0 };
  /** nullopt before the first call of AdvanceAccrual(). */
  std::optional<Instant> advancedAt_;
  Instant handedOverAt_;
  std::array<PoolNodes, kQuotaBuckets> ranked_;
  std::array<HandoverTarget, kQuotaBuckets> targets_;

  bool operator==(const QuotaAccrual&) const = default;
};

/** Accrues until aNow. When a handover is due, returns a message for each bucket and its receiver,
 * and empties the accrual. */
std::vector<std::pair<NodeId, QuotaHandover>>
AdvanceAccrual(QuotaAccrual& aState,
               const QuotaView& aView,
               const QuotaTimes& aTimes,
               Instant aNow);

/** The nodes to ask for tokens of a bucket, in this order. While a handover to a new pool node has
 * to wait, the previous one comes first, because it holds the tokens. */
PoolNodes
NodesToAsk(const QuotaAccrual& aState, const QuotaView& aView, std::uint32_t aBucket);

} // namespace fulmarway
