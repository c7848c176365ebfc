#include "policy/OutboundCalls.h"

#include "policy/CompletionAdmission.h"
#include "policy/Inbound.h"
#include "policy/RequestLog.h"
#include "policy/RouteCandidates.h"

namespace fulmarway {

namespace {

void
SendCall(NodeState& aState, ReduceContext& aContext, NodeId aTarget, PeerMessage aMessage)
{
  if (aTarget == aState.settings_.identity_.id_) {
    aContext.local_.push_back({ std::move(aMessage) });
    return;
  }
  aContext.effects_.push_back(
    SendToPeer{ aTarget, PeerAddressOf(aState, aTarget), std::move(aMessage) });
}

/** Cancels the attempts of the call and removes it. If the call owns its token pool, the remaining
 * tokens are discarded. */
OutboundCall
RemoveCall(NodeState& aState, ReduceContext& aContext, CallId aCall)
{
  CancelAttempts(aState, aContext, aCall, AttemptOutcome::kCancelled);
  const auto found = aState.outbound_.calls_.find(aCall);
  OutboundCall call = std::move(found->second);
  aState.outbound_.calls_.erase(found);
  aState.outbound_.byExchange_.erase(call.exchange_);
  if (call.ownsPool_) {
    Apply(aState.budget_, ClosePool(std::move(aState.budget_), call.pool_));
  }
  return call;
}

/** The request id to return to the caller. A routed call of a backend server has a separate request
 * id, although it belongs to the root request of its parent. */
std::string
RequestIdForReply(const OutboundCall& aCall)
{
  return aCall.request_.routed_ ? aCall.origin_.rootRequestId_.value_or("")
                                : aCall.request_.rootRequestId_;
}

/** The ticket to include in a reply: for another try of a request that did not run, or for the
 * service and kind that the caller named. */
std::optional<Ticket>
TicketForReply(NodeState& aState,
               ReduceContext& aContext,
               const OutboundCall& aCall,
               bool aIsNotRun)
{
  const CallerRequest& origin = aCall.origin_;
  if (aCall.request_.routed_) {
    return std::nullopt;
  }
  if (!aCall.idempotent_) {
    return aIsNotRun && !origin.parent_
             ? IssueTicketFor(aState, aContext, origin.service_, origin.kind_)
             : std::nullopt;
  }
  if (origin.ticketForService_.empty()) {
    return std::nullopt;
  }
  return IssueTicketFor(aState, aContext, origin.ticketForService_, origin.ticketForKind_);
}

} // namespace

void
SendAttempt(NodeState& aState, ReduceContext& aContext, CallId aCall, NodeId aTarget, bool aIsHedge)
{
  OutboundCall& call = aState.outbound_.calls_.at(aCall);
  const bool isRepeat = call.madeByRepeat_ || call.hasReachedBackend_ || !call.attempts_.empty();
  const AttemptId attempt{ aState.outbound_.nextId_++ };
  call.attempts_.emplace(attempt, Attempt{ aTarget, aContext.now_, aIsHedge, std::nullopt });
  call.triedNodes_.push_back(aTarget);
  aState.outbound_.byAttempt_.emplace(attempt, aCall);
  aState.counters_.Add(CounterId::kAttempts);
  aState.routing_ = RecordAttemptStart(std::move(aState.routing_), aTarget, aContext.now_);
  LogAttemptSent(aContext, aState, call, attempt);
  const std::uint32_t tokens =
    Apply(aState.budget_, ReserveTokens(std::move(aState.budget_), call.pool_, attempt));
  SendCall(aState,
           aContext,
           aTarget,
           CallRequest{ attempt,
                        call.request_,
                        call.deadline_ - aContext.now_,
                        tokens,
                        call.triedNodes_.size() > 1,
                        isRepeat,
                        call.idempotent_ });
}

RouteQuery
MakeRouteQuery(ReduceContext& aContext, const OutboundCall& aCall)
{
  return { aCall.request_.importance_,       RootRequestBucket(aCall.request_.rootRequestId_),
           StableHash(aCall.request_.kind_), aCall.triedNodes_,
           aContext.random_.Next(),          aCall.request_.routed_ && !aCall.idempotent_ };
}

void
TryTarget(NodeState& aState, ReduceContext& aContext, CallId aCall)
{
  const OutboundCall& call = aState.outbound_.calls_.at(aCall);
  const RouteQuery query = MakeRouteQuery(aContext, call);
  const RouteDecision choice = ChooseTarget(
    aState.routing_, CandidatesFor(aState, call.request_.service_), query, aContext.now_);
  // A request that the levels let through as a probe must reach the service that refuses.
  if (choice.verdict_ == RouteVerdict::kChosen && !choice.isProbe_ &&
      RefuseUnlikely(aState, aContext, aCall)) {
    return;
  }
  if (choice.verdict_ == RouteVerdict::kChosen) {
    SendAttempt(aState, aContext, aCall, choice.target_, false);
    return;
  }
  const Reason reason =
    choice.verdict_ == RouteVerdict::kShedByLevel ? Reason::kShedByLevel : Reason::kNoBackendServer;
  ReplyRefusal(aState, aContext, aCall, { Verdict::kNotRun, reason, std::nullopt });
}

void
TryExecutor(NodeState& aState, ReduceContext& aContext, CallId aCall)
{
  OutboundCall& call = aState.outbound_.calls_.at(aCall);
  call.ticketRetryAt_.reset();
  const ExecutorLookup executor = FindExecutor(aState, *call.request_.ticket_);
  if (executor.status_ != ExecutorStatus::kLost) {
    SendAttempt(aState, aContext, aCall, executor.node_, false);
    return;
  }
  ReplyRefusal(
    aState, aContext, aCall, { Verdict::kNotRun, Reason::kTicketOfLostExecutor, std::nullopt });
}

std::optional<Attempt>
CloseAttempt(NodeState& aState, AttemptId aAttempt)
{
  const auto entry = aState.outbound_.byAttempt_.find(aAttempt);
  if (entry == aState.outbound_.byAttempt_.end()) {
    return std::nullopt;
  }
  OutboundCall& call = aState.outbound_.calls_.at(entry->second);
  const auto found = call.attempts_.find(aAttempt);
  Attempt attempt = std::move(found->second);
  call.attempts_.erase(found);
  aState.outbound_.byAttempt_.erase(entry);
  return attempt;
}

void
CancelAttempts(NodeState& aState, ReduceContext& aContext, CallId aCall, AttemptOutcome aOutcome)
{
  const OutboundCall& call = aState.outbound_.calls_.at(aCall);
  std::vector<AttemptId> open;
  for (const auto& [id, attempt] : call.attempts_) {
    open.push_back(id);
  }
  const std::string service = call.request_.service_;
  for (const AttemptId id : open) {
    const Attempt attempt = *CloseAttempt(aState, id);
    aState.budget_ = ForfeitReservation(std::move(aState.budget_), id);
    aState.routing_ =
      RecordAttemptEnd(std::move(aState.routing_),
                       { attempt.target_, aOutcome, aContext.now_ - attempt.startedAt_, {}, {}, 0 },
                       CandidatesFor(aState, service),
                       aContext.now_);
    SendCall(aState, aContext, attempt.target_, CallCancelled{ id });
  }
}

void
ReplyAnswer(NodeState& aState, ReduceContext& aContext, CallId aCall, Answer aAnswer)
{
  const OutboundCall call = RemoveCall(aState, aContext, aCall);
  aState.counters_.Add(CounterId::kCallsAnswered);
  LogCallAnswered(aContext, call, aAnswer);
  constexpr std::uint16_t kFirstServerErrorStatus = 500;
  if (call.likelyParent_ && aAnswer.status_ >= kFirstServerErrorStatus) {
    // A call that fails because of a refusal further down is required as much as one that is
    // refused itself.
    RecordRefusedDownstreamCall(
      aState, *call.likelyParent_, { call.request_.service_, call.request_.kind_ });
  }
  CallerReply reply;
  reply.outcome_ = { Verdict::kRan, Reason::kNone, std::nullopt };
  reply.answer_ = std::move(aAnswer);
  reply.rootRequestId_ = RequestIdForReply(call);
  reply.ticket_ = TicketForReply(aState, aContext, call, false);
  aContext.effects_.push_back(ReplyToCaller{ call.exchange_, std::move(reply) });
}

void
ReplyRefusal(NodeState& aState, ReduceContext& aContext, CallId aCall, Refusal aRefusal)
{
  const OutboundCall call = RemoveCall(aState, aContext, aCall);
  if (call.mayHaveRun_ && aRefusal.verdict_ == Verdict::kNotRun) {
    aRefusal.verdict_ = Verdict::kMayHaveRun;
  }
  const bool isNotRun = aRefusal.verdict_ == Verdict::kNotRun;
  const auto& parent = call.likelyParent_ ? call.likelyParent_ : call.origin_.parent_;
  if (isNotRun && parent) {
    RecordRefusedDownstreamCall(aState, *parent, { call.request_.service_, call.request_.kind_ });
  }
  if (isNotRun && !aRefusal.retryAfter_) {
    aRefusal.retryAfter_ = aContext.random_.Jitter(RetryAfterHint(aState.admission_));
  }
  LogCallFailed(aContext, call, aRefusal);
  RecordRefusal(aState.counters_,
                { RefusalSide::kOutbound,
                  call.request_.service_,
                  call.request_.kind_,
                  call.request_.importance_,
                  aRefusal.verdict_,
                  aRefusal.reason_ },
                call.request_.rootRequestId_,
                aContext.now_);
  CallerReply reply;
  reply.outcome_ = aRefusal;
  reply.rootRequestId_ = RequestIdForReply(call);
  reply.ticket_ = TicketForReply(aState, aContext, call, isNotRun);
  aContext.effects_.push_back(ReplyToCaller{ call.exchange_, std::move(reply) });
}

void
RefuseRequest(NodeState& aState,
              ReduceContext& aContext,
              const CallerRequestArrived& aEvent,
              Refusal aRefusal,
              std::optional<Ticket> aNewTicket)
{
  const CallerRequest& request = aEvent.request_;
  if (request.ticket_ && request.attempt_ > 1 && aRefusal.reason_ != Reason::kTicketInvalid &&
      aRefusal.verdict_ == Verdict::kNotRun) {
    // The verdict applies to the ticket, and an earlier attempt may have reached its executor.
    aRefusal.verdict_ = Verdict::kMayHaveRun;
  }
  const KindSpec* kind = FindKind(ConfigOf(aState), request.service_, request.kind_);
  RecordRefusal(aState.counters_,
                { RefusalSide::kOutbound,
                  kind == nullptr ? "" : request.service_,
                  kind == nullptr ? "" : request.kind_,
                  kind == nullptr ? Importance::kNormal : kind->importance_,
                  aRefusal.verdict_,
                  aRefusal.reason_ },
                request.rootRequestId_.value_or(""),
                aContext.now_);
  LogRequestRefused(aContext, request, aRefusal);
  CallerReply reply;
  reply.outcome_ = aRefusal;
  reply.rootRequestId_ = request.rootRequestId_.value_or("");
  reply.ticket_ = aNewTicket;
  aContext.effects_.push_back(ReplyToCaller{ aEvent.exchange_, std::move(reply) });
}

} // namespace fulmarway
