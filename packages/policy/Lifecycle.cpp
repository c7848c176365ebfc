#include "policy/Lifecycle.h"

#include "policy/RouteCandidates.h"

#include <algorithm>

namespace fulmarway {

namespace {

constexpr Duration kHandoverSendInterval = std::chrono::milliseconds(300);
/** Time to spread the news that the node left, before its sockets close. */
constexpr Duration kLeaveTime = std::chrono::milliseconds(500);

void
SetState(NodeState& aState, ReduceContext& aContext, MemberState aMember, NodeId aSuccessor = {})
{
  if (aState.membership_.self_.state_ == aMember) {
    return;
  }
  aState.outbound_.candidatesStale_ = true;
  ApplyGossipOutput(aState,
                    aContext,
                    Apply(aState.membership_,
                          SetOwnState(std::move(aState.membership_),
                                      aMember,
                                      aSuccessor,
                                      aContext.random_.Next(),
                                      aContext.now_)));
  aContext.effects_.push_back(
    LogLine{ "node_state", { { "state", std::string(ToString(aMember)) } } });
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

void
BeginDrain(NodeState& aState, ReduceContext& aContext)
{
  EnterPhase(aState, aContext, LifecyclePhase::kDraining);
  aState.lifecycle_.drainStartedAt_ = aContext.now_;
  SetState(aState, aContext, MemberState::kDraining);
}

void
FollowOperatorDrain(NodeState& aState, ReduceContext& aContext)
{
  const LifecyclePhase phase = aState.lifecycle_.phase_;
  if (phase == LifecyclePhase::kServing && IsDrainedByOperator(aState)) {
    BeginDrain(aState, aContext);
  } else if (phase == LifecyclePhase::kDraining && !aState.lifecycle_.stopRequested_ &&
             !IsDrainedByOperator(aState)) {
    EnterPhase(aState, aContext, LifecyclePhase::kServing);
    SetState(aState,
             aContext,
             aState.lifecycle_.backendHealthy_ ? MemberState::kAlive : MemberState::kJoining);
  }
}

bool
HasWork(const NodeState& aState)
{
  return !aState.inbound_.requests_.empty() || !aState.outbound_.calls_.empty();
}

/** A live node of the same service, the own failure domain first, then the lowest id. */
NodeId
ChooseSuccessor(const NodeState& aState)
{
  const NodeIdentity& self = aState.settings_.identity_;
  const MemberRecord* best = nullptr;
  const auto members = Members(aState.membership_);
  for (const MemberRecord& member : members) {
    const bool isFit = member.state_ == MemberState::kAlive &&
                       member.identity_.service_ == self.service_ &&
                       !ConfigOf(aState).drained_.contains(member.identity_.peerAddress_);
    if (!isFit) {
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
  SetState(aState, aContext, MemberState::kLeft, aSuccessor);
}

void
SendHandover(NodeState& aState, ReduceContext& aContext, NodeId aSuccessor)
{
  aState.lifecycle_.nextHandoverSendAt_ = aContext.now_ + kHandoverSendInterval;
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

/** Hands the tickets over as soon as none is unfinished; without a successor the node leaves. */
void
BeginHandoverWhenReady(NodeState& aState, ReduceContext& aContext)
{
  const LifecycleState& lifecycle = aState.lifecycle_;
  const bool isGraceOver =
    aContext.now_ >= lifecycle.drainStartedAt_ + aState.settings_.drainGrace_;
  if (!isGraceOver || HasWork(aState) || UnfinishedTickets(aState.tickets_) > 0) {
    return;
  }
  const NodeId successor = ChooseSuccessor(aState);
  if (successor == NodeId{}) {
    Leave(aState, aContext, {});
    return;
  }
  EnterPhase(aState, aContext, LifecyclePhase::kHandingOver);
  SendHandover(aState, aContext, successor);
}

void
AdvanceStop(NodeState& aState, ReduceContext& aContext)
{
  LifecycleState& lifecycle = aState.lifecycle_;
  const bool isTooLate = aContext.now_ >= lifecycle.drainStartedAt_ + aState.settings_.stopTimeout_;
  switch (lifecycle.phase_) {
    case LifecyclePhase::kServing:
      BeginDrain(aState, aContext);
      break;
    case LifecyclePhase::kDraining:
      if (isTooLate) {
        Leave(aState, aContext, {});
      } else {
        BeginHandoverWhenReady(aState, aContext);
      }
      break;
    case LifecyclePhase::kHandingOver:
      if (isTooLate) {
        // The successor may have the tables, so it is still named.
        Leave(aState, aContext, SuccessorOf(aState.tickets_));
      } else if (aContext.now_ >= lifecycle.nextHandoverSendAt_) {
        SendHandover(aState, aContext, SuccessorOf(aState.tickets_));
      }
      break;
    case LifecyclePhase::kLeaving:
      if (aContext.now_ >= lifecycle.phaseSince_ + kLeaveTime && !HasWork(aState)) {
        aContext.effects_.push_back(ExitProcess{});
      } else if (isTooLate && aContext.now_ >= lifecycle.phaseSince_ + kLeaveTime) {
        aContext.effects_.push_back(ExitProcess{});
      }
      break;
  }
}

} // namespace

void
HandleBackendHealth(NodeState& aState, ReduceContext& aContext, bool aHealthy)
{
  aState.lifecycle_.backendHealthy_ = aHealthy;
  aState.outbound_.candidatesStale_ = true;
  if (aState.lifecycle_.phase_ == LifecyclePhase::kServing) {
    SetState(aState, aContext, aHealthy ? MemberState::kAlive : MemberState::kJoining);
  }
}

void
HandleStopRequested(NodeState& aState, ReduceContext& aContext)
{
  if (aState.lifecycle_.stopRequested_) {
    return;
  }
  aState.lifecycle_.stopRequested_ = true;
  aContext.effects_.push_back(LogLine{ "stop_requested", {} });
  if (aState.lifecycle_.phase_ == LifecyclePhase::kServing) {
    BeginDrain(aState, aContext);
  }
  aContext.effects_.push_back(StopAccepting{});
}

void
HandleHandover(NodeState& aState, ReduceContext& aContext, LinkId aLink, const Handover& aPart)
{
  const auto isComplete =
    Apply(aState.tickets_, AcceptHandover(std::move(aState.tickets_), aPart, aContext.now_));
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
  FollowOperatorDrain(aState, aContext);
  if (aState.lifecycle_.stopRequested_) {
    AdvanceStop(aState, aContext);
  }
}

} // namespace fulmarway
