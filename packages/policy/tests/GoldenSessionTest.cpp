/** \file
 * Compares sessions of several nodes with golden transcripts. Guards against unintended changes in
 * what callers, operators and backend servers observe under a fault.
 */
#include "Session.h"

#include <criterion/criterion.h>

using namespace fulmarway;
using namespace fulmarway::session;

namespace {

constexpr std::uint64_t kSeed = 20261204;

/** Two backend servers of "orders" in two failure domains, with the service declared. */
struct TwoDomains
{
  Session session_{ kSeed };
  NodeIndex west_ = session_.AddNode({ "orders", "west-a" });
  NodeIndex east_ = session_.AddNode({ "orders", "west-b" });

  TwoDomains() { session_.DeclareOrders(west_); }
};

NodeIndex
ExecutorOf(const TwoDomains& aNodes, const Ticket& aTicket)
{
  const NodeId west = aNodes.session_.State(aNodes.west_).settings_.identity_.id_;
  return aTicket.executor_ == west ? aNodes.west_ : aNodes.east_;
}

} // namespace

Test(golden_session, confirmation_with_a_lost_answer)
{
  TwoDomains nodes;
  Session& session = nodes.session_;
  const Ticket ticket = session.TicketFrom(nodes.west_);
  const NodeIndex executor = ExecutorOf(nodes, ticket);
  const NodeIndex other = executor == nodes.west_ ? nodes.east_ : nodes.west_;
  session.SetServiceTime(executor, std::chrono::milliseconds(300));
  const ExchangeId first = session.Call(other, MakeConfirm("c1", ticket));
  session.Run(std::chrono::milliseconds(100));
  session.SilenceConnectionsTo(executor);
  session.Run(std::chrono::seconds(2));
  const ExchangeId second = session.Call(executor, MakeConfirm("c1", ticket, 2));
  session.Run(std::chrono::seconds(1));
  cr_assert(session.ReplyTo(first)->outcome_.verdict_ == Verdict::kRan);
  cr_assert(session.ReplyTo(second)->outcome_.verdict_ == Verdict::kRan);
  cr_assert_eq(session.Executions("c1", "confirm"), 1);
  CheckGolden(session, "confirmation_with_a_lost_answer");
}

Test(golden_session, drain_with_tickets_outstanding)
{
  TwoDomains nodes;
  Session& session = nodes.session_;
  const Ticket ticket = session.TicketFrom(nodes.west_);
  const NodeIndex executor = ExecutorOf(nodes, ticket);
  const NodeIndex other = executor == nodes.west_ ? nodes.east_ : nodes.west_;
  session.SetServiceTime(executor, std::chrono::milliseconds(800));
  const Ticket running = session.TicketFrom(executor);
  const ExchangeId inFlight = session.Call(other, MakeConfirm("c1", running));
  session.Run(std::chrono::milliseconds(50));
  session.Stop(executor);
  session.Run(std::chrono::seconds(5));
  const ExchangeId late = session.Call(other, MakeConfirm("c2", ticket));
  const ExchangeId retry = session.Call(other, MakeConfirm("c1", running, 2));
  session.Run(std::chrono::seconds(2));
  cr_assert(session.HasExited(executor));
  cr_assert(session.ReplyTo(inFlight)->outcome_.verdict_ == Verdict::kRan);
  cr_assert(session.ReplyTo(late)->outcome_.verdict_ == Verdict::kRan);
  cr_assert(session.ReplyTo(retry)->outcome_.verdict_ == Verdict::kRan);
  cr_assert_eq(session.Executions("c1", "confirm"), 1);
  cr_assert_eq(session.Executions("c2", "confirm"), 1);
  CheckGolden(session, "drain_with_tickets_outstanding");
}

Test(golden_session, conflicting_operators)
{
  TwoDomains nodes;
  Session& session = nodes.session_;
  const std::uint64_t version = ConfigOf(session.State(nodes.west_)).version_;
  session.LoseAppendAnswers(1);
  const ExchangeId first = session.Operate(
    nodes.west_, SetPriority{ "orders", "lookup", Importance::kHigh }, version, "amal");
  const ExchangeId second = session.Operate(
    nodes.east_, SetPriority{ "orders", "lookup", Importance::kLow }, version, "nadia");
  session.Run(std::chrono::seconds(4));
  cr_assert(session.CommandReplies().at(first).outcome_ == ReplyOutcome::kAccepted);
  cr_assert(session.CommandReplies().at(second).outcome_ == ReplyOutcome::kConflict);
  cr_assert(session.State(nodes.west_).log_.state_ == session.State(nodes.east_).log_.state_);
  CheckGolden(session, "conflicting_operators");
}

Test(golden_session, log_service_down_for_the_whole_session)
{
  TwoDomains nodes;
  Session& session = nodes.session_;
  session.SetLogDown(true);
  session.RecordLine("the log service is down");
  const ExchangeId lookup = session.Call(nodes.west_, MakeCallerRequest("lookup", "c1"));
  const ExchangeId command = session.Operate(nodes.west_, SetLimit{ "orders", 2 });
  const NodeIndex joining = session.AddNode({ "orders", "west-b" });
  session.Run(std::chrono::seconds(7));
  const ExchangeId confirm = session.Call(joining, MakeConfirm("c2", session.TicketFrom(joining)));
  session.Run(std::chrono::seconds(1));
  cr_assert(session.ReplyTo(lookup)->outcome_.verdict_ == Verdict::kRan);
  cr_assert(session.ReplyTo(confirm)->outcome_.verdict_ == Verdict::kRan);
  cr_assert(session.CommandReplies().at(command).outcome_ != ReplyOutcome::kAccepted);
  cr_assert_eq(ConfigOf(session.State(joining)).version_,
               ConfigOf(session.State(nodes.west_)).version_);
  CheckGolden(session, "log_service_down");
}

Test(golden_session, partition_and_healing)
{
  TwoDomains nodes;
  Session& session = nodes.session_;
  session.Cut("west-b", true);
  session.Run(std::chrono::seconds(5));
  const ExchangeId west = session.Call(nodes.west_, MakeCallerRequest("lookup", "c1"));
  const ExchangeId east = session.Call(nodes.east_, MakeCallerRequest("lookup", "c2"));
  session.Operate(nodes.west_, SetLimit{ "orders", 3 });
  session.Run(std::chrono::seconds(2));
  session.Cut("west-b", false);
  session.Run(std::chrono::seconds(4));
  cr_assert(session.ReplyTo(west)->outcome_.verdict_ == Verdict::kRan);
  cr_assert(session.ReplyTo(east)->outcome_.verdict_ == Verdict::kRan);
  cr_assert_eq(ConfigOf(session.State(nodes.east_)).services_.at("orders").limit_, 3U);
  CheckGolden(session, "partition_and_healing");
}
