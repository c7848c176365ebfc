/** \file
 * Guards against the verdict "not run" for a ticket whose earlier attempt may have run
 * (docs/design.md, guarantees G4 and G5). Only the executor can rule out that the attempt ran.
 */
#include "Session.h"

#include <criterion/criterion.h>

using namespace fulmarway;
using namespace fulmarway::session;

namespace {

constexpr std::uint64_t kSeed = 20261204;

struct Fixture
{
  Session session_{ kSeed };
  NodeIndex executor_ = session_.AddNode({ "orders", "west-a" });
  NodeIndex entry_ = session_.AddNode({ "other", "west-b" });
  Ticket ticket_;

  Fixture()
  {
    session_.DeclareOrders(executor_);
    ticket_ = session_.TicketFrom(entry_);
    session_.SetServiceTime(executor_, std::chrono::milliseconds(200));
    session_.Call(entry_, MakeConfirm("c1", ticket_));
    session_.Run(std::chrono::milliseconds(100));
    session_.Kill(executor_);
    session_.Run(std::chrono::seconds(5));
  }

  Verdict Retry(CallerRequest aRequest)
  {
    const ExchangeId exchange = session_.Call(entry_, std::move(aRequest));
    session_.Run(std::chrono::seconds(5));
    return session_.ReplyTo(exchange)->outcome_.verdict_;
  }
};

} // namespace

Test(repeated_attempt_verdict, executor_lost)
{
  Fixture fixture;
  cr_assert(fixture.Retry(MakeConfirm("c1", fixture.ticket_, 2)) == Verdict::kMayHaveRun);
  cr_assert_eq(fixture.session_.Executions("c1", "confirm"), 1);
}

Test(repeated_attempt_verdict, short_deadline)
{
  Fixture fixture;
  CallerRequest request = MakeConfirm("c1", fixture.ticket_, 2);
  request.deadline_ = std::chrono::milliseconds(30);
  cr_assert(fixture.Retry(std::move(request)) == Verdict::kMayHaveRun);
}

Test(repeated_attempt_verdict, kind_unknown_to_the_entry_node)
{
  Fixture fixture;
  CallerRequest request = MakeConfirm("c1", fixture.ticket_, 2);
  request.kind_ = "not-declared-here";
  cr_assert(fixture.Retry(std::move(request)) == Verdict::kMayHaveRun);
}
