/** \file
 * Tokens of client accounts at the entry node: every request of an account with a quota takes one
 * before it is sent.
 *
 * Load pattern: an account sends more than its quota, at any number of entry nodes. Requests wait
 * for an answer of the pool node, for a bounded time, and each refused request gets a time of its
 * own to come back.
 */
#pragma once

#include "policy/QuotaAccrual.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace fulmarway {

/** Tokens of one grant. */
struct TokenBatch
{
  std::uint32_t count_ = 0;
  Instant expiresAt_;

  bool operator==(const TokenBatch&) const = default;
};

/** Steps of a round of requests to pool nodes; each begins when the one before got no answer. */
enum class AskStage : std::uint8_t
{
  /** No request waits for an answer. */
  kNone,
  kFirstNode,
  /** The first node again, because a datagram may have been lost. */
  kFirstNodeAgain,
  /** The second node, and once more the first. */
  kSecondNode,
};

struct SentAsk
{
  Instant at_;
  std::uint32_t tokens_ = 0;

  bool operator==(const SentAsk&) const = default;
};

struct AccountTokens
{
  std::vector<TokenBatch> batches_;
  /** Requests that wait for a token. They may have ended in the meantime. */
  std::deque<CallId> waiting_;
  AskStage stage_ = AskStage::kNone;
  Instant roundStartedAt_;
  /** The request to the first node in this round. */
  QuotaRequest firstRequest_;
  /** Asks whose grant may still be used, by number. */
  std::map<std::uint64_t, SentAsk> asks_;
  /** Arrivals per second, averaged over kDemandTime. */
  double demand_ = 0;
  Instant demandAt_;
  /** Until then the pool is known to be empty, and requests are refused with the times that are
   * reserved for this node. */
  Instant refuseUntil_;
  std::uint32_t reservedLeft_ = 0;
  Instant nextReservedAt_;
  /** Tokens used, and requests refused as over the quota, since the start of the node. */
  std::uint64_t used_ = 0;
  std::uint64_t refused_ = 0;
  /** Last refusals; nullopt while the account is within its quota, or a pool answers. */
  std::optional<Instant> overQuotaAt_;
  std::optional<Instant> unavailableAt_;

  bool operator==(const AccountTokens&) const = default;
};

struct QuotaTokens
{
  std::map<std::string, AccountTokens, std::less<>> accounts_;
  std::uint64_t nextNumber_ = 1;

  bool operator==(const QuotaTokens&) const = default;
};

/** A token in use; returned if the request does not run. */
struct TakenToken
{
  std::string account_;
  Instant expiresAt_;

  bool operator==(const TakenToken&) const = default;
};

/** Outcome for a request that asked for a token: the token or a refusal. */
struct TokenOutcome
{
  CallId call_;
  std::optional<TakenToken> token_;
  /** Reason::kOverQuota or Reason::kQuotaUnavailable. */
  Refusal refusal_;

  bool operator==(const TokenOutcome&) const = default;
};

/** Request for a pool node. */
struct TokenAsk
{
  AskStage stage_ = AskStage::kNone;
  QuotaRequest request_;

  bool operator==(const TokenAsk&) const = default;
};

/** Inputs and outputs of the functions below. */
struct TokenContext
{
  const AccountQuotas& quotas_;
  const QuotaTimes& times_;
  Instant now_;
  std::vector<TokenOutcome> outcomes_ = {};
  std::vector<TokenAsk> asks_ = {};
};

/** Requests a token for the call. The outcome may follow later; until then the call waits. aAccount
 * must have a quota. */
void
TakeToken(QuotaTokens& aState, TokenContext& aContext, const std::string& aAccount, CallId aCall);

/** Returns the token of a request that did not run and never will. A waiting request gets it at the
 * next tick, so that a series of requests that all fail is no recursion. */
void
ReturnToken(QuotaTokens& aState, TokenContext& aContext, const TakenToken& aToken);

void
ReceiveGrant(QuotaTokens& aState, TokenContext& aContext, const QuotaGrant& aGrant);

/** Sends the requests to pool nodes that are due again, refuses requests that got no answer, and
 * drops expired tokens. Call it every tick. */
void
AdvanceTokens(QuotaTokens& aState, TokenContext& aContext);

} // namespace fulmarway
