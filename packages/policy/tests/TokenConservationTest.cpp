/** \file
 * Guards against a root request that makes more attempts than its calls and tokens allow, under any
 * combination of retries, hedges, lost answers and invalid token reports along a chain of calls.
 */
#include "policy/RetryBudget.h"

#include <algorithm>
#include <array>
#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace fulmarway;

namespace {

constexpr std::size_t kDepth = 15;
/** Limit on the size of a random call tree. */
constexpr std::uint32_t kMaxCalls = 400;

template<typename T>
T
Pick(T aFrom, T aTo)
{
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(aFrom, aTo));
}

/** A root request over a chain of nodes, each with a separate budget. Counts calls, attempts and
 * tokens independently of the budgets. */
struct Click
{
  std::array<RetryBudget, kDepth + 1> nodes_;
  std::uint64_t grant_ = 0;
  std::uint64_t nextPool_ = 1;
  std::uint64_t nextAttempt_ = 1;
  std::uint64_t calls_ = 0;
  std::uint64_t attempts_ = 0;
  std::uint64_t spent_ = 0;
  /** Tokens of attempts whose answer was lost or invalid, less those that were spent. */
  std::uint64_t lost_ = 0;
  /** Tokens in requests and answers between two nodes. */
  std::uint64_t travelling_ = 0;

  std::uint64_t Held() const
  {
    std::uint64_t held = 0;
    for (const RetryBudget& node : nodes_) {
      held += HeldTokens(node);
    }
    return held;
  }

  void CheckSum() const
  {
    RC_ASSERT(Held() + travelling_ + spent_ + lost_ == grant_);
    // Each spent token pays for one attempt right after it.
    RC_ASSERT(attempts_ <= calls_ + spent_);
    RC_ASSERT(attempts_ <= calls_ + grant_);
  }
};

std::uint32_t
RunRequest(Click& aClick, std::size_t aDepth, std::uint32_t aTokens);

struct SentAttempt
{
  AttemptId id_;
  std::uint32_t lent_ = 0;
};

SentAttempt
Send(Click& aClick, std::size_t aDepth, PoolId aPool)
{
  const AttemptId id{ aClick.nextAttempt_++ };
  aClick.attempts_ += 1;
  auto lent = LendTokens(std::move(aClick.nodes_.at(aDepth)), aPool, id);
  aClick.nodes_.at(aDepth) = std::move(lent.state_);
  aClick.travelling_ += lent.result_;
  return { id, lent.result_ };
}

/** Executes the attempt on the next node and settles its reservation; returns whether it was
 * answered. */
bool
Complete(Click& aClick, std::size_t aDepth, const SentAttempt& aSent)
{
  RetryBudget& node = aClick.nodes_.at(aDepth);
  aClick.travelling_ -= aSent.lent_;
  const std::uint32_t left = RunRequest(aClick, aDepth + 1, aSent.lent_);
  std::uint32_t settled = left;
  const int outcome = Pick(0, 10);
  if (outcome < 6) {
    node = SettleLoan(std::move(node), aSent.id_, left);
  } else if (outcome < 8) {
    node = ForfeitLoan(std::move(node), aSent.id_);
    settled = 0;
  } else if (outcome == 8) {
    node = SettleLoan(std::move(node), aSent.id_, aSent.lent_ + Pick(1U, 100U));
    settled = 0;
  } else {
    settled = left == 0 ? 0 : Pick(0U, left);
    node = SettleLoan(std::move(node), aSent.id_, settled);
  }
  aClick.travelling_ -= left;
  aClick.lost_ += left - settled;
  aClick.CheckSum();
  return outcome < 6 && Pick(0, 3) > 0;
}

bool
Spend(Click& aClick, std::size_t aDepth, PoolId aPool)
{
  auto spent = SpendToken(std::move(aClick.nodes_.at(aDepth)), aPool);
  aClick.nodes_.at(aDepth) = std::move(spent.state_);
  aClick.spent_ += spent.result_ ? 1 : 0;
  return spent.result_;
}

/** Makes a call with hedges and retries while there are tokens. */
void
MakeCall(Click& aClick, std::size_t aDepth, PoolId aPool)
{
  aClick.calls_ += 1;
  const SentAttempt first = Send(aClick, aDepth, aPool);
  bool answered = false;
  if (Pick(0, 5) == 0 && Spend(aClick, aDepth, aPool)) {
    answered = Complete(aClick, aDepth, Send(aClick, aDepth, aPool));
  }
  answered = Complete(aClick, aDepth, first) || answered;
  while (!answered && Spend(aClick, aDepth, aPool)) {
    answered = Complete(aClick, aDepth, Send(aClick, aDepth, aPool));
  }
}

std::uint32_t
RunRequest(Click& aClick, std::size_t aDepth, std::uint32_t aTokens)
{
  const PoolId pool{ aClick.nextPool_++ };
  aClick.nodes_.at(aDepth) = OpenPool(std::move(aClick.nodes_.at(aDepth)), pool, aTokens);
  const int fanOut = aDepth < kDepth ? Pick(1, 4) : 0;
  for (int i = 0; i < fanOut && aClick.calls_ < kMaxCalls; ++i) {
    MakeCall(aClick, aDepth, pool);
  }
  auto closed = ClosePool(std::move(aClick.nodes_.at(aDepth)), pool);
  aClick.nodes_.at(aDepth) = std::move(closed.state_);
  aClick.travelling_ += closed.result_;
  aClick.CheckSum();
  return closed.result_;
}

} // namespace

Test(token_conservation, over_random_call_trees)
{
  const auto outcome = rc::check("held + reserved + spent of a root request is conserved", [] {
    Click click;
    RetryBudgetSettings settings;
    settings.retryBurst_ = 100000;
    click.nodes_.fill(MakeRetryBudget(settings));
    click.grant_ = Pick(0U, 300U);
    RunRequest(click, 0, static_cast<std::uint32_t>(click.grant_));
    for (const RetryBudget& node : click.nodes_) {
      RC_ASSERT(node.pools_.empty());
      RC_ASSERT(node.loans_.empty());
    }
  });
  cr_assert(outcome);
}
