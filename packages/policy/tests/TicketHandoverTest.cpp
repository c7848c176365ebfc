/** \file
 * Guards against a planned stop that loses the outcomes of tickets, or gives two processes the
 * right to execute the same ticket.
 */
#include "policy/TicketTable.h"

#include <criterion/criterion.h>

using namespace fulmarway;

namespace {

using std::chrono::seconds;

constexpr NodeId kOldNode{ 1 };
constexpr NodeId kNewNode{ 2 };
constexpr Incarnation kOldIncarnation{ 1, 1 };
constexpr Incarnation kNewIncarnation{ 2, 2 };
constexpr Incarnation kOtherIncarnation{ 3, 3 };
/** Stop time of the old node and start time of the new one. The old node has been up for ten
 * epochs. */
constexpr Instant kStopTime{ seconds(10 * 30 + 5) };
constexpr std::uint32_t kStopEpoch = 11;

const TicketSettings kSettings{ seconds(30), 4, 6, 4000, 1000, 300 };

Ticket
TicketOfOld(std::uint64_t aNumber, std::uint32_t aEpoch = kStopEpoch)
{
  return { kOldNode, kOldIncarnation, aEpoch, { 5, aNumber }, { 6, aNumber } };
}

TicketDecision
Present(TicketTable& aTable, const Ticket& aTicket, Instant aNow)
{
  auto step = PresentTicket(std::move(aTable), aTicket, 7, RequestId{ 1 }, aNow);
  aTable = std::move(step.state_);
  return step.result_;
}

/** A table with one ticket of each fate: answered, closed, abandoned, and answered with a body that
 * is too large for the cache. */
TicketTable
OldTable()
{
  TicketTable table = MakeTicketTable(kSettings, kOldNode, kOldIncarnation, Instant{});
  for (std::uint64_t number = 1; number <= 4; ++number) {
    Present(table, TicketOfOld(number), kStopTime);
    if (number != 2) {
      table = StartTicket(std::move(table), TicketOfOld(number)).state_;
    }
  }
  table = CompleteTicket(std::move(table), TicketOfOld(1), { 201, "a/b", "body" }).state_;
  table = CloseTicket(std::move(table), TicketOfOld(2), Reason::kDeadline).state_;
  table = AbandonTicket(std::move(table), TicketOfOld(3), Reason::kBackendLost).state_;
  const Answer large{ 200, "", std::string(1001, 'x') };
  return CompleteTicket(std::move(table), TicketOfOld(4), large).state_;
}

Refusal
Refused(Verdict aVerdict, Reason aReason)
{
  return { aVerdict, aReason, std::nullopt };
}

TicketTable
NewTable(Incarnation aIncarnation = kNewIncarnation)
{
  return MakeTicketTable(kSettings, kNewNode, aIncarnation, kStopTime);
}

std::vector<Handover>
Begin(TicketTable& aTable, NodeId aSuccessor, Incarnation aIncarnation, Instant aNow = kStopTime)
{
  auto step = BeginHandover(std::move(aTable), aSuccessor, aIncarnation, aNow);
  aTable = std::move(step.state_);
  return step.result_;
}

std::optional<bool>
Accept(TicketTable& aTable, const Handover& aPart, Instant aNow = kStopTime)
{
  auto step = ReceiveHandoverPart(std::move(aTable), aPart, aNow);
  aTable = std::move(step.state_);
  return step.result_;
}

std::vector<Handover>
PartsOfOld()
{
  TicketTable table = OldTable();
  return Begin(table, kNewNode, kNewIncarnation);
}

} // namespace

Test(ticket_handover, the_successor_replays_runs_and_refuses)
{
  TicketTable table = NewTable();
  std::optional<bool> accepted;
  for (const Handover& part : PartsOfOld()) {
    cr_assert(accepted != true);
    cr_assert(Present(table, TicketOfOld(9), kStopTime).refusal_.reason_ ==
              Reason::kTicketOfLostExecutor);
    accepted = Accept(table, part);
  }
  cr_assert(accepted == true);
  const Answer answer{ 201, "a/b", "body" };
  cr_assert(Present(table, TicketOfOld(1), kStopTime).answer_ == answer);
  cr_assert(Present(table, TicketOfOld(2), kStopTime).refusal_ ==
            Refused(Verdict::kNotRun, Reason::kDeadline));
  cr_assert(Present(table, TicketOfOld(3), kStopTime).refusal_ ==
            Refused(Verdict::kMayHaveRun, Reason::kBackendLost));
  cr_assert(Present(table, TicketOfOld(4), kStopTime).refusal_ ==
            Refused(Verdict::kRan, Reason::kAnswerNotKept));
  cr_assert(Present(table, TicketOfOld(9), kStopTime).action_ == TicketAction::kExecute);
}

Test(ticket_handover, a_second_call_returns_the_same_parts)
{
  TicketTable table = OldTable();
  const auto parts = Begin(table, kNewNode, kNewIncarnation);
  cr_assert_gt(parts.size(), 1);
  const Instant later = kStopTime + seconds(3000);
  table = AdvanceTickets(std::move(table), later);
  cr_assert(Begin(table, kNewNode, kNewIncarnation, later) == parts);
  cr_assert(Begin(table, kNewNode, kOtherIncarnation, later).empty(),
            "another incarnation of the successor");
  cr_assert(Begin(table, NodeId{ 3 }, kNewIncarnation, later).empty(), "another successor");
  cr_assert(SuccessorOf(table) == kNewNode);
}

Test(ticket_handover, unfinished_tickets_and_invalid_successors_prevent_it)
{
  TicketTable table = OldTable();
  cr_assert(Begin(table, NodeId{}, kNewIncarnation).empty());
  cr_assert(Begin(table, kOldNode, kNewIncarnation).empty());
  Present(table, TicketOfOld(5), kStopTime);
  cr_assert(Begin(table, kNewNode, kNewIncarnation).empty());
  cr_assert(StartTicket(std::move(table), TicketOfOld(5)).result_);
}

/** The successor's previous incarnation may have accepted the handover and executed tickets. */
Test(ticket_handover, a_restarted_successor_refuses)
{
  TicketTable table = NewTable(kOtherIncarnation);
  for (const Handover& part : PartsOfOld()) {
    cr_assert(Accept(table, part) == std::nullopt);
  }
}

Test(ticket_handover, the_epoch_clock_of_the_old_node_goes_on)
{
  TicketTable table = NewTable();
  for (const Handover& part : PartsOfOld()) {
    Accept(table, part);
  }
  cr_assert_eq(CurrentEpoch(table, kStopTime), 1);
  cr_assert(Present(table, TicketOfOld(9, kStopEpoch - 5), kStopTime).refusal_.reason_ ==
            Reason::kTicketExpired);
  const Instant later = kStopTime + seconds(30 * 5);
  cr_assert(Present(table, TicketOfOld(1), later - seconds(1)).action_ == TicketAction::kReplay);
  table = AdvanceTickets(std::move(table), later);
  cr_assert(Present(table, TicketOfOld(1), later).refusal_.reason_ == Reason::kTicketExpired);
  cr_assert(Present(table, TicketOfOld(9, kStopEpoch + 5), later).action_ ==
            TicketAction::kExecute);
}

Test(ticket_handover, a_part_received_after_expiry_restores_nothing)
{
  const auto parts = PartsOfOld();
  TicketTable table = NewTable();
  for (const Handover& part : parts) {
    Accept(table, part);
  }
  const Instant later = kStopTime + seconds(30 * 7);
  table = AdvanceTickets(std::move(table), later);
  cr_assert_eq(table.executors_.size(), 1, "the expired table of the old node was not removed");
  for (const Handover& part : parts) {
    cr_assert(Accept(table, part, later) == true);
  }
  cr_assert(Present(table, TicketOfOld(1), later).refusal_.reason_ ==
            Reason::kTicketOfLostExecutor);
}

Test(ticket_handover, accepted_tickets_are_handed_over_again)
{
  TicketTable second = NewTable();
  for (const Handover& part : PartsOfOld()) {
    Accept(second, part);
  }
  TicketTable third = MakeTicketTable(kSettings, NodeId{ 3 }, kOtherIncarnation, kStopTime);
  const Instant later = kStopTime + seconds(30);
  for (const Handover& part : Begin(second, NodeId{ 3 }, kOtherIncarnation, later)) {
    Accept(third, part, later);
  }
  cr_assert_eq(third.executors_.size(), 3);
  cr_assert(Present(third, TicketOfOld(1), later).action_ == TicketAction::kReplay);
  cr_assert(Present(third, TicketOfOld(9, kStopEpoch + 2), later).action_ ==
            TicketAction::kExecute);
  cr_assert(Present(third, TicketOfOld(8, kStopEpoch + 3), later).refusal_.reason_ ==
            Reason::kTicketInvalid);
}

Test(ticket_handover, a_node_that_handed_over_accepts_nothing_new)
{
  const auto parts = PartsOfOld();
  TicketTable fresh = NewTable();
  Begin(fresh, NodeId{ 3 }, kOtherIncarnation);
  cr_assert(Accept(fresh, parts.front()) == std::nullopt);
  TicketTable accepted = NewTable();
  for (const Handover& part : parts) {
    Accept(accepted, part);
  }
  Begin(accepted, NodeId{ 3 }, kOtherIncarnation);
  cr_assert(Accept(accepted, parts.front()) == true, "a duplicate part must be acknowledged again");
}

Test(ticket_handover, tables_beyond_the_bounds_are_refused_whole)
{
  TicketTable table = NewTable();
  for (std::uint64_t number = 1; number <= 3; ++number) {
    Present(table, { kNewNode, kNewIncarnation, 1, { 1, number }, { 1, number } }, kStopTime);
  }
  const auto parts = PartsOfOld();
  for (const Handover& part : parts) {
    cr_assert(Accept(table, part) != true);
  }
  cr_assert_eq(TicketCount(table), 3);
  cr_assert(table.received_ == ReceivedHandovers{});
  Handover wrong = parts.front();
  wrong.partCount_ = 1;
  wrong.tables_ = { { kNewNode, kNewIncarnation, 1, {}, {} } };
  cr_assert(Accept(table, wrong) == std::nullopt, "a table of the receiver itself");
  wrong = parts.front();
  wrong.partCount_ = kMaxHandoverParts + 1;
  cr_assert(Accept(table, wrong) == std::nullopt);
  wrong = parts.front();
  wrong.part_ = wrong.partCount_;
  cr_assert(Accept(table, wrong) == std::nullopt);
}

Test(ticket_handover, an_incomplete_handover_is_dropped)
{
  TicketTable table = NewTable();
  cr_assert(Accept(table, PartsOfOld().front()) == false);
  table = AdvanceTickets(std::move(table), kStopTime + kIncompleteHandoverTimeout + seconds(1));
  cr_assert(table.received_.incomplete_.empty());
}

/** Tickets refused by a full table have no entry, but the refusals must stay valid after a
 * handover. */
Test(ticket_handover, refusals_by_a_full_table_are_handed_over)
{
  TicketTable old = OldTable();
  Present(old, TicketOfOld(5), kStopTime);
  Present(old, TicketOfOld(6), kStopTime);
  for (const std::uint64_t number : { 5, 6 }) {
    old = CloseTicket(std::move(old), TicketOfOld(number), Reason::kDeadline).state_;
  }
  const Refusal full = Refused(Verdict::kNotRun, Reason::kTicketTableFull);
  cr_assert(Present(old, TicketOfOld(7, kStopEpoch + 1), kStopTime).refusal_ == full);
  TicketTable table = NewTable();
  for (const Handover& part : Begin(old, kNewNode, kNewIncarnation)) {
    Accept(table, part);
  }
  const Instant later = kStopTime + seconds(30 * 5);
  table = AdvanceTickets(std::move(table), later);
  cr_assert_eq(TicketCount(table), 0);
  cr_assert(Present(table, TicketOfOld(7, kStopEpoch + 1), later).refusal_ == full);
}

Test(ticket_handover, only_the_first_acknowledgement_ends_it)
{
  TicketTable table = OldTable();
  const auto confirm = [&table](NodeId aFrom, Incarnation aIncarnation) {
    auto step = ConfirmHandover(std::move(table), { aFrom, aIncarnation });
    table = std::move(step.state_);
    return step.result_;
  };
  cr_assert_not(confirm(kOldNode, kOldIncarnation));
  Begin(table, kNewNode, kNewIncarnation);
  cr_assert_not(confirm(kOldNode, kOtherIncarnation));
  cr_assert(confirm(kOldNode, kOldIncarnation));
  cr_assert_not(confirm(kOldNode, kOldIncarnation));
}
