#include "policy/RetryBudget.h"

#include "model/Error.h"

#include <algorithm>
#include <utility>

namespace fulmarway {

namespace {

/** Credit is counted in hundredths of a retry, so that a share in percent is added without
 * rounding. */
constexpr std::uint64_t kCreditPerRetry = 100;

std::uint64_t
AddCredit(std::uint64_t aCredit, std::uint32_t aSharePercent, std::uint32_t aBurst)
{
  return std::min(aCredit + aSharePercent, aBurst * kCreditPerRetry);
}

/** Removes and returns the reservation of the attempt; an empty one when there is none. */
TokenReservation
ExtractReservation(RetryBudget& aState, AttemptId aAttempt)
{
  const auto found = aState.reservations_.find(aAttempt);
  if (found == aState.reservations_.end()) {
    return {};
  }
  const TokenReservation reservation = found->second;
  aState.reservations_.erase(found);
  return reservation;
}

/** Finds or inserts a caller and marks it as the most recently used. A caller that is inserted into
 * a full table gets no burst, since it may have spent its burst before it was evicted. */
CallerRetryCredit&
FindOrInsertCaller(RetryBudget& aState, std::string_view aCaller)
{
  auto found = aState.callers_.find(aCaller);
  if (found == aState.callers_.end()) {
    CallerRetryCredit fresh{ aState.settings_.callerRetryBurst_ * kCreditPerRetry, 0 };
    if (aState.callers_.size() >= std::max<std::size_t>(aState.settings_.maxCallers_, 1)) {
      const auto oldest = aState.callersByLastUse_.begin();
      aState.callers_.erase(oldest->second);
      aState.callersByLastUse_.erase(oldest);
      fresh.credit_ = 0;
    }
    found = aState.callers_.emplace(std::string(aCaller), fresh).first;
  } else {
    aState.callersByLastUse_.erase(found->second.lastUseSequence_);
  }
  found->second.lastUseSequence_ = aState.nextUseSequence_++;
  aState.callersByLastUse_.emplace(found->second.lastUseSequence_, found->first);
  return found->second;
}

} // namespace

RetryBudget
MakeRetryBudget(const RetryBudgetSettings& aSettings)
{
  RetryBudget state;
  state.settings_ = aSettings;
  state.nodeRetryCredit_ = aSettings.retryBurst_ * kCreditPerRetry;
  return state;
}

RetryBudget
OpenPool(RetryBudget aState, TokenPoolId aPool, std::uint32_t aTokens)
{
  if (!aState.pools_.emplace(aPool, aTokens).second) {
    throw InternalError("token pool is already open");
  }
  return aState;
}

bool
HasToken(const RetryBudget& aState, TokenPoolId aPool)
{
  const auto pool = aState.pools_.find(aPool);
  return pool != aState.pools_.end() && pool->second > 0 &&
         aState.nodeRetryCredit_ >= kCreditPerRetry;
}

Step<RetryBudget, bool>
SpendToken(RetryBudget aState, TokenPoolId aPool)
{
  if (!HasToken(aState, aPool)) {
    return { std::move(aState), false };
  }
  aState.pools_.at(aPool) -= 1;
  aState.nodeRetryCredit_ -= kCreditPerRetry;
  return { std::move(aState), true };
}

Step<RetryBudget, std::uint32_t>
ReserveTokens(RetryBudget aState, TokenPoolId aPool, AttemptId aAttempt)
{
  if (aState.reservations_.contains(aAttempt)) {
    throw InternalError("attempt already has a token reservation");
  }
  const auto pool = aState.pools_.find(aPool);
  if (pool == aState.pools_.end()) {
    return { std::move(aState), 0 };
  }
  // Half, rounded down: the last token stays in the pool, since a reservation is lost together with
  // the answer of its attempt.
  const std::uint32_t reserved = pool->second / 2;
  if (reserved > 0) {
    pool->second -= reserved;
    aState.reservations_.emplace(aAttempt, TokenReservation{ aPool, reserved });
  }
  return { std::move(aState), reserved };
}

RetryBudget
SettleReservation(RetryBudget aState, AttemptId aAttempt, std::uint32_t aReturned)
{
  const TokenReservation reservation = ExtractReservation(aState, aAttempt);
  const auto pool = aState.pools_.find(reservation.pool_);
  if (pool != aState.pools_.end() && aReturned <= reservation.tokens_) {
    pool->second += aReturned;
  }
  return aState;
}

RetryBudget
ReturnReservation(RetryBudget aState, AttemptId aAttempt)
{
  const auto found = aState.reservations_.find(aAttempt);
  const std::uint32_t reserved = found == aState.reservations_.end() ? 0 : found->second.tokens_;
  return SettleReservation(std::move(aState), aAttempt, reserved);
}

RetryBudget
ForfeitReservation(RetryBudget aState, AttemptId aAttempt)
{
  ExtractReservation(aState, aAttempt);
  return aState;
}

Step<RetryBudget, std::uint32_t>
ClosePool(RetryBudget aState, TokenPoolId aPool)
{
  const auto pool = aState.pools_.find(aPool);
  if (pool == aState.pools_.end()) {
    return { std::move(aState), 0 };
  }
  const std::uint32_t left = pool->second;
  aState.pools_.erase(pool);
  std::erase_if(aState.reservations_,
                [aPool](const auto& aReservation) { return aReservation.second.pool_ == aPool; });
  return { std::move(aState), left };
}

RetryBudget
RecordSuccess(RetryBudget aState)
{
  aState.nodeRetryCredit_ = AddCredit(
    aState.nodeRetryCredit_, aState.settings_.retrySharePercent_, aState.settings_.retryBurst_);
  return aState;
}

Step<RetryBudget, bool>
AdmitAttempt(RetryBudget aState, std::string_view aCaller, std::uint32_t aAttemptNumber)
{
  CallerRetryCredit& caller = FindOrInsertCaller(aState, aCaller);
  if (aAttemptNumber <= 1) {
    caller.credit_ = AddCredit(caller.credit_,
                               aState.settings_.callerRetrySharePercent_,
                               aState.settings_.callerRetryBurst_);
    return { std::move(aState), true };
  }
  if (caller.credit_ < kCreditPerRetry) {
    return { std::move(aState), false };
  }
  caller.credit_ -= kCreditPerRetry;
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
