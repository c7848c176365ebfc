#include "policy/MovedIncarnations.h"

#include <algorithm>
#include <set>

namespace fulmarway {

namespace {

/** The current incarnation of the node; zero if the node is unknown. */
Incarnation
IncarnationOf(const MembershipState& aState, NodeId aNode)
{
  if (aNode == aState.self_.identity_.id_) {
    return aState.self_.identity_.incarnation_;
  }
  const auto member = aState.members_.find(aNode);
  return member == aState.members_.end() ? Incarnation{}
                                         : member->second.record_.identity_.incarnation_;
}

void
EvictOldestMoveIfFull(MembershipState& aState)
{
  if (aState.moved_.size() < kMaxMovedIncarnations) {
    return;
  }
  aState.moved_.erase(std::min_element(
    aState.moved_.begin(), aState.moved_.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.learnedAt_ < aRight.second.learnedAt_;
    }));
}

/** Whether the node was replaced so long ago that all tickets of its earlier incarnation have
 * expired. A record does not contain the time of the handover, so the generation of the later
 * incarnation is used, which is a later wall clock time. Without this bound, a series of joining
 * nodes would propagate an entry forever, since each of them records it as new. */
bool
HaveTicketsExpired(const MembershipState& aState, const NodeIdentity& aLater, Instant aNow)
{
  const auto uptimeMs =
    std::chrono::duration_cast<std::chrono::milliseconds>(aNow - aState.startedAt_).count();
  const auto retentionMs =
    std::chrono::duration_cast<std::chrono::milliseconds>(aState.settings_.recordRetention_)
      .count();
  const std::uint64_t wallTimeMs =
    aState.self_.identity_.generation_ + static_cast<std::uint64_t>(uptimeMs);
  return wallTimeMs > aLater.generation_ + static_cast<std::uint64_t>(retentionMs);
}

} // namespace

void
RecordMove(MembershipState& aState, const MemberRecord& aLeft, Instant aNow)
{
  const NodeIdentity& identity = aLeft.identity_;
  if (aLeft.state_ != MemberState::kLeft || aLeft.successor_ == NodeId{} ||
      identity.incarnation_ == aState.self_.identity_.incarnation_) {
    return;
  }
  const auto existing = aState.moved_.find(identity.incarnation_);
  if (existing != aState.moved_.end()) {
    if (existing->second.leftRecord_.successor_ == aLeft.successor_ ||
        FindTicketHolder(aState, identity.id_, identity.incarnation_) != NodeId{}) {
      return;
    }
  } else {
    EvictOldestMoveIfFull(aState);
  }
  aState.moved_[identity.incarnation_] = { aLeft, IncarnationOf(aState, aLeft.successor_), aNow };
}

void
RecordSuccessorIncarnation(MembershipState& aState, const NodeIdentity& aSuccessor)
{
  for (auto& [incarnation, move] : aState.moved_) {
    if (move.leftRecord_.successor_ == aSuccessor.id_ &&
        move.successorIncarnation_ == Incarnation{}) {
      move.successorIncarnation_ = aSuccessor.incarnation_;
    }
  }
}

void
ExpireMoves(MembershipState& aState, Instant aNow)
{
  std::erase_if(aState.moved_, [&](const auto& aMove) {
    return aNow - aMove.second.learnedAt_ >= aState.settings_.recordRetention_;
  });
}

std::vector<MemberRecord>
MovedMemberRecords(const MembershipState& aState, Instant aNow)
{
  std::vector<MemberRecord> records;
  for (const auto& [incarnation, move] : aState.moved_) {
    const auto member = aState.members_.find(move.leftRecord_.identity_.id_);
    const NodeIdentity* later =
      member == aState.members_.end() ? &aState.self_.identity_ : &member->second.record_.identity_;
    const bool isReplaced =
      later->id_ == move.leftRecord_.identity_.id_ && later->incarnation_ != incarnation;
    const NodeId holder = FindTicketHolder(aState, move.leftRecord_.identity_.id_, incarnation);
    if (isReplaced && holder != NodeId{} && !HaveTicketsExpired(aState, *later, aNow)) {
      records.push_back(move.leftRecord_);
      records.back().successor_ = holder;
    }
  }
  return records;
}

NodeId
FindTicketHolder(const MembershipState& aState, NodeId aNode, Incarnation aIncarnation)
{
  const NodeIdentity& self = aState.self_.identity_;
  std::set<Incarnation> visited;
  NodeId node = aNode;
  Incarnation incarnation = aIncarnation;
  while (visited.insert(incarnation).second) {
    const bool isSelf = incarnation == self.incarnation_;
    const auto member = aState.members_.find(node);
    const bool isCurrent = isSelf || (member != aState.members_.end() &&
                                      member->second.record_.identity_.incarnation_ == incarnation);
    const MemberState state =
      isSelf || !isCurrent ? aState.self_.state_ : member->second.record_.state_;
    if (isCurrent && state != MemberState::kLeft) {
      return node;
    }
    const auto move = aState.moved_.find(incarnation);
    if (isSelf) {
      node = aState.self_.successor_;
      incarnation = Incarnation{};
    } else if (move != aState.moved_.end()) {
      node = move->second.leftRecord_.successor_;
      incarnation = move->second.successorIncarnation_;
    } else {
      return NodeId{};
    }
    incarnation = incarnation == Incarnation{} ? IncarnationOf(aState, node) : incarnation;
  }
  return NodeId{};
}

} // namespace fulmarway
