#include "policy/Reducer.h"

#include "policy/Control.h"
#include "policy/Inbound.h"
#include "policy/Lifecycle.h"
#include "policy/Outbound.h"
#include "policy/SpillObservations.h"
#include "policy/StoreSync.h"

namespace fulmarway {

namespace {

void
ApplyMembershipStep(NodeState& aState,
                    ReduceContext& aContext,
                    Step<MembershipState, GossipOutput> aStep)
{
  ApplyGossipOutput(aState, aContext, Apply(aState.membership_, std::move(aStep)));
}

/** A message from a node that is suspect or dead counts as contact with it. */
void
RecordPeerContact(NodeState& aState, ReduceContext& aContext, NodeId aNode)
{
  const MemberRecord* member = FindMember(aState.membership_, aNode);
  if (member != nullptr &&
      (member->state_ == MemberState::kSuspect || member->state_ == MemberState::kDead)) {
    ApplyMembershipStep(
      aState, aContext, RecordDataPathContact(std::move(aState.membership_), aNode, aContext.now_));
  }
}

/** Handles messages on connections that other nodes opened. */
struct LinkMessageHandler
{
  NodeState& state_;
  ReduceContext& context_;
  LinkId link_;

  void operator()(const CallRequest& aMessage)
  {
    HandleCallRequest(state_, context_, { link_, aMessage.attempt_ }, aMessage);
  }
  void operator()(const CallCancelled& aMessage)
  {
    HandleCallCancelled(state_, context_, { link_, aMessage.attempt_ });
  }
  void operator()(const Handover& aMessage) { HandleHandover(state_, context_, link_, aMessage); }
  void operator()(const ConfigRequest& aMessage)
  {
    HandleConfigRequest(state_, context_, link_, aMessage);
  }
  /** Responses are not valid on connections that another node opened. */
  void operator()(const auto&) {}
};

/** Handles responses on connections that this node opened. */
struct PeerMessageHandler
{
  NodeState& state_;
  ReduceContext& context_;

  void operator()(const CallAnswer& aMessage) { HandleCallAnswer(state_, context_, aMessage); }
  void operator()(const CallAnswerPart& aMessage)
  {
    HandleCallAnswerPart(state_, context_, aMessage);
  }
  void operator()(const CallRefused& aMessage) { HandleCallRefused(state_, context_, aMessage); }
  void operator()(const HandoverAccepted& aMessage)
  {
    HandleHandoverAccepted(state_, context_, aMessage);
  }
  void operator()(const ConfigReply& aMessage) { HandleConfigReply(state_, context_, aMessage); }
  /** Requests are not valid on connections that this node opened. */
  void operator()(const auto&) {}
};

void
AdvanceAll(NodeState& aState, ReduceContext& aContext)
{
  const Instant now = aContext.now_;
  if (now >= aState.nextAdmissionAdvanceAt_) {
    aState.nextAdmissionAdvanceAt_ = now + kAdmissionWindow;
    ApplyAdmission(
      aState, aContext, Apply(aState.admission_, Advance(std::move(aState.admission_), now)));
    aState.tickets_ = AdvanceTickets(std::move(aState.tickets_), now);
  }
  AdvanceInbound(aState, aContext);
  AdvanceOutbound(aState, aContext);
  AdvanceDomainSpill(aState, aContext);
  AdvanceControl(aState, aContext);
  AdvanceStore(aState, aContext);
  AdvanceLifecycle(aState, aContext);
  if (now >= aState.nextMembershipAdvanceAt_) {
    constexpr Duration kMembershipInterval = std::chrono::milliseconds(100);
    aState.nextMembershipAdvanceAt_ = now + kMembershipInterval;
    ApplyMembershipStep(aState,
                        aContext,
                        SetLocalVersions(std::move(aState.membership_),
                                         ConfigOf(aState).version_,
                                         CurrentEpoch(aState.tickets_, now),
                                         aContext.random_.Next(),
                                         now));
    ApplyMembershipStep(
      aState,
      aContext,
      AdvanceMembership(std::move(aState.membership_), aContext.random_.Next(), now));
  }
}

struct EventHandler
{
  NodeState& state_;
  ReduceContext& context_;

  void operator()(const CallerRequestArrived& aEvent)
  {
    HandleCallerRequest(state_, context_, aEvent);
  }
  void operator()(const CallerBodyAnnounced& aEvent)
  {
    HandleBodyAnnounced(state_, context_, aEvent);
  }
  void operator()(const CallerDisconnected& aEvent)
  {
    HandleCallerDisconnected(state_, context_, aEvent.exchange_);
  }
  void operator()(const LinkMessageArrived& aEvent)
  {
    RecordPeerContact(state_, context_, aEvent.from_);
    std::visit(LinkMessageHandler{ state_, context_, aEvent.link_ }, aEvent.message_);
  }
  void operator()(const LinkClosed& aEvent) { HandleLinkClosed(state_, context_, aEvent.link_); }
  void operator()(const PeerMessageArrived& aEvent)
  {
    RecordPeerContact(state_, context_, aEvent.from_);
    std::visit(PeerMessageHandler{ state_, context_ }, aEvent.message_);
  }
  void operator()(const PeerLost& aEvent) { HandlePeerLost(state_, context_, aEvent); }
  void operator()(const BackendAnswered& aEvent)
  {
    HandleBackendAnswered(state_, context_, aEvent);
  }
  void operator()(const BackendFailed& aEvent) { HandleBackendFailed(state_, context_, aEvent); }
  void operator()(const BackendHealthChanged& aEvent)
  {
    HandleBackendHealth(state_, context_, aEvent.healthy_);
  }
  void operator()(const BackendHeartbeatReceived& aEvent)
  {
    HandleBackendHeartbeat(state_, context_, aEvent.heartbeat_);
    AcknowledgeWhenStored(state_, context_, aEvent.exchange_);
  }
  void operator()(const BackendLeft& aEvent)
  {
    HandleBackendLeft(state_, context_, aEvent.leave_);
    AcknowledgeWhenStored(state_, context_, aEvent.exchange_);
  }
  void operator()(const StoreCallFinished& aEvent)
  {
    HandleStoreCallFinished(state_, context_, aEvent);
  }
  void operator()(const GossipArrived& aEvent)
  {
    state_.counters_.Add(CounterId::kGossipReceived);
    HandleGossipVersion(state_, context_, aEvent.message_);
    ApplyMembershipStep(
      state_,
      context_,
      HandleGossip(
        std::move(state_.membership_), aEvent.message_, context_.random_.Next(), context_.now_));
  }
  void operator()(const LogRecordsRead& aEvent) { HandleLogRecordsRead(state_, context_, aEvent); }
  void operator()(const LogReadFailed&) { HandleLogReadFailed(state_, context_); }
  void operator()(const AppendFinished& aEvent) { HandleAppendFinished(state_, context_, aEvent); }
  void operator()(const CommandArrived& aEvent) { HandleCommand(state_, context_, aEvent); }
  void operator()(const InForceQueried& aEvent) { HandleInForceQuery(state_, context_, aEvent); }
  void operator()(const StopRequested&) { HandleStopRequested(state_, context_); }
  void operator()(const Tick&) { AdvanceAll(state_, context_); }
};

/** Delivers messages between this node's outbound and inbound roles. */
void
HandleLocalMessages(NodeState& aState, ReduceContext& aContext)
{
  while (!aContext.local_.empty()) {
    const LocalMessage local = std::move(aContext.local_.front());
    aContext.local_.pop_front();
    const bool isRequest = std::holds_alternative<CallRequest>(local.message_) ||
                           std::holds_alternative<CallCancelled>(local.message_);
    if (isRequest) {
      std::visit(LinkMessageHandler{ aState, aContext, LinkId{} }, local.message_);
    } else {
      std::visit(PeerMessageHandler{ aState, aContext }, local.message_);
    }
  }
}

} // namespace

Step<NodeState, Effects>
Reduce(NodeState aState, const Event& aEvent)
{
  ReduceContext context;
  context.now_ = aEvent.now_;
  context.wallTimeMs_ = aEvent.wallTimeMs_;
  context.freeBytes_ = aEvent.freeBytes_;
  context.freeBytesWithReserve_ = aEvent.freeBytesWithReserve_;
  context.random_.state_ = aEvent.entropy_;
  std::visit(EventHandler{ aState, context }, aEvent.body_);
  HandleLocalMessages(aState, context);
  return { std::move(aState), std::move(context.effects_) };
}

} // namespace fulmarway
