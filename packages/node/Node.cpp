#include "node/Node.h"

#include "logservice/LogProtocol.h"
#include "policy/CallerRequests.h"
#include "policy/Lifecycle.h"
#include "policy/RequestMemory.h"
#include "policy/RouteTable.h"
#include "wire/Frame.h"
#include "wire/HttpMapping.h"

#include <Poco/Exception.h>
#include <array>
#include <spdlog/spdlog.h>

namespace fulmarway {

namespace {

constexpr Duration kHealthCheckInterval = std::chrono::milliseconds(500);
constexpr Duration kHealthCheckTimeout = std::chrono::seconds(1);
constexpr std::size_t kMaxAdminBodyBytes = 64U << 10;
/** Large enough for a configuration snapshot with its audit trail at the target size. */
constexpr std::size_t kMaxLogBodyBytes = 16U << 20;
/** The store limits a response to about 1 MB. */
constexpr std::size_t kMaxStoreBodyBytes = 2U << 20;
constexpr int kMaxDatagramsPerPoll = 256;
/** Socket timeouts last seconds; request deadlines are enforced by the reducer. */
constexpr Duration kSocketCheckInterval = std::chrono::milliseconds(100);
/** A single backend server sends heartbeats, on a few connections at most. */
constexpr std::size_t kMaxHeartbeatConnections = 64;

HttpResponseHead
MakeResponseHead()
{
  return HttpResponseHead(Poco::Net::HTTPResponse::HTTP_OK);
}

AppendResult
AppendResultOf(const HttpResult& aResult)
{
  switch (aResult.outcome_) {
    case ExchangeOutcome::kNotSent:
      return AppendResult::kRefused;
    case ExchangeOutcome::kLost:
      return AppendResult::kUnknown;
    case ExchangeOutcome::kAnswered:
      break;
  }
  const auto status = aResult.response_->head_.Status();
  if (status == Poco::Net::HTTPResponse::HTTP_OK) {
    return ParseAppendResponse(aResult.response_->body_) ? AppendResult::kAppended
                                                         : AppendResult::kUnknown;
  }
  constexpr unsigned kTooManyRequests = 429;
  return status == kTooManyRequests ? AppendResult::kRefused : AppendResult::kUnknown;
}

/** Sets a new generation and incarnation, which distinguish this process from earlier ones of the
 * same node. */
NodeSettings
WithNewIncarnation(NodeSettings aSettings, const NodeClock& aClock)
{
  aSettings.identity_.generation_ = aClock.wallTimeMs_();
  aSettings.identity_.incarnation_ = { aClock.entropy_(), aClock.entropy_() };
  return aSettings;
}

/** False for listening sockets and the socket for gossip, which serve all peers. */
bool
IsConnection(SocketRole aRole)
{
  return aRole != SocketRole::kCallerListener && aRole != SocketRole::kAdminListener &&
         aRole != SocketRole::kPeerListener && aRole != SocketRole::kHeartbeatListener &&
         aRole != SocketRole::kGossip;
}

} // namespace

Node::Node(const ProcessSettings& aSettings,
           NodeInterface aInterface,
           NodeClock aClock,
           DroppedLogLines aDroppedLogLines)
  : settings_(aSettings)
  , interface_(std::move(aInterface))
  , clock_(std::move(aClock))
  , droppedLogLines_(std::move(aDroppedLogLines))
  , now_(clock_.now_())
  , state_(MakeNodeState(WithNewIncarnation(aSettings.node_, clock_), now_))
  , callers_({ aSettings.listen_,
               SocketRole::kCallerListener,
               SocketRole::kCallerConnection,
               aSettings.maxConnections_,
               kMaxBodyBytes,
               true,
               [this](const Poco::Net::HTTPRequest& aHead) { return IsRepeatable(aHead); } },
             poller_)
  , admin_({ aSettings.adminListen_,
             SocketRole::kAdminListener,
             SocketRole::kAdminConnection,
             64,
             kMaxAdminBodyBytes },
           poller_)
  , peers_(aSettings.peerListen_, state_.settings_.identity_, aSettings.node_.clusterKey_, poller_)
  , backend_({ aSettings.backend_, SocketRole::kBackendConnection, kMaxBodyBytes }, poller_)
  , healthChecks_({ aSettings.backend_, SocketRole::kHealthConnection, kMaxAdminBodyBytes },
                  poller_)
  , gossip_(aSettings.peerListen_, false)
{
  if (aSettings.logService_) {
    logService_.emplace(
      HttpClientSettings{ *aSettings.logService_, SocketRole::kLogConnection, kMaxLogBodyBytes },
      poller_);
  }
  if (interface_.store_ && aSettings.store_) {
    store_.emplace(HttpClientSettings{ *aSettings.store_,
                                       SocketRole::kStoreConnection,
                                       kMaxStoreBodyBytes,
                                       2 * kMaxStoreBodyBytes },
                   poller_);
  }
  if (interface_.heartbeats_ && aSettings.reportListen_) {
    heartbeats_.emplace(HttpServerSettings{ *aSettings.reportListen_,
                                            SocketRole::kHeartbeatListener,
                                            SocketRole::kHeartbeatConnection,
                                            kMaxHeartbeatConnections,
                                            kMaxAdminBodyBytes },
                        poller_);
  }
  gossip_.setBlocking(false);
  poller_.Add({ SocketRole::kGossip, 0 }, gossip_);
}

void
Node::Run(const ReceivedSignals& aSignals)
{
  Instant nextTickAt = now_;
  while (!exiting_) {
    const Duration wait =
      HasRequestsSentAhead() ? Duration(0) : std::max(Duration(0), nextTickAt - now_);
    const auto ready = poller_.Poll(std::chrono::ceil<std::chrono::milliseconds>(wait));
    now_ = clock_.now_();
    for (const ReadySocket& socket : ready) {
      RunSafely(socket.key_, [&] { HandleReady(socket); });
      LimitHeldBytes();
    }
    ReadRequestsSentAhead();
    // A process that was stopped since the last reading may have read requests that were sent
    // meanwhile, and must not decide on them as of a time before the stop.
    now_ = clock_.now_();
    ProcessSignals(aSignals);
    if (now_ >= nextTickAt) {
      nextTickAt = now_ + kTickInterval;
      RunTick();
    }
    CollectResults();
    DrainQueue();
  }
  const Instant flushUntil = now_ + kExitFlushTimeout;
  while (HasPendingOutput() && now_ < flushUntil) {
    for (const ReadySocket& socket : poller_.Poll(kTickInterval)) {
      HandleReady(socket);
    }
    now_ = clock_.now_();
  }
}

bool
Node::HasRequestsSentAhead() const
{
  return callers_.ConnectionsWithInputAhead() > 0 || admin_.ConnectionsWithInputAhead() > 0 ||
         (heartbeats_ && heartbeats_->ConnectionsWithInputAhead() > 0);
}

void
Node::ReadRequestsSentAhead()
{
  const auto readEach = [this](HttpServer& aServer, SocketRole aRole, auto aHandle) {
    for (std::size_t left = aServer.ConnectionsWithInputAhead(); left > 0; --left) {
      RunSafely({ aRole, 0 }, [&] { (this->*aHandle)(aServer.ReadRequestSentAhead(now_)); });
    }
  };
  readEach(callers_, SocketRole::kCallerConnection, &Node::HandleCallerEvents);
  readEach(admin_, SocketRole::kAdminConnection, &Node::HandleAdminEvents);
  if (heartbeats_) {
    readEach(*heartbeats_, SocketRole::kHeartbeatConnection, &Node::HandleHeartbeatEvents);
  }
}

void
Node::ProcessSignals(const ReceivedSignals& aSignals)
{
  if (const int reloads = aSignals.reloads_.load(); reloads != reloadsSeen_) {
    reloadsSeen_ = reloads;
    // Flags and environment variables cannot change during a process; new ones need a restart.
    spdlog::info("event=reload outcome=unchanged config_version={}", ConfigOf(state_).version_);
  }
  if (!stopSeen_ && aSignals.stops_.load() > 0) {
    stopSeen_ = true;
    Dispatch(StopRequested{});
  }
}

bool
Node::HasPendingOutput() const
{
  return callers_.HasPendingOutput() || peers_.HasPendingOutput();
}

void
Node::Dispatch(EventBody aBody)
{
  queue_.push_back(std::move(aBody));
  DrainQueue();
}

void
Node::DrainQueue()
{
  while (!queue_.empty()) {
    const std::size_t limit = settings_.maxHeldBytes_;
    Event event{ now_,
                 clock_.entropy_(),
                 clock_.wallTimeMs_(),
                 std::move(queue_.front()),
                 FreeBytes(held_, limit),
                 FreeBytes(held_, limit + limit / kShortRequestReserveShare) };
    queue_.pop_front();
    auto step = Reduce(std::move(state_), event);
    state_ = std::move(step.state_);
    RunEffects(std::move(step.result_));
    CollectResults();
  }
}

void
Node::RunTick()
{
  peers_.Advance(now_);
  CountHeldBytes();
  if (now_ >= nextSocketCheckAt_) {
    nextSocketCheckAt_ = now_ + kSocketCheckInterval;
    CheckSockets();
  }
  Dispatch(Tick{ stopSeen_ && HasPendingOutput() });
  spdlog::default_logger()->flush();
}

void
Node::CheckSockets()
{
  backend_.Advance(now_);
  healthChecks_.Advance(now_);
  if (logService_) {
    logService_->Advance(now_);
  }
  if (store_) {
    store_->Advance(now_);
  }
  HandleCallerEvents(callers_.CloseIdle(now_));
  HandleAdminEvents(admin_.CloseIdle(now_));
  if (heartbeats_) {
    HandleHeartbeatEvents(heartbeats_->CloseIdle(now_));
  } else {
    CheckBackend();
  }
  for (const OmittedLines& omitted : logLimiter_.ExtractOmittedLines(now_)) {
    spdlog::warn("event=log_lines_omitted of={} count={}", omitted.event_, omitted.count_);
  }
}

void
Node::RunSafely(const SocketKey& aKey, const std::function<void()>& aHandler)
{
  try {
    aHandler();
  } catch (const std::exception& error) {
    // The state of the reducer is not involved. The connection gets no further events and is closed
    // by its timeout.
    spdlog::error("event=handler_failed role={} connection={} error=\"{}\"",
                  static_cast<int>(aKey.role_),
                  aKey.id_,
                  error.what());
    if (IsConnection(aKey.role_)) {
      poller_.Remove(aKey);
    }
  }
}

void
Node::HandleReady(const ReadySocket& aReady)
{
  switch (aReady.key_.role_) {
    case SocketRole::kCallerListener:
      callers_.Accept(now_);
      break;
    case SocketRole::kCallerConnection:
      HandleCallerEvents(callers_.HandleReady(aReady, now_));
      break;
    case SocketRole::kAdminListener:
      admin_.Accept(now_);
      break;
    case SocketRole::kAdminConnection:
      HandleAdminEvents(admin_.HandleReady(aReady, now_));
      break;
    case SocketRole::kPeerListener:
      peers_.Accept();
      break;
    case SocketRole::kAcceptedLink:
    case SocketRole::kPeerLink:
      peers_.HandleReady(aReady, now_);
      break;
    case SocketRole::kBackendConnection:
      backend_.HandleReady(aReady, now_);
      break;
    case SocketRole::kHealthConnection:
      healthChecks_.HandleReady(aReady, now_);
      break;
    case SocketRole::kLogConnection:
      logService_->HandleReady(aReady, now_);
      break;
    case SocketRole::kHeartbeatListener:
      heartbeats_->Accept(now_);
      break;
    case SocketRole::kHeartbeatConnection:
      HandleHeartbeatEvents(heartbeats_->HandleReady(aReady, now_));
      break;
    case SocketRole::kStoreConnection:
      store_->HandleReady(aReady, now_);
      break;
    case SocketRole::kGossip:
      ReadGossip();
      break;
  }
}

void
Node::HandleCallerEvents(HttpServerEvents aEvents)
{
  counters_.invalidRequests_ += aEvents.invalid_;
  for (const ExchangeId exchange : aEvents.disconnected_) {
    queue_.push_back(CallerDisconnected{ exchange });
  }
  for (const AnnouncedBody& announced : aEvents.announced_) {
    const auto bytes = announced.head_.getContentLength64();
    if (auto request =
          ParseCallerRequest(announced.exchange_, announced.peer_, announced.head_, {})) {
      queue_.push_back(CallerBodyAnnounced{ announced.exchange_,
                                            std::move(*request),
                                            bytes > 0 ? static_cast<std::size_t>(bytes) : 0 });
    }
  }
  for (ArrivedRequest& arrived : aEvents.requests_) {
    if (auto request = ParseCallerRequest(arrived.exchange_,
                                          arrived.peer_,
                                          arrived.message_.head_,
                                          std::move(arrived.message_.body_))) {
      CountAccepted(RequestBytes(*request));
      queue_.push_back(CallerRequestArrived{ arrived.exchange_, std::move(*request) });
    }
  }
}

bool
Node::IsRepeatable(const Poco::Net::HTTPRequest& aHead) const
{
  const RouteSpec* route =
    FindRoute(ConfigOf(state_), aHead.get(Poco::Net::HTTPRequest::HOST, ""), aHead.getURI());
  return route != nullptr && route->kind_.idempotent_;
}

std::optional<CallerRequest>
Node::ParseCallerRequest(ExchangeId aExchange,
                         const std::string& aPeer,
                         const Poco::Net::HTTPRequest& aHead,
                         std::string aBody)
{
  auto request = interface_.calls_.parseRequest_(aHead, std::move(aBody));
  if (!request) {
    ++counters_.invalidRequests_;
    HttpResponseHead head = MakeResponseHead();
    const std::string body = interface_.calls_.formatInvalid_(request.error(), head);
    HandleCallerEvents(callers_.Reply(aExchange, head, body, now_));
    return std::nullopt;
  }
  request->callerAddress_ = aPeer;
  request->fromBackend_ = IsBackendCall(*request, settings_.backend_.host().toString());
  return std::move(*request);
}

void
Node::HandleAdminEvents(HttpServerEvents aEvents)
{
  for (const ArrivedRequest& arrived : aEvents.requests_) {
    AdminResult result =
      HandleAdminRequest(state_, CurrentCounters(), arrived.exchange_, arrived.message_);
    if (const auto* reply = std::get_if<AdminReply>(&result)) {
      SendAdminReply(arrived.exchange_, *reply);
    } else {
      queue_.push_back(std::move(std::get<EventBody>(result)));
    }
  }
}

void
Node::SendAdminReply(ExchangeId aExchange, const AdminReply& aReply)
{
  HttpResponseHead head = MakeResponseHead();
  head.SetStatus(aReply.status_);
  head.setContentType(aReply.contentType_);
  if (!aReply.allow_.empty()) {
    head.set("Allow", aReply.allow_);
  }
  HandleAdminEvents(admin_.Reply(aExchange, head, aReply.body_, now_));
}

LoopCounters
Node::CurrentCounters() const
{
  LoopCounters counters = counters_;
  counters.invalidPeerMessages_ = peers_.InvalidMessages();
  counters.callerConnections_ = callers_.ConnectionCount();
  counters.callerPauses_ = callers_.Pauses();
  counters.held_ = held_;
  counters.droppedLogLines_ = droppedLogLines_();
  return counters;
}

void
Node::ReadGossip()
{
  static thread_local std::array<char, kMaxDatagramBytes> buffer;
  try {
    for (int turn = 0; turn < kMaxDatagramsPerPoll; ++turn) {
      Poco::Net::SocketAddress sender;
      const int received =
        gossip_.receiveFrom(buffer.data(), static_cast<int>(buffer.size()), sender);
      if (received <= 0) {
        return;
      }
      const auto size = static_cast<std::size_t>(received);
      counters_.controlBytesReceived_ += size + kDatagramHeaderBytes;
      auto message = DecodeDatagram(settings_.node_.clusterKey_, { buffer.data(), size });
      if (message) {
        queue_.push_back(GossipArrived{ std::move(*message) });
      } else {
        ++counters_.invalidDatagrams_;
      }
    }
  } catch (const Poco::Exception&) {
    // An earlier datagram was rejected by its receiver; there is nothing to read now.
  }
}

void
Node::CollectResults()
{
  CollectPeerEvents();
  CollectBackendResults();
  CollectLogResults();
  CollectStoreResults();
}

void
Node::CollectPeerEvents()
{
  for (EventBody& event : peers_.ExtractEvents()) {
    if (const auto* arrived = std::get_if<LinkMessageArrived>(&event)) {
      const auto* call = std::get_if<CallRequest>(&arrived->message_);
      CountAccepted(call != nullptr ? RequestBytes(call->request_) : 0);
    }
    queue_.push_back(std::move(event));
  }
}

void
Node::RecordInvalidAnswer(const HttpResult& aResult,
                          const char* aServer,
                          const std::string& aRequest)
{
  if (!aResult.invalidAnswer_) {
    return;
  }
  ++counters_.invalidAnswers_;
  LogLine line{ "answer_invalid",
                { { "server", aServer },
                  { "request", aRequest },
                  { "subject", '"' + aResult.invalidAnswer_->subject_ + '"' },
                  { "error", '"' + aResult.invalidAnswer_->message_ + '"' } } };
  RunEffect(line);
}

void
Node::CollectBackendResults()
{
  for (HttpResult& result : backend_.ExtractResults()) {
    const RequestId id{ result.token_ };
    const auto request = state_.inbound_.requests_.find(id);
    const bool isRouted =
      request != state_.inbound_.requests_.end() && request->second.request_.routed_;
    RecordInvalidAnswer(result,
                        "backend_server",
                        isRouted ? request->second.request_.routed_->requestId_
                                 : ToHex(result.token_));
    if (result.outcome_ != ExchangeOutcome::kAnswered) {
      queue_.push_back(BackendFailed{ id, result.outcome_ == ExchangeOutcome::kLost });
      continue;
    }
    if (!heartbeats_) {
      UpdateHealth(RecordBackendAnswer(health_, now_));
    }
    const bool isRefused = interface_.calls_.isRefusedByBackend_(result.response_->head_);
    const auto load = interface_.calls_.backendLoad_(result.response_->head_);
    const BackendSignals signals = interface_.calls_.backendSignals_(result.response_->head_);
    CountAccepted(result.response_->body_.size());
    auto answer = interface_.calls_.makeAnswer_(std::move(*result.response_));
    if (answer) {
      queue_.push_back(BackendAnswered{ id, std::move(*answer), isRefused, load, signals });
    } else {
      queue_.push_back(BackendFailed{ id, true });
    }
  }
  for (const HttpResult& result : healthChecks_.ExtractResults()) {
    healthCheckInFlight_ = false;
    const bool isPassed = result.outcome_ == ExchangeOutcome::kAnswered &&
                          result.response_->head_.Status() == Poco::Net::HTTPResponse::HTTP_OK;
    UpdateHealth(RecordHealthCheck(health_, isPassed, now_));
  }
}

void
Node::UpdateHealth(BackendHealth aHealth)
{
  const bool hasChanged = aHealth.healthy_ != health_.healthy_;
  health_ = aHealth;
  if (hasChanged) {
    queue_.push_back(BackendHealthChanged{ health_.healthy_ });
  }
}

void
Node::CheckBackend()
{
  if (healthCheckInFlight_ || now_ < nextHealthCheckAt_) {
    return;
  }
  healthCheckInFlight_ = true;
  nextHealthCheckAt_ = now_ + kHealthCheckInterval;
  Poco::Net::HTTPRequest head(
    Poco::Net::HTTPRequest::HTTP_GET, "/health", Poco::Net::HTTPMessage::HTTP_1_1);
  healthChecks_.Send(0, head, "", now_, now_ + kHealthCheckTimeout);
}

void
Node::CollectLogResults()
{
  if (!logService_) {
    return;
  }
  for (HttpResult& result : logService_->ExtractResults()) {
    RecordInvalidAnswer(result, "log_service", ToHex(result.token_));
    HandleLogResult(std::move(result));
  }
}

void
Node::HandleLogResult(HttpResult aResult)
{
  if (aResult.response_) {
    counters_.controlBytesReceived_ += aResult.response_->body_.size();
  }
  if (aResult.token_ != kLogReadToken) {
    queue_.push_back(AppendFinished{ aResult.token_, AppendResultOf(aResult) });
    return;
  }
  const bool isAnswered = aResult.outcome_ == ExchangeOutcome::kAnswered &&
                          aResult.response_->head_.Status() == Poco::Net::HTTPResponse::HTTP_OK;
  if (!isAnswered) {
    queue_.push_back(LogReadFailed{});
    return;
  }
  const auto& response = *aResult.response_;
  auto batch = ParseReadResponse(settings_.node_.clusterKey_,
                                 response.head_.get("Fulmarway-Earliest", ""),
                                 response.head_.get("Fulmarway-Latest", ""),
                                 response.body_);
  if (!batch) {
    queue_.push_back(LogReadFailed{});
    return;
  }
  counters_.undecodableLogRecords_ += batch->undecodable_;
  queue_.push_back(
    LogRecordsRead{ batch->earliest_, batch->latest_, batch->next_, std::move(batch->records_) });
}

} // namespace fulmarway
