#include "policy/Membership.h"

#include "policy/FailureDetector.h"
#include "policy/GossipQueue.h"
#include "policy/MemberDigest.h"

#include <algorithm>
#include <set>
#include <utility>

namespace fulmarway {

namespace {

/** A longer gap between two calls of AdvanceMembership() means that the process was paused. */
constexpr Duration kPause = std::chrono::seconds(1);
/** Interval at which a delegate compares its table with each other domain, see section 10. */
constexpr Duration kDelegateDigestInterval = std::chrono::seconds(1);
constexpr Duration kDigestInterval = std::chrono::seconds(2);
/** Interval to the next digest after reconciliation delivered new records. */
constexpr Duration kDigestIntervalWithNews = std::chrono::milliseconds(500);
/** One in this many digests inside the domain goes to a delegate, which also reports the
 * reachability of the other domains. */
constexpr std::uint64_t kDelegateOneIn = 8;
/** Without contact to a domain for this long, digests go to any of its members instead of its
 * delegates. */
constexpr Duration kDelegatesSilent = std::chrono::seconds(2);
/** Less often than the other periodic work, because visiting all members is most of the cost of a
 * call at 890 nodes. */
constexpr Duration kTableInterval = std::chrono::milliseconds(500);
constexpr Duration kOwnStateRepeat = std::chrono::milliseconds(400);
constexpr std::uint32_t kOwnStateRepeats = 2;
constexpr std::size_t kMaxHints = 1024;

template<typename Act>
Step<MembershipState, GossipOutput>
RunTurn(MembershipState aState, std::uint64_t aEntropy, Instant aNow, Act aAct)
{
  GossipOutput output;
  aState.random_ ^= aEntropy;
  MembershipTurn turn{ aState, output, aNow };
  aAct(turn);
  return { std::move(aState), std::move(output) };
}

struct BodyHandler
{
  MembershipTurn& turn_;
  const GossipMessage& message_;

  void operator()(const Probe& aBody) const { HandleProbe(turn_, message_, aBody); }
  void operator()(const ProbeAck& aBody) const { HandleProbeAck(turn_, message_, aBody); }
  void operator()(const ProbeRequest& aBody) const { HandleProbeRequest(turn_, message_, aBody); }
  void operator()(const DigestExchange& aBody) const { HandleDigests(turn_, message_, aBody); }
  void operator()(const SummaryExchange& aBody) const { HandleSummaries(turn_, message_, aBody); }
  void operator()(const RecordsRequest& aBody) const
  {
    HandleRecordsRequest(turn_, message_, aBody);
  }
  void operator()(const RecordsReply&) const {}
};

/** Records a contact with the sender if its record is of the same incarnation; otherwise requests
 * its record. */
void
NoteSender(MembershipTurn& aTurn, const GossipMessage& aMessage)
{
  const auto sender = aTurn.state_.members_.find(aMessage.sender_);
  const bool known = sender != aTurn.state_.members_.end();
  if (known && sender->second.record_.identity_.incarnation_ == aMessage.incarnation_) {
    NoteLifeSign(aTurn, sender->second);
    if (!std::holds_alternative<Probe>(aMessage.body_)) {
      RemindOfRecord(aTurn, sender->second);
    }
    return;
  }
  GossipMessage request = MakeMessage(aTurn.state_, RecordsRequest{ { aMessage.sender_ } });
  if (known) {
    // With this record the sender raises a generation that does not exceed that of its earlier
    // incarnation.
    request.updates_.push_back(CurrentRecord(aTurn.state_, sender->second, aTurn.now_));
  }
  SendMessage(aTurn, aMessage.senderAddress_, std::move(request));
}

/** Requests moved incarnations. On the wire this is a request for the record of the requesting node
 * itself, see HandleRecordsRequest(). */
void
AskForMoves(MembershipTurn& aTurn, const std::string& aAddress)
{
  MembershipState& state = aTurn.state_;
  if (state.moveRequests_ > 0) {
    --state.moveRequests_;
    SendMessage(
      aTurn, aAddress, MakeMessage(state, RecordsRequest{ { state.self_.identity_.id_ } }));
  }
}

void
DigestToOtherDomains(MembershipTurn& aTurn)
{
  MembershipState& state = aTurn.state_;
  for (const auto& [domain, reach] : state.domains_) {
    // Requests for moved incarnations accompany digests, so the digest is not skipped while any of
    // them is pending.
    if (state.moveRequests_ == 0 && HasAgreed(aTurn, reach, kDelegateDigestInterval)) {
      continue;
    }
    std::vector<NodeId> targets = DelegatesOf(state, domain);
    if (targets.empty() || aTurn.now_ - reach.heardAt_ > kDelegatesSilent) {
      targets.clear();
      for (const auto& [id, entry] : state.members_) {
        if (entry.record_.identity_.domain_ == domain &&
            entry.record_.state_ != MemberState::kLeft) {
          targets.push_back(id);
        }
      }
    }
    if (!targets.empty()) {
      const NodeId target = targets[NextRandom(state) % targets.size()];
      const std::string& address = state.members_.at(target).record_.identity_.peerAddress_;
      SendDigest(aTurn, address);
      AskForMoves(aTurn, address);
    }
  }
}

void
DigestInsideDomain(MembershipTurn& aTurn)
{
  MembershipState& state = aTurn.state_;
  std::vector<const MemberEntry*> peers = OwnDomainPeers(state);
  if (NextRandom(state) % kDelegateOneIn == 0) {
    std::vector<const MemberEntry*> delegates;
    for (const NodeId id : DelegatesOf(state, state.self_.identity_.domain_)) {
      if (id != state.self_.identity_.id_) {
        delegates.push_back(&state.members_.at(id));
      }
    }
    peers = delegates.empty() ? std::move(peers) : std::move(delegates);
  }
  for (const MemberEntry* peer : Sample(state, std::move(peers), 1)) {
    SendDigest(aTurn, peer->record_.identity_.peerAddress_);
    AskForMoves(aTurn, peer->record_.identity_.peerAddress_);
  }
}

/** Removes domains without any record, so that the table of domains stays small. */
void
DropEmptyDomains(MembershipState& aState)
{
  std::set<std::string> used;
  for (const auto& [id, entry] : aState.members_) {
    used.insert(entry.record_.identity_.domain_);
  }
  std::erase_if(aState.domains_,
                [&](const auto& aDomain) { return !used.contains(aDomain.first); });
}

void
AdvanceDigests(MembershipTurn& aTurn)
{
  MembershipState& state = aTurn.state_;
  if (aTurn.now_ >= state.nextDigestAt_) {
    state.nextDigestAt_ = aTurn.now_ + kDigestInterval;
    DropEmptyDomains(state);
    DigestInsideDomain(aTurn);
  }
  if (state.delegateSince_ && aTurn.now_ >= state.nextDelegateDigestAt_) {
    state.nextDelegateDigestAt_ = aTurn.now_ + kDelegateDigestInterval;
    DigestToOtherDomains(aTurn);
  }
}

void
RepeatOwnState(MembershipTurn& aTurn)
{
  MembershipState& state = aTurn.state_;
  if (!state.repeatOwnStateAt_ || aTurn.now_ < *state.repeatOwnStateAt_) {
    return;
  }
  SpreadOwnRecordWidely(aTurn);
  state.repeatOwnStateAt_.reset();
  if (--state.ownStateRepeats_ > 0) {
    state.repeatOwnStateAt_ = aTurn.now_ + kOwnStateRepeat;
  }
}

} // namespace

MembershipState
MakeMembership(const MembershipSettings& aSettings,
               const NodeIdentity& aSelf,
               std::vector<std::string> aSeeds,
               Instant aNow)
{
  MembershipState state;
  state.settings_ = aSettings;
  state.self_.identity_ = aSelf;
  state.seeds_ = std::move(aSeeds);
  state.random_ = aSelf.id_.value_;
  state.startedAt_ = aNow;
  state.advancedAt_ = aNow;
  state.nextProbeAt_ = aNow;
  state.nextDigestAt_ = aNow;
  state.nextDelegateDigestAt_ = aNow;
  state.nextTableAt_ = aNow;
  state.nextDeadProbeAt_ = aNow;
  FillAllowances(state, aNow);
  return state;
}

Step<MembershipState, GossipOutput>
HandleGossip(MembershipState aState,
             const GossipMessage& aMessage,
             std::uint64_t aEntropy,
             Instant aNow)
{
  return RunTurn(std::move(aState), aEntropy, aNow, [&](MembershipTurn& aTurn) {
    if (aMessage.sender_ == aTurn.state_.self_.identity_.id_) {
      return;
    }
    const RecordSource source = std::holds_alternative<RecordsReply>(aMessage.body_)
                                  ? RecordSource::kTable
                                  : RecordSource::kChange;
    bool news = false;
    for (const MemberRecord& record : aMessage.updates_) {
      news = MergeRecord(aTurn, record, source) || news;
    }
    if (news && source == RecordSource::kTable) {
      aTurn.state_.nextDigestAt_ =
        std::min(aTurn.state_.nextDigestAt_, aNow + kDigestIntervalWithNews);
    }
    NoteSender(aTurn, aMessage);
    std::visit(BodyHandler{ aTurn, aMessage }, aMessage.body_);
  });
}

Step<MembershipState, GossipOutput>
LearnMember(MembershipState aState, const MemberRecord& aRecord, Instant aNow)
{
  return RunTurn(std::move(aState), 0, aNow, [&](MembershipTurn& aTurn) {
    MembershipState& state = aTurn.state_;
    const NodeId id = aRecord.identity_.id_;
    if (id == state.self_.identity_.id_ || state.members_.contains(id)) {
      MergeRecord(aTurn, aRecord, RecordSource::kChange);
    } else if (state.hints_.size() < kMaxHints) {
      state.hints_[id] = MemberHint{ aRecord.identity_.peerAddress_ };
    }
  });
}

Step<MembershipState, GossipOutput>
NoteAlive(MembershipState aState, NodeId aNode, Instant aNow)
{
  return RunTurn(std::move(aState), 0, aNow, [&](MembershipTurn& aTurn) {
    const auto member = aTurn.state_.members_.find(aNode);
    if (member != aTurn.state_.members_.end()) {
      NoteLifeSign(aTurn, member->second);
      RemindOfRecord(aTurn, member->second);
    }
  });
}

Step<MembershipState, GossipOutput>
AdvanceMembership(MembershipState aState, std::uint64_t aEntropy, Instant aNow)
{
  return RunTurn(std::move(aState), aEntropy, aNow, [&](MembershipTurn& aTurn) {
    MembershipState& state = aTurn.state_;
    if (aNow - state.advancedAt_ > kPause) {
      RestartTimers(aTurn);
    }
    state.advancedAt_ = aNow;
    AdvanceProbes(aTurn);
    AdvanceReach(aTurn);
    if (aNow >= state.nextTableAt_) {
      state.nextTableAt_ = aNow + kTableInterval;
      AdvanceTable(aTurn);
    }
    AdvanceDigests(aTurn);
    RepeatOwnState(aTurn);
  });
}

Step<MembershipState, GossipOutput>
SetOwnState(MembershipState aState,
            MemberState aOwn,
            NodeId aSuccessor,
            std::uint64_t aEntropy,
            Instant aNow)
{
  return RunTurn(std::move(aState), aEntropy, aNow, [&](MembershipTurn& aTurn) {
    MembershipState& state = aTurn.state_;
    if (state.self_.state_ == aOwn && state.self_.successor_ == aSuccessor) {
      return;
    }
    state.self_.state_ = aOwn;
    state.self_.successor_ = aSuccessor;
    ++state.self_.sequence_;
    if (aOwn == MemberState::kDraining || aOwn == MemberState::kLeft) {
      SpreadOwnRecordWidely(aTurn);
      state.repeatOwnStateAt_ = aNow + kOwnStateRepeat;
      state.ownStateRepeats_ = kOwnStateRepeats;
    } else {
      SpreadOwnRecord(aTurn);
    }
  });
}

Step<MembershipState, GossipOutput>
SetOwnVersions(MembershipState aState,
               std::uint64_t aConfigVersion,
               std::uint32_t aTicketEpoch,
               std::uint64_t aEntropy,
               Instant aNow)
{
  return RunTurn(std::move(aState), aEntropy, aNow, [&](MembershipTurn& aTurn) {
    MemberRecord& self = aTurn.state_.self_;
    const bool higher = aConfigVersion > self.configVersion_;
    self.configVersion_ = std::max(self.configVersion_, aConfigVersion);
    self.ticketEpoch_ = std::max(self.ticketEpoch_, aTicketEpoch);
    if (higher) {
      SpreadOwnRecord(aTurn);
    }
  });
}

std::vector<MemberRecord>
Members(const MembershipState& aState)
{
  std::vector<MemberRecord> records;
  records.reserve(aState.members_.size());
  for (const auto& [id, entry] : aState.members_) {
    records.push_back(entry.view_);
  }
  return records;
}

const MemberRecord*
FindMember(const MembershipState& aState, NodeId aNode)
{
  const auto member = aState.members_.find(aNode);
  return member == aState.members_.end() ? nullptr : &member->second.view_;
}

std::uint32_t
EstimatedEpoch(const MembershipState& aState, NodeId aNode, Duration aEpochLength, Instant aNow)
{
  if (aNode == aState.self_.identity_.id_) {
    return aState.self_.ticketEpoch_;
  }
  const auto member = aState.members_.find(aNode);
  if (member == aState.members_.end()) {
    return 0;
  }
  const Duration since = aNow - member->second.epochAt_;
  return member->second.record_.ticketEpoch_ + static_cast<std::uint32_t>(since / aEpochLength);
}

NodeId
ResolveSuccessor(const MembershipState& aState, NodeId aNode)
{
  if (aNode == aState.self_.identity_.id_) {
    return FindHolder(aState, aNode, aState.self_.identity_.incarnation_);
  }
  const MemberRecord* record = FindMember(aState, aNode);
  return record == nullptr ? NodeId{} : FindHolder(aState, aNode, record->identity_.incarnation_);
}

bool
IsDelegate(const MembershipState& aState)
{
  const std::vector<NodeId> delegates = DelegatesOf(aState, aState.self_.identity_.domain_);
  return std::find(delegates.begin(), delegates.end(), aState.self_.identity_.id_) !=
         delegates.end();
}

} // namespace fulmarway
