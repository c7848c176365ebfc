/** \file
 * Guards against tickets that are started twice, or started although the caller got the verdict
 * "not run", and against waiters that are notified twice or never, for arbitrary sequences of
 * events.
 */
#include "TicketSimulation.h"

#include <criterion/criterion.h>
#include <numeric>

using namespace fulmarway;

namespace {

/** Generates sequences of operations of the given kinds, the cases of TicketSimulation::Apply(). A
 * kind that is listed repeatedly is generated more often. */
rc::Gen<std::vector<TicketSimulationStep>>
AnySteps(const std::vector<std::uint32_t>& aKinds, int aLength)
{
  // At a smaller size than kNominalSize, inRange() generates only the lower part of the range.
  const auto any = rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::uint32_t>(0, 1U << 16));
  const auto step = rc::gen::build<TicketSimulationStep>(
    rc::gen::set(&TicketSimulationStep::kind_, rc::gen::elementOf(aKinds)),
    rc::gen::set(&TicketSimulationStep::node_, any),
    rc::gen::set(&TicketSimulationStep::ticket_, any),
    rc::gen::set(&TicketSimulationStep::variant_, any));
  return rc::gen::resize(aLength, rc::gen::container<std::vector<TicketSimulationStep>>(step));
}

void
CheckSimulation(const std::vector<std::uint32_t>& aKinds, int aLength)
{
  int cases = 0;
  int starts = 0;
  int handovers = 0;
  const auto outcome = rc::check("each ticket is started at most once", [&] {
    // Limit of tickets per node: a small table is often full; a large one rarely refuses a
    // handover.
    TicketSimulation simulation(*rc::gen::element<std::size_t>(3, 12));
    simulation.Run(*AnySteps(aKinds, aLength));
    cases += 1;
    starts += simulation.Starts();
    handovers += simulation.Handovers();
  });
  cr_assert(outcome);
  // The property holds trivially if no ticket is started or handed over, so require more than one
  // of each per case on average, for any number of cases set in RC_PARAMS.
  cr_assert_gt(cases, 0);
  cr_assert_gt(starts, cases);
  cr_assert_gt(handovers, cases);
}

} // namespace

Test(ticket_at_most_once, any_events)
{
  std::vector<std::uint32_t> allKinds(24);
  std::iota(allKinds.begin(), allKinds.end(), 0);
  CheckSimulation(allKinds, 400);
}

/** Mostly planned stops and restarts, for faults that occur only after several of them. A
 * successor is the node that takes over the tickets of a stopped one. The numbers are cases of
 * TicketSimulation::Apply(). */
Test(ticket_at_most_once, chains_of_successors)
{
  CheckSimulation({ 0, 0, 8, 8, 12, 12, 17, 19, 19, 20, 21, 21, 21, 22, 22, 23, 23 }, 1500);
}
