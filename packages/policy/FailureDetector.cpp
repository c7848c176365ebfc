#include "policy/FailureDetector.h"

#include "policy/GossipQueue.h"
#include "policy/MemberDigest.h"

#include <algorithm>

namespace fulmarway {

namespace {

constexpr Duration kDeadProbeInterval = std::chrono::seconds(5);
constexpr std::size_t kAnnouncedProbesPerInterval = 5;
constexpr std::uint32_t kMaxProbesPerAnnouncedNode = 3;
/** One in this many probes carries this node's record, which keeps its ticket epoch current. */
constexpr std::uint64_t kLocalRecordOneIn = 8;
/** Time after which a process has compared its table with a peer, which it does every 2 s. */
constexpr Duration kTableCompleteAfter = std::chrono::seconds(3);

std::string
AddressOf(const MembershipState& aState, NodeId aNode)
{
  const auto member = aState.members_.find(aNode);
  return member == aState.members_.end() ? std::string{}
                                         : member->second.record_.identity_.peerAddress_;
}

const MemberRecord*
RecordToRefute(const MemberEntry& aEntry)
{
  const MemberState state = aEntry.record_.state_;
  return state == MemberState::kSuspect || state == MemberState::kDead ? &aEntry.record_ : nullptr;
}

void
SendProbe(MembershipContext& aContext, const MemberEntry& aTarget)
{
  MembershipState& state = aContext.state_;
  const std::uint64_t number = state.nextProbeNumber_++;
  const NodeIdentity& identity = aTarget.record_.identity_;
  state.pendingProbes_[number] = PendingProbe{ identity.id_, aContext.now_ };
  const MemberRecord* first = RecordToRefute(aTarget);
  if (first == nullptr && NextRandom(state) % kLocalRecordOneIn == 0) {
    first = &state.self_;
  }
  SendWithChanges(aContext, identity.peerAddress_, Probe{ number, {} }, first);
}

void
SendIndirectProbes(MembershipContext& aContext, std::uint64_t aNumber, NodeId aTarget)
{
  MembershipState& state = aContext.state_;
  std::vector<const MemberEntry*> helpers = LocalDomainPeers(state);
  std::erase_if(
    helpers, [&](const MemberEntry* aEntry) { return aEntry->record_.identity_.id_ == aTarget; });
  for (const MemberEntry* helper :
       Sample(state, std::move(helpers), state.settings_.indirectProbes_)) {
    SendMessage(aContext,
                helper->record_.identity_.peerAddress_,
                MakeMessage(state, ProbeRequest{ aNumber, aTarget }));
  }
}

void
CheckPendingProbes(MembershipContext& aContext)
{
  MembershipState& state = aContext.state_;
  for (auto next = state.pendingProbes_.begin(); next != state.pendingProbes_.end();) {
    PendingProbe& probe = next->second;
    const Duration age = aContext.now_ - probe.sentAt_;
    const auto member = state.members_.find(probe.target_);
    const bool forThisNode = probe.onBehalfOf_ == NodeId{};
    const bool contacted = member != state.members_.end() && member->second.lastContactAt_ &&
                           *member->second.lastContactAt_ >= probe.sentAt_;
    if (member == state.members_.end() || contacted || age >= state.settings_.probeInterval_) {
      if (member != state.members_.end() && forThisNode && !contacted) {
        Suspect(aContext, member->second);
      }
      next = state.pendingProbes_.erase(next);
      continue;
    }
    if (forThisNode && !probe.indirectSent_ && age >= state.settings_.probeTimeout_) {
      probe.indirectSent_ = true;
      SendIndirectProbes(aContext, next->first, probe.target_);
    }
    ++next;
  }
}

std::vector<std::string>
SeedsExceptSelf(const MembershipState& aState)
{
  std::vector<std::string> seeds = aState.seeds_;
  std::erase(seeds, aState.self_.identity_.peerAddress_);
  return seeds;
}

/** Seeds that are not the address of a member. Nodes that started with different seeds can form two
 * groups without a common member; probing these seeds merges the groups. */
std::vector<std::string>
UnknownSeeds(const MembershipState& aState)
{
  std::vector<std::string> seeds = SeedsExceptSelf(aState);
  for (const auto& [id, entry] : aState.members_) {
    std::erase(seeds, entry.record_.identity_.peerAddress_);
  }
  return seeds;
}

/** Probes one of the seeds, chosen at random. */
void
ProbeSeed(MembershipContext& aContext, const std::vector<std::string>& aSeeds)
{
  MembershipState& state = aContext.state_;
  if (!aSeeds.empty()) {
    const std::string& seed = aSeeds[NextRandom(state) % aSeeds.size()];
    SendWithChanges(aContext, seed, Probe{ state.nextProbeNumber_++, {} }, &state.self_);
  }
}

void
ProbeAnnouncedNodes(MembershipContext& aContext)
{
  MembershipState& state = aContext.state_;
  std::size_t sent = 0;
  for (auto announced = state.announcedNodes_.begin();
       announced != state.announcedNodes_.end() && sent < kAnnouncedProbesPerInterval;
       ++sent) {
    SendWithChanges(
      aContext, announced->second.address_, Probe{ state.nextProbeNumber_++, {} }, &state.self_);
    announced = ++announced->second.probesSent_ >= kMaxProbesPerAnnouncedNode
                  ? state.announcedNodes_.erase(announced)
                  : std::next(announced);
  }
}

/** Probes the next peer of the round. A round visits every peer once in random order, which bounds
 * the time until the failure of any peer is detected. */
void
ProbeNextPeer(MembershipContext& aContext)
{
  MembershipState& state = aContext.state_;
  const std::string& localDomain = state.self_.identity_.domain_;
  for (int refills = 0; refills < 2;) {
    if (state.probeOrder_.empty()) {
      ++refills;
      const std::vector<const MemberEntry*> peers = LocalDomainPeers(state);
      for (const MemberEntry* peer : Sample(state, peers, peers.size())) {
        state.probeOrder_.push_back(peer->record_.identity_.id_);
      }
      if (state.probeOrder_.empty()) {
        return;
      }
    }
    const auto peer = state.members_.find(state.probeOrder_.back());
    state.probeOrder_.pop_back();
    if (peer != state.members_.end() && MayBeRunning(peer->second.record_.state_) &&
        peer->second.record_.identity_.domain_ == localDomain) {
      SendProbe(aContext, peer->second);
      return;
    }
  }
}

bool
HasMemberOfOtherDomain(const MembershipState& aState)
{
  return std::any_of(aState.members_.begin(), aState.members_.end(), [&](const auto& aMember) {
    const MemberRecord& record = aMember.second.record_;
    return MayBeRunning(record.state_) &&
           record.identity_.domain_ != aState.self_.identity_.domain_;
  });
}

void
ProbeDeadMember(MembershipContext& aContext)
{
  MembershipState& state = aContext.state_;
  std::vector<const MemberEntry*> dead;
  for (const auto& [id, entry] : state.members_) {
    const bool localDomain = entry.record_.identity_.domain_ == state.self_.identity_.domain_;
    if (entry.record_.state_ == MemberState::kDead && (localDomain || state.delegateSince_)) {
      dead.push_back(&entry);
    }
  }
  for (const MemberEntry* entry : Sample(state, std::move(dead), 1)) {
    SendProbe(aContext, *entry);
  }
}

/** Declares all members of a domain dead that was unreachable for the retention time, so that the
 * records of a decommissioned domain expire. */
void
DeclareDomainDead(MembershipContext& aContext, const std::string& aDomain)
{
  for (auto& [id, entry] : aContext.state_.members_) {
    if (entry.record_.identity_.domain_ == aDomain && MayBeRunning(entry.record_.state_)) {
      MemberRecord dead = entry.record_;
      dead.state_ = MemberState::kDead;
      MergeRecord(aContext, dead, RecordSource::kReconciliation);
    }
  }
}

} // namespace

void
HandleProbe(MembershipContext& aContext, const GossipMessage& aMessage, const Probe& aBody)
{
  const auto sender = aContext.state_.members_.find(aMessage.sender_);
  std::optional<MemberRecord> missed;
  // An unknown sender, for example one that uses this node as a seed, gets this node's record.
  const MemberRecord* first = &aContext.state_.self_;
  if (sender != aContext.state_.members_.end()) {
    missed = RecordWithMissedDeparture(aContext, sender->second);
    first = missed ? &*missed : RecordToRefute(sender->second);
  }
  SendWithChanges(aContext,
                  aMessage.senderAddress_,
                  ProbeAck{ aBody.number_,
                            aContext.state_.self_.identity_.id_,
                            aContext.now_ >= aContext.state_.startedAt_ + kTableCompleteAfter },
                  first);
}

void
HandleProbeAck(MembershipContext& aContext, const GossipMessage& aMessage, const ProbeAck& aBody)
{
  MembershipState& state = aContext.state_;
  // A peer that has just started, too, may not have the departure yet.
  state.isKnownToPeer_ =
    state.isKnownToPeer_ || (aBody.subject_ == aMessage.sender_ && aBody.isEstablished_);
  const auto pending = state.pendingProbes_.find(aBody.number_);
  if (pending == state.pendingProbes_.end() || pending->second.target_ != aBody.subject_) {
    return;
  }
  const PendingProbe probe = pending->second;
  state.pendingProbes_.erase(pending);
  if (probe.onBehalfOf_ != NodeId{}) {
    SendMessage(aContext,
                probe.requestAddress_,
                MakeMessage(state, ProbeAck{ probe.requestNumber_, probe.target_ }));
    return;
  }
  const auto member = state.members_.find(probe.target_);
  if (member != state.members_.end()) {
    RecordContact(aContext, member->second);
  }
}

void
HandleProbeRequest(MembershipContext& aContext,
                   const GossipMessage& aMessage,
                   const ProbeRequest& aBody)
{
  MembershipState& state = aContext.state_;
  const std::string address = AddressOf(state, aBody.target_);
  if (address.empty()) {
    return;
  }
  const std::uint64_t number = state.nextProbeNumber_++;
  state.pendingProbes_[number] =
    PendingProbe{ aBody.target_,    aContext.now_, false,
                  aMessage.sender_, aBody.number_, aMessage.senderAddress_ };
  SendMessage(aContext, address, MakeMessage(state, Probe{ number, aMessage.sender_ }));
}

void
SendRecordToRefute(MembershipContext& aContext, MemberEntry& aEntry)
{
  const MemberState state = aEntry.record_.state_;
  const bool recently =
    aEntry.refutableRecordSentAt_ &&
    aContext.now_ - *aEntry.refutableRecordSentAt_ < aContext.state_.settings_.probeInterval_;
  if ((state != MemberState::kSuspect && state != MemberState::kDead) || recently) {
    return;
  }
  aEntry.refutableRecordSentAt_ = aContext.now_;
  GossipMessage message = MakeMessage(aContext.state_, MakeCarrierBody(aContext.state_));
  message.updates_.push_back(CurrentRecord(aContext.state_, aEntry, aContext.now_));
  SendMessage(aContext, aEntry.record_.identity_.peerAddress_, std::move(message));
}

void
RestartTimers(MembershipContext& aContext)
{
  MembershipState& state = aContext.state_;
  state.pendingProbes_.clear();
  for (auto& [id, entry] : state.members_) {
    if (entry.suspectedAt_) {
      entry.suspectedAt_ = aContext.now_;
    }
  }
  for (auto& [domain, reachability] : state.domains_) {
    reachability.lastContactAt_ = aContext.now_;
  }
}

void
AdvanceProbes(MembershipContext& aContext)
{
  MembershipState& state = aContext.state_;
  CheckPendingProbes(aContext);
  if (aContext.now_ >= state.nextProbeAt_) {
    state.nextProbeAt_ = aContext.now_ + state.settings_.probeInterval_;
    if (LocalDomainPeers(state).empty() || !HasMemberOfOtherDomain(state)) {
      ProbeSeed(aContext, SeedsExceptSelf(state));
    }
    ProbeNextPeer(aContext);
    ProbeAnnouncedNodes(aContext);
  }
  if (aContext.now_ >= state.nextDeadProbeAt_) {
    state.nextDeadProbeAt_ = aContext.now_ + kDeadProbeInterval;
    ProbeDeadMember(aContext);
    ProbeSeed(aContext, UnknownSeeds(state));
  }
}

void
AdvanceReachability(MembershipContext& aContext)
{
  MembershipState& state = aContext.state_;
  if (!IsDelegate(state)) {
    state.delegateSince_.reset();
    state.peersToNotify_.clear();
    return;
  }
  state.delegateSince_ = state.delegateSince_.value_or(aContext.now_);
  bool changed = false;
  for (auto& [domain, reachability] : state.domains_) {
    const MemberState current = ReachabilityOf(state, domain, aContext.now_);
    changed = changed || current != reachability.reported_;
    reachability.reported_ = current;
    if (aContext.now_ - std::max(reachability.lastContactAt_, *state.delegateSince_) >=
        state.settings_.recordRetention_) {
      DeclareDomainDead(aContext, domain);
    }
  }
  if (changed) {
    state.peersToNotify_.clear();
    std::vector<const MemberEntry*> peers = LocalDomainPeers(state);
    for (const MemberEntry* peer : Sample(state, peers, peers.size())) {
      state.peersToNotify_.push_back(peer->record_.identity_.id_);
    }
  }
  // Notifies one peer per call to stay within the budget for control traffic.
  if (!state.peersToNotify_.empty()) {
    const std::string address = AddressOf(state, state.peersToNotify_.back());
    state.peersToNotify_.pop_back();
    if (!address.empty()) {
      SendReachability(aContext, address);
    }
  }
}

} // namespace fulmarway
