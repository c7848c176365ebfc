/** \file
 * Guards against two failures. An executor is paused, declared dead by the other members and
 * resumed, and then executes a confirmation again or contradicts earlier verdicts (docs/design.md,
 * fault F4). An entry node is lost while a confirmation is in flight, and the outcome is lost with
 * it (fault F8).
 */
#include "Session.h"

#include <criterion/criterion.h>

using namespace fulmarway;
using namespace fulmarway::session;

namespace {

constexpr std::uint64_t kSeed = 20261204;
/** Longer than a probe timeout plus the suspicion timeout. */
constexpr Duration kUntilDead = std::chrono::seconds(8);

/** One executor and two entry nodes of another service. */
struct Fixture
{
  Session session_{ kSeed };
  NodeIndex executor_ = session_.AddNode({ "orders", "west-a" });
  NodeIndex entry_ = session_.AddNode({ "other", "west-a" });
  NodeIndex otherEntry_ = session_.AddNode({ "other", "west-b" });
  Ticket ticket_;

  Fixture()
  {
    session_.DeclareOrders(executor_);
    ticket_ = session_.TicketFrom(entry_);
    session_.SetServiceTime(executor_, std::chrono::milliseconds(300));
  }

  MemberState SeenBy(NodeIndex aNode) const
  {
    const NodeId executor = session_.State(executor_).settings_.identity_.id_;
    return FindMember(session_.State(aNode).membership_, executor)->state_;
  }

  Verdict VerdictOf(ExchangeId aExchange) const
  {
    const auto reply = session_.ReplyTo(aExchange);
    cr_assert(reply.has_value(), "%s", session_.Transcript().c_str());
    return reply->outcome_.verdict_;
  }
};

} // namespace

Test(paused_executor, running_confirmation)
{
  Fixture fixture;
  Session& session = fixture.session_;
  const ExchangeId first = session.Call(fixture.entry_, MakeConfirm("c1", fixture.ticket_));
  session.Run(std::chrono::milliseconds(100));
  session.Pause(fixture.executor_, true);
  session.Run(kUntilDead);
  cr_assert(fixture.SeenBy(fixture.entry_) == MemberState::kDead);
  cr_assert(fixture.VerdictOf(first) == Verdict::kMayHaveRun);
  const ExchangeId whileDead =
    session.Call(fixture.otherEntry_, MakeConfirm("c1", fixture.ticket_, 2));
  session.Run(std::chrono::seconds(1));
  cr_assert(fixture.VerdictOf(whileDead) == Verdict::kMayHaveRun);
  session.Pause(fixture.executor_, false);
  session.Run(std::chrono::seconds(3));
  cr_assert(fixture.SeenBy(fixture.entry_) == MemberState::kAlive);
  const ExchangeId retry = session.Call(fixture.otherEntry_, MakeConfirm("c1", fixture.ticket_, 3));
  session.Run(std::chrono::seconds(1));
  cr_assert(fixture.VerdictOf(retry) == Verdict::kRan, "%s", session.Transcript().c_str());
  cr_assert_eq(session.Executions("c1", "confirm"), 1);
}

Test(paused_executor, confirmation_that_arrived_during_the_pause)
{
  Fixture fixture;
  Session& session = fixture.session_;
  session.Pause(fixture.executor_, true);
  const ExchangeId first = session.Call(fixture.entry_, MakeConfirm("c1", fixture.ticket_));
  session.Run(kUntilDead);
  cr_assert(fixture.VerdictOf(first) == Verdict::kMayHaveRun);
  session.Pause(fixture.executor_, false);
  session.Run(std::chrono::seconds(3));
  const ExchangeId retry = session.Call(fixture.otherEntry_, MakeConfirm("c1", fixture.ticket_, 2));
  session.Run(std::chrono::seconds(2));
  const int executions = session.Executions("c1", "confirm");
  cr_assert_leq(executions, 1);
  const Verdict expected = executions == 1 ? Verdict::kRan : Verdict::kNotRun;
  cr_assert(fixture.VerdictOf(retry) == expected, "%s", session.Transcript().c_str());
}

Test(paused_executor, gets_new_work_after_it_resumed)
{
  Fixture fixture;
  Session& session = fixture.session_;
  session.Pause(fixture.executor_, true);
  session.Run(kUntilDead);
  session.Pause(fixture.executor_, false);
  session.Run(std::chrono::seconds(3));
  const ExchangeId confirm =
    session.Call(fixture.entry_, MakeConfirm("c1", session.TicketFrom(fixture.entry_)));
  session.Run(std::chrono::seconds(1));
  cr_assert(fixture.VerdictOf(confirm) == Verdict::kRan);
}

Test(lost_entry_node, retry_through_another_entry_node_joins)
{
  Fixture fixture;
  Session& session = fixture.session_;
  session.Call(fixture.entry_, MakeConfirm("c1", fixture.ticket_));
  session.Run(std::chrono::milliseconds(100));
  session.Kill(fixture.entry_);
  session.Run(std::chrono::milliseconds(20));
  const ExchangeId retry = session.Call(fixture.otherEntry_, MakeConfirm("c1", fixture.ticket_, 2));
  session.Run(std::chrono::seconds(1));
  cr_assert(fixture.VerdictOf(retry) == Verdict::kRan, "%s", session.Transcript().c_str());
  cr_assert_eq(session.Executions("c1", "confirm"), 1);
}

Test(lost_entry_node, retry_after_completion_gets_the_cached_answer)
{
  Fixture fixture;
  Session& session = fixture.session_;
  session.Call(fixture.entry_, MakeConfirm("c1", fixture.ticket_));
  session.Run(std::chrono::milliseconds(100));
  session.Kill(fixture.entry_);
  session.Run(std::chrono::seconds(1));
  const ExchangeId retry = session.Call(fixture.otherEntry_, MakeConfirm("c1", fixture.ticket_, 2));
  session.Run(std::chrono::seconds(1));
  cr_assert(fixture.VerdictOf(retry) == Verdict::kRan);
  cr_assert_eq(session.ReplyTo(retry)->answer_->body_, "c1");
  cr_assert_eq(session.Executions("c1", "confirm"), 1);
}
