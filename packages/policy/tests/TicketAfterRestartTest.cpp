/** \file
 * Guards against tickets that become invalid after a planned stop because the VM restarts at the
 * same address and its new record replaces the `left` record that names the successor.
 */
#include "Session.h"

#include <criterion/criterion.h>

using namespace fulmarway;
using namespace fulmarway::session;

namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr NodeIndex kNodes = 3;
constexpr Duration kStopDuration = std::chrono::seconds(4);
constexpr Duration kJoinDuration = std::chrono::seconds(8);

/** Three nodes of the service "orders" and an entry node of another service. */
struct Fixture
{
  Session session_{ kSeed };
  NodeIndex entry_ = 0;

  Fixture()
  {
    for (NodeIndex node = 0; node < kNodes; ++node) {
      session_.AddNode({ "orders", "west-a" });
    }
    entry_ = session_.AddNode({ "other", "west-b" });
    session_.DeclareOrders(0);
  }

  Ticket TicketOf(NodeIndex aExecutor)
  {
    const NodeId executor = session_.State(aExecutor).settings_.identity_.id_;
    while (true) {
      const Ticket ticket = session_.TicketFrom(entry_);
      if (ticket.executor_ == executor) {
        return ticket;
      }
    }
  }

  /** A planned stop followed by a new incarnation at the same address. */
  void Replace(NodeIndex aNode)
  {
    session_.Stop(aNode);
    session_.Run(kStopDuration);
    cr_assert(session_.HasExited(aNode));
    session_.Restart(aNode);
    session_.Run(kJoinDuration);
  }

  void CheckExecutedOnce(NodeIndex aEntry, const std::string& aRootRequest, const Ticket& aTicket)
  {
    const ExchangeId first = session_.Call(aEntry, MakeConfirm(aRootRequest, aTicket));
    session_.Run(std::chrono::seconds(5));
    const ExchangeId retry = session_.Call(aEntry, MakeConfirm(aRootRequest, aTicket, 2));
    session_.Run(std::chrono::seconds(5));
    const std::string transcript = session_.Transcript();
    cr_assert(
      session_.ReplyTo(first)->outcome_.verdict_ == Verdict::kRan, "%s", transcript.c_str());
    cr_assert(
      session_.ReplyTo(retry)->outcome_.verdict_ == Verdict::kRan, "%s", transcript.c_str());
    cr_assert_eq(session_.Executions(aRootRequest, "confirm"), 1);
  }
};

} // namespace

Test(ticket_after_restart, runs_at_the_successor)
{
  Fixture fixture;
  const Ticket ticket = fixture.TicketOf(1);
  fixture.Replace(1);
  fixture.CheckExecutedOnce(fixture.entry_, "c1", ticket);
}

Test(ticket_after_restart, presented_to_the_restarted_node)
{
  Fixture fixture;
  const Ticket ticket = fixture.TicketOf(1);
  fixture.Replace(1);
  fixture.CheckExecutedOnce(1, "c1", ticket);
}

Test(ticket_after_restart, follows_several_stops)
{
  Fixture fixture;
  const Ticket ticket = fixture.TicketOf(1);
  for (const NodeIndex node : { 1, 0, 2, 1 }) {
    fixture.Replace(node);
  }
  fixture.CheckExecutedOnce(fixture.entry_, "c1", ticket);
}

Test(ticket_after_restart, presented_to_a_node_that_joined_later)
{
  Fixture fixture;
  const Ticket ticket = fixture.TicketOf(1);
  fixture.Replace(1);
  const NodeIndex joined = fixture.session_.AddNode({ "other", "west-c" });
  fixture.session_.Run(kJoinDuration);
  fixture.Replace(0);
  fixture.CheckExecutedOnce(joined, "c1", ticket);
}

Test(ticket_after_restart, presented_to_a_node_that_joined_after_several_stops)
{
  Fixture fixture;
  const Ticket ticket = fixture.TicketOf(1);
  for (const NodeIndex node : { 1, 0, 2 }) {
    fixture.Replace(node);
  }
  const NodeIndex joined = fixture.session_.AddNode({ "other", "west-c" });
  fixture.session_.Run(kJoinDuration);
  fixture.CheckExecutedOnce(joined, "c1", ticket);
}

Test(ticket_after_restart, sent_to_the_restarted_node_by_an_entry_that_missed_the_stop)
{
  Fixture fixture;
  Session& session = fixture.session_;
  const Ticket ticket = fixture.TicketOf(1);
  session.Cut("west-b", true);
  session.Stop(1);
  session.Run(std::chrono::milliseconds(2200));
  session.Restart(1);
  session.Run(std::chrono::milliseconds(1200));
  session.Cut("west-b", false);
  fixture.CheckExecutedOnce(fixture.entry_, "c1", ticket);
}
