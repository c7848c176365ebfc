#include "Session.h"

#include <criterion/criterion.h>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace fulmarway::session {

Session::Session(std::uint64_t aSeed)
  : nextTick_(now_)
  , random_{ aSeed }
{
}

void
Session::Schedule(Duration aDelay, NodeIndex aNode, EventBody aBody)
{
  queue_.push(
    { now_ + aDelay, nextOrder_++, aNode, nodes_[aNode].incarnationNumber_, std::move(aBody) });
}

void
Session::Deliver(NodeIndex aNode, EventBody aBody)
{
  FakeNode& node = nodes_[aNode];
  if (!node.alive_) {
    return;
  }
  if (node.paused_) {
    if (!std::holds_alternative<Tick>(aBody)) {
      node.heldEvents_.push_back(std::move(aBody));
    }
    return;
  }
  const auto wallTimeMs = static_cast<std::uint64_t>(now_.time_since_epoch().count() / 1000);
  auto step =
    Reduce(std::move(node.state_), { now_, random_.Next(), wallTimeMs, std::move(aBody) });
  node.state_ = std::move(step.state_);
  for (const Effect& effect : step.result_) {
    std::visit([&](const auto& aEffect) { Perform(aNode, aEffect); }, effect);
  }
}

void
Session::Run(Duration aTime)
{
  const Instant end = now_ + aTime;
  while (true) {
    const Instant next = queue_.empty() ? nextTick_ : std::min(queue_.top().at_, nextTick_);
    if (next > end) {
      now_ = end;
      return;
    }
    now_ = next;
    if (!queue_.empty() && queue_.top().at_ <= now_) {
      Scheduled scheduled = queue_.top();
      queue_.pop();
      if (nodes_[scheduled.node_].incarnationNumber_ == scheduled.incarnationNumber_) {
        Deliver(scheduled.node_, std::move(scheduled.body_));
      }
      continue;
    }
    nextTick_ += kTickInterval;
    CheckLinks();
    for (NodeIndex node = 0; node < nodes_.size(); ++node) {
      Deliver(node, Tick{});
    }
  }
}

ExchangeId
Session::Call(NodeIndex aEntry, CallerRequest aRequest)
{
  const ExchangeId exchange{ nextExchange_++ };
  aRequest.callerAddress_ = "10.1.0.1";
  RecordLine("caller sends " + aRequest.kind_ + " click " + aRequest.rootRequestId_.value_or("-") +
             " attempt " + std::to_string(aRequest.attempt_) + " to n" + std::to_string(aEntry));
  Schedule(kNetworkDelay, aEntry, CallerRequestArrived{ exchange, std::move(aRequest) });
  return exchange;
}

void
Session::Disconnect(NodeIndex aEntry, ExchangeId aExchange)
{
  disconnected_.insert(aExchange);
  Schedule(kNetworkDelay, aEntry, CallerDisconnected{ aExchange });
}

ExchangeId
Session::Operate(NodeIndex aNode,
                 const Command& aCommand,
                 std::uint64_t aBaseVersion,
                 const std::string& aOperator)
{
  const ExchangeId exchange{ nextExchange_++ };
  RecordLine(aOperator + " sends \"" + FormatCommand(aCommand) + "\" to n" + std::to_string(aNode));
  Schedule(
    kNetworkDelay,
    aNode,
    CommandArrived{ exchange, CommandId{ random_.Next() }, aOperator, aBaseVersion, aCommand });
  return exchange;
}

void
Session::DeclareOrders(NodeIndex aNode)
{
  const KindSpec lookup{ "lookup", Importance::kNormal, true, 2, std::chrono::seconds(2), false };
  const KindSpec confirm{
    "confirm", Importance::kCritical, false, 0, std::chrono::seconds(4), false
  };
  Operate(aNode, DeclareService{ "orders", 4, 100, 25 });
  Run(std::chrono::milliseconds(200));
  Operate(aNode, DeclareKind{ "orders", lookup });
  Run(std::chrono::milliseconds(200));
  Operate(aNode, DeclareKind{ "orders", confirm });
  Run(std::chrono::seconds(2));
}

Ticket
Session::TicketFrom(NodeIndex aEntry)
{
  CallerRequest request = MakeCallerRequest("confirm", "ticket");
  request.ticketOnly_ = true;
  const ExchangeId exchange = Call(aEntry, request);
  Run(std::chrono::milliseconds(5));
  const auto reply = ReplyTo(exchange);
  cr_assert(reply && reply->ticket_, "no ticket was issued");
  return *reply->ticket_;
}

std::optional<CallerReply>
Session::ReplyTo(ExchangeId aExchange) const
{
  const auto found = replies_.find(aExchange);
  return found == replies_.end() ? std::nullopt : std::optional(found->second.reply_);
}

void
Session::RecordLine(const std::string& aLine)
{
  char time[32];
  const double seconds =
    static_cast<double>((now_ - Instant(std::chrono::seconds(1000))).count()) / 1e6;
  std::snprintf(time, sizeof time, "%8.3f ", seconds);
  transcript_ += time + aLine + '\n';
}

void
Session::Perform(NodeIndex aNode, const ReplyToCaller& aEffect)
{
  const CallerReply& reply = aEffect.reply_;
  if (disconnected_.contains(aEffect.exchange_)) {
    return;
  }
  std::string line = "n" + std::to_string(aNode) + " replies click " + reply.rootRequestId_ + " " +
                     std::string(ToString(reply.outcome_.verdict_));
  if (reply.outcome_.reason_ != Reason::kNone) {
    line += " " + std::string(ToString(reply.outcome_.reason_));
  }
  if (reply.answer_ && reply.ticket_ != std::nullopt && reply.rootRequestId_.empty()) {
    line = "n" + std::to_string(aNode) + " issues a ticket";
  }
  RecordLine(line);
  replies_.emplace(aEffect.exchange_, CallerOutcome{ reply, now_ });
}

void
Session::Perform(NodeIndex aNode, const ReplyToCommand& aEffect)
{
  RecordLine("n" + std::to_string(aNode) +
             " answers the operator: " + std::string(ToString(aEffect.reply_.outcome_)) +
             " version " + std::to_string(aEffect.reply_.version_));
  commandReplies_.emplace(aEffect.exchange_, aEffect.reply_);
}

void
Session::Perform(NodeIndex aNode, const ReplyInForce& aEffect)
{
  std::string line = "n" + std::to_string(aNode) + " in force:";
  for (const DomainInForce& domain : aEffect.document_.domains_) {
    line += " " + domain.domain_ + " " + std::to_string(domain.inForce_) + "/" +
            std::to_string(domain.members_) + (domain.reachable_ ? "" : " unreachable");
  }
  RecordLine(line);
}

void
Session::Perform(NodeIndex aNode, const LogLine& aEffect)
{
  std::string line = "n" + std::to_string(aNode) + " log event=" + aEffect.event_;
  for (const auto& [name, value] : aEffect.fields_) {
    line += " " + name + "=" + value;
  }
  RecordLine(line);
}

CallerRequest
MakeCallerRequest(const std::string& aKind, const std::string& aRootRequestId)
{
  CallerRequest request;
  request.service_ = "orders";
  request.kind_ = aKind;
  request.rootRequestId_ = aRootRequestId;
  return request;
}

CallerRequest
MakeConfirm(const std::string& aRootRequestId, const Ticket& aTicket, std::uint32_t aAttempt)
{
  CallerRequest request = MakeCallerRequest("confirm", aRootRequestId);
  request.ticket_ = aTicket;
  request.attempt_ = aAttempt;
  return request;
}

void
CheckGolden(const Session& aSession, const std::string& aName)
{
  const std::string path = std::string(FULMARWAY_TEST_DATA) + "/golden/" + aName + ".txt";
  if (std::getenv("FULMARWAY_UPDATE_GOLDEN") != nullptr) {
    std::ofstream(path) << aSession.Transcript();
  }
  std::ostringstream expected;
  expected << std::ifstream(path).rdbuf();
  cr_assert(expected.str() == aSession.Transcript(),
            "transcript differs from %s:\n%s",
            path.c_str(),
            aSession.Transcript().c_str());
}

} // namespace fulmarway::session
