#include "policy/FailureDetector.h"

#include "policy/GossipQueue.h"
#include "policy/MemberDigest.h"

#include <algorithm>

namespace fulmarway {

namespace {

constexpr Duration kDeadProbeInterval = std::chrono::seconds(5);
constexpr std::size_t kHintProbes = 5;
constexpr std::uint32_t kMaxHintProbes = 3;
/** One in this many probes carries this node's record, which keeps its ticket epoch current. */
constexpr std::uint64_t kOwnRecordOneIn = 8;

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
SendProbe(MembershipTurn& aTurn, const MemberEntry& aTarget)
{
  MembershipState& state = aTurn.state_;
  const std::uint64_t number = state.nextNumber_++;
  const NodeIdentity& identity = aTarget.record_.identity_;
  state.probes_[number] = PendingProbe{ identity.id_, aTurn.now_ };
  const MemberRecord* first = RecordToRefute(aTarget);
  if (first == nullptr && NextRandom(state) % kOwnRecordOneIn == 0) {
    first = &state.self_;
  }
  SendWithChanges(aTurn, identity.peerAddress_, Probe{ number, {} }, first);
}

void
SendIndirectProbes(MembershipTurn& aTurn, std::uint64_t aNumber, NodeId aTarget)
{
  MembershipState& state = aTurn.state_;
  std::vector<const MemberEntry*> helpers = OwnDomainPeers(state);
  std::erase_if(
    helpers, [&](const MemberEntry* aEntry) { return aEntry->record_.identity_.id_ == aTarget; });
  for (const MemberEntry* helper :
       Sample(state, std::move(helpers), state.settings_.indirectProbes_)) {
    SendMessage(aTurn,
                helper->record_.identity_.peerAddress_,
                MakeMessage(state, ProbeRequest{ aNumber, aTarget }));
  }
}

void
CheckPendingProbes(MembershipTurn& aTurn)
{
  MembershipState& state = aTurn.state_;
  for (auto next = state.probes_.begin(); next != state.probes_.end();) {
    PendingProbe& probe = next->second;
    const Duration age = aTurn.now_ - probe.sentAt_;
    const auto member = state.members_.find(probe.target_);
    const bool own = probe.onBehalfOf_ == NodeId{};
    const bool heard = member != state.members_.end() && member->second.heardAt_ &&
                       *member->second.heardAt_ >= probe.sentAt_;
    if (member == state.members_.end() || heard || age >= state.settings_.probeInterval_) {
      if (member != state.members_.end() && own && !heard) {
        Suspect(aTurn, member->second);
      }
      next = state.probes_.erase(next);
      continue;
    }
    if (own && !probe.indirectSent_ && age >= state.settings_.probeTimeout_) {
      probe.indirectSent_ = true;
      SendIndirectProbes(aTurn, next->first, probe.target_);
    }
    ++next;
  }
}

std::vector<std::string>
SeedsButSelf(const MembershipState& aState)
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
  std::vector<std::string> seeds = SeedsButSelf(aState);
  for (const auto& [id, entry] : aState.members_) {
    std::erase(seeds, entry.record_.identity_.peerAddress_);
  }
  return seeds;
}

/** Probes one of the seeds, chosen at random. */
void
ProbeSeed(MembershipTurn& aTurn, const std::vector<std::string>& aSeeds)
{
  MembershipState& state = aTurn.state_;
  if (!aSeeds.empty()) {
    const std::string& seed = aSeeds[NextRandom(state) % aSeeds.size()];
    SendWithChanges(aTurn, seed, Probe{ state.nextNumber_++, {} }, &state.self_);
  }
}

void
ProbeHints(MembershipTurn& aTurn)
{
  MembershipState& state = aTurn.state_;
  std::size_t sent = 0;
  for (auto hint = state.hints_.begin(); hint != state.hints_.end() && sent < kHintProbes; ++sent) {
    SendWithChanges(aTurn, hint->second.address_, Probe{ state.nextNumber_++, {} }, &state.self_);
    hint = ++hint->second.probes_ >= kMaxHintProbes ? state.hints_.erase(hint) : std::next(hint);
  }
}

/** Probes the next peer of the round. A round visits every peer once in random order, which bounds
 * the time until the failure of any peer is detected. */
void
ProbeNextPeer(MembershipTurn& aTurn)
{
  MembershipState& state = aTurn.state_;
  const std::string& ownDomain = state.self_.identity_.domain_;
  for (int refills = 0; refills < 2;) {
    if (state.probeOrder_.empty()) {
      ++refills;
      const std::vector<const MemberEntry*> peers = OwnDomainPeers(state);
      for (const MemberEntry* peer : Sample(state, peers, peers.size())) {
        state.probeOrder_.push_back(peer->record_.identity_.id_);
      }
      if (state.probeOrder_.empty()) {
        return;
      }
    }
    const auto peer = state.members_.find(state.probeOrder_.back());
    state.probeOrder_.pop_back();
    if (peer != state.members_.end() && MayRun(peer->second.record_.state_) &&
        peer->second.record_.identity_.domain_ == ownDomain) {
      SendProbe(aTurn, peer->second);
      return;
    }
  }
}

bool
KnowsOtherDomain(const MembershipState& aState)
{
  return std::any_of(aState.members_.begin(), aState.members_.end(), [&](const auto& aMember) {
    const MemberRecord& record = aMember.second.record_;
    return MayRun(record.state_) && record.identity_.domain_ != aState.self_.identity_.domain_;
  });
}

void
ProbeDeadMember(MembershipTurn& aTurn)
{
  MembershipState& state = aTurn.state_;
  std::vector<const MemberEntry*> dead;
  for (const auto& [id, entry] : state.members_) {
    const bool ownDomain = entry.record_.identity_.domain_ == state.self_.identity_.domain_;
    if (entry.record_.state_ == MemberState::kDead && (ownDomain || state.delegateSince_)) {
      dead.push_back(&entry);
    }
  }
  for (const MemberEntry* entry : Sample(state, std::move(dead), 1)) {
    SendProbe(aTurn, *entry);
  }
}

/** Declares all members of a domain dead that was unreachable for the retention time, so that the
 * records of a decommissioned domain expire. */
void
GiveUpLostDomain(MembershipTurn& aTurn, const std::string& aDomain)
{
  for (auto& [id, entry] : aTurn.state_.members_) {
    if (entry.record_.identity_.domain_ == aDomain && MayRun(entry.record_.state_)) {
      MemberRecord dead = entry.record_;
      dead.state_ = MemberState::kDead;
      MergeRecord(aTurn, dead, RecordSource::kTable);
    }
  }
}

} // namespace

void
HandleProbe(MembershipTurn& aTurn, const GossipMessage& aMessage, const Probe& aBody)
{
  const auto sender = aTurn.state_.members_.find(aMessage.sender_);
  // An unknown sender, for example one that uses this node as a seed, gets this node's record.
  const MemberRecord* first =
    sender == aTurn.state_.members_.end() ? &aTurn.state_.self_ : RecordToRefute(sender->second);
  SendWithChanges(aTurn,
                  aMessage.senderAddress_,
                  ProbeAck{ aBody.number_, aTurn.state_.self_.identity_.id_ },
                  first);
}

void
HandleProbeAck(MembershipTurn& aTurn, const GossipMessage&, const ProbeAck& aBody)
{
  MembershipState& state = aTurn.state_;
  const auto pending = state.probes_.find(aBody.number_);
  if (pending == state.probes_.end() || pending->second.target_ != aBody.subject_) {
    return;
  }
  const PendingProbe probe = pending->second;
  state.probes_.erase(pending);
  if (probe.onBehalfOf_ != NodeId{}) {
    SendMessage(aTurn,
                probe.requestAddress_,
                MakeMessage(state, ProbeAck{ probe.requestNumber_, probe.target_ }));
    return;
  }
  const auto member = state.members_.find(probe.target_);
  if (member != state.members_.end()) {
    NoteLifeSign(aTurn, member->second);
  }
}

void
HandleProbeRequest(MembershipTurn& aTurn, const GossipMessage& aMessage, const ProbeRequest& aBody)
{
  MembershipState& state = aTurn.state_;
  const std::string address = AddressOf(state, aBody.target_);
  if (address.empty()) {
    return;
  }
  const std::uint64_t number = state.nextNumber_++;
  state.probes_[number] = PendingProbe{ aBody.target_,    aTurn.now_,    false,
                                        aMessage.sender_, aBody.number_, aMessage.senderAddress_ };
  SendMessage(aTurn, address, MakeMessage(state, Probe{ number, aMessage.sender_ }));
}

void
RemindOfRecord(MembershipTurn& aTurn, MemberEntry& aEntry)
{
  const MemberState state = aEntry.record_.state_;
  const bool recently =
    aEntry.remindedAt_ && aTurn.now_ - *aEntry.remindedAt_ < aTurn.state_.settings_.probeInterval_;
  if ((state != MemberState::kSuspect && state != MemberState::kDead) || recently) {
    return;
  }
  aEntry.remindedAt_ = aTurn.now_;
  GossipMessage message = MakeMessage(aTurn.state_, CarrierOf(aTurn.state_));
  message.updates_.push_back(CurrentRecord(aTurn.state_, aEntry, aTurn.now_));
  SendMessage(aTurn, aEntry.record_.identity_.peerAddress_, std::move(message));
}

void
RestartTimers(MembershipTurn& aTurn)
{
  MembershipState& state = aTurn.state_;
  state.probes_.clear();
  for (auto& [id, entry] : state.members_) {
    if (entry.suspectedAt_) {
      entry.suspectedAt_ = aTurn.now_;
    }
  }
  for (auto& [domain, reach] : state.domains_) {
    reach.heardAt_ = aTurn.now_;
  }
}

void
AdvanceProbes(MembershipTurn& aTurn)
{
  MembershipState& state = aTurn.state_;
  CheckPendingProbes(aTurn);
  if (aTurn.now_ >= state.nextProbeAt_) {
    state.nextProbeAt_ = aTurn.now_ + state.settings_.probeInterval_;
    if (OwnDomainPeers(state).empty() || !KnowsOtherDomain(state)) {
      ProbeSeed(aTurn, SeedsButSelf(state));
    }
    ProbeNextPeer(aTurn);
    ProbeHints(aTurn);
  }
  if (aTurn.now_ >= state.nextDeadProbeAt_) {
    state.nextDeadProbeAt_ = aTurn.now_ + kDeadProbeInterval;
    ProbeDeadMember(aTurn);
    ProbeSeed(aTurn, UnknownSeeds(state));
  }
}

void
AdvanceReach(MembershipTurn& aTurn)
{
  MembershipState& state = aTurn.state_;
  if (!IsDelegate(state)) {
    state.delegateSince_.reset();
    state.reachNotices_.clear();
    return;
  }
  state.delegateSince_ = state.delegateSince_.value_or(aTurn.now_);
  bool changed = false;
  for (auto& [domain, reach] : state.domains_) {
    const MemberState now = ReachOf(state, domain, aTurn.now_);
    changed = changed || now != reach.reported_;
    reach.reported_ = now;
    if (aTurn.now_ - std::max(reach.heardAt_, *state.delegateSince_) >=
        state.settings_.forgetAfter_) {
      GiveUpLostDomain(aTurn, domain);
    }
  }
  if (changed) {
    state.reachNotices_.clear();
    std::vector<const MemberEntry*> peers = OwnDomainPeers(state);
    for (const MemberEntry* peer : Sample(state, peers, peers.size())) {
      state.reachNotices_.push_back(peer->record_.identity_.id_);
    }
  }
  // Notifies one peer per call to stay within the budget for control traffic.
  if (!state.reachNotices_.empty()) {
    const std::string address = AddressOf(state, state.reachNotices_.back());
    state.reachNotices_.pop_back();
    if (!address.empty()) {
      SendReach(aTurn, address);
    }
  }
}

} // namespace fulmarway
