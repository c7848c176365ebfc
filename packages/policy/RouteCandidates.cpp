#include "policy/RouteCandidates.h"

namespace fulmarway {

namespace {

bool
IsCandidate(const MemberRecord& aMember, const Configuration& aConfig)
{
  const bool isServing =
    aMember.state_ == MemberState::kAlive || aMember.state_ == MemberState::kSuspect;
  return isServing && !aConfig.drained_.contains(aMember.identity_.peerAddress_);
}

void
RebuildCandidates(NodeState& aState)
{
  OutboundState& outbound = aState.outbound_;
  const NodeIdentity& self = aState.settings_.identity_;
  outbound.candidates_.clear();
  for (const MemberRecord& member : Members(aState.membership_)) {
    if (IsCandidate(member, ConfigOf(aState))) {
      outbound.candidates_[member.identity_.service_].push_back(
        { member.identity_.id_,
          member.identity_.domain_ == self.domain_,
          member.identity_.region_ == self.region_,
          member.state_ == MemberState::kSuspect,
          member.identity_.domain_ });
    }
  }
  if (!IsDraining(aState) && aState.lifecycle_.backendHealthy_) {
    outbound.candidates_[self.service_].push_back({ self.id_, true, true, false });
  }
  outbound.candidatesStale_ = false;
}

} // namespace

const std::vector<RouteCandidate>&
CandidatesFor(NodeState& aState, const std::string& aService)
{
  static const std::vector<RouteCandidate> kNone;
  if (aState.outbound_.candidatesStale_) {
    RebuildCandidates(aState);
  }
  const auto found = aState.outbound_.candidates_.find(aService);
  return found == aState.outbound_.candidates_.end() ? kNone : found->second;
}

std::optional<Ticket>
IssueTicketFor(NodeState& aState,
               ReduceContext& aContext,
               const std::string& aService,
               const std::string& aKind)
{
  RouteQuery query;
  query.importance_ = Importance::kCritical;
  query.entropy_ = aContext.random_.Next();
  const RouteDecision choice =
    ChooseTarget(aState.routing_, CandidatesFor(aState, aService), query, aContext.now_);
  if (choice.verdict_ != RouteVerdict::kChosen) {
    return std::nullopt;
  }
  const NodeIdentity& self = aState.settings_.identity_;
  Incarnation incarnation = self.incarnation_;
  std::uint32_t epoch = CurrentEpoch(aState.tickets_, aContext.now_);
  if (choice.target_ != self.id_) {
    const MemberRecord* member = FindMember(aState.membership_, choice.target_);
    if (member == nullptr) {
      return std::nullopt;
    }
    incarnation = member->identity_.incarnation_;
    epoch = EstimateTicketEpoch(
      aState.membership_, choice.target_, aState.settings_.tickets_.epochLength_, aContext.now_);
  }
  return IssueTicket(aState.settings_.clusterKey_,
                     { aService, aKind },
                     choice.target_,
                     incarnation,
                     epoch,
                     aContext.random_.Next128());
}

ExecutorLookup
FindExecutor(const NodeState& aState, const Ticket& aTicket)
{
  const NodeIdentity& self = aState.settings_.identity_;
  if (HoldsTickets(aState.tickets_, ExecutorOf(aTicket))) {
    return { ExecutorStatus::kReachable, self.id_ };
  }
  const MemberRecord* member = FindMember(aState.membership_, aTicket.executor_);
  if (member != nullptr && member->identity_.incarnation_ == aTicket.incarnation_ &&
      member->state_ != MemberState::kLeft) {
    return member->state_ == MemberState::kDead
             ? ExecutorLookup{}
             : ExecutorLookup{ ExecutorStatus::kReachable, aTicket.executor_ };
  }
  const NodeId holder =
    FindTicketHolder(aState.membership_, aTicket.executor_, aTicket.incarnation_);
  if (holder != NodeId{}) {
    return { ExecutorStatus::kMoved, holder };
  }
  // A ticket of an earlier incarnation of this node is refused by the local table.
  return aTicket.executor_ == self.id_ ? ExecutorLookup{ ExecutorStatus::kReachable, self.id_ }
                                       : ExecutorLookup{};
}

TicketDecision
PresentToTable(NodeState& aState, const Request& aRequest, RequestId aId, Instant aNow)
{
  const Ticket& ticket = *aRequest.ticket_;
  TicketDecision decision =
    Apply(aState.tickets_,
          PresentTicket(std::move(aState.tickets_), ticket, RequestDigest(aRequest), aId, aNow));
  if (decision.action_ == TicketAction::kRefuse &&
      decision.refusal_.reason_ == Reason::kTicketOfLostExecutor) {
    const NodeId holder =
      FindTicketHolder(aState.membership_, ticket.executor_, ticket.incarnation_);
    if (holder != NodeId{} && holder != aState.settings_.identity_.id_) {
      decision.refusal_.reason_ = Reason::kTicketMoved;
      decision.successor_ = holder;
    }
  }
  return decision;
}

std::string
PeerAddressOf(const NodeState& aState, NodeId aNode)
{
  const MemberRecord* member = FindMember(aState.membership_, aNode);
  return member == nullptr ? "" : member->identity_.peerAddress_;
}

} // namespace fulmarway
