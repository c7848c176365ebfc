/** \file
 * Deterministic simulation of a few nodes. Their reducers run against fakes of callers, backend
 * servers, the log service and the network, in virtual time and with a fixed seed.
 */
#pragma once

#include "policy/Reducer.h"

#include <cstdint>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace fulmarway::session {

using NodeIndex = std::size_t;

/** One-way delay between nodes and between callers and nodes. */
inline constexpr Duration kNetworkDelay = std::chrono::microseconds(500);

/** A reply to a caller, with the time at which the node sent it. */
struct CallerOutcome
{
  CallerReply reply_;
  Instant at_;
};

struct NodeOptions
{
  std::string service_;
  std::string domain_;
  std::string region_ = "west";
};

class Session
{
public:
  explicit Session(std::uint64_t aSeed);

  /** Adds a node with a healthy backend server. The first node is the seed of all others. */
  NodeIndex AddNode(const NodeOptions& aOptions);

  /** Advances virtual time. */
  void Run(Duration aTime);

  ExchangeId Call(NodeIndex aEntry, CallerRequest aRequest);

  /** The caller closes its connection; later replies are discarded. */
  void Disconnect(NodeIndex aEntry, ExchangeId aExchange);

  /** Sends an operator's command; the outcome is in the transcript and in CommandReplies(). */
  ExchangeId Operate(NodeIndex aNode,
                     const Command& aCommand,
                     std::uint64_t aBaseVersion = 0,
                     const std::string& aOperator = "operator");

  /** Declares service "orders" with kinds lookup (idempotent) and confirm (critical, once). */
  void DeclareOrders(NodeIndex aNode);

  /** Requests a ticket for orders/confirm from a node and waits for it. */
  Ticket TicketFrom(NodeIndex aEntry);

  // Fault injection.
  void Cut(const std::string& aDomain, bool aIsCut);
  void Pause(NodeIndex aNode, bool aIsPaused);
  void Kill(NodeIndex aNode);
  void Restart(NodeIndex aNode);
  void Stop(NodeIndex aNode);
  void SetLogDown(bool aIsDown) { logDown_ = aIsDown; }
  void LoseAppendAnswers(int aCount) { lostAppendAnswers_ = aCount; }
  /** Existing connections to the node drop all messages; new ones work. */
  void SilenceConnectionsTo(NodeIndex aNode);
  /** Breaks the connections to the backend server; requests already written to them fail. */
  void BreakBackend(NodeIndex aNode);
  void SetServiceTime(NodeIndex aNode, Duration aTime);

  const NodeState& State(NodeIndex aNode) const { return nodes_.at(aNode).state_; }
  bool HasExited(NodeIndex aNode) const { return nodes_.at(aNode).exited_; }
  const std::map<ExchangeId, CallerOutcome>& Replies() const { return replies_; }
  std::optional<CallerReply> ReplyTo(ExchangeId aExchange) const;
  const std::map<ExchangeId, CommandReply>& CommandReplies() const { return commandReplies_; }
  /** Returns how often backend servers executed requests of a kind for a root request. */
  int Executions(const std::string& aRootRequestId, const std::string& aKind) const;
  /** When the backend server of the node last started a request. */
  std::optional<Instant> LastStart(NodeIndex aNode) const { return nodes_.at(aNode).lastStart_; }
  Instant Now() const { return now_; }
  const std::string& Transcript() const { return transcript_; }
  void RecordLine(const std::string& aLine);

private:
  struct Link
  {
    NodeIndex from_ = 0;
    NodeIndex to_ = 0;
    bool silent_ = false;
    std::set<AttemptId> openAttempts_;
    std::optional<Instant> blockedSince_;
  };

  struct FakeNode
  {
    NodeOptions options_;
    NodeState state_;
    std::uint64_t incarnationNumber_ = 0;
    bool paused_ = false;
    bool alive_ = true;
    bool exited_ = false;
    Duration serviceTime_ = std::chrono::milliseconds(10);
    std::map<RequestId, BackendRequest> executing_;
    std::optional<Instant> lastStart_;
    /** Events that arrive while the node is paused. */
    std::vector<EventBody> heldEvents_;
  };

  struct Scheduled
  {
    Instant at_;
    std::uint64_t order_ = 0;
    NodeIndex node_ = 0;
    std::uint64_t incarnationNumber_ = 0;
    EventBody body_;

    bool operator<(const Scheduled& aOther) const
    {
      return std::tie(at_, order_) > std::tie(aOther.at_, aOther.order_);
    }
  };

  static std::string AddressOf(NodeIndex aNode);
  std::optional<NodeIndex> FindByAddress(const std::string& aAddress) const;
  bool CanReach(NodeIndex aFrom, NodeIndex aTo) const;
  NodeSettings MakeSettings(NodeIndex aNode);
  void Start(NodeIndex aNode);
  void Schedule(Duration aDelay, NodeIndex aNode, EventBody aBody);
  void Deliver(NodeIndex aNode, EventBody aBody);
  void LoseLink(LinkId aLink, bool aWritten);
  void CheckLinks();

  void Perform(NodeIndex aNode, const SendToPeer& aEffect);
  void Perform(NodeIndex aNode, const SendToLink& aEffect);
  void Perform(NodeIndex aNode, const SendGossip& aEffect);
  void Perform(NodeIndex aNode, const ReplyToCaller& aEffect);
  void Perform(NodeIndex aNode, const CallBackend& aEffect);
  void Perform(NodeIndex aNode, const CancelBackend& aEffect);
  void Perform(NodeIndex aNode, const ReadLog& aEffect);
  void Perform(NodeIndex aNode, const AppendLog& aEffect);
  void Perform(NodeIndex aNode, const ReplyToCommand& aEffect);
  void Perform(NodeIndex aNode, const ReplyInForce& aEffect);
  void Perform(NodeIndex aNode, const LogLine& aEffect);
  // No effect here: sessions use health checks and the log service instead of heartbeats and a
  // store, and have no caller connections.
  void Perform(NodeIndex, const CloseIdleBackendConnections&) {}
  void Perform(NodeIndex, const AcknowledgeNotice&) {}
  void Perform(NodeIndex, const CallStore&) {}
  void Perform(NodeIndex, const PermitBody&) {}
  void Perform(NodeIndex, const SetCallerLimits&) {}
  void Perform(NodeIndex, const CloseAfterReplies&) {}
  void Perform(NodeIndex aNode, const StopAccepting& aEffect);
  void Perform(NodeIndex aNode, const ExitProcess& aEffect);

  Instant now_{ std::chrono::seconds(1000) };
  Instant nextTick_;
  RandomStream random_;
  std::uint64_t nextOrder_ = 1;
  std::uint64_t nextExchange_ = 1;
  std::uint64_t nextLink_ = 1;
  std::vector<FakeNode> nodes_;
  std::priority_queue<Scheduled> queue_;
  std::map<LinkId, Link> links_;
  std::set<std::string> cutDomains_;
  std::vector<LogRecord> log_;
  bool logDown_ = false;
  int lostAppendAnswers_ = 0;
  std::map<ExchangeId, CallerOutcome> replies_;
  std::set<ExchangeId> disconnected_;
  std::map<ExchangeId, CommandReply> commandReplies_;
  std::map<std::pair<std::string, std::string>, int> executions_;
  std::string transcript_;
};

/** Returns a caller's request to orders/lookup or orders/confirm. */
CallerRequest
MakeCallerRequest(const std::string& aKind, const std::string& aRootRequestId);

CallerRequest
MakeConfirm(const std::string& aRootRequestId, const Ticket& aTicket, std::uint32_t aAttempt = 1);

/** Compares the transcript with tests/golden/NAME.txt; rewrites it when FULMARWAY_UPDATE_GOLDEN is
 * set. */
void
CheckGolden(const Session& aSession, const std::string& aName);

} // namespace fulmarway::session
