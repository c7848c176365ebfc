#include "policy/Outbound.h"

#include "model/HttpStatus.h"
#include "policy/CallerRequests.h"
#include "policy/CompletionAdmission.h"
#include "policy/Inbound.h"
#include "policy/OutboundCalls.h"
#include "policy/RequestLog.h"
#include "policy/RequestMemory.h"
#include "policy/RouteCandidates.h"
#include "policy/RoutedCalls.h"

#include <algorithm>

namespace fulmarway {

namespace {

/** Limit on the attempts of a call that follow a refusal and cost no token; each adds a round
 * trip. */
constexpr std::uint32_t kMaxFreeReplacements = 2;

/** Limit on the redirects to successors after planned stops that one call follows. */
constexpr std::uint32_t kMaxRedirects = 4;

/** Delay of the first ticket retry; doubles with each further one. */
constexpr Duration kFirstTicketRetryDelay = std::chrono::milliseconds(50);
constexpr std::uint32_t kMaxTicketRetryDoublings = 4;

AttemptReport
MakeAttemptReport(const ReduceContext& aContext,
                  const Attempt& aAttempt,
                  AttemptOutcome aOutcome,
                  std::optional<LoadReport> aLoad)
{
  return { aAttempt.target_, aOutcome, aContext.now_ - aAttempt.startedAt_, aLoad, {}, 0 };
}

void
ReportAttemptEnd(NodeState& aState,
                 ReduceContext& aContext,
                 const Request& aRequest,
                 AttemptReport aReport)
{
  aReport.kindKey_ = StableHash(aRequest.kind_);
  aState.routing_ = RecordAttemptEnd(
    std::move(aState.routing_), aReport, CandidatesFor(aState, aRequest.service_), aContext.now_);
}

std::optional<CallId>
FindCallOfAttempt(const NodeState& aState, AttemptId aAttempt)
{
  const auto found = aState.outbound_.byAttempt_.find(aAttempt);
  if (found == aState.outbound_.byAttempt_.end()) {
    return std::nullopt;
  }
  return found->second;
}

void
FinishAnswer(NodeState& aState, ReduceContext& aContext, CallId aCall, CallAnswer aAnswer)
{
  const Attempt attempt = *CloseAttempt(aState, aAnswer.attempt_);
  aState.budget_ =
    SettleReservation(std::move(aState.budget_), aAnswer.attempt_, aAnswer.returnedTokens_);
  aState.budget_ = RecordSuccess(std::move(aState.budget_));
  ReportAttemptEnd(aState,
                   aContext,
                   aState.outbound_.calls_.at(aCall).request_,
                   MakeAttemptReport(aContext, attempt, AttemptOutcome::kSucceeded, aAnswer.load_));
  ReplyAnswer(aState, aContext, aCall, std::move(aAnswer.answer_));
}

/** Whether a refusal with this reason may be retried, since another attempt can have another
 * outcome. */
bool
IsRetryable(Reason aReason)
{
  switch (aReason) {
    case Reason::kUnknownKind:
    case Reason::kTooLarge:
    case Reason::kTicketNeeded:
    case Reason::kTicketInvalid:
    case Reason::kTooDeep:
    case Reason::kDeadline:
    case Reason::kCancelled:
      return false;
    default:
      return true;
  }
}

/** Whether the attempt may have reached a backend server, so that a retry costs a token. */
bool
MayHaveReachedBackend(const Refusal& aRefusal)
{
  return aRefusal.verdict_ != Verdict::kNotRun || aRefusal.reason_ == Reason::kRefusedByBackend;
}

/** Tries another node without spending a token when a node refused a routed attempt without passing
 * it to its backend server, as long as a candidate is untried. Returns whether it did so. */
bool
TryReplacement(NodeState& aState, ReduceContext& aContext, CallId aCall, const Refusal& aRefusal)
{
  OutboundCall& call = aState.outbound_.calls_.at(aCall);
  const bool hasOther =
    call.triedNodes_.size() < CandidatesFor(aState, call.request_.service_).size();
  if (!call.request_.routed_ || MayHaveReachedBackend(aRefusal) || !hasOther ||
      call.replacementAttempts_ >= kMaxFreeReplacements || !IsRetryable(aRefusal.reason_) ||
      aContext.now_ >= call.deadline_) {
    return false;
  }
  call.replacementAttempts_ += 1;
  TryTarget(aState, aContext, aCall);
  return true;
}

/** Tries another target, which costs a token unless TryReplacement() applies; ends the call when no
 * retry is possible. Does nothing while another attempt is in flight. */
void
RetryOrEnd(NodeState& aState, ReduceContext& aContext, CallId aCall, Refusal aRefusal)
{
  const OutboundCall& call = aState.outbound_.calls_.at(aCall);
  if (!call.attempts_.empty()) {
    return; // The hedge or the first attempt is still in flight.
  }
  if (!call.idempotent_ && call.mayHaveRun_) {
    ReplyRefusal(aState, aContext, aCall, aRefusal);
    return;
  }
  if (TryReplacement(aState, aContext, aCall, aRefusal)) {
    return;
  }
  if (aContext.now_ < call.deadline_ && IsRetryable(aRefusal.reason_) &&
      Apply(aState.budget_, SpendToken(std::move(aState.budget_), call.pool_))) {
    aState.counters_.Add(CounterId::kRetries);
    TryTarget(aState, aContext, aCall);
    return;
  }
  ReplyRefusal(aState, aContext, aCall, aRefusal);
}

/** Schedules a ticket retry with exponential backoff and jitter. */
void
ScheduleTicketRetry(ReduceContext& aContext, OutboundCall& aCall)
{
  const Duration delay =
    kFirstTicketRetryDelay * (1 << std::min(aCall.ticketRetries_, kMaxTicketRetryDoublings));
  ++aCall.ticketRetries_;
  aCall.ticketRetryAt_ = aContext.now_ + aContext.random_.Jitter(delay);
}

/** Handles a refusal by the executor, which is authoritative for the ticket: follows the redirect
 * to a successor, schedules a ticket retry, or ends the call. */
void
HandleExecutorRefusal(NodeState& aState,
                      ReduceContext& aContext,
                      CallId aCall,
                      const CallRefused& aRefused)
{
  OutboundCall& call = aState.outbound_.calls_.at(aCall);
  if (aRefused.refusal_.reason_ == Reason::kTicketMoved && aRefused.successor_ != NodeId{} &&
      call.redirects_ < kMaxRedirects && aContext.now_ < call.deadline_) {
    ++call.redirects_;
    aState.counters_.Add(CounterId::kTicketRedirects);
    if (!PeerAddressOf(aState, aRefused.successor_).empty() ||
        aRefused.successor_ == aState.settings_.identity_.id_) {
      SendAttempt(aState, aContext, aCall, aRefused.successor_, false);
      return;
    }
  }
  if (aRefused.refusal_.reason_ == Reason::kTicketOfLostExecutor && call.redirects_ > 0) {
    // The successor has not received the ticket table yet.
    call.redirects_ = 0;
    ScheduleTicketRetry(aContext, call);
    return;
  }
  if (aRefused.refusal_.verdict_ == Verdict::kNotRun) {
    // The executor's verdict covers all earlier attempts under the ticket.
    call.mayHaveRun_ = false;
    if (const auto& parent = call.origin_.parent_; parent && call.origin_.callIndex_) {
      if (const InboundRequest* outer = FindRunningRequest(aState, *parent);
          outer != nullptr && outer->request_.ticket_) {
        aState.tickets_ = ReleaseChildTicket(std::move(aState.tickets_),
                                             *outer->request_.ticket_,
                                             *call.origin_.callIndex_,
                                             *call.request_.ticket_);
      }
    }
  }
  ReplyRefusal(aState, aContext, aCall, aRefused.refusal_);
}

void
HandleLostAttempt(NodeState& aState, ReduceContext& aContext, AttemptId aAttempt, bool aWritten)
{
  const auto callId = FindCallOfAttempt(aState, aAttempt);
  if (!callId) {
    return;
  }
  const Attempt attempt = *CloseAttempt(aState, aAttempt);
  OutboundCall& call = aState.outbound_.calls_.at(*callId);
  if (aWritten) {
    aState.budget_ = ForfeitReservation(std::move(aState.budget_), aAttempt);
    call.mayHaveRun_ = true;
    call.hasReachedBackend_ = true;
  } else {
    // The request was not written, so its reserved tokens have not left this node.
    aState.budget_ = ReturnReservation(std::move(aState.budget_), aAttempt);
  }
  ReportAttemptEnd(aState,
                   aContext,
                   call.request_,
                   MakeAttemptReport(aContext, attempt, AttemptOutcome::kFailed, std::nullopt));
  if (call.request_.ticket_) {
    ScheduleTicketRetry(aContext, call);
    return;
  }
  const Refusal refusal{ aWritten ? Verdict::kMayHaveRun : Verdict::kNotRun,
                         Reason::kConnectionLost,
                         std::nullopt };
  LogAttemptEnded(aContext, aState, call, attempt, refusal, nullptr);
  RetryOrEnd(aState, aContext, *callId, refusal);
}

void
EndAtDeadline(NodeState& aState, ReduceContext& aContext, CallId aCall)
{
  OutboundCall& call = aState.outbound_.calls_.at(aCall);
  // An attempt without an outcome may be running or may still arrive. A request with a ticket may
  // also have been retried by its caller through another entry node by now.
  call.mayHaveRun_ = call.mayHaveRun_ || !call.attempts_.empty() || call.request_.ticket_;
  CancelAttempts(aState, aContext, aCall, AttemptOutcome::kFailed);
  const Verdict verdict = call.mayHaveRun_ ? Verdict::kMayHaveRun : Verdict::kNotRun;
  ReplyRefusal(aState, aContext, aCall, { verdict, Reason::kDeadline, std::nullopt });
}

/** Sends a hedge when the only attempt exceeds the hedge delay of its target. */
void
MaybeHedge(NodeState& aState, ReduceContext& aContext, CallId aCall)
{
  const OutboundCall& call = aState.outbound_.calls_.at(aCall);
  if (!call.idempotent_ || call.request_.ticket_ || call.attempts_.size() != 1) {
    return;
  }
  const Attempt& first = call.attempts_.begin()->second;
  const auto delay = HedgeDelay(aState.routing_, first.target_);
  if (!delay || aContext.now_ - first.startedAt_ < *delay) {
    return;
  }
  if (!HasToken(aState.budget_, call.pool_)) {
    return;
  }
  const RouteQuery query = MakeRouteQuery(aContext, call);
  const RouteDecision choice = ChooseTarget(
    aState.routing_, CandidatesFor(aState, call.request_.service_), query, aContext.now_);
  const bool isOther =
    choice.verdict_ == RouteVerdict::kChosen &&
    std::find(call.triedNodes_.begin(), call.triedNodes_.end(), choice.target_) ==
      call.triedNodes_.end();
  // Under load the first attempt is probably queued rather than at a slow backend server, and a
  // hedge would only take capacity from other root requests.
  if (!isOther ||
      !HasSpareCapacity(aState.routing_, choice.target_, query.kindKey_, aContext.now_) ||
      !Apply(aState.budget_, SpendToken(std::move(aState.budget_), call.pool_))) {
    return;
  }
  aState.counters_.Add(CounterId::kHedges);
  SendAttempt(aState, aContext, aCall, choice.target_, true);
}

} // namespace

void
HandleCallerRequest(NodeState& aState, ReduceContext& aContext, const CallerRequestArrived& aEvent)
{
  const CallerRequest& request = aEvent.request_;
  if (request.routed_) {
    HandleRoutedRequest(aState, aContext, aEvent);
    return;
  }
  if (const auto refusal =
        ValidateCallerRequest(aState, aContext, request, RequestBytes(request))) {
    RefuseRequest(aState, aContext, aEvent, *refusal);
    return;
  }
  if (request.ticketOnly_) {
    ReplyTicket(aState, aContext, aEvent);
    return;
  }
  const KindSpec& kind = *FindKind(ConfigOf(aState), request.service_, request.kind_);
  const bool needsChildTicket = !kind.idempotent_ && !request.ticket_ && request.parent_ &&
                                request.callIndex_ &&
                                FindRunningRequest(aState, *request.parent_)->request_.ticket_;
  if (!kind.idempotent_ && !request.ticket_ && !needsChildTicket) {
    RefuseAndIssueTicket(aState, aContext, aEvent);
    return;
  }
  if (RefuseExcessCallerRetry(aState, aContext, aEvent)) {
    return;
  }
  const CallId id{ aState.outbound_.nextId_++ };
  OutboundCall call = MakeCall(aState, aContext, id, aEvent);
  const bool hasTicket = !needsChildTicket || AssignChildTicket(aState, aContext, call);
  aState.outbound_.byExchange_.emplace(call.exchange_, id);
  aState.outbound_.calls_.emplace(id, std::move(call));
  aState.counters_.Add(CounterId::kCallsStarted);
  if (!hasTicket) {
    ReplyRefusal(
      aState, aContext, id, { Verdict::kNotRun, Reason::kNoBackendServer, std::nullopt });
  } else if (kind.idempotent_ && !request.ticket_) {
    TryTarget(aState, aContext, id);
  } else {
    TryExecutor(aState, aContext, id);
  }
}

void
HandleBodyAnnounced(NodeState& aState, ReduceContext& aContext, const CallerBodyAnnounced& aEvent)
{
  const CallerRequest& request = aEvent.request_;
  const std::size_t bytes = RequestBytes(request) + aEvent.bodyBytes_;
  const auto refusal = request.routed_ ? RefusalOfRouted(aState, aContext, request, bytes)
                                       : ValidateCallerRequest(aState, aContext, request, bytes);
  if (refusal) {
    RefuseRequest(aState, aContext, { aEvent.exchange_, request }, *refusal);
    return;
  }
  aContext.effects_.push_back(PermitBody{ aEvent.exchange_ });
}

void
HandleCallerDisconnected(NodeState& aState, ReduceContext& aContext, ExchangeId aExchange)
{
  const auto found = aState.outbound_.byExchange_.find(aExchange);
  if (found == aState.outbound_.byExchange_.end()) {
    return;
  }
  // Cancels the attempts in flight, removes the call, and records the refusal. The event loop drops
  // the reply, since the exchange is closed.
  ReplyRefusal(
    aState, aContext, found->second, { Verdict::kMayHaveRun, Reason::kCancelled, std::nullopt });
}

void
HandleCallAnswer(NodeState& aState, ReduceContext& aContext, const CallAnswer& aAnswer)
{
  const auto callId = FindCallOfAttempt(aState, aAnswer.attempt_);
  if (!callId) {
    return;
  }
  if (!IsFinalStatus(aAnswer.answer_.status_)) {
    // A peer of another version, or one that is broken, has passed on what is no answer.
    HandleCallRefused(aState,
                      aContext,
                      { aAnswer.attempt_,
                        { Verdict::kMayHaveRun, Reason::kBackendLost, std::nullopt },
                        aAnswer.returnedTokens_,
                        NodeId{},
                        aAnswer.load_ });
    return;
  }
  if (aAnswer.answer_.body_.size() == aAnswer.bodyBytes_) {
    FinishAnswer(aState, aContext, *callId, aAnswer);
    return;
  }
  if (aAnswer.answer_.body_.size() < aAnswer.bodyBytes_ && aAnswer.bodyBytes_ <= kMaxBodyBytes) {
    aState.outbound_.calls_.at(*callId).attempts_.at(aAnswer.attempt_).partialAnswer_ = aAnswer;
  }
}

void
HandleCallAnswerPart(NodeState& aState, ReduceContext& aContext, const CallAnswerPart& aPart)
{
  const auto callId = FindCallOfAttempt(aState, aPart.attempt_);
  if (!callId) {
    return;
  }
  auto& partial = aState.outbound_.calls_.at(*callId).attempts_.at(aPart.attempt_).partialAnswer_;
  if (!partial || partial->answer_.body_.size() != aPart.offset_ ||
      aPart.bytes_.size() > partial->bodyBytes_ - aPart.offset_) {
    // A gap or a duplicate. The call ends at its deadline rather than with a truncated answer.
    return;
  }
  partial->answer_.body_ += aPart.bytes_;
  if (partial->answer_.body_.size() == partial->bodyBytes_) {
    CallAnswer complete = std::move(*partial);
    FinishAnswer(aState, aContext, *callId, std::move(complete));
  }
}

void
HandleCallRefused(NodeState& aState, ReduceContext& aContext, const CallRefused& aRefused)
{
  const auto callId = FindCallOfAttempt(aState, aRefused.attempt_);
  if (!callId) {
    return;
  }
  const Attempt attempt = *CloseAttempt(aState, aRefused.attempt_);
  aState.budget_ =
    SettleReservation(std::move(aState.budget_), aRefused.attempt_, aRefused.returnedTokens_);
  OutboundCall& call = aState.outbound_.calls_.at(*callId);
  LogAttemptEnded(aContext, aState, call, attempt, aRefused.refusal_, &aRefused.load_);
  const bool isNotRun = aRefused.refusal_.verdict_ == Verdict::kNotRun;
  ReportAttemptEnd(aState,
                   aContext,
                   call.request_,
                   MakeAttemptReport(aContext,
                                     attempt,
                                     isNotRun ? AttemptOutcome::kRefused : AttemptOutcome::kFailed,
                                     aRefused.load_));
  if (call.request_.ticket_) {
    HandleExecutorRefusal(aState, aContext, *callId, aRefused);
    return;
  }
  call.mayHaveRun_ = call.mayHaveRun_ || !isNotRun;
  call.hasReachedBackend_ = call.hasReachedBackend_ || MayHaveReachedBackend(aRefused.refusal_);
  RetryOrEnd(aState, aContext, *callId, aRefused.refusal_);
}

void
HandlePeerLost(NodeState& aState, ReduceContext& aContext, const PeerLost& aEvent)
{
  aState.counters_.Add(CounterId::kPeerConnectionsLost);
  for (const AttemptId attempt : aEvent.unwritten_) {
    HandleLostAttempt(aState, aContext, attempt, false);
  }
  for (const AttemptId attempt : aEvent.written_) {
    HandleLostAttempt(aState, aContext, attempt, true);
  }
}

void
AdvanceOutbound(NodeState& aState, ReduceContext& aContext)
{
  EndCompletionRefusals(aState, aContext);
  std::vector<CallId> ids;
  for (const auto& [id, call] : aState.outbound_.calls_) {
    ids.push_back(id);
  }
  std::sort(ids.begin(), ids.end());
  for (const CallId id : ids) {
    const auto found = aState.outbound_.calls_.find(id);
    if (found == aState.outbound_.calls_.end()) {
      continue;
    }
    const OutboundCall& call = found->second;
    if (aContext.now_ >= call.deadline_ + call.outcomeGrace_) {
      EndAtDeadline(aState, aContext, id);
    } else if (call.ticketRetryAt_ && aContext.now_ >= *call.ticketRetryAt_) {
      aState.counters_.Add(CounterId::kTicketRepeats);
      TryExecutor(aState, aContext, id);
    } else {
      MaybeHedge(aState, aContext, id);
    }
  }
}

void
CancelCallsOfParent(NodeState& aState, ReduceContext& aContext, RequestId aParent)
{
  std::vector<CallId> ids;
  for (const auto& [id, call] : aState.outbound_.calls_) {
    if (call.origin_.parent_ == aParent) {
      ids.push_back(id);
    }
  }
  std::sort(ids.begin(), ids.end());
  for (const CallId id : ids) {
    ReplyRefusal(aState, aContext, id, { Verdict::kMayHaveRun, Reason::kCancelled, std::nullopt });
  }
}

} // namespace fulmarway
