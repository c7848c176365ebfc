#include "node/HttpServer.h"

#include <Poco/Exception.h>
#include <Poco/String.h>
#include <algorithm>
#include <spdlog/spdlog.h>

namespace fulmarway {

namespace {

constexpr int kListenBacklog = 1024;
constexpr int kMaxAcceptsPerPoll = 256;
/** Limits how long a slow sender can occupy a connection with one request. A body of 4 MiB, the
 * default of maxBodyBytes_, needs 1.1 Mbit/s. */
constexpr Duration kRequestTimeout = std::chrono::seconds(30);

/** Requests and replies below this size are given up for their memory only if no longer ones are
 * left. */
constexpr std::size_t kLongMessageBytes = 64U << 10;
/** Memory of a parsed header field beside its characters: two strings in a list. A field can have
 * four characters. */
constexpr std::size_t kParsedFieldBytes = 2 * sizeof(std::string) + 2 * sizeof(void*);
/** Time without a byte after which an incomplete request gives way to a new connection. A client
 * that sends at all is far from it. */
constexpr Duration kSilenceBeforeEviction = std::chrono::seconds(2);

/** The node has no capacity now, and the request was not run. */
constexpr std::string_view kRefusal = "HTTP/1.1 503 Service Unavailable\r\n"
                                      "Fulmarway-Verdict: not-run\r\n"
                                      "Fulmarway-Reason: shed-by-queue\r\n"
                                      "Retry-After: 1\r\n"
                                      "Content-Length: 0\r\n"
                                      "Connection: close\r\n\r\n";

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

/** Whether the client waits for kContinue before it sends its body. Others, also HTTP/1.0 clients
 * with this field, do not know what it is. */
bool
ExpectsContinue(const Poco::Net::HTTPRequest& aHead)
{
  return aHead.getVersion() == Poco::Net::HTTPMessage::HTTP_1_1 &&
         Poco::icompare(aHead.get("Expect", ""), "100-continue") == 0;
}

/** Refuses a connection above the limit. To the caller this is the same as a full queue. */
void
RefuseConnection(Poco::Net::StreamSocket& aSocket)
{
  try {
    aSocket.setBlocking(false);
    aSocket.sendBytes(kRefusal.data(), static_cast<int>(kRefusal.size()));
    aSocket.shutdownSend();
  } catch (const Poco::Exception&) {
    // The client has already disconnected.
  }
}

} // namespace

HttpServer::HttpServer(const HttpServerSettings& aSettings, Poller& aPoller)
  : settings_(aSettings)
  , poller_(aPoller)
{
  // Without SO_REUSEPORT: a second process on the same address must fail to bind.
  listener_.bind(settings_.address_, true, false);
  listener_.listen(kListenBacklog);
  listener_.setBlocking(false);
  poller_.Add({ settings_.listenerRole_, 0 }, listener_);
  SetLimits({});
}

void
HttpServer::SetLimits(const CallerLimits& aLimits)
{
  limits_ = aLimits;
  limits_.maxHeaderBytes_ = std::min<std::uint64_t>(limits_.maxHeaderBytes_, kMaxHeaderLimitBytes);
  limits_.maxBodyBytes_ = std::min<std::uint64_t>(limits_.maxBodyBytes_, settings_.maxBodyBytes_);
}

void
HttpServer::Accept(Instant aNow)
{
  for (int turn = 0; accepting_ && turn < kMaxAcceptsPerPoll; ++turn) {
    try {
      Poco::Net::SocketAddress peer;
      Poco::Net::StreamSocket socket = listener_.acceptConnection(peer);
      if (connections_.size() >= settings_.maxConnections_ && !EvictSilent(aNow)) {
        RefuseConnection(socket);
        continue;
      }
      const std::uint64_t id = nextId_++;
      Connection connection{ TcpChannel(socket), peer.host().toString() };
      connection.lastUsedAt_ = aNow;
      poller_.Add({ settings_.connectionRole_, id }, socket);
      connections_.emplace(id, std::move(connection));
      Update(id, aNow);
    } catch (const Poco::Exception&) {
      // No more pending connections, or accepting one failed, for example for lack of file
      // descriptors. The poller reports the listener again while connections are pending.
      return;
    }
  }
}

HttpServerEvents
HttpServer::HandleReady(const ReadySocket& aReady, Instant aNow)
{
  HttpServerEvents events;
  const std::uint64_t id = aReady.key_.id_;
  const auto found = connections_.find(id);
  if (found == connections_.end()) {
    return events;
  }
  Connection& connection = found->second;
  if (aReady.writable_ || !IsInputDropped(connection)) {
    connection.lastUsedAt_ = aNow;
  }
  // Further requests beside those in progress are parsed first, so that input does not grow with
  // what a client sends. At the latest with kMaxRequestsOfConnection in progress it is read and
  // limited.
  const bool isParsedFirst = connection.hasInputAhead_ && CanReadAhead(connection);
  if (aReady.readable_ && !isParsedFirst && Receive(connection) == ChannelStatus::kClosed) {
    CloseConnection(id, events);
    return events;
  }
  FlushAndRead(id, aNow, events);
  return events;
}

void
HttpServer::FlushAndRead(std::uint64_t aId, Instant aNow, HttpServerEvents& aEvents)
{
  if (Flush(aId, aNow, aEvents)) {
    ReadRequest(aId, aNow, aEvents);
    Flush(aId, aNow, aEvents);
  }
  Update(aId, aNow);
}

ChannelStatus
HttpServer::Receive(Connection& aConnection)
{
  if (IsInputDropped(aConnection)) {
    std::string dropped;
    const ChannelStatus status = aConnection.channel_.Read(dropped);
    aConnection.hasDroppedInput_ = aConnection.hasDroppedInput_ || !dropped.empty();
    return status;
  }
  if (CanReadAhead(aConnection)) {
    return aConnection.channel_.Read(aConnection.input_);
  }
  const std::size_t held = aConnection.input_.size();
  const std::size_t limit = InputLimit(aConnection);
  if (held < limit) {
    return aConnection.channel_.Read(aConnection.input_, limit - held);
  }
  return aConnection.channel_.HasPeerClosed() ? ChannelStatus::kClosed : ChannelStatus::kOpen;
}

std::size_t
HttpServer::InputLimit(const Connection& aConnection) const
{
  const std::size_t head = limits_.maxHeaderBytes_;
  if (IsBodyExpected(aConnection)) {
    return head + limits_.maxBodyBytes_;
  }
  return heldBytes_ < kHeldBytesWithInputAhead ? std::max(head, kMaxInputAhead) : head;
}

std::size_t
HttpServer::WaitingBytes(const Connection& aConnection)
{
  std::size_t bytes = 0;
  for (const Exchange& exchange : aConnection.exchanges_) {
    if (const auto& reply = exchange.reply_) {
      bytes += reply->body_.capacity() + reply->head_.size() * kParsedFieldBytes;
    }
  }
  return bytes;
}

/** Whether the next request of the connection may be read. */
bool
HttpServer::CanReadAhead(const Connection& aConnection)
{
  // A client that does not read its replies must not make the node buffer more of them.
  if (aConnection.closing_ || aConnection.refusal_ || aConnection.waiting_ ||
      aConnection.channel_.PendingBytes() > 0) {
    return false;
  }
  const auto& exchanges = aConnection.exchanges_;
  if (exchanges.empty()) {
    return true;
  }
  // All before the last one are repeatable, too.
  if (!exchanges.back().isRepeatable_ || exchanges.size() >= kMaxRequestsOfConnection) {
    return false;
  }
  std::size_t bytes = WaitingBytes(aConnection);
  for (const Exchange& exchange : exchanges) {
    bytes += exchange.reply_ ? 0 : exchange.bodyBytes_;
  }
  return bytes < kMaxBytesAhead;
}

/** Whether the body of a request has begun whose reading was permitted. */
bool
HttpServer::IsBodyExpected(const Connection& aConnection)
{
  const auto& exchanges = aConnection.exchanges_;
  return aConnection.progress_.head_ && !aConnection.closing_ &&
         (exchanges.empty() || !exchanges.back().isAnnounced_);
}

bool
HttpServer::IsInputDropped(const Connection& aConnection)
{
  return aConnection.closing_ || aConnection.refusal_;
}

bool
HttpServer::HasUnreadRequest(const Connection& aConnection)
{
  return aConnection.requestStartedAt_ || !aConnection.input_.empty();
}

Instant
HttpServer::UnreadSince(const Connection& aConnection)
{
  return aConnection.requestStartedAt_.value_or(aConnection.lastUsedAt_);
}

bool
HttpServer::IsReceiving(const Connection& aConnection)
{
  return aConnection.requestStartedAt_ && !aConnection.waiting_ &&
         aConnection.channel_.PendingBytes() == 0;
}

void
HttpServer::ReadRequest(std::uint64_t aId, Instant aNow, HttpServerEvents& aEvents)
{
  Connection& connection = connections_.at(aId);
  if (connection.waiting_ && connection.exchanges_.empty() &&
      connection.channel_.PendingBytes() == 0) {
    HttpRequestMessage message = std::move(*connection.waiting_);
    connection.waiting_.reset();
    const bool isRepeatable = settings_.isRepeatable_(message.head_);
    Start(aId, connection, std::move(message), isRepeatable, aEvents);
    return;
  }
  if (!CanReadAhead(connection)) {
    return;
  }
  auto parsed = ContinueHttpRequest(
    connection.input_, limits_.maxHeaderBytes_, limits_.maxBodyBytes_, connection.progress_);
  if (!parsed) {
    ++aEvents.invalid_;
    Refuse(aId, connection, parsed.error());
    return;
  }
  if (!*parsed) { // The request is not complete yet.
    if (!connection.input_.empty() && !connection.requestStartedAt_) {
      connection.requestStartedAt_ = aNow;
    }
    AnnounceBody(aId, connection, aEvents);
    return;
  }
  if (connection.input_.empty()) {
    // An idle connection must not keep the memory of its largest request.
    connection.input_.shrink_to_fit();
  }
  const bool isRepeatable = settings_.isRepeatable_ && settings_.isRepeatable_((*parsed)->head_);
  if (connection.exchanges_.empty() || isRepeatable) {
    Start(aId, connection, std::move(**parsed), isRepeatable, aEvents);
  } else {
    connection.waiting_ = std::move(**parsed);
    connection.requestStartedAt_ = connection.requestStartedAt_.value_or(aNow);
  }
}

void
HttpServer::Start(std::uint64_t aId,
                  Connection& aConnection,
                  HttpRequestMessage aMessage,
                  bool aIsRepeatable,
                  HttpServerEvents& aEvents)
{
  aConnection.requestStartedAt_.reset();
  aConnection.isContinued_ = false;
  Exchange& exchange = OpenExchange(aId, aConnection, aMessage.head_);
  // A client that asks for the end of the connection expects no reply to what it sends after that.
  exchange.isRepeatable_ = aIsRepeatable && exchange.keepAlive_;
  exchange.bodyBytes_ = aMessage.body_.size();
  aEvents.requests_.push_back({ exchange.id_, aConnection.peer_, std::move(aMessage) });
  if (CanReadAhead(aConnection)) {
    QueueInputAhead(aId, aConnection);
  }
}

HttpServer::Exchange&
HttpServer::OpenExchange(std::uint64_t aId,
                         Connection& aConnection,
                         const Poco::Net::HTTPRequest& aHead)
{
  const ExchangeId id{ nextId_++ };
  exchanges_.emplace(id, aId);
  return aConnection.exchanges_.emplace_back(
    Exchange{ id, aHead.getKeepAlive(), aHead.getMethod() == Poco::Net::HTTPRequest::HTTP_HEAD });
}

std::optional<std::uint64_t>
HttpServer::CloseExchange(ExchangeId aExchange)
{
  const auto exchange = exchanges_.find(aExchange);
  if (exchange == exchanges_.end()) {
    return std::nullopt;
  }
  const std::uint64_t id = exchange->second;
  exchanges_.erase(exchange);
  return id;
}

void
HttpServer::DropExchanges(Connection& aConnection, HttpServerEvents& aEvents)
{
  for (const Exchange& exchange : aConnection.exchanges_) {
    if (exchanges_.erase(exchange.id_) > 0) {
      aEvents.disconnected_.push_back(exchange.id_);
    }
  }
  aConnection.exchanges_.clear();
}

void
HttpServer::QueueInputAhead(std::uint64_t aId, Connection& aConnection)
{
  const bool hasInput =
    !aConnection.input_.empty() || aConnection.progress_.head_ || aConnection.waiting_;
  if (hasInput && !aConnection.hasInputAhead_) {
    aConnection.hasInputAhead_ = true;
    inputAhead_.push_back(aId);
  }
}

void
HttpServer::AnnounceBody(std::uint64_t aId, Connection& aConnection, HttpServerEvents& aEvents)
{
  // The declared length was checked with the head.
  const auto& head = aConnection.progress_.head_;
  if (aConnection.isContinued_ || !head || !ExpectsContinue(*head)) {
    return;
  }
  if (!aConnection.exchanges_.empty()) {
    return; // The interim reply would come before the replies to earlier requests.
  }
  if (!settings_.asksBeforeBody_) {
    Continue(aId, aConnection);
    return;
  }
  Exchange& exchange = OpenExchange(aId, aConnection, *head);
  exchange.isAnnounced_ = true;
  aEvents.announced_.push_back({ exchange.id_, aConnection.peer_, *head });
}

void
HttpServer::Continue(std::uint64_t aId, Connection& aConnection)
{
  aConnection.isContinued_ = true;
  Write(aId, aConnection, std::string(kContinue));
}

HttpServerEvents
HttpServer::PermitBody(ExchangeId aExchange, Instant aNow)
{
  HttpServerEvents events;
  const auto id = CloseExchange(aExchange);
  if (!id) {
    return events;
  }
  Connection& connection = connections_.at(*id);
  connection.exchanges_.clear(); // An announced request is the only one in progress.
  Continue(*id, connection);
  // A client that does not wait may have sent the rest, for which no event comes.
  FlushAndRead(*id, aNow, events);
  return events;
}

void
HttpServer::Refuse(std::uint64_t aId, Connection& aConnection, const InvalidRequest& aInvalid)
{
  HttpResponseHead head(Poco::Net::HTTPResponse::HTTP_BAD_REQUEST);
  // Replaces the status 400 by that of aInvalid and sets the headers.
  const std::string body = FormatInvalidRequest(aInvalid, head);
  head.setKeepAlive(false);
  RefuseInOrder(aId, aConnection, FormatHttp(head, body));
}

void
HttpServer::RefuseInOrder(std::uint64_t aId, Connection& aConnection, std::string aReply)
{
  const auto& exchanges = aConnection.exchanges_;
  if (exchanges.empty() || exchanges.front().isAnnounced_) {
    CloseAfter(aId, aConnection, std::move(aReply));
    return;
  }
  aConnection.refusal_ = std::move(aReply);
  aConnection.input_ = {};
  aConnection.progress_ = {};
  aConnection.waiting_.reset();
  aConnection.requestStartedAt_.reset();
}

void
HttpServer::CloseAfter(std::uint64_t aId, Connection& aConnection, std::string aReply)
{
  aConnection.closing_ = true;
  // What has arrived is not parsed any more.
  aConnection.input_ = {};
  aConnection.progress_ = {};
  aConnection.waiting_.reset();
  aConnection.requestStartedAt_.reset();
  Write(aId, aConnection, std::move(aReply));
}

HttpServerEvents
HttpServer::Reply(ExchangeId aExchange,
                  HttpResponseHead& aHead,
                  std::string_view aBody,
                  Instant aNow)
{
  HttpServerEvents events;
  const auto id = CloseExchange(aExchange);
  if (!id) {
    return events;
  }
  Connection& connection = connections_.at(*id);
  connection.lastUsedAt_ = aNow;
  auto& exchanges = connection.exchanges_;
  if (exchanges.front().id_ != aExchange) {
    // Formatted when it is written: only then it is known whether it closes the connection.
    for (Exchange& exchange : exchanges) {
      if (exchange.id_ == aExchange) {
        exchange.reply_ = WaitingReply{ aHead, std::string(aBody) };
      }
    }
    Update(*id, aNow);
    return events;
  }
  WriteReply(*id, connection, aHead, aBody, events);
  while (!exchanges.empty() && exchanges.front().reply_) {
    WaitingReply reply = std::move(*exchanges.front().reply_);
    WriteReply(*id, connection, reply.head_, reply.body_, events);
  }
  if (exchanges.empty() && connection.refusal_) {
    CloseAfter(*id, connection, std::move(*connection.refusal_));
  }
  if (Flush(*id, aNow, events)) {
    QueueInputAhead(*id, connection);
  }
  Update(*id, aNow);
  return events;
}

void
HttpServer::WriteReply(std::uint64_t aId,
                       Connection& aConnection,
                       HttpResponseHead& aHead,
                       std::string_view aBody,
                       HttpServerEvents& aEvents)
{
  const Exchange& exchange = aConnection.exchanges_.front();
  // Of a request with an announced body only the head has been read.
  const bool isLast =
    !exchange.keepAlive_ || !accepting_ || closesAfterReply_ || exchange.isAnnounced_;
  aHead.setKeepAlive(!isLast);
  std::string bytes =
    exchange.isHeadRequest_ && aBody.empty() ? FormatHttpHead(aHead) : FormatHttp(aHead, aBody);
  if (exchange.isHeadRequest_) {
    // The client would parse the body as the start of the next reply.
    bytes.resize(bytes.size() - aBody.size());
  }
  aConnection.exchanges_.erase(aConnection.exchanges_.begin());
  if (!isLast) {
    Write(aId, aConnection, std::move(bytes));
    return;
  }
  // The client takes the requests behind this reply as not read and sends them again.
  DropExchanges(aConnection, aEvents);
  aConnection.refusal_.reset();
  aConnection.requestStartedAt_.reset();
  CloseAfter(aId, aConnection, std::move(bytes));
}

HttpServerEvents
HttpServer::ReadRequestSentAhead(Instant aNow)
{
  HttpServerEvents events;
  if (inputAhead_.empty()) {
    return events;
  }
  const std::uint64_t id = inputAhead_.front();
  inputAhead_.pop_front();
  const auto found = connections_.find(id);
  if (found != connections_.end()) {
    found->second.hasInputAhead_ = false;
    ReadRequest(id, aNow, events);
    Flush(id, aNow, events);
    Update(id, aNow);
  }
  return events;
}

void
HttpServer::Update(std::uint64_t aId, Instant aNow)
{
  const auto found = connections_.find(aId);
  if (found == connections_.end()) {
    return;
  }
  Connection& connection = found->second;
  heldBytes_ -= connection.heldBytes_;
  const auto& head = connection.progress_.head_;
  connection.heldBytes_ =
    sizeof(Connection) + connection.input_.capacity() + connection.progress_.body_.capacity() +
    connection.channel_.HeldBytes() + (head ? head->size() * kParsedFieldBytes : 0) +
    connection.exchanges_.capacity() * sizeof(Exchange) + WaitingBytes(connection) +
    (connection.refusal_ ? connection.refusal_->capacity() : 0);
  if (const auto& waiting = connection.waiting_) {
    connection.heldBytes_ += waiting->body_.capacity() + waiting->head_.size() * kParsedFieldBytes;
  }
  heldBytes_ += connection.heldBytes_;
  UpdateReading(aId, connection, aNow);
}

void
HttpServer::UpdateReading(std::uint64_t aId, Connection& aConnection, Instant aNow)
{
  const bool pauses = !IsInputDropped(aConnection) && !CanReadAhead(aConnection) &&
                      aConnection.input_.size() >= InputLimit(aConnection);
  if (pauses == aConnection.isPaused_) {
    return;
  }
  aConnection.isPaused_ = pauses;
  pauses_ += pauses ? 1 : 0;
  poller_.SetWantsRead({ settings_.connectionRole_, aId }, !pauses);
  if (!pauses && aConnection.requestStartedAt_) {
    // The client could not send the rest of its request before.
    aConnection.requestStartedAt_ = aNow;
  }
}

bool
HttpServer::EvictSilent(Instant aNow)
{
  HttpServerEvents ignored; // Neither kind of connection has a request that was passed on.
  auto silent = connections_.end();
  for (auto next = connections_.begin(); next != connections_.end(); ++next) {
    const Connection& connection = next->second;
    if (connection.lingersUntil_) {
      CloseConnection(next->first, ignored);
      return true;
    }
    const bool isAlone =
      connection.exchanges_.empty() || connection.exchanges_.front().isAnnounced_;
    const bool isSilent =
      isAlone && IsReceiving(connection) && aNow >= connection.lastUsedAt_ + kSilenceBeforeEviction;
    if (isSilent &&
        (silent == connections_.end() || connection.lastUsedAt_ < silent->second.lastUsedAt_)) {
      silent = next;
    }
  }
  if (silent == connections_.end()) {
    return false;
  }
  RefuseIncomplete(silent->first, aNow);
  return true;
}

void
HttpServer::RefuseIncomplete(std::uint64_t aId, Instant aNow)
{
  Connection& connection = connections_.at(aId);
  const auto& exchanges = connection.exchanges_;
  const bool isBehindReplies = connection.channel_.PendingBytes() > 0 ||
                               (!exchanges.empty() && !exchanges.front().isAnnounced_);
  RefuseInOrder(aId, connection, std::string(kRefusal));
  if (isBehindReplies) {
    connection.requestStartedAt_.reset();
    Update(aId, aNow);
    return;
  }
  // The request has no exchange, or its owner only decides about its body.
  HttpServerEvents ignored;
  if (Flush(aId, aNow, ignored)) {
    // The reply does not fit into the buffer of the socket. Waiting for the client would keep its
    // slot.
    CloseConnection(aId, ignored);
  }
}

bool
HttpServer::ReleaseMemory(Instant aNow, ReleaseScope aScope, HttpServerEvents& aEvents)
{
  return ReleaseMessage(aNow, kLongMessageBytes, aEvents) ||
         (aScope == ReleaseScope::kAllMessages && ReleaseMessage(aNow, 1, aEvents));
}

bool
HttpServer::ReleaseMessage(Instant aNow, std::size_t aMinBytes, HttpServerEvents& aEvents)
{
  auto incomplete = connections_.end();
  auto unread = connections_.end();
  std::size_t unreadBytes = 0;
  for (auto next = connections_.begin(); next != connections_.end(); ++next) {
    const Connection& connection = next->second;
    const std::size_t pending = connection.channel_.PendingBytes() + WaitingBytes(connection);
    if (HasUnreadRequest(connection) && connection.heldBytes_ >= aMinBytes &&
        (incomplete == connections_.end() ||
         UnreadSince(connection) < UnreadSince(incomplete->second))) {
      incomplete = next;
    }
    if (pending >= aMinBytes && pending > unreadBytes) {
      unread = next;
      unreadBytes = pending;
    }
  }
  if (incomplete != connections_.end()) {
    spdlog::warn("event=incomplete_request_refused held_bytes={} age_us={}",
                 incomplete->second.heldBytes_,
                 (aNow - UnreadSince(incomplete->second)).count());
    RefuseIncomplete(incomplete->first, aNow);
    return true;
  }
  if (unread == connections_.end()) {
    return false;
  }
  spdlog::warn("event=unread_reply_dropped held_bytes={}", unread->second.heldBytes_);
  CloseConnection(unread->first, aEvents);
  return true;
}

void
HttpServer::Write(std::uint64_t aId, Connection& aConnection, std::string aBytes)
{
  aConnection.channel_.Queue(std::move(aBytes));
  poller_.SetWantsWrite({ settings_.connectionRole_, aId }, true);
}

bool
HttpServer::Flush(std::uint64_t aId, Instant aNow, HttpServerEvents& aEvents)
{
  const auto found = connections_.find(aId);
  TcpChannel& channel = found->second.channel_;
  const bool isOpen = channel.Flush() == ChannelStatus::kOpen;
  if (!isOpen) {
    CloseConnection(aId, aEvents);
    return false;
  }
  if (found->second.closing_ && channel.PendingBytes() == 0 && !Linger(aId, aNow, aEvents)) {
    return false;
  }
  poller_.SetWantsWrite({ settings_.connectionRole_, aId }, channel.WantsWrite());
  return true;
}

void
HttpServer::CloseConnection(std::uint64_t aId, HttpServerEvents& aEvents)
{
  const auto found = connections_.find(aId);
  DropExchanges(found->second, aEvents);
  heldBytes_ -= found->second.heldBytes_;
  poller_.Remove({ settings_.connectionRole_, aId });
  found->second.channel_.Close();
  connections_.erase(found);
}

bool
HttpServer::Linger(std::uint64_t aId, Instant aNow, HttpServerEvents& aEvents)
{
  Connection& connection = connections_.at(aId);
  if (connection.lingersUntil_) {
    return true;
  }
  if (Receive(connection) == ChannelStatus::kClosed || !connection.hasDroppedInput_) {
    CloseConnection(aId, aEvents);
    return false;
  }
  connection.channel_.ShutdownSend();
  connection.lingersUntil_ = aNow + kLingerTime;
  return true;
}

void
HttpServer::StopAccepting()
{
  if (accepting_) {
    accepting_ = false;
    poller_.Remove({ settings_.listenerRole_, 0 });
    listener_.close();
  }
}

bool
HttpServer::IsHeadOverdue(const Connection& aConnection, Instant aNow) const
{
  return IsReceiving(aConnection) && !aConnection.closing_ &&
         aNow >= *aConnection.requestStartedAt_ + limits_.headerTimeout_ &&
         !aConnection.progress_.head_;
}

HttpServerEvents
HttpServer::CloseIdle(Instant aNow)
{
  std::vector<std::uint64_t> idle;
  std::vector<std::uint64_t> overdue;
  for (const auto& [id, connection] : connections_) {
    if (connection.isPaused_ && connection.channel_.HasPeerClosed()) {
      idle.push_back(id);
      continue;
    }
    if (!connection.exchanges_.empty()) {
      continue;
    }
    if (connection.lingersUntil_) {
      if (aNow >= *connection.lingersUntil_) {
        idle.push_back(id);
      }
      continue;
    }
    if (IsHeadOverdue(connection, aNow)) {
      overdue.push_back(id);
      continue;
    }
    // Includes a connection with a partly received request, of which nothing was executed.
    const bool hasNoReplyAtStop = !accepting_ && connection.channel_.PendingBytes() == 0;
    const bool isTooSlow =
      IsReceiving(connection) && aNow >= *connection.requestStartedAt_ + kRequestTimeout;
    if (hasNoReplyAtStop || isTooSlow || aNow >= connection.lastUsedAt_ + limits_.idleTimeout_) {
      idle.push_back(id);
    }
  }
  HttpServerEvents events;
  for (const std::uint64_t id : overdue) {
    Refuse(id, connections_.at(id), { 408, { "head", "took longer than the limit" } });
    Flush(id, aNow, events);
    Update(id, aNow);
  }
  for (const std::uint64_t id : idle) {
    CloseConnection(id, events);
  }
  return events;
}

bool
HttpServer::HasPendingOutput() const
{
  for (const auto& [id, connection] : connections_) {
    if (connection.channel_.PendingBytes() > 0) {
      return true;
    }
  }
  return false;
}

} // namespace fulmarway
