#include "policy/NodeState.h"

namespace fulmarway {

const KindSpec*
FindKind(const Configuration& aConfig, const std::string& aService, const std::string& aKind)
{
  const auto service = aConfig.services_.find(aService);
  if (service == aConfig.services_.end()) {
    return nullptr;
  }
  const auto kind = service->second.kinds_.find(aKind);
  return kind == service->second.kinds_.end() ? nullptr : &kind->second;
}

bool
IsDraining(const NodeState& aState)
{
  return aState.lifecycle_.phase_ != LifecyclePhase::kServing;
}

bool
AcceptsNewWork(const NodeState& aState, Instant aNow)
{
  const LifecycleState& lifecycle = aState.lifecycle_;
  switch (lifecycle.phase_) {
    case LifecyclePhase::kServing:
      return lifecycle.backendHealthy_;
    case LifecyclePhase::kDraining:
      return lifecycle.backendHealthy_ &&
             aNow < lifecycle.drainStartedAt_ + aState.settings_.drainGrace_;
    case LifecyclePhase::kHandingOver:
    case LifecyclePhase::kLeaving:
      return false;
  }
  return false;
}

void
ApplyGossipOutput(NodeState& aState, ReduceContext& aContext, GossipOutput aOutput)
{
  for (OutgoingGossip& outgoing : aOutput.messages_) {
    aState.counters_.Add(CounterId::kGossipSent);
    aContext.effects_.push_back(
      SendGossip{ std::move(outgoing.address_), std::move(outgoing.message_) });
  }
  for (const MemberChange& change : aOutput.changes_) {
    aState.outbound_.candidatesStale_ = true;
    const MemberRecord& after = change.after_;
    const bool isRestart =
      !change.before_.empty() &&
      change.before_.front().identity_.incarnation_ != after.identity_.incarnation_;
    if (isRestart) {
      aState.routing_ = RemoveTarget(std::move(aState.routing_), after.identity_.id_);
    }
    const bool isStateChange =
      change.before_.empty() || isRestart || change.before_.front().state_ != after.state_;
    if (isStateChange) {
      aContext.effects_.push_back(LogLine{ "member",
                                           { { "address", after.identity_.peerAddress_ },
                                             { "service", after.identity_.service_ },
                                             { "domain", after.identity_.domain_ },
                                             { "state", std::string(ToString(after.state_)) } } });
    }
  }
}

NodeState
MakeNodeState(NodeSettings aSettings, Instant aNow)
{
  NodeState state;
  const NodeIdentity& self = aSettings.identity_;
  state.membership_ = MakeMembership(aSettings.membership_, self, aSettings.seeds_, aNow);
  state.admission_ = MakeAdmission({}, aNow);
  state.tickets_ = MakeTicketTable(aSettings.tickets_, self.id_, self.incarnation_, aNow);
  state.budget_ = MakeRetryBudget(aSettings.retries_);
  state.inbound_.retries_.settings_ = aSettings.backendRetries_;
  state.control_.lastSnapshotAt_ = aNow;
  state.routing_.spill_.settings_ = aSettings.domainSpill_;
  state.settings_ = std::move(aSettings);
  return state;
}

} // namespace fulmarway
