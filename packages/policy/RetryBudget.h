/** \file
 * Bounds on attempts: conserved tokens for each click, a share of retries for the node, and a share
 * of repeats for each caller.
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

/** Holds the tokens of one click on this node: of a caller's request, or of a request that runs on
 * the own backend server and may call deeper. */
using PoolId = Id<struct PoolIdTag>;

struct RetryBudgetSettings
{
  /** Retries and hedges of this node as a share of its successes, percent. */
  std::uint32_t retrySharePercent_ = 10;
  /** Retries that are allowed before any success is seen. */
  std::uint32_t retryBurst_ = 20;
  /** Repeats of one caller as a share of its first attempts, percent. */
  std::uint32_t repeatSharePercent_ = 10;
  std::uint32_t repeatBurst_ = 10;
  /** Callers that are tracked; the longest unseen is dropped. */
  std::size_t maxCallers_ = 4096;

  auto operator<=>(const RetryBudgetSettings&) const = default;
};

/** Tokens that were lent for one attempt and have not come back. */
struct TokenLoan
{
  PoolId pool_;
  std::uint32_t tokens_ = 0;

  bool operator==(const TokenLoan&) const = default;
};

/** What is left for the repeats of one caller. */
struct CallerShare
{
  /** Hundredths of a repeat, so that a percentage is added without rounding. */
  std::uint64_t credit_ = 0;
  /** Key in RetryBudget::callersByUse_. */
  std::uint64_t lastUse_ = 0;

  bool operator==(const CallerShare&) const = default;
};

/** Tokens are conserved: held + lent + spent of all pools of a click never exceeds the grant. */
struct RetryBudget
{
  RetryBudgetSettings settings_;
  /** Tokens held by each open pool. Bounded by the requests in progress. */
  std::map<PoolId, std::uint32_t> pools_;
  /** Open loans of at least one token. */
  std::map<AttemptId, TokenLoan> loans_;
  /** Hundredths of a retry that the node may still make. */
  std::uint64_t nodeCredit_ = 0;
  std::map<std::string, CallerShare, std::less<>> callers_;
  /** Callers from the longest unseen to the latest. */
  std::map<std::uint64_t, std::string> callersByUse_;
  std::uint64_t nextUse_ = 0;

  bool operator==(const RetryBudget&) const = default;
};

RetryBudget
MakeRetryBudget(const RetryBudgetSettings& aSettings);

/** Opens a pool. A second pool with the same id is an internal error. */
RetryBudget
OpenPool(RetryBudget aState, PoolId aPool, std::uint32_t aTokens);

/** Whether SpendToken() would succeed. */
bool
HasToken(const RetryBudget& aState, PoolId aPool);

/** Takes one token for a retry or hedge; false when the pool is empty or the node's share is used.
 */
Step<RetryBudget, bool>
SpendToken(RetryBudget aState, PoolId aPool);

/** Parts with tokens for the deeper calls of an attempt; returns how many. */
Step<RetryBudget, std::uint32_t>
LendTokens(RetryBudget aState, PoolId aPool, AttemptId aAttempt);

/** The attempt ended and returned this many tokens. More than were lent is a false report, so the
 * whole loan counts as spent. */
RetryBudget
SettleLoan(RetryBudget aState, AttemptId aAttempt, std::uint32_t aReturned);

/** The answer of the attempt was lost: its loan counts as spent. */
RetryBudget
ForfeitLoan(RetryBudget aState, AttemptId aAttempt);

/** Closes a pool and returns the tokens that are left in it; open loans are forfeited. */
Step<RetryBudget, std::uint32_t>
ClosePool(RetryBudget aState, PoolId aPool);

/** A call succeeded; earns a part of a retry. */
RetryBudget
NoteSuccess(RetryBudget aState);

/** Whether a caller's request is let in. First attempts always are; they earn a part of a repeat.
 */
Step<RetryBudget, bool>
AdmitAttempt(RetryBudget aState, std::string_view aCaller, std::uint32_t aAttemptNumber);

/** Tokens held in open pools; for tests and metrics. */
std::uint64_t
HeldTokens(const RetryBudget& aState);

} // namespace fulmarway
