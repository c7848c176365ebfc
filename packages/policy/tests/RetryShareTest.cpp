/** \file
 * Guards against retries by nodes and callers that amplify an outage.
 */
#include "policy/RetryBudget.h"

#include <criterion/criterion.h>
#include <map>
#include <rapidcheck.h>
#include <string>

using namespace fulmarway;

namespace {

template<typename T>
T
Pick(T aFrom, T aTo)
{
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(aFrom, aTo));
}

RetryBudgetSettings
AnySettings()
{
  RetryBudgetSettings settings;
  settings.retrySharePercent_ = Pick(0U, 30U);
  settings.retryBurst_ = Pick(0U, 30U);
  settings.callerRetrySharePercent_ = Pick(0U, 30U);
  settings.callerRetryBurst_ = Pick(0U, 15U);
  settings.maxCallers_ = Pick<std::size_t>(1, 5);
  return settings;
}

struct CallerCount
{
  std::uint64_t first_ = 0;
  std::uint64_t retries_ = 0;
};

} // namespace

Test(retry_share, node_spends_at_most_its_burst_and_its_share_of_successes)
{
  const auto outcome = rc::check("retries stay within the share", [] {
    const RetryBudgetSettings settings = AnySettings();
    RetryBudget state = OpenPool(MakeRetryBudget(settings), TokenPoolId{ 1 }, 1000000);
    std::uint64_t successes = 0;
    std::uint64_t retries = 0;
    const int weight = Pick(1, 10);
    for (int left = Pick(0, 500); left > 0; --left) {
      if (Pick(0, 10) < weight) {
        state = RecordSuccess(std::move(state));
        ++successes;
      } else {
        auto spent = SpendToken(std::move(state), TokenPoolId{ 1 });
        state = std::move(spent.state_);
        retries += spent.result_ ? 1 : 0;
      }
      RC_ASSERT(retries * 100 <=
                settings.retryBurst_ * 100 + successes * settings.retrySharePercent_);
    }
  });
  cr_assert(outcome);
}

Test(retry_share, a_share_that_was_not_used_does_not_grow_beyond_the_burst)
{
  RetryBudget state = OpenPool(MakeRetryBudget({}), TokenPoolId{ 1 }, 1000);
  for (int i = 0; i < 10000; ++i) {
    state = RecordSuccess(std::move(state));
  }
  int retries = 0;
  for (bool granted = true; granted; retries += granted ? 1 : 0) {
    auto spent = SpendToken(std::move(state), TokenPoolId{ 1 });
    state = std::move(spent.state_);
    granted = spent.result_;
  }
  cr_assert_eq(retries, 20);
}

// A caller that is evicted from a full table must not return with a new burst.
Test(retry_share, caller_retries_stay_within_their_share_and_the_table_is_bounded)
{
  const auto outcome = rc::check("retries of each caller stay within the share", [] {
    const RetryBudgetSettings settings = AnySettings();
    RetryBudget state = MakeRetryBudget(settings);
    std::map<std::string, CallerCount> counts;
    for (int left = Pick(0, 500); left > 0; --left) {
      const std::string caller = "10.0.0." + std::to_string(Pick(1, 9));
      const auto attempt = Pick(0U, 4U);
      auto admitted = AdmitAttempt(std::move(state), caller, attempt);
      state = std::move(admitted.state_);
      CallerCount& count = counts[caller];
      RC_ASSERT(attempt > 1 || admitted.result_);
      count.first_ += attempt <= 1 ? 1 : 0;
      count.retries_ += attempt > 1 && admitted.result_ ? 1 : 0;
      RC_ASSERT(count.retries_ * 100 <= settings.callerRetryBurst_ * 100 +
                                          count.first_ * settings.callerRetrySharePercent_);
      RC_ASSERT(state.callers_.size() <= settings.maxCallers_);
      RC_ASSERT(state.callersByLastUse_.size() == state.callers_.size());
    }
  });
  cr_assert(outcome);
}

Test(retry_share, the_least_recently_used_caller_is_evicted)
{
  RetryBudgetSettings settings;
  settings.maxCallers_ = 2;
  RetryBudget state = MakeRetryBudget(settings);
  for (const char* caller : { "a", "b", "a", "c" }) {
    state = AdmitAttempt(std::move(state), caller, 1).state_;
  }
  cr_assert(state.callers_.contains("a"));
  cr_assert_not(state.callers_.contains("b"));
  cr_assert(state.callers_.contains("c"));
}

Test(retry_share, retries_of_a_quiet_caller_do_not_depend_on_a_noisy_one)
{
  RetryBudget state = MakeRetryBudget({});
  for (int i = 0; i < 100; ++i) {
    state = AdmitAttempt(std::move(state), "noisy", 2).state_;
  }
  cr_assert_not(AdmitAttempt(state, "noisy", 2).result_);
  cr_assert(AdmitAttempt(state, "quiet", 2).result_);
}
