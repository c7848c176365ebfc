#include "policy/InboundReplies.h"

#include "policy/CompletionAdmission.h"
#include "policy/Outbound.h"
#include "policy/RequestLog.h"
#include "policy/RouteCandidates.h"

#include <algorithm>

namespace fulmarway {

namespace {

/** Larger bodies are sent in parts of this size, so that they do not delay small answers on the
 * same connection. */
constexpr std::size_t kAnswerPartBytes = 16U << 10;

void
Send(ReduceContext& aContext, const Requester& aRequester, PeerMessage aMessage)
{
  if (aRequester.link_ == LinkId{}) {
    aContext.local_.push_back({ std::move(aMessage) });
    return;
  }
  aContext.effects_.push_back(SendToLink{ aRequester.link_, std::move(aMessage) });
}

void
EndAllRefused(NodeState& aState,
              ReduceContext& aContext,
              const Waiters& aWaiters,
              const Refusal& aRefusal)
{
  for (const RequestId waiter : aWaiters) {
    EndRefused(aState, aContext, waiter, aRefusal);
  }
}

} // namespace

LoadReport
MakeLoadReport(NodeState& aState, const ReduceContext& aContext, const std::string& aKind)
{
  AdmissionLevel downstreamLevel = kHighestAdmissionLevel;
  for (const DownstreamCall& call :
       RequiredCalls(aState.inbound_.dependencies_, StableHash(aKind))) {
    downstreamLevel = std::min(downstreamLevel,
                               ServiceLevel(aState.routing_,
                                            CandidatesFor(aState, call.service_),
                                            StableHash(call.kind_),
                                            aContext.now_));
  }
  return { std::min(LevelOf(aState.admission_), downstreamLevel),
           LimitOf(aState.admission_),
           RunningCount(aState.admission_),
           QueuedCount(aState.admission_),
           downstreamLevel,
           MeanServiceTimeOf(aState.admission_.fastTimes_, StableHash(aKind)),
           CompletionSharesOf(aState, aContext.now_, aKind) };
}

void
SendAnswer(ReduceContext& aContext, const Requester& aRequester, CallAnswer aAnswer)
{
  aAnswer.bodyBytes_ = aAnswer.answer_.body_.size();
  if (aRequester.link_ == LinkId{} || aAnswer.bodyBytes_ <= kAnswerPartBytes) {
    Send(aContext, aRequester, std::move(aAnswer));
    return;
  }
  const AttemptId attempt = aAnswer.attempt_;
  const std::string body = std::move(aAnswer.answer_.body_);
  aAnswer.answer_.body_ = body.substr(0, kAnswerPartBytes);
  Send(aContext, aRequester, std::move(aAnswer));
  for (std::size_t offset = kAnswerPartBytes; offset < body.size(); offset += kAnswerPartBytes) {
    Send(aContext,
         aRequester,
         CallAnswerPart{ attempt, offset, body.substr(offset, kAnswerPartBytes) });
  }
}

void
SendRefusal(NodeState& aState,
            ReduceContext& aContext,
            const Requester& aRequester,
            const std::string& aKind,
            Refusal aRefusal,
            std::uint32_t aReturnedTokens,
            NodeId aSuccessor)
{
  if (aRefusal.verdict_ == Verdict::kNotRun && !aRefusal.retryAfter_) {
    aRefusal.retryAfter_ = aContext.random_.Jitter(RetryAfterHint(aState.admission_));
  }
  Send(aContext,
       aRequester,
       CallRefused{ aRequester.attempt_,
                    aRefusal,
                    aReturnedTokens,
                    aSuccessor,
                    MakeLoadReport(aState, aContext, aKind) });
}

void
CountInboundRefusal(NodeState& aState,
                    ReduceContext& aContext,
                    const Request& aRequest,
                    const Refusal& aRefusal)
{
  LogInboundFailed(aContext, aState, aRequest, aRefusal);
  const bool isDeclared = FindKind(ConfigOf(aState), aRequest.service_, aRequest.kind_) != nullptr;
  RecordRefusal(aState.counters_,
                { RefusalSide::kInbound,
                  isDeclared ? aRequest.service_ : "",
                  isDeclared ? aRequest.kind_ : "",
                  aRequest.importance_,
                  aRefusal.verdict_,
                  aRefusal.reason_ },
                aRequest.rootRequestId_,
                aContext.now_);
}

std::optional<RemovedRequest>
RemoveRequest(NodeState& aState, RequestId aId)
{
  const auto found = aState.inbound_.requests_.find(aId);
  if (found == aState.inbound_.requests_.end()) {
    return std::nullopt;
  }
  RemovedRequest removed{ std::move(found->second), 0 };
  aState.inbound_.requests_.erase(found);
  if (const auto& routed = removed.request_.request_.routed_) {
    const auto named = aState.inbound_.byCallerId_.find(routed->requestId_);
    if (named != aState.inbound_.byCallerId_.end() && named->second == aId) {
      aState.inbound_.byCallerId_.erase(named);
    }
  }
  if (removed.request_.requester_) {
    aState.inbound_.byRequester_.erase(*removed.request_.requester_);
  }
  if (removed.request_.phase_ == InboundPhase::kJoined) {
    removed.tokens_ = removed.request_.joinedRetryTokens_;
  } else {
    removed.tokens_ =
      Apply(aState.budget_, ClosePool(std::move(aState.budget_), TokenPoolId{ aId.value_ }));
  }
  return removed;
}

void
EndRefused(NodeState& aState, ReduceContext& aContext, RequestId aId, Refusal aRefusal)
{
  const auto removed = RemoveRequest(aState, aId);
  if (!removed) {
    return;
  }
  CountInboundRefusal(aState, aContext, removed->request_.request_, aRefusal);
  // Refusals by admission control are left out, because levels already carry them upstream:
  // counting them as well cost 1.4% of the useful work at five times the capacity.
  if (aRefusal.reason_ == Reason::kRefusedByBackend) {
    RecordRefusedArrival(aState.inbound_.accepted_,
                         removed->request_.request_.importance_,
                         removed->request_.offeredBefore_,
                         aContext.now_);
  }
  CancelCallsOfParent(aState, aContext, aId);
  if (removed->request_.requester_) {
    SendRefusal(aState,
                aContext,
                *removed->request_.requester_,
                removed->request_.request_.kind_,
                aRefusal,
                removed->tokens_);
  }
}

void
EndAnswered(NodeState& aState, ReduceContext& aContext, RequestId aId, const Answer& aAnswer)
{
  const auto removed = RemoveRequest(aState, aId);
  if (!removed) {
    return;
  }
  RecordAcceptedArrival(aState.inbound_.accepted_,
                        removed->request_.request_.importance_,
                        removed->request_.offeredBefore_,
                        aContext.now_);
  CancelCallsOfParent(aState, aContext, aId);
  if (removed->request_.requester_) {
    const Requester& requester = *removed->request_.requester_;
    SendAnswer(aContext,
               requester,
               { requester.attempt_,
                 aAnswer,
                 0,
                 removed->tokens_,
                 MakeLoadReport(aState, aContext, removed->request_.request_.kind_) });
  }
}

void
EndNotRun(NodeState& aState, ReduceContext& aContext, RequestId aId, Reason aReason)
{
  const auto found = aState.inbound_.requests_.find(aId);
  if (found == aState.inbound_.requests_.end()) {
    return;
  }
  Waiters waiters{ aId };
  if (const auto& ticket = found->second.request_.ticket_) {
    waiters = Apply(aState.tickets_, CloseTicket(std::move(aState.tickets_), *ticket, aReason));
  }
  EndAllRefused(aState, aContext, waiters, { Verdict::kNotRun, aReason, std::nullopt });
}

void
EndStartedNotRun(NodeState& aState, ReduceContext& aContext, RequestId aId, Reason aReason)
{
  const auto found = aState.inbound_.requests_.find(aId);
  if (found == aState.inbound_.requests_.end()) {
    return;
  }
  if (const auto& ticket = found->second.request_.ticket_) {
    aState.tickets_ = RevertStart(std::move(aState.tickets_), *ticket);
  }
  EndNotRun(aState, aContext, aId, aReason);
  // The ticket does not list the request as a waiter when its requester has cancelled.
  EndRefused(aState, aContext, aId, { Verdict::kNotRun, aReason, std::nullopt });
}

void
EndMayHaveRun(NodeState& aState, ReduceContext& aContext, RequestId aId, Reason aReason)
{
  const auto found = aState.inbound_.requests_.find(aId);
  if (found == aState.inbound_.requests_.end()) {
    return;
  }
  Waiters waiters;
  if (const auto& ticket = found->second.request_.ticket_) {
    waiters = Apply(aState.tickets_, AbandonTicket(std::move(aState.tickets_), *ticket, aReason));
  }
  // The ticket does not list the request as a waiter when its requester has cancelled.
  waiters.push_back(aId);
  EndAllRefused(aState, aContext, waiters, { Verdict::kMayHaveRun, aReason, std::nullopt });
}

} // namespace fulmarway
