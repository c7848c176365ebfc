#include "policy/Lifecycle.h"

#include "policy/Inbound.h"
#include "policy/RouteCandidates.h"
#include "policy/StoreSync.h"

#include <algorithm>

namespace fulmarway {

namespace {

constexpr Duration kHandoverResendInterval = std::chrono::milliseconds(300);

void
SetMemberState(NodeState& aState,
               ReduceContext& aContext,
               MemberState aMemberState,
               NodeId aSuccessor = {})
{
  if (aState.membership_.self_.state_ == aMemberState) {
    return;
  }
  aState.outbound_.candidatesStale_ = true;
  ApplyGossipOutput(aState,
                    aContext,
                    Apply(aState.membership_,
                          SetLocalState(std::move(aState.membership_),
                                        aMemberState,
                                        aSuccessor,
                                        aContext.random_.Next(),
                                        aContext.now_)));
  aContext.effects_.push_back(
    LogLine{ "node_state", { { "state", std::string(ToString(aMemberState)) } } });
}

void
EnterPhase(NodeState& aState, ReduceContext& aContext, LifecyclePhase aPhase)
{
  aState.lifecycle_.phase_ = aPhase;
  aState.lifecycle_.phaseSince_ = aContext.now_;
  aState.outbound_.candidatesStale_ = true;
}

bool
IsDrainedByOperator(const NodeState& aState)
{
  return ConfigOf(aState).drained_.contains(aState.settings_.identity_.peerAddress_);
}

/** Whether an operator drained the node or its backend server reports that it leaves. */
bool
ShouldDrain(const NodeState& aState)
{
  return IsDrainedByOperator(aState) || IsLeaving(aState.backend_);
}

void
BeginDrain(NodeState& aState, ReduceContext& aContext)
{
  EnterPhase(aState, aContext, LifecyclePhase::kDraining);
  aState.lifecycle_.drainStartedAt_ = aContext.now_;
  SetMemberState(aState, aContext, MemberState::kDraining);
}

void
UpdateDrain(NodeState& aState, ReduceContext& aContext)
{
  const LifecyclePhase phase = aState.lifecycle_.phase_;
  if (phase == LifecyclePhase::kServing && ShouldDrain(aState)) {
    BeginDrain(aState, aContext);
  } else if (phase == LifecyclePhase::kDraining && !aState.lifecycle_.stopRequested_ &&
             !ShouldDrain(aState)) {
    EnterPhase(aState, aContext, LifecyclePhase::kServing);
    SetMemberState(aState,
                   aContext,
                   aState.lifecycle_.backendHealthy_ ? MemberState::kAlive : MemberState::kJoining);
  }
}

/** While its backend server is unhealthy, a node that serves is announced as kJoining. */
void
SetBackendHealth(NodeState& aState, ReduceContext& aContext, bool aHealthy)
{
  aState.lifecycle_.backendHealthy_ = aHealthy;
  aState.outbound_.candidatesStale_ = true;
  if (aState.lifecycle_.phase_ == LifecyclePhase::kServing) {
    SetMemberState(aState, aContext, aHealthy ? MemberState::kAlive : MemberState::kJoining);
  }
}

/** Whether this process knows the departures that earlier ones recorded, or has waited for them.
 * The store may have lost them, and any trace of earlier processes with them, so an answer of a
 * peer is awaited, too. */
bool
KnowsDepartures(const NodeState& aState, Instant aNow)
{
  const MembershipState& membership = aState.membership_;
  if (!aState.settings_.usesStore_ || membership.isKnownToPeer_) {
    return true;
  }
  const auto& listedAt = aState.store_.listedAt_;
  const Instant outageEnd = membership.startedAt_ + kDepartureLookupTimeoutInOutage;
  return aNow >= (listedAt ? std::min(*listedAt + kDepartureLookupTimeout, outageEnd) : outageEnd);
}

/** Derives the health of a backend server that sends heartbeats from these. */
void
UpdateHealthFromHeartbeats(NodeState& aState, ReduceContext& aContext)
{
  const bool isUsable =
    IsUsable(aState.backend_, aContext.now_) && KnowsDepartures(aState, aContext.now_);
  if (aState.backend_ && isUsable != aState.lifecycle_.backendHealthy_) {
    const Duration age = aContext.now_ - aState.backend_->lastHeartbeatAt_;
    aContext.effects_.push_back(
      LogLine{ isUsable ? "backend_regained" : "backend_lost",
               { { "instance", aState.backend_->heartbeat_.instance_ },
                 { "report_age_us", std::to_string(age.count()) },
                 { "failed_connects", std::to_string(aState.backend_->failedConnects_) } } });
    SetBackendHealth(aState, aContext, isUsable);
  }
}

/** Writes a departure of the backend server that is new since aBefore into the record of this node,
 * from where it gets to the store and to the peers. */
void
RecordDeparture(NodeState& aState,
                ReduceContext& aContext,
                const std::optional<BackendDeparture>& aBefore)
{
  const auto departure = DepartureOf(aState.backend_);
  // The heartbeats of a draining backend server repeat its departure.
  const bool isRepeated = departure && aBefore && departure->instance_ == aBefore->instance_ &&
                          departure->startedAtMs_ == aBefore->startedAtMs_ &&
                          departure->final_ == aBefore->final_ &&
                          departure->noticedAtMs_ == aBefore->noticedAtMs_;
  if (isRepeated || !IsLaterDeparture(departure, aState.membership_.self_.departure_)) {
    return;
  }
  ApplyGossipOutput(
    aState,
    aContext,
    Apply(aState.membership_,
          SetLocalDeparture(
            std::move(aState.membership_), *departure, aContext.random_.Next(), aContext.now_)));
  aState.store_.nextAnnounceAt_ = aContext.now_;
}

void
EndDrainGrace(NodeState& aState, Instant aNow)
{
  Instant& startedAt = aState.lifecycle_.drainStartedAt_;
  startedAt = std::min(startedAt, aNow - aState.settings_.drainGrace_);
}

/** Applies a departure that an earlier process recorded, and that this one reads only after it has
 * taken the backend server into use. Its grace time counted from then and is
 * over: no node has sent requests to this process yet. */
void
RestoreDeparture(NodeState& aState, ReduceContext& aContext)
{
  const auto& recorded = aState.membership_.self_.departure_;
  if (!recorded || !Apply(aState.backend_,
                          ApplyDeparture(std::move(aState.backend_), *recorded, aContext.now_))) {
    return;
  }
  aContext.effects_.push_back(LogLine{ "backend_departure_restored",
                                       { { "instance", recorded->instance_ },
                                         { "started_ms", std::to_string(recorded->startedAtMs_) },
                                         { "noticed_ms", std::to_string(recorded->noticedAtMs_) },
                                         { "final", recorded->final_ ? "true" : "false" } } });
  UpdateDrain(aState, aContext);
  EndDrainGrace(aState, aContext.now_);
}

/** Sends the acknowledgements whose departure is in the store, or that waited for too long. */
void
AdvanceAcknowledgements(NodeState& aState, ReduceContext& aContext)
{
  const bool isStored = IsDepartureStored(aState);
  std::erase_if(aState.pendingAcknowledgements_, [&](const PendingAcknowledgement& aPending) {
    if (!isStored && aContext.now_ < aPending.deadline_) {
      return false;
    }
    if (!isStored) {
      aContext.effects_.push_back(LogLine{ "backend_departure_not_stored", {} });
    }
    aContext.effects_.push_back(AcknowledgeNotice{ aPending.exchange_ });
    return true;
  });
}

bool
HasWork(const NodeState& aState)
{
  return !aState.inbound_.requests_.empty() || !aState.outbound_.calls_.empty();
}

/** Returns a live node of the same service that is not drained: in the local failure domain if
 * there is one, then the one with the lowest id. Returns a zero id when there is none. */
NodeId
ChooseSuccessor(const NodeState& aState)
{
  const NodeIdentity& self = aState.settings_.identity_;
  const MemberRecord* best = nullptr;
  const auto members = Members(aState.membership_);
  for (const MemberRecord& member : members) {
    const bool isEligible = member.state_ == MemberState::kAlive &&
                            member.identity_.service_ == self.service_ &&
                            !ConfigOf(aState).drained_.contains(member.identity_.peerAddress_);
    if (!isEligible) {
      continue;
    }
    const auto isLocal = [&](const MemberRecord& aMember) {
      return aMember.identity_.domain_ == self.domain_;
    };
    if (best == nullptr || (isLocal(member) && !isLocal(*best))) {
      best = &member;
    }
  }
  return best == nullptr ? NodeId{} : best->identity_.id_;
}

void
Leave(NodeState& aState, ReduceContext& aContext, NodeId aSuccessor)
{
  EnterPhase(aState, aContext, LifecyclePhase::kLeaving);
  SetMemberState(aState, aContext, MemberState::kLeft, aSuccessor);
}

void
SendHandover(NodeState& aState, ReduceContext& aContext, NodeId aSuccessor)
{
  aState.lifecycle_.nextHandoverSendAt_ = aContext.now_ + kHandoverResendInterval;
  const MemberRecord* successor = FindMember(aState.membership_, aSuccessor);
  if (successor == nullptr) {
    return;
  }
  const auto parts = Apply(
    aState.tickets_,
    BeginHandover(
      std::move(aState.tickets_), aSuccessor, successor->identity_.incarnation_, aContext.now_));
  for (const Handover& part : parts) {
    aContext.effects_.push_back(SendToPeer{ aSuccessor, PeerAddressOf(aState, aSuccessor), part });
  }
}

/** Starts the handover once the grace time of the drain and the time to accept requests after the
 * stop request are over and no request, call or ticket is unfinished. Without a successor the node
 * leaves at once. */
void
BeginHandoverWhenReady(NodeState& aState, ReduceContext& aContext)
{
  const LifecycleState& lifecycle = aState.lifecycle_;
  const bool isGraceOver =
    aContext.now_ >= lifecycle.drainStartedAt_ + aState.settings_.drainGrace_;
  const bool isAccepting =
    aContext.now_ < lifecycle.stopRequestedAt_ + aState.settings_.acceptAfterStop_;
  if (!isGraceOver || isAccepting || HasWork(aState) ||
      CountUnfinishedTickets(aState.tickets_) > 0) {
    return;
  }
  const NodeId successor = aState.settings_.usesTickets_ ? ChooseSuccessor(aState) : NodeId{};
  if (successor == NodeId{}) {
    Leave(aState, aContext, {});
    return;
  }
  EnterPhase(aState, aContext, LifecyclePhase::kHandingOver);
  SendHandover(aState, aContext, successor);
}

/** Whether a node that leaves may end its process: other nodes have had time to learn of it, and no
 * request is in progress and no reply is being written, or the time for both is over. Replies wait
 * as long as the bound of the stop permits, since a caller may read a long one slowly. */
bool
IsExitDue(const NodeState& aState, Instant aNow)
{
  const LifecycleState& lifecycle = aState.lifecycle_;
  const bool isStopOver =
    aNow >= lifecycle.stopRequestedAt_ + aState.settings_.stopTimeout_ + kLeaveGossipTime;
  return aNow >= lifecycle.phaseSince_ + kLeaveGossipTime &&
         (isStopOver || (!HasWork(aState) && !lifecycle.hasUnwrittenReplies_));
}

void
AdvanceStop(NodeState& aState, ReduceContext& aContext)
{
  LifecycleState& lifecycle = aState.lifecycle_;
  if (!lifecycle.hasStoppedAccepting_ &&
      aContext.now_ >= lifecycle.stopRequestedAt_ + aState.settings_.acceptAfterStop_) {
    lifecycle.hasStoppedAccepting_ = true;
    aContext.effects_.push_back(StopAccepting{});
  }
  const bool isPastTimeout =
    aContext.now_ >= lifecycle.stopRequestedAt_ + aState.settings_.stopTimeout_;
  switch (lifecycle.phase_) {
    case LifecyclePhase::kServing:
      BeginDrain(aState, aContext);
      break;
    case LifecyclePhase::kDraining:
      if (isPastTimeout) {
        Leave(aState, aContext, {});
      } else {
        BeginHandoverWhenReady(aState, aContext);
      }
      break;
    case LifecyclePhase::kHandingOver:
      if (isPastTimeout) {
        // The successor may have received the tables although it did not confirm, so other nodes
        // must learn its id.
        Leave(aState, aContext, SuccessorOf(aState.tickets_));
      } else if (aContext.now_ >= lifecycle.nextHandoverSendAt_) {
        SendHandover(aState, aContext, SuccessorOf(aState.tickets_));
      }
      break;
    case LifecyclePhase::kLeaving:
      if (IsExitDue(aState, aContext.now_)) {
        aContext.effects_.push_back(ExitProcess{});
      }
      break;
  }
}

} // namespace

void
HandleBackendHealth(NodeState& aState, ReduceContext& aContext, bool aHealthy)
{
  SetBackendHealth(aState, aContext, aHealthy);
}

void
HandleBackendHeartbeat(NodeState& aState,
                       ReduceContext& aContext,
                       const BackendHeartbeat& aHeartbeat)
{
  if (aHeartbeat.service_ != aState.settings_.identity_.service_) {
    aContext.effects_.push_back(
      LogLine{ "backend_report_ignored",
               { { "instance", aHeartbeat.instance_ }, { "service", aHeartbeat.service_ } } });
    return;
  }
  RestoreDeparture(aState, aContext);
  const auto& recorded = aState.membership_.self_.departure_;
  if (!aState.backend_ && recorded && IsBeforeDeparture(aHeartbeat, *recorded)) {
    aContext.effects_.push_back(
      LogLine{ "backend_report_outdated",
               { { "instance", aHeartbeat.instance_ },
                 { "started_ms", std::to_string(aHeartbeat.startedAtMs_) },
                 { "departed_started_ms", std::to_string(recorded->startedAtMs_) },
                 { "departed_noticed_ms", std::to_string(recorded->noticedAtMs_) } } });
    return;
  }
  const auto departureBefore = DepartureOf(aState.backend_);
  const HeartbeatVerdict verdict =
    Apply(aState.backend_, ApplyHeartbeat(std::move(aState.backend_), aHeartbeat, aContext.now_));
  if (verdict == HeartbeatVerdict::kOutdated) {
    return;
  }
  if (verdict == HeartbeatVerdict::kNewIncarnation) {
    aContext.effects_.push_back(CloseIdleBackendConnections{});
    ClearLimit(aState.admission_.startRate_);
    aContext.effects_.push_back(
      LogLine{ "backend_run",
               { { "instance", aHeartbeat.instance_ },
                 { "started_ms", std::to_string(aHeartbeat.startedAtMs_) },
                 { "slots", std::to_string(aHeartbeat.slots_) } } });
    if (aState.otherLeave_ && IsBeforeDeparture(aHeartbeat, *aState.otherLeave_)) {
      HandleBackendLeft(aState, aContext, { aHeartbeat.instance_, aHeartbeat.startedAtMs_ });
      EndDrainGrace(aState, aContext.now_); // It counted from the notice.
    }
  }
  AdmissionSettings settings = aState.admission_.settings_;
  if (aHeartbeat.slots_ > 0 && settings.slots_ != aHeartbeat.slots_) {
    settings.slots_ = aHeartbeat.slots_;
    ApplyAdmission(
      aState,
      aContext,
      Apply(aState.admission_, Configure(std::move(aState.admission_), settings, aContext.now_)));
  }
  UpdateHealthFromHeartbeats(aState, aContext);
  RecordDeparture(aState, aContext, departureBefore);
  UpdateDrain(aState, aContext);
}

void
HandleBackendLeft(NodeState& aState, ReduceContext& aContext, const BackendLeave& aLeave)
{
  const auto departureBefore = DepartureOf(aState.backend_);
  if (Apply(aState.backend_,
            ApplyLeave(std::move(aState.backend_), aLeave, aContext.wallTimeMs_, aContext.now_))) {
    aContext.effects_.push_back(LogLine{ "backend_leaves", { { "instance", aLeave.instance_ } } });
    RestoreDeparture(aState, aContext);
    RecordDeparture(aState, aContext, departureBefore);
    UpdateDrain(aState, aContext);
  } else if (aLeave.startedAtMs_ == 0) {
    aState.otherLeave_ = BackendDeparture{ aLeave.instance_, 0, 0, true, aContext.wallTimeMs_ };
  }
}

void
AcknowledgeWhenStored(NodeState& aState, ReduceContext& aContext, ExchangeId aExchange)
{
  if (!IsLeaving(aState.backend_) || IsDepartureStored(aState)) {
    aContext.effects_.push_back(AcknowledgeNotice{ aExchange });
    return;
  }
  aState.pendingAcknowledgements_.push_back({ aExchange, aContext.now_ + kDepartureStoreTimeout });
}

void
RecordFailedConnect(NodeState& aState, ReduceContext& aContext)
{
  if (aState.backend_) {
    aState.backend_->failedConnects_ += 1;
    UpdateHealthFromHeartbeats(aState, aContext);
  }
}

void
HandleStopRequested(NodeState& aState, ReduceContext& aContext)
{
  if (aState.lifecycle_.stopRequested_) {
    return;
  }
  aState.lifecycle_.stopRequested_ = true;
  aState.lifecycle_.stopRequestedAt_ = aContext.now_;
  aContext.effects_.push_back(LogLine{ "stop_requested", {} });
  if (aState.lifecycle_.phase_ == LifecyclePhase::kServing) {
    BeginDrain(aState, aContext);
  }
  aContext.effects_.push_back(CloseAfterReplies{});
  AdvanceStop(aState, aContext);
}

Instant
DeadlineBeforeExit(const NodeState& aState, Instant aDeadline)
{
  const LifecycleState& lifecycle = aState.lifecycle_;
  return lifecycle.stopRequested_
           ? std::min(aDeadline, lifecycle.stopRequestedAt_ + aState.settings_.stopTimeout_)
           : aDeadline;
}

void
HandleHandover(NodeState& aState, ReduceContext& aContext, LinkId aLink, const Handover& aPart)
{
  const auto isComplete =
    Apply(aState.tickets_, ReceiveHandoverPart(std::move(aState.tickets_), aPart, aContext.now_));
  if (isComplete.value_or(false)) {
    aContext.effects_.push_back(
      SendToLink{ aLink, HandoverAccepted{ aPart.from_, aPart.incarnation_ } });
  }
}

void
HandleHandoverAccepted(NodeState& aState,
                       ReduceContext& aContext,
                       const HandoverAccepted& aAccepted)
{
  if (aState.lifecycle_.phase_ == LifecyclePhase::kHandingOver &&
      Apply(aState.tickets_, ConfirmHandover(std::move(aState.tickets_), aAccepted))) {
    Leave(aState, aContext, SuccessorOf(aState.tickets_));
  }
}

void
AdvanceLifecycle(NodeState& aState, ReduceContext& aContext)
{
  RestoreDeparture(aState, aContext);
  UpdateDrain(aState, aContext);
  UpdateHealthFromHeartbeats(aState, aContext);
  AdvanceAcknowledgements(aState, aContext);
  if (aState.lifecycle_.stopRequested_) {
    AdvanceStop(aState, aContext);
  }
}

} // namespace fulmarway
