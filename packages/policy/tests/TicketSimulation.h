/** \file
 * Simulates several executors in virtual time with message loss, duplication, reordering and delay,
 * process restarts, pauses and clock offsets. A simple model records which tickets were started and
 * which outcomes were sent, and each decision of TicketTable is checked against it.
 */
#pragma once

#include "policy/TicketTable.h"

#include <cstdint>
#include <map>
#include <numeric>
#include <ostream>
#include <rapidcheck.h>
#include <set>
#include <string>
#include <vector>

namespace fulmarway {

/** One operation; the fields select its kind, node, ticket and variant. */
struct TicketSimulationStep
{
  std::uint32_t kind_ = 0;
  std::uint32_t node_ = 0;
  std::uint32_t ticket_ = 0;
  std::uint32_t variant_ = 0;
};

inline void
showValue(const TicketSimulationStep& aStep, std::ostream& aStream)
{
  aStream << '{' << aStep.kind_ << ',' << aStep.node_ << ',' << aStep.ticket_ << ','
          << aStep.variant_ << '}';
}

struct IssuedTicket
{
  Ticket ticket_;
  int starts_ = 0;
  bool refusedNotRun_ = false;
  bool answered_ = false;
  Answer answer_;
};

/** One process; replaced when its node restarts. */
struct Executor
{
  TicketTable table_;
  /** Offset of the process's clock from the time of the simulation. */
  Duration clockOffset_{ 0 };
  std::set<std::size_t> queued_;
  std::set<std::size_t> running_;
  /** Requesters that wait for an outcome, with the index of their ticket. */
  std::map<std::uint64_t, std::size_t> waiting_;
  /** The parts returned by BeginHandover(); further calls must return the same ones. */
  std::vector<Handover> parts_;
  bool confirmed_ = false;
};

class TicketSimulation
{
public:
  explicit TicketSimulation(std::size_t aMaxTickets)
  {
    settings_ = { std::chrono::seconds(10), 3, aMaxTickets, 300, 120, 250 };
    for (std::size_t node = 0; node < kNodes; ++node) {
      nodes_.emplace_back();
      Restart(node);
    }
  }

  void Run(const std::vector<TicketSimulationStep>& aSteps)
  {
    for (const TicketSimulationStep& step : aSteps) {
      Apply(step);
      for (const Executor& node : nodes_) {
        CheckBounds(node);
      }
    }
    for (std::size_t node = 0; node < kNodes; ++node) {
      FinishAll(node);
      RC_ASSERT(nodes_[node].waiting_.empty());
    }
  }

  int Starts() const
  {
    return std::accumulate(issued_.begin(), issued_.end(), 0, [](int aSum, const auto& aTicket) {
      return aSum + aTicket.starts_;
    });
  }
  int Handovers() const { return handovers_; }

private:
  static constexpr std::size_t kNodes = 4;

  static NodeId IdOf(std::size_t aNode) { return NodeId{ 100 + aNode }; }
  Instant LocalTime(const Executor& aNode) const { return Instant{ now_ } + aNode.clockOffset_; }

  template<typename Result>
  static Result UpdateTable(Executor& aNode, Step<TicketTable, Result> aStep)
  {
    aNode.table_ = std::move(aStep.state_);
    return std::move(aStep.result_);
  }

  /** Discards the state of the process and starts a new incarnation. */
  void Restart(std::size_t aNode)
  {
    Executor& node = nodes_[aNode];
    node = Executor{};
    node.clockOffset_ = std::chrono::seconds(7 * (++incarnations_ % 11));
    node.table_ =
      MakeTicketTable(settings_, IdOf(aNode), Incarnation{ 1, incarnations_ }, LocalTime(node));
  }

  void Apply(const TicketSimulationStep& aStep)
  {
    const std::size_t node = aStep.node_ % kNodes;
    const std::size_t variant = aStep.variant_;
    if (issued_.empty()) {
      Issue(node, variant);
    }
    const std::size_t recent = std::min<std::size_t>(issued_.size(), variant % 4 == 0 ? 1000 : 8);
    const std::size_t ticket = issued_.size() - 1 - aStep.ticket_ % recent;
    switch (aStep.kind_ % 24) {
      case 0:
      case 1:
      case 2:
        return Issue(node, variant);
      case 3:
      case 4:
      case 5:
      case 6:
      case 7:
        return Present(node, ticket, variant);
      case 8:
      case 9:
        return PresentEverywhere(ticket, variant);
      case 10:
      case 11:
        return Start(node, ticket);
      case 12:
      case 13:
        return StartAll(node);
      case 14:
        return Complete(node, ticket, variant);
      case 15:
        return Close(node, ticket);
      case 16:
        return variant % 2 == 0 ? Abandon(node, ticket) : RemoveOneWaiter(node, ticket);
      case 17:
        return FinishAll(node);
      case 18:
        return Begin(node, aStep.ticket_ % kNodes, variant);
      case 19:
        FinishAll(node);
        return Begin(node, aStep.ticket_ % kNodes, variant);
      case 20:
        return Deliver(aStep.ticket_, variant);
      case 21:
        return DeliverAll(aStep.ticket_, variant);
      case 22:
        return variant % 4 == 0 ? Restart(node) : Tick(node);
      default:
        return AdvanceTime(variant);
    }
  }

  void Issue(std::size_t aNode, std::size_t aVariant)
  {
    const Executor& node = nodes_[aNode];
    const std::uint32_t ahead = aVariant % 8 == 0 ? 3 : aVariant % 8 == 1 ? 1 : 0;
    const std::uint64_t number = issued_.size();
    // Only three different MACs, so that tickets of a full table share buckets.
    issued_.push_back({ { IdOf(aNode),
                          node.table_.incarnation_,
                          CurrentEpoch(node.table_, LocalTime(node)) + ahead,
                          { 5, number },
                          { 6, number % 3 } } });
  }

  void Present(std::size_t aNode, std::size_t aTicket, std::size_t aVariant)
  {
    Executor& node = nodes_[aNode];
    IssuedTicket& issued = issued_[aTicket];
    const std::uint64_t requester =
      aVariant % 8 == 3 ? DuplicateRequester(node, aTicket) : ++requesters_;
    const std::uint64_t digest = aVariant % 16 == 5 ? 1 : 2;
    const TicketDecision decision = UpdateTable(
      node,
      PresentTicket(
        std::move(node.table_), issued.ticket_, digest, RequestId{ requester }, LocalTime(node)));
    RC_ASSERT(node.parts_.empty() || decision.refusal_.reason_ == Reason::kTicketMoved);
    switch (decision.action_) {
      case TicketAction::kExecute:
        RC_ASSERT(node.queued_.insert(aTicket).second);
        node.waiting_[requester] = aTicket;
        break;
      case TicketAction::kJoined:
        RC_ASSERT(node.queued_.contains(aTicket) || node.running_.contains(aTicket));
        node.waiting_[requester] = aTicket;
        break;
      case TicketAction::kReplay:
        RC_ASSERT(issued.answered_);
        RC_ASSERT(decision.answer_ == issued.answer_);
        break;
      case TicketAction::kRefuse:
        CheckRefusal(node, issued, decision);
        break;
    }
  }

  /** A request that already waits for the ticket, as if its frame was duplicated; a new one if
   * there is none. */
  std::uint64_t DuplicateRequester(const Executor& aNode, std::size_t aTicket)
  {
    for (const auto& [requester, ticket] : aNode.waiting_) {
      if (ticket == aTicket) {
        return requester;
      }
    }
    return ++requesters_;
  }

  static void CheckRefusal(const Executor& aNode,
                           IssuedTicket& aIssued,
                           const TicketDecision& aDecision)
  {
    const Refusal& refusal = aDecision.refusal_;
    if (refusal.verdict_ == Verdict::kNotRun) {
      RecordNotRun(aIssued);
    }
    RC_ASSERT(refusal.verdict_ != Verdict::kRan || aIssued.answered_);
    if (refusal.reason_ == Reason::kTicketMoved) {
      RC_ASSERT(!aNode.parts_.empty());
      RC_ASSERT(aDecision.successor_ == aNode.parts_.front().successor_);
      RC_ASSERT(refusal.verdict_ == Verdict::kMayHaveRun);
    }
  }

  static void RecordNotRun(IssuedTicket& aIssued)
  {
    RC_ASSERT(aIssued.starts_ == 0);
    aIssued.refusedNotRun_ = true;
  }

  void PresentEverywhere(std::size_t aTicket, std::size_t aVariant)
  {
    for (std::size_t node = 0; node < kNodes; ++node) {
      Present(node, aTicket, aVariant);
    }
  }

  void Start(std::size_t aNode, std::size_t aTicket)
  {
    Executor& node = nodes_[aNode];
    IssuedTicket& issued = issued_[aTicket];
    const bool started = UpdateTable(node, StartTicket(std::move(node.table_), issued.ticket_));
    RC_ASSERT(started == (node.queued_.erase(aTicket) == 1));
    if (started) {
      RC_ASSERT(node.parts_.empty());
      RC_ASSERT(issued.starts_ == 0);
      RC_ASSERT(!issued.refusedNotRun_);
      ++issued.starts_;
      node.running_.insert(aTicket);
    }
  }

  void StartAll(std::size_t aNode)
  {
    const auto queued = nodes_[aNode].queued_;
    for (const std::size_t ticket : queued) {
      Start(aNode, ticket);
    }
  }

  /** Checks that each waiter is notified exactly once: all of them when the ticket is finished,
   * none before. */
  static void CheckNotified(Executor& aNode,
                            std::size_t aTicket,
                            const Waiters& aNotified,
                            bool aFinishes)
  {
    RC_ASSERT(aFinishes || aNotified.empty());
    for (const RequestId requester : aNotified) {
      const auto waiting = aNode.waiting_.find(requester.value_);
      RC_ASSERT(waiting != aNode.waiting_.end());
      RC_ASSERT(waiting->second == aTicket);
      aNode.waiting_.erase(waiting);
    }
    if (aFinishes) {
      for (const auto& [requester, ticket] : aNode.waiting_) {
        RC_ASSERT(ticket != aTicket);
      }
    }
  }

  void Complete(std::size_t aNode, std::size_t aTicket, std::size_t aVariant)
  {
    Executor& node = nodes_[aNode];
    IssuedTicket& issued = issued_[aTicket];
    const Answer answer{ 200, "text/plain", std::string(aVariant % 128, 'x') };
    const Waiters notified =
      UpdateTable(node, CompleteTicket(std::move(node.table_), issued.ticket_, answer));
    const bool finishes = node.running_.erase(aTicket) == 1;
    CheckNotified(node, aTicket, notified, finishes);
    if (finishes) {
      issued.answered_ = true;
      issued.answer_ = answer;
    }
  }

  void Close(std::size_t aNode, std::size_t aTicket)
  {
    Executor& node = nodes_[aNode];
    IssuedTicket& issued = issued_[aTicket];
    const Waiters notified =
      UpdateTable(node, CloseTicket(std::move(node.table_), issued.ticket_, Reason::kShedByQueue));
    const bool finishes = node.queued_.erase(aTicket) == 1;
    CheckNotified(node, aTicket, notified, finishes);
    if (finishes) {
      RecordNotRun(issued);
    }
  }

  void Abandon(std::size_t aNode, std::size_t aTicket)
  {
    Executor& node = nodes_[aNode];
    const Waiters notified = UpdateTable(
      node, AbandonTicket(std::move(node.table_), issued_[aTicket].ticket_, Reason::kBackendLost));
    const bool finishes = node.queued_.erase(aTicket) + node.running_.erase(aTicket) == 1;
    CheckNotified(node, aTicket, notified, finishes);
  }

  void RemoveOneWaiter(std::size_t aNode, std::size_t aTicket)
  {
    Executor& node = nodes_[aNode];
    std::uint64_t removed = 0;
    std::size_t remaining = 0;
    for (const auto& [requester, ticket] : node.waiting_) {
      remaining += ticket == aTicket ? 1 : 0;
      removed = ticket == aTicket ? requester : removed;
    }
    remaining -= node.waiting_.erase(removed);
    const std::size_t reported = UpdateTable(
      node,
      RemoveTicketWaiter(std::move(node.table_), issued_[aTicket].ticket_, RequestId{ removed }));
    RC_ASSERT(reported == remaining);
  }

  void FinishAll(std::size_t aNode)
  {
    const auto queued = nodes_[aNode].queued_;
    const auto running = nodes_[aNode].running_;
    for (const std::size_t ticket : queued) {
      Close(aNode, ticket);
    }
    for (const std::size_t ticket : running) {
      Complete(aNode, ticket, ticket * 31);
    }
  }

  void Begin(std::size_t aNode, std::size_t aSuccessor, std::size_t aVariant)
  {
    Executor& node = nodes_[aNode];
    const Incarnation incarnation = nodes_[aSuccessor].table_.incarnation_;
    const bool first = node.parts_.empty();
    const std::vector<Handover> parts = UpdateTable(
      node, BeginHandover(std::move(node.table_), IdOf(aSuccessor), incarnation, LocalTime(node)));
    if (!node.queued_.empty() || !node.running_.empty() || aSuccessor == aNode) {
      RC_ASSERT(parts.empty());
      return;
    }
    const bool same = first || (node.parts_.front().successor_ == IdOf(aSuccessor) &&
                                node.parts_.front().successorIncarnation_ == incarnation);
    RC_ASSERT(parts.empty() != same);
    if (parts.empty()) {
      return;
    }
    RC_ASSERT(first || parts == node.parts_);
    node.parts_ = parts;
    for (const Handover& part : parts) {
      // One part in four is lost in transit.
      if ((aVariant++ * 7 + part.part_) % 4 != 0) {
        inTransit_.push_back(part);
      }
    }
  }

  /** Delivers one message. Three times in four it remains in transit, so that a duplicate can
   * arrive at any later time. */
  void Deliver(std::size_t aMessage, std::size_t aVariant)
  {
    if (inTransit_.empty()) {
      return;
    }
    const std::size_t index = inTransit_.size() - 1 - aMessage % inTransit_.size();
    const Handover part = inTransit_[index];
    if (aVariant % 4 == 0) {
      inTransit_.erase(inTransit_.begin() + static_cast<std::ptrdiff_t>(index));
    }
    DeliverPart(part, aVariant);
  }

  /** Delivers all parts of one handover that are in transit. */
  void DeliverAll(std::size_t aMessage, std::size_t aVariant)
  {
    if (inTransit_.empty()) {
      return;
    }
    const Handover chosen = inTransit_[inTransit_.size() - 1 - aMessage % inTransit_.size()];
    for (const Handover& part : inTransit_) {
      if (part.from_ == chosen.from_ && part.incarnation_ == chosen.incarnation_) {
        DeliverPart(part, aVariant);
      }
    }
  }

  /** Delivers the part to the current incarnation of the node, which may not be the addressee. */
  void DeliverPart(const Handover& aPart, std::size_t aVariant)
  {
    Executor& receiver = nodes_[aPart.successor_.value_ - IdOf(0).value_];
    const auto accepted = UpdateTable(
      receiver, ReceiveHandoverPart(std::move(receiver.table_), aPart, LocalTime(receiver)));
    handovers_ += accepted == true ? 1 : 0;
    if (accepted == true && aVariant % 3 != 0) {
      Executor& sender = nodes_[aPart.from_.value_ - IdOf(0).value_];
      const bool ended = UpdateTable(
        sender, ConfirmHandover(std::move(sender.table_), { aPart.from_, aPart.incarnation_ }));
      const bool expected = sender.table_.incarnation_ == aPart.incarnation_ && !sender.confirmed_;
      RC_ASSERT(ended == expected);
      sender.confirmed_ = sender.confirmed_ || ended;
    }
  }

  void Tick(std::size_t aNode)
  {
    Executor& node = nodes_[aNode];
    node.table_ = AdvanceTickets(std::move(node.table_), LocalTime(node));
  }

  /** Advances the time by a fraction of an epoch up to more than any timeout. A process sees the
   * new time only at its next event, as if it was paused until then. */
  void AdvanceTime(std::size_t aVariant)
  {
    constexpr int kSeconds[] = { 1, 4, 10, 10, 10, 30, 60, 300 };
    now_ += std::chrono::seconds(kSeconds[aVariant % std::size(kSeconds)]);
  }

  void CheckBounds(const Executor& aNode) const
  {
    const TicketTable& table = aNode.table_;
    std::size_t entries = 0;
    std::size_t answers = 0;
    for (const auto& [key, tickets] : table.executors_) {
      for (const auto& [epoch, ofEpoch] : tickets.epochs_) {
        entries += ofEpoch.entries_.size();
        for (const auto& [ticket, entry] : ofEpoch.entries_) {
          answers += FindCachedAnswer(table.answerCache_, entry.answer_) ? 1 : 0;
        }
      }
    }
    std::size_t bytes = 0;
    for (const auto& [number, answer] : table.answerCache_.byNumber_) {
      bytes += answer.text_.size();
    }
    RC_ASSERT(TicketCount(table) == entries);
    RC_ASSERT(entries <= settings_.maxTickets_);
    RC_ASSERT(table.answerCache_.bytes_ == bytes);
    RC_ASSERT(table.answerCache_.byNumber_.size() == answers);
    RC_ASSERT(bytes <= settings_.maxAnswerBytes_);
    RC_ASSERT(CountUnfinishedTickets(table) == aNode.queued_.size() + aNode.running_.size());
    RC_ASSERT(table.received_.incomplete_.size() <= kMaxIncompleteHandovers);
  }

  TicketSettings settings_;
  Duration now_{ 0 };
  std::vector<Executor> nodes_;
  std::vector<IssuedTicket> issued_;
  std::vector<Handover> inTransit_;
  std::uint64_t requesters_ = 0;
  std::uint64_t incarnations_ = 0;
  int handovers_ = 0;
};

} // namespace fulmarway
