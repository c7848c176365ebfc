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
struct CallTree
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
  std::uint64_t inTransit_ = 0;

  std::uint64_t Held() const
  {
    std::uint64_t held = 0;
    for (const RetryBudget& node : nodes_) {
      held += HeldTokens(node);
    }
    return held;
  }

  void CheckConservation() const
  {
    RC_ASSERT(Held() + inTransit_ + spent_ + lost_ == grant_);
    // Each spent token pays for one attempt right after it.
    RC_ASSERT(attempts_ <= calls_ + spent_);
    RC_ASSERT(attempts_ <= calls_ + grant_);
  }
};

std::uint32_t
ExecuteRequest(CallTree& aTree, std::size_t aDepth, std::uint32_t aTokens);

struct SentAttempt
{
  AttemptId id_;
  std::uint32_t reserved_ = 0;
};

SentAttempt
Send(CallTree& aTree, std::size_t aDepth, TokenPoolId aPool)
{
  const AttemptId id{ aTree.nextAttempt_++ };
  aTree.attempts_ += 1;
  auto reserved = ReserveTokens(std::move(aTree.nodes_.at(aDepth)), aPool, id);
  aTree.nodes_.at(aDepth) = std::move(reserved.state_);
  aTree.inTransit_ += reserved.result_;
  return { id, reserved.result_ };
}

/** Executes the attempt on the next node and settles its reservation; returns whether it was
 * answered. */
bool
Complete(CallTree& aTree, std::size_t aDepth, const SentAttempt& aSent)
{
  RetryBudget& node = aTree.nodes_.at(aDepth);
  aTree.inTransit_ -= aSent.reserved_;
  const std::uint32_t left = ExecuteRequest(aTree, aDepth + 1, aSent.reserved_);
  std::uint32_t settled = left;
  const int outcome = Pick(0, 10);
  if (outcome < 6) {
    node = SettleReservation(std::move(node), aSent.id_, left);
  } else if (outcome < 8) {
    node = ForfeitReservation(std::move(node), aSent.id_);
    settled = 0;
  } else if (outcome == 8) {
    node = SettleReservation(std::move(node), aSent.id_, aSent.reserved_ + Pick(1U, 100U));
    settled = 0;
  } else {
    settled = left == 0 ? 0 : Pick(0U, left);
    node = SettleReservation(std::move(node), aSent.id_, settled);
  }
  aTree.inTransit_ -= left;
  aTree.lost_ += left - settled;
  aTree.CheckConservation();
  return outcome < 6 && Pick(0, 3) > 0;
}

bool
Spend(CallTree& aTree, std::size_t aDepth, TokenPoolId aPool)
{
  auto spent = SpendToken(std::move(aTree.nodes_.at(aDepth)), aPool);
  aTree.nodes_.at(aDepth) = std::move(spent.state_);
  aTree.spent_ += spent.result_ ? 1 : 0;
  return spent.result_;
}

/** Makes a call with hedges and retries while there are tokens. */
void
MakeCall(CallTree& aTree, std::size_t aDepth, TokenPoolId aPool)
{
  aTree.calls_ += 1;
  const SentAttempt first = Send(aTree, aDepth, aPool);
  bool answered = false;
  if (Pick(0, 5) == 0 && Spend(aTree, aDepth, aPool)) {
    answered = Complete(aTree, aDepth, Send(aTree, aDepth, aPool));
  }
  answered = Complete(aTree, aDepth, first) || answered;
  while (!answered && Spend(aTree, aDepth, aPool)) {
    answered = Complete(aTree, aDepth, Send(aTree, aDepth, aPool));
  }
}

std::uint32_t
ExecuteRequest(CallTree& aTree, std::size_t aDepth, std::uint32_t aTokens)
{
  const TokenPoolId pool{ aTree.nextPool_++ };
  aTree.nodes_.at(aDepth) = OpenPool(std::move(aTree.nodes_.at(aDepth)), pool, aTokens);
  const int fanOut = aDepth < kDepth ? Pick(1, 4) : 0;
  for (int i = 0; i < fanOut && aTree.calls_ < kMaxCalls; ++i) {
    MakeCall(aTree, aDepth, pool);
  }
  auto closed = ClosePool(std::move(aTree.nodes_.at(aDepth)), pool);
  aTree.nodes_.at(aDepth) = std::move(closed.state_);
  aTree.inTransit_ += closed.result_;
  aTree.CheckConservation();
  return closed.result_;
}

} // namespace

Test(token_conservation, over_random_call_trees)
{
  const auto outcome = rc::check("held + reserved + spent of a root request is conserved", [] {
    CallTree tree;
    RetryBudgetSettings settings;
    settings.retryBurst_ = 100000;
    tree.nodes_.fill(MakeRetryBudget(settings));
    tree.grant_ = Pick(0U, 300U);
    ExecuteRequest(tree, 0, static_cast<std::uint32_t>(tree.grant_));
    for (const RetryBudget& node : tree.nodes_) {
      RC_ASSERT(node.pools_.empty());
      RC_ASSERT(node.reservations_.empty());
    }
  });
  cr_assert(outcome);
}
