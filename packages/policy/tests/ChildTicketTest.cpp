/** \file
 * Guards against a retried downstream call that gets a second ticket and so may be executed
 * twice.
 */
#include "policy/TicketTable.h"

#include <criterion/criterion.h>

using namespace fulmarway;

namespace {

const Ticket kParent{ NodeId{ 1 }, { 1, 1 }, 1, { 2, 2 }, { 3, 3 } };

Ticket
Child(std::uint64_t aNumber)
{
  return { NodeId{ 9 }, { 9, 9 }, 4, { 5, aNumber }, { 6, aNumber } };
}

std::optional<Ticket>
Propose(TicketTable& aTable, std::uint32_t aCallIndex, const Ticket& aProposed)
{
  auto step = FindOrInsertChildTicket(std::move(aTable), { kParent, aCallIndex, aProposed });
  aTable = std::move(step.state_);
  return step.result_;
}

TicketTable
RunningParent()
{
  TicketTable table = MakeTicketTable({}, NodeId{ 1 }, { 1, 1 }, Instant{});
  table = PresentTicket(std::move(table), kParent, 7, RequestId{ 1 }, Instant{}).state_;
  cr_assert(Propose(table, 0, Child(1)) == std::nullopt, "the parent is not started yet");
  return StartTicket(std::move(table), kParent).state_;
}

} // namespace

Test(child_ticket, a_retried_call_keeps_its_first_ticket)
{
  TicketTable table = RunningParent();
  cr_assert(Propose(table, 0, Child(1)) == Child(1));
  cr_assert(Propose(table, 0, Child(2)) == Child(1));
  cr_assert(Propose(table, 1, Child(3)) == Child(3));
}

Test(child_ticket, only_the_refused_ticket_is_released)
{
  TicketTable table = RunningParent();
  Propose(table, 0, Child(1));
  table = ReleaseChildTicket(std::move(table), kParent, 0, Child(1));
  cr_assert(Propose(table, 0, Child(2)) == Child(2));
  table = ReleaseChildTicket(std::move(table), kParent, 0, Child(1));
  cr_assert(Propose(table, 0, Child(3)) == Child(2), "a duplicate refusal released the new ticket");
}

Test(child_ticket, records_are_bounded_and_end_with_the_parent)
{
  TicketTable table = RunningParent();
  for (std::uint32_t index = 0; index < kMaxChildTicketsPerParent; ++index) {
    cr_assert(Propose(table, index, Child(index)).has_value());
  }
  cr_assert_not(Propose(table, kMaxChildTicketsPerParent, Child(1)).has_value());
  table = CompleteTicket(std::move(table), kParent, Answer{}).state_;
  cr_assert_not(Propose(table, 0, Child(0)).has_value());
}
