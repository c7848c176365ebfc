/** \file
 * Guards against tokens that are created, lost without cause or returned twice.
 */
#include "policy/RetryBudget.h"
#include "model/Error.h"

#include <criterion/criterion.h>

using namespace fulmarway;

namespace {

constexpr TokenPoolId kPool{ 1 };
constexpr AttemptId kAttempt{ 10 };

RetryBudget
WithPool(std::uint32_t aTokens)
{
  return OpenPool(MakeRetryBudget({}), kPool, aTokens);
}

struct ReservationCase
{
  std::uint32_t held_;
  std::uint32_t reserved_;
  std::uint32_t returned_;
  /** Left in the pool after the reservation is settled. */
  std::uint32_t left_;
};

} // namespace

Test(retry_budget, reservations)
{
  const ReservationCase cases[] = {
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
  for (const ReservationCase& example : cases) {
    auto reserved = ReserveTokens(WithPool(example.held_), kPool, kAttempt);
    cr_assert_eq(reserved.result_, example.reserved_, "held %u", example.held_);
    cr_assert_eq(HeldTokens(reserved.state_), example.held_ - example.reserved_);
    RetryBudget state = SettleReservation(std::move(reserved.state_), kAttempt, example.returned_);
    cr_assert_eq(HeldTokens(state), example.left_, "held %u", example.held_);
    state = SettleReservation(std::move(state), kAttempt, example.returned_);
    cr_assert_eq(HeldTokens(state), example.left_, "settled twice, held %u", example.held_);
  }
}

Test(retry_budget, a_lost_answer_forfeits_the_reservation)
{
  RetryBudget state = ReserveTokens(WithPool(4), kPool, kAttempt).state_;
  state = ForfeitReservation(std::move(state), kAttempt);
  state = SettleReservation(std::move(state), kAttempt, 2);
  cr_assert_eq(HeldTokens(state), 2U);
}

Test(retry_budget, closing_a_pool_returns_its_tokens_and_forfeits_its_reservations)
{
  RetryBudget state = ReserveTokens(WithPool(4), kPool, kAttempt).state_;
  const auto closed = ClosePool(std::move(state), kPool);
  cr_assert_eq(closed.result_, 2U);
  cr_assert(closed.state_.reservations_.empty());
  // The id may be reused, and the old reservation does not affect the new pool.
  state = SettleReservation(OpenPool(closed.state_, kPool, 0), kAttempt, 2);
  cr_assert_eq(HeldTokens(state), 0U);
}

Test(retry_budget, unknown_pools_hold_nothing)
{
  const RetryBudget state = MakeRetryBudget({});
  cr_assert_not(SpendToken(state, kPool).result_);
  cr_assert_eq(ReserveTokens(state, kPool, kAttempt).result_, 0U);
  cr_assert_eq(ClosePool(state, kPool).result_, 0U);
}

Test(retry_budget, reused_ids_are_internal_errors)
{
  cr_assert_throw(OpenPool(WithPool(1), kPool, 1), InternalError);
  const RetryBudget state = ReserveTokens(WithPool(4), kPool, kAttempt).state_;
  cr_assert_throw(ReserveTokens(state, kPool, kAttempt), InternalError);
}

Test(retry_budget, an_empty_pool_does_not_use_the_share_of_the_node)
{
  const RetryBudget state = WithPool(0);
  cr_assert_eq(SpendToken(state, kPool).state_.nodeRetryCredit_, state.nodeRetryCredit_);
}
