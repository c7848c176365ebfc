/** \file
 * Guards against tokens that are created, lost without cause or returned twice.
 */
#include "policy/RetryBudget.h"
#include "model/Error.h"

#include <criterion/criterion.h>

using namespace fulmarway;

namespace {

constexpr PoolId kPool{ 1 };
constexpr AttemptId kAttempt{ 10 };

RetryBudget
WithPool(std::uint32_t aTokens)
{
  return OpenPool(MakeRetryBudget({}), kPool, aTokens);
}

struct LoanCase
{
  std::uint32_t held_;
  std::uint32_t lent_;
  std::uint32_t returned_;
  /** Left in the pool after the reservation is settled. */
  std::uint32_t left_;
};

} // namespace

Test(retry_budget, loans)
{
  const LoanCase cases[] = {
    { 0, 0, 0, 0 },
    // The last token is not reserved.
    { 1, 0, 0, 1 },
    { 2, 1, 1, 2 },
    { 5, 2, 0, 3 },
    { 9, 4, 3, 8 },
    // Returning more than was reserved is invalid.
    { 2, 1, 2, 1 },
    { 9, 4, 4000000000U, 5 },
    { 1, 0, 7, 1 },
  };
  for (const LoanCase& example : cases) {
    auto lent = LendTokens(WithPool(example.held_), kPool, kAttempt);
    cr_assert_eq(lent.result_, example.lent_, "held %u", example.held_);
    cr_assert_eq(HeldTokens(lent.state_), example.held_ - example.lent_);
    RetryBudget state = SettleLoan(std::move(lent.state_), kAttempt, example.returned_);
    cr_assert_eq(HeldTokens(state), example.left_, "held %u", example.held_);
    state = SettleLoan(std::move(state), kAttempt, example.returned_);
    cr_assert_eq(HeldTokens(state), example.left_, "settled twice, held %u", example.held_);
  }
}

Test(retry_budget, a_lost_answer_forfeits_the_loan)
{
  RetryBudget state = LendTokens(WithPool(4), kPool, kAttempt).state_;
  state = ForfeitLoan(std::move(state), kAttempt);
  state = SettleLoan(std::move(state), kAttempt, 2);
  cr_assert_eq(HeldTokens(state), 2U);
}

Test(retry_budget, closing_a_pool_returns_what_it_holds_and_forfeits_its_loans)
{
  RetryBudget state = LendTokens(WithPool(4), kPool, kAttempt).state_;
  const auto closed = ClosePool(std::move(state), kPool);
  cr_assert_eq(closed.result_, 2U);
  cr_assert(closed.state_.loans_.empty());
  // The id may be reused, and the old reservation does not affect the new pool.
  state = SettleLoan(OpenPool(closed.state_, kPool, 0), kAttempt, 2);
  cr_assert_eq(HeldTokens(state), 0U);
}

Test(retry_budget, unknown_pools_hold_nothing)
{
  const RetryBudget state = MakeRetryBudget({});
  cr_assert_not(SpendToken(state, kPool).result_);
  cr_assert_eq(LendTokens(state, kPool, kAttempt).result_, 0U);
  cr_assert_eq(ClosePool(state, kPool).result_, 0U);
}

Test(retry_budget, reused_ids_are_internal_errors)
{
  cr_assert_throw(OpenPool(WithPool(1), kPool, 1), InternalError);
  const RetryBudget state = LendTokens(WithPool(4), kPool, kAttempt).state_;
  cr_assert_throw(LendTokens(state, kPool, kAttempt), InternalError);
}

Test(retry_budget, an_empty_pool_does_not_use_the_share_of_the_node)
{
  const RetryBudget state = WithPool(0);
  cr_assert_eq(SpendToken(state, kPool).state_.nodeCredit_, state.nodeCredit_);
}
