/** \file
 * Injects every pair of faults with an overlap. Guards against a ticket that is executed twice
 * (docs/design.md, guarantee G5), a `not-run` verdict for a request that was executed (G4), an
 * incomplete answer or one to another request (G3), a configuration that reverts (G8), and a
 * service that does not recover after both faults have ended.
 */
#include "Session.h"

#include <criterion/criterion.h>
#include <functional>

using namespace fulmarway;
using namespace fulmarway::session;

namespace {

constexpr NodeIndex kNodes = 4;
/** The second fault of a pair hits the same node as the first, or the next one. */
constexpr NodeIndex kFirstTarget = 1;
constexpr NodeIndex kSecondTarget = 2;
constexpr Duration kOverlap = std::chrono::seconds(4);
constexpr Duration kStep = std::chrono::milliseconds(50);
constexpr Duration kRecovery = std::chrono::seconds(12);

using FaultAction = std::function<void(Session&, NodeIndex)>;

struct Fault
{
  std::string name_;
  FaultAction begin_;
  FaultAction end_;
};

/** The end of a fault that needs none. "silent connections" affects only the connections that exist
 * when it begins, and "broken backend" only the requests that are in execution then. */
void
NoAction(Session&, NodeIndex)
{
}

const std::vector<Fault>&
Faults()
{
  static const std::vector<Fault> kFaults{
    { "log down",
      [](Session& aSession, NodeIndex) { aSession.SetLogDown(true); },
      [](Session& aSession, NodeIndex) { aSession.SetLogDown(false); } },
    { "lost append answers",
      [](Session& aSession, NodeIndex) { aSession.LoseAppendAnswers(3); },
      [](Session& aSession, NodeIndex) { aSession.LoseAppendAnswers(0); } },
    { "pause",
      [](Session& aSession, NodeIndex aNode) { aSession.Pause(aNode, true); },
      [](Session& aSession, NodeIndex aNode) { aSession.Pause(aNode, false); } },
    { "cut",
      [](Session& aSession, NodeIndex) { aSession.Cut("west-b", true); },
      [](Session& aSession, NodeIndex) { aSession.Cut("west-b", false); } },
    { "kill",
      [](Session& aSession, NodeIndex aNode) { aSession.Kill(aNode); },
      [](Session& aSession, NodeIndex aNode) { aSession.Restart(aNode); } },
    { "restart",
      [](Session& aSession, NodeIndex aNode) {
        aSession.Kill(aNode);
        aSession.Restart(aNode);
      },
      NoAction },
    { "stop",
      [](Session& aSession, NodeIndex aNode) { aSession.Stop(aNode); },
      [](Session& aSession, NodeIndex aNode) {
        aSession.Kill(aNode);
        aSession.Restart(aNode);
      } },
    { "silent connections",
      [](Session& aSession, NodeIndex aNode) { aSession.SilenceConnectionsTo(aNode); },
      NoAction },
    { "broken backend",
      [](Session& aSession, NodeIndex aNode) { aSession.BreakBackend(aNode); },
      NoAction },
    { "slow backend",
      [](Session& aSession, NodeIndex aNode) {
        aSession.SetServiceTime(aNode, std::chrono::milliseconds(1500));
      },
      [](Session& aSession, NodeIndex aNode) {
        aSession.SetServiceTime(aNode, std::chrono::milliseconds(100));
      } },
  };
  return kFaults;
}

/** One pair of faults under load on all nodes. */
class FaultPairTrial
{
public:
  FaultPairTrial(const Fault& aFirst,
                 const Fault& aSecond,
                 NodeIndex aSecondTarget,
                 std::uint64_t aSeed)
    : first_(aFirst)
    , second_(aSecond)
    , secondTarget_(aSecondTarget)
    , session_(aSeed)
    , random_{ aSeed }
    , versions_(kNodes)
    , incarnations_(kNodes)
  {
  }

  void Run()
  {
    for (NodeIndex node = 0; node < kNodes; ++node) {
      session_.AddNode({ "orders", node % 2 == 0 ? "west-a" : "west-b" });
      session_.SetServiceTime(node, std::chrono::milliseconds(100));
    }
    session_.DeclareOrders(0);
    for (int ticket = 0; ticket < 200; ++ticket) {
      tickets_.push_back(session_.TicketFrom(random_.Next() % kNodes));
    }
    Advance(std::chrono::milliseconds(500));
    first_.begin_(session_, kFirstTarget);
    Advance(kOverlap / 4);
    second_.begin_(session_, secondTarget_);
    session_.Operate(0, SetLimit{ "orders", 3 }, ConfigOf(session_.State(0)).version_);
    Advance(kOverlap);
    first_.end_(session_, kFirstTarget);
    Advance(kOverlap / 4);
    second_.end_(session_, secondTarget_);
    Advance(kRecovery);
    CheckOutcomes();
    CheckRecovery();
  }

private:
  struct SentConfirmation
  {
    std::string rootRequestId_;
    NodeIndex entry_;
    ExchangeId exchange_;
  };

  /** Sends a lookup in each step and a confirmation in every other one. Some confirmations are
   * sent again through a random node. */
  void Advance(Duration aTime)
  {
    for (Duration passed{ 0 }; passed < aTime; passed += kStep) {
      const std::string rootRequestId = "c" + std::to_string(++rootRequestCount_);
      if (rootRequestCount_ % 2 == 0 && !tickets_.empty()) {
        const Ticket ticket = tickets_.back();
        tickets_.pop_back();
        SendConfirm(MakeConfirm(rootRequestId, ticket));
        session_.Run(std::chrono::milliseconds(random_.Next() % 30));
        const auto reply = session_.ReplyTo(sent_.back().exchange_);
        if (!reply || reply->outcome_.verdict_ != Verdict::kNotRun) {
          pendingRetries_.push_back({ rootRequestId, ticket });
        }
      }
      RetryOne();
      session_.Call(Entry(), MakeCallerRequest("lookup", rootRequestId));
      session_.Run(kStep);
      CheckVersions();
    }
  }

  /** Sends the oldest confirmation again with the same ticket, unless an attempt has a `not-run`
   * verdict. Confirmations that were answered are repeated too: CheckOutcomes() would find a second
   * execution. */
  void RetryOne()
  {
    if (pendingRetries_.size() < 3) {
      return;
    }
    const auto [rootRequestId, ticket] = pendingRetries_.front();
    pendingRetries_.erase(pendingRetries_.begin());
    for (const SentConfirmation& sent : sent_) {
      const auto reply = session_.ReplyTo(sent.exchange_);
      if (sent.rootRequestId_ == rootRequestId && reply &&
          reply->outcome_.verdict_ == Verdict::kNotRun) {
        return;
      }
    }
    for (const SentConfirmation& sent : sent_) {
      if (sent.rootRequestId_ == rootRequestId && !session_.ReplyTo(sent.exchange_)) {
        session_.Disconnect(sent.entry_, sent.exchange_);
      }
    }
    SendConfirm(MakeConfirm(rootRequestId, ticket, 2));
  }

  void SendConfirm(CallerRequest aRequest)
  {
    const std::string rootRequestId = *aRequest.rootRequestId_;
    const NodeIndex entry = Entry();
    sent_.push_back({ rootRequestId, entry, session_.Call(entry, std::move(aRequest)) });
  }

  NodeIndex Entry() { return random_.Next() % kNodes; }

  void Expect(bool aHolds, const std::string& aFailure) const
  {
    cr_expect(aHolds,
              "%s with %s (second at n%zu): %s",
              first_.name_.c_str(),
              second_.name_.c_str(),
              secondTarget_,
              aFailure.c_str());
  }

  /** The version never decreases within one incarnation of a node. */
  void CheckVersions()
  {
    for (NodeIndex node = 0; node < kNodes; ++node) {
      const NodeState& state = session_.State(node);
      const std::uint64_t version = ConfigOf(state).version_;
      const Incarnation incarnation = state.settings_.identity_.incarnation_;
      Expect(incarnation != incarnations_[node] || version >= versions_[node],
             "configuration version decreased");
      versions_[node] = version;
      incarnations_[node] = incarnation;
    }
  }

  void CheckOutcomes() const
  {
    for (const SentConfirmation& sent : sent_) {
      const int executions = session_.Executions(sent.rootRequestId_, "confirm");
      Expect(executions <= 1, sent.rootRequestId_ + " was executed twice");
      const auto reply = session_.ReplyTo(sent.exchange_);
      if (reply && reply->outcome_.verdict_ == Verdict::kNotRun) {
        Expect(executions == 0, sent.rootRequestId_ + " was executed, but its verdict is not-run");
      }
    }
    for (const auto& [exchange, outcome] : session_.Replies()) {
      const CallerReply& reply = outcome.reply_;
      if (reply.answer_ && !reply.rootRequestId_.empty()) {
        Expect(reply.answer_->body_ == reply.rootRequestId_,
               reply.rootRequestId_ + " got the answer to another request");
      }
    }
  }

  void CheckRecovery()
  {
    for (NodeIndex entry = 0; entry < kNodes; ++entry) {
      const std::vector<MemberRecord> members = Members(session_.State(entry).membership_);
      Expect(members.size() == kNodes - 1, "a member is missing at n" + std::to_string(entry));
      for (const MemberRecord& member : members) {
        Expect(member.state_ == MemberState::kAlive,
               "n" + std::to_string(entry) + " sees a member as " +
                 std::string(ToString(member.state_)));
      }
      Expect(ConfigOf(session_.State(entry)).version_ == ConfigOf(session_.State(0)).version_,
             "configuration versions differ");
      for (NodeIndex round = 0; round < kNodes; ++round) {
        const std::string rootRequestId = "r" + std::to_string(entry) + "-" + std::to_string(round);
        const auto ticket = session_.TicketFrom(entry);
        const ExchangeId confirm = session_.Call(entry, MakeConfirm(rootRequestId, ticket));
        const ExchangeId lookup = session_.Call(entry, MakeCallerRequest("lookup", rootRequestId));
        session_.Run(std::chrono::seconds(2));
        const auto ran = [&](ExchangeId aExchange) {
          const auto reply = session_.ReplyTo(aExchange);
          return reply && reply->outcome_.verdict_ == Verdict::kRan;
        };
        Expect(ran(confirm), "no confirmation through n" + std::to_string(entry));
        Expect(ran(lookup), "no lookup through n" + std::to_string(entry));
      }
    }
  }

  const Fault& first_;
  const Fault& second_;
  NodeIndex secondTarget_;
  Session session_;
  RandomStream random_;
  std::vector<std::uint64_t> versions_;
  std::vector<Incarnation> incarnations_;
  std::vector<Ticket> tickets_;
  std::vector<SentConfirmation> sent_;
  std::vector<std::pair<std::string, Ticket>> pendingRetries_;
  std::uint64_t rootRequestCount_ = 0;
};

} // namespace

Test(fault_pairs, at_two_nodes)
{
  std::uint64_t seed = 20261204;
  for (const Fault& first : Faults()) {
    for (const Fault& second : Faults()) {
      FaultPairTrial(first, second, kSecondTarget, ++seed).Run();
    }
  }
}

Test(fault_pairs, at_one_node)
{
  std::uint64_t seed = 4202612;
  for (const Fault& first : Faults()) {
    for (const Fault& second : Faults()) {
      FaultPairTrial(first, second, kFirstTarget, ++seed).Run();
    }
  }
}
