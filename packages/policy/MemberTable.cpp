#include "policy/MemberTable.h"

#include "policy/BackendHeartbeats.h"
#include "policy/GossipQueue.h"
#include "policy/MovedIncarnations.h"

#include <algorithm>
#include <tuple>

namespace fulmarway {

namespace {

/** A contact with a member takes precedence over gossip about it for this long. */
constexpr Duration kContactPrecedenceTime = std::chrono::seconds(3);
/** A node that just started accepts records of members that left before its start, because tickets
 * may still name them. Later, an unknown one is a record that this node has already expired. */
constexpr Duration kStartupPeriod = std::chrono::minutes(2);

auto
RankOf(const MemberRecord& aRecord)
{
  return std::tie(aRecord.identity_.generation_,
                  aRecord.identity_.incarnation_,
                  aRecord.sequence_,
                  aRecord.state_);
}

/** Like Supersedes() of the model; between two incarnations with the same generation the higher
 * incarnation wins. */
bool
Wins(const MemberRecord& aLeft, const MemberRecord& aRight)
{
  return RankOf(aLeft) > RankOf(aRight);
}

void
RefuteLocalRecord(MembershipContext& aContext, const MemberRecord& aRecord)
{
  MemberRecord& self = aContext.state_.self_;
  const NodeIdentity& seen = aRecord.identity_;
  const bool hasDeparture = IsLaterDeparture(aRecord.departure_, self.departure_);
  if (hasDeparture) {
    // Recorded by an earlier process of this node; it must stay in the record that replaces it.
    self.departure_ = aRecord.departure_;
  }
  if (seen.incarnation_ != self.identity_.incarnation_ && !aContext.state_.isKnownToPeer_) {
    aContext.state_.nextProbeAt_ = aContext.now_; // A peer may know more than this record.
  }
  const bool otherIncarnation = seen.generation_ > self.identity_.generation_ ||
                                (seen.generation_ == self.identity_.generation_ &&
                                 seen.incarnation_ != self.identity_.incarnation_);
  if (otherIncarnation) {
    self.identity_.generation_ = seen.generation_ + 1;
    self.sequence_ = 0;
  } else if (Wins(aRecord, self)) {
    self.sequence_ = aRecord.sequence_ + 1;
  } else if (!hasDeparture) {
    return;
  } else {
    ++self.sequence_;
  }
  SpreadLocalRecord(aContext);
}

/** Evicts the oldest dead or left member if the table is full. Returns false if there is none. */
bool
MakeRoom(MembershipState& aState)
{
  if (aState.members_.size() < aState.settings_.maxMembers_) {
    return true;
  }
  auto oldest = aState.members_.end();
  for (auto entry = aState.members_.begin(); entry != aState.members_.end(); ++entry) {
    if (!MayBeRunning(entry->second.record_.state_) &&
        (oldest == aState.members_.end() || entry->second.changedAt_ < oldest->second.changedAt_)) {
      oldest = entry;
    }
  }
  if (oldest == aState.members_.end()) {
    return false;
  }
  aState.updates_.erase(oldest->first);
  aState.members_.erase(oldest);
  return true;
}

bool
AcceptsUnknown(const MembershipContext& aContext, const MemberRecord& aRecord, RecordSource aSource)
{
  switch (aRecord.state_) {
    case MemberState::kDead:
      return false;
    case MemberState::kLeft:
      return aSource == RecordSource::kRecentChange ||
             aContext.now_ - aContext.state_.startedAt_ < kStartupPeriod;
    default:
      return true;
  }
}

/** Sets the timestamps of the entry according to the new state of its record. */
void
ApplyState(MembershipContext& aContext, MemberEntry& aEntry, bool aSameIncarnation)
{
  const Instant now = aContext.now_;
  const MemberState state = aEntry.record_.state_;
  if (!aSameIncarnation) {
    aEntry.stateBeforeSuspicion_ = MemberState::kAlive;
    aEntry.suspectedAt_.reset();
    aEntry.lastContactAt_.reset();
  }
  aEntry.viewSuspectUntil_.reset();
  if (state == MemberState::kSuspect) {
    aEntry.suspectedAt_ = aEntry.suspectedAt_.value_or(now);
  } else if (state == MemberState::kDead) {
    // After a partition each side receives records that declare its members dead. The members get
    // time to refute them before this node stops using them.
    aEntry.viewSuspectUntil_ =
      aEntry.suspectedAt_.value_or(now) + aContext.state_.settings_.suspicionTimeout_;
    aEntry.suspectedAt_.reset();
  } else {
    aEntry.stateBeforeSuspicion_ = state;
    aEntry.suspectedAt_.reset();
  }
}

MemberState
ViewOf(const MembershipState& aState, const MemberEntry& aEntry, Instant aNow)
{
  const MemberState state = aEntry.record_.state_;
  if (state == MemberState::kLeft) {
    return state;
  }
  if (aEntry.lastContactAt_ && aNow - *aEntry.lastContactAt_ < kContactPrecedenceTime &&
      !aEntry.suspectedAt_) {
    return state == MemberState::kSuspect || state == MemberState::kDead
             ? aEntry.stateBeforeSuspicion_
             : state;
  }
  if (state == MemberState::kDead) {
    return aEntry.viewSuspectUntil_ && aNow < *aEntry.viewSuspectUntil_ ? MemberState::kSuspect
                                                                        : state;
  }
  const MemberState reachability = ReachabilityOf(aState, aEntry.record_.identity_.domain_, aNow);
  if (reachability == MemberState::kDead) {
    return reachability;
  }
  return reachability == MemberState::kSuspect && state == MemberState::kAlive ? reachability
                                                                               : state;
}

bool
IsUrgent(const MemberRecord& aRecord)
{
  return aRecord.state_ == MemberState::kDraining || aRecord.state_ == MemberState::kLeft;
}

/** Updates the ticket epoch and the configuration version from a record of the same incarnation
 * that does not supersede the known one. */
void
RefreshVersions(MembershipContext& aContext, MemberEntry& aEntry, const MemberRecord& aRecord)
{
  if (aRecord.identity_.incarnation_ != aEntry.record_.identity_.incarnation_) {
    return;
  }
  if (aRecord.ticketEpoch_ > CurrentRecord(aContext.state_, aEntry, aContext.now_).ticketEpoch_) {
    aEntry.record_.ticketEpoch_ = aRecord.ticketEpoch_;
    aEntry.epochAt_ = aContext.now_;
  }
  aEntry.record_.configVersion_ = std::max(aEntry.record_.configVersion_, aRecord.configVersion_);
}

/** Keeps the departure in a record of any incarnation, and sends it to the current one if that does
 * not know of it. */
void
KeepDeparture(MembershipContext& aContext, MemberEntry& aEntry, const MemberRecord& aRecord)
{
  if (IsLaterDeparture(aRecord.departure_, aEntry.latestDeparture_)) {
    aEntry.latestDeparture_ = aRecord.departure_;
  }
  auto missed = RecordWithMissedDeparture(aContext, aEntry);
  if (missed && MayBeRunning(missed->state_)) {
    GossipMessage message = MakeMessage(aContext.state_, RecordsReply{});
    const std::string address = missed->identity_.peerAddress_;
    message.updates_.push_back(std::move(*missed));
    SendMessage(aContext, address, std::move(message));
  }
}

} // namespace

std::uint64_t
NextRandom(MembershipState& aState)
{
  std::uint64_t mixed = (aState.random_ += 0x9E3779B97F4A7C15ULL);
  mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EBULL;
  return mixed ^ (mixed >> 31);
}

std::optional<MemberRecord>
RecordWithMissedDeparture(const MembershipContext& aContext, const MemberEntry& aEntry)
{
  if (!IsLaterDeparture(aEntry.latestDeparture_, aEntry.record_.departure_)) {
    return std::nullopt;
  }
  MemberRecord record = CurrentRecord(aContext.state_, aEntry, aContext.now_);
  record.departure_ = aEntry.latestDeparture_;
  return record;
}

bool
MergeRecord(MembershipContext& aContext, const MemberRecord& aRecord, RecordSource aSource)
{
  MembershipState& state = aContext.state_;
  const NodeId id = aRecord.identity_.id_;
  RecordMove(state, aRecord, aContext.now_);
  if (id == state.self_.identity_.id_) {
    RefuteLocalRecord(aContext, aRecord);
    return false;
  }
  const auto known = state.members_.find(id);
  if (known == state.members_.end()) {
    if (!AcceptsUnknown(aContext, aRecord, aSource) || !MakeRoom(state)) {
      return false;
    }
  } else if (!Wins(aRecord, known->second.record_)) {
    RefreshVersions(aContext, known->second, aRecord);
    KeepDeparture(aContext, known->second, aRecord);
    return false;
  }
  MemberEntry& entry = state.members_[id];
  const bool isNew = known == state.members_.end();
  const bool sameIncarnation =
    !isNew && entry.record_.identity_.incarnation_ == aRecord.identity_.incarnation_;
  if (!isNew && !sameIncarnation && entry.record_.state_ != MemberState::kLeft) {
    // The earlier incarnation failed, or this node missed its planned stop.
    state.movedIncarnationRequests_ = kMovedIncarnationRequests;
  }
  entry.record_ = aRecord;
  entry.changedAt_ = aContext.now_;
  entry.epochAt_ = aContext.now_;
  if (isNew) {
    RecordSuccessorIncarnation(state, aRecord.identity_);
  }
  KeepDeparture(aContext, entry, aRecord);
  ApplyState(aContext, entry, sameIncarnation);
  if (aRecord.identity_.domain_ != state.self_.identity_.domain_) {
    state.domains_.try_emplace(aRecord.identity_.domain_, DomainReachability{ aContext.now_ });
  }
  state.announcedNodes_.erase(id);
  QueueUpdate(aContext, id, aSource);
  if (!isNew && IsUrgent(aRecord)) {
    ForwardUrgentRecord(aContext, entry);
  }
  RefreshView(aContext, entry);
  return true;
}

void
RecordContact(MembershipContext& aContext, MemberEntry& aEntry)
{
  aEntry.lastContactAt_ = aContext.now_;
  aEntry.suspectedAt_.reset();
  const auto domain = aContext.state_.domains_.find(aEntry.record_.identity_.domain_);
  if (domain != aContext.state_.domains_.end()) {
    domain->second.lastContactAt_ = aContext.now_;
  }
  RefreshView(aContext, aEntry);
}

void
Suspect(MembershipContext& aContext, MemberEntry& aEntry)
{
  if (aEntry.suspectedAt_ || !MayBeRunning(aEntry.record_.state_)) {
    return;
  }
  aEntry.suspectedAt_ = aContext.now_;
  // `draining` takes precedence over `suspect`, so that a draining member stays out of use. It
  // becomes dead when the suspicion times out.
  if (aEntry.record_.state_ == MemberState::kAlive ||
      aEntry.record_.state_ == MemberState::kJoining) {
    aEntry.record_.state_ = MemberState::kSuspect;
    aEntry.changedAt_ = aContext.now_;
    QueueUpdate(aContext, aEntry.record_.identity_.id_, RecordSource::kRecentChange);
  }
  RefreshView(aContext, aEntry);
}

void
RefreshView(MembershipContext& aContext, MemberEntry& aEntry)
{
  MemberRecord view = aEntry.record_;
  view.state_ = ViewOf(aContext.state_, aEntry, aContext.now_);
  if (view == aEntry.view_) {
    return;
  }
  MemberRecord before = std::move(aEntry.view_);
  aEntry.view_ = view;
  MemberRecord sameVersions = before;
  sameVersions.ticketEpoch_ = view.ticketEpoch_;
  sameVersions.configVersion_ = view.configVersion_;
  if (sameVersions == view) {
    return;
  }
  MemberChange change{ {}, std::move(view) };
  if (before.identity_.id_ != NodeId{}) {
    change.before_.push_back(std::move(before));
  }
  aContext.output_.changes_.push_back(std::move(change));
}

void
AdvanceTable(MembershipContext& aContext)
{
  MembershipState& state = aContext.state_;
  ExpireMoves(state, aContext.now_);
  for (auto next = state.members_.begin(); next != state.members_.end();) {
    MemberEntry& entry = next->second;
    if (entry.suspectedAt_ &&
        aContext.now_ - *entry.suspectedAt_ >= state.settings_.suspicionTimeout_) {
      entry.suspectedAt_.reset();
      entry.record_.state_ = MemberState::kDead;
      entry.changedAt_ = aContext.now_;
      QueueUpdate(aContext, next->first, RecordSource::kRecentChange);
    }
    if (!MayBeRunning(entry.record_.state_) &&
        aContext.now_ - entry.changedAt_ >= state.settings_.recordRetention_) {
      state.updates_.erase(next->first);
      next = state.members_.erase(next);
      continue;
    }
    if (ViewOf(state, entry, aContext.now_) != entry.view_.state_) {
      RefreshView(aContext, entry);
    }
    ++next;
  }
}

MemberState
ReachabilityOf(const MembershipState& aState, const std::string& aDomain, Instant aNow)
{
  const auto domain = aState.domains_.find(aDomain);
  if (domain == aState.domains_.end()) {
    return MemberState::kAlive;
  }
  if (!aState.delegateSince_) {
    return domain->second.reported_;
  }
  const Duration sinceContact =
    aNow - std::max(domain->second.lastContactAt_, *aState.delegateSince_);
  const Duration timeout = aState.settings_.suspicionTimeout_;
  if (sinceContact < timeout) {
    return MemberState::kAlive;
  }
  return sinceContact < 2 * timeout ? MemberState::kSuspect : MemberState::kDead;
}

bool
MayBeRunning(MemberState aState)
{
  return aState != MemberState::kDead && aState != MemberState::kLeft;
}

MemberRecord
CurrentRecord(const MembershipState& aState, const MemberEntry& aEntry, Instant aNow)
{
  MemberRecord record = aEntry.record_;
  record.ticketEpoch_ +=
    static_cast<std::uint32_t>((aNow - aEntry.epochAt_) / aState.settings_.epochLength_);
  if (record.state_ == MemberState::kLeft) {
    // The receiver may have missed planned stops and restarts of the first successor.
    record.successor_ =
      FindTicketHolder(aState, record.identity_.id_, record.identity_.incarnation_);
  }
  return record;
}

std::vector<NodeId>
DelegatesOf(const MembershipState& aState, const std::string& aDomain)
{
  std::vector<NodeId> ids;
  for (const auto& [id, entry] : aState.members_) {
    if (ids.size() == aState.settings_.delegatesPerDomain_) {
      break;
    }
    if (entry.record_.identity_.domain_ == aDomain && MayBeRunning(entry.record_.state_)) {
      ids.push_back(id);
    }
  }
  if (aDomain == aState.self_.identity_.domain_ && MayBeRunning(aState.self_.state_)) {
    const NodeId self = aState.self_.identity_.id_;
    ids.insert(std::lower_bound(ids.begin(), ids.end(), self), self);
    ids.resize(std::min<std::size_t>(ids.size(), aState.settings_.delegatesPerDomain_));
  }
  return ids;
}

std::vector<const MemberEntry*>
LocalDomainPeers(const MembershipState& aState)
{
  std::vector<const MemberEntry*> peers;
  for (const auto& [id, entry] : aState.members_) {
    if (entry.record_.identity_.domain_ == aState.self_.identity_.domain_ &&
        MayBeRunning(entry.record_.state_)) {
      peers.push_back(&entry);
    }
  }
  return peers;
}

std::vector<const MemberEntry*>
Sample(MembershipState& aState, std::vector<const MemberEntry*> aEntries, std::size_t aCount)
{
  const std::size_t count = std::min(aCount, aEntries.size());
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t other = i + NextRandom(aState) % (aEntries.size() - i);
    std::swap(aEntries[i], aEntries[other]);
  }
  aEntries.resize(count);
  return aEntries;
}

} // namespace fulmarway
