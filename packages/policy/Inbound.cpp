#include "policy/Inbound.h"

#include "policy/InboundReplies.h"
#include "policy/Lifecycle.h"
#include "policy/NoisyNeighbour.h"
#include "policy/RequestLog.h"
#include "policy/RequestMemory.h"
#include "policy/RouteCandidates.h"

#include <algorithm>

namespace fulmarway {

namespace {

/** Time past its deadline after which the answer of a running request with a ticket counts as lost.
 * Until then the request continues, so that its answer can be cached for retries. */
constexpr Duration kTicketExecutionGrace = std::chrono::seconds(60);

/** Limit on the offers of a request after refusals by the backend server. If it refuses half of
 * what it gets at random, 99 of 100 requests are answered. */
constexpr std::uint32_t kMaxReoffers = 6;

constexpr std::uint16_t kMisdirectedStatus = 421;

/** Exceeds every deadline that a caller can request. Decoders do not check ranges, and a corrupted
 * duration must not overflow the clock. */
constexpr Duration kMaxRemainingTime = std::chrono::hours(1);

void
FinishAdmission(NodeState& aState, ReduceContext& aContext, RequestId aId, CompletionKind aKind)
{
  ApplyAdmission(
    aState,
    aContext,
    Apply(aState.admission_, Finish(std::move(aState.admission_), aId, aKind, aContext.now_)));
}

/** Passes the request to the backend server and counts its arrival there. */
void
SendToBackend(NodeState& aState, ReduceContext& aContext, RequestId aId, bool aIsRepeat)
{
  const InboundRequest& request = aState.inbound_.requests_.at(aId);
  RecordBackendArrival(aState.inbound_.retries_, aIsRepeat, aContext.now_);
  aState.counters_.Add(CounterId::kBackendStarts);
  aContext.effects_.push_back(
    CallBackend{ { aId,
                   request.request_,
                   request.deadline_ - aContext.now_,
                   aState.backend_ ? aState.backend_->heartbeat_.instance_ : "" } });
}

void
StartRequest(NodeState& aState, ReduceContext& aContext, RequestId aId)
{
  const auto found = aState.inbound_.requests_.find(aId);
  if (found == aState.inbound_.requests_.end()) {
    FinishAdmission(aState, aContext, aId, CompletionKind::kAbandoned);
    return;
  }
  InboundRequest& request = found->second;
  if (aContext.now_ >= request.deadline_) {
    EndNotRun(aState, aContext, aId, Reason::kDeadline);
    FinishAdmission(aState, aContext, aId, CompletionKind::kAbandoned);
    return;
  }
  if (request.request_.routed_ && !AcceptsNewWork(aState, aContext.now_)) {
    // The grace period of the drain ended while the request was queued; another node can take it.
    EndNotRun(aState, aContext, aId, Reason::kDraining);
    FinishAdmission(aState, aContext, aId, CompletionKind::kAbandoned);
    return;
  }
  if (request.request_.ticket_ &&
      !Apply(aState.tickets_, StartTicket(std::move(aState.tickets_), *request.request_.ticket_))) {
    EndNotRun(aState, aContext, aId, Reason::kTicketClosed);
    FinishAdmission(aState, aContext, aId, CompletionKind::kAbandoned);
    return;
  }
  request.phase_ = InboundPhase::kRunning;
  request.startedAt_ = aContext.now_;
  LogInboundStarted(aContext, aState, request);
  SendToBackend(aState, aContext, aId, request.repeat_);
}

/** Offers an idempotent request again that the backend server refused although it has a free slot.
 * Others are offered again only by their entry node, within its retry budget. Returns whether it
 * did so. */
bool
OfferAgain(NodeState& aState, ReduceContext& aContext, RequestId aId)
{
  InboundRequest& request = aState.inbound_.requests_.at(aId);
  const bool isPossible =
    request.idempotent_ && request.request_.routed_ && request.phase_ == InboundPhase::kRunning &&
    request.reoffers_ < kMaxReoffers && aContext.now_ < request.deadline_ &&
    MayStart(aState.admission_, aContext.now_) && AcceptsNewWork(aState, aContext.now_);
  if (!isPossible || !AllowsBackendRetry(aState.inbound_.retries_,
                                         request.request_.importance_,
                                         RootRequestBucket(request.request_.rootRequestId_),
                                         request.request_.depth_,
                                         aContext.now_)) {
    return false;
  }
  TakeStart(aState.admission_.startRate_, aContext.now_);
  request.reoffers_ += 1;
  aState.counters_.Add(CounterId::kBackendReoffers);
  SendToBackend(aState, aContext, aId, true);
  return true;
}

bool
IsAuthenticCall(const NodeState& aState, const Request& aRequest)
{
  return IsAuthentic(
    aState.settings_.clusterKey_, { aRequest.service_, aRequest.kind_ }, *aRequest.ticket_);
}

/** Validates a call before it is offered to admission. */
std::optional<Refusal>
ValidateCall(const NodeState& aState, const CallRequest& aCall)
{
  const Request& request = aCall.request_;
  if (request.service_ != aState.settings_.identity_.service_) {
    return Refusal{ Verdict::kNotRun, Reason::kUnknownService, std::nullopt };
  }
  if (request.routed_) {
    // The entry node selected the route. The kind is not looked up, since another version of the
    // configuration may be in effect here.
    return request.depth_ > kMaxCallDepth
             ? std::optional(Refusal{ Verdict::kNotRun, Reason::kTooDeep, std::nullopt })
             : std::nullopt;
  }
  const KindSpec* kind = FindKind(ConfigOf(aState), request.service_, request.kind_);
  if (kind == nullptr) {
    return Refusal{ Verdict::kNotRun, Reason::kUnknownKind, std::nullopt };
  }
  if (!kind->idempotent_ && !request.ticket_) {
    return Refusal{ Verdict::kNotRun, Reason::kTicketNeeded, std::nullopt };
  }
  if (request.ticket_ && !IsAuthenticCall(aState, request)) {
    return Refusal{ Verdict::kNotRun, Reason::kTicketInvalid, std::nullopt };
  }
  if (request.depth_ > kMaxCallDepth) {
    return Refusal{ Verdict::kNotRun, Reason::kTooDeep, std::nullopt };
  }
  return std::nullopt;
}

/** The reason to refuse any new work at present; nullopt when new work is accepted. */
std::optional<Reason>
NewWorkRefusalReason(const NodeState& aState,
                     const ReduceContext& aContext,
                     const Request& aRequest)
{
  if (!AcceptsNewWork(aState, aContext.now_)) {
    return IsDraining(aState) ? Reason::kDraining : Reason::kBackendUnreachable;
  }
  if (aState.inbound_.requests_.size() >= kMaxInboundRequests ||
      !HasRoomFor(aContext, RequestBytes(aRequest))) {
    return Reason::kShedByQueue;
  }
  return std::nullopt;
}

Arrival
MakeArrival(const NodeState& aState,
            RequestId aId,
            const InboundRequest& aRequest,
            bool aOfferedBefore)
{
  const Request& request = aRequest.request_;
  const KindSpec* kind = FindKind(ConfigOf(aState), request.service_, request.kind_);
  return { aId,
           StableHash(request.kind_),
           request.importance_,
           RootRequestBucket(request.rootRequestId_),
           aRequest.deadline_,
           kind != nullptr && kind->longRunning_,
           aOfferedBefore };
}

/** Registers the request, so that its outcome can be sent to its requester. */
void
Register(NodeState& aState,
         ReduceContext& aContext,
         RequestId aId,
         Requester aRequester,
         const CallRequest& aCall,
         InboundPhase aPhase)
{
  InboundRequest request;
  request.request_ = aCall.request_;
  request.phase_ = aPhase;
  request.requester_ = aRequester;
  request.repeat_ = aCall.repeat_;
  request.offeredBefore_ = aCall.offeredBefore_;
  request.idempotent_ = aCall.idempotent_;
  request.deadline_ = DeadlineBeforeExit(
    aState, aContext.now_ + std::clamp(aCall.remaining_, Duration{ 0 }, kMaxRemainingTime));
  if (aPhase == InboundPhase::kJoined) {
    request.joinedRetryTokens_ = aCall.reservedTokens_;
  } else {
    aState.budget_ =
      OpenPool(std::move(aState.budget_), TokenPoolId{ aId.value_ }, aCall.reservedTokens_);
  }
  if (request.request_.routed_) {
    aState.inbound_.byCallerId_[request.request_.routed_->requestId_] = aId;
  }
  aState.inbound_.requests_.emplace(aId, std::move(request));
  aState.inbound_.byRequester_.emplace(aRequester, aId);
}

/** Registers a request and offers it to admission. */
void
Enqueue(NodeState& aState,
        ReduceContext& aContext,
        RequestId aId,
        Requester aRequester,
        const CallRequest& aCall)
{
  Register(aState, aContext, aId, aRequester, aCall, InboundPhase::kQueued);
  if (const auto refusal = ValidateCall(aState, aCall)) {
    EndNotRun(aState, aContext, aId, refusal->reason_);
    return;
  }
  if (const auto reason = NewWorkRefusalReason(aState, aContext, aCall.request_)) {
    EndNotRun(aState, aContext, aId, *reason);
    return;
  }
  const Arrival arrival =
    MakeArrival(aState, aId, aState.inbound_.requests_.at(aId), aCall.offeredBefore_);
  ApplyAdmission(
    aState,
    aContext,
    Apply(aState.admission_, Offer(std::move(aState.admission_), arrival, aContext.now_)));
}

void
PresentTicketCall(NodeState& aState,
                  ReduceContext& aContext,
                  RequestId aId,
                  Requester aRequester,
                  const CallRequest& aCall)
{
  const TicketDecision decision = PresentToTable(aState, aCall.request_, aId, aContext.now_);
  switch (decision.action_) {
    case TicketAction::kExecute:
      Enqueue(aState, aContext, aId, aRequester, aCall);
      return;
    case TicketAction::kJoined:
      Register(aState, aContext, aId, aRequester, aCall, InboundPhase::kJoined);
      return;
    case TicketAction::kReplay:
      SendAnswer(aContext,
                 aRequester,
                 { aRequester.attempt_,
                   *decision.answer_,
                   0,
                   aCall.reservedTokens_,
                   MakeLoadReport(aState, aContext, aCall.request_.kind_) });
      return;
    case TicketAction::kRefuse:
      CountInboundRefusal(aState, aContext, aCall.request_, decision.refusal_);
      SendRefusal(aState,
                  aContext,
                  aRequester,
                  aCall.request_.kind_,
                  decision.refusal_,
                  aCall.reservedTokens_,
                  decision.successor_);
      return;
  }
}

/** Removes a queued request whose requesters have all cancelled. */
void
WithdrawQueued(NodeState& aState, ReduceContext& aContext, RequestId aId)
{
  EndNotRun(aState, aContext, aId, Reason::kCancelled);
  EndRefused(aState, aContext, aId, { Verdict::kNotRun, Reason::kCancelled, std::nullopt });
  ApplyAdmission(
    aState,
    aContext,
    Apply(aState.admission_, Withdraw(std::move(aState.admission_), aId, aContext.now_)));
}

void
CancelRunning(NodeState& aState, ReduceContext& aContext, RequestId aId, Reason aReason)
{
  aContext.effects_.push_back(CancelBackend{ aId });
  EndMayHaveRun(aState, aContext, aId, aReason);
  FinishAdmission(aState, aContext, aId, CompletionKind::kAbandoned);
}

/** Updates the dependency statistics of the kind: a request that fails after a downstream call was
 * refused probably required that call, and one that finishes shows how many calls it needs. */
void
RecordDependencyOutcomes(NodeState& aState, const InboundRequest& aRequest, bool aHasFailed)
{
  for (const DownstreamCall& call : aRequest.refusedDownstreamCalls_) {
    aState.inbound_.dependencies_ = RecordRefusedCall(std::move(aState.inbound_.dependencies_),
                                                      StableHash(aRequest.request_.kind_),
                                                      call,
                                                      aHasFailed);
  }
  if (!aHasFailed) {
    aState.inbound_.dependencies_ = RecordFinishedRequest(std::move(aState.inbound_.dependencies_),
                                                          StableHash(aRequest.request_.kind_),
                                                          aRequest.downstreamCalls_);
  }
}

/** Uses the report of the backend server about its machine if it explains the time of the request.
 */
void
UseLoadReport(NodeState& aState,
              const ReduceContext& aContext,
              const InboundRequest& aRequest,
              const BackendLoad& aLoad)
{
  constexpr double kPercent = 100;
  const Duration mean =
    MeanServiceTimeOf(aState.admission_.fastTimes_, StableHash(aRequest.request_.kind_));
  if (IsSlowedByNeighbours(aLoad, aContext.now_ - aRequest.startedAt_, mean)) {
    RecordReportedSlowdown(
      aState.admission_.limit_, aLoad.workTimePercent_ / kPercent, aContext.now_);
  }
}

/** Whether the request was sent to an earlier incarnation of the backend server. */
bool
IsOfEarlierIncarnation(const NodeState& aState, const InboundRequest& aRequest)
{
  return aState.backend_ && aRequest.startedAt_ < aState.backend_->firstHeartbeatAt_;
}

/** Applies what the backend server asks for in an answer. */
void
UseSignals(NodeState& aState,
           ReduceContext& aContext,
           const InboundRequest& aRequest,
           const BackendSignals& aSignals)
{
  if (IsOfEarlierIncarnation(aState, aRequest)) {
    return;
  }
  const auto limit = aSignals.maxRequestsPerSecond_;
  if (Apply(aState.admission_, SetNamedLimit(std::move(aState.admission_), limit, aContext.now_))) {
    aContext.effects_.push_back(
      LogLine{ "backend_rate_limit",
               { { "instance", aState.backend_ ? aState.backend_->heartbeat_.instance_ : "" },
                 { "per_second", limit ? std::to_string(*limit) : "none" },
                 { "queued", std::to_string(QueuedCount(aState.admission_)) } } });
  }
  if (aSignals.leaving_ && aState.backend_ && !aState.backend_->hasLeft_) {
    const BackendHeartbeat& heartbeat = aState.backend_->heartbeat_;
    HandleBackendLeft(aState, aContext, { heartbeat.instance_, heartbeat.startedAtMs_ });
  }
}

/** The queued or running request of the ticket, whose outcome the joined requests wait for. */
std::optional<RequestId>
FindPrimaryRequest(const NodeState& aState, const Ticket& aTicket)
{
  for (const auto& [id, request] : aState.inbound_.requests_) {
    if (request.phase_ != InboundPhase::kJoined && request.request_.ticket_ == aTicket) {
      return id;
    }
  }
  return std::nullopt;
}

void
CancelTicketWaiter(NodeState& aState, ReduceContext& aContext, RequestId aId, const Ticket& aTicket)
{
  const std::size_t left =
    Apply(aState.tickets_, RemoveTicketWaiter(std::move(aState.tickets_), aTicket, aId));
  InboundRequest& request = aState.inbound_.requests_.at(aId);
  if (request.phase_ == InboundPhase::kJoined) {
    RemoveRequest(aState, aId);
  }
  if (left > 0) {
    return;
  }
  const auto primary = FindPrimaryRequest(aState, aTicket);
  if (primary && aState.inbound_.requests_.at(*primary).phase_ == InboundPhase::kQueued) {
    WithdrawQueued(aState, aContext, *primary);
  }
}

} // namespace

void
RecordRefusedDownstreamCall(NodeState& aState, RequestId aParent, DownstreamCall aCall)
{
  const auto found = aState.inbound_.requests_.find(aParent);
  if (found != aState.inbound_.requests_.end() &&
      found->second.refusedDownstreamCalls_.size() < kMaxDownstreamCalls) {
    found->second.refusedDownstreamCalls_.insert(std::move(aCall));
  }
}

void
RecordDownstreamCall(NodeState& aState, RequestId aParent, const DownstreamCall& aCall)
{
  const auto found = aState.inbound_.requests_.find(aParent);
  if (found == aState.inbound_.requests_.end()) {
    return;
  }
  auto& calls = found->second.downstreamCalls_;
  if (calls.contains(aCall) || calls.size() < kMaxDownstreamCalls) {
    calls[aCall] += 1;
  }
}

const InboundRequest*
FindRunningRequest(const NodeState& aState, RequestId aRequest)
{
  const auto found = aState.inbound_.requests_.find(aRequest);
  if (found == aState.inbound_.requests_.end() || found->second.phase_ != InboundPhase::kRunning) {
    return nullptr;
  }
  return &found->second;
}

void
HandleCallRequest(NodeState& aState,
                  ReduceContext& aContext,
                  Requester aRequester,
                  const CallRequest& aCall)
{
  if (aState.inbound_.byRequester_.contains(aRequester)) {
    return; // Duplicate of a frame that has already been handled.
  }
  // The ticket table is consulted first: a node that is not, or is no longer, the executor of the
  // ticket must not reply "not run" for any other reason.
  const bool hasTicket = aCall.request_.ticket_ && IsAuthenticCall(aState, aCall.request_);
  const auto refusal = hasTicket ? std::nullopt : ValidateCall(aState, aCall);
  if (refusal) {
    CountInboundRefusal(aState, aContext, aCall.request_, *refusal);
    SendRefusal(
      aState, aContext, aRequester, aCall.request_.kind_, *refusal, aCall.reservedTokens_);
    return;
  }
  const RequestId id{ aContext.random_.Next() };
  if (hasTicket) {
    PresentTicketCall(aState, aContext, id, aRequester, aCall);
  } else {
    Enqueue(aState, aContext, id, aRequester, aCall);
  }
}

void
HandleCallCancelled(NodeState& aState, ReduceContext& aContext, Requester aRequester)
{
  const auto found = aState.inbound_.byRequester_.find(aRequester);
  if (found == aState.inbound_.byRequester_.end()) {
    return;
  }
  const RequestId id = found->second;
  aState.inbound_.byRequester_.erase(found);
  InboundRequest& request = aState.inbound_.requests_.at(id);
  request.requester_.reset();
  aState.counters_.Add(CounterId::kCancellations);
  if (request.request_.ticket_) {
    const Ticket ticket = *request.request_.ticket_;
    CancelTicketWaiter(aState, aContext, id, ticket);
  } else if (request.phase_ == InboundPhase::kQueued) {
    WithdrawQueued(aState, aContext, id);
  } else {
    CancelRunning(aState, aContext, id, Reason::kCancelled);
  }
}

void
HandleLinkClosed(NodeState& aState, ReduceContext& aContext, LinkId aLink)
{
  std::vector<Requester> requesters;
  for (auto entry = aState.inbound_.byRequester_.lower_bound(Requester{ aLink, {} });
       entry != aState.inbound_.byRequester_.end() && entry->first.link_ == aLink;
       ++entry) {
    requesters.push_back(entry->first);
  }
  for (const Requester& requester : requesters) {
    HandleCallCancelled(aState, aContext, requester);
  }
}

void
HandleBackendAnswered(NodeState& aState, ReduceContext& aContext, const BackendAnswered& aEvent)
{
  const auto found = aState.inbound_.requests_.find(aEvent.request_);
  if (found == aState.inbound_.requests_.end()) {
    return;
  }
  aState.counters_.Add(CounterId::kBackendAnswers);
  UseSignals(aState, aContext, found->second, aEvent.signals_);
  // After "misdirected", another backend server has this address; it would refuse again.
  if (aEvent.refused_ && aEvent.answer_.status_ != kMisdirectedStatus &&
      OfferAgain(aState, aContext, aEvent.request_)) {
    return;
  }
  const auto ticket = found->second.request_.ticket_;
  constexpr std::uint16_t kFirstServerErrorStatus = 500;
  const bool hasFailed = aEvent.refused_ || aEvent.answer_.status_ >= kFirstServerErrorStatus;
  RecordDependencyOutcomes(aState, found->second, hasFailed);
  if (aEvent.load_ && !hasFailed) {
    UseLoadReport(aState, aContext, found->second, *aEvent.load_);
  }
  if (aEvent.refused_) {
    EndStartedNotRun(aState, aContext, aEvent.request_, Reason::kRefusedByBackend);
  } else if (ticket) {
    const Waiters waiters =
      Apply(aState.tickets_, CompleteTicket(std::move(aState.tickets_), *ticket, aEvent.answer_));
    for (const RequestId waiter : waiters) {
      EndAnswered(aState, aContext, waiter, aEvent.answer_);
    }
    EndAnswered(aState, aContext, aEvent.request_, aEvent.answer_);
  } else {
    EndAnswered(aState, aContext, aEvent.request_, aEvent.answer_);
  }
  FinishAdmission(aState,
                  aContext,
                  aEvent.request_,
                  hasFailed ? CompletionKind::kFailed : CompletionKind::kSucceeded);
}

void
HandleBackendFailed(NodeState& aState, ReduceContext& aContext, const BackendFailed& aEvent)
{
  const auto found = aState.inbound_.requests_.find(aEvent.request_);
  if (found == aState.inbound_.requests_.end()) {
    return;
  }
  const bool isOfEarlier = IsOfEarlierIncarnation(aState, found->second);
  aState.counters_.Add(CounterId::kBackendFailures);
  if (aEvent.written_) {
    EndMayHaveRun(aState, aContext, aEvent.request_, Reason::kBackendLost);
  } else {
    EndStartedNotRun(aState, aContext, aEvent.request_, Reason::kBackendUnreachable);
    if (!isOfEarlier) {
      RecordFailedConnect(aState, aContext);
    }
  }
  FinishAdmission(aState, aContext, aEvent.request_, CompletionKind::kFailed);
}

void
ApplyAdmission(NodeState& aState, ReduceContext& aContext, const AdmissionDecision& aDecision)
{
  for (const ShedRequest& shed : aDecision.shed_) {
    EndNotRun(aState, aContext, shed.id_, shed.reason_);
  }
  for (const RequestId id : aDecision.start_) {
    StartRequest(aState, aContext, id);
  }
}

void
AdvanceInbound(NodeState& aState, ReduceContext& aContext)
{
  std::vector<RequestId> expired;
  for (const auto& [id, request] : aState.inbound_.requests_) {
    const Duration grace = request.request_.ticket_ ? kTicketExecutionGrace : Duration(0);
    if (request.phase_ == InboundPhase::kRunning && aContext.now_ >= request.deadline_ + grace) {
      expired.push_back(id);
    }
  }
  std::sort(expired.begin(), expired.end());
  for (const RequestId id : expired) {
    CancelRunning(aState, aContext, id, Reason::kDeadline);
  }
}

} // namespace fulmarway
