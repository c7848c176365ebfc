#include "policy/MemberTable.h"

#include "policy/GossipQueue.h"
#include "policy/MovedIncarnations.h"

#include <algorithm>
#include <tuple>

namespace fulmarway {

namespace {

/** A contact with a member takes precedence over gossip about it for this long. */
constexpr Duration kLifeSignTime = std::chrono::seconds(3);
/** A node that just started accepts records of members that left before its start, because tickets
 * may still name them. Later, an unknown one is a record that this node has already expired. */
constexpr Duration kStartTime = std::chrono::minutes(2);

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
AnswerOwnRecord(MembershipTurn& aTurn, const MemberRecord& aRecord)
{
  MemberRecord& self = aTurn.state_.self_;
  const NodeIdentity& seen = aRecord.identity_;
  const bool otherRun = seen.generation_ > self.identity_.generation_ ||
                        (seen.generation_ == self.identity_.generation_ &&
                         seen.incarnation_ != self.identity_.incarnation_);
  if (otherRun) {
    self.identity_.generation_ = seen.generation_ + 1;
    self.sequence_ = 0;
  } else if (Wins(aRecord, self)) {
    self.sequence_ = aRecord.sequence_ + 1;
  } else {
    return;
  }
  SpreadOwnRecord(aTurn);
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
    if (!MayRun(entry->second.record_.state_) &&
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
AcceptsUnknown(const MembershipTurn& aTurn, const MemberRecord& aRecord, RecordSource aSource)
{
  switch (aRecord.state_) {
    case MemberState::kDead:
      return false;
    case MemberState::kLeft:
      return aSource == RecordSource::kChange || aTurn.now_ - aTurn.state_.startedAt_ < kStartTime;
    default:
      return true;
  }
}

/** Sets the timestamps of the entry according to the new state of its record. */
void
ApplyState(MembershipTurn& aTurn, MemberEntry& aEntry, bool aSameRun)
{
  const Instant now = aTurn.now_;
  const MemberState state = aEntry.record_.state_;
  if (!aSameRun) {
    aEntry.unsuspected_ = MemberState::kAlive;
    aEntry.suspectedAt_.reset();
    aEntry.heardAt_.reset();
  }
  aEntry.shownSuspectUntil_.reset();
  if (state == MemberState::kSuspect) {
    aEntry.suspectedAt_ = aEntry.suspectedAt_.value_or(now);
  } else if (state == MemberState::kDead) {
    // After a partition each side receives records that declare its members dead. The members get
    // time to refute them before this node stops using them.
    aEntry.shownSuspectUntil_ =
      aEntry.suspectedAt_.value_or(now) + aTurn.state_.settings_.suspicionTimeout_;
    aEntry.suspectedAt_.reset();
  } else {
    aEntry.unsuspected_ = state;
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
  if (aEntry.heardAt_ && aNow - *aEntry.heardAt_ < kLifeSignTime && !aEntry.suspectedAt_) {
    return state == MemberState::kSuspect || state == MemberState::kDead ? aEntry.unsuspected_
                                                                         : state;
  }
  if (state == MemberState::kDead) {
    return aEntry.shownSuspectUntil_ && aNow < *aEntry.shownSuspectUntil_ ? MemberState::kSuspect
                                                                          : state;
  }
  const MemberState reach = ReachOf(aState, aEntry.record_.identity_.domain_, aNow);
  if (reach == MemberState::kDead) {
    return reach;
  }
  return reach == MemberState::kSuspect && state == MemberState::kAlive ? reach : state;
}

bool
IsUrgent(const MemberRecord& aRecord)
{
  return aRecord.state_ == MemberState::kDraining || aRecord.state_ == MemberState::kLeft;
}

/** Updates the ticket epoch and the configuration version from a record of the same incarnation
 * that does not supersede the known one. */
void
RefreshVersions(MembershipTurn& aTurn, MemberEntry& aEntry, const MemberRecord& aRecord)
{
  if (aRecord.identity_.incarnation_ != aEntry.record_.identity_.incarnation_) {
    return;
  }
  if (aRecord.ticketEpoch_ > CurrentRecord(aTurn.state_, aEntry, aTurn.now_).ticketEpoch_) {
    aEntry.record_.ticketEpoch_ = aRecord.ticketEpoch_;
    aEntry.epochAt_ = aTurn.now_;
  }
  aEntry.record_.configVersion_ = std::max(aEntry.record_.configVersion_, aRecord.configVersion_);
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

bool
MergeRecord(MembershipTurn& aTurn, const MemberRecord& aRecord, RecordSource aSource)
{
  MembershipState& state = aTurn.state_;
  const NodeId id = aRecord.identity_.id_;
  NoteMove(state, aRecord, aTurn.now_);
  if (id == state.self_.identity_.id_) {
    AnswerOwnRecord(aTurn, aRecord);
    return false;
  }
  const auto known = state.members_.find(id);
  if (known == state.members_.end()) {
    if (!AcceptsUnknown(aTurn, aRecord, aSource) || !MakeRoom(state)) {
      return false;
    }
  } else if (!Wins(aRecord, known->second.record_)) {
    RefreshVersions(aTurn, known->second, aRecord);
    return false;
  }
  MemberEntry& entry = state.members_[id];
  const bool isNew = known == state.members_.end();
  const bool sameRun =
    !isNew && entry.record_.identity_.incarnation_ == aRecord.identity_.incarnation_;
  if (!isNew && !sameRun && entry.record_.state_ != MemberState::kLeft) {
    // The earlier incarnation failed, or this node missed its planned stop.
    state.moveRequests_ = kMoveRequests;
  }
  entry.record_ = aRecord;
  entry.changedAt_ = aTurn.now_;
  entry.epochAt_ = aTurn.now_;
  if (isNew) {
    NoteSuccessorRun(state, aRecord.identity_);
  }
  ApplyState(aTurn, entry, sameRun);
  if (aRecord.identity_.domain_ != state.self_.identity_.domain_) {
    state.domains_.try_emplace(aRecord.identity_.domain_, DomainReach{ aTurn.now_ });
  }
  state.hints_.erase(id);
  QueueUpdate(aTurn, id, aSource);
  if (!isNew && IsUrgent(aRecord)) {
    ForwardUrgent(aTurn, entry);
  }
  RefreshView(aTurn, entry);
  return true;
}

void
NoteLifeSign(MembershipTurn& aTurn, MemberEntry& aEntry)
{
  aEntry.heardAt_ = aTurn.now_;
  aEntry.suspectedAt_.reset();
  const auto domain = aTurn.state_.domains_.find(aEntry.record_.identity_.domain_);
  if (domain != aTurn.state_.domains_.end()) {
    domain->second.heardAt_ = aTurn.now_;
  }
  RefreshView(aTurn, aEntry);
}

void
Suspect(MembershipTurn& aTurn, MemberEntry& aEntry)
{
  if (aEntry.suspectedAt_ || !MayRun(aEntry.record_.state_)) {
    return;
  }
  aEntry.suspectedAt_ = aTurn.now_;
  // `draining` takes precedence over `suspect`, so that a draining member stays out of use. It
  // becomes dead when the suspicion times out.
  if (aEntry.record_.state_ == MemberState::kAlive ||
      aEntry.record_.state_ == MemberState::kJoining) {
    aEntry.record_.state_ = MemberState::kSuspect;
    aEntry.changedAt_ = aTurn.now_;
    QueueUpdate(aTurn, aEntry.record_.identity_.id_, RecordSource::kChange);
  }
  RefreshView(aTurn, aEntry);
}

void
RefreshView(MembershipTurn& aTurn, MemberEntry& aEntry)
{
  MemberRecord view = aEntry.record_;
  view.state_ = ViewOf(aTurn.state_, aEntry, aTurn.now_);
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
  aTurn.output_.changes_.push_back(std::move(change));
}

void
AdvanceTable(MembershipTurn& aTurn)
{
  MembershipState& state = aTurn.state_;
  DropOldMoves(state, aTurn.now_);
  for (auto next = state.members_.begin(); next != state.members_.end();) {
    MemberEntry& entry = next->second;
    if (entry.suspectedAt_ &&
        aTurn.now_ - *entry.suspectedAt_ >= state.settings_.suspicionTimeout_) {
      entry.suspectedAt_.reset();
      entry.record_.state_ = MemberState::kDead;
      entry.changedAt_ = aTurn.now_;
      QueueUpdate(aTurn, next->first, RecordSource::kChange);
    }
    if (!MayRun(entry.record_.state_) &&
        aTurn.now_ - entry.changedAt_ >= state.settings_.forgetAfter_) {
      state.updates_.erase(next->first);
      next = state.members_.erase(next);
      continue;
    }
    if (ViewOf(state, entry, aTurn.now_) != entry.view_.state_) {
      RefreshView(aTurn, entry);
    }
    ++next;
  }
}

MemberState
ReachOf(const MembershipState& aState, const std::string& aDomain, Instant aNow)
{
  const auto domain = aState.domains_.find(aDomain);
  if (domain == aState.domains_.end()) {
    return MemberState::kAlive;
  }
  if (!aState.delegateSince_) {
    return domain->second.reported_;
  }
  const Duration silent = aNow - std::max(domain->second.heardAt_, *aState.delegateSince_);
  const Duration timeout = aState.settings_.suspicionTimeout_;
  if (silent < timeout) {
    return MemberState::kAlive;
  }
  return silent < 2 * timeout ? MemberState::kSuspect : MemberState::kDead;
}

bool
MayRun(MemberState aState)
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
    record.successor_ = FindHolder(aState, record.identity_.id_, record.identity_.incarnation_);
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
    if (entry.record_.identity_.domain_ == aDomain && MayRun(entry.record_.state_)) {
      ids.push_back(id);
    }
  }
  if (aDomain == aState.self_.identity_.domain_ && MayRun(aState.self_.state_)) {
    const NodeId self = aState.self_.identity_.id_;
    ids.insert(std::lower_bound(ids.begin(), ids.end(), self), self);
    ids.resize(std::min<std::size_t>(ids.size(), aState.settings_.delegatesPerDomain_));
  }
  return ids;
}

std::vector<const MemberEntry*>
OwnDomainPeers(const MembershipState& aState)
{
  std::vector<const MemberEntry*> peers;
  for (const auto& [id, entry] : aState.members_) {
    if (entry.record_.identity_.domain_ == aState.self_.identity_.domain_ &&
        MayRun(entry.record_.state_)) {
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
