#include "policy/RetryBudget.h"

#include "model/Error.h"

#include <algorithm>
#include <utility>

namespace fulmarway {

namespace {

/** Credit is counted in hundredths of a retry, so that a share in percent is added without
 * rounding. */
constexpr std::uint64_t kCreditUnit = 100;

std::uint64_t
EarnCredit(std::uint64_t aCredit, std::uint32_t aSharePercent, std::uint32_t aBurst)
{
  return std::min(aCredit + aSharePercent, aBurst * kCreditUnit);
}

/** Removes and returns the reservation of the attempt; an empty one when there is none. */
TokenLoan
TakeLoan(RetryBudget& aState, AttemptId aAttempt)
{
  const auto found = aState.loans_.find(aAttempt);
  if (found == aState.loans_.end()) {
    return {};
  }
  const TokenLoan loan = found->second;
  aState.loans_.erase(found);
  return loan;
}

/** Finds or inserts a caller and marks it as the most recently used. A caller that is inserted into
 * a full table gets no burst, since it may have spent its burst before it was evicted. */
CallerShare&
TouchCaller(RetryBudget& aState, std::string_view aCaller)
{
  auto found = aState.callers_.find(aCaller);
  if (found == aState.callers_.end()) {
    CallerShare fresh{ aState.settings_.repeatBurst_ * kCreditUnit, 0 };
    if (aState.callers_.size() >= std::max<std::size_t>(aState.settings_.maxCallers_, 1)) {
      const auto oldest = aState.callersByUse_.begin();
      aState.callers_.erase(oldest->second);
      aState.callersByUse_.erase(oldest);
      fresh.credit_ = 0;
    }
    found = aState.callers_.emplace(std::string(aCaller), fresh).first;
  } else {
    aState.callersByUse_.erase(found->second.lastUse_);
  }
  found->second.lastUse_ = aState.nextUse_++;
  aState.callersByUse_.emplace(found->second.lastUse_, found->first);
  return found->second;
}

} // namespace

RetryBudget
MakeRetryBudget(const RetryBudgetSettings& aSettings)
{
  RetryBudget state;
  state.settings_ = aSettings;
  state.nodeCredit_ = aSettings.retryBurst_ * kCreditUnit;
  return state;
}

RetryBudget
OpenPool(RetryBudget aState, PoolId aPool, std::uint32_t aTokens)
{
  if (!aState.pools_.emplace(aPool, aTokens).second) {
    throw InternalError("token pool is already open");
  }
  return aState;
}

bool
HasToken(const RetryBudget& aState, PoolId aPool)
{
  const auto pool = aState.pools_.find(aPool);
  return pool != aState.pools_.end() && pool->second > 0 && aState.nodeCredit_ >= kCreditUnit;
}

Step<RetryBudget, bool>
SpendToken(RetryBudget aState, PoolId aPool)
{
  if (!HasToken(aState, aPool)) {
    return { std::move(aState), false };
  }
  aState.pools_.at(aPool) -= 1;
  aState.nodeCredit_ -= kCreditUnit;
  return { std::move(aState), true };
}

Step<RetryBudget, std::uint32_t>
LendTokens(RetryBudget aState, PoolId aPool, AttemptId aAttempt)
{
  if (aState.loans_.contains(aAttempt)) {
    throw InternalError("attempt already has a token reservation");
  }
  const auto pool = aState.pools_.find(aPool);
  if (pool == aState.pools_.end()) {
    return { std::move(aState), 0 };
  }
  // Half, rounded down: the last token stays in the pool, since a reservation is lost together with
  // the answer of its attempt.
  const std::uint32_t lent = pool->second / 2;
  if (lent > 0) {
    pool->second -= lent;
    aState.loans_.emplace(aAttempt, TokenLoan{ aPool, lent });
  }
  return { std::move(aState), lent };
}

RetryBudget
SettleLoan(RetryBudget aState, AttemptId aAttempt, std::uint32_t aReturned)
{
  const TokenLoan loan = TakeLoan(aState, aAttempt);
  const auto pool = aState.pools_.find(loan.pool_);
  if (pool != aState.pools_.end() && aReturned <= loan.tokens_) {
    pool->second += aReturned;
  }
  return aState;
}

RetryBudget
ForfeitLoan(RetryBudget aState, AttemptId aAttempt)
{
  TakeLoan(aState, aAttempt);
  return aState;
}

Step<RetryBudget, std::uint32_t>
ClosePool(RetryBudget aState, PoolId aPool)
{
  const auto pool = aState.pools_.find(aPool);
  if (pool == aState.pools_.end()) {
    return { std::move(aState), 0 };
  }
  const std::uint32_t left = pool->second;
  aState.pools_.erase(pool);
  std::erase_if(aState.loans_, [aPool](const auto& aLoan) { return aLoan.second.pool_ == aPool; });
  return { std::move(aState), left };
}

RetryBudget
NoteSuccess(RetryBudget aState)
{
  aState.nodeCredit_ = EarnCredit(
    aState.nodeCredit_, aState.settings_.retrySharePercent_, aState.settings_.retryBurst_);
  return aState;
}

Step<RetryBudget, bool>
AdmitAttempt(RetryBudget aState, std::string_view aCaller, std::uint32_t aAttemptNumber)
{
  CallerShare& share = TouchCaller(aState, aCaller);
  if (aAttemptNumber <= 1) {
    share.credit_ = EarnCredit(
      share.credit_, aState.settings_.repeatSharePercent_, aState.settings_.repeatBurst_);
    return { std::move(aState), true };
  }
  if (share.credit_ < kCreditUnit) {
    return { std::move(aState), false };
  }
  share.credit_ -= kCreditUnit;
  return { std::move(aState), true };
}

std::uint64_t
HeldTokens(const RetryBudget& aState)
{
  std::uint64_t held = 0;
  for (const auto& [pool, tokens] : aState.pools_) {
    held += tokens;
  }
  return held;
}

} // namespace fulmarway
