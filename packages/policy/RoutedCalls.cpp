#include "policy/RoutedCalls.h"

#include "policy/AccountQuotas.h"
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

/** Base of the delay after which a caller returns to a node without a key lease. The lease resumes
 * with the next answer of the store, which is asked at least once a second. */
constexpr Duration kNoLeaseRetryDelay = std::chrono::seconds(1);

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

/** The refusal of a request without a valid key. Where this node may have missed a change of the
 * configuration, the key may be valid, and the caller is sent to another node. */
Refusal
RefusalOfKey(const NodeState& aState, ReduceContext& aContext, const CallerRequest& aRequest)
{
  const bool mayBeOutdated =
    aRequest.key_ && !aState.store_.reachable_ && !RequiresKeyLease(aState);
  return mayBeOutdated ? Refusal{ Verdict::kNotRun,
                                  Reason::kNoKeyLease,
                                  aContext.random_.Jitter(kNoLeaseRetryDelay) }
                       : NotRun(Reason::kUnknownKey);
}

/** The client account of the request; nullptr when it needs none. The refusal, when the request
 * needs a key and has no valid one. */
tl::expected<const AccountSpec*, Refusal>
AccountOf(const NodeState& aState,
          ReduceContext& aContext,
          const CallerRequest& aRequest,
          const RouteSpec& aRoute)
{
  const auto& accounts = ConfigOf(aState).accounts_;
  if (!accounts || aRoute.public_ || aRequest.fromBackend_) {
    return nullptr;
  }
  if (RequiresKeyLease(aState) && !IsHeld(aState.keyLease_, aContext.now_)) {
    return tl::unexpected(Refusal{
      Verdict::kNotRun, Reason::kNoKeyLease, aContext.random_.Jitter(kNoLeaseRetryDelay) });
  }
  const AccountSpec* account =
    aRequest.key_ ? FindAccount(aState.accountKeys_, *accounts, *aRequest.key_) : nullptr;
  if (account == nullptr) {
    return tl::unexpected(RefusalOfKey(aState, aContext, aRequest));
  }
  return account;
}

/** The importance of the account takes precedence over that of the route. */
Importance
ImportanceOf(const AccountSpec* aAccount, const RouteSpec& aRoute)
{
  return aAccount != nullptr && aAccount->importance_ ? *aAccount->importance_
                                                      : aRoute.kind_.importance_;
}

/** Whether no node that may serve the request admits it at present. A call of a backend server
 * takes the importance of its parent, so it is not judged by its route. */
bool
IsShedByLevel(NodeState& aState,
              ReduceContext& aContext,
              const CallerRequest& aRequest,
              const AccountSpec* aAccount,
              const RouteSpec& aRoute)
{
  const RouteQuery query{
    ImportanceOf(aAccount, aRoute), RootRequestBucket(aRequest.rootRequestId_.value_or("")),
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
            const AccountSpec* aAccount,
            const RouteSpec& aRoute,
            const std::string& aService)
{
  Request request;
  request.rootRequestId_ =
    aOrigin.rootRequestId_ ? *aOrigin.rootRequestId_ : ToHex(aContext.random_.Next());
  request.service_ = aService;
  request.kind_ = aRoute.kind_.name_;
  request.importance_ = ImportanceOf(aAccount, aRoute);
  request.method_ = aOrigin.method_;
  request.body_ = aOrigin.body_;
  request.routed_ = aOrigin.routed_;
  request.routed_->originService_ = aState.settings_.identity_.service_;
  request.routed_->account_ = aAccount == nullptr ? "" : aAccount->name_;
  if (!ConfigOf(aState).accounts_) {
    request.routed_->headers_.insert(request.routed_->headers_.end(),
                                     aOrigin.accountFields_.begin(),
                                     aOrigin.accountFields_.end());
  }
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
         const AccountSpec* aAccount,
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
  call.request_ =
    MakeRequest(aState, aContext, origin, call.likelyParent_, aAccount, aRoute, aService);
  call.origin_.body_ = {}; // In request_.
  call.origin_.routed_.reset();
  call.origin_.key_.reset(); // Not kept longer than needed.
  call.origin_.accountFields_.clear();
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
  const auto account = AccountOf(aState, aContext, aEvent.request_, route);
  if (!account) {
    RefuseRequest(aState, aContext, aEvent, account.error());
    return;
  }
  const std::string service =
    Apply(aState.outbound_.splits_,
          ChoosePart(std::move(aState.outbound_.splits_), route, aContext.random_.Next()));
  const CallId id{ aState.outbound_.nextId_++ };
  OutboundCall call = MakeCall(aState, aContext, id, aEvent, *account, route, service);
  aState.outbound_.byExchange_.emplace(call.exchange_, id);
  aState.outbound_.calls_.emplace(id, std::move(call));
  aState.counters_.Add(CounterId::kCallsStarted);
  TakeQuotaToken(aState, aContext, id);
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
  const auto account = AccountOf(aState, aContext, aRequest, **route);
  if (!account) {
    return account.error();
  }
  if (IsShedByLevel(aState, aContext, aRequest, *account, **route)) {
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
