#include "policy/RoutedCalls.h"

#include "policy/Inbound.h"
#include "policy/Lifecycle.h"
#include "policy/OutboundCalls.h"
#include "policy/RequestMemory.h"
#include "policy/RouteCandidates.h"
#include "policy/RouteTable.h"

#include <algorithm>
#include <tl/expected.hpp>

namespace fulmarway {

namespace {

/** Largest difference between the deadlines of a call and its parent. Covers the rounding of both
 * to milliseconds and the delays of two messages on one VM. */
constexpr Duration kParentDeadlineTolerance = std::chrono::milliseconds(20);

/** Time past the route's deadline in which the outcome of an attempt can still arrive: a round trip
 * between two nodes and the periodic deadline check on both. The deadline of a route may be
 * exceeded by at most a quarter of a second. */
constexpr Duration kOutcomeGrace = std::chrono::milliseconds(60);

Refusal
NotRun(Reason aReason)
{
  return { Verdict::kNotRun, aReason, std::nullopt };
}

/** The reason to refuse any routed request at present; nullopt when they are accepted. */
std::optional<Reason>
NodeRefusalReason(const NodeState& aState, const ReduceContext& aContext, std::size_t aBytes)
{
  if (ConfigOf(aState).version_ == 0) {
    return Reason::kNoConfiguration;
  }
  const bool isFull =
    aState.outbound_.calls_.size() >= kMaxOutboundCalls || !HasRoomFor(aContext, aBytes);
  return isFull ? std::optional(Reason::kShedByQueue) : std::nullopt;
}

/** The route of the request, or the refusal of what this node can't take. */
tl::expected<const RouteSpec*, Refusal>
SelectRoute(const NodeState& aState,
            const ReduceContext& aContext,
            const CallerRequest& aRequest,
            std::size_t aBytes)
{
  if (const auto reason = NodeRefusalReason(aState, aContext, aBytes)) {
    return tl::unexpected(NotRun(*reason));
  }
  const RoutedPart& routed = *aRequest.routed_;
  const RouteSpec* route = FindRoute(ConfigOf(aState), routed.host_, routed.uri_);
  if (route == nullptr) {
    return tl::unexpected(NotRun(Reason::kUnknownKind));
  }
  return route;
}

/** Whether no node that may serve the request admits it at present. A call of a backend server
 * takes the importance of its parent, so it is not judged by its route. */
bool
IsShedByLevel(NodeState& aState,
              ReduceContext& aContext,
              const CallerRequest& aRequest,
              const RouteSpec& aRoute)
{
  const RouteQuery query{
    aRoute.kind_.importance_,       RootRequestBucket(aRequest.rootRequestId_.value_or("")),
    StableHash(aRoute.kind_.name_), {},
    aContext.random_.Next(),        !aRoute.kind_.idempotent_
  };
  return !aRequest.fromBackend_ &&
         std::all_of(aRoute.parts_.begin(), aRoute.parts_.end(), [&](const RoutePart& aPart) {
           return ChooseTarget(
                    aState.routing_, CandidatesFor(aState, aPart.service_), query, aContext.now_)
                    .verdict_ == RouteVerdict::kShedByLevel;
         });
}

Request
MakeRequest(const NodeState& aState,
            ReduceContext& aContext,
            const CallerRequest& aOrigin,
            const std::optional<RequestId>& aLikelyParent,
            const RouteSpec& aRoute,
            const std::string& aService)
{
  Request request;
  request.rootRequestId_ =
    aOrigin.rootRequestId_ ? *aOrigin.rootRequestId_ : ToHex(aContext.random_.Next());
  request.service_ = aService;
  request.kind_ = aRoute.kind_.name_;
  request.importance_ = aRoute.kind_.importance_;
  request.method_ = aOrigin.method_;
  request.body_ = aOrigin.body_;
  request.routed_ = aOrigin.routed_;
  request.routed_->originService_ = aState.settings_.identity_.service_;
  if (aLikelyParent) {
    const Request& outer = aState.inbound_.requests_.at(*aLikelyParent).request_;
    request.rootRequestId_ = outer.rootRequestId_;
    request.importance_ = outer.importance_;
    request.depth_ = static_cast<std::uint8_t>(outer.depth_ + 1);
  }
  return request;
}

std::optional<RequestId>
FindByNearestDeadline(const InboundState& aInbound, Instant aDeadline)
{
  std::optional<RequestId> nearest;
  Duration smallest = kParentDeadlineTolerance;
  for (const auto& [id, request] : aInbound.requests_) {
    const Duration difference = std::chrono::abs(request.deadline_ - aDeadline);
    if (request.phase_ == InboundPhase::kRunning && difference <= smallest) {
      smallest = difference;
      nearest = id;
    }
  }
  return nearest;
}

OutboundCall
MakeCall(NodeState& aState,
         ReduceContext& aContext,
         CallId aId,
         const CallerRequestArrived& aEvent,
         const RouteSpec& aRoute,
         const std::string& aService)
{
  const CallerRequest& origin = aEvent.request_;
  OutboundCall call;
  call.exchange_ = aEvent.exchange_;
  call.origin_ = origin;
  call.startedAt_ = aContext.now_;
  call.deadline_ =
    DeadlineBeforeExit(aState,
                       aContext.now_ + std::min(origin.deadline_.value_or(aRoute.kind_.deadline_),
                                                aRoute.kind_.deadline_));
  const Instant callerDeadline = aContext.now_ + origin.deadline_.value_or(aRoute.kind_.deadline_);
  call.outcomeGrace_ = std::clamp(callerDeadline - call.deadline_, Duration{ 0 }, kOutcomeGrace);
  if (origin.fromBackend_) {
    const Instant callDeadline = aContext.now_ + origin.deadline_.value_or(Duration{ 0 });
    call.likelyParent_ =
      FindLikelyParent(aState.inbound_, origin.routed_->requestId_, callDeadline);
  }
  call.madeByRepeat_ =
    call.likelyParent_ && aState.inbound_.requests_.at(*call.likelyParent_).repeat_;
  call.request_ = MakeRequest(aState, aContext, origin, call.likelyParent_, aRoute, aService);
  call.origin_.body_ = {}; // In request_.
  call.origin_.routed_.reset();
  call.idempotent_ = aRoute.kind_.idempotent_;
  call.ownsPool_ = true;
  call.pool_ = TokenPoolId{ aId.value_ };
  aState.budget_ = OpenPool(std::move(aState.budget_), call.pool_, aRoute.kind_.extraAttempts_);
  return call;
}

} // namespace

void
HandleRoutedRequest(NodeState& aState, ReduceContext& aContext, const CallerRequestArrived& aEvent)
{
  const auto selected =
    SelectRoute(aState, aContext, aEvent.request_, RequestBytes(aEvent.request_));
  if (!selected) {
    RefuseRequest(aState, aContext, aEvent, selected.error());
    return;
  }
  const RouteSpec& route = **selected;
  const std::string service =
    Apply(aState.outbound_.splits_,
          ChoosePart(std::move(aState.outbound_.splits_), route, aContext.random_.Next()));
  const CallId id{ aState.outbound_.nextId_++ };
  OutboundCall call = MakeCall(aState, aContext, id, aEvent, route, service);
  aState.outbound_.byExchange_.emplace(call.exchange_, id);
  aState.outbound_.calls_.emplace(id, std::move(call));
  aState.counters_.Add(CounterId::kCallsStarted);
  if (const auto& parent = aState.outbound_.calls_.at(id).likelyParent_) {
    RecordDownstreamCall(aState, *parent, { service, route.kind_.name_ });
  }
  TryTarget(aState, aContext, id);
}

std::optional<Refusal>
RefusalOfRouted(NodeState& aState,
                ReduceContext& aContext,
                const CallerRequest& aRequest,
                std::size_t aBytes)
{
  const auto route = SelectRoute(aState, aContext, aRequest, aBytes);
  if (!route) {
    return route.error();
  }
  if (IsShedByLevel(aState, aContext, aRequest, **route)) {
    return Refusal{ Verdict::kNotRun,
                    Reason::kShedByLevel,
                    aContext.random_.Jitter(RetryAfterHint(aState.admission_)) };
  }
  return std::nullopt;
}

std::optional<RequestId>
FindLikelyParent(const InboundState& aInbound, std::string_view aCallId, Instant aDeadline)
{
  const std::string_view parentId = aCallId.substr(0, aCallId.rfind('.'));
  const auto named = aInbound.byCallerId_.find(std::string(parentId));
  if (parentId.size() < aCallId.size() && named != aInbound.byCallerId_.end()) {
    return named->second;
  }
  return FindByNearestDeadline(aInbound, aDeadline);
}

} // namespace fulmarway
