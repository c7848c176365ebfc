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
constexpr Duration kMaxAdvanceGap = std::chrono::seconds(1);
/** Interval at which a delegate compares its table with each other domain, see docs/design.md,
 * section 10. */
constexpr Duration kDelegateDigestInterval = std::chrono::seconds(1);
constexpr Duration kDigestInterval = std::chrono::seconds(2);
/** Interval to the next digest after reconciliation delivered new records. */
constexpr Duration kDigestIntervalAfterChanges = std::chrono::milliseconds(500);
/** One in this many digests inside the domain goes to a delegate, which also reports the
 * reachability of the other domains. */
constexpr std::uint64_t kDelegateOneIn = 8;
/** Without contact to a domain for this long, digests go to any of its members instead of its
 * delegates. */
constexpr Duration kMaxDelegateSilence = std::chrono::seconds(2);
/** Less often than the other periodic work, because visiting all members is most of the cost of a
 * call at 890 nodes. */
constexpr Duration kTableInterval = std::chrono::milliseconds(500);
constexpr Duration kLocalStateResendInterval = std::chrono::milliseconds(400);
constexpr std::uint32_t kLocalStateResends = 2;
constexpr std::size_t kMaxAnnouncedNodes = 1024;

template<typename Act>
Step<MembershipState, GossipOutput>
ApplyEvent(MembershipState aState, std::uint64_t aEntropy, Instant aNow, Act aAct)
{
  GossipOutput output;
  aState.random_ ^= aEntropy;
  MembershipContext context{ aState, output, aNow };
  aAct(context);
  return { std::move(aState), std::move(output) };
}

struct BodyHandler
{
  MembershipContext& context_;
  const GossipMessage& message_;

  void operator()(const Probe& aBody) const { HandleProbe(context_, message_, aBody); }
  void operator()(const ProbeAck& aBody) const { HandleProbeAck(context_, message_, aBody); }
  void operator()(const ProbeRequest& aBody) const
  {
    HandleProbeRequest(context_, message_, aBody);
  }
  void operator()(const DigestExchange& aBody) const { HandleDigests(context_, message_, aBody); }
  void operator()(const SummaryExchange& aBody) const
  {
    HandleSummaries(context_, message_, aBody);
  }
  void operator()(const RecordsRequest& aBody) const
  {
    HandleRecordsRequest(context_, message_, aBody);
  }
  void operator()(const RecordsReply&) const {}
  // Quotas of accounts are handled by policy/AccountQuotas.
  void operator()(const QuotaHandover&) const {}
  void operator()(const QuotaRequest&) const {}
  void operator()(const QuotaGrant&) const {}
};

/** Records a contact with the sender if its record is of the same incarnation; otherwise requests
 * its record. */
void
RecordSenderContact(MembershipContext& aContext, const GossipMessage& aMessage)
{
  const auto sender = aContext.state_.members_.find(aMessage.sender_);
  const bool known = sender != aContext.state_.members_.end();
  if (known && sender->second.record_.identity_.incarnation_ == aMessage.incarnation_) {
    RecordContact(aContext, sender->second);
    if (!std::holds_alternative<Probe>(aMessage.body_)) {
      SendRecordToRefute(aContext, sender->second);
    }
    return;
  }
  GossipMessage request = MakeMessage(aContext.state_, RecordsRequest{ { aMessage.sender_ } });
  if (known) {
    // With this record the sender raises a generation that does not exceed that of its earlier
    // incarnation.
    request.updates_.push_back(CurrentRecord(aContext.state_, sender->second, aContext.now_));
  }
  SendMessage(aContext, aMessage.senderAddress_, std::move(request));
}

/** Requests moved incarnations. On the wire this is a request for the record of the requesting node
 * itself, see HandleRecordsRequest(). */
void
RequestMovedIncarnations(MembershipContext& aContext, const std::string& aAddress)
{
  MembershipState& state = aContext.state_;
  if (state.movedIncarnationRequests_ > 0) {
    --state.movedIncarnationRequests_;
    SendMessage(
      aContext, aAddress, MakeMessage(state, RecordsRequest{ { state.self_.identity_.id_ } }));
  }
}

void
DigestToOtherDomains(MembershipContext& aContext)
{
  MembershipState& state = aContext.state_;
  for (const auto& [domain, reachability] : state.domains_) {
    // Requests for moved incarnations accompany digests, so the digest is not skipped while any of
    // them is pending.
    if (state.movedIncarnationRequests_ == 0 &&
        HasAgreed(aContext, reachability, kDelegateDigestInterval)) {
      continue;
    }
    std::vector<NodeId> targets = DelegatesOf(state, domain);
    if (targets.empty() || aContext.now_ - reachability.lastContactAt_ > kMaxDelegateSilence) {
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
      SendDigest(aContext, address);
      RequestMovedIncarnations(aContext, address);
    }
  }
}

void
DigestInsideDomain(MembershipContext& aContext)
{
  MembershipState& state = aContext.state_;
  std::vector<const MemberEntry*> peers = LocalDomainPeers(state);
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
    SendDigest(aContext, peer->record_.identity_.peerAddress_);
    RequestMovedIncarnations(aContext, peer->record_.identity_.peerAddress_);
  }
}

/** Removes domains without any record, so that the table of domains stays small. */
void
RemoveEmptyDomains(MembershipState& aState)
{
  std::set<std::string> used;
  for (const auto& [id, entry] : aState.members_) {
    used.insert(entry.record_.identity_.domain_);
  }
  std::erase_if(aState.domains_,
                [&](const auto& aDomain) { return !used.contains(aDomain.first); });
}

void
AdvanceDigests(MembershipContext& aContext)
{
  MembershipState& state = aContext.state_;
  if (aContext.now_ >= state.nextDigestAt_) {
    state.nextDigestAt_ = aContext.now_ + kDigestInterval;
    RemoveEmptyDomains(state);
    DigestInsideDomain(aContext);
  }
  if (state.delegateSince_ && aContext.now_ >= state.nextDelegateDigestAt_) {
    state.nextDelegateDigestAt_ = aContext.now_ + kDelegateDigestInterval;
    DigestToOtherDomains(aContext);
  }
}

/** Spreads a change that all nodes need soon, and schedules its repetition. */
void
SpreadUrgentLocalRecord(MembershipContext& aContext)
{
  SpreadLocalRecordWidely(aContext);
  aContext.state_.resendLocalStateAt_ = aContext.now_ + kLocalStateResendInterval;
  aContext.state_.localStateResendsLeft_ = kLocalStateResends;
}

void
ResendLocalState(MembershipContext& aContext)
{
  MembershipState& state = aContext.state_;
  if (!state.resendLocalStateAt_ || aContext.now_ < *state.resendLocalStateAt_) {
    return;
  }
  SpreadLocalRecordWidely(aContext);
  state.resendLocalStateAt_.reset();
  if (--state.localStateResendsLeft_ > 0) {
    state.resendLocalStateAt_ = aContext.now_ + kLocalStateResendInterval;
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
  state.lastAdvanceAt_ = aNow;
  state.nextProbeAt_ = aNow;
  state.nextDigestAt_ = aNow;
  state.nextDelegateDigestAt_ = aNow;
  state.nextTableAt_ = aNow;
  state.nextDeadProbeAt_ = aNow;
  ResetAllowances(state, aNow);
  return state;
}

Step<MembershipState, GossipOutput>
HandleGossip(MembershipState aState,
             const GossipMessage& aMessage,
             std::uint64_t aEntropy,
             Instant aNow)
{
  return ApplyEvent(std::move(aState), aEntropy, aNow, [&](MembershipContext& aContext) {
    if (aMessage.sender_ == aContext.state_.self_.identity_.id_) {
      return;
    }
    const RecordSource source = std::holds_alternative<RecordsReply>(aMessage.body_)
                                  ? RecordSource::kReconciliation
                                  : RecordSource::kRecentChange;
    bool changed = false;
    for (const MemberRecord& record : aMessage.updates_) {
      changed = MergeRecord(aContext, record, source) || changed;
    }
    if (changed && source == RecordSource::kReconciliation) {
      aContext.state_.nextDigestAt_ =
        std::min(aContext.state_.nextDigestAt_, aNow + kDigestIntervalAfterChanges);
    }
    RecordSenderContact(aContext, aMessage);
    std::visit(BodyHandler{ aContext, aMessage }, aMessage.body_);
  });
}

Step<MembershipState, GossipOutput>
HandleAnnouncement(MembershipState aState, const MemberRecord& aRecord, Instant aNow)
{
  return ApplyEvent(std::move(aState), 0, aNow, [&](MembershipContext& aContext) {
    MembershipState& state = aContext.state_;
    const NodeId id = aRecord.identity_.id_;
    if (id == state.self_.identity_.id_ || state.members_.contains(id)) {
      MergeRecord(aContext, aRecord, RecordSource::kRecentChange);
    } else if (state.announcedNodes_.size() < kMaxAnnouncedNodes) {
      state.announcedNodes_[id] = AnnouncedNode{ aRecord.identity_.peerAddress_ };
      if (!state.isKnownToPeer_) {
        state.nextProbeAt_ = aNow; // The node may wait for the answer before it serves.
      }
    }
  });
}

Step<MembershipState, GossipOutput>
RecordDataPathContact(MembershipState aState, NodeId aNode, Instant aNow)
{
  return ApplyEvent(std::move(aState), 0, aNow, [&](MembershipContext& aContext) {
    const auto member = aContext.state_.members_.find(aNode);
    if (member != aContext.state_.members_.end()) {
      RecordContact(aContext, member->second);
      SendRecordToRefute(aContext, member->second);
    }
  });
}

Step<MembershipState, GossipOutput>
AdvanceMembership(MembershipState aState, std::uint64_t aEntropy, Instant aNow)
{
  return ApplyEvent(std::move(aState), aEntropy, aNow, [&](MembershipContext& aContext) {
    MembershipState& state = aContext.state_;
    if (aNow - state.lastAdvanceAt_ > kMaxAdvanceGap) {
      RestartTimers(aContext);
    }
    state.lastAdvanceAt_ = aNow;
    AdvanceProbes(aContext);
    AdvanceReachability(aContext);
    if (aNow >= state.nextTableAt_) {
      state.nextTableAt_ = aNow + kTableInterval;
      AdvanceTable(aContext);
    }
    AdvanceDigests(aContext);
    ResendLocalState(aContext);
  });
}

Step<MembershipState, GossipOutput>
SetLocalState(MembershipState aState,
              MemberState aNewState,
              NodeId aSuccessor,
              std::uint64_t aEntropy,
              Instant aNow)
{
  return ApplyEvent(std::move(aState), aEntropy, aNow, [&](MembershipContext& aContext) {
    MembershipState& state = aContext.state_;
    if (state.self_.state_ == aNewState && state.self_.successor_ == aSuccessor) {
      return;
    }
    state.self_.state_ = aNewState;
    state.self_.successor_ = aSuccessor;
    ++state.self_.sequence_;
    if (aNewState == MemberState::kDraining || aNewState == MemberState::kLeft) {
      SpreadUrgentLocalRecord(aContext);
    } else {
      SpreadLocalRecord(aContext);
    }
  });
}

Step<MembershipState, GossipOutput>
SetLocalDeparture(MembershipState aState,
                  const BackendDeparture& aDeparture,
                  std::uint64_t aEntropy,
                  Instant aNow)
{
  return ApplyEvent(std::move(aState), aEntropy, aNow, [&](MembershipContext& aContext) {
    MembershipState& state = aContext.state_;
    state.self_.departure_ = aDeparture;
    ++state.self_.sequence_;
    SpreadUrgentLocalRecord(aContext);
  });
}

Step<MembershipState, GossipOutput>
SetLocalVersions(MembershipState aState,
                 std::uint64_t aConfigVersion,
                 std::uint32_t aTicketEpoch,
                 std::uint64_t aEntropy,
                 Instant aNow)
{
  return ApplyEvent(std::move(aState), aEntropy, aNow, [&](MembershipContext& aContext) {
    MemberRecord& self = aContext.state_.self_;
    const bool higher = aConfigVersion > self.configVersion_;
    self.configVersion_ = std::max(self.configVersion_, aConfigVersion);
    self.ticketEpoch_ = std::max(self.ticketEpoch_, aTicketEpoch);
    if (higher) {
      SpreadLocalRecord(aContext);
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
EstimateTicketEpoch(const MembershipState& aState,
                    NodeId aNode,
                    Duration aEpochLength,
                    Instant aNow)
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
    return FindTicketHolder(aState, aNode, aState.self_.identity_.incarnation_);
  }
  const MemberRecord* record = FindMember(aState, aNode);
  return record == nullptr ? NodeId{}
                           : FindTicketHolder(aState, aNode, record->identity_.incarnation_);
}

bool
IsDelegate(const MembershipState& aState)
{
  const std::vector<NodeId> delegates = DelegatesOf(aState, aState.self_.identity_.domain_);
  return std::find(delegates.begin(), delegates.end(), aState.self_.identity_.id_) !=
         delegates.end();
}

} // namespace fulmarway
