/** \file
 * The event loop of a node: passes socket input and timers to the reducer as events, and performs
 * the effects that it returns.
 */
#pragma once

#include "node/AdminApi.h"
#include "node/HeldBytes.h"
#include "node/HttpClient.h"
#include "node/HttpServer.h"
#include "node/LogLimiter.h"
#include "node/Metrics.h"
#include "node/NodeInterface.h"
#include "node/PeerLinks.h"
#include "node/Settings.h"
#include "node/Signals.h"
#include "policy/BackendHealth.h"
#include "policy/Reducer.h"

#include <Poco/Net/DatagramSocket.h>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace fulmarway {

/** The node's only sources of time and randomness. */
struct NodeClock
{
  std::function<Instant()> now_;
  std::function<std::uint64_t()> wallTimeMs_;
  std::function<std::uint64_t()> entropy_;
};

/** Returns the number of log lines dropped because the reader of the log did not keep up. */
using DroppedLogLines = std::function<std::uint64_t()>;

class Node
{
public:
  /** Opens all sockets. Throws Poco::Exception when an address cannot be used. */
  Node(const ProcessSettings& aSettings,
       NodeInterface aInterface,
       NodeClock aClock,
       DroppedLogLines aDroppedLogLines);

  /** Runs the event loop until the graceful stop is complete. */
  void Run(const ReceivedSignals& aSignals);

private:
  /** Token of the only log read in flight; all other tokens are those of appends. */
  static constexpr std::uint64_t kLogReadToken = ~std::uint64_t{ 2 };
  /** Size of the IP and UDP headers of a datagram. */
  static constexpr std::size_t kDatagramHeaderBytes = 28;

  void Dispatch(EventBody aBody);
  void DrainQueue();
  void RunEffects(Effects aEffects);
  void RunTick();
  void ProcessSignals(const ReceivedSignals& aSignals);
  /** Enforces timeouts on all connections, starts health checks and reports omitted log lines. */
  void CheckSockets();
  /** Runs the handler of a socket. An exception ends its connection and not the process. */
  void RunSafely(const SocketKey& aKey, const std::function<void()>& aHandler);
  void HandleReady(const ReadySocket& aReady);
  /** Counts what the process holds. Between two counts, CountAccepted() adds to it. */
  void CountHeldBytes();
  void CountAccepted(std::size_t aBytes) { held_.requests_ += aBytes; }
  /** Keeps the sum within the limit at the cost of connections of callers. */
  void LimitHeldBytes();
  bool HasRequestsSentAhead() const;
  /** Reads at most one request that was sent ahead of each connection. */
  void ReadRequestsSentAhead();
  void HandleCallerEvents(HttpServerEvents aEvents);
  /** Whether a caller's request is of a route whose requests may be sent again after any outcome.
   */
  bool IsRepeatable(const Poco::Net::HTTPRequest& aHead) const;
  /** Replies to a request that is invalid. */
  std::optional<CallerRequest> ParseCallerRequest(ExchangeId aExchange,
                                                  const std::string& aPeer,
                                                  const Poco::Net::HTTPRequest& aHead,
                                                  std::string aBody);
  void HandleAdminEvents(HttpServerEvents aEvents);
  void SendAdminReply(ExchangeId aExchange, const AdminReply& aReply);
  void ReadGossip();
  /** Queues the events from peers, backend server, log service and store. */
  void CollectResults();
  void CollectPeerEvents();
  void CollectBackendResults();
  /** Counts and logs the answer of the server, if there was one that cannot be used. */
  void RecordInvalidAnswer(const HttpResult& aResult,
                           const char* aServer,
                           const std::string& aRequest);
  void CollectLogResults();
  void CollectStoreResults();
  void HandleHeartbeatEvents(HttpServerEvents aEvents);
  void ReplyToHeartbeat(ExchangeId aExchange, std::uint16_t aStatus);
  void HandleLogResult(HttpResult aResult);
  void CheckBackend();
  void UpdateHealth(BackendHealth aHealth);
  bool HasPendingOutput() const;
  LoopCounters CurrentCounters() const;

  void RunEffect(ReplyToCaller& aEffect);
  void RunEffect(PermitBody& aEffect);
  void RunEffect(SendToPeer& aEffect);
  void RunEffect(SendToLink& aEffect);
  void RunEffect(SendGossip& aEffect);
  void RunEffect(CallBackend& aEffect);
  void RunEffect(CancelBackend& aEffect);
  void RunEffect(CloseIdleBackendConnections& aEffect);
  void RunEffect(AcknowledgeNotice& aEffect);
  void RunEffect(CallStore& aEffect);
  void RunEffect(ReadLog& aEffect);
  void RunEffect(AppendLog& aEffect);
  void RunEffect(ReplyToCommand& aEffect);
  void RunEffect(ReplyInForce& aEffect);
  void RunEffect(LogLine& aEffect);
  void RunEffect(SetCallerLimits& aEffect);
  void RunEffect(CloseAfterReplies& aEffect);
  void RunEffect(StopAccepting& aEffect);
  void RunEffect(ExitProcess& aEffect);

  ProcessSettings settings_;
  NodeInterface interface_;
  NodeClock clock_;
  DroppedLogLines droppedLogLines_;
  Instant now_;
  NodeState state_;
  Poller poller_;
  HeldBytes held_;
  HttpServer callers_;
  HttpServer admin_;
  PeerLinks peers_;
  HttpClient backend_;
  HttpClient healthChecks_;
  std::optional<HttpClient> logService_;
  std::optional<HttpServer> heartbeats_;
  std::optional<HttpClient> store_;
  /** The store calls in flight. */
  std::map<StoreTask, StoreRequest> storeCallsInFlight_;
  Poco::Net::DatagramSocket gossip_;
  BackendHealth health_;
  LogLimiter logLimiter_;
  Instant nextHealthCheckAt_;
  Instant nextSocketCheckAt_;
  bool healthCheckInFlight_ = false;
  std::deque<EventBody> queue_;
  LoopCounters counters_;
  bool exiting_ = false;
  int reloadsSeen_ = 0;
  bool stopSeen_ = false;
};

} // namespace fulmarway
