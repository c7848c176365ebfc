/** \file
 * Guards against a ticket that is started twice or is started although it was refused as not run,
 * and against waiters that are told twice or never, whatever the order of events.
 */
#include "TicketWorld.h"

#include <criterion/criterion.h>
#include <numeric>

using namespace fulmarway;

namespace {

/** Sequences of operations of these kinds, see TicketWorld::Apply(). */
rc::Gen<std::vector<WorldStep>>
AnySteps(const std::vector<std::uint32_t>& aKinds, int aLength)
{
  const auto any = rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::uint32_t>(0, 1U << 16));
  const auto step =
    rc::gen::build<WorldStep>(rc::gen::set(&WorldStep::kind_, rc::gen::elementOf(aKinds)),
                              rc::gen::set(&WorldStep::node_, any),
                              rc::gen::set(&WorldStep::ticket_, any),
                              rc::gen::set(&WorldStep::variant_, any));
  return rc::gen::resize(aLength, rc::gen::container<std::vector<WorldStep>>(step));
}

void
CheckWorld(const std::vector<std::uint32_t>& aKinds, int aLength)
{
  int cases = 0;
  int starts = 0;
  int handovers = 0;
  const auto outcome = rc::check("each ticket is started at most once", [&] {
    // The small table is often full; the large one seldom refuses a handover.
    TicketWorld world(*rc::gen::element<std::size_t>(3, 12));
    world.Run(*AnySteps(aKinds, aLength));
    cases += 1;
    starts += world.Starts();
    handovers += world.Handovers();
  });
  cr_assert(outcome);
  // The property says nothing when nothing is started or handed over, so that each case has to have
  // more than one of both on average, whatever number of cases RC_PARAMS asks for.
  cr_assert_gt(cases, 0);
  cr_assert_gt(starts, cases);
  cr_assert_gt(handovers, cases);
}

} // namespace

Test(ticket_at_most_once, any_events)
{
  std::vector<std::uint32_t> all(24);
  std::iota(all.begin(), all.end(), 0);
  CheckWorld(all, 400);
}

/** Mostly planned stops and restarts, for the faults that need several of them in a row. */
Test(ticket_at_most_once, chains_of_successors)
{
  CheckWorld({ 0, 0, 8, 8, 12, 12, 17, 19, 19, 20, 21, 21, 21, 22, 22, 23, 23 }, 1500);
}
