/** \file
 * Guards against a table of moved incarnations that grows without bound, keeps entries longer than
 * the lifetime of a ticket, or names a node that does not hold the tickets.
 */
#include "policy/MovedIncarnations.h"

#include <criterion/criterion.h>

using namespace fulmarway;

namespace {

constexpr Instant kStart{ std::chrono::hours(1) };
constexpr std::uint64_t kStartMs = 3'600'000;

MemberRecord
RecordOf(std::uint64_t aNode,
         std::uint64_t aIncarnation,
         MemberState aState,
         std::uint64_t aSuccessor = 0,
         std::uint64_t aGeneration = kStartMs)
{
  MemberRecord record;
  record.identity_.id_ = NodeId{ aNode };
  record.identity_.incarnation_ = Incarnation{ aNode, aIncarnation };
  record.identity_.generation_ = aGeneration + aIncarnation;
  record.state_ = aState;
  record.successor_ = NodeId{ aSuccessor };
  return record;
}

MembershipState
StateOfNode(std::uint64_t aNode)
{
  return MakeMembership({}, RecordOf(aNode, 1, MemberState::kAlive).identity_, {}, kStart);
}

void
ReceiveRecord(MembershipState& aState, const MemberRecord& aRecord, Instant aNow = kStart)
{
  GossipMessage message;
  message.sender_ = NodeId{ 99 };
  message.body_ = ProbeAck{};
  message.updates_ = { aRecord };
  aState = HandleGossip(std::move(aState), message, 0, aNow).state_;
}

/** Node 1 stopped with node 2 as the successor and has restarted. */
MembershipState
StateAfterRestart()
{
  MembershipState state = StateOfNode(9);
  ReceiveRecord(state, RecordOf(2, 1, MemberState::kAlive));
  ReceiveRecord(state, RecordOf(1, 1, MemberState::kAlive));
  ReceiveRecord(state, RecordOf(1, 1, MemberState::kLeft, 2));
  ReceiveRecord(state, RecordOf(1, 2, MemberState::kAlive));
  return state;
}

} // namespace

Test(moved_incarnations, follows_the_incarnation_that_accepted_the_tickets)
{
  MembershipState state = StateAfterRestart();
  cr_assert(FindTicketHolder(state, NodeId{ 1 }, { 1, 1 }) == NodeId{ 2 });
  ReceiveRecord(state, RecordOf(2, 1, MemberState::kLeft, 1));
  ReceiveRecord(state, RecordOf(2, 2, MemberState::kAlive));
  cr_assert(FindTicketHolder(state, NodeId{ 1 }, { 1, 1 }) == NodeId{ 1 });
}

Test(moved_incarnations, successor_lost_without_a_planned_stop)
{
  MembershipState state = StateAfterRestart();
  ReceiveRecord(state, RecordOf(2, 2, MemberState::kAlive));
  cr_assert(FindTicketHolder(state, NodeId{ 1 }, { 1, 1 }) == NodeId{});
}

Test(moved_incarnations, oldest_is_dropped_at_the_bound)
{
  MembershipState state = StateOfNode(9);
  for (std::uint64_t incarnation = 1; incarnation <= kMaxMovedIncarnations + 1; ++incarnation) {
    RecordMove(state,
               RecordOf(1, incarnation, MemberState::kLeft, 2),
               kStart + std::chrono::milliseconds(incarnation));
  }
  cr_assert_eq(state.moved_.size(), kMaxMovedIncarnations);
  cr_assert(!state.moved_.contains({ 1, 1 }));
  cr_assert(state.moved_.contains({ 1, kMaxMovedIncarnations + 1 }));
}

Test(moved_incarnations, dropped_when_all_tickets_have_expired)
{
  MembershipState state = StateAfterRestart();
  const Instant expiry = kStart + state.settings_.recordRetention_;
  state = AdvanceMembership(std::move(state), 0, expiry - std::chrono::seconds(1)).state_;
  cr_assert(state.moved_.contains({ 1, 1 }));
  state = AdvanceMembership(std::move(state), 0, expiry).state_;
  cr_assert(!state.moved_.contains({ 1, 1 }));
}

Test(moved_incarnations, offered_with_the_present_holder)
{
  MembershipState state = StateAfterRestart();
  ReceiveRecord(state, RecordOf(3, 1, MemberState::kAlive));
  ReceiveRecord(state, RecordOf(2, 1, MemberState::kLeft, 3));
  ReceiveRecord(state, RecordOf(2, 2, MemberState::kAlive));
  for (const MemberRecord& offered : MovedMemberRecords(state, kStart)) {
    cr_assert(offered.successor_ == NodeId{ 3 });
  }
  cr_assert_eq(MovedMemberRecords(state, kStart).size(), 2U);
}

Test(moved_incarnations, not_offered_when_replaced_long_ago)
{
  MembershipState state = StateAfterRestart();
  const Duration retention = state.settings_.recordRetention_;
  cr_assert_eq(MovedMemberRecords(state, kStart + retention - std::chrono::seconds(1)).size(), 1U);
  cr_assert(MovedMemberRecords(state, kStart + retention + std::chrono::seconds(1)).empty());
}
