#include "policy/CallerRequests.h"

#include "policy/Inbound.h"
#include "policy/Lifecycle.h"
#include "policy/OutboundCalls.h"
#include "policy/RequestMemory.h"
#include "policy/RouteCandidates.h"

#include <algorithm>

namespace fulmarway {

namespace {

Refusal
NotRun(Reason aReason)
{
  return { Verdict::kNotRun, aReason, std::nullopt };
}

Request
MakeRequest(const NodeState& aState, ReduceContext& aContext, const CallerRequest& aOrigin)
{
  Request request;
  request.service_ = aOrigin.service_;
  request.kind_ = aOrigin.kind_;
  request.importance_ = FindKind(ConfigOf(aState), aOrigin.service_, aOrigin.kind_)->importance_;
  request.method_ = aOrigin.method_;
  request.target_ = aOrigin.target_;
  request.contentType_ = aOrigin.contentType_;
  request.body_ = aOrigin.body_;
  request.ticket_ = aOrigin.ticket_;
  if (const auto& parent = aOrigin.parent_) {
    const Request& outer = FindRunningRequest(aState, *parent)->request_;
    request.rootRequestId_ = outer.rootRequestId_;
    request.importance_ = outer.importance_;
    request.depth_ = static_cast<std::uint8_t>(outer.depth_ + 1);
  } else {
    request.rootRequestId_ = aOrigin.rootRequestId_.value_or(ToHex(aContext.random_.Next()));
  }
  return request;
}

/** The earlier of the request's deadline and its parent's deadline. */
Instant
DeadlineOf(const NodeState& aState, const ReduceContext& aContext, const CallerRequest& aOrigin)
{
  const KindSpec& kind = *FindKind(ConfigOf(aState), aOrigin.service_, aOrigin.kind_);
  const Instant requestedDeadline = aContext.now_ + aOrigin.deadline_.value_or(kind.deadline_);
  if (!aOrigin.parent_) {
    return requestedDeadline;
  }
  return std::min(requestedDeadline, FindRunningRequest(aState, *aOrigin.parent_)->deadline_);
}

} // namespace

bool
IsBackendCall(const CallerRequest& aRequest, std::string_view aBackendAddress)
{
  return aRequest.callerAddress_ == aBackendAddress && !aRequest.key_;
}

std::optional<Refusal>
ValidateCallerRequest(const NodeState& aState,
                      const ReduceContext& aContext,
                      const CallerRequest& aRequest,
                      std::size_t aBytes)
{
  const Configuration& config = ConfigOf(aState);
  if (!config.services_.contains(aRequest.service_)) {
    return NotRun(Reason::kUnknownService);
  }
  if (FindKind(config, aRequest.service_, aRequest.kind_) == nullptr) {
    return NotRun(Reason::kUnknownKind);
  }
  if (aRequest.ticket_ && !IsAuthentic(aState.settings_.clusterKey_,
                                       { aRequest.service_, aRequest.kind_ },
                                       *aRequest.ticket_)) {
    return NotRun(Reason::kTicketInvalid);
  }
  if (aRequest.parent_) {
    const InboundRequest* parent = FindRunningRequest(aState, *aRequest.parent_);
    if (parent == nullptr) {
      return NotRun(Reason::kCancelled);
    }
    if (parent->request_.depth_ >= kMaxCallDepth) {
      return NotRun(Reason::kTooDeep);
    }
  }
  if (aState.outbound_.calls_.size() >= kMaxOutboundCalls || !HasRoomFor(aContext, aBytes)) {
    return NotRun(Reason::kShedByQueue);
  }
  return std::nullopt;
}

void
ReplyTicket(NodeState& aState, ReduceContext& aContext, const CallerRequestArrived& aEvent)
{
  const CallerRequest& request = aEvent.request_;
  auto ticket = IssueTicketFor(aState, aContext, request.service_, request.kind_);
  if (!ticket) {
    RefuseRequest(aState, aContext, aEvent, NotRun(Reason::kNoBackendServer));
    return;
  }
  CallerReply reply;
  reply.outcome_ = { Verdict::kRan, Reason::kNone, std::nullopt };
  reply.answer_ = Answer{ 200, "text/plain", FormatTicket(*ticket) + "\n" };
  reply.ticket_ = ticket;
  aContext.effects_.push_back(ReplyToCaller{ aEvent.exchange_, std::move(reply) });
}

void
RefuseAndIssueTicket(NodeState& aState, ReduceContext& aContext, const CallerRequestArrived& aEvent)
{
  const CallerRequest& request = aEvent.request_;
  auto ticket = IssueTicketFor(aState, aContext, request.service_, request.kind_);
  const Reason reason = ticket ? Reason::kTicketNeeded : Reason::kNoBackendServer;
  RefuseRequest(aState, aContext, aEvent, NotRun(reason), ticket);
}

bool
RefuseExcessCallerRetry(NodeState& aState,
                        ReduceContext& aContext,
                        const CallerRequestArrived& aEvent)
{
  const CallerRequest& request = aEvent.request_;
  if (request.parent_ ||
      Apply(aState.budget_,
            AdmitAttempt(std::move(aState.budget_), request.callerAddress_, request.attempt_))) {
    return false;
  }
  const Verdict verdict = request.ticket_ ? Verdict::kMayHaveRun : Verdict::kNotRun;
  RefuseRequest(
    aState,
    aContext,
    aEvent,
    { verdict, Reason::kRepeatLimit, aContext.random_.Jitter(std::chrono::seconds(1)) });
  return true;
}

OutboundCall
MakeCall(NodeState& aState, ReduceContext& aContext, CallId aId, const CallerRequestArrived& aEvent)
{
  const CallerRequest& origin = aEvent.request_;
  const KindSpec& kind = *FindKind(ConfigOf(aState), origin.service_, origin.kind_);
  OutboundCall call;
  call.exchange_ = aEvent.exchange_;
  call.request_ = MakeRequest(aState, aContext, origin);
  call.origin_ = origin;
  call.origin_.body_ = {}; // In request_.
  call.idempotent_ = kind.idempotent_;
  // An earlier attempt under the ticket may have reached the executor through another entry node.
  call.mayHaveRun_ = origin.ticket_ && origin.attempt_ > 1;
  call.startedAt_ = aContext.now_;
  call.deadline_ = DeadlineBeforeExit(aState, DeadlineOf(aState, aContext, origin));
  call.ownsPool_ = !origin.parent_;
  call.pool_ = TokenPoolId{ call.ownsPool_ ? aId.value_ : origin.parent_->value_ };
  if (call.ownsPool_) {
    const std::uint32_t tokens = origin.attempt_ == 1 ? kind.extraAttempts_ : 0;
    aState.budget_ = OpenPool(std::move(aState.budget_), call.pool_, tokens);
  }
  return call;
}

bool
AssignChildTicket(NodeState& aState, ReduceContext& aContext, OutboundCall& aCall)
{
  const Request& outer = FindRunningRequest(aState, *aCall.origin_.parent_)->request_;
  if (!outer.ticket_ || !aCall.origin_.callIndex_) {
    return false;
  }
  auto proposed = IssueTicketFor(aState, aContext, aCall.request_.service_, aCall.request_.kind_);
  if (!proposed) {
    return false;
  }
  const auto ticket =
    Apply(aState.tickets_,
          FindOrInsertChildTicket(std::move(aState.tickets_),
                                  { *outer.ticket_, *aCall.origin_.callIndex_, *proposed }));
  aCall.request_.ticket_ = ticket;
  return ticket.has_value();
}

} // namespace fulmarway
