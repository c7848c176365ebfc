/** \file
 * Replaces every VM in turn under load. Guards against planned stops that abort requests in flight,
 * lose outstanding tickets, or execute one twice (docs/design.md, guarantees G5 and G7).
 */
#include "Session.h"

#include <criterion/criterion.h>
#include <deque>

using namespace fulmarway;
using namespace fulmarway::session;

namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr NodeIndex kNodes = 4;
constexpr Duration kStep = std::chrono::milliseconds(25);
constexpr Duration kServiceTime = std::chrono::milliseconds(60);
constexpr Duration kSlowServiceTime = std::chrono::milliseconds(1900);
/** Each ticket is presented after a random number of steps below this, which spans several stops.
 */
constexpr std::uint64_t kMaxTicketSteps = 1200;
constexpr int kMaxTries = 3;

struct SentRequest
{
  std::string rootRequestId_;
  std::string kind_;
  ExchangeId exchange_;
  int tries_ = 1;
};

struct HeldTicket
{
  Ticket ticket_;
  std::uint64_t presentAt_ = 0;
};

/** Callers that send confirmations and lookups to the nodes that accept connections. */
class Load
{
public:
  explicit Load(Session& aSession)
    : session_(aSession)
  {
  }

  void SetAccepting(NodeIndex aNode, bool aIsAccepting) { accepting_[aNode] = aIsAccepting; }

  void Run(Duration aTime)
  {
    for (Duration passed{ 0 }; passed < aTime; passed += kStep) {
      ++step_;
      if (takesTickets_) {
        heldTickets_.push_back(
          { session_.TicketFrom(Entry()), step_ + random_.Next() % kMaxTicketSteps });
      }
      PresentDueTickets();
      Send("lookup", MakeCallerRequest("lookup", NextRootRequestId()));
      session_.Run(kStep);
      CheckReplies();
    }
  }

  /** Presents the remaining tickets and waits for all replies. */
  void Finish()
  {
    takesTickets_ = false;
    Run(kStep * kMaxTicketSteps);
    for (int round = 0; round < kMaxTries; ++round) {
      session_.Run(std::chrono::seconds(8));
      CheckReplies();
    }
    Expect(sent_.empty(), "a request has no reply");
  }

  std::size_t Confirmed() const { return confirmed_; }
  std::size_t Retried() const { return retried_; }

private:
  NodeIndex Entry()
  {
    while (true) {
      const NodeIndex node = random_.Next() % kNodes;
      if (accepting_[node]) {
        return node;
      }
    }
  }

  std::string NextRootRequestId() { return "c" + std::to_string(++rootRequestCount_); }

  void Send(const std::string& aKind, CallerRequest aRequest, int aTries = 1)
  {
    const std::string rootRequestId = *aRequest.rootRequestId_;
    sent_.push_back({ rootRequestId, aKind, session_.Call(Entry(), std::move(aRequest)), aTries });
  }

  void PresentDueTickets()
  {
    for (auto next = heldTickets_.begin(); next != heldTickets_.end();) {
      if (next->presentAt_ <= step_) {
        Send("confirm", MakeConfirm(NextRootRequestId(), next->ticket_));
        next = heldTickets_.erase(next);
      } else {
        ++next;
      }
    }
  }

  void Expect(bool aHolds, const std::string& aFailure)
  {
    cr_assert(aHolds, "%s\n%s", aFailure.c_str(), session_.Transcript().c_str());
  }

  /** Each reply is the complete answer to its request, or has the verdict `not-run`; the request is
   * then retried with a new ticket. */
  void CheckReplies()
  {
    for (const SentRequest& sent : std::exchange(sent_, {})) {
      const auto reply = session_.ReplyTo(sent.exchange_);
      if (!reply) {
        sent_.push_back(sent);
        continue;
      }
      const int executions = session_.Executions(sent.rootRequestId_, sent.kind_);
      if (reply->outcome_.verdict_ == Verdict::kRan) {
        Expect(reply->answer_ && reply->answer_->body_ == sent.rootRequestId_,
               sent.rootRequestId_ + " got the answer to another request");
        Expect(sent.kind_ == "lookup" || executions == 1,
               sent.rootRequestId_ + " was executed more than once");
        confirmed_ += sent.kind_ == "confirm" ? 1 : 0;
        continue;
      }
      Expect(reply->outcome_.verdict_ == Verdict::kNotRun, sent.rootRequestId_ + " may have run");
      Expect(sent.kind_ == "lookup" || executions == 0,
             sent.rootRequestId_ + " was executed, but its verdict is not-run");
      Expect(sent.tries_ < kMaxTries,
             sent.rootRequestId_ + " was not executed in any of its tries");
      ++retried_;
      Send(sent.kind_,
           sent.kind_ == "lookup"
             ? MakeCallerRequest("lookup", sent.rootRequestId_)
             : MakeConfirm(sent.rootRequestId_,
                           reply->ticket_ ? *reply->ticket_ : session_.TicketFrom(Entry())),
           sent.tries_ + 1);
    }
  }

  Session& session_;
  RandomStream random_{ kSeed };
  std::vector<bool> accepting_ = std::vector<bool>(kNodes, true);
  std::deque<HeldTicket> heldTickets_;
  std::vector<SentRequest> sent_;
  bool takesTickets_ = true;
  std::uint64_t step_ = 0;
  std::uint64_t rootRequestCount_ = 0;
  std::size_t confirmed_ = 0;
  std::size_t retried_ = 0;
};

} // namespace

Test(rolling_replacement, no_request_is_lost)
{
  Session session(kSeed);
  for (NodeIndex node = 0; node < kNodes; ++node) {
    session.AddNode({ "orders", node % 2 == 0 ? "west-a" : "west-b" });
    session.SetServiceTime(node, kServiceTime);
  }
  session.DeclareOrders(0);
  Load load(session);
  load.Run(std::chrono::seconds(2));
  for (NodeIndex node = 0; node < kNodes; ++node) {
    // Requests that start now are still in flight when the grace time of the drain ends.
    session.SetServiceTime(node, kSlowServiceTime);
    load.Run(std::chrono::milliseconds(100));
    session.SetServiceTime(node, kServiceTime);
    session.Stop(node);
    load.SetAccepting(node, false);
    load.Run(std::chrono::seconds(4));
    cr_assert(session.HasExited(node), "%s", session.Transcript().c_str());
    session.Restart(node);
    load.Run(std::chrono::seconds(2));
    load.SetAccepting(node, true);
    load.Run(std::chrono::seconds(2));
  }
  load.Finish();
  cr_log_info("%zu confirmed, %zu retried", load.Confirmed(), load.Retried());
  cr_assert_gt(load.Confirmed(), 1000U);
}
