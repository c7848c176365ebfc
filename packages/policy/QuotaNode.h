/** \file
 * Quotas of client accounts at one node: accrual, pools and tokens together, and the messages
 * between them. Messages to this node itself are handled at once.
 */
#pragma once

#include "policy/QuotaPool.h"
#include "policy/QuotaTokens.h"

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace fulmarway {

struct QuotaState
{
  AccountQuotas quotas_;
  /** Configuration version that `quotas_` was made from. */
  std::uint64_t version_ = 0;
  QuotaView view_;
  Instant viewRefreshedAt_;
  QuotaAccrual accrual_;
  QuotaPools pools_;
  QuotaTokens tokens_;
  /** When each node was first listed in the store. A listed node that does not answer may be in
   * another part of a partition, where it accrues. */
  std::map<NodeId, Instant> listed_;
  /** When this node first knew a member; nullopt before. */
  std::optional<Instant> firstMemberAt_;
  std::optional<Instant> startedAt_;
  bool hasAccrued_ = false;
  /** Accounts whose last log line said that they are over their quota, or without a pool. */
  std::set<std::string, std::less<>> overQuota_;
  std::set<std::string, std::less<>> unavailable_;

  bool operator==(const QuotaState&) const = default;
};

struct QuotaMessage
{
  NodeId to_;
  GossipBody body_;
};

/** Inputs and outputs of the functions below. */
struct QuotaContext
{
  const QuotaBounds& bounds_;
  QuotaTimes times_;
  Instant now_;
  std::vector<QuotaMessage> messages_ = {};
  std::vector<TokenOutcome> outcomes_ = {};
};

/** Requests a token for the call. The account must have a quota. */
void
TakeAccountToken(QuotaState& aState,
                 QuotaContext& aContext,
                 const std::string& aAccount,
                 CallId aCall);

void
ReturnAccountToken(QuotaState& aState, QuotaContext& aContext, const TakenToken& aToken);

/** Handles one of the three messages of quotas; does nothing for others. */
void
ReceiveQuotaMessage(QuotaState& aState,
                    QuotaContext& aContext,
                    NodeId aFrom,
                    const GossipBody& aBody);

/** Accrues, hands over and handles time-outs. Call it every tick. */
void
AdvanceQuotas(QuotaState& aState, QuotaContext& aContext);

} // namespace fulmarway
