/** \file
 * Limits that keep retries from amplifying an outage: a conserved number of tokens for each root
 * request, a budget for the retries and hedges of this node, and one for the retries of each
 * caller.
 */
#pragma once

#include "model/Ids.h"
#include "model/Step.h"
#include "model/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace fulmarway {

/** Identifies a token pool: the tokens of a caller's request, or of a request that runs on the
 * local backend server and may make downstream calls. */
using TokenPoolId = Id<struct TokenPoolIdTag>;

struct RetryBudgetSettings
{
  /** Retries and hedges of this node as a share of its successes, percent. */
  std::uint32_t retrySharePercent_ = 10;
  /** Retries and hedges allowed before the first success; also the limit on unused credit. */
  std::uint32_t retryBurst_ = 20;
  /** Retries of one caller as a share of its first attempts, percent. */
  std::uint32_t callerRetrySharePercent_ = 10;
  /** Retries that a new caller has at once; also the limit on its unused credit. */
  std::uint32_t callerRetryBurst_ = 10;
  /** Limit on tracked callers; the least recently used one is evicted. */
  std::size_t maxCallers_ = 4096;

  auto operator<=>(const RetryBudgetSettings&) const = default;
};

/** Tokens that are reserved for the downstream calls of one attempt in flight. */
struct TokenReservation
{
  TokenPoolId pool_;
  std::uint32_t tokens_ = 0;

  bool operator==(const TokenReservation&) const = default;
};

/** Retry credit of one caller. */
struct CallerRetryCredit
{
  /** Hundredths of a retry, so that a percentage is added without rounding. */
  std::uint64_t credit_ = 0;
  /** Key in RetryBudget::callersByLastUse_. */
  std::uint64_t lastUseSequence_ = 0;

  bool operator==(const CallerRetryCredit&) const = default;
};

/** Tokens are conserved: over all pools of a root request, held + reserved + spent never exceeds
 * the number granted to it. */
struct RetryBudget
{
  RetryBudgetSettings settings_;
  /** Tokens held by each open pool. Bounded by the requests in flight. */
  std::map<TokenPoolId, std::uint32_t> pools_;
  /** Open reservations of at least one token. */
  std::map<AttemptId, TokenReservation> reservations_;
  /** Hundredths of a retry that the node may still make. */
  std::uint64_t nodeRetryCredit_ = 0;
  std::map<std::string, CallerRetryCredit, std::less<>> callers_;
  /** Callers from the least to the most recently used. */
  std::map<std::uint64_t, std::string> callersByLastUse_;
  std::uint64_t nextUseSequence_ = 0;

  bool operator==(const RetryBudget&) const = default;
};

RetryBudget
MakeRetryBudget(const RetryBudgetSettings& aSettings);

/** Opens a pool. A second pool with the same id is an internal error. */
RetryBudget
OpenPool(RetryBudget aState, TokenPoolId aPool, std::uint32_t aTokens);

/** Whether SpendToken() would succeed. */
bool
HasToken(const RetryBudget& aState, TokenPoolId aPool);

/** Spends one token and one retry of the node's credit on a retry or hedge; false when either is
 * exhausted. */
Step<RetryBudget, bool>
SpendToken(RetryBudget aState, TokenPoolId aPool);

/** Reserves tokens of the pool for the downstream calls of an attempt; returns their number. */
Step<RetryBudget, std::uint32_t>
ReserveTokens(RetryBudget aState, TokenPoolId aPool, AttemptId aAttempt);

/** Closes the reservation of an attempt that returned aReturned tokens. A number above the reserved
 * one is invalid, and all reserved tokens count as spent. */
RetryBudget
SettleReservation(RetryBudget aState, AttemptId aAttempt, std::uint32_t aReturned);

/** Closes the reservation of an attempt that was not written; its tokens return to the pool. */
RetryBudget
ReturnReservation(RetryBudget aState, AttemptId aAttempt);

/** Closes the reservation of an attempt whose answer was lost; its tokens count as spent. */
RetryBudget
ForfeitReservation(RetryBudget aState, AttemptId aAttempt);

/** Closes a pool and returns its remaining tokens; open reservations are forfeited. */
Step<RetryBudget, std::uint32_t>
ClosePool(RetryBudget aState, TokenPoolId aPool);

/** Adds retry credit to the node for a successful call. */
RetryBudget
RecordSuccess(RetryBudget aState);

/** Whether a caller's request is admitted. First attempts always are, and add to the caller's retry
 * credit; retries spend it. */
Step<RetryBudget, bool>
AdmitAttempt(RetryBudget aState, std::string_view aCaller, std::uint32_t aAttemptNumber);

/** Tokens held in open pools. */
std::uint64_t
HeldTokens(const RetryBudget& aState);

} // namespace fulmarway
