/** \file
 * Sends confirmations to nodes under random faults. Guards against a confirmation that is executed
 * twice (docs/design.md, guarantee G5), a not-run verdict for a request that was executed (G4), and
 * an answer to another request (G3).
 */
#include "Session.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace fulmarway;
using namespace fulmarway::session;

namespace {

constexpr std::uint32_t kNodes = 3;
constexpr std::uint32_t kSteps = 12;

struct SentConfirm
{
  std::string rootRequestId_;
  ExchangeId exchange_;
};

/** Injects one random fault, or none. */
void
InjectRandomFault(Session& aSession, RandomStream& aRandom)
{
  const NodeIndex node = aRandom.Next() % kNodes;
  switch (aRandom.Next() % 9) {
    case 0:
      aSession.SilenceConnectionsTo(node);
      break;
    case 1:
      aSession.Pause(node, true);
      break;
    case 2:
      aSession.Kill(node);
      break;
    case 3:
      aSession.Stop(node);
      break;
    case 4:
      aSession.Cut("west-b", aRandom.Next() % 2 == 0);
      break;
    case 5:
      aSession.BreakBackend(node);
      break;
    case 6:
      aSession.SetLogDown(aRandom.Next() % 2 == 0);
      break;
    case 7:
      aSession.SetServiceTime(node, std::chrono::milliseconds(10 + aRandom.Next() % 900));
      break;
    default:
      break;
  }
}

/** Presents a ticket through two entry nodes, like a caller that lost the first answer. */
void
SendConfirm(Session& aSession,
            RandomStream& aRandom,
            const Ticket& aTicket,
            std::vector<SentConfirm>& aSent)
{
  const std::string rootRequestId = "c" + std::to_string(aSent.size());
  const auto entry = [&] { return aRandom.Next() % kNodes; };
  const NodeIndex first = entry();
  aSent.push_back({ rootRequestId, aSession.Call(first, MakeConfirm(rootRequestId, aTicket)) });
  aSession.Run(std::chrono::milliseconds(aRandom.Next() % 700));
  const auto reply = aSession.ReplyTo(aSent.back().exchange_);
  if (reply && reply->outcome_.verdict_ == Verdict::kNotRun) {
    return; // Callers must not present a ticket again after a not-run verdict.
  }
  if (!reply) {
    // A caller gives up its earlier attempt before it retries.
    aSession.Disconnect(first, aSent.back().exchange_);
  }
  aSent.push_back(
    { rootRequestId, aSession.Call(entry(), MakeConfirm(rootRequestId, aTicket, 2)) });
}

void
CheckOutcomes(const Session& aSession, const std::vector<SentConfirm>& aSent)
{
  for (const SentConfirm& sent : aSent) {
    const int executions = aSession.Executions(sent.rootRequestId_, "confirm");
    if (executions > 1) {
      RC_FAIL(sent.rootRequestId_ + " was executed twice:\n" + aSession.Transcript());
    }
    const auto reply = aSession.ReplyTo(sent.exchange_);
    if (!reply) {
      continue;
    }
    if (reply->outcome_.verdict_ == Verdict::kNotRun && executions > 0) {
      RC_FAIL(sent.rootRequestId_ + " was executed, but its verdict is not-run:\n" +
              aSession.Transcript());
    }
    RC_ASSERT(!reply->answer_ || reply->answer_->body_ == sent.rootRequestId_);
  }
}

} // namespace

Test(session_faults, confirmations_run_at_most_once)
{
  cr_assert(rc::check("whole nodes under random faults", [](std::uint64_t aSeed) {
    Session session(aSeed);
    RandomStream random{ aSeed };
    for (NodeIndex node = 0; node < kNodes; ++node) {
      session.AddNode({ "orders", node == 2 ? "west-b" : "west-a" });
    }
    session.DeclareOrders(0);
    std::vector<Ticket> tickets;
    for (std::uint32_t step = 0; step < kSteps; ++step) {
      tickets.push_back(session.TicketFrom(step % kNodes));
    }
    std::vector<SentConfirm> sent;
    for (const Ticket& ticket : tickets) {
      InjectRandomFault(session, random);
      SendConfirm(session, random, ticket, sent);
      session.Run(std::chrono::milliseconds(random.Next() % 400));
      const NodeIndex node = random.Next() % kNodes;
      session.Pause(node, false);
      if (random.Next() % 4 == 0) {
        session.Kill(node);
        session.Restart(node);
      }
    }
    for (NodeIndex node = 0; node < kNodes; ++node) {
      session.Pause(node, false);
    }
    session.Run(std::chrono::seconds(8));
    CheckOutcomes(session, sent);
  }));
}
