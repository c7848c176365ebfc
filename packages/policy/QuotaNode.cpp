#include "policy/QuotaNode.h"

#include <algorithm>
#include <iterator>

namespace fulmarway {

namespace {

TokenContext
MakeTokenContext(const QuotaState& aState, const QuotaContext& aContext)
{
  return { aState.quotas_, aContext.times_, aContext.now_ };
}

PoolContext
MakePoolContext(const QuotaState& aState, const QuotaContext& aContext)
{
  return { aState.quotas_, aContext.bounds_, aContext.times_, aState.view_.nodes_, aContext.now_ };
}

void
Send(QuotaState& aState, QuotaContext& aContext, NodeId aTo, GossipBody aBody)
{
  if (aTo == aState.view_.self_) {
    ReceiveQuotaMessage(aState, aContext, aTo, aBody);
  } else if (aTo != NodeId{}) {
    aContext.messages_.push_back({ aTo, std::move(aBody) });
  }
}

/** Sends the requests and passes on the outcomes of a step of the tokens. */
void
FinishTokenStep(QuotaState& aState, QuotaContext& aContext, TokenContext& aTokens)
{
  std::move(
    aTokens.outcomes_.begin(), aTokens.outcomes_.end(), std::back_inserter(aContext.outcomes_));
  for (TokenAsk& ask : aTokens.asks_) {
    const auto quota = aState.quotas_.find(ask.request_.account_);
    const PoolNodes nodes = NodesToAsk(
      aState.accrual_, aState.view_, quota == aState.quotas_.end() ? 0 : quota->second.bucket_);
    const NodeId to = nodes[ask.stage_ == AskStage::kSecondNode ? 1 : 0];
    Send(aState, aContext, to, std::move(ask.request_));
  }
}

struct BodyHandler
{
  QuotaState& state_;
  QuotaContext& context_;
  NodeId from_;

  void operator()(const QuotaHandover& aBody) const
  {
    ReceiveHandover(state_.pools_, MakePoolContext(state_, context_), from_, aBody);
  }
  void operator()(const QuotaRequest& aBody) const
  {
    Send(state_,
         context_,
         from_,
         GrantTokens(state_.pools_, MakePoolContext(state_, context_), from_, aBody));
  }
  void operator()(const QuotaGrant& aBody) const
  {
    TokenContext tokens = MakeTokenContext(state_, context_);
    ReceiveGrant(state_.tokens_, tokens, aBody);
    FinishTokenStep(state_, context_, tokens);
  }
  void operator()(const auto&) const {}
};

} // namespace

void
TakeAccountToken(QuotaState& aState,
                 QuotaContext& aContext,
                 const std::string& aAccount,
                 CallId aCall)
{
  TokenContext tokens = MakeTokenContext(aState, aContext);
  TakeToken(aState.tokens_, tokens, aAccount, aCall);
  FinishTokenStep(aState, aContext, tokens);
}

void
ReturnAccountToken(QuotaState& aState, QuotaContext& aContext, const TakenToken& aToken)
{
  TokenContext tokens = MakeTokenContext(aState, aContext);
  ReturnToken(aState.tokens_, tokens, aToken);
  FinishTokenStep(aState, aContext, tokens);
}

void
ReceiveQuotaMessage(QuotaState& aState,
                    QuotaContext& aContext,
                    NodeId aFrom,
                    const GossipBody& aBody)
{
  std::visit(BodyHandler{ aState, aContext, aFrom }, aBody);
}

void
AdvanceQuotas(QuotaState& aState, QuotaContext& aContext)
{
  for (auto& [to, handover] :
       AdvanceAccrual(aState.accrual_, aState.view_, aContext.times_, aContext.now_)) {
    Send(aState, aContext, to, handover);
  }
  AdvancePools(aState.pools_, MakePoolContext(aState, aContext));
  TokenContext tokens = MakeTokenContext(aState, aContext);
  AdvanceTokens(aState.tokens_, tokens);
  FinishTokenStep(aState, aContext, tokens);
}

} // namespace fulmarway
